"""Tests that may fail for a fault that is known and not mended yet: `KNOWN-RED.txt` at the root, one line
each, `test, cause, issue` with ` | ` between them. Exactly these may fail, three at most; one that passes
again fails the run, and so does a line that names no test of it."""

from pathlib import Path

import pytest

FILE, MOST = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt", 3


def read(text: str) -> dict[str, str]:
    """Test to cause and issue. Raises pytest.UsageError with the line at fault."""
    told = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"KNOWN-RED.txt:{number}: not `test | cause | issue`: {line}")
        if parts[0] in told:
            raise pytest.UsageError(f"KNOWN-RED.txt:{number}: {parts[0]} stands there twice")
        told[parts[0]] = f"{parts[1]} (issue {parts[2]})"
    if len(told) > MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(told)} tests, {MOST} at most; mend one first")
    return told


class KnownRed:
    def __init__(self, told: dict[str, str]) -> None:
        self.told, self.seen = told, set()

    def pytest_collection_modifyitems(self, session: pytest.Session, config: pytest.Config,
                                      items: list[pytest.Item]) -> None:
        for item in items:
            if (why := self.told.get(item.nodeid)) is not None:
                self.seen.add(item.nodeid)
                item.add_marker(pytest.mark.xfail(strict=True, reason=why))
        # With a part of the tests alone the others' lines are not wrong.
        if (missing := self.told.keys() - self.seen) and not partial(config):
            raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {', '.join(sorted(missing))}")

    def pytest_terminal_summary(self, terminalreporter) -> None:
        for test, why in self.told.items():
            terminalreporter.write_line(f"known red: {test}: {why}")


def partial(config: pytest.Config) -> bool:
    chosen = config.getoption("keyword") or config.getoption("markexpr")
    return bool(chosen or config.args != config.getini("testpaths"))


def pytest_configure(config: pytest.Config) -> None:
    file = config.rootpath / FILE.name
    told = read(file.read_text()) if file.exists() else {}
    config.pluginmanager.register(KnownRed(told), "known_red_lines")

"""Faults that are known and not mended yet, in `KNOWN-RED.txt` at the root, one line each, its parts with
` | ` between them. `test | cause | issue` names a test: exactly these may fail, and one that passes again
fails the run, as does a line that names no test of it. `command | seed | what was seen | issue` tells of a
fault that a command shows and no test. Each run prints them all; keep the list short."""

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
SEPARATOR = " | "
ISSUE = re.compile(r"\d+")
SEEDS = re.compile(r"\d+(, \d+)*|any")


@dataclass(frozen=True)
class RedTest:
    """A test that may fail."""

    test: str
    cause: str
    issue: str

    @property
    def identity(self) -> str:
        return self.test

    @property
    def reason(self) -> str:
        return f"{self.cause} (issue {self.issue})"

    def __str__(self) -> str:
        return f"{self.test}: {self.reason}"


@dataclass(frozen=True)
class RedCommand:
    """A fault that a command shows, at times or each time."""

    command: str
    seed: str
    seen: str
    issue: str

    @property
    def identity(self) -> str:
        return f"{self.command} {self.seed}"

    def __str__(self) -> str:
        return f"{self.command} (seed {self.seed}): {self.seen} (issue {self.issue})"


class MalformedLineError(pytest.UsageError):
    """A line that is no whole entry; says where and why."""

    def __init__(self, number: int, why: str) -> None:
        super().__init__(f"{FILE_NAME}:{number}: {why}")


Entry = RedTest | RedCommand


def read_line(number: int, line: str) -> Entry:
    """Return the entry on one line. Raises MalformedLineError."""
    parts = [part.strip() for part in line.split(SEPARATOR)]
    if not all(parts) or len(parts) not in (3, 4):
        raise MalformedLineError(
            number, f"neither `test | cause | issue` nor `command | seed | what was seen | issue`: {line}"
        )
    if not ISSUE.fullmatch(parts[-1]):
        raise MalformedLineError(number, f"the issue is no number: {parts[-1]}")
    if len(parts) == 3:
        return RedTest(*parts)
    if not SEEDS.fullmatch(parts[1]):
        raise MalformedLineError(number, f"the seed is no number, list of numbers or `any`: {parts[1]}")
    return RedCommand(*parts)


def read(text: str) -> list[Entry]:
    """Return all entries. Raises MalformedLineError for the first line at fault."""
    entries: list[Entry] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        entry = read_line(number, line)
        if any(entry.identity == each.identity for each in entries):
            raise MalformedLineError(number, f"stands there twice: {line}")
        entries.append(entry)
    return entries


class KnownRed:
    """Marks the listed tests as expected to fail, and prints the whole list."""

    def __init__(self, entries: list[Entry]) -> None:
        self.entries = entries
        self.tests = {each.test: each for each in entries if isinstance(each, RedTest)}

    def pytest_collection_modifyitems(
        self, session: pytest.Session, config: pytest.Config, items: list[pytest.Item]
    ) -> None:
        collected = {item.nodeid: item for item in items}
        for test, entry in self.tests.items():
            if test in collected:
                collected[test].add_marker(pytest.mark.xfail(strict=True, reason=entry.reason))
        # With a part of the tests alone the others' lines are not wrong.
        if (missing := self.tests.keys() - collected.keys()) and not partial(config):
            raise pytest.UsageError(f"{FILE_NAME}: no such test: {', '.join(sorted(missing))}")

    def pytest_terminal_summary(self, terminalreporter) -> None:
        for entry in self.entries:
            terminalreporter.write_line(f"known red: {entry}")


def partial(config: pytest.Config) -> bool:
    chosen = config.getoption("keyword") or config.getoption("markexpr")
    return bool(chosen or config.args != config.getini("testpaths"))


def pytest_configure(config: pytest.Config) -> None:
    file: Path = config.rootpath / FILE_NAME
    entries = read(file.read_text()) if file.exists() else []
    config.pluginmanager.register(KnownRed(entries), "known_red_lines")

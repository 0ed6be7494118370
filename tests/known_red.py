"""Pytest plugin for known failures, listed one per line in `KNOWN-RED.txt` at the root of the repository.

The fields of a line are separated by ` | `. `test | cause | issue` marks a test as expected to fail: only
these tests may fail, and the run fails if one of them passes or does not exist. `command | seed | what was
seen | issue` documents a fault that a command shows and no test. Each run prints all entries; keep the list
short.
"""

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
SEPARATOR = " | "
ISSUE_PATTERN = re.compile(r"\d+")
SEEDS_PATTERN = re.compile(r"\d+(, \d+)*|any")


@dataclass(frozen=True)
class FailingTest:
    """A test that is expected to fail."""

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
class FailingCommand:
    """A fault that a command shows, sometimes or always."""

    command: str
    seed: str
    observed: str
    issue: str

    @property
    def identity(self) -> str:
        return f"{self.command} {self.seed}"

    def __str__(self) -> str:
        return f"{self.command} (seed {self.seed}): {self.observed} (issue {self.issue})"


class MalformedLineError(pytest.UsageError):
    """A line is not a valid entry; the message has its number and the reason."""

    def __init__(self, number: int, reason: str) -> None:
        super().__init__(f"{FILE_NAME}:{number}: {reason}")


Entry = FailingTest | FailingCommand


def parse_line(number: int, line: str) -> Entry:
    """Return the entry on one line. Raises MalformedLineError."""
    fields = [field.strip() for field in line.split(SEPARATOR)]
    if not all(fields) or len(fields) not in (3, 4):
        raise MalformedLineError(
            number, f"neither `test | cause | issue` nor `command | seed | what was seen | issue`: {line}"
        )
    if not ISSUE_PATTERN.fullmatch(fields[-1]):
        raise MalformedLineError(number, f"the issue is not a number: {fields[-1]}")
    if len(fields) == 3:
        return FailingTest(*fields)
    if not SEEDS_PATTERN.fullmatch(fields[1]):
        raise MalformedLineError(number, f"the seed is not a number, a list of numbers or `any`: {fields[1]}")
    return FailingCommand(*fields)


def parse(text: str) -> list[Entry]:
    """Return all entries. Raises MalformedLineError for the first invalid line."""
    entries: list[Entry] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        entry = parse_line(number, line)
        if any(entry.identity == other.identity for other in entries):
            raise MalformedLineError(number, f"duplicate entry: {line}")
        entries.append(entry)
    return entries


class KnownFailures:
    """Marks the listed tests as expected to fail, and prints the whole list."""

    def __init__(self, entries: list[Entry]) -> None:
        self.entries = entries
        self.tests = {entry.test: entry for entry in entries if isinstance(entry, FailingTest)}

    def pytest_collection_modifyitems(
        self, session: pytest.Session, config: pytest.Config, items: list[pytest.Item]
    ) -> None:
        collected = {item.nodeid: item for item in items}
        for test, entry in self.tests.items():
            if test in collected:
                collected[test].add_marker(pytest.mark.xfail(strict=True, reason=entry.reason))
        # A run of selected tests does not collect all tests that are listed.
        if (missing := self.tests.keys() - collected.keys()) and not is_partial_run(config):
            raise pytest.UsageError(f"{FILE_NAME}: no such test: {', '.join(sorted(missing))}")

    def pytest_terminal_summary(self, terminalreporter) -> None:
        for entry in self.entries:
            terminalreporter.write_line(f"known red: {entry}")


def is_partial_run(config: pytest.Config) -> bool:
    """Return whether tests were selected by keyword, marker or path."""
    selected = config.getoption("keyword") or config.getoption("markexpr")
    return bool(selected or config.args != config.getini("testpaths"))


def pytest_configure(config: pytest.Config) -> None:
    file: Path = config.rootpath / FILE_NAME
    entries = parse(file.read_text()) if file.exists() else []
    config.pluginmanager.register(KnownFailures(entries), "known_red_lines")

"""Summarizes the differences between two routing documents, by the names of their entries. Without I/O.

It compares the documents as written; whether two spellings mean the same is not considered.
"""

from collections.abc import Generator, Iterable
from typing import Any

from pathturn.config.document import Document

MAX_NAMES = 5  # of each kind of difference; the rest is only counted
ENTRIES_PER_SLICE = 64


def diff_documents(old: Document, new: Document) -> Generator[None, None, tuple[str, ...]]:
    """Return lines such as "routes: 2 added (a, b), 1 changed (c)".

    Yields between slices of work, as a document may have ten thousand routes.
    """
    lines = []
    for section in ("pools", "routes", "limits"):
        before = yield from _entries_by_name(getattr(old, section))
        after = yield from _entries_by_name(getattr(new, section))
        kinds: dict[str, list[str]] = {"added": [], "changed": [], "removed": [], "moved": []}
        for count, (name, (position, value)) in enumerate(after.items()):
            if count % ENTRIES_PER_SLICE == 0:
                yield
            if name not in before:
                kinds["added"].append(name)
            elif before[name][1] != value:
                kinds["changed"].append(name)
            elif section == "routes" and before[name][0] != position:
                kinds["moved"].append(name)
        for count, name in enumerate(before):
            if count % ENTRIES_PER_SLICE == 0:
                yield
            if name not in after:
                kinds["removed"].append(name)
        if kinds["added"] or kinds["removed"]:
            kinds["moved"] = []  # positions that shifted because of added or removed routes are no moves
        found = [f"{len(names)} {kind} ({_first_names(names)})" for kind, names in kinds.items() if names]
        if found:
            lines.append(f"{section}: {', '.join(found)}")
        # Freeing ten thousand entries at once takes as long as ten slices.
        for names in (before, after):
            while names:
                for _ in range(min(ENTRIES_PER_SLICE, len(names))):
                    names.popitem()
                yield
    lines += [name for name in ("default", "change") if getattr(old, name) != getattr(new, name)]
    return tuple(lines) or ("nothing",)


def affects_batches(what: tuple[str, ...]) -> bool:
    """Return whether the difference can affect batches; one in the change policy alone cannot."""
    return any(line not in ("nothing", "change") for line in what)


def _entries_by_name(section: Any) -> Generator[None, None, dict[str, tuple[int, Any]]]:
    rows: Iterable = section.items() if isinstance(section, dict) else ((each.name, each) for each in section)
    entries = {}
    for position, (name, value) in enumerate(rows):
        if position % ENTRIES_PER_SLICE == 0:
            yield
        entries[name] = (position, value)
    return entries


def _first_names(names: list[str]) -> str:
    more = len(names) - MAX_NAMES
    return ", ".join(names[:MAX_NAMES]) + (f" and {more} more" if more > 0 else "")

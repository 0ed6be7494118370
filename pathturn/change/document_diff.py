"""What one document has that another has not, by the names in it: a line or two for the ledger. Pure.

It compares what is written; the difference in meaning is the configuration language's to tell.
"""

from collections.abc import Generator, Iterable
from typing import Any

from pathturn.config.document import Document

MOST_NAMES = 5  # of each kind; the rest is counted
SLICE = 64


def diff_documents(old: Document, new: Document) -> Generator[None, None, tuple[str, ...]]:
    """Such as "routes: 2 added (a, b), 1 changed (c)"; in slices, as there may be ten thousand of them."""
    told = []
    for part in ("pools", "routes", "limits"):
        before, after = (yield from _named(getattr(old, part))), (yield from _named(getattr(new, part)))
        kinds: dict[str, list[str]] = {"added": [], "changed": [], "removed": [], "moved": []}
        for turn, (name, (place, value)) in enumerate(after.items()):
            if turn % SLICE == 0:
                yield
            if name not in before:
                kinds["added"].append(name)
            elif before[name][1] != value:
                kinds["changed"].append(name)
            elif part == "routes" and before[name][0] != place:
                kinds["moved"].append(name)
        for turn, name in enumerate(before):
            if turn % SLICE == 0:
                yield
            if name not in after:
                kinds["removed"].append(name)
        if kinds["added"] or kinds["removed"]:
            kinds["moved"] = []  # what others' coming and going pushed on has not itself been moved
        found = [f"{len(names)} {kind} ({_few(names)})" for kind, names in kinds.items() if names]
        if found:
            told.append(f"{part}: {', '.join(found)}")
        for names in (before, after):  # freed in one go ten thousand take as long as ten slices
            while names:
                for _ in range(min(SLICE, len(names))):
                    names.popitem()
                yield
    told += [name for name in ("default", "change") if getattr(old, name) != getattr(new, name)]
    return tuple(told) or ("nothing",)


def affects_batches(what: tuple[str, ...]) -> bool:
    """Whether batches may be treated otherwise: not where nothing but the policy of changes is another
    one."""
    return any(line not in ("nothing", "change") for line in what)


def _named(part: Any) -> Generator[None, None, dict[str, tuple[int, Any]]]:
    rows: Iterable = part.items() if isinstance(part, dict) else ((each.name, each) for each in part)
    found = {}
    for place, (name, value) in enumerate(rows):
        if place % SLICE == 0:
            yield
        found[name] = (place, value)
    return found


def _few(names: list[str]) -> str:
    more = len(names) - MOST_NAMES
    return ", ".join(names[:MOST_NAMES]) + (f" and {more} more" if more > 0 else "")

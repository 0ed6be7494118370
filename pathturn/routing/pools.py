"""The engines of each pool, from the current engine list and the selectors in the routing document. No I/O.

When an engine is added, removed or changed, only that engine is tested against each pool.
"""

import re
from collections.abc import Iterable
from fnmatch import translate

from pathturn.config.document import Pool
from pathturn.core.interface import READY, EngineEntry


class EnginePool:
    """A pool of one generation with its current engines, by index.

    `eligible` are the engines that a batch may use, including those of the fallback pool while it is active.
    The set is replaced, never modified.
    """

    __slots__ = ("name", "spec", "members", "ready", "fallback", "eligible", "_id_pattern", "__weakref__")

    def __init__(self, name: str, spec: Pool) -> None:
        self.name = name
        self.spec = spec
        self.members: set[int] = set()
        self.ready: set[int] = set()
        self.fallback: EnginePool | None = None
        self.eligible: frozenset[int] = frozenset()
        self._id_pattern = re.compile(translate(spec.ids)) if spec.ids is not None else None

    def matches(self, engine: EngineEntry) -> bool:
        """Return whether the engine matches every selector of the pool."""
        spec = self.spec
        return (
            (spec.zones is None or engine.zone in spec.zones)
            and (spec.machines is None or engine.machine in spec.machines)
            and (spec.cells is None or engine.cell in spec.cells)
            and (self._id_pattern is None or self._id_pattern.match(engine.identity) is not None)
        )

    def update_members(self, changed: Iterable[EngineEntry], removed: Iterable[int]) -> None:
        """Apply a change of the engine list; `update_eligible` must follow once all pools have applied it."""
        self.members.difference_update(removed)
        self.ready.difference_update(removed)
        for engine in changed:
            matches = self.matches(engine)
            (self.members.add if matches else self.members.discard)(engine.index)
            (self.ready.add if matches and engine.state == READY else self.ready.discard)(engine.index)

    def update_eligible(self) -> None:
        """Recompute `eligible`: the members, and the fallback's members while too few engines are ready."""
        eligible = frozenset(self.members)
        if self.fallback is not None and len(self.ready) < self.spec.fallback.ready_under:
            eligible |= self.fallback.members
        if eligible != self.eligible:
            self.eligible = eligible


class EngineList:
    """The current engine list; reports what each new list changes."""

    def __init__(self) -> None:
        self.by_index: dict[int, EngineEntry] = {}

    def update(self, engines: Iterable[EngineEntry]) -> tuple[list[EngineEntry], set[int]]:
        """Replace the list; return the new or changed engines and the indices of the removed ones."""
        current = {engine.index: engine for engine in engines}
        changed = [engine for engine in current.values() if self.by_index.get(engine.index) != engine]
        removed = self.by_index.keys() - current.keys()
        self.by_index = current
        return changed, removed

"""Which engines a pool has, from the list as last told: a choice of the operator's document, and no I/O.

An engine that comes, goes or changes costs each pool one test; the others are left alone.
"""

import re
from collections.abc import Iterable
from fnmatch import translate

from pathturn.config.document import Pool
from pathturn.core.interface import READY, Seat


class LivePool:
    """A pool of one generation with the engines that it has now. `reach` is replaced whole, never edited."""

    __slots__ = ("name", "spec", "members", "ready", "fallback", "reach", "_ids", "__weakref__")

    def __init__(self, name: str, spec: Pool) -> None:
        self.name, self.spec = name, spec
        self.members: set[int] = set()
        self.ready: set[int] = set()
        self.fallback: LivePool | None = None
        self.reach: frozenset[int] = frozenset()
        self._ids = re.compile(translate(spec.ids)) if spec.ids is not None else None

    def fits(self, seat: Seat) -> bool:
        spec = self.spec
        return (
            (spec.zones is None or seat.zone in spec.zones)
            and (spec.machines is None or seat.machine in spec.machines)
            and (spec.cells is None or seat.cell in spec.cells)
            and (self._ids is None or self._ids.match(seat.identity) is not None)
        )

    def hear(self, changed: Iterable[Seat], gone: Iterable[int]) -> None:
        self.members.difference_update(gone)
        self.ready.difference_update(gone)
        for seat in changed:
            fits = self.fits(seat)
            (self.members.add if fits else self.members.discard)(seat.index)
            (self.ready.add if fits and seat.state == READY else self.ready.discard)(seat.index)

    def settle(self) -> None:
        """After every pool has heard: what a batch may use, with the fallback where its condition holds."""
        reach = frozenset(self.members)
        if self.fallback is not None and len(self.ready) < self.spec.fallback.ready_under:
            reach |= self.fallback.members
        if reach != self.reach:
            self.reach = reach


class Seats:
    """The list as last told, to tell what of it has changed."""

    def __init__(self) -> None:
        self.rows: dict[int, Seat] = {}

    def hear(self, rows: Iterable[Seat]) -> tuple[list[Seat], set[int]]:
        told = {row.index: row for row in rows}
        changed = [row for row in told.values() if self.rows.get(row.index) != row]
        gone = self.rows.keys() - told.keys()
        self.rows = told
        return changed, gone

"""The list of engines as last told: small indices for ids, and where each one listens."""

from itertools import count

from pathturn.core.interface import READY, Seat

# An engine's index with its address: a new engine may have the address of one that has gone.
Place = tuple[int, tuple[str, int]]


class Roster:
    def __init__(self) -> None:
        self.numbers, self.index_of = count(), {}
        self.place: dict[int, Place] = {}
        self.ready: set[int] = set()
        self.told: list[tuple] = []

    @property
    def places(self) -> set[Place]:
        return set(self.place.values())

    @property
    def seats(self) -> list[Seat]:
        """The list as routing sees it."""
        return [
            Seat(self.index_of[identity], identity, zone, machine, cell, state)
            for identity, _, zone, machine, cell, state, *_ in self.told
        ]

    def rows(self, told: list[tuple]) -> list[tuple]:
        """The list with ids as indices, for the decision module. Of those gone nothing is kept, as new ids
        come for ever; one that comes back is a new engine."""
        rows, index_of, place, ready, self.told = [], {}, {}, set(), told
        for identity, address, zone, machine, cell, state, size, started_ms in told:
            index = self.index_of[identity] if identity in self.index_of else next(self.numbers)
            index_of[identity], place[index] = index, (index, address)
            if state == READY:
                ready.add(index)
            rows.append((index, zone, machine, cell, state, size, started_ms * 1000))
        self.index_of, self.place, self.ready = index_of, place, ready
        return rows

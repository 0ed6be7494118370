"""The list of engines as last told: small indices for ids, and where each one listens."""

from pathturn.core.interface import READY

# An engine's index with its address: a new engine may have the address of one that has gone.
Place = tuple[int, tuple[str, int]]


class Roster:
    def __init__(self) -> None:
        self.index_of: dict[str, int] = {}
        self.place: dict[int, Place] = {}
        self.ready: set[int] = set()
        self.places: set[Place] = set()

    def rows(self, told: list[tuple]) -> list[tuple]:
        """The list with ids as indices, for the decision module; an id keeps its index when it comes back."""
        rows, ready = [], set()
        for identity, address, zone, machine, cell, state, size, started_ms in told:
            index = self.index_of.setdefault(identity, len(self.index_of))
            self.place[index] = (index, address)
            if state == READY:
                ready.add(index)
            rows.append((index, zone, machine, cell, state, size, started_ms * 1000))
        self.ready, self.places = ready, {self.place[row[0]] for row in rows}
        return rows

"""The list of engines as last told: small indices for ids, and where each one listens."""

from pathturn.core.interface import READY


class Roster:
    def __init__(self) -> None:
        self.index_of: dict[str, int] = {}
        self.address: list[tuple[str, int]] = []
        self.ready: set[int] = set()

    def rows(self, told: list[tuple]) -> list[tuple]:
        """The list with ids as indices, for the decision module; an id keeps its index when it comes back."""
        rows, ready = [], set()
        for identity, address, zone, machine, cell, state, size, started_ms in told:
            index = self.index_of.setdefault(identity, len(self.address))
            if index == len(self.address):
                self.address.append(address)
            self.address[index] = address
            if state == READY:
                ready.add(index)
            rows.append((index, zone, machine, cell, state, size, started_ms * 1000))
        self.ready = ready
        return rows

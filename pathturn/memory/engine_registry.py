"""The engines of the latest discovery list, under small integer indices."""

from itertools import count

from pathturn.core.interface import READY, EngineEntry

# Engine index and address. The index tells a new engine from a removed one that had the same address.
Endpoint = tuple[int, tuple[str, int]]


class EngineRegistry:
    """Maps engine ids to indices and indices to endpoints."""

    def __init__(self) -> None:
        self.indices = count()
        self.index_of = {}
        self.endpoint_of: dict[int, Endpoint] = {}
        self.ready: set[int] = set()
        self.entries: list[tuple] = []

    @property
    def endpoints(self) -> set[Endpoint]:
        """Endpoints of all listed engines."""
        return set(self.endpoint_of.values())

    @property
    def engine_entries(self) -> list[EngineEntry]:
        """The listed engines in the form that routing uses."""
        return [
            EngineEntry(self.index_of[identity], identity, zone, machine, cell, state)
            for identity, _, zone, machine, cell, state, *_ in self.entries
        ]

    def is_listed(self, endpoint: Endpoint) -> bool:
        """Return whether the engine is listed."""
        return endpoint[0] in self.endpoint_of

    def is_replaced(self, endpoint: Endpoint) -> bool:
        """Return whether another engine is listed at the address of this one, which is listed no more."""
        if self.is_listed(endpoint):
            return False
        _, address = endpoint
        return any(address == listed_address for _, listed_address in self.endpoint_of.values())

    def update(self, entries: list[tuple]) -> list[tuple]:
        """Replace the list, and return it with indices instead of ids for the decision module.

        An entry is (id, address, zone, machine, cell, state, size, started_ms), a returned row
        (index, zone, machine, cell, state, size, started_us).

        Nothing is kept of removed engines, as new ids appear indefinitely; an engine that returns under its
        old id is a new engine.
        """
        rows, index_of, endpoint_of, ready, self.entries = [], {}, {}, set(), entries
        for identity, address, zone, machine, cell, state, size, started_ms in entries:
            index = self.index_of[identity] if identity in self.index_of else next(self.indices)
            index_of[identity], endpoint_of[index] = index, (index, address)
            if state == READY:
                ready.add(index)
            rows.append((index, zone, machine, cell, state, size, started_ms * 1000))
        self.index_of, self.endpoint_of, self.ready = index_of, endpoint_of, ready
        return rows

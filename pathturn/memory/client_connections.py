"""Client connections under a cap: which idle one is evicted, and which one is closed for a timeout."""

from collections.abc import Callable
from typing import Protocol


class ManagedConnection(Protocol):
    """A client connection as `ClientConnections` manages it."""

    last_active_us: int
    half_closed_us: int

    def safe_to_close(self) -> bool: ...
    def timeout_reason(self, now: int) -> str | None: ...
    def close(self, code: str) -> None: ...
    def half_close(self, code: str) -> None: ...


class ClientConnections:
    """The client connections being served, and those half-closed by the gateway.

    A half-closed connection is read until the client closes it. These have a limit of their own and use
    descriptors that are reserved for them.
    """

    def __init__(self, cap: int, max_half_closed: int, clock: Callable[[], int]) -> None:
        self.cap = cap
        self.max_half_closed = max_half_closed
        self.clock = clock
        self.active: set[ManagedConnection] = set()
        self.half_closed: dict[ManagedConnection, None] = {}

    def admit(self, connection: ManagedConnection) -> bool:
        """Add a connection; at the cap the one idle for longest is evicted, or the new one refused if none
        is idle. Accepting itself never pauses."""
        if len(self.active) >= self.cap:
            longest = self._longest_idle()
            if longest is None:
                return False
            self._close(longest, "evicted")
        self.active.add(connection)
        return True

    def _longest_idle(self) -> ManagedConnection | None:
        """Return the connection that has been idle for longest, if any.

        Checked in order of idle time: checking a socket costs far more than sorting, and a hundred
        connections may be accepted in one iteration of the event loop.
        """
        by_idle_time = sorted(self.active, key=lambda each: each.last_active_us)
        return next((each for each in by_idle_time if each.safe_to_close()), None)

    def remove(self, connection: ManagedConnection) -> None:
        """Remove a connection that has ended."""
        self.active.discard(connection)
        self.half_closed.pop(connection, None)

    def __len__(self) -> int:
        return len(self.active) + len(self.half_closed)

    def busy(self) -> bool:
        """Return whether closing all connections now would lose anything."""
        return not all(each.safe_to_close() for each in self.active)

    def half_close_all(self, code: str) -> None:
        """Half-close all connections."""
        for each in list(self.active):
            each.half_close(code)

    def close_all(self, code: str) -> None:
        """Close all connections at once, whatever they have open."""
        for connection in [*self.active, *self.half_closed]:
            self.remove(connection)
            connection.close(code)

    def prune(self) -> None:
        """Close the connections whose idle, read or linger timeout has expired."""
        now = self.clock()
        for connection in [*self.active, *self.half_closed]:
            if (code := connection.timeout_reason(now)) is not None:
                self._close(connection, code)

    def _close(self, connection: ManagedConnection, code: str) -> None:
        """Half-close a connection, or close it fully if it is half-closed already. Beyond the limit the
        connection half-closed for longest is closed fully too."""
        if connection.half_closed_us:
            self.remove(connection)
            connection.close(code)
            return
        self.active.discard(connection)
        self.half_closed[connection] = None
        connection.half_close(code)
        if len(self.half_closed) > self.max_half_closed:
            oldest = next(iter(self.half_closed))
            self.remove(oldest)
            oldest.close(code)

"""Client connections under a cap: which idle one is evicted, and which one is closed for a timeout."""

from collections.abc import Callable
from typing import Protocol


class Held(Protocol):
    """A client connection as `Sessions` manages it."""

    last_active_us: int
    half_closed_us: int

    def safe_to_close(self) -> bool: ...
    def timeout_reason(self, now: int) -> str | None: ...
    def close(self, code: str) -> None: ...
    def half_close(self, code: str) -> None: ...


class Sessions:
    """The client connections being served, and those half-closed by the gateway.

    A half-closed connection is read until the client closes it. These have a limit of their own and use
    descriptors that are reserved for them.
    """

    def __init__(self, cap: int, max_half_closed: int, clock: Callable[[], int]) -> None:
        self.cap = cap
        self.most_parting = max_half_closed
        self.clock = clock
        self.held: set[Held] = set()
        self.parting: dict[Held, None] = {}

    def enter(self, session: Held) -> bool:
        """Add a connection; at the cap the one idle for longest is evicted, or the new one refused if none
        is idle. Accepting itself never pauses."""
        if len(self.held) >= self.cap:
            longest = self._longest_idle()
            if longest is None:
                return False
            self._close(longest, "evicted")
        self.held.add(session)
        return True

    def _longest_idle(self) -> Held | None:
        """Return the connection that has been idle for longest, if any.

        Checked in order of idle time: checking a socket costs far more than sorting, and a hundred
        connections may be accepted in one iteration of the event loop.
        """
        by_idle_time = sorted(self.held, key=lambda each: each.last_active_us)
        return next((each for each in by_idle_time if each.safe_to_close()), None)

    def leave(self, session: Held) -> None:
        """Remove a connection that has ended."""
        self.held.discard(session)
        self.parting.pop(session, None)

    def __len__(self) -> int:
        return len(self.held) + len(self.parting)

    def busy(self) -> bool:
        """Return whether closing all connections now would lose anything."""
        return not all(each.safe_to_close() for each in self.held)

    def part(self, code: str) -> None:
        """Half-close all connections."""
        for each in list(self.held):
            each.half_close(code)

    def prune(self) -> None:
        """Close the connections whose idle, read or linger timeout has expired."""
        now = self.clock()
        for session in [*self.held, *self.parting]:
            if (code := session.timeout_reason(now)) is not None:
                self._close(session, code)

    def _close(self, session: Held, code: str) -> None:
        """Half-close a connection, or close it fully if it is half-closed already. Beyond the limit the
        connection half-closed for longest is closed fully too."""
        if session.half_closed_us:
            self.leave(session)
            session.close(code)
            return
        self.held.discard(session)
        self.parting[session] = None
        session.half_close(code)
        if len(self.parting) > self.most_parting:
            oldest = next(iter(self.parting))
            self.leave(oldest)
            oldest.close(code)

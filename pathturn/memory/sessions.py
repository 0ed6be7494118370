"""Clients' connections, so many at most: which one gives way, and which has held its place for nothing."""

from collections.abc import Callable
from typing import Protocol


class Held(Protocol):
    heard_us: int

    def at_rest(self) -> bool: ...
    def overdue(self, now: int) -> str | None: ...
    def end(self, code: str) -> None: ...
    def part(self, code: str) -> None: ...


class Sessions:
    def __init__(self, cap: int, clock: Callable[[], int]) -> None:
        self.cap, self.clock, self.held = cap, clock, set()

    def enter(self, session: Held) -> bool:
        """Accepting never stops: at the cap whoever has been idle longest gives way, else the newcomer."""
        if len(self.held) >= self.cap:
            resting = (each for each in self.held if each.at_rest())
            if (longest := min(resting, key=lambda each: each.heard_us, default=None)) is None:
                return False
            self.leave(longest)
            longest.end("gave_way")
        self.held.add(session)
        return True

    def leave(self, session: Held) -> None:
        self.held.discard(session)

    def busy(self) -> bool:
        """Whether something would be lost if all ended now."""
        return not all(each.at_rest() for each in self.held)

    def part(self, code: str) -> None:
        for each in list(self.held):
            each.part(code)

    def prune(self) -> None:
        now = self.clock()
        for session in list(self.held):
            if (code := session.overdue(now)) is not None:
                session.end(code)

"""Shares the event loop's time among the connections that have input to process."""

import heapq
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import count

from gevent import get_hub
from gevent.hub import Waiter

# Input is processed for this long at most before everything else that is ready gets its turn: rounds,
# engines' responses, answers.
SLICE_US = 5_000


class TurnAccount:
    """The time that one connection has used, as a position on the common scale of `ProcessingTurns`."""

    __slots__ = ("finish_us",)

    def __init__(self) -> None:
        self.finish_us = 0


class ProcessingTurns:
    """Start-time fair queueing of connections: who has used least of the time comes first.

    A connection without much input does not wait behind hundreds that write at full speed. While the event
    loop has time for all, nobody waits.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.numbers = count()
        self.waiting: list[tuple[int, int, Waiter]] = []
        # Start time, on the common scale, of the turn that was granted last.
        self.virtual_us = 0
        self.slice_began_us = 0
        self.slice_used_us = 0

    @contextmanager
    def turn(self, account: TurnAccount) -> Iterator[None]:
        """Wait for a turn; process input in the body, without a switch of greenlets."""
        start_us = max(self.virtual_us, account.finish_us)
        if self.waiting or self._slice_is_used():
            self._wait(start_us)
        self.virtual_us = max(self.virtual_us, start_us)
        began_us = self.clock()
        try:
            yield
        finally:
            used_us = self.clock() - began_us
            account.finish_us = start_us + used_us
            self.slice_used_us += used_us

    def _slice_is_used(self) -> bool:
        """Return whether processing has taken its share of the time since the slice began."""
        now_us = self.clock()
        if now_us - self.slice_began_us >= 2 * SLICE_US:
            self.slice_began_us = now_us
            self.slice_used_us = 0
        return self.slice_used_us >= SLICE_US

    def _wait(self, start_us: int) -> None:
        waiter = Waiter()
        if not self.waiting:
            get_hub().loop.run_callback(self._grant)
        heapq.heappush(self.waiting, (start_us, next(self.numbers), waiter))
        waiter.get()

    def _grant(self) -> None:
        """Grant turns for one slice. Runs in the hub; each connection returns to it when it waits again."""
        self.slice_began_us = self.clock()
        self.slice_used_us = 0
        while self.waiting and self.slice_used_us < SLICE_US:
            _, _, waiter = heapq.heappop(self.waiting)
            waiter.switch(None)
        if self.waiting:
            get_hub().loop.run_callback(self._grant)

"""Notices stalls of the event loop, during which no input was read. Does no I/O."""

from collections.abc import Callable

# A longer gap between heartbeats is a stall. By the protocol requests of one key are written at least this
# far apart, so a shorter stall cannot change their order.
STALL_THRESHOLD_US = 60_000


class StallDetector:
    """Tells for how long the input that is read now may have been unread."""

    def __init__(self, clock: Callable[[], int], log: Callable[[str], None]) -> None:
        self.clock = clock
        self.log = log
        self.last_heartbeat_us = clock()
        self.last_stall_us = 0
        self.last_stall_length_us = 0

    def heartbeat(self) -> None:
        """Note that the event loop runs; called every few milliseconds. A longer gap is a stall of the whole
        process."""
        now = self.clock()
        gap_us = now - self.last_heartbeat_us
        if gap_us > STALL_THRESHOLD_US:
            self.last_stall_us = now
            self.last_stall_length_us = gap_us
            self.log(f"event loop stalled for {gap_us // 1000} ms")
        self.last_heartbeat_us = now

    def read_delay_us(self) -> int:
        """Return for how long the input read now may have been unread. The heartbeat that notices a stall may
        run only after the input is read."""
        now = self.clock()
        gap_us = now - self.last_heartbeat_us
        if gap_us > STALL_THRESHOLD_US:
            return gap_us
        if now - self.last_stall_us < STALL_THRESHOLD_US:
            return self.last_stall_length_us
        return 0

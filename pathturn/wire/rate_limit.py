"""Rate limit of a client connection's input. Does no I/O."""

# Each line costs 1 ms, and each rejected request 50 ms more, as these are often sent again at once. Beyond
# the burst the reader of the connection pauses.
LINE_COST_US = 1_000
REJECTION_COST_US = 50_000
BURST_US = 100_000
MAX_PAUSE_US = 500_000
# The longest pause with something urgent in the input that is not processed: an abort, or a request with an
# ordering key, as a later one of that key may come on another connection. It is not zero, as each piece of a
# flood may hold these.
URGENT_PAUSE_US = 10_000
# A connection that is over its rate limit by more than this pauses in full, also before such a request.
MAX_URGENT_KEY_EXCESS_US = 1_000_000


class InputRateLimit:
    """The time up to which the lines read so far use up the rate limit."""

    def __init__(self) -> None:
        self.used_until_us = 0

    def charge(self, lines: int, rejections: int, now_us: int) -> None:
        """Count lines and rejected requests that were processed."""
        self.used_until_us = max(self.used_until_us, now_us - BURST_US)
        self.used_until_us += lines * LINE_COST_US + rejections * REJECTION_COST_US

    def pause_end_us(self, now_us: int) -> int:
        """Return when the pause that begins now ends."""
        return min(self.used_until_us, now_us + MAX_PAUSE_US)

    def urgent_pause_end_us(self, now_us: int) -> int:
        """Return when the pause that begins now ends if there is something urgent."""
        return min(self.used_until_us, now_us + URGENT_PAUSE_US)

    def allows_urgent_key(self, now_us: int) -> bool:
        """Return whether a request with an ordering key counts as urgent."""
        return self.used_until_us - now_us <= MAX_URGENT_KEY_EXCESS_US

"""The operator's limits: whether one more fits. The module asks, and decides what becomes of a batch that
does not.

A meter counts; a quota is a meter seen with the figures of one generation. Meters outlive a change of the
figures, so that a change renews no allowance, and an undo none either.
"""

from pathturn.config.document import Limit
from pathturn.structures.ring import Ring

SPAN_US = 10_000_000  # over which the share of further dispatches is taken
FREE = 1  # further dispatches in a span, whatever was taken: without one the first error would end its batch


class Meter:
    """What one limit has seen: batches open, dispatches out, when the next token is whole, and a span's
    sums."""

    __slots__ = ("open", "out", "full_at", "sums", "__weakref__")

    def __init__(self) -> None:
        self.open, self.out, self.full_at, self.sums = 0, 0, 0.0, Ring(SPAN_US, 10, 2)


class Quota:
    __slots__ = ("limit", "meter", "every_us", "slack_us")

    def __init__(self, limit: Limit, meter: Meter) -> None:
        self.limit, self.meter = limit, meter
        self.every_us = 1e6 / limit.rate if limit.rate else 0.0
        self.slack_us = self.every_us * (max(1, limit.burst) - 1)

    def pause(self, now: int) -> int | None:
        """None if one more batch fits; else when it may come back in so many microseconds, 0 if nothing
        tells."""
        if self.every_us and self.meter.full_at - now > self.slack_us:
            return max(1, int(self.meter.full_at - now - self.slack_us))
        return 0 if self.limit.open is not None and self.meter.open >= self.limit.open else None

    def took(self, now: int, counts: bool) -> None:
        """`counts`: the batch is new, not one that comes over from another generation."""
        self.meter.open += 1
        if counts:
            self.meter.sums.add(now, 1, 0)
            if self.every_us:
                self.meter.full_at = max(self.meter.full_at, now) + self.every_us

    def left(self) -> None:
        self.meter.open -= 1

    def fits(self, now: int, further: bool) -> bool:
        """Whether one more dispatch may go out."""
        if self.limit.out is not None and self.meter.out >= self.limit.out:
            return False
        if not further or self.limit.further is None:
            return True
        taken, spent = self.meter.sums.sums(now)
        return spent + 1 <= FREE + self.limit.further * taken

    def sent(self, now: int, further: bool) -> None:
        self.meter.out += 1
        if further:
            self.meter.sums.add(now, 0, 1)

    def back(self) -> None:
        self.meter.out -= 1

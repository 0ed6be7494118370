"""The operator's limits: whether one more batch or dispatch is allowed. The dispatcher asks, and decides what
happens to a batch that is over a limit.

A meter counts usage; a limiter applies the values of one generation to a meter. Meters survive a change of
the values, so that neither a change nor its undo resets the usage of a limit.
"""

from pathturn.config.document import Limit
from pathturn.structures.sliding_window import SlidingWindowSum

WINDOW_US = 10_000_000  # over which the share of retries is measured
WINDOW_BUCKETS = 10
# Retries allowed per window regardless of the share: without one, the first error would end its batch.
FREE_RETRIES = 1


class Meter:
    """Usage of one limit, kept across generations.

    `theoretical_arrival_us` is when the batches admitted so far would all have arrived if they kept to the
    limit's rate (generic cell rate algorithm). `window` sums new batches and retries.
    """

    __slots__ = ("open_batches", "dispatches_in_flight", "theoretical_arrival_us", "window", "__weakref__")

    def __init__(self) -> None:
        self.open_batches = 0
        self.dispatches_in_flight = 0
        self.theoretical_arrival_us = 0.0
        self.window = SlidingWindowSum(WINDOW_US, WINDOW_BUCKETS, 2)


class Limiter:
    """One limit of one generation, applied to the limit's meter."""

    __slots__ = ("limit", "meter", "interval_us", "burst_tolerance_us")

    def __init__(self, limit: Limit, meter: Meter) -> None:
        self.limit = limit
        self.meter = meter
        self.interval_us = 1e6 / limit.rate if limit.rate else 0.0
        self.burst_tolerance_us = self.interval_us * (max(1, limit.burst) - 1)

    def retry_after_us(self, now_us: int) -> int | None:
        """Return None if one more batch is allowed, else the microseconds to wait; 0 if that is unknown."""
        if self.interval_us and self.meter.theoretical_arrival_us - now_us > self.burst_tolerance_us:
            return max(1, int(self.meter.theoretical_arrival_us - now_us - self.burst_tolerance_us))
        return 0 if self.limit.open is not None and self.meter.open_batches >= self.limit.open else None

    def batch_admitted(self, now_us: int, is_new: bool) -> None:
        """Count an open batch; `is_new` is False for one that moves here from another generation."""
        self.meter.open_batches += 1
        if is_new:
            self.meter.window.add(now_us, 1, 0)
            if self.interval_us:
                self.meter.theoretical_arrival_us = (
                    max(self.meter.theoretical_arrival_us, now_us) + self.interval_us
                )

    def batch_closed(self) -> None:
        """Count the end of an open batch."""
        self.meter.open_batches -= 1

    def allows_dispatch(self, now_us: int, is_retry: bool) -> bool:
        """Return whether one more dispatch is allowed."""
        if self.limit.out is not None and self.meter.dispatches_in_flight >= self.limit.out:
            return False
        if not is_retry or self.limit.further is None:
            return True
        batches, retries = self.meter.window.sums(now_us)
        return retries + 1 <= FREE_RETRIES + self.limit.further * batches

    def dispatch_sent(self, now_us: int, is_retry: bool) -> None:
        """Count a dispatch in flight."""
        self.meter.dispatches_in_flight += 1
        if is_retry:
            self.meter.window.add(now_us, 0, 1)

    def dispatch_done(self) -> None:
        """Count the outcome of a dispatch."""
        self.meter.dispatches_in_flight -= 1

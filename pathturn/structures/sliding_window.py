"""Sums over a sliding window of time, kept in a fixed number of buckets."""


class SlidingWindowSum:
    """Sums of one or more values over the last `window_us`, in time buckets of equal width.

    The oldest bucket is partly outside the window: all buckets together cover at least the window, and all
    but the oldest lie within it.
    """

    def __init__(self, window_us: int, buckets: int, fields: int = 1) -> None:
        self.bucket_us = max(1, -(-window_us // buckets))
        self.buckets = buckets
        self.epochs = [-1] * (buckets + 1)
        self.rows = [[0.0] * fields for _ in self.epochs]

    def add(self, now: int, *values: float) -> None:
        """Add one value per field at the time `now`."""
        epoch = now // self.bucket_us
        slot = epoch % len(self.epochs)
        if self.epochs[slot] != epoch:
            self.epochs[slot] = epoch
            self.rows[slot] = [0.0] * len(values)
        self.rows[slot] = [total + value for total, value in zip(self.rows[slot], values)]

    def sums(self, now: int, within: bool = False) -> list[float]:
        """Return the sum of each field; `within` leaves out the oldest bucket."""
        oldest = now // self.bucket_us - self.buckets + within
        rows = [row for epoch, row in zip(self.epochs, self.rows) if epoch >= oldest]
        return [sum(column) for column in zip(*rows or [[0.0] * len(self.rows[0])])]

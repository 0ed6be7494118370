"""Sums over a moving span of time in a bounded number of buckets: no clock, no choice, no tuned value."""


class SlidingWindowSum:
    """Sums over fixed buckets of time: all of them cover the span, all but the oldest lie within it."""

    def __init__(self, span_us: int, buckets: int, fields: int = 1) -> None:
        self.width, self.buckets = max(1, -(-span_us // buckets)), buckets
        self.epochs = [-1] * (buckets + 1)
        self.rows = [[0.0] * fields for _ in self.epochs]

    def add(self, now: int, *values: float) -> None:
        epoch = now // self.width
        slot = epoch % len(self.epochs)
        if self.epochs[slot] != epoch:
            self.epochs[slot], self.rows[slot] = epoch, [0.0] * len(values)
        self.rows[slot] = [have + value for have, value in zip(self.rows[slot], values)]

    def sums(self, now: int, within: bool = False) -> list[float]:
        oldest = now // self.width - self.buckets + within
        rows = [row for epoch, row in zip(self.epochs, self.rows) if epoch >= oldest]
        return [sum(column) for column in zip(*rows or [[0.0] * len(self.rows[0])])]

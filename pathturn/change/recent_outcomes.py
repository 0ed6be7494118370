"""What ended lately: the past that a change is held against. Pure, and bounded by count and by age."""

from collections import deque
from collections.abc import Callable, Generator
from typing import NamedTuple

from pathturn.change.canary_analysis import Baseline, BatchOutcome
from pathturn.routing.router import BatchAttributes

MOST, SPAN_US = 20_000, 60_000_000


class Row(NamedTuple):
    at_us: int
    attributes: BatchAttributes
    ended: BatchOutcome


class RecentOutcomes:
    def __init__(self, span_us: int = SPAN_US, most: int = MOST) -> None:
        self.span_us, self.rows = span_us, deque[Row](maxlen=most)

    def add(self, at_us: int, attributes: BatchAttributes, ended: BatchOutcome) -> None:
        self.rows.append(Row(at_us, attributes, ended))
        while self.rows[0].at_us < at_us - self.span_us:
            self.rows.popleft()

    def baseline(
        self, touches: Callable[[BatchAttributes], bool], now_us: int
    ) -> Generator[None, None, Baseline]:
        """The past sorted into what the change touches and what not; a job for the background, in slices."""
        told = Baseline()
        for turn, row in enumerate(list(self.rows)):
            if turn % 20 == 19:
                yield
            if row.at_us >= now_us - self.span_us:
                told.add(row.at_us, touches(row.attributes), row.ended)
        yield from told.finish_in_slices()
        return told

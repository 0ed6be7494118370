"""What ended lately: the past that a change is held against. Pure, and bounded by count and by age."""

from collections import deque
from collections.abc import Callable, Generator
from typing import NamedTuple

from pathturn.change.guard import Before, Ended
from pathturn.routing.router import BatchAttributes

MOST, SPAN_US = 20_000, 60_000_000


class Row(NamedTuple):
    at_us: int
    told: BatchAttributes
    ended: Ended


class Lately:
    def __init__(self, span_us: int = SPAN_US, most: int = MOST) -> None:
        self.span_us, self.rows = span_us, deque[Row](maxlen=most)

    def add(self, at_us: int, told: BatchAttributes, ended: Ended) -> None:
        self.rows.append(Row(at_us, told, ended))
        while self.rows[0].at_us < at_us - self.span_us:
            self.rows.popleft()

    def before(
        self, touches: Callable[[BatchAttributes], bool], now_us: int
    ) -> Generator[None, None, Before]:
        """The past sorted into what the change touches and what not; a job for the background, in slices."""
        told = Before()
        for turn, row in enumerate(list(self.rows)):
            if turn % 20 == 19:
                yield
            if row.at_us >= now_us - self.span_us:
                told.add(row.at_us, touches(row.told), row.ended)
        yield from told.sealing()
        return told

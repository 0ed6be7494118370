"""Outcomes of recently ended batches, from which the baseline of a change is taken. Without I/O.

Bounded by count and by age.
"""

from collections import deque
from collections.abc import Callable, Generator
from typing import NamedTuple

from pathturn.change.canary_analysis import Baseline, BatchOutcome
from pathturn.routing.router import BatchAttributes

MAX_OUTCOMES = 20_000
MAX_AGE_US = 60_000_000
ROWS_PER_SLICE = 20  # two routing tables are searched for each row


class RecentOutcome(NamedTuple):
    """A batch that ended at `at_us`."""

    at_us: int
    attributes: BatchAttributes
    outcome: BatchOutcome


class RecentOutcomes:
    """The latest outcomes, at most `max_outcomes`, none older than `max_age_us`."""

    def __init__(self, max_age_us: int = MAX_AGE_US, max_outcomes: int = MAX_OUTCOMES) -> None:
        self.max_age_us = max_age_us
        self.rows = deque[RecentOutcome](maxlen=max_outcomes)

    def add(self, at_us: int, attributes: BatchAttributes, outcome: BatchOutcome) -> None:
        """Add an outcome and drop those that are too old."""
        self.rows.append(RecentOutcome(at_us, attributes, outcome))
        while self.rows[0].at_us < at_us - self.max_age_us:
            self.rows.popleft()

    def baseline(
        self, is_affected: Callable[[BatchAttributes], bool], now_us: int
    ) -> Generator[None, None, Baseline]:
        """Return the baseline, split into affected and unaffected batches; yields between slices of work."""
        baseline = Baseline()
        for position, row in enumerate(list(self.rows)):
            if position % ROWS_PER_SLICE == ROWS_PER_SLICE - 1:
                yield
            if row.at_us >= now_us - self.max_age_us:
                baseline.add(row.at_us, is_affected(row.attributes), row.outcome)
        yield from baseline.finish_in_slices()
        return baseline

"""Which background job runs next, and whether any may: pure, by an explicit clock in microseconds.

Jobs wait by priority; one whose deadline is near goes first; within a priority the one that has run least.
All of them together keep to a share of the core, and to none of it while traffic is behind.
"""

from collections.abc import Iterable
from typing import NamedTuple


class Waiting(NamedTuple):
    """A job as the choice sees it. Priority 0 is the most urgent; a deadline of None never comes."""

    number: int
    priority: int
    spent_us: int = 0
    deadline_us: int | None = None


class Allowance:
    """CPU that background work may still use: refilled evenly, saved up to a burst."""

    def __init__(self, share: float, burst_us: int, now_us: int) -> None:
        self.share, self.burst_us, self.left_us, self.at_us = share, burst_us, float(burst_us), now_us

    def refill(self, now_us: int) -> float:
        self.left_us = min(self.burst_us, self.left_us + self.share * max(0, now_us - self.at_us))
        self.at_us = now_us
        return self.left_us

    def spend(self, used_us: int) -> None:
        self.left_us -= used_us

    def ready_in(self, now_us: int) -> int:
        """Microseconds until there is something to spend."""
        return 0 if self.refill(now_us) > 0 else int(-self.left_us / self.share) + 1


def due(job: Waiting, now_us: int, soon_us: int) -> bool:
    return job.deadline_us is not None and job.deadline_us - now_us <= soon_us


def choose(jobs: Iterable[Waiting], now_us: int, soon_us: int) -> Waiting | None:
    """The job whose next slice runs; None if there is none."""

    def rank(job: Waiting) -> tuple:
        near = due(job, now_us, soon_us)
        return (not near, job.deadline_us if near else 0, job.priority, job.spent_us, job.number)

    return min(jobs, key=rank, default=None)

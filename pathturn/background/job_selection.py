"""Selects the background job that runs next and limits the CPU time of background work. No I/O; the clock is
passed in, in microseconds.

Jobs are ordered by priority; a job whose deadline is near runs before all others; within one priority the job
that has used the least CPU runs first. All jobs together are limited to a share of one core.
"""

from collections.abc import Iterable
from typing import NamedTuple


class QueuedJob(NamedTuple):
    """A job as the selection sees it. Priority 0 is the most urgent; a deadline of None is no deadline."""

    job_id: int
    priority: int
    cpu_used_us: int = 0
    deadline_us: int | None = None


class CpuBudget:
    """CPU time left for background work: a token bucket refilled at `share` of one core, up to `burst_us`."""

    def __init__(self, share: float, burst_us: int, now_us: int) -> None:
        self.share = share
        self.burst_us = burst_us
        self.available_us = float(burst_us)
        self.updated_us = now_us

    def refill(self, now_us: int) -> float:
        """Add what has accrued since the last refill; return the CPU time available."""
        self.available_us = min(
            self.burst_us, self.available_us + self.share * max(0, now_us - self.updated_us)
        )
        self.updated_us = now_us
        return self.available_us

    def spend(self, used_us: int) -> None:
        self.available_us -= used_us

    def time_until_available(self, now_us: int) -> int:
        """Return the microseconds until the budget is above zero."""
        return 0 if self.refill(now_us) > 0 else int(-self.available_us / self.share) + 1


def deadline_is_near(job: QueuedJob, now_us: int, near_us: int) -> bool:
    return job.deadline_us is not None and job.deadline_us - now_us <= near_us


def select_job(jobs: Iterable[QueuedJob], now_us: int, near_us: int) -> QueuedJob | None:
    """Return the job that runs the next time slice, or None if there is none."""

    def rank(job: QueuedJob) -> tuple:
        near = deadline_is_near(job, now_us, near_us)
        return (not near, job.deadline_us if near else 0, job.priority, job.cpu_used_us, job.job_id)

    return min(jobs, key=rank, default=None)

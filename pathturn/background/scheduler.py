"""Runs background jobs in slices between rounds. A job is a generator that yields often and returns its
result.

Choices are in `choose`; here are the greenlet, the clock and the jobs' results.
"""

import gc
from collections.abc import Callable, Generator
from itertools import count
from time import thread_time_ns
from typing import Any

import gevent
from gevent.event import AsyncResult, Event

from pathturn.background.choose import Allowance, Waiting, choose, due

SHARE, BURST_US = 0.25, 20_000  # of the core; so much at once where nothing else wants it
SLICE_US = 1_000  # a job gives way after this much, however often it yields
SET_ASIDE_US = 300  # slices under it leave next to nothing
SOON_US = 200_000  # a deadline this near goes before priorities and before the allowance
YIELD_S = 0.001
MOST_PASSED = 50  # times in a row that traffic goes first: a gateway that is always busy must get there too
MOST_JOBS = 64


class Cancelled(Exception):
    """The job was called off, or came too late."""


class Full(Exception):
    """More jobs than may wait."""


class Job:
    __slots__ = ("name", "steps", "waiting", "result")

    def __init__(self, name: str, steps: Generator[None, None, Any], waiting: Waiting) -> None:
        self.name, self.steps, self.waiting, self.result = name, steps, waiting, AsyncResult()


class Scheduler:
    def __init__(self, clock: Callable[[], int], busy: Callable[[], bool] = lambda: False) -> None:
        """`busy` tells whether traffic waits: then no slice starts, but for one whose deadline is near."""
        self.clock, self.busy, self.numbers = clock, busy, count()
        self.jobs: dict[int, Job] = {}
        self.allowance, self.came = Allowance(SHARE, BURST_US, clock()), Event()
        self.longest_us = self.passed = 0

    def submit(
        self, name: str, steps: Generator[None, None, Any], priority: int = 5, deadline_us: int | None = None
    ) -> Job:
        """Its `result` is there once it ended; Cancelled is raised from it where it was called off."""
        if len(self.jobs) >= MOST_JOBS:
            raise Full(f"{len(self.jobs)} jobs wait")
        job = Job(name, steps, Waiting(next(self.numbers), priority, 0, deadline_us))
        self.jobs[job.waiting.number] = job
        self.came.set()
        return job

    def cancel(self, job: Job, why: str = "called off") -> None:
        if self.jobs.pop(job.waiting.number, None) is not None:
            job.steps.close()
            job.result.set_exception(Cancelled(f"{job.name}: {why}"))

    def cancel_all(self, why: str) -> None:
        for job in list(self.jobs.values()):
            self.cancel(job, why)

    def run(self) -> None:
        while True:
            if not self.jobs:
                self.came.clear()
                self.came.wait()
            gevent.sleep(self._pause_s())
            self.slice()

    def _pause_s(self) -> float:
        now = self.clock()
        if any(due(job.waiting, now, SOON_US) for job in self.jobs.values()):
            return YIELD_S
        return max(YIELD_S, self.allowance.ready_in(now) / 1e6)

    def slice(self) -> bool:
        """One slice of the job that is chosen; whether one ran."""
        now = self.clock()
        for job in [
            each
            for each in self.jobs.values()
            if each.waiting.deadline_us is not None and each.waiting.deadline_us <= now
        ]:
            self.cancel(job, "deadline passed")
        chosen = choose((job.waiting for job in self.jobs.values()), now, SOON_US)
        if chosen is None:
            return False
        if self.busy() and not due(chosen, now, SOON_US) and self.passed < MOST_PASSED:
            self.passed += 1
            return False
        self.passed = 0
        self._step(self.jobs[chosen.number], now)
        return True

    def _step(self, job: Job, now: int) -> None:
        began, end = thread_time_ns(), thread_time_ns() + SLICE_US * 1000
        # A pass of the collector over all that a long job makes takes longer than any slice, and would come
        # in the middle of a round as well. What a slice leaves is set aside; it is freed by its counts as
        # before.
        gc.disable()
        try:
            while thread_time_ns() < end:
                next(job.steps)
        except StopIteration as done:
            self._end(job)
            job.result.set(done.value)
        except Exception as fault:  # noqa: BLE001 - a job's fault is its owner's to hear, no other's
            self._end(job)
            job.result.set_exception(fault)
        finally:
            used = (thread_time_ns() - began) // 1000
            if used > SET_ASIDE_US:
                gc.freeze()
            gc.enable()
        self.longest_us = max(self.longest_us, used)
        self.allowance.spend(used)
        job.waiting = job.waiting._replace(spent_us=job.waiting.spent_us + used)

    def _end(self, job: Job) -> None:
        self.jobs.pop(job.waiting.number, None)

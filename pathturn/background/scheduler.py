"""Cooperative scheduler that runs background jobs in time slices between decision rounds.

A job is a generator that yields often and returns its result. `job_selection` decides which job runs next;
this module has the greenlet, the clock and the results of the jobs.
"""

import gc
from collections.abc import Callable, Generator
from itertools import count
from time import thread_time_ns
from typing import Any

import gevent
from gevent.event import AsyncResult, Event

from pathturn.background.job_selection import CpuBudget, QueuedJob, deadline_is_near, select_job

CPU_SHARE = 0.25  # of one core
CPU_BURST_US = 20_000  # CPU time that may be saved up while no job runs
TIME_SLICE_US = 1_000  # a job is suspended at its first yield after this
GC_FREEZE_THRESHOLD_US = 300  # shorter slices leave too few objects to matter
# A job this close to its deadline runs regardless of priorities, the CPU budget and waiting traffic.
DEADLINE_NEAR_US = 200_000
MIN_PAUSE_S = 0.001
# Consecutive slices deferred for traffic; limited so that jobs progress even if the gateway is always busy.
MAX_DEFERRALS = 50
MAX_JOBS = 64


class JobCancelled(Exception):
    """The job was cancelled or missed its deadline."""


class JobQueueFull(Exception):
    """The job was rejected because MAX_JOBS are queued."""


class Job:
    """A submitted job; `result` is set when it ends."""

    __slots__ = ("name", "steps", "queued", "result")

    def __init__(self, name: str, steps: Generator[None, None, Any], queued: QueuedJob) -> None:
        self.name = name
        self.steps = steps
        self.queued = queued
        self.result = AsyncResult()


class Scheduler:
    """Runs submitted jobs one time slice at a time, in the greenlet that calls `run`."""

    def __init__(self, clock: Callable[[], int], traffic_waiting: Callable[[], bool] = lambda: False) -> None:
        """Slices are deferred while `traffic_waiting` returns true, unless the job has a near deadline."""
        self.clock = clock
        self.traffic_waiting = traffic_waiting
        self.job_ids = count()
        self.jobs: dict[int, Job] = {}
        self.cpu_budget = CpuBudget(CPU_SHARE, CPU_BURST_US, clock())
        self.job_submitted = Event()
        self.longest_slice_us = 0
        self.deferrals = 0

    def submit(
        self, name: str, steps: Generator[None, None, Any], priority: int = 5, deadline_us: int | None = None
    ) -> Job:
        """Queue a job. Its `result` raises what the job raises, or JobCancelled if the job is cancelled."""
        if len(self.jobs) >= MAX_JOBS:
            raise JobQueueFull(f"background job queue is full: {len(self.jobs)} jobs queued")
        job = Job(name, steps, QueuedJob(next(self.job_ids), priority, 0, deadline_us))
        self.jobs[job.queued.job_id] = job
        self.job_submitted.set()
        return job

    def cancel(self, job: Job, reason: str = "cancelled") -> None:
        if self.jobs.pop(job.queued.job_id, None) is not None:
            job.steps.close()
            job.result.set_exception(JobCancelled(f"{job.name}: {reason}"))

    def cancel_all(self, reason: str) -> None:
        for job in list(self.jobs.values()):
            self.cancel(job, reason)

    def run(self) -> None:
        """Run jobs for ever."""
        while True:
            if not self.jobs:
                self.job_submitted.clear()
                self.job_submitted.wait()
            gevent.sleep(self._pause_s())
            self.run_slice()

    def _pause_s(self) -> float:
        now_us = self.clock()
        if any(deadline_is_near(job.queued, now_us, DEADLINE_NEAR_US) for job in self.jobs.values()):
            return MIN_PAUSE_S
        return max(MIN_PAUSE_S, self.cpu_budget.time_until_available(now_us) / 1e6)

    def run_slice(self) -> bool:
        """Cancel jobs past their deadline, then run one time slice; return whether a job ran."""
        now_us = self.clock()
        for job in [
            each
            for each in self.jobs.values()
            if each.queued.deadline_us is not None and each.queued.deadline_us <= now_us
        ]:
            self.cancel(job, "deadline exceeded")
        selected = select_job((job.queued for job in self.jobs.values()), now_us, DEADLINE_NEAR_US)
        if selected is None:
            return False
        if (
            self.traffic_waiting()
            and not deadline_is_near(selected, now_us, DEADLINE_NEAR_US)
            and self.deferrals < MAX_DEFERRALS
        ):
            self.deferrals += 1
            return False
        self.deferrals = 0
        self._run_job(self.jobs[selected.job_id], now_us)
        return True

    def _run_job(self, job: Job, now_us: int) -> None:
        started_ns, end_ns = thread_time_ns(), thread_time_ns() + TIME_SLICE_US * 1000
        # A garbage collection over all objects of a long job takes longer than a time slice, and could also
        # start in the middle of a decision round. Collection is therefore off during the slice, and what the
        # slice leaves is frozen: excluded from collection, though still freed by its reference counts.
        gc.disable()
        try:
            while thread_time_ns() < end_ns:
                next(job.steps)
        except StopIteration as done:
            self._remove(job)
            job.result.set(done.value)
        except Exception as error:  # noqa: BLE001 - passed on to whoever waits for the result of this job
            self._remove(job)
            job.result.set_exception(error)
        finally:
            used_us = (thread_time_ns() - started_ns) // 1000
            if used_us > GC_FREEZE_THRESHOLD_US:
                gc.freeze()
            gc.enable()
        self.longest_slice_us = max(self.longest_slice_us, used_us)
        self.cpu_budget.spend(used_us)
        job.queued = job.queued._replace(cpu_used_us=job.queued.cpu_used_us + used_us)

    def _remove(self, job: Job) -> None:
        self.jobs.pop(job.queued.job_id, None)

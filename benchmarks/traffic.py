"""Seeded traffic for the guard, with harm and crashes of known size; its plain baseline is beside it."""

from bisect import bisect
from collections.abc import Iterator
from itertools import accumulate
from random import Random
from typing import NamedTuple

from pathturn.change.canary_analysis import CONTROL, TREATMENT, UNRELATED, Baseline, BatchOutcome

GROUPS = {"lookup": (0.5, 0.02, 20_000), "report": (0.3, 0.05, 400_000), "load": (0.2, 0.03, 150_000)}
TOUCHED_KIND = 0.7  # of each group's batches are of the kinds that the change touches
RATE = 60.0  # batches a second in all
GROUP_RATE = 3 * 60.0 / TOUCHED_KIND  # so that the change touches 60 a second of each group
BEFORE_S, CANARY_S = 60, 3
CRASH_S = 8


class Day(NamedTuple):
    """One change: the group it harms and by how much (0 for none), and a crash that takes a share of both
    sides."""

    group: str = ""
    points: float = 0.0
    sort: str = "errored"
    crash_at: float = -1e9
    crash_points: float = 0.0


def draw(chance: Random, day: Day, at: float, side: str, group: str) -> BatchOutcome:
    _, usual, latency = GROUPS[group]
    crash = day.crash_points if day.crash_at <= at < day.crash_at + CRASH_S else 0.0
    # Both sides feel the crash, though never just alike.
    crash *= 1.15 if side == TREATMENT else 1.0
    harmed = side == TREATMENT and group == day.group
    roll = chance.random()
    took = int(latency * chance.lognormvariate(0, 0.6))
    if roll < (day.points if harmed else 0.0):
        return BatchOutcome(group, day.sort, True, took * 5, 0.0)
    if chance.random() < usual + crash:
        how = chance.choice(("errored", "pushed_back", "returned", "given_up"))
        return BatchOutcome(group, how, True, took * 3, 0.2 if how == "returned" else 0.0)
    return BatchOutcome(group, "returned", False, took, 1.0)


def harmless(chance: Random, span: int) -> Day:
    return Day(crash_at=chance.uniform(-5, 0.8 * span), crash_points=chance.choice((0, 0, 0.1, 0.3, 0.6)))


def harmful(chance: Random, span: int, crashed: bool) -> Day:
    """Effects of 5 points and more on one group; also where an engine's crash shakes both sides."""
    crash = chance.uniform(-5, 0.8 * span) if crashed else -1e9
    return Day(
        chance.choice(list(GROUPS)),
        chance.uniform(0.05, 0.5),
        chance.choice(("errored", "pushed_back", "given_up", "returned")),
        crash,
        0.3,
    )


Arrival = tuple[float, str, bool, float]


def arrivals(chance: Random, start: float, end: float, rate: float) -> Iterator[Arrival]:
    """When, which group, whether of a touched kind, and where the unit lies in the canary's hash."""
    at, names, roll = start, list(GROUPS), chance.random
    # At a rate for each group all come alike often; else as the farm's usual mix has it.
    ends = [1 / 3, 2 / 3] if rate == GROUP_RATE else list(accumulate(row[0] for row in GROUPS.values()))[:2]
    while (at := at + chance.expovariate(rate)) < end:
        yield at, names[bisect(ends, roll())], roll() < TOUCHED_KIND, roll()


def before(chance: Random, day: Day, rate: float) -> Baseline:
    told, span = Baseline(), BEFORE_S * min(1.0, 2 * RATE / rate)  # what comes often needs less of a past
    for at, group, touched, _ in arrivals(chance, -span, 0, rate):
        told.add(int((at + span) * 1e6), touched, draw(chance, day, at, UNRELATED, group))
    return told.finish()


def during(
    chance: Random, day: Day, share: float, rate: float, span: int
) -> Iterator[tuple[float, str, BatchOutcome]]:
    for at, group, touched, unit in arrivals(chance, 0, CANARY_S + span, rate):
        served = touched and (at >= CANARY_S or unit < share)
        side = TREATMENT if served else CONTROL if touched else UNRELATED
        yield at, side, draw(chance, day, at, side, group)


class Plain:
    """The plain baseline: undoes when the share of late batches over all passes its share before by 5
    points."""

    def __init__(self, told: Baseline) -> None:
        rows = list(told.counts.values())
        self.usual = sum(row.badness[0] for row in rows) / max(1, sum(row.batches for row in rows))
        self.batches = self.late = 0

    def add(self, side: str, ended: BatchOutcome) -> None:
        self.batches += 1
        self.late += ended.late

    def harm(self) -> bool:
        return self.batches >= 50 and self.late / self.batches > self.usual + 0.05

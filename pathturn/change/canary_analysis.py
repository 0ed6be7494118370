"""Judges a change while it is on trial: pure, by counts alone.

For each service group and each way to do badly, what the change touches is held against what it would have
been without: its own share before, moved by what happened meanwhile to batches left alone (difference in
differences). Left alone are the same kind of batches outside the canary's share, else batches that the change
does not touch. So an engine's crash moves both sides, and one group's loss is seen where the total looks
fine.

The statistic is the signed root of the binomial likelihood ratio, which stands small counts, with variances
blown up by the scatter that the seconds before showed. It is looked at over and over, so its bound is one
that holds at all times at once: Robbins' normal mixture (Ann. Math. Statist. 41, 1970, p. 1397). The policy's
rate of false alarms is shared out over groups and metrics.
"""

from collections import defaultdict
from collections.abc import Iterator
from itertools import accumulate
from math import inf, log, sqrt
from typing import NamedTuple

from pathturn.config.document import ChangePolicy

SLICE = 64  # batches between two yields
METRICS = ("late", "errored", "pushed_back", "given_up", "slow", "utility_lost")
LATE_PART = 0.6  # of the allowed false alarms go to the one metric that sums most others up
RHO = 50.0  # batches at which the bound is tightest
LEAST_CONTROL, CONTROL_PART = 30, 0.25  # fewer, or less than this part of the touched, tell little
CALM, WINDOWS = 2.5, (1, 2, 4)  # standard errors of a control that chance explains, and slices taken together
MOST_RELIEF = 0.5  # of the share before: calm elsewhere is thin proof that next to nothing is due
UNSEEN = 0.004  # what may have moved though the control looks calm
SLOTS = 64  # slices of the watch, each at least a second
UNLIKE, UNLIKE_SAME = 0.5, 0.15  # a shock is taken to hit both sides alike within this part of itself
SLOW = 0.9  # the quantile before the change above which a batch counts as slow
SLOW_HARM = 0.05  # quantiles wander more than shares of failures: so much more of them must be slow
MOST_SCATTER = 10.0
# Served by the change; of a kind that it touches, but not served by it; of other kinds.
TREATMENT, CONTROL, UNRELATED = "treatment", "control", "unrelated"


class BatchOutcome(NamedTuple):
    """How one batch ended. `worth`: the part of its utility that was returned, 0 to 1."""

    group: str
    outcome: str
    late: bool
    latency_us: int
    utility_share: float


class Finding(NamedTuple):
    """One comparison: shares of batches, the statistic and the bound that it has to pass."""

    group: str
    metric: str
    touched: float
    expected: float
    batches: int
    score: float
    bound: float

    @property
    def is_harm(self) -> bool:
        return self.score > self.bound

    def severity(self) -> float:
        return self.score / self.bound

    def __str__(self) -> str:
        return (
            f"{self.group}: {self.metric} {self.touched:.1%}, {self.expected:.1%} without the change, "
            f"{self.batches} batches, score {self.score:.1f} of {self.bound:.1f}"
        )


def badness_by_metric(ended: BatchOutcome, slow_us: float) -> list[float]:
    """How badly a batch ended, 0 to 1 by metric."""
    how = ended.outcome
    return [
        float(ended.late),
        float(how == "errored"),
        float(how == "pushed_back"),
        float(how == "given_up"),
        float(how == "returned" and ended.latency_us > slow_us),
        1.0 - ended.utility_share,
    ]


class OutcomeCounts:
    """Counts of one group on one side, and by slices of the time how many there were and how many late."""

    __slots__ = ("batches", "badness", "slots")

    def __init__(self) -> None:
        self.batches, self.badness = 0, [0.0] * len(METRICS)
        self.slots: dict[int, list[float]] = {}

    def count(self, bad: list[float], slot: int | None = None) -> None:
        self.batches += 1
        self.badness = [have + more for have, more in zip(self.badness, bad)]
        if slot is not None:
            row = self.slots.setdefault(slot, [0, 0])
            row[0] += 1
            row[1] += bad[0]

    def share(self, metric: int) -> float:
        return self.badness[metric] / self.batches if self.batches else 0.0


class Baseline:
    """What was so before the change, by group, for kinds that it touches (True) and others (False)."""

    def __init__(self) -> None:
        self.counts: dict[tuple[str, bool], OutcomeCounts] = defaultdict(OutcomeCounts)
        self.slow_us: dict[str, float] = {}
        self.scatters: dict[str, float] = {}
        self.held: dict[str, list[tuple[int, bool, BatchOutcome]]] = defaultdict(list)

    def add(self, at_us: int, touched: bool, ended: BatchOutcome) -> None:
        self.held[ended.group].append((at_us, touched, ended))

    def finish(self) -> "Baseline":
        """Once all are in: the quantile that makes a batch slow needs all of a group."""
        for _ in self.finish_in_slices():
            pass
        return self

    def finish_in_slices(self) -> Iterator[None]:
        """The same in slices."""
        for group, rows in self.held.items():
            times = sorted(ended.latency_us for _, _, ended in rows if ended.outcome == "returned")
            self.slow_us[group] = times[int(SLOW * (len(times) - 1))] if len(times) >= 20 else inf
            for turn, (at_us, touched, ended) in enumerate(rows):
                if turn % SLICE == 0:
                    yield
                self.counts[group, touched].count(
                    badness_by_metric(ended, self.slow_us[group]), at_us // 1_000_000
                )
            self.scatters[group] = self._scatter(group)
        while self.held:
            _, rows = self.held.popitem()
            while rows:
                del rows[-SLICE:]
                yield

    def counts_for(self, group: str, touched: bool) -> OutcomeCounts:
        return self.counts.get((group, touched)) or OutcomeCounts()

    def overdispersion(self, group: str) -> float:
        return self.scatters.get(group, 1.0)

    def _scatter(self, group: str) -> float:
        """By how much seconds differ more than chance alone would have it; 1 for chance."""
        rows = [row for touched in (True, False) for row in self.counts_for(group, touched).slots.values()]
        batches = sum(row[0] for row in rows)
        share = sum(row[1] for row in rows) / batches if batches else 0.0
        if len(rows) < 10 or not 0 < share < 1:
            return 1.0
        spread = sum((bad - count * share) ** 2 / (count * share * (1 - share)) for count, bad in rows)
        return min(MOST_SCATTER, max(1.0, spread / (len(rows) - 1)))


class Control:
    """Batches left alone, slice by slice of the time: by how much each metric passed its share before."""

    __slots__ = ("total", "rows", "known")

    def __init__(self) -> None:
        self.total, self.known = 0, {}
        self.rows: dict[int, list[float]] = {}

    def add(self, slot: int, bad: list[float], usual: list[float]) -> None:
        self.total += 1
        row = self.rows.get(slot)
        if row is None:
            row = self.rows[slot] = [0.0] * (1 + 2 * len(METRICS))
        row[0] += 1
        for at, each in enumerate(bad):
            row[1 + 2 * at] += each
            row[2 + 2 * at] += each - usual[at]

    def share(self, metric: int) -> float:
        return (sum(row[1 + 2 * metric] for row in self.rows.values()) + 0.5) / (self.total + 1)

    def moved(self, metric: int) -> set[int]:
        """The slices in which more than chance moved it: alone, with their neighbours, or all of them. Taking
        off what chance alone moved would cost the guard most of its sight: a control is often the smaller
        part."""
        known = self.known.get(metric)
        if known is None or known[0] != self.total:
            known = self.known[metric] = (self.total, self._moved(2 + 2 * metric))
        return known[1]

    def _moved(self, at: int) -> set[int]:
        bad = sum(row[at - 1] for row in self.rows.values())
        over = sum(row[at] for row in self.rows.values())
        usual = min(0.99, max(0.0, (bad - over) / self.total))
        chance = usual * (1 - usual)
        if abs(over) > CALM * sqrt(self.total * chance + 1):
            return set(self.rows)
        slots, found = sorted(self.rows), set()
        counts = [0, *accumulate(self.rows[slot][0] for slot in slots)]
        overs = [0, *accumulate(self.rows[slot][at] for slot in slots)]
        for width in WINDOWS:
            for first in range(len(slots) - width + 1):
                moved, batches = overs[first + width] - overs[first], counts[first + width] - counts[first]
                if moved * moved > CALM * CALM * (batches * chance + 1):
                    found.update(slots[first : first + width])
        return found


class CanaryAnalysis:
    def __init__(self, before: Baseline, policy: ChangePolicy) -> None:
        self.baseline, self.policy = before, policy
        self.slot_us = max(1_000_000, policy.watch // SLOTS)
        self.touched: dict[str, OutcomeCounts] = defaultdict(OutcomeCounts)
        self.beside: dict[str, OutcomeCounts] = defaultdict(OutcomeCounts)
        self.controls: dict[str | None, Control] = defaultdict(Control)
        self.usual: dict[tuple[str, bool], list[float]] = {}

    def add(self, at_us: int, side: str, ended: BatchOutcome) -> None:
        slow_us, slot = self.baseline.slow_us.get(ended.group, inf), at_us // self.slot_us
        bad = badness_by_metric(ended, slow_us)
        if side == TREATMENT:
            self.touched[ended.group].count(bad, slot)
            return
        kind = side == CONTROL
        if kind:
            self.beside[ended.group].count(bad)
        usual = self._usual(ended.group, kind)
        if usual is not None:
            for name in (ended.group, None):
                self.controls[name].add(slot, bad, usual)

    def _usual(self, group: str, kind: bool) -> list[float] | None:
        """Shares before of what a batch left alone belongs to; too few tell none."""
        if (group, kind) not in self.usual:
            then = self.baseline.counts_for(group, kind)
            then = then if then.batches >= LEAST_CONTROL else self.baseline.counts_for(group, not kind)
            self.usual[group, kind] = (
                [then.share(metric) for metric in range(len(METRICS))]
                if then.batches >= LEAST_CONTROL
                else None
            )
        return self.usual[group, kind]

    def affected_groups(self) -> list[str]:
        """The groups that the change touches, by what came before it and since."""
        before = {group for (group, kind), tally in self.baseline.counts.items() if kind and tally.batches}
        return sorted(before | self.touched.keys() | self.beside.keys())

    def findings(self) -> list[Finding]:
        groups = self.affected_groups()
        found = [
            self._compare(group, metric, len(groups)) for group in groups for metric in range(len(METRICS))
        ]
        return [each for each in found if each is not None]

    def worst_harm(self) -> Finding | None:
        """The worst of what is proven, if anything is."""
        return max((each for each in self.findings() if each.is_harm), key=Finding.severity, default=None)

    def unjudged_groups(self) -> list[str]:
        """Groups of which too little came to tell."""
        groups = self.affected_groups()
        return [
            group
            for group in groups
            if self.touched[group].batches < self.policy.least or self._compare(group, 0, len(groups)) is None
        ]

    def _kind(self, group: str) -> OutcomeCounts:
        """What stands for the group before the change: its touched kinds, else the whole of it."""
        own = self.baseline.counts_for(group, True)
        return own if own.batches >= LEAST_CONTROL else self.baseline.counts_for(group, False)

    def _compare(self, group: str, metric: int, groups: int) -> Finding | None:
        touched, kind = self.touched[group], self._kind(group)
        if touched.batches < min(10, self.policy.least) or not kind.batches:
            return None
        moved = self._moved(group, metric, touched)
        if moved is None:
            return None
        shift, noise, unlike = moved
        plain = (kind.badness[metric] + 0.5) / (kind.batches + 1)
        slack = SLOW_HARM if METRICS[metric] == "slow" else self.policy.harm
        expected = min(0.999, max(MOST_RELIEF * plain, plain + shift))
        against = min(0.9995, expected + slack)
        share = touched.share(metric)
        # What calm elsewhere takes off must not make the variance vanish with it.
        chance = max(expected * (1 - expected), plain * (1 - plain))
        spread = (
            self.baseline.overdispersion(group) * (1 / touched.batches + 1 / kind.batches)
            + (noise + unlike**2) / chance
        )
        score = sqrt(2 * _divergence(share, against) / spread) if share > against else 0.0
        part = LATE_PART if metric == 0 else (1 - LATE_PART) / (len(METRICS) - 1)
        return Finding(
            group,
            METRICS[metric],
            share,
            expected,
            touched.batches,
            score,
            confidence_bound(1 / spread, self.policy.false_alarms * part / max(1, groups)),
        )

    def _moved(self, group: str, metric: int, touched: OutcomeCounts) -> tuple[float, float, float] | None:
        """What happened meanwhile to batches left alone, its variance, and how unlike the touched may be.
        Told by the group's own control and by all together, whichever moved more: a shock that the thin one
        of them missed by chance must not be taken for the change's. None: a control is to be had, but not
        yet."""
        own, every = self.controls[group], self.controls[None]
        if every.total < LEAST_CONTROL:
            known = any(
                not kind and tally.batches >= LEAST_CONTROL
                for (_, kind), tally in self.baseline.counts.items()
            )
            return None if known else (0.0, 0.0, 0.0)
        told = [self._told(every, UNLIKE, metric, touched)]
        if own.total >= max(LEAST_CONTROL, CONTROL_PART * touched.batches):
            told.append(self._told(own, UNLIKE_SAME, metric, touched))
        return max(told, key=lambda each: (each[0], -each[2]))

    def _told(
        self, control: Control, unlike: float, metric: int, touched: OutcomeCounts
    ) -> tuple[float, float, float]:
        """Each slice of time counts as the touched have batches in it, else a crash at the end of the canary,
        when most is touched, would be told from a control that saw it thinly."""
        moved = control.moved(metric) | self.controls[None].moved(metric)
        shift = noise = 0.0
        overall = control.share(metric)
        for slot, row in touched.slots.items():
            if slot not in moved or slot not in control.rows:
                continue
            there, bad, over = control.rows[slot][0], *control.rows[slot][1 + 2 * metric : 3 + 2 * metric]
            share, part = (bad + overall) / (there + 1), row[0] / touched.batches
            shift += part * over / there
            noise += part * part * share * (1 - share) / there
        return shift, noise + UNSEEN**2, unlike * abs(shift)


def _divergence(share: float, expected: float) -> float:
    """Of two coins, in nats a toss."""
    inside = share * log(share / expected) if share > 0 else 0.0
    return inside + ((1 - share) * log((1 - share) / (1 - expected)) if share < 1 else 0.0)


def confidence_bound(weight: float, false_alarms: float) -> float:
    """What the statistic passes by chance at any time with that probability, after so many batches' worth."""
    return sqrt((1 + RHO / weight) * (log(1 + weight / RHO) + 2 * log(1 / (2 * false_alarms))))

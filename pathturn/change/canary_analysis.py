"""Canary analysis: decides from counts alone whether a change on trial does harm. Without I/O.

For each service group and metric, the treatment group (batches routed by the new generation) is compared with
what would be expected without the change: its own share in the baseline, shifted by what happened meanwhile
to the control group (difference in differences). The control group has two parts: affected batches that the
canary's share leaves with the current generation, and unrelated traffic, which the change does not affect. So
the crash of an engine shifts both sides, and harm to one group is found even if the total looks normal.

The statistic is the signed root of the binomial likelihood ratio, which suits small counts. Its variance is
scaled by the overdispersion between the seconds of the baseline. As it is evaluated repeatedly, its bound
holds at all times at once: Robbins' normal mixture (Ann. Math. Statist. 41, 1970, p. 1397). The policy's
false alarm rate is divided among groups and metrics.
"""

from collections import defaultdict
from collections.abc import Iterator
from itertools import accumulate
from math import inf, log, sqrt
from typing import NamedTuple

from pathturn.config.document import ChangePolicy

SECOND_US = 1_000_000
BATCHES_PER_SLICE = 64  # of background work
METRICS = ("late", "errored", "pushed_back", "given_up", "slow", "utility_lost")
LATE_ALARM_SHARE = 0.6  # of the false alarm rate; `late` is the one metric that covers most of the others
MIXTURE_RHO_BATCHES = 50.0  # number of batches at which the bound is tightest
# A control group with fewer batches, or fewer than this share of the treatment group, is not used.
MIN_CONTROL_BATCHES = 30
MIN_CONTROL_SHARE = 0.25
MIN_TREATMENT_BATCHES = 10
# A shift of the control group counts if chance does not explain it: by this many standard errors, in windows
# of these numbers of intervals.
SHIFT_STANDARD_ERRORS = 2.5
WINDOW_INTERVALS = (1, 2, 4)
# The expected share is at least this part of the baseline's: a control group that does better is weak
# evidence that the treatment group would have had almost no failures.
MIN_EXPECTED_OF_BASELINE = 0.5
MAX_EXPECTED_SHARE = 0.999
MAX_REFERENCE_SHARE = 0.9995  # expected share and allowed harm together
UNDETECTED_SHIFT = 0.004  # standard error of a shift too small to show in the control group
MAX_INTERVALS = 64  # of the watch, each at least one second
# Relative difference by which a common disturbance may hit the two sides unequally: control group of all
# groups, and of the same group.
MISMATCH_ALL_GROUPS = 0.5
MISMATCH_SAME_GROUP = 0.15
SLOW_QUANTILE = 0.9  # of the baseline's latency; a batch above it counts as slow
SLOW_HARM_SHARE = 0.05  # quantiles vary more than shares of failures, so more of them must be slow
MIN_LATENCIES = 20  # for the quantile
MIN_OVERDISPERSION_SECONDS = 10
MAX_OVERDISPERSION = 10.0
# Routed by the new generation; affected, but routed by the current generation; not affected.
TREATMENT, CONTROL, UNRELATED = "treatment", "control", "unrelated"


class BatchOutcome(NamedTuple):
    """How one batch ended. `utility_share` is the share of its utility that was returned, 0 to 1."""

    group: str
    outcome: str
    late: bool
    latency_us: int
    utility_share: float


class Finding(NamedTuple):
    """One comparison: shares of batches, the statistic, and the bound above which it proves harm.

    The status of a change shows the fields under their names. `touched` is the share in the treatment group.
    """

    group: str
    metric: str
    touched: float
    expected: float
    batches: int
    score: float
    bound: float

    @property
    def is_harm(self) -> bool:
        """Whether the statistic is above its bound."""
        return self.score > self.bound

    def severity(self) -> float:
        """Return the statistic relative to its bound."""
        return self.score / self.bound

    def __str__(self) -> str:
        return (
            f"{self.group}: {self.metric} {self.touched:.1%}, {self.expected:.1%} without the change, "
            f"{self.batches} batches, score {self.score:.1f} of {self.bound:.1f}"
        )


def badness_by_metric(outcome: BatchOutcome, slow_us: float) -> list[float]:
    """Return how badly a batch ended by each metric, 0 to 1."""
    kind = outcome.outcome
    return [
        float(outcome.late),
        float(kind == "errored"),
        float(kind == "pushed_back"),
        float(kind == "given_up"),
        float(kind == "returned" and outcome.latency_us > slow_us),
        1.0 - outcome.utility_share,
    ]


class OutcomeCounts:
    """Outcomes of one group on one side: number of batches and sums of badness by metric; and by interval of
    time the numbers of all and of late batches."""

    __slots__ = ("batches", "badness", "intervals")

    def __init__(self) -> None:
        self.batches = 0
        self.badness = [0.0] * len(METRICS)
        self.intervals: dict[int, list[float]] = {}

    def count(self, badness: list[float], interval: int | None = None) -> None:
        """Add one batch."""
        self.batches += 1
        self.badness = [total + more for total, more in zip(self.badness, badness)]
        if interval is not None:
            row = self.intervals.setdefault(interval, [0, 0])
            row[0] += 1
            row[1] += badness[0]

    def share(self, metric: int) -> float:
        """Return the mean badness by this metric."""
        return self.badness[metric] / self.batches if self.batches else 0.0


class Baseline:
    """Outcomes before the change by group, for batches that it affects (True) and others (False)."""

    def __init__(self) -> None:
        self.counts: dict[tuple[str, bool], OutcomeCounts] = defaultdict(OutcomeCounts)
        self.slow_us: dict[str, float] = {}
        self.overdispersions: dict[str, float] = {}
        self.pending: dict[str, list[tuple[int, bool, BatchOutcome]]] = defaultdict(list)

    def add(self, at_us: int, is_affected: bool, outcome: BatchOutcome) -> None:
        """Add one batch; it is counted by `finish`."""
        self.pending[outcome.group].append((at_us, is_affected, outcome))

    def finish(self) -> "Baseline":
        """Count the added batches once all are in: the latency quantile needs all batches of a group."""
        for _ in self.finish_in_slices():
            pass
        return self

    def finish_in_slices(self) -> Iterator[None]:
        """Do the same as `finish`, yielding between slices of work."""
        for group, rows in self.pending.items():
            latencies = sorted(outcome.latency_us for _, _, outcome in rows if outcome.outcome == "returned")
            self.slow_us[group] = (
                latencies[int(SLOW_QUANTILE * (len(latencies) - 1))]
                if len(latencies) >= MIN_LATENCIES
                else inf
            )
            for position, (at_us, is_affected, outcome) in enumerate(rows):
                if position % BATCHES_PER_SLICE == 0:
                    yield
                self.counts[group, is_affected].count(
                    badness_by_metric(outcome, self.slow_us[group]), at_us // SECOND_US
                )
            self.overdispersions[group] = self._overdispersion(group)
        while self.pending:
            _, rows = self.pending.popitem()
            while rows:
                del rows[-BATCHES_PER_SLICE:]
                yield

    def counts_for(self, group: str, is_affected: bool) -> OutcomeCounts:
        """Return the counts of the affected or the other batches of a group; empty if there are none."""
        return self.counts.get((group, is_affected)) or OutcomeCounts()

    def overdispersion(self, group: str) -> float:
        """Return the variance of late batches between seconds relative to chance; 1 means chance alone."""
        return self.overdispersions.get(group, 1.0)

    def _overdispersion(self, group: str) -> float:
        rows = [
            row
            for is_affected in (True, False)
            for row in self.counts_for(group, is_affected).intervals.values()
        ]
        batches = sum(row[0] for row in rows)
        share = sum(row[1] for row in rows) / batches if batches else 0.0
        if len(rows) < MIN_OVERDISPERSION_SECONDS or not 0 < share < 1:
            return 1.0
        chi_squared = sum((late - count * share) ** 2 / (count * share * (1 - share)) for count, late in rows)
        return min(MAX_OVERDISPERSION, max(1.0, chi_squared / (len(rows) - 1)))


class ControlGroup:
    """Batches not routed by the new generation, by interval of time: their number, and for each metric the
    badness and its excess over the baseline."""

    __slots__ = ("batches", "intervals", "shifted_cache")

    def __init__(self) -> None:
        self.batches = 0
        self.shifted_cache = {}
        self.intervals: dict[int, list[float]] = {}

    def add(self, interval: int, badness: list[float], baseline_shares: list[float]) -> None:
        """Add one batch."""
        self.batches += 1
        row = self.intervals.get(interval)
        if row is None:
            row = self.intervals[interval] = [0.0] * (1 + 2 * len(METRICS))
        row[0] += 1
        for metric, value in enumerate(badness):
            row[1 + 2 * metric] += value
            row[2 + 2 * metric] += value - baseline_shares[metric]

    def share(self, metric: int) -> float:
        """Return the mean badness by this metric, smoothed so that it is neither 0 nor 1."""
        return (sum(row[1 + 2 * metric] for row in self.intervals.values()) + 0.5) / (self.batches + 1)

    def shifted_intervals(self, metric: int) -> set[int]:
        """Return the intervals in which the metric shifted by more than chance: alone, with their neighbours,
        or all of them.

        Subtracting shifts by chance would cost the analysis most of its power, since the control group is
        often the smaller side.
        """
        cached = self.shifted_cache.get(metric)
        if cached is None or cached[0] != self.batches:
            cached = self.shifted_cache[metric] = (self.batches, self._shifted_intervals(2 + 2 * metric))
        return cached[1]

    def _shifted_intervals(self, column: int) -> set[int]:
        """Find them by the excess in this column of the rows; the column before it has the badness."""
        badness = sum(row[column - 1] for row in self.intervals.values())
        excess = sum(row[column] for row in self.intervals.values())
        baseline_share = min(0.99, max(0.0, (badness - excess) / self.batches))
        variance = baseline_share * (1 - baseline_share)
        if abs(excess) > SHIFT_STANDARD_ERRORS * sqrt(self.batches * variance + 1):
            return set(self.intervals)
        intervals = sorted(self.intervals)
        shifted = set()
        counts = [0, *accumulate(self.intervals[interval][0] for interval in intervals)]
        excesses = [0, *accumulate(self.intervals[interval][column] for interval in intervals)]
        for width in WINDOW_INTERVALS:
            for first in range(len(intervals) - width + 1):
                window_excess = excesses[first + width] - excesses[first]
                batches = counts[first + width] - counts[first]
                if window_excess * window_excess > SHIFT_STANDARD_ERRORS * SHIFT_STANDARD_ERRORS * (
                    batches * variance + 1
                ):
                    shifted.update(intervals[first : first + width])
        return shifted


class CanaryAnalysis:
    """Outcomes of batches during one trial, and their comparison with the baseline."""

    def __init__(self, baseline: Baseline, policy: ChangePolicy) -> None:
        self.baseline = baseline
        self.policy = policy
        self.interval_us = max(SECOND_US, policy.watch // MAX_INTERVALS)
        self.treatment: dict[str, OutcomeCounts] = defaultdict(OutcomeCounts)
        self.affected_control: dict[str, OutcomeCounts] = defaultdict(OutcomeCounts)
        # By service group, and for all groups together under None.
        self.control_groups: dict[str | None, ControlGroup] = defaultdict(ControlGroup)
        self.baseline_shares: dict[tuple[str, bool], list[float] | None] = {}

    def add(self, at_us: int, side: str, outcome: BatchOutcome) -> None:
        """Add a batch that ended at this time of the trial; `side` is TREATMENT, CONTROL or UNRELATED."""
        slow_us = self.baseline.slow_us.get(outcome.group, inf)
        interval = at_us // self.interval_us
        badness = badness_by_metric(outcome, slow_us)
        if side == TREATMENT:
            self.treatment[outcome.group].count(badness, interval)
            return
        is_affected = side == CONTROL
        if is_affected:
            self.affected_control[outcome.group].count(badness)
        baseline_shares = self._baseline_shares(outcome.group, is_affected)
        if baseline_shares is not None:
            for name in (outcome.group, None):
                self.control_groups[name].add(interval, badness, baseline_shares)

    def _baseline_shares(self, group: str, is_affected: bool) -> list[float] | None:
        """Return the baseline's shares by metric for a batch of the control group; None if it had too few
        batches."""
        if (group, is_affected) not in self.baseline_shares:
            counts = self.baseline.counts_for(group, is_affected)
            counts = (
                counts
                if counts.batches >= MIN_CONTROL_BATCHES
                else self.baseline.counts_for(group, not is_affected)
            )
            self.baseline_shares[group, is_affected] = (
                [counts.share(metric) for metric in range(len(METRICS))]
                if counts.batches >= MIN_CONTROL_BATCHES
                else None
            )
        return self.baseline_shares[group, is_affected]

    def affected_groups(self) -> list[str]:
        """Return the service groups that the change affects, by the traffic in the baseline and since."""
        before = {
            group
            for (group, is_affected), counts in self.baseline.counts.items()
            if is_affected and counts.batches
        }
        return sorted(before | self.treatment.keys() | self.affected_control.keys())

    def findings(self) -> list[Finding]:
        """Return a finding for each affected group and metric that can be compared."""
        groups = self.affected_groups()
        comparisons = [
            self._compare(group, metric, len(groups)) for group in groups for metric in range(len(METRICS))
        ]
        return [finding for finding in comparisons if finding is not None]

    def worst_harm(self) -> Finding | None:
        """Return the most severe finding of harm, if there is one."""
        return max((each for each in self.findings() if each.is_harm), key=Finding.severity, default=None)

    def unjudged_groups(self) -> list[str]:
        """Return the affected groups that have too little traffic to judge."""
        groups = self.affected_groups()
        return [
            group
            for group in groups
            if self.treatment[group].batches < self.policy.least
            or self._compare(group, 0, len(groups)) is None
        ]

    def _treatment_baseline(self, group: str) -> OutcomeCounts:
        """Return the baseline of the treatment group: affected batches, or the others if too few."""
        affected = self.baseline.counts_for(group, True)
        return affected if affected.batches >= MIN_CONTROL_BATCHES else self.baseline.counts_for(group, False)

    def _compare(self, group: str, metric: int, groups: int) -> Finding | None:
        """Return a finding, or None if there are too few batches on one side to compare. Whatever the policy
        says, a side without batches can't be compared."""
        treatment = self.treatment[group]
        baseline = self._treatment_baseline(group)
        least = max(1, min(MIN_TREATMENT_BATCHES, self.policy.least))
        if treatment.batches < least or not baseline.batches:
            return None
        estimate = self._shift(group, metric, treatment)
        if estimate is None:
            return None
        shift, shift_variance, mismatch = estimate
        baseline_share = (baseline.badness[metric] + 0.5) / (baseline.batches + 1)
        allowed_harm = SLOW_HARM_SHARE if METRICS[metric] == "slow" else self.policy.harm
        expected = min(
            MAX_EXPECTED_SHARE, max(MIN_EXPECTED_OF_BASELINE * baseline_share, baseline_share + shift)
        )
        reference = min(MAX_REFERENCE_SHARE, expected + allowed_harm)
        share = treatment.share(metric)
        # The variance must not vanish where a better control group lowers the expected share.
        variance = max(expected * (1 - expected), baseline_share * (1 - baseline_share))
        inverse_weight = (
            self.baseline.overdispersion(group) * (1 / treatment.batches + 1 / baseline.batches)
            + (shift_variance + mismatch**2) / variance
        )
        score = sqrt(2 * _divergence(share, reference) / inverse_weight) if share > reference else 0.0
        alarm_share = LATE_ALARM_SHARE if metric == 0 else (1 - LATE_ALARM_SHARE) / (len(METRICS) - 1)
        return Finding(
            group,
            METRICS[metric],
            share,
            expected,
            treatment.batches,
            score,
            confidence_bound(1 / inverse_weight, self.policy.false_alarms * alarm_share / max(1, groups)),
        )

    def _shift(self, group: str, metric: int, treatment: OutcomeCounts) -> tuple[float, float, float] | None:
        """Return the shift of the control group since the baseline, its variance, and the possible mismatch
        with the treatment group.

        It is estimated from the group's own control group and from that of all groups; the larger shift is
        used. A disturbance that the smaller of them missed by chance must not be blamed on the change.
        Returns None if the baseline has a usable control group, but too few batches of it have ended yet.
        """
        own = self.control_groups[group]
        overall = self.control_groups[None]
        if overall.batches < MIN_CONTROL_BATCHES:
            is_expected = any(
                not is_affected and counts.batches >= MIN_CONTROL_BATCHES
                for (_, is_affected), counts in self.baseline.counts.items()
            )
            return None if is_expected else (0.0, 0.0, 0.0)
        estimates = [self._estimate_shift(overall, MISMATCH_ALL_GROUPS, metric, treatment)]
        if own.batches >= max(MIN_CONTROL_BATCHES, MIN_CONTROL_SHARE * treatment.batches):
            estimates.append(self._estimate_shift(own, MISMATCH_SAME_GROUP, metric, treatment))
        return max(estimates, key=lambda estimate: (estimate[0], -estimate[2]))

    def _estimate_shift(
        self, control: ControlGroup, mismatch: float, metric: int, treatment: OutcomeCounts
    ) -> tuple[float, float, float]:
        """Return the shift of one control group, its variance and its mismatch.

        Intervals are weighted by their batches in the treatment group. Otherwise the effect of a crash at the
        end of the canary, when the treatment group is largest, would be estimated from the few batches that
        the control group has then.
        """
        shifted = control.shifted_intervals(metric) | self.control_groups[None].shifted_intervals(metric)
        shift = variance = 0.0
        overall_share = control.share(metric)
        for interval, row in treatment.intervals.items():
            if interval not in shifted or interval not in control.intervals:
                continue
            batches = control.intervals[interval][0]
            badness, excess = control.intervals[interval][1 + 2 * metric : 3 + 2 * metric]
            share = (badness + overall_share) / (batches + 1)
            weight = row[0] / treatment.batches
            shift += weight * excess / batches
            variance += weight * weight * share * (1 - share) / batches
        return shift, variance + UNDETECTED_SHIFT**2, mismatch * abs(shift)


def _divergence(share: float, expected: float) -> float:
    """Return the Kullback-Leibler divergence of two Bernoulli distributions, in nats."""
    divergence = share * log(share / expected) if share > 0 else 0.0
    return divergence + ((1 - share) * log((1 - share) / (1 - expected)) if share < 1 else 0.0)


def confidence_bound(weight: float, false_alarms: float) -> float:
    """Return the bound that the statistic exceeds by chance at any time with at most this probability.

    `weight` is the effective number of batches.
    """
    return sqrt(
        (1 + MIXTURE_RHO_BATCHES / weight)
        * (log(1 + weight / MIXTURE_RHO_BATCHES) + 2 * log(1 / (2 * false_alarms)))
    )

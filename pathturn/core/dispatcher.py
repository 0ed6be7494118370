"""The decisions of one gateway: where and when each batch is dispatched, and how it ends.

Build a GatewayDispatcher from the settings, then call round(now_us, events, writer) once per round with all
events since the last one; decisions are written to the writer. Events, the writer protocol and shared names
are defined in pathturn/core/interface.py. Times are whole microseconds; work is single-threaded run time.
"""

import heapq
from collections import Counter, defaultdict, deque, namedtuple
from itertools import count
from math import exp, inf
from zlib import crc32

from pathturn.core import interface as names
from pathturn.structures.sliding_window import SlidingWindowSum

CONTROL_PERIOD_US = 1_000_000  # between updates of engine shares and between decreases of a limit
LOAD_SMOOTHING_US = 3_000_000  # time constant of the moving average of an engine's load
POLL_INTERVAL_US = 25_000  # between rounds while batches are ready
# Kept of a batch's time for each other open one, as all of them may have to be answered at once.
ANSWER_TIME_US = 50
IN_FLIGHT_POLL_FACTOR = 4  # longer interval while dispatches are in flight but no batch is ready

# Latency model of a service group.
TARGET_SPILL_SHARE = 0.15  # of the dispatches
TARGET_SPILL_SHARE_PAGING = 0.02
INITIAL_GRANT_FACTOR = 2.0
MIN_GRANT_FACTOR = 0.3
MAX_GRANT_FACTOR = 8.0
INITIAL_SLOWDOWN = 1.5
MAX_SLOWDOWN = 10.0
SLOWDOWN_RATE = 0.05
UNREPORTED_COST_SLOWDOWN_FACTOR = 0.75  # where the slowdown is based on an estimate of the work
MIN_LEARNING_RATE = 0.03
BIAS_STEP = 0.5  # of the learning rate, towards the median
MIN_BIAS_SAMPLE = 0.2
MAX_BIAS_SAMPLE = 4.0
MAX_LATENCY_SAMPLES = 100  # weight of the past in the mean latency
MAX_WORK_SAMPLES = 200  # weight of the past in the typical work
MIN_WORK_US = 1_000.0
SMALL_BATCH_RATIO = 3.0  # a small batch has less work than this multiple of the smallest typical work
MEAN_WORK_RATE = 0.02

# Shares of the engines.
# Fields of an engine's report that state its load, best first: cores before disks before memory.
LOAD_FIELDS = ("held", "utilisation", "disks", "memory")
SOLVER_STEP = 0.1  # of the way from equal load per core to the split that the reported loads suggest
LOAD_FLOOR = 0.05  # added to each load, so that an idle engine isn't suggested for everything
LOAD_FLOOR_MEAN_SHARE = 0.25  # of the mean load, added likewise
LATENCY_WINDOW_US = 30 * CONTROL_PERIOD_US
LATENCY_BUCKETS = 6
POOLED_SAMPLES = 5.0  # an engine with fewer samples is fitted mostly with pooled ones
PROBES_PER_BATCH = 0.25
MAX_CREDIT = 5.0
MIN_CREDIT = -10.0
MAX_CREDIT_CHARGE = 10.0
CACHED_DATA_SETS = 8  # per engine
CACHED_DATA_SET_CREDIT = 0.5
TRIED_ENGINE_PENALTY = 100
MAX_SKIPPED_BATCHES = 24  # per pool and round; bounds the work when the first batches fit no engine
MAX_TIMERS_PER_BATCH = 4  # kept of open batches and ended ones together
MAX_STALE_TIMERS = 256
MIN_PRIORITY_2_VALUE = 0.2  # utility per work, relative to the best service group
MIN_PRIORITY_1_VALUE = 0.05

# Concurrency limits, as multiples of one engine's threads; those of the fleet also as multiples of this
# gateway's fair share.
THREADS_PER_CORE = 1.3  # above one, as threads wait for disks; engines thrash soon beyond it
OVERLOAD_SLOWDOWN = 1.9  # latency over work; above it cores, disks or memory of an engine are overcommitted
MAX_CONCURRENCY_LIMIT = 1.6
MIN_CONCURRENCY_LIMIT = 0.15
INITIAL_CONCURRENCY_LIMIT = 1.2
INITIAL_SMALL_BATCH_LIMIT = 4.0
MIN_SMALL_BATCH_LIMIT = 0.3
SMALL_BATCH_SLOWDOWN_WEIGHT = 0.5
REPORTED_COST_SLOWDOWN_WEIGHT = 1.65
LIMIT_DECREASE_FACTOR = 0.85
LIMIT_INCREASE = 0.1  # per sample, without any slowdown; less towards overload
SLOWDOWN_SMOOTHING = 0.15
MAX_DEBT_US = 2_000_000  # per unit of the limit
MIN_WAITING_REPORTED = 0.5  # queued dispatches in a report that lower the limit

# Outlier ejection.
OUTCOME_WINDOW_US = 3 * CONTROL_PERIOD_US
OUTCOME_BUCKETS = 6
EJECTION_MIN_ERRORS = 2
EJECTION_ERROR_SHARE = 0.2
EJECTION_JITTER = 0.3
LIST_UPDATE_US = 1_750_000  # by then a list tells what has changed: 1.5 s by the protocol, and the next query
NOTICE_TIMEOUT_FACTOR = 1.6  # of the interval between notices
NOTICE_TIMEOUT_SLACK_US = 300_000
SILENCE_RUNTIME_FACTOR = 4  # of the expected run time, where engines send no notices
SILENCE_SLACK_US = 2 * CONTROL_PERIOD_US

# Restarts and retries.
BAD_PLAN_RATIO = 3.5  # multiple of the expected run time: estimates scatter by less, bad plans by more
BAD_PLAN_MIN_SAVING = 1.5  # expected run times that a restart must save at least
MIN_PROGRESS = 0.02  # share of a dispatch; lower reported values count as this
DEDUP_WINDOW_SHARE = 0.95  # a repeat is sent only this far into the window in which engines drop it
RETRY_BUDGET_BUCKETS = 20
MIN_RUNTIME_SHARE = 0.5  # estimates scatter: the actual run may take only this share of the estimate
MIN_RETRY_AFTER_SHARE = 0.5  # of the longest retry-after
RETRY_AFTER_JITTER = 0.5

# Slow start. The rules state an engine's capacity as the rate at which this share of its cores is busy.
REFERENCE_UTILISATION = 0.85
SLOW_START_MARGIN = 0.6
SLOW_START_DRAW_SHARE = 0.5  # of the current capacity, used by all gateways together
SLOW_START_BUCKETS = 10

# Key queues. Clients resend pushed-back batches of one key one interval apart: with a longer queue the last
# of them would come too late. Resending may use a quarter of the group's time limit, as that much is
# subtracted from the time that each client states.
MAX_KEY_QUEUE = 32
KEY_RESEND_INTERVAL_US = 60_000
KEY_RESEND_TIME_LIMIT_DIVISOR = 4

Dispatch = namedtuple("Dispatch", "batch sent_us load")


def max_key_queue(group: names.ServiceGroup) -> int:
    """Return how many batches of one key may be held at once."""
    return max(
        1, min(MAX_KEY_QUEUE, group.time_limit_us // (KEY_RESEND_TIME_LIMIT_DIVISOR * KEY_RESEND_INTERVAL_US))
    )


class LatencyModel:
    """Run-time statistics of one service group: typical work, estimate bias, slowdown and memory grants."""

    def __init__(self, group: names.ServiceGroup, pages: bool) -> None:
        self.group = group
        self.typical_work_us = float(group.response_goal_us) * group.threads / 2
        self.work_bias = 1.0
        self.grant_factor = INITIAL_GRANT_FACTOR
        self.target_spill_share = TARGET_SPILL_SHARE_PAGING if pages else TARGET_SPILL_SHARE
        self.slowdown = INITIAL_SLOWDOWN
        self.mean_latency_us = 0.0
        self.samples = 0

    def record_returned(self, batch: "Batch", latency: int, work_us: int) -> float:
        """Add a sample and return its slowdown: its latency over the run time of the batch alone."""
        self.samples += 1
        rate = max(MIN_LEARNING_RATE, 1 / (self.samples + 4))
        threads = self.group.threads
        self.mean_latency_us += (latency - self.mean_latency_us) / min(self.samples, MAX_LATENCY_SAMPLES)
        if batch.work_hint_us and work_us:
            self.work_bias += rate * (
                min(MAX_BIAS_SAMPLE, max(MIN_BIAS_SAMPLE, work_us / batch.work_hint_us)) - self.work_bias
            )
        elif batch.work_hint_us:
            # Without a reported cost the median latency stands for the work: a mean would follow bad plans
            # and overloaded engines.
            self.work_bias *= exp(
                rate * (-BIAS_STEP if latency * threads / batch.work_hint_us < self.work_bias else BIAS_STEP)
            )
        # Converges where the target share of dispatches spills: a small one where engines page, as there a
        # larger grant costs nothing.
        self.grant_factor = min(
            MAX_GRANT_FACTOR,
            max(MIN_GRANT_FACTOR, self.grant_factor * (1 + rate * (batch.spilled - self.target_spill_share))),
        )
        slowdown = min(MAX_SLOWDOWN, latency * threads / max(1.0, work_us or batch.work_us))
        self.slowdown += SLOWDOWN_RATE * (max(1.0, slowdown) - self.slowdown)
        return slowdown if work_us else UNREPORTED_COST_SLOWDOWN_FACTOR * slowdown


class Batch:
    """An open batch, with its estimates and its dispatches in flight."""

    def __init__(
        self,
        index: int,
        model: LatencyModel,
        now: int,
        left_us: int,
        work_hint_us: int,
        memory_hint_mb: float,
    ):
        self.index = index
        self.model = model
        self.group = model.group
        self.deadline_us = now + left_us
        self.work_hint_us = work_hint_us
        self.memory_hint_mb = memory_hint_mb
        self.expires_us = self.deadline_us - 2 * POLL_INTERVAL_US
        self.work_us = max(MIN_WORK_US, work_hint_us * model.work_bias or model.typical_work_us)
        self.run_time_us = self.work_us / self.group.threads  # on an idle engine
        # Counted from this attempt: a short time left may mean a late attempt of the client, but also a
        # client that waits for less time.
        self.goal_deadline_us = (
            now + self.group.response_goal_us + int(self.group.goal_runtime_factor * self.run_time_us)
        )
        self.dispatch_count = 0
        self.restarts = 0
        self.tried_engines = set()
        self.in_flight = {}
        self.ended = False
        self.is_small = False
        self.spilled = False
        self.may_have_run_since_us = None
        self.may_have_run_on = None
        self.key = None
        self.data_set = None
        self.destination = None
        self.pool = None
        self.queue_entry = None

    def may_dispatch(self, now: int) -> bool:
        """Return whether a dispatch now can't have a second effect, by the kind of the service group."""
        return (
            self.may_have_run_since_us is None
            or self.group.kind == names.REPEATABLE
            or (
                self.group.kind == names.REFERENCED
                and now - self.may_have_run_since_us < DEDUP_WINDOW_SHARE * self.group.dedup_window_us
            )
        )

    def may_push_back(self) -> bool:
        """Return whether the client may be told to retry: a retry can't have a second effect."""
        dropped = self.group.kind == names.REFERENCED and self.group.dedup_scope == "all"
        return (
            dropped
            or self.group.kind == names.REPEATABLE
            or (self.may_have_run_since_us is None and not self.in_flight)
        )

    def allows_engine(self, engine: "Engine") -> bool:
        """Check placement; a referenced batch that may have run is limited to the engines that drop its
        repeat."""
        group = self.group
        first = self.may_have_run_on
        if (
            (group.zones is not None and engine.zone not in group.zones)
            or (group.machines is not None and engine.machine not in group.machines)
            or (self.destination is not None and not self.destination.allows_engine(engine.index))
        ):
            return False
        anywhere = first is None or group.kind == names.REPEATABLE or group.dedup_scope == "all"
        return anywhere or (
            engine.zone == first.zone if group.dedup_scope == "zone" else engine.cell == first.cell
        )


class ConcurrencyLimit:
    """Adaptive limit on this gateway's threads in use, as a multiple of one engine's threads. Increases while
    it is reached and decreases while the measured slowdown is high."""

    def __init__(
        self, limit: float, min_limit: float, max_limit: float, now: int, slowdown_weight: float = 1.0
    ) -> None:
        self.limit = limit
        self.min_limit = min_limit
        self.max_limit = max_limit
        self.slowdown_weight = slowdown_weight
        self.slowdown = 1.0
        self.decreased_us = now
        self.was_reached = False

    def decrease(self, now: int) -> None:
        """Decrease the limit, at most once per control period."""
        if now - self.decreased_us >= CONTROL_PERIOD_US:
            self.decreased_us = now
            self.limit = max(self.min_limit, LIMIT_DECREASE_FACTOR * self.limit)

    def record_slowdown(self, now: int, slowdown: float) -> None:
        """Add a sample, and adjust the limit to the mean slowdown."""
        self.slowdown += SLOWDOWN_SMOOTHING * (self.slowdown_weight * slowdown - self.slowdown)
        if self.slowdown > OVERLOAD_SLOWDOWN:
            self.decrease(now)
        elif self.was_reached:
            increased = self.limit + LIMIT_INCREASE * (1 - self.slowdown / OVERLOAD_SLOWDOWN)
            self.limit = min(self.max_limit, increased)
            self.was_reached = False

    def allows(self, wanted: float, is_idle: bool) -> bool:
        """Return whether `wanted` may be in use; a single dispatch always may where it is idle."""
        self.was_reached = self.was_reached or not (is_idle or wanted <= self.limit)
        return is_idle or wanted <= self.limit


class Engine:
    """One engine as this gateway sees it: its load, concurrency limit and health."""

    def __init__(self, index: int, limit: float, credit: float, now: int) -> None:
        self.index = index
        self.credit = credit
        self.share = 0.0
        self.threads_in_use = 0
        self.concurrency_limit = ConcurrencyLimit(limit, MIN_CONCURRENCY_LIMIT, MAX_CONCURRENCY_LIMIT, now)
        self.state = names.GONE
        self.started_us = 0
        self.cold_until_us = 0
        self.load = 0.0
        self.load_updated_us = -inf
        # Sums for the fit of latency over load: n, x, y, x * x, x * y.
        self.latency_samples = SlidingWindowSum(LATENCY_WINDOW_US, LATENCY_BUCKETS, 5)
        self.outcomes = SlidingWindowSum(OUTCOME_WINDOW_US, OUTCOME_BUCKETS, 2)  # errors, all
        self.last_heard_us = now
        self.ejected_until_us = 0
        self.in_flight = {}
        # Dispatches without an outcome, also those whose query has ended.
        self.outstanding = 0
        self.slow_start_work = None
        self.allowed_work_us = 0.0
        self.cached_data_sets = deque(maxlen=CACHED_DATA_SETS)

    def has_locked(self, data_set: int) -> bool:
        """Return whether a dispatch in flight here has the data set locked."""
        return any(
            dispatch.batch.data_set == data_set and dispatch.batch.group.locks_data_set
            for dispatch in self.in_flight.values()
        )

    def record_load(self, now: int, load: float) -> None:
        """Update the exponential moving average; the first report is taken as it is."""
        weight = 1 - exp(-(now - self.load_updated_us) / LOAD_SMOOTHING_US)
        self.load = self.load + weight * (load - self.load)
        self.load_updated_us = now


class RetryBudget:
    """Limits retries to a share of the batches within a window, plus a fixed number. Both sums err on the
    strict side by their oldest bucket: retries are counted too high, batches too low."""

    def __init__(self, fixed_retries: float, retry_share: float, window_us: int) -> None:
        self.fixed_retries = fixed_retries
        self.retry_share = retry_share
        self.batches = SlidingWindowSum(window_us, RETRY_BUDGET_BUCKETS)
        self.retries = SlidingWindowSum(window_us, RETRY_BUDGET_BUCKETS)

    def allows_retry(self, now: int) -> bool:
        """Return whether one more retry is within the budget."""
        return (
            self.retries.sums(now)[0] + 1
            <= self.fixed_retries + self.retry_share * self.batches.sums(now, within=True)[0]
        )


class SlowStart:
    """Limits the work sent to an engine that is warming up.

    All gateways together must stay below the load at which a cold engine fails, so each keeps to its share of
    the lowest capacity that a cold engine may have. Where that share is less than a small batch, gateways
    draw lots in each window, such that all of them send about half of the engine's current capacity. A
    gateway that has just started sends nothing for one window.
    """

    def __init__(
        self,
        cold_capacity: float,
        warm_up_us: int,
        failure_ratio: float,
        window_us: int,
        gateway_count: int,
        salt: object,
        smallest_work_us: float,
    ) -> None:
        self.work_per_core_us = (
            SLOW_START_MARGIN
            * failure_ratio
            * cold_capacity
            * REFERENCE_UTILISATION
            * window_us
            / gateway_count
        )
        self.warm_up_us = warm_up_us
        self.active_from_us = 0
        self.window_us = window_us
        self.smallest_work_us = smallest_work_us
        self.salt = salt
        self.cold_capacity = cold_capacity
        self.draw_chance_per_core = SLOW_START_DRAW_SHARE * window_us / gateway_count / smallest_work_us

    def remaining_work_us(self, now: int, engine: Engine) -> float:
        """Return how much work this gateway may still send to the engine; within a round it changes only by
        what is sent."""
        if now >= engine.cold_until_us or not self.work_per_core_us:
            return inf
        allowed = self.work_per_core_us * engine.cores
        start = engine.started_us or engine.cold_until_us - self.warm_up_us
        if allowed < self.smallest_work_us:
            # Counted from the last start, which the list may not show yet: counted from the one before it,
            # the engine would seem to have its full capacity.
            age = max(0, now - engine.cold_until_us + self.warm_up_us)
            capacity = self.cold_capacity + (1 - self.cold_capacity) * age / self.warm_up_us
            draw = crc32(f"{self.salt}:{engine.index}:{(now - start) // self.window_us}".encode()) / 2**32
            allowed = (
                self.smallest_work_us if draw < self.draw_chance_per_core * capacity * engine.cores else 0.0
            )
        engine.slow_start_work = engine.slow_start_work or SlidingWindowSum(
            self.window_us, SLOW_START_BUCKETS
        )
        return max(0.0, allowed - engine.slow_start_work.sums(now)[0]) if now >= self.active_from_us else 0.0


class KeyQueues:
    """FIFO queue of batches per ordering key.

    After a dispatch that may still be running the key has a quiet period. A key is blocked while the gateway
    process reports an unresolved execution. Retries of the batch at the head are not held back.
    """

    def __init__(self, quiet_us: int) -> None:
        self.quiet_us = quiet_us
        self.quiet_until_us = {}
        self.queues = {}
        self.unresolved = Counter()

    def eligible_at_us(self, batch: Batch) -> int | None:
        """Return from when the key allows a dispatch of the batch; None while an earlier batch or an
        unresolved execution blocks it."""
        if batch.key is None or batch.dispatch_count:
            return 0
        is_first = self.queues[batch.key][0] is batch and not self.unresolved[batch.key]
        return self.quiet_until_us.get(batch.key, 0) if is_first else None

    def remove(self, batch: Batch) -> Batch | None:
        """Remove a batch and return the one now at the head of the key's queue."""
        queue = self.queues[batch.key]
        queue.remove(batch)
        if not queue:
            del self.queues[batch.key]
        return queue[0] if queue else None


def fit_latency(own: list[float], pooled: list[float]) -> tuple[float, float]:
    """Fit a line of latency over load and return its intercept and slope. Few samples are complemented with
    pooled ones, and the slope is never negative, as load can't reduce latency."""
    n, x, y, xx, xy = (
        own_sum + POOLED_SAMPLES / max(POOLED_SAMPLES, pooled[0]) * pooled_sum
        for own_sum, pooled_sum in zip(own, pooled)
    )
    if n < 1:
        return 1.0, 0.0
    spread = xx - x * x / n
    slope = max(0.0, (xy - x * y / n) / spread) if spread > 1e-9 else 0.0
    return (y - slope * x) / n, slope


def solve_shares(
    cores: list[float], loads: list[float], lines: list[tuple], shares: list[float], traffic_share: float
):
    """Compute each engine's share of the dispatches: move from an even split per core towards the one that
    the reported loads suggest, until the predicted mean response time rises."""
    even = [core / sum(cores) for core in cores]
    floor = LOAD_FLOOR + LOAD_FLOOR_MEAN_SHARE * sum(loads) / len(loads)
    room = [core / (floor + load) for core, load in zip(cores, loads)]
    suggested = [each / sum(room) for each in room]

    def mean_response(target: list[float]) -> float:
        predicted_loads = (
            load * (1 + traffic_share * (to / share - 1)) for load, to, share in zip(loads, target, shares)
        )
        return sum(
            to * (line[0] + line[1] * max(0.0, load))
            for to, line, load in zip(target, lines, predicted_loads)
        )

    target = even
    best = mean_response(even)
    for _ in range(round(1 / SOLVER_STEP)):
        candidate = [
            current + SOLVER_STEP * (to - start) for current, to, start in zip(target, suggested, even)
        ]
        if (predicted := mean_response(candidate)) >= best:
            break
        target = candidate
        best = predicted
    return target


class GatewayDispatcher:
    """Decides for one gateway; see `interface.Dispatcher` for the events."""

    def __init__(
        self,
        *,
        seed,
        instance,
        gateway_count,
        groups,
        cores_by_machine,
        sets_memory_grants,
        pages_on_shortage,
        notice_interval_us,
        report_fields,
        probes,
        subscribes_to_list,
        max_dispatches,
        may_cancel,
        max_retry_after_us,
        min_round_interval_us,
        slow_start,
        key_quiet_us,
        retry_budget,
        reports_costs,
    ) -> None:
        self.seed = seed
        self.instance = instance
        self.counter = count()
        self.models = [LatencyModel(group, pages_on_shortage or not sets_memory_grants) for group in groups]
        self.cores_by_machine = cores_by_machine
        self.gateway_count = max(1, gateway_count)
        self.sets_memory_grants = sets_memory_grants
        self.notice_interval_us = notice_interval_us
        self.reports_costs = reports_costs
        self.load_field = next((field for field in LOAD_FIELDS if field in report_fields), None)
        self.report_fields = report_fields
        self.probes = probes
        self.min_round_interval_us = min_round_interval_us
        self.shutting_down = False
        self.max_dispatches = max_dispatches
        self.may_cancel = may_cancel
        self.max_retry_after_us = max_retry_after_us
        self.retry_budget = RetryBudget(*(retry_budget or (inf, 0.0, CONTROL_PERIOD_US)))
        self.slow_start = SlowStart(
            *slow_start,
            self.gateway_count,
            (seed, instance),
            min(model.typical_work_us for model in self.models),
        )
        self.key_queues = KeyQueues(key_quiet_us)
        self.subscribe_at_us = 0 if subscribes_to_list else inf
        self.engines = {}
        self.batches = {}
        self.ready_queues = {}  # by pool: heap of batches, most urgent first
        self.timers = []  # heap of (time, number, batch) at which a batch is reviewed
        self.wake_at_us = 0
        self.mean_work_us = sum(model.typical_work_us for model in self.models) / len(self.models)
        # Over all engines: a limit for all batches, and one for small batches alone.
        self.fleet_limits = ()
        self.fleet_threads = [0, 0]  # in use by other batches, and by small ones
        self.mean_engine_threads = 1.0
        self.debt_us = 0.0
        self.debt_updated_us = 0
        self.shares_solved_us = 0
        self.probe_credit = 0.0
        self.next_probe = seed

    def _ready_engines(self) -> list[Engine]:
        return [engine for engine in self.engines.values() if engine.state == names.READY]

    def pseudo_random(self, identity: int) -> float:
        """Return a number in [0, 1) that is reproducible for a seed."""
        return crc32(f"{self.seed}:{self.instance}:{identity}:{next(self.counter)}".encode()) / 2**32

    def may_start(self, index: int, now_us: int) -> bool:
        """Check again before the first byte of a dispatch: the window in which engines drop a repeat may have
        ended while the dispatch waited for a connection."""
        batch = self.batches.get(index)
        return batch is not None and batch.may_dispatch(now_us)

    def default_retry_after_us(self, identity: int) -> int:
        """Return when a client may retry a batch that is pushed back, 0 if settings forbid to say."""
        share = MIN_RETRY_AFTER_SHARE + RETRY_AFTER_JITTER * self.pseudo_random(identity)
        return int(self.max_retry_after_us * share)

    def key_queue_drain_us(self, group: names.ServiceGroup) -> int:
        """Return how long clients take to resend a full queue of one key, at the interval between resends."""
        return KEY_RESEND_INTERVAL_US * max_key_queue(group)

    def round(self, now_us: int, events: list[tuple], writer: names.Writer) -> None:
        """Apply all events, then write the decisions that follow from them."""
        self.now = now_us
        self.writer = writer
        self.slow_start.active_from_us = self.slow_start.active_from_us or now_us + self.slow_start.window_us
        self._update_debt(self.fleet_limits[0].limit if self.fleet_limits else 0.0)
        for name, *fields in events:
            getattr(self, name)(*fields)
        if (
            now_us - self.shares_solved_us >= CONTROL_PERIOD_US
            and self.batches
            and self.fleet_limits
            and self._ready_engines()
        ):
            self._update_shares()
        if now_us >= self.subscribe_at_us:
            self.subscribe_at_us = inf
            writer.subscribe(True)
        for engine in (
            [engine for engine in self.engines.values() if engine.in_flight]
            if any(self.fleet_threads)
            else ()
        ):
            self._eject_if_silent(engine)
        while self.timers and self.timers[0][0] <= now_us:
            self._review(heapq.heappop(self.timers)[2])
        self._dispatch_ready()
        self._schedule_next_round()

    def _update_debt(self, limit: float) -> None:
        """Integrate threads in use above the fleet's limit over time, as one large batch may exceed it; no
        large batch follows until that debt is paid off."""
        excess = sum(self.fleet_threads) / self.mean_engine_threads - limit
        self.debt_us = min(
            MAX_DEBT_US * limit, max(0.0, self.debt_us + excess * (self.now - self.debt_updated_us))
        )
        self.debt_updated_us = self.now

    def timer_fired(self, tag: int) -> None: ...

    def shutdown(self, left_us: int) -> None:
        """End all batches within `left_us`."""
        # Batches that were never dispatched are pushed back at once: another gateway serves them sooner.
        self.shutting_down = True
        for batch in list(self.batches.values()):
            batch.expires_us = min(batch.expires_us, self.now + left_us)
            heapq.heappush(self.timers, (batch.expires_us, next(self.counter), batch))
            self._review(batch)

    def _schedule_next_round(self) -> None:
        """Request the next round only where one is needed: most gateways have little traffic."""
        poll = self.now + POLL_INTERVAL_US * (
            1
            if any(self.ready_queues.values())
            else IN_FLIGHT_POLL_FACTOR
            if any(self.fleet_threads)
            else inf
        )
        due = min(self.timers[0][0] if self.timers else inf, self.subscribe_at_us, poll)
        if due < inf and not self.now < self.wake_at_us <= due:
            self.wake_at_us = max(due, self.now + self.min_round_interval_us)
            self.writer.schedule_wakeup(self.wake_at_us - self.now, 0)

    def engine_list(self, form: int, entries: list[tuple]) -> None:
        """Apply an engine list or a change of it; one that is unavailable is requested again later."""
        if form == names.LIST_UNAVAILABLE:
            self.subscribe_at_us = self.now + int(CONTROL_PERIOD_US * (1 + self.pseudo_random(form)))
            return
        if form != names.LIST_DELTA:
            for index in self.engines.keys() - {entry[0] for entry in entries}:
                self.engines[index].state = names.GONE
        for index, zone, machine, cell, state, size, started_us in entries:
            engine = self.engines[index] = self.engines.get(index) or Engine(
                index, INITIAL_CONCURRENCY_LIMIT / self.gateway_count, self.pseudo_random(index), self.now
            )
            engine.zone = zone
            engine.machine = machine
            engine.cell = cell
            engine.state = state
            engine.cores = self.cores_by_machine.get(machine) or size or 1
            engine.started_us = started_us
            if started_us:
                engine.cold_until_us = max(engine.cold_until_us, started_us + self.slow_start.warm_up_us)
        # New engine ids keep coming, so nothing may be kept of an engine that is gone.
        self.engines = {
            known_index: known
            for known_index, known in self.engines.items()
            if known.outstanding or known.state != names.GONE
        }
        ready = self._ready_engines()
        self.shares_solved_us = 0
        self.mean_engine_threads = (
            THREADS_PER_CORE * sum(engine.cores for engine in ready) / len(ready) if ready else 1.0
        )
        fair_limit = len(ready) / self.gateway_count
        if ready and not self.fleet_limits:
            # A gateway with little traffic has too few samples to detect overload: where engines report
            # costs, the higher weight keeps it to its fair share.
            self.fleet_limits = (
                ConcurrencyLimit(
                    INITIAL_CONCURRENCY_LIMIT * fair_limit,
                    0.0,
                    inf,
                    self.now,
                    REPORTED_COST_SLOWDOWN_WEIGHT if self.reports_costs else 1.0,
                ),
                ConcurrencyLimit(
                    INITIAL_SMALL_BATCH_LIMIT * fair_limit, 0.0, inf, self.now, SMALL_BATCH_SLOWDOWN_WEIGHT
                ),
            )
        for limit, min_limit in zip(self.fleet_limits, (fair_limit, MIN_SMALL_BATCH_LIMIT * fair_limit)):
            limit.min_limit = min_limit
            limit.max_limit = MAX_CONCURRENCY_LIMIT * len(ready)

    def batch_received(
        self, index, group, customer, key, left_us, work_us, memory_mb, data_set, repeat, destination=None
    ) -> None:
        """Queue a new batch, or push it back if it is over a limit of its destination."""
        model = self.models[group]
        if work_us:
            model.typical_work_us += (work_us * model.work_bias - model.typical_work_us) / min(
                model.samples + 5, MAX_WORK_SAMPLES
            )
        batch = self.batches[index] = Batch(index, model, self.now, left_us, work_us, memory_mb)
        batch.expires_us -= ANSWER_TIME_US * (len(self.batches) - 1)
        batch.data_set = data_set
        batch.is_small = batch.work_us < SMALL_BATCH_RATIO * min(
            other.typical_work_us for other in self.models
        )
        self.retry_budget.batches.add(self.now, 1)
        self.probe_credit += PROBES_PER_BATCH
        if batch.group.ordered_by_key and key is not None:
            batch.key = key
            queue = self.key_queues.queues.setdefault(key, deque())
            queue.append(batch)
            batch.expires_us = batch.expires_us if len(queue) <= max_key_queue(batch.group) else self.now
        self._drop_stale_timers()
        for due in (
            min(batch.expires_us, int(batch.goal_deadline_us - MIN_RUNTIME_SHARE * batch.run_time_us) + 1),
            batch.expires_us,
        ):
            heapq.heappush(self.timers, (due, next(self.counter), batch))
        if destination is None or (retry_after_us := destination.retry_after_us(self.now)) is None:
            self._assign_destination(batch, destination, True)
        else:  # over the operator's limit: pushed back at once, as waiting would only delay other batches
            self._give_up(batch, retry_after_us)

    def _drop_stale_timers(self) -> None:
        """Drop the timers of ended batches once they are most of all timers: a batch's time limit may
        be far off when it ends, and its timers keep it in memory."""
        if len(self.timers) > MAX_TIMERS_PER_BATCH * len(self.batches) + MAX_STALE_TIMERS:
            self.timers = [timer for timer in self.timers if not timer[2].ended]
            heapq.heapify(self.timers)

    def batch_rerouted(self, index, destination) -> None:
        """Give a batch that was never dispatched another destination, as after the undo of a change."""
        if (batch := self.batches.get(index)) is not None and not batch.dispatch_count and not batch.ended:
            self._assign_destination(batch, destination, False)

    def _assign_destination(self, batch: Batch, destination: names.Destination | None, is_new: bool) -> None:
        if batch.destination is not None:
            batch.destination.batch_closed()
        batch.destination = destination
        batch.pool = destination.pool if destination else None
        if destination is not None:
            destination.batch_admitted(self.now, is_new)
        self._review(batch)

    def dispatch_finished(
        self, index, number, engine_index, outcome, latency, complete, work_us, memory_mb, report
    ) -> None:
        """Record the outcome of a dispatch, then remove the batch or decide about a retry."""
        batch = self.batches[index]
        engine = self.engines[engine_index]
        self.query_ended(index, number, engine_index)
        engine.outstanding -= 1
        dispatch = batch.in_flight.pop(number)
        if batch.destination is not None:
            batch.destination.dispatch_done()
        self._record_report(engine, report)
        if outcome == names.RETURNED:
            self._record_returned(engine, dispatch, latency, work_us)
        else:
            self._record_failure(engine, dispatch, outcome)
        if outcome not in names.NEVER_RAN and batch.may_have_run_since_us is None:
            batch.may_have_run_since_us = dispatch.sent_us
            batch.may_have_run_on = engine
        if outcome in (names.TIMED_OUT, names.RESET, names.CANCELLED) and batch.key is not None:
            self.key_queues.quiet_until_us[batch.key] = self.now + self.key_queues.quiet_us
        batch.ended = batch.ended or complete
        (self._remove if batch.ended else self._review)(batch)

    def query_ended(self, index, number, engine_index) -> None:
        """Free an engine's threads; without effect if they are free already."""
        batch = self.batches[index]
        engine = self.engines[engine_index]
        if engine.in_flight.pop((index, number), None) is not None:
            engine.threads_in_use -= batch.group.threads
            self.fleet_threads[batch.is_small] -= batch.group.threads

    def engine_notice(self, index, engine_index, notice_kind, level, number) -> None:
        """Record a notice about a running dispatch; one that runs far too long is cancelled for a restart."""
        batch = self.batches[index]
        self.engines[engine_index].last_heard_us = self.now
        batch.spilled = batch.spilled or notice_kind == names.NOTICE_SPILLING
        if (
            batch.ended
            or number not in batch.in_flight
            or notice_kind != names.NOTICE_PROGRESS
            or not self.may_cancel
            or batch.restarts
            or batch.dispatch_count >= self.max_dispatches
        ):
            return
        # Guards against bad query plans, and against a dispatch that is stuck behind other work. It does harm
        # where an estimate is far too low, as the same work starts over; so it is done once per batch.
        expected = batch.run_time_us * batch.model.slowdown
        elapsed = self.now - batch.in_flight[number].sent_us
        projected = elapsed / max(MIN_PROGRESS, level)
        if batch.group.kind == names.REPEATABLE and projected > max(
            BAD_PLAN_RATIO * expected, elapsed + BAD_PLAN_MIN_SAVING * expected
        ):
            batch.restarts += 1
            self.writer.cancel(batch.index, number)

    def engine_process_ended(self, engine_index) -> None:
        """Take an engine out of use until the list has told what is at its address: that may be an engine
        of another zone or machine. It isn't taken for cold: the network may have reset its connections."""
        engine = self.engines.get(engine_index)
        if engine is not None:
            self._eject(engine, LIST_UPDATE_US)

    def probe_finished(self, engine_index, succeeded, latency_us, report) -> None:
        self._record_report(self.engines.get(engine_index), report if succeeded else None)

    def order_ambiguous(self, index) -> None:
        """End a batch whose place in its key's order is unknown: out of order, its dispatch could not be
        undone."""
        if index in self.batches:
            self._give_up(self.batches[index])

    def execution_unresolved(self, key) -> None:
        """Block a key: one of its dispatches may still be running."""
        self.key_queues.unresolved[key] += 1

    def execution_ended(self, key) -> None:
        """Start the quiet period of a key; it is unblocked if no other execution of it is unresolved."""
        self.key_queues.unresolved -= Counter((key,))  # also removes keys whose count is zero
        self.key_queues.quiet_until_us[key] = self.now + self.key_queues.quiet_us
        if key in self.key_queues.queues:
            self._review(self.key_queues.queues[key][0])

    def batch_withdrawn(self, index) -> None:
        """Cancel what is in flight of a batch whose client no longer waits."""
        if index in self.batches:
            self._close(self.batches[index])

    def _record_report(self, engine: Engine | None, report: list[float] | None) -> None:
        fields = dict(zip(self.report_fields, (engine and report) or ()))
        if (load := fields.get(self.load_field)) is not None:
            engine.record_load(self.now, load / (engine.cores if self.load_field == "held" else 1))
        if fields.get("waiting", 0) > MIN_WAITING_REPORTED:
            engine.concurrency_limit.decrease(self.now)

    def _record_returned(self, engine: Engine, dispatch: Dispatch, latency: int, work_us: int) -> None:
        batch = dispatch.batch
        model = dispatch.batch.model
        load = dispatch.load
        engine.last_heard_us = self.now
        engine.outcomes.add(self.now, 0, 1)
        slowdown = model.record_returned(batch, latency, work_us)
        relative_latency = latency / model.mean_latency_us
        engine.latency_samples.add(self.now, 1, load, relative_latency, load * load, load * relative_latency)
        for limit in (engine.concurrency_limit, *self.fleet_limits[: 1 + batch.is_small]):
            limit.record_slowdown(self.now, slowdown)

    def _record_failure(self, engine: Engine, dispatch: Dispatch, outcome: str) -> None:
        """React by kind of failure. Failures are no latency samples, so an engine that fails quickly doesn't
        look fast."""
        if outcome in (names.FULL, names.TIMED_OUT):
            engine.concurrency_limit.decrease(self.now)
            self.fleet_limits[dispatch.batch.is_small].decrease(self.now)
        if outcome in (names.ERRORED, names.RESET, names.FULL):
            engine.outcomes.add(self.now, 1, 1)
            errors, total = engine.outcomes.sums(self.now)
            if errors >= EJECTION_MIN_ERRORS and errors > EJECTION_ERROR_SHARE * total:
                self._eject(engine)
        elif outcome == names.CONNECT_REFUSED:
            # The engine's process may have restarted before the list shows it: assume that it is warming up.
            engine.cold_until_us = self.now + self.slow_start.warm_up_us
            self._eject(engine)
        elif outcome == names.UNREACHABLE and engine.last_heard_us <= dispatch.sent_us:
            # A slow or broken network path is no sign of a restart; if the engine counted as warming up, no
            # large batch would be allowed there. An engine heard from since the dispatch can be reached: only
            # that connection was late.
            self._eject(engine)

    def _eject(self, engine: Engine, duration_us: int = CONTROL_PERIOD_US) -> None:
        """Take an engine out of use for about that long (outlier ejection)."""
        ejected = [other.ejected_until_us > self.now for other in self._ready_engines()]
        if engine.ejected_until_us > self.now or 2 * sum(ejected) + 2 > len(ejected):
            return  # if most engines look faulty, the fault is probably on this gateway's side
        engine.ejected_until_us = self.now + int(
            duration_us * (1 + EJECTION_JITTER * self.pseudo_random(engine.index))
        )

    def _eject_if_silent(self, engine: Engine) -> None:
        """Eject an engine that accepts dispatches but sends neither answers nor notices, and cancel what is
        in flight there."""
        oldest = next(iter(engine.in_flight.values()))
        timeout_us = (
            NOTICE_TIMEOUT_FACTOR * self.notice_interval_us + NOTICE_TIMEOUT_SLACK_US
            if self.notice_interval_us
            else SILENCE_RUNTIME_FACTOR * oldest.batch.run_time_us + SILENCE_SLACK_US
        )
        if self.now - max(engine.last_heard_us, oldest.sent_us) < timeout_us:
            return
        self._eject(engine)
        engine.last_heard_us = self.now
        for (index, number), dispatch in (
            engine.in_flight.items() if engine.ejected_until_us > self.now else ()
        ):
            if self.may_cancel and dispatch.batch.group.kind != names.ONCE_ONLY and not dispatch.batch.ended:
                self.writer.cancel(index, number)

    def _update_shares(self) -> None:
        """Recompute each engine's share of the dispatches, drop stale entries and send due probes."""
        ready = self._ready_engines()
        self.shares_solved_us = self.now
        self.key_queues.quiet_until_us = {
            key: until for key, until in self.key_queues.quiet_until_us.items() if until > self.now
        }
        self.ready_queues = {
            pool: valid
            for pool, queue in self.ready_queues.items()
            if (
                valid := sorted(
                    entry for entry in queue if entry is entry[2].queue_entry and not entry[2].ended
                )
            )
        }
        for engine in ready if self.load_field is None else ():
            engine.record_load(self.now, len(engine.in_flight) / engine.cores)
        # Probes are earned by batches, so a gateway with little traffic sends few; engines take turns.
        probe_count = min(len(ready), int(self.probe_credit)) if self.probes else 0
        for turn in range(self.next_probe, self.next_probe + probe_count):
            self.writer.probe(ready[turn % len(ready)].index)
        self.probe_credit = min(self.probe_credit - probe_count, 1.0)
        self.next_probe = self.next_probe + probe_count
        sums = [engine.latency_samples.sums(self.now) for engine in ready]
        pooled = [sum(column) for column in zip(*sums)]
        mean_load = sum(engine.load for engine in ready) / max(
            1, sum(engine.load_updated_us > -inf for engine in ready)
        )
        shares = solve_shares(
            [engine.cores for engine in ready],
            [max(0.0, engine.load) if engine.load_updated_us > -inf else mean_load for engine in ready],
            [fit_latency(own, pooled) for own in sums],
            [engine.share or 1 / len(ready) for engine in ready],
            1 / self.gateway_count,
        )
        for engine, share in zip(ready, shares):
            engine.share = share

    def _enqueue(self, batch: Batch) -> None:
        """Queue a batch by its utility per work, or set a timer while its key has a quiet period."""
        late_factor = (
            batch.group.late_utility if self.now + batch.run_time_us > batch.goal_deadline_us else 1.0
        )
        urgency = late_factor * batch.group.utility / batch.work_us
        if (eligible_at_us := self.key_queues.eligible_at_us(batch)) is not None:
            queue = self.timers if eligible_at_us > self.now else self.ready_queues.setdefault(batch.pool, [])
            batch.queue_entry = (
                eligible_at_us if eligible_at_us > self.now else -urgency,
                next(self.counter),
                batch,
            )
            heapq.heappush(queue, batch.queue_entry)

    def _cannot_succeed(self, batch: Batch) -> bool:
        """Return whether waiting is of no use: no utility left to gain, no time, or no dispatch allowed."""
        earliest_end = self.now + MIN_RUNTIME_SHARE * batch.run_time_us
        latest_end = min(batch.expires_us, inf if batch.group.late_utility else batch.goal_deadline_us)
        exhausted = batch.dispatch_count >= self.max_dispatches or not batch.may_dispatch(self.now)
        return earliest_end > latest_end or exhausted or self.shutting_down

    def _review(self, batch: Batch) -> None:
        """Queue an open batch or end it."""
        # Ended while still in flight: at a shutdown, or if it has a key, which its dispatch blocks until that
        # has certainly ended.
        expired = self.now >= batch.expires_us and (self.shutting_down or batch.key is not None)
        if not batch.ended and (expired or not batch.in_flight):
            (self._give_up if self._cannot_succeed(batch) else self._enqueue)(batch)

    def _give_up(self, batch: Batch, retry_after_us: int = 0) -> None:
        """Push a batch back, or end it with an error if a retry could have a second effect."""
        if batch.may_push_back():
            default_us = self.default_retry_after_us(batch.index)
            self.writer.push_back(batch.index, min(retry_after_us, self.max_retry_after_us) or default_us)
        else:
            self.writer.error(batch.index)
        self._close(batch)

    def _close(self, batch: Batch) -> None:
        """Mark a batch as ended and cancel its dispatches in flight."""
        batch.ended = True
        for number in batch.in_flight if self.may_cancel else ():
            self.writer.cancel(batch.index, number)
        self._remove(batch)

    def _remove(self, batch: Batch) -> None:
        """Remove an ended batch once nothing of it is in flight; the next batch of its key follows."""
        if batch.in_flight or self.batches.pop(batch.index, None) is None:
            return
        if batch.destination is not None:
            batch.destination.batch_closed()
        if batch.key is not None and (following := self.key_queues.remove(batch)):
            self._review(following)

    def _select_engine(self, batch: Batch) -> Engine | None:
        """Select an engine, or return None if order, the retry budget, a limit or every engine's state is in
        the way. Most batches are alike: where no engine is found for one, none is found later in the round
        for a batch of the same class, unless that is smaller."""
        group = batch.group
        work = max(batch.model.typical_work_us, batch.work_us)
        eligible_at_us = self.key_queues.eligible_at_us(batch)
        needs_unlocked = group.locks_data_set or group.waits_for_data_set
        batch_class = (batch.destination, batch.model, batch.is_small)
        threads = self.fleet_threads[1] if batch.is_small else sum(self.fleet_threads)
        wanted = (threads + group.threads) / self.mean_engine_threads
        has_no_debt = batch.is_small or not self.debt_us
        if (
            eligible_at_us is None
            or eligible_at_us > self.now
            or batch.work_us >= self.unplaceable_work.get(batch_class, inf)
            or (batch.dispatch_count and not self.retry_budget.allows_retry(self.now))
            or (
                batch.destination is not None
                and not batch.destination.allows_dispatch(self.now, batch.dispatch_count > 0)
            )
            or not (
                self.fleet_limits
                and self.fleet_limits[batch.is_small].allows(wanted, has_no_debt and not threads)
            )
        ):
            return None
        suitable = (
            engine
            for engine in self.available_engines
            if work <= engine.allowed_work_us
            and batch.allows_engine(engine)
            and not (needs_unlocked and engine.has_locked(batch.data_set))
            and engine.concurrency_limit.allows(
                (engine.threads_in_use + group.threads) / (engine.cores * THREADS_PER_CORE),
                not engine.in_flight,
            )
        )
        selected = max(
            suitable,
            default=None,
            key=lambda engine: engine.credit
            + CACHED_DATA_SET_CREDIT * (batch.data_set in engine.cached_data_sets)
            - TRIED_ENGINE_PENALTY * (engine.index in batch.tried_engines),
        )
        if selected is None and not (batch.dispatch_count or needs_unlocked):
            self.unplaceable_work[batch_class] = batch.work_us
        return selected

    def _dispatch_ready(self) -> None:
        """Dispatch ready batches, most urgent first over all pools. Skipped batches are counted per pool, so
        that those of a pool without a free engine don't use up the attempts of the others."""
        skipped = defaultdict(list)
        self.unplaceable_work = {}
        for engine in (ready := self._ready_engines() if self.ready_queues else ()):
            engine.allowed_work_us = (
                self.slow_start.remaining_work_us(self.now, engine)
                if engine.ejected_until_us <= self.now
                else 0.0
            )
        self.available_engines = [engine for engine in ready if engine.allowed_work_us]
        while pools := [
            pool
            for pool, queue in self.ready_queues.items()
            if queue and len(skipped[pool]) < MAX_SKIPPED_BATCHES
        ]:
            pool = min(pools, key=lambda each: self.ready_queues[each][0]) if len(pools) > 1 else pools[0]
            entry = _, _, batch = heapq.heappop(self.ready_queues[pool])
            if batch.ended or batch.in_flight or entry is not batch.queue_entry:
                continue
            if self._cannot_succeed(batch):
                self._give_up(batch)
            elif engine := self._select_engine(batch):
                self._dispatch(batch, engine)
            else:
                skipped[pool].append(entry)
        for pool, entries in skipped.items():
            for entry in entries:
                heapq.heappush(self.ready_queues[pool], entry)

    def _dispatch(self, batch: Batch, engine: Engine) -> None:
        batch.in_flight[batch.dispatch_count] = engine.in_flight[batch.index, batch.dispatch_count] = (
            Dispatch(batch, self.now, engine.load)
        )
        engine.outstanding += 1
        engine.threads_in_use += batch.group.threads
        self.fleet_threads[batch.is_small] += batch.group.threads
        self.retry_budget.retries.add(self.now, batch.dispatch_count > 0)
        if batch.destination is not None:
            batch.destination.dispatch_sent(self.now, batch.dispatch_count > 0)
        work = max(batch.model.typical_work_us, batch.work_us)
        if engine.slow_start_work:
            engine.slow_start_work.add(self.now, work)
        engine.allowed_work_us -= work
        batch.dispatch_count += 1
        batch.tried_engines.add(engine.index)
        engine.cached_data_sets.append(batch.data_set)
        self._charge_credit(engine, batch.work_us)
        grant = round(batch.model.grant_factor * batch.memory_hint_mb) if self.sets_memory_grants else 0
        self.writer.set_resources(batch.index, self._priority(batch), grant)
        # The dispatch must time out early enough for the round that handles it and for the answer.
        self.writer.dispatch(
            batch.index, engine.index, max(1, batch.deadline_us - POLL_INTERVAL_US - self.now)
        )

    def _charge_credit(self, selected: Engine, work: float) -> None:
        """Smooth weighted round robin in units of the mean work: follows the shares with little variance."""
        self.mean_work_us += MEAN_WORK_RATE * (work - self.mean_work_us)
        charge = min(MAX_CREDIT_CHARGE, work / self.mean_work_us)
        for engine in self._ready_engines():
            engine.credit = min(MAX_CREDIT, engine.credit + engine.share * charge)
        selected.credit = max(MIN_CREDIT, selected.credit - charge)

    def _priority(self, batch: Batch) -> int:
        """Return the priority on the engine, 3 the highest. A batch that locks a data set should end soon;
        small batches use few resources and miss their response goal first."""
        relative_value = (
            batch.group.utility
            / batch.work_us
            / max(model.group.utility / model.typical_work_us for model in self.models)
        )
        return (
            3
            if batch.group.locks_data_set or batch.is_small
            else 2
            if relative_value > MIN_PRIORITY_2_VALUE
            else 1
            if relative_value > MIN_PRIORITY_1_VALUE
            else 0
        )

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

PERIOD_US, SMOOTH_US, TICK_US = 1_000_000, 3_000_000, 25_000  # the first two as the design starts
SLICE = 0.1  # of the way from the even start to what reports suggest, a step of the solver
THREADS_PER_CORE = 1.3  # more than one, since threads wait for disks; engines thrash soon beyond
CROWDED = 1.9  # latency over work: above it an engine's cores, disks or memory are overcommitted
WIDEST, NARROWEST = 1.6, 0.15
SMALL, DEBT_US = 3.0, 2_000_000  # small: under so many times what is usual in the group of least work
BAD_PLAN = 3.5  # times the expected run: estimates scatter by less, bad plans by more
REFERENCE_LOAD = 0.85  # the rules' capacity is the rate at which this share of the cores is busy
LOADS = ("held", "utilisation", "disks", "memory")
ASKS = 0.25  # probes a batch taken
Dispatch = namedtuple("Dispatch", "batch sent load")
# Of a key held: more, written again so far apart as clients do, would outlast the patience they tell. No more
# than takes a quarter of the group's time limit, since that much is taken off what each of them tells.
MAX_KEY_QUEUE, APART_US, ROW_PART = 32, 60_000, 4
SKIPS = 24  # held batches looked past in a round: bounds the work when the first ones have nowhere to go


def row(group: names.ServiceGroup) -> int:
    """How many batches of one key are held at most."""
    return max(1, min(MAX_KEY_QUEUE, group.time_limit_us // (ROW_PART * APART_US)))


class Learned:
    def __init__(self, group: names.ServiceGroup, pages: bool) -> None:
        self.group, self.usual = group, float(group.response_goal_us) * group.threads / 2
        self.bias, self.grant, self.spills = 1.0, 2.0, 0.02 if pages else 0.15
        self.pace, self.latency, self.seen = 1.5, 0.0, 0

    def returned(self, batch: "Batch", latency: int, work_us: int) -> float:
        """Takes a sample, and tells by how much the batch ran longer than it would have alone."""
        self.seen += 1
        rate, threads = max(0.03, 1 / (self.seen + 4)), self.group.threads
        self.latency += (latency - self.latency) / min(self.seen, 100)
        if batch.hint and work_us:
            self.bias += rate * (min(4.0, max(0.2, work_us / batch.hint)) - self.bias)
        elif batch.hint:
            # Without a told cost the median latency stands for the work: means follow bad plans and crowds.
            self.bias *= exp(rate * (-0.5 if latency * threads / batch.hint < self.bias else 0.5))
        # Settles where the wanted share of dispatches spills: few where engines page and a surplus is free.
        self.grant = min(8.0, max(0.3, self.grant * (1 + rate * (batch.spilt - self.spills))))
        stretch = min(10.0, latency * threads / max(1.0, work_us or batch.work))
        self.pace += 0.05 * (max(1.0, stretch) - self.pace)
        return stretch if work_us else 0.75 * stretch


class Batch:
    def __init__(self, index: int, learned: Learned, now: int, left_us: int, work_us: int, memory_mb: float):
        self.index, self.learned, self.group, self.deadline = index, learned, learned.group, now + left_us
        self.hint, self.memory_hint, self.last = work_us, memory_mb, self.deadline - 2 * TICK_US
        self.work = max(1_000.0, work_us * learned.bias or learned.usual)
        self.solo = self.work / self.group.threads
        # Counted from this try: a short time left may be a late try, but also a client that waits less.
        self.goal = now + self.group.response_goal_us + int(self.group.goal_runtime_factor * self.solo)
        self.sends, self.kills, self.tried, self.out = 0, 0, set(), {}
        self.over = self.small = self.spilt = False
        self.ran_since = self.ran_at = self.key = self.data_set = self.destination = self.pool = (
            self.entry
        ) = None

    def may_resend(self, now: int) -> bool:
        return (
            self.ran_since is None
            or self.group.kind == names.REPEATABLE
            or (
                self.group.kind == names.REFERENCED
                and now - self.ran_since < 0.95 * self.group.dedup_window_us
            )
        )

    def harmless(self) -> bool:
        """Whether a pushback would tell the truth: trying again cannot have a second effect."""
        dropped = self.group.kind == names.REFERENCED and self.group.dedup_scope == "all"
        return dropped or self.group.kind == names.REPEATABLE or (self.ran_since is None and not self.out)

    def allowed(self, engine: "Engine") -> bool:
        """Placement, and for a referenced batch that may have run the engines that drop its repeat."""
        group, first = self.group, self.ran_at
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


class Window:
    """Own threads out at once, in parts of an engine: opens while it binds, closes while answers run long."""

    def __init__(self, width: float, narrowest: float, widest: float, now: int, weight: float = 1.0) -> None:
        self.width, self.narrowest, self.widest, self.weight = width, narrowest, widest, weight
        self.stretch, self.cut_at, self.pressed = 1.0, now, False

    def cut(self, now: int) -> None:
        if now - self.cut_at >= PERIOD_US:
            self.cut_at, self.width = now, max(self.narrowest, 0.85 * self.width)

    def learn(self, now: int, stretch: float) -> None:
        self.stretch += 0.15 * (self.weight * stretch - self.stretch)
        if self.stretch > CROWDED:
            self.cut(now)
        elif self.pressed:
            opened = self.width + 0.1 * (1 - self.stretch / CROWDED)
            self.width, self.pressed = min(self.widest, opened), False

    def fits(self, wanted: float, free: bool) -> bool:
        """Whether that much may be out; what is free may always take one."""
        self.pressed = self.pressed or not (free or wanted <= self.width)
        return free or wanted <= self.width


class Engine:
    def __init__(self, index: int, width: float, credit: float, now: int) -> None:
        self.index, self.credit, self.share, self.threads = index, credit, 0.0, 0
        self.window = Window(width, NARROWEST, WIDEST, now)
        self.state, self.started, self.cold_until, self.load, self.load_at = names.GONE, 0, 0, 0.0, -inf
        self.line, self.answers = (
            SlidingWindowSum(30 * PERIOD_US, 6, 5),
            SlidingWindowSum(3 * PERIOD_US, 6, 2),
        )
        self.heard, self.shut_until, self.out, self.sent, self.bears = now, 0, {}, None, 0.0
        self.warm = deque(maxlen=8)

    def holds(self, data_set: int) -> bool:
        return any(
            one.batch.data_set == data_set and one.batch.group.locks_data_set for one in self.out.values()
        )

    def hear_load(self, now: int, load: float) -> None:
        """The design's moving average; the first report stands as it is."""
        weight = 1 - exp(-(now - self.load_at) / SMOOTH_US)
        self.load, self.load_at = self.load + weight * (load - self.load), now


class Budget:
    """Further dispatches: spent is counted too high, taken too low, by the oldest bucket each."""

    def __init__(self, free: float, share: float, span_us: int) -> None:
        self.free, self.share, self.taken, self.spent = (
            free,
            share,
            SlidingWindowSum(span_us, 20),
            SlidingWindowSum(span_us, 20),
        )

    def allows(self, now: int) -> bool:
        return self.spent.sums(now)[0] + 1 <= self.free + self.share * self.taken.sums(now, within=True)[0]


class ColdGuard:
    """All gateways together must stay under the fall line, so each keeps to its part of the least capacity
    a cold engine may have. Where that is less than a small batch, a lot is drawn for each window: all send
    about half of what the engine bears by then. A gateway waits out one window of its own."""

    def __init__(
        self,
        least: float,
        cold_us: int,
        multiple: float,
        fall_us: int,
        gateways: int,
        salt: object,
        least_work: float,
    ) -> None:
        self.part, self.cold_us = 0.6 * multiple * least * REFERENCE_LOAD * fall_us / gateways, cold_us
        self.from_us, self.fall_us, self.least_work, self.salt = 0, fall_us, least_work, salt
        self.least, self.lots = least, 0.5 * fall_us / gateways / least_work

    def left(self, now: int, engine: Engine) -> float:
        """Work that this gateway may still send it now; the same for the whole round but for what is sent."""
        if now >= engine.cold_until or not self.part:
            return inf
        mine, start = self.part * engine.cores, engine.started or engine.cold_until - self.cold_us
        if mine < self.least_work:
            # From its last start, of which the list may not have told: by one before that it would bear all.
            age = max(0, now - engine.cold_until + self.cold_us)
            warm = self.least + (1 - self.least) * age / self.cold_us
            lot = crc32(f"{self.salt}:{engine.index}:{(now - start) // self.fall_us}".encode()) / 2**32
            mine = self.least_work if lot < self.lots * warm * engine.cores else 0.0
        engine.sent = engine.sent or SlidingWindowSum(self.fall_us, 10)
        return max(0.0, mine - engine.sent.sums(now)[0]) if now >= self.from_us else 0.0


class KeyLines:
    """Batches of one key, in the order taken; a key rests after a dispatch that may still be running, and is
    shut while a front holds one not proven over. Own further dispatches go out all the same."""

    def __init__(self, rest_us: int) -> None:
        self.rest_us, self.resting, self.lines, self.doubts = rest_us, {}, {}, Counter()

    def open_at(self, batch: Batch) -> int | None:
        """When the key lets it go first; None while earlier ones or a doubt stand before it."""
        if batch.key is None or batch.sends:
            return 0
        first = self.lines[batch.key][0] is batch and not self.doubts[batch.key]
        return self.resting.get(batch.key, 0) if first else None

    def leave(self, batch: Batch) -> Batch | None:
        line = self.lines[batch.key]
        line.remove(batch)
        if not line:
            del self.lines[batch.key]
        return line[0] if line else None


def fit(own: list[float], pooled: list[float]) -> tuple[float, float]:
    """Intercept and slope; few samples lean on the pooled ones, and load never helps latency."""
    n, x, y, xx, xy = (each + 5 / max(5.0, pooled[0]) * every for each, every in zip(own, pooled))
    if n < 1:
        return 1.0, 0.0
    spread = xx - x * x / n
    slope = max(0.0, (xy - x * y / n) / spread) if spread > 1e-9 else 0.0
    return (y - slope * x) / n, slope


def solve(cores: list[float], loads: list[float], lines: list[tuple], shares: list[float], part: float):
    """Targets from the even start toward what reported loads suggest, until predicted mean response rises."""
    even = [core / sum(cores) for core in cores]
    floor = 0.05 + 0.25 * sum(loads) / len(loads)
    room = [core / (floor + load) for core, load in zip(cores, loads)]
    suggested = [each / sum(room) for each in room]

    def response(target: list[float]) -> float:
        at = (load * (1 + part * (to / share - 1)) for load, to, share in zip(loads, target, shares))
        return sum(to * (line[0] + line[1] * max(0.0, load)) for to, line, load in zip(target, lines, at))

    target, best = even, response(even)
    for _ in range(round(1 / SLICE)):
        step = [have + SLICE * (to - start) for have, to, start in zip(target, suggested, even)]
        if (predicted := response(step)) >= best:
            break
        target, best = step, predicted
    return target


class GatewayDispatcher:
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
        self.seed, self.instance, self.counter = seed, instance, count()
        self.learned = [Learned(group, pages_on_shortage or not sets_memory_grants) for group in groups]
        self.cores, self.gateway_count = cores_by_machine, max(1, gateway_count)
        self.grants, self.note_us, self.costs = sets_memory_grants, notice_interval_us, reports_costs
        # Of utilisations, cores before disks before memory: the design's order, carried on where it ends.
        self.load_field = next((field for field in LOADS if field in report_fields), None)
        self.fields, self.probes, self.step_us, self.stopping = (
            report_fields,
            probes,
            min_round_interval_us,
            False,
        )
        self.max_dispatches, self.may_cancel, self.retry_us = max_dispatches, may_cancel, max_retry_after_us
        self.budget = Budget(*(retry_budget or (inf, 0.0, PERIOD_US)))
        self.cold = ColdGuard(
            *slow_start, self.gateway_count, (seed, instance), min(one.usual for one in self.learned)
        )
        self.keys, self.ask_at = KeyLines(key_quiet_us), 0 if subscribes_to_list else inf
        self.engines, self.batches, self.ready, self.later, self.wake_at = {}, {}, {}, [], 0
        self.mean_work = sum(each.usual for each in self.learned) / len(self.learned)
        # Over the whole fleet: for all batches, and for small ones by themselves.
        self.fleet, self.threads, self.engine_threads = (), [0, 0], 1.0
        self.debt, self.debt_at, self.solved_at, self.asks, self.asked = 0.0, 0, 0, 0.0, seed

    def _live(self) -> list[Engine]:
        return [engine for engine in self.engines.values() if engine.state == names.READY]

    def chance(self, identity: int) -> float:
        return crc32(f"{self.seed}:{self.instance}:{identity}:{next(self.counter)}".encode()) / 2**32

    def may_start(self, index: int, now_us: int) -> bool:
        """Asked before an attempt's first byte: a repeat's window may have ended while it waited."""
        batch = self.batches.get(index)
        return batch is not None and batch.may_resend(now_us)

    def key_queue_drain_us(self, group: names.ServiceGroup) -> int:
        """How long the last of a key's batches that were held together waits to be written again."""
        return APART_US * row(group)

    def round(self, now_us: int, events: list[tuple], writer: names.Writer) -> None:
        self.now, self.out = now_us, writer
        self.cold.from_us = self.cold.from_us or now_us + self.cold.fall_us
        self._owe(self.fleet[0].width if self.fleet else 0.0)
        for name, *fields in events:
            getattr(self, name)(*fields)
        if now_us - self.solved_at >= PERIOD_US and self.batches and self.fleet and self._live():
            self._solve()
        if now_us >= self.ask_at:
            self.ask_at = inf
            writer.subscribe(True)
        for engine in [each for each in self.engines.values() if each.out] if any(self.threads) else ():
            self._silent(engine)
        while self.later and self.later[0][0] <= now_us:
            self._review(heapq.heappop(self.later)[2])
        self._pump()
        self._sleep()

    def _owe(self, width: float) -> None:
        """What one large batch has out over the window is a debt: none follows until that is paid off."""
        over = sum(self.threads) / self.engine_threads - width
        self.debt = min(DEBT_US * width, max(0.0, self.debt + over * (self.now - self.debt_at)))
        self.debt_at = self.now

    def timer_fired(self, tag: int) -> None: ...

    def shutdown(self, left_us: int) -> None:
        self.stopping = True  # what is not out yet has better chances elsewhere, and is told so at once
        for batch in list(self.batches.values()):
            batch.last = min(batch.last, self.now + left_us)
            heapq.heappush(self.later, (batch.last, next(self.counter), batch))
            self._review(batch)

    def _sleep(self) -> None:
        """Asks for the next round only where one is needed: most gateways have little traffic."""
        poll = self.now + TICK_US * (1 if any(self.ready.values()) else 4 if any(self.threads) else inf)
        due = min(self.later[0][0] if self.later else inf, self.ask_at, poll)
        if due < inf and not self.now < self.wake_at <= due:
            self.wake_at = max(due, self.now + self.step_us)
            self.out.schedule_wakeup(self.wake_at - self.now, 0)

    def engine_list(self, form: int, entries: list[tuple]) -> None:
        if form == names.LIST_UNAVAILABLE:
            self.ask_at = self.now + int(PERIOD_US * (1 + self.chance(form)))
            return
        if form != names.LIST_DELTA:
            for index in self.engines.keys() - {entry[0] for entry in entries}:
                self.engines[index].state = names.GONE
        for index, zone, machine, cell, state, size, started in entries:
            engine = self.engines[index] = self.engines.get(index) or Engine(
                index, 1.2 / self.gateway_count, self.chance(index), self.now
            )
            engine.zone, engine.machine, engine.cell, engine.state = zone, machine, cell, state
            engine.cores, engine.started = self.cores.get(machine) or size or 1, started
            if started:
                engine.cold_until = max(engine.cold_until, started + self.cold.cold_us)
        # Ids are new for ever: an engine that has gone must leave nothing behind.
        self.engines = {at: each for at, each in self.engines.items() if each.out or each.state != names.GONE}
        live, self.solved_at = self._live(), 0
        self.engine_threads = THREADS_PER_CORE * sum(each.cores for each in live) / len(live) if live else 1.0
        fair = len(live) / self.gateway_count
        if live and not self.fleet:
            # A thin gateway hears too little to tell a crowd: where costs are told, its part is all it takes.
            self.fleet = (
                Window(1.2 * fair, 0.0, inf, self.now, 1.65 if self.costs else 1.0),
                Window(4.0 * fair, 0.0, inf, self.now, 0.5),
            )
        for window, least in zip(self.fleet, (fair, 0.3 * fair)):
            window.narrowest, window.widest = least, WIDEST * len(live)

    def batch_received(
        self, index, group, customer, key, left_us, work_us, memory_mb, data_set, repeat, destination=None
    ) -> None:
        learned = self.learned[group]
        if work_us:
            learned.usual += (work_us * learned.bias - learned.usual) / min(learned.seen + 5, 200)
        batch = self.batches[index] = Batch(index, learned, self.now, left_us, work_us, memory_mb)
        batch.data_set, batch.small = data_set, batch.work < SMALL * min(each.usual for each in self.learned)
        self.budget.taken.add(self.now, 1)
        self.asks += ASKS
        if batch.group.ordered_by_key and key is not None:
            batch.key, line = key, self.keys.lines.setdefault(key, deque())
            line.append(batch)
            batch.last = batch.last if len(line) <= row(batch.group) else self.now
        for due in (min(batch.last, int(batch.goal - 0.5 * batch.solo) + 1), batch.last):
            heapq.heappush(self.later, (due, next(self.counter), batch))
        if destination is None or (pause := destination.retry_after_us(self.now)) is None:
            self._follow(batch, destination, True)
        else:  # over the operator's limit: told at once, since waiting would only hold others up
            self._give_up(batch, pause)

    def batch_rerouted(self, index, destination) -> None:
        """Apply a changed destination to a batch that was never dispatched; others keep theirs."""
        if (batch := self.batches.get(index)) is not None and not batch.sends and not batch.over:
            self._follow(batch, destination, False)

    def _follow(self, batch: Batch, destination: names.Destination | None, new: bool) -> None:
        if batch.destination is not None:
            batch.destination.batch_closed()
        batch.destination, batch.pool = destination, destination.pool if destination else None
        if destination is not None:
            destination.batch_admitted(self.now, new)
        self._review(batch)

    def dispatch_finished(
        self, index, number, engine, outcome, latency, complete, work_us, memory_mb, report
    ) -> None:
        batch, engine = self.batches[index], self.engines[engine]
        dispatch = batch.out.pop(number)
        del engine.out[index, number]
        engine.threads -= batch.group.threads
        self.threads[batch.small] -= batch.group.threads
        if batch.destination is not None:
            batch.destination.dispatch_done()
        self._report(engine, report)
        if outcome == names.RETURNED:
            self._returned(engine, dispatch, latency, work_us)
        else:
            self._blame(engine, dispatch, outcome)
        if outcome not in names.NEVER_RAN and batch.ran_since is None:
            batch.ran_since, batch.ran_at = dispatch.sent, engine
        if outcome in (names.TIMED_OUT, names.RESET, names.CANCELLED) and batch.key is not None:
            self.keys.resting[batch.key] = self.now + self.keys.rest_us
        batch.over = batch.over or complete
        (self._forget if batch.over else self._review)(batch)

    def engine_notice(self, index, engine, sort, level, number) -> None:
        self.engines[engine].heard, batch = self.now, self.batches[index]
        batch.spilt = batch.spilt or sort == names.NOTICE_SPILLING
        if (
            batch.over
            or number not in batch.out
            or sort != names.NOTICE_PROGRESS
            or not self.may_cancel
            or batch.kills
            or batch.sends >= self.max_dispatches
        ):
            return
        # Against bad plans; also catches a dispatch stuck behind others' work. Does harm where an estimate is
        # far too low: the same work starts over, so it is done only once a batch.
        expected, spent = batch.solo * batch.learned.pace, self.now - batch.out[number].sent
        whole = spent / max(0.02, level)
        if batch.group.kind == names.REPEATABLE and whole > max(BAD_PLAN * expected, spent + 1.5 * expected):
            batch.kills += 1
            self.out.cancel(batch.index, number)

    def probe_finished(self, engine, well, latency_us, report) -> None:
        self._report(self.engines.get(engine), report if well else None)

    def order_ambiguous(self, index) -> None:
        if index in self.batches:  # sent out of its key's order it could not be taken back; now it still can
            self._give_up(self.batches[index])

    def execution_unresolved(self, key) -> None:
        self.keys.doubts[key] += 1

    def execution_ended(self, key) -> None:
        self.keys.doubts -= Counter((key,))  # keeps what is above none
        self.keys.resting[key] = self.now + self.keys.rest_us
        if key in self.keys.lines:
            self._review(self.keys.lines[key][0])

    def batch_withdrawn(self, index) -> None:
        if index in self.batches:
            self._close(self.batches[index])

    def _report(self, engine: Engine | None, report: list[float] | None) -> None:
        told = dict(zip(self.fields, (engine and report) or ()))
        if (load := told.get(self.load_field)) is not None:
            engine.hear_load(self.now, load / (engine.cores if self.load_field == "held" else 1))
        if told.get("waiting", 0) > 0.5:
            engine.window.cut(self.now)

    def _returned(self, engine: Engine, dispatch: Dispatch, latency: int, work_us: int) -> None:
        batch, learned, load = dispatch.batch, dispatch.batch.learned, dispatch.load
        engine.heard = self.now
        engine.answers.add(self.now, 0, 1)
        stretch = learned.returned(batch, latency, work_us)
        scaled = latency / learned.latency
        engine.line.add(self.now, 1, load, scaled, load * load, load * scaled)
        for window in (engine.window, *self.fleet[: 1 + batch.small]):
            window.learn(self.now, stretch)

    def _blame(self, engine: Engine, dispatch: Dispatch, outcome: str) -> None:
        """By symptom: quick errors, lost connections. None is a latency sample, so none looks cheap."""
        if outcome in (names.FULL, names.TIMED_OUT):
            engine.window.cut(self.now)
            self.fleet[dispatch.batch.small].cut(self.now)
        if outcome in (names.ERRORED, names.RESET, names.FULL):
            engine.answers.add(self.now, 1, 1)
            bad, heard = engine.answers.sums(self.now)
            if bad >= 2 and bad > 0.2 * heard:
                self._shut(engine)
        elif outcome == names.CONNECT_REFUSED:
            # Its process may have gone and come back before the list says so: take it for cold.
            engine.cold_until = self.now + self.cold.cold_us
            self._shut(engine)
        elif outcome == names.UNREACHABLE and engine.heard <= dispatch.sent:
            # A slow way to it, or a cut: no sign of a new process. Taken for cold, nothing large would fit.
            # One that was heard meanwhile can be reached: only that connection was late.
            self._shut(engine)

    def _shut(self, engine: Engine) -> None:
        shut = [each.shut_until > self.now for each in self._live()]
        if engine.shut_until > self.now or 2 * sum(shut) + 2 > len(shut):
            return  # when most look bad, the fault is more likely in this gateway's own view
        engine.shut_until = self.now + int(PERIOD_US * (1 + 0.3 * self.chance(engine.index)))

    def _silent(self, engine: Engine) -> None:
        """Takes batches, answers none: seen when neither answers nor notes come while dispatches are out."""
        oldest = next(iter(engine.out.values()))
        patience = 1.6 * self.note_us + 300_000 if self.note_us else 4 * oldest.batch.solo + 2 * PERIOD_US
        if self.now - max(engine.heard, oldest.sent) < patience:
            return
        self._shut(engine)
        engine.heard = self.now
        for (index, number), dispatch in engine.out.items() if engine.shut_until > self.now else ():
            if self.may_cancel and dispatch.batch.group.kind != names.ONCE_ONLY and not dispatch.batch.over:
                self.out.cancel(index, number)

    def _solve(self) -> None:
        live, self.solved_at = self._live(), self.now
        self.keys.resting = {key: until for key, until in self.keys.resting.items() if until > self.now}
        self.ready = {
            pool: held
            for pool, line in self.ready.items()
            if (held := sorted(each for each in line if each is each[2].entry and not each[2].over))
        }
        for engine in live if self.load_field is None else ():
            engine.hear_load(self.now, len(engine.out) / engine.cores)
        # Probes are priced by the batch: a gateway with little traffic asks little, each engine in turn.
        asks = min(len(live), int(self.asks)) if self.probes else 0
        for turn in range(self.asked, self.asked + asks):
            self.out.probe(live[turn % len(live)].index)
        self.asks, self.asked = min(self.asks - asks, 1.0), self.asked + asks
        sums = [engine.line.sums(self.now) for engine in live]
        pooled = [sum(column) for column in zip(*sums)]
        middle = sum(engine.load for engine in live) / max(1, sum(engine.load_at > -inf for engine in live))
        shares = solve(
            [engine.cores for engine in live],
            [max(0.0, engine.load) if engine.load_at > -inf else middle for engine in live],
            [fit(each, pooled) for each in sums],
            [engine.share or 1 / len(live) for engine in live],
            1 / self.gateway_count,
        )
        for engine, share in zip(live, shares):
            engine.share = share

    def _hold(self, batch: Batch) -> None:
        late = batch.group.late_utility if self.now + batch.solo > batch.goal else 1.0
        worth = late * batch.group.utility / batch.work
        if (opens := self.keys.open_at(batch)) is not None:
            held = self.later if opens > self.now else self.ready.setdefault(batch.pool, [])
            batch.entry = (opens if opens > self.now else -worth, next(self.counter), batch)
            heapq.heappush(held, batch.entry)

    def _hopeless(self, batch: Batch) -> bool:
        """No use left in waiting: nothing to earn, no time, or no further dispatch allowed."""
        soonest = self.now + 0.5 * batch.solo  # estimates scatter: half the estimated run may be all of it
        last = min(batch.last, inf if batch.group.late_utility else batch.goal)
        spent = batch.sends >= self.max_dispatches or not batch.may_resend(self.now)
        return soonest > last or spent or self.stopping

    def _review(self, batch: Batch) -> None:
        # Ended while still out: with a key, which its dispatch holds until it is surely over, or at a stop.
        late = self.now >= batch.last and (self.stopping or batch.key is not None)
        if not batch.over and (late or not batch.out):
            (self._give_up if self._hopeless(batch) else self._hold)(batch)

    def _give_up(self, batch: Batch, pause: int = 0) -> None:
        if batch.harmless():
            usual = int(self.retry_us * (0.5 + 0.5 * self.chance(batch.index)))
            self.out.push_back(batch.index, min(pause, self.retry_us) or usual)
        else:
            self.out.error(batch.index)
        self._close(batch)

    def _close(self, batch: Batch) -> None:
        batch.over = True
        for number in batch.out if self.may_cancel else ():
            self.out.cancel(batch.index, number)
        self._forget(batch)

    def _forget(self, batch: Batch) -> None:
        if batch.out or self.batches.pop(batch.index, None) is None:
            return
        if batch.destination is not None:
            batch.destination.batch_closed()
        if batch.key is not None and (following := self.keys.leave(batch)):
            self._review(following)

    def _choose(self, batch: Batch) -> Engine | None:
        """The one way out: order, limits on further dispatches, the fleet's window, an engine. Most batches
        are alike: what no engine takes, none takes later in the round, unless it is smaller."""
        group, work, opens = batch.group, max(batch.learned.usual, batch.work), self.keys.open_at(batch)
        locks, sort = (
            group.locks_data_set or group.waits_for_data_set,
            (batch.destination, batch.learned, batch.small),
        )
        out = self.threads[1] if batch.small else sum(self.threads)
        wanted, free = (out + group.threads) / self.engine_threads, batch.small or not self.debt
        if (
            opens is None
            or opens > self.now
            or batch.work >= self.refused.get(sort, inf)
            or (batch.sends and not self.budget.allows(self.now))
            or (
                batch.destination is not None
                and not batch.destination.allows_dispatch(self.now, batch.sends > 0)
            )
            or not (self.fleet and self.fleet[batch.small].fits(wanted, free and not out))
        ):
            return None
        fits = (
            each
            for each in self.open
            if work <= each.bears
            and batch.allowed(each)
            and not (locks and each.holds(batch.data_set))
            and each.window.fits(
                (each.threads + group.threads) / (each.cores * THREADS_PER_CORE), not each.out
            )
        )
        chosen = max(
            fits,
            default=None,
            key=lambda each: each.credit
            + 0.5 * (batch.data_set in each.warm)
            - 100 * (each.index in batch.tried),
        )
        if chosen is None and not (batch.sends or locks):
            self.refused[sort] = batch.work
        return chosen

    def _pump(self) -> None:
        """Best first over all pools; one with nowhere to go must not use up the others' looks."""
        passed, self.refused = defaultdict(list), {}
        for engine in (live := self._live() if self.ready else ()):
            engine.bears = self.cold.left(self.now, engine) if engine.shut_until <= self.now else 0.0
        self.open = [engine for engine in live if engine.bears]
        while lines := [pool for pool, line in self.ready.items() if line and len(passed[pool]) < SKIPS]:
            pool = min(lines, key=lambda each: self.ready[each][0]) if len(lines) > 1 else lines[0]
            entry = _, _, batch = heapq.heappop(self.ready[pool])
            if batch.over or batch.out or entry is not batch.entry:
                continue
            if self._hopeless(batch):
                self._give_up(batch)
            elif engine := self._choose(batch):
                self._send(batch, engine)
            else:
                passed[pool].append(entry)
        for pool, entries in passed.items():
            for entry in entries:
                heapq.heappush(self.ready[pool], entry)

    def _send(self, batch: Batch, engine: Engine) -> None:
        batch.out[batch.sends] = engine.out[batch.index, batch.sends] = Dispatch(batch, self.now, engine.load)
        engine.threads += batch.group.threads
        self.threads[batch.small] += batch.group.threads
        self.budget.spent.add(self.now, batch.sends > 0)
        if batch.destination is not None:
            batch.destination.dispatch_sent(self.now, batch.sends > 0)
        work = max(batch.learned.usual, batch.work)
        if engine.sent:
            engine.sent.add(self.now, work)
        engine.bears -= work
        batch.sends += 1
        batch.tried.add(engine.index)
        engine.warm.append(batch.data_set)
        self._debit(engine, batch.work)
        grant = round(batch.learned.grant * batch.memory_hint) if self.grants else 0
        self.out.set_resources(batch.index, self._priority(batch), grant)
        # Its time-out, the round that hears of it and the answer come one after the other, in time.
        self.out.dispatch(batch.index, engine.index, max(1, batch.deadline - TICK_US - self.now))

    def _debit(self, chosen: Engine, work: float) -> None:
        """Weighted round robin in units of usual work: follows the solved rates with little variance."""
        self.mean_work += 0.02 * (work - self.mean_work)
        size = min(10.0, work / self.mean_work)
        for engine in self._live():
            engine.credit = min(5.0, engine.credit + engine.share * size)
        chosen.credit = max(-10.0, chosen.credit - size)

    def _priority(self, batch: Batch) -> int:
        """A load frees its data set; small batches take little from others and are late soonest."""
        part = batch.group.utility / batch.work / max(one.group.utility / one.usual for one in self.learned)
        return (
            3 if batch.group.locks_data_set or batch.small else 2 if part > 0.2 else 1 if part > 0.05 else 0
        )

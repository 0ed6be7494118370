"""All decisions of one gateway. Build a Gateway from its settings, then call round(now_us, events, writer)
once a round with all that came in; decisions go straight into the writer. The events, the writer's protocol
and the shared names are in pathturn/core/interface.py. Times are whole microseconds, work is one thread's time.
"""

import heapq
from collections import OrderedDict, deque
from math import exp
from zlib import crc32

from pathturn.core import interface as names

PERIOD_US, SMOOTH_US = 1_000_000, 3_000_000  # the design's starting values
SLICE = 0.1  # of the way from the even start to what reports suggest, a step of the solver
TICK_US = 25_000
THREADS_PER_CORE = 1.3  # more than one, since threads wait for disks; engines thrash soon beyond
CROWDED = 2.2  # latency over work: above it an engine's cores, disks or memory are overcommitted
WIDEST, NARROWEST = 1.6, 0.15
BAD_PLAN = 3.5  # times the expected run: estimates scatter by less, bad plans by more
REFERENCE_LOAD = 0.85  # the rules' capacity is the rate at which this share of the cores is busy
SKIPS = 24  # held batches looked past in a round: bounds the work when the first ones have nowhere to go


class Ring:
    """Sums over the recent past in fixed buckets of time; one more than the span needs, so that either all
    cover the span or all but the oldest lie within it."""

    def __init__(self, span_us: int, buckets: int, fields: int = 1) -> None:
        self.width, self.buckets = max(1, -(-span_us // buckets)), buckets
        self.epochs = [-1] * (buckets + 1)
        self.rows = [[0.0] * fields for _ in self.epochs]

    def add(self, now: int, *values: float) -> None:
        epoch = now // self.width
        slot = epoch % len(self.epochs)
        if self.epochs[slot] != epoch:
            self.epochs[slot], self.rows[slot] = epoch, [0.0] * len(values)
        self.rows[slot] = [have + value for have, value in zip(self.rows[slot], values)]

    def sums(self, now: int, within: bool = False) -> list[float]:
        oldest = now // self.width - self.buckets + within
        rows = [row for epoch, row in zip(self.epochs, self.rows) if epoch >= oldest]
        return [sum(column) for column in zip(*rows)] if rows else [0.0] * len(self.rows[0])


class Learned:
    """What one service group's answers have taught: estimates' bias, usual work, pace and latency."""

    def __init__(self, group: names.ServiceGroup, index: int) -> None:
        self.group, self.index = group, index
        self.usual = float(group.goal_us) * group.threads / 2
        self.bias = self.memory_bias = 1.0
        self.pace, self.latency, self.seen, self.estimated = 1.5, 0.0, 0, 0
        self.longest_left = 0

    def estimate(self, work_us: int) -> None:
        self.estimated += 1
        self.usual += (work_us * self.bias - self.usual) / min(self.estimated, 200)

    def returned(self, batch: "Batch", latency: int, work_us: int, memory_mb: float) -> None:
        self.seen += 1
        rate = max(0.03, 1 / (self.seen + 4))
        self.latency += (latency - self.latency) / min(self.seen, 100)
        if batch.hint and work_us:
            self.bias += rate * (min(4.0, max(0.2, work_us / batch.hint)) - self.bias)
        elif batch.hint:
            # Without a told cost the quicker third of latencies stands for work that met no crowd.
            quick = latency * self.group.threads / batch.hint < self.bias
            self.bias *= exp(rate * (-0.7 if quick else 0.3))
        if memory_mb and batch.memory_hint:
            self.memory_bias += rate * (min(4.0, max(0.2, memory_mb / batch.memory_hint)) - self.memory_bias)
        stretch = latency * self.group.threads / max(1.0, work_us or batch.work)
        self.pace += 0.05 * (min(10.0, max(1.0, stretch)) - self.pace)


class Batch:
    __slots__ = ("index", "learned", "group", "key", "taken", "deadline", "goal", "hint", "memory_hint", "work",
                 "memory", "data_set", "sends", "out", "held", "over", "ran_since", "ran_at", "tried", "kills")

    def solo(self) -> float:
        return self.work / self.group.threads


class Dispatch:
    __slots__ = ("batch", "number", "engine", "sent", "load", "threads", "memory")


class Engine:
    def __init__(self, index: int, window: float, credit: float, now: int) -> None:
        self.index, self.window, self.credit, self.share = index, window, credit, 0.0
        self.state, self.cold_until = names.GONE, 0
        self.load, self.load_at, self.reported = 0.0, 0, False
        self.line = Ring(30 * PERIOD_US, 6, 5)
        self.answers = Ring(10 * PERIOD_US, 5, 2)
        self.out: dict[tuple[int, int], Dispatch] = {}
        self.threads, self.memory = 0, 0.0
        self.stretch, self.cut_at, self.pressed = 1.0, now, False
        self.heard, self.shut_until, self.trial, self.strikes = now, 0, 0, 0
        self.warm: OrderedDict[int, None] = OrderedDict()

    def listed(self, zone: str, machine: str, cell: int, cores: float, memory_mb: float) -> None:
        self.zone, self.machine, self.cell, self.cores, self.memory_mb = zone, machine, cell, cores, memory_mb

    def hear_load(self, now: int, load: float) -> None:
        """The design's moving average; the first report stands as it is."""
        weight = 1.0 if not self.reported else 1 - exp(-(now - self.load_at) / SMOOTH_US)
        self.load += weight * (load - self.load)
        self.load_at, self.reported = now, True


def fit(sums: list[float], pooled: tuple[float, float, float] | None) -> tuple[float, float, float]:
    """Intercept, slope and mean load; few samples lean on the pooled line, and load never helps latency."""
    n, x, y, xx, xy = sums
    if pooled:
        level, rise, middle = pooled
        n, x, y = n + 5, x + 5 * middle, y + 5 * (level + rise * middle)
        xx, xy = xx + 5 * (middle * middle + 0.05), xy + 5 * ((level + rise * middle) * middle + rise * 0.05)
    if n < 1:
        return 1.0, 0.0, 0.0
    spread = xx - x * x / n
    slope = max(0.0, (xy - x * y / n) / spread) if spread > 1e-9 else 0.0
    return (y - slope * x) / n, slope, x / n


def solve(cores: list[float], loads: list[float], lines: list[tuple], shares: list[float], part: float) -> list[float]:
    """Targets from the even start toward what reported loads suggest, until predicted mean response rises."""
    even = [core / sum(cores) for core in cores]
    floor = 0.05 + 0.25 * sum(loads) / len(loads)
    room = [core / (floor + max(0.0, load)) for core, load in zip(cores, loads)]
    suggested = [each / sum(room) for each in room]

    def response(target: list[float]) -> float:
        moved = (load * (1 + part * (aim / max(share, 1e-3) - 1)) for load, aim, share in zip(loads, target, shares))
        return sum(aim * (line[0] + line[1] * max(0.0, load)) for aim, line, load in zip(target, lines, moved))

    target, best = even, response(even)
    for _ in range(round(1 / SLICE)):
        step = [have + SLICE * (to - start) for have, to, start in zip(target, suggested, even)]
        predicted = response(step)
        if predicted >= best:
            break
        target, best = step, predicted
    return target


class Gateway:
    def __init__(self, *, seed, instance, gateways, zone, groups, cores, memory_mb, most_grant, grants, priorities,
                 note_us, tells_cost, report_fields, probes, ask_list, max_dispatches, may_cancel, retry_us, step_us,
                 cold, key_rest_us, budget, worst_group) -> None:
        if not groups:
            raise ValueError("settings name no service group")
        self.seed, self.instance, self.counter = seed, instance, 0
        self.gateways, self.zone, self.worst_group = max(1, gateways), zone, worst_group
        self.learned = [Learned(group, index) for index, group in enumerate(groups)]
        self.cores, self.memory_mb, self.most_grant = cores, memory_mb, most_grant
        self.grants, self.priorities, self.tells_cost, self.note_us = grants, priorities, tells_cost, note_us
        self.fields = {field: place for place, field in enumerate(report_fields)}
        self.probes, self.ask_list, self.step_us = probes, ask_list, step_us
        self.max_dispatches, self.may_cancel, self.retry_us = max_dispatches, may_cancel, retry_us
        self.cold_from, self.cold_us, self.fall_multiple, self.fall_us = cold
        self.key_rest_us, self.budget = key_rest_us, budget
        if budget:
            self.taken_ring, self.extra_ring = Ring(budget[2], 20), Ring(budget[2], 20)
        self.engines: dict[int, Engine] = {}
        self.batches: dict[int, Batch] = {}
        self.ready: list[tuple] = []
        self.later: list[tuple] = []
        self.keys: dict[str, deque[Batch]] = {}
        self.rest: dict[str, int] = {}
        self.holds: dict[tuple[int, int], int] = {}
        self.cold_sent: dict[int, Ring] = {}
        self.mean_work, self.started, self.solved_at, self.ticking = 1.0, None, 0, False

    def chance(self, identity: int) -> float:
        self.counter += 1
        return crc32(f"{self.seed}:{self.instance}:{identity}:{self.counter}".encode()) / 2**32

    def round(self, now_us: int, events: list[tuple], writer: names.Writer) -> None:
        self.now, self.out = now_us, writer
        if self.started is None:
            self.started = now_us
            if self.ask_list:
                writer.subscribe(True)
        for name, *fields in events:
            getattr(self, name)(*fields)
        if now_us - self.solved_at >= PERIOD_US:
            self.solved_at = now_us
            self._period()
        for engine in self.engines.values():
            self._silent(engine)
        while self.later and self.later[0][0] <= now_us:
            self._review(heapq.heappop(self.later)[2])
        self._pump()
        if not self.ticking:
            self.ticking = True
            writer.wake(TICK_US, 0)

    # What comes in.
    def wake(self, tag: int) -> None:
        self.ticking = False

    def listing(self, form: int, entries: list[tuple]) -> None:
        if form == names.FAILED:
            self.out.subscribe(True)
            return
        if form != names.CHANGES:
            named = {entry[0] for entry in entries}
            for engine in self.engines.values():
                if engine.index not in named:
                    engine.state = names.GONE
        for index, zone, machine, cell, state, size, started in entries:
            engine = self.engines.get(index)
            if engine is None:
                engine = self.engines[index] = Engine(index, 1.2 / self.gateways, self.chance(index), self.now)
            engine.listed(zone, machine, cell, self.cores.get(machine) or size or 1, self.memory_mb.get(machine) or 0)
            engine.state = state
            if started:
                engine.cold_until = max(engine.cold_until, started + self.cold_us)
        self._solve()

    def batch(self, index, group, customer, key, left_us, work_us, memory_mb, data_set, repeat) -> None:
        learned = self.learned[group]
        if work_us:
            learned.estimate(work_us)
        batch = self.batches[index] = Batch()
        batch.index, batch.learned, batch.group, batch.taken = index, learned, learned.group, self.now
        batch.hint, batch.memory_hint, batch.data_set = work_us, memory_mb, data_set
        batch.work = max(1_000.0, work_us * learned.bias or learned.usual)
        batch.memory = memory_mb * learned.memory_bias
        batch.deadline = self.now + left_us
        learned.longest_left = max(learned.longest_left, left_us)
        # A try cut shorter than the longest yet comes late in its client's wait: its goal began with the first.
        spent = batch.group.limit_us - left_us if left_us < 0.99 * learned.longest_left else 0
        batch.goal = self.now - spent + batch.group.goal_us + int(batch.group.goal_stretch * batch.solo())
        batch.sends, batch.kills, batch.out, batch.tried = 0, 0, {}, set()
        batch.held, batch.over, batch.ran_since, batch.ran_at = False, False, None, None
        batch.key = key if batch.group.in_order else None
        if self.budget:
            self.taken_ring.add(self.now, 1)
        if batch.key is not None:
            self.keys.setdefault(batch.key, deque()).append(batch)
        self._hold(batch)
        self._watch(batch)

    def answer(self, index, number, engine, outcome, latency_us, complete, work_us, memory_mb, report) -> None:
        batch, engine = self.batches[index], self.engines[engine]
        dispatch = batch.out.pop(number)
        self._leave(engine, dispatch)
        if report:
            self._report(engine, report)
        if outcome == names.RETURNED:
            self._returned(engine, dispatch, latency_us, work_us, memory_mb)
        else:
            self._blame(engine, outcome)
        if outcome not in names.NEVER_RAN and batch.ran_since is None:
            batch.ran_since, batch.ran_at = dispatch.sent, engine
        if outcome in (names.TIMED_OUT, names.RESET, names.CANCELLED) and batch.key is not None:
            self.rest[batch.key] = self.now + self.key_rest_us
        if complete:
            batch.over = True
        elif not batch.over:
            self._hold(batch)
            self._review(batch)
        self._forget(batch)

    def note(self, index, engine, sort, level, number) -> None:
        engine = self.engines[engine]
        engine.heard = self.now
        batch = self.batches[index]
        dispatch = batch.out.get(number)
        if dispatch is None or batch.over or sort != names.PROGRESS:
            return
        # Against bad plans; also catches a dispatch stuck behind others' work. Does harm where an estimate is
        # far too low: the same work starts over, so it is done only once a batch.
        expected = batch.solo() * batch.learned.pace
        spent = self.now - dispatch.sent
        whole = spent / max(0.02, level)
        if (self.may_cancel and batch.group.kind == names.REPEATABLE and batch.kills < 1
                and batch.sends < self.max_dispatches and whole > BAD_PLAN * expected
                and whole - spent > 1.5 * expected):
            batch.kills += 1
            self.out.cancel(batch.index, number)

    def probed(self, engine, well, latency_us, report) -> None:
        if well and report:
            self._report(self.engines[engine], report)

    def withdrawn(self, index) -> None:
        batch = self.batches.get(index)
        if batch is not None:
            batch.over = True
            self._cancel(batch)
            self._forget(batch)

    # Learning.
    def _report(self, engine: Engine, report: list[float]) -> None:
        told = {field: report[place] for field, place in self.fields.items() if place < len(report)}
        if "held" in told:
            engine.hear_load(self.now, told["held"] / engine.cores)
        elif "utilisation" in told:
            engine.hear_load(self.now, told["utilisation"])
        elif "disks" in told or "memory" in told:
            engine.hear_load(self.now, max(told.get("disks", 0), told.get("memory", 0)))
        if told.get("waiting", 0) > 0.5:
            self._cut(engine)

    def _returned(self, engine: Engine, dispatch: Dispatch, latency: int, work_us: int, memory_mb: float) -> None:
        batch, learned = dispatch.batch, dispatch.batch.learned
        engine.heard = self.now
        engine.answers.add(self.now, 0, 1)
        engine.trial = max(0, engine.trial - 1)
        learned.returned(batch, latency, work_us, memory_mb)
        engine.line.add(self.now, 1, dispatch.load, latency / learned.latency, dispatch.load ** 2,
                        dispatch.load * latency / learned.latency)
        stretch = min(10.0, latency * batch.group.threads / max(1.0, work_us or batch.work))
        engine.stretch += 0.15 * (stretch - engine.stretch)
        if engine.stretch > CROWDED:
            self._cut(engine)
        elif engine.pressed:
            engine.window = min(WIDEST, engine.window + 0.02)
            engine.pressed = False

    def _cut(self, engine: Engine) -> None:
        if self.now - engine.cut_at >= PERIOD_US:
            engine.cut_at = self.now
            engine.window = max(NARROWEST, 0.85 * engine.window)

    # Health.
    def _blame(self, engine: Engine, outcome: str) -> None:
        """By symptom: quick errors, lost connections. None of these is a latency sample, so none looks cheap."""
        if outcome == names.FULL:
            self._cut(engine)
        elif outcome == names.ERRORED:
            engine.answers.add(self.now, 1, 1)
            bad, all_ = engine.answers.sums(self.now)
            if engine.trial or (bad >= 2 and bad > 0.2 * all_):
                self._shut(engine)
        elif outcome in (names.UNREACHABLE, names.RESET):
            # Its process may have gone and come back before the list says so: take it for cold.
            engine.cold_until = max(engine.cold_until, self.now + self.cold_us)
            self._shut(engine)

    def _shut(self, engine: Engine) -> None:
        if engine.shut_until > self.now:
            return
        live = [each for each in self.engines.values() if each.state == names.READY]
        if sum(each.shut_until > self.now for each in live) * 2 >= len(live):
            return  # when most look bad, the fault is more likely in this gateway's own view
        engine.strikes = min(4, engine.strikes + 1) if engine.trial else 1
        engine.shut_until = self.now + int(PERIOD_US * 2 ** (engine.strikes - 1) * (1 + 0.3 * self.chance(engine.index)))
        engine.trial = 3

    def _silent(self, engine: Engine) -> None:
        """Takes batches, answers none: seen when neither answers nor notes come while dispatches are out."""
        if not engine.out:
            return
        oldest = next(iter(engine.out.values()))
        patience = int(1.6 * self.note_us) + 300_000 if self.note_us else int(4 * oldest.batch.solo()) + 2 * PERIOD_US
        if self.now - max(engine.heard, oldest.sent) < patience:
            return
        self._shut(engine)
        if engine.shut_until > self.now and self.may_cancel:
            for dispatch in list(engine.out.values()):
                if dispatch.batch.group.kind != names.ONCE_ONLY and not dispatch.batch.over:
                    self.out.cancel(dispatch.batch.index, dispatch.number)

    # The ordinary path.
    def _period(self) -> None:
        for engine in self.engines.values():
            if engine.state == names.GONE:
                continue
            if not self.fields:
                engine.hear_load(self.now, len(engine.out) / engine.cores)
            if self.probes:
                self.out.probe(engine.index)
        self._solve()

    def _solve(self) -> None:
        live = [engine for engine in self.engines.values() if engine.state == names.READY]
        if not live:
            return
        sums = [engine.line.sums(self.now) for engine in live]
        pooled = fit([sum(column) for column in zip(*sums)], None)
        heard = [engine.load for engine in live if engine.reported]
        middle = sum(heard) / len(heard) if heard else 0.0
        loads = [engine.load if engine.reported else middle for engine in live]
        shares = [engine.share or 1 / len(live) for engine in live]
        cores = [engine.cores for engine in live]
        for engine, share in zip(live, solve(cores, loads, [fit(each, pooled) for each in sums], shares, 1 / self.gateways)):
            engine.share = share

    # Holding and choosing.
    def _worth(self, batch: Batch) -> float:
        group = batch.group
        late = self.now + batch.solo() > batch.goal
        return (group.late_utility if late else 1.0) * group.utility / batch.work

    def _hold(self, batch: Batch) -> None:
        batch.held = True
        rest = self.rest.get(batch.key, 0) if batch.key is not None else 0
        if batch.key is not None and self.keys[batch.key][0] is not batch:
            return
        if rest > self.now and not batch.sends:
            heapq.heappush(self.later, (rest, self._next(), batch))
            return
        heapq.heappush(self.ready, (-self._worth(batch), self._next(), batch))

    def _next(self) -> int:
        self.counter += 1
        return self.counter

    def _watch(self, batch: Batch) -> None:
        """Looks at the batch again when its goal has slipped away, and before its time is up."""
        last = batch.deadline - 2 * TICK_US
        for due in {min(last, int(batch.goal - batch.solo()) + 1), last}:
            heapq.heappush(self.later, (due, self._next(), batch))

    def _review(self, batch: Batch) -> None:
        if batch.over:
            return
        group = batch.group
        if batch.out:
            return
        solo = batch.solo()
        late = self.now + solo > batch.goal
        if ((late and not group.late_utility) or self.now + solo > batch.deadline or not self._may_resend(batch)
                or self.now >= batch.deadline - 2 * TICK_US):
            self._end(batch)
        elif batch.key is not None or late:
            self._hold(batch)

    def _end(self, batch: Batch) -> None:
        group = batch.group
        unrun = batch.ran_since is None and not batch.out
        harmless = unrun or group.kind == names.REPEATABLE or (
            group.kind == names.REFERENCED and group.repeat_scope == "all")
        batch.over = True
        if harmless:
            self.out.push_back(batch.index, int(self.retry_us * (0.5 + 0.5 * self.chance(batch.index))))
        else:
            self.out.error(batch.index)
        self._cancel(batch)
        self._forget(batch)

    def _cancel(self, batch: Batch) -> None:
        if self.may_cancel:
            for number in batch.out:
                self.out.cancel(batch.index, number)

    def _forget(self, batch: Batch) -> None:
        if not batch.over or batch.out:
            return
        self.batches.pop(batch.index, None)
        line = self.keys.get(batch.key) if batch.key is not None else None
        if line and batch in line:
            first = line[0] is batch
            line.remove(batch)
            if not line:
                del self.keys[batch.key]
            elif first:
                self._hold(line[0])

    def _may_resend(self, batch: Batch) -> bool:
        if batch.sends >= self.max_dispatches:
            return False
        if batch.ran_since is None or batch.group.kind == names.REPEATABLE:
            return True
        return batch.group.kind == names.REFERENCED and self.now - batch.ran_since < 0.95 * batch.group.repeat_span_us

    def _gate(self, batch: Batch, engine: Engine) -> bool:
        """The one way out: rules 2 to 7 and the limits on copies and dispatches."""
        group = batch.group
        if engine.state != names.READY or batch.over or batch.out or not self._may_resend(batch):
            return False
        if group.zones is not None and engine.zone not in group.zones:
            return False
        if group.machines is not None and engine.machine not in group.machines:
            return False
        if batch.ran_since is not None and group.kind == names.REFERENCED:
            scope = {"zone": engine.zone == batch.ran_at.zone, "cell": engine.cell == batch.ran_at.cell}
            if not scope.get(group.repeat_scope, group.repeat_scope == "all"):
                return False
        if batch.key is not None and (self.keys[batch.key][0] is not batch or (
                not batch.sends and self.now < self.rest.get(batch.key, 0))):
            return False
        if batch.sends and self.budget:
            free, share, _ = self.budget
            taken, extra = self.taken_ring.sums(self.now, True)[0], self.extra_ring.sums(self.now)[0]
            if extra + 1 > free + share * taken:
                return False
        return self.now >= engine.cold_until or self._cold_allows(batch, engine)

    def _cold_allows(self, batch: Batch, engine: Engine) -> bool:
        """All gateways together must stay under the fall line, so each keeps to its part of the least capacity
        that a cold engine may have. What it did before its own start it cannot know: it waits a window out."""
        if not self.fall_us or not self.fall_multiple:
            return True
        if self.now - self.started < self.fall_us and self.started:
            return False
        part = 0.6 * self.fall_multiple * self.cold_from * REFERENCE_LOAD * engine.cores * self.fall_us / self.gateways
        ring = self.cold_sent.setdefault(engine.index, Ring(self.fall_us, 10))
        return ring.sums(self.now)[0] + max(batch.learned.usual, batch.work) <= part

    def _room(self, batch: Batch, engine: Engine) -> bool:
        if engine.shut_until > self.now or (engine.trial and engine.out):
            return False
        if engine.trial and batch.group.kind != names.REPEATABLE:
            return False
        if not engine.out:
            return True
        threads = (engine.threads + batch.group.threads) / (engine.cores * THREADS_PER_CORE)
        memory = (engine.memory + batch.memory) / engine.memory_mb if engine.memory_mb else 0.0
        if max(threads, memory) <= engine.window:
            return True
        engine.pressed = True
        return False

    def _choose(self, batch: Batch) -> Engine | None:
        best, most = None, None
        for engine in self.engines.values():
            if not self._room(batch, engine) or not self._gate(batch, engine):
                continue
            if (batch.group.holds_set or batch.group.waits_for_set) and self.holds.get((engine.index, batch.data_set)):
                continue
            score = engine.credit - (1e9 if engine.index in batch.tried else 0)
            if batch.data_set in engine.warm:
                score += 0.5
            if best is None or score > most:
                best, most = engine, score
        return best

    def _pump(self) -> None:
        passed = []
        while self.ready and len(passed) < SKIPS:
            entry = heapq.heappop(self.ready)
            batch = entry[2]
            if batch.over or batch.out or not batch.held:
                continue
            engine = self._choose(batch)
            if engine is None:
                passed.append(entry)
            else:
                self._send(batch, engine)
        for entry in passed:
            heapq.heappush(self.ready, entry)

    def _send(self, batch: Batch, engine: Engine) -> None:
        dispatch = batch.out[batch.sends] = Dispatch()
        dispatch.batch, dispatch.number, dispatch.engine, dispatch.sent = batch, batch.sends, engine, self.now
        dispatch.load, dispatch.threads, dispatch.memory = engine.load, batch.group.threads, batch.memory
        if batch.sends and self.budget:
            self.extra_ring.add(self.now, 1)
        if self.now < engine.cold_until and self.fall_us:
            self.cold_sent.setdefault(engine.index, Ring(self.fall_us, 10)).add(
                self.now, max(batch.learned.usual, batch.work))
        engine.out[batch.index, batch.sends] = dispatch
        engine.threads += dispatch.threads
        engine.memory += dispatch.memory
        batch.held = False
        batch.sends += 1
        batch.tried.add(engine.index)
        if batch.group.holds_set:
            place = engine.index, batch.data_set
            self.holds[place] = self.holds.get(place, 0) + 1
        engine.warm[batch.data_set] = None
        engine.warm.move_to_end(batch.data_set)
        if len(engine.warm) > 4:
            engine.warm.popitem(last=False)
        self._debit(engine, batch.work)
        if self.priorities or self.grants:
            grant = batch.memory * 1.15 if self.grants and self.tells_cost else 0
            self.out.terms(batch.index, self._priority(batch), round(grant))
        self.out.dispatch(batch.index, engine.index, max(1, batch.deadline - self.now - self.step_us))

    def _debit(self, chosen: Engine, work: float) -> None:
        """Weighted round robin in units of usual work: follows the solved rates with little variance."""
        self.mean_work += 0.02 * (work - self.mean_work)
        size = min(10.0, work / self.mean_work)
        for engine in self.engines.values():
            if engine.state == names.READY:
                engine.credit = min(5.0, engine.credit + engine.share * size)
        chosen.credit = max(-10.0, chosen.credit - size)

    def _priority(self, batch: Batch) -> int:
        if batch.group.holds_set:
            return 2
        dearest = max(each.group.utility / each.usual for each in self.learned)
        value = batch.group.utility / batch.work / dearest
        return 3 if value > 0.5 else 2 if value > 0.2 else 1 if value > 0.05 else 0

    def _leave(self, engine: Engine, dispatch: Dispatch) -> None:
        batch = dispatch.batch
        engine.out.pop((batch.index, dispatch.number), None)
        engine.threads -= dispatch.threads
        engine.memory = max(0.0, engine.memory - dispatch.memory)
        if batch.group.holds_set:
            place = engine.index, batch.data_set
            self.holds[place] -= 1
            if not self.holds[place]:
                del self.holds[place]

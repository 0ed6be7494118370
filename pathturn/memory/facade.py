"""The decision module in blocking style. A batch's greenlet asks `pick` where to send or how to end, a
dispatch's greenlet hands its outcome to `report`, and one greenlet runs `tick` for all that came in since.
Events, actions and indices of the module stay in here; here nothing is decided.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from math import inf
from typing import TYPE_CHECKING, Any

from gevent.event import Event
from gevent.queue import Empty

from pathturn.core import interface as names
from pathturn.memory.batches import Batch, Dispatch, End, OpenBatches, Source
from pathturn.memory.overdue import OverdueBatches
from pathturn.memory.roster import Roster

if TYPE_CHECKING:  # imported when enabled only: plain serve has no routes
    from pathturn.routing.router import Router, Traits

# The module ends a batch before its time; the protocol leaves 50 ms after it.
OVERDUE_US = 20_000
# By the protocol requests of one key are written so far apart: over a shorter stall no two can change places.
STANDSTILL_US = 60_000


def _goal_us(group: names.ServiceGroup, work_us: int) -> int:
    return group.goal_us + int(group.goal_stretch * work_us / group.threads)


class Facade:
    def __init__(
        self,
        decider: names.Decider,
        groups: dict[str, names.ServiceGroup],
        clock: Callable[[], int],
        tells_cost: bool,
        log: Callable[[str], None],
    ) -> None:
        self.decider, self.groups, self.clock = decider, groups, clock
        self.group_index = {name: index for index, name in enumerate(groups)}
        self.tells_cost, self.log_line = tells_cost, log
        self.batches, self.roster, self.overdue = OpenBatches(), Roster(), OverdueBatches()
        self.events: list[tuple] = []
        self.first_of: dict[str, object] = {}
        self.unwritten: Counter[str] = Counter()  # by key: batches whose clients have not got their end yet
        self.beat_us, self.stood_us, self.gap_us = clock(), 0, 0
        self.came, self.wake_at, self.round_us = Event(), inf, 0
        self.follows_list = Event()
        self.router: Router | None = None
        self.traits: Callable[..., Traits] | None = None
        self.watch: Callable[[Batch, End], None] | None = None

    def _tell(self, *event: Any) -> None:
        self.events.append(event)
        self.came.set()

    # For the clients' side.
    def group(self, name: str) -> names.ServiceGroup | None:
        return self.groups.get(name)

    def row_us(self, name: str) -> int:
        """For how long a batch of a key in order may have waited for its turn to be written."""
        return self.decider.row_us(self.groups[name])

    def is_open(self, ticket: str) -> bool:
        return ticket in self.batches.tickets

    def take(
        self,
        source: Source | None,
        ticket: str,
        group: str,
        left_us: int,
        nonce: str | None,
        key: str | None,
        customer: str | None,
        work_us: int,
        memory_mb: float,
        data_set: int,
        repeat: bool,
        statement: bytes,
    ) -> Batch:
        until_us = self.clock() + left_us - self._waited_us()
        batch = self.batches.open(source, ticket, group, nonce, key, statement, until_us)
        if self.router is not None:
            batch.told = self.traits(group, customer, key, data_set, ticket)
            batch.course, batch.taken_us = self.router.course(batch.told), self.clock()
            batch.goal_us, batch.watch = _goal_us(self.groups[group], work_us), self.watch
        self._tell(
            "batch",
            batch.index,
            self.group_index[group],
            customer,
            key,
            left_us,
            work_us,
            memory_mb,
            data_set,
            repeat,
            batch.course,
        )
        # The event loop reads first what became readable last: over a standstill batches of one key that came
        # on two connections change places, and nothing tells when each came.
        if key is not None and self.first_of.setdefault(key, source) is not source and self._stood():
            self._tell("unsure", batch.index)
        return batch

    def pick(self, batch: Batch) -> Dispatch | End:
        """Where to send, or how to end. A fault that loses a batch's events must not lose its answer too."""
        left_us = max(0, batch.until_us + OVERDUE_US - self.clock())
        try:
            return batch.steps.get(timeout=left_us / 1e6)
        except Empty:
            self.overdue.add(batch)
            self.came.set()
            return batch.steps.get()

    @contextmanager
    def answering(self, batch: Batch) -> Iterator[None]:
        """While a batch's answer is being written. The module knows it as over by then, and lets the next of
        its key go; for the client it is over once the answer is there."""
        if batch.key is not None:
            self.unwritten[batch.key] += 1
        try:
            yield
        finally:
            self.unwritten -= Counter((batch.key,))

    def follows(self, dispatch: Dispatch) -> bool:
        """Whether those before it in its key's order have their answers."""
        return dispatch.batch.key not in self.unwritten

    def leave(self, batch: Batch) -> None:
        """The client no longer waits."""
        if not batch.over:
            self._tell("withdrawn", batch.index)
            batch.end(End(None))
            self.batches.settle(batch)

    # For the operator's side.
    def follow(
        self, router: "Router", traits: Callable[..., "Traits"], watch: Callable[[Batch, End], None]
    ) -> None:
        """From now on batches go by the router's tables, and `watch` hears how each one ended."""
        self.router, self.traits, self.watch = router, traits, watch
        router.listing(self.roster.seats)

    def take_back(self, generation: int) -> int:
        """What was taken under that generation and has been sent nowhere goes by the present one. In the same
        turn as the change of tables, so that no round lies between."""
        moved = [
            batch
            for batch in self.batches.by_index.values()
            if batch.course is not None
            and batch.course.generation == generation
            and not batch.sent
            and not batch.over
        ]
        for batch in moved:
            batch.course = self.router.course(batch.told)
            self._tell("moved", batch.index, batch.course)
        return len(moved)

    # For the engines' side.
    def stands(self, dispatch: Dispatch) -> bool:
        """Whether a dispatch that waited for a connection may still begin: drains and aborts come too. Asked
        last before its first byte, so what the client has said by then is heard first."""
        if (source := dispatch.batch.source) is not None and not dispatch.batch.over:
            source.catch_up()
        if dispatch.batch.over or dispatch.engine not in self.roster.ready:
            return False
        return self.decider.may_begin(dispatch.batch.index, self.clock())

    def note(self, dispatch: Dispatch, sort: int, level: float) -> None:
        self._tell("note", dispatch.batch.index, dispatch.engine, sort, level, dispatch.number)

    def report(
        self,
        dispatch: Dispatch,
        outcome: str,
        ended_us: int,
        work_us: int = 0,
        memory_mb: float = 0,
        meter: list[float] | None = None,
        rows: bytes = b"",
    ) -> None:
        """An outcome, exactly one for each dispatch; the first rows returned end the batch."""
        batch = dispatch.batch
        del batch.out[dispatch.number]
        if outcome == names.RETURNED:
            batch.end(End(names.RETURNED, rows=rows))
        told = outcome == names.RETURNED and self.tells_cost
        self._tell(
            "answer",
            batch.index,
            dispatch.number,
            dispatch.engine,
            outcome,
            max(0, ended_us - dispatch.sent_us),
            batch.over,
            work_us if told else 0,
            memory_mb if told else 0,
            meter,
        )
        self.batches.settle(batch)

    def unproven(self, dispatch: Dispatch) -> Callable[[], None]:
        """Told before its outcome: its query may go on, and the key waits. Returns what tells of its end."""
        self._tell("unproven", dispatch.batch.key)
        return partial(self._tell, "proven", dispatch.batch.key)

    def named(self, dispatch: Dispatch) -> bool:
        """Whether the list still names the engine."""
        return dispatch.engine in self.roster.place

    # For the list's side.
    def listing(self, form: int, told: list[tuple]) -> None:
        """The whole list, or that it could not be had."""
        rows = [] if form == names.FAILED else self.roster.rows(told)
        if self.router is not None and form != names.FAILED:
            self.router.listing(self.roster.seats)
        self._tell("listing", form, rows)

    # For whoever starts and stops it, and runs the rounds.
    def stop(self, left_us: int) -> None:
        self._tell("stop", left_us)

    def beat(self) -> None:
        """Told every few milliseconds; a gap is a standstill of the whole process."""
        now = self.clock()
        if now - self.beat_us > STANDSTILL_US:
            self.stood_us, self.gap_us = now, now - self.beat_us
            self.log_line(f"stood still for {(now - self.beat_us) // 1000} ms")
        self.beat_us = now

    def _waited_us(self) -> int:
        """For how long what is read now may have lain unread: its time runs from its last byte."""
        now = self.clock()
        gap = now - self.beat_us
        return gap if gap > STANDSTILL_US else self.gap_us if now - self.stood_us < STANDSTILL_US else 0

    def _stood(self) -> bool:
        """Whether what is read now may have come in one; the beat that tells of it may come only next."""
        return self._waited_us() > 0

    def wait(self) -> None:
        """Until something came in, or the module asked to be woken."""
        if not self.came.is_set():
            left = None if self.wake_at == inf else max(0, self.wake_at - self.clock()) / 1e6
            self.came.wait(left)
        self.came.clear()

    def tick(self) -> None:
        now = self.clock()
        events, self.events = [self._as_of(now, event) for event in self.events], []
        if not self._stood():
            self.first_of.clear()
        self.round_us = now
        if now >= self.wake_at:
            self.wake_at = inf
            events.append(("wake", 0))
        try:
            self.decider.round(now, events, self)
        finally:
            self._end_overdue()

    def _end_overdue(self) -> None:
        for batch in self.overdue.after_round():
            self.log_line(f"batch {batch.ticket} overdue")
            self._tell("withdrawn", batch.index)
            batch.end(End(names.ERRORED))
            self.batches.settle(batch)
        if self.overdue:
            self.came.set()

    def _as_of(self, now: int, event: tuple) -> tuple:
        """A batch's time has run on between its last byte and the round."""
        if event[0] != "batch" or event[1] not in self.batches.by_index:
            return event
        return (*event[:5], max(0, self.batches.by_index[event[1]].until_us - now), *event[6:])

    # The writer's side: what the module decides.
    def dispatch(self, batch: int, engine: int, limit_us: int) -> None:
        held, now = self.batches.by_index[batch], self.clock()
        dispatch = Dispatch(held, self.roster.place[engine], now, now + limit_us)
        held.out[held.sent] = dispatch
        held.sent += 1
        held.steps.put(dispatch)

    def terms(self, batch: int, priority: int, grant_mb: float) -> None:
        held = self.batches.by_index[batch]
        held.priority, held.grant_mb = priority, grant_mb
        for dispatch in held.out.values():
            if dispatch.rerank is not None:
                dispatch.rerank(priority)

    def cancel(self, batch: int, dispatch: int) -> None:
        held = self.batches.by_index.get(batch)
        if held is not None and dispatch in held.out:
            held.out[dispatch].call_back()

    def push_back(self, batch: int, retry_us: int) -> None:
        self._end(batch, End("pushed_back", retry_us))

    def error(self, batch: int) -> None:
        self._end(batch, End(names.ERRORED))

    def _end(self, batch: int, end: End) -> None:
        if (held := self.batches.by_index.get(batch)) is not None:
            held.end(end)
            self.batches.settle(held)

    def wake(self, delay_us: int, tag: int) -> None:
        # From the round's own time, as the module counts. From now it would come later than the module noted:
        # a round in between finds it past there, and what it asks for anew is lost behind the old one.
        self.wake_at = min(self.wake_at, self.round_us + delay_us)

    def subscribe(self, on: bool) -> None:
        (self.follows_list.set if on else self.follows_list.clear)()

    def probe(self, engine: int) -> None:
        """The protocol has no such call: the module hears nothing, as from a probe that was lost."""

    def log(self, text: str) -> None:
        self.log_line(text)

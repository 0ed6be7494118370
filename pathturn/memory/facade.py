"""Interface between connections and the decision module.

The source of a batch is told where to send it and how it ended, the greenlet of a dispatch passes its
outcome to `report_outcome`, and a single greenlet runs `run_round` for all events received since the last
round. An open batch has no greenlet of its own, as the stack of that would be most of its memory. The
module's events, actions and indices are translated here; no decision is taken here.
"""

from collections import Counter
from collections.abc import Callable
from functools import partial
from math import inf
from typing import TYPE_CHECKING, Any

from gevent.event import Event

from pathturn.core import interface as names
from pathturn.memory.arrival_order import ArrivalOrder
from pathturn.memory.batches import Batch, Dispatch, End, OpenBatches, Source
from pathturn.memory.engine_registry import Endpoint, EngineRegistry
from pathturn.memory.memory_budget import MAX_WAITING_RESULTS, MemoryBudget
from pathturn.memory.overdue import OverdueBatches
from pathturn.memory.request_memory import RequestMemory
from pathturn.memory.run_history import RunHistory
from pathturn.memory.stall_detector import StallDetector

if TYPE_CHECKING:  # routing is imported at run time only if enabled: plain serve has no routes
    from pathturn.routing.router import BatchAttributes, Router

# The module normally ends a batch before its deadline; the protocol allows an answer up to 50 ms after it.
OVERDUE_US = 20_000
DEFAULT_REQUEST_MEMORY_BYTES = 64 << 20


def _response_goal_us(group: names.ServiceGroup, work_us: int) -> int:
    return group.response_goal_us + int(group.goal_runtime_factor * work_us / group.threads)


class Facade:
    """Passes events to the decision module and carries out what it decides."""

    def __init__(
        self,
        dispatcher: names.Dispatcher,
        groups: dict[str, names.ServiceGroup],
        clock: Callable[[], int],
        answers_report_cost: bool,
        log: Callable[[str], None],
        memory_budget: MemoryBudget | None = None,
    ) -> None:
        self.dispatcher = dispatcher
        self.groups = groups
        self.clock = clock
        self.group_index = {name: index for index, name in enumerate(groups)}
        self.answers_report_cost = answers_report_cost
        self.log_line = log
        self.batches = OpenBatches()
        self.engine_registry = EngineRegistry()
        self.overdue = OverdueBatches(self.batches.by_index)
        self.events: list[tuple] = []
        self.arrival_order = ArrivalOrder()
        self.run_history = RunHistory(groups, self.batches, clock)
        self.memory = RequestMemory(memory_budget or MemoryBudget(DEFAULT_REQUEST_MEMORY_BYTES))
        self.stalls = StallDetector(clock, lambda text: self.log_line(text))
        # By key: ended batches whose answer has not been written yet.
        self.unwritten_answers: Counter[str] = Counter()
        self.work_available = Event()
        self.wake_at_us = inf
        self.round_started_us = 0
        self.list_subscribed = Event()
        self.router: Router | None = None
        self.make_attributes: Callable[..., BatchAttributes] | None = None
        self.on_batch_end: Callable[[Batch, End], None] | None = None

    def _add_event(self, *event: Any) -> None:
        self.events.append(event)
        self.work_available.set()

    # Called for clients.
    def group(self, name: str) -> names.ServiceGroup | None:
        """Return the service group of that name, if there is one."""
        return self.groups.get(name)

    def key_queue_drain_us(self, name: str) -> int:
        """Return how long a batch of an ordered group may have waited at its client for others of its key."""
        return self.dispatcher.key_queue_drain_us(self.groups[name])

    def retry_after_us(self) -> int:
        """Return when a client may retry a request for which there is no memory."""
        return self.dispatcher.default_retry_after_us(len(self.batches))

    def submit(
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
        written_from_us: int | None = None,
    ) -> Batch:
        """Open a batch, and queue its event for the next round.

        Its client wrote it no earlier than `written_from_us`, from which its time is counted; without one it
        was written just now.
        """
        written_from_us = self._written_from_us(written_from_us)
        deadline_us = written_from_us + left_us
        batch = self.batches.open(source, ticket, group, nonce, key, statement, deadline_us)
        self.memory.hold_request(batch)
        # The client gets an answer soon after the deadline even if a fault lost the batch's events.
        self.overdue.watch(batch, deadline_us + OVERDUE_US)
        if self.router is not None:
            batch.attributes = self.make_attributes(group, customer, key, data_set, ticket)
            batch.destination = self.router.destination(batch.attributes)
            batch.received_us = self.clock()
            batch.response_goal_us = _response_goal_us(self.groups[group], work_us)
            batch.on_end = self.on_batch_end
        self._add_event(
            "batch_received",
            batch.index,
            self.group_index[group],
            customer,
            key,
            left_us,
            work_us,
            memory_mb,
            data_set,
            repeat,
            batch.destination,
        )
        if key is not None and self.groups[group].ordered_by_key:
            self._check_order(batch, written_from_us)
        return batch

    def _written_from_us(self, unread_from_us: int | None) -> int:
        """Return the time before which input that is processed now was not written. Its connection has not
        been read since `unread_from_us`, and no connection was during a stall of the process."""
        after_stall_us = self.clock() - self.stalls.read_delay_us()
        return after_stall_us if unread_from_us is None else min(unread_from_us, after_stall_us)

    def _check_order(self, batch: Batch, written_from_us: int) -> None:
        """Tell the decision module if a batch may have been written before another one of its key that was
        received already: after a stall, for example, the event loop handles the sockets that became readable
        last first."""
        connection = batch.source.order_identity if batch.source is not None else None
        if self.arrival_order.is_ambiguous(batch.key, connection, written_from_us):
            self._add_event("order_ambiguous", batch.index)
        else:
            self.arrival_order.record(batch.key, connection, self.clock())

    def begin_answer(self, batch: Batch) -> None:
        """Note that a batch's answer is going to be written; `finish_answer` follows.

        For the decision module the batch has ended by then, and the next one of its key may be dispatched;
        for the client it has ended only once the answer is written.
        """
        if batch.key is not None:
            self.unwritten_answers[batch.key] += 1

    def finish_answer(self, batch: Batch) -> None:
        """Note that a batch's answer has been written, or can't be."""
        self.memory.release(batch)
        if batch.key is not None:
            self.unwritten_answers -= Counter((batch.key,))

    def predecessors_answered(self, dispatch: Dispatch) -> bool:
        """Return whether the answers to all earlier batches of the dispatch's key have been written."""
        return dispatch.batch.key not in self.unwritten_answers

    def withdraw(self, batch: Batch) -> None:
        """Withdraw a batch whose client no longer waits for it."""
        if not batch.ended:
            self._add_event("batch_withdrawn", batch.index)
            self._end_batch(batch, End(None))
            self.batches.remove_if_finished(batch)

    def _end_batch(self, batch: Batch, end: End) -> None:
        batch.end(end)
        if end.outcome is None or batch.source is None:  # no answer follows
            self.memory.release(batch)

    # Called for the operator.
    def use_router(
        self,
        router: "Router",
        make_attributes: Callable[..., "BatchAttributes"],
        on_batch_end: Callable[[Batch, End], None],
    ) -> None:
        """Route batches by the router's tables from now on, and call `on_batch_end` when a batch ends."""
        self.router, self.make_attributes, self.on_batch_end = router, make_attributes, on_batch_end
        router.update_engines(self.engine_registry.engine_entries)

    def reroute_unsent(self, generation: int) -> int:
        """Route a generation's batches that have not been dispatched by the present one; return how many.

        Called without a switch of greenlets after the change of tables, so that no round runs in between.
        """
        moved = [
            batch
            for batch in self.batches.by_index.values()
            if batch.destination is not None
            and batch.destination.generation == generation
            and not batch.dispatch_count
            and not batch.ended
        ]
        for batch in moved:
            batch.destination = self.router.destination(batch.attributes)
            self._add_event("batch_rerouted", batch.index, batch.destination)
        return len(moved)

    # Called for engines.
    def may_start(self, dispatch: Dispatch) -> bool:
        """Return whether a dispatch that waited for a connection may still start.

        Its engine may be draining or its batch aborted by now. Called immediately before the first byte is
        sent; what the client has sent until then is read first.
        """
        if (source := dispatch.batch.source) is not None and not dispatch.batch.ended:
            source.read_pending_input()
        if dispatch.batch.ended or dispatch.engine not in self.engine_registry.ready:
            return False
        return self.dispatcher.may_start(dispatch.batch.index, self.clock())

    def report_notice(self, dispatch: Dispatch, kind: int, level: float) -> None:
        """Pass on an engine's notice about a running dispatch."""
        self._add_event("engine_notice", dispatch.batch.index, dispatch.engine, kind, level, dispatch.number)

    def wait_for_result_memory(self, dispatch: Dispatch) -> None:
        """Wait until there is memory for the result of a dispatch whose query has ended."""
        if self.memory.waiting_results < MAX_WAITING_RESULTS:
            self._add_event("query_ended", dispatch.batch.index, dispatch.number, dispatch.engine)
        self.memory.acquire_large_result(dispatch.batch)

    def report_outcome(
        self,
        dispatch: Dispatch,
        outcome: str,
        ended_us: int,
        work_us: int = 0,
        memory_mb: float = 0,
        load_report: list[float] | None = None,
        rows: bytes = b"",
    ) -> None:
        """Record the outcome of a dispatch, exactly once for each; the first returned rows end the batch."""
        batch = dispatch.batch
        if outcome not in names.NEVER_RAN:
            self.run_history.note_run(dispatch)
        del batch.in_flight[dispatch.number]
        if outcome == names.RETURNED and not batch.ended:
            self.memory.hold_rows(batch, rows)
            self._end_batch(batch, End(names.RETURNED, rows=rows))
        cost_known = outcome == names.RETURNED and self.answers_report_cost
        self._add_event(
            "dispatch_finished",
            batch.index,
            dispatch.number,
            dispatch.engine,
            outcome,
            max(0, ended_us - dispatch.sent_us),
            batch.ended,
            work_us if cost_known else 0,
            memory_mb if cost_known else 0,
            load_report,
        )
        self.batches.remove_if_finished(batch)

    def mark_unresolved(self, dispatch: Dispatch) -> Callable[[], None]:
        """Mark a dispatch, before its outcome is reported, as possibly still running on its engine.

        Its key is blocked meanwhile. Returns the function to call once the execution has surely ended.
        """
        self._add_event("execution_unresolved", dispatch.batch.key)
        return partial(self._add_event, "execution_ended", dispatch.batch.key)

    def is_listed(self, dispatch: Dispatch) -> bool:
        """Return whether the dispatch's engine is still listed."""
        return self.engine_registry.is_listed(dispatch.endpoint)

    def report_process_ended(self, endpoint: Endpoint) -> None:
        """Report that an engine's process has ended, as far as its connections tell."""
        self._add_event("engine_process_ended", endpoint[0])

    # Called for discovery.
    def update_engines(self, form: int, entries: list[tuple]) -> None:
        """Replace the list of engines, or record that it could not be had."""
        rows = [] if form == names.LIST_UNAVAILABLE else self.engine_registry.update(entries)
        if self.router is not None and form != names.LIST_UNAVAILABLE:
            self.router.update_engines(self.engine_registry.engine_entries)
        self._add_event("engine_list", form, rows)

    # Called by the process: start, stop and rounds.
    def stop(self, left_us: int) -> None:
        """Tell the decision module that the process ends after `left_us` at the latest."""
        self._add_event("shutdown", left_us)

    def wait_for_work(self) -> None:
        """Wait for an event, until the decision module asked to be woken, or until a batch is overdue."""
        if not self.work_available.is_set():
            wake_at_us = min(self.wake_at_us, self.overdue.next_due_us())
            left_s = None if wake_at_us == inf else max(0, wake_at_us - self.clock()) / 1e6
            self.work_available.wait(left_s)
        self.work_available.clear()

    def run_round(self) -> None:
        """Run a round of the decision module on all events received since the last one."""
        now = self.clock()
        events, self.events = [self._with_time_left(now, event) for event in self.events], []
        if not self.stalls.read_delay_us():
            self.arrival_order.forget(now)
        self.round_started_us = now
        if now >= self.wake_at_us:
            self.wake_at_us = inf
            events.append(("timer_fired", 0))
        try:
            self.dispatcher.round(now, events, self)
        finally:
            self._end_overdue(now)

    def _end_overdue(self, now: int) -> None:
        for batch in self.overdue.after_round():
            self.log_line(f"batch {batch.ticket} overdue")
            self._add_event("batch_withdrawn", batch.index)
            self._end_batch(batch, End(names.ERRORED))
            self.batches.remove_if_finished(batch)
        self.overdue.collect(now)
        if self.overdue:
            self.work_available.set()

    def _with_time_left(self, now: int, event: tuple) -> tuple:
        """Update the time left in a new batch's event: it was computed when the batch was read."""
        if event[0] != "batch_received" or event[1] not in self.batches.by_index:
            return event
        return (*event[:5], max(0, self.batches.by_index[event[1]].deadline_us - now), *event[6:])

    # Called by the decision module during a round, as its writer.
    def dispatch(self, batch: int, engine: int, time_limit_us: int) -> None:
        open_batch = self.batches.by_index[batch]
        now = self.clock()
        dispatch = Dispatch(open_batch, self.engine_registry.endpoint_of[engine], now, now + time_limit_us)
        open_batch.in_flight[open_batch.dispatch_count] = dispatch
        open_batch.dispatch_count += 1
        if open_batch.source is not None:
            open_batch.source.start_dispatch(dispatch)

    def set_resources(self, batch: int, priority: int, grant_mb: float) -> None:
        open_batch = self.batches.by_index[batch]
        open_batch.priority, open_batch.grant_mb = priority, grant_mb
        for dispatch in open_batch.in_flight.values():
            if dispatch.on_priority_change is not None:
                dispatch.on_priority_change(priority)

    def cancel(self, batch: int, dispatch: int) -> None:
        open_batch = self.batches.by_index.get(batch)
        if open_batch is not None and dispatch in open_batch.in_flight:
            open_batch.in_flight[dispatch].cancel()

    def push_back(self, batch: int, retry_us: int) -> None:
        self._end(batch, End("pushed_back", retry_us))

    def error(self, batch: int) -> None:
        self._end(batch, End(names.ERRORED))

    def _end(self, batch: int, end: End) -> None:
        if (open_batch := self.batches.by_index.get(batch)) is not None:
            self._end_batch(open_batch, end)
            self.batches.remove_if_finished(open_batch)

    def schedule_wakeup(self, delay_us: int, tag: int) -> None:
        # Counted from the round's start, as the module does. Counted from now it would come later than the
        # module recorded: a round in between would find that time past and ask for another wake-up, which
        # would be lost behind the first one.
        self.wake_at_us = min(self.wake_at_us, self.round_started_us + delay_us)

    def subscribe(self, on: bool) -> None:
        (self.list_subscribed.set if on else self.list_subscribed.clear)()

    def probe(self, engine: int) -> None:
        """Do nothing: the protocol has no probes, so to the module each one seems lost."""

    def log(self, text: str) -> None:
        self.log_line(text)

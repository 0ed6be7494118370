"""Names shared by the gateway process and the decision module: outcomes, engine states, service groups, and
the protocols between the two sides."""

from typing import NamedTuple, Protocol

# Outcomes of a dispatch.
RETURNED = "returned"
ERRORED = "errored"
FULL = "full"  # the engine rejected the dispatch because it is at its own concurrency limit
TIMED_OUT = "timed_out"
UNREACHABLE = "unreachable"  # the connect timed out, which says nothing about the engine's process
CONNECT_REFUSED = "connect_refused"  # nothing listens: the engine's process may have ended, or is draining
RESET = "reset"
CANCELLED = "cancelled"
UNSENT = "unsent"
NEVER_RAN = frozenset({FULL, UNREACHABLE, CONNECT_REFUSED, UNSENT})

# Kinds of service group: whether a batch may run more than once.
REPEATABLE = "repeatable"
REFERENCED = "referenced"  # engines drop the repeat of a batch within a window of time
ONCE_ONLY = "once_only"

# States of a listed engine.
READY, DRAINING, GONE = 0, 1, 2
# Forms of an engine list.
LIST_DELTA, LIST_SNAPSHOT, LIST_CACHED, LIST_UNAVAILABLE = 0, 1, 2, 3
# Kinds of notice that an engine sends about a running dispatch.
NOTICE_PROGRESS, NOTICE_SPILLING, NOTICE_WAITING = 1, 2, 3


class ServiceGroup(NamedTuple):
    """Start-up settings of one service group; times in whole microseconds.

    The response goal of a batch is `response_goal_us` plus `goal_runtime_factor` times its expected run time.
    A repeated referenced batch is dropped by engines within `dedup_scope` ("all", or the same "zone" or
    "cell") for `dedup_window_us`. `zones` and `machines` restrict placement; None allows any.
    """

    response_goal_us: int
    goal_runtime_factor: float
    time_limit_us: int
    utility: float
    late_utility: float
    kind: str
    dedup_scope: str = "all"
    dedup_window_us: int = 0
    ordered_by_key: bool = False
    zones: frozenset[str] | None = None
    machines: frozenset[str] | None = None
    threads: int = 1
    locks_data_set: bool = False
    waits_for_data_set: bool = False


class EngineEntry(NamedTuple):
    """One engine of the engine list."""

    index: int
    identity: str
    zone: str
    machine: str
    cell: int
    state: int


class Writer(Protocol):
    """Receives the decisions of a round, in the order in which they must be carried out.

    Batches and engines are identified by the small indices that the caller assigned. A batch index may be
    reused once the batch has its final answer and each of its dispatches has its outcome.
    """

    def dispatch(self, batch: int, engine: int, time_limit_us: int) -> None: ...
    def set_resources(self, batch: int, priority: int, grant_mb: float) -> None: ...
    def cancel(self, batch: int, dispatch: int) -> None: ...
    def push_back(self, batch: int, retry_us: int) -> None: ...
    def error(self, batch: int) -> None: ...
    def probe(self, engine: int) -> None: ...
    def schedule_wakeup(self, delay_us: int, tag: int) -> None: ...
    def subscribe(self, on: bool) -> None: ...
    def log(self, text: str) -> None: ...


class Destination(Protocol):
    """Engines and limits that the routing document gives a batch; shared by all batches that are routed
    alike. Batches whose `pool` is the same object may use the same engines. `retry_after_us` is None
    if the limits admit another batch, else the time until they may; 0 if that is unknown."""

    pool: object

    def allows_engine(self, engine: int) -> bool: ...
    def retry_after_us(self, now_us: int) -> int | None: ...
    def batch_admitted(self, now_us: int, is_new: bool = True) -> None: ...
    def batch_closed(self) -> None: ...
    def allows_dispatch(self, now_us: int, is_retry: bool) -> bool: ...
    def dispatch_sent(self, now_us: int, is_retry: bool) -> None: ...
    def dispatch_done(self) -> None: ...


class Dispatcher(Protocol):
    """The decisions of one gateway. Events are (name, *fields), in the order of arrival:

    engine_list(form, entries): entries of (engine, zone, machine, cell, state, size, started_us)
    batch_received(batch, group, customer, key, left_us, work_us, memory_mb, data_set, repeat, destination):
        a work of 0 means no estimate; without a destination the batch may use all engines, without limits
    batch_rerouted(batch, destination): a batch that was never dispatched gets another destination
    batch_withdrawn(batch): the client no longer waits for it
    dispatch_finished(batch, dispatch, engine, outcome, latency_us, complete, work_us, memory_mb, report)
    engine_notice(batch, engine, kind, level, dispatch): an engine's notice about a running dispatch
    query_ended(batch, dispatch, engine): the query of a dispatch has ended; its result waits to be fetched
    engine_process_ended(engine): all connections to it were lost at once; the list may not tell of it yet
    probe_finished(engine, succeeded, latency_us, report)
    timer_fired(tag): the wake-up that the writer was asked for
    shutdown(left_us): the process ends once nothing is in flight, after `left_us` at the latest
    execution_unresolved(key), execution_ended(key): a dispatch with an outcome may still be running on its
        engine; then, that it has certainly ended
    order_ambiguous(batch): another batch of its key arrived at about the same time, and it is not known which
        of them was first
    """

    def round(self, now_us: int, events: list[tuple], writer: Writer) -> None: ...
    def may_start(self, batch: int, now_us: int) -> bool: ...
    def default_retry_after_us(self, identity: int) -> int: ...
    def key_queue_drain_us(self, group: ServiceGroup) -> int: ...

"""The names that a front and the decision module share: outcomes, list states, groups and the writer."""

from typing import NamedTuple, Protocol

RETURNED = "returned"
ERRORED = "errored"
FULL = "full"
TIMED_OUT = "timed_out"
UNREACHABLE = "unreachable"  # no connection came up in time, which tells nothing of the process
CONNECT_REFUSED = "connect_refused"  # nobody listens: its process may have gone, or drains
RESET = "reset"
CANCELLED = "cancelled"
UNSENT = "unsent"
NEVER_RAN = frozenset({FULL, UNREACHABLE, CONNECT_REFUSED, UNSENT})

REPEATABLE = "repeatable"
REFERENCED = "referenced"
ONCE_ONLY = "once_only"

READY, DRAINING, GONE = 0, 1, 2
CHANGES, WHOLE, CACHED, FAILED = 0, 1, 2, 3
PROGRESS, SPILLS, WAITS = 1, 2, 3


class ServiceGroup(NamedTuple):
    """What start-up settings say of one service group; times in whole microseconds."""

    goal_us: int
    goal_stretch: float
    limit_us: int
    utility: float
    late_utility: float
    kind: str
    repeat_scope: str = "all"
    repeat_span_us: int = 0
    in_order: bool = False
    zones: frozenset[str] | None = None
    machines: frozenset[str] | None = None
    threads: int = 1
    holds_set: bool = False
    waits_for_set: bool = False


class Seat(NamedTuple):
    """An engine as the list tells of it."""

    index: int
    identity: str
    zone: str
    machine: str
    cell: int
    state: int


class Writer(Protocol):
    """Takes decisions during a round, in the order in which they are to be carried out.

    Batches and engines go by the small indices that the front gave them. A batch index may be handed out
    again once the batch has its final answer and each of its dispatches has its outcome.
    """

    def dispatch(self, batch: int, engine: int, limit_us: int) -> None: ...
    def terms(self, batch: int, priority: int, grant_mb: float) -> None: ...
    def cancel(self, batch: int, dispatch: int) -> None: ...
    def push_back(self, batch: int, retry_us: int) -> None: ...
    def error(self, batch: int) -> None: ...
    def probe(self, engine: int) -> None: ...
    def wake(self, delay_us: int, tag: int) -> None: ...
    def subscribe(self, on: bool) -> None: ...
    def log(self, text: str) -> None: ...


class Course(Protocol):
    """What the operator's document lets one batch use; shared by all batches of the same treatment. Batches
    whose `pool` is the same object reach the same engines."""

    pool: object

    def reaches(self, engine: int) -> bool: ...
    def pause(self, now_us: int) -> int | None: ...
    def took(self, now_us: int, counts: bool = True) -> None: ...
    def left(self) -> None: ...
    def fits(self, now_us: int, further: bool) -> bool: ...
    def sent(self, now_us: int, further: bool) -> None: ...
    def back(self) -> None: ...


class Decider(Protocol):
    """One gateway's decisions. Events are (name, *fields) in the order of arrival:

    listing(form, entries): entries of (engine, zone, machine, cell, state, size, started_us)
    batch(batch, group, customer, key, left_us, work_us, memory_mb, data_set, repeat, course); work 0 = no
        estimate; course None, or left out = the whole fleet without further limits
    moved(batch, course): held so far and sent nowhere, it goes by another course from now on
    answer(batch, dispatch, engine, outcome, latency_us, complete, work_us, memory_mb, report)
    note(batch, engine, sort, level, dispatch); probed(engine, well, latency_us, report)
    withdrawn(batch); wake(tag); stop(left_us): the process ends once what is out is over,
        and in that time at the latest
    unproven(key), proven(key): a dispatch that has its outcome may still run; then that it surely does not
    unsure(batch): one of its key came about the same time, and it is not known which came first
    """

    def round(self, now_us: int, events: list[tuple], writer: Writer) -> None: ...
    def may_begin(self, batch: int, now_us: int) -> bool: ...
    def row_us(self, group: ServiceGroup) -> int: ...

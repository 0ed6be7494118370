"""Open batches and their dispatches in flight."""

from collections import Counter
from collections.abc import Callable
from itertools import count
from typing import Any, Protocol

from gevent.lock import Semaphore

from pathturn.memory.engine_registry import Endpoint


class End:
    """How a batch ended; `outcome` is None if the client no longer waits for an answer."""

    __slots__ = ("outcome", "retry_us", "rows")

    def __init__(self, outcome: str | None, retry_us: int = 0, rows: bytes = b"") -> None:
        self.outcome, self.retry_us, self.rows = outcome, retry_us, rows


class Source(Protocol):
    """The client connection that a batch came from; callers without one pass None.

    It is told what happens to its batches without a switch of greenlets, so it must not wait then.
    """

    order_identity: object
    large_results: Semaphore

    def start_dispatch(self, dispatch: "Dispatch") -> None: ...
    def batch_ended(self, batch: "Batch", end: End) -> None: ...
    def read_pending_input(self) -> None: ...


class Batch:
    """What the gateway needs to know of an open batch; the decision module keeps its own record of it."""

    __slots__ = (
        "index",
        "source",
        "ticket",
        "group",
        "nonce",
        "key",
        "statement",
        "deadline_us",
        "request_id",
        "held_bytes",
        "holds_large_result",
        "ended",
        "dispatch_count",
        "in_flight",
        "priority",
        "grant_mb",
        "attributes",
        "destination",
        "received_us",
        "response_goal_us",
        "on_end",
    )

    def __init__(
        self,
        index: int,
        source: Source | None,
        ticket: str,
        group: str,
        nonce: str | None,
        key: str | None,
        statement: bytes,
        deadline_us: int,
    ) -> None:
        self.source = source
        self.index, self.ticket, self.group, self.nonce, self.key = index, ticket, group, nonce, key
        self.statement = statement
        self.deadline_us = deadline_us
        self.request_id: Any = None  # the client's, set by the source
        self.held_bytes = 0  # as counted by the memory budget
        self.holds_large_result = False
        self.ended = False
        self.dispatch_count = 0
        self.priority = 1
        self.grant_mb = 0.0
        self.in_flight: dict[int, Dispatch] = {}
        # Set only with a routing document: what routes match, the destination, and the callback for the end.
        self.attributes = self.destination = self.on_end = None
        self.received_us = self.response_goal_us = 0

    def end(self, end: End) -> None:
        """Set the batch's final outcome; calls after the first have no effect."""
        if not self.ended:
            self.ended = True
            if self.source is not None:
                self.source.batch_ended(self, end)
            if self.on_end is not None:
                self.on_end(self, end)


class Dispatch:
    """One dispatch of a batch to an engine.

    The greenlet that runs it sets `on_cancel` and `on_priority_change` for as long as it can be cancelled or
    given another priority.
    """

    __slots__ = (
        "batch",
        "number",
        "endpoint",
        "deadline_us",
        "sent_us",
        "cancelled",
        "on_cancel",
        "on_priority_change",
    )

    def __init__(self, batch: Batch, endpoint: Endpoint, now_us: int, deadline_us: int) -> None:
        self.batch, self.number, self.endpoint = batch, batch.dispatch_count, endpoint
        self.sent_us = now_us
        self.deadline_us = deadline_us
        self.cancelled = False
        self.on_cancel: Callable[[], None] | None = None
        self.on_priority_change: Callable[[int], None] | None = None

    @property
    def engine(self) -> int:
        """Index of the engine."""
        return self.endpoint[0]

    def cancel(self) -> None:
        """Cancel the dispatch, once: a second kill would interrupt the greenlet while it forwards the first
        one to the engine."""
        on_cancel = None if self.cancelled else self.on_cancel
        self.cancelled = True
        if on_cancel is not None:
            on_cancel()


class OpenBatches:
    """All open batches, by index, by ticket and by nonce."""

    def __init__(self) -> None:
        self.indices = count()
        self.by_index = {}
        self.tickets = set()
        self.nonces: Counter[str] = Counter()

    def open(
        self,
        source: Source | None,
        ticket: str,
        group: str,
        nonce: str | None,
        key: str | None,
        statement: bytes,
        deadline_us: int,
    ) -> Batch:
        """Register a new batch under the next index."""
        batch = Batch(next(self.indices), source, ticket, group, nonce, key, statement, deadline_us)
        self.by_index[batch.index] = batch
        self.tickets.add(ticket)
        if nonce is not None:
            self.nonces[nonce] += 1
        return batch

    def remove_if_finished(self, batch: Batch) -> None:
        """Remove a batch once it has ended and each of its dispatches has its outcome."""
        if batch.ended and not batch.in_flight and self.by_index.pop(batch.index, None) is not None:
            self.tickets.discard(batch.ticket)
            if batch.nonce is not None:
                self.nonces -= Counter((batch.nonce,))

    def __len__(self) -> int:
        return len(self.by_index)

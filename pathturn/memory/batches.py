"""Open batches, and the dispatches that each has out."""

from collections.abc import Callable
from itertools import count
from typing import Protocol

from gevent.queue import SimpleQueue

from pathturn.memory.roster import Place


class End:
    """How a batch ends; `how` is None when nobody waits for the answer any more."""

    __slots__ = ("how", "retry_us", "rows")

    def __init__(self, how: str | None, retry_us: int = 0, rows: bytes = b"") -> None:
        self.how, self.retry_us, self.rows = how, retry_us, rows


class Source(Protocol):
    """Where a batch came from; None stands for a caller that leaves by `Facade.leave` alone."""

    def catch_up(self) -> None: ...


class Batch:
    """What the gateway itself needs of an open batch; what decides on it lies in the module."""

    __slots__ = (
        "index",
        "source",
        "ticket",
        "group",
        "nonce",
        "key",
        "statement",
        "until_us",
        "steps",
        "over",
        "sent",
        "out",
        "priority",
        "grant_mb",
        "told",
        "course",
        "taken_us",
        "goal_us",
        "watch",
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
        until_us: int,
    ) -> None:
        self.source = source
        self.index, self.ticket, self.group, self.nonce, self.key = index, ticket, group, nonce, key
        self.statement, self.until_us = statement, until_us
        self.steps: SimpleQueue = SimpleQueue()
        self.over, self.sent, self.priority, self.grant_mb = False, 0, 1, 0.0
        self.out: dict[int, Dispatch] = {}
        # Under an operator's document: what routes tell it by, its course, and who counts how it ends.
        self.told = self.course = self.watch = None
        self.taken_us = self.goal_us = 0

    def end(self, end: End) -> None:
        if not self.over:
            self.over = True
            self.steps.put(end)
            if self.watch is not None:
                self.watch(self, end)


class Dispatch:
    """One dispatch. Whoever carries it sets `stop`, so that it can be called back meanwhile."""

    __slots__ = ("batch", "number", "place", "until_us", "sent_us", "called_back", "stop", "rerank")

    def __init__(self, batch: Batch, place: Place, now_us: int, until_us: int) -> None:
        self.batch, self.number, self.place = batch, batch.sent, place
        self.sent_us, self.until_us, self.called_back = now_us, until_us, False
        self.stop: Callable[[], None] | None = None
        self.rerank: Callable[[int], None] | None = None

    @property
    def engine(self) -> int:
        return self.place[0]

    def call_back(self) -> None:
        """Once only: a second one would strike the greenlet while it takes the first to the engine."""
        stop = None if self.called_back else self.stop
        self.called_back = True
        if stop is not None:
            stop()


class OpenBatches:
    def __init__(self) -> None:
        self.numbers, self.by_index, self.tickets = count(), {}, set()

    def open(
        self,
        source: Source | None,
        ticket: str,
        group: str,
        nonce: str | None,
        key: str | None,
        statement: bytes,
        until_us: int,
    ) -> Batch:
        batch = Batch(next(self.numbers), source, ticket, group, nonce, key, statement, until_us)
        self.by_index[batch.index] = batch
        self.tickets.add(ticket)
        return batch

    def settle(self, batch: Batch) -> None:
        """Forgets a batch that has its end and each of whose dispatches has its outcome."""
        if batch.over and not batch.out and self.by_index.pop(batch.index, None) is not None:
            self.tickets.discard(batch.ticket)

    def __len__(self) -> int:
        return len(self.by_index)

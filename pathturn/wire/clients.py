"""Clients' connections: a greenlet reads each, and each batch has a greenlet of its own."""

from collections.abc import Callable
from typing import Any

from gevent import socket
from gevent.lock import RLock
from gevent.pool import Group

from pathturn.core import interface as names
from pathturn.memory.batches import Batch, Dispatch, End
from pathturn.memory.buffers import Buffers
from pathturn.memory.facade import Facade
from pathturn.wire import jsonrpc
from pathturn.wire.statement import data_set


class Session:
    def __init__(self, link: socket.socket, facade: Facade, send: Callable[[Dispatch], None],
                 buffers: Buffers, ready: Callable[[], bool]) -> None:
        self.link, self.facade, self.send, self.buffers, self.ready = link, facade, send, buffers, ready
        self.writing, self.open, self.answering, self.taken = RLock(), {}, Group(), 0
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def serve(self) -> str:
        """Reads until the connection ends; returns the code for why it did."""
        try:
            return self._read()
        except OSError as fault:
            return f"lost_{type(fault).__name__}"
        except jsonrpc.Unusable as fault:
            # Whatever was taken before is still owed its answer.
            self.fault(None, jsonrpc.MALFORMED)
            self.answering.join()
            return str(fault)
        finally:
            for batch in list(self.open.values()):
                self.facade.leave(batch)
            self.link.close()

    def _read(self) -> str:
        lines = jsonrpc.Lines()
        while True:
            with self.buffers.lent() as buffer:
                size = self.link.recv_into(buffer)
                if not size:
                    return "client_closed"
                for line in lines.feed(buffer[:size]):
                    jsonrpc.read(line, self)

    def _write(self, line: bytes) -> None:
        with self.writing:
            try:
                self.link.sendall(line)
            except OSError:
                # The reader sees the same end and logs it; it only has to be woken.
                self.link.close()

    # What a line may ask for; the decoder calls these.
    def knows(self, group: str) -> bool:
        return self.facade.knows(group)

    def ping(self, number: Any) -> None:
        self._write(jsonrpc.healthy(number, self.ready()))

    def fault(self, number: Any, code: int) -> None:
        self._write(jsonrpc.errored(number, code))

    def abort(self, ticket: str | None, number: Any) -> None:
        for batch in list(self.open.values()):
            if batch.ticket == ticket or (ticket is None and self.open.get(number) is batch):
                self.facade.leave(batch)

    def batch(self, number: Any, group: str, ticket: str, left_us: int, nonce: str | None, key: str | None,
              customer: str | None, work_us: int, memory_mb: float, repeat: bool, statement: bytes) -> None:
        if number in self.open:
            # An answer under this number would be taken for the first one's.
            raise jsonrpc.Unusable("id_used_twice")
        batch = self.facade.take(ticket, group, left_us, nonce, key, customer, work_us, memory_mb,
                                 data_set(statement.decode("utf-8", "replace")), repeat, statement)
        self.open[number] = batch
        self.taken += 1
        self.answering.spawn(self._see_through, number, batch)

    def _see_through(self, number: Any, batch: Batch) -> None:
        while isinstance(step := self.facade.pick(batch), Dispatch):
            self.send(step)
        self.open.pop(number, None)
        self._answer(number, step)

    def _answer(self, number: Any, end: End) -> None:
        if end.how == names.RETURNED:
            self._write(jsonrpc.returned(number, end.rows))
        elif end.how == names.ERRORED:
            self._write(jsonrpc.errored(number))
        elif end.how is not None:
            self._write(jsonrpc.pushed_back(number, end.retry_us))

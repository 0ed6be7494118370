"""Late second copies of an engine's responses, behind each kind of request that may follow on the connection.

Exchange A ends, normally or interrupted, and leaves its connection to the pool. A copy of one of its
responses arrives there while a request of exchange B waits for its own response.
"""

from dataclasses import dataclass, field

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from pathturn.memory.batches import Batch, Dispatch
from pathturn.memory.buffers import BufferPool
from pathturn.memory.connection_pool import ConnectionPool
from pathturn.process.clock import unix_clock
from pathturn.standins.engines import read_request
from pathturn.wire import engine_protocol
from pathturn.wire.engine_connection import ConnectionLostError, DispatchTimeoutError, EngineConnection
from pathturn.wire.exchange import Exchange

SECOND_US = 1_000_000
INTERRUPTED_AFTER_S = 0.02
RESPONSE_DELAY_S = 0.05  # of a response that comes after its exchange was interrupted
COPY_LEAD_S = 0.01  # of the copy before B's own response
CONTROL_DELAY_S = 0.02  # before a cancel or priority request is processed
RUNNING, PAGES = 202, 2
# The request of A whose response comes twice, as method and last part of the path, by the kind of that.
COPIED_REQUESTS = {
    "result": ("POST", ""),
    "page": ("GET", "1"),
    "running": ("POST", ""),
    "full": ("POST", ""),
    "error": ("POST", ""),
    "control": ("DELETE", ""),
}
# The request of B that meets the copy.
NEXT_REQUESTS = {
    "start": ("POST", ""),
    "poll": ("GET", "0"),
    "page": ("GET", "1"),
    "cancel": ("DELETE", ""),
    "priority": ("PUT", ""),
}


def encode(status: int, fields: str = "", body: bytes = b"") -> bytes:
    return f"HTTP/1.1 {status} said\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


def page_rows(ticket: str, page: int) -> bytes:
    return f"{ticket}\t{page}\tx\n".encode()


@dataclass
class CopyingEngine:
    """Sends a copy of one response to A before its response to one request of B on the same connection."""

    copied: str
    next_request: str
    interrupted: bool
    copy: bytes = b""
    carrier: socket.socket | None = None
    copies_sent: int = 0
    starts: list[str] = field(default_factory=list)
    processed: list[tuple[str, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()

    def serve(self, connection: socket.socket, peer) -> None:
        while True:
            method, path, fields, _ = read_request(connection)
            if not method:
                return
            ticket, number = fields.get("x-ticket", ""), ""
            if method != "POST":
                _, _, ticket, *numbers = path.split("/")
                number = "".join(numbers)
            if ticket == "a":
                self.answer_first(connection, method, number)
            else:
                self.answer_second(connection, ticket, method, number)

    def answer_first(self, connection: socket.socket, method: str, number: str) -> None:
        is_copied = (method, number) == COPIED_REQUESTS[self.copied]
        response = self.first_response(method, number)
        if is_copied:
            self.copy = response
            self.carrier = connection
            gevent.sleep(RESPONSE_DELAY_S if self.interrupted else 0)
        connection.sendall(response)

    def first_response(self, method: str, number: str) -> bytes:
        if method in ("DELETE", "PUT"):
            return encode(204)
        if method == "GET" and number == "1":
            return encode(200, "X-Page: 1\r\n", page_rows("a", 1))
        if method == "POST" and self.copied in ("running", "control"):
            return encode(RUNNING)
        if self.copied == "full":
            return encode(503, "X-Shed: 1\r\n")
        if self.copied == "error":
            return encode(500)
        pages = PAGES if self.copied == "page" else 1
        return encode(200, f"X-Pages: {pages}\r\nX-Cost-Ms: 5\r\nX-Needed-Mb: 1\r\n", page_rows("a", 0))

    def answer_second(self, connection: socket.socket, ticket: str, method: str, number: str) -> None:
        if method == "POST":
            self.starts.append(ticket)
        if (method, number) == NEXT_REQUESTS[self.next_request] and connection is self.carrier:
            self.carrier = None
            connection.sendall(self.copy)
            self.copies_sent += 1
            gevent.sleep(COPY_LEAD_S)
        if method in ("DELETE", "PUT"):
            gevent.sleep(CONTROL_DELAY_S)
            self.processed.append((method, ticket))
            connection.sendall(encode(204))
        elif method == "POST":
            connection.sendall(encode(RUNNING))
        elif number == "1":
            connection.sendall(encode(200, "X-Page: 1\r\n", page_rows(ticket, 1)))
        else:
            fields = f"X-Pages: {PAGES}\r\nX-Cost-Ms: 6\r\nX-Needed-Mb: 1\r\n"
            connection.sendall(encode(200, fields, page_rows(ticket, 0)))


class Peer:
    """The gateway's side of both exchanges."""

    def __init__(self, engine: CopyingEngine) -> None:
        self.engine = engine
        self.endpoint = (0, engine.server.address)
        self.clock = unix_clock()
        buffers = BufferPool()
        self.pool = ConnectionPool(
            10,
            15 * SECOND_US,
            SECOND_US // 4,
            self.clock,
            lambda endpoint, timeout_s: EngineConnection(endpoint, timeout_s, buffers, lambda text: None),
            lambda text: None,
        )

    def exchange(self, ticket: str) -> Exchange:
        deadline_us = self.clock() + 5 * SECOND_US
        batch = Batch(0, None, ticket, "look", None, None, b"SELECT 1", deadline_us)
        exchange = Exchange(Dispatch(batch, self.endpoint, self.clock(), deadline_us), self.pool)
        exchange.connection = self.pool.acquire(self.endpoint)
        exchange.started = True
        return exchange

    def start(self, exchange: Exchange) -> tuple[int, tuple]:
        request = engine_protocol.start_request(
            exchange.connection.host, exchange.dispatch.batch.ticket, "look", 5000, None, 0, 1, b"SELECT 1"
        )
        return exchange.start(request)

    def fetch(self, exchange: Exchange) -> bytes:
        """Return the rows of a query, started and polled to its end."""
        pages, (status, _, body) = self.start(exchange)
        while status == RUNNING:
            pages, (status, _, body) = exchange.poll()
        return exchange.fetch_rows(pages, body) if pages else b""

    def check_rows(self, ticket: str) -> None:
        exchange = self.exchange(ticket)
        assert self.fetch(exchange) == page_rows(ticket, 0) + page_rows(ticket, 1)
        exchange.release_connection()

    def end_first(self) -> None:
        """Play exchange A up to the response that is copied, and leave its connection to the pool."""
        exchange = self.exchange("a")
        try:
            with gevent.Timeout(
                INTERRUPTED_AFTER_S if self.engine.interrupted else None, DispatchTimeoutError
            ):
                if self.engine.copied == "control":
                    self.start(exchange)
                    exchange.cancel()
                else:
                    self.fetch(exchange)
        except DispatchTimeoutError:
            exchange.await_pending_response()
            exchange.cancel()
        exchange.release_connection()

    def send_priority(self) -> None:
        connection = self.pool.acquire(self.endpoint)
        try:
            connection.call_control(engine_protocol.priority_request(connection.host, "b", 2), 1.0)
        except ConnectionLostError:
            self.pool.discard(connection, "lost")
        else:
            self.pool.release(connection)

    def cancel_second(self) -> None:
        exchange = self.exchange("b")
        self.start(exchange)
        if exchange.cancel():
            assert ("DELETE", "b") in self.engine.processed, "confirmed before the engine had processed it"
        exchange.close_connection("cancelled")


CELLS = [
    (copied, next_request, interrupted)
    for copied in COPIED_REQUESTS
    for next_request in NEXT_REQUESTS
    for interrupted in (False, True)
    if not (copied == "control" and interrupted)  # a control request's time limit closes its connection
]


@pytest.mark.parametrize(("copied", "next_request", "interrupted"), CELLS)
def test_a_late_copy_is_not_taken_for_the_response_to_the_next_request(
    copied: str, next_request: str, interrupted: bool
) -> None:
    """Guards against rows, refusals and confirmations of one request that another one gets."""
    engine = CopyingEngine(copied, next_request, interrupted)
    peer = Peer(engine)
    peer.end_first()
    if next_request == "cancel":
        peer.cancel_second()
    elif next_request == "priority":
        peer.send_priority()
    else:
        peer.check_rows("b")
        assert engine.starts == ["b"]
    # A connection that brought a failure is not used again, so no copy of that can meet a request.
    assert engine.copies_sent == (copied not in ("full", "error"))
    # Whoever uses the connections afterwards gets its own rows as well.
    gevent.sleep(COPY_LEAD_S)
    for ticket in ("c", "d"):
        peer.check_rows(ticket)
    peer.pool.close()
    engine.server.stop(0)

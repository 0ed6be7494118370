"""Stand-in engines: scripted servers of the engines' protocol on loopback that record the requests they
receive."""

import struct
from collections import deque
from collections.abc import Iterable
from time import monotonic
from typing import Any, NamedTuple

import gevent
from gevent import socket
from gevent.server import StreamServer

MAX_RECORDED_REQUESTS = 100_000
FULL_PAGE_ROWS = 1000  # of 6 bytes each: the maximum size of a page
QUERY_EXPIRY_S = 2.0  # by the protocol an engine cancels a query that has not been polled for this long
RUNNING_QUERY_MS = 5000
STATUS_DELAY_S = 0.05  # before a response that a query is still running
HANG_S = 30
MIN_COST_MS = 5
LINGER_RESET = struct.pack("ii", 1, 0)  # with this SO_LINGER, close() resets the connection
RECEIVE_BYTES = 4096
# Behaviours with which a batch has its effect, or may have had it as far as a client can tell.
EXECUTING_BEHAVIOURS = frozenset({"rows", "runs", "notes", "reset", "drop", "lost", "error", "hang"})
VALID_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nX-Pages: 1\r\nX-Cost-Ms: 5\r\nX-Needed-Mb: 1\r\nContent-Length: 6\r\n\r\na\tb\t0\n"
)
# Malformed responses, in chunks; with None at the end the connection stays open.
MALFORMED_RESPONSES = {
    "noise": (bytes(range(128, 180)) + b"\r\n\r\n",),
    "cut": (VALID_RESPONSE[:-3],),
    "closed": (b"",),
    "mute": (None,),
    "short": (VALID_RESPONSE.replace(b"th: 6", b"th: 60"), None),
    "long": (VALID_RESPONSE.replace(b"th: 6", b"th: 5"), None),
    "minus": (VALID_RESPONSE.replace(b"th: 6", b"th: -1"), None),
    "page": (VALID_RESPONSE.replace(b"X-Pages", b"X-Page"), None),
    "huge": (VALID_RESPONSE.replace(b"th: 6", b"th: 3000000000"), *[bytes(60_000)] * 20, None),
    "endless": (b"HTTP/1.1 200 OK\r\nX-Pages: ", *[b"1" * 60_000] * 20, None),
    "chunks": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n", None),
    "unbounded": (b"HTTP/1.1 200 OK\r\nX-Pages: 1\r\n\r\na\tb\t", *[b"c" * 60_000] * 20, None),
    "colon": (VALID_RESPONSE.replace(b"X-Cost-Ms:", b"no colon"), None),
    "pages": (VALID_RESPONSE.replace(b"ges: 1", b"ges: nan"),),
    "columns": (VALID_RESPONSE.replace(b"\tb\t", b"\tb "), None),
    "text": (VALID_RESPONSE.replace(b"\tb\t", b"\t\xff\t"), None),
}
# Valid responses with unusual extras, in the same form.
UNUSUAL_RESPONSES = {
    "early": (b"HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Wait\r\n\r\n" + VALID_RESPONSE, None),
    "twice": (VALID_RESPONSE + VALID_RESPONSE, None),
    "behind": (VALID_RESPONSE + b"\x00\xa7 noise", None),
    "figures": (
        VALID_RESPONSE.replace(b"Ms: 5", b"Ms: 1e999").replace(
            b"Mb: 1", b"Mb: nan\r\nX-Meter: depth:inf;concurrent:-1e300"
        ),
        None,
    ),
}


class QueryStart(NamedTuple):
    """One request to start a query, as received."""

    at: float
    ticket: str
    service_class: str
    behaviour: str


class StandInEngine:
    """Speaks the engines' protocol as scripted: a behaviour for each query in turn, the last one also for all
    further queries.

    Behaviours, with N a number of pages and MS milliseconds:
        rows:N      returns N pages of one row each, big:N of the maximum size
        torn:N      as rows:N, but the first request for a later page gets a truncated response
        lost        returns the first page; requests for later ones fail
        runs:MS     runs for that long, then returns one page
        notes:MS    as runs:MS, with progress notices
        slow:MS     receives the start with that delay, then runs on
        full, over  rejects the query because of its load, with status 503 or 504
        error       fails with status 500
        reset       resets the connection after the start, and the query ends
        drop        closes the connection after the start, and the query returns a page when polled
        odd         returns an invalid number of pages
        hang        sends no response; mute also ignores cancel requests
        forgets     answers that the query runs, then resets the connection and has no record of it
        sends:KIND  sends a response of MALFORMED_RESPONSES or UNUSUAL_RESPONSES

    `queries` holds the behaviour and the start time of each query by its ticket."""

    def __init__(self, behaviours: Iterable[str], port: int = 0) -> None:
        self.behaviours = list(behaviours) or ["rows:1"]
        # By service group: the behaviour of all its queries, in place of the one that is next.
        self.group_behaviours: dict[str, str] = {}
        self.queries: dict[str, tuple[str, float]] = {}
        # The records of requests are bounded, so that long runs do not exhaust the memory of a benchmark.
        self.requests: deque[tuple] = deque(maxlen=MAX_RECORDED_REQUESTS)
        # Time and nonce of each start of a batch that has a nonce and takes effect.
        self.execution_starts: list[tuple[float, str]] = []
        self.start_times: deque[float] = deque(maxlen=MAX_RECORDED_REQUESTS)
        self.starts: deque[QueryStart] = deque(maxlen=MAX_RECORDED_REQUESTS)
        # By ticket: service group, start time and end time, from which tests check that batches of one
        # ordering key do not overlap. The end time of a running query is that of its expiry.
        self.executions: dict[str, list] = {}
        # Ticket, start time and end time of every run, also of tickets that run more than once.
        self.runs: deque[list] = deque(maxlen=MAX_RECORDED_REQUESTS)
        self.deletes_to_reset = 0
        self.delete_delay_s = 0.0  # before a cancel request takes effect
        self.connections: set[socket.socket] = set()
        self.server = StreamServer(("127.0.0.1", port), self.serve)
        self.server.start()

    def kill(self) -> None:
        """End as a killed process does: all connections are reset, and new ones refused."""
        self.server.stop(0)
        for connection in list(self.connections):
            if not connection.closed:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                connection.close()
        self.connections.clear()
        for ticket in list(self.queries):
            self.mark_ended(ticket)
        self.queries.clear()

    def serve(self, connection: socket.socket, peer: Any) -> None:
        """Serve the requests of one connection."""
        self.connections.add(connection)
        try:
            self.serve_requests(connection)
        finally:
            self.connections.discard(connection)

    def serve_requests(self, connection: socket.socket) -> None:
        """Serve requests until the connection ends."""
        while not connection.closed:
            method, path, headers, body = read_request(connection)
            if not method:
                return
            self.requests.append((method, path, headers, body))
            if method == "POST":
                ticket = headers["x-ticket"]
                behaviour = self.group_behaviours.get(headers["x-queue"]) or self.next_behaviour()
                self.starts.append(QueryStart(monotonic(), ticket, headers["x-queue"], behaviour))
                if behaviour.startswith("slow:"):  # to all others the request is still in transit
                    gevent.sleep(int(behaviour[5:]) / 1000)
                    behaviour = f"runs:{RUNNING_QUERY_MS}"
                self.executions[ticket] = [headers["x-queue"], monotonic(), monotonic() + QUERY_EXPIRY_S]
                self.start_times.append(monotonic())
                self.runs.append([ticket, monotonic(), monotonic() + QUERY_EXPIRY_S])
                if headers.get("x-nonce") and behaviour.partition(":")[0] in EXECUTING_BEHAVIOURS:
                    self.execution_starts.append((monotonic(), headers["x-nonce"]))
                self.queries[ticket] = (behaviour, monotonic())
                if behaviour in ("reset", "drop"):
                    if behaviour == "reset":
                        del self.queries[ticket]
                        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                    connection.close()
                    return
                self.send_status(connection, ticket)
            elif method == "GET":
                self.send_page(connection, *path.split("/")[2:])
            elif method == "DELETE" and self.deletes_to_reset:
                self.deletes_to_reset -= 1
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                connection.close()
            elif self.queries.get(path.split("/")[2], ("",))[0] != "mute":
                gevent.sleep(self.delete_delay_s)
                self.queries.pop(path.split("/")[2], None)
                self.mark_ended(path.split("/")[2])
                self.respond(connection, 204)

    def next_behaviour(self) -> str:
        """Return the behaviour of the next query; the last one is also that of all further queries."""
        return self.behaviours.pop(0) if len(self.behaviours) > 1 else self.behaviours[0]

    def mark_ended(self, ticket: str) -> None:
        for run in reversed(self.runs):
            if run[0] == ticket:
                run[2] = min(run[2], monotonic())
                break
        if ticket in self.executions:
            self.executions[ticket][2] = min(self.executions[ticket][2], monotonic())

    def start_requests(self) -> list[tuple]:
        """Return the recorded requests that start a query."""
        return [request for request in self.requests if request[0] == "POST"]

    def send_status(self, connection: socket.socket, ticket: str) -> None:
        """Respond to the start or a poll of a query with its state: running, its first page, or an error."""
        behaviour, started_at = self.queries.get(ticket, ("error", 0))
        kind, _, argument = behaviour.partition(":")
        if ticket in self.queries:
            self.executions[ticket][2] = monotonic() + QUERY_EXPIRY_S
        if kind == "sends":
            self.queries[ticket] = ("rows:1", started_at)
            return self.send_chunks(connection, {**MALFORMED_RESPONSES, **UNUSUAL_RESPONSES}[argument])
        if kind in ("hang", "mute"):
            gevent.sleep(HANG_S)
        elif kind == "forgets":  # as an engine that restarts while the query runs
            gevent.sleep(STATUS_DELAY_S)
            self.queries[ticket] = ("forgotten", started_at)
            return self.respond(connection, 202)
        elif kind == "forgotten":
            del self.queries[ticket]
            self.mark_ended(ticket)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            return connection.close()
        elif kind in ("runs", "notes"):
            gevent.sleep(STATUS_DELAY_S)
            if (monotonic() - started_at) * 1000 < int(argument):
                notice = [("X-Remark", "done"), ("X-Value", "0.01")] if kind == "notes" else []
                return self.respond(connection, 202, notice)
            kind = "rows"
            argument = "1"
        elif kind == "drop":
            kind = "rows"
            argument = "1"
        if kind == "odd":
            return self.respond(connection, 200, [("X-Pages", "nan")])
        if kind in ("rows", "lost", "torn", "big"):
            self.mark_ended(ticket)
            # The cost differs between queries and is the same in each response about one query.
            cost_ms = MIN_COST_MS + int(ticket[-4:], 16) / 1e5
            headers = [
                ("X-Pages", argument or 2),
                ("X-Cost-Ms", cost_ms),
                ("X-Needed-Mb", 1),
                ("X-Meter", "depth:0;concurrent:2"),
            ]
            return self.respond(
                connection, 200, headers, b"a\tb\t0\n" * (FULL_PAGE_ROWS if kind == "big" else 1)
            )
        self.mark_ended(ticket)
        status = {"full": 503, "over": 504}.get(kind, 500)
        return self.respond(connection, status, [("X-Shed", 1)] if status != 500 else [])

    def send_page(self, connection: socket.socket, ticket: str, number: str) -> None:
        """Respond to a request for a page of a query's result; page 0 polls its state."""
        if number == "0":
            return self.send_status(connection, ticket)
        behaviour = self.queries[ticket][0]
        if behaviour == "lost":
            return self.respond(connection, 500)
        if behaviour.startswith("torn:"):
            self.queries[ticket] = (f"rows:{behaviour[5:]}", 0)
            return self.send_chunks(connection, MALFORMED_RESPONSES["short"])
        rows = FULL_PAGE_ROWS if behaviour.startswith("big:") else 1
        return self.respond(connection, 200, [("X-Page", number)], f"a\tb\t{number}\n".encode() * rows)

    def send_chunks(self, connection: socket.socket, chunks: Iterable[bytes | None]) -> None:
        """Send the chunks as they are and close the connection, unless a None follows them."""
        try:
            for chunk in chunks:
                if chunk is None:
                    return
                connection.sendall(chunk)
        except OSError:
            self.send_failed = True
        connection.close()

    def respond(
        self,
        connection: socket.socket,
        status: int,
        headers: Iterable[tuple[str, Any]] = (),
        body: bytes = b"",
    ) -> None:
        """Send a response."""
        head = [
            f"HTTP/1.1 {status} said",
            *(f"{name}: {value}" for name, value in headers),
            f"Content-Length: {len(body)}",
            "",
            "",
        ]
        connection.sendall("\r\n".join(head).encode() + body)


def read_request(connection: socket.socket) -> tuple:
    """Return method, path, headers by lower-case name, and body of the next request; four times None after
    the end of the connection."""
    data = b""
    while b"\r\n\r\n" not in data:
        try:
            chunk = connection.recv(RECEIVE_BYTES)
        except OSError:
            chunk = b""
        if not chunk:
            return None, None, None, None
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    request_line, *header_lines = head.decode().split("\r\n")
    headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in header_lines)}
    while len(body) < int(headers.get("content-length", 0)):
        body += connection.recv(RECEIVE_BYTES)
    return *request_line.split()[:2], headers, body

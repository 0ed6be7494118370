"""Clients of the soak. They write requests, and note of each what became of it and when."""

import struct
from base64 import b64encode
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import count
from random import Random
from time import monotonic

import gevent
import orjson
from gevent import socket

from benchmarks.soak.plan import CLASS_WEIGHTS, IN_ORDER, KEYED, ClientKind, ClientPlan
from pathturn.standins.clients import PUSHED_BACK_CODE

MOST_OPEN = 30  # requests on a connection, under the protocol's 32
# By the protocol requests of one key are written so far apart, and so long after one on a new connection.
APART_S = 0.06
APART_ON_NEW_S = 0.25
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
BURST = (4, 16)
PIECES = (2, 6)
SLOWEST_WRITE_S = 1.0
SPREAD = 3  # rests are drawn up to so many times their mean


@dataclass(slots=True)
class SentRequest:
    """One request as its client saw it; times are by `time.monotonic`."""

    ticket: str
    service_class: str
    key: str | None
    connection: "Connection"
    patience_s: float
    written_at: float = 0.0
    left_at: float | None = None  # when its client aborted it or closed its connection
    answers: list[tuple[float, str]] = field(default_factory=list)


class Connection:
    """One connection to the gateway, read until its end."""

    def __init__(self, address: tuple[str, int], requests: list[SentRequest]) -> None:
        self.link = socket.create_connection(address)
        self.link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.opened_at = monotonic()
        self.requests = requests
        self.numbers = count(1)
        self.sent: dict[int, SentRequest] = {}
        self.ended_at: float | None = None  # when the gateway's end of it was read
        self.closed_at: float | None = None  # when its client closed it
        self.served = False
        self.keys_free_at: dict[str, float] = {}
        self.reader = gevent.spawn(self._read)

    @property
    def usable(self) -> bool:
        return self.ended_at is None and self.closed_at is None

    def open_requests(self) -> int:
        return sum(not each.answers and each.left_at is None for each in self.sent.values())

    def add(self, ticket: str, service_class: str, key: str | None, patience_s: float) -> bytes:
        """Note a request and return its line; `written` is told once it has gone out whole."""
        number = next(self.numbers)
        request = SentRequest(ticket, service_class, key, self, patience_s)
        self.sent[number] = request
        params = {
            "trace": ticket,
            "patience": round(patience_s * 1000),
            "weight": 20,
            "est_mb": 1,
            "data": b64encode(b"SELECT 1 FROM sales_3.orders").decode(),
        }
        if key is not None:
            params["entity"] = key
        if service_class in KEYED:
            params["nonce"] = ticket * 2
        return (
            orjson.dumps({"jsonrpc": "2.0", "id": number, "method": service_class, "params": params}) + b"\n"
        )

    def written(self, first: int) -> None:
        """Note that all requests from this number on have been written whole."""
        now = monotonic()
        for number, request in self.sent.items():
            if number >= first and not request.written_at:
                request.written_at = now
                self.requests.append(request)

    def abort(self, number: int) -> None:
        """Give up one request; no answer is owed after that."""
        self.sent[number].left_at = monotonic()
        with suppress(OSError):
            self.link.sendall(
                orjson.dumps({"jsonrpc": "2.0", "method": "abort", "params": {"id": number}}) + b"\n"
            )

    def close(self, reset: bool = False) -> None:
        """Leave with whatever is open."""
        if self.closed_at is not None:
            return
        self.closed_at = monotonic()
        for request in self.sent.values():
            if not request.answers and request.left_at is None:
                request.left_at = self.closed_at
        if reset:
            with suppress(OSError):
                self.link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.reader.kill()
        self.link.close()

    def _read(self) -> None:
        rest = b""
        while True:
            try:
                piece = self.link.recv(65_536)
            except OSError:
                piece = b""
            now = monotonic()
            if not piece:
                self.ended_at = now
                return
            *lines, rest = (rest + piece).split(b"\n")
            for line in lines:
                self._answered(orjson.loads(line), now)

    def _answered(self, message: dict, now: float) -> None:
        self.served = True
        if (request := self.sent.get(message["id"])) is not None:
            error = message.get("error")
            how = "served" if error is None else "rejected" if error["code"] == PUSHED_BACK_CODE else "failed"
            request.answers.append((now, how))


class Client:
    """Writes requests on connections of its own until `stop`, and opens new ones until `stop_connecting`."""

    def __init__(
        self,
        plan: ClientPlan,
        name: str,
        address: tuple[str, int],
        tickets: "count[int]",
        requests: list[SentRequest],
    ) -> None:
        self.plan, self.name, self.address = plan, name, address
        self.tickets, self.requests = tickets, requests
        self.random = Random(plan.seed)
        self.connections: list[Connection] = []
        self.connecting = True
        self.refused = Counter()
        self.keys = [f"{name}-{number}" for number in range(2)]
        self.greenlet = gevent.spawn(self._run)

    def stop_connecting(self) -> None:
        self.connecting = False

    def close(self) -> None:
        self.greenlet.kill()
        for connection in self.connections:
            connection.close()

    def _run(self) -> None:
        while True:
            gevent.sleep(
                min(self.random.expovariate(1 / self.plan.mean_rest_s), SPREAD * self.plan.mean_rest_s)
            )
            connection = self._connection()
            if connection is None:
                if not self.connecting:
                    return
                continue
            with suppress(OSError):
                self._act(connection)

    def _connection(self) -> Connection | None:
        usable = [each for each in self.connections if each.usable]
        if usable and (not self.connecting or self.random.random() < 0.85):
            return self.random.choice(usable)
        if not self.connecting or len(usable) >= 3:
            return self.random.choice(usable) if usable else None
        try:
            connection = Connection(self.address, self.requests)
        except OSError as error:
            self.refused[type(error).__name__] += 1
            return None
        self.connections.append(connection)
        return connection

    def _act(self, connection: Connection) -> None:
        kind = self.plan.kind
        if kind is ClientKind.PIPELINING:
            self._write_burst(connection, self.random.randint(*BURST))
        elif kind is ClientKind.SLOW_WRITER:
            self._write_slowly(connection)
        else:
            self._write_burst(connection, 1)
        if kind is ClientKind.LEAVING and self.random.random() < 0.4:
            self._leave(connection)

    def _write_burst(self, connection: Connection, size: int) -> None:
        first = len(connection.sent) + 1
        lines = [line for _ in range(size) if (line := self._line(connection)) is not None]
        if lines:
            connection.link.sendall(b"".join(lines))
            connection.written(first)

    def _write_slowly(self, connection: Connection) -> None:
        first = len(connection.sent) + 1
        if (line := self._line(connection)) is None:
            return
        pieces = self.random.randint(*PIECES)
        for at in range(pieces):
            connection.link.sendall(line[at * len(line) // pieces : (at + 1) * len(line) // pieces])
            if at < pieces - 1:
                gevent.sleep(self.random.uniform(0, SLOWEST_WRITE_S / pieces))
        connection.written(first)

    def _line(self, connection: Connection) -> bytes | None:
        """A request's line, or None where none may be written now."""
        if connection.open_requests() >= MOST_OPEN:
            return None
        service_class = self.random.choices(list(CLASS_WEIGHTS), weights=list(CLASS_WEIGHTS.values()))[0]
        key = None
        if service_class in IN_ORDER and (key := self._free_key(connection)) is None:
            service_class = "look"
        patience_s = self.random.uniform(2.5, 6.9) if key is not None else self.random.uniform(0.3, 1.5)
        return connection.add(f"{next(self.tickets):016x}", service_class, key, patience_s)

    def _free_key(self, connection: Connection) -> str | None:
        """A key that may be written now: each stays with one connection, so that its order is known."""
        now = monotonic()
        for key in self.keys:
            holder = next((each for each in self.connections if key in each.keys_free_at), None)
            if holder is not None and not holder.usable:
                continue  # what its connection took may still run: another gateway's matter, not told here
            if (holder or connection) is connection and connection.keys_free_at.get(key, 0.0) <= now:
                connection.keys_free_at[key] = now + (APART_S if holder else APART_ON_NEW_S)
                return key
        return None

    def _leave(self, connection: Connection) -> None:
        gevent.sleep(self.random.uniform(0.0, 0.3))
        if self.random.random() < 0.4:
            waiting = [
                number
                for number, each in connection.sent.items()
                if each.written_at and not each.answers and each.left_at is None
            ]
            if waiting and connection.usable:
                connection.abort(self.random.choice(waiting))
        else:
            connection.close(reset=self.random.random() < 0.5)


class Crowd:
    """Idle clients that fill the descriptors, and connect anew as they are ended."""

    def __init__(self, address: tuple[str, int], size: int) -> None:
        self.address, self.size = address, size
        self.links: list[socket.socket] = []
        self.connecting = True
        self.greenlet = gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            missing = self.size - len(self.links) if self.connecting else 0
            for _ in range(missing):
                try:
                    self.links.append(socket.create_connection(self.address))
                except OSError:
                    break
            gevent.sleep(0.1)
            self.links = [each for each in self.links if not self._ended(each)]

    def _ended(self, link: socket.socket) -> bool:
        with suppress(BlockingIOError):
            link.settimeout(0)
            try:
                if link.recv(1):
                    return False
            except ConnectionError:
                pass
            link.close()
            return True
        return False

    def stop_connecting(self) -> None:
        self.connecting = False

    def close(self) -> None:
        self.greenlet.kill()
        for each in self.links:
            each.close()

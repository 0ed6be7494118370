"""Stand-ins for the second review's cases: engines, their directory, clients, and gateways as processes.

Only the standard library is used. All addresses are loopback addresses. Every part writes what it sent, got
and ran to one record, with the seconds since the start of the case.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_WITHIN_S = 20
STOP_WITHIN_S = 8
POLL_ANSWER_S = 0.25  # an engine answers a poll of a running query after so long
UNASKED_LIFETIME_S = 2.0  # a query ends if it is not asked for during this time
PAGE_BYTES = 6000
PUSHED_BACK = -32066
SRV, SOA, TXT, A = 33, 6, 16, 1
# A station's link: how often it is read, and segments and a buffer as on a common network, as loopback's are
# larger.
READS_PER_S = 10
SEGMENT_BYTES = 1460
RECEIVE_BUFFER_BYTES = 4096


class Record:
    """The lines of record.txt."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.started = time.time()
        self.lines: list[str] = []

    def __call__(self, text: str) -> None:
        self.lines.append(f"{time.time() - self.started:9.4f} {text}")

    def write(self) -> None:
        self.path.write_text("\n".join(self.lines) + "\n")


def trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def caetite_settings(**changes: Any) -> dict[str, Any]:
    """Return settings of the form and with the figures of the deployment caetite-campus."""
    settings: dict[str, Any] = {
        "classes": [
            {
                "name": "lookup",
                "promiseUs": 1_200_000,
                "aimStretch": 2.0,
                "deadlineUs": 6_000_000,
                "effect": "retryable",
                "group": "all",
                "lateValue": 0.0,
                "worth": 1.0,
                "stream": False,
            },
            {
                "name": "report",
                "promiseUs": 2_000_000,
                "aimStretch": 2.5,
                "deadlineUs": 20_000_000,
                "effect": "retryable",
                "group": "all",
                "lateValue": 0.4,
                "worth": 5.0,
                "stream": False,
            },
            {
                "name": "load",
                "promiseUs": 4_000_000,
                "aimStretch": 3.0,
                "deadlineUs": 25_000_000,
                "effect": "dedup",
                "group": "all",
                "memorySpanUs": 15_000_000,
                "inTurn": True,
                "lateValue": 0.5,
                "worth": 7.5,
                "stream": False,
            },
        ],
        "clientHabits": {"marksRetry": False},
        "countedBy": "request",
        "dcs": ["hall-a", "hall-b"],
        "discovery": "push",
        "domain": {
            "coresByKind": [8, 8],
            "costInAnswers": True,
            "isLoad": [False, False, True],
            "largestShare": 0.4,
            "onShortage": "page",
            "priorities": True,
            "progressUs": 500_000,
            "ramOfKindMb": [16384.0, 16384.0],
            "takesGrants": True,
            "widthByClass": [1, 4, 2],
            "yieldsToLoads": [False, False, False],
        },
        "family": "queries",
        "kinds": ["std-8a", "std-8b"],
        "limits": {
            "cancel": True,
            "cpuUsPerS": 400_000,
            "dialTimeoutUs": 250_000,
            "idleCloseUs": 15_000_000,
            "maxAttempts": 5,
            "maxRetryAfterUs": 500_000,
            "openCap": 20_000,
            "peerMessages": False,
            "probing": False,
            "retryAfter": True,
            "secondCopies": True,
            "streamsPerConn": 100,
        },
        "ordinal": 0,
        "report": {"fields": ["depth", "concurrent"], "how": "answers"},
        "rules": {
            "coldFrom": 0.33,
            "coldUs": 14_000_000,
            "fallMultiple": 3.0,
            "fallUs": 1_000_000,
            "graceToAnswerUs": 20_000,
            "keyQuietUs": 300_000,
            "stopSendingWithinUs": 2_000_000,
        },
        "siblings": 1,
        "stepUs": 5_000,
        "tier": 0,
        "tiers": ["query-fleet"],
        "weightSource": "none",
        "zone": "hall-a",
    }
    for path, value in changes.items():
        place = settings
        *parents, name = path.split("__")
        for parent in parents:
            place = place[parent]
        place[name] = value
    return settings


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


# Engines.
class Query:
    """One query at an engine: from its start to its end."""

    def __init__(self, ticket: str, group: str, statement: str, nonce: str | None) -> None:
        self.ticket, self.group, self.statement, self.nonce = ticket, group, statement, nonce
        self.began = time.time()
        self.ended: float | None = None
        self.how = "running"
        self.asked = time.time()
        self.over = asyncio.Event()
        self.pages: list[bytes] = []
        self.cost_ms = 0.0
        self.noted = 0.0

    def end(self, how: str) -> None:
        if self.ended is None:
            self.ended = time.time()
            self.how = how
            self.over.set()


def argument(statement: str, name: str, default: float) -> float:
    """Return a figure that the client wrote into its statement's comment, as `run=200`."""
    found = re.search(rf"\b{name}=([\d.]+)", statement)
    return float(found[1]) if found else default


class Engine:
    """An engine that speaks the protocol of PROTOCOL.md. A statement tells in a comment how long it runs
    (`run=MS`) and how many rows it has (`rows=N`)."""

    def __init__(self, name: str, record: Record, zone: str = "hall-a", kind: str = "std-8a") -> None:
        self.name, self.record, self.zone, self.kind = name, record, zone, kind
        self.port = 0
        self.server: asyncio.Server | None = None
        self.queries: dict[str, Query] = {}
        self.history: list[Query] = []
        self.seen_nonces: dict[str, float] = {}
        self.dedup_window_s = 15.0
        self.repeats_dropped = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.listed_port: int | None = None  # of a proxy before it
        # Returns the bytes to send and what follows them; replaced by cases that spoil responses.
        self.transmit: Callable[..., Any] = self._transmit
        self.rows_of: Callable[[Query], list[str]] = self._rows
        self.background: set[asyncio.Task] = set()

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def kill(self) -> None:
        """End as a killed process does: connections are reset, new ones refused."""
        self.record(f"{self.name} killed")
        self.server.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        for query in self.queries.values():
            query.end("killed")
        self.queries = {}
        self.seen_nonces = {}

    def _rows(self, query: Query) -> list[str]:
        count = int(argument(query.statement, "rows", 3))
        return [f"{query.ticket}\t{number}\tvalue-{number}\n" for number in range(count)]

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in self.background:
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    def running(self) -> int:
        return sum(query.ended is None for query in self.queries.values())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                request_line, *lines = head.split("\r\n")
                method, path, _ = request_line.split(" ", 2)
                fields = {
                    name.lower(): value for name, _, value in (line.partition(": ") for line in lines if line)
                }
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                await self._handle(writer, method, path, fields, body)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(
        self, writer: asyncio.StreamWriter, method: str, path: str, fields: dict[str, str], body: bytes
    ) -> None:
        if method == "POST":
            ticket = fields["x-ticket"]
            self.record(
                f"{self.name} <- POST {ticket} {fields['x-queue']} {body.decode()!r} "
                f"max_ms={fields.get('x-max-ms')} nonce={fields.get('x-nonce')}"
            )
            self._begin(ticket, fields, body.decode())
            await self._answer_poll(writer, ticket)
            return
        _, _, ticket, *rest = path.split("/")
        if method == "GET" and rest[0] == "0":
            await self._answer_poll(writer, ticket)
        elif method == "GET":
            query = self.queries.get(ticket)
            number = int(rest[0])
            if query is None or number >= len(query.pages):
                await self.transmit(writer, "page", ticket, 500, {}, b"")
                return
            query.asked = time.time()
            await self.transmit(writer, "page", ticket, 200, {"X-Page": number}, query.pages[number])
        elif method == "DELETE":
            self.record(f"{self.name} <- DELETE {ticket}")
            query = self.queries.pop(ticket, None)
            if query is not None:
                query.end("deleted")
            await self.transmit(writer, "delete", ticket, 204, {}, b"")
        else:
            await self.transmit(writer, "priority", ticket, 204, {}, b"")

    def _begin(self, ticket: str, fields: dict[str, str], statement: str) -> None:
        query = self.queries[ticket] = Query(ticket, fields["x-queue"], statement, fields.get("x-nonce"))
        run_s = argument(statement, "run", 50) / 1000
        if query.nonce is not None:
            now = time.time()
            first = self.seen_nonces.get(query.nonce)
            if first is not None and now - first < self.dedup_window_s:
                self.repeats_dropped += 1
                query.how = "repeat"
                run_s = 0.0
            else:
                self.seen_nonces[query.nonce] = now
        if query.how != "repeat":
            self.history.append(query)
            self.record(f"{self.name} begins {ticket}")
        task = asyncio.ensure_future(self._run(query, run_s))
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def _run(self, query: Query, run_s: float) -> None:
        deadline = time.time() + run_s
        while query.ended is None:
            left = deadline - time.time()
            if left <= 0:
                query.cost_ms = round(argument(query.statement, "cost", max(1.0, run_s * 1000)), 1)
                query.pages = self._paginate(self.rows_of(query))
                self.record(f"{self.name} ends {query.ticket}")
                query.end("done")
                break
            if time.time() - query.asked > UNASKED_LIFETIME_S + POLL_ANSWER_S:
                self.record(f"{self.name} drops {query.ticket}: not asked for")
                query.end("unasked")
                self.queries.pop(query.ticket, None)
                break
            await asyncio.sleep(min(left, 0.05))

    @staticmethod
    def _paginate(rows: list[str]) -> list[bytes]:
        pages = [b""]
        for row in rows:
            data = row.encode()
            if len(pages[-1]) + len(data) > PAGE_BYTES:
                pages.append(b"")
            pages[-1] += data
        return pages

    async def _answer_poll(self, writer: asyncio.StreamWriter, ticket: str) -> None:
        query = self.queries.get(ticket)
        if query is None:
            await self.transmit(writer, "poll", ticket, 500, {}, b"")
            return
        query.asked = time.time()
        if query.ended is None:
            try:
                await asyncio.wait_for(query.over.wait(), POLL_ANSWER_S)
            except TimeoutError:
                query.asked = time.time()
                note = {}
                if time.time() - query.noted >= 0.5:
                    query.noted = time.time()
                    run_s = argument(query.statement, "run", 50) / 1000
                    note = {"X-Remark": "done", "X-Value": round((time.time() - query.began) / run_s, 3)}
                await self.transmit(writer, "poll", ticket, 202, {**note, **self.meter()}, b"")
                return
        if ticket not in self.queries or not query.pages:
            await self.transmit(writer, "poll", ticket, 500, {}, b"")
            return
        fields = {"X-Pages": len(query.pages), "X-Cost-Ms": query.cost_ms, "X-Needed-Mb": 4, **self.meter()}
        await self.transmit(writer, "poll", ticket, 200, fields, query.pages[0])

    def meter(self) -> dict[str, str]:
        return {"X-Meter": f"queue:0;inflight:{self.running()}"}

    @staticmethod
    def encode(status: int, fields: dict[str, Any], body: bytes, length: int | None = None) -> bytes:
        reason = {200: "OK", 202: "Accepted", 204: "No Content", 500: "Error", 503: "Full"}[status]
        head = [f"HTTP/1.1 {status} {reason}", *(f"{name}: {value}" for name, value in fields.items())]
        if status != 204:
            head.append(f"Content-Length: {len(body) if length is None else length}")
        return "\r\n".join([*head, "", ""]).encode() + body

    async def _transmit(
        self,
        writer: asyncio.StreamWriter,
        what: str,
        ticket: str,
        status: int,
        fields: dict[str, Any],
        body: bytes,
    ) -> None:
        writer.write(self.encode(status, fields, body))
        await writer.drain()


# The directory.
def dns_name(name: str) -> bytes:
    labels = [label.encode() for label in name.split(".") if label]
    return b"".join(bytes([len(label)]) + label for label in labels) + b"\0"


def dns_record(name: str, kind: int, data: bytes) -> bytes:
    return dns_name(name) + struct.pack("!HHIH", kind, 1, 1, len(data)) + data


class Directory(asyncio.DatagramProtocol):
    """Answers DNS queries with the whole list, as PROTOCOL.md says."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.engines: list[Engine] = []
        self.states: dict[str, str] = {}
        self.started_ms: dict[str, int] = {}
        self.serial = 1
        self.port = 0
        self.told: dict[int, float] = {}
        self.silent = False
        self.delay_s = 0.0

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.transport = transport
        self.port = transport.get_extra_info("sockname")[1]

    def add(self, engine: Engine) -> None:
        self.engines.append(engine)
        self.states[engine.name] = "in_service"

    def set_state(self, name: str, state: str, started_ms: int = 0) -> None:
        self.states[name] = state
        self.started_ms[name] = started_ms
        self.serial += 1
        self.record(f"directory: event {self.serial}, {name} is {state}")

    def address(self, engine: Engine) -> tuple[str, int]:
        return "127.0.0.1", engine.listed_port or engine.port

    def known(self) -> dict[str, Any]:
        servers = [
            {
                "id": engine.name,
                "addr": "{}:{}".format(*self.address(engine)),
                "zone": engine.zone,
                "kind": engine.kind,
                "cell": 0,
                "state": self.states[engine.name],
                "weight": 1,
                "started_ms": self.started_ms.get(engine.name, 0),
            }
            for engine in self.engines
            if self.states[engine.name] != "terminated"
        ]
        update = {"index": 1, "endpoints": {"version": self.serial, "full": True, "servers": servers}}
        return {"index": self.serial, "updates": [update]}

    def datagram_received(self, data: bytes, peer: Any) -> None:
        if self.silent:
            return
        reply, serial = self.reply(data), self.serial
        if self.delay_s:
            asyncio.get_running_loop().call_later(self.delay_s, self._send, reply, serial, peer)
        else:
            self._send(reply, serial, peer)

    def _send(self, reply: bytes, serial: int, peer: Any) -> None:
        self.told.setdefault(serial, time.time())
        self.transport.sendto(reply, peer)

    def reply(self, query: bytes) -> bytes:
        answers, extra = [], []
        for engine in self.engines:
            state = self.states[engine.name]
            if state == "terminated":
                continue
            host, port = self.address(engine)
            target = f"{engine.name}.{engine.zone}.hosts"
            priority = int(state == "terminating")
            data = struct.pack("!3H", priority, 10, port) + dns_name(target)
            answers.append(dns_record("_data._tcp.farm.lan", SRV, data))
            extra.append(dns_record(target, A, socket.inet_aton(host)))
            texts = [f"kind={engine.kind}", "cell=0", f"started={self.started_ms.get(engine.name, 0)}"]
            extra.append(
                dns_record(target, TXT, b"".join(bytes([len(text)]) + text.encode() for text in texts))
            )
        numbers = struct.pack("!5I", self.serial, 1, 1, 1, 1)
        authority = dns_record("farm.lan", SOA, dns_name("ns.farm.lan") + dns_name("op.farm.lan") + numbers)
        head = query[:2] + struct.pack("!5H", 0x8180, 1, len(answers), 1, len(extra))
        return head + query[12:] + b"".join(answers) + authority + b"".join(extra)


# Gateways.
class Gateway:
    """One gateway, started by the `run` line of the deploy file."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        directory: Directory,
        settings: dict[str, Any],
        name: str = "n0",
        sockets: int = 1024,
        memory_mb: int = 192,
    ) -> None:
        self.record, self.name, self.directory, self.settings = record, name, directory, settings
        self.folder = folder / name
        self.folder.mkdir(exist_ok=True)
        self.port = free_port()
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.process: asyncio.subprocess.Process | None = None
        self.log = self.folder / "log"

    def write_config(self, seed: str = "8c1f30d27a5be964") -> Path:
        path = self.folder / "config.json"
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": seed,
            "limits": self.limits,
            "names": f"127.0.0.1:{self.directory.port}",
            "known": self.directory.known(),
            "settings": self.settings,
        }
        staged = path.with_suffix(".new")
        staged.write_text(json.dumps(config))
        staged.replace(path)
        return path

    async def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            **os.environ,
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": f"127.0.0.1:{self.port}",
            "EDGE_CONFIG": str(self.write_config()),
            "TMPDIR": str(temporary),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        until = time.time() + READY_WITHIN_S
        while not await self._is_ready():
            if self.process.returncode is not None or time.time() > until:
                raise RuntimeError(f"{self.name} did not become ready: {self.log.read_text()[-2000:]}")
            await asyncio.sleep(0.05)
        self.record(f"{self.name} is ready")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        try:
            writer.write(b'{"jsonrpc":"2.0","id":1,"method":"ping"}\n')
            line = await asyncio.wait_for(reader.readline(), 2)
            return b'"healthy":true' in line
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.record(f"{self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def stop(self) -> None:
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), STOP_WITHIN_S)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


# Clients.
class Request:
    """A client's request and what came of it."""

    def __init__(self, number: int, group: str, trace: str, statement: str, patience_ms: int) -> None:
        self.id, self.group, self.trace, self.statement = number, group, trace, statement
        self.patience_ms = patience_ms
        self.sent = 0.0
        self.aborted = 0.0
        self.answers: list[tuple[float, dict[str, Any]]] = []
        self.answered = asyncio.Event()

    @property
    def outcome(self) -> str:
        if not self.answers:
            return "unanswered"
        message = self.answers[0][1]
        if "result" in message:
            return "returned"
        return "pushed_back" if message["error"]["code"] == PUSHED_BACK else "errored"

    @property
    def rows(self) -> str:
        return base64.b64decode(self.answers[0][1]["result"]["data"]).decode()


class Client:
    """One connection to a gateway. At most 32 requests are open on it."""

    traces = 0

    def __init__(self, name: str, record: Record, port: int) -> None:
        self.name, self.record, self.port = name, record, port
        self.requests: dict[int, Request] = {}
        self.last_id = 0
        self.closed = asyncio.Event()

    async def connect(self) -> "Client":
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.listener = asyncio.ensure_future(self._listen())
        return self

    def open_count(self) -> int:
        return sum(not request.answers and not request.aborted for request in self.requests.values())

    def line(
        self,
        group: str,
        statement: str,
        patience_ms: int,
        key: str | None = None,
        nonce: str | None = None,
        weight: float = 50.0,
    ) -> tuple[Request, bytes]:
        """Return a new request and its line, which the caller writes."""
        self.last_id += 1
        Client.traces += 1
        trace = f"{0x9B1F03AA00000000 + Client.traces:016x}"
        request = self.requests[self.last_id] = Request(self.last_id, group, trace, statement, patience_ms)
        params: dict[str, Any] = {
            "trace": trace,
            "patience": patience_ms,
            "weight": weight,
            "est_mb": 4,
            "data": base64.b64encode(statement.encode()).decode(),
        }
        if key is not None:
            params["entity"] = key
        if nonce is not None:
            params["nonce"] = nonce
        message = {"jsonrpc": "2.0", "id": request.id, "method": group, "params": params}
        return request, json.dumps(message, separators=(",", ":")).encode() + b"\n"

    def abort_line(self, request: Request) -> bytes:
        """Return the line that takes a request back."""
        message = {"jsonrpc": "2.0", "method": "abort", "params": {"id": request.id}}
        return json.dumps(message, separators=(",", ":")).encode() + b"\n"

    def write(self, *parts: tuple[Request, bytes] | tuple[None, bytes]) -> None:
        """Write lines in one piece and record them."""
        self.writer.write(b"".join(data for _, data in parts))
        now = time.time()
        for request, _ in parts:
            if request is not None:
                request.sent = now
                self.record(
                    f"{self.name} -> id={request.id} {request.group} {request.trace} "
                    f"patience={request.patience_ms} {request.statement!r}"
                )

    def send(self, group: str, statement: str, patience_ms: int, **options: Any) -> Request:
        request, data = self.line(group, statement, patience_ms, **options)
        self.write((request, data))
        return request

    def abort(self, *requests: Request) -> bytes:
        """Mark requests as taken back; return the lines that say so."""
        for request in requests:
            request.aborted = time.time()
            self.record(f"{self.name} -> abort id={request.id}")
        return b"".join(self.abort_line(request) for request in requests)

    async def _listen(self) -> None:
        try:
            while line := await self.reader.readline():
                message = json.loads(line)
                request = self.requests.get(message.get("id"))
                shown = line.decode().strip()
                self.record(f"{self.name} <- {shown if len(shown) < 300 else shown[:300] + '...'}")
                if request is not None:
                    request.answers.append((time.time(), message))
                    request.answered.set()
        except (OSError, ValueError) as error:
            self.record(f"{self.name} connection ended: {error!r}")
        self.record(f"{self.name} connection closed by the gateway")
        self.closed.set()

    def close(self) -> None:
        self.listener.cancel()
        self.writer.close()


class Station:
    """A client that reads its connection at the rate of its link."""

    def __init__(self, record: Record, gateway: Gateway, bytes_per_s: float, name: str = "station") -> None:
        """`bytes_per_s` is 0 for a link that carries everything at once."""
        self.record, self.bytes_per_s = record, bytes_per_s
        self.name = name
        self.client = Client(name, record, gateway.port)
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self.socket.connect(("127.0.0.1", gateway.port))
        self.socket.setblocking(False)
        self.received = 0
        self.partial = bytearray()
        self.ended_at: float | None = None
        self.reader = asyncio.ensure_future(self._read())

    async def close(self) -> None:
        self.reader.cancel()
        await asyncio.gather(self.reader, return_exceptions=True)
        self.socket.close()

    async def send(self, group: str, statement: str, patience_ms: int, **options: str) -> Request:
        request, line = self.client.line(group, statement, patience_ms, weight=300.0, **options)
        await asyncio.get_running_loop().sock_sendall(self.socket, line)
        request.sent = time.time()
        self.record(
            f"{self.name} -> id={request.id} {group} {request.trace} patience={patience_ms} {statement!r}"
        )
        return request

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        free_at = time.time()
        while True:
            # What a link of this rate has carried by now.
            size = 65_536
            if self.bytes_per_s:
                free_at = max(free_at, time.time() - 1 / READS_PER_S) + 1 / READS_PER_S
                await asyncio.sleep(max(0, free_at - time.time()))
                size = int(self.bytes_per_s / READS_PER_S)
            try:
                data = await loop.sock_recv(self.socket, size)
            except OSError as error:
                data = b""
                self.record(f"{self.name}: {error!r}")
            if not data:
                self.ended_at = time.time()
                self.record(
                    f"{self.name}: the gateway ended the connection, {self.received} bytes received, "
                    f"{len(self.partial)} of them of an incomplete answer"
                )
                return
            self.received += len(data)
            self.partial += data
            while (end := self.partial.find(b"\n")) >= 0:
                message = json.loads(bytes(self.partial[:end]))
                del self.partial[: end + 1]
                kind = "result" if "result" in message else f"error {message['error']['code']}"
                self.record(f"{self.name} <- id={message['id']} {kind}, {end + 1} bytes")
                self.client.requests[message["id"]].answers.append((time.time(), message))


async def settle(*requests: Request, seconds: float) -> None:
    """Wait until all of these have an answer or were taken back, or that long."""
    until = time.time() + seconds
    while time.time() < until and any(not each.answers and not each.aborted for each in requests):
        await asyncio.sleep(0.01)


class Case:
    """Record, folder and parts of one case; ends all that was started."""

    def __init__(self, folder: str) -> None:
        self.record = Record(Path(folder))
        self.folder = Path(tempfile.mkdtemp(prefix="pathturn-review-"))
        self.directory = Directory(self.record)
        self.engines: list[Engine] = []
        self.gateways: list[Gateway] = []
        self.clients: list[Client] = []

    async def engine(self, name: str, **options: Any) -> Engine:
        engine = Engine(name, self.record, **options)
        await engine.start()
        self.engines.append(engine)
        self.directory.add(engine)
        return engine

    async def gateway(self, settings: dict[str, Any], **options: Any) -> Gateway:
        if not self.directory.port:
            await self.directory.start()
        gateway = Gateway(self.record, self.folder, self.directory, settings, **options)
        self.gateways.append(gateway)
        await gateway.start()
        return gateway

    async def client(self, name: str, gateway: Gateway) -> Client:
        client = await Client(name, self.record, gateway.port).connect()
        self.clients.append(client)
        return client

    async def close(self) -> None:
        for gateway in self.gateways:
            await gateway.stop()
            for line in gateway.log.read_text(errors="replace").splitlines():
                shown = line.replace(str(ROOT), ".").replace(str(self.folder), "TEMPORARY")
                self.record(f"log of {gateway.name}: {shown}")
        for client in self.clients:
            client.close()
        for engine in self.engines:
            engine.close()
        await asyncio.sleep(0.05)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder: str, play: Callable[[Case], Any]) -> None:
    """Play a case, which returns the faults that it saw, and exit with its verdict."""
    verdict = NOT_RUN

    async def run() -> int:
        case = Case(folder)
        try:
            faults = await asyncio.wait_for(play(case), 110)
            for fault in faults:
                case.record(f"BROKEN: {fault}")
            case.record(f"trouble={int(trouble())}: " + ("broken" if faults else "held"))
            return BROKEN if faults else HELD
        except Exception as error:  # noqa: BLE001 - whatever happened, the case could not run
            case.record(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            try:
                await case.close()
            finally:
                case.record.write()

    verdict = asyncio.run(run())
    sys.exit(verdict)

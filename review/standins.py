"""Stand-ins for the cases of this review: engines, their directory, clients, and the start of a gateway.

They follow the operators' protocol page and use nothing but the standard library. All of them run in the
process of the case's script; the gateway is a process of its own, started by the `run` line of the deploy
file.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import time
import tomllib
from base64 import b64decode, b64encode
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
WIDTH = {
    "lookup": 1,
    "report": 4,
    "load": 2,
    "slot-lookup": 1,
    "office-report": 4,
}  # threads that a query runs on
UNASKED_S = 2.0  # an engine ends a query that nobody has asked for so long
NEWS_S = 0.25  # an engine answers a poll of a running query after this time
PUSHED_BACK = -32066
SERVICE = "_data._tcp.farm.lan"
LINGER_RESET = struct.pack("ii", 1, 0)


class CaseNotRunError(Exception):
    """The case could not be run, so that it says nothing about the rule."""


class Record:
    """Writes record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.began = time.monotonic()
        self(f"trouble={int(TROUBLE)}")

    def now(self) -> float:
        return time.monotonic() - self.began

    def __call__(self, text: str) -> None:
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Query:
    """One query at an engine."""

    def __init__(self, ticket: str, group: str, nonce: str | None, statement: bytes, work_s: float) -> None:
        self.ticket, self.group, self.nonce, self.statement = ticket, group, nonce, statement
        self.work_s = work_s
        self.ends_at = time.monotonic() + work_s
        self.asked_at = time.monotonic()
        self.done = False
        self.pages: list[bytes] = []


class Engine:
    """A warehouse node. `work_s` gives the run time of a query, `make_pages` its result, `on_start` and
    `on_end` are called when one begins and when its work is done, `spoil` may return the bytes to be sent in
    place of a good answer; such a connection is closed behind them. `copy_delay` may return a time in seconds
    after which a good answer comes once more on its connection."""

    def __init__(self, name: str, record: Record, kind: str = "std-8a", zone: str = "hall-a") -> None:
        self.name, self.record, self.kind, self.zone = name, record, kind, zone
        self.state = "in_service"
        self.work_s: Callable[[Query], float] = lambda query: 0.05
        self.make_pages: Callable[[Query], list[bytes]] = lambda query: [b"a\tb\tc\n"]
        self.on_start: Callable[[Engine, Query], None] = lambda engine, query: None
        self.on_end: Callable[[Engine, Query], None] = lambda engine, query: None
        self.spoil: Callable[[Query, int, bytes, bytes], bytes | None] = lambda query, page, head, body: None
        self.copy_delay: Callable[[Query], float | None] = lambda query: None
        self.queries: dict[str, Query] = {}
        self.writers: set[asyncio.StreamWriter] = set()
        self.running: set[asyncio.Task] = set()
        self.starts: list[tuple[float, str, str]] = []
        self.alive = True

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self._spawn(self._expire())

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    def die(self) -> None:
        """End as a process that is killed: no listener, all connections reset, all queries gone."""
        self.alive = False
        self.server.close()
        self.queries.clear()
        for task in list(self.running):
            task.cancel()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):  # closed already
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            writer.transport.abort()
        self.record(f"engine {self.name} died")

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            for query in list(self.queries.values()):
                if time.monotonic() - query.asked_at > UNASKED_S + NEWS_S:
                    del self.queries[query.ticket]

    async def _work(self, query: Query) -> None:
        await asyncio.sleep(max(0.0, query.ends_at - time.monotonic()))
        if self.queries.get(query.ticket) is query:
            query.pages = self.make_pages(query)
            self.on_end(self, query)
            query.done = True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while self.alive:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first_byte_at = self.record.now()
                request_line, *lines = head.split("\r\n")
                fields = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    fields[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(fields.get("content-length", 0) or 0))
                method, path, _ = request_line.split(" ")
                if not self.alive or not await self._answer(
                    method, path, fields, body, writer, first_byte_at
                ):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(
        self, method: str, path: str, fields: dict, body: bytes, writer: asyncio.StreamWriter, at: float
    ) -> bool:
        """Answer one request; return whether the connection can be used further."""
        if method == "POST":
            ticket, group, nonce = fields["x-ticket"], fields["x-queue"], fields.get("x-nonce")
            self.record(f"engine {self.name} start ticket={ticket} group={group} nonce={nonce}")
            self.starts.append((at, ticket, group))
            query = Query(ticket, group, nonce, body, 0.0)
            query.work_s = self.work_s(query)
            query.ends_at = time.monotonic() + query.work_s
            self.queries[ticket] = query
            self.on_start(self, query)
            self._spawn(self._work(query))
            return await self._news(ticket, writer)
        _, _, ticket, *rest = path.split("/")
        if method == "GET" and rest == ["0"]:
            return await self._news(ticket, writer)
        if method == "GET":
            return await self._page(ticket, int(rest[0]), writer)
        if method == "DELETE":
            self.queries.pop(ticket, None)
            self.record(f"engine {self.name} gave up ticket={ticket}")
        return await self._send(writer, "204 No Content", [])

    async def _news(self, ticket: str, writer: asyncio.StreamWriter) -> bool:
        until = time.monotonic() + NEWS_S
        while time.monotonic() < until:
            query = self.queries.get(ticket)
            if query is None:
                return await self._send(writer, "500 Error", [])
            query.asked_at = time.monotonic()
            if query.done:
                return await self._page(ticket, 0, writer)
            await asyncio.sleep(0.005)
        left_s = max(0.0, query.ends_at - time.monotonic())
        done = f"{max(0.02, 1 - left_s / max(0.1, left_s + 1)):.2f}"
        return await self._send(writer, "202 Accepted", [("X-Remark", "done"), ("X-Value", done)])

    async def _page(self, ticket: str, number: int, writer: asyncio.StreamWriter) -> bool:
        query = self.queries.get(ticket)
        if query is None or number >= len(query.pages):
            return await self._send(writer, "500 Error", [])
        query.asked_at = time.monotonic()
        if number:
            fields = [("X-Page", number)]
        else:
            cost_ms = 1000 * query.work_s * WIDTH[query.group] + int(ticket[-4:], 16) / 1e4
            fields = [("X-Pages", len(query.pages)), ("X-Cost-Ms", cost_ms), ("X-Needed-Mb", 1)]
            fields += [("X-Meter", f"depth:0;concurrent:{len(self.queries)}")]
        return await self._send(writer, "200 OK", fields, query.pages[number], query, number)

    async def _send(
        self,
        writer: asyncio.StreamWriter,
        status: str,
        fields: list,
        body: bytes = b"",
        query: Query | None = None,
        page: int = 0,
    ) -> bool:
        lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in fields)]
        head = "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode()
        spoilt = None if query is None else self.spoil(query, page, head, body)
        writer.write(head + body if spoilt is None else spoilt)
        await writer.drain()
        delay_s = None if query is None else self.copy_delay(query)
        if delay_s is not None:
            self._spawn(self._send_again(writer, head + body, delay_s, query.ticket))
        return spoilt is None

    async def _send_again(
        self, writer: asyncio.StreamWriter, answer: bytes, delay_s: float, ticket: str
    ) -> None:
        await asyncio.sleep(delay_s)
        if not writer.is_closing():
            self.record(
                f"engine {self.name} sends a second answer to ticket={ticket} {delay_s * 1000:.0f} ms late"
            )
            writer.write(answer)


class Directory:
    """Answers the DNS query for the list of engines; `delay_s` is how long an answer takes."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.engines: list[Engine] = []
        self.serial = 1
        self.delay_s = 0.0
        self.answered = 0
        # The time at which the first answer with each serial was sent.
        self.told_at: dict[int, float] = {}

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, ("127.0.0.1", 0))
        self.port = self.transport.get_extra_info("sockname")[1]

    def connection_made(self, transport: Any) -> None:
        pass

    def connection_lost(self, error: Any) -> None:
        pass

    def error_received(self, error: Exception) -> None:
        pass  # the asker has closed its socket: there is nobody left to be told

    def datagram_received(self, packet: bytes, peer: Any) -> None:
        asyncio.get_running_loop().call_later(self.delay_s, self._reply, packet, peer)

    def set_state(self, engine: Engine, state: str) -> None:
        engine.state = state
        self.serial += 1
        self.record(f"directory event={self.serial} engine={engine.name} state={state}")

    def _reply(self, packet: bytes, peer: Any) -> None:
        self.answered += 1
        if self.serial not in self.told_at:
            self.told_at[self.serial] = self.record.now()
            self.record(f"directory sends its first answer with event {self.serial}")
        self.transport.sendto(self._packet(packet), peer)

    def _packet(self, query: bytes) -> bytes:
        answers, extra = [], []
        for engine in self.engines:
            if engine.state == "terminated":
                continue
            target = f"{engine.name}.{engine.zone}.hosts"
            priority = int(engine.state == "terminating")
            rdata = struct.pack("!3H", priority, 10, engine.port) + dns_name(target)
            answers.append(dns_record(SERVICE, 33, rdata))
            extra.append(dns_record(target, 1, socket.inet_aton("127.0.0.1")))
            texts = [f"kind={engine.kind}", "cell=0", "started=0"]
            extra.append(dns_record(target, 16, b"".join(bytes([len(t)]) + t.encode() for t in texts)))
        soa = dns_name("ns.lan") + dns_name("op.lan") + struct.pack("!5I", self.serial, 1, 1, 1, 1)
        authority = [dns_record("farm.lan", 6, soa)]
        header = query[:2] + struct.pack("!5H", 0x8500, 1, len(answers), len(authority), len(extra))
        return b"".join([header, query[12:], *answers, *authority, *extra])


def dns_name(text: str) -> bytes:
    return b"".join(bytes([len(label)]) + label.encode() for label in text.split(".")) + b"\0"


def dns_record(name: str, kind: int, rdata: bytes) -> bytes:
    return dns_name(name) + struct.pack("!HHIH", kind, 1, 0, len(rdata)) + rdata


class Answer:
    """What a client got for a request: `kind` is served, refused, failed or none."""

    def __init__(self, kind: str, rows: bytes = b"", pause_ms: int = 0) -> None:
        self.kind, self.rows, self.pause_ms = kind, rows, pause_ms


class Client:
    """One client connection."""

    def __init__(self, record: Record, name: str, seed: int) -> None:
        self.record, self.name = record, name
        self.random = random.Random(seed)
        self.last_id = 0
        self.waiting: dict[int, asyncio.Future] = {}

    async def connect(self, port: int) -> None:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
        self.task = asyncio.ensure_future(self._read())

    async def _read(self) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while line := await self.reader.readline():
                message = json.loads(line)
                future = self.waiting.pop(message.get("id"), None)
                if future is not None and not future.done():
                    future.set_result(message)
        for future in self.waiting.values():
            if not future.done():
                future.set_result({})

    async def call(self, method: str, params: dict) -> asyncio.Future:
        self.last_id += 1
        future = self.waiting[self.last_id] = asyncio.get_running_loop().create_future()
        message = {"jsonrpc": "2.0", "id": self.last_id, "method": method, "params": params}
        self.writer.write(json.dumps(message).encode() + b"\n")
        await self.writer.drain()
        return future

    async def ask(
        self,
        group: str,
        statement: str,
        patience_ms: int,
        weight_ms: float = 50,
        nonce: str | None = None,
        entity: str | None = None,
        grace_s: float = 1.0,
        give_up_s: float | None = None,
    ) -> Answer:
        """Send a request and wait for its answer, for the patience and `grace_s` more; with `give_up_s`, send
        an abort after that time, if there is no answer by then."""
        trace = f"{self.random.getrandbits(64):016x}"
        params: dict[str, Any] = {"trace": trace, "patience": patience_ms, "weight": weight_ms, "est_mb": 1}
        params["data"] = b64encode(statement.encode()).decode()
        params |= {"nonce": nonce} if nonce else {}
        params |= {"entity": entity} if entity else {}
        self.record(f"client {self.name} sends ticket={trace} group={group} nonce={nonce} key={entity}")
        future = await self.call(group, params)
        request_id = self.last_id
        try:
            message = await asyncio.wait_for(
                future, patience_ms / 1000 + grace_s if give_up_s is None else give_up_s
            )
        except TimeoutError:
            message = {}
            if give_up_s is not None:
                self.waiting.pop(request_id, None)
                abort = {"jsonrpc": "2.0", "method": "abort", "params": {"id": request_id}}
                self.writer.write(json.dumps(abort).encode() + b"\n")
                self.record(f"client {self.name} gives up ticket={trace}")
                return Answer("given up")
        if "result" in message:
            answer = Answer("served", b64decode(message["result"]["data"]))
        elif "error" in message:
            error = message["error"]
            kind = "refused" if error["code"] == PUSHED_BACK else "failed"
            answer = Answer(kind, pause_ms=(error.get("data") or {}).get("pause", 0))
        else:
            answer = Answer("none")
        self.record(f"client {self.name} got ticket={trace} {answer.kind} bytes={len(answer.rows)}")
        return answer

    def close(self) -> None:
        self.task.cancel()
        self.writer.close()


class Gateway:
    """One gateway, started by the `run` line of the deploy file."""

    def __init__(self, folder: Path, name: str, settings: dict, directory: Directory) -> None:
        self.folder, self.name, self.settings, self.directory = folder, name, settings, directory
        self.port = free_port()

    def start(self) -> None:
        servers = [
            {
                "id": engine.name,
                "addr": f"127.0.0.1:{engine.port}",
                "zone": engine.zone,
                "kind": engine.kind,
                "cell": 0,
                "state": engine.state,
                "weight": 1,
                "started_ms": 0,
            }
            for engine in self.directory.engines
        ]
        endpoints = {"version": 1, "full": True, "servers": servers}
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "names": f"127.0.0.1:{self.directory.port}",
            "known": {"index": 1, "updates": [{"index": 1, "endpoints": endpoints}]},
            "settings": self.settings,
        }
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(config))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = os.environ | {
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": config["listen"],
            "EDGE_CONFIG": str(path),
            "TMPDIR": str(self.folder),
        }
        with (self.folder / f"{self.name}.log").open("w") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_ready(self, record: Record) -> None:
        until = time.monotonic() + 30
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CaseNotRunError(f"the gateway ended with {self.process.returncode} before it was ready")
            client = Client(record, "front", 1)
            with contextlib.suppress(OSError):
                await client.connect(self.port)
                message = await asyncio.wait_for(await client.call("ping", {}), 2)
                client.close()
                if (message.get("result") or {}).get("healthy"):
                    record(f"gateway {self.name} is ready")
                    return
            await asyncio.sleep(0.05)
        raise CaseNotRunError("the gateway was not ready within 30 s")

    def stop(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def log_text(self) -> str:
        return (self.folder / f"{self.name}.log").read_text()


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def service_group(name: str, effect: str, goal_ms: int, limit_ms: int, **further: Any) -> dict:
    return {
        "name": name,
        "effect": effect,
        "group": "all",
        "promiseUs": goal_ms * 1000,
        "deadlineUs": limit_ms * 1000,
        "aimStretch": 2.5,
        "lateValue": 0.5,
        "stream": False,
        "worth": 1.0,
        "memorySpanUs": 15_000_000,
        **further,
    }


def caetite_settings() -> dict:
    """Return the settings of caetite-campus, as the simulator's page shows them."""
    return {
        "classes": [
            service_group("lookup", "retryable", 1200, 6000),
            service_group("report", "retryable", 2000, 20000, worth=5.0),
            service_group("load", "dedup", 4000, 25000, worth=7.5, inTurn=True),
        ],
        "clientHabits": {"marksRetry": False},
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
            "dialTimeoutUs": 250_000,
            "idleCloseUs": 15_000_000,
            "maxAttempts": 5,
            "maxRetryAfterUs": 500_000,
            "openCap": 20_000,
            "probing": False,
            "retryAfter": True,
            "secondCopies": True,
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
        "siblings": 2,
        "stepUs": 5000,
        "zone": "hall-a",
    }


def appt_settings() -> dict:
    """Return settings like those of appt-warehouse: two classes that may run again, no second copies."""
    settings = caetite_settings()
    settings["classes"] = [
        service_group("slot-lookup", "retryable", 1000, 5000, aimStretch=2.0, lateValue=0.0),
        service_group("office-report", "retryable", 1500, 15000, worth=4.0, lateValue=0.4),
    ]
    settings |= {"dcs": ["hobart-dc"], "zone": "hobart-dc", "kinds": ["c16", "c12"]}
    settings["domain"] |= {
        "coresByKind": [16, 12],
        "isLoad": [False, False],
        "widthByClass": [1, 4],
        "yieldsToLoads": [False, False],
        "costInAnswers": False,
    }
    settings["limits"] |= {"secondCopies": False, "retryAfter": False}
    settings["rules"] |= {"stopSendingWithinUs": 250_000}
    return settings


def play(case: Callable[[Record, Path], Any], folder: Path, limit_s: float = 110) -> None:
    """Run a case and exit with its verdict. `case` returns it; `sys.argv[1]` is a temporary folder."""
    record = Record(folder)

    async def limited() -> int:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: None)  # connections that are cut off as the case ends
        loop.add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )  # the gateway is ended then too
        return await asyncio.wait_for(case(record, Path(sys.argv[1])), limit_s)

    try:
        verdict = asyncio.run(limited())
    except (CaseNotRunError, OSError, TimeoutError, asyncio.CancelledError) as error:
        record(f"not run: {type(error).__name__}: {error}")
        verdict = NOT_RUN
    record(f"verdict={verdict} (0 held, 1 broken, 2 not run)")
    print(f"{folder.name}: trouble={int(TROUBLE)} verdict={verdict}; see record.txt")
    sys.exit(verdict)

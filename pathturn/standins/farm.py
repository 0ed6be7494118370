"""A stand-in farm: engines, their directory by DNS, and the configuration of a gateway that serves before
them."""

from pathlib import Path
from typing import Any

import orjson
from dnslib import QTYPE, RR, SOA, SRV, TXT, A, DNSRecord
from gevent import socket
from gevent.server import DatagramServer, StreamServer

from pathturn.config.installation import Installation, installation
from pathturn.standins.engines import StandInEngine
from pathturn.standins.strait import Strait
from pathturn.wire import discovery_protocol

SECOND, ZONE = 1_000_000, "z"
# (effect, time limit in ms, more settings): what the wire calls repeatable, once-only and referenced batches.
GROUPS = {
    "look": ("retryable", 1500, {}),
    "pay": ("fragile", 1500, {}),
    "load": ("dedup", 7000, {"group": "all", "memorySpanUs": 10 * SECOND, "inTurn": True}),
    "book": ("fragile", 7000, {"inTurn": True}),
    "sum": ("retryable", 7000, {"inTurn": True}),
}


def at(server: StreamServer | DatagramServer) -> str:
    host, port = server.address
    return f"{host}:{port}"


def spare_address() -> tuple[str, int]:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()


def settings() -> dict[str, Any]:
    return {
        "classes": [
            {
                "name": name,
                "promiseUs": 400_000,
                "deadlineUs": limit * 1000,
                "effect": effect,
                "worth": 1.0,
                "lateValue": 1.0,
                **more,
            }
            for name, (effect, limit, more) in GROUPS.items()
        ],
        "limits": {
            "maxAttempts": 4,
            "cancel": True,
            "dialTimeoutUs": 150_000,
            "idleCloseUs": 15 * SECOND,
            "secondCopies": True,
            "retryAfter": True,
            "maxRetryAfterUs": 500_000,
        },
        "rules": {"keyQuietUs": 300_000},
        "report": {"how": "answers", "fields": ["depth", "concurrent"]},
        "domain": {"widthByClass": [1] * len(GROUPS), "coresByKind": [8], "costInAnswers": True},
        "kinds": ["m"],
        "discovery": "push",
        "stepUs": 1000,
        "siblings": 1,
    }


def installed(folder: Path, document: dict[str, Any], log: str = "plain") -> Installation:
    """An operator's file with its document in that folder, read as a gateway reads it."""
    (folder / "document.json").write_bytes(orjson.dumps(document))
    told = {
        "version": 1,
        "document": "document.json",
        "ledger": "changes.db",
        "control": "control",
        "log": log,
    }
    (folder / "operator.json").write_bytes(orjson.dumps(told))
    return installation(folder / "operator.json")


class Farm:
    """Engines come in by `engine`, change by `change`; `configuration` starts the directory."""

    def __init__(self) -> None:
        self.engines: dict[str, StandInEngine] = {}
        self.states: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        self.started_ms: dict[str, int] = {}  # the Unix time of a late start
        self.straits: dict[str, Strait] = {}
        self.serial, self.silent, self.limit, self.settings = 1, False, 200, settings()
        self.names: DatagramServer | None = None

    def engine(self, name: str, *words: str, zone: str = ZONE) -> None:
        self.engines[name], self.states[name] = StandInEngine(words), "in_service"
        self.zones[name] = zone

    def strait(self, name: str) -> None:
        """From now on that engine is reached through a network that can be cut."""
        self.straits[name] = Strait(self.engines[name].server.address)

    def place(self, name: str) -> StreamServer:
        return (self.straits.get(name) or self.engines[name]).server

    def change(self, name: str, state: str) -> None:
        self.states[name], self.serial = state, self.serial + 1

    def configuration(self, listen: str) -> dict[str, Any]:
        servers = [
            {
                "id": name,
                "addr": at(self.place(name)),
                "zone": self.zones.get(name, ZONE),
                "kind": "m",
                "cell": 0,
                "state": self.states[name],
                "weight": 1,
                "started_ms": self.started_ms.get(name, 0),
            }
            for name in self.engines
        ]
        self.names = DatagramServer(("127.0.0.1", 0), self.directory)
        self.names.start()
        return {
            "name": "n0",
            "listen": listen,
            "seed": "0f",
            "settings": self.settings,
            "limits": {"sockets": self.limit, "memory_mb": 192, "cores": 1.0},
            "names": at(self.names),
            "known": {"index": 1, "updates": [{"endpoints": {"full": True, "servers": servers}}]},
        }

    def directory(self, packet: bytes, peer: tuple[str, int]) -> None:
        if self.silent:
            return
        reply = DNSRecord.parse(packet).reply()
        for name in self.engines:
            if self.states[name] != "gone":
                host, port = self.place(name).address
                target = f"{name}.{self.zones.get(name, ZONE)}.hosts"
                draining = int(self.states[name] == "draining")
                reply.add_answer(
                    RR(discovery_protocol.SERVICE_NAME, QTYPE.SRV, rdata=SRV(draining, 10, port, target))
                )
                reply.add_ar(RR(target, QTYPE.A, rdata=A(host)))
                told = ["kind=m", "cell=0", f"started={self.started_ms.get(name, 0)}"]
                reply.add_ar(RR(target, QTYPE.TXT, rdata=TXT(told)))
        reply.add_auth(RR("farm.lan", QTYPE.SOA, rdata=SOA("ns.lan", "op.lan", (self.serial, 1, 1, 1, 1))))
        self.names.sendto(reply.pack(), peer)

    def stop(self) -> None:
        servers = [each.server for each in (*self.straits.values(), *self.engines.values())]
        for each in [*servers, self.names]:
            if each is not None:
                each.stop(0)

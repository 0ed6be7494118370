"""A stand-in fleet: engines, their directory by DNS, and the configuration of a gateway before them."""

import secrets
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson
from dnslib import QTYPE, RR, SOA, SRV, TXT, A, DNSRecord
from gevent import socket
from gevent.server import DatagramServer, StreamServer

from pathturn.config.installation import Installation, read_installation
from pathturn.standins.engines import StandInEngine
from pathturn.standins.network_proxy import NetworkProxy
from pathturn.wire import discovery_protocol

SECOND_US = 1_000_000
DEFAULT_ZONE = "z"
PORTS = range(10_000, 32_768)  # below the system's range for ports that it chooses
# By service group: effect, time limit in ms, further settings. The effects "retryable", "fragile" and "dedup"
# stand for repeatable, once-only and referenced batches.
GROUPS = {
    "look": ("retryable", 1500, {}),
    "pay": ("fragile", 1500, {}),
    "load": ("dedup", 7000, {"group": "all", "memorySpanUs": 10 * SECOND_US, "inTurn": True}),
    "book": ("fragile", 7000, {"inTurn": True}),
    "sum": ("retryable", 7000, {"inTurn": True}),
}


def host_port(server: StreamServer | DatagramServer) -> str:
    """Return the address of a server as host:port."""
    host, port = server.address
    return f"{host}:{port}"


def free_address() -> tuple[str, int]:
    """Return a loopback address whose port is free.

    Nothing reserves it, so it is outside the range from which the system takes ports by itself: until the
    caller listens there, another process's connection or listener could get it.
    """
    while True:
        address = ("127.0.0.1", PORTS[0] + secrets.randbelow(len(PORTS)))
        with socket.socket() as listener, suppress(OSError):
            listener.bind(address)
            return address


def settings() -> dict[str, Any]:
    """Return the settings of a gateway before this fleet, with the service groups of GROUPS."""
    return {
        "classes": [
            {
                "name": name,
                "promiseUs": 400_000,
                "deadlineUs": time_limit_ms * 1000,
                "effect": effect,
                "worth": 1.0,
                "lateValue": 1.0,
                **further_settings,
            }
            for name, (effect, time_limit_ms, further_settings) in GROUPS.items()
        ],
        "limits": {
            "maxAttempts": 4,
            "cancel": True,
            "dialTimeoutUs": 150_000,
            "idleCloseUs": 15 * SECOND_US,
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


def write_installation(folder: Path, document: dict[str, Any], log: str = "plain") -> Installation:
    """Write an operator's file and its routing document into a folder; return what a gateway reads."""
    (folder / "document.json").write_bytes(orjson.dumps(document))
    operator_file = {
        "version": 1,
        "document": "document.json",
        "ledger": "changes.db",
        "control": "control",
        "log": log,
    }
    (folder / "operator.json").write_bytes(orjson.dumps(operator_file))
    return read_installation(folder / "operator.json")


class Fleet:
    """Stand-in engines and their directory. `configuration` starts the directory."""

    def __init__(self) -> None:
        self.engines: dict[str, StandInEngine] = {}
        self.unlisted: dict[str, StandInEngine] = {}  # started, but not told by the directory
        self.states: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        self.started_ms: dict[str, int] = {}  # Unix time of the start of engines that warm up
        self.proxies: dict[str, NetworkProxy] = {}
        self.serial = 1
        self.directory_drops_queries = False  # whether the directory drops all queries
        self.socket_limit = 200  # of the gateway's sockets
        self.settings = settings()
        self.directory_server: DatagramServer | None = None

    def engine(self, name: str, *words: str, zone: str = DEFAULT_ZONE) -> None:
        """Start an engine with these behaviours and list it as in service."""
        self.engines[name] = StandInEngine(words)
        self.states[name] = "in_service"
        self.zones[name] = zone

    def replace(self, name: str, new_name: str, *words: str, zone: str = DEFAULT_ZONE) -> None:
        """Kill an engine's process and start another one at its address. The directory tells of it only once
        `tell_replaced` is called."""
        port = self.engines[name].server.address[1]
        self.engines[name].kill()
        self.unlisted[new_name] = StandInEngine(words, port)
        self.zones[new_name] = zone

    def tell_replaced(self, name: str, new_name: str) -> None:
        """Have the directory tell that an engine is gone, and of the one at its address."""
        self.engines[new_name] = self.unlisted.pop(new_name)
        self.states[new_name] = "in_service"
        self.set_state(name, "gone")

    def proxy(self, name: str) -> None:
        """Put a proxy before an engine that can simulate a network partition."""
        self.proxies[name] = NetworkProxy(self.engines[name].server.address)

    def listener(self, name: str) -> StreamServer:
        """Return the server at which the directory lists an engine: its proxy or itself."""
        return (self.proxies.get(name) or self.engines[name]).server

    def set_state(self, name: str, state: str) -> None:
        """Change an engine's state in the directory and increment the list's serial number."""
        self.states[name] = state
        self.serial += 1

    def configuration(self, listen: str) -> dict[str, Any]:
        """Start the directory and return the configuration of a gateway that listens at `listen`."""
        servers = [
            {
                "id": name,
                "addr": host_port(self.listener(name)),
                "zone": self.zones.get(name, DEFAULT_ZONE),
                "kind": "m",
                "cell": 0,
                "state": self.states[name],
                "weight": 1,
                "started_ms": self.started_ms.get(name, 0),
            }
            for name in self.engines
        ]
        self.directory_server = DatagramServer(("127.0.0.1", 0), self.answer_directory_query)
        self.directory_server.start()
        return {
            "name": "n0",
            "listen": listen,
            "seed": "0f",
            "settings": self.settings,
            "limits": {"sockets": self.socket_limit, "memory_mb": 192, "cores": 1.0},
            "names": host_port(self.directory_server),
            "known": {"index": 1, "updates": [{"endpoints": {"full": True, "servers": servers}}]},
        }

    def answer_directory_query(self, packet: bytes, peer: tuple[str, int]) -> None:
        """Answer a DNS query with the engines that have not been removed."""
        if self.directory_drops_queries:
            return
        reply = DNSRecord.parse(packet).reply()
        for name in self.engines:
            if self.states[name] != "gone":
                host, port = self.listener(name).address
                target = f"{name}.{self.zones.get(name, DEFAULT_ZONE)}.hosts"
                draining = int(self.states[name] == "draining")
                reply.add_answer(
                    RR(discovery_protocol.SERVICE_NAME, QTYPE.SRV, rdata=SRV(draining, 10, port, target))
                )
                reply.add_ar(RR(target, QTYPE.A, rdata=A(host)))
                attributes = ["kind=m", "cell=0", f"started={self.started_ms.get(name, 0)}"]
                reply.add_ar(RR(target, QTYPE.TXT, rdata=TXT(attributes)))
        reply.add_auth(RR("farm.lan", QTYPE.SOA, rdata=SOA("ns.lan", "op.lan", (self.serial, 1, 1, 1, 1))))
        self.directory_server.sendto(reply.pack(), peer)

    def stop(self) -> None:
        parts = (*self.proxies.values(), *self.engines.values(), *self.unlisted.values())
        servers = [each.server for each in parts]
        for server in [*servers, self.directory_server]:
            if server is not None:
                server.stop(0)

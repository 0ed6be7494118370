"""One gateway among many before many engines: what it costs to start, to idle and to follow the list, and
what becomes of batches when engines are cut off. Each figure stands beside a plain way of the same run."""

import os
import struct
import subprocess
import sys
from collections.abc import Callable
from contextlib import contextmanager
from pathlib import Path
from statistics import median
from tempfile import TemporaryDirectory
from time import monotonic, perf_counter, process_time
from typing import Any

import gevent
import orjson
from dnslib import DNSRecord
from gevent.server import DatagramServer

from benchmarks.change import wire, wired
from benchmarks.readiness import wait_until_healthy
from pathturn.standins.fleet import free_address, host_port, settings
from pathturn.wire import discovery_protocol

MOST, FEW, ROOT = 1024, 36, Path(__file__).parent.parent
# All that a datagram can name in this form; the list of the start names the rest.
LISTED = 600
CHURN, IDLE_S = 20_000, 4
READY_S = 30.0
ENTRY = struct.Struct("!HHIH")


def packed(name: str) -> bytes:
    return b"".join(bytes([len(part)]) + part.encode() for part in name.split(".")) + b"\0"


def answer(number: bytes, serial: int, engines: range) -> bytes:
    """The whole list, with the names that repeat written once; as tight as RFC 1035 allows."""
    body = bytearray(number + struct.pack("!5H", 0x8400, 1, len(engines), 1, 2 * len(engines)))
    body += discovery_protocol.QUESTION
    zone, targets = 0, []
    for each in engines:
        label = f"e{each:07x}".encode()
        tail = struct.pack("!H", 0xC000 | zone) if zone else packed("z.hosts")
        target = bytes([len(label)]) + label + tail
        body += (
            b"\xc0\x0c"
            + ENTRY.pack(discovery_protocol.SRV, 1, 5, 6 + len(target))
            + struct.pack("!3H", 0, 10, 9)
        )
        targets.append(len(body))
        zone = zone or len(body) + 1 + len(label)
        body += target
    soa = struct.pack("!2H", 0xC00C, 0xC00C) + struct.pack("!5I", serial, 1, 1, 1, 1)
    body += b"\xc0\x0c" + ENTRY.pack(discovery_protocol.SOA, 1, 5, len(soa)) + soa
    told = b"\x06kind=m\x06cell=0\x09started=0"
    for each, place in zip(engines, targets):
        # Beyond 16 KiB a name can't be pointed at.
        name = struct.pack("!H", 0xC000 | place) if place < 0x4000 else packed(f"e{each:07x}.z.hosts")
        body += (
            name + ENTRY.pack(discovery_protocol.A, 1, 5, 4) + bytes([127, 1, each >> 8 & 255, each & 255])
        )
        body += name + ENTRY.pack(discovery_protocol.TXT, 1, 5, len(told)) + told
    return bytes(body)


class Directory:
    """Names a window of engines that moves on by `step` with each question, until it has come to the end."""

    def __init__(self) -> None:
        self.size, self.first, self.step, self.serial = FEW, 0, 0, 1
        self.server = DatagramServer(("127.0.0.1", 0), self._answer)
        self.server.start()

    def _answer(self, packet: bytes, peer: tuple[str, int]) -> None:
        if self.step and self.first < CHURN:
            self.first, self.serial = self.first + self.step, self.serial + 1
        self.server.sendto(answer(packet[:2], self.serial, range(self.first, self.first + self.size)), peer)


def configuration(engines: int, names: str, listen: tuple[str, int]) -> dict[str, Any]:
    servers = [
        {
            "id": f"e{each:07x}",
            "addr": f"127.1.{each >> 8}.{each & 255}:9",
            "zone": "z",
            "kind": "m",
            "cell": 0,
            "state": "in_service",
            "weight": 1,
            "started_ms": 0,
        }
        for each in range(engines)
    ]
    return {
        "name": "n0",
        "listen": "{}:{}".format(*listen),
        "seed": "0f",
        "settings": settings(),
        "limits": {"sockets": 256, "memory_mb": 32, "cores": 1.0},
        "names": names,
        "known": {"index": 1, "updates": [{"endpoints": {"full": True, "servers": servers}}]},
    }


class Running:
    """A gateway's process as the platform starts it; `ready_ms` is the time until `ping` is healthy."""

    def __init__(self, folder: Path, engines: int, names: str) -> None:
        listen, config = free_address(), folder / "config.json"
        config.write_bytes(orjson.dumps(configuration(engines, names, listen)))
        began = perf_counter()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "pathturn", "serve"],
            cwd=ROOT,
            env=os.environ | {"EDGE_CONFIG": str(config)},
            stderr=subprocess.DEVNULL,
        )
        if not wait_until_healthy(listen, READY_S, lambda: self.process.poll() is None):
            raise RuntimeError(f"the gateway was not ready within {READY_S:.0f} s")
        self.ready_ms = (perf_counter() - began) * 1000

    def _told(self, file: str) -> str:
        return Path(f"/proc/{self.process.pid}/{file}").read_text()

    def rss_mb(self) -> float:
        return int(self._told("statm").split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20

    def cpu_ms(self) -> float:
        fields = self._told("stat").rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) * 1000 / os.sysconf("SC_CLK_TCK")

    def wakeups(self) -> int:
        told = dict(line.split(":", 1) for line in self._told("status").splitlines())
        return int(told["voluntary_ctxt_switches"])

    def idle(self) -> dict[str, float]:
        cpu, woken, began = self.cpu_ms(), self.wakeups(), monotonic()
        gevent.sleep(IDLE_S)
        took = monotonic() - began
        return {
            "cpu_ms_per_s": round((self.cpu_ms() - cpu) / took, 1),
            "wakeups_per_s": round((self.wakeups() - woken) / took, 1),
        }

    def stop(self) -> None:
        self.process.kill()
        self.process.wait()


@contextmanager
def gateway(engines: int, told: Directory):
    with TemporaryDirectory() as folder:
        running = Running(Path(folder), engines, host_port(told.server))
        try:
            yield running
        finally:
            running.stop()


def starts(times: int) -> dict[str, Any]:
    """With 1,024 engines in the list of the start, and with none; idle with 36 and with 600 on the list."""
    figures: dict[str, Any] = {}
    for name, engines, listed in (("1024", MOST, LISTED), ("none", 0, FEW)):
        told, ready = Directory(), []
        told.size = listed
        for turn in range(times):
            with gateway(engines, told) as running:
                ready.append(running.ready_ms)
                if turn == times - 1:
                    gevent.sleep(1.0)
                    figures[f"rss_mb_{name}"] = round(running.rss_mb(), 1)
                    figures |= {f"idle_{key}_{listed}_listed": value for key, value in running.idle().items()}
        figures[f"start_ms_{name}"] = round(median(ready))
        told.server.stop(0)
    return figures | {
        "idle_cpu_ms_per_s": figures[f"idle_cpu_ms_per_s_{FEW}_listed"],
        "idle_wakeups_per_s": figures[f"idle_wakeups_per_s_{FEW}_listed"],
    }


def churn() -> dict[str, Any]:
    """20,000 engines come and go; memory once such lists have been heard, and at the end."""
    told = Directory()
    told.size = LISTED
    with gateway(FEW, told) as running:
        told.step = LISTED
        while told.first < 5 * LISTED:
            gevent.sleep(0.1)
        before = running.rss_mb()
        while told.first < CHURN:
            gevent.sleep(0.1)
        gevent.sleep(1.0)
        after = running.rss_mb()
    told.server.stop(0)
    return {"engines_come_and_gone": told.first, "rss_after_churn_over_before": round(after / before, 3)}


def reading() -> dict[str, Any]:
    """An unchanged list, one that says a later event, and what the DNS library takes for the same."""
    packet = answer(b"\0\1", 9, range(LISTED))

    def us(call: Callable[[], Any], times: int) -> float:
        began = process_time()
        for _ in range(times):
            call()
        return (process_time() - began) * 1e6 / times

    full = us(lambda: discovery_protocol.parse_response(packet, 1, 8), 5)
    same = us(lambda: discovery_protocol.parse_response(packet, 1, 9), 20)
    raw = packet[2:]
    unchanged = us(lambda: packet[2:] == raw, 1000)  # what `DiscoveryClient` does first
    _, rows = discovery_protocol.parse_response(packet, 1, 8)
    _, known = discovery_protocol.parse_initial_list(configuration(MOST, "", ("", 0))["known"])
    return {
        "list_unchanged_us": round(unchanged, 1),
        "list_same_event_us": round(same),
        "list_full_parse_us": round(full),
        "list_dns_library_us": round(us(lambda: DNSRecord.parse(packet), 1)),
        "engines_listed": len(known),
        "engines_in_one_answer": len(rows),
        "largest_answer_bytes": len(packet),
    }


def run(quick: bool, say: Callable[[str], None]) -> dict[str, Any]:
    running = wire(quick, "benchmarks.fleet_wire")
    say("reading lists")
    figures = reading()
    say(f"starting, with {MOST} engines and with none, and idling")
    figures |= starts(1 if quick else 5)
    say(f"{CHURN} engines come and go")
    figures |= churn()
    say("engines cut off under traffic, in a process of its own")
    return figures | wired(running)

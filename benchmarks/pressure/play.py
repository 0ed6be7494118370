"""Plays a crowd of clients against a gateway process: peak memory, and another client's answers."""

import os
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from time import monotonic
from typing import Any, NamedTuple

import gevent
import orjson
from gevent import socket

from pathturn.process.limits import connection_limits
from pathturn.standins.clients import StandInClient
from pathturn.standins.fleet import Fleet, free_address

ROOT = Path(__file__).resolve().parent.parent.parent
ENGINES = 6
SLOW_ENGINE_MS = 2_000
TIME_LIMIT_US = 6_000_000
JUDGED_INTERVAL_S = 0.05
JUDGED_PATIENCE_MS = 1_000
# By the protocol an answer may come 50 ms after its time.
ANSWER_SLACK_S = 0.05
SETTLE_S = 2.0
KB = 1024


class Play(NamedTuple):
    """One picture: what the crowd does, on how many connections, for how long, under which memory limit."""

    kind: str
    connections: int
    seconds: float
    memory_mb: int
    sockets: int = 1024


class Judged(NamedTuple):
    """The answers that another client got."""

    sent: int
    returned: int
    unanswered: int
    late: int
    worst_s: float


ALL_CLIENTS = connection_limits(1024)[0]
PLAYS = (
    *(Play("open_requests", 300, 8, memory_mb) for memory_mb in (32, 64, 192)),
    Play("small_open_requests", 300, 8, 64),
    *(Play("unread_results", 200, 8, memory_mb) for memory_mb in (32, 64, 192)),
    *(Play("half_lines", ALL_CLIENTS, 8, memory_mb) for memory_mb in (32, 64)),
    Play("single_bytes", ALL_CLIENTS, 8, 64),
    Play("short_fields", 300, 8, 64),
    *(
        Play(kind, 1, 8, 64)
        for kind in ("pings", "unknown_methods", "unsound", "aborts", "empty_lines", "new_names", "new_keys")
    ),
)
QUICK_PLAYS = (
    Play("open_requests", 300, 4, 64),
    Play("unread_results", 200, 4, 64),
    Play("new_keys", 1, 4, 64),
)


def memory_kb(pid: int, field: str) -> int:
    """Return a figure of the process's memory: VmHWM is its peak, VmRSS what it holds."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == field:
            return int(value.split()[0])
    raise ValueError(f"no {field} for process {pid}")


class Site(Fleet):
    """Engines, a directory, and a gateway process with a memory limit."""

    def __init__(self, play: Play) -> None:
        super().__init__()
        self.socket_limit = play.sockets
        for entry in self.settings["classes"]:
            entry["deadlineUs"] = TIME_LIMIT_US
        self.settings["classes"].append(self.settings["classes"][0] | {"name": "big"})
        for number in range(ENGINES):
            self.engine(f"n{number}", f"runs:{SLOW_ENGINE_MS}")
            self.engines[f"n{number}"].group_behaviours = {"pay": "rows:1", "big": "big:8"}
        self.address = free_address()
        configuration = self.configuration("{}:{}".format(*self.address))
        configuration["limits"]["memory_mb"] = play.memory_mb
        self.folder = tempfile.TemporaryDirectory()
        path = Path(self.folder.name) / "config.json"
        path.write_bytes(orjson.dumps(configuration))
        command = [sys.executable, "-B", "-m", "pathturn", "serve"]
        with Path(self.folder.name, "log").open("wb") as log:
            self.gateway = subprocess.Popen(
                command, cwd=ROOT, stderr=log, env=os.environ | {"EDGE_CONFIG": str(path)}
            )
        self._wait_ready()

    def _wait_ready(self) -> None:
        end = monotonic() + 20
        while monotonic() < end:
            try:
                socket.create_connection(self.address).close()
            except OSError:
                gevent.sleep(0.02)
            else:
                return
        raise RuntimeError("the gateway is not ready")

    def close(self) -> None:
        self.gateway.kill()
        self.gateway.wait()
        self.stop()
        self.folder.cleanup()


def judge(site: Site, seconds: float) -> Judged:
    """Send a request every few milliseconds on one connection, and judge the answers."""
    client = StandInClient(site.address, iter(range(1, 1 << 30)))
    sent = 0
    end = monotonic() + seconds
    while monotonic() < end:
        client.send("pay", JUDGED_PATIENCE_MS)
        sent += 1
        gevent.sleep(JUDGED_INTERVAL_S)
    gevent.sleep(JUDGED_PATIENCE_MS / 1000 + ANSWER_SLACK_S)
    latencies = client.latencies_s["pay"]
    judged = Judged(
        sent,
        client.outcomes["pay"]["returned"],
        len(client.open_batches),
        sum(latency > JUDGED_PATIENCE_MS / 1000 + ANSWER_SLACK_S for latency in latencies),
        round(max(latencies, default=0.0), 3),
    )
    client.close()
    return judged


def run_play(play: Play) -> dict[str, Any]:
    """Run one play; return what was measured."""
    site = Site(play)
    try:
        gevent.sleep(0.5)
        before_kb = memory_kb(site.gateway.pid, "VmRSS")
        crowd = subprocess.Popen(
            [
                *(sys.executable, "-B", "-m", "benchmarks.pressure.crowd", play.kind),
                *(site.address[0], str(site.address[1]), str(play.connections), str(play.seconds)),
            ],
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )
        judged = judge(site, play.seconds)
        figures = orjson.loads(gevent.get_hub().threadpool.apply(crowd.communicate)[0])
        gevent.sleep(SETTLE_S)
        peak_kb = memory_kb(site.gateway.pid, "VmHWM")
        return {
            **play._asdict(),
            **figures,
            "peak_mb": round(peak_kb / KB, 1),
            "before_mb": round(before_kb / KB, 1),
            "after_mb": round(memory_kb(site.gateway.pid, "VmRSS") / KB, 1),
            "judged": judged._asdict(),
            "held": peak_kb <= play.memory_mb * KB and not judged.unanswered and not judged.late,
        }
    finally:
        site.close()


def run(quick: bool, say: Callable[[str], None]) -> dict[str, Any]:
    """Run all plays, one after the other."""
    gevent.get_hub().NOT_ERROR += (OSError,)  # engines' connections are reset when a gateway is killed
    results = []
    for play in QUICK_PLAYS if quick else PLAYS:
        result = run_play(play)
        say(
            f"{play.kind} {play.connections} connections, {play.memory_mb} MB: peak {result['peak_mb']} MB "
            f"(before {result['before_mb']}, after {result['after_mb']}), "
            f"{result['answers']} answers; {result['judged']} {'held' if result['held'] else 'BROKEN'}"
        )
        results.append(result)
    return {"broken": sum(not result["held"] for result in results), "plays": results}

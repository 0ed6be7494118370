"""How a gateway ends: what the system accepted for it has one whole answer, judged by the client."""

import signal
import subprocess
import sys
from contextlib import contextmanager
from time import monotonic

import gevent
import orjson
import pytest
from gevent import socket
from gevent.server import DatagramServer

from pathturn.standins.clients import Caller
from pathturn.standins.farm import Farm, at, spare_address

SLACK_S = 0.12  # the protocol's 50 ms, and what a shared machine may stand still


class Site(Farm):
    """A gateway's process between stand-ins; each client's own count is the judge."""

    def __init__(self, folder) -> None:
        super().__init__()
        self.config, self.listen, self.callers = folder / "config.json", spare_address(), []
        self.tickets = iter(range(1, 1 << 30))

    @contextmanager
    def process(self):
        self.config.write_bytes(orjson.dumps(self.configuration("{}:{}".format(*self.listen))))
        self.running = subprocess.Popen([sys.executable, "-m", "pathturn", "serve", str(self.config)],
                                        stderr=subprocess.DEVNULL)
        try:
            self.until_open()
            yield self
        finally:
            self.running.kill()
            self.running.wait()
            for each in self.callers:
                each.close()
            self.stop()

    def until_open(self) -> None:
        with gevent.Timeout(20):
            while True:
                try:
                    return socket.create_connection(self.listen).close()
                except ConnectionRefusedError:
                    gevent.sleep(0.01)

    def caller(self) -> Caller:
        self.callers.append(Caller(self.listen, self.tickets))
        return self.callers[-1]

    def term(self) -> float:
        self.running.send_signal(signal.SIGTERM)
        return monotonic()

    def ended(self, within: float) -> None:
        with gevent.Timeout(within, AssertionError("the process goes on")):
            while self.running.poll() is None:
                gevent.sleep(0.01)
        assert self.running.returncode == 0

    def whole(self) -> list[str]:
        """Each batch written has one whole answer; returns how they ended."""
        gevent.sleep(0.05)
        assert [each.open for each in self.callers if each.open] == []
        assert all(times == 1 for each in self.callers for times in each.answers.values())
        return [how for each in self.callers for ends in each.ends.values() for how in ends.elements()]


@pytest.fixture
def site(tmp_path):
    return Site(tmp_path)


def test_what_comes_on_open_and_new_connections_after_sigterm_is_answered(site) -> None:
    site.engine("e", "runs:100")
    with site.process():
        old = [site.caller() for _ in range(3)]
        at = site.term()
        for step in range(13):
            gevent.sleep(max(0, at + 0.05 * step - monotonic()))
            old[step % 3].send("look")
            if step <= 8:
                site.caller().send("look")
        site.ended(3)
        assert len(site.whole()) == 22


@pytest.mark.parametrize("stood", [0.3, 0.68, 1.0])
def test_what_lies_in_the_accept_queue_over_a_standstill_is_answered(site, stood) -> None:
    """The timer that ends the waiting comes before the listener and the sockets are looked at."""
    site.engine("e", "rows:1")
    with site.process():
        old = site.caller()
        at = site.term()
        gevent.sleep(0.1)
        site.running.send_signal(signal.SIGSTOP)
        gevent.sleep(0.1)
        for _ in range(5):
            site.caller().send("look")
        for _ in range(3):
            old.send("look")
        gevent.sleep(max(0, at + stood - monotonic()))
        site.running.send_signal(signal.SIGCONT)
        site.ended(3)
        assert len(site.whole()) == 8


def test_a_batch_with_longer_than_the_kill_takes_is_ended_before_it(site) -> None:
    """SIGKILL comes 3.7 s after SIGTERM however long a batch may last."""
    site.settings["classes"][0]["deadlineUs"] = 20_000_000
    site.settings["classes"][1]["deadlineUs"] = 20_000_000
    site.settings["classes"][2]["deadlineUs"] = 20_000_000
    site.engine("e", "runs:15000")
    with site.process():
        caller = site.caller()
        for group in ("look", "pay"):
            caller.send(group, 18_000)
        for turn in range(3):
            caller.send("load", 18_000, "k", f"k-{turn}")
        gevent.sleep(0.3)
        at = site.term()
        gevent.sleep(0.3)
        caller.send("look", 18_000)
        site.ended(3.7)
        assert monotonic() - at > 2
        assert sorted(site.whole()) == ["errored", *["pushed_back"] * 5]
        assert len([each for each in site.engines["e"].asked if each[0] == "DELETE"]) == 4


def test_a_batch_that_lay_unread_over_a_standstill_is_answered_in_its_time(site) -> None:
    site.engine("e", "runs:9000")
    with site.process():
        caller = site.caller()
        caller.send("look", 200)
        gevent.sleep(0.4)
        site.running.send_signal(signal.SIGSTOP)
        gevent.sleep(0.05)
        caller.send("look", 1300)
        gevent.sleep(0.7)
        site.running.send_signal(signal.SIGCONT)
        gevent.sleep(1)
        assert site.whole() == ["pushed_back"] * 2
        assert caller.took["look"][1] < 1.3 + SLACK_S


@pytest.mark.parametrize("bad", [b"", b'{"jsonrpc":"2.0","id":1,',
                                 b'{"jsonrpc":"2.0","id":1,"method":"none"}\n' * 99])
def test_a_client_that_never_closes_does_not_hold_the_stop_up(site, bad) -> None:
    """Nor does one with half a line, or one that floods and never reads."""
    site.engine("e", "rows:1")
    with site.process():
        with socket.create_connection(site.listen) as stranger:
            stranger.sendall(bad)
            site.caller().send("look")
            gevent.sleep(0.2)
            at = site.term()
            site.ended(0.7 + 1.5)  # the longest limit, 5 s, counts as 3
        assert monotonic() - at < 2.2 and site.whole() == ["returned"]


def test_a_new_configuration_during_the_start_neither_ends_it_nor_is_lost(tmp_path) -> None:
    """At each phase of the start: a reload names another directory, and that one is asked."""
    sites, asked = [], set()
    try:
        for step in range(12):
            (folder := tmp_path / str(step)).mkdir()
            site = Site(folder)
            site.engine("e")
            old = site.configuration("{}:{}".format(*site.listen))
            site.config.write_bytes(orjson.dumps(old))
            site.running = subprocess.Popen([sys.executable, "-m", "pathturn", "serve", str(site.config)],
                                            stderr=subprocess.DEVNULL)
            sites.append(site)
            gevent.sleep(0.1 + 0.05 * step)  # the interpreter's own start comes before any of ours
            other = DatagramServer(("127.0.0.1", 0), lambda packet, peer, step=step: asked.add(step))
            other.start()
            site.others = other
            site.config.write_bytes(orjson.dumps(old | {"names": at(other)}))
            site.running.send_signal(signal.SIGHUP)
        with gevent.Timeout(10, False):
            while len(asked) < len(sites):
                gevent.sleep(0.02)
        assert asked == set(range(12)) and all(site.running.poll() is None for site in sites)
    finally:
        for site in sites:
            site.running.kill()
            site.running.wait()
            site.others.stop(0)
            site.stop()

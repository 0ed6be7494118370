"""A directory whose responses are slow, overtake each other, are lost, or follow an error."""

import os
import struct

import gevent
import pytest
from gevent import socket
from gevent.server import DatagramServer
from test_close_range import wait_until

from pathturn.wire.discovery_client import QUERY_INTERVAL_S
from pathturn.wire.pending_queries import MAX_PENDING_QUERIES, QUERY_IDS, PendingQueries

# Covers a query, a round and the work of a busy machine.
SLACK_S = 0.75
MAX_CANCEL_DELAY_S = 0.1


def ready_engines(rig) -> int:
    return len(rig.gateway.facade.engine_registry.ready)


class DelayedDirectory:
    """Sends each response after the next of the delays, in a cycle; the lists are those of the time at which
    they are sent, unless `from_query` makes them those of the query."""

    def __init__(self, rig, monkeypatch, delays_s: list[float], from_query: bool = False) -> None:
        self.rig = rig
        self.answer = rig.answer_directory_query
        self.delays_s = delays_s
        self.from_query = from_query
        self.queries: list[tuple[bytes, tuple[str, int]]] = []
        monkeypatch.setattr(rig, "answer_directory_query", self.answer_late)

    def answer_late(self, packet, peer) -> None:
        delay_s = self.delays_s[len(self.queries) % len(self.delays_s)]
        self.queries.append((packet, peer))
        states, serial = dict(self.rig.states), self.rig.serial
        gevent.sleep(delay_s)
        if not self.from_query:
            self.answer(packet, peer)
            return
        latest_states, latest_serial = self.rig.states, self.rig.serial
        self.rig.states, self.rig.serial = states, serial
        self.answer(packet, peer)
        self.rig.states, self.rig.serial = latest_states, latest_serial


def count_sockets_to(port: int) -> int:
    """Return the number of this process's UDP sockets that are connected to a loopback port."""
    remote = f"0100007F:{port:04X}"
    inodes = set()
    for fd in os.listdir("/proc/self/fd"):
        try:
            inodes.add(os.readlink(f"/proc/self/fd/{fd}"))
        except FileNotFoundError:
            continue  # the descriptor of the listing itself
    with open("/proc/self/net/udp") as table:
        rows = [line.split() for line in table][1:]
    return sum(row[2] == remote and f"socket:[{row[9]}]" in inodes for row in rows)


@pytest.mark.parametrize("on_demand", [False, True], ids=["push", "ask"])
@pytest.mark.parametrize("delay_s", [0.6, 1.5, 3.0, 6.0])
def test_a_drain_is_heard_from_a_directory_that_is_slow(rig, monkeypatch, delay_s, on_demand) -> None:
    """Guards against responses that no socket waits for any more, each one of a slow directory."""
    if on_demand:
        rig.asks_list()
    rig.engine("e")
    rig.engine("f")
    directory = DelayedDirectory(rig, monkeypatch, [delay_s])
    rig.start()
    wait_until(lambda: directory.queries)
    rig.set_state("e", "draining")
    wait_until(lambda: ready_engines(rig) == 1, delay_s + QUERY_INTERVAL_S + SLACK_S)
    assert count_sockets_to(rig.directory_server.server_port) == 1


def test_responses_that_overtake_each_other_never_bring_an_older_list_back(rig, monkeypatch) -> None:
    rig.engine("e")
    rig.engine("f")
    directory = DelayedDirectory(rig, monkeypatch, [1.2, 0.1, 0.7], from_query=True)
    rig.start()
    wait_until(lambda: len(directory.queries) >= 2)
    rig.set_state("e", "draining")
    wait_until(lambda: ready_engines(rig) == 1, 2)
    for _ in range(30):
        gevent.sleep(0.05)
        assert ready_engines(rig) == 1


def test_a_response_is_accepted_after_another_query_was_refused(rig, monkeypatch) -> None:
    """Guards against an error of one query that ends the wait for the others."""
    rig.engine("e")
    rig.engine("f")
    directory = DelayedDirectory(rig, monkeypatch, [60.0])
    rig.start()
    wait_until(lambda: len(directory.queries) >= 2)
    address = rig.directory_server.address
    rig.directory_server.stop(0)
    gevent.sleep(3 * QUERY_INTERVAL_S)
    rig.directory_server = DatagramServer(address, lambda packet, peer: None)
    rig.directory_server.start()
    rig.set_state("e", "draining")
    directory.answer(*directory.queries[0])
    wait_until(lambda: ready_engines(rig) == 1)


@pytest.mark.parametrize("query_id", [0, 9999])
def test_a_response_to_no_pending_query_changes_nothing(rig, monkeypatch, query_id, capfd) -> None:
    rig.engine("e")
    rig.engine("f")
    answer = rig.answer_directory_query
    answered = []

    def answer_under_another_id(packet, peer) -> None:
        answered.append(peer)
        answer(struct.pack("!H", query_id) + packet[2:], peer)

    monkeypatch.setattr(rig, "answer_directory_query", answer_under_another_id)
    rig.start()
    rig.set_state("e", "draining")
    wait_until(lambda: len(answered) >= 3)
    assert ready_engines(rig) == 2
    assert "code=unexpected_response" in capfd.readouterr().err


def test_a_second_response_to_a_query_changes_nothing(rig, monkeypatch) -> None:
    rig.engine("e")
    rig.engine("f")
    answer = rig.answer_directory_query
    queries = []

    def answer_first_query_again(packet, peer) -> None:
        queries.append((packet, peer))
        answer(*queries[0])

    monkeypatch.setattr(rig, "answer_directory_query", answer_first_query_again)
    rig.start()
    wait_until(lambda: queries)
    gevent.sleep(MAX_CANCEL_DELAY_S)
    rig.set_state("e", "draining")
    wait_until(lambda: len(queries) >= 4)
    assert ready_engines(rig) == 2


@pytest.mark.parametrize("on_demand", [False, True], ids=["push", "ask"])
def test_late_responses_of_the_previous_directory_change_nothing(rig, monkeypatch, on_demand) -> None:
    """Guards against a list of the previous directory that arrives after a reload."""
    if on_demand:
        rig.asks_list()
    rig.engine("e")
    rig.engine("f")
    directory = DelayedDirectory(rig, monkeypatch, [60.0])
    rig.start()
    wait_until(lambda: len(directory.queries) >= 2)
    silent_directory = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    silent_directory.bind(("127.0.0.1", 0))
    rig.strangers.append(silent_directory)
    rig.set_state("e", "draining")
    for query in directory.queries:  # before the reload, but not read yet
        directory.answer(*query)
    rig.gateway.discovery_client.use_directory(silent_directory.getsockname())
    for query in directory.queries:
        directory.answer(*query)
    gevent.sleep(2 * QUERY_INTERVAL_S)
    assert ready_engines(rig) == 2
    assert count_sockets_to(rig.directory_server.server_port) == 0
    assert count_sockets_to(silent_directory.getsockname()[1]) == 1


def test_the_log_tells_when_responses_become_late_and_timely(rig, monkeypatch, capfd) -> None:
    rig.engine("e")
    directory = DelayedDirectory(rig, monkeypatch, [0.6])
    rig.start()
    wait_until(lambda: len(directory.queries) >= 6)
    directory.delays_s = [0.0]
    wait_until(lambda: len(directory.queries) >= 12, 4)
    log = capfd.readouterr().err
    assert log.count("discovery code=late_response after_ms=6") == 1
    assert log.count("discovery code=timely_response") == 1


def test_pending_queries_are_bounded_and_their_ids_wrap() -> None:
    pending = PendingQueries()
    pending.last_id = QUERY_IDS - 2
    ids = [pending.add(float(number)) for number in range(MAX_PENDING_QUERIES + 2)]
    assert ids[:3] == [QUERY_IDS - 1, 0, 1]
    assert [pending.sent_at(query_id) for query_id in ids[:3]] == [None, None, 2.0]
    pending.remove(ids[2])
    assert pending.sent_at(ids[2]) is None and pending.sent_at(None) is None
    assert len(pending.sent_at_by_id) == MAX_PENDING_QUERIES - 1

"""Connections to engines that come up late: what the gateway concludes, and what becomes of the request."""

from base64 import b64encode

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from test_close_range import until

from pathturn.memory.pools import Pools
from pathturn.process.clock import unix_clock
from pathturn.wire.line import ConnectTimeoutError

WARMING_UP = {"coldFrom": "0.33", "coldUs": "14000000", "fallMultiple": "3.0", "fallUs": "1000000"}
# More work than one of six gateways may send, within the rule's time, to an engine that is warming up.
LARGE_WORK_MS = 4000
# Longer than an engine is ejected after a connection failed.
EJECTED_S = 1.5


@pytest.fixture
def one_engine_of_six_gateways(rig):
    """One engine that serves at once, and settings under which engines that start anew are warmed up."""
    for name, value in WARMING_UP.items():
        rig.set(f"rules.{name}", value)
    rig.settings["siblings"] = 6
    rig.engine("e")
    return rig


def first_connect_fails(rig, monkeypatch, error: type[OSError]) -> list[tuple[str, int]]:
    """Fail the first connection to an engine with this error; return the list of failed addresses."""
    engine_addresses = [engine.server.address for engine in rig.engines.values()]
    failed = []

    class FirstConnectFails(socket.socket):
        def connect(self, address):
            if address in engine_addresses and not failed:
                failed.append(address)
                raise error
            super().connect(address)

    monkeypatch.setattr("pathturn.wire.line.socket.socket", FirstConnectFails)
    return failed


def call_large(rig, number: int) -> None:
    rig.say(
        id=number,
        method="sum",
        params={
            "trace": f"{number:016x}",
            "patience": 7000,
            "weight": LARGE_WORK_MS,
            "est_mb": 1,
            "entity": "key",
            "data": b64encode(b"SELECT 1 FROM sales_3.orders").decode(),
        },
    )


def test_an_engine_whose_connection_was_late_is_still_sent_large_requests(
    one_engine_of_six_gateways, monkeypatch
) -> None:
    rig = one_engine_of_six_gateways
    rig.start()
    failed = first_connect_fails(rig, monkeypatch, TimeoutError)
    call_large(rig, 1)
    rig.returned(1)
    assert len(failed) == 1


def test_an_engine_that_refused_a_connection_is_sent_nothing_large_while_it_may_be_warming_up(
    one_engine_of_six_gateways, monkeypatch
) -> None:
    rig = one_engine_of_six_gateways
    rig.start()
    failed = first_connect_fails(rig, monkeypatch, ConnectionRefusedError)
    call_large(rig, 1)
    until(lambda: failed)
    gevent.sleep(EJECTED_S)
    rig.asked("e", "POST", 0)
    rig.unanswered(1)


REPEAT_WINDOW_S = 0.4


def test_a_repeat_is_not_sent_once_its_window_has_ended_while_it_waited(rig, monkeypatch) -> None:
    """The decision falls within the window; the connection for it comes only after."""
    for service_class in rig.settings["classes"]:
        if service_class["name"] == "load":
            service_class["memorySpanUs"] = int(REPEAT_WINDOW_S * 1e6)
    rig.engine("e", "reset")
    rig.engine("f", "reset")
    rig.start()
    facade, window_ended, retries = rig.gateway.facade, Event(), []
    follows = facade.follows

    def waits_for_its_turn(attempt) -> bool:
        if attempt.number == 0:
            return follows(attempt)
        retries.append(attempt.number)
        return window_ended.is_set() and follows(attempt)

    monkeypatch.setattr(facade, "follows", waits_for_its_turn)
    rig.call(1, "load", patience=3000)
    until(lambda: retries)
    gevent.sleep(REPEAT_WINDOW_S)
    window_ended.set()
    rig.pushed_back(1)
    assert sum(len(engine.posts()) for engine in rig.engines.values()) == 1


def test_a_connection_that_comes_up_late_serves_the_next_attempt(rig, monkeypatch) -> None:
    """The attempt is over by then, and was never sent; the next one needs no connection of its own."""
    rig.engine("e")
    rig.start()
    address = rig.engines["e"].server.address
    connects = []

    class LateConnect(socket.socket):
        def connect(self, to):
            super().connect(to)
            if to == address:
                connects.append(to)
                raise TimeoutError  # it came up, but only after the caller's time

    monkeypatch.setattr("pathturn.wire.line.socket.socket", LateConnect)
    rig.call(1, "look")
    rig.returned(1)
    rig.asked("e", "POST", 1)
    assert len(connects) == 1
    assert not rig.gateway.pools.late


def test_a_connection_that_never_comes_up_gives_its_descriptor_back(rig, monkeypatch) -> None:
    rig.set("limits.idleCloseUs", "200000")
    rig.engine("e")
    rig.start()
    pools = rig.gateway.pools
    capacity = pools.room.counter
    failed = first_connect_fails(rig, monkeypatch, TimeoutError)
    rig.call(1, "look")
    rig.returned(1)
    assert len(failed) == 1
    until(lambda: not pools.late and not pools.idle and pools.room.counter == capacity)


class PendingConnection:
    """A connection to an engine that stays in establishment until `up` is set."""

    parts = None
    host = "127.0.0.1:1"

    def __init__(self, place) -> None:
        self.place = place
        self.up = Event()
        self.closed_with = None

    def came_up(self, timeout_s: float) -> bool:
        return self.up.wait(timeout_s)

    def fresh(self) -> bool:
        return True

    def close(self, code: str) -> None:
        self.closed_with = code


ENDPOINTS = [(index, ("127.0.0.1", 1 + index)) for index in range(2)]


@pytest.fixture
def pool_of_late_connections():
    """A pool with room for two, every connection of which is late; returns it and the connections begun."""
    begun = []

    def connect(place, timeout_s):
        begun.append(PendingConnection(place))
        raise ConnectTimeoutError(TimeoutError(), begun[-1])

    return Pools(2, 2_000_000, 250_000, unix_clock, connect, lambda text: None), begun


def acquire_late(pool, place) -> None:
    with pytest.raises(ConnectTimeoutError):
        pool.borrow(place)


def test_one_late_connection_is_kept_for_each_endpoint(pool_of_late_connections) -> None:
    pool, begun = pool_of_late_connections
    acquire_late(pool, ENDPOINTS[0])
    acquire_late(pool, ENDPOINTS[0])
    assert [connection.closed_with for connection in begun] == [None, "connect_timeout"]
    begun[0].up.set()
    until(lambda: not pool.late)
    assert pool.borrow(ENDPOINTS[0]) is begun[0]


def test_a_late_connection_to_an_engine_that_has_gone_is_closed_at_once(pool_of_late_connections) -> None:
    """Also where its waiter has not run yet."""
    pool, begun = pool_of_late_connections
    acquire_late(pool, ENDPOINTS[0])
    pool.keep_only({ENDPOINTS[1]})
    until(lambda: begun[0].closed_with)
    assert not pool.late
    assert pool.room.counter == 2


def test_late_connections_give_way_where_descriptors_are_short(pool_of_late_connections) -> None:
    pool, begun = pool_of_late_connections
    for place in ENDPOINTS:
        acquire_late(pool, place)
    with gevent.Timeout(1):
        acquire_late(pool, (2, ("127.0.0.1", 3)))
    assert [connection.closed_with for connection in begun] == ["connect_timeout", None, None]

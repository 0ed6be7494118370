"""Connections to engines that come up late: what the gateway concludes, and what becomes of the request."""

from base64 import b64encode

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from test_close_range import until

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
    rig.say(id=number, method="sum", params={
        "trace": f"{number:016x}", "patience": 7000, "weight": LARGE_WORK_MS, "est_mb": 1, "entity": "key",
        "data": b64encode(b"SELECT 1 FROM sales_3.orders").decode()})


def test_an_engine_whose_connection_was_late_is_still_sent_large_requests(
        one_engine_of_six_gateways, monkeypatch) -> None:
    rig = one_engine_of_six_gateways
    rig.start()
    failed = first_connect_fails(rig, monkeypatch, TimeoutError)
    call_large(rig, 1)
    rig.returned(1)
    assert len(failed) == 1


def test_an_engine_that_refused_a_connection_is_sent_nothing_large_while_it_may_be_warming_up(
        one_engine_of_six_gateways, monkeypatch) -> None:
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

"""Requests of one ordering key on two connections run in the order in which they were written, also if the
gateway reads one of the connections late, whatever the reason."""

from base64 import b64encode

import gevent
import orjson
import pytest
from gevent import socket
from test_client_edges import PING, abort_line, connection_of
from test_close_range import UNKNOWN_METHOD_LINE, wait_until
from test_stop import request_line

from pathturn.memory.arrival_order import MAX_KEYS, MAX_UNREAD_US, ArrivalOrder
from pathturn.memory.buffers import BUFFER_BYTES
from pathturn.wire.read_ahead import ReadAhead

KEY = "k"
# By the protocol the requests of one key are written at least 60 ms apart.
APART_S = 0.08
FIRST_TICKET, SECOND_TICKET = f"{0xA1:016x}", f"{0xA2:016x}"
LARGE_STATEMENT_BYTES = 5_000


def load_line(number: int, ticket: str, patience_ms: int = 6_000) -> bytes:
    params = {
        "trace": ticket,
        "patience": patience_ms,
        "weight": 20,
        "est_mb": 1,
        "entity": KEY,
        "nonce": f"n{ticket}",
        "data": b64encode(b"INSERT INTO sales_3.orders VALUES (1)").decode(),
    }
    return orjson.dumps({"jsonrpc": "2.0", "id": number, "method": "load", "params": params}) + b"\n"


def large_request_line(number: int) -> bytes:
    message = orjson.loads(request_line(number))
    message["params"]["data"] = b64encode(b"SELECT 1 ".ljust(LARGE_STATEMENT_BYTES, b" ")).decode()
    return orjson.dumps(message) + b"\n"


# By reason for which the gateway reads a connection late: what is written before the load, and the id of it.
REASONS = {
    "pings": (b"".join(PING % number for number in range(1, 700)), 700),
    "unknown_methods": (b"".join(UNKNOWN_METHOD_LINE % number for number in range(1, 40)), 40),
    "too_many_open": (b"".join(request_line(number) for number in range(1, 60)), 60),
    "used_ids": (b"".join(request_line(1) for _ in range(20)), 2),
    "aborts": (abort_line(1) * 2_000, 1),
    "empty_lines": (b"\n" * 40_000, 1),
    "large_requests": (b"".join(large_request_line(number) for number in range(1, 300)), 300),
}


def execution_order(rig) -> list[str]:
    """Return the tickets of the loads in the order in which the engine started them."""
    return [start.ticket for start in rig.engines["e"].starts if start.service_class == "load"]


def settled_clients(rig) -> tuple[socket.socket, socket.socket]:
    """Return two clients whose connections have carried a request each."""
    clients = tuple(socket.create_connection(rig.listen) for _ in range(2))
    for client in clients:
        connection = connection_of(rig, client)
        client.sendall(PING % 1)
        wait_until(lambda connection=connection: connection.line_received)
        connection.last_request_id = 0
    return clients


def read_until_closed(client: socket.socket, answers: list[dict]) -> None:
    with client.makefile("rb") as reader:
        for line in reader:
            answers.append(orjson.loads(line))


def write_in_two(client: socket.socket, before: bytes, load: bytes) -> None:
    client.sendall(before)
    gevent.sleep(0.02)  # so that the gateway has begun to process what is before the load
    client.sendall(load)


@pytest.mark.parametrize("reason", REASONS)
def test_order_of_a_key_holds_if_one_connection_is_read_late(rig, reason) -> None:
    """Guards against taking the order of a key from when its requests are read: one that lay behind other
    input of its connection ran after one that was written later on another connection."""
    before, load_id = REASONS[reason]
    rig.engine("e", "runs:50")
    rig.start()
    first, second = settled_clients(rig)
    answers: list[dict] = []
    later_answers: list[dict] = []
    rig.greenlets += [
        gevent.spawn(read_until_closed, first, answers),
        gevent.spawn(read_until_closed, second, later_answers),
    ]
    writer = gevent.spawn(write_in_two, first, before, load_line(load_id, FIRST_TICKET))
    wait_until(writer.ready, APART_S)
    gevent.sleep(APART_S)
    second.sendall(load_line(2, SECOND_TICKET))
    wait_until(lambda: any(each["id"] == 2 for each in later_answers), 6)
    wait_until(lambda: any(each["id"] == load_id and "pause" not in each for each in answers), 6)
    gevent.sleep(0.2)
    started = execution_order(rig)
    assert started in ([FIRST_TICKET, SECOND_TICKET], [FIRST_TICKET], [SECOND_TICKET]), started
    first.close()
    second.close()


def test_time_of_a_request_runs_while_its_connection_is_not_read(rig) -> None:
    """Guards against counting the time of a request from when it is read: its answer came late by as long as
    its connection was over its rate limit."""
    patience_s = 1.0
    rig.engine("e", "hang")
    rig.start()
    client, other = settled_clients(rig)
    answers: list[dict] = []
    rig.greenlets.append(gevent.spawn(read_until_closed, client, answers))
    pings = 600
    client.sendall(b"".join(PING % number for number in range(1, pings)))
    gevent.sleep(0.02)
    message = orjson.loads(request_line(pings))
    message["params"]["patience"] = int(patience_s * 1000)
    client.sendall(orjson.dumps(message) + b"\n")
    # By the protocol an answer may come 50 ms after its time.
    wait_until(lambda: any(each["id"] == pings for each in answers), patience_s + 0.05)
    client.close()
    other.close()


def test_requests_of_a_key_behind_a_short_pause_are_served_in_order(rig) -> None:
    """Requests with an ordering key are not made to wait for a rate limit that is exceeded by little."""
    before, load_id = REASONS["pings"]
    rig.engine("e", "runs:50")
    rig.start()
    first, second = settled_clients(rig)
    for client in (first, second):
        rig.greenlets.append(gevent.spawn(read_until_closed, client, []))
    write_in_two(first, before, load_line(load_id, FIRST_TICKET))
    gevent.sleep(APART_S)
    second.sendall(load_line(2, SECOND_TICKET))
    wait_until(lambda: len(execution_order(rig)) == 2, 2)
    assert execution_order(rig) == [FIRST_TICKET, SECOND_TICKET]
    first.close()
    second.close()


# The parts alone.


def test_a_request_unread_while_another_connection_brought_its_key_is_ambiguous() -> None:
    order = ArrivalOrder()
    first, second = object(), object()
    order.record("k", second, 1_000_000)
    assert order.is_ambiguous("k", first, 999_999)
    assert not order.is_ambiguous("k", first, 1_000_000)
    assert not order.is_ambiguous("k", second, 0), "requests of one connection are in order"
    assert not order.is_ambiguous("l", first, 0)
    order.record("k", first, 1_200_000)
    assert order.is_ambiguous("k", second, 1_100_000)
    assert order.is_ambiguous("k", first, 999_999), "the other connection's request is still known"


def test_keys_are_forgotten_and_requests_from_before_then_are_ambiguous() -> None:
    order = ArrivalOrder()
    first, second = object(), object()
    order.record("k", first, 1_000_000)
    order.forget(1_000_000 + MAX_UNREAD_US)
    assert order.by_key
    order.forget(1_000_001 + MAX_UNREAD_US)
    assert not order.by_key
    assert order.is_ambiguous("k", second, 999_999) and not order.is_ambiguous("k", second, 1_000_000)


def test_the_number_of_keys_is_bounded() -> None:
    order = ArrivalOrder()
    for number in range(MAX_KEYS + 10):
        order.record(f"k{number}", None, number)
    assert len(order.by_key) == MAX_KEYS
    assert order.is_ambiguous("k0", object(), 8)


def test_read_ahead_keeps_the_time_of_each_arrival_in_bounded_space() -> None:
    read_ahead = ReadAhead()
    for number in range(5_000):
        read_ahead.append(memoryview(b"x"), number)  # single bytes, 1 us apart
    read_ahead.append(memoryview(b"y" * 9_000), 1_000_000)
    assert len(read_ahead.arrivals) == 2 and len(read_ahead) == 14_000
    assert read_ahead.pop() == (b"x" * 5_000, 0)
    assert read_ahead.pop() == (b"y" * BUFFER_BYTES, 1_000_000)
    assert read_ahead.pop() == (b"y" * (9_000 - BUFFER_BYTES), 1_000_000)
    assert not read_ahead

"""A client closes its connection with requests unread, queued or on their way, and their ids come again on
another connection. Checked by what the engines were asked."""

import time

import gevent
import orjson
import pytest
from gevent import socket
from test_client_edges import PING, connection_of
from test_close_range import MAX_START_AFTER_DISCONNECT_S, wait_until
from test_stop import request_line

LEAVE = {
    "close": lambda client: client.close(),
    "half_close": lambda client: client.shutdown(socket.SHUT_WR),
    "reset": lambda client: reset(client),
}


def reset(client) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    client.close()


def line(number: int, group: str, ticket: str, nonce: str | None = None) -> bytes:
    message = orjson.loads(request_line(number))
    message["method"] = group
    message["params"] |= {"trace": ticket, "patience": 1400}
    if nonce is not None:
        message["params"]["nonce"] = nonce
    return orjson.dumps(message) + b"\n"


@pytest.mark.parametrize("how", LEAVE)
def test_nothing_begins_for_a_client_that_left_while_its_reader_waits_for_its_turn(rig, how) -> None:
    """Guards against dispatches of a client whose close is not read yet, as its reader has no turn."""
    rig.engine("e", "runs:50")
    rig.start()
    client = socket.create_connection(rig.listen)
    connection = connection_of(rig, client)
    client.sendall(PING % 1)
    wait_until(lambda: connection.line_received)
    turns = rig.gateway.processing_turns
    wait = turns.turn

    class NoTurn:
        def __enter__(self):
            gevent.sleep(1.0)

        def __exit__(self, *_):
            return None

    client.sendall(line(2, "look", f"{2:016x}"))
    facade = rig.gateway.facade
    may_start = facade.may_start
    held = []

    def hold_until_closed(dispatch):
        held.append(dispatch)
        turns.turn = lambda account: NoTurn()
        client.sendall(b"".join(request_line(number) for number in range(3, 9)))
        gevent.sleep(0.02)
        LEAVE[how](client)
        gevent.sleep(0.02)
        return may_start(dispatch)

    facade.may_start = hold_until_closed
    wait_until(lambda: held)
    gevent.sleep(0.02 + MAX_START_AFTER_DISCONNECT_S + 0.1)
    assert not rig.engines["e"].start_times
    turns.turn = wait
    gevent.sleep(1.0)
    assert not rig.engines["e"].start_times
    client.close()


@pytest.mark.parametrize("how", LEAVE)
@pytest.mark.parametrize("stalled", [False, True])
def test_nothing_begins_for_a_client_that_left_with_hundreds_unread(rig, how, stalled) -> None:
    rig.engine("e", "runs:300")
    rig.start()
    client = socket.create_connection(rig.listen)
    connection_of(rig, client)
    client.sendall(b"".join(request_line(number) for number in range(1, 400)))
    if stalled:
        time.sleep(0.15)  # the whole process stands still
    else:
        gevent.sleep(0.03)
    LEAVE[how](client)
    left_at = time.monotonic()
    if stalled:
        time.sleep(0.15)
        left_at = time.monotonic()
    gevent.sleep(0.8)
    late = [
        at - left_at for at in rig.engines["e"].start_times if at > left_at + MAX_START_AFTER_DISCONNECT_S
    ]
    assert not late, late
    client.close()

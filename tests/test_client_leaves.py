"""A client closes its connection with requests unread, queued or on their way, and their ids come again on
another connection. Checked by what the engines were asked."""

import time
from itertools import combinations

import gevent
import orjson
import pytest
from gevent import socket
from test_client_edges import PING, connection_of
from test_close_range import MAX_START_AFTER_DISCONNECT_S, wait_until
from test_stop import request_line

from pathturn.memory.recent_ids import MAX_IDS, RecentIds

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


def overlapping_runs(rig, ticket: str) -> list[tuple]:
    """Return pairs of runs of one ticket that overlap, over all engines."""
    runs = []
    for name, engine in rig.engines.items():
        runs += [(name, start, end) for started, start, end in engine.runs if started == ticket]
    return [pair for pair in combinations(sorted(runs, key=lambda run: run[1]), 2) if pair[0][2] > pair[1][1]]


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.3])
@pytest.mark.parametrize("how", LEAVE)
@pytest.mark.parametrize("group", ["look", "pay"])
def test_an_id_that_comes_again_after_its_client_left_never_runs_twice_at_once(
    rig, group, how, after_s
) -> None:
    """Guards against a second run of an id while the first one is not proven over: its cancel request was on
    its way, and could also end the second run."""
    ticket = f"{0xABC:016x}"
    rig.engine("e", "runs:900")
    rig.engine("f", "runs:900")
    for engine in rig.engines.values():
        engine.delete_delay_s = 0.2
    rig.start()
    client = socket.create_connection(rig.listen)
    client.sendall(line(1, group, ticket))
    wait_until(lambda: any(engine.start_times for engine in rig.engines.values()))
    LEAVE[how](client)
    gevent.sleep(after_s)
    second = socket.create_connection(rig.listen)
    second.sendall(line(1, group, ticket))
    with gevent.Timeout(3), second.makefile("rb") as reader:
        answer = orjson.loads(reader.readline())
    gevent.sleep(0.3)
    assert not overlapping_runs(rig, ticket), answer
    starts = sum(len(engine.start_times) for engine in rig.engines.values())
    assert group != "pay" or starts == 1, "a once-only request ran twice"
    client.close()
    second.close()


@pytest.mark.parametrize("scope", ["all", "zone"])
def test_a_nonce_that_comes_again_runs_only_where_its_repeat_is_dropped(rig, scope) -> None:
    """Guards against a second effect: engines of one zone do not drop the repeat of what ran in another."""
    for entry in rig.settings["classes"]:
        if entry["name"] == "load":
            entry |= {"group": scope, "inTurn": False}
    rig.engine("e", "runs:900", zone="a")
    rig.engine("f", "runs:900", zone="b")
    rig.start()
    first = socket.create_connection(rig.listen)
    first.sendall(line(1, "load", "a" * 16, nonce="n1"))
    wait_until(lambda: any(engine.start_times for engine in rig.engines.values()))
    first.close()
    ran = next(name for name, engine in rig.engines.items() if engine.start_times)
    rig.set_state(ran, "draining")
    gevent.sleep(0.6)  # the list is asked for every 0.25 s
    second = socket.create_connection(rig.listen)
    second.sendall(line(1, "load", "b" * 16, nonce="n1"))
    with gevent.Timeout(3), second.makefile("rb") as reader:
        answer = orjson.loads(reader.readline())
    zones = {name for name, engine in rig.engines.items() if engine.execution_starts}
    assert zones == ({"e", "f"} if scope == "all" else {ran}), answer
    assert ("result" in answer) == (scope == "all")
    second.close()


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


def test_ids_are_kept_for_their_time_in_bounded_number() -> None:
    recent = RecentIds()
    recent.add("a", 100, 0)
    recent.add("a", 50, 10)
    assert recent.contains("a", 99) and not recent.contains("a", 100)
    recent.add("b", 300, 200)
    assert list(recent.kept_until_us) == ["b"]
    for number in range(MAX_IDS + 5):
        recent.add(f"id{number}", 1_000, 200)
    assert len(recent.kept_until_us) == MAX_IDS
    assert not recent.contains("b", 200) and recent.contains(f"id{MAX_IDS + 4}", 999)

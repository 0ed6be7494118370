"""Open requests and results keep to the memory limit; what there is no room for is pushed back at once."""

import time

import gevent
import orjson
import pytest
from conftest import Stage
from gevent import socket
from test_client_edges import abort_line, connection_of
from test_close_range import wait_until
from test_stop import request_line

from benchmarks.pressure.play import JUDGED_PATIENCE_MS, Play, run_play
from pathturn.core.dispatcher import MAX_STALE_TIMERS, MAX_TIMERS_PER_BATCH
from pathturn.memory.memory_budget import (
    FEW_OPEN_REQUESTS,
    MAX_LARGE_RESULTS_PER_CONNECTION,
    MIN_LARGE_RESULTS,
    REQUEST_OVERHEAD_BYTES,
    MemoryBudget,
    request_bytes,
)
from pathturn.process.limits import connection_limits, request_memory_bytes
from pathturn.wire.client_connection import MAX_OPEN_BATCHES
from pathturn.wire.processing_turns import SLICE_US, ProcessingTurns, TurnAccount

PUSHED_BACK = -32066
# By the protocol an answer up to half a second after its time earns nothing, and a later one is lost.
LOST_AFTER_S = JUDGED_PATIENCE_MS / 1000 + 0.5
LARGE_PAGES = 7


@pytest.mark.parametrize(
    "play",
    [
        pytest.param(Play("open_requests", 300, 4, 64), id="large_open_requests"),
        pytest.param(Play("unread_results", 200, 4, 64), id="unread_results"),
    ],
)
def test_a_crowd_of_clients_keeps_the_process_within_its_memory_and_others_answered(play) -> None:
    """Guards against a process that passes its memory limit because of what hundreds of clients have open: it
    took 218 MB at a limit of 64, and other clients' answers came late or never."""
    result = run_play(play)
    print(result)
    assert result["peak_mb"] <= play.memory_mb
    assert not result["judged"]["unanswered"] and result["judged"]["worst_s"] < LOST_AFTER_S


def limit_requests(rig, requests: int) -> int:
    """Leave memory for so many requests of a connection that has many; return the bytes of one."""
    size = request_bytes(len(b"SELECT 1 FROM sales_3.orders"))
    budget = rig.gateway.facade.memory.budget
    budget.limit_bytes = int(requests * size / 0.75) + 1
    return size


def read_answers(client, count: int) -> list[dict]:
    reader = client.makefile("rb")
    with gevent.Timeout(3):
        return [orjson.loads(reader.readline()) for _ in range(count)]


def test_requests_without_memory_are_pushed_back_at_once_with_a_retry_after(rig) -> None:
    rig.engine("e", "runs:700")
    rig.start()
    limit_requests(rig, 10)
    client = socket.create_connection(rig.listen)
    sent_at = time.monotonic()
    client.sendall(b"".join(request_line(number) for number in range(1, 21)))
    answers = read_answers(client, 10)
    assert time.monotonic() - sent_at < 0.5, "a request for which there is no memory was held back"
    assert [each["id"] for each in answers] == list(range(11, 21))
    assert all(each["error"]["code"] == PUSHED_BACK for each in answers)
    assert all(0 < each["error"]["data"]["pause"] <= 500 for each in answers)
    assert {each["id"] for each in read_answers(client, 10)} == set(range(1, 11))
    assert len(rig.engines["e"].start_times) == 10, "a request that was pushed back was sent"
    rig.idle()


def test_a_connection_with_few_open_requests_is_served_beside_one_with_many(rig) -> None:
    rig.engine("e", "runs:300")
    rig.start()
    limit_requests(rig, 10)
    crowd = socket.create_connection(rig.listen)
    crowd.sendall(b"".join(request_line(number) for number in range(1, 21)))
    wait_until(lambda: len(rig.gateway.facade.batches) == 10)
    for number in range(21, 21 + FEW_OPEN_REQUESTS - 1):
        rig.call(number, "pay")
    for number in range(21, 21 + FEW_OPEN_REQUESTS - 1):
        rig.returned(number)


@pytest.mark.parametrize("end", ["answer", "abort", "disconnect", "used_id", "error"])
def test_memory_of_a_request_is_given_back_however_it_ends(rig, end) -> None:
    rig.engine("e", "error" if end == "error" else "runs:200")
    rig.start()
    client = socket.create_connection(rig.listen)
    connection = connection_of(rig, client)
    client.sendall(b"".join(request_line(number) for number in range(1, 9)))
    budget = rig.gateway.facade.memory.budget
    wait_until(lambda: connection.batches_received == 8)
    assert end == "error" or budget.used_bytes >= 8 * REQUEST_OVERHEAD_BYTES
    if end == "abort":
        client.sendall(b"".join(abort_line(number) for number in range(1, 9)))
    elif end == "disconnect":
        client.close()
    elif end == "used_id":
        client.sendall(request_line(1) + request_line(2))
    rig.idle()


def test_results_that_are_not_read_leave_room_for_those_of_other_clients(rig) -> None:
    """Large results are fetched one after the other where their memory is short, and few of a connection that
    does not read; clients that read get theirs whole."""
    rig.engine("e", f"big:{LARGE_PAGES}")
    rig.start()
    facade = rig.gateway.facade
    facade.memory.budget.max_large_results = MIN_LARGE_RESULTS
    while facade.memory.large_results.counter > MIN_LARGE_RESULTS:
        facade.memory.large_results.acquire()
    silent = socket.create_connection(rig.listen)
    silent.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection = connection_of(rig, silent)
    connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    lines = b"".join(request_line(number) for number in range(1, MAX_OPEN_BATCHES + 1))
    silent.sendall(lines.replace(b'"trace":"0', b'"trace":"f'))
    wait_until(lambda: connection.large_results.counter == 0)
    assert facade.memory.large_results.counter == MIN_LARGE_RESULTS - MAX_LARGE_RESULTS_PER_CONNECTION
    for number in range(1, 13):
        rig.call(number, "look", patience=1400)
    for number in range(1, 13):
        assert len(rig.answered(number)["result"]["data"]) == LARGE_PAGES * 8000
    silent.close()
    rig.idle()


# The parts alone.


def test_budget_keeps_a_part_for_connections_with_few_open_requests() -> None:
    budget = MemoryBudget(10 << 20)
    size = budget.limit_bytes // 4
    for _ in range(3):
        assert budget.admits(size, MAX_OPEN_BATCHES)
        budget.add(size)
    assert not budget.admits(size, FEW_OPEN_REQUESTS) and budget.admits(size, FEW_OPEN_REQUESTS - 1)
    budget.add(size)
    assert not budget.admits(size, 0)
    budget.remove(size)
    assert budget.admits(size, 0)


@pytest.mark.parametrize("memory_mb", [32, 64, 128, 192])
@pytest.mark.parametrize("sockets", [256, 608, 1024])
def test_memory_for_requests_fits_beside_that_of_connections(memory_mb, sockets) -> None:
    clients, engines = connection_limits(sockets)
    left = request_memory_bytes(memory_mb, clients, engines)
    assert left >= 500 * REQUEST_OVERHEAD_BYTES, "a gateway can't hold what a busy second brings"
    assert memory_mb <= 64 or left > (memory_mb << 20) / 2


def test_the_connection_that_used_least_time_gets_the_next_turn() -> None:
    now_us = [0]
    turns = ProcessingTurns(lambda: now_us[0])
    heavy, light = TurnAccount(), TurnAccount()
    order: list[str] = []

    def process(name: str, account: TurnAccount) -> None:
        with turns.turn(account):
            order.append(name)
            now_us[0] += SLICE_US

    process("heavy", heavy)  # uses up the slice, so all others wait
    waiting = [("heavy", heavy)] * 3 + [("light", light)]
    gevent.joinall([gevent.spawn(process, *each) for each in waiting], timeout=2)
    assert order == ["heavy", "light", "heavy", "heavy", "heavy"]
    assert not turns.waiting


def test_timers_of_ended_batches_are_dropped_long_before_their_time_limit() -> None:
    """Guards against records of ended batches that stay until their time limit, at any rate of requests."""
    stage = Stage()
    stage.group("repeatable")
    stage.engine(0)
    for number in range(3_000):
        stage.batch(f"b{number}", left="25000")
        stage.answer(f"b{number}", "returned")
    assert not stage.dispatcher.batches
    assert len(stage.dispatcher.timers) <= MAX_STALE_TIMERS + 2 * MAX_TIMERS_PER_BATCH


def test_an_engine_that_leaves_the_list_is_known_until_its_dispatches_have_an_outcome() -> None:
    """Guards against a round that fails: the result of a query that has ended may wait for memory while its
    engine leaves the list."""
    stage = Stage()
    stage.group("repeatable")
    stage.engine(0)
    stage.engine(1)
    stage.batch("a", left="9000")
    ((batch, number), engine) = next(iter(stage.flying.items()))
    stage.round(("query_ended", batch, number, engine))
    assert not stage.dispatcher.engines[engine].threads_in_use
    stage.list_only(1 - engine)
    stage.round(("query_ended", batch, number, engine))  # without effect the second time
    stage.answer("a", "returned")
    assert not stage.dispatcher.batches and not any(stage.dispatcher.fleet_threads)
    stage.list_only(1 - engine)
    assert list(stage.dispatcher.engines) == [1 - engine]

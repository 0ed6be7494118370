"""Races between clients, gateway, engines and directory. Each race is forced: a connect, a write, a response
or a read is held at one point and released on a signal. Tests assert what clients and engines saw, and
when."""

import os
import resource
import signal
import socket as blocking_socket
import subprocess
import sys
from base64 import b64decode
from contextlib import suppress
from time import monotonic

import gevent
import orjson
import pytest
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer
from test_stop import Site, request_line

from pathturn.process.gateway import GatewayProcess
from pathturn.process.settings import build_dispatcher
from pathturn.standins import fleet
from pathturn.wire import jsonrpc
from pathturn.wire.discovery_client import QUERY_INTERVAL_S

# By the protocol no batch is started at an engine later than this after its client has disconnected.
MAX_START_AFTER_DISCONNECT_S = 0.1
# The protocol's limit for cancelling a waiting batch; here it includes a round trip to the engine.
MAX_CANCEL_DELAY_S = 0.3
UNKNOWN_METHOD_LINE = b'{"jsonrpc":"2.0","id":%d,"method":"none"}\n'


def starts_after(rig, at: float, slack: float = MAX_START_AFTER_DISCONNECT_S) -> int:
    """Count the starts that engines received more than `slack` seconds after `at`."""
    return sum(posted > at + slack for engine in rig.engines.values() for posted in engine.start_times)


def count_descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


def cancel_requests(engine) -> int:
    return sum(request[0] == "DELETE" for request in engine.requests)


def wait_until(condition, within: float = 3.0) -> float:
    """Wait until the condition is true and return the time; fail after `within` seconds."""
    with gevent.Timeout(within, AssertionError("the condition did not become true in time")):
        while not condition():
            gevent.sleep(0.002)
    return monotonic()


def hold_connects(rig, monkeypatch, once: bool = False) -> dict[str, "HeldCall"]:
    """Hold connects to engines until released; return them by engine name. With `once`, only the first."""
    connects: dict[str, HeldCall] = {}
    names = {engine.server.address: name for name, engine in rig.engines.items()}

    class HoldingSocket(socket.socket):
        def connect(self, address):
            if (name := names.get(address)) is None or (once and connects):
                return super().connect(address)
            connects[name] = HeldCall(super().connect)
            return connects[name](address)

    monkeypatch.setattr("pathturn.wire.engine_connection.socket.socket", HoldingSocket)
    return connects


class HeldCall:
    """Blocks its clients until `released` is set; `called` is set by the first call."""

    def __init__(self, function) -> None:
        self.function = function
        self.called = Event()
        self.released = Event()

    def __call__(self, *args, **kwargs):
        self.called.set()
        self.released.wait()
        return self.function(*args, **kwargs)


# A client's disconnect or abort takes effect at once.


@pytest.mark.parametrize("abrupt", [False, True])
def test_a_client_that_sends_a_burst_and_disconnects_has_no_batch_started(rig, abrupt) -> None:
    """The reader of the rate-limited connection pauses between chunks, and the EOF is behind unread input."""
    rig.engine("e", "runs:150")
    rig.start()
    burst = b"".join(request_line(number) for number in range(1, 33))
    burst += b"".join(UNKNOWN_METHOD_LINE % number for number in range(33, 2000))
    with socket.create_connection(rig.listen) as client:
        client.sendall(burst)
        wait_until(lambda: len(rig.engines["e"].start_times) >= 4)
        if not abrupt:
            client.shutdown(socket.SHUT_WR)
        disconnected_at = monotonic()
    wait_until(lambda: not len(rig.gateway.facade.batches), 2)
    gevent.sleep(0.5)
    assert starts_after(rig, disconnected_at) == 0


def test_an_abort_behind_many_requests_takes_effect_at_once(rig) -> None:
    rig.engine("e", "runs:5000")
    rig.start()
    with socket.create_connection(rig.listen) as client:
        client.sendall(request_line(1))
        wait_until(lambda: rig.engines["e"].start_times)
        client.sendall(b"".join(UNKNOWN_METHOD_LINE % number for number in range(2, 400)))
        gevent.sleep(0.05)  # by now the connection's reader pauses
        client.sendall(b'{"jsonrpc":"2.0","method":"abort","params":{"id":1}}\n')
        aborted_at = monotonic()
        assert wait_until(lambda: cancel_requests(rig.engines["e"])) - aborted_at < MAX_CANCEL_DELAY_S


def test_an_abort_takes_effect_while_the_client_does_not_read(rig) -> None:
    """An error response is waiting to be written to a slow reader."""
    rig.engine("e", "runs:5000")
    rig.start()
    rig.call(1, "look", patience=1400)
    wait_until(lambda: rig.engines["e"].start_times)
    (connection,) = rig.gateway.client_connections.active
    with connection.writer.lock:
        rig.say(id=2, method="none")
        gevent.sleep(0.05)
        rig.abort(1)
        aborted_at = monotonic()
        assert wait_until(lambda: cancel_requests(rig.engines["e"]), 1) - aborted_at < MAX_CANCEL_DELAY_S
    rig.errored(2)


def test_a_disconnect_after_a_malformed_line_takes_effect_at_once(rig) -> None:
    """Batches received before the malformed line are answered, but only while the client is connected."""
    rig.engine("e", "runs:1000")
    rig.start()
    with socket.create_connection(rig.listen) as client:
        client.sendall(request_line(1) + b"\x00 no line\n")
        wait_until(lambda: rig.engines["e"].start_times)
        gevent.sleep(0.05)
    disconnected_at = monotonic()
    assert wait_until(lambda: cancel_requests(rig.engines["e"]), 0.8) - disconnected_at < MAX_CANCEL_DELAY_S


def test_batches_before_a_malformed_line_are_answered_before_the_connection_closes(rig) -> None:
    rig.engine("e", "runs:200")
    rig.start()
    with socket.create_connection(rig.listen) as client, gevent.Timeout(2):
        client.sendall(request_line(1) + b"\x00 no line\n" + request_line(2))
        with client.makefile("rb") as lines:
            responses = [orjson.loads(response) for response in lines]
    assert sorted((response["id"] or 0, "result" in response) for response in responses) == [
        (0, False),
        (1, True),
    ]
    rig.asked("e", "POST", 1)


def test_a_connect_that_completes_as_its_client_disconnects_sends_no_request(rig, monkeypatch) -> None:
    """Both are ready in the same event loop iteration, and the connect is processed first."""
    rig.engine("e")
    rig.start()
    client = socket.create_connection(rig.listen)
    connects = hold_connects(rig, monkeypatch)
    client.sendall(request_line(1))
    wait_until(lambda: connects)
    connects["e"].released.set()
    client.close()
    gevent.sleep(0.3)
    assert [request[0] for request in rig.engines["e"].requests] == []
    rig.idle()


def test_a_batch_dispatched_before_its_client_disconnected_opens_no_connection(rig, monkeypatch) -> None:
    rig.engine("e")
    rig.start()
    facade = rig.gateway.facade
    connects = []
    dispatched = []
    monkeypatch.setattr(rig.gateway.connection_pool, "connect", lambda *args: connects.append(args) or 1 // 0)
    dispatch = facade.dispatch

    def dispatch_and_withdraw(batch, engine, time_limit_us):
        dispatch(batch, engine, time_limit_us)
        dispatched.append(batch)
        facade.withdraw(facade.batches.by_index[batch])

    monkeypatch.setattr(facade, "dispatch", dispatch_and_withdraw)
    rig.call(1, "look")
    wait_until(lambda: dispatched)
    wait_until(lambda: not len(facade.batches), 1)
    assert connects == []


# Late and duplicate responses of an engine are not taken for the response to the next request.


class DuplicatingEngine:
    """An engine that sends a duplicate of its first response on the same connection some milliseconds later,
    and answers no other request there before it. Each batch has rows of its own. With `duplicate_polls`, the
    duplicate is that of a "still running" response, and a repeated poll for the result is answered slowly."""

    def __init__(self, engine, duplicate_polls: bool = False) -> None:
        self.engine = engine
        self.duplicate_polls = duplicate_polls
        self.pending_duplicates = {}
        engine.send_status = self.send_status

    def send_status(self, connection, ticket):
        if (duplicate_sent := self.pending_duplicates.pop(connection, None)) is not None:
            duplicate_sent.wait()
            gevent.sleep(0.01)
        behaviour, started_at = self.engine.queries[ticket]
        if self.duplicate_polls and behaviour == "rows:1":
            self.engine.queries[ticket] = ("begun", started_at)
            self.send(connection, 202, [], b"", twice=True)
            return
        if behaviour == "result_sent":
            gevent.sleep(0.2)
        self.engine.queries[ticket] = ("result_sent", started_at)
        fields = [("X-Pages", 1), ("X-Cost-Ms", 5), ("X-Needed-Mb", 1)]
        self.send(connection, 200, fields, result_rows(int(ticket, 16)), twice=not self.duplicate_polls)

    def send(self, connection, status, fields, body, twice):
        head = [
            f"HTTP/1.1 {status} said",
            *(f"{name}: {value}" for name, value in fields),
            f"Content-Length: {len(body)}",
            "",
            "",
        ]
        response = "\r\n".join(head).encode() + body
        connection.sendall(response)
        if twice:
            self.pending_duplicates[connection] = sent = Event()
            gevent.spawn_later(0.01, lambda: (connection.sendall(response), sent.set()))


def result_rows(number: int) -> bytes:
    return f"a\tb\t{number}\n".encode()


def returned_rows(rig, number: int) -> bytes:
    return b64decode(rig.answered(number).get("result", {}).get("data", ""))


def test_a_duplicate_response_is_not_taken_for_the_response_to_the_next_request(rig) -> None:
    rig.engine("e")
    DuplicatingEngine(rig.engines["e"])
    rig.start()
    for number in (1, 2, 3):
        rig.call(number, "look")
        wait_until(lambda number=number: number in rig.answers)
    assert [returned_rows(rig, number) for number in (1, 2, 3)] == [
        result_rows(number) for number in (1, 2, 3)
    ]


def test_a_duplicate_poll_response_does_not_shift_later_responses(rig) -> None:
    """Guards against responses shifted by one request: were the duplicate of a "still running" response taken
    for the response to the next poll, each later request on the connection would get the previous response,
    however long the connection was idle in between."""
    rig.engine("e")
    DuplicatingEngine(rig.engines["e"], duplicate_polls=True)
    rig.start()
    for number in range(1, 5):
        rig.call(number, "look")
        assert returned_rows(rig, number) == result_rows(number)
        gevent.sleep(0.08)


def test_a_late_poll_response_does_not_confirm_a_cancellation(rig) -> None:
    """Guards against two batches of a key at once: the next one may only start when the execution of the
    cancelled one is confirmed to have ended, and here it is still running."""
    rig.set("rules.keyQuietUs", "20000")
    rig.engine("e")
    engine = rig.engines["e"]
    release = Event()
    held_responses = []
    answer = engine.respond

    def answer_cancel_late(connection, status, fields=(), body=b""):
        if status == 204 and not held_responses:
            held_responses.append(monotonic())
            answer(connection, 202)
            gevent.spawn(lambda: release.wait() and answer(connection, 204))
        else:
            answer(connection, status, fields, body)

    def answer_poll_late(connection, ticket):
        gevent.sleep(0.05)
        answer(connection, 202)

    engine.respond = answer_cancel_late
    engine.send_status = answer_poll_late
    rig.start()
    rig.call(1, "load", key="k", patience=3000)
    wait_until(lambda: engine.start_times)
    rig.abort(1)
    rig.call(2, "load", key="k", patience=3000)
    wait_until(lambda: held_responses)
    gevent.sleep(0.25)
    assert len(engine.start_times) == 1
    release.set()
    wait_until(lambda: len(engine.start_times) == 2)


# A start that reaches the engine late.


class DelayingProxy:
    """A TCP proxy in front of an engine that delivers the requests of its first connection late, even after
    the gateway has closed that connection. Other connections are not delayed."""

    def __init__(self, engine_address, delay_s: float) -> None:
        self.engine_address = engine_address
        self.delay_s = delay_s
        self.is_first = True
        self.server = StreamServer(("127.0.0.1", 0), self.handle)
        self.server.start()

    def handle(self, downstream, peer):
        delayed = self.is_first
        self.is_first = False
        with socket.create_connection(self.engine_address) as upstream:
            responses = gevent.spawn(self.forward, upstream, downstream)
            with suppress(OSError):
                while chunk := downstream.recv(65_536):
                    if delayed:
                        gevent.sleep(self.delay_s)
                    upstream.sendall(chunk)
            gevent.sleep(self.delay_s if delayed else 0)
            responses.kill()

    def forward(self, source, sink):
        with suppress(OSError):
            while chunk := source.recv(65_536):
                sink.sendall(chunk)


@pytest.mark.parametrize("group", ["load", "book"])
def test_a_start_that_arrives_after_its_cancel_does_not_overlap_the_next_of_its_key(rig, group) -> None:
    rig.engine("e", "runs:4000")
    proxy = rig.proxies["e"] = DelayingProxy(rig.engines["e"].server.address, 1.0)
    rig.start()
    rig.call(1, group, key="k", patience=4000)
    gevent.sleep(0.1)
    rig.abort(1)
    rig.call(2, group, key="k", patience=4900)
    wait_until(lambda: len(rig.engines["e"].start_times) == 2, 5)
    runs = sorted(run[1:] for run in rig.engines["e"].executions.values())
    assert runs[0][1] <= runs[1][0], "both batches of the key ran at once"
    proxy.server.stop(0)


# An evicted connection loses no data that was written on it.


def test_a_batch_that_arrives_during_eviction_does_not_lose_the_previous_response(rig, monkeypatch) -> None:
    """Guards against a reset on eviction: a batch arrives between the check of the socket and the close.
    Closing a socket with unread input resets the connection, and the client loses a response it has not read
    yet."""
    rig.sockets(64)
    rig.engine("e")
    rig.start()
    cap = rig.gateway.client_connections.cap
    client = socket.create_connection(rig.listen)
    client.sendall(request_line(1))
    wait_until(
        lambda: any(
            connection.batches_received and not connection.has_pending_answers
            for connection in rig.gateway.client_connections.active
        )
    )
    evicted = next(
        connection for connection in rig.gateway.client_connections.active if connection.batches_received
    )
    evicted.last_active_us = 0  # idle for the longest time
    safe_to_close = type(evicted).safe_to_close

    def send_after_check(self):
        is_safe = safe_to_close(self)
        if is_safe and self is evicted:
            client.sendall(request_line(2))
        return is_safe

    monkeypatch.setattr(type(evicted), "safe_to_close", send_after_check)
    others = [socket.create_connection(rig.listen) for _ in range(cap)]
    gevent.sleep(0.2)
    with gevent.Timeout(2), client.makefile("rb") as lines:
        response_ids = [orjson.loads(response)["id"] for response in lines]
    assert response_ids == [1]
    rig.asked("e", "POST", 1)
    for other in others:
        other.close()


def test_an_evicted_client_that_never_closes_is_disconnected_after_a_timeout(rig) -> None:
    rig.sockets(64)
    rig.engine("e")
    rig.start()
    cap = rig.gateway.client_connections.cap
    others = [socket.create_connection(rig.listen) for _ in range(3 * cap)]
    client_connections = rig.gateway.client_connections
    wait_until(lambda: len(client_connections) <= cap + client_connections.max_half_closed)
    assert len(client_connections) <= cap + client_connections.max_half_closed
    wait_until(lambda: len(client_connections) <= 1, 5)
    for other in others:
        other.close()


# File descriptors are exhausted, and the directory is down.


def test_clients_accepted_at_once_use_no_descriptor_reserved_for_others(rig, monkeypatch) -> None:
    rig.sockets(64)
    rig.engine("e")
    rig.start()
    client_connections = rig.gateway.client_connections
    counts = []
    admit = client_connections.admit
    count_before = count_descriptors()
    monkeypatch.setattr(
        client_connections,
        "admit",
        lambda connection: counts.append(count_descriptors()) or admit(connection),
    )
    # Blocking sockets: all are connected before the first one is accepted.
    clients = [blocking_socket.create_connection(rig.listen) for _ in range(90)]
    wait_until(lambda: len(counts) >= 90)
    assert (
        max(counts) - count_before - len(clients)
        <= client_connections.cap + client_connections.max_half_closed + 1
    )
    for client in clients:
        client.close()


def test_idle_clients_that_use_up_descriptors_block_neither_discovery_nor_dispatch_nor_shutdown(
    tmp_path,
) -> None:
    site = Site(tmp_path)
    site.socket_limit = 96
    site.engine("e")
    site.engine("f")
    site.directory_drops_queries = True

    def limit_descriptors():
        resource.setrlimit(resource.RLIMIT_NOFILE, (site.socket_limit, site.socket_limit))

    popen = subprocess.Popen

    def start_limited(command, **kwargs):
        return popen(command, preexec_fn=limit_descriptors, **kwargs)

    subprocess.Popen = start_limited
    try:
        with site.process():
            clients = [socket.create_connection(site.listen) for _ in range(200)]
            for _ in range(3):
                for client in clients[::2]:
                    with suppress(OSError):
                        client.sendall(b'{"jsonrpc":"2.0","id":1,"method":"ping"}\n')
                gevent.sleep(0.1)
            client = site.client()
            for _ in range(20):
                client.send("look")
            wait_until(lambda: sum(client.outcomes["look"].values()) == 20)
            assert client.outcomes["look"]["returned"] == 20
            site.directory_drops_queries = False
            site.set_state("e", "draining")
            gevent.sleep(4 * QUERY_INTERVAL_S)
            posts_before = len(site.engines["e"].start_requests())
            late_client = site.client()
            for _ in range(20):
                late_client.send("look")
            wait_until(lambda: sum(late_client.outcomes["look"].values()) == 20)
            assert (
                len(site.engines["e"].start_requests()) == posts_before
                and late_client.outcomes["look"]["returned"] == 20
            )
            site.terminate()
            site.wait_exited(3.7)
            for client in clients:
                client.close()
    finally:
        subprocess.Popen = popen


# A directory that does not answer, and list updates while a dispatch is pending.


def test_a_drain_that_arrives_while_a_dispatch_waits_for_its_connection_is_respected(
    rig, monkeypatch
) -> None:
    """A once-only batch that was never started may be dispatched to another engine."""
    rig.engine("e")
    rig.engine("f")
    rig.start()
    connects = hold_connects(rig, monkeypatch, once=True)
    rig.call(1, "pay", patience=1400)
    wait_until(lambda: connects)
    ((name, connect),) = connects.items()
    rig.set_state(name, "draining")
    wait_until(lambda: len(rig.gateway.facade.engine_registry.ready) == 1)
    connect.released.set()
    rig.returned(1)
    rig.asked(name, "POST", 0)
    rig.asked("f" if name == "e" else "e", "POST", 1)


def test_a_connect_after_its_timeout_sends_no_request_and_the_batch_is_retried_once_elsewhere(
    rig, monkeypatch
) -> None:
    rig.engine("e")
    rig.engine("f")
    rig.start()
    timed_out_addresses = []
    connect = socket.socket.connect

    class TimingOutSocket(socket.socket):
        def connect(self, address):
            if not timed_out_addresses:
                timed_out_addresses.append(address)
                gevent.sleep(0.15)
                raise TimeoutError
            connect(self, address)

    monkeypatch.setattr("pathturn.wire.engine_connection.socket.socket", TimingOutSocket)
    rig.call(1, "pay", patience=1400)
    rig.returned(1)
    posts = {engine.server.address: len(engine.start_requests()) for engine in rig.engines.values()}
    assert posts.pop(timed_out_addresses[0]) == 0 and list(posts.values()) == [1]


def test_an_engine_that_returns_under_its_id_at_a_new_address_gets_its_batches_there(rig) -> None:
    """No request is sent on connections still open to the old address."""
    rig.engine("e")
    rig.start()
    rig.call(1, "pay")
    rig.returned(1)
    old_engine = rig.engines["e"]
    rig.engine("e", "rows:2")
    rig.serial += 1
    new_address = rig.engines["e"].server.address
    wait_until(
        lambda: {endpoint[1] for endpoint in rig.gateway.facade.engine_registry.endpoint_of.values()}
        == {new_address}
    )
    rig.call(2, "pay")
    rig.returned(2, 2)
    assert len(old_engine.start_requests()) == 1
    rig.idle()
    old_engine.server.stop(0)


def test_a_lost_directory_response_does_not_delay_the_next(rig, monkeypatch) -> None:
    rig.engine("e")
    rig.engine("f")
    queried_at = []
    answer = rig.answer_directory_query

    def lose_one_response(packet, peer):
        queried_at.append(monotonic())
        if "e" in rig.states and rig.states["e"] == "draining" and not lost_at:
            lost_at.append(monotonic())
            return
        answer(packet, peer)

    lost_at = []
    monkeypatch.setattr(rig, "answer_directory_query", lose_one_response)
    rig.start()
    wait_until(lambda: len(queried_at) >= 2)
    rig.set_state("e", "draining")
    wait_until(lambda: lost_at)
    received_at = wait_until(lambda: len(rig.gateway.facade.engine_registry.ready) == 1)
    assert received_at - lost_at[0] < QUERY_INTERVAL_S + MAX_CANCEL_DELAY_S


def test_directory_responses_slower_than_the_query_interval_are_processed(rig, monkeypatch) -> None:
    rig.engine("e")
    rig.engine("f")
    answer = rig.answer_directory_query
    monkeypatch.setattr(rig, "answer_directory_query", lambda *args: gevent.sleep(0.4) or answer(*args))
    rig.start()
    rig.set_state("e", "draining")
    wait_until(lambda: len(rig.gateway.facade.engine_registry.ready) == 1, 2)


def test_an_older_list_that_arrives_after_a_newer_one_is_ignored(rig, monkeypatch) -> None:
    """Two queries are in flight at once; the first is answered last, with the list from before the drain."""
    rig.engine("e")
    rig.engine("f")
    answer = rig.answer_directory_query
    first_query = {}

    def answer_first_query_last(packet, peer):
        if "held" not in first_query:
            first_query["held"] = (packet, peer, dict(rig.states), rig.serial)
            return
        if len(first_query) < 2 and rig.states["e"] == "draining":
            answer(packet, peer)
            first_query["sent"] = True
            states, serial = rig.states, rig.serial
            held_packet, held_peer, rig.states, rig.serial = first_query["held"]
            answer(held_packet, held_peer)
            rig.states, rig.serial = states, serial
            return
        answer(packet, peer)

    monkeypatch.setattr(rig, "answer_directory_query", answer_first_query_last)
    rig.start()
    wait_until(lambda: "held" in first_query)
    rig.set_state("e", "draining")
    wait_until(lambda: len(rig.gateway.facade.engine_registry.ready) == 1, 2)
    gevent.sleep(0.2)
    assert len(rig.gateway.facade.engine_registry.ready) == 1


# Gateways with different settings in one process.


def test_two_gateways_with_different_settings_in_one_process_share_no_state() -> None:
    """Guards against settings kept in module state: groups, dispatch limits, cancelling and quiet periods."""
    other = fleet.settings()
    other["classes"] = [
        {
            "name": "peek",
            "promiseUs": 300_000,
            "deadlineUs": 900_000,
            "effect": "fragile",
            "worth": 2.0,
            "lateValue": 0.5,
        }
    ]
    other["limits"] |= {"maxAttempts": 2, "retryAfter": False, "secondCopies": False, "cancel": False}
    other["rules"] = {
        "keyQuietUs": 90_000,
        "budgetSpanUs": 1_000_000,
        "freeResends": 1,
        "extraPerRequest": 0.1,
    }
    first, first_groups = build_dispatcher(1, fleet.settings())
    second, second_groups = build_dispatcher(1, other)
    third, third_groups = build_dispatcher(1, fleet.settings())
    assert list(second_groups) == ["peek"] and list(first_groups) == list(third_groups) == list(fleet.GROUPS)

    def limits(dispatcher) -> tuple:
        return (
            dispatcher.max_dispatches,
            dispatcher.may_cancel,
            dispatcher.max_retry_after_us,
            dispatcher.key_queues.quiet_us,
        )

    assert [limits(dispatcher) for dispatcher in (first, third)] == [(4, True, 500_000, 300_000)] * 2
    assert limits(second) == (2, False, 0, 90_000)
    shared_state = [
        name
        for name, value in vars(first).items()
        if isinstance(value, (dict, list, set)) and value is getattr(second, name)
    ]
    assert shared_state == []


def test_two_gateways_in_one_process_each_apply_their_own_settings(rig) -> None:
    """After a connection reset, which leaves open whether the batch ran, only a gateway whose settings make
    it repeatable retries it."""
    rig.engine("e", "reset", "rows:1", "reset", "rows:1")
    rig.start()
    other = fleet.settings()
    other["classes"] = [{**other["classes"][0], "effect": "fragile"}]
    config = rig.configuration("{}:{}".format(*fleet.free_address()))
    second = GatewayProcess({**config, "settings": other})
    second.server.start()
    running = gevent.spawn(second.run)
    try:
        with socket.create_connection(second.server.address) as client, gevent.Timeout(3):
            client.sendall(request_line(1))
            responses = client.makefile("rb")
            assert orjson.loads(responses.readline())["error"]["code"] == jsonrpc.ERRORED
            rig.asked("e", "POST", 1)
            for number in (11, 12):
                rig.call(number, "look")
                rig.returned(number)
            rig.asked("e", "POST", 4)
            client.sendall(request_line(2).replace(b'"look"', b'"load"'))
            assert orjson.loads(responses.readline())["error"]["code"] == jsonrpc.METHOD_NOT_FOUND
    finally:
        second.close()
        running.kill()


def test_a_gateway_is_ready_at_once_with_directory_and_engines_unreachable() -> None:
    settings = fleet.settings()
    listen = fleet.free_address()
    config = {
        "name": "n0",
        "listen": "{}:{}".format(*listen),
        "seed": "0f",
        "settings": settings,
        "limits": {"sockets": 256, "memory_mb": 64, "cores": 0.25},
        "names": "127.0.0.1:1",
        "known": {"index": 0, "updates": []},
    }
    running = subprocess.Popen(
        [
            sys.executable,
            "-c",
            "import sys; from pathlib import Path; "
            "from pathturn.process.start import serve; serve(Path('/dev/stdin'), None)",
        ],
        stdin=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    try:
        running.stdin.write(orjson.dumps(config))
        running.stdin.close()
        started_at = monotonic()
        with gevent.Timeout(10):
            while True:
                try:
                    with socket.create_connection(listen) as client:
                        client.sendall(b'{"jsonrpc":"2.0","id":1,"method":"ping"}\n')
                        assert b'"healthy":true' in client.recv(200)
                    break
                except ConnectionRefusedError:
                    gevent.sleep(0.01)
        assert monotonic() - started_at < 3
    finally:
        running.kill()
        running.wait()


@pytest.mark.parametrize("step", range(8))
def test_sigterm_during_startup_ends_the_process_without_a_traceback(tmp_path, step) -> None:
    """No batch was accepted by then. Before the handler is installed, the signal's default action applies."""
    site = Site(tmp_path)
    site.engine("e")
    site.config.write_bytes(orjson.dumps(site.configuration("{}:{}".format(*site.listen))))
    with (tmp_path / "log").open("wb") as log:
        running = subprocess.Popen([sys.executable, "-m", "pathturn", "serve", str(site.config)], stderr=log)
        try:
            gevent.sleep(0.05 * step)
            running.terminate()
            with gevent.Timeout(4):
                while running.poll() is None:
                    gevent.sleep(0.01)
            assert running.returncode in (0, -signal.SIGTERM)
            assert "Traceback" not in (tmp_path / "log").read_text()
        finally:
            running.kill()
            running.wait()
            site.stop()

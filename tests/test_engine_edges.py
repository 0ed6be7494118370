"""Race conditions between the gateway and engines: data after a response, incomplete responses, the window
for retries, connections established late or closed early. Each race is forced, and verified by the requests
that the engines received and the answers of the client."""

import gc
import socket as plain
import struct
import time
from contextlib import contextmanager, suppress
from functools import partial
from time import monotonic

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer
from test_close_range import HeldCall, count_descriptors, starts_after, wait_until

from pathturn.core import interface as names
from pathturn.wire.engine_connection import EngineConnection, nothing_to_read

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
PARTIAL_RESPONSES = {
    "status_line": b"HTTP/1.1 2",
    "reason": b"HTTP/1.1 200 ",
    "field_name": b"HTTP/1.1 200 OK\r\nX-Pages: 1\r\nX-Cost",
    "field_value": b"HTTP/1.1 200 OK\r\nX-Pages: 1\r\nX-Cost-Ms: ",
    "body": b"HTTP/1.1 200 OK\r\nX-Pages: 1\r\nContent-Length: 6\r\n\r\na\tb",
    # Error statuses: a connection that received one is not reused, so these are no duplicates.
    "failed": b"HTTP/1.1 500 ",
    "full": b"HTTP/1.1 503 full\r\nX-Shed: 1\r\nX-Value: ",
}
RETRY_WINDOW_S = 1.0
PATIENCE_MS = 4000


@pytest.fixture
def rig(rig):
    """Extends the time limit of each service group: processes on a busy machine may stall for a second."""
    for entry in rig.settings["classes"]:
        entry["deadlineUs"] = max(entry["deadlineUs"], 7_000_000)
    rig.call = partial(rig.call, patience=PATIENCE_MS)
    return rig


def reset(connection) -> None:
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()


def encode_response(status, fields, body) -> bytes:
    head = [
        f"HTTP/1.1 {status} Reason",
        *(f"{name}: {value}" for name, value in fields),
        f"Content-Length: {len(body)}",
        "",
        "",
    ]
    return "\r\n".join(head).encode() + body


def idle_connections(rig) -> list[EngineConnection]:
    return [connection for idle in rig.gateway.connection_pool.idle.values() for connection in idle]


def count_starts(rig) -> int:
    return sum(len(engine.start_requests()) for engine in rig.engines.values())


# A partial response after a complete one.


class AppendsData:
    """Makes an engine append `data` in the same segment to each response that `selects` chooses. Records the
    connection of the last response."""

    def __init__(self, engine, data: bytes = b"", selects=lambda status, fields: True) -> None:
        self.data = data
        self.selects = selects
        self.connection = None
        engine.respond = self.answer

    def answer(self, connection, status, fields=(), body=b""):
        self.connection = connection
        data = self.data if self.selects(status, dict(fields)) else b""
        connection.sendall(encode_response(status, fields, body) + data)


@pytest.mark.parametrize("partial_response", PARTIAL_RESPONSES)
@pytest.mark.parametrize("pages", [1, 3])
def test_a_partial_response_in_the_segment_of_a_complete_one_has_no_effect(
    rig, partial_response, pages
) -> None:
    rig.engine("e", f"rows:{pages}", "rows:2")
    AppendsData(rig.engines["e"], PARTIAL_RESPONSES[partial_response])
    rig.start()
    for number, expected in ((1, pages), (2, 2)):
        rig.call(number, "pay")
        rig.returned(number, expected)
        assert idle_connections(rig) == []
    assert count_starts(rig) == 2
    rig.idle()


@pytest.mark.parametrize("partial_response", PARTIAL_RESPONSES)
def test_a_partial_response_in_the_segment_of_a_poll_response_has_no_effect(rig, partial_response) -> None:
    rig.engine("e", "runs:120", "rows:2")
    AppendsData(rig.engines["e"], PARTIAL_RESPONSES[partial_response], lambda status, fields: status == 202)
    rig.start()
    for number, expected in ((1, 1), (2, 2)):
        rig.call(number, "pay")
        rig.returned(number, expected)
    assert count_starts(rig) == 2
    rig.idle()


@pytest.mark.parametrize("partial_response", PARTIAL_RESPONSES)
def test_a_partial_response_on_an_idle_connection_is_noticed_when_it_is_acquired(
    rig, partial_response
) -> None:
    rig.engine("e", "rows:1", "rows:2")
    appends = AppendsData(rig.engines["e"])
    rig.start()
    rig.call(1, "pay")
    rig.returned(1)
    (connection,) = idle_connections(rig)
    appends.connection.sendall(PARTIAL_RESPONSES[partial_response])
    wait_until(lambda: not connection.is_usable())
    rig.call(2, "pay")
    rig.returned(2, 2)
    assert connection.socket.closed and count_starts(rig) == 2
    rig.asked("e", "GET", 1)  # page 1 of the second; no request was repeated
    rig.idle()


def interleave(monkeypatch, connection: EngineConnection, action) -> None:
    """Run `action` once, between the check of the idle connection and the next request, which waits until the
    effect of the action has arrived."""
    is_usable = EngineConnection.is_usable
    done = []

    def check_then_act(self):
        usable = is_usable(self)
        if usable and self is connection and not done:
            done.append(True)
            action()
            wait_until(lambda: not nothing_to_read(self.socket))
        return usable

    monkeypatch.setattr(EngineConnection, "is_usable", check_then_act)


@pytest.mark.parametrize("word", ["rows:2", "runs:120"])
@pytest.mark.parametrize("partial_response", PARTIAL_RESPONSES)
def test_a_partial_response_that_crosses_the_next_start_is_not_taken_for_its_response(
    rig, monkeypatch, partial_response, word
) -> None:
    """It arrives after the check of the connection, directly before the response that follows."""
    rig.engine("e", "rows:1", word)
    appends = AppendsData(rig.engines["e"])
    rig.start()
    rig.call(1, "pay")
    rig.returned(1)
    (connection,) = idle_connections(rig)
    interleave(
        monkeypatch, connection, lambda: appends.connection.sendall(PARTIAL_RESPONSES[partial_response])
    )
    rig.call(2, "pay")
    rig.returned(2, 2 if word == "rows:2" else 1)
    assert count_starts(rig) == 2
    rig.idle()


# Responses that are truncated, never end, or arrive duplicate_after_delay.


def partial_head_then_close(connection, response):
    connection.sendall(response[:25])
    connection.close()


def partial_head_then_reset(connection, response):
    connection.sendall(response[:25])
    reset(connection)


def partial_body_then_close(connection, response):
    connection.sendall(response[:-3])
    connection.close()


def partial_body_then_reset(connection, response):
    connection.sendall(response[:-3])
    reset(connection)


def partial_head_then_silence(connection, response):
    connection.sendall(response[:25])


def partial_body_then_silence(connection, response):
    connection.sendall(response[:-3])


def endless_header(connection, response):
    head, _, _ = response.partition(b"\r\n\r\n")
    with suppress(OSError):
        connection.sendall(head + b"\r\nX-More: " + b"1" * 200_000)


def duplicate_after_delay(connection, response):
    def again():
        with suppress(OSError):
            connection.sendall(response)

    connection.sendall(response)
    gevent.spawn_later(0.005, again)


def duplicate_before_next_response(connection, response):
    """`FaultyResponses` sends the duplicate immediately before the response to the next request."""
    connection.sendall(response)


FAULTS = [
    partial_head_then_close,
    partial_head_then_reset,
    partial_body_then_close,
    partial_body_then_reset,
    partial_head_then_silence,
    partial_body_then_silence,
    endless_header,
    duplicate_after_delay,
    duplicate_before_next_response,
]
POLL_FAULTS = [
    partial_head_then_close,
    partial_head_then_reset,
    partial_head_then_silence,
    endless_header,
]  # the response to a poll has no body


class FaultyResponses:
    """Makes an engine send a faulty response instead of the first one that `selects` chooses, or of all."""

    def __init__(self, engine, fault, selects, always: bool = False) -> None:
        self.fault = fault
        self.selects = selects
        self.always = always
        self.faults = 0
        self.duplicates = {}
        self.correct_answer = engine.respond
        engine.respond = self.answer

    def answer(self, connection, status, fields=(), body=b""):
        if (duplicate := self.duplicates.pop(connection, None)) is not None:
            connection.sendall(duplicate)
            gevent.sleep(0.01)
        if (self.faults and not self.always) or not self.selects(status, dict(fields)):
            with suppress(OSError):  # a gateway that received a duplicate may have closed the connection
                self.correct_answer(connection, status, fields, body)
            return
        self.faults += 1
        if self.fault is duplicate_before_next_response:
            self.duplicates[connection] = encode_response(status, fields, body)
        self.fault(connection, encode_response(status, fields, body))


def is_result(status, fields) -> bool:
    return status == 200 and "X-Pages" in fields


def is_page(number, status, fields) -> bool:
    return status == 200 and fields.get("X-Page") == str(number)


def is_running(status, fields) -> bool:
    return status == 202


@pytest.mark.parametrize("group", ["pay", "load"])
@pytest.mark.parametrize(
    "selects", [is_result, partial(is_page, 1), partial(is_page, 2)], ids=["result", "page", "last_page"]
)
@pytest.mark.parametrize("fault", FAULTS)
def test_a_faulty_response_is_requested_again_and_the_query_started_once(rig, fault, selects, group) -> None:
    rig.engine("e", "rows:3", "rows:2")
    faulty = FaultyResponses(rig.engines["e"], fault, selects)
    rig.start()
    rig.call(1, group)
    rig.returned(1, 3)
    gevent.sleep(0.01)  # the duplicate has arrived by now
    rig.call(2, group)
    rig.returned(2, 2)
    assert faulty.faults == 1 and count_starts(rig) == 2
    rig.idle()


@pytest.mark.parametrize("group", ["load", "book"])
@pytest.mark.parametrize("fault", POLL_FAULTS)
def test_the_next_batch_of_a_key_waits_while_a_faulty_poll_response_is_requested_again(
    rig, fault, group
) -> None:
    """The query runs all the time."""
    rig.set("rules.keyQuietUs", "20000")
    rig.engine("e", "runs:700", "rows:2")
    rig.engine("f", "runs:700", "rows:2")
    faulty = {name: FaultyResponses(engine, fault, is_running) for name, engine in rig.engines.items()}
    rig.start()
    rig.call(1, group, key="k")
    wait_until(lambda: count_starts(rig))
    rig.call(2, group, key="k")
    first = next(name for name, engine in rig.engines.items() if engine.start_requests())
    rig.returned(1)
    assert faulty[first].faults == 1
    wait_until(lambda: 2 in rig.answers)
    rig.answered(2)
    assert count_starts(rig) == 2
    rig.apart(group)
    rig.idle()


@pytest.mark.parametrize("group", ["load", "book"])
def test_the_next_batch_of_a_key_waits_for_the_confirmation_after_faulty_poll_responses(rig, group) -> None:
    """The query still runs, and the response to the cancel request is held."""
    rig.set("rules.keyQuietUs", "20000")
    rig.set("limits.maxAttempts", "1")
    rig.engine("e", "runs:9000", "rows:2")
    engine = rig.engines["e"]
    release = Event()
    FaultyResponses(engine, partial_head_then_close, is_running, always=True)
    answer = engine.respond

    def hold_cancel_response(connection, status, fields=(), body=b""):
        if status == 204:
            release.wait()
        with suppress(OSError):
            answer(connection, status, fields, body)

    engine.respond = hold_cancel_response
    rig.start()
    rig.call(1, group, key="k")
    wait_until(lambda: count_starts(rig))
    rig.call(2, group, key="k")
    wait_until(lambda: any(each[0] == "DELETE" for each in engine.requests))
    (rig.pushed_back if group == "load" else rig.errored)(1)
    gevent.sleep(0.2)
    assert count_starts(rig) == 1
    release.set()
    rig.returned(2, 2)
    assert count_starts(rig) == 2
    rig.idle()


@pytest.mark.parametrize(
    ("end", "group"), [(reset, "pay"), (reset, "load"), (reset, "book"), (socket.socket.close, "book")]
)
def test_a_connection_closed_a_second_into_the_query_costs_neither_rows_nor_a_second_start(
    rig, end, group
) -> None:
    rig.engine("e", "runs:1300", "rows:2")
    engine = rig.engines["e"]
    closed = []
    send_status = engine.send_status

    def close_after_a_second(connection, ticket):
        word, since = engine.queries[ticket]
        if word == "runs:1300" and monotonic() - since >= 1.0 and not closed:
            closed.append(ticket)
            end(connection)
            return
        send_status(connection, ticket)

    engine.send_status = close_after_a_second
    rig.start()
    rig.call(1, group, key="k")
    wait_until(lambda: engine.start_times)
    if group != "pay":
        rig.call(2, group, key="k")
    rig.returned(1)
    assert closed == [f"{1:016x}"]
    if group == "pay":
        assert count_starts(rig) == 1
    else:
        rig.returned(2, 2)
        rig.apart(group)
        assert count_starts(rig) == 2
    rig.idle()


# Retries start only within the window in which engines deduplicate them.


class RetriedBatch:
    """Two engines that reset the first start, which may have run; records the outcomes of all dispatches."""

    def __init__(self, rig, scope: str) -> None:
        self.rig = rig
        self.outcomes = []
        rig.set("limits.dialTimeoutUs", "1000000")
        rig.settings["classes"][2] |= {"memorySpanUs": int(RETRY_WINDOW_S * 1e6), "group": scope}
        rig.engine("e")
        rig.engine("f")
        # Shared: whichever gets the first start resets it, the other one would serve the retry.
        rig.engines["e"].behaviours = rig.engines["f"].behaviours = ["reset", "rows:2"]
        rig.start()
        self.report = rig.gateway.facade.report_outcome
        rig.gateway.facade.report_outcome = self.record_outcome

    def record_outcome(self, dispatch, outcome, *details):
        self.outcomes.append(outcome)
        self.report(dispatch, outcome, *details)

    def is_retry_engine(self, address) -> bool:
        """Return whether another engine has received the first start, and this one none."""
        started = {engine.server.address for engine in self.rig.engines.values() if engine.start_times}
        return bool(started) and address not in started

    def started_at(self) -> float:
        return min(at for engine in self.rig.engines.values() for at in engine.start_times)


def hold_connect(batch, monkeypatch) -> HeldCall:
    """The connection for the retry is established late."""
    held = HeldCall(lambda: None)

    class HeldConnect(socket.socket):
        def connect(self, address):
            if batch.is_retry_engine(address):
                held()
            super().connect(address)

    monkeypatch.setattr("pathturn.wire.engine_connection.socket.socket", HeldConnect)
    return held


def hold_slot(batch, monkeypatch) -> HeldCall:
    """The connection limit is reached when the retry is sent."""
    connection_pool = batch.rig.gateway.connection_pool
    held = HeldCall(lambda: None)
    acquire = connection_pool.acquire

    def held_acquire(endpoint, new=False):
        if batch.is_retry_engine(endpoint[1]):
            held()
        return acquire(endpoint, new)

    monkeypatch.setattr(connection_pool, "acquire", held_acquire)
    return held


def stall_process(batch, monkeypatch) -> HeldCall:
    """The whole process stalls until the window is over."""
    connection_pool = batch.rig.gateway.connection_pool
    held = HeldCall(lambda: None)
    acquire = connection_pool.acquire

    def held_acquire(endpoint, new=False):
        if batch.is_retry_engine(endpoint[1]) and not held.called.is_set():
            held.called.set()
            time.sleep(max(0, batch.started_at() + 1.05 * RETRY_WINDOW_S - monotonic()))
        return acquire(endpoint, new)

    monkeypatch.setattr(connection_pool, "acquire", held_acquire)
    return held


@pytest.mark.parametrize(("scope", "end"), [("all", "pushed_back"), ("cell", "errored")])
@pytest.mark.parametrize("hold", [hold_connect, hold_slot, stall_process])
def test_a_retry_whose_connection_is_available_after_the_window_is_not_sent(
    rig, monkeypatch, hold, scope, end
) -> None:
    """Decided within the window, it would run a second time: the engines have forgotten the first start."""
    batch = RetriedBatch(rig, scope)
    held = hold(batch, monkeypatch)
    rig.call(1, "load")
    with gevent.Timeout(0.9 * RETRY_WINDOW_S, AssertionError("no retry was decided")):
        held.called.wait()
    gevent.sleep(max(0, batch.started_at() + 1.05 * RETRY_WINDOW_S - monotonic()))
    held.released.set()
    rig.answered(1)
    assert starts_after(rig, batch.started_at(), RETRY_WINDOW_S) == 0, "a retry started after the window"
    assert count_starts(rig) == 1
    assert batch.outcomes[0] == names.RESET and set(batch.outcomes[1:]) <= names.NEVER_RAN
    getattr(rig, end)(1)
    rig.idle()


@pytest.mark.parametrize("hold", [hold_connect, hold_slot])
def test_a_retry_whose_connection_is_available_within_the_window_is_sent(rig, monkeypatch, hold) -> None:
    batch = RetriedBatch(rig, "all")
    held = hold(batch, monkeypatch)
    rig.call(1, "load")
    with gevent.Timeout(0.5 * RETRY_WINDOW_S, AssertionError("no retry was decided")):
        held.called.wait()
    held.released.set()
    rig.returned(1, 2)
    assert count_starts(rig) == 2 and starts_after(rig, batch.started_at(), RETRY_WINDOW_S) == 0
    assert batch.outcomes == [names.RESET, names.RETURNED]
    rig.idle()


# Small requests are sent without delay.


def test_connections_to_engines_set_tcp_nodelay(rig, monkeypatch) -> None:
    rig.engine("e", "rows:3")
    options = []
    address = rig.engines["e"].server.address

    class RecordsNodelay(socket.socket):
        def sendall(self, *arguments):
            with suppress(OSError):
                if self.getpeername() == address:
                    options.append(self.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
            return super().sendall(*arguments)

    monkeypatch.setattr("pathturn.wire.engine_connection.socket.socket", RecordsNodelay)
    rig.start()
    rig.call(1, "pay")
    rig.returned(1, 3)
    assert len(options) == 3 and all(options)


# Connections that are established slowly.


class FullBacklog:
    """A listener at an engine's address whose backlog is full: connecting peers get no reply, and their
    kernel retransmits after a second. From `make_room` on connections are established."""

    def __init__(self) -> None:
        self.server = self
        self.address = None
        self.listener = plain.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.listener.setblocking(False)
        self.address = self.listener.getsockname()
        self.fillers = []
        while not self.fillers or self.is_established(self.fillers[-1]):
            self.fillers.append(plain.socket())
            self.fillers[-1].setblocking(False)
            self.fillers[-1].connect_ex(self.address)
            gevent.sleep(0.02)
        self.fillers.pop().close()  # the one beyond the backlog

    def is_established(self, connection) -> bool:
        try:
            connection.getpeername()
        except OSError:
            return False
        return True

    def make_room(self) -> None:
        """Accept and close the connections that fill the backlog."""
        for connection in self.accepted():
            connection.close()
        for connection in self.fillers:
            connection.close()

    def accepted(self) -> list[plain.socket]:
        found = []
        with suppress(BlockingIOError):
            while True:
                found.append(self.listener.accept()[0])
        return found

    def stop(self, timeout=None) -> None:
        for connection in (self.listener, *self.fillers):
            connection.close()


@contextmanager
def no_garbage_collection():
    """Disable garbage collection, so that a descriptor which only it would close counts as leaked."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def test_one_connection_established_after_more_than_a_second_is_kept_and_its_batches_go_elsewhere(
    rig,
) -> None:
    """The pool keeps it for the next dispatch; no other pending connection is left open."""
    rig.set("limits.dialTimeoutUs", "250000")
    rig.engine("e")
    rig.engine("f")
    full_backlog = rig.proxies["e"] = FullBacklog()
    rig.start()
    outcomes = []
    report = rig.gateway.facade.report_outcome
    rig.gateway.facade.report_outcome = lambda dispatch, outcome, *details: (
        outcomes.append(outcome),
        report(dispatch, outcome, *details),
    )
    gevent.sleep(0.05)
    with no_garbage_collection():
        before = count_descriptors()
        began = monotonic()
        # More than one, so that at least one is first sent to the engine with the full backlog.
        for number in range(1, 5):
            rig.call(number, "pay")
        for number in range(1, 5):
            rig.returned(number)
        assert outcomes.count(names.UNREACHABLE) >= 1, "none was sent to the engine with the full backlog"
        full_backlog.make_room()
        gevent.sleep(max(0, began + 1.5 - monotonic()))
        accepted = full_backlog.accepted()
        kept = [
            connection
            for connection in idle_connections(rig)
            if connection.endpoint[1] == full_backlog.address
        ]
        assert len(accepted) == len(kept) == 1, "one is kept, and no other left open"
        wait_until(
            lambda: count_descriptors() <= before - len(full_backlog.fillers) + len(idle_connections(rig)) * 2
        )
        accepted[0].close()
    assert set(outcomes) == {names.UNREACHABLE, names.RETURNED}
    assert outcomes.count(names.RETURNED) == 4 and count_starts(rig) == 4
    rig.idle()


@pytest.mark.parametrize("cause", ["abort", "time"])
def test_a_batch_that_ends_while_its_connection_is_pending_leaks_no_descriptor(rig, cause) -> None:
    rig.set("limits.dialTimeoutUs", "1500000")
    rig.engine("e")
    full_backlog = rig.proxies["e"] = FullBacklog()
    rig.start()
    gevent.sleep(0.05)
    with no_garbage_collection():
        before = count_descriptors()
        for number in range(1, 6):
            rig.call(number, "pay", patience=PATIENCE_MS if cause == "abort" else 300)
        wait_until(lambda: count_descriptors() == before + 5)
        for number in range(1, 6):
            if cause == "abort":
                rig.abort(number)
            else:
                rig.pushed_back(number)
        wait_until(lambda: count_descriptors() == before, 1)
        rig.idle()
    full_backlog.make_room()
    gevent.sleep(0.1)
    assert full_backlog.accepted() == [] and count_starts(rig) == 0


# Connections that an engine closes early.


class RecordingProxy:
    """A proxy before an engine that records its connections, so that a test can close them; with
    `reset_next_request` it resets the connection of the next request without reading that."""

    def __init__(self, engine_address) -> None:
        self.engine_address = engine_address
        self.connections = []
        self.reset_next_request = False
        self.resets = 0
        self.server = StreamServer(("127.0.0.1", 0), self.relay)
        self.server.start()

    def relay(self, connection, peer):
        self.connections.append(connection)
        with socket.create_connection(self.engine_address) as engine_side, suppress(OSError):
            to_gateway = gevent.spawn(self.forward, engine_side, connection)
            while True:
                connection.recv(1, socket.MSG_PEEK)
                if self.reset_next_request:
                    self.reset_next_request = False
                    self.resets += 1
                    reset(connection)
                    break
                if not (data := connection.recv(65_536)):
                    break
                engine_side.sendall(data)
            to_gateway.kill()

    def forward(self, source, sink):
        with suppress(OSError):
            while data := source.recv(65_536):
                sink.sendall(data)


def shut_down(connection) -> None:
    """Close the connection in the usual way at once, even if another greenlet waits on it."""
    connection.shutdown(socket.SHUT_RDWR)


@pytest.fixture
def proxied_rig(rig):
    """An engine behind a proxy, and one connection to it that is idle after a complete response."""
    rig.engine("e", "rows:1", "rows:2")
    proxy = rig.proxies["e"] = RecordingProxy(rig.engines["e"].server.address)
    rig.start()
    rig.call(1, "pay")
    rig.returned(1)
    wait_until(lambda: idle_connections(rig))
    (rig.idle_connection,) = idle_connections(rig)
    return rig, proxy


@pytest.mark.parametrize("group", ["pay", "load", "look"])
@pytest.mark.parametrize("end", [shut_down, reset])
def test_a_connection_closed_while_idle_is_noticed_when_it_is_acquired(proxied_rig, end, group) -> None:
    rig, proxy = proxied_rig
    end(proxy.connections[0])
    wait_until(lambda: not rig.idle_connection.is_usable())
    rig.call(2, group)
    rig.returned(2, 2)
    assert rig.idle_connection.socket.closed and count_starts(rig) == 2 and len(proxy.connections) == 2
    rig.idle()


@pytest.mark.parametrize("group", ["pay", "load"])
def test_a_connection_reset_just_before_the_start_is_sent_shows_that_it_was_not_sent(
    proxied_rig, monkeypatch, group
) -> None:
    """The reset arrives before the first byte: nothing was sent, and the query is started once."""
    rig, proxy = proxied_rig
    interleave(monkeypatch, rig.idle_connection, lambda: reset(proxy.connections[0]))
    rig.call(2, group)
    rig.returned(2, 2)
    assert count_starts(rig) == 2
    rig.idle()


@pytest.mark.parametrize(("group", "times"), [("pay", 1), ("book", 1), ("look", 2), ("load", 2)])
def test_a_query_is_started_again_only_where_harmless_if_its_connection_closes_before_the_start(
    proxied_rig, monkeypatch, group, times
) -> None:
    """The start is sent completely over a connection that the engine has closed: it may have been read."""
    rig, proxy = proxied_rig
    interleave(monkeypatch, rig.idle_connection, lambda: shut_down(proxy.connections[0]))
    rig.call(2, group)
    if times == 2:
        rig.returned(2, 2)
    else:
        rig.errored(2)
    assert count_starts(rig) == times
    rig.idle()


@pytest.mark.parametrize(("group", "times"), [("pay", 1), ("book", 1), ("look", 2), ("load", 2)])
def test_a_query_is_started_again_only_where_harmless_if_its_connection_is_reset_after_the_start(
    proxied_rig, group, times
) -> None:
    rig, proxy = proxied_rig
    proxy.reset_next_request = True
    rig.call(2, group)
    if times == 2:
        rig.returned(2, 2)
    else:
        rig.errored(2)
    assert proxy.resets == 1 and count_starts(rig) == times
    rig.idle()

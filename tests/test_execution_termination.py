"""When a cancelled execution is confirmed to have ended: the next batch of its ordering key waits for that.
Verified by what the engines received, and when."""

import struct
from contextlib import suppress
from time import monotonic

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.select import POLLIN, poll
from gevent.server import StreamServer
from test_close_range import DelayingProxy, wait_until

from pathturn.wire.termination import CancelReply, TerminationProof

START_DELAY_S = 1.5
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


def test_the_next_batch_of_a_key_is_sent_once_a_start_that_arrived_late_has_been_cancelled(rig) -> None:
    """The engine processes the start of the first batch 1.5 s after it was sent, when the gateway has already
    cancelled it. A once-only batch that may have run is errored at once; the second batch of its key is sent
    as soon as the first is confirmed to have ended, and returns its own rows in time."""
    rig.engine("e", f"slow:{int(START_DELAY_S * 1000)}", "rows:1")
    rig.start()
    logged = []
    rig.gateway.facade.log_line = logged.append
    rig.call(1, "book", key="k", patience=4900)
    rig.call(2, "book", key="k", patience=4900)
    rig.errored(1, within=3000)
    engine = rig.engines["e"]
    wait_until(lambda: len(engine.start_requests()) == 2, 6)
    rig.returned(2, within=6000)
    rig.apart("book")
    gevent.sleep(0.1)
    assert not [each for each in logged if "overdue" in each]


class ResettingProxy:
    """A proxy before an engine that can reset all connections from the gateway, while the engine continues
    its queries and accepts no new connection, as when it drains or is at its limit."""

    def __init__(self, engine_address) -> None:
        self.engine_address = engine_address
        self.gateway_sides = []
        self.server = StreamServer(("127.0.0.1", 0), self.relay)
        self.server.start()

    def relay(self, gateway_side, peer) -> None:
        self.gateway_sides.append(gateway_side)
        with socket.create_connection(self.engine_address) as engine_side, suppress(OSError):
            to_gateway = gevent.spawn(forward, engine_side, gateway_side)
            forward(gateway_side, engine_side)
            to_gateway.join()

    def reset_and_refuse(self) -> None:
        address = self.server.address
        self.server.close()
        # Bound but not listening: connections are refused, and no other process gets the port.
        self.reserved = socket.socket()
        self.reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reserved.bind(address)
        for gateway_side in self.gateway_sides:
            gateway_side.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            gateway_side.close()


def forward(source, sink) -> None:
    with suppress(OSError):
        while data := source.recv(65_536):
            sink.sendall(data)


def send_two_of_a_key(rig, service_class, proxy, has_arrived) -> tuple[str, str]:
    """Send two batches of a key. The first reaches an engine, as `has_arrived` tells, and runs there for a
    long time; the other engine would answer the second at once. Return the names of both engines."""
    for name in ("e", "f"):
        rig.engine(name, "runs:5000")
        rig.proxies[name] = proxy(rig.engines[name].server.address)
    rig.start()
    rig.call(1, service_class, key="k", patience=4900)
    wait_until(lambda: has_arrived("e") or has_arrived("f"))
    first, other = ("e", "f") if has_arrived("e") else ("f", "e")
    rig.engines[other].behaviours = ["rows:1"]
    rig.call(2, service_class, key="k", patience=4900)
    return first, other


@pytest.mark.parametrize("service_class", ["load", "book", "sum"])
def test_a_reset_and_a_refusal_do_not_confirm_that_an_execution_has_ended(rig, service_class) -> None:
    """A draining engine continues its queries and refuses new connections. If the network resets the
    connection that polls a query at that time, it looks as if the process had exited: the next batch of the
    key was sent 0.415 s later, while the query still ran."""
    draining, _ = send_two_of_a_key(
        rig, service_class, ResettingProxy, lambda name: rig.engines[name].start_times
    )
    gevent.sleep(0.2)
    rig.proxies[draining].reset_and_refuse()
    rig.returned(2, within=6000)
    rig.apart(service_class)


class StalledEngineProxy:
    """A proxy before a stalled engine: requests stay unread until `resume`, even if their connection is
    closed meanwhile. The oldest connection, which carries the start, is read last: shortly after the first
    cancel request whose sender still waits. With timing alone the last poll could follow the start, and
    would find a query that runs and is not cancelled."""

    START_AFTER_CANCEL_S = 0.05

    def __init__(self, engine_address) -> None:
        self.engine_address = engine_address
        self.resumed = Event()
        self.cancelled = Event()
        self.connections = 0
        self.server = StreamServer(("127.0.0.1", 0), self.relay)
        self.server.start()

    def relay(self, gateway_side, peer) -> None:
        self.connections += 1
        number = self.connections
        request = gateway_side.recv(65_536)
        if not self.resumed.is_set():
            self.resumed.wait()
            if number == 1:
                self.cancelled.wait()
                gevent.sleep(self.START_AFTER_CANCEL_S)
        with socket.create_connection(self.engine_address) as engine_side:
            engine_side.sendall(request)
            if request.startswith(b"DELETE") and not closed_by_peer(gateway_side):
                self.cancelled.set()
            to_gateway = gevent.spawn(forward, engine_side, gateway_side)
            forward(gateway_side, engine_side)
            to_gateway.join(1)

    def resume(self) -> None:
        self.resumed.set()


def closed_by_peer(gateway_side) -> bool:
    """Whether the peer has closed the connection; a gateway sends nothing more before the response."""
    # Not select(): it takes no descriptor above 1,023, and the whole suite in one process opens more.
    readable = poll()
    readable.register(gateway_side.fileno(), POLLIN)
    return bool(readable.poll(0))


@pytest.mark.parametrize("service_class", ["load", "book", "sum"])
def test_a_cancellation_that_a_stalled_engine_reads_before_the_start_confirms_nothing(
    rig, service_class
) -> None:
    """An engine stalls for 3 s, longer than a query lives without polls. The start is unread in its socket,
    and a cancel request on another connection. Afterwards it may read the cancel request first and the start
    50 ms later; its response was taken for the confirmation, and the next batch of the key ran beside the
    query."""
    stalled, other = send_two_of_a_key(
        rig, service_class, StalledEngineProxy, lambda name: rig.proxies[name].connections
    )
    rig.proxies[other].resume()
    gevent.sleep(3)
    rig.proxies[stalled].resume()
    rig.returned(2, within=4000)
    assert rig.proxies[stalled].cancelled.is_set(), "no cancel request was read before the start"
    assert rig.engines[stalled].start_times, "the start never reached the engine"
    rig.apart(service_class)


def test_a_cancellation_of_a_query_that_the_engine_does_not_know_yet_confirms_nothing(rig) -> None:
    """The start arrives a second late. The query is polled on another connection, and the client leaves just
    then; the engine does not know the query yet, and accepts the cancel request on the same connection. That
    was taken for the confirmation, as if the start had been acknowledged: the query ran beside the next batch
    of its key."""
    rig.engine("e", "runs:4000")
    engine = rig.engines["e"]
    late_proxy = rig.proxies["e"] = DelayingProxy(engine.server.address, 1.0)
    send_status = engine.send_status

    def delayed_unknown(connection, ticket) -> None:
        if ticket not in engine.queries:
            gevent.sleep(0.15)
        send_status(connection, ticket)

    engine.send_status = delayed_unknown
    rig.start()
    rig.call(1, "load", key="k", patience=4900)
    wait_until(lambda: any(verb == "GET" for verb, *_ in engine.requests))
    rig.abort(1)
    rig.call(2, "load", key="k", patience=4900)
    wait_until(lambda: len(engine.start_times) == 2, 5)
    rig.apart("load")
    late_proxy.server.stop(0)


def test_a_cancellation_answered_with_an_error_confirms_nothing(rig) -> None:
    """An engine that answers a cancel request with an error has not accepted it: the query runs until one is
    confirmed."""
    rig.engine("e", "runs:4000")
    engine = rig.engines["e"]
    answer = engine.respond
    failures = []

    def failing(connection, status, fields=(), body=b"") -> None:
        if status == 204 and len(failures) < 5:
            failures.append(status)
            engine.queries["0000000000000001"] = ("runs:4000", monotonic())
            engine.executions["0000000000000001"][2] = monotonic() + 2
            answer(connection, 500)
        else:
            answer(connection, status, fields, body)

    engine.respond = failing
    rig.start()
    rig.call(1, "load", key="k", patience=4900)
    wait_until(lambda: engine.start_times)
    rig.abort(1)
    rig.call(2, "load", key="k", patience=4900)
    wait_until(lambda: len(engine.start_times) == 2, 4)
    assert len(failures) == 5
    rig.apart("load")


CONFIRMED = CancelReply.CONFIRMED
REFUSED = CancelReply.REFUSED
NO_REPLY = CancelReply.NO_REPLY
START_ARRIVAL_LIMIT_US = 1_000_000


@pytest.mark.parametrize(
    ("acknowledged", "replies", "confirmed_at"),
    [
        pytest.param(True, [(CONFIRMED, 10)], 10, id="start acknowledged, confirmed"),
        pytest.param(True, [(NO_REPLY, 10), (NO_REPLY, 9000)], None, id="no reply"),
        pytest.param(True, [(REFUSED, 10), (REFUSED, 2259)], None, id="refused, not for long enough"),
        pytest.param(True, [(REFUSED, 10), (REFUSED, 2260)], 2260, id="refused for long enough"),
        pytest.param(
            True, [(REFUSED, 10), (NO_REPLY, 1000), (REFUSED, 2300)], None, id="refused, no reply between"
        ),
        pytest.param(False, [(CONFIRMED, 2000)], None, id="start not acknowledged, confirmed once"),
        pytest.param(False, [(CONFIRMED, 2000), (CONFIRMED, 2249)], None, id="confirmed twice, too soon"),
        pytest.param(False, [(CONFIRMED, 2000), (CONFIRMED, 2250)], 2250, id="confirmed twice"),
        pytest.param(
            False, [(CONFIRMED, 10), (CONFIRMED, 999)], None, id="confirmed while the start may arrive"
        ),
        pytest.param(False, [(CONFIRMED, 10), (CONFIRMED, 1000)], 1000, id="confirmed once it cannot arrive"),
        pytest.param(
            False, [(CONFIRMED, 2000), (NO_REPLY, 2100), (CONFIRMED, 2300)], None, id="no reply between"
        ),
        pytest.param(False, [(CONFIRMED, 2000), (REFUSED, 2250)], None, id="confirmed, then refused"),
    ],
)
def test_termination_is_confirmed_by(acknowledged, replies, confirmed_at) -> None:
    proof = TerminationProof(acknowledged, 0 if acknowledged else START_ARRIVAL_LIMIT_US)
    recorded = [(proof.record(reply, at_ms * 1000), at_ms) for reply, at_ms in replies]
    assert [at_ms for confirmed, at_ms in recorded if confirmed] == (
        [] if confirmed_at is None else [confirmed_at]
    )

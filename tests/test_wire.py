"""Wire formats without sockets, client connections, and a gateway as a process from start to shutdown."""

import contextlib
import itertools
import os
import signal
import struct
import subprocess
import sys
from contextlib import contextmanager
from math import inf
from time import monotonic
from types import SimpleNamespace

import gevent
import orjson
import pytest
from dnslib import QTYPE, DNSRecord
from gevent import socket
from hypothesis import given
from hypothesis import strategies as st
from typer.testing import CliRunner

from pathturn.cli import app
from pathturn.core import interface as names
from pathturn.memory.facade import Facade
from pathturn.process.limits import connection_limits
from pathturn.process.log import MAX_LINES_PER_S, Log
from pathturn.process.settings import build_dispatcher
from pathturn.standins import fleet
from pathturn.standins.engines import MALFORMED_RESPONSES, UNUSUAL_RESPONSES
from pathturn.standins.fleet import host_port
from pathturn.wire import discovery_protocol, engine_protocol, jsonrpc
from pathturn.wire.client_connection import ClientConnection
from pathturn.wire.http import MalformedResponseError, ResponseParser
from pathturn.wire.statement import data_set


@pytest.mark.parametrize(
    ("statement", "number"),
    [
        ("SELECT a FROM sales_17.orders", 17),
        ("select 'from lake_0.decoy' as note\n from lake_6.stock a where a.tag = 'it''s mart_2.x'", 6),
        ("SELECT n -- was: from mart_1.old\nFROM mart_8.events", 8),
        ('SELECT n /* from mart_1.old, * */ FROM "mart_9"."events"', 9),
        ("INSERT INTO ops_4.lines SELECT * FROM staging.ops_5", 4),
        ("COPY staging.incoming_3 TO 'ops_5.x'; INSERT INTO lake_12.t SELECT * FROM staging.incoming_3", 12),
        ("SELECT t_1.n FROM (SELECT n FROM ops_7.lines) t_1", 7),
        ("SELECT $$ from mart_1.old $$ FROM sales_2 . orders", 2),
        ("SELECT 1", 0),
        ("SELECT 'never closed from mart_1.old", 0),
    ],
)
def test_data_set_is_the_number_in_the_schema_name(statement: str, number: int) -> None:
    assert data_set(statement) == number


def test_lines_are_split_regardless_of_chunk_boundaries() -> None:
    splitter = jsonrpc.LineSplitter(100)
    text = b'{"id":1}\n\n{"id":2}\n{"id":3}\n'
    found = [
        line
        for start in range(0, len(text), 5)
        for line in splitter.feed(memoryview(text[start : start + 5]))
    ]
    assert found == [b'{"id":1}', b'{"id":2}', b'{"id":3}']
    with pytest.raises(jsonrpc.StreamError):
        for _ in range(12):
            list(splitter.feed(memoryview(bytes(9))))


def test_consecutive_responses_are_parsed_with_their_keep_alive() -> None:
    parser = ResponseParser()
    first = b"HTTP/1.1 202 Later\r\nX-Remark: waits\r\nX-Value: 2\r\nContent-Length: 0\r\n\r\n"
    assert not parser.feed(memoryview(first[:30]))
    assert parser.feed(memoryview(first[30:]))
    status, fields, body = parser.take()
    assert (status, body, engine_protocol.notice(fields), parser.keep_alive) == (
        202,
        b"",
        (names.NOTICE_WAITING, 2.0),
        True,
    )
    last = (
        b"HTTP/1.1 200 OK\r\nConnection: close\r\nX-Meter: queue:1.5;inflight:7\r\n"
        b"Content-Length: 2\r\n\r\na\n"
    )
    assert parser.feed(memoryview(last))
    _, fields, body = parser.take()
    assert body == b"a\n" and not parser.keep_alive
    assert engine_protocol.load_report(fields, ["concurrent", "depth"]) == [7, 1.5]
    assert engine_protocol.load_report(fields, ["concurrent", "x0"]) is None
    # Engines were seen to send the metric names of the settings. A parser that returned None for them
    # discarded every load report.
    assert engine_protocol.load_report({"x-meter": "depth:0;concurrent:4.015"}, ["depth", "concurrent"]) == [
        0,
        4.015,
    ]


@pytest.mark.parametrize("kind", MALFORMED_RESPONSES)
def test_a_malformed_response_is_requested_again_and_never_passed_on(rig, kind) -> None:
    rig.engine("e", f"sends:{kind}")
    rig.start()
    rig.call(1, "pay", patience=1500)
    rig.returned(1)
    rig.asked("e", "POST", 1)
    rig.idle()


@pytest.mark.parametrize("kind", UNUSUAL_RESPONSES)
def test_an_unusual_response_corrupts_neither_itself_nor_the_next(rig, kind) -> None:
    rig.engine("e", f"sends:{kind}", "rows:2")
    rig.start()
    rig.call(1, "pay")
    rig.returned(1)
    rig.call(2, "pay")
    rig.returned(2, 2)
    rig.asked("e", "GET", 1)
    rig.idle()


@pytest.mark.parametrize(
    ("error", "warming_up"), [(ConnectionResetError, False), (ConnectionRefusedError, True)]
)
def test_only_a_refused_connection_counts_as_a_restart(rig, monkeypatch, error, warming_up) -> None:
    """A connect that is reset has reached a running engine. When it was taken for a restart, idle engines
    went into slow start and got a sixth of their usual work."""
    rig.set("rules.coldUs", "14000000")
    rig.engine("e")
    rig.start()
    endpoint = rig.engines["e"].server.address
    failures_left = [2]

    class FlakySocket(socket.socket):
        def connect(self, address):
            if address == endpoint and failures_left[0]:
                failures_left[0] -= 1
                raise error
            super().connect(address)

    monkeypatch.setattr("pathturn.wire.engine_connection.socket.socket", FlakySocket)
    rig.call(1, "pay")
    rig.returned(1)
    rig.idle()
    assert bool(rig.gateway.facade.dispatcher.engines[0].cold_until_us) is warming_up


def test_oversized_responses_are_rejected_by_their_headers() -> None:
    parser = ResponseParser()
    with pytest.raises(MalformedResponseError):
        parser.feed(memoryview(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"))
    endless_header = ResponseParser()
    with pytest.raises(MalformedResponseError):
        for _ in range(10):
            assert not endless_header.feed(memoryview(b"HTTP/1.1 200 OK\r\nX-Pages: " + b"1" * 4000))


def test_response_status_maps_to_the_outcome() -> None:
    shed_fields = {"x-shed": "1"}
    outcomes = [
        engine_protocol.outcome(*response)
        for response in ((503, shed_fields), (504, shed_fields), (503, {}), (500, {}), (200, {}))
    ]
    assert outcomes == [names.FULL, names.UNSENT, names.ERRORED, names.ERRORED, names.RETURNED]


def test_initial_list_is_the_result_of_all_its_updates() -> None:
    def engine_entry(name: str, state: str) -> dict:
        return {
            "id": name,
            "addr": "127.0.0.1:8443",
            "zone": "z",
            "kind": "m",
            "cell": 1,
            "state": state,
            "weight": 2,
            "started_ms": 5,
        }

    def update(full: bool, *servers: dict) -> dict:
        return {"endpoints": {"full": full, "servers": servers}}

    index, engines = discovery_protocol.parse_initial_list(
        {
            "index": 3,
            "updates": [
                update(True, engine_entry("a", "in_service"), engine_entry("b", "in_service")),
                update(False, engine_entry("a", "terminating")),
                update(False, engine_entry("b", "terminated")),
            ],
        }
    )
    assert (index, engines) == (3, [("a", ("127.0.0.1", 8443), "z", "m", 1, names.DRAINING, 2, 5)])


@pytest.mark.parametrize(
    "packet",
    [b"", b"\0\1", b"\0\1" + bytes(10), b"\0\1" + b"\xc0\x0c" * 99, b"\0\1\x84\0" + bytes(range(1, 200))],
)
def test_a_malformed_datagram_raises_the_declared_error(packet: bytes) -> None:
    with pytest.raises(discovery_protocol.MalformedResponseError):
        discovery_protocol.parse_response(packet, 1)


def build_response(count: int, *, serial: int = 9, texts: dict[int, list[bytes]] | None = None) -> bytes:
    """Return a DNS response with `count` engines and names as short as DNS allows. `texts`: TXT by engine."""

    def record(name: bytes, record_type: int, data: bytes) -> bytes:
        return name + struct.pack("!HHIH", record_type, 1, 5, len(data)) + data

    packet = bytearray(struct.pack("!6H", 1, 0x8180, 1, count, 1, 2 * count) + discovery_protocol.QUESTION)
    zone_offset = len(packet) + 18 + 9
    labels = []
    for number in range(count):
        labels.append(b"\x08s-%06x" % number)
        packet += record(
            b"\xc0\x0c",
            33,
            struct.pack("!3H", number % 2, 40, 8443)
            + labels[-1]
            + (struct.pack("!H", 0xC000 | zone_offset) if number else b"\x04East\x05hosts\0"),
        )
    packet += record(b"\0", 6, b"\0\0" + struct.pack("!5I", serial, 1, 1, 1, 1))
    for number, label in enumerate(labels):
        name = label.upper() + struct.pack("!H", 0xC000 | zone_offset)  # DNS names are case-insensitive
        strings = (texts or {}).get(number, [b"kind=std", b"cell=2", b"started=5"])
        packet += record(name, 1, bytes([127, 9, number >> 8, number & 255]))
        packet += record(name, 16, b"".join(bytes([len(text)]) + text for text in strings))
    return bytes(packet)


def test_a_list_of_hundreds_is_parsed_completely_and_only_if_newer() -> None:
    serial, engines = discovery_protocol.parse_response(build_response(640), 1)
    assert (serial, len(engines), len(build_response(640)) <= 65_507) == (9, 640, True)
    assert engines[513] == ("s-000201", ("127.9.2.1", 8443), "East", "std", 2, names.DRAINING, 4.0, 5)
    assert discovery_protocol.parse_response(build_response(640), 1, last_serial=9) == (9, None)


def test_own_parser_agrees_with_a_dns_library() -> None:
    query = DNSRecord.parse(discovery_protocol.build_query(1))
    assert (str(query.q.qname), query.q.qtype) == (discovery_protocol.SERVICE_NAME + ".", QTYPE.SRV)
    expected = DNSRecord.parse(build_response(40))
    _, engines = discovery_protocol.parse_response(build_response(40), 1)
    assert [engine[1][0] for engine in engines] == [
        str(record.rdata) for record in expected.ar if record.rtype == QTYPE.A
    ]
    assert [engine[0] for engine in engines] == [
        str(record.rdata.target).split(".")[0] for record in expected.rr
    ]


@given(offset=st.integers(2, 4000), byte=st.integers(0, 255), length=st.integers(0, 4000))
def test_a_corrupted_response_raises_at_most_the_declared_error(offset: int, byte: int, length: int) -> None:
    packet = bytearray(build_response(40))
    packet[offset % len(packet)] = byte
    for damaged in (bytes(packet), build_response(40)[:length]):
        with contextlib.suppress(discovery_protocol.MalformedResponseError):
            discovery_protocol.parse_response(damaged, 1)
    if length < len(build_response(40)):
        with pytest.raises(discovery_protocol.MalformedResponseError):
            discovery_protocol.parse_response(build_response(40)[:length], 1)


@pytest.mark.parametrize(
    "strings",
    [
        [],
        [b"cell=2"],
        [b"kind=std", b"cell=x"],
        [b"kind=std", b"cell=-1"],
        [b"kind=std", b"started=99999999999999999999"],
    ],
)
def test_one_malformed_engine_entry_rejects_the_list(strings: list[bytes]) -> None:
    with pytest.raises(discovery_protocol.MalformedResponseError):
        discovery_protocol.parse_response(build_response(3, texts={1: strings}), 1)


def test_endless_compression_pointers_are_rejected() -> None:
    pointers = b"".join(struct.pack("!H", 0xC000 | 12 + 2 * max(0, number - 1)) for number in range(6000))
    header = struct.pack("!6H", 1, 0x8180, 0, 1, 0, 0)
    with pytest.raises(discovery_protocol.MalformedResponseError):
        discovery_protocol.parse_response(
            header + struct.pack("!HHHIH", 0xC00C, 33, 1, 5, len(pointers)) + pointers, 1
        )


def test_a_gateway_reads_a_list_of_hundreds_and_logs_a_malformed_one(rig, monkeypatch, capfd) -> None:
    rig.engine("e")
    responses = [build_response(600, serial=2, texts={7: []}), build_response(600, serial=2)]
    monkeypatch.setattr(
        rig,
        "answer_directory_query",
        lambda packet, peer: rig.directory_server.sendto(
            packet[:2] + (responses.pop(0) if len(responses) > 1 else responses[0])[2:], peer
        ),
    )
    rig.start()
    for _ in range(300):
        if len(rig.gateway.facade.engine_registry.ready) == 300:
            break
        gevent.sleep(0.01)
    assert len(rig.gateway.facade.engine_registry.endpoint_of) == 600
    assert "code=malformed_response reason=KeyError" in capfd.readouterr().err


def test_log_counts_dropped_lines(capsys, monkeypatch) -> None:
    log = Log("n0")
    now = [100.0]
    monkeypatch.setattr("pathturn.process.log.time.time", lambda: now[0])
    for number in range(MAX_LINES_PER_S + 3):
        log(f"line {number}")
    now[0] += 1
    log("next")
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == MAX_LINES_PER_S + 2
    assert lines[-2].endswith("log rate limit dropped=3") and lines[-1].endswith("n0 next")


def test_commands_print_the_effective_configuration_and_data_set(rig, tmp_path) -> None:
    rig.engine("e")
    config = tmp_path / "config.json"
    statement = tmp_path / "statement.sql"
    config.write_bytes(orjson.dumps(rig.configuration("127.0.0.1:8443")))
    statement.write_text("SELECT n FROM sales_17.orders")
    result = CliRunner().invoke(app, ["check", str(config)])
    assert result.exit_code == 0 and "connections: 90 from clients, 78 to engines" in result.output
    assert f"engine e at {host_port(rig.engines['e'].server)}, z, m" in result.output
    assert CliRunner().invoke(app, ["data-set", str(statement)]).output == "17\n"


@pytest.mark.parametrize(
    "pieces",
    [
        (b"\x00\xff\r\n\r\n",),
        (b"[" * 30_000 + b"\n",),
        (b"5\n",),
        (b'{"method":"look"}\n',),
        (b'{"jsonrpc":"2.0","id":-1,"method":"look"}\n',),
        (b'{"jsonrpc":"2.0","id":"7","method":"look"}\n',),
        (b'{"jsonrpc":"2.0","id":1e400,"method":"look"}\n',),
        (b'{"id":1,"method":"look","params":{}}\n',),
        (b'[{"jsonrpc":"2.0","id":1,"method":"ping"}]\n',),
        (b'{"jsonrpc":"2.0","id":1,"method":"x"}\n' * 300,),
        (b"a" * 60_000,) * 50,
        (b'{"jsonrpc":"2.0"',),
        (),
    ],
)
def test_a_bad_client_gets_an_error_or_is_disconnected_and_others_are_served(rig, pieces) -> None:
    rig.engine("e", "runs:200")
    rig.start()
    rig.call(1, "look")
    bad_clients = [rig.stranger(*pieces) for _ in range(3)]
    rig.returned(1)
    for connection in bad_clients:
        with gevent.Timeout(3):
            try:
                response = connection.recv(65_536)
            except ConnectionResetError:
                response = b""
        assert b"result" not in response and (not response or b'"error"' in response)
    rig.asked("e", "POST", 1)


def test_hundreds_of_idle_connections_do_not_block_new_ones(rig) -> None:
    rig.engine("e", "runs:600")
    rig.start()
    rig.call(1, "look")
    idle_clients = [rig.stranger(b'{"jsonrpc":"2.0","id":1,"method":"ping"}\n') for _ in range(200)]
    assert all(b"healthy" in connection.recv(200) for connection in idle_clients)
    assert len(rig.gateway.client_connections.active) <= connection_limits(rig.socket_limit)[0]
    rig.returned(1)


def test_connections_with_input_or_open_batches_are_not_idle() -> None:
    connection = ClientConnection.__new__(ClientConnection)
    connection.socket, client = socket.socketpair()
    connection.open_batches = {}
    connection.writer = SimpleNamespace(greenlets=set())
    connection.lines, connection.line_received = (
        jsonrpc.LineSplitter(100),
        True,
    )
    connection.last_active_us = connection.partial_line_since_us = 0
    assert (
        connection.timeout_reason(4_500_000) is None
        and connection.timeout_reason(5_500_000) == "idle"
        and connection.safe_to_close()
    )
    client.send(b"unread")  # closing now would reset the connection and lose the unread batch
    assert connection.timeout_reason(5_500_000) is None and not connection.safe_to_close()
    connection.socket.recv(9)
    list(connection.lines.feed(memoryview(b"half")))
    assert connection.timeout_reason(2_500_000) == "partial_line" and not connection.safe_to_close()
    connection.writer.greenlets.add(1)
    assert connection.timeout_reason(9_000_000) is None and not connection.safe_to_close()
    connection.writer.greenlets.clear()
    connection.open_batches[1] = None
    assert connection.timeout_reason(9_000_000) is None and not connection.safe_to_close()


def test_a_client_that_never_reads_is_disconnected(rig, monkeypatch) -> None:
    monkeypatch.setattr("pathturn.wire.answer_writer.WRITE_TIMEOUT_S", 0.2)
    rig.start()
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        client_socket = socket.create_connection(listener.getsockname())
        gateway_socket, _ = listener.accept()
    connection = ClientConnection(gateway_socket, rig.gateway.facade, None, None, None, 100)
    with gevent.Timeout(2):
        connection.writer.write(bytes(1 << 23))
    assert connection.code == "client_not_reading" and gateway_socket.closed
    client_socket.close()


def test_a_flood_of_lines_does_not_starve_other_clients(rig) -> None:
    rig.engine("e")
    rig.start()
    line = b'{"jsonrpc":"2.0","id":%d,"method":"ping"}\n'
    for _ in range(4):
        rig.stranger(
            *(b"".join(line % (1000 * chunk + number) for number in range(1, 1001)) for chunk in range(100))
        )
    gevent.sleep(0.1)
    rig.call(1, "look", patience=300)
    rig.returned(1)


def test_a_failed_round_loses_no_response(rig, monkeypatch) -> None:
    rig.engine("e", "runs:200")
    rig.start()
    gevent.sleep(0.05)
    with monkeypatch.context() as patch:
        patch.setattr(rig.gateway.facade.dispatcher, "round", lambda *_: 1 // 0)
        rig.call(1, "look", patience="300")
        gevent.sleep(0.05)
    rig.call(2, "look")
    rig.errored(1, within="450")
    rig.returned(2)
    rig.idle()


@pytest.mark.parametrize("early_us", range(0, 9_000, 1_500))
def test_an_early_round_does_not_lose_the_next_wakeup(early_us) -> None:
    clock = itertools.count(1_000_000, 1_500).__next__  # each reading takes time, as with a small CPU quota
    facade = Facade(*build_dispatcher(1, fleet.settings()), clock, True, print)
    batch = facade.submit(None, "0" * 16, "look", 300_000, None, None, None, 0, 0, 1, False, b"")
    while not batch.ended:
        facade.run_round()
        assert batch.ended or facade.wake_at_us < inf, "no wakeup is scheduled for the open batch"
        # Any event may start a round shortly before the scheduled wakeup.
        while clock() < facade.wake_at_us - early_us and not batch.ended:
            pass
    assert clock() < batch.deadline_us


@pytest.mark.parametrize("text", ["", "{}", '{"name": 7', '{"name":"n","settings":{},"seed":"0","known":1}'])
def test_an_invalid_configuration_gives_one_line_and_exit_code_2(text: str, tmp_path) -> None:
    config = tmp_path / "config.json"
    config.write_text(text)
    for command in ("serve", "check"):
        result = CliRunner().invoke(app, [command, str(config)])
        assert result.exit_code == 2 and len(result.output.splitlines()) == 1, result.output
    assert CliRunner().invoke(app, ["serve", str(tmp_path / "none")]).exit_code == 2


@contextmanager
def gateway_process(rig, tmp_path):
    """Run the gateway as a process of its own, with the rig connected to it; its log is printed, so that a
    failure shows it."""
    config = tmp_path / "config.json"
    config.write_bytes(orjson.dumps(rig.configuration(rig.free_address())))
    log = tmp_path / "gateway.log"
    with log.open("wb") as stderr:
        process = subprocess.Popen(
            [sys.executable, "-m", "pathturn", "serve"],
            stderr=stderr,
            env={**os.environ, "EDGE_CONFIG": str(config)},
        )
    try:
        rig.connect()
        yield process
    finally:
        print(f"gateway process: exit code {process.poll()}")
        process.kill()
        process.wait()
        print(log.read_text())


def test_after_a_stall_pending_input_is_read_before_dispatches_are_cancelled(rig, tmp_path) -> None:
    rig.set("domain.progressUs", "100000")
    rig.engine("e", "notes:300", "notes:1800")
    rig.engine("f", "notes:1800")
    with gateway_process(rig, tmp_path) as process:
        for number in range(1, 7):
            rig.call(number, "load", patience="3000")
        gevent.sleep(0.15)
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(1.2)
        process.send_signal(signal.SIGCONT)
        for number in range(1, 7):
            rig.returned(number)
        methods = [request[0] for engine in rig.engines.values() for request in engine.requests]
        assert methods.count("POST") == 6 and "DELETE" not in methods


def test_batches_of_one_key_keep_their_order_after_a_stall(rig, tmp_path) -> None:
    """After a stall the event loop reads the socket that became readable last first, and the times of writing
    are unknown. So one batch is dispatched and the other is pushed back as long as that is safe."""
    rig.engine("e")
    with gateway_process(rig, tmp_path) as process:
        first, second, rig.client = rig.client, socket.create_connection(rig.listen), None
        rig.greenlets.append(gevent.spawn(rig.read, second))
        gevent.sleep(0.1)
        for repetition in range(3):
            process.send_signal(signal.SIGSTOP)
            for number, rig.client in ((1, first), (2, second)):
                rig.call(2 * repetition + number, "load", key="k")
                gevent.sleep(0.06)
            process.send_signal(signal.SIGCONT)
            gevent.sleep(0.2)
            responses = [rig.answered(2 * repetition + number) for number in (1, 2)]
            assert sorted(response.get("error", {}).get("code", 0) for response in responses) == [
                jsonrpc.PUSHED_BACK,
                0,
            ]
        second.close()


def test_a_terminated_process_answers_open_batches_and_exits_with_0(rig, tmp_path) -> None:
    rig.engine("e", "runs:1200")
    with gateway_process(rig, tmp_path) as process:
        rig.call(1, "pay")
        gevent.sleep(0.1)
        process.send_signal(signal.SIGTERM)
        gevent.sleep(0.3)
        rig.call(2, "look")
        rig.errored(1)
        rig.pushed_back(2)
        with gevent.Timeout(3):
            while process.poll() is None:
                gevent.sleep(0.02)
        assert process.returncode == 0


@pytest.mark.parametrize(
    ("time_limit_ms", "patience_ms", "queue_drain_ms", "min_s", "max_s"),
    [
        (7000, 4500, 1920, 2.6, 2.8),
        (7000, 2000, 1900, 0, 0.6),
        (25_000, 4500, 1920, 2.4, 2.7),
        (2000, 2000, 480, 1.4, 1.6),
        (2000, 400, 380, 0, 0.3),
    ],
)
def test_an_ordered_batch_is_answered_in_time_although_it_waited_at_its_client(
    rig, time_limit_ms, patience_ms, queue_drain_ms, min_s, max_s
) -> None:
    """The client may have held the batch back behind others of its key, so up to the drain time of a full key
    queue has passed of the stated patience. A response more than half a second after the remainder is lost.
    The drain time is limited to a fraction of the group's time limit."""
    rig.settings["classes"][2]["deadlineUs"] = time_limit_ms * 1000
    rig.engine("e", "runs:9000")
    rig.start()
    sent_at = monotonic()
    rig.say(
        id=1,
        method="load",
        params={
            "trace": "1" * 16,
            "patience": patience_ms,
            "weight": 100,
            "est_mb": 1,
            "entity": "k",
            "nonce": "n",
            "data": "U0VMRUNU",
        },
    )
    rig.call(2, "look", patience=200)  # batches without a key have no queue to wait for
    rig.pushed_back(2)
    rig.pushed_back(1)
    assert min_s < monotonic() - sent_at < max_s
    assert monotonic() - sent_at < (patience_ms - queue_drain_ms) / 1000 + 0.5


def test_the_next_batch_of_a_key_waits_until_the_previous_response_is_written(rig) -> None:
    """A delayed write of the response delays the next batch of its key, but no batch of another key."""
    rig.engine("e", "rows:1")
    rig.start()
    rig.call(1, "load", key="first")
    rig.returned(1)
    (blocked,) = rig.gateway.client_connections.active
    with blocked.writer.lock:
        rig.call(2, "load", key="k", patience=3000)
        gevent.sleep(0.2)
        rig.connect()
        rig.call(3, "load", key="k", patience=3000)
        rig.call(4, "load", key="other", patience=3000)
        rig.returned(4)
        assert len(rig.engines["e"].start_requests()) == 3
    for number in (2, 3):
        rig.returned(number)


def test_new_batches_are_pushed_back_at_once_during_shutdown(rig, tmp_path) -> None:
    rig.engine("e", "runs:1500")
    with gateway_process(rig, tmp_path) as process:
        rig.call(1, "load", patience=4000)
        gevent.sleep(0.1)
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        gevent.sleep(0.8)
        rig.call(2, "look")
        rig.call(3, "load", key="k1")
        rig.pushed_back(2, within=150)
        rig.pushed_back(3, within=150)
        rig.returned(1)


def test_replaced_engines_leave_no_state(rig) -> None:
    """Engines are replaced while a gateway runs, and a new one may have the address of its predecessor."""
    rig.engine("e0")
    rig.start()
    for number in range(1, 6):
        server = rig.engines[f"e{number - 1}"]
        rig.set_state(f"e{number - 1}", "gone")
        rig.engines[f"e{number}"], rig.states[f"e{number}"] = server, "in_service"
        gevent.sleep(0.4)
        rig.call(number, "load", key="k")
        rig.returned(number)
    gevent.sleep(0.4)
    dispatcher = rig.gateway.facade.dispatcher
    facade = rig.gateway.facade
    connection_pool = rig.gateway.connection_pool
    assert (
        len(dispatcher.engines)
        == len(facade.engine_registry.endpoint_of)
        == len(facade.engine_registry.index_of)
        == 1
    )
    assert [endpoint[0] for endpoint in connection_pool.idle] == list(dispatcher.engines) == [5]
    assert (
        not dispatcher.key_queues.queues
        and not facade.batches.tickets
        and len(rig.engines["e0"].start_requests()) == 5
    )


def test_a_reload_switches_the_directory_and_keeps_open_batches(rig, tmp_path) -> None:
    rig.engine("e", "runs:850")
    rig.engine("f", "runs:850")
    with gateway_process(rig, tmp_path) as process:
        rig.call(1, "pay")
        gevent.sleep(0.1)
        rig.directory_server.stop(0)
        config = tmp_path / "config.json"
        new_config = rig.configuration("127.0.0.1:1")
        for text in (b'{"names": "127.0', b"", b'{"names": "nowhere"}', b"[]"):
            config.write_bytes(text)
            process.send_signal(signal.SIGHUP)
            gevent.sleep(0.1)
        rig.set_state("e", "draining")
        config.write_bytes(orjson.dumps(new_config))
        process.send_signal(signal.SIGHUP)
        gevent.sleep(0.25)
        starts_before = len(rig.engines["e"].start_requests())
        for number in range(2, 8):
            rig.call(number, "look")
        for number in range(1, 8):
            rig.returned(number)
        assert len(rig.engines["e"].start_requests()) == starts_before
        assert process.poll() is None

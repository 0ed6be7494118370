"""What is spoken, without sockets; and a gateway's whole life as a process."""

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
from pathturn.standins import farm
from pathturn.standins.engines import MORE, SPOILT
from pathturn.standins.farm import at
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
def test_data_set_is_the_number_of_the_schema_alone(statement: str, number: int) -> None:
    assert data_set(statement) == number


def test_lines_are_cut_wherever_the_pieces_end() -> None:
    lines, text = jsonrpc.LineSplitter(100), b'{"id":1}\n\n{"id":2}\n{"id":3}\n'
    found = [line for at in range(0, len(text), 5) for line in lines.feed(memoryview(text[at : at + 5]))]
    assert found == [b'{"id":1}', b'{"id":2}', b'{"id":3}']
    with pytest.raises(jsonrpc.StreamError):
        for _ in range(12):
            list(lines.feed(memoryview(bytes(9))))


def test_answers_are_read_one_after_another_and_tell_whether_the_connection_stays() -> None:
    answers = ResponseParser()
    first = b"HTTP/1.1 202 Later\r\nX-Remark: waits\r\nX-Value: 2\r\nContent-Length: 0\r\n\r\n"
    assert not answers.feed(memoryview(first[:30]))
    assert answers.feed(memoryview(first[30:]))
    status, fields, body = answers.take()
    assert (status, body, engine_protocol.notice(fields), answers.keep_alive) == (
        202,
        b"",
        (names.NOTICE_WAITING, 2.0),
        True,
    )
    last = (
        b"HTTP/1.1 200 OK\r\nConnection: close\r\nX-Meter: queue:1.5;inflight:7\r\n"
        b"Content-Length: 2\r\n\r\na\n"
    )
    assert answers.feed(memoryview(last))
    _, fields, body = answers.take()
    assert body == b"a\n" and not answers.keep_alive
    assert engine_protocol.load_report(fields, ["concurrent", "depth"]) == [7, 1.5]
    assert engine_protocol.load_report(fields, ["concurrent", "x0"]) is None
    # Seen on a day: the settings' own names. Read as none, every load report was lost.
    assert engine_protocol.load_report({"x-meter": "depth:0;concurrent:4.015"}, ["depth", "concurrent"]) == [
        0,
        4.015,
    ]


@pytest.mark.parametrize("kind", SPOILT)
def test_what_a_peer_spoils_is_asked_for_again_and_never_passed_on(rig, kind) -> None:
    rig.engine("e", f"sends:{kind}")
    rig.start()
    rig.call(1, "pay", patience=1500)
    rig.returned(1)
    rig.asked("e", "POST", 1)
    rig.idle()


@pytest.mark.parametrize("kind", MORE)
def test_more_than_a_good_answer_does_not_spoil_it_nor_the_next(rig, kind) -> None:
    rig.engine("e", f"sends:{kind}", "rows:2")
    rig.start()
    rig.call(1, "pay")
    rig.returned(1)
    rig.call(2, "pay")
    rig.returned(2, 2)
    rig.asked("e", "GET", 1)
    rig.idle()


@pytest.mark.parametrize(("fault", "cold"), [(ConnectionResetError, False), (ConnectionRefusedError, True)])
def test_only_an_engine_that_is_down_is_taken_for_one_started_anew(rig, monkeypatch, fault, cold) -> None:
    """A dial that was reset was answered: taken for a restart, it left idle engines a sixth of their work."""
    rig.set("rules.coldUs", "14000000")
    rig.engine("e")
    rig.start()
    place, left = rig.engines["e"].server.address, [2]

    class Flaky(socket.socket):
        def connect(self, address):
            if address == place and left[0]:
                left[0] -= 1
                raise fault
            super().connect(address)

    monkeypatch.setattr("pathturn.wire.engine_connection.socket.socket", Flaky)
    rig.call(1, "pay")
    rig.returned(1)
    rig.idle()
    assert bool(rig.gateway.facade.dispatcher.engines[0].cold_until_us) is cold


def test_an_answer_said_to_be_huge_takes_no_memory() -> None:
    answers = ResponseParser()
    with pytest.raises(MalformedResponseError):
        answers.feed(memoryview(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"))
    endless = ResponseParser()
    with pytest.raises(MalformedResponseError):
        for _ in range(10):
            assert not endless.feed(memoryview(b"HTTP/1.1 200 OK\r\nX-Pages: " + b"1" * 4000))


def test_outcomes_tell_what_is_proven() -> None:
    shed = {"x-shed": "1"}
    told = [
        engine_protocol.outcome(*each) for each in ((503, shed), (504, shed), (503, {}), (500, {}), (200, {}))
    ]
    assert told == [names.FULL, names.UNSENT, names.ERRORED, names.ERRORED, names.RETURNED]


def test_list_of_the_start_is_what_all_its_events_make() -> None:
    def server(name: str, state: str) -> dict:
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

    def event(full: bool, *servers: dict) -> dict:
        return {"endpoints": {"full": full, "servers": servers}}

    index, rows = discovery_protocol.parse_initial_list(
        {
            "index": 3,
            "updates": [
                event(True, server("a", "in_service"), server("b", "in_service")),
                event(False, server("a", "terminating")),
                event(False, server("b", "terminated")),
            ],
        }
    )
    assert (index, rows) == (3, [("a", ("127.0.0.1", 8443), "z", "m", 1, names.DRAINING, 2, 5)])


@pytest.mark.parametrize(
    "packet",
    [b"", b"\0\1", b"\0\1" + bytes(10), b"\0\1" + b"\xc0\x0c" * 99, b"\0\1\x84\0" + bytes(range(1, 200))],
)
def test_no_datagram_ends_the_following_of_the_list(packet: bytes) -> None:
    with pytest.raises(discovery_protocol.MalformedResponseError):
        discovery_protocol.parse_response(packet, 1)


def packed(count: int, *, serial: int = 9, texts: dict[int, list[bytes]] | None = None) -> bytes:
    """A list of so many engines, the names as short as DNS allows."""

    def record(name: bytes, sort: int, data: bytes) -> bytes:
        return name + struct.pack("!HHIH", sort, 1, 5, len(data)) + data

    out = bytearray(struct.pack("!6H", 1, 0x8180, 1, count, 1, 2 * count) + discovery_protocol.QUESTION)
    zone, labels = len(out) + 18 + 9, []
    for number in range(count):
        labels.append(b"\x08s-%06x" % number)
        out += record(
            b"\xc0\x0c",
            33,
            struct.pack("!3H", number % 2, 40, 8443)
            + labels[-1]
            + (struct.pack("!H", 0xC000 | zone) if number else b"\x04East\x05hosts\0"),
        )
    out += record(b"\0", 6, b"\0\0" + struct.pack("!5I", serial, 1, 1, 1, 1))
    for number, label in enumerate(labels):
        name = label.upper() + struct.pack("!H", 0xC000 | zone)  # DNS does not tell apart large from small
        told = (texts or {}).get(number, [b"kind=std", b"cell=2", b"started=5"])
        out += record(name, 1, bytes([127, 9, number >> 8, number & 255]))
        out += record(name, 16, b"".join(bytes([len(each)]) + each for each in told))
    return bytes(out)


def test_a_list_of_hundreds_is_read_whole_and_only_when_it_is_newer() -> None:
    serial, rows = discovery_protocol.parse_response(packed(640), 1)
    assert (serial, len(rows), len(packed(640)) <= 65_507) == (9, 640, True)
    assert rows[513] == ("s-000201", ("127.9.2.1", 8443), "East", "std", 2, names.DRAINING, 4.0, 5)
    assert discovery_protocol.parse_response(packed(640), 1, last_serial=9) == (9, None)


def test_own_reader_finds_what_a_dns_library_finds() -> None:
    record = DNSRecord.parse(discovery_protocol.build_query(1))
    assert (str(record.q.qname), record.q.qtype) == (discovery_protocol.SERVICE_NAME + ".", QTYPE.SRV)
    reply = DNSRecord.parse(packed(40))
    _, rows = discovery_protocol.parse_response(packed(40), 1)
    assert [row[1][0] for row in rows] == [str(each.rdata) for each in reply.ar if each.rtype == QTYPE.A]
    assert [row[0] for row in rows] == [str(each.rdata.target).split(".")[0] for each in reply.rr]


@given(place=st.integers(2, 4000), byte=st.integers(0, 255), cut=st.integers(0, 4000))
def test_no_spoilt_answer_does_more_than_be_refused(place: int, byte: int, cut: int) -> None:
    packet = bytearray(packed(40))
    packet[place % len(packet)] = byte
    for each in (bytes(packet), packed(40)[:cut]):
        with contextlib.suppress(discovery_protocol.MalformedResponseError):
            discovery_protocol.parse_response(each, 1)
    if cut < len(packed(40)):
        with pytest.raises(discovery_protocol.MalformedResponseError):
            discovery_protocol.parse_response(packed(40)[:cut], 1)


@pytest.mark.parametrize(
    "told",
    [
        [],
        [b"cell=2"],
        [b"kind=std", b"cell=x"],
        [b"kind=std", b"cell=-1"],
        [b"kind=std", b"started=99999999999999999999"],
    ],
)
def test_one_engine_told_badly_spoils_the_list(told: list[bytes]) -> None:
    with pytest.raises(discovery_protocol.MalformedResponseError):
        discovery_protocol.parse_response(packed(3, texts={1: told}), 1)


def test_pointers_that_lead_on_and_on_are_refused() -> None:
    chain = b"".join(struct.pack("!H", 0xC000 | 12 + 2 * max(0, each - 1)) for each in range(6000))
    head = struct.pack("!6H", 1, 0x8180, 0, 1, 0, 0)
    with pytest.raises(discovery_protocol.MalformedResponseError):
        discovery_protocol.parse_response(
            head + struct.pack("!HHHIH", 0xC00C, 33, 1, 5, len(chain)) + chain, 1
        )


def test_a_gateway_takes_a_list_of_hundreds_and_tells_of_one_it_cannot_read(rig, monkeypatch, capfd) -> None:
    rig.engine("e")
    answers = [packed(600, serial=2, texts={7: []}), packed(600, serial=2)]
    monkeypatch.setattr(
        rig,
        "directory",
        lambda packet, peer: rig.names.sendto(
            packet[:2] + (answers.pop(0) if len(answers) > 1 else answers[0])[2:], peer
        ),
    )
    rig.start()
    for _ in range(300):
        if len(rig.gateway.facade.engine_registry.ready) == 300:
            break
        gevent.sleep(0.01)
    assert len(rig.gateway.facade.engine_registry.endpoint_of) == 600
    assert "code=malformed_response reason=KeyError" in capfd.readouterr().err


def test_log_counts_what_it_leaves_out(capsys, monkeypatch) -> None:
    log, now = Log("n0"), [100.0]
    monkeypatch.setattr("pathturn.process.log.time.time", lambda: now[0])
    for number in range(MAX_LINES_PER_S + 3):
        log(f"line {number}")
    now[0] += 1
    log("next")
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == MAX_LINES_PER_S + 2
    assert lines[-2].endswith("log rate limit dropped=3") and lines[-1].endswith("n0 next")


def test_commands_tell_what_a_gateway_would_read(rig, tmp_path) -> None:
    rig.engine("e")
    config, statement = tmp_path / "config.json", tmp_path / "statement.sql"
    config.write_bytes(orjson.dumps(rig.configuration("127.0.0.1:8443")))
    statement.write_text("SELECT n FROM sales_17.orders")
    told = CliRunner().invoke(app, ["check", str(config)])
    assert told.exit_code == 0 and "connections: 90 from clients, 78 to engines" in told.output
    assert f"engine e at {at(rig.engines['e'].server)}, z, m" in told.output
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
def test_a_bad_client_gets_an_error_or_an_end_in_time_and_the_usual_one_its_rows(rig, pieces) -> None:
    rig.engine("e", "runs:200")
    rig.start()
    rig.call(1, "look")
    strangers = [rig.stranger(*pieces) for _ in range(3)]
    rig.returned(1)
    for link in strangers:
        with gevent.Timeout(3):
            try:
                told = link.recv(65_536)
            except ConnectionResetError:
                told = b""
        assert b"result" not in told and (not told or b'"error"' in told)
    rig.asked("e", "POST", 1)


def test_hundreds_that_hold_on_to_their_connection_do_not_shut_out_the_next(rig) -> None:
    rig.engine("e", "runs:600")
    rig.start()
    rig.call(1, "look")
    kept = [rig.stranger(b'{"jsonrpc":"2.0","id":1,"method":"ping"}\n') for _ in range(200)]
    assert all(b"healthy" in link.recv(200) for link in kept)
    assert len(rig.gateway.client_connections.active) <= connection_limits(rig.limit)[0]
    rig.returned(1)


def test_connections_without_use_end_and_those_with_work_or_half_a_line_stay() -> None:
    connection = ClientConnection.__new__(ClientConnection)
    connection.socket, client = socket.socketpair()
    connection.answer_greenlets, connection.lines, connection.line_received = (
        set(),
        jsonrpc.LineSplitter(100),
        True,
    )
    connection.last_active_us = connection.partial_line_since_us = 0
    assert (
        connection.timeout_reason(4_500_000) is None
        and connection.timeout_reason(5_500_000) == "idle"
        and connection.safe_to_close()
    )
    client.send(b"unread")  # closed now, the system would reset it, and the batch in it be lost
    assert connection.timeout_reason(5_500_000) is None and not connection.safe_to_close()
    connection.socket.recv(9)
    list(connection.lines.feed(memoryview(b"half")))
    assert connection.timeout_reason(2_500_000) == "partial_line" and not connection.safe_to_close()
    connection.answer_greenlets.add(1)
    assert connection.timeout_reason(9_000_000) is None and not connection.safe_to_close()


def test_a_client_that_never_reads_does_not_hold_its_writer(rig, monkeypatch) -> None:
    monkeypatch.setattr("pathturn.wire.client_connection.WRITE_TIMEOUT_S", 0.2)
    rig.start()
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        theirs = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
    connection = ClientConnection(ours, rig.gateway.facade, None, None, None, 100)
    with gevent.Timeout(2):
        connection._write(bytes(1 << 23))
    assert connection.code == "client_not_reading" and ours.closed
    theirs.close()


def test_a_flood_of_lines_leaves_the_others_their_time(rig) -> None:
    rig.engine("e")
    rig.start()
    line = b'{"jsonrpc":"2.0","id":%d,"method":"ping"}\n'
    for _ in range(4):
        rig.stranger(
            *(b"".join(line % (1000 * part + number) for number in range(1, 1001)) for part in range(100))
        )
    gevent.sleep(0.1)
    rig.call(1, "look", patience=300)
    rig.returned(1)


def test_a_round_that_fails_loses_no_answer(rig, monkeypatch) -> None:
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
def test_a_wake_is_not_lost_behind_one_that_a_round_took_time_to_ask_for(early_us) -> None:
    clock = itertools.count(1_000_000, 1_500).__next__  # as on a part of a core: each look costs time
    facade = Facade(*build_dispatcher(1, farm.settings()), clock, True, print)
    batch = facade.submit(None, "0" * 16, "look", 300_000, None, None, None, 0, 0, 1, False, b"")
    while not batch.ended:
        facade.run_round()
        assert batch.ended or facade.wake_at_us < inf, "nobody wakes the module for what it holds"
        # Whatever comes in may start a round a little before the wake that was asked for.
        while clock() < facade.wake_at_us - early_us and not batch.ended:
            pass
    assert clock() < batch.deadline_us


@pytest.mark.parametrize("text", ["", "{}", '{"name": 7', '{"name":"n","settings":{},"seed":"0","known":1}'])
def test_a_configuration_that_cannot_be_used_is_one_line_and_code_2(text: str, tmp_path) -> None:
    config = tmp_path / "config.json"
    config.write_text(text)
    for command in ("serve", "check"):
        told = CliRunner().invoke(app, [command, str(config)])
        assert told.exit_code == 2 and len(told.output.splitlines()) == 1, told.output
    assert CliRunner().invoke(app, ["serve", str(tmp_path / "none")]).exit_code == 2


@contextmanager
def process(rig, tmp_path):
    config = tmp_path / "config.json"
    config.write_bytes(orjson.dumps(rig.configuration(rig.spare_address())))
    running = subprocess.Popen(
        [sys.executable, "-m", "pathturn", "serve"],
        stderr=subprocess.DEVNULL,
        env={**os.environ, "EDGE_CONFIG": str(config)},
    )
    try:
        rig.connect()
        yield running
    finally:
        running.kill()
        running.wait()


def test_a_gateway_that_stood_still_hears_what_came_before_it_judges(rig, tmp_path) -> None:
    rig.set("domain.progressUs", "100000")
    rig.engine("e", "notes:300", "notes:1800")
    rig.engine("f", "notes:1800")
    with process(rig, tmp_path) as running:
        for number in range(1, 7):
            rig.call(number, "load", patience="3000")
        gevent.sleep(0.15)
        running.send_signal(signal.SIGSTOP)
        gevent.sleep(1.2)
        running.send_signal(signal.SIGCONT)
        for number in range(1, 7):
            rig.returned(number)
        asked = [each[0] for engine in rig.engines.values() for each in engine.asked]
        assert asked.count("POST") == 6 and "DELETE" not in asked


def test_batches_of_one_key_keep_their_order_over_a_standstill(rig, tmp_path) -> None:
    """The event loop has the last socket that became readable read first, and nothing tells when each was
    written: one goes out, and the other is pushed back while that is harmless."""
    rig.engine("e")
    with process(rig, tmp_path) as running:
        first, second, rig.client = rig.client, socket.create_connection(rig.listen), None
        rig.greenlets.append(gevent.spawn(rig.read, second))
        gevent.sleep(0.1)
        for round_of in range(3):
            running.send_signal(signal.SIGSTOP)
            for number, rig.client in ((1, first), (2, second)):
                rig.call(2 * round_of + number, "load", key="k")
                gevent.sleep(0.06)
            running.send_signal(signal.SIGCONT)
            gevent.sleep(0.2)
            ends = [rig.answered(2 * round_of + number) for number in (1, 2)]
            assert sorted(each.get("error", {}).get("code", 0) for each in ends) == [jsonrpc.PUSHED_BACK, 0]
        second.close()


def test_a_stopped_process_answers_what_it_took_and_ends_well(rig, tmp_path) -> None:
    rig.engine("e", "runs:1200")
    with process(rig, tmp_path) as running:
        rig.call(1, "pay")
        gevent.sleep(0.1)
        running.send_signal(signal.SIGTERM)
        gevent.sleep(0.3)
        rig.call(2, "look")
        rig.errored(1)
        rig.pushed_back(2)
        with gevent.Timeout(3):
            while running.poll() is None:
                gevent.sleep(0.02)
        assert running.returncode == 0


@pytest.mark.parametrize(
    ("limit", "told", "row", "least", "most"),
    [
        (7000, 4500, 1920, 2.6, 2.8),
        (7000, 2000, 1900, 0, 0.6),
        (25_000, 4500, 1920, 2.4, 2.7),
        (2000, 2000, 480, 1.4, 1.6),
        (2000, 400, 380, 0, 0.3),
    ],
)
def test_a_batch_in_order_is_answered_though_its_patience_ran_on_before_it_was_written(
    rig, limit, told, row, least, most
) -> None:
    """Its client wrote it behind others of its key: a row's time of what it says was over by then, and half a
    second after the rest an answer is lost. A row takes no more than a part of the group's time limit."""
    rig.settings["classes"][2]["deadlineUs"] = limit * 1000
    rig.engine("e", "runs:9000")
    rig.start()
    began = monotonic()
    rig.say(
        id=1,
        method="load",
        params={
            "trace": "1" * 16,
            "patience": told,
            "weight": 100,
            "est_mb": 1,
            "entity": "k",
            "nonce": "n",
            "data": "U0VMRUNU",
        },
    )
    rig.call(2, "look", patience=200)  # these need not wait for a turn
    rig.pushed_back(2)
    rig.pushed_back(1)
    assert least < monotonic() - began < most
    assert monotonic() - began < (told - row) / 1000 + 0.5


def test_the_next_of_a_key_goes_out_once_the_answer_before_it_is_written(rig) -> None:
    """Held up by an answer before it on its connection; batches of other keys need not wait."""
    rig.engine("e", "rows:1")
    rig.start()
    rig.call(1, "load", key="first")
    rig.returned(1)
    (slow,) = rig.gateway.client_connections.active
    with slow.write_lock:
        rig.call(2, "load", key="k", patience=3000)
        gevent.sleep(0.2)
        rig.connect()
        rig.call(3, "load", key="k", patience=3000)
        rig.call(4, "load", key="other", patience=3000)
        rig.returned(4)
        assert len(rig.engines["e"].posts()) == 3
    for number in (2, 3):
        rig.returned(number)


def test_what_comes_late_to_a_stopping_process_is_turned_away_at_once(rig, tmp_path) -> None:
    rig.engine("e", "runs:1500")
    with process(rig, tmp_path) as running:
        rig.call(1, "load", patience=4000)
        gevent.sleep(0.1)
        running.send_signal(signal.SIGTERM)
        running.send_signal(signal.SIGHUP)
        gevent.sleep(0.8)
        rig.call(2, "look")
        rig.call(3, "load", key="k1")
        rig.pushed_back(2, within=150)
        rig.pushed_back(3, within=150)
        rig.returned(1)


def test_replaced_engines_leave_nothing_behind(rig) -> None:
    """For as long as a gateway runs, engines come with new ids, some at the address of one that has gone."""
    rig.engine("e0")
    rig.start()
    for number in range(1, 6):
        server = rig.engines[f"e{number - 1}"]
        rig.change(f"e{number - 1}", "gone")
        rig.engines[f"e{number}"], rig.states[f"e{number}"] = server, "in_service"
        gevent.sleep(0.4)
        rig.call(number, "load", key="k")
        rig.returned(number)
    gevent.sleep(0.4)
    dispatcher, facade, connection_pool = (
        rig.gateway.facade.dispatcher,
        rig.gateway.facade,
        rig.gateway.connection_pool,
    )
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
        and len(rig.engines["e0"].posts()) == 5
    )


def test_a_reloaded_process_follows_the_directory_it_is_told_of_and_keeps_what_is_open(rig, tmp_path) -> None:
    rig.engine("e", "runs:850")
    rig.engine("f", "runs:850")
    with process(rig, tmp_path) as running:
        rig.call(1, "pay")
        gevent.sleep(0.1)
        rig.names.stop(0)
        config, told = tmp_path / "config.json", rig.configuration("127.0.0.1:1")
        for text in (b'{"names": "127.0', b"", b'{"names": "nowhere"}', b"[]"):
            config.write_bytes(text)
            running.send_signal(signal.SIGHUP)
            gevent.sleep(0.1)
        rig.change("e", "draining")
        config.write_bytes(orjson.dumps(told))
        running.send_signal(signal.SIGHUP)
        gevent.sleep(0.25)
        seen = len(rig.engines["e"].posts())
        for number in range(2, 8):
            rig.call(number, "look")
        for number in range(1, 8):
            rig.returned(number)
        assert len(rig.engines["e"].posts()) == seen
        assert running.poll() is None

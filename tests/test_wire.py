"""What is spoken, without sockets; and a gateway's whole life as a process."""

import os
import signal
import subprocess
import sys
from contextlib import contextmanager

import gevent
import orjson
import pytest
from conftest import at
from typer.testing import CliRunner

from pathturn.cli import app
from pathturn.core import interface as names
from pathturn.process.log import LINES_A_SECOND, Log
from pathturn.wire import directory, jsonrpc, warehouse
from pathturn.wire.http import Answers
from pathturn.wire.statement import data_set


@pytest.mark.parametrize(("statement", "number"), [
    ("SELECT a FROM sales_17.orders", 17),
    ("select 'from lake_0.decoy' as note\n from lake_6.stock a where a.tag = 'it''s mart_2.x'", 6),
    ("SELECT n -- was: from mart_1.old\nFROM mart_8.events", 8),
    ("SELECT n /* from mart_1.old, * */ FROM \"mart_9\".\"events\"", 9),
    ("INSERT INTO ops_4.lines SELECT * FROM staging.ops_5", 4),
    ("COPY staging.incoming_3 TO 'ops_5.x'; INSERT INTO lake_12.t SELECT * FROM staging.incoming_3", 12),
    ("SELECT t_1.n FROM (SELECT n FROM ops_7.lines) t_1", 7),
    ("SELECT $$ from mart_1.old $$ FROM sales_2 . orders", 2),
    ("SELECT 1", 0),
    ("SELECT 'never closed from mart_1.old", 0),
])
def test_data_set_is_the_number_of_the_schema_alone(statement: str, number: int) -> None:
    assert data_set(statement) == number


def test_lines_are_cut_wherever_the_pieces_end() -> None:
    lines, text = jsonrpc.Lines(), b'{"id":1}\n\n{"id":2}\n{"id":3}\n'
    found = [line for at in range(0, len(text), 5) for line in lines.feed(memoryview(text[at:at + 5]))]
    assert found == [b'{"id":1}', b'{"id":2}', b'{"id":3}']
    with pytest.raises(jsonrpc.Unusable):
        list(lines.feed(memoryview(bytes(jsonrpc.LONGEST_LINE + 1))))


def test_answers_are_read_one_after_another_and_tell_whether_the_connection_stays() -> None:
    answers = Answers()
    first = b"HTTP/1.1 202 Later\r\nX-Remark: waits\r\nX-Value: 2\r\nContent-Length: 0\r\n\r\n"
    assert not answers.feed(memoryview(first[:30]))
    assert answers.feed(memoryview(first[30:]))
    status, fields, body = answers.take()
    assert (status, body, warehouse.note(fields), answers.keeps) == (202, b"", (names.WAITS, 2.0), True)
    last = (b"HTTP/1.1 200 OK\r\nConnection: close\r\nX-Meter: queue:1.5;inflight:7\r\n"
            b"Content-Length: 2\r\n\r\na\n")
    assert answers.feed(memoryview(last))
    _, fields, body = answers.take()
    assert body == b"a\n" and not answers.keeps
    assert warehouse.meter(fields, ["concurrent", "depth"]) == [7, 1.5]
    assert warehouse.meter(fields, ["concurrent", "x0"]) is None
    # Seen on a day: the settings' own names. Read as none, every load report was lost.
    assert warehouse.meter({"x-meter": "depth:0;concurrent:4.015"}, ["depth", "concurrent"]) == [0, 4.015]


def test_outcomes_tell_what_is_proven() -> None:
    shed = {"x-shed": "1"}
    told = [warehouse.outcome(*each) for each in ((503, shed), (504, shed), (503, {}), (500, {}), (200, {}))]
    assert told == [names.FULL, names.UNSENT, names.ERRORED, names.ERRORED, names.RETURNED]


def test_list_of_the_start_is_what_all_its_events_make() -> None:
    def server(name: str, state: str) -> dict:
        return {"id": name, "addr": "127.0.0.1:8443", "zone": "z", "kind": "m", "cell": 1, "state": state,
                "weight": 2, "started_ms": 5}

    def event(full: bool, *servers: dict) -> dict:
        return {"endpoints": {"full": full, "servers": servers}}

    index, rows = directory.known({"index": 3, "updates": [
        event(True, server("a", "in_service"), server("b", "in_service")),
        event(False, server("a", "terminating")), event(False, server("b", "terminated"))]})
    assert (index, rows) == (3, [("a", ("127.0.0.1", 8443), "z", "m", 1, names.DRAINING, 2, 5)])


@pytest.mark.parametrize("packet", [b"", b"\0\1", b"\0\1" + bytes(10), b"\0\1" + b"\xc0\x0c" * 99,
                                    b"\0\1\x84\0" + bytes(range(1, 200))])
def test_no_datagram_ends_the_following_of_the_list(packet: bytes) -> None:
    with pytest.raises(directory.Unreadable):
        directory.answer(packet, 1)


def test_log_counts_what_it_leaves_out(capsys, monkeypatch) -> None:
    log, now = Log("n0"), [100.0]
    monkeypatch.setattr("pathturn.process.log.time.time", lambda: now[0])
    for number in range(LINES_A_SECOND + 3):
        log(f"line {number}")
    now[0] += 1
    log("next")
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == LINES_A_SECOND + 2
    assert lines[-2].endswith("log 3 lines left out") and lines[-1].endswith("n0 next")


def test_commands_tell_what_a_gateway_would_read(rig, tmp_path) -> None:
    rig.engine("e")
    config, statement = tmp_path / "config.json", tmp_path / "statement.sql"
    config.write_bytes(orjson.dumps(rig.configuration("127.0.0.1:8443")))
    statement.write_text("SELECT n FROM sales_17.orders")
    told = CliRunner().invoke(app, ["check", str(config)])
    assert told.exit_code == 0 and "connections: 66 from clients, 102 to engines" in told.output
    assert f"engine e at {at(rig.engines['e'].server)}, z, m" in told.output
    assert CliRunner().invoke(app, ["data-set", str(statement)]).output == "17\n"


def test_a_round_that_fails_loses_no_answer(rig, monkeypatch) -> None:
    rig.engine("e", "runs:200")
    rig.start()
    gevent.sleep(0.05)
    with monkeypatch.context() as patch:
        patch.setattr(rig.gateway.facade.decider, "round", lambda *_: 1 // 0)
        rig.call(1, "look", patience="300")
        gevent.sleep(0.05)
    rig.call(2, "look")
    rig.errored(1, within="450")
    rig.returned(2)
    rig.idle()


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
    running = subprocess.Popen([sys.executable, "-m", "pathturn", "serve"], stderr=subprocess.DEVNULL,
                               env={**os.environ, "EDGE_CONFIG": str(config)})
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


def test_a_reloaded_process_follows_the_directory_it_is_told_of_and_keeps_what_is_open(rig, tmp_path) -> None:
    rig.engine("e", "runs:900")
    rig.engine("f", "runs:900")
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

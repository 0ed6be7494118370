"""Faults of the operator's part (analysis, ledger, control socket) harm neither requests nor a stop."""

import time

import gevent
import orjson
import pytest
from test_close_range import wait_until
from test_operator import DOCUMENT, Site, change_request, gateway_process, wait_ready

from pathturn.change.ledger import LedgerWriteError
from pathturn.process.gateway import MAX_TIME_LIMIT_S, SHUTDOWN_GRACE_S
from pathturn.standins.fleet import Fleet, write_installation

# By the protocol SIGKILL comes no earlier than this after SIGTERM.
KILL_AFTER_S = MAX_TIME_LIMIT_S + SHUTDOWN_GRACE_S


@pytest.fixture
def site(tmp_path):
    site = Site(tmp_path)
    yield site
    site.close()


def fail(*_args, **_kwargs):
    raise RuntimeError("a fault of the operator's part")


def analysis_fails(site, monkeypatch) -> None:
    monkeypatch.setattr(site.change_manager.analysis, "findings", fail)


def ledger_fails(site, monkeypatch) -> None:
    monkeypatch.setattr(site.operator.ledger, "record_step", fail)


def ledger_is_full(site, monkeypatch) -> None:
    def fail_write(_change):
        raise LedgerWriteError("disk full")

    monkeypatch.setattr(site.operator.ledger, "record_step", fail_write)


def ledger_hangs(site, monkeypatch) -> None:
    monkeypatch.setattr(site.operator.ledger, "record_step", lambda _change: time.sleep(6))


def ledger_cannot_be_closed(site, monkeypatch) -> None:
    monkeypatch.setattr(site.operator.ledger, "close", fail)


def closing_the_ledger_hangs(site, monkeypatch) -> None:
    monkeypatch.setattr(site.operator.ledger, "close", lambda: time.sleep(6))


def control_socket_fails(site, monkeypatch) -> None:
    monkeypatch.setattr(site.operator.control, "stop", fail)


def control_path_is_a_folder(site, monkeypatch) -> None:
    path = site.operator.control.path
    path.unlink()
    path.mkdir()


def a_request_holds_the_lock(site, monkeypatch) -> None:
    """A request of an operator waits for the disk, and a stop comes meanwhile."""

    def hold() -> None:
        with site.change_manager.lock:
            gevent.sleep(6)

    gevent.spawn(hold)
    gevent.sleep(0.01)


FAULTS = (
    analysis_fails,
    ledger_fails,
    ledger_is_full,
    ledger_hangs,
    ledger_cannot_be_closed,
    closing_the_ledger_hangs,
    control_socket_fails,
    control_path_is_a_folder,
    a_request_holds_the_lock,
)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_a_stop_answers_open_requests_whatever_fails_in_the_operators_part(site, monkeypatch, fault) -> None:
    """Guards against a stop that ends, or waits past its kill, because a change on trial can't be rolled
    back: all open requests were lost."""
    for engine in site.engines.values():
        engine.behaviours = ["runs:900"]
    site.change_manager.stage(change_request("c", to="one"))
    site.change_manager.apply("c")
    fault(site, monkeypatch)
    client = site.load_generator.clients[0]
    for _ in range(8):
        client.send("look", 1400)
    wait_until(lambda: len(site.gateway.facade.batches) == 8)
    began = time.monotonic()
    site.gateway.stop_requested.set()
    site.running.join(KILL_AFTER_S)
    assert site.running.successful(), "the gateway did not end, or not without an exception"
    assert time.monotonic() - began < KILL_AFTER_S
    assert client.outcomes["look"]["returned"] == 8, client.outcomes["look"]


def test_a_fault_of_the_watch_rolls_the_change_back_and_the_watch_goes_on(site, monkeypatch) -> None:
    """Guards against a watch that ends in silence: its change stayed on trial with nobody watching."""
    lines: list[str] = []
    monkeypatch.setattr(site.change_manager, "log", lines.append)
    site.change_manager.stage(change_request("c", to="one"))
    site.change_manager.apply("c")
    analysis_fails(site, monkeypatch)
    site.wait_change_ended(3)
    (change,) = site.change_manager.history(1)
    assert change.state == "undone" and "watch failed: RuntimeError" in change.reason
    assert site.change_manager.router.candidate is None
    assert any("code=evaluation_failed" in line for line in lines)
    # The next change is watched by the same greenlet, and kept at the end of its watch.
    site.change_manager.stage(
        change_request("d", to="one", change={"watch": "1s", "canary": [], "unclear": "keep"})
    )
    site.change_manager.apply("d")
    site.wait_change_ended(4)
    assert site.change_manager.history(1)[0].state == "kept"


def test_a_fault_of_the_analysis_does_not_keep_a_request_from_its_answer(site, monkeypatch) -> None:
    """The outcome of each request is recorded for the analysis when it ends."""
    site.change_manager.stage(change_request("c", to="one", change={"watch": "30s", "canary": []}))
    site.change_manager.apply("c")
    monkeypatch.setattr(site.change_manager.analysis, "add", fail)
    client = site.load_generator.clients[0]
    for _ in range(3):
        client.send("look", 1400)
    wait_until(lambda: client.outcomes["look"]["returned"] == 3)
    wait_until(lambda: not len(site.gateway.facade.batches))
    site.wait_change_ended(3)
    assert site.change_manager.history(1)[0].state == "undone"


def test_the_process_ends_with_code_0_if_its_control_socket_cannot_be_removed(tmp_path) -> None:
    fleet, control = Fleet(), tmp_path / "control"
    fleet.engine("n0")
    fleet.engine("worn")
    write_installation(tmp_path, DOCUMENT, "json")
    with gateway_process(fleet, tmp_path) as running:
        wait_ready(control)
        control.unlink()
        control.mkdir()
        running.terminate()
        assert running.wait(5) == 0
        events = [orjson.loads(line)["event"] for line in running.stderr.read().splitlines()]
        assert events[-1] == "stopped"
    fleet.stop()

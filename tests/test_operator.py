"""A gateway with an operator's file on loopback: changes under traffic, the control socket, kills and
signals."""

import os
import signal
import stat
import subprocess
import sys
from contextlib import contextmanager
from time import monotonic

import gevent
import orjson
import pytest
from gevent import socket
from typer.testing import CliRunner

from pathturn.change.ledger import LedgerWriteError
from pathturn.change.manager import ChangeRequest
from pathturn.change.states import ChangeRefusedError, Observation
from pathturn.cli import app
from pathturn.config.read import Unusable
from pathturn.control import server
from pathturn.process.gateway import GatewayProcess
from pathturn.standins.clients import Crowd, judged
from pathturn.standins.farm import Farm, installed, spare_address

POOLS = {"good": {"ids": "n*"}, "bad": {"ids": "worn"}, "one": {"ids": "n0"}}
DOCUMENT = {
    "version": 1,
    "pools": POOLS,
    "default": "good",
    "routes": [
        {"name": "loads", "match": {"groups": ["load"]}, "to": "good"},
        {"name": "sets", "match": {"groups": ["look"], "data_sets": [[1, 5]]}, "to": "good"},
        {"name": "once", "match": {"groups": ["pay"]}, "to": "good"},
    ],
    "change": {"watch": "4s", "canary": [{"share": "50%", "hold": "2s"}], "unclear": "keep"},
}


def request(name, base=1, to="bad", **more):
    routes = [row | {"to": to} for row in DOCUMENT["routes"]]
    return ChangeRequest(name, base, "me", "a test", DOCUMENT | {"routes": routes} | more)


class Site(Farm):
    def __init__(self, folder, document=DOCUMENT):
        super().__init__()
        self.settings["limits"]["maxAttempts"] = 2
        for name in ("n0", "n1", "n2"):
            self.engine(name, "runs:20")
        self.engine("worn", *["reset", "error", "runs:20"] * 100, "error")
        self.address = spare_address()
        told = self.configuration("{}:{}".format(*self.address))
        self.gateway = GatewayProcess(told, installed(folder, document))
        self.gateway.server.start()
        self.running = gevent.spawn(self.gateway.run)
        self.operator, self.change_manager = self.gateway.operator, self.gateway.operator.change_manager
        self.crowd = Crowd(self.address)

    def close(self):
        self.running.kill()
        self.gateway.server.stop(0)
        self.gateway.greenlets.kill()
        self.gateway.discovery_client.poller.kill()
        self.operator.close()
        self.crowd.close()
        self.stop()

    def over(self, within=15):
        end = monotonic() + within
        while self.change_manager.change is not None and monotonic() < end:
            gevent.sleep(0.02)
        assert self.change_manager.change is None

    def settled(self):
        self.crowd.settle()
        seen = judged(
            (row for engine in self.engines.values() for row in engine.begun),
            (nonce for caller in self.crowd.callers for nonce in caller.returned),
        )
        assert not self.crowd.missing() and not self.crowd.doubled_answers()
        assert (seen["doubled"], seen["out_of_order"], seen["never_begun"]) == (0, 0, 0), seen


@pytest.fixture
def site(tmp_path):
    site = Site(tmp_path)
    yield site
    site.close()


def test_a_harmful_change_during_a_drain_is_undone_and_no_load_is_lost_doubled_or_reordered(site) -> None:
    traffic = gevent.spawn(site.crowd.run, 70, 60)
    gevent.sleep(4)
    site.change_manager.stage(request("harm"))
    site.change("n2", "draining")
    drained = monotonic()
    site.change_manager.apply("harm")
    site.over()
    undone = site.change_manager.history(1)[0]
    assert undone.state == "undone" and undone.reason.startswith("harm: ") and undone.figures
    assert site.change_manager.router.current.generation == 1 and site.change_manager.router.candidate is None
    gevent.sleep(2.5)
    traffic.kill()
    site.settled()
    assert any(site.engines["worn"].posted), "the change never took effect"
    late = [at for at in site.engines["n2"].posted if at > drained + 1.0]
    assert not late, "an engine that drains got something new"
    last = max(site.engines["worn"].posted)
    assert last < drained + 15


def test_an_undo_takes_held_loads_back_in_their_order(site) -> None:
    """To an engine that hangs a key's first load goes out; the others wait behind it until the undo."""
    site.engines["worn"].words = ["hang"]
    limits = [{"name": "l", "pool": "bad", "out": 1}]
    site.change_manager.stage(request("c", change={"watch": "30s", "canary": []}, limits=limits))
    site.change_manager.apply("c")
    for _ in range(4):
        site.crowd.load("k")
    while not site.engines["worn"].posted:
        gevent.sleep(0.01)
    for number in range(6):
        site.crowd.callers[1].send("look", 1400, data_set=3, customer=f"f{number}")
    gevent.sleep(0.5)
    held = [batch for batch in site.gateway.facade.batches.by_index.values() if not batch.dispatch_count]
    assert len(held) == 9 and {batch.destination.generation for batch in held} == {2}
    undone = site.change_manager.undo("c", "me", "enough")
    assert undone.state == "undone" and "enough" in undone.reason
    assert {batch.destination.generation for batch in held} == {1}
    begun = monotonic()
    while site.crowd.callers[1].ends["look"]["returned"] < 6 and monotonic() - begun < 2:
        gevent.sleep(0.01)
    assert monotonic() - begun < 1, "what was sent nowhere goes on at once"
    site.settled()
    order = [nonce for engine in site.engines.values() for _, nonce in engine.begun]
    assert order == sorted(order)


def test_a_good_change_is_kept_and_its_whole_meaning_is_in_force(site) -> None:
    traffic = gevent.spawn(site.crowd.run, 60, 60)
    gevent.sleep(2)
    site.change_manager.stage(
        request("good", to={"one": 0.5, "good": 0.5}, limits=[{"name": "l", "pool": "one", "out": 2}])
    )
    site.change_manager.apply("good")
    assert site.change_manager.status()["share"] == 0.5
    site.over()
    assert (
        site.change_manager.history(1)[0].state == "kept"
        and site.change_manager.router.current.generation == 2
    )
    gevent.sleep(0.5)
    limiter = site.change_manager.router.current.targets[0].destinations[0].limiters[0]
    assert limiter.meter.dispatches_in_flight <= 2
    traffic.kill()
    site.settled()
    assert (limiter.meter.open_batches, limiter.meter.dispatches_in_flight) == (0, 0)


def test_two_operators_at_once_and_requests_that_are_repeated(site) -> None:
    found = {}

    def stage(name):
        try:
            found[name] = site.change_manager.stage(request(name))
        except ChangeRefusedError as fault:
            found[name] = fault.code

    gevent.joinall([gevent.spawn(stage, name) for name in ("a", "b")])
    winner = next(name for name in found if not isinstance(found[name], str))
    assert sorted(map(str, (each for each in found.values() if isinstance(each, str)))) == ["busy"]
    again = site.change_manager.stage(request(winner))
    assert again == found[winner] and len(site.change_manager.history(9)) == 1
    with pytest.raises(ChangeRefusedError, match="another document"):
        site.change_manager.stage(request(winner, to="one"))
    begun = site.change_manager.apply(winner)
    assert site.change_manager.apply(winner) == begun
    both = [gevent.spawn(site.change_manager.undo, winner, who, "stop") for who in ("x", "y")]
    gevent.joinall(both)
    assert both[0].value == both[1].value and both[0].value.state == "undone"
    assert again.what == ("routes: 3 changed (loads, sets, once)",)
    with pytest.raises(ChangeRefusedError, match="generation 7"):
        site.change_manager.stage(request("late", base=7))
    with pytest.raises(ChangeRefusedError, match="no change"):
        site.change_manager.apply("nothing")
    with pytest.raises(Unusable):
        site.change_manager.stage(request("broken", to="nowhere"))
    assert site.change_manager.change is None


def test_a_change_whose_traffic_never_comes_gets_the_stated_answer(site) -> None:
    quick = {"watch": "300ms", "canary": []}
    for name, change, more, state in (
        ("a", quick | {"unclear": "undo"}, {}, "undone"),
        ("b", quick | {"unclear": "undo"}, {"routes": DOCUMENT["routes"]}, "kept"),
        ("c", quick | {"unclear": "keep"}, {}, "kept"),
    ):
        base = site.change_manager.router.current.generation
        site.change_manager.stage(request(name, base, "one", change=change, **more))
        site.change_manager.apply(name)
        site.over()
        ended = site.change_manager.history(1)[0]
        assert ended.state == state and ("too little" in ended.reason) == (name != "b"), ended


def test_an_undo_that_races_the_guards_own_is_one_undo(site, monkeypatch) -> None:
    site.change_manager.stage(request("c", to="one"))
    site.change_manager.apply("c")
    monkeypatch.setattr(site.change_manager, "_observe", lambda: Observation("look: late", ()))
    both = [
        gevent.spawn(site.change_manager.evaluate_trial),
        gevent.spawn(site.change_manager.undo, "c", "me", "too"),
    ]
    gevent.joinall(both)
    assert both[1].value.reason == "harm: look: late"
    assert [step.change.state for step in site.operator.ledger.steps("c")] == ["staged", "canary", "undone"]


def test_a_step_that_cannot_be_written_does_not_take_effect_and_an_undo_does(site) -> None:
    site.change_manager.stage(request("c", to="one"))
    moved = site.operator.ledger.record_step

    def full(change):
        raise LedgerWriteError("disk full")

    site.operator.ledger.record_step = full
    with pytest.raises(LedgerWriteError):
        site.change_manager.apply("c")
    assert site.change_manager.router.candidate is None and site.change_manager.change.state == "staged"
    site.operator.ledger.record_step = moved
    site.change_manager.apply("c")
    site.operator.ledger.record_step = full
    assert site.change_manager.undo("c", "me", "anyway").state == "undone"
    assert site.change_manager.router.candidate is None and site.change_manager.change is None
    site.operator.ledger.record_step = moved
    assert site.operator.ledger.recover(1).state == "undone", "the next start undoes it too"


def test_a_pool_that_the_list_empties_holds_back_no_other_and_fills_again(site) -> None:
    site.change_manager.stage(request("c", to="one", change={"watch": "1s", "canary": [], "unclear": "keep"}))
    site.change_manager.apply("c")
    site.over()
    site.change("n0", "gone")
    gevent.sleep(0.6)
    assert site.change_manager.status()["pools"]["one"] == {"engines": 0, "ready": 0}
    caller = site.crowd.callers[0]
    for data_set in (3, 3, 8, 8):
        caller.send("look", 600, data_set=data_set)
    site.crowd.settle()
    assert caller.ends["look"] == {"pushed_back": 2, "returned": 2}
    site.change("n0", "in_service")
    gevent.sleep(0.6)
    caller.send("look", 1000, data_set=3)
    site.settled()
    assert caller.ends["look"]["returned"] == 3


# The control socket.
def call(path, *lines, end=False):
    link = socket.socket(socket.AF_UNIX)
    link.connect(str(path))
    for line in lines:
        link.sendall(line)
    if end:
        link.shutdown(socket.SHUT_WR)
    answers = []
    with gevent.Timeout(3, False):
        for line in link.makefile("rb"):
            answers.append(orjson.loads(line))
    return answers


def test_the_control_socket_is_private_and_stands_bad_peers(site, tmp_path, monkeypatch) -> None:
    path = tmp_path / "control"
    assert stat.S_IMODE(path.stat().st_mode) == 0o600
    monkeypatch.setattr(server, "HALF_S", 0.2)
    codes = [
        each["error"]["code"]
        for each in call(
            path,
            b"nonsense\n",
            b"[]\n",
            b'{"method":"x","id":1}\n',
            b'{"method":"change.apply","id":2}\n',
            b'{"method":"change.undo","id":3,"params":{"id":"c","who":1,"why":"y"}}\n',
            b'{"method":"change.history","id":4,"params":{"most":0}}\n',
            b'{"method":"config.check","id":5,"params":{"document":{"pools":3}}}\n',
            end=True,
        )
    ]
    assert codes == [-32700, -32700, -32601, -32602, -32010, -32010, -32011]
    began = monotonic()
    assert call(path, b'{"method"') == [] and monotonic() - began < 2, "half a line ends its connection"
    monkeypatch.setattr(server, "LONGEST_LINE", 1000)
    assert call(path, b"x" * 5000, end=True)[0]["error"]["message"] == "overlong_line"
    idle = [socket.socket(socket.AF_UNIX) for _ in range(server.MOST_PEERS + 4)]
    for link in idle:
        link.connect(str(path))
    caller = site.crowd.callers[0]
    caller.send("look", 1000)
    site.settled()
    assert caller.ends["look"]["returned"] == 1
    for link in idle:
        link.close()
    status = call(path, b'{"jsonrpc":"2.0","method":"change.status","id":9}\n', end=True)
    assert status[0]["result"]["generation"] == 1


def test_a_socket_that_answers_is_not_taken_over_and_a_dead_one_is(site, tmp_path) -> None:
    with pytest.raises(server.InUse, match="another process"):
        server.listener(tmp_path / "control")
    (tmp_path / "file").write_text("x")
    with pytest.raises(server.InUse, match="no socket"):
        server.listener(tmp_path / "file")
    server.listener(tmp_path / "left").close()
    assert (tmp_path / "left").exists()
    server.listener(tmp_path / "left").close()


# Whole processes.
@contextmanager
def process(farm, folder):
    (folder / "config.json").write_bytes(orjson.dumps(farm.configuration("{}:{}".format(*spare_address()))))
    running = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "pathturn",
            "serve",
            str(folder / "config.json"),
            "--operator",
            str(folder / "operator.json"),
        ],
        stderr=subprocess.PIPE,
    )
    try:
        yield running
    finally:
        running.kill()
        running.wait()


def told(*words, control):
    found = CliRunner().invoke(app, [*words, "--control", str(control), "--json"])
    return found.exit_code, orjson.loads(found.output) if found.exit_code < 2 else found.output


def ready(control):
    for _ in range(400):
        if control.exists() and told("change", "status", control=control)[0] == 0:
            return
        gevent.sleep(0.02)
    raise AssertionError("no gateway answers")


@pytest.mark.parametrize("how", [signal.SIGKILL, signal.SIGTERM])
def test_a_gateway_that_ends_in_a_canary_comes_back_in_the_old_generation(tmp_path, how) -> None:
    farm, control = Farm(), tmp_path / "control"
    farm.engine("n0")
    farm.engine("worn")
    installed(tmp_path, DOCUMENT, "json")
    (tmp_path / "new.json").write_bytes(orjson.dumps(request("c").document))
    with process(farm, tmp_path) as running:
        ready(control)
        stage = ("change", "stage", str(tmp_path / "new.json"), "--id", "c", "--why", "w")
        code, staged = told(*stage, control=control)
        assert code == 0 and staged["state"] == "staged" and staged["generation"] == 2
        assert told("change", "apply", "c", control=control)[1]["state"] == "canary"
        os.kill(running.pid, signal.SIGHUP)
        assert told("change", "status", control=control)[1]["share"] == 0.5
        os.kill(running.pid, how)
        assert running.wait(5) == (0 if how == signal.SIGTERM else -how)
        lines = running.stderr.read().splitlines()
        assert all(orjson.loads(line)["gateway"] == "n0" for line in lines)
    with process(farm, tmp_path):
        ready(control)
        assert told("change", "status", control=control)[1]["generation"] == 1
        (undone,) = told("change", "history", control=control)[1]
        assert undone["state"] == "undone" and ("stop" in undone["reason"] or "ended" in undone["reason"])
        assert told("change", "apply", "c", control=control)[1]["state"] == "undone"
    farm.stop()


def test_commands_tell_what_is_wrong_by_line_and_exit_code(tmp_path) -> None:
    good, bad = tmp_path / "good.json", tmp_path / "bad.json"
    good.write_bytes(orjson.dumps(DOCUMENT))
    bad.write_bytes(orjson.dumps(DOCUMENT | {"pool": 1, "default": 7}))
    run = CliRunner().invoke
    assert run(app, ["config", "check", str(good)]).exit_code == 0
    found = run(app, ["config", "check", str(bad)])
    assert found.exit_code == 1 and len(found.output.splitlines()) == 2 and "fix:" in found.output
    assert run(app, ["config", "check", str(tmp_path / "none")]).exit_code == 2
    found = run(app, ["change", "status", "--control", str(tmp_path / "none")])
    assert found.exit_code == 4 and len(found.output.splitlines()) == 1
    farm = Farm()
    farm.engine("n0")
    config = tmp_path / "config.json"
    config.write_bytes(orjson.dumps(farm.configuration("127.0.0.1:1")))
    found = run(app, ["config", "check", str(good), "--gateway", str(config)])
    assert found.exit_code == 1 and "pools.bad: no listed engine matches this pool" in found.output
    installed(tmp_path, {"version": 1})
    found = run(app, ["serve", str(config), "--operator", str(tmp_path / "operator.json")])
    assert found.exit_code == 2 and len(found.output.splitlines()) == 1 and "pools: missing" in found.output
    farm.stop()

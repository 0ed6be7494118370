"""A gateway between stand-ins for some seconds, with a live line and a table of what became of the
batches."""

import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic
from typing import Any

import gevent

from pathturn.change.manager import ChangeRequest
from pathturn.process.gateway import GatewayProcess
from pathturn.standins.clients import Crowd, judged
from pathturn.standins.farm import Farm, installed, spare_address

RATE, WARM_S, LINE_S = 60.0, 5.0, 0.5
HOW = ("returned", "pushed_back", "errored")
DOCUMENT = {
    "version": 1,
    "pools": {"halls": {"zones": ["a", "b"]}, "attic": {"zones": ["attic"]}},
    "routes": [{"name": "first-sets", "match": {"groups": ["look"], "data_sets": [[1, 5]]}, "to": "halls"}],
    "default": "halls",
    "change": {"watch": "6s", "canary": [{"share": "50%", "hold": "3s"}]},
}


def run(seconds: float, harm: bool) -> int:
    """The exit code: 0 if each batch got one answer, and a harmful change was undone where one was asked
    for."""
    with TemporaryDirectory() as folder:
        farm, address = _farm(), spare_address()
        host, port = address
        gateway = GatewayProcess(farm.configuration(f"{host}:{port}"), installed(Path(folder), DOCUMENT))
        gateway.log.muted = True
        gateway.server.start()
        parts = [gevent.spawn(gateway.run)]
        crowd = Crowd(address)
        parts.append(gevent.spawn(crowd.run, RATE, seconds))
        parts.append(gevent.spawn(_line, crowd, gateway.operator.change_manager, seconds))
        if harm:
            gevent.sleep(min(WARM_S, seconds / 2))
            _harm(gateway.operator.change_manager)
        gevent.joinall(parts[1:])
        crowd.settle()
        change = next(iter(gateway.operator.change_manager.history(1)), None)
        good = _table(crowd, farm, change) and (not harm or change.state == "undone")
        gateway.stop_requested.set()
        parts[0].join(3)
        crowd.close()
        farm.stop()
    return 0 if good else 1


def _farm() -> Farm:
    farm = Farm()
    farm.settings["limits"]["maxAttempts"] = 2
    for name in ("n0", "n1", "n2", "n3"):
        farm.engine(name, "runs:20", zone="ab"[int(name[1]) % 2])
    farm.engine("worn", "error", zone="attic")
    return farm


def _harm(change_manager: Any) -> None:
    changed = DOCUMENT | {"routes": [DOCUMENT["routes"][0] | {"to": "attic"}]}
    print("\nstaging a change that sends look batches of data sets 1 to 5 to a worn-out engine")
    change_manager.stage(ChangeRequest("demo", 1, "demo", "to show an undo", changed))
    change_manager.apply("demo")


def _line(crowd: Crowd, change_manager: Any, seconds: float) -> None:
    end = monotonic() + seconds
    while (left := end - monotonic()) > 0:
        ends = crowd.ends()
        total = {how: sum(each[how] for each in ends.values()) for how in HOW}
        change = change_manager.change
        state = f", change {change.state} at {change.share:.0%}" if change is not None else ""
        print(
            f"\r{left:4.0f} s left, {sum(crowd.sent.values())} sent, "
            + ", ".join(f"{count} {how}" for how, count in total.items())
            + state
            + " " * 12,
            end="",
        )
        sys.stdout.flush()
        gevent.sleep(LINE_S)
    print()


def _table(crowd: Crowd, farm: Farm, change: Any) -> bool:
    ends = crowd.ends()
    print(f"\n{'group':<8}{'sent':>8}{'returned':>10}{'pushed back':>13}{'errored':>9}")
    for group in sorted(crowd.sent):
        each = ends[group]
        print(
            f"{group:<8}{crowd.sent[group]:>8}{each['returned']:>10}{each['pushed_back']:>13}"
            f"{each['errored']:>9}"
        )
    seen = judged(
        (row for engine in farm.engines.values() for row in engine.begun),
        (nonce for caller in crowd.callers for nonce in caller.returned),
    )
    print(
        f"no answer: {crowd.missing()}, answered twice: {crowd.doubled_answers()}, "
        f"loads out of order: {seen['out_of_order']}"
    )
    if change is not None:
        print(f"change {change.id!r}: {change.state}; {change.reason}")
    return not crowd.missing() and not crowd.doubled_answers() and not seen["out_of_order"]

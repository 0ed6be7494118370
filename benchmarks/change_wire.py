"""Run by `benchmarks.change` in a process of its own: a gateway between stand-ins while harmful changes and a
large one come, one of them in the middle of a drain. What is counted is counted on the engines' and the
clients' side."""

import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, process_time
from typing import Any

import gevent
import msgspec
import orjson

from benchmarks.change import routes
from pathturn.change.manager import ChangeRequest
from pathturn.config.read import canonical, parse, read, run_to_completion
from pathturn.process.gateway import GatewayProcess
from pathturn.routing.checks import validate_in_slices
from pathturn.routing.router import Router
from pathturn.routing.table import RoutingTable
from pathturn.standins.clients import LoadGenerator, count_execution_faults
from pathturn.standins.fleet import Fleet, free_address, write_installation

RATE, GRACE_S = 60.0, 2.0
POOLS = {"good": {"ids": "n*"}, "bad": {"ids": "worn"}, "all": {}}
DOCUMENT = {
    "version": 1,
    "pools": POOLS,
    "default": "good",
    "routes": [
        {"name": "a", "match": {"groups": ["load"], "key_prefixes": ["k"]}, "to": "good"},
        {"name": "b", "match": {"groups": ["look"], "data_sets": [[1, 5]]}, "to": "good"},
        {"name": "c", "match": {"groups": ["pay"]}, "to": "good"},
    ],
    "change": {"watch": "8s", "canary": [{"share": "50%", "hold": "2s"}]},
}


class Beat:
    """The longest gap between two turns of the loop: how long nothing else ran; and what of it the process
    spent on a core. A machine that stands still leaves gaps of which it spent next to nothing."""

    def __init__(self) -> None:
        self.longest = (0.0, 0.0)
        self.running = gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            began, spent = monotonic(), process_time()
            gevent.sleep(0.001)
            self.longest = max(self.longest, (monotonic() - began - 0.001, process_time() - spent))

    def taken(self) -> tuple[float, float]:
        longest, self.longest = self.longest, (0.0, 0.0)
        return round(longest[0] * 1000, 1), round(longest[1] * 1000, 1)


def harmful(base: int, name: str) -> ChangeRequest:
    """Loads, once-only batches and half of the lookups to an engine that errors some, resets some, and is
    alone."""
    rows = [row | {"to": "bad"} for row in DOCUMENT["routes"]]
    return ChangeRequest(name, base, "bench", "harm on purpose", DOCUMENT | {"routes": rows})


def run(quick: bool) -> dict[str, Any]:
    fleet = Fleet()
    fleet.settings["limits"]["maxAttempts"] = 2
    for at in range(5):
        fleet.engine(f"n{at}", "runs:25")
    fleet.engine("worn", *["reset", "error", "runs:30", "reset", "error"] * 200, "error")
    with TemporaryDirectory() as folder:
        gateway = GatewayProcess(
            fleet.configuration("{}:{}".format(*(address := free_address()))),
            write_installation(Path(folder), DOCUMENT),
        )
        gateway.log.muted = True
        gateway.server.start()
        gevent.spawn(gateway.run)
        change_manager, load_generator, beat = gateway.operator.change_manager, LoadGenerator(address), Beat()
        traffic = gevent.spawn(load_generator.run, RATE, 600)
        gevent.sleep(4 if quick else 20)
        figures: dict[str, Any] = {"stall_ms_traffic_alone": beat.taken()[0]}
        figures |= undone(change_manager, fleet)
        figures |= large(gateway, beat)
        traffic.kill()
        load_generator.wait_for_responses()
        figures |= counted(load_generator, fleet)
        load_generator.close()
        fleet.stop()
    return figures


def undone(change_manager: Any, fleet: Fleet) -> dict[str, Any]:
    """A harmful change, and one more that is applied while an engine drains."""
    took, found = [], []
    for turn, name in enumerate(("plain", "draining")):
        change_manager.stage(harmful(change_manager.router.current.generation, name))
        if turn:
            fleet.set_state("n4", "draining")
            fleet.drained_at = monotonic()
        began = monotonic()
        change_manager.apply(name)
        while change_manager.change is not None:
            gevent.sleep(0.05)
        found.append(round(monotonic() - began, 2))
        took.append(change_manager.rollback_us / 1000)
        gevent.sleep(GRACE_S + 0.5 if turn else 0.5)
    states = [change_manager.ledger.find_change(name).state for name in ("plain", "draining")]
    if states != ["undone"] * 2:
        raise AssertionError(f"harm was not undone: {states}")
    return {"undo_ms": round(max(took), 2), "harm_seen_on_wire_s": found}


def large(gateway: Any, beat: Beat) -> dict[str, Any]:
    """Documents of 10,000 routes, one after the other under traffic; then one in one go, to compare. A gap in
    which the process spent no time on a core is the machine's; `longest_gap_ms` has those too."""
    runs = [_staged(gateway, beat, seed) for seed in (3, 4)]
    raw = _raw(3)
    gevent.sleep(0.1)
    beat.taken()
    document = read(parse(orjson.dumps(raw)))
    run_to_completion(validate_in_slices(document, gateway.operator.validation_context()))
    run_to_completion(Router().compile(RoutingTable(9, document, gateway.facade.groups)))
    gevent.sleep(0.05)
    return {
        "longest_stall_ms": max(min(gap) for gap, _ in runs),
        "longest_gap_ms": max(gap[0] for gap, _ in runs),
        "longest_slice_ms": round(gateway.operator.scheduler.longest_slice_us / 1000, 2),
        "longest_stall_ms_in_one_go": beat.taken()[0],
        "staged_10k_s": round(runs[0][1], 2),
    }


def _raw(seed: int) -> dict[str, Any]:
    raw = msgspec.json.decode(canonical(routes(10_000, seed)))
    raw["pools"], raw["default"] = POOLS, "good"
    raw["routes"] = [row | {"to": "good"} for row in raw["routes"]]
    return raw | {"change": {"watch": "1s", "canary": [], "unclear": "keep"}}


def _staged(gateway: Any, beat: Beat, seed: int) -> tuple[tuple[float, float], float]:
    """The longest gap from the control socket's call until the document is kept, and how long staging
    took."""
    raw, name, base = _raw(seed), f"large{seed}", gateway.operator.change_manager.router.current.generation
    line = orjson.dumps(
        {
            "jsonrpc": "2.0",
            "id": 1,
            "method": "change.stage",
            "params": {"id": name, "base": base, "who": "bench", "why": "size", "document": raw},
        }
    )
    del raw
    gevent.sleep(0.1)  # what was made ready just now is no stall of the gateway's
    beat.taken()
    began = monotonic()
    answer = orjson.loads(gateway.operator.control.calls.handle_line(line))
    staged = monotonic() - began
    if "error" in answer:
        raise AssertionError(answer)
    gateway.operator.change_manager.apply(name)
    while gateway.operator.change_manager.change is not None:
        gevent.sleep(0.05)
    gap = beat.taken()
    if gateway.operator.change_manager.router.current.generation == base:
        raise AssertionError("the large document was not kept")
    return gap, staged


def counted(load_generator: LoadGenerator, fleet: Fleet) -> dict[str, Any]:
    seen = count_execution_faults(
        (row for engine in fleet.engines.values() for row in engine.execution_starts),
        (nonce for client in load_generator.clients for nonce in client.returned_nonces),
    )
    late = sum(at > fleet.drained_at + GRACE_S for at in fleet.engines["n4"].start_times)
    return {
        "batches": sum(load_generator.sent.values()),
        "lost": load_generator.count_unanswered() + seen["never_begun"],
        "doubled": load_generator.count_duplicate_responses() + seen["doubled"],
        "out_of_order": seen["out_of_order"],
        "late_after_drain": late,
        "dropped_repeats": seen["repeats"] - seen["doubled"],
    }


if __name__ == "__main__":
    print(orjson.dumps(run(sys.argv[1] == "quick")).decode())

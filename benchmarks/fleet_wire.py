"""Run by `benchmarks.fleet` in a process of its own: a gateway under traffic while engines are cut off, given
back, drained and taken away. Counted on the engines' and the clients' side."""

import sys
from time import monotonic
from typing import Any

import gevent
import orjson

from benchmarks.change_wire import GRACE_S, counted
from pathturn.process.gateway import GatewayProcess
from pathturn.standins.clients import LoadGenerator
from pathturn.standins.fleet import Fleet, free_address

RATE, CUT_S = 40.0, 2.5


def run(quick: bool) -> dict[str, Any]:
    fleet = Fleet()
    fleet.settings["domain"]["progressUs"] = 100_000
    for at in range(5):
        fleet.engine(f"n{at}", "runs:25")
    for name in ("n0", "n1"):
        fleet.proxy(name)
    address = free_address()
    gateway = GatewayProcess(fleet.configuration("{}:{}".format(*address)))
    gateway.log.muted = True
    gateway.server.start()
    gevent.spawn(gateway.run)
    load_generator = LoadGenerator(address)
    traffic = gevent.spawn(load_generator.run, RATE, 600)
    for _ in range(1 if quick else 6):
        gevent.sleep(1)
        for name in ("n0", "n1"):
            fleet.proxies[name].partition()
        gevent.sleep(CUT_S)
        for name in ("n0", "n1"):
            fleet.proxies[name].heal()
    gevent.sleep(1)
    fleet.set_state("n4", "draining")
    fleet.drained_at = monotonic()
    fleet.proxies["n1"].partition()
    gevent.sleep(GRACE_S + 1)
    fleet.set_state("n1", "gone")
    gevent.sleep(3)
    traffic.kill()
    load_generator.wait_for_responses()
    figures = counted(load_generator, fleet)
    ends = sum(load_generator.outcomes().values(), start=type(load_generator.sent)())
    load_generator.close()
    fleet.stop()
    return figures | {
        "returned": ends["returned"],
        "pushed_back": ends["pushed_back"],
        "errored": ends["errored"],
    }


if __name__ == "__main__":
    print(orjson.dumps(run(sys.argv[1] == "quick")).decode())

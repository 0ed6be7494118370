"""Run by `benchmarks.fleet` in a process of its own: a gateway under traffic while engines are cut off, given
back, drained and taken away. Counted on the engines' and the clients' side."""

import sys
from time import monotonic
from typing import Any

import gevent
import orjson

from benchmarks.change_wire import GRACE_S, counted
from pathturn.process.gateway import GatewayProcess
from pathturn.standins.clients import Crowd
from pathturn.standins.farm import Farm, spare_address

RATE, CUT_S = 40.0, 2.5


def run(quick: bool) -> dict[str, Any]:
    farm = Farm()
    farm.settings["domain"]["progressUs"] = 100_000
    for at in range(5):
        farm.engine(f"n{at}", "runs:25")
    for name in ("n0", "n1"):
        farm.strait(name)
    address = spare_address()
    gateway = GatewayProcess(farm.configuration("{}:{}".format(*address)))
    gateway.log.muted = True
    gateway.server.start()
    gevent.spawn(gateway.run)
    crowd = Crowd(address)
    traffic = gevent.spawn(crowd.run, RATE, 600)
    for _ in range(1 if quick else 6):
        gevent.sleep(1)
        for name in ("n0", "n1"):
            farm.straits[name].cut()
        gevent.sleep(CUT_S)
        for name in ("n0", "n1"):
            farm.straits[name].mend()
    gevent.sleep(1)
    farm.change("n4", "draining")
    farm.drained_at = monotonic()
    farm.straits["n1"].cut()
    gevent.sleep(GRACE_S + 1)
    farm.change("n1", "gone")
    gevent.sleep(3)
    traffic.kill()
    crowd.settle()
    figures = counted(crowd, farm)
    ends = sum(crowd.ends().values(), start=type(crowd.sent)())
    crowd.close()
    farm.stop()
    return figures | {
        "returned": ends["returned"],
        "pushed_back": ends["pushed_back"],
        "errored": ends["errored"],
    }


if __name__ == "__main__":
    print(orjson.dumps(run(sys.argv[1] == "quick")).decode())

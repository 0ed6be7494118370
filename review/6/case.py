"""Two loads of one key run out of order after some requests were taken back and tried again at once.

A station's connection has its 32 requests open. A quarter of them are taken back before their time and tried
again at once, in one write. Then the station sends a load on that connection, and 80 ms later another load of
the same key on its second connection. The engines record which load begins first.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stage2 import Case, caetite_settings, main, settle, trouble

OPEN = 32  # PROTOCOL.md: one connection carries up to 32 open requests
LEAVING = 8  # a quarter of them; MORE.md: 0.4 to 0.85 of the clients
WORK_MS = 500  # so that the aim is 1.2 s + 2 * 0.5 s = 2.2 s
RUN_MS = 1500  # on engines that are crowded
LEAVE_AFTER_S = 0.8  # 0.36 of the aim; MORE.md: 0.8 to 0.33 of it
APART_S = 0.08  # PROTOCOL.md: requests of one key are written no less than 60 ms apart
KEY = "7f3a9c21e0b4d655"


def lookup(run_ms: int) -> str:
    return f"SELECT turbine, alarm, since FROM farm_5.alarms /* run={run_ms} */"


async def play(case: Case) -> list[str]:
    engines = [await case.engine(f"s-0000000{number}") for number in range(6)]
    gateway = await case.gateway(caetite_settings())
    station = await case.client("connection-a", gateway)
    other = await case.client("connection-b", gateway)
    # Both connections have carried a request, so that none of them is new.
    first = [client.send("lookup", lookup(20), 6000, weight=20.0) for client in (station, other)]
    await settle(*first, seconds=5)
    await asyncio.sleep(0.5)

    pending = [station.send("lookup", lookup(RUN_MS), 6000, weight=WORK_MS) for _ in range(OPEN)]
    await asyncio.sleep(LEAVE_AFTER_S)
    leaving = pending[:LEAVING]
    if trouble():
        aborts = station.abort(*leaving)
        retries = [station.line("lookup", lookup(RUN_MS), 6000, weight=WORK_MS) for _ in leaving]
        station.write((None, aborts), *retries)
        await settle(*(retry for retry, _ in retries), seconds=0.03)
    while station.open_count() >= OPEN:  # the load needs room on the connection
        await asyncio.sleep(0.005)
    case.record(f"connection-a has {station.open_count()} requests open")

    loads = []
    for number, client in enumerate((station, other)):
        load = client.send(
            "load",
            f"INSERT INTO farm_5.readings VALUES ({number}) /* run=100 */",
            20000,
            key=KEY,
            nonce=f"5c0f6e1a2b3d4c59a8b7c6d5e4f3021{number}",
            weight=100.0,
        )
        loads.append(load)
        await asyncio.sleep(APART_S)
    await settle(*loads, *station.requests.values(), seconds=15)

    begun = {query.ticket: query.began for engine in engines for query in engine.history}
    for number, load in enumerate(loads, 1):
        began = begun.get(load.trace)
        case.record(
            f"load {number} of the key: written at {load.sent - case.record.started:.4f}, "
            f"begun at {began - case.record.started:.4f}, {load.outcome}"
            if began
            else f"load {number} of the key: not begun, {load.outcome}"
        )
    earlier, later = (begun.get(load.trace) for load in loads)
    if earlier is None or later is None or earlier < later:
        return []
    return [
        f"order kept: the load that was written {loads[1].sent - loads[0].sent:.3f} s later "
        f"began {earlier - later:.3f} s earlier"
    ]


main(str(Path(__file__).parent), play)

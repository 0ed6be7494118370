"""A planned restart while a change is on trial loses all open requests.

The gateway follows an operator's document. A change of it is checked, staged and applied; it sends reports to
the engines of one hall. Its policy asks for a verdict from the first batch on (`least` is 0), which the check
accepts. A second later the gateway is told to end by SIGTERM. Reports take longer than that.
"""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stage2 import ROOT, Case, caetite_settings, main, trouble

REPORT_RUN_MS = 2_000
LOOKUP_RUN_MS = 50
TRAFFIC_BEFORE_S = 8.0
RESTART_AFTER_S = 1.5  # after the change was applied
KILL_AFTER_S = 3.7  # PROTOCOL.md: no earlier than 3 s plus 0.7 s after SIGTERM
DOCUMENT = {
    "version": 1,
    "pools": {"all": {}, "hall-a": {"zones": ["hall-a"]}},
    "default": "all",
}
CHANGED = {
    **DOCUMENT,
    "routes": [{"name": "reports", "match": {"groups": ["report"]}, "to": "hall-a"}],
    "change": {"watch": "60s", "canary": [{"share": "50%", "hold": "10s"}], "least": 0},
}


async def tell(case: Case, *words: str) -> int:
    """Run one of the operator's commands; record what it prints."""
    command = [str(ROOT / ".venv/bin/python"), "-B", "-m", "pathturn", *words]
    process = await asyncio.create_subprocess_exec(
        *command, cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
    )
    output, _ = await process.communicate()
    shown = " ".join(words).replace(str(case.folder), "TEMPORARY")
    case.record(f"operator: {shown}: exit code {process.returncode}")
    for line in output.decode().splitlines():
        case.record(f"operator:   {line.replace(str(case.folder), 'TEMPORARY')}")
    return process.returncode


def write_operator_files(case: Case) -> Path:
    (case.folder / "document.json").write_text(json.dumps(DOCUMENT))
    operator_file = {"version": 1, "document": "document.json", "ledger": "changes.db", "control": "control"}
    path = case.folder / "operator.json"
    path.write_text(json.dumps(operator_file))
    (case.folder / "changed.json").write_text(json.dumps(CHANGED))
    return path


async def play(case: Case) -> list[str]:
    for number in range(6):
        await case.engine(f"s-0000000{number}", zone="hall-a" if number < 3 else "hall-b")
    os.environ["PATHTURN_OPERATOR"] = str(write_operator_files(case))
    gateway = await case.gateway(caetite_settings())
    clients = [await case.client(f"station-{number}", gateway) for number in range(3)]
    requests = []
    restarted = asyncio.Event()

    async def ask() -> None:
        """Ask for 30 lookups and 6 reports a second, until the restart."""
        turn = 0
        while not restarted.is_set():
            turn += 1
            client = clients[turn % len(clients)]
            lookup = f"SELECT turbine, alarm FROM farm_{turn % 9}.alarms /* run={LOOKUP_RUN_MS} */"
            requests.append(client.send("lookup", lookup, 6000, weight=LOOKUP_RUN_MS))
            if turn % 5 == 0:
                report = f"SELECT hour, output FROM farm_{turn % 9}.days /* run={REPORT_RUN_MS} */"
                requests.append(client.send("report", report, 20_000, weight=4 * REPORT_RUN_MS))
            await asyncio.sleep(1 / 30)

    traffic = asyncio.ensure_future(ask())
    await asyncio.sleep(TRAFFIC_BEFORE_S)
    if trouble():
        control = ["--control", str(case.folder / "control")]
        changed = str(case.folder / "changed.json")
        for words in (
            ("check", changed),
            ("stage", changed, "--why", "reports near their data", "--id", "near"),
            ("apply", "near"),
        ):
            if await tell(case, "change", *words, *control):
                raise RuntimeError("the change was refused")
    await asyncio.sleep(RESTART_AFTER_S)
    restarted.set()  # no further request is written, so that none crosses the restart
    await traffic
    await asyncio.sleep(0.1)
    open_then = [each for each in requests if not each.answers]
    case.record(f"{len(open_then)} requests are open")
    told = time.time()
    gateway.signal(signal.SIGTERM)
    while time.time() < told + KILL_AFTER_S and any(not each.answers for each in open_then):
        await asyncio.sleep(0.02)
    unanswered = [each for each in open_then if not each.answers]
    await asyncio.sleep(max(0, min(0.5, told + KILL_AFTER_S - time.time())))
    case.record(f"exit code {gateway.process.returncode}, {time.time() - told:.2f} s after SIGTERM")
    for each in unanswered:
        case.record(f"no answer: {each.group} {each.trace}")
    if not unanswered:
        return []
    return [
        f"no batch is lost: {len(unanswered)} of {len(open_then)} open requests, all written before SIGTERM, "
        f"got no answer; the gateway ended with exit code {gateway.process.returncode}"
    ]


main(str(Path(__file__).parent), play)

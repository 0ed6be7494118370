"""Discovery is slow: each of its answers takes a second. A node begins to drain, and stays up.

Is anything new sent to it after it counts as told and the grace has passed? Fifteen seconds after the event
the node ends; the record names the loads that end with it. Loads are of the kind that is unsafe to repeat.
"""

import asyncio
from pathlib import Path

import standins
from standins import BROKEN, HELD, TROUBLE, CaseNotRunError, Client, Directory, Engine, Gateway

ENGINES = 4  # of which one, a quarter, drains
ANSWER_DELAY_S = 1.0
QUIET_S = 6.0
PLAYED_S = 26.0
ENDS_S = 15.0  # after the event the draining node ends, with all that it still runs
LOAD_S = 1.5
# The latest that the pages allow: told no later than 7 s after the event, 2 s of grace, 50 ms on sockets.
TOLD_S, GRACE_S, SLACK_S = 7.0, 2.0, 0.05


async def case(record: standins.Record, temporary: Path) -> int:
    directory = Directory(record)
    directory.delay_s = ANSWER_DELAY_S if TROUBLE else 0.0
    for number in range(ENGINES):
        engine = Engine(f"s-{number:02d}", record)
        engine.work_s = lambda query: LOAD_S if query.group == "load" else 0.05
        await engine.listen()
        directory.engines.append(engine)
    draining = directory.engines[0]
    await directory.listen()
    settings = standins.caetite_settings()
    settings["classes"][2] |= {"effect": "fragile", "inTurn": False}
    gateway = Gateway(temporary, "n0", settings, directory)
    gateway.start()
    try:
        await gateway.wait_ready(record)
        clients = [Client(record, f"c{number}", 100 + number) for number in range(4)]
        for client in clients:
            await client.connect(gateway.port)
        lost_loads = []

        async def ask(number: int) -> str:
            client = clients[number % 4]
            if number % 10:
                statement = f"SELECT 1 FROM alarms_3.states WHERE turbine = {number}"
                return (await client.ask("lookup", statement, 6000)).kind
            statement = f"INSERT INTO scada_{number % 9}.readings SELECT * FROM staging.farm"
            sent_at = record.now()
            answer = await client.ask("load", statement, 22_000, 2000 * LOAD_S)
            if answer.kind != "served":
                lost_loads.append((round(sent_at - event_at, 3), answer.kind))
            return answer.kind

        began = record.now()
        event_at = 0.0
        tasks = []
        while record.now() - began < PLAYED_S:
            if not event_at and record.now() - began >= QUIET_S:
                directory.set_state(draining, "terminating")
                event_at = record.now()
            if event_at and draining.alive and record.now() - event_at >= ENDS_S:
                draining.die()
                directory.set_state(draining, "terminated")
            tasks.append(asyncio.ensure_future(ask(len(tasks))))
            await asyncio.sleep(1 / 30)
        answers = list(await asyncio.gather(*tasks))
        for client in clients:
            client.close()
    finally:
        gateway.stop()
    latest = event_at + TOLD_S + GRACE_S + SLACK_S
    late = [(round(at - event_at, 3), ticket) for at, ticket, _ in draining.starts if at > latest]
    told_at = directory.told_at.get(2)
    record(f"answers: { {kind: answers.count(kind) for kind in sorted(set(answers))} }")
    record(f"first answer with the event sent at {told_at}, {directory.answered} answers in all")
    record(f"sent to {draining.name} before the event: {sum(at <= event_at for at, *_ in draining.starts)}")
    record(
        f"sent later than {latest - event_at:.2f} s after the event: {len(late)}, the last ones {late[-3:]}"
    )
    record(f"loads without a result, by seconds after the event: {lost_loads}")
    if gateway.process.returncode != -9:
        raise CaseNotRunError("the gateway ended by itself")
    if told_at is None or not any(at <= event_at for at, *_ in draining.starts):
        raise CaseNotRunError("the event was never told, or the node had no work before it")
    return BROKEN if late else HELD


standins.play(case, Path(__file__).resolve().parent)

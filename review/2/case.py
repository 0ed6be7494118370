"""One answer in ten arrives with a Content-Length below the size of its body. Are all rows passed on?"""

import asyncio
import random
from pathlib import Path

import standins
from standins import BROKEN, HELD, TROUBLE, Answer, CaseNotRunError, Client, Directory, Engine, Gateway, Query

REQUESTS = 600
SPOILT_SHARE = 0.1
LIMIT_MS = 6000
ENGINES = 6


def rows_of(statement: str) -> bytes:
    """Return the result of a statement: some rows of three text columns, as its number says."""
    number = int(statement.rsplit(" ", 1)[1])
    chance = random.Random(number)
    return b"".join(
        b"t%d\t%d\t%s\n" % (number, line, b"ok" if chance.random() < 0.5 else b"alarm")
        for line in range(chance.randrange(4, 12))
    )


async def case(record: standins.Record, temporary: Path) -> int:
    directory = Directory(record)
    spoilt_tickets: dict[str, int] = {}
    chance = random.Random(51)

    def spoil(query: Query, page: int, head: bytes, body: bytes) -> bytes | None:
        # Only the first answer with a result is spoilt: asked for again, an engine gives the good one.
        if not TROUBLE or query.ticket in spoilt_tickets or chance.random() >= SPOILT_SHARE:
            return None
        length = chance.randrange(len(body))
        spoilt_tickets[query.ticket] = length
        record(f"engine spoils ticket={query.ticket}: Content-Length {length} before {len(body)} bytes")
        return head.replace(b"Content-Length: %d" % len(body), b"Content-Length: %d" % length) + body

    for number in range(ENGINES):
        engine = Engine(f"s-{number:02d}", record)
        engine.make_pages = lambda query: [rows_of(query.statement.decode())]
        engine.spoil = spoil
        await engine.listen()
        directory.engines.append(engine)
    await directory.listen()
    gateway = Gateway(temporary, "n0", standins.caetite_settings(), directory)
    gateway.start()
    counts = {"served": 0, "refused": 0, "failed": 0, "none": 0}
    wrong = []
    try:
        await gateway.wait_ready(record)
        clients = [Client(record, f"c{number}", 100 + number) for number in range(4)]
        for client in clients:
            await client.connect(gateway.port)

        async def ask(number: int) -> None:
            statement = (
                f"SELECT turbine, line, state FROM alarms_{number % 8}.states WHERE request = {number}"
            )
            answer: Answer = await clients[number % 4].ask("lookup", statement, LIMIT_MS)
            counts[answer.kind] += 1
            if answer.kind == "served" and answer.rows != rows_of(statement):
                wrong.append(number)
                record(f"WRONG: request {number} was served {answer.rows!r}, not {rows_of(statement)!r}")

        tasks = []
        for number in range(REQUESTS):
            tasks.append(asyncio.ensure_future(ask(number)))
            await asyncio.sleep(1 / 60)
        await asyncio.gather(*tasks)
        for client in clients:
            client.close()
    finally:
        gateway.stop()
    record(
        f"answers: {counts}; spoilt answers sent: {len(spoilt_tickets)}; served with other rows: {len(wrong)}"
    )
    if gateway.process.returncode != -9:
        raise CaseNotRunError("the gateway ended by itself")
    if counts["served"] < REQUESTS / 2 or (TROUBLE and not spoilt_tickets):
        raise CaseNotRunError("too few requests were served, or nothing was spoilt")
    return BROKEN if wrong else HELD


standins.play(case, Path(__file__).resolve().parent)

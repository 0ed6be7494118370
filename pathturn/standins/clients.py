"""Stand-in clients: they send batches over connections of their own and count how each one ended."""

from base64 import b64encode
from collections import Counter, defaultdict
from collections.abc import Iterable
from itertools import count
from random import Random
from time import monotonic

import gevent
import orjson
from gevent import socket

PUSHED_BACK = -32066
MOST_OPEN = 30  # on a connection, under the gateway's own bound


class Caller:
    """One connection; `tickets` are shared by all callers of a run, as engines know a batch by its ticket."""

    def __init__(self, address: tuple[str, int], tickets: Iterable[int]) -> None:
        self.link, self.tickets, self.number = socket.create_connection(address), iter(tickets), 0
        self.open: dict[int, tuple[str, str | None, float]] = {}
        self.ends: dict[str, Counter] = defaultdict(Counter)
        self.answers: Counter = Counter()
        self.took: dict[str, list[float]] = defaultdict(list)
        self.pauses: list[int] = []
        self.returned: list[str] = []
        self.reader = gevent.spawn(self._read)

    def send(
        self,
        group: str,
        patience_ms: int = 1000,
        key: str | None = None,
        nonce: str | None = None,
        customer: str | None = None,
        data_set: int = 3,
    ) -> int:
        self.number += 1
        params = {
            "trace": f"{next(self.tickets):016x}",
            "patience": patience_ms,
            "weight": 20,
            "est_mb": 1,
            "data": b64encode(f"SELECT 1 FROM sales_{data_set}.orders".encode()).decode(),
        }
        for name, value in (("entity", key), ("nonce", nonce), ("customer", customer)):
            if value is not None:
                params[name] = value
        self.open[self.number] = (group, nonce, monotonic())
        self.link.sendall(
            orjson.dumps({"jsonrpc": "2.0", "id": self.number, "method": group, "params": params}) + b"\n"
        )
        return self.number

    def abort(self, number: int) -> None:
        self.open.pop(number, None)
        message = {"jsonrpc": "2.0", "method": "abort", "params": {"id": number}}
        self.link.sendall(orjson.dumps(message) + b"\n")

    def _read(self) -> None:
        for line in self.link.makefile("rb"):
            message = orjson.loads(line)
            self.answers[message["id"]] += 1
            group, nonce, sent = self.open.pop(message["id"], (None, None, 0.0))
            if group is None:
                continue
            error = message.get("error")
            how = (
                "returned"
                if error is None
                else ("pushed_back" if error["code"] == PUSHED_BACK else "errored")
            )
            self.ends[group][how] += 1
            self.took[group].append(monotonic() - sent)
            if how == "returned" and nonce is not None:
                self.returned.append(nonce)
            if how == "pushed_back":
                self.pauses.append(error.get("data", {}).get("pause", 0))

    def close(self) -> None:
        self.link.close()
        self.reader.kill()


class Crowd:
    """Several callers at a rate: lookups, once-only batches and keyed loads whose nonces tell key and
    turn."""

    def __init__(self, address: tuple[str, int], callers: int = 4, keys: int = 6, seed: int = 1) -> None:
        tickets, self.chance = count(1), Random(seed)
        self.callers = [Caller(address, tickets) for _ in range(callers)]
        self.keys, self.turns, self.sent = keys, Counter(), Counter()

    def run(self, rate: float, seconds: float) -> None:
        end = monotonic() + seconds
        while monotonic() < end:
            gevent.sleep(self.chance.expovariate(rate))
            self.one()

    def one(self) -> None:
        roll = self.chance.random()
        caller = self.callers[self.chance.randrange(len(self.callers))]
        if roll < 0.2:
            self.load(f"k{self.chance.randrange(self.keys)}")
        elif len(caller.open) < MOST_OPEN:
            group = "pay" if roll < 0.3 else "look"
            self.sent[group] += 1
            nonce = f"pay{self.sent['pay']}-1" if group == "pay" else None
            caller.send(
                group,
                nonce=nonce,
                customer=f"farm{self.chance.randrange(8)}",
                data_set=self.chance.randrange(1, 9),
            )

    def load(self, key: str) -> None:
        # A key's batches on one connection: over two, nobody could say which was first.
        caller = self.callers[sum(key.encode()) % len(self.callers)]
        if len(caller.open) >= MOST_OPEN:
            return
        self.turns[key] += 1
        self.sent["load"] += 1
        caller.send("load", 4000, key, f"{key}-{self.turns[key]}")

    def settle(self, seconds: float = 6.0) -> None:
        end = monotonic() + seconds
        while any(caller.open for caller in self.callers) and monotonic() < end:
            gevent.sleep(0.02)

    def ends(self) -> dict[str, Counter]:
        total: dict[str, Counter] = defaultdict(Counter)
        for caller in self.callers:
            for group, each in caller.ends.items():
                total[group].update(each)
        return total

    def missing(self) -> int:
        return sum(len(caller.open) for caller in self.callers)

    def doubled_answers(self) -> int:
        return sum(times - 1 for caller in self.callers for times in caller.answers.values())

    def close(self) -> None:
        for caller in self.callers:
            caller.close()


def judged(
    begun: Iterable[tuple[float, str]], returned: Iterable[str], span_s: float = 10.0
) -> dict[str, int]:
    """What the engines saw of loads and once-only batches. A load's repeat within the span is dropped by its
    nonce, so that only the first has its effect; one after it counts as `doubled`, as does any repeat of a
    once-only batch. Turns of a key are in order by their first beginnings."""
    seen: dict[str, float] = {}
    repeats = doubled = 0
    for at, nonce in sorted(begun):
        repeats += nonce in seen
        doubled += nonce in seen and (nonce.startswith("pay") or at - seen[nonce] > span_s)
        seen.setdefault(nonce, at)
    order: dict[str, int] = {}
    wrong = 0
    for nonce in seen:
        key, turn = nonce.rsplit("-", 1)
        wrong += int(turn) < order.get(key, 0)
        order[key] = max(order.get(key, 0), int(turn))
    lost = sum(nonce not in seen for nonce in returned)
    return {"repeats": repeats, "doubled": doubled, "out_of_order": wrong, "never_begun": lost}

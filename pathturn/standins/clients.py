"""Stand-in clients and a load generator: they send batches and count their outcomes."""

from base64 import b64encode
from collections import Counter, defaultdict
from collections.abc import Iterable
from itertools import count
from random import Random
from time import monotonic

import gevent
import orjson
from gevent import socket

PUSHED_BACK_CODE = -32066  # JSON-RPC error code
MAX_OPEN_BATCHES = 30  # on a connection; less than the gateway allows


class StandInClient:
    """One connection to a gateway that sends batches and records their outcomes.

    The clients of a run share the iterator of trace numbers, as engines identify a batch by its trace."""

    def __init__(self, address: tuple[str, int], trace_numbers: Iterable[int]) -> None:
        self.connection = socket.create_connection(address)
        self.trace_numbers = iter(trace_numbers)
        self.last_id = 0
        # By id: service group, nonce, time sent.
        self.open_batches: dict[int, tuple[str, str | None, float]] = {}
        self.outcomes: dict[str, Counter] = defaultdict(Counter)
        self.response_counts: Counter = Counter()
        self.latencies_s: dict[str, list[float]] = defaultdict(list)
        self.retry_after_ms: list[int] = []
        self.returned_nonces: list[str] = []
        self.reader = gevent.spawn(self._read_responses)

    def send(
        self,
        group: str,
        time_limit_ms: int = 1000,
        key: str | None = None,
        nonce: str | None = None,
        customer: str | None = None,
        data_set: int = 3,
    ) -> int:
        """Send a batch with an optional ordering key; return its id."""
        self.last_id += 1
        params = {
            "trace": f"{next(self.trace_numbers):016x}",
            "patience": time_limit_ms,
            "weight": 20,
            "est_mb": 1,
            "data": b64encode(f"SELECT 1 FROM sales_{data_set}.orders".encode()).decode(),
        }
        for name, value in (("entity", key), ("nonce", nonce), ("customer", customer)):
            if value is not None:
                params[name] = value
        self.open_batches[self.last_id] = (group, nonce, monotonic())
        self.connection.sendall(
            orjson.dumps({"jsonrpc": "2.0", "id": self.last_id, "method": group, "params": params}) + b"\n"
        )
        return self.last_id

    def abort(self, batch_id: int) -> None:
        """Withdraw a batch; a response that still arrives is not counted as its outcome."""
        self.open_batches.pop(batch_id, None)
        message = {"jsonrpc": "2.0", "method": "abort", "params": {"id": batch_id}}
        self.connection.sendall(orjson.dumps(message) + b"\n")

    def _read_responses(self) -> None:
        for line in self.connection.makefile("rb"):
            message = orjson.loads(line)
            self.response_counts[message["id"]] += 1
            group, nonce, sent_at = self.open_batches.pop(message["id"], (None, None, 0.0))
            if group is None:
                continue
            error = message.get("error")
            outcome = (
                "returned"
                if error is None
                else ("pushed_back" if error["code"] == PUSHED_BACK_CODE else "errored")
            )
            self.outcomes[group][outcome] += 1
            self.latencies_s[group].append(monotonic() - sent_at)
            if outcome == "returned" and nonce is not None:
                self.returned_nonces.append(nonce)
            if outcome == "pushed_back":
                self.retry_after_ms.append(error.get("data", {}).get("pause", 0))

    def close(self) -> None:
        self.connection.close()
        self.reader.kill()


class LoadGenerator:
    """Sends batches over several clients at a mean rate: lookups, once-only batches, and loads with an
    ordering key, whose nonces contain the key and a sequence number."""

    def __init__(self, address: tuple[str, int], clients: int = 4, keys: int = 6, seed: int = 1) -> None:
        trace_numbers = count(1)
        self.random = Random(seed)
        self.clients = [StandInClient(address, trace_numbers) for _ in range(clients)]
        self.key_count = keys
        self.sequence_numbers: Counter = Counter()
        self.sent: Counter = Counter()

    def run(self, rate: float, seconds: float) -> None:
        """Send batches with exponentially distributed intervals, `rate` a second on average."""
        end = monotonic() + seconds
        while monotonic() < end:
            gevent.sleep(self.random.expovariate(rate))
            self.send_one()

    def send_one(self) -> None:
        """Send a batch of a random service group: a fifth are loads, a tenth once-only."""
        fraction = self.random.random()
        client = self.clients[self.random.randrange(len(self.clients))]
        if fraction < 0.2:
            self.send_load(f"k{self.random.randrange(self.key_count)}")
        elif len(client.open_batches) < MAX_OPEN_BATCHES:
            group = "pay" if fraction < 0.3 else "look"
            self.sent[group] += 1
            nonce = f"pay{self.sent['pay']}-1" if group == "pay" else None
            client.send(
                group,
                nonce=nonce,
                customer=f"farm{self.random.randrange(8)}",
                data_set=self.random.randrange(1, 9),
            )

    def send_load(self, key: str) -> None:
        """Send the next load of an ordering key."""
        # All batches of a key use one connection: between two connections their order would be undefined.
        client = self.clients[sum(key.encode()) % len(self.clients)]
        if len(client.open_batches) >= MAX_OPEN_BATCHES:
            return
        self.sequence_numbers[key] += 1
        self.sent["load"] += 1
        client.send("load", 4000, key, f"{key}-{self.sequence_numbers[key]}")

    def wait_for_responses(self, seconds: float = 6.0) -> None:
        """Wait until all batches have a response, or that long."""
        end = monotonic() + seconds
        while any(client.open_batches for client in self.clients) and monotonic() < end:
            gevent.sleep(0.02)

    def outcomes(self) -> dict[str, Counter]:
        """Return the counts of outcomes of all clients, by service group."""
        totals: dict[str, Counter] = defaultdict(Counter)
        for client in self.clients:
            for group, counts in client.outcomes.items():
                totals[group].update(counts)
        return totals

    def count_unanswered(self) -> int:
        """Return the number of batches without a response."""
        return sum(len(client.open_batches) for client in self.clients)

    def count_duplicate_responses(self) -> int:
        """Return the number of responses after the first to the same batch."""
        return sum(times - 1 for client in self.clients for times in client.response_counts.values())

    def close(self) -> None:
        for client in self.clients:
            client.close()


def count_execution_faults(
    begun: Iterable[tuple[float, str]], returned: Iterable[str], window_s: float = 10.0
) -> dict[str, int]:
    """Count the faults among the executions of loads and once-only batches that engines recorded.

    Engines drop a load whose nonce they have executed within the deduplication window, so that a repeat
    within it is harmless. A repeat after the window, and any repeat of a once-only batch, is `doubled`.
    The batches of a key are in order if their first executions are. A batch that returned without an
    execution counts as `never_begun`."""
    first_executions: dict[str, float] = {}
    repeats = 0
    doubled = 0
    for at, nonce in sorted(begun):
        repeats += nonce in first_executions
        doubled += nonce in first_executions and (
            nonce.startswith("pay") or at - first_executions[nonce] > window_s
        )
        first_executions.setdefault(nonce, at)
    highest: dict[str, int] = {}
    out_of_order = 0
    for nonce in first_executions:
        key, sequence_number = nonce.rsplit("-", 1)
        out_of_order += int(sequence_number) < highest.get(key, 0)
        highest[key] = max(highest.get(key, 0), int(sequence_number))
    never_executed = sum(nonce not in first_executions for nonce in returned)
    return {
        "repeats": repeats,
        "doubled": doubled,
        "out_of_order": out_of_order,
        "never_begun": never_executed,
    }

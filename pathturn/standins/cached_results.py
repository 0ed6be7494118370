"""Stand-in engines that answer from a result cache, and clients that send at a steady rate and check the rows
that they get."""

from base64 import b64decode
from collections.abc import Iterable, Iterator
from contextlib import suppress
from itertools import count
from random import Random
from time import monotonic
from typing import Any
from zlib import crc32

import gevent
import orjson
from gevent import socket

from pathturn.standins.clients import MAX_OPEN_BATCHES, StandInClient
from pathturn.standins.engines import StandInEngine

COMMON_ROWS = b"a\tb\t0\n"
COST_MS = 5
MAX_DUPLICATE_DELAY_S = 0.7


class CachedResultEngine(StandInEngine):
    """An engine whose results all have the same cost. One result in `own_rows_every` has rows of its own, all
    others have the same rows.

    With `duplicate_every`, each so-manieth result is sent again on its connection, up to
    MAX_DUPLICATE_DELAY_S later; every second time for two results in a row, every third time twice.
    """

    def __init__(self, own_rows_every: int = 0, duplicate_every: int = 0, seed: int = 1) -> None:
        super().__init__(["rows:1"])
        self.own_rows_every = own_rows_every
        self.duplicate_every = duplicate_every
        self.random = Random(seed)
        self.connections_opened = 0
        self.connections_open = 0
        self.results_sent = 0
        self.duplicates_sent = 0

    def serve(self, connection: socket.socket, peer: Any) -> None:
        """Serve one connection, and count it."""
        self.connections_opened += 1
        self.connections_open += 1
        with suppress(OSError):  # the gateway has closed the connection
            super().serve(connection, peer)
        self.connections_open -= 1

    def calls(self) -> int:
        """Return the number of calls received."""
        return len(self.requests)

    def rows_of(self, ticket: str) -> bytes:
        """Return the rows of the query with this ticket."""
        has_own_rows = self.own_rows_every and crc32(ticket.encode()) % self.own_rows_every == 0
        return f"a\tb\t{ticket}\n".encode() if has_own_rows else COMMON_ROWS

    def send_status(self, connection: socket.socket, ticket: str) -> None:
        """Send the result, and its duplicates later."""
        self.mark_ended(ticket)
        fields = [("X-Pages", 1), ("X-Cost-Ms", COST_MS), ("X-Needed-Mb", 1)]
        rows = self.rows_of(ticket)
        self.respond(connection, 200, fields, rows)
        self.results_sent += 1
        for _ in range(self._duplicates_due()):
            self.duplicates_sent += 1
            delay_s = self.random.uniform(0, MAX_DUPLICATE_DELAY_S)
            gevent.spawn_later(delay_s, self._send_duplicate, connection, fields, rows)

    def _duplicates_due(self) -> int:
        """Return how many duplicates the last result has."""
        if not self.duplicate_every:
            return 0
        group, position = divmod(self.results_sent, self.duplicate_every)
        if position != 0 and not (position == 1 and group % 2 == 1):
            return 0
        return 2 if group % 3 == 2 else 1

    def _send_duplicate(self, connection: socket.socket, fields: Iterable[tuple], rows: bytes) -> None:
        with suppress(OSError):  # the gateway has closed the connection
            self.respond(connection, 200, fields, rows)


class CheckingClient(StandInClient):
    """A client that keeps the rows of each returned batch by the batch's ticket."""

    def __init__(self, address: tuple[str, int], trace_numbers: Iterable[int]) -> None:
        self.ticket_of: dict[int, str] = {}
        self.rows_by_ticket: dict[str, bytes] = {}
        self.failures: list[dict] = []
        super().__init__(address, self._note_tickets(trace_numbers))

    def _note_tickets(self, trace_numbers: Iterable[int]) -> Iterator[int]:
        for number in trace_numbers:
            self.ticket_of[self.last_id] = f"{number:016x}"
            yield number

    def _read_responses(self) -> None:
        for line in self.connection.makefile("rb"):
            message = orjson.loads(line)
            del self.open_batches[message["id"]]
            if "error" in message:
                self.failures.append(message["error"])
            else:
                self.rows_by_ticket[self.ticket_of[message["id"]]] = b64decode(message["result"]["data"])


class SteadyLoad:
    """Lookups with one statement at a steady rate over several connections."""

    def __init__(self, address: tuple[str, int], clients: int = 8) -> None:
        trace_numbers = count(1)
        self.clients = [CheckingClient(address, trace_numbers) for _ in range(clients)]
        self.sent = 0
        self.most_open = 0

    def run(self, rate: float, seconds: float) -> None:
        """Send `rate` lookups a second; after a delay what is due is sent at once."""
        began = monotonic()
        first = self.sent
        while (elapsed := monotonic() - began) < seconds:
            while self.sent - first < elapsed * rate:
                self._send_one()
            gevent.sleep(1 / rate)

    def _send_one(self) -> None:
        client = self.clients[self.sent % len(self.clients)]
        self.sent += 1
        if len(client.open_batches) < MAX_OPEN_BATCHES:
            client.send("look")
        self.most_open = max(self.most_open, sum(len(each.open_batches) for each in self.clients))

    def wait_for_responses(self, seconds: float = 6.0) -> None:
        """Wait until all batches have a response, or that long."""
        with gevent.Timeout(seconds, False):
            while any(client.open_batches for client in self.clients):
                gevent.sleep(0.005)

    def rows_by_ticket(self) -> dict[str, bytes]:
        """Return the rows of all returned batches."""
        return {ticket: rows for client in self.clients for ticket, rows in client.rows_by_ticket.items()}

    def close(self) -> None:
        for client in self.clients:
            client.close()

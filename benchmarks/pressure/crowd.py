"""Clients that use up a gateway's memory or time. Run by `benchmarks.pressure.play` in a process of its own:

python -m benchmarks.pressure.crowd KIND HOST PORT CONNECTIONS SECONDS
"""

import sys
from base64 import b64encode
from collections.abc import Callable, Iterator
from itertools import count
from time import monotonic

import gevent
import orjson
from gevent import socket

MAX_OPEN = 32
LARGE_STATEMENT_BYTES = 5_000
SHORT_FIELDS = 2_200
LONGEST_HALF_LINE_BYTES = 26_000
PATIENCE_MS = 6_000
RECEIVE_BYTES = 65_536

traces = count(1 << 40)


def statement(size: int) -> str:
    return b64encode(b"SELECT 1 FROM sales_3.orders".ljust(size)).decode()


def request(number: int, size: int = 0, method: str = "look", **fields: object) -> bytes:
    """Return a sound request; `size` pads its statement to so many bytes."""
    params = {
        "trace": f"{next(traces):016x}",
        "patience": PATIENCE_MS,
        "weight": 20,
        "est_mb": 1,
        "data": statement(size),
        **fields,
    }
    return orjson.dumps({"jsonrpc": "2.0", "id": number, "method": method, "params": params}) + b"\n"


class Connection:
    """One connection of the crowd."""

    def __init__(self, address: tuple[str, int], position: int) -> None:
        self.address = address
        self.position = position
        self.next_id = 1
        self.answers = 0
        self.socket = socket.create_connection(address)

    def write_requests(self, requests: int, size: int, **fields: object) -> None:
        """Write so many requests in one piece."""
        lines = []
        for _ in range(requests):
            lines.append(request(self.next_id, size, **fields))
            self.next_id += 1
        self.socket.sendall(b"".join(lines))

    def answered(self) -> Iterator[int]:
        """Yield the number of answers that each read completes, until the gateway closes the connection."""
        while received := self.socket.recv(RECEIVE_BYTES):
            answers = received.count(b"\n")
            self.answers += answers
            yield answers


def keep_open(connection: Connection, size: int, **fields: object) -> None:
    """Keep 32 requests open."""
    connection.write_requests(MAX_OPEN, size, **fields)
    for answers in connection.answered():
        gevent.sleep(0.05)
        connection.write_requests(answers, size, **fields)


def open_requests(connection: Connection) -> None:
    keep_open(connection, LARGE_STATEMENT_BYTES)


def small_open_requests(connection: Connection) -> None:
    keep_open(connection, 0)


def short_fields(connection: Connection) -> None:
    """Requests with thousands of fields that mean nothing."""
    keep_open(connection, 0, **{f"f{number}": 1 for number in range(SHORT_FIELDS)})


def unread_results(connection: Connection) -> None:
    """Ask for the longest results and read none of them."""
    connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.write_requests(MAX_OPEN, 0, method="big")
    gevent.sleep(3600)


def half_lines(connection: Connection) -> None:
    """Stop within a line, at every size up to the longest, and write a byte now and then."""
    size = 1 + connection.position * 131 % LONGEST_HALF_LINE_BYTES
    connection.socket.sendall(request(1, LONGEST_HALF_LINE_BYTES)[:size])
    while True:
        gevent.sleep(0.3)
        connection.socket.sendall(b"A")


def single_bytes(connection: Connection) -> None:
    """Write a request a byte at a time."""
    while True:
        for byte in request(connection.next_id):
            connection.socket.sendall(bytes([byte]))
            gevent.sleep(0.004)
        connection.next_id += 1


def flood(line: Callable[[int], bytes]) -> Callable[[Connection], None]:
    """Return a play that writes such lines at full speed and reads the answers."""

    def write(connection: Connection) -> None:
        gevent.spawn(lambda: list(connection.answered()))
        for piece in count():
            first = 1 + 100 * piece
            connection.socket.sendall(b"".join(line(number) for number in range(first, first + 100)))
            gevent.sleep(0)

    return write


def ping(number: int) -> bytes:
    return b'{"jsonrpc":"2.0","id":%d,"method":"ping"}\n' % number


def unknown_method(number: int) -> bytes:
    return b'{"jsonrpc":"2.0","id":%d,"method":"m%d"}\n' % (number, number)


def unsound(number: int) -> bytes:
    return b'{"jsonrpc":"2.0","id":%d,"method":"look","params":{"patience":-1}}\n' % number


def abort(number: int) -> bytes:
    return b'{"jsonrpc":"2.0","method":"abort","params":{"id":%d}}\n' % (number + 1_000_000)


def empty(_number: int) -> bytes:
    return b"\n"


def new_names(number: int) -> bytes:
    """A sound request whose customer, data set and trace are new."""
    text = b64encode(f"SELECT 1 FROM sales_{number}.orders".encode()).decode()
    return request(number, customer=f"c{number}", data=text)


def new_keys(number: int) -> bytes:
    """A sound load whose key, nonce and trace are new."""
    return request(number, method="load", entity=f"k{number}", nonce=f"n{number}", customer=f"c{number}")


PLAYS: dict[str, Callable[[Connection], None]] = {
    "open_requests": open_requests,
    "small_open_requests": small_open_requests,
    "short_fields": short_fields,
    "unread_results": unread_results,
    "half_lines": half_lines,
    "single_bytes": single_bytes,
    "pings": flood(ping),
    "unknown_methods": flood(unknown_method),
    "unsound": flood(unsound),
    "aborts": flood(abort),
    "empty_lines": flood(empty),
    "new_names": flood(new_names),
    "new_keys": flood(new_keys),
}


def run(kind: str, address: tuple[str, int], connections: int, seconds: float) -> dict[str, int]:
    """Play one kind; a connection that the gateway ends is opened again after a pause."""
    end = monotonic() + seconds
    figures = {"connected": 0, "ended": 0, "answers": 0}

    def play(position: int) -> None:
        while monotonic() < end:
            connection = None
            try:
                connection = Connection(address, position)
                figures["connected"] += 1
                PLAYS[kind](connection)
            except OSError:
                figures["ended"] += 1
            finally:
                if connection is not None:
                    figures["answers"] += connection.answers
                    connection.socket.close()
            gevent.sleep(0.2)

    players = [gevent.spawn(play, position) for position in range(connections)]
    gevent.joinall(players, timeout=seconds)
    gevent.killall(players)
    return figures


if __name__ == "__main__":
    kind, host, port, connections, seconds = sys.argv[1:]
    print(orjson.dumps(run(kind, (host, int(port)), int(connections), float(seconds))).decode())

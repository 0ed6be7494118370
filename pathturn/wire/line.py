"""One connection to an engine: blocking calls, one at a time."""

from collections.abc import Callable

import httptools
from gevent import socket

from pathturn.memory.buffers import Buffers
from pathturn.memory.roster import Place
from pathturn.wire.http import Answers


class Unreachable(Exception):
    """No connection came up, which proves that nothing ran."""


class Lost(Exception):
    """The connection ended, or became unreadable, before the answer was whole."""


class Unsent(Lost):
    """It ended before the call had gone out whole, which proves that nothing came of it."""


class Line:
    def __init__(self, place: Place, dial_s: float, buffers: Buffers, log: Callable[[str], None]) -> None:
        _, address = self.place = place
        self.host = f"{address[0]}:{address[1]}"
        self.buffers, self.log, self.answers, self.calls = buffers, log, Answers(), 0
        self.idle_us = 0
        self.socket = socket.socket()
        try:
            # By the address alone: create_connection would have a thread resolve it, at three times the cost.
            self.socket.settimeout(dial_s)
            self.socket.connect(address)
        except OSError as fault:
            self.socket.close()
            raise Unreachable(type(fault).__name__) from fault
        self.socket.settimeout(None)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def call(self, request: bytes) -> tuple[int, dict[str, str], bytes]:
        self.calls += 1
        try:
            self.socket.sendall(request)
        except OSError as fault:
            raise Unsent(type(fault).__name__) from fault
        try:
            with self.buffers.lent() as buffer:
                while True:
                    size = self.socket.recv_into(buffer)
                    if not size:
                        raise Lost("closed")
                    if self.answers.feed(buffer[:size]):
                        return self.answers.take()
        except OSError as fault:
            raise Lost(type(fault).__name__) from fault
        except (httptools.HttpParserError, httptools.HttpParserCallbackError) as fault:
            raise Lost("unreadable") from fault

    def fresh(self) -> bool:
        """Whether an idle connection is still usable: the engine may have closed it, or spoken unasked."""
        self.socket.settimeout(0)
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        finally:
            self.socket.settimeout(None)
        return False

    def close(self, code: str) -> None:
        self.socket.close()
        self.log(f"engine {self.host} calls={self.calls} code={code}")

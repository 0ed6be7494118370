"""One connection to an engine: blocking calls, one at a time."""

import select
import struct
from collections.abc import Callable
from time import monotonic

from gevent import socket

from pathturn.memory.buffers import Buffers
from pathturn.memory.roster import Place
from pathturn.wire.http import Answers, Unreadable

# Closes at once, with nothing that still waits in the system sent on.
TORN = struct.pack("ii", 1, 0)
# An answer like the one before it, so soon after it was asked for, is taken for a second copy of that one:
# news of a query that goes on is the same only after the protocol's 250 ms.
TWICE_S = 0.025
NEWS = (200, 202)  # statuses that come with news or pages alone
ENDED = select.POLLRDHUP | select.POLLERR | select.POLLHUP


class Unreachable(Exception):
    """No connection came up, which proves that nothing ran; refused, that no process is there."""

    def __init__(self, fault: OSError) -> None:
        super().__init__(type(fault).__name__)
        self.refused = isinstance(fault, ConnectionRefusedError)


class Lost(Exception):
    """The connection ended, or became unreadable, before the answer was whole."""


class Unsent(Lost):
    """It ended before the call had gone out whole, which proves that nothing came of it."""


def quiet(link: socket.socket) -> bool:
    """Whether nothing lies in the socket, neither bytes nor an end. Whoever waits on it goes on waiting."""
    patience = link.gettimeout()
    link.settimeout(0)
    try:
        link.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    finally:
        link.settimeout(patience)
    return False


def hung_up(link: socket.socket) -> bool:
    """Whether the peer has ended it, also where bytes before that end lie unread."""
    if link.closed:
        return True
    poll = select.poll()
    poll.register(link.fileno(), select.POLLRDHUP)
    return any(found & ENDED for _, found in poll.poll(0))


class Line:
    def __init__(self, place: Place, dial_s: float, buffers: Buffers, log: Callable[[str], None]) -> None:
        _, address = self.place = place
        self.host = f"{address[0]}:{address[1]}"
        self.buffers, self.log, self.answers, self.calls = buffers, log, Answers(), 0
        self.idle_us, self.due, self.before, self.doubled = 0, False, None, False
        self.socket = socket.socket()
        try:
            # By the address alone: create_connection would have a thread resolve it, at three times the cost.
            self.socket.settimeout(dial_s)
            self.socket.connect(address)
        except OSError as fault:
            self.close(f"undialled_{type(fault).__name__}")
            # Whoever resets a dial is there: taken for one that is down, it would count as started anew.
            if isinstance(fault, ConnectionResetError):
                raise Unsent("ConnectionResetError") from fault
            raise Unreachable(fault) from fault
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def call(self, request: bytes, patience_s: float) -> tuple[int, dict[str, str], bytes]:
        self.calls += 1
        self.due = True
        self.socket.settimeout(patience_s)
        asked = monotonic()
        try:
            self.socket.sendall(request)
        except OSError as fault:
            raise Unsent(type(fault).__name__) from fault
        answer = self.answer()
        # Whatever comes next here would be the answer to the call before it. Those to give-ups are all alike.
        alike = answer == self.before and answer[0] in NEWS
        self.doubled |= alike and monotonic() - asked < TWICE_S
        self.before = answer
        return answer

    def tell(self, request: bytes, patience_s: float) -> tuple[int, dict[str, str], bytes]:
        """A call that asks for nothing: news and pages are no answer to it, but what came late to an earlier
        call. A give-up that took them for its own would prove a query over that goes on."""
        answer = self.call(request, patience_s)
        while answer[0] in NEWS:
            self.due = self.doubled = True
            answer = self.answer()
        return answer

    def answer(self) -> tuple[int, dict[str, str], bytes]:
        """The answer that is due, or what is still missing of it."""
        try:
            with self.buffers.lent() as buffer:
                while not self.answers.feed(self._receive(buffer)):
                    pass
            self.due = False
            return self.answers.take()
        except OSError as fault:
            raise Lost(type(fault).__name__) from fault
        except Unreadable as fault:
            raise Lost(str(fault)) from fault

    def _receive(self, buffer: memoryview) -> memoryview:
        try:
            size = self.socket.recv_into(buffer)
        except TimeoutError:
            # After a standstill of this gateway the timer comes before what has lain in the socket all along.
            if self.fresh():
                raise
            size = self.socket.recv_into(buffer)
        if not size:
            raise Lost("closed")
        return buffer[:size]

    @property
    def parts(self) -> str | None:
        """Why it is of no further use, if so."""
        return "doubled" if self.doubled else None if self.answers.keeps else "engine_closes"

    def fresh(self) -> bool:
        """Idle, it is still usable."""
        return quiet(self.socket)

    def close(self, code: str) -> None:
        """With a call unanswered nothing of it may still come to the engine: behind a cut the system would
        keep it, and a query could begin there long after it was given up."""
        if self.due:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, TORN)
        self.socket.close()
        self.log(f"engine {self.host} calls={self.calls} code={code}")

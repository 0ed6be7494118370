"""Writes the answers of one client connection, whole and one after the other."""

from collections.abc import Callable

import gevent
from gevent import socket
from gevent.lock import RLock
from gevent.pool import Group

from pathturn.memory.buffers import BUFFER_BYTES

# A client that does not read has to be disconnected within 3 s.
WRITE_TIMEOUT_S = 2.0
# The replies to one read of the shortest lines. The writer runs before the next read, so more than this is
# queued only when the client does not read.
MAX_QUEUED_REPLY_BYTES = 10 * BUFFER_BYTES


class AnswerWriter:
    """Writes long answers in greenlets of their own, and short ones together."""

    def __init__(self, sock: socket.socket, close: Callable[[str], None]) -> None:
        """`close` is called with a reason code if the client does not read, or its connection failed."""
        self.socket = sock
        self.close = close
        self.lock = RLock()
        # Those that write, or wait for their turn to write.
        self.greenlets = Group()
        self.queued_replies: list[bytes] = []
        self.queued_reply_bytes = 0

    def write(self, line: bytes) -> None:
        """Write a line; blocks until the system has taken it."""
        with self.lock:
            try:
                with gevent.Timeout(WRITE_TIMEOUT_S, TimeoutError):
                    self.socket.sendall(line)
            except OSError as error:
                # The reader wakes up, and the reason is logged when it returns.
                self.close(
                    "client_not_reading"
                    if isinstance(error, TimeoutError)
                    else f"lost_{type(error).__name__}"
                )

    def queue(self, line: bytes) -> None:
        """Queue a short reply. The reader doesn't write it itself: blocked by a client that does not read, it
        would notice that client's close and its aborts only seconds later."""
        self.queued_replies.append(line)
        self.queued_reply_bytes += len(line)
        if self.queued_reply_bytes > MAX_QUEUED_REPLY_BYTES:
            self.close("client_not_reading")
        elif self.queued_reply_bytes == len(line):
            self.greenlets.spawn(self._write_queued)

    def _write_queued(self) -> None:
        while self.queued_replies:
            replies = b"".join(self.queued_replies)
            self.queued_replies = []
            self.write(replies)
            self.queued_reply_bytes -= len(replies)

"""Socket reads that can be cancelled within one iteration of the event loop."""

from collections.abc import Callable

import gevent
from gevent import get_hub, socket
from gevent.hub import Waiter

READ_EVENT = 1  # libev's EV_READ
# The rest of what the peer wrote follows within this time once the socket's buffer has room again.
REFILL_S = 0.002


def nothing_to_read(connection: socket.socket) -> bool:
    """Return whether the socket has neither unread data nor EOF. Waiting readers are not woken."""
    timeout_s = connection.gettimeout()
    connection.settimeout(0)
    try:
        connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    finally:
        connection.settimeout(timeout_s)
    return False


class ReadCancelledError(ConnectionError):
    """The reader was cancelled, as the connection is being closed from this side."""


class SocketReader:
    """Reads from a connection's socket. If a socket is closed while gevent waits for its input, its
    descriptor is released only in a later iteration of the event loop; after `cancel` it is released at
    once.

    `written_from_us` is a time before which the peer wrote none of the bytes received last: until then it had
    nothing written that was unread.
    """

    def __init__(self, sock: socket.socket, clock: Callable[[], int]) -> None:
        self.socket = sock
        self.clock = clock
        self.written_from_us = clock()
        self.all_read_at_us = self.written_from_us
        # Whether the peer may have more written than the socket's buffer took.
        self.backlogged = False
        self.refill_checked = False
        self.watcher = get_hub().loop.io(sock.fileno(), READ_EVENT)
        self.waiter: Waiter | None = None
        self.cancelled = False

    def receive_into(self, buffer: memoryview) -> int:
        """Return the number of bytes received, 0 if the peer has closed. Raise OSError if the connection
        failed, and ReadCancelledError after `cancel`."""
        while True:
            if self.cancelled:
                raise ReadCancelledError
            try:
                size = self._receive_now(buffer)
            except BlockingIOError:
                self._wait_while_empty()
            else:
                self._note_received(size == len(buffer))
                return size

    def _note_received(self, is_full: bool) -> None:
        """Note that input was received, and whether there may be more of it than the buffer took."""
        self.written_from_us = self.all_read_at_us
        if is_full:
            self.backlogged = True
            self.refill_checked = False
        if not self.backlogged:
            self.all_read_at_us = self.clock()

    def wait_for_input(self) -> None:
        """Wait until there is something to receive, be it the end of the connection or its failure. Raise
        ReadCancelledError after `cancel`."""
        while True:
            if self.cancelled:
                raise ReadCancelledError
            if not nothing_to_read(self.socket):
                return
            self._wait_while_empty()

    def _wait_while_empty(self) -> None:
        """Wait while the socket is empty. If the peer may have more written than the socket's buffer took,
        that has arrived once the socket is still empty after `REFILL_S`."""
        if self.backlogged and not self.refill_checked:
            self.refill_checked = True
            gevent.sleep(REFILL_S)
            return
        self.backlogged = False
        self._wait()
        self.all_read_at_us = self.clock()

    def _receive_now(self, buffer: memoryview) -> int:
        """Receive without waiting; raise BlockingIOError if there is no input."""
        timeout = self.socket.gettimeout()
        self.socket.settimeout(0)
        try:
            return self.socket.recv_into(buffer)
        finally:
            self.socket.settimeout(timeout)

    def _wait(self) -> None:
        waiter = self.waiter = Waiter()
        self.watcher.start(waiter.switch, None)
        try:
            waiter.get()
        finally:
            self.waiter = None
            if not self.cancelled:
                self.watcher.stop()

    def cancel(self) -> None:
        """Stop waiting, so that the descriptor may be closed. A waiting reader wakes up in the next iteration
        of the event loop."""
        if self.cancelled:
            return
        self.cancelled = True
        self.watcher.stop()
        self.watcher.close()
        if self.waiter is not None:
            get_hub().loop.run_callback(self.waiter.switch, None)

"""Socket reads that can be cancelled within one iteration of the event loop."""

from gevent import get_hub, socket
from gevent.hub import Waiter

READ_EVENT = 1  # libev's EV_READ


class ReadCancelledError(ConnectionError):
    """The reader was cancelled, as the connection is being closed from this side."""


class SocketReader:
    """Reads from a connection's socket. If a socket is closed while gevent waits for its input, its
    descriptor is released only in a later iteration of the event loop; after `cancel` it is released at
    once."""

    def __init__(self, sock: socket.socket) -> None:
        self.socket = sock
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
                return self._receive_now(buffer)
            except BlockingIOError:
                self._wait()

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

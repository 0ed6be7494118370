"""The listener for client connections."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer


class ClientListener(StreamServer):
    """Closes a connection that is not admitted in the event loop iteration that accepts it. A greenlet would
    do so only after up to a hundred more have been accepted, on file descriptors reserved for other uses."""

    def __init__(
        self,
        address: tuple[str, int],
        admit: Callable[[socket.socket, Any], Any],
        serve: Callable[[Any, Any], None],
    ) -> None:
        """`admit` returns the object to be served, or None if the connection is refused; `serve` is called
        with that object and the peer's address, in a greenlet of its own."""
        super().__init__(address, serve, backlog=1024)
        self.admit = admit
        self.serve_connection = serve

    def do_handle(self, sock: socket.socket, peer: Any) -> None:
        if (admitted := self.admit(sock, peer)) is None:
            sock.close()
        else:
            gevent.spawn(self.serve_connection, admitted, peer)

    def accept_pending_and_close(self) -> None:
        """Handle the connections in the accept queue, then close the listener: one of them may carry a
        request, and closing the listener would reset it. After a stall of this process, a timer that calls
        this may run before the event loop looks at the listener. Raise OSError if the queue can't be read."""
        try:
            while (accepted := self.do_read()) is not None:
                self.do_handle(*accepted)
        finally:
            with suppress(OSError):
                self.close()

"""The listener for clients' connections."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer


class Door(StreamServer):
    """Whoever finds no room is turned away in the very turn that accepts it. Left to a greenlet of its own
    that comes after up to a hundred more have been accepted, on descriptors that are lent to others or to
    nobody."""

    def __init__(
        self,
        address: tuple[str, int],
        admit: Callable[[socket.socket, Any], Any],
        serve: Callable[[Any, Any], None],
    ) -> None:
        """`admit` gives what is to be served, or None for no room; `serve` gets that in a greenlet of its
        own."""
        super().__init__(address, serve, backlog=1024)
        self.admit, self.serve_one = admit, serve

    def do_handle(self, link: socket.socket, peer: Any) -> None:
        if (admitted := self.admit(link, peer)) is None:
            link.close()
        else:
            gevent.spawn(self.serve_one, admitted, peer)

    def close_after_all(self) -> None:
        """Takes what the system has accepted before it closes: that may hold a batch, and would be reset.
        After a standstill a timer comes before the listener is looked at. Raises OSError where the queue
        can't be read."""
        try:
            while (found := self.do_read()) is not None:
                self.do_handle(*found)
        finally:
            with suppress(OSError):
                self.close()

"""The listener for clients' connections."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

# A closed connection gives its descriptor back within a turn or two of the event loop; so long at most is
# waited for it when all that has been accepted is to be taken.
DESCRIPTORS_WAIT_S = 0.1


class Door(StreamServer):
    """Whoever finds no room is turned away in the very turn that accepts it. Left to a greenlet of its own
    that comes after up to a hundred more have been accepted, on descriptors that are lent to others or to
    nobody."""

    def __init__(self, address: tuple[str, int], admit: Callable[[socket.socket, Any], Any],
                 serve: Callable[[Any, Any], None], out_of_descriptors: Callable[[], bool]) -> None:
        """`admit` gives what is to be served, or None for no room; `serve` gets that in a greenlet of its
        own. While `out_of_descriptors`, nothing is accepted: closed connections give theirs back soon."""
        super().__init__(address, serve, backlog=1024)
        self.admit = admit
        self.serve_one = serve
        self.out_of_descriptors = out_of_descriptors

    def do_read(self) -> Any:
        return None if self.out_of_descriptors() else super().do_read()

    def do_handle(self, link: socket.socket, peer: Any) -> None:
        if (admitted := self.admit(link, peer)) is None:
            link.close()
        else:
            gevent.spawn(self.serve_one, admitted, peer)

    def _next_accepted(self) -> Any:
        with gevent.Timeout(DESCRIPTORS_WAIT_S, False):
            while self.out_of_descriptors():
                gevent.sleep(0)
        return super().do_read()

    def close_after_all(self) -> None:
        """Takes what the system has accepted before it closes: that may hold a batch, and would be reset.
        After a standstill a timer comes before the listener is looked at. Raises OSError where the queue
        can't be read."""
        try:
            while (found := self._next_accepted()) is not None:
                self.do_handle(*found)
        finally:
            with suppress(OSError):
                self.close()

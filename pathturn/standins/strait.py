"""A stand-in for the network before one engine: it can be cut, and then gives no sign in either direction."""

import select
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer


class Strait:
    """Listens in an engine's place and passes its bytes on. While it is cut connections stay open and silent.
    Behind the cut the senders' own systems keep what was sent: once it is mended that arrives, unless its
    sender has torn the connection meanwhile, for a torn one sends nothing again."""

    def __init__(self, behind: tuple[str, int]) -> None:
        self.behind, self.whole = behind, Event()
        self.whole.set()
        self.server = StreamServer(("127.0.0.1", 0), self.carry)
        self.server.start()

    def cut(self) -> None:
        self.whole.clear()

    def mend(self) -> None:
        self.whole.set()

    def carry(self, link: socket.socket, peer: Any) -> None:
        self.whole.wait()
        if link.closed or torn(link):
            return
        with socket.create_connection(self.behind) as beyond:
            back = gevent.spawn(self.pump, beyond, link)
            self.pump(link, beyond)
            back.kill()

    def pump(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while True:
                socket.wait_read(source.fileno())
                self.whole.wait()
                if torn(source) or not (piece := source.recv(65_536)):
                    break
                sink.sendall(piece)
            sink.shutdown(socket.SHUT_WR)
        except (OSError, ValueError):  # closed meanwhile
            sink.close()


def torn(link: socket.socket) -> bool:
    poll = select.poll()
    poll.register(link.fileno(), select.POLLIN)
    return any(found & (select.POLLERR | select.POLLHUP) for _, found in poll.poll(0))

"""A TCP proxy before one engine that simulates a network partition: no data and no reset passes in either
direction."""

import select
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

RECEIVE_BYTES = 65_536


class NetworkProxy:
    """Listens in an engine's place and forwards its traffic. During a partition connections stay open and
    silent. The senders' kernels keep the data sent meanwhile: it arrives after the partition has healed,
    unless the sender has closed or reset the connection by then, as a closed socket retransmits nothing."""

    def __init__(self, upstream: tuple[str, int]) -> None:
        self.upstream = upstream
        self.connected = Event()
        self.connected.set()
        self.server = StreamServer(("127.0.0.1", 0), self.handle)
        self.server.start()

    def partition(self) -> None:
        self.connected.clear()

    def heal(self) -> None:
        self.connected.set()

    def handle(self, downstream: socket.socket, peer: Any) -> None:
        """Forward one connection in both directions until either side ends it."""
        self.connected.wait()
        if downstream.closed or is_disconnected(downstream):
            return
        with socket.create_connection(self.upstream) as upstream:
            responses = gevent.spawn(self.forward, upstream, downstream)
            self.forward(downstream, upstream)
            responses.kill()

    def forward(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while True:
                socket.wait_read(source.fileno())
                self.connected.wait()
                if is_disconnected(source) or not (chunk := source.recv(RECEIVE_BYTES)):
                    break
                sink.sendall(chunk)
            sink.shutdown(socket.SHUT_WR)
        except (OSError, ValueError):  # closed meanwhile
            sink.close()


def is_disconnected(connection: socket.socket) -> bool:
    """Return whether the connection was reset or closed in both directions."""
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLIN)
    return any(events & (select.POLLERR | select.POLLHUP) for _, events in poll.poll(0))

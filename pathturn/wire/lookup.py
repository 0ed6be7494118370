"""Follows the directory by DNS over UDP."""

from collections.abc import Callable

import gevent
from gevent import socket

from pathturn.core import interface as names
from pathturn.memory.facade import Facade
from pathturn.wire import directory

LARGEST = 8192  # the protocol's answers hold up to 8,000 bytes
# Well under the time after which the directory counts a change as told; an answer is small beside this.
EVERY_S, PATIENCE_S = 0.25, 0.5


class Lookup:
    def __init__(self, address: tuple[str, int], facade: Facade, asks: bool, last: int,
                 changed: Callable[[], None]) -> None:
        self.address, self.facade, self.asks = address, facade, asks
        self.last, self.number, self.raw, self.changed = last, 0, b"", changed

    def follow(self) -> None:
        """Where the list comes by itself it is asked for always, else while the module wants it."""
        link = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        link.connect(self.address)
        while True:
            if self.asks:
                self.facade.follows_list.wait()
            if not self._ask(link) and self.asks:
                self.facade.follows_list.clear()
                self.facade.listing(names.FAILED, [])
            gevent.sleep(EVERY_S)

    def _ask(self, link: socket.socket) -> bool:
        self.number = (self.number + 1) % 65536
        try:
            link.send(directory.question(self.number))
            with gevent.Timeout(PATIENCE_S):
                while True:
                    if self._hear(link.recv(LARGEST)):
                        return True
        except (OSError, gevent.Timeout):
            return False

    def _hear(self, packet: bytes) -> bool:
        if packet[2:] == self.raw and packet[:2] == self.number.to_bytes(2, "big"):
            return True
        try:
            serial, rows = directory.answer(packet, self.number)
        except directory.Unreadable:
            return False
        self.raw = packet[2:]
        # An older list would bring back engines that have begun to drain.
        if serial > self.last:
            self.last = serial
            self.facade.listing(names.WHOLE, rows)
            self.changed()
        return True

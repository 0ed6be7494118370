"""Follows the directory by DNS over UDP."""

from collections.abc import Callable

import gevent
from gevent import socket
from gevent.pool import Group

from pathturn.core import interface as names
from pathturn.memory.facade import Facade
from pathturn.wire import directory

# All that a datagram can hold: an engine takes some 90 to 110 bytes, so that the protocol's 8,000 hold about
# 80 engines at most; of a list that is cut short nothing is heard, drains neither.
LARGEST = 65_535
# Well under the time after which the directory counts a change as told; an answer is small beside this. Each
# question waits for its answer beside the next ones: a change counts as told once its answer was sent, and
# one that was lost on the way must not hold up the next, nor must a directory that answers later than that.
EVERY_S, PATIENCE_S = 0.25, 0.5


class Lookup:
    def __init__(
        self, facade: Facade, asks: bool, last: int, changed: Callable[[], None], log: Callable[[str], None]
    ) -> None:
        self.facade, self.asks, self.changed, self.log = facade, asks, changed, log
        self.last, self.number, self.raw = last, 0, b""
        self.following: gevent.Greenlet | None = None
        self.asked, self.fault = Group(), ""

    def follow(self, address: tuple[str, int]) -> None:
        """From now on this directory, asked at once and not after the old one's patience. Its events carry on
        the old one's numbers, but the old one's last answer is no measure for its first."""
        self.stop()
        self.raw = b""
        self.following = gevent.spawn(self._follow, address)

    def stop(self) -> None:
        if self.following is not None:
            self.following.kill(block=False)
        self.asked.kill(block=False)

    def _follow(self, address: tuple[str, int]) -> None:
        """Where the list comes by itself it is asked for always, else while the module wants it."""
        while True:
            if self.asks:
                self.facade.follows_list.wait()
            question = self.asked.spawn(self._ask, address)
            if self.asks and not question.get():
                self.facade.follows_list.clear()
                self.facade.listing(names.LIST_UNAVAILABLE, [])
            gevent.sleep(EVERY_S)

    def _ask(self, address: tuple[str, int]) -> bool:
        self.number = number = (self.number + 1) % 65536
        try:
            # A socket for each question: a fault of one, or what still comes late to it, ends with it.
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as link, gevent.Timeout(PATIENCE_S):
                link.connect(address)
                link.send(directory.question(number))
                while not self._hear(link.recv(LARGEST), number):
                    pass
                self.fault = ""
                return True
        except gevent.Timeout:
            return False
        except OSError as fault:
            told, self.fault = self.fault, f"{type(fault).__name__} reason={fault.strerror}"
            if self.fault != told:  # once, and not with each question while it lasts
                self.log(f"directory code=unasked_{self.fault}")
            return False

    def _hear(self, packet: bytes, number: int) -> bool:
        if packet[2:] == self.raw and packet[:2] == number.to_bytes(2, "big"):
            return True
        try:
            # An older list would bring back engines that have begun to drain.
            serial, rows = directory.answer(packet, number, self.last)
        except directory.Unreadable as fault:
            self.log(f"directory bytes={len(packet)} code=unreadable reason={fault}")
            return False
        if rows is not None or serial == self.last:
            self.raw = packet[2:]
        if rows is not None:
            self.last = serial
            self.facade.listing(names.LIST_SNAPSHOT, rows)
            self.changed()
        return True

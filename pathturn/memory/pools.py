"""Connections to engines: idle ones are used again, and all of them together stay under the cap."""

from collections import defaultdict
from collections.abc import Callable
from functools import partial

import gevent
from gevent.lock import BoundedSemaphore

from pathturn.memory.roster import Place
from pathturn.wire.line import ConnectTimeoutError, Line

# Idle connections are closed in half the time after which the engines do: a call must not cross such a close.
EARLIER = 2


class Pools:
    def __init__(
        self,
        cap: int,
        idle_us: int,
        dial_us: int,
        clock: Callable[[], int],
        dial: Callable[[Place, float], Line],
        log: Callable[[str], None],
    ) -> None:
        self.room, self.clock, self.dial, self.log = BoundedSemaphore(cap), clock, dial, log
        self.idle_us, self.dial_s = idle_us // EARLIER, dial_us / 1e6
        self.idle: dict[Place, list[Line]] = defaultdict(list)
        self.waiting = 0
        # Connections that were not up in time for their attempt, one an endpoint at most, each with the
        # greenlet that waits for it: one that comes up after all is the next attempt's.
        self.late: dict[Place, gevent.Greenlet] = {}
        self.equal_answers: set[Place] = set()

    def borrow(self, place: Place, new: bool = False) -> Line:
        waiting = self.idle[place]
        # An answer cannot be a copy of what its connection brought long ago: where answers are equal, the one
        # idle for longest goes first. Elsewhere the last one, so that those not needed can end.
        longest_idle_first = place in self.equal_answers
        while waiting and not new:
            line = waiting.pop(0 if longest_idle_first else -1)
            if line.fresh():
                return line
            self.drop(line, "engine_closed")
        self._take_room()
        try:
            return self.dial(place, self.dial_s)
        except ConnectTimeoutError as timeout:
            self._keep_late(timeout.connection)
            raise
        except BaseException:
            self.room.release()
            raise

    def expect_equal_answers(self, place: Place) -> None:
        """Note that an endpoint gives the same answer to more than one request."""
        self.equal_answers.add(place)

    def _keep_late(self, line: Line) -> None:
        """Wait for it as long as an idle connection is kept, unless its descriptor is needed or its engine
        has gone before."""
        if line.place in self.late:
            self.drop(line, "connect_timeout")
            return
        self.log(f"engine {line.host} code=connect_late")
        waiter = self.late[line.place] = gevent.spawn(line.came_up, self.idle_us / 1e6)
        waiter.link(partial(self._settle_late, line))  # also runs where the waiter is killed before its start

    def _settle_late(self, line: Line, waiter: gevent.Greenlet) -> None:
        del self.late[line.place]
        if waiter.value is True:
            self.give_back(line)
        else:
            self.drop(line, "connect_timeout")

    def give_back(self, line: Line) -> None:
        if code := line.parts or ("room" if self.waiting else None):
            self.drop(line, code)
            return
        line.idle_us = self.clock()
        self.idle[line.place].append(line)

    def prune(self) -> None:
        oldest = self.clock() - self.idle_us
        for place, waiting in list(self.idle.items()):
            while waiting and waiting[0].idle_us <= oldest:
                self.drop(waiting.pop(0), "idle")
            if not waiting:
                del self.idle[place]  # engines are replaced for ever

    def keep_only(self, places: set[Place]) -> None:
        """Drops what is idle to engines that have gone: another may have the address next."""
        self.equal_answers &= places
        for place in self.idle.keys() - places:
            for line in self.idle.pop(place):
                self.drop(line, "engine_gone")
        for place in self.late.keys() - places:
            self.late[place].kill(block=False)

    def _take_room(self) -> None:
        """Waits in turn when all are in use: an engine is not to blame for this gateway's limit."""
        if self.room.acquire(blocking=False):
            return
        fullest = max(self.idle.values(), key=len, default=None)
        if fullest:
            self.drop(fullest.pop(0), "room")
        elif self.late:
            next(iter(self.late.values())).kill(block=False)
        self.log("no connection to engines is free")
        self.waiting += 1
        try:
            self.room.acquire()
        finally:
            self.waiting -= 1

    def drop(self, line: Line, code: str) -> None:
        line.close(code)
        self.room.release()

"""Puts a gateway together, starts it, and stops it when asked to."""

import gc
import traceback
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.pool import Group

from pathturn.core import interface as names
from pathturn.memory.buffers import Buffers
from pathturn.memory.facade import STANDSTILL_US, Facade
from pathturn.memory.pools import Pools
from pathturn.memory.sessions import Sessions
from pathturn.process.clock import unix_clock
from pathturn.process.limits import PARTING, longest_line, shares
from pathturn.process.log import Log
from pathturn.process.settings import build
from pathturn.wire import directory
from pathturn.wire.clients import Session
from pathturn.wire.door import Door
from pathturn.wire.engines import Engines
from pathturn.wire.line import Line
from pathturn.wire.lookup import Lookup

if TYPE_CHECKING:
    from pathturn.config.installation import Installation
    from pathturn.process.operator import Operator

PRUNE_S = 0.25
# A process with a part of a core stands still for tens of milliseconds; no stall that matters is missed.
BEAT_S = STANDSTILL_US / 2 / 1e6
# The protocol's figures: batches still come in for this long after SIGTERM, and the kill follows once the
# longest time limit has passed as well, a longer one counted as this.
STILL_COMING_S, LONGEST_S = 0.7, 3.0
# By which parts of it batches are ended, their answers written, and connections closed from both sides.
ENDED, WRITTEN, PARTED = 13 / 16, 14 / 16, 15 / 16
# Once such a limit has passed: enough to read what has come, to run a round, and to write the answers.
STEPS_AFTER_LIMIT = 8


class GatewayProcess:
    def __init__(self, told: dict[str, Any], installation: "Installation | None" = None) -> None:
        settings, self.clock = told["settings"], unix_clock()
        self.log = Log(told["name"], installation.log if installation else "plain")
        limits = settings.get("limits") or {}
        decider, groups = build(int(told["seed"], 16), settings)
        self.step_s = (settings.get("stepUs") or 1000) / 1e6
        self.facade = Facade(
            decider, groups, self.clock, bool((settings.get("domain") or {}).get("costInAnswers")), self.log
        )
        clients, engines = shares(told["limits"]["sockets"])
        self.longest_line = longest_line(told["limits"]["memory_mb"], clients)
        self.buffers, self.sessions = Buffers(), Sessions(clients, PARTING, self.clock)
        self.pools = Pools(
            engines,
            limits.get("idleCloseUs") or 1_000_000,
            limits.get("dialTimeoutUs") or 250_000,
            self.clock,
            lambda place, dial_s: Line(place, dial_s, self.buffers, self.log),
            self.log,
        )
        report = settings.get("report") or {}
        self.engines = Engines(
            self.facade, self.pools, self.clock, report.get("fields") or [], bool(limits.get("secondCopies"))
        )
        self.asked_to_stop, self.parts = Event(), Group()
        serial, rows = directory.known(told["known"])
        self.facade.listing(names.CACHED, rows)
        self.names = directory.address(told["names"])
        self.lookup = Lookup(
            self.facade,
            settings.get("discovery") == "ask",
            serial,
            lambda: self.pools.keep_only(self.facade.roster.places),
            self.log,
        )
        self.operator: Operator | None = None
        if installation is not None:
            from pathturn.process import operator  # what is not enabled is not imported

            self.operator = operator.Operator(
                installation, self.facade, settings, clients, self.clock, self.log
            )
        self.server = Door(directory.address(told["listen"]), self._admit, self._client)

    def run(self) -> None:
        """Serves, once its server has been started, until a stop is asked for and nothing taken is open."""
        self.lookup.follow(self.names)
        for part in (
            self._rounds,
            self._beat,
            self._prune,
            *(self.operator.parts() if self.operator is not None else ()),
        ):
            self.parts.spawn(part)
        # What is there by now stays: the collector's longest passes need not go over it again and again.
        gc.freeze()
        self.log("ready")
        self.asked_to_stop.wait()
        self._finish()

    def reload(self, read: Callable[[], dict[str, Any]]) -> None:
        """SIGHUP: another directory may be named. What cannot be used, as a file that is still being written,
        leaves everything as it is; what is open goes on in any case."""
        try:
            address = directory.address(read()["names"])
        except Exception as fault:  # noqa: BLE001 - whatever is in that file, the gateway goes on serving
            self.log(f"reload code=unusable_{type(fault).__name__}")
            return
        self.log(f"reload code=ok names={address[0]}:{address[1]}")
        if address != self.names:
            self.names = address
            self.lookup.follow(address)

    def _rounds(self) -> None:
        """One round for all that came in within the settings' step."""
        while True:
            self.facade.wait()
            # After a standstill the loop's timers come before what lies in the sockets, and a round run right
            # away would take every engine for silent. The second sleep lets that turn's readers run out.
            gevent.sleep(self.step_s)
            gevent.sleep(0)
            try:
                self.facade.tick()
            except Exception:  # noqa: BLE001 - the other batches are owed their answers whatever went wrong
                self.log("round failed: " + traceback.format_exc().replace("\n", " | "))

    def _admit(self, link: socket.socket, peer: tuple[str, int]) -> Session | None:
        session = Session(
            link,
            self.facade,
            self.engines.send,
            self.buffers,
            lambda: not self.asked_to_stop.is_set(),
            self.longest_line,
        )
        if self.sessions.enter(session):
            return session
        self.log(f"client {peer[0]}:{peer[1]} taken=0 code=no_room")
        return None

    def _client(self, session: Session, peer: tuple[str, int]) -> None:
        code = session.serve()
        self.sessions.leave(session)
        self.log(f"client {peer[0]}:{peer[1]} taken={session.taken} code={code}")

    def _beat(self) -> None:
        while True:
            self.facade.beat()
            gevent.sleep(BEAT_S)

    def _prune(self) -> None:
        while True:
            gevent.sleep(PRUNE_S)
            self.pools.prune()
            self.sessions.prune()

    def _finish(self) -> None:
        """Whatever was taken is owed an answer, and before the kill: a batch that has longer is ended."""
        self.log("stopping")
        if self.operator is not None:
            self.operator.stop()
        gevent.sleep(STILL_COMING_S)
        self._close_door()
        left_s = min(LONGEST_S, max(group.limit_us for group in self.facade.groups.values()) / 1e6)
        self.facade.stop(int(ENDED * left_s * 1e6))
        self._wait(WRITTEN * left_s, lambda: len(self.facade.batches) or self.sessions.busy())
        self.sessions.part("stopped")
        self._wait((PARTED - WRITTEN) * left_s, lambda: len(self.sessions))
        if self.operator is not None:
            self.operator.close()
        self.log(f"stopped open={len(self.facade.batches)} clients={len(self.sessions)}")

    def _close_door(self) -> None:
        try:
            self.server.close_after_all()
        except OSError as fault:
            self.log(f"listener code=lost_{type(fault).__name__}")

    def _wait(self, seconds: float, on: Callable[[], object]) -> None:
        with gevent.Timeout(seconds, False):
            while True:
                gevent.sleep(self.step_s)  # first: connections just accepted have not been looked at
                if not on():
                    return
        # Over a stall the limit's timer comes before what lies in the sockets is read.
        for _ in range(STEPS_AFTER_LIMIT):
            if not on():
                return
            gevent.sleep(self.step_s)

"""Puts together what an operator's file enables: ledger, changes, background work, control socket. Imported
only where one is named, so that plain `serve` pays nothing for it."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from pathturn.background.scheduler import Scheduler
from pathturn.change.conductor import Conductor
from pathturn.change.ledger import Ledger
from pathturn.config.installation import Installation
from pathturn.control.protocol import Calls
from pathturn.control.server import Control
from pathturn.memory.facade import Facade
from pathturn.process.settings import further_share
from pathturn.routing.checks import Facts
from pathturn.wire.clients import MOST_OPEN


class Operator:
    def __init__(
        self,
        told: Installation,
        facade: Facade,
        settings: dict[str, Any],
        clients: int,
        clock: Callable[[], int],
        log: Callable[[str], None],
    ) -> None:
        """Raises what makes the operator's part unusable; nothing of it is in force then."""
        self.facade, self.most_open = facade, clients * MOST_OPEN
        self.further = further_share(settings)
        # Events that wait for a round are traffic; so is a core that is behind its own clock.
        self.scheduler = Scheduler(clock, lambda: bool(facade.events))
        self.ledger = Ledger(Path(told.ledger))
        self.conductor = Conductor(facade, self.ledger, self.scheduler, self.facts, clock, log)
        self.conductor.start(Path(told.document))
        self.control = Control(Path(told.control), Calls(self.conductor), log) if told.control else None

    def facts(self) -> Facts:
        return Facts(self.facade.groups, tuple(self.facade.roster.seats), self.further, self.most_open)

    def parts(self) -> list[Callable[[], None]]:
        """What runs beside the gateway's own parts."""
        if self.control is not None:
            self.control.start()
        return [self.scheduler.run, self.conductor.run]

    def stop(self) -> None:
        self.conductor.stop()

    def close(self) -> None:
        if self.control is not None:
            self.control.stop()
        self.ledger.close()

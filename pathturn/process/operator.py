"""Assembly of the parts that an operator's file enables: ledger, changes, background jobs, control socket.

Imported only if such a file is named, so that plain `serve` pays neither time nor memory for it.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from pathturn.background.scheduler import Scheduler
from pathturn.change.ledger import Ledger
from pathturn.change.manager import ChangeManager
from pathturn.config.installation import Installation
from pathturn.control.protocol import RequestHandler
from pathturn.control.server import ControlServer
from pathturn.memory.facade import Facade
from pathturn.process.settings import retry_share
from pathturn.routing.checks import ValidationContext
from pathturn.wire.client_connection import MAX_OPEN_BATCHES


class Operator:
    """Routing changes at run time and the control socket for them."""

    def __init__(
        self,
        installation: Installation,
        facade: Facade,
        settings: dict[str, Any],
        clients: int,
        clock: Callable[[], int],
        log: Callable[[str], None],
    ) -> None:
        """Raise an exception if the files can't be used; nothing is in force then."""
        self.facade = facade
        self.max_open_batches = clients * MAX_OPEN_BATCHES
        self.retry_share = retry_share(settings)
        # Events that wait for a round count as traffic, and background jobs wait for them.
        self.scheduler = Scheduler(clock, lambda: bool(facade.events))
        self.ledger = Ledger(Path(installation.ledger))
        self.change_manager = ChangeManager(
            facade, self.ledger, self.scheduler, self.validation_context, clock, log
        )
        self.change_manager.start(Path(installation.document))
        self.control = (
            ControlServer(Path(installation.control), RequestHandler(self.change_manager), log)
            if installation.control
            else None
        )

    def validation_context(self) -> ValidationContext:
        """Return what a routing document is validated against."""
        return ValidationContext(
            self.facade.groups,
            tuple(self.facade.engine_registry.engine_entries),
            self.retry_share,
            self.max_open_batches,
        )

    def background_tasks(self) -> list[Callable[[], None]]:
        """Start the control socket; return the functions to run in greenlets of their own."""
        if self.control is not None:
            self.control.start()
        return [self.scheduler.run, self.change_manager.run]

    def stop(self) -> None:
        """Undo a change on trial; no further one is accepted."""
        self.change_manager.stop()

    def close(self) -> None:
        """Close the control socket and the ledger."""
        if self.control is not None:
            self.control.stop()
        self.ledger.close()

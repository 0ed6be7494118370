"""Assembly of the parts that an operator's file enables: ledger, changes, background jobs, control socket.

Imported only if such a file is named, so that plain `serve` pays neither time nor memory for it.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent

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

# Closing takes milliseconds where nothing fails.
CLOSE_TIMEOUT_S = 0.05


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
        self.log = log
        self.rollback: gevent.Greenlet | None = None  # of the change on trial, at a stop
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

    def begin_stop(self) -> None:
        """Undo a change on trial, in a greenlet of its own; no further one is accepted. Returns at once, as
        requests have to be answered meanwhile."""
        self.rollback = gevent.spawn(self._guard, "rollback", self.change_manager.stop)

    def finish_stop(self, timeout_s: float) -> None:
        """Wait until a change on trial is undone, then close everything; give up after the timeout. What is
        not recorded then is undone at the next start."""
        with gevent.Timeout(max(0, timeout_s), False):
            if self.rollback is not None:
                self.rollback.join()
        with gevent.Timeout(CLOSE_TIMEOUT_S, False):
            self.close()
            return
        self.log("operator code=stop_timeout")

    def close(self) -> None:
        """Close the control socket and the ledger. A ledger waits for a write that is under way, so it is
        closed in the thread pool."""
        if self.rollback is not None:
            self.rollback.kill(block=False)
        if self.control is not None:
            self._guard("control", self.control.stop)
        self._guard("ledger", lambda: gevent.get_hub().threadpool.apply(self.ledger.close))

    def _guard(self, part: str, step: Callable[[], None]) -> None:
        """Take a step of a stop. Whatever fails in it, the gateway answers its requests and ends in order."""
        try:
            step()
        except Exception as fault:  # noqa: BLE001 - see above
            self.log(f"operator part={part} code=fault_{type(fault).__name__} reason={fault}")

"""Tells which requests must not run, as another one under their id may have run. Does no I/O."""

from collections.abc import Callable

from pathturn.core import interface as names
from pathturn.memory.batches import Dispatch, OpenBatches
from pathturn.memory.recent_ids import RecentIds

# Longer than a client tries again after its connection ended.
ONCE_ONLY_MEMORY_US = 30_000_000


class RunHistory:
    """The ids of open batches and of those that may have run lately."""

    def __init__(
        self, groups: dict[str, names.ServiceGroup], batches: OpenBatches, clock: Callable[[], int]
    ) -> None:
        self.groups = groups
        self.batches = batches
        self.clock = clock
        self.tickets = RecentIds()
        self.nonces = RecentIds()

    def may_run(self, ticket: str, group: str, nonce: str | None) -> bool:
        """Return whether a batch may run under this ticket and nonce.

        Engines know a query by its ticket, so not while another may be running under it. A once-only batch
        must not run again, nor a nonce where only some engines drop its repeat.
        """
        now_us = self.clock()
        if ticket in self.batches.tickets or self.tickets.contains(ticket, now_us):
            return False
        if nonce is None or not _is_dropped_by_some(self.groups[group]):
            return True
        return nonce not in self.batches.nonces and not self.nonces.contains(nonce, now_us)

    def keep_ticket(self, dispatch: Dispatch, until_us: int) -> None:
        """Keep the ticket of a dispatch from use, as its query may be running until then."""
        self.tickets.add(dispatch.batch.ticket, until_us, self.clock())

    def note_run(self, dispatch: Dispatch) -> None:
        """Note that the query of a dispatch may have run."""
        now_us = self.clock()
        group = self.groups[dispatch.batch.group]
        if group.kind == names.ONCE_ONLY:
            self.tickets.add(dispatch.batch.ticket, now_us + ONCE_ONLY_MEMORY_US, now_us)
        elif _is_dropped_by_some(group) and dispatch.batch.nonce is not None:
            self.nonces.add(dispatch.batch.nonce, dispatch.sent_us + group.dedup_window_us, now_us)


def _is_dropped_by_some(group: names.ServiceGroup) -> bool:
    """Return whether only some of the engines drop the repeat of a batch."""
    return group.kind == names.REFERENCED and group.dedup_scope != "all"

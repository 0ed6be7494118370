"""Open batches past their deadline that the decision module may still end."""

import heapq
from math import inf

from pathturn.memory.batches import Batch

# One round for the outcomes that arrived with the deadline, and one for the decisions that follow from them.
GRACE_ROUNDS = 2
# Due times of batches that have ended are dropped once there are this many more than open batches.
MAX_STALE_DUE_TIMES = 64


class OverdueBatches:
    """Gives each overdue batch a fixed number of rounds, however long they take.

    After a stall of the process a batch's timer fires before the round that would end the batch. A grace
    period measured in time could expire again while the input received meanwhile is being read.
    """

    def __init__(self, open_batches: dict[int, Batch]) -> None:
        """`open_batches` are the batches that may become overdue, by index."""
        self.open_batches = open_batches
        self.rounds_left: dict[Batch, int] = {}
        # Heap of due times and batch indices.
        self.due_times: list[tuple[int, int]] = []

    def watch(self, batch: Batch, due_us: int) -> None:
        """Count rounds for a batch from this time on, unless it has ended by then."""
        if len(self.due_times) > 2 * len(self.open_batches) + MAX_STALE_DUE_TIMES:
            self.due_times = [entry for entry in self.due_times if entry[1] in self.open_batches]
            heapq.heapify(self.due_times)
        heapq.heappush(self.due_times, (due_us, batch.index))

    def next_due_us(self) -> float:
        """Return when the next batch becomes overdue."""
        return self.due_times[0][0] if self.due_times else inf

    def collect(self, now_us: int) -> None:
        """Start to count rounds for the batches that have become overdue."""
        while self.due_times and self.due_times[0][0] <= now_us:
            _, index = heapq.heappop(self.due_times)
            batch = self.open_batches.get(index)
            if batch is not None and not batch.ended:
                self.rounds_left[batch] = GRACE_ROUNDS

    def after_round(self) -> list[Batch]:
        """Count a round for each batch; return those that have not ended within their last one."""
        remaining = {batch: left - 1 for batch, left in self.rounds_left.items() if not batch.ended}
        self.rounds_left = {batch: left for batch, left in remaining.items() if left}
        return [batch for batch, left in remaining.items() if not left]

    def __len__(self) -> int:
        return len(self.rounds_left)

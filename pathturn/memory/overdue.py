"""Open batches past their deadline that the decision module may still end."""

from pathturn.memory.batches import Batch

# One round for the outcomes that arrived with the deadline, and one for the decisions that follow from them.
GRACE_ROUNDS = 2


class OverdueBatches:
    """Gives each overdue batch a fixed number of rounds, however long they take.

    After a stall of the process a batch's timer fires before the round that would end the batch. A grace
    period measured in time could expire again while the input received meanwhile is being read.
    """

    def __init__(self) -> None:
        self.rounds_left: dict[Batch, int] = {}

    def add(self, batch: Batch) -> None:
        """Start counting rounds for a batch, unless it is counted already."""
        self.rounds_left.setdefault(batch, GRACE_ROUNDS)

    def after_round(self) -> list[Batch]:
        """Count a round for each batch; return those that have not ended within their last one."""
        remaining = {batch: left - 1 for batch, left in self.rounds_left.items() if not batch.ended}
        self.rounds_left = {batch: left for batch, left in remaining.items() if left}
        return [batch for batch, left in remaining.items() if not left]

    def __len__(self) -> int:
        return len(self.rounds_left)

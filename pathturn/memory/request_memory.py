"""The memory that open batches and their results hold, from their start until their answer is written."""

from gevent.lock import Semaphore

from pathturn.memory.batches import Batch
from pathturn.memory.memory_budget import MemoryBudget, request_bytes


class RequestMemory:
    """Counts what each batch holds against a budget, and makes large results wait for room."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.large_results = Semaphore(budget.max_large_results)
        self.waiting_results = 0

    def has_room(self, statement: bytes, open_requests: int) -> bool:
        """Return whether there is room for one more request of a connection with so many open ones."""
        return self.budget.admits(request_bytes(len(statement)), open_requests)

    def hold_request(self, batch: Batch) -> None:
        """Count a batch that was opened."""
        self._hold(batch, request_bytes(len(batch.statement)))

    def hold_rows(self, batch: Batch, rows: bytes) -> None:
        """Count the rows of a batch's answer."""
        self._hold(batch, len(rows))

    def _hold(self, batch: Batch, size: int) -> None:
        batch.held_bytes += size
        self.budget.add(size)

    def release(self, batch: Batch) -> None:
        """Give back what a batch held: its answer has been written, or nobody waits for it."""
        self.budget.remove(batch.held_bytes)
        batch.held_bytes = 0
        if batch.holds_large_result:
            batch.holds_large_result = False
            self._release_large_result(batch)

    def try_acquire_large_result(self, batch: Batch) -> bool:
        """Return whether there is room for a result of more than one page. If so, it is held until the answer
        is written."""
        if batch.holds_large_result or batch.source is None:
            return True
        if not batch.source.large_results.acquire(blocking=False):
            return False
        if not self.large_results.acquire(blocking=False):
            batch.source.large_results.release()
            return False
        self._hold_large_result(batch)
        return True

    def acquire_large_result(self, batch: Batch) -> None:
        """Wait until there is room for a result of more than one page."""
        self.waiting_results += 1
        try:
            self._acquire_large_result(batch)
        finally:
            self.waiting_results -= 1

    def _acquire_large_result(self, batch: Batch) -> None:
        batch.source.large_results.acquire()
        try:
            self.large_results.acquire()
        except BaseException:
            batch.source.large_results.release()
            raise
        self._hold_large_result(batch)

    def _hold_large_result(self, batch: Batch) -> None:
        if batch.ended or batch.holds_large_result:  # meanwhile
            self._release_large_result(batch)
        else:
            batch.holds_large_result = True

    def _release_large_result(self, batch: Batch) -> None:
        self.large_results.release()
        batch.source.large_results.release()

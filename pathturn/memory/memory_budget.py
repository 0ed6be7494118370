"""Limits the memory of open requests and of results that have not been written yet. Does no I/O."""

# A request holds its statement and, beside that, so much in connection, facade and decision module, with what
# the allocator loses between them.
REQUEST_OVERHEAD_BYTES = 3_000
# The part of the budget that is kept for connections with few open requests, so that those with many can't
# keep the others from being served.
RESERVED_SHARE = 0.25
FEW_OPEN_REQUESTS = 4
# A result of more than one page is held as rows, encoded, or both for a moment.
LARGE_RESULT_BYTES = 128 * 1024
LARGE_RESULTS_SHARE = 0.25
MIN_LARGE_RESULTS = 4
# So that a client that does not read can't keep all others from their large results.
MAX_LARGE_RESULTS_PER_CONNECTION = 2
# Dispatches that wait for the memory of their result and leave their engine's threads to others. Beyond that
# they count as in flight, so that the limit on those bounds their number.
MAX_WAITING_RESULTS = 64


class MemoryBudget:
    """Counts the bytes that open requests and their results hold, against a limit."""

    def __init__(self, limit_bytes: int) -> None:
        self.max_large_results = max(
            MIN_LARGE_RESULTS, int(LARGE_RESULTS_SHARE * limit_bytes) // LARGE_RESULT_BYTES
        )
        self.limit_bytes = limit_bytes - self.max_large_results * LARGE_RESULT_BYTES
        self.used_bytes = 0

    def admits(self, size: int, open_requests: int) -> bool:
        """Return whether there is room for a request of a connection that has so many open ones."""
        share = 1.0 if open_requests < FEW_OPEN_REQUESTS else 1.0 - RESERVED_SHARE
        return self.used_bytes + size <= share * self.limit_bytes

    def add(self, size: int) -> None:
        """Count bytes that are held from now on."""
        self.used_bytes += size

    def remove(self, size: int) -> None:
        """Count bytes that are not held any more."""
        self.used_bytes -= size


def request_bytes(statement_bytes: int) -> int:
    """Return what an open request holds, by the length of its statement."""
    return REQUEST_OVERHEAD_BYTES + statement_bytes

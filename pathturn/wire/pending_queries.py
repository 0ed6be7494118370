"""Discovery queries that have no response yet. Does no I/O."""

QUERY_IDS = 65_536
# At four queries a second more than half a minute's.
MAX_PENDING_QUERIES = 128


class PendingQueries:
    """The ids of the queries sent to one directory. The oldest are forgotten beyond the maximum."""

    def __init__(self) -> None:
        self.last_id = 0
        self.sent_at_by_id: dict[int, float] = {}

    def add(self, now_s: float) -> int:
        """Record a query that is sent now; return its id."""
        self.last_id = (self.last_id + 1) % QUERY_IDS
        self.sent_at_by_id[self.last_id] = now_s
        if len(self.sent_at_by_id) > MAX_PENDING_QUERIES:
            del self.sent_at_by_id[next(iter(self.sent_at_by_id))]
        return self.last_id

    def sent_at(self, query_id: int | None) -> float | None:
        """Return when a query was sent, None if it is not pending."""
        return None if query_id is None else self.sent_at_by_id.get(query_id)

    def remove(self, query_id: int) -> None:
        """Record that a query has its response."""
        del self.sent_at_by_id[query_id]

"""Tells whether a request was surely written after those of its ordering key that other connections brought.
Does no I/O."""

from typing import NamedTuple

# A request that may have been unread for longer than this is not compared, and counts as ambiguous.
MAX_UNREAD_US = 2_000_000
MAX_KEYS = 4096


class Arrival(NamedTuple):
    """A request was received from a connection."""

    connection: object
    received_us: int


class KeyArrivals(NamedTuple):
    """The last request of a key, and the last one that came from another connection than that."""

    latest: Arrival
    from_another: Arrival | None


class ArrivalOrder:
    """When the requests of each ordering key were received, and from which connections.

    Connections are read at different times: one may be over its rate limit or have much unread input. The
    requests of one connection are in order. Of two connections, the request that is received second was
    surely written second only if it can't have been written before the other one was received.
    """

    def __init__(self) -> None:
        # In the order of the last arrivals.
        self.by_key: dict[str, KeyArrivals] = {}
        # Some requests received until then are forgotten.
        self.forgotten_until_us = 0

    def is_ambiguous(self, key: str, connection: object, written_from_us: int) -> bool:
        """Return whether a request may have been written before another one of its key that was received
        already. It was not written before `written_from_us`."""
        if written_from_us < self.forgotten_until_us:
            return True
        arrivals = self.by_key.get(key)
        if arrivals is None:
            return False
        other = arrivals.latest
        if other.connection is connection:
            other = arrivals.from_another
        return other is not None and written_from_us < other.received_us

    def record(self, key: str, connection: object, now_us: int) -> None:
        """Record that a request was received."""
        arrivals = self.by_key.pop(key, None)
        from_another = None
        if arrivals is not None:
            same = arrivals.latest.connection is connection
            from_another = arrivals.from_another if same else arrivals.latest
        self.by_key[key] = KeyArrivals(Arrival(connection, now_us), from_another)
        if len(self.by_key) > MAX_KEYS:
            self._forget_oldest()

    def forget(self, now_us: int) -> None:
        """Forget the requests that no other one can still be compared with."""
        while self.by_key:
            oldest = next(iter(self.by_key.values()))
            if now_us - oldest.latest.received_us <= MAX_UNREAD_US:
                return
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        arrivals = self.by_key.pop(next(iter(self.by_key)))
        self.forgotten_until_us = max(self.forgotten_until_us, arrivals.latest.received_us)

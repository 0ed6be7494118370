"""Ids of requests that may have run, and must not run again for some time. Does no I/O."""

# Beyond this number those that were added first are forgotten.
MAX_IDS = 4096


class RecentIds:
    """A bounded set of ids, each with the time until which it is kept."""

    def __init__(self) -> None:
        self.kept_until_us: dict[str, int] = {}

    def add(self, identity: str, until_us: int, now_us: int) -> None:
        """Keep an id at least until then."""
        until_us = max(until_us, self.kept_until_us.pop(identity, 0))
        self._forget_until(now_us)
        self.kept_until_us[identity] = until_us
        if len(self.kept_until_us) > MAX_IDS:
            del self.kept_until_us[next(iter(self.kept_until_us))]

    def contains(self, identity: str, now_us: int) -> bool:
        """Return whether an id is kept now."""
        return self.kept_until_us.get(identity, 0) > now_us

    def _forget_until(self, now_us: int) -> None:
        while self.kept_until_us:
            oldest = next(iter(self.kept_until_us))
            if self.kept_until_us[oldest] > now_us:
                return
            del self.kept_until_us[oldest]

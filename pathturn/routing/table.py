"""Routing table compiled from a document: selects the pool and the limits of each batch. No I/O, no clock."""

from bisect import bisect_right
from collections.abc import Callable, Iterable, Iterator, MutableMapping
from hashlib import blake2b
from itertools import accumulate

from pathturn.config.document import Document, Limit, Split
from pathturn.routing.index import MatchBox, RouteIndex
from pathturn.routing.limits import Limiter, Meter
from pathturn.routing.pools import EnginePool

HASH_RANGE = 1 << 64
ROUTES_PER_SLICE = 32  # between two yields


def hash_fraction(salt: str, split_key: str) -> float:
    """Map the key to [0, 1), with the same result in every gateway and process.

    Not a CRC: it is linear, so that every salt would select the same keys together, and consecutively
    numbered keys would be distributed unevenly.
    """
    digest = blake2b(split_key.encode(), digest_size=8, key=salt.encode()[:64]).digest()
    return int.from_bytes(digest, "big") / HASH_RANGE


class Destination:
    """The pool and the limits of one generation that apply to a batch; queried by the dispatcher."""

    __slots__ = ("generation", "route", "pool", "limiters")

    def __init__(self, generation: int, route: str, pool: EnginePool, limiters: tuple[Limiter, ...]) -> None:
        self.generation = generation
        self.route = route
        self.pool = pool
        self.limiters = limiters

    def allows_engine(self, engine: int) -> bool:
        return engine in self.pool.eligible

    def retry_after_us(self, now_us: int) -> int | None:
        delays = [
            delay_us for limiter in self.limiters if (delay_us := limiter.retry_after_us(now_us)) is not None
        ]
        return max(delays, default=None)

    def batch_admitted(self, now_us: int, is_new: bool = True) -> None:
        for limiter in self.limiters:
            limiter.batch_admitted(now_us, is_new)

    def batch_closed(self) -> None:
        for limiter in self.limiters:
            limiter.batch_closed()

    def allows_dispatch(self, now_us: int, is_retry: bool) -> bool:
        return all(limiter.allows_dispatch(now_us, is_retry) for limiter in self.limiters)

    def dispatch_sent(self, now_us: int, is_retry: bool) -> None:
        for limiter in self.limiters:
            limiter.dispatch_sent(now_us, is_retry)

    def dispatch_done(self) -> None:
        for limiter in self.limiters:
            limiter.dispatch_done()


class RouteTarget:
    """What one route leads to: one destination per pool, selected by cumulative weights.

    `effect` compares targets regardless of the route's name: two targets of equal effect treat a batch alike.
    For a weighted split it includes the name, which is the salt of the split.
    """

    __slots__ = ("name", "cumulative_weights", "destinations", "effect")

    def __init__(
        self, name: str, cumulative_weights: tuple[float, ...], destinations: tuple[Destination, ...]
    ) -> None:
        self.name = name
        self.cumulative_weights = cumulative_weights
        self.destinations = destinations
        self.effect = (
            name if len(destinations) > 1 else None,
            cumulative_weights,
            tuple(
                (
                    destination.pool.spec,
                    destination.pool.fallback and destination.pool.fallback.spec,
                    tuple(limiter.limit for limiter in destination.limiters),
                )
                for destination in destinations
            ),
        )

    def destination(self, split_key: str) -> Destination:
        """Select a destination by weight; the same split key always gives the same one."""
        if len(self.destinations) == 1:
            return self.destinations[0]
        return self.destinations[
            min(
                bisect_right(self.cumulative_weights, hash_fraction(self.name, split_key)),
                len(self.destinations) - 1,
            )
        ]


class RoutingTable:
    """One generation's routes, immutable once compiled except for the engines of its pools.

    `find_target` returns the target of the first matching route, or `default` if none matches.
    """

    def __init__(self, generation: int, document: Document, groups: Iterable[str]) -> None:
        self.generation = generation
        self.document = document
        self.groups = tuple(groups)
        self.pools: dict[str, EnginePool] = {}
        self.targets: list[RouteTarget] = []
        self.index = RouteIndex(self.groups)

    def compile(
        self, meters: MutableMapping[str, Meter], register_pool: Callable[[EnginePool], None]
    ) -> Iterator[None]:
        """Compile the document in slices; the table is usable only after the last one.

        The engine list may change between two slices: `register_pool` gives a pool the current engines and
        keeps it up to date from then on.
        """
        document = self.document
        for name, spec in document.pools.items():
            self.pools[name] = EnginePool(name, spec)
            register_pool(self.pools[name])
            yield
        for pool in self.pools.values():
            if pool.spec.fallback is not None:
                pool.fallback = self.pools[pool.spec.fallback.pool]
            pool.update_eligible()
        limiters = self._make_limiters(meters)
        for route in document.routes:
            self.targets.append(self._make_target(route.name, route.to, limiters))
            if len(self.targets) % ROUTES_PER_SLICE == 0:
                yield
        self.default = self._make_target("default", document.default, limiters)
        yield from self.index.build(match_boxes(document))

    def free(self) -> Iterator[None]:
        """Free a table that is no longer in use, in slices; it is unusable afterwards.

        Destinations that batches still hold stay valid.
        """
        yield from self.index.free()
        routes, self.document = list(self.document.routes), None
        for items in (self.targets, routes):
            while items:
                del items[-ROUTES_PER_SLICE:]
                yield

    def _make_limiters(self, meters: MutableMapping[str, Meter]) -> dict[tuple[str, str], list[Limiter]]:
        """Return the limiters by scope; a limit that already has a meter under its name keeps it."""
        limiters: dict[tuple[str, str], list[Limiter]] = {}
        for limit in self.document.limits:
            # Bound to a variable first: `meters` holds weak references and would lose a new meter at once.
            meter = meters.get(limit.name) or Meter()
            meters[limit.name] = meter
            limiters.setdefault(_limit_scope(limit), []).append(Limiter(limit, meter))
        return limiters

    def _make_target(
        self, name: str, to: str | Split, limiters: dict[tuple[str, str], list[Limiter]]
    ) -> RouteTarget:
        weights = {to: 1.0} if isinstance(to, str) else to
        destinations = [
            Destination(
                self.generation,
                name,
                self.pools[pool],
                tuple(limiters.get(("route", name), []) + limiters.get(("pool", pool), [])),
            )
            for pool in weights
        ]
        return RouteTarget(name, tuple(accumulate(weights.values())), tuple(destinations))

    def find_target(self, group: str, customer: str | None, key: str | None, data_set: int) -> RouteTarget:
        """Return the target of the first matching route, or the default."""
        position = self.index.first_match(group, customer, key, data_set)
        return self.default if position is None else self.targets[position]


def _limit_scope(limit: Limit) -> tuple[str, str]:
    return ("route", limit.route) if limit.route is not None else ("pool", limit.pool or "")


def match_boxes(document: Document) -> Iterator[MatchBox]:
    """Yield the match box of each route in document order."""
    for position, route in enumerate(document.routes):
        match = route.match
        yield MatchBox(position, match.groups, match.customers, match.key_prefixes, match.data_sets)

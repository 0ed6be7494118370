"""A document compiled into one frozen table, and the course that it gives a batch. No I/O, no wall clock."""

from bisect import bisect_right
from collections.abc import Callable, Iterable, Iterator, MutableMapping
from hashlib import blake2b
from itertools import accumulate

from pathturn.config.document import Document, Limit, Split
from pathturn.routing.index import MatchBox, RouteIndex
from pathturn.routing.limits import Meter, Quota
from pathturn.routing.pools import EnginePool

HASHES = 1 << 64
FREED = 32  # routes between two yields


def part(salt: str, unit: str) -> float:
    """Where a unit lies in [0, 1) for this purpose: the same in every gateway and every process. No crc: that
    is linear, so that another salt would cut the same units apart, and numbered keys would lie unevenly."""
    digest = blake2b(unit.encode(), digest_size=8, key=salt.encode()[:64]).digest()
    return int.from_bytes(digest, "big") / HASHES


class Course:
    """What a batch may use: a pool and limits of one generation. The module asks it and decides."""

    __slots__ = ("generation", "route", "pool", "quotas")

    def __init__(self, generation: int, route: str, pool: EnginePool, quotas: tuple[Quota, ...]) -> None:
        self.generation, self.route, self.pool, self.quotas = generation, route, pool, quotas

    def reaches(self, engine: int) -> bool:
        return engine in self.pool.eligible

    def pause(self, now: int) -> int | None:
        pauses = [pause for quota in self.quotas if (pause := quota.pause(now)) is not None]
        return max(pauses, default=None)

    def took(self, now: int, counts: bool = True) -> None:
        for quota in self.quotas:
            quota.took(now, counts)

    def left(self) -> None:
        for quota in self.quotas:
            quota.left()

    def fits(self, now: int, further: bool) -> bool:
        return all(quota.fits(now, further) for quota in self.quotas)

    def sent(self, now: int, further: bool) -> None:
        for quota in self.quotas:
            quota.sent(now, further)

    def back(self) -> None:
        for quota in self.quotas:
            quota.back()


class Way:
    """One route's target: its courses, and where the weights end."""

    __slots__ = ("name", "ends", "courses", "meaning")

    def __init__(self, name: str, ends: tuple[float, ...], courses: tuple[Course, ...]) -> None:
        self.name, self.ends, self.courses = name, ends, courses
        # What it comes to without its name: two ways of one meaning treat a batch alike, except for a split,
        # which goes by the name too.
        self.meaning = (
            name if len(courses) > 1 else None,
            ends,
            tuple(
                (
                    course.pool.spec,
                    course.pool.fallback and course.pool.fallback.spec,
                    tuple(quota.limit for quota in course.quotas),
                )
                for course in courses
            ),
        )

    def course(self, unit: str) -> Course:
        if len(self.courses) == 1:
            return self.courses[0]
        return self.courses[min(bisect_right(self.ends, part(self.name, unit)), len(self.courses) - 1)]


class Table:
    """Frozen once compiled; only its pools hear of the list. Look-ups by `way`, counted from the document's
    first route; `default` for what fits none."""

    def __init__(self, generation: int, document: Document, groups: Iterable[str]) -> None:
        self.generation, self.document, self.groups = generation, document, tuple(groups)
        self.pools: dict[str, EnginePool] = {}
        self.ways: list[Way] = []
        self.index = RouteIndex(self.groups)

    def compile(
        self, meters: MutableMapping[str, Meter], join: Callable[[EnginePool], None]
    ) -> Iterator[None]:
        """In slices; the table is of use once this is through. `join` lets a pool hear of the list as it is,
        and of what changes from there on: the list may change between two slices."""
        document = self.document
        for name, spec in document.pools.items():
            self.pools[name] = EnginePool(name, spec)
            join(self.pools[name])
            yield
        for pool in self.pools.values():
            if pool.spec.fallback is not None:
                pool.fallback = self.pools[pool.spec.fallback.pool]
            pool.update_eligible()
        quotas = self._quotas(meters)
        for route in document.routes:
            self.ways.append(self._way(route.name, route.to, quotas))
            if len(self.ways) % 32 == 0:
                yield
        self.default = self._way("default", document.default, quotas)
        yield from self.index.build(match_boxes(document))

    def dismantle(self) -> Iterator[None]:
        """Frees a table that gives no courses any more, in slices; courses that batches still have stand by
        themselves. Of no use afterwards."""
        yield from self.index.free()
        routes, self.document = list(self.document.routes), None
        for part in (self.ways, routes):
            while part:
                del part[-FREED:]
                yield

    def _quotas(self, meters: MutableMapping[str, Meter]) -> dict[tuple[str, str], list[Quota]]:
        found: dict[tuple[str, str], list[Quota]] = {}
        for limit in self.document.limits:
            # Held here before it is set: a mapping of weak references would lose it in between.
            meter = meters.get(limit.name) or Meter()
            meters[limit.name] = meter
            found.setdefault(_subject(limit), []).append(Quota(limit, meter))
        return found

    def _way(self, name: str, to: str | Split, quotas: dict[tuple[str, str], list[Quota]]) -> Way:
        weights = {to: 1.0} if isinstance(to, str) else to
        courses = [
            Course(
                self.generation,
                name,
                self.pools[pool],
                tuple(quotas.get(("route", name), []) + quotas.get(("pool", pool), [])),
            )
            for pool in weights
        ]
        return Way(name, tuple(accumulate(weights.values())), tuple(courses))

    def way(self, group: str, customer: str | None, key: str | None, data_set: int) -> Way:
        number = self.index.first_match(group, customer, key, data_set)
        return self.default if number is None else self.ways[number]


def _subject(limit: Limit) -> tuple[str, str]:
    return ("route", limit.route) if limit.route is not None else ("pool", limit.pool or "")


def match_boxes(document: Document) -> Iterator[MatchBox]:
    for number, route in enumerate(document.routes):
        match = route.match
        yield MatchBox(number, match.groups, match.customers, match.key_prefixes, match.data_sets)

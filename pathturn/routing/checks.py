"""What no shape shows: names that lead nowhere, routes that can never match, pools that break a rule, limits
over the settings. All faults at once, each with its path, what is wrong and the fix. No I/O.
"""

from collections.abc import Generator, Iterator
from itertools import chain
from math import isclose
from typing import NamedTuple

from pathturn.config.document import VERSION, Document, Limit, Pool, Route, Split
from pathturn.config.read import MOST_FAULTS, Fault, join, nearest, through
from pathturn.core.interface import GONE, REFERENCED, Seat, ServiceGroup
from pathturn.routing.index import Index
from pathturn.routing.pools import LivePool
from pathturn.routing.table import boxes

MOST_POOLS = 1_000  # a change of the list is tested against each
MOST_ROUTES, MOST_LIMITS = 100_000, 10_000
LONGEST_WATCH_US = 24 * 3600 * 1_000_000


class Facts(NamedTuple):
    """What a document is held against: the settings' groups and limits, and the list as it is now."""

    groups: dict[str, ServiceGroup]
    seats: tuple[Seat, ...] = ()
    further: float | None = None  # share of further dispatches that the settings allow
    most_open: int | None = None


Found = Iterator[Fault | None]


def checking(document: Document, facts: Facts) -> Generator[None, None, list[Fault]]:
    """Every fault; of no use before the shape is right. In slices, for a large document takes a second."""
    found: list[Fault] = []
    for part in (
        _sizes(document),
        _pools(document, facts),
        _routes(document, facts),
        _limits(document, facts),
        _policy(document),
    ):
        yield from _gather(part, found)
    if not found:  # the checks below look things up by names that are right by now
        for part in (_shadowed(document, facts), _rules(document, facts)):
            yield from _gather(part, found)
    return found


def check(document: Document, facts: Facts) -> list[Fault]:
    """The same in one go."""
    return through(checking(document, facts))


def _gather(part: Found, found: list[Fault]) -> Iterator[None]:
    """A part yields what it finds, and None where others may go between."""
    for each in part:
        if each is None:
            yield
        elif len(found) < MOST_FAULTS:
            found.append(each)


def _sizes(document: Document) -> Found:
    for name, most in (("pools", MOST_POOLS), ("routes", MOST_ROUTES), ("limits", MOST_LIMITS)):
        if (there := len(getattr(document, name))) > most:
            yield Fault(name, f"{there} {name}", f"keep to {most}")
    if document.version != VERSION:
        yield Fault("version", f"version {document.version} is unknown", f"write {VERSION}")


def _pools(document: Document, facts: Facts) -> Found:
    if not document.pools:
        yield Fault("pools", "there is none", 'state one; "all": {} has every engine')
    for name, pool in document.pools.items():
        path = join("pools", name)
        if pool.fallback is not None:
            yield from _fallback(document, name, pool, path)
        live = [seat for seat in facts.seats if seat.state != GONE]
        if live and not any(LivePool(name, pool).fits(seat) for seat in live):
            yield Fault(path, "no listed engine fits it", _missing(pool, live))


def _fallback(document: Document, name: str, pool: Pool, path: str) -> Found:
    target = pool.fallback.pool
    if target not in document.pools:
        yield Fault(f"{path}.fallback.pool", f"no pool {target!r}", nearest(target, document.pools))
    elif target == name:
        yield Fault(f"{path}.fallback.pool", "a pool cannot be its own fallback", "name another pool")
    if pool.fallback.ready_under < 1:
        yield Fault(f"{path}.fallback.ready_under", "0 never holds", "write 1 for an empty pool alone")


def _missing(pool: Pool, live: list[Seat]) -> str:
    """The one part that no engine fits by itself, if there is one."""
    for part, here in (
        ("zones", {seat.zone for seat in live}),
        ("machines", {seat.machine for seat in live}),
        ("cells", {seat.cell for seat in live}),
    ):
        stated = getattr(pool, part)
        if stated is not None and not here & set(stated):
            return f"{part} on the list are {', '.join(sorted(map(str, here)))}"
    return "loosen one of its parts; no engine fits all of them together"


def _routes(document: Document, facts: Facts) -> Found:
    seen: dict[str, int] = {}
    for at, route in enumerate(document.routes):
        if at % 16 == 15:
            yield None
        path = join("routes", at)
        if route.name in seen or route.name == "default":
            other = "the default" if route.name == "default" else f"routes[{seen[route.name]}]"
            yield Fault(f"{path}.name", f"{route.name!r} is taken by {other}", "give it a name of its own")
        seen.setdefault(route.name, at)
        yield from _match(route, facts, f"{path}.match")
        yield from _target(document, route.to, f"{path}.to")
    yield from _target(document, document.default, "default")


def _match(route: Route, facts: Facts, path: str) -> Found:
    for part in ("groups", "customers", "key_prefixes", "data_sets"):
        if getattr(route.match, part) == ():
            yield Fault(f"{path}.{part}", "an empty list fits nothing", "leave it out to fit everything")
    for at, group in enumerate(route.match.groups or ()):
        if group not in facts.groups:
            yield Fault(f"{path}.groups[{at}]", f"no service group {group!r}", nearest(group, facts.groups))
    for at, (first, last) in enumerate(route.match.data_sets or ()):
        if first > last or first < 0:
            yield Fault(f"{path}.data_sets[{at}]", f"[{first}, {last}] is empty", f"write [{last}, {first}]")


def _target(document: Document, to: str | Split, path: str) -> Found:
    for pool in [to] if isinstance(to, str) else to:
        if pool not in document.pools:
            yield Fault(
                path if isinstance(to, str) else join(path, pool),
                f"no pool {pool!r}",
                nearest(pool, document.pools),
            )
    if not isinstance(to, str) and not isclose(sum(to.values()), 1.0, abs_tol=1e-6):
        yield Fault(path, f"the split adds up to {sum(to.values()):.6g}", "make its weights add up to 1")


def _limits(document: Document, facts: Facts) -> Found:
    if not document.limits:
        return
    names, routes = set(), {route.name for route in document.routes} | {"default"}
    for at, limit in enumerate(document.limits):
        if at % 16 == 15:
            yield None
        path = join("limits", at)
        if limit.name in names:
            yield Fault(f"{path}.name", f"{limit.name!r} is taken", "give it a name of its own")
        names.add(limit.name)
        if (limit.route is None) == (limit.pool is None):
            yield Fault(path, "a limit is for a route or a pool", "state one of the two, and not both")
        for part, there in (("route", routes), ("pool", document.pools)):
            if (named := getattr(limit, part)) is not None and named not in there:
                yield Fault(f"{path}.{part}", f"no {part} {named!r}", nearest(named, there))
        yield from _figures(limit, facts, path)


def _figures(limit: Limit, facts: Facts, path: str) -> Found:
    if (limit.open, limit.rate, limit.out, limit.further) == (None,) * 4:
        yield Fault(path, "it limits nothing", "state open, rate, out or further")
    for part in ("open", "out"):
        if getattr(limit, part) == 0:
            yield Fault(f"{path}.{part}", "0 would push back everything", "write 1 or more")
    if limit.burst < 1:
        yield Fault(f"{path}.burst", "a burst of 0 lets nothing through", "write 1 or more")
    if limit.burst > 1 and limit.rate is None:
        yield Fault(f"{path}.burst", "a burst without a rate", "state rate too")
    if facts.further is not None and limit.further is not None and limit.further > facts.further:
        yield Fault(
            f"{path}.further",
            f"{limit.further:.4g} is above the settings' {facts.further:.4g}",
            f"write {facts.further:.4g} or less",
        )
    if facts.most_open is not None and limit.open is not None and limit.open > facts.most_open:
        yield Fault(
            f"{path}.open",
            f"{limit.open} is above what connections allow",
            f"write {facts.most_open} or less",
        )


def _policy(document: Document) -> Found:
    policy = document.change
    if not 0 < policy.watch <= LONGEST_WATCH_US:
        yield Fault("change.watch", "a change is watched for more than 0 and at most a day", "write 60s, say")
    if not 0 < policy.false_alarms < 0.5:
        yield Fault("change.false_alarms", "a rate of false alarms lies between 0 and 0.5", "write 1%, say")
    shares = [step.share for step in policy.canary]
    if shares != sorted(set(shares)) or 0 in shares:
        yield Fault("change.canary", "each step takes a larger share than the last", "order the steps")
    for at, step in enumerate(policy.canary):
        if step.hold == 0:
            yield Fault(f"change.canary[{at}].hold", "a step of no length shows nothing", "write 5s, say")


def _shadowed(document: Document, facts: Facts) -> Found:
    index = Index(facts.groups)
    yield from index.build(boxes(document))
    for box in boxes(document):
        if box.number % 16 == 15:
            yield None
        if (by := index.covering(box)) is not None:
            yield Fault(
                join("routes", box.number),
                f"{document.routes[box.number].name!r} can never match: {document.routes[by].name!r} "
                f"(routes[{by}]) takes what is left of it",
                f"move it before routes[{by}], or drop it",
            )
    yield from index.dismantle()


def _rules(document: Document, facts: Facts) -> Found:
    """Placement, and the engines that drop a referenced batch's repeat: a pool must leave both usable."""
    live = [seat for seat in facts.seats if seat.state != GONE]
    if not live:
        return
    fits = {
        name: {seat for seat in live if LivePool(name, pool).fits(seat)}
        for name, pool in document.pools.items()
    }
    told = set()
    targets = chain(
        (
            (join("routes", at) + ".to", route.match.groups, route.to)
            for at, route in enumerate(document.routes)
        ),
        [("default", None, document.default)],
    )
    for at, (path, groups, to) in enumerate(targets):
        if at % 16 == 15:
            yield None
        for pool in [to] if isinstance(to, str) else to:
            for name in groups or facts.groups:
                if (pool, name) in told:
                    continue
                told.add((pool, name))
                what, fix = _broken(facts.groups[name], fits[pool], live)
                if what:
                    yield Fault(path, f"pool {pool!r} {what} {name!r}", fix)


def _broken(group: ServiceGroup, pool: set[Seat], live: list[Seat]) -> tuple[str, str]:
    may = [
        seat
        for seat in live
        if (group.zones is None or seat.zone in group.zones)
        and (group.machines is None or seat.machine in group.machines)
    ]
    if may and not pool & set(may):
        return "has no engine where placement binds", "add an engine that the group may use, or match less"
    if group.kind == REFERENCED and group.repeat_scope != "all":
        part = "zone" if group.repeat_scope == "zone" else "cell"
        halves = {getattr(seat, part) for seat in pool & set(may)}
        if cut := sorted(seat.identity for seat in may if getattr(seat, part) in halves and seat not in pool):
            return (
                f"takes a {part} apart that drops repeats ({', '.join(cut[:3])} left out) of",
                f"take each {part} whole or not at all",
            )
    return "", ""

"""Validation of a routing document beyond its schema: references to unknown names, routes that can never
match, pools that break a rule of a service group, limits above the gateway settings.

Reports all faults at once, each with its path, what is wrong and the fix. No I/O.
"""

from collections.abc import Generator, Iterator
from itertools import chain
from math import isclose
from typing import NamedTuple

from pathturn.config.document import VERSION, CanaryStep, Document, Limit, Pool, Route, Split
from pathturn.config.read import MAX_FAULTS, Fault, join, run_to_completion, suggest_name
from pathturn.core.interface import GONE, REFERENCED, EngineEntry, ServiceGroup
from pathturn.routing.index import RouteIndex
from pathturn.routing.pools import EnginePool
from pathturn.routing.table import match_boxes

MAX_POOLS = 1_000  # each change of the engine list is tested against every pool
MAX_ROUTES = 100_000
MAX_LIMITS = 10_000
MAX_WATCH_US = 24 * 3600 * 1_000_000
MAX_LEAST = 1_000_000
MIN_FALSE_ALARMS = 1e-9  # the analysis divides it among groups and metrics
ITEMS_PER_SLICE = 16  # between two yields


class ValidationContext(NamedTuple):
    """What a document is validated against: the gateway's service groups and limits, and its engine list."""

    groups: dict[str, ServiceGroup]
    engines: tuple[EngineEntry, ...] = ()
    retry_share: float | None = None  # the most that the settings allow
    max_open_batches: int | None = None


FaultStream = Iterator[Fault | None]  # None marks a point at which other work may run


def validate_in_slices(document: Document, context: ValidationContext) -> Generator[None, None, list[Fault]]:
    """Return every fault of a document that conforms to the schema.

    Runs in slices, as a large document takes a second.
    """
    faults: list[Fault] = []
    for stream in (
        _check_sizes(document),
        _check_pools(document, context),
        _check_routes(document, context),
        _check_limits(document, context),
        _check_change_policy(document),
    ):
        yield from _collect(stream, faults)
    if not faults:  # the remaining checks rely on every name in the document being known
        for stream in (_check_shadowed_routes(document, context), _check_group_rules(document, context)):
            yield from _collect(stream, faults)
    return faults


def validate(document: Document, context: ValidationContext) -> list[Fault]:
    """Run `validate_in_slices` to its end without interruption."""
    return run_to_completion(validate_in_slices(document, context))


def _collect(stream: FaultStream, faults: list[Fault]) -> Iterator[None]:
    """Append the faults of a stream, up to the maximum, and yield wherever it does not report one."""
    for fault in stream:
        if fault is None:
            yield
        elif len(faults) < MAX_FAULTS:
            faults.append(fault)


def _check_sizes(document: Document) -> FaultStream:
    for name, maximum in (("pools", MAX_POOLS), ("routes", MAX_ROUTES), ("limits", MAX_LIMITS)):
        if (number := len(getattr(document, name))) > maximum:
            yield Fault(name, f"{number} {name} exceed the maximum", f"keep to at most {maximum}")
    if document.version != VERSION:
        yield Fault("version", f"version {document.version} is not supported", f"write {VERSION}")


def _check_pools(document: Document, context: ValidationContext) -> FaultStream:
    if not document.pools:
        yield Fault("pools", "no pool is defined", 'define one; "all": {} contains every engine')
    for name, pool in document.pools.items():
        path = join("pools", name)
        if pool.fallback is not None:
            yield from _check_fallback(document, name, pool, path)
        engines = [engine for engine in context.engines if engine.state != GONE]
        if engines and not any(EnginePool(name, pool).matches(engine) for engine in engines):
            yield Fault(path, "no listed engine matches this pool", _unmatched_selector(pool, engines))


def _check_fallback(document: Document, name: str, pool: Pool, path: str) -> FaultStream:
    target = pool.fallback.pool
    if target not in document.pools:
        yield Fault(
            f"{path}.fallback.pool", f"no pool named {target!r}", suggest_name(target, document.pools)
        )
    elif target == name:
        yield Fault(f"{path}.fallback.pool", "a pool cannot be its own fallback", "name another pool")
    if pool.fallback.ready_under < 1:
        yield Fault(
            f"{path}.fallback.ready_under",
            "0 never activates the fallback",
            "write 1 to use it only while the pool has no ready engine",
        )


def _unmatched_selector(pool: Pool, engines: list[EngineEntry]) -> str:
    """Return a fix that names the one selector that no engine matches, if there is one."""
    for selector, present in (
        ("zones", {engine.zone for engine in engines}),
        ("machines", {engine.machine for engine in engines}),
        ("cells", {engine.cell for engine in engines}),
    ):
        wanted = getattr(pool, selector)
        if wanted is not None and not present & set(wanted):
            return f"{selector} in the engine list are {', '.join(sorted(map(str, present)))}"
    return "relax one of its selectors; no engine matches all of them"


def _check_routes(document: Document, context: ValidationContext) -> FaultStream:
    first_use: dict[str, int] = {}
    for position, route in enumerate(document.routes):
        if position % ITEMS_PER_SLICE == ITEMS_PER_SLICE - 1:
            yield None
        path = join("routes", position)
        if route.name in first_use or route.name == "default":
            other = "the default" if route.name == "default" else f"routes[{first_use[route.name]}]"
            yield Fault(
                f"{path}.name", f"{route.name!r} is already the name of {other}", "choose a unique name"
            )
        first_use.setdefault(route.name, position)
        yield from _check_match(route, context, f"{path}.match")
        yield from _check_target(document, route.to, f"{path}.to")
    yield from _check_target(document, document.default, "default")


def _check_match(route: Route, context: ValidationContext, path: str) -> FaultStream:
    for field in ("groups", "customers", "key_prefixes", "data_sets"):
        if getattr(route.match, field) == ():
            yield Fault(f"{path}.{field}", "an empty list matches nothing", "omit it to match everything")
    for position, group in enumerate(route.match.groups or ()):
        if group not in context.groups:
            yield Fault(
                f"{path}.groups[{position}]",
                f"no service group {group!r}",
                suggest_name(group, context.groups),
            )
    for position, (first, last) in enumerate(route.match.data_sets or ()):
        if first > last or first < 0:
            yield Fault(
                f"{path}.data_sets[{position}]",
                f"[{first}, {last}] is not an ascending range from 0 up",
                f"write [{last}, {first}]",
            )


def _check_target(document: Document, to: str | Split, path: str) -> FaultStream:
    for pool in [to] if isinstance(to, str) else to:
        if pool not in document.pools:
            yield Fault(
                path if isinstance(to, str) else join(path, pool),
                f"no pool named {pool!r}",
                suggest_name(pool, document.pools),
            )
    if not isinstance(to, str) and not isclose(sum(to.values()), 1.0, abs_tol=1e-6):
        yield Fault(path, f"the weights add up to {sum(to.values()):.6g}", "make them add up to 1")


def _check_limits(document: Document, context: ValidationContext) -> FaultStream:
    if not document.limits:
        return
    names, routes = set(), {route.name for route in document.routes} | {"default"}
    for position, limit in enumerate(document.limits):
        if position % ITEMS_PER_SLICE == ITEMS_PER_SLICE - 1:
            yield None
        path = join("limits", position)
        if limit.name in names:
            yield Fault(
                f"{path}.name", f"{limit.name!r} is already the name of another limit", "choose a unique name"
            )
        names.add(limit.name)
        if (limit.route is None) == (limit.pool is None):
            yield Fault(path, "a limit applies to one route or one pool", "set exactly one of route and pool")
        for field, known in (("route", routes), ("pool", document.pools)):
            if (name := getattr(limit, field)) is not None and name not in known:
                yield Fault(f"{path}.{field}", f"no {field} named {name!r}", suggest_name(name, known))
        yield from _check_limit_values(limit, context, path)


def _check_limit_values(limit: Limit, context: ValidationContext, path: str) -> FaultStream:
    if (limit.open, limit.rate, limit.out, limit.further) == (None,) * 4:
        yield Fault(path, "the limit restricts nothing", "set open, rate, out or further")
    for field in ("open", "out"):
        if getattr(limit, field) == 0:
            yield Fault(f"{path}.{field}", "0 would let no batch through", "write 1 or more")
    if limit.burst < 1:
        yield Fault(f"{path}.burst", "a burst below 1 lets no batch through", "write 1 or more")
    if limit.burst > 1 and limit.rate is None:
        yield Fault(f"{path}.burst", "a burst without a rate has no effect", "set rate too")
    if context.retry_share is not None and limit.further is not None and limit.further > context.retry_share:
        yield Fault(
            f"{path}.further",
            f"{limit.further:.4g} exceeds the {context.retry_share:.4g} that the gateway settings allow",
            f"write {context.retry_share:.4g} or less",
        )
    if (
        context.max_open_batches is not None
        and limit.open is not None
        and limit.open > context.max_open_batches
    ):
        yield Fault(
            f"{path}.open",
            f"{limit.open} exceeds the open batches that client connections allow",
            f"write {context.max_open_batches} or less",
        )


def _check_change_policy(document: Document) -> FaultStream:
    """Check the figures that the schema allows. `least` may be 0: no group has a verdict without a batch."""
    policy = document.change
    yield from _check_duration("change.watch", policy.watch, "write 60s, for example")
    if not 0 < policy.harm < 1:
        yield Fault(
            "change.harm",
            f"{policy.harm:g} is not more than 0 and less than 1: any loss or none would count",
            "write 0.5%, for example",
        )
    if not MIN_FALSE_ALARMS <= policy.false_alarms < 0.5:
        yield Fault(
            "change.false_alarms",
            f"{policy.false_alarms:g} is not more than 0 (at least {MIN_FALSE_ALARMS:g}) and less than 0.5",
            "write 1%, for example",
        )
    if policy.least > MAX_LEAST:
        yield Fault(
            "change.least",
            f"{policy.least} batches are never reached, so there would be no verdict",
            f"write {MAX_LEAST} or less; 40, for example",
        )
    yield from _check_canary(policy.canary)


def _check_canary(steps: tuple[CanaryStep, ...]) -> FaultStream:
    shares = [step.share for step in steps]
    if shares != sorted(set(shares)):
        yield Fault(
            "change.canary",
            "each step must have a larger share than the step before",
            "order the steps by share",
        )
    for position, step in enumerate(steps):
        path = join("change.canary", position)
        if step.share == 0:
            yield Fault(join(path, "share"), "a step of share 0 gets no traffic", "write 5%, for example")
        yield from _check_duration(join(path, "hold"), step.hold, "write 5s, for example")


def _check_duration(path: str, duration_us: int, fix: str) -> FaultStream:
    if duration_us == 0:
        yield Fault(path, "a time of zero duration shows nothing: it must be more than 0", fix)
    elif duration_us > MAX_WATCH_US:
        yield Fault(path, f"{duration_us} us is too long: it must be at most 24 hours", fix)


def _check_shadowed_routes(document: Document, context: ValidationContext) -> FaultStream:
    index = RouteIndex(context.groups)
    yield from index.build(match_boxes(document))
    for box in match_boxes(document):
        if box.position % ITEMS_PER_SLICE == ITEMS_PER_SLICE - 1:
            yield None
        if (earlier := index.shadowed_by(box)) is not None:
            yield Fault(
                join("routes", box.position),
                f"{document.routes[box.position].name!r} can never match: {document.routes[earlier].name!r} "
                f"(routes[{earlier}]), alone or with earlier routes, matches all of its batches",
                f"move it before routes[{earlier}], or remove it",
            )
    yield from index.free()


def _check_group_rules(document: Document, context: ValidationContext) -> FaultStream:
    """Check each target pool against the placement and the deduplication scope of its service groups."""
    engines = [engine for engine in context.engines if engine.state != GONE]
    if not engines:
        return
    members = {
        name: {engine for engine in engines if EnginePool(name, pool).matches(engine)}
        for name, pool in document.pools.items()
    }
    checked = set()
    targets = chain(
        (
            (join("routes", position) + ".to", route.match.groups, route.to)
            for position, route in enumerate(document.routes)
        ),
        [("default", None, document.default)],
    )
    for position, (path, groups, to) in enumerate(targets):
        if position % ITEMS_PER_SLICE == ITEMS_PER_SLICE - 1:
            yield None
        for pool in [to] if isinstance(to, str) else to:
            for name in groups or context.groups:
                if (pool, name) in checked:
                    continue
                checked.add((pool, name))
                what, fix = _broken_rule(context.groups[name], members[pool], engines)
                if what:
                    yield Fault(path, f"pool {pool!r} {what} {name!r}", fix)


def _broken_rule(group: ServiceGroup, pool: set[EngineEntry], engines: list[EngineEntry]) -> tuple[str, str]:
    """Return what is wrong with a pool as a target of the group, and the fix; both empty if nothing is."""
    allowed = [
        engine
        for engine in engines
        if (group.zones is None or engine.zone in group.zones)
        and (group.machines is None or engine.machine in group.machines)
    ]
    if allowed and not pool & set(allowed):
        return (
            "has no engine within the placement of service group",
            "add an engine that the group may use, or narrow the route's match",
        )
    if group.kind == REFERENCED and group.dedup_scope != "all":
        scope = "zone" if group.dedup_scope == "zone" else "cell"
        included = {getattr(engine, scope) for engine in pool & set(allowed)}
        if excluded := sorted(
            engine.identity for engine in allowed if getattr(engine, scope) in included and engine not in pool
        ):
            return (
                f"has only part of a {scope} that deduplicates repeats "
                f"(without {', '.join(excluded[:3])}) for service group",
                f"include each {scope} entirely or not at all",
            )
    return "", ""

"""Turns the wire's settings into the decision module's own few arguments; unknown ones are skipped."""

from typing import Any

from pathturn.core import interface as names
from pathturn.core.choice import Gateway

KINDS = {"retryable": names.REPEATABLE, "dedup": names.REFERENCED, "fragile": names.ONCE_ONLY}
FIELDS = {
    "concurrent": "held",
    "load_share": "utilisation",
    "depth": "waiting",
    "x0": "memory",
    "x1": "disks",
}


def _places(values: list[str] | None) -> frozenset[str] | None:
    return None if values is None else frozenset(values)


def _per_group(domain: dict[str, Any], key: str, index: int, default: Any) -> Any:
    values = domain.get(key) or []
    return values[index] if index < len(values) else default


def _group(entry: dict[str, Any], index: int, domain: dict[str, Any]) -> names.ServiceGroup:
    return names.ServiceGroup(
        goal_us=entry["promiseUs"],
        goal_stretch=entry.get("aimStretch") or 0.0,
        limit_us=entry["deadlineUs"],
        utility=entry.get("worth", 1.0),
        late_utility=entry.get("lateValue", 0.0),
        kind=KINDS[entry["effect"]],
        repeat_scope=entry.get("group") or "all",
        repeat_span_us=entry.get("memorySpanUs") or 0,
        in_order=bool(entry.get("inTurn")),
        zones=_places(entry.get("staysIn")),
        machines=_places(entry.get("servedOn")),
        threads=_per_group(domain, "widthByClass", index, 1),
        holds_set=_per_group(domain, "isLoad", index, False),
        waits_for_set=_per_group(domain, "yieldsToLoads", index, False),
    )


def further_share(config: dict[str, Any]) -> float | None:
    """The share of further dispatches that the settings allow; None where they state no budget."""
    rules = config.get("rules") or {}
    return (rules.get("extraPerRequest") or 0.0) if rules.get("budgetSpanUs") else None


def build(seed: int, config: dict[str, Any]) -> tuple[Gateway, dict[str, names.ServiceGroup]]:
    """A gateway's decisions, and its service groups by their names, in the order of their indices."""
    domain, limits, rules = config.get("domain") or {}, config.get("limits") or {}, config.get("rules") or {}
    report = config.get("report") or {}
    entries, kinds = config.get("classes") or [], config.get("kinds") or []
    groups = {entry["name"]: _group(entry, index, domain) for index, entry in enumerate(entries)}
    if not groups:
        raise ValueError("settings name no service group")
    budget = None
    if rules.get("budgetSpanUs"):
        budget = (rules.get("freeResends") or 0, further_share(config), rules["budgetSpanUs"])
    gateway = Gateway(
        seed=seed,
        instance=config.get("ordinal", 0),
        gateways=config.get("siblings", 1),
        groups=list(groups.values()),
        cores=dict(zip(kinds, domain.get("coresByKind") or [])),
        grants=bool(domain.get("takesGrants")),
        pages=domain.get("onShortage") == "page",
        note_us=domain.get("progressUs") or 0,
        report_fields=[FIELDS.get(field, field) for field in report.get("fields") or []],
        probes=report.get("how") == "probe" and bool(limits.get("probing")),
        ask_list=config.get("discovery") == "ask",
        max_dispatches=limits.get("maxAttempts") or 1,
        may_cancel=bool(limits.get("cancel")),
        retry_us=(limits.get("maxRetryAfterUs") or 0) if limits.get("retryAfter") else 0,
        step_us=config.get("stepUs") or 1000,
        cold=(
            rules.get("coldFrom", 1.0),
            rules.get("coldUs") or 0,
            rules.get("fallMultiple") or 0.0,
            rules.get("fallUs") or 0,
        ),
        key_rest_us=rules.get("keyQuietUs") or 0,
        budget=budget,
        costs=bool(domain.get("costInAnswers")),
    )
    return gateway, groups

"""Translation of the platform's settings to the decision module's arguments; unknown settings are ignored."""

from typing import Any

from pathturn.core import interface as names
from pathturn.core.dispatcher import GatewayDispatcher

DEFAULT_ROUND_INTERVAL_US = 1000
# Service group kind by the setting `effect`.
KIND_BY_EFFECT = {"retryable": names.REPEATABLE, "dedup": names.REFERENCED, "fragile": names.ONCE_ONLY}
# Load figure by its name in the setting `report.fields`.
LOAD_BY_REPORT_FIELD = {
    "concurrent": "held",
    "load_share": "utilisation",
    "depth": "waiting",
    "x0": "memory",
    "x1": "disks",
}


def _optional_set(values: list[str] | None) -> frozenset[str] | None:
    return None if values is None else frozenset(values)


def _per_group(domain: dict[str, Any], key: str, index: int, default: Any) -> Any:
    """Return a group's value of a setting that lists one for each group."""
    values = domain.get(key) or []
    return values[index] if index < len(values) else default


def _service_group(entry: dict[str, Any], index: int, domain: dict[str, Any]) -> names.ServiceGroup:
    return names.ServiceGroup(
        response_goal_us=entry["promiseUs"],
        goal_runtime_factor=entry.get("aimStretch") or 0.0,
        time_limit_us=entry["deadlineUs"],
        utility=entry.get("worth", 1.0),
        late_utility=entry.get("lateValue", 0.0),
        kind=KIND_BY_EFFECT[entry["effect"]],
        dedup_scope=entry.get("group") or "all",
        dedup_window_us=entry.get("memorySpanUs") or 0,
        ordered_by_key=bool(entry.get("inTurn")),
        zones=_optional_set(entry.get("staysIn")),
        machines=_optional_set(entry.get("servedOn")),
        threads=_per_group(domain, "widthByClass", index, 1),
        locks_data_set=_per_group(domain, "isLoad", index, False),
        waits_for_data_set=_per_group(domain, "yieldsToLoads", index, False),
    )


def retry_share(config: dict[str, Any]) -> float | None:
    """Return the retry budget in retries per batch received; None if the settings have no budget."""
    rules = config.get("rules") or {}
    return (rules.get("extraPerRequest") or 0.0) if rules.get("budgetSpanUs") else None


def build_dispatcher(
    seed: int, config: dict[str, Any]
) -> tuple[GatewayDispatcher, dict[str, names.ServiceGroup]]:
    """Build the decision module; return it and the service groups by name, in the order of their indices."""
    domain = config.get("domain") or {}
    limits = config.get("limits") or {}
    rules = config.get("rules") or {}
    report = config.get("report") or {}
    entries = config.get("classes") or []
    machine_kinds = config.get("kinds") or []
    groups = {entry["name"]: _service_group(entry, index, domain) for index, entry in enumerate(entries)}
    if not groups:
        raise ValueError("settings define no service group: `classes` is empty or missing")
    budget = None
    if rules.get("budgetSpanUs"):
        budget = (rules.get("freeResends") or 0, retry_share(config), rules["budgetSpanUs"])
    dispatcher = GatewayDispatcher(
        seed=seed,
        instance=config.get("ordinal", 0),
        gateway_count=config.get("siblings", 1),
        groups=list(groups.values()),
        cores_by_machine=dict(zip(machine_kinds, domain.get("coresByKind") or [])),
        sets_memory_grants=bool(domain.get("takesGrants")),
        pages_on_shortage=domain.get("onShortage") == "page",
        notice_interval_us=domain.get("progressUs") or 0,
        report_fields=[LOAD_BY_REPORT_FIELD.get(field, field) for field in report.get("fields") or []],
        probes=report.get("how") == "probe" and bool(limits.get("probing")),
        subscribes_to_list=config.get("discovery") == "ask",
        max_dispatches=limits.get("maxAttempts") or 1,
        may_cancel=bool(limits.get("cancel")),
        max_retry_after_us=(limits.get("maxRetryAfterUs") or 0) if limits.get("retryAfter") else 0,
        min_round_interval_us=config.get("stepUs") or DEFAULT_ROUND_INTERVAL_US,
        slow_start=(
            rules.get("coldFrom", 1.0),
            rules.get("coldUs") or 0,
            rules.get("fallMultiple") or 0.0,
            rules.get("fallUs") or 0,
        ),
        key_quiet_us=rules.get("keyQuietUs") or 0,
        retry_budget=budget,
        reports_costs=bool(domain.get("costInAnswers")),
    )
    return dispatcher, groups

"""The engines' calls and what their answers mean. No sockets here."""

from urllib.parse import quote

from pathturn.core import interface as names
from pathturn.wire.http import call

NOTES = {"done": names.PROGRESS, "spills": names.SPILLS, "waits": names.WAITS}
# What a meter may call a load value that the settings name otherwise.
METERS = {"concurrent": "inflight", "depth": "queue", "load_share": "util", "mean_ms": "latency_ms",
          "tps": "qps", "err_ps": "eps"}
FORGOTTEN_US = 2_000_000  # the protocol's figure: a query not asked for that long has ended


def start(host: str, ticket: str, group: str, wait_us: int, nonce: str | None, grant_mb: float,
          priority: int, statement: bytes) -> bytes:
    fields = (("X-Ticket", ticket), ("X-Queue", group), ("X-Max-Ms", max(1, wait_us // 1000)),
              ("X-Nonce", nonce), ("X-Memory-Mb", round(grant_mb) or None), ("X-Priority", priority))
    return call("POST", "/data", host, fields, statement)


def _path(ticket: str) -> str:
    return "/data/" + quote(ticket, safe="")


def page(host: str, ticket: str, number: int) -> bytes:
    """Page 0 is the news of the query."""
    return call("GET", f"{_path(ticket)}/{number}", host)


def rank(host: str, ticket: str, priority: int) -> bytes:
    return call("PUT", _path(ticket), host, body=str(priority).encode())


def give_up(host: str, ticket: str) -> bytes:
    return call("DELETE", _path(ticket), host)


def outcome(status: int, fields: dict[str, str]) -> str:
    if status == 200:
        return names.RETURNED
    if fields.get("x-shed") == "1":
        return names.UNSENT if status == 504 else names.FULL
    return names.ERRORED


def note(fields: dict[str, str]) -> tuple[int, float] | None:
    sort = NOTES.get(fields.get("x-remark", ""))
    return None if sort is None else (sort, number(fields, "x-value"))


def number(fields: dict[str, str], name: str) -> float:
    try:
        return float(fields.get(name, 0))
    except ValueError:
        return 0.0


def meter(fields: dict[str, str], wanted: list[str]) -> list[float] | None:
    """The load values in the order in which the settings name them; one missing voids the report."""
    told = dict(part.split(":", 1) for part in fields.get("x-meter", "").split(";") if ":" in part)
    if not told:
        return None
    try:
        return [float(told[name] if name in told else told[METERS[name]]) for name in wanted]
    except (KeyError, ValueError):
        return None

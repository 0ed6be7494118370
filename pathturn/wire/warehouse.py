"""The engines' calls and what their answers mean. No sockets here."""

import re
from math import isfinite
from typing import NamedTuple
from urllib.parse import quote
from zlib import crc32

from pathturn.core import interface as names
from pathturn.wire.http import LARGEST_BODY, Unreadable, call

NOTES = {"done": names.NOTICE_PROGRESS, "spills": names.NOTICE_SPILLING, "waits": names.NOTICE_WAITING}
# What a meter may call a load value that the settings name otherwise.
METERS = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}
# The protocol's figures: a query not asked for that long has ended; its news comes within the other.
FORGOTTEN_US, NEWS_US = 2_000_000, 250_000
LARGEST_RESULT = 48_000  # the protocol's figure
# Pages hold whole rows: two that follow each other are more than one, else they would be one.
MOST_PAGES = 2 * LARGEST_RESULT // LARGEST_BODY
ROWS = re.compile(rb"(?:[^\x00-\x1f]*\t[^\x00-\x1f]*\t[^\x00-\x1f]*\n)*")
LARGEST_NUMBER = 1e9  # a cost of some days, a need of a petabyte: beyond that it tells nothing
STATUSES = frozenset({200, 202, 500, 503, 504})
GIVEN_UP = 204  # the one answer that says that a give-up or a new priority was taken


def start(
    host: str,
    ticket: str,
    group: str,
    wait_us: int,
    nonce: str | None,
    grant_mb: float,
    priority: int,
    statement: bytes,
) -> bytes:
    fields = (
        ("X-Ticket", ticket),
        ("X-Queue", group),
        ("X-Max-Ms", max(1, wait_us // 1000)),
        ("X-Nonce", nonce),
        ("X-Memory-Mb", round(grant_mb) or None),
        ("X-Priority", priority),
    )
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


def news(status: int, fields: dict[str, str], body: bytes) -> int:
    """The number of pages where the answer is a good end. Raises where it cannot be what the engine said."""
    if status not in STATUSES:
        raise Unreadable("status")
    if status != 200:
        return 0
    pages = fields.get("x-pages", "")
    if not pages.isdecimal() or not 1 <= int(pages) <= MOST_PAGES or (int(pages) > 1 and not body):
        raise Unreadable("pages")
    check_rows(body)
    return int(pages)


class GoodEnd(NamedTuple):
    """What tells a good end from any other. Of the rows only a checksum, as connections are many."""

    pages: str
    cost: str | None
    rest: object
    size: int
    checksum: int


def end(status: int, fields: dict[str, str], body: bytes) -> GoodEnd | None:
    """Return what tells a good end from any other, None for what is none: where it says what the query took,
    load reports do not count, as an engine that says it again has another by then."""
    if status != 200 or "x-pages" not in fields:
        return None
    cost = fields.get("x-cost-ms")
    rest = fields.get("x-needed-mb") if cost is not None else tuple(sorted(fields.items()))
    return GoodEnd(fields["x-pages"], cost, rest, len(body), crc32(body))


def further(number: int, status: int, fields: dict[str, str], body: bytes) -> bool:
    """Whether this is that page; False where the engine has lost it."""
    if status == 500:
        return False
    if status != 200 or fields.get("x-page") != str(number) or not body:
        raise Unreadable("page")
    check_rows(body)
    return True


def check_rows(body: bytes) -> None:
    """Rows that no engine made must not reach a client: a cut or spoilt page is told by its form."""
    try:
        whole = ROWS.fullmatch(body) is not None and body.decode() is not None
    except UnicodeDecodeError:
        whole = False
    if not whole:
        raise Unreadable("rows")


def number(fields: dict[str, str], name: str) -> float:
    """0 where it is none, or none that the module's averages could stand."""
    return _sound(fields.get(name, "0")) or 0.0


def _sound(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if isfinite(value) and 0 <= value <= LARGEST_NUMBER else None


def meter(fields: dict[str, str], wanted: list[str]) -> list[float] | None:
    """The load values in the order in which the settings name them; one missing voids the report."""
    told = dict(part.split(":", 1) for part in fields.get("x-meter", "").split(";") if ":" in part)
    values = [_sound(told.get(name, told.get(METERS.get(name, ""), ""))) for name in wanted]
    return None if not told or None in values else values

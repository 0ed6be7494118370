"""The engine protocol: encodes requests and interprets responses. Does no I/O."""

import re
from math import isfinite
from typing import NamedTuple
from urllib.parse import quote
from zlib import crc32

from pathturn.core import interface as names
from pathturn.wire.http import MAX_BODY_BYTES, MalformedResponseError, build_request

NOTICE_KINDS = {"done": names.NOTICE_PROGRESS, "spills": names.NOTICE_SPILLING, "waits": names.NOTICE_WAITING}
# Other names under which an engine may report a load value of the settings.
LOAD_VALUE_ALIASES = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}
# Protocol limits: an engine ends a query that has not been polled for this long.
UNPOLLED_LIFETIME_US = 2_000_000
# Protocol limit: an engine answers a poll within this time.
POLL_RESPONSE_US = 250_000
MAX_RESULT_BYTES = 48_000  # protocol limit
# Pages hold whole rows: two consecutive pages exceed the size of one, or they would be one page.
MAX_PAGES = 2 * MAX_RESULT_BYTES // MAX_BODY_BYTES
ROWS = re.compile(rb"(?:[^\x00-\x1f]*\t[^\x00-\x1f]*\t[^\x00-\x1f]*\n)*")
# Milliseconds of cost (some days) or megabytes of memory (a petabyte); larger values are implausible.
MAX_REPORTED_VALUE = 1e9
# Status, header fields by lower-case name, and body.
Response = tuple[int, dict[str, str], bytes]
OK = 200
SERVER_ERROR = 500  # the lowest status of a failure
STATUSES = frozenset({OK, 202, SERVER_ERROR, 503, 504})
STILL_RUNNING = 202
CONTROL_ACCEPTED = 204  # the only status that confirms a cancellation or a change of priority


def start_request(
    host: str,
    ticket: str,
    group: str,
    timeout_us: int,
    nonce: str | None,
    grant_mb: float,
    priority: int,
    statement: bytes,
) -> bytes:
    """Encode the request that starts a query."""
    fields = (
        ("X-Ticket", ticket),
        ("X-Queue", group),
        ("X-Max-Ms", max(1, timeout_us // 1000)),
        ("X-Nonce", nonce),
        ("X-Memory-Mb", round(grant_mb) or None),
        ("X-Priority", priority),
    )
    return build_request("POST", "/data", host, fields, statement)


def _path(ticket: str) -> str:
    return "/data/" + quote(ticket, safe="")


def page_request(host: str, ticket: str, number: int) -> bytes:
    """Encode the request for a page of the result; page 0 polls the status of the query."""
    return build_request("GET", f"{_path(ticket)}/{number}", host)


def priority_request(host: str, ticket: str, priority: int) -> bytes:
    """Encode the request that changes the priority of a query."""
    return build_request("PUT", _path(ticket), host, body=str(priority).encode())


def cancel_request(host: str, ticket: str) -> bytes:
    """Encode the request that cancels a query."""
    return build_request("DELETE", _path(ticket), host)


def is_running(response: tuple[int, dict[str, str], bytes] | None) -> bool:
    """Return whether the response tells that the query is still running."""
    return response is not None and response[0] == STILL_RUNNING


def outcome(status: int, fields: dict[str, str]) -> str:
    """Return the outcome of a dispatch from the final response to its start or poll."""
    if status == 200:
        return names.RETURNED
    if fields.get("x-shed") == "1":
        return names.UNSENT if status == 504 else names.FULL
    return names.ERRORED


def notice(fields: dict[str, str]) -> tuple[int, float] | None:
    """Return the kind and value of the engine's notice on a running query, None if there is none."""
    kind = NOTICE_KINDS.get(fields.get("x-remark", ""))
    return None if kind is None else (kind, numeric_field(fields, "x-value"))


def page_count(status: int, fields: dict[str, str], body: bytes) -> int:
    """Return the number of pages of a successful result, 0 for any other response.

    Raise MalformedResponseError if an engine cannot have sent this response.
    """
    if status not in STATUSES:
        raise MalformedResponseError("unexpected_status")
    if status != 200:
        return 0
    pages = fields.get("x-pages", "")
    if not pages.isdecimal() or not 1 <= int(pages) <= MAX_PAGES or (int(pages) > 1 and not body):
        raise MalformedResponseError("page_count")
    check_rows(body)
    return int(pages)


class ResultFingerprint(NamedTuple):
    """Identifies a page of a successful result; the first one has no number and tells the number of pages.
    Holds only a checksum of the rows, as there are many connections."""

    page: str | None
    pages: str | None
    cost: str | None
    other_fields: object
    body_bytes: int
    checksum: int


def result_fingerprint(status: int, fields: dict[str, str], body: bytes) -> ResultFingerprint | None:
    """Return the fingerprint of a page of a successful result, None for any other response.

    Where the cost of the query is reported, load reports are left out: an engine that repeats a result
    reports another load by then.
    """
    if status != 200:
        return None
    if "x-pages" not in fields:
        if "x-page" not in fields:
            return None
        return ResultFingerprint(fields["x-page"], None, None, None, len(body), crc32(body))
    cost = fields.get("x-cost-ms")
    other_fields = fields.get("x-needed-mb") if cost is not None else tuple(sorted(fields.items()))
    return ResultFingerprint(None, fields["x-pages"], cost, other_fields, len(body), crc32(body))


def is_page(number: int, status: int, fields: dict[str, str], body: bytes) -> bool:
    """Return whether the response is that page, False if the engine has lost it.

    Raise MalformedResponseError for any other response.
    """
    if status == 500:
        return False
    if status != 200 or fields.get("x-page") != str(number) or not body:
        raise MalformedResponseError("wrong_page")
    check_rows(body)
    return True


def check_rows(body: bytes) -> None:
    """Raise MalformedResponseError if the rows are truncated or corrupted, so that they reach no client."""
    try:
        valid = ROWS.fullmatch(body) is not None and body.decode() is not None
    except UnicodeDecodeError:
        valid = False
    if not valid:
        raise MalformedResponseError("invalid_rows")


def numeric_field(fields: dict[str, str], name: str) -> float:
    """Return a numeric header field; 0 if it is missing, not a number, or out of the range that the
    dispatcher's averages can hold."""
    return _plausible_number(fields.get(name, "0")) or 0.0


def _plausible_number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if isfinite(value) and 0 <= value <= MAX_REPORTED_VALUE else None


def load_report(fields: dict[str, str], wanted: list[str]) -> list[float] | None:
    """Return the load values in the order of the settings, None if one of them is missing."""
    reported = dict(part.split(":", 1) for part in fields.get("x-meter", "").split(";") if ":" in part)
    values = [
        _plausible_number(reported.get(name, reported.get(LOAD_VALUE_ALIASES.get(name, ""), "")))
        for name in wanted
    ]
    return None if not reported or None in values else values

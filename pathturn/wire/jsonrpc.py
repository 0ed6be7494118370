"""JSON-RPC 2.0 lines from clients: bytes to calls, answers to bytes. No sockets here."""

import re
from base64 import b64decode, b64encode
from collections.abc import Iterator
from typing import Any

import orjson

from pathturn.core import interface as names

PUSHED_BACK = -32066  # the protocol's own; those below are JSON-RPC's, and two of the range left to servers
ERRORED, TOO_MANY = -32050, -32051
MALFORMED, INVALID, UNKNOWN, UNUSABLE = -32700, -32600, -32601, -32602
TICKET, TOKEN = re.compile(r"[0-9a-f]{16}"), re.compile(r"[\w.:-]{1,64}", re.ASCII)
LARGEST_FIGURE = 1e7  # three hours of work, ten terabytes: an estimate beyond that is none


class Unusable(Exception):
    """Bytes after which nothing more of the stream can be trusted; its text is the reason's code."""


class Lines:
    """Cuts a stream into lines, whatever pieces it comes in. A line that never ends must not fill the memory,
    nor have what there is of it searched again with each piece. `ahead` is what was read before its time, to
    hear what lies behind it; together with a line's rest it takes no more than a line may."""

    def __init__(self, longest: int) -> None:
        self.longest, self.rest, self.ahead = longest, bytearray(), bytearray()

    @property
    def room(self) -> int:
        """How many bytes more may be read ahead."""
        return max(0, self.longest - len(self.rest) - len(self.ahead))

    @property
    def waiting(self) -> bool:
        """Whether there is more than whole lines that have been looked at."""
        return bool(self.rest or self.ahead)

    def feed(self, piece: memoryview) -> Iterator[bytes]:
        parts = bytes(piece).split(b"\n")
        for part in parts[:-1]:
            line = bytes(self.rest) + part if self.rest else part
            self.rest.clear()
            if line.strip():
                yield line
        self.rest += parts[-1]
        if len(self.rest) > self.longest:
            raise Unusable("overlong_line")


def read(line: bytes, session: Any) -> None:
    """Turns a line into one call of the session; what cannot be read is answered where its id is known. The
    cheap checks come first: whoever is turned away often returns at once."""
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError as fault:
        raise Unusable("malformed_line") from fault
    if type(message) is not dict:
        raise Unusable("malformed_line")
    number, method, params = message.get("id"), message.get("method"), message.get("params")
    if method == "abort":
        session.abort(params.get("id") if type(params) is dict else None)
        return
    if type(number) is not int:
        raise Unusable("no_id")
    if not session.admits(number):
        return
    if message.get("jsonrpc") != "2.0" or type(method) is not str:
        session.fault(number, INVALID)
    elif method == "ping":
        session.ping(number)
    elif (group := session.group(method)) is None:
        session.fault(number, UNKNOWN)
    else:
        try:
            fields = _fields(params, group)
        except (KeyError, TypeError, ValueError, AttributeError):
            session.fault(number, UNUSABLE)
        else:
            session.batch(number, method, *fields)


def _fields(params: dict[str, Any], group: names.ServiceGroup) -> tuple:
    """All of them or none: whatever goes on to an engine must be as the client wrote it."""
    left_us = int(_figure(params["patience"]) * 1000)
    if not 0 < left_us <= group.time_limit_us:
        raise ValueError("patience")
    if not TICKET.fullmatch(params["trace"]):
        raise ValueError("trace")
    work_us, memory_mb = int(_figure(params.get("weight", 0)) * 1000), int(_figure(params.get("est_mb", 0)))
    nonce = _token(params, "nonce", group.kind == names.REFERENCED)
    key, customer = _token(params, "entity", group.ordered_by_key), _token(params, "customer", False)
    statement = b64decode(params["data"], validate=True)
    if not statement.decode().strip():
        raise ValueError("data")
    return (
        params["trace"],
        left_us,
        nonce,
        key,
        customer,
        work_us,
        memory_mb,
        params.get("redo") is True,
        statement,
    )


def _figure(value: float) -> float:
    if type(value) not in (int, float) or not 0 <= value <= LARGEST_FIGURE:
        raise ValueError("figure")
    return value


def _token(params: dict[str, Any], name: str, needed: bool) -> str | None:
    """These become header fields: one with a line's end in it would write further ones."""
    value = params.get(name)
    if (value is None and needed) or (value is not None and not TOKEN.fullmatch(value)):
        raise ValueError(name)
    return value


def _line(number: Any, **told: Any) -> bytes:
    return orjson.dumps({"jsonrpc": "2.0", "id": number, **told}) + b"\n"


def returned(number: Any, rows: bytes) -> bytes:
    return _line(number, result={"data": b64encode(rows).decode()})


def pushed_back(number: Any, retry_us: int) -> bytes:
    told = {"data": {"pause": -(-retry_us // 1000)}} if retry_us else {}
    return _line(number, error={"code": PUSHED_BACK, "message": "pushed back", **told})


def errored(number: Any, code: int = ERRORED) -> bytes:
    return _line(number, error={"code": code, "message": "errored"})


def healthy(number: Any, well: bool) -> bytes:
    return _line(number, result={"healthy": well})

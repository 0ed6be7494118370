"""JSON-RPC 2.0 lines from clients: bytes to calls, answers to bytes. No sockets here."""

from base64 import b64decode, b64encode
from collections.abc import Iterator
from typing import Any

import orjson

PUSHED_BACK = -32066  # the protocol's own; those below are JSON-RPC's, and one of the range left to servers
ERRORED, MALFORMED, UNKNOWN, UNUSABLE = -32050, -32700, -32601, -32602
LONGEST_LINE = 1 << 20  # a client that never ends its line must not fill the memory


class Unusable(Exception):
    """Bytes after which nothing more of the stream can be trusted; its text is the reason's code."""


class Lines:
    """Cuts a stream into lines, whatever pieces it comes in."""

    def __init__(self) -> None:
        self.rest = bytearray()

    def feed(self, piece: memoryview) -> Iterator[bytes]:
        self.rest += piece
        if len(self.rest) > LONGEST_LINE and b"\n" not in piece.tobytes():
            raise Unusable("overlong_line")
        while (end := self.rest.find(b"\n")) >= 0:
            line = bytes(self.rest[:end])
            del self.rest[:end + 1]
            if line.strip():
                yield line


def read(line: bytes, session: Any) -> None:
    """Turns a line into one call of the session; what cannot be read is answered where its id is known."""
    try:
        message = orjson.loads(line)
        number = message.get("id")
    except (orjson.JSONDecodeError, AttributeError) as fault:
        raise Unusable("malformed_line") from fault
    try:
        method, params = message["method"], message.get("params") or {}
        if method == "ping":
            session.ping(number)
        elif method == "abort":
            session.abort(params.get("trace"), params.get("id", number))
        elif not session.knows(method):
            session.fault(number, UNKNOWN)
        else:
            session.batch(number, method, _word(params["trace"]), _whole(params["patience"], 1000),
                          _word(params.get("nonce")), _word(params.get("entity")),
                          _word(params.get("customer")), _whole(params.get("weight"), 1000),
                          _whole(params.get("est_mb"), 1), bool(params.get("redo")),
                          b64decode(params.get("data", ""), validate=True))
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError):
        session.fault(number, UNUSABLE)


def _whole(value: float | None, unit: int) -> int:
    return int(max(0, value or 0) * unit)


def _word(value: str | None) -> str | None:
    """These become header fields: one with a line's end in it would write further ones."""
    if value is not None and not value.isprintable():
        raise ValueError("unprintable")
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

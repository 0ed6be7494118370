"""JSON-RPC 2.0 over newline-delimited JSON: decodes clients' requests and encodes answers, without
sockets."""

import re
from base64 import b64decode, b64encode
from collections.abc import Iterator
from typing import Any

import orjson

from pathturn.core import interface as names
from pathturn.wire.read_ahead import ReadAhead

# Error codes: the first is set by the gateway's protocol, the next two are from JSON-RPC's range for servers,
# and the others are JSON-RPC's own.
PUSHED_BACK = -32066
ERRORED = -32050
TOO_MANY_OPEN = -32051
PARSE_ERROR = -32700
INVALID_REQUEST = -32600
METHOD_NOT_FOUND = -32601
INVALID_PARAMS = -32602

TICKET_PATTERN = re.compile(r"[0-9a-f]{16}")
TOKEN_PATTERN = re.compile(r"[\w.:-]{1,64}", re.ASCII)
# What a line holds that takes a request back, and one whose batch has an ordering key.
ABORT_METHOD = b'"abort"'
KEY_FIELD = b'"entity"'
MAX_NUMBER = 1e7  # three hours of work in ms, ten terabytes in MB: a larger estimate is an error


class StreamError(Exception):
    """The stream can't be decoded beyond this point; the message is the reason code."""


class LineSplitter:
    """Splits a byte stream into lines, in whatever pieces it arrives.

    The length of a line is limited, so that one without an end can't fill the memory. Its part received so
    far is kept apart and not searched again with each piece. `read_ahead` is input that is not to be
    processed yet: it was read to notice what is urgent in it, or the client's close behind it. Together with
    the partial line it is at most as long as a line may be.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.partial = bytearray()
        self.read_ahead = ReadAhead()

    @property
    def read_ahead_room(self) -> int:
        """How many more bytes may be read ahead."""
        return max(0, self.max_bytes - len(self.partial) - len(self.read_ahead))

    @property
    def has_input(self) -> bool:
        """Whether there is a partial line or read-ahead that has not been processed."""
        return bool(self.partial or self.read_ahead)

    def may_hold(self, text: bytes) -> bool:
        """Return whether the input that has not been processed contains this text."""
        return text in self.read_ahead or text in self.partial

    def feed(self, piece: memoryview) -> Iterator[bytes]:
        """Yield the lines that are complete with this piece, except blank ones. Raise StreamError if the line
        that it leaves incomplete is too long."""
        parts = bytes(piece).split(b"\n")
        for part in parts[:-1]:
            line = bytes(self.partial) + part if self.partial else part
            self.partial.clear()
            if line.strip():
                yield line
        self.partial += parts[-1]
        if len(self.partial) > self.max_bytes:
            raise StreamError("overlong_line")


def handle_line(line: bytes, connection: Any) -> None:
    """Decode a line and make one call on the connection. A request that can't be decoded is rejected if its
    id is known, else StreamError is raised. Cheap checks come first, as rejected requests are often sent
    again at once."""
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise StreamError("malformed_line") from error
    if type(message) is not dict:
        raise StreamError("malformed_line")
    request_id = message.get("id")
    method = message.get("method")
    params = message.get("params")
    if method == "abort":
        connection.abort(params.get("id") if type(params) is dict else None)
        return
    if type(request_id) is not int:
        raise StreamError("no_id")
    if not connection.accept_request_id(request_id):
        return
    if message.get("jsonrpc") != "2.0" or type(method) is not str:
        connection.reject(request_id, INVALID_REQUEST)
    elif method == "ping":
        connection.ping(request_id)
    elif (group := connection.service_group(method)) is None:
        connection.reject(request_id, METHOD_NOT_FOUND)
    else:
        try:
            fields = _parse_params(params, group)
        except (KeyError, TypeError, ValueError, AttributeError):
            connection.reject(request_id, INVALID_PARAMS)
        else:
            connection.open_batch(request_id, method, *fields)


def _parse_params(params: dict[str, Any], group: names.ServiceGroup) -> tuple:
    """Return the fields of a batch, in the order in which `open_batch` has them. A single invalid one rejects
    the request: whatever is forwarded to an engine must be as the client wrote it."""
    left_us = int(_number(params["patience"]) * 1000)
    if not 0 < left_us <= group.time_limit_us:
        raise ValueError("patience")
    if not TICKET_PATTERN.fullmatch(params["trace"]):
        raise ValueError("trace")
    work_us = int(_number(params.get("weight", 0)) * 1000)
    memory_mb = int(_number(params.get("est_mb", 0)))
    nonce = _token(params, "nonce", group.kind == names.REFERENCED)
    key = _token(params, "entity", group.ordered_by_key)
    customer = _token(params, "customer", False)
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


def _number(value: float) -> float:
    if type(value) not in (int, float) or not 0 <= value <= MAX_NUMBER:
        raise ValueError("number")
    return value


def _token(params: dict[str, Any], name: str, required: bool) -> str | None:
    """Return a field that is forwarded as an HTTP header: with a line break in it a client could add
    headers."""
    value = params.get(name)
    if (value is None and required) or (value is not None and not TOKEN_PATTERN.fullmatch(value)):
        raise ValueError(name)
    return value


def _encode(request_id: Any, **members: Any) -> bytes:
    return orjson.dumps({"jsonrpc": "2.0", "id": request_id, **members}) + b"\n"


def returned(request_id: Any, rows: bytes) -> bytes:
    return _encode(request_id, result={"data": b64encode(rows).decode()})


def pushed_back(request_id: Any, retry_us: int) -> bytes:
    """Encode a pushed back answer, with the time after which the client may retry in ms, rounded up."""
    retry = {"data": {"pause": -(-retry_us // 1000)}} if retry_us else {}
    return _encode(request_id, error={"code": PUSHED_BACK, "message": "pushed back", **retry})


def errored(request_id: Any, code: int = ERRORED) -> bytes:
    return _encode(request_id, error={"code": code, "message": "errored"})


def healthy(request_id: Any, is_healthy: bool) -> bytes:
    """Encode the answer to a ping."""
    return _encode(request_id, result={"healthy": is_healthy})

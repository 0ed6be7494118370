"""HTTP/1.1 with engines: encodes requests and parses responses incrementally. Does no I/O."""

from collections.abc import Iterable

import httptools

# The engine protocol limits a page to 6,000 bytes; a response head takes a few hundred bytes.
MAX_BODY_BYTES = 6000
MAX_HEAD_BYTES = 8192
STATUS_LINE_PREFIX = b"HTTP/1."
HEAD_END = b"\r\n\r\n"


class MalformedResponseError(Exception):
    """The received bytes are no valid response to the pending request; the message is a reason code."""


def check_single_head(text: bytes) -> None:
    """Reject a reason phrase or header value that contains another status line: a truncated duplicate of an
    earlier response precedes the real one, and its status would be attributed to that."""
    if STATUS_LINE_PREFIX in text:
        raise MalformedResponseError("nested_head")


class ResponseParser:
    """Incremental parser of successive responses on one connection.

    Memory is bounded by the largest valid response: a larger Content-Length is rejected before its body is
    read, a response without one as soon as it exceeds the limit.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.keep_alive = True
        self.received_surplus = False  # bytes behind a complete response
        self.surplus = b""  # these bytes; empty if they cannot be told from the response
        self._reset()

    def _reset(self) -> None:
        self.fields: dict[str, str] = {}
        self.reason = b""
        self.body_chunks: list[bytes] = []
        self.complete = False
        self.received_bytes = 0
        self.heads = 0  # of informational responses and of the final one
        self.segments: list[bytes] = []  # received since the start of the response

    def feed(self, data: memoryview) -> bool:
        """Parse received bytes; return whether the response is complete."""
        self.received_bytes += len(data)
        self.segments.append(bytes(data))
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserCallbackError) as error:
            if not self.complete:
                raise MalformedResponseError("parse_error") from error
            # Garbage after a complete response does not invalidate it, but the connection is not reusable.
            self._note_surplus()
        if self.complete and self.received_surplus:
            self.surplus = self._find_surplus()
        if not self.complete and self.received_bytes > MAX_HEAD_BYTES + MAX_BODY_BYTES:
            raise MalformedResponseError("too_large")
        return self.complete

    def take(self) -> tuple[int, dict[str, str], bytes]:
        """Return the complete response as status, header fields and body, and reset for the next one."""
        response = self.status, self.fields, b"".join(self.body_chunks)
        self._reset()
        return response

    def _note_surplus(self) -> None:
        self.received_surplus = True
        self.keep_alive = False

    def _find_surplus(self) -> bytes:
        """Return the bytes behind the response, empty if it does not tell its own length."""
        parts = b"".join(self.segments).lstrip(b"\r\n").split(HEAD_END, self.heads)
        if "content-length" not in self.fields or len(parts) <= self.heads:
            return b""
        return parts[-1][sum(map(len, self.body_chunks)) :]

    # Callbacks of httptools.
    def on_message_begin(self) -> None:
        if self.complete:
            self._note_surplus()  # a duplicate response: it would be read as the next request's response

    def on_status(self, reason: bytes) -> None:
        if self.complete:
            return
        self.reason += reason
        check_single_head(self.reason)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete:
            return
        check_single_head(value)
        key = name.decode("latin-1").lower()
        self.fields[key] = value.decode("latin-1")
        if key == "content-length" and int(value) > MAX_BODY_BYTES:
            raise MalformedResponseError("too_large")

    def on_headers_complete(self) -> None:
        if not self.complete:
            self.heads += 1

    def on_body(self, body: bytes) -> None:
        if not self.complete:
            self.body_chunks.append(body)

    def on_message_complete(self) -> None:
        if self.complete:
            return
        self.status = self.parser.get_status_code()
        if self.status < 200:
            self.fields = {}  # an informational response precedes the final one
            return
        self.complete = True
        # Evaluated here because the parser always returns False once it expects the next response.
        self.keep_alive = self.keep_alive and self.parser.should_keep_alive()


def build_request(
    method: str, path: str, host: str, fields: Iterable[tuple[str, object]] = (), body: bytes = b""
) -> bytes:
    """Encode a request; header fields whose value is None are omitted."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in fields if value is not None]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body

"""HTTP/1.1 as spoken to engines: calls to bytes, bytes to answers. No sockets here."""

from collections.abc import Iterable

import httptools

# The protocol's figure for a page. A head takes a few hundred bytes; whatever passes this is not one of ours.
LARGEST_BODY, LARGEST_HEAD = 6000, 8192
VERSION = b"HTTP/1."  # how each answer begins


class Unreadable(Exception):
    """What came is no answer, or not the one that is due; its text is the reason's code."""


def check_one_head(text: bytes) -> None:
    """Refuse the rest of a head into which another one runs: a copy of an earlier answer broke off there, and
    its status would be taken for that of the answer behind it."""
    if VERSION in text:
        raise Unreadable("two_heads")


class Answers:
    """Reads one answer after another from a connection's bytes. Holds no more than one answer can have: one
    said to be larger is refused before its bytes, one without an end as soon as it is too long."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.keeps = True
        self._begin()

    def _begin(self) -> None:
        self.fields: dict[str, str] = {}
        self.reason = b""
        self.pieces: list[bytes] = []
        self.whole, self.size = False, 0

    def feed(self, piece: memoryview) -> bool:
        """Whether the answer is whole now."""
        self.size += len(piece)
        try:
            self.parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserCallbackError) as fault:
            if not self.whole:
                raise Unreadable("unreadable") from fault
            self.keeps = False  # noise behind an answer is not its fault, but nothing after it can be trusted
        if not self.whole and self.size > LARGEST_HEAD + LARGEST_BODY:
            raise Unreadable("overlong")
        return self.whole

    def take(self) -> tuple[int, dict[str, str], bytes]:
        answer = self.status, self.fields, b"".join(self.pieces)
        self._begin()
        return answer

    # httptools calls these.
    def on_message_begin(self) -> None:
        if self.whole:
            self.keeps = False  # a second copy: the next call would be answered with it

    def on_status(self, reason: bytes) -> None:
        if self.whole:
            return
        self.reason += reason
        check_one_head(self.reason)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.whole:
            return
        check_one_head(value)
        key = name.decode("latin-1").lower()
        self.fields[key] = value.decode("latin-1")
        if key == "content-length" and int(value) > LARGEST_BODY:
            raise Unreadable("overlong")

    def on_body(self, body: bytes) -> None:
        if not self.whole:
            self.pieces.append(body)

    def on_message_complete(self) -> None:
        if self.whole:
            return
        self.status = self.parser.get_status_code()
        if self.status < 200:
            self.fields = {}  # one in front of the answer proper
            return
        # Asked here: once the parser stands before the next answer it always says no.
        self.whole, self.keeps = True, self.keeps and self.parser.should_keep_alive()


def call(
    verb: str, path: str, host: str, fields: Iterable[tuple[str, object]] = (), body: bytes = b""
) -> bytes:
    lines = [f"{verb} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in fields if value is not None]
    if body or verb in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body

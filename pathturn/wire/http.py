"""HTTP/1.1 as spoken to engines: calls to bytes, bytes to answers. No sockets here."""

from collections.abc import Iterable

import httptools


class Answers:
    """Reads one answer after another from a connection's bytes."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.fields: dict[str, str] = {}
        self.pieces: list[bytes] = []
        self.whole, self.keeps = False, True

    def feed(self, piece: memoryview) -> bool:
        """Whether the answer is whole now."""
        self.parser.feed_data(piece)
        return self.whole

    def take(self) -> tuple[int, dict[str, str], bytes]:
        answer = self.parser.get_status_code(), self.fields, b"".join(self.pieces)
        self.fields, self.pieces, self.whole = {}, [], False
        return answer

    # httptools calls these.
    def on_header(self, name: bytes, value: bytes) -> None:
        self.fields[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.pieces.append(body)

    def on_message_complete(self) -> None:
        # Asked here: once the parser stands before the next answer it always says no.
        self.whole, self.keeps = True, self.parser.should_keep_alive()


def call(verb: str, path: str, host: str, fields: Iterable[tuple[str, object]] = (),
         body: bytes = b"") -> bytes:
    lines = [f"{verb} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in fields if value is not None]
    if body or verb in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body

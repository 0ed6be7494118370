"""Stand-in engines: they speak the engines' protocol as scripted, on loopback, and remember what they were
asked."""

import struct
from collections import deque
from collections.abc import Iterable
from time import monotonic
from typing import Any, NamedTuple

import gevent
from gevent import socket
from gevent.server import StreamServer

MOST_ASKED = 100_000
FULL_PAGE = 1000  # rows of 6 bytes: as large as a page may be
FORGOTTEN_S = 2.0  # the protocol's figure: a query ends by itself when it is not asked for that long
# Words by which a batch has its effect, or may have had it for all that anybody can tell.
RUN = frozenset({"rows", "runs", "notes", "reset", "drop", "lost", "error", "hang"})
GOOD = (
    b"HTTP/1.1 200 OK\r\nX-Pages: 1\r\nX-Cost-Ms: 5\r\nX-Needed-Mb: 1\r\nContent-Length: 6\r\n\r\na\tb\t0\n"
)
# What a peer may send in place of a good answer; with a None behind it the connection stays open.
SPOILT = {
    "noise": (bytes(range(128, 180)) + b"\r\n\r\n",),
    "cut": (GOOD[:-3],),
    "closed": (b"",),
    "mute": (None,),
    "short": (GOOD.replace(b"th: 6", b"th: 60"), None),
    "long": (GOOD.replace(b"th: 6", b"th: 5"), None),
    "minus": (GOOD.replace(b"th: 6", b"th: -1"), None),
    "page": (GOOD.replace(b"X-Pages", b"X-Page"), None),
    "huge": (GOOD.replace(b"th: 6", b"th: 3000000000"), *[bytes(60_000)] * 20, None),
    "endless": (b"HTTP/1.1 200 OK\r\nX-Pages: ", *[b"1" * 60_000] * 20, None),
    "chunks": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n", None),
    "unbounded": (b"HTTP/1.1 200 OK\r\nX-Pages: 1\r\n\r\na\tb\t", *[b"c" * 60_000] * 20, None),
    "colon": (GOOD.replace(b"X-Cost-Ms:", b"no colon"), None),
    "pages": (GOOD.replace(b"ges: 1", b"ges: nan"),),
    "columns": (GOOD.replace(b"\tb\t", b"\tb "), None),
    "text": (GOOD.replace(b"\tb\t", b"\t\xff\t"), None),
}
# What a good answer may bring beside itself.
MORE = {
    "early": (b"HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Wait\r\n\r\n" + GOOD, None),
    "twice": (GOOD + GOOD, None),
    "behind": (GOOD + b"\x00\xa7 noise", None),
    "figures": (
        GOOD.replace(b"Ms: 5", b"Ms: 1e999").replace(
            b"Mb: 1", b"Mb: nan\r\nX-Meter: depth:inf;concurrent:-1e300"
        ),
        None,
    ),
}


class Start(NamedTuple):
    """One start of a query, as it came."""

    at: float
    ticket: str
    service_class: str
    word: str


class StandInEngine:
    """Speaks the engines' protocol as scripted: a word for each query, the last one for all others."""

    def __init__(self, words: Iterable[str]) -> None:
        self.words, self.queries = list(words) or ["rows:1"], {}
        # Bounded: the longest stand-in traffic must not fill the memory of whoever measures it.
        self.asked: deque[tuple] = deque(maxlen=MOST_ASKED)
        self.begun: list[tuple[float, str]] = []  # when, and the nonce, of each batch that began to run
        self.posted: deque[float] = deque(maxlen=MOST_ASKED)
        self.starts: deque[Start] = deque(maxlen=MOST_ASKED)
        # What ran, the judge of a key's order: service group, begin, end; an end to come while not yet over.
        self.runs: dict[str, list] = {}
        self.torn_deletes = 0
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()

    def serve(self, link: socket.socket, peer: Any) -> None:
        while not link.closed:
            verb, path, fields, body = read_request(link)
            if not verb:
                return
            self.asked.append((verb, path, fields, body))
            if verb == "POST":
                ticket, word = fields["x-ticket"], self.words.pop(0) if len(self.words) > 1 else self.words[0]
                self.starts.append(Start(monotonic(), ticket, fields["x-queue"], word))
                if word.startswith("slow:"):  # still on its way for all that others can tell
                    gevent.sleep(int(word[5:]) / 1000)
                    word = "runs:5000"
                self.runs[ticket] = [fields["x-queue"], monotonic(), monotonic() + FORGOTTEN_S]
                self.posted.append(monotonic())
                if fields.get("x-nonce") and word.partition(":")[0] in RUN:
                    self.begun.append((monotonic(), fields["x-nonce"]))
                self.queries[ticket] = (word, monotonic())
                if word in ("reset", "drop"):
                    if word == "reset":
                        del self.queries[ticket]
                        link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    link.close()
                    return
                self.news(link, ticket)
            elif verb == "GET":
                self.page(link, *path.split("/")[2:])
            elif verb == "DELETE" and self.torn_deletes:
                self.torn_deletes -= 1
                link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                link.close()
            elif self.queries.get(path.split("/")[2], ("",))[0] != "mute":
                self.queries.pop(path.split("/")[2], None)
                self.over(path.split("/")[2])
                self.answer(link, 204)

    def over(self, ticket: str) -> None:
        if ticket in self.runs:
            self.runs[ticket][2] = min(self.runs[ticket][2], monotonic())

    def posts(self) -> list[tuple]:
        return [each for each in self.asked if each[0] == "POST"]

    def news(self, link: socket.socket, ticket: str) -> None:
        word, since = self.queries.get(ticket, ("error", 0))
        kind, _, value = word.partition(":")
        if ticket in self.queries:
            self.runs[ticket][2] = monotonic() + FORGOTTEN_S
        if kind == "sends":
            self.queries[ticket] = ("rows:1", since)
            return self.send(link, {**SPOILT, **MORE}[value])
        if kind in ("hang", "mute"):
            gevent.sleep(30)
        elif kind == "forgets":  # as where its process was started anew
            gevent.sleep(0.05)
            self.queries[ticket] = ("forgotten", since)
            return self.answer(link, 202)
        elif kind == "forgotten":
            del self.queries[ticket]
            self.over(ticket)
            link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return link.close()
        elif kind in ("runs", "notes"):
            gevent.sleep(0.05)
            if (monotonic() - since) * 1000 < int(value):
                note = [("X-Remark", "done"), ("X-Value", "0.01")] if kind == "notes" else []
                return self.answer(link, 202, note)
            kind, value = "rows", "1"
        elif kind == "drop":
            kind, value = "rows", "1"
        if kind == "odd":
            return self.answer(link, 200, [("X-Pages", "nan")])
        if kind in ("rows", "lost", "torn", "big"):
            self.over(ticket)
            # No two queries take the same to the microsecond, and each says the same again.
            cost = 5 + int(ticket[-4:], 16) / 1e5
            told = [
                ("X-Pages", value or 2),
                ("X-Cost-Ms", cost),
                ("X-Needed-Mb", 1),
                ("X-Meter", "depth:0;concurrent:2"),
            ]
            return self.answer(link, 200, told, b"a\tb\t0\n" * (FULL_PAGE if kind == "big" else 1))
        self.over(ticket)
        status = {"full": 503, "over": 504}.get(kind, 500)
        return self.answer(link, status, [("X-Shed", 1)] if status != 500 else [])

    def page(self, link: socket.socket, ticket: str, number: str) -> None:
        if number == "0":
            return self.news(link, ticket)
        word = self.queries[ticket][0]
        if word == "lost":
            return self.answer(link, 500)
        if word.startswith("torn:"):
            self.queries[ticket] = (f"rows:{word[5:]}", 0)
            return self.send(link, SPOILT["short"])
        rows = FULL_PAGE if word.startswith("big:") else 1
        return self.answer(link, 200, [("X-Page", number)], f"a\tb\t{number}\n".encode() * rows)

    def send(self, link: socket.socket, pieces: Iterable[bytes | None]) -> None:
        try:
            for piece in pieces:
                if piece is None:
                    return
                link.sendall(piece)
        except OSError:
            self.refused = True
        link.close()

    def answer(
        self, link: socket.socket, status: int, fields: Iterable[tuple[str, Any]] = (), body: bytes = b""
    ) -> None:
        head = [
            f"HTTP/1.1 {status} said",
            *(f"{name}: {value}" for name, value in fields),
            f"Content-Length: {len(body)}",
            "",
            "",
        ]
        link.sendall("\r\n".join(head).encode() + body)


def read_request(link: socket.socket) -> tuple:
    data = b""
    while b"\r\n\r\n" not in data:
        try:
            piece = link.recv(4096)
        except OSError:
            piece = b""
        if not piece:
            return None, None, None, None
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    first, *rest = head.decode().split("\r\n")
    fields = {name.lower(): value for name, value in (each.split(": ", 1) for each in rest)}
    while len(body) < int(fields.get("content-length", 0)):
        body += link.recv(4096)
    return *first.split()[:2], fields, body

"""Decides whether the pages of a result are complete if the engine sent bytes behind them. Does no I/O.

A `Content-Length` that is too small by whole rows leaves a valid response, and the other rows arrive as
bytes behind it. Such bytes may as well be a second copy of the response, or noise; then it is complete.
"""

import re
from enum import Enum

from pathturn.wire.engine_protocol import OK, Response

COLUMNS = 3
CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0b-\x1f]")


class Surplus(Enum):
    """What the bytes behind a page can be."""

    ROWS = "rows"  # at least one whole row
    UNKNOWN = "unknown"  # possibly the beginning of a row
    FOREIGN = "foreign"  # certainly no rows


def classify_surplus(surplus: bytes) -> Surplus:
    """Return what the bytes behind a page can be. The page ends behind a row, so if they are rows, they begin
    with one."""
    line, line_end, _ = surplus.partition(b"\n")
    if CONTROL_CHARACTER.search(line) or line.count(b"\t") >= COLUMNS:
        return Surplus.FOREIGN
    if not line_end:
        return Surplus.UNKNOWN
    try:
        line.decode()
    except UnicodeDecodeError:
        return Surplus.FOREIGN
    return Surplus.ROWS if line.count(b"\t") == COLUMNS - 1 else Surplus.FOREIGN


class ResultCompleteness:
    """Judges the pages that one query's engine sends.

    A page with rows behind it is incomplete. One with bytes behind it that may be the beginning of rows is
    confirmed once it was received a second time with the same rows, or without such bytes.
    """

    def __init__(self) -> None:
        self.unconfirmed_pages: set[tuple[str | None, bytes]] = set()

    def is_confirmed(self, response: Response, surplus: bytes | None) -> bool:
        """Return whether a response with these bytes behind it is complete; `surplus` is None if nothing came
        behind it. A response without rows always is."""
        status, fields, body = response
        if status != OK or surplus is None:
            return True
        kind = classify_surplus(surplus)
        if kind is Surplus.FOREIGN:
            return True
        page = (fields.get("x-page"), body)
        was_received_before = page in self.unconfirmed_pages
        if kind is Surplus.UNKNOWN:
            self.unconfirmed_pages.add(page)
        return kind is Surplus.UNKNOWN and was_received_before


class ResultPages:
    """The pages of one result as they are received.

    A page may come into doubt after it was received, as bytes arrived behind it. It is missing then until it
    has been received again; with the same rows it is never in doubt again, so that the requests are bounded.
    """

    def __init__(self, pages: int, first_page: bytes) -> None:
        self.pages = [first_page, *[b""] * (pages - 1)]
        self.missing = set(range(1, pages))
        self.doubted: set[int] = set()
        self.confirmed: set[int] = set()

    def next_missing(self) -> int | None:
        """Return the number of the next page to request, None if all are there."""
        return min(self.missing, default=None)

    def add(self, number: int, page: bytes) -> None:
        """Record a page that was received."""
        if number in self.doubted and self.pages[number] == page:
            self.confirmed.add(number)
        self.pages[number] = page
        self.missing.discard(number)

    def doubt(self, number: int) -> None:
        """Record that bytes arrived behind a page after it was received."""
        if number not in self.confirmed:
            self.doubted.add(number)
            self.missing.add(number)

    def rows(self) -> bytes:
        """Return the rows of all pages."""
        return b"".join(self.pages)

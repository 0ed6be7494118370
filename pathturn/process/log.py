"""The log: lines to standard error, so many a second and then a count of the rest.

Plain lines by print, as the platform reads them; console or JSON lines by structlog, imported only where an
operator's file asks for it, since it alone takes half as much memory as a gateway.
"""

import re
import sys
import time
from collections.abc import Callable
from typing import Any

# A crash of an engine ends some hundred connections at once; more lines than these tell no more.
LINES_A_SECOND = 40
FIELD = re.compile(r"(?<!\S)(\w+)=(\S+)")


class Log:
    def __init__(self, name: str, form: str = "plain") -> None:
        self.name, self.second, self.printed, self.dropped = name, 0, 0, 0
        self.quiet = False  # where a live line has the screen
        self._print = self._plain if form == "plain" else structured(name, form)

    def __call__(self, text: str) -> None:
        if self.quiet:
            return
        second = int(time.time())
        if second != self.second:
            if self.dropped:
                self._print(f"log {self.dropped} lines left out")
            self.second, self.printed, self.dropped = second, 0, 0
        if self.printed >= LINES_A_SECOND:
            self.dropped += 1
            return
        self.printed += 1
        self._print(text)

    def _plain(self, text: str) -> None:
        print(f"{time.time():.3f} {self.name} {text}", file=sys.stderr)


def fields(text: str) -> tuple[str, dict[str, Any]]:
    """A line as its event and its fields; `reason` takes the rest of the line, as it holds words."""
    text, found, reason = text.partition(" reason=")
    told = dict(FIELD.findall(text))
    event = FIELD.sub("", text).strip()
    return " ".join(event.split()), told | ({"reason": reason} if found else {})


def structured(name: str, form: str) -> Callable[[str], None]:
    import structlog

    renderer = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    logger = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), renderer],
    ).bind(gateway=name)

    def print_line(text: str) -> None:
        event, told = fields(text)
        logger.msg(event, **told)

    return print_line

"""Log to standard error with a rate limit and a count of the lines dropped.

Plain lines are printed directly, in the form that the platform reads. Console and JSON lines use structlog,
imported only if an operator's file asks for it: it takes half as much memory as a whole gateway.
"""

import re
import sys
import time
from collections.abc import Callable
from typing import Any

# The crash of an engine ends some hundred connections at once; more lines than these add no information.
MAX_LINES_PER_S = 40
FIELD_PATTERN = re.compile(r"(?<!\S)(\w+)=(\S+)")


class Log:
    """Writes log lines; call it with the text of one."""

    def __init__(self, name: str, log_format: str = "plain") -> None:
        self.name = name
        self.second = 0
        self.printed = 0
        self.dropped = 0
        self.muted = False  # set by commands that show a status line on the terminal
        self._print = self._plain if log_format == "plain" else structured_printer(name, log_format)

    def __call__(self, text: str) -> None:
        if self.muted:
            return
        second = int(time.time())
        if second != self.second:
            if self.dropped:
                self._print(f"log rate limit dropped={self.dropped}")
            self.second = second
            self.printed = 0
            self.dropped = 0
        if self.printed >= MAX_LINES_PER_S:
            self.dropped += 1
            return
        self.printed += 1
        self._print(text)

    def _plain(self, text: str) -> None:
        print(f"{time.time():.3f} {self.name} {text}", file=sys.stderr)


def parse_fields(text: str) -> tuple[str, dict[str, Any]]:
    """Split a line into its event and its `key=value` fields. `reason` has spaces, so it takes the rest of
    the line."""
    text, found, reason = text.partition(" reason=")
    parsed = dict(FIELD_PATTERN.findall(text))
    event = FIELD_PATTERN.sub("", text).strip()
    return " ".join(event.split()), parsed | ({"reason": reason} if found else {})


def structured_printer(name: str, log_format: str) -> Callable[[str], None]:
    """Return a function that prints a line by structlog, as JSON or for a console."""
    import structlog

    renderer = (
        structlog.processors.JSONRenderer()
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    logger = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), renderer],
    ).bind(gateway=name)

    def print_line(text: str) -> None:
        event, parsed = parse_fields(text)
        logger.msg(event, **parsed)

    return print_line

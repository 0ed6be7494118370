"""The log: plain print to standard error, so many lines a second and then a count of the rest."""

import sys
import time

# A crash of an engine ends some hundred connections at once; more lines than these tell no more.
LINES_A_SECOND = 40


class Log:
    def __init__(self, name: str) -> None:
        self.name, self.second, self.printed, self.dropped = name, 0, 0, 0

    def __call__(self, text: str) -> None:
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

    def _print(self, text: str) -> None:
        print(f"{time.time():.3f} {self.name} {text}", file=sys.stderr)

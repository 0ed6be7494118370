"""A pool of reusable receive buffers."""

from collections.abc import Iterator
from contextlib import contextmanager

# Holds one result page with its header, so that most responses are read in one call.
SIZE = 8192


class Buffers:
    """Receive buffers of `SIZE` bytes; grows with the number of buffers in use at once."""

    def __init__(self) -> None:
        self.free: list[memoryview] = []

    @contextmanager
    def lent(self) -> Iterator[memoryview]:
        """Yield a buffer and return it to the pool afterwards."""
        buffer = self.free.pop() if self.free else memoryview(bytearray(SIZE))
        try:
            yield buffer
        finally:
            self.free.append(buffer)

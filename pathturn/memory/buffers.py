"""A pool of reusable receive buffers."""

from collections.abc import Iterator
from contextlib import contextmanager

# Holds one result page with its header, so that most responses are read in one call.
BUFFER_BYTES = 8192


class BufferPool:
    """Receive buffers of `BUFFER_BYTES` bytes; grows with the number of buffers in use at once."""

    def __init__(self) -> None:
        self.free: list[memoryview] = []

    @contextmanager
    def borrowed(self) -> Iterator[memoryview]:
        """Yield a buffer and return it to the pool afterwards."""
        buffer = self.free.pop() if self.free else memoryview(bytearray(BUFFER_BYTES))
        try:
            yield buffer
        finally:
            self.free.append(buffer)

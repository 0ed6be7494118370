"""Receive buffers of one size, used again."""

from collections.abc import Iterator
from contextlib import contextmanager

# One page of a result with its header fits in, so that most reads take one call.
SIZE = 8192


class Buffers:
    def __init__(self) -> None:
        self.free: list[memoryview] = []

    @contextmanager
    def lent(self) -> Iterator[memoryview]:
        buffer = self.free.pop() if self.free else memoryview(bytearray(SIZE))
        try:
            yield buffer
        finally:
            self.free.append(buffer)

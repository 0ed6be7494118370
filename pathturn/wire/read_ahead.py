"""Input of a connection that is read before it is processed, with the times of its arrival. Does no I/O."""

from collections import deque
from typing import NamedTuple

from pathturn.memory.buffers import BUFFER_BYTES

# Pieces that arrive within this time count as one: a client that writes single bytes must not fill the memory
# with their times. By the protocol the requests of one ordering key are written 60 ms apart.
MERGE_INTERVAL_US = 10_000


class InputPiece(NamedTuple):
    """A piece of input; no byte of it was written before `written_from_us`."""

    data: bytes
    written_from_us: int


class ReadAhead:
    """Bytes in the order of their arrival. Those that arrived together are processed together."""

    def __init__(self) -> None:
        self.data = bytearray()
        # For each arrival its number of bytes, and the time before which none of them was written.
        self.arrivals: deque[tuple[int, int]] = deque()

    def __len__(self) -> int:
        return len(self.data)

    def __contains__(self, text: bytes) -> bool:
        return text in self.data

    def append(self, data: memoryview, written_from_us: int) -> None:
        """Add input that has arrived."""
        self.data += data
        size = len(data)
        if self.arrivals and written_from_us - self.arrivals[-1][1] < MERGE_INTERVAL_US:
            earlier_size, written_from_us = self.arrivals.pop()
            size += earlier_size
        self.arrivals.append((size, written_from_us))

    def pop(self) -> InputPiece:
        """Remove and return the next piece, of at most `BUFFER_BYTES`."""
        arrived, written_from_us = self.arrivals.popleft()
        size = min(arrived, BUFFER_BYTES)
        if size < arrived:
            self.arrivals.appendleft((arrived - size, written_from_us))
        piece = bytes(self.data[:size])
        del self.data[:size]
        return InputPiece(piece, written_from_us)

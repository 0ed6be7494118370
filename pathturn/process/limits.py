"""Shares of the process's limits on descriptors and memory."""

# Reserved, so that neither clients nor engines can use them: standard streams, the event loop's own, the
# listener, a connection just accepted, discovery sockets, a configuration file being read.
RESERVED_DESCRIPTORS = 20
# Client connections half-closed by the gateway that wait for the client's own close.
MAX_HALF_CLOSED = 12
# A line with a statement takes some hundred bytes. Even if all clients stop within a line, their incomplete
# lines together take no more than this fraction of the memory.
MAX_LINE_LIMIT_BYTES = 65_536
MIN_LINE_LIMIT_BYTES = 8_192
LINE_MEMORY_DIVISOR = 16


def connection_limits(sockets: int) -> tuple[int, int]:
    """Return the limits of client and of engine connections.

    By the protocol regular clients hold at most a third of the descriptors. The rest of the clients' share
    serves to evict the others, of which hundreds may connect at once.
    """
    clients = sockets * 9 // 20
    return clients, max(1, sockets - clients - RESERVED_DESCRIPTORS - MAX_HALF_CLOSED)


def max_line_bytes(memory_mb: int, clients: int) -> int:
    """Return the longest line accepted from a client, in bytes."""
    per_client_bytes = (memory_mb << 20) // LINE_MEMORY_DIVISOR // max(1, clients)
    return max(MIN_LINE_LIMIT_BYTES, min(MAX_LINE_LIMIT_BYTES, per_client_bytes))

"""Shares of the process's limits on descriptors and memory."""

# Reserved, so that neither clients nor engines can use them: standard streams, the event loop's own, the
# listener, a connection just accepted, discovery sockets, a configuration file being read.
RESERVED_DESCRIPTORS = 20
# Client connections half-closed by the gateway that wait for the client's own close.
MAX_HALF_CLOSED = 12
# Bounds of the limit on the length of a client's line; a line with a statement takes some hundred bytes.
MAX_LINE_LIMIT_BYTES = 65_536
MIN_LINE_LIMIT_BYTES = 8_192
# What a gateway holds without any connection, and for each one. Connections count at their limit, so that
# neither kind of them can take what open requests count on.
BASE_MEMORY_BYTES = 27 << 20
CLIENT_CONNECTION_BYTES = 16 << 10
ENGINE_CONNECTION_BYTES = 24 << 10
MIN_REQUEST_MEMORY_BYTES = 2 << 20
# Even if all clients stop within a line, their incomplete lines take at most this part of the memory.
LINE_MEMORY_DIVISOR = 16


def connection_limits(descriptor_limit: int) -> tuple[int, int]:
    """Return the limits of client and of engine connections.

    By the protocol regular clients hold at most a third of the descriptors. The rest of the clients' share
    is for other clients, of which hundreds may connect at once, until they are evicted or time out.
    """
    clients = descriptor_limit * 9 // 20
    return clients, max(1, descriptor_limit - clients - RESERVED_DESCRIPTORS - MAX_HALF_CLOSED)


def max_line_bytes(memory_mb: int, clients: int) -> int:
    """Return the longest line accepted from a client, in bytes."""
    per_client_bytes = (memory_mb << 20) // LINE_MEMORY_DIVISOR // max(1, clients)
    return max(MIN_LINE_LIMIT_BYTES, min(MAX_LINE_LIMIT_BYTES, per_client_bytes))


def request_memory_bytes(memory_mb: int, clients: int, engines: int) -> int:
    """Return how much memory open requests and their results may take, beside the most connections to clients
    and to engines and the clients' incomplete lines."""
    lines_bytes = clients * max_line_bytes(memory_mb, clients)
    connections_bytes = clients * CLIENT_CONNECTION_BYTES + engines * ENGINE_CONNECTION_BYTES
    left_bytes = (memory_mb << 20) - BASE_MEMORY_BYTES - connections_bytes - lines_bytes
    return max(MIN_REQUEST_MEMORY_BYTES, left_bytes)

"""How many connections each side may hold under the limit on descriptors."""

# Standard streams, the event loop's own, the listener, the directory's socket, and some that are closing.
OWN = 32


def shares(sockets: int) -> tuple[int, int]:
    """For clients and for engines: clients hold no more than a third by the protocol."""
    clients = sockets // 3
    return clients, max(1, sockets - clients - OWN)

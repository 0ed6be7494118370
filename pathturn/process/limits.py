"""What each side may hold under the limits on descriptors and memory."""

# Lent to nobody, so that neither clients nor engines can take them: standard streams, the event loop's own,
# the listener, the connection just accepted, the directory's sockets, a configuration being read anew; and
# clients' connections that this side has ended and that wait for their clients' own end.
OWN, PARTING = 20, 12
# A line with a statement takes some hundred bytes; even where all clients stop short within one, their lines
# take no more than this part of the memory together.
LONGEST_LINE, SHORTEST_LINE, LINES_PART = 65_536, 8_192, 16


def shares(sockets: int) -> tuple[int, int]:
    """For clients and for engines. The usual clients hold no more than a third by the protocol; the others,
    of whom hundreds may come at once, are seen off from what is beyond that."""
    clients = sockets * 9 // 20
    return clients, max(1, sockets - clients - OWN - PARTING)


def longest_line(memory_mb: int, clients: int) -> int:
    return max(SHORTEST_LINE, min(LONGEST_LINE, (memory_mb << 20) // LINES_PART // max(1, clients)))

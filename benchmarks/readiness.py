"""Whether a gateway that has been started answers `ping`."""

from collections.abc import Callable
from time import monotonic

import gevent
from gevent import socket

PING = b'{"jsonrpc":"2.0","id":1,"method":"ping"}\n'
HEALTHY = b'"healthy":true'
ANSWER_S = 1.0  # a ping that is not answered in so long is sent again
RETRY_S = 0.002


def wait_until_healthy(
    address: tuple[str, int], within_s: float, runs: Callable[[], bool] = lambda: True
) -> bool:
    """Ping it until it says that it is healthy; return whether it did in time, and while it ran."""
    end = monotonic() + within_s
    while monotonic() < end and runs():
        if _is_healthy(address):
            return True
        gevent.sleep(RETRY_S)
    return False


def _is_healthy(address: tuple[str, int]) -> bool:
    try:
        with gevent.Timeout(ANSWER_S, TimeoutError), socket.create_connection(address) as link:
            link.sendall(PING)
            return HEALTHY in link.recv(4096)
    except OSError:
        return False

"""Connection pool for engines: reuses idle connections and limits the number of all of them together."""

from collections import defaultdict
from collections.abc import Callable
from functools import partial
from math import inf

import gevent
from gevent.lock import BoundedSemaphore

from pathturn.memory.engine_registry import Endpoint, EngineRegistry
from pathturn.wire.engine_connection import (
    ConnectTimeoutError,
    EngineConnection,
    RequestNotSentError,
    peer_closed,
)
from pathturn.wire.engine_processes import EngineProcesses
from pathturn.wire.result_verification import ResultVerification

# Idle connections are closed after half the engines' own idle timeout, so that no request is sent on a
# connection that the engine is closing.
IDLE_TIMEOUT_DIVISOR = 2
# Connections opened to verify results that are unused for so long after the last verification are closed.
SURPLUS_IDLE_US = 3_000_000
MAX_SURPLUS_CLOSED = 64  # at once, as closing hundreds would delay a round


class ConnectionPool:
    """Connections to engines, pooled by endpoint."""

    def __init__(
        self,
        cap: int,
        engine_idle_timeout_us: int,
        connect_timeout_us: int,
        clock: Callable[[], int],
        connect: Callable[[Endpoint, float], EngineConnection],
        log: Callable[[str], None],
        engine_processes: EngineProcesses | None = None,
    ) -> None:
        self.engine_processes = engine_processes or EngineProcesses(clock, EngineRegistry())
        self.slots = BoundedSemaphore(cap)
        self.clock, self.connect, self.log = clock, connect, log
        self.idle_timeout_us = engine_idle_timeout_us // IDLE_TIMEOUT_DIVISOR
        self.connect_timeout_s = connect_timeout_us / 1e6
        self.idle: dict[Endpoint, list[EngineConnection]] = defaultdict(list)
        self.waiters = 0
        # Connections whose attempt timed out while they were still being established, at most one for an
        # endpoint, each with the greenlet that waits for it. One that succeeds later serves the next attempt.
        self.pending_connections: dict[Endpoint, gevent.Greenlet] = {}
        self.identical_response_endpoints: set[Endpoint] = set()
        self.result_verification = ResultVerification(clock)

    def acquire(self, endpoint: Endpoint, new: bool = False) -> EngineConnection:
        """Return an idle connection to the endpoint, or a new one; `new` rules out idle ones."""
        idle = self.idle[endpoint]
        # Where identical responses are verified, a late duplicate of an earlier one could be mistaken for the
        # next one, so the connection idle for longest is used: what it carried is too long ago for that.
        # Elsewhere the last used one is taken, so that surplus connections reach their idle timeout.
        longest_idle_first = (
            endpoint in self.identical_response_endpoints and not self.result_verification.engines_trusted()
        )
        while idle and not new:
            connection = idle.pop(0 if longest_idle_first else -1)
            if connection.is_usable():
                return connection
            self.discard(connection, "engine_closed")
        if self.engine_processes.registry.is_replaced(endpoint):
            raise RequestNotSentError("engine_replaced")
        self._acquire_slot()
        try:
            connection = self.connect(endpoint, self.connect_timeout_s)
            self.engine_processes.connected(connection)
            return connection
        except ConnectTimeoutError as timeout:
            self._await_pending_connection(timeout.connection)
            raise
        except BaseException:
            self.slots.release()
            raise

    def expect_identical_responses(self, endpoint: Endpoint) -> None:
        """Note that an endpoint gives the same response to more than one request."""
        self.identical_response_endpoints.add(endpoint)

    def _await_pending_connection(self, connection: EngineConnection) -> None:
        """Wait for a connection to be established, for as long as an idle one is kept; give up earlier if
        its slot is needed or its engine is removed."""
        if connection.endpoint in self.pending_connections:
            self.discard(connection, "connect_timeout")
            return
        self.log(f"engine {connection.host} code=connect_pending")
        waiter = self.pending_connections[connection.endpoint] = gevent.spawn(
            connection.wait_established, self.idle_timeout_us / 1e6
        )
        # A link also runs if the waiter is killed before it starts.
        waiter.link(partial(self._finish_pending_connection, connection))

    def _finish_pending_connection(self, connection: EngineConnection, waiter: gevent.Greenlet) -> None:
        del self.pending_connections[connection.endpoint]
        if waiter.value is True:
            self.engine_processes.connected(connection)
            self.release(connection)
        else:
            self.discard(connection, "connect_timeout")

    def release(self, connection: EngineConnection) -> None:
        """Return a connection to the pool; it is closed if unusable or if others wait for a slot."""
        if code := connection.retire_reason or ("connection_limit" if self.waiters else None):
            self.discard(connection, code)
            return
        connection.idle_since_us = self.clock()
        self.idle[connection.endpoint].append(connection)

    def prune(self) -> None:
        """Close the connections whose idle timeout has expired, and some of those that were opened for
        verifications and are not needed any more."""
        now_us = self.clock()
        self._discard_closed()
        self._close_idle_since(now_us - self.idle_timeout_us)
        trusted_from_us = self.result_verification.trusted_from_us
        if trusted_from_us is not None and now_us - trusted_from_us >= SURPLUS_IDLE_US:
            self._close_idle_since(trusted_from_us, at_most=MAX_SURPLUS_CLOSED)

    def _discard_closed(self) -> None:
        """Discard the idle connections that their engines have closed: what is left tells whether a process
        lives."""
        for idle in self.idle.values():
            for connection in [each for each in idle if peer_closed(each.socket)]:
                idle.remove(connection)
                self.discard(connection, "engine_closed")

    def _close_idle_since(self, unused_since_us: int, at_most: float = inf) -> None:
        """Close connections that have been idle since then or longer."""
        closed = 0
        for endpoint, idle in list(self.idle.items()):
            while idle and idle[0].idle_since_us <= unused_since_us and closed < at_most:
                self.discard(idle.pop(0), "idle")
                closed += 1
            if not idle:
                del self.idle[endpoint]  # else the dict would grow without bound as engines are replaced

    def retain(self, endpoints: set[Endpoint]) -> None:
        """Close idle connections to all other endpoints: their addresses may be reused by new engines."""
        self.identical_response_endpoints &= endpoints
        self.result_verification.retain(endpoints)
        self.engine_processes.retain(endpoints)
        for endpoint in self.idle.keys() - endpoints:
            for connection in self.idle.pop(endpoint):
                self.discard(connection, "engine_removed")
        for endpoint in self.pending_connections.keys() - endpoints:
            self.pending_connections[endpoint].kill(block=False)

    def close(self) -> None:
        """Close all idle and pending connections."""
        self.retain(set())

    def _acquire_slot(self) -> None:
        """Take a slot under the connection limit; if none is free, free one and wait in turn. Waiting is no
        failure of the engine: the limit is the gateway's own."""
        if self.slots.acquire(blocking=False):
            return
        fullest = max(self.idle.values(), key=len, default=None)
        if fullest:
            self.discard(fullest.pop(0), "connection_limit")
        elif self.pending_connections:
            next(iter(self.pending_connections.values())).kill(block=False)
        self.log("limit of connections to engines reached")
        self.waiters += 1
        try:
            self.slots.acquire()
        finally:
            self.waiters -= 1

    def discard(self, connection: EngineConnection, code: str) -> None:
        """Close a connection and free its slot."""
        if connection.has_surplus_data():
            self.result_verification.record_duplicate(connection.endpoint)
        self.engine_processes.closed(connection)
        connection.close(code)
        self.slots.release()

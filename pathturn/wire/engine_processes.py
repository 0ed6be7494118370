"""Tells when an engine's process has ended, so that nothing is sent to another one at its address."""

from collections import defaultdict
from collections.abc import Callable

from pathturn.memory.engine_registry import Endpoint, EngineRegistry
from pathturn.wire.engine_connection import EngineConnection, peer_closed

# By the protocol a list tells within 1.5 s what has changed; it is asked for every 0.25 s.
LIST_UPDATE_US = 1_750_000


class EngineProcesses:
    """The connections to each engine, and when its process was seen to end.

    When a process ends, all of its connections are lost at once. A single one may also be reset by the
    network, and says nothing as long as another one shows that the process lives. The list tells later what
    is at the address then: nothing, the same engine, or another one.
    """

    def __init__(
        self,
        clock: Callable[[], int],
        registry: EngineRegistry,
        on_end: Callable[[Endpoint], None] = lambda endpoint: None,
    ) -> None:
        """`on_end` is called when a process is seen to have ended."""
        self.clock = clock
        self.registry = registry
        self.on_end = on_end
        self.connections: dict[Endpoint, set[EngineConnection]] = defaultdict(set)
        self.ended_at_us: dict[Endpoint, int] = {}

    def connected(self, connection: EngineConnection) -> None:
        """Note that a connection is established."""
        self.connections[connection.endpoint].add(connection)

    def closed(self, connection: EngineConnection) -> None:
        """Note that a connection is closed from this side."""
        connections = self.connections.get(connection.endpoint)
        if connections is not None:
            connections.discard(connection)
            if not connections:
                del self.connections[connection.endpoint]

    def connection_lost(self, connection: EngineConnection) -> None:
        """Note that the engine's side has ended a connection that owed a response."""
        endpoint = connection.endpoint
        others = self.connections.get(endpoint, set()) - {connection}
        if others and all(peer_closed(other.socket) for other in others):
            self.ended_at_us[endpoint] = self.clock()
            self.on_end(endpoint)

    def has_ended_since(self, endpoint: Endpoint, since_us: int) -> bool:
        """Return whether the process was seen to end since then."""
        return self.ended_at_us.get(endpoint, 0) >= since_us > 0

    def list_update_us(self, endpoint: Endpoint) -> int:
        """Return how long it takes until the list tells what is at the address; 0 if it can be relied on."""
        ended_at_us = self.ended_at_us.get(endpoint)
        return 0 if ended_at_us is None else max(0, ended_at_us + LIST_UPDATE_US - self.clock())

    def retain(self, endpoints: set[Endpoint]) -> None:
        """Forget the ends of the processes of all other engines: the list has told of them."""
        self.ended_at_us = {
            endpoint: at_us for endpoint, at_us in self.ended_at_us.items() if endpoint in endpoints
        }

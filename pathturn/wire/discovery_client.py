"""Discovery client: queries the directory of engines by DNS over UDP."""

from collections.abc import Callable

import gevent
from gevent import socket
from gevent.pool import Group

from pathturn.core import interface as names
from pathturn.memory.facade import Facade
from pathturn.wire import discovery_protocol

# The largest datagram. An engine takes about 90 to 110 bytes, so the protocol's 8,000 would hold about 80
# engines; a truncated list is discarded, and the drains in it would be missed.
MAX_DATAGRAM_BYTES = 65_535
# Well under the time after which the directory regards a change as delivered; responses are small in
# comparison. Queries overlap: the directory regards a change as delivered once it has sent the response, so
# neither a lost response nor a slow directory may delay the next query.
QUERY_INTERVAL_S = 0.25
RESPONSE_TIMEOUT_S = 0.5


class DiscoveryClient:
    """Keeps the facade's list of engines up to date from the directory."""

    def __init__(
        self,
        facade: Facade,
        on_demand: bool,
        last_serial: int,
        changed: Callable[[], None],
        log: Callable[[str], None],
    ) -> None:
        """With `on_demand` the directory is queried only while the dispatcher subscribes to the list."""
        self.facade = facade
        self.on_demand = on_demand
        self.changed = changed
        self.log = log
        self.last_serial = last_serial
        self.query_id = 0
        self.last_response = b""  # without its query id
        self.poller: gevent.Greenlet | None = None
        self.queries = Group()
        self.last_error = ""

    def use_directory(self, address: tuple[str, int]) -> None:
        """Query the directory at this address from now on, without waiting for responses of the previous one.

        Serials continue over a change of directories, but the previous one's last response must not be
        compared with the first response of this one.
        """
        self.stop()
        self.last_response = b""
        self.poller = gevent.spawn(self._poll, address)

    def stop(self) -> None:
        """Stop querying and abandon pending queries."""
        if self.poller is not None:
            self.poller.kill(block=False)
        self.queries.kill(block=False)

    def _poll(self, address: tuple[str, int]) -> None:
        while True:
            if self.on_demand:
                self.facade.list_subscribed.wait()
            query = self.queries.spawn(self._query, address)
            if self.on_demand and not query.get():
                self.facade.list_subscribed.clear()
                self.facade.update_engines(names.LIST_UNAVAILABLE, [])
            gevent.sleep(QUERY_INTERVAL_S)

    def _query(self, address: tuple[str, int]) -> bool:
        """Send one query; return whether a valid response came in time."""
        self.query_id = query_id = (self.query_id + 1) % 65536
        try:
            # One socket for each query, so that its errors and late responses cannot affect another.
            with (
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as connection,
                gevent.Timeout(RESPONSE_TIMEOUT_S),
            ):
                connection.connect(address)
                connection.send(discovery_protocol.build_query(query_id))
                while not self._handle_response(connection.recv(MAX_DATAGRAM_BYTES), query_id):
                    pass
                self.last_error = ""
                return True
        except gevent.Timeout:
            return False
        except OSError as error:
            previous_error = self.last_error
            self.last_error = f"{type(error).__name__} reason={error.strerror}"
            if self.last_error != previous_error:  # log a lasting error once, not for each query
                self.log(f"discovery code=query_failed_{self.last_error}")
            return False

    def _handle_response(self, packet: bytes, query_id: int) -> bool:
        """Pass a newer list on to the facade; return whether the response was valid."""
        if packet[2:] == self.last_response and packet[:2] == query_id.to_bytes(2, "big"):
            return True
        try:
            # Lists with an older serial are not parsed: they would restore engines that are draining.
            serial, rows = discovery_protocol.parse_response(packet, query_id, self.last_serial)
        except discovery_protocol.MalformedResponseError as error:
            self.log(f"discovery bytes={len(packet)} code=malformed_response reason={error}")
            return False
        if rows is not None or serial == self.last_serial:
            self.last_response = packet[2:]
        if rows is not None:
            self.last_serial = serial
            self.facade.update_engines(names.LIST_SNAPSHOT, rows)
            self.changed()
        return True

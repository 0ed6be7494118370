"""Discovery client: keeps the list of engines up to date from a directory that is queried by DNS over UDP."""

from collections.abc import Callable
from time import monotonic

import gevent

from pathturn.core import interface as names
from pathturn.memory.facade import Facade
from pathturn.wire import discovery_protocol
from pathturn.wire.directory_session import DirectorySession

# Well under the time after which the directory regards a change as delivered; responses are small in
# comparison. Queries overlap: the directory regards a change as delivered once it has sent the response, so
# neither a lost response nor a slow directory may delay the next query.
QUERY_INTERVAL_S = 0.25
# By the protocol each change counts as delivered by then.
UNAVAILABLE_AFTER_S = 7.0


class DiscoveryClient:
    """Queries the directory and passes newer lists on to the facade."""

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
        self.last_response = b""  # without its query id
        self.session: DirectorySession | None = None
        self.poller: gevent.Greenlet | None = None
        self.subscribed_at_s = 0.0

    def use_directory(self, address: tuple[str, int]) -> None:
        """Query the directory at this address from now on, without waiting for responses of the previous one.

        Serials continue over a change of directories, but the previous one's last response must not be
        compared with the first response of this one.
        """
        self.stop()
        self.last_response = b""
        self.session = DirectorySession(address, self._handle_response, self.log)
        self.poller = gevent.spawn(self._poll, self.session)

    def stop(self) -> None:
        """Stop querying and abandon pending queries."""
        if self.poller is not None:
            self.poller.kill(block=False)
        if self.session is not None:
            self.session.close()
            self.session = None

    def _poll(self, session: DirectorySession) -> None:
        while not session.closed:
            if self.on_demand:
                self._await_subscription(session)
            session.send_query()
            gevent.sleep(QUERY_INTERVAL_S)

    def _await_subscription(self, session: DirectorySession) -> None:
        """Wait until the dispatcher subscribes to the list; end a subscription that is without response."""
        silent_since_s = max(session.responded_at_s, self.subscribed_at_s)
        if self.facade.list_subscribed.is_set() and monotonic() - silent_since_s >= UNAVAILABLE_AFTER_S:
            self.facade.list_subscribed.clear()
            self.facade.update_engines(names.LIST_UNAVAILABLE, [])
        if not self.facade.list_subscribed.is_set():
            self.facade.list_subscribed.wait()
            self.subscribed_at_s = monotonic()

    def _handle_response(self, packet: bytes, query_id: int) -> bool:
        """Pass a newer list on to the facade; return whether the response was valid."""
        if packet[2:] == self.last_response:
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

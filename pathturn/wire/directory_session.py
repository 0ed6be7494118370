"""The queries to one directory, over one socket."""

from collections.abc import Callable
from time import monotonic

import gevent
from gevent import socket

from pathturn.wire import discovery_protocol
from pathturn.wire.pending_queries import PendingQueries

# The largest datagram. An engine takes about 90 to 110 bytes, so the protocol's 8,000 would hold about 80
# engines; a truncated list is discarded, and the drains in it would be missed.
MAX_DATAGRAM_BYTES = 65_535
# A response that takes longer is used as well, but logged.
LATE_RESPONSE_S = 0.5
# After so long without a response the socket is replaced, as its local address may have become unusable.
MAX_SILENCE_S = 30.0
RECEIVE_ERROR_DELAY_S = 0.01


class DirectorySession:
    """Sends queries to one directory and accepts one response to each, however late it comes.

    All queries share a socket, so that neither sockets nor memory grow with the delay of a slow directory. An
    error of one query does not affect the others.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handle_response: Callable[[bytes, int], bool],
        log: Callable[[str], None],
    ) -> None:
        """`handle_response` takes a packet and the id of its query and returns whether it is valid."""
        self.address = address
        self.handle_response = handle_response
        self.log = log
        self.pending = PendingQueries()
        self.responded_at_s = monotonic()  # when the last response came, or the socket was opened
        self.answered_query_sent_at_s = 0.0  # of the newest query that has its response
        self.late = False  # whether that response was late
        self.last_error = ""
        self.socket: socket.socket | None = None
        self.receiver: gevent.Greenlet | None = None
        self.closed = False

    def send_query(self) -> None:
        """Send a query, unless the session is closed; an error is logged."""
        if self.closed:
            return
        if monotonic() - self.responded_at_s >= MAX_SILENCE_S:
            self._close_socket()
        try:
            if self.socket is None:
                self._open()
            self._send(discovery_protocol.build_query(self.pending.add(monotonic())))
        except ConnectionRefusedError as error:
            self._log_error(error)
        except OSError as error:
            self._log_error(error)
            self._close_socket()

    def close(self) -> None:
        """Abandon all pending queries for good."""
        self.closed = True
        self._close_socket()

    def _close_socket(self) -> None:
        if self.receiver is not None:
            self.receiver.kill(block=False)
            self.receiver = None
        if self.socket is not None:
            # Closed at once: until it is killed, the receiver could still read a response.
            self.socket.close()
            self.socket = None

    def _open(self) -> None:
        self.responded_at_s = monotonic()
        self.pending = PendingQueries()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.connect(self.address)
        self.receiver = gevent.spawn(self._receive, self.socket)

    def _send(self, query: bytes) -> None:
        try:
            self.socket.send(query)
        except ConnectionRefusedError as error:
            # The system reports so that an earlier query was refused; this one has not been sent.
            self._log_error(error)
            self.socket.send(query)

    def _receive(self, connection: socket.socket) -> None:
        """Handle what comes over a socket until that is closed."""
        while connection is self.socket:
            try:
                packet = connection.recv(MAX_DATAGRAM_BYTES)
            except OSError as error:
                if connection is self.socket:
                    self._log_error(error)
                    gevent.sleep(RECEIVE_ERROR_DELAY_S)
            else:
                self._accept(packet)

    def _accept(self, packet: bytes) -> None:
        query_id = discovery_protocol.response_id(packet)
        sent_at_s = self.pending.sent_at(query_id)
        if sent_at_s is None:
            self.log(f"discovery bytes={len(packet)} code=unexpected_response")
            return
        if not self.handle_response(packet, query_id):
            return
        self.pending.remove(query_id)
        self.last_error = ""
        self.responded_at_s = monotonic()
        self._log_lateness(sent_at_s)

    def _log_lateness(self, sent_at_s: float) -> None:
        """Log that responses have begun, or ceased, to be late; one that was overtaken tells neither."""
        if sent_at_s < self.answered_query_sent_at_s:
            return
        self.answered_query_sent_at_s = sent_at_s
        delay_s = self.responded_at_s - sent_at_s
        late = delay_s > LATE_RESPONSE_S
        if late is not self.late:
            code = "late_response" if late else "timely_response"
            self.log(f"discovery code={code} after_ms={delay_s * 1000:.0f}")
        self.late = late

    def _log_error(self, error: OSError) -> None:
        """Log a lasting error once, not for each query."""
        previous_error = self.last_error
        self.last_error = f"{type(error).__name__} reason={error.strerror}"
        if self.last_error != previous_error:
            self.log(f"discovery code=query_failed_{self.last_error}")

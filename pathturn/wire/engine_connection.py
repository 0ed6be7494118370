"""One connection to an engine: blocking requests, one at a time."""

import select
import struct
from collections.abc import Callable
from math import inf
from time import monotonic

from gevent import socket
from gevent.socket import wait_write

from pathturn.memory.buffers import BufferPool
from pathturn.memory.engine_registry import Endpoint
from pathturn.wire import engine_protocol
from pathturn.wire.engine_protocol import OK, SERVER_ERROR, Response, ResultFingerprint
from pathturn.wire.http import MAX_BODY_BYTES, MalformedResponseError, ResponseParser
from pathturn.wire.reader import nothing_to_read

# SO_LINGER with a timeout of zero: closing resets the connection and discards unsent data.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Results remembered for each connection, which bounds its memory; a connection that has received more within
# the duplicate window is not reused.
MAX_RECENT_RESULTS = 1024
POLL_STATUSES = (OK, 202)  # sent only in response to polls and page requests
# A response that equals one received so recently on the same connection may be a duplicate of it: duplicates
# have been seen up to 0.7 s late. Responses to control requests are all equal.
DUPLICATE_WINDOW_S = 1.0
HANGUP_EVENTS = select.POLLRDHUP | select.POLLERR | select.POLLHUP


class DispatchTimeoutError(BaseException):
    """The time limit of the dispatch, or of one of its control requests, has passed. No Exception, so that no
    handler of errors catches it."""


class ConnectFailedError(Exception):
    """No connection was established, so nothing ran. `refused` tells that no process listens there."""

    def __init__(self, cause: OSError) -> None:
        super().__init__(type(cause).__name__)
        self.refused = isinstance(cause, ConnectionRefusedError)


class ConnectTimeoutError(ConnectFailedError):
    """The connection was not established in time and is still pending; whoever catches this owns it."""

    def __init__(self, cause: OSError, connection: "EngineConnection") -> None:
        super().__init__(cause)
        self.connection = connection


class ConnectionLostError(Exception):
    """The connection was closed, or its data became invalid, before the response was complete."""


class CorruptedResponseError(ConnectionLostError):
    """What the engine sent is no valid response."""


class SuspectedDuplicateError(ConnectionLostError):
    """The result equals one received on this connection a short time ago: it is either a duplicate of that,
    or the engine gives equal results."""

    def __init__(self, fingerprint: ResultFingerprint) -> None:
        super().__init__("duplicate")
        self.fingerprint = fingerprint


class RequestNotSentError(ConnectionLostError):
    """The connection was closed before the request was sent completely, so it had no effect."""


def never_known(fingerprint: ResultFingerprint) -> bool:
    """Treat every result that equals a recent one as a possible duplicate."""
    return False


def has_unread_data(connection: socket.socket) -> bool:
    """Return whether the socket has unread data; EOF is none."""
    timeout_s = connection.gettimeout()
    connection.settimeout(0)
    try:
        return bool(connection.recv(1, socket.MSG_PEEK))
    except OSError:
        return False
    finally:
        connection.settimeout(timeout_s)


def peer_closed(connection: socket.socket) -> bool:
    """Return whether the peer has closed the connection, even if data before that is unread."""
    if connection.closed:
        return True
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLRDHUP)
    return any(events & HANGUP_EVENTS for _, events in poll.poll(0))


class EngineConnection:
    """A connection to an engine. Logs its number of requests and a reason code when it is closed."""

    def __init__(
        self, endpoint: Endpoint, connect_timeout_s: float, buffers: BufferPool, log: Callable[[str], None]
    ) -> None:
        _, address = self.endpoint = endpoint
        self.host = f"{address[0]}:{address[1]}"
        self.buffers = buffers
        self.log = log
        self.parser = ResponseParser()
        self.requests = 0
        self.idle_since_us = 0
        self.response_pending = False
        self.had_server_error = False
        # The timeout that passed while the pending response was being read.
        self.expired: DispatchTimeoutError | None = None
        # The time at which each result of the last DUPLICATE_WINDOW_S was received last, oldest first.
        self.recent_results: dict[ResultFingerprint, float] = {}
        self.last_control_response_s = -inf
        self.socket = socket.socket()
        try:
            # create_connection would resolve the numeric address in a thread, at three times the cost.
            self.socket.settimeout(connect_timeout_s)
            self.socket.connect(address)
        except TimeoutError as error:
            raise ConnectTimeoutError(error, self) from error
        except OSError as error:
            self.close(f"connect_failed_{type(error).__name__}")
            # A peer that resets the connection is running; as ConnectFailedError it would count as restarted.
            if isinstance(error, ConnectionResetError):
                raise RequestNotSentError("ConnectionResetError") from error
            raise ConnectFailedError(error) from error
        self._set_tcp_nodelay()

    def _set_tcp_nodelay(self) -> None:
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def wait_established(self, timeout_s: float) -> bool:
        """Wait for a connection that was not established in time; return whether it is usable."""
        try:
            wait_write(self.socket.fileno(), timeout=timeout_s, timeout_exc=TimeoutError())
            self.socket.getpeername()  # fails if the connection was refused, reset, or never initiated
            self._set_tcp_nodelay()
        except OSError:
            return False
        return True

    def call(
        self,
        request: bytes,
        timeout_s: float,
        is_known: Callable[[ResultFingerprint], bool] = never_known,
    ) -> Response:
        """Send a request and return its response as `read_response` does."""
        self.requests += 1
        self.response_pending = True
        self.socket.settimeout(timeout_s)
        try:
            self.socket.sendall(request)
        except OSError as error:
            raise RequestNotSentError(type(error).__name__) from error
        return self.read_response(is_known)

    def _record_response(self, response: Response, is_known: Callable[[ResultFingerprint], bool]) -> None:
        """Remember what a response means for the next ones on this connection.

        Every response passes here, whatever it is read for: a duplicate of one that does not would be taken
        for the response to a later request.
        """
        self.had_server_error |= response[0] >= SERVER_ERROR
        fingerprint = engine_protocol.result_fingerprint(*response)
        if fingerprint is None:
            return
        is_repeated = self._remember_result(fingerprint)
        if is_repeated and not is_known(fingerprint):
            raise SuspectedDuplicateError(fingerprint)

    def _remember_result(self, fingerprint: ResultFingerprint) -> bool:
        """Remember a result; return whether it equals one received within the duplicate window."""
        now_s = monotonic()
        self._forget_results(now_s - DUPLICATE_WINDOW_S)
        is_repeated = self.recent_results.pop(fingerprint, None) is not None
        self.recent_results[fingerprint] = now_s  # now the newest
        return is_repeated

    def _forget_results(self, received_until_s: float) -> None:
        """Forget the results received until then; they are in the order of their times."""
        while self.recent_results:
            oldest = next(iter(self.recent_results))
            if self.recent_results[oldest] > received_until_s:
                return
            del self.recent_results[oldest]

    def call_control(self, request: bytes, timeout_s: float) -> int:
        """Send a cancel or priority request and return the status of its response.

        Responses to polls and page requests are skipped: they belong to an earlier request. Taken for the
        response to a cancel request, they would confirm the end of a query that still runs.
        """
        response = self.call(request, timeout_s)
        while response[0] in POLL_STATUSES:
            self.response_pending = True
            response = self.read_response()
        previous_s = self.last_control_response_s
        self.last_control_response_s = monotonic()
        if self.last_control_response_s - previous_s < DUPLICATE_WINDOW_S:
            raise ConnectionLostError("duplicate")
        return response[0]

    def read_response(self, is_known: Callable[[ResultFingerprint], bool] = never_known) -> Response:
        """Return the pending response as status, header fields and body; a part may have been read already.

        Raise SuspectedDuplicateError for a result that equals a recent one, unless it is known to be the
        request's own.
        """
        try:
            with self.buffers.borrowed() as buffer:
                while not self.parser.feed(self._receive(buffer)):
                    pass
                if self.parser.status == OK:
                    self._receive_surplus(buffer)
            self.response_pending = False
            self.expired = None
            response = self.parser.take()
        except OSError as error:
            raise ConnectionLostError(type(error).__name__) from error
        except MalformedResponseError as error:
            raise CorruptedResponseError(str(error)) from error
        self._record_response(response, is_known)
        return response

    def _receive_surplus(self, buffer: memoryview) -> None:
        """Parse what has arrived behind a result: it may belong to that, if its length is too small."""
        received_bytes = 0
        while received_bytes < MAX_BODY_BYTES and has_unread_data(self.socket):
            size = self.socket.recv_into(buffer)
            self.parser.feed(buffer[:size])
            received_bytes += size

    def _receive(self, buffer: memoryview) -> memoryview:
        """Return what is received next.

        After a stall of this process a timer fires before data that arrived in time is read. So what is there
        when it fires is returned, and the timeout is raised once there is nothing more to read.
        """
        expired = self.expired
        if expired is not None and nothing_to_read(self.socket):
            self.expired = None
            raise expired
        try:
            size = self.socket.recv_into(buffer)
        except (TimeoutError, DispatchTimeoutError) as timeout:
            if nothing_to_read(self.socket):
                raise
            if isinstance(timeout, DispatchTimeoutError):
                self.expired = timeout
            size = self.socket.recv_into(buffer)
        if not size:
            raise ConnectionLostError("peer_closed")
        return buffer[:size]

    @property
    def retire_reason(self) -> str | None:
        """The reason code if the connection must not be reused, else None.

        Error responses are all equal: a duplicate of one would be attributed to another query and confirm
        the end of that.
        """
        if self.had_server_error:
            return "server_error"
        if not self.parser.keep_alive:
            return "engine_closing"
        if len(self.recent_results) >= MAX_RECENT_RESULTS:
            return "result_history_full"
        return None

    def is_usable(self) -> bool:
        """Return whether the idle connection is still usable."""
        return nothing_to_read(self.socket)

    @property
    def surplus(self) -> bytes | None:
        """What the engine has sent behind the last response, None if it has sent nothing."""
        return self.parser.surplus if self.parser.received_surplus else None

    def has_surplus_data(self) -> bool:
        """Return whether the engine has sent more than one response to each request."""
        if self.response_pending:
            return False
        return self.parser.received_surplus or has_unread_data(self.socket)

    def close(self, code: str) -> None:
        """Close the connection and log the reason code.

        With a response pending the connection is reset, so that nothing unsent reaches the engine: during a
        network partition the system would keep it, and a query could start long after it was cancelled.
        """
        if self.response_pending:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.socket.close()
        self.log(f"engine {self.host} requests={self.requests} code={code}")

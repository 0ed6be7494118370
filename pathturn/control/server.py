"""Server of the control socket: a Unix socket that only this user can open. Connections are limited in
number, line length and time, as those of clients are."""

import os
import stat
from collections.abc import Callable
from pathlib import Path

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.server import StreamServer

from pathturn.config.read import MAX_DOCUMENT_BYTES
from pathturn.control.protocol import PARSE_ERROR, RequestHandler, error_line
from pathturn.wire.jsonrpc import LineSplitter, StreamError

MAX_CONNECTIONS = 8
MAX_LINE_BYTES = MAX_DOCUMENT_BYTES + 4096  # a document and the rest of its request
# The command-line tools send a line at once, and `change watch` polls twice a second.
LINE_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 300.0
WRITE_TIMEOUT_S = 5.0
RECEIVE_BYTES = 65_536


class SocketPathInUseError(Exception):
    """The socket's path is in use by another process or a file of another kind."""


class ControlServer:
    """Serves the control socket; each connection has a greenlet of its own."""

    def __init__(self, path: Path, calls: RequestHandler, log: Callable[[str], None]) -> None:
        self.path = path
        self.calls = calls
        self.log = log
        self.server = StreamServer(open_listener(path), self._serve_connection, spawn=Pool(MAX_CONNECTIONS))

    def start(self) -> None:
        self.server.start()

    def stop(self) -> None:
        self.server.stop(0)
        self.path.unlink(missing_ok=True)

    def _serve_connection(self, connection: socket.socket, _: object) -> None:
        answered = 0
        code = "closed"
        lines = LineSplitter(MAX_LINE_BYTES)
        try:
            while received := self._receive(connection, bool(lines.partial)):
                for line in lines.feed(memoryview(received)):
                    # May take long: a large document is checked in slices.
                    response = self.calls.handle_line(line)
                    with gevent.Timeout(WRITE_TIMEOUT_S, TimeoutError):
                        connection.sendall(response)
                    answered += 1
                gevent.sleep(0)
        except StreamError as error:
            code = str(error)
            self._send_stream_error(connection, code)
        except TimeoutError:
            code = "partial_line" if lines.partial else "idle"
        except OSError as error:
            code = f"lost_{type(error).__name__}"
        finally:
            connection.close()
            self.log(f"control peer answered={answered} code={code}")

    def _receive(self, connection: socket.socket, has_partial_line: bool) -> bytes:
        connection.settimeout(LINE_TIMEOUT_S if has_partial_line else IDLE_TIMEOUT_S)
        return connection.recv(RECEIVE_BYTES)

    def _send_stream_error(self, connection: socket.socket, code: str) -> None:
        try:
            with gevent.Timeout(WRITE_TIMEOUT_S, TimeoutError):
                connection.sendall(error_line(None, PARSE_ERROR, code))
        except OSError:
            return


def open_listener(path: Path) -> socket.socket:
    """Return a listening socket whose file has mode 0600 from the start. Replace the socket file of a gateway
    that was killed; raise SocketPathInUseError if another process accepts connections on it."""
    if path.exists():
        if not stat.S_ISSOCK(path.stat().st_mode):
            raise SocketPathInUseError(f"{path}: the file is not a socket; use another path")
        with socket.socket(socket.AF_UNIX) as probe:
            try:
                probe.connect(str(path))
            except OSError:
                path.unlink(missing_ok=True)
            else:
                raise SocketPathInUseError(f"{path}: another process accepts connections on this socket")
    listening = socket.socket(socket.AF_UNIX)
    previous_umask = os.umask(0o177)
    try:
        listening.bind(str(path))
    finally:
        os.umask(previous_umask)
    listening.listen(MAX_CONNECTIONS)
    return listening

"""The control socket: a Unix socket for this user alone. Its peers meet the same bounds as bad clients."""

import os
import stat
from collections.abc import Callable
from pathlib import Path

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.server import StreamServer

from pathturn.config.read import LARGEST
from pathturn.control.protocol import MALFORMED, Calls, fault_line
from pathturn.wire.jsonrpc import LineSplitter, StreamError

MOST_PEERS = 8
LONGEST_LINE = LARGEST + 4096  # a document, and what a call puts around it
# A line is sent in one go by our own tools; a watch asks twice a second.
HALF_S, IDLE_S, WRITE_S = 10.0, 300.0, 5.0
PIECE = 65_536


class InUse(Exception):
    """Another process answers on the socket's path."""


class Control:
    def __init__(self, path: Path, calls: Calls, log: Callable[[str], None]) -> None:
        self.path, self.calls, self.log = path, calls, log
        self.server = StreamServer(listener(path), self._peer, spawn=Pool(MOST_PEERS))

    def start(self) -> None:
        self.server.start()

    def stop(self) -> None:
        self.server.stop(0)
        self.path.unlink(missing_ok=True)

    def _peer(self, link: socket.socket, _: object) -> None:
        answered, code = 0, "closed"
        lines = LineSplitter(LONGEST_LINE)
        try:
            while piece := self._receive(link, bool(lines.partial)):
                for line in lines.feed(memoryview(piece)):
                    answer = self.calls.answer(line)  # a large document takes its time
                    with gevent.Timeout(WRITE_S, TimeoutError):
                        link.sendall(answer)
                    answered += 1
                gevent.sleep(0)
        except StreamError as fault:
            code = str(fault)
            self._last_word(link, code)
        except TimeoutError:
            code = "partial_line" if lines.partial else "idle"
        except OSError as fault:
            code = f"lost_{type(fault).__name__}"
        finally:
            link.close()
            self.log(f"control peer answered={answered} code={code}")

    def _receive(self, link: socket.socket, half: bool) -> bytes:
        link.settimeout(HALF_S if half else IDLE_S)
        return link.recv(PIECE)

    def _last_word(self, link: socket.socket, code: str) -> None:
        try:
            with gevent.Timeout(WRITE_S, TimeoutError):
                link.sendall(fault_line(None, MALFORMED, code))
        except OSError:
            return


def listener(path: Path) -> socket.socket:
    """Bound with mode 0600 from its first moment. What a killed gateway left there is taken away; where
    another one answers, InUse is raised."""
    if path.exists():
        if not stat.S_ISSOCK(path.stat().st_mode):
            raise InUse(f"{path}: there is a file that is no socket; name another path")
        with socket.socket(socket.AF_UNIX) as probe:
            try:
                probe.connect(str(path))
            except OSError:
                path.unlink(missing_ok=True)
            else:
                raise InUse(f"{path}: another process answers there")
    link = socket.socket(socket.AF_UNIX)
    before = os.umask(0o177)
    try:
        link.bind(str(path))
    finally:
        os.umask(before)
    link.listen(MOST_PEERS)
    return link

"""A plain gateway: any engine, no retries, no order. On SIGTERM it closes its listener and exits at once,
with whatever is open. The soak's baseline, which shows that lost requests are seen."""

import os
import signal
from base64 import b64decode, b64encode
from pathlib import Path
from random import Random

import gevent
import orjson
from gevent import socket
from gevent.server import StreamServer

from pathturn.memory.buffers import BufferPool
from pathturn.wire import discovery_protocol, engine_protocol
from pathturn.wire.engine_connection import EngineConnection

PATIENCE_S = 1.0
FAILED = -32000


class PlainGateway:
    """Serves each request by the first engine drawn, and fails it where that does not answer in time."""

    def __init__(self, told: dict) -> None:
        self.random = Random(1)
        _, rows = discovery_protocol.parse_initial_list(told["known"])
        self.places = [(0, row[1]) for row in rows]
        self.buffers = BufferPool()
        self.server = StreamServer(discovery_protocol.parse_address(told["listen"]), self._serve)

    def _serve(self, link: socket.socket, peer: tuple[str, int]) -> None:
        for line in link.makefile("rb"):
            message = orjson.loads(line)
            if message["method"] == "ping":
                self._write(link, message["id"], {"result": {"healthy": True}})
            elif message["method"] != "abort":
                gevent.spawn(self._answer, link, message)

    def _answer(self, link: socket.socket, message: dict) -> None:
        try:
            answer = {"result": {"data": b64encode(self._rows(message)).decode()}}
        except Exception:  # noqa: BLE001 - whatever fails, its client gets an error
            answer = {"error": {"code": FAILED, "message": "failed"}}
        self._write(link, message["id"], answer)

    def _rows(self, message: dict) -> bytes:
        told = message["params"]
        connection = EngineConnection(
            self.random.choice(self.places), PATIENCE_S, self.buffers, lambda text: None
        )
        try:
            status, _, body = connection.call(
                engine_protocol.start_request(
                    connection.host,
                    told["trace"],
                    message["method"],
                    told["patience"] * 1000,
                    told.get("nonce"),
                    0,
                    1,
                    b64decode(told["data"]),
                ),
                PATIENCE_S,
            )
            while status == 202:
                status, _, body = connection.call(
                    engine_protocol.page_request(connection.host, told["trace"], 0), PATIENCE_S
                )
            if status != 200:
                raise OSError(status)
            return body
        finally:
            connection.close("done")

    def _write(self, link: socket.socket, number: int, answer: dict) -> None:
        link.sendall(orjson.dumps({"jsonrpc": "2.0", "id": number, **answer}) + b"\n")


def main() -> None:
    gateway = PlainGateway(orjson.loads(Path(os.environ["EDGE_CONFIG"]).read_bytes()))
    gevent.signal_handler(signal.SIGTERM, os._exit, 0)
    gevent.signal_handler(signal.SIGHUP, lambda: None)
    gateway.server.serve_forever()


if __name__ == "__main__":
    main()

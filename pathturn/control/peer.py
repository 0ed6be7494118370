"""The tools' end of the control socket: one call, one answer, on a plain socket."""

import socket
from itertools import count
from typing import Any

import msgspec

PATIENCE_S = 30.0  # a document of 10,000 routes is checked in a second or two


class Unanswered(Exception):
    """No gateway answered on that path."""


class Answered(Exception):
    """An error, as the gateway told it: `code`, its text, and `data`."""

    def __init__(self, error: dict[str, Any]) -> None:
        super().__init__(error["message"])
        self.code, self.data = error["code"], error.get("data", {})


class Peer:
    def __init__(self, path: str) -> None:
        self.numbers = count(1)
        self.link = socket.socket(socket.AF_UNIX)
        self.link.settimeout(PATIENCE_S)
        try:
            self.link.connect(path)
        except OSError as fault:
            raise Unanswered(
                f"{path}: {fault.strerror or fault}; is the gateway running, with `control` in "
                "its operator's file?"
            ) from fault
        self.lines = self.link.makefile("rb")

    def call(self, method: str, **params: Any) -> Any:
        number = next(self.numbers)
        message = {"jsonrpc": "2.0", "id": number, "method": method, "params": params}
        try:
            self.link.sendall(msgspec.json.encode(message) + b"\n")
            line = self.lines.readline()
        except OSError as fault:
            raise Unanswered(f"{method}: {fault}") from fault
        if not line:
            raise Unanswered(f"{method}: the gateway ended the connection")
        answer = msgspec.json.decode(line)
        if "error" in answer:
            raise Answered(answer["error"])
        return answer["result"]

    def close(self) -> None:
        self.lines.close()
        self.link.close()

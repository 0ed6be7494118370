"""Client of the control socket, for command-line tools. It blocks, and has one call at a time."""

import socket
from itertools import count
from typing import Any

import msgspec

RESPONSE_TIMEOUT_S = 30.0  # a check of a document of 10,000 routes takes one to two seconds


class NoGatewayError(Exception):
    """No gateway responded on the control socket."""


class ControlError(Exception):
    """An error response of the gateway: its `code`, message and `data`."""

    def __init__(self, error: dict[str, Any]) -> None:
        super().__init__(error["message"])
        self.code = error["code"]
        self.data = error.get("data", {})


class ControlClient:
    """A connection to a gateway's control socket."""

    def __init__(self, path: str) -> None:
        self.request_ids = count(1)
        self.socket = socket.socket(socket.AF_UNIX)
        self.socket.settimeout(RESPONSE_TIMEOUT_S)
        try:
            self.socket.connect(path)
        except OSError as error:
            raise NoGatewayError(
                f"{path}: {error.strerror or error}; is the gateway running, with `control` in "
                "its operator file?"
            ) from error
        self.reader = self.socket.makefile("rb")

    def call(self, method: str, **params: Any) -> Any:
        """Send a request and return its result. Raise ControlError for an error response,
        NoGatewayError for none."""
        request_id = next(self.request_ids)
        request = {"jsonrpc": "2.0", "id": request_id, "method": method, "params": params}
        try:
            self.socket.sendall(msgspec.json.encode(request) + b"\n")
            line = self.reader.readline()
        except OSError as error:
            raise NoGatewayError(f"{method}: {error}") from error
        if not line:
            raise NoGatewayError(f"{method}: the gateway closed the connection")
        response = msgspec.json.decode(line)
        if "error" in response:
            raise ControlError(response["error"])
        return response["result"]

    def close(self) -> None:
        self.reader.close()
        self.socket.close()

"""Requests to a running gateway on its control socket, as JSON-RPC 2.0 lines: parsing, method calls and
responses. Input and output are in `control.server`."""

from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from pathturn.background.scheduler import JobCancelled, JobQueueFull
from pathturn.change.ledger import LedgerUnusableError, LedgerWriteError
from pathturn.change.manager import ChangeRequest, change_as_dict
from pathturn.change.states import Change, ChangeRefusedError
from pathturn.config.read import InvalidDocumentError

# Error codes of JSON-RPC.
PARSE_ERROR = -32700
METHOD_NOT_FOUND = -32601
INVALID_PARAMS = -32602
# Error codes of this protocol.
CHANGE_REFUSED = -32010
INVALID_DOCUMENT = -32011
NOT_DONE = -32012

MAX_HISTORY = 1_000


class Message(msgspec.Struct):
    """A request whose parameters are not decoded yet."""

    method: str
    id: int | str | None = None
    params: dict[str, msgspec.Raw] = {}


class Operations(Protocol):
    """The operations that requests call; implemented by `change.manager.ChangeManager`."""

    def check(self, raw: Any) -> Any: ...
    def stage(self, request: ChangeRequest) -> Change: ...
    def apply(self, identity: str) -> Change: ...
    def undo(self, identity: str, who: str, why: str) -> Change: ...
    def status(self) -> dict[str, Any]: ...
    def history(self, most: int) -> list[Change]: ...


class RequestHandler:
    """Calls the method that a request names."""

    def __init__(self, operations: Operations) -> None:
        self.operations = operations
        self.methods: dict[str, Callable[..., Any]] = {
            "config.check": self._check,
            "change.stage": self._stage,
            "change.apply": self._apply,
            "change.undo": self._undo,
            "change.status": self._status,
            "change.history": self._history,
        }

    def handle_line(self, line: bytes) -> bytes:
        """Return the response line to a request line, whatever that contains."""
        try:
            request = msgspec.json.decode(line, type=Message)
            # A document may be large; it is decoded in slices by the job that checks it.
            params = {
                name: value if name == "document" else msgspec.json.decode(value)
                for name, value in request.params.items()
            }
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return error_line(None, PARSE_ERROR, f"not a request: {error}")
        method = self.methods.get(request.method)
        if method is None:
            return error_line(
                request.id,
                METHOD_NOT_FOUND,
                f"unknown method {request.method!r}; the methods are " + ", ".join(self.methods),
            )
        return self._call(request.id, method, params)

    def _call(self, request_id: Any, method: Callable[..., Any], params: dict[str, Any]) -> bytes:
        try:
            return response_line(request_id, result=method(**params))
        except ChangeRefusedError as error:
            return error_line(request_id, CHANGE_REFUSED, str(error), code_name=error.code)
        except InvalidDocumentError as error:
            return error_line(
                request_id,
                INVALID_DOCUMENT,
                f"the document has {len(error.faults)} faults",
                faults=[fault._asdict() for fault in error.faults],
            )
        except (LedgerWriteError, LedgerUnusableError, JobCancelled, JobQueueFull) as error:
            return error_line(request_id, NOT_DONE, str(error))
        except TypeError as error:
            return error_line(request_id, INVALID_PARAMS, str(error))
        except Exception as error:  # noqa: BLE001 - the caller gets a response after any failure
            return error_line(request_id, NOT_DONE, f"{type(error).__name__}: {error}")

    def _check(self, document: Any) -> dict[str, Any]:
        checked = self.operations.check(document)
        return {"routes": len(checked.routes), "pools": len(checked.pools), "limits": len(checked.limits)}

    def _stage(self, id: str, base: int, who: str, why: str, document: Any) -> dict[str, Any]:  # noqa: A002
        return change_as_dict(self.operations.stage(ChangeRequest(id, base, who, why, document)))

    def _apply(self, id: str) -> dict[str, Any]:  # noqa: A002 - name on the wire
        return change_as_dict(self.operations.apply(id))

    def _undo(self, id: str, who: str, why: str) -> dict[str, Any]:  # noqa: A002
        return change_as_dict(self.operations.undo(id, str(who), str(why)))

    def _status(self) -> dict[str, Any]:
        return self.operations.status()

    def _history(self, most: int = 20) -> list[dict[str, Any]]:
        if type(most) is not int or not 0 < most <= MAX_HISTORY:
            raise ChangeRefusedError("usage", f"most must be between 1 and {MAX_HISTORY}")
        return [change_as_dict(change) for change in self.operations.history(most)]


def response_line(request_id: Any, **fields: Any) -> bytes:
    return msgspec.json.encode({"jsonrpc": "2.0", "id": request_id, **fields}) + b"\n"


def error_line(request_id: Any, code: int, message: str, **data: Any) -> bytes:
    error = {"code": code, "message": message}
    return response_line(request_id, error=error | ({"data": data} if data else {}))

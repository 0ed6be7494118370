"""What operators' tools say to a running gateway: JSON-RPC 2.0 lines, as calls and answers. No sockets
here."""

from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from pathturn.background.scheduler import JobCancelled, JobQueueFull
from pathturn.change.ledger import LedgerUnusableError, LedgerWriteError
from pathturn.change.manager import ChangeRequest, change_as_dict
from pathturn.change.states import Change, ChangeRefusedError
from pathturn.config.read import Unusable

MALFORMED, UNKNOWN, UNUSABLE, REFUSED, FAULTY, UNDONE = -32700, -32601, -32602, -32010, -32011, -32012
MOST_HISTORY = 1_000


class Message(msgspec.Struct):
    """A call as it came: what it carries is read when it is known what for."""

    method: str
    id: int | str | None = None
    params: dict[str, msgspec.Raw] = {}


class Operated(Protocol):
    """What a call may ask for."""

    def check(self, raw: Any) -> Any: ...
    def stage(self, request: ChangeRequest) -> Change: ...
    def apply(self, identity: str) -> Change: ...
    def undo(self, identity: str, who: str, why: str) -> Change: ...
    def status(self) -> dict[str, Any]: ...
    def history(self, most: int) -> list[Change]: ...


class Calls:
    def __init__(self, operated: Operated) -> None:
        self.operated = operated
        self.methods: dict[str, Callable[..., Any]] = {
            "config.check": self._check,
            "change.stage": self._stage,
            "change.apply": self._apply,
            "change.undo": self._undo,
            "change.status": self._status,
            "change.history": self._history,
        }

    def answer(self, line: bytes) -> bytes:
        """One answer for each line, whatever it was."""
        try:
            message = msgspec.json.decode(line, type=Message)
            # A document may be large: it is read in slices by whoever checks it.
            params = {
                name: part if name == "document" else msgspec.json.decode(part)
                for name, part in message.params.items()
            }
        except (msgspec.DecodeError, UnicodeDecodeError) as fault:
            return fault_line(None, MALFORMED, f"no call: {fault}")
        method = self.methods.get(message.method)
        if method is None:
            return fault_line(
                message.id, UNKNOWN, f"no method {message.method!r}; there are " + ", ".join(self.methods)
            )
        return self._call(message.id, method, params)

    def _call(self, number: Any, method: Callable[..., Any], params: dict[str, Any]) -> bytes:
        try:
            return told(number, result=method(**params))
        except ChangeRefusedError as fault:
            return fault_line(number, REFUSED, str(fault), code_name=fault.code)
        except Unusable as fault:
            return fault_line(
                number,
                FAULTY,
                f"{len(fault.faults)} faults",
                faults=[each._asdict() for each in fault.faults],
            )
        except (LedgerWriteError, LedgerUnusableError, JobCancelled, JobQueueFull) as fault:
            return fault_line(number, UNDONE, str(fault))
        except TypeError as fault:
            return fault_line(number, UNUSABLE, str(fault))
        except Exception as fault:  # noqa: BLE001 - whatever goes wrong, whoever asked is told
            return fault_line(number, UNDONE, f"{type(fault).__name__}: {fault}")

    def _check(self, document: Any) -> dict[str, Any]:
        found = self.operated.check(document)
        return {"routes": len(found.routes), "pools": len(found.pools), "limits": len(found.limits)}

    def _stage(self, id: str, base: int, who: str, why: str, document: Any) -> dict[str, Any]:  # noqa: A002
        return change_as_dict(self.operated.stage(ChangeRequest(id, base, who, why, document)))

    def _apply(self, id: str) -> dict[str, Any]:  # noqa: A002 - the wire's word
        return change_as_dict(self.operated.apply(id))

    def _undo(self, id: str, who: str, why: str) -> dict[str, Any]:  # noqa: A002
        return change_as_dict(self.operated.undo(id, str(who), str(why)))

    def _status(self) -> dict[str, Any]:
        return self.operated.status()

    def _history(self, most: int = 20) -> list[dict[str, Any]]:
        if type(most) is not int or not 0 < most <= MOST_HISTORY:
            raise ChangeRefusedError("usage", f"most is between 1 and {MOST_HISTORY}")
        return [change_as_dict(change) for change in self.operated.history(most)]


def told(number: Any, **parts: Any) -> bytes:
    return msgspec.json.encode({"jsonrpc": "2.0", "id": number, **parts}) + b"\n"


def fault_line(number: Any, code: int, text: str, **data: Any) -> bytes:
    error = {"code": code, "message": text}
    return told(number, error=error | ({"data": data} if data else {}))

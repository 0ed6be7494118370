"""The operator's file of one gateway: where its document, ledger and control socket are. Not changed while it
runs."""

from pathlib import Path
from typing import Literal

import msgspec

from pathturn.config.read import Fault, Unusable


class Installation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Paths are relative to the file itself. `document` is the first generation of a new ledger; later ones
    come by changes alone. Without `control` nothing can be changed while it runs."""

    version: Literal[1]
    document: str
    ledger: str
    control: str | None = None
    log: Literal["plain", "console", "json"] = "plain"


def installation(path: Path) -> Installation:
    """Raises Unusable with what is wrong."""
    try:
        told = msgspec.json.decode(path.read_bytes(), type=Installation)
    except OSError as fault:
        raise Unusable([Fault("", str(fault), "name a file that can be read", str(path))]) from None
    except msgspec.DecodeError as fault:
        raise Unusable([Fault("", str(fault), "look at deploy/operator.json", str(path))]) from None
    folder = path.resolve().parent
    placed = {
        name: str(folder / value)
        for name in ("document", "ledger", "control")
        if (value := getattr(told, name)) is not None
    }
    return msgspec.structs.replace(told, **placed)

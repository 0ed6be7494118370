"""The operator file of one gateway: paths of its routing document, ledger and control socket. It is read at
start-up only."""

from pathlib import Path
from typing import Literal

import msgspec

from pathturn.config.read import Fault, InvalidDocumentError


class Installation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Contents of the operator file; paths are relative to the file.

    `document` becomes the first generation of a new ledger; later generations come from changes only. Without
    `control` a running gateway can't be changed.
    """

    version: Literal[1]
    document: str
    ledger: str
    control: str | None = None
    log: Literal["plain", "console", "json"] = "plain"


def read_installation(path: Path) -> Installation:
    """Read an operator file. Raise InvalidDocumentError if it can't be used."""
    try:
        settings = msgspec.json.decode(path.read_bytes(), type=Installation)
    except OSError as error:
        raise InvalidDocumentError(
            [Fault("", str(error), "give the path of a readable file", str(path))]
        ) from None
    except msgspec.DecodeError as error:
        raise InvalidDocumentError(
            [Fault("", str(error), "see the example in deploy/operator.json", str(path))]
        ) from None
    folder = path.resolve().parent
    absolute_paths = {
        name: str(folder / value)
        for name in ("document", "ledger", "control")
        if (value := getattr(settings, name)) is not None
    }
    return msgspec.structs.replace(settings, **absolute_paths)

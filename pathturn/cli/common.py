"""Helpers shared by the commands: exit codes, common options, output of results and faults."""

import json
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, Any

import typer

# Exit codes.
OK = 0
FAULTY = 1  # the document is invalid, or the change was rolled back
USAGE = 2
REFUSED = 3
NO_RESPONSE = 4  # no gateway responded

AsJson = Annotated[bool, typer.Option("--json", help="print JSON for scripts")]
Socket = Annotated[
    str,
    typer.Option(
        "--control", envvar="PATHTURN_CONTROL", metavar="SOCKET", help="the gateway's control socket"
    ),
]


@contextmanager
def exit_on_config_error() -> Iterator[None]:
    """Print a one-line message and exit with `USAGE` if the configuration can't be used."""
    from pathturn.process.start import config_error_message

    try:
        yield
    except Exception as error:  # noqa: BLE001 - whatever the file holds, the user gets one line, no traceback
        typer.echo(config_error_message(error), err=True)
        raise typer.Exit(USAGE) from None


def fail(code: int, text: str) -> typer.Exit:
    """Print an error message and return the exception to raise."""
    typer.echo(f"pathturn: {text}", err=True)
    return typer.Exit(code)


def show(value: Any, as_json: bool, text: str) -> None:
    """Print a result as JSON or as text."""
    typer.echo(json.dumps(value, sort_keys=True) if as_json else text)


def show_faults(faults: list[dict[str, Any]], as_json: bool, source: str) -> None:
    """Print faults as JSON, or to standard error as one line each."""
    if as_json:
        typer.echo(json.dumps({"faults": faults}, sort_keys=True))
        return
    for fault in faults:
        place = fault["place"] or source
        typer.echo(f"{place}: {fault['path'] or '(all)'}: {fault['what']}; fix: {fault['fix']}", err=True)


def read_file(path: Path) -> bytes:
    """Read a file, or standard input for -."""
    try:
        return path.read_bytes() if str(path) != "-" else os.fdopen(0, "rb", closefd=False).read()
    except OSError as error:
        raise fail(USAGE, f"{path}: {error.strerror}") from None

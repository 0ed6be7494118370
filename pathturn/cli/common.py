"""What the families of commands share: exit codes, faults as lines, answers as JSON."""

import json
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, Any

import typer

OK, FAULTY, USAGE, REFUSED, UNANSWERED = 0, 1, 2, 3, 4

AsJson = Annotated[bool, typer.Option("--json", help="print JSON for scripts")]
Socket = Annotated[
    str,
    typer.Option(
        "--control", envvar="PATHTURN_CONTROL", metavar="SOCKET", help="the gateway's control socket"
    ),
]


@contextmanager
def plain_faults() -> Iterator[None]:
    """One line for whoever starts it, in place of a trace, for what is wrong with the configuration."""
    from pathturn.process.start import config_error_message

    try:
        yield
    except Exception as fault:  # noqa: BLE001 - whatever a file holds, whoever starts it gets one line
        typer.echo(config_error_message(fault), err=True)
        raise typer.Exit(USAGE) from None


def fail(code: int, text: str) -> typer.Exit:
    typer.echo(f"pathturn: {text}", err=True)
    return typer.Exit(code)


def show(value: Any, as_json: bool, text: str) -> None:
    typer.echo(json.dumps(value, sort_keys=True) if as_json else text)


def show_faults(faults: list[dict[str, Any]], as_json: bool, source: str) -> None:
    if as_json:
        typer.echo(json.dumps({"faults": faults}, sort_keys=True))
        return
    for each in faults:
        place = each["place"] or source
        typer.echo(f"{place}: {each['path'] or '(all)'}: {each['what']}; fix: {each['fix']}", err=True)


def read_file(path: Path) -> bytes:
    try:
        return path.read_bytes() if str(path) != "-" else os.fdopen(0, "rb", closefd=False).read()
    except OSError as fault:
        raise fail(USAGE, f"{path}: {fault.strerror}") from None

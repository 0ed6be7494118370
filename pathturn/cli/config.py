"""Commands on documents that need no gateway."""

from pathlib import Path
from typing import Annotated

import typer

from pathturn.cli import common

app = typer.Typer(no_args_is_help=True, help="Look at an operator's document.")
Engine = Annotated[
    Path | None,
    typer.Option(
        "--gateway",
        metavar="CONFIG",
        help="a gateway's configuration, to check against its service groups, list and limits",
    ),
]


@app.command()
def check(
    file: Annotated[Path, typer.Argument(help="a document in JSON, or - for standard input")],
    gateway: Engine = None,
    as_json: common.AsJson = False,
) -> None:
    """Tell everything that is wrong with a document. Exit 0: nothing, 1: faults, 2: usage."""
    from pathturn.config.read import Unusable, parse, read
    from pathturn.routing.checks import validate

    try:
        document = read(parse(common.read_file(file)))
        faults = validate(document, _validation_context(gateway)) if gateway is not None else []
    except Unusable as fault:
        faults = fault.faults
    if faults:
        common.show_faults([each._asdict() for each in faults], as_json, str(file))
        raise typer.Exit(common.FAULTY)
    told = {"routes": len(document.routes), "pools": len(document.pools), "limits": len(document.limits)}
    common.show(
        told,
        as_json,
        "nothing wrong: "
        + ", ".join(f"{n} {name}" for name, n in told.items())
        + ("" if gateway is not None else "; names and rules need --gateway"),
    )


def _validation_context(path: Path):  # noqa: ANN202 - its type is imported by the command alone
    import orjson

    from pathturn.core.interface import EngineEntry
    from pathturn.process.settings import build_dispatcher, retry_share
    from pathturn.routing.checks import ValidationContext
    from pathturn.wire import discovery_protocol

    with common.plain_faults():
        told = orjson.loads(path.read_bytes())
        _, rows = discovery_protocol.parse_initial_list(told["known"])
        _, groups = build_dispatcher(int(told["seed"], 16), told["settings"])
    engines = tuple(EngineEntry(at, row[0], *row[2:6]) for at, row in enumerate(rows))
    return ValidationContext(groups, engines, retry_share(told["settings"]))

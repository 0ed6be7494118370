"""Commands on routing documents that need no running gateway."""

from pathlib import Path
from typing import Annotated

import typer

from pathturn.cli import common

app = typer.Typer(no_args_is_help=True, help="Inspect a routing document.")
GatewayConfig = Annotated[
    Path | None,
    typer.Option(
        "--gateway",
        metavar="CONFIG",
        help="a gateway's configuration, to check against its service groups, engine list and limits",
    ),
]


@app.command()
def check(
    file: Annotated[Path, typer.Argument(help="a document in JSON, or - for standard input")],
    gateway: GatewayConfig = None,
    as_json: common.AsJson = False,
) -> None:
    """Report all faults of a document. Exit codes: 0 no faults, 1 faults, 2 usage."""
    from pathturn.config.read import InvalidDocumentError, parse, read
    from pathturn.routing.checks import validate

    try:
        document = read(parse(common.read_file(file)))
        faults = validate(document, _validation_context(gateway)) if gateway is not None else []
    except InvalidDocumentError as error:
        faults = error.faults
    if faults:
        common.show_faults([fault._asdict() for fault in faults], as_json, str(file))
        raise typer.Exit(common.FAULTY)
    counts = {"routes": len(document.routes), "pools": len(document.pools), "limits": len(document.limits)}
    common.show(
        counts,
        as_json,
        "no faults: "
        + ", ".join(f"{number} {name}" for name, number in counts.items())
        + ("" if gateway is not None else "; names and rules are checked only with --gateway"),
    )


def _validation_context(path: Path):  # noqa: ANN202 - its type is imported inside the command only
    import orjson

    from pathturn.core.interface import EngineEntry
    from pathturn.process.settings import build_dispatcher, retry_share
    from pathturn.routing.checks import ValidationContext
    from pathturn.wire import discovery_protocol

    with common.exit_on_config_error():
        config = orjson.loads(path.read_bytes())
        _, listed = discovery_protocol.parse_initial_list(config["known"])
        _, groups = build_dispatcher(int(config["seed"], 16), config["settings"])
    engines = tuple(EngineEntry(index, entry[0], *entry[2:6]) for index, entry in enumerate(listed))
    return ValidationContext(groups, engines, retry_share(config["settings"]))

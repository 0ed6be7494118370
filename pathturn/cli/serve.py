"""Commands that run a gateway or inspect its configuration."""

from pathlib import Path
from typing import Annotated

import typer

from pathturn.cli.common import exit_on_config_error
from pathturn.process.limits import connection_limits
from pathturn.process.settings import build_dispatcher
from pathturn.wire import discovery_protocol
from pathturn.wire.statement import data_set

VERSION = "0.3.0"
StatementFile = Annotated[typer.FileText, typer.Argument(help="a file, or - for standard input")]
ConfigFile = Annotated[
    Path | None, typer.Argument(envvar="EDGE_CONFIG", help="the configuration file", show_default=False)
]
OperatorFile = Annotated[
    Path | None,
    typer.Option(
        "--operator",
        envvar="PATHTURN_OPERATOR",
        metavar="FILE",
        help="the operator file: routing document, ledger, control socket",
    ),
]


def register(app: typer.Typer) -> None:
    app.command()(serve)
    app.command()(check)
    app.command("data-set")(data_set_of)
    app.command()(version)


def serve(config: ConfigFile = None, operator: OperatorFile = None) -> None:
    """Run one gateway in the foreground until SIGTERM; SIGHUP reloads its configuration."""
    from pathturn.process import start  # not at the top: only this command needs the event loop

    start.serve(config, operator)


def check(config: ConfigFile = None) -> None:
    """Read a configuration and print what a gateway would start with."""
    from pathturn.process.start import read_config

    with exit_on_config_error():
        content = read_config(config)
        serial, listed = discovery_protocol.parse_initial_list(content["known"])
        _, groups = build_dispatcher(int(content["seed"], 16), content["settings"])
        clients, engines = connection_limits(content["limits"]["sockets"])
    typer.echo(
        f"{content['name']} on {content['listen']}, "
        f"engine list of event {serial}, directory {content['names']}"
    )
    typer.echo(f"connections: {clients} from clients, {engines} to engines")
    typer.echo("service groups: " + ", ".join(groups))
    for identity, (host, port), zone, machine, *_ in listed:
        typer.echo(f"engine {identity} at {host}:{port}, {zone}, {machine}")


def data_set_of(statement: StatementFile) -> None:
    """Print the data set that a gateway recognizes in a statement; 0 if it names none."""
    typer.echo(data_set(statement.read()))


def version() -> None:
    """Print the version."""
    typer.echo(f"pathturn {VERSION}")

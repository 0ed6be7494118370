"""The command line."""

from pathlib import Path
from typing import Annotated

import orjson
import typer

VERSION = "0.2.0"
app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False)
ConfigFile = Annotated[Path, typer.Argument(envvar="EDGE_CONFIG", help="the configuration file")]


@app.command()
def serve(config: ConfigFile) -> None:
    """Run one gateway in the foreground until SIGTERM."""
    from pathturn.process.gateway import GatewayProcess  # only this command needs the event loop

    GatewayProcess(orjson.loads(config.read_bytes())).run()


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(f"pathturn {VERSION}")

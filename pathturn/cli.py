"""The command line."""

import signal
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
    import gevent  # here, since only this command needs the event loop

    from pathturn.process.gateway import GatewayProcess

    gateway = GatewayProcess(orjson.loads(config.read_bytes()))
    gevent.signal_handler(signal.SIGTERM, gateway.asked_to_stop.set)
    gateway.run()


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(f"pathturn {VERSION}")

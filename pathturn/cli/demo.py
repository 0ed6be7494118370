"""The demo command: a gateway between simulated engines and clients on loopback."""

from typing import Annotated

import typer


def register(app: typer.Typer) -> None:
    app.command()(demo)


def demo(
    harm: Annotated[
        bool, typer.Option("--harm", help="apply a harmful change and watch it being rolled back")
    ] = False,
    seconds: Annotated[float, typer.Option(min=3, max=600)] = 15.0,
) -> None:
    """Run a gateway with simulated engines, directory and clients for some seconds, and print what it
    served."""
    from pathturn.standins.demo import run

    raise typer.Exit(run(seconds, harm))

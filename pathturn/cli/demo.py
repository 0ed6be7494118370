"""A gateway between stand-ins on loopback, for whoever is new here."""

from typing import Annotated

import typer


def register(app: typer.Typer) -> None:
    app.command()(demo)


def demo(
    harm: Annotated[bool, typer.Option("--harm", help="apply a harmful change, see it undone")] = False,
    seconds: Annotated[float, typer.Option(min=3, max=600)] = 15.0,
) -> None:
    """Run a gateway with stand-in engines, directory and clients for some seconds, and print what was
    served."""
    from pathturn.standins.demo import run

    raise typer.Exit(run(seconds, harm))

"""The command line. One module per group of commands; what only one command needs is imported inside it."""

import typer

from pathturn.cli import change, config, demo, serve

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="A workload manager before analytic engines.",
)
serve.register(app)
app.add_typer(config.app, name="config")
app.add_typer(change.app, name="change")
demo.register(app)

"""Runs the command line."""

from pathturn.cli import app

if __name__ == "__main__":
    app(prog_name="pathturn")

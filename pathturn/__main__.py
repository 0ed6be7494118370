"""Runs the command line."""

from pathturn.cli import app


def main() -> None:
    app(prog_name="pathturn")


if __name__ == "__main__":
    main()

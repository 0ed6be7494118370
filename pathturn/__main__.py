"""Runs the command line."""

import signal
import sys

if sys.argv[1:2] == ["serve"]:
    # Before a configuration has been read a new one is no news, but by default the signal ends the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from pathturn.cli import app  # noqa: E402 - takes a good part of the start


def main() -> None:
    app(prog_name="pathturn")


if __name__ == "__main__":
    main()

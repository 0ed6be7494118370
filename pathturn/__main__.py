"""Runs the command line."""

import os
import signal
import sys
from pathlib import Path


def main() -> None:
    if sys.argv[1:2] == ["serve"]:
        # Before a configuration has been read a new one is no news; by default the signal ends the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if sys.argv[1:] == ["serve"]:
        from pathturn.process.start import serve  # as the platform starts it: all it is told is in variables

        serve(
            *(
                Path(os.environ[name]) if os.environ.get(name) else None
                for name in ("EDGE_CONFIG", "PATHTURN_OPERATOR")
            )
        )
    else:
        from pathturn.cli import app

        app(prog_name="pathturn")


if __name__ == "__main__":
    main()

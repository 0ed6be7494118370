"""Entry point: the gateway process, or the command line interface."""

import os
import signal
import sys
from pathlib import Path


def main() -> None:
    if sys.argv[1:2] == ["serve"]:
        # SIGHUP asks for a reload. Before the first configuration has been read there is nothing to reload,
        # and the signal's default action would end the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if sys.argv[1:] == ["serve"]:
        from pathturn.process.start import serve  # started by the platform, which sets environment variables

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

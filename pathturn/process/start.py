"""Start of a gateway from a configuration file.

Does without the command line's libraries: they alone take two thirds of the CPU time of a start, and a fleet
starts some hundred gateways at once.
"""

import signal
import sys
from pathlib import Path
from time import monotonic, sleep
from typing import Any

import gevent
import orjson

from pathturn.process.gateway import GatewayProcess

EXIT_UNUSABLE_CONFIG = 2
# A file that is rewritten in place is empty or incomplete for a moment. The start waits so long for the rest.
INCOMPLETE_CONFIG_WAIT_S = 1.0
INCOMPLETE_CONFIG_RETRY_S = 0.02


def read_config(config: Path | None) -> dict[str, Any]:
    """Read a configuration file."""
    if config is None:
        raise ValueError("no configuration file: give an argument or set EDGE_CONFIG")
    return orjson.loads(config.read_bytes())


def read_complete_config(config: Path | None) -> dict[str, Any]:
    """Read a configuration file; one that is no complete JSON is read again for a bounded time, as it may be
    being written."""
    end_s = monotonic() + INCOMPLETE_CONFIG_WAIT_S
    while True:
        try:
            return read_config(config)
        except orjson.JSONDecodeError:
            if monotonic() >= end_s:
                raise
        sleep(INCOMPLETE_CONFIG_RETRY_S)


def serve(config: Path | None, operator: Path | None) -> None:
    """Run a gateway until SIGTERM; SIGHUP makes it read its configuration again.

    Exits with code 2 and a one-line message if the configuration can't be used.
    """
    # Installed before the configuration is read: signals are kept from here on until the event loop runs.
    gevent.signal_handler(signal.SIGTERM, lambda: gateway.stop_requested.set())
    gevent.signal_handler(signal.SIGHUP, lambda: gateway.reload(lambda: read_config(config)))
    try:
        gateway = GatewayProcess(read_complete_config(config), _installation(operator))
        gateway.server.start()
    except Exception as fault:  # noqa: BLE001 - whatever the files hold, the caller gets a one-line message
        print(config_error_message(fault), file=sys.stderr)
        raise SystemExit(EXIT_UNUSABLE_CONFIG) from None
    gateway.run()


def config_error_message(fault: Exception) -> str:
    """Return the message for a configuration that can't be used."""
    return f"pathturn: invalid configuration: {type(fault).__name__}: {fault}"


def _installation(operator: Path | None) -> Any:
    if operator is None:
        return None
    from pathturn.config.installation import read_installation

    return read_installation(operator)

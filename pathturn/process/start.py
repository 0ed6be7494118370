"""From a configuration file to a running gateway. Without the command line's libraries: those alone take two
thirds of the CPU of a start, and a fleet starts some hundred gateways at once."""

import signal
import sys
from pathlib import Path
from typing import Any

import gevent
import orjson

from pathturn.process.gateway import GatewayProcess

UNUSABLE = 2


def read(config: Path | None) -> dict[str, Any]:
    if config is None:
        raise ValueError("neither an argument nor EDGE_CONFIG names a file")
    return orjson.loads(config.read_bytes())


def serve(config: Path | None, operator: Path | None) -> None:
    """Runs one gateway until SIGTERM; SIGHUP has it read its configuration again. Ends with code 2 and one
    line where the configuration cannot be used."""
    # Before the configuration is read: what comes from then on is kept until the event loop runs.
    gevent.signal_handler(signal.SIGTERM, lambda: gateway.asked_to_stop.set())
    gevent.signal_handler(signal.SIGHUP, lambda: gateway.reload(lambda: read(config)))
    try:
        gateway = GatewayProcess(read(config), _installation(operator))
        gateway.server.start()
    except Exception as fault:  # noqa: BLE001 - whatever a file holds, whoever starts it gets one line
        print(unusable(fault), file=sys.stderr)
        raise SystemExit(UNUSABLE) from None
    gateway.run()


def unusable(fault: Exception) -> str:
    return f"pathturn: the configuration cannot be used: {type(fault).__name__}: {fault}"


def _installation(operator: Path | None) -> Any:
    if operator is None:
        return None
    from pathturn.config.installation import installation

    return installation(operator)

"""Runs a gateway between stand-in clients and engines for some seconds, with a progress line and a table of
the batches' outcomes."""

import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic
from typing import Any

import gevent

from pathturn.change.manager import ChangeRequest
from pathturn.process.gateway import GatewayProcess
from pathturn.standins.clients import LoadGenerator, count_execution_faults
from pathturn.standins.fleet import Fleet, free_address, write_installation

BATCHES_PER_S = 60.0
WARM_UP_S = 5.0  # traffic before the harmful change
REFRESH_INTERVAL_S = 0.5
SHUTDOWN_TIMEOUT_S = 3
OUTCOMES = ("returned", "pushed_back", "errored")
DOCUMENT = {
    "version": 1,
    "pools": {"halls": {"zones": ["a", "b"]}, "attic": {"zones": ["attic"]}},
    "routes": [{"name": "first-sets", "match": {"groups": ["look"], "data_sets": [[1, 5]]}, "to": "halls"}],
    "default": "halls",
    "change": {"watch": "6s", "canary": [{"share": "50%", "hold": "3s"}]},
}


def run(seconds: float, harm: bool) -> int:
    """Run the demo and return the exit code: 0 if each batch got exactly one response and, where `harm` asks
    for a harmful change, that change was rolled back."""
    with TemporaryDirectory() as folder:
        fleet = _fleet()
        address = free_address()
        host, port = address
        gateway = GatewayProcess(
            fleet.configuration(f"{host}:{port}"), write_installation(Path(folder), DOCUMENT)
        )
        gateway.log.muted = True
        gateway.server.start()
        greenlets = [gevent.spawn(gateway.run)]
        load_generator = LoadGenerator(address)
        greenlets.append(gevent.spawn(load_generator.run, BATCHES_PER_S, seconds))
        greenlets.append(
            gevent.spawn(_show_progress, load_generator, gateway.operator.change_manager, seconds)
        )
        if harm:
            gevent.sleep(min(WARM_UP_S, seconds / 2))
            _apply_harmful_change(gateway.operator.change_manager)
        gevent.joinall(greenlets[1:])
        load_generator.wait_for_responses()
        change = next(iter(gateway.operator.change_manager.history(1)), None)
        passed = _print_summary(load_generator, fleet, change) and (not harm or change.state == "undone")
        gateway.stop_requested.set()
        greenlets[0].join(SHUTDOWN_TIMEOUT_S)
        load_generator.close()
        fleet.stop()
    return 0 if passed else 1


def _fleet() -> Fleet:
    fleet = Fleet()
    fleet.settings["limits"]["maxAttempts"] = 2
    for name in ("n0", "n1", "n2", "n3"):
        fleet.engine(name, "runs:20", zone="ab"[int(name[1]) % 2])
    fleet.engine("worn", "error", zone="attic")
    return fleet


def _apply_harmful_change(change_manager: Any) -> None:
    """Stage and apply a change that routes batches to the engine that answers all of them with errors."""
    changed = DOCUMENT | {"routes": [DOCUMENT["routes"][0] | {"to": "attic"}]}
    print("\nstaging a change that sends look batches of data sets 1 to 5 to a worn-out engine")
    change_manager.stage(ChangeRequest("demo", 1, "demo", "to show an undo", changed))
    change_manager.apply("demo")


def _show_progress(load_generator: LoadGenerator, change_manager: Any, seconds: float) -> None:
    end = monotonic() + seconds
    while (remaining_s := end - monotonic()) > 0:
        outcomes = load_generator.outcomes()
        totals = {outcome: sum(counts[outcome] for counts in outcomes.values()) for outcome in OUTCOMES}
        change = change_manager.change
        state = f", change {change.state} at {change.share:.0%}" if change is not None else ""
        print(
            f"\r{remaining_s:4.0f} s left, {sum(load_generator.sent.values())} sent, "
            + ", ".join(f"{count} {outcome}" for outcome, count in totals.items())
            + state
            + " " * 12,  # overwrites the end of a longer line
            end="",
        )
        sys.stdout.flush()
        gevent.sleep(REFRESH_INTERVAL_S)
    print()


def _print_summary(load_generator: LoadGenerator, fleet: Fleet, change: Any) -> bool:
    """Print the outcomes by service group; return whether each batch got exactly one response and the loads
    of each key ran in order."""
    outcomes = load_generator.outcomes()
    print(f"\n{'group':<8}{'sent':>8}{'returned':>10}{'pushed back':>13}{'errored':>9}")
    for group in sorted(load_generator.sent):
        counts = outcomes[group]
        print(
            f"{group:<8}{load_generator.sent[group]:>8}{counts['returned']:>10}{counts['pushed_back']:>13}"
            f"{counts['errored']:>9}"
        )
    faults = count_execution_faults(
        (row for engine in fleet.engines.values() for row in engine.execution_starts),
        (nonce for client in load_generator.clients for nonce in client.returned_nonces),
    )
    print(
        f"no answer: {load_generator.count_unanswered()}, "
        f"answered twice: {load_generator.count_duplicate_responses()}, "
        f"loads out of order: {faults['out_of_order']}"
    )
    if change is not None:
        print(f"change {change.id!r}: {change.state}; {change.reason}")
    return (
        not load_generator.count_unanswered()
        and not load_generator.count_duplicate_responses()
        and not faults["out_of_order"]
    )

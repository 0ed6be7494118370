"""Commands for changes of a running gateway, sent over its control socket.

Exit codes: 0 done, 1 the document has faults or the change was rolled back, 2 usage, 3 refused, 4 no gateway
responded.
"""

import getpass
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, Any

import typer

from pathturn.cli import common

app = typer.Typer(
    no_args_is_help=True, help="Change a running gateway: canary steps, monitoring, automatic rollback."
)
File = Annotated[Path, typer.Argument(help="a document in JSON, or - for standard input")]
Id = Annotated[str, typer.Argument(metavar="ID", help="the change's id")]
Why = Annotated[str, typer.Option("--why", help="reason, recorded in the ledger")]
Who = Annotated[
    str,
    typer.Option(
        "--who",
        default_factory=getpass.getuser,
        show_default=False,
        help="author, recorded in the ledger; by default the user",
    ),
]
POLL_INTERVAL_S = 0.5
ENDED = ("kept", "undone")


@contextmanager
def _connect(control: str, as_json: bool, source: str = "document") -> Iterator[Any]:
    from pathturn.control.peer import ControlClient, ControlError, NoGatewayError

    try:
        peer = ControlClient(control)
        try:
            yield peer
        finally:
            peer.close()
    except NoGatewayError as error:
        raise common.fail(common.NO_RESPONSE, str(error)) from None
    except ControlError as error:
        if "faults" in error.data:
            common.show_faults(error.data["faults"], as_json, source)
            raise typer.Exit(common.FAULTY) from None
        raise common.fail(common.REFUSED, str(error)) from None


def _read_document(file: Path) -> Any:
    from pathturn.config.read import InvalidDocumentError, parse

    try:
        return parse(common.read_file(file))
    except InvalidDocumentError as error:
        common.show_faults([fault._asdict() for fault in error.faults], False, str(file))
        raise typer.Exit(common.FAULTY) from None


def _format_change(change: dict[str, Any]) -> str:
    since = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(change["since_us"] / 1e6))
    share = f" at {change['share']:.0%}" if change["state"] == "canary" else ""
    return (
        f"{since}  {change['id']}  {change['state']}{share}  {change['base']} -> {change['generation']}  "
        f"{change['who']}: {change['why']}\n    {'; '.join(change['what'])}"
        + (f"\n    {change['reason']}" if change["reason"] else "")
    )


@app.command()
def check(file: File, control: common.Socket, as_json: common.AsJson = False) -> None:
    """Check a document against the running gateway, without changing it."""
    with _connect(control, as_json, str(file)) as peer:
        result = peer.call("config.check", document=_read_document(file))
        common.show(
            result, as_json, "no faults: " + ", ".join(f"{number} {name}" for name, number in result.items())
        )


@app.command()
def stage(
    file: File,
    control: common.Socket,
    why: Why,
    who: Who,
    identity: Annotated[
        str | None, typer.Option("--id", help="id of the change, to repeat the command safely")
    ] = None,
    base: Annotated[int | None, typer.Option(help="the generation that it is based on")] = None,
    as_json: common.AsJson = False,
) -> None:
    """Stage a document as a change, without effect on the traffic yet."""
    document = _read_document(file)
    with _connect(control, as_json, str(file)) as peer:
        base = peer.call("change.status")["generation"] if base is None else base
        identity = identity or f"c{time.time_ns() // 1_000_000}"
        result = peer.call("change.stage", id=identity, base=base, who=who, why=why, document=document)
        common.show(result, as_json, _format_change(result))


@app.command()
def apply(
    identity: Id,
    control: common.Socket,
    wait: Annotated[
        bool, typer.Option("--wait", help="wait until the change is kept (exit 0) or undone (exit 1)")
    ] = False,
    as_json: common.AsJson = False,
) -> None:
    """Start the trial of a staged change: canary steps, then all traffic, monitored."""
    with _connect(control, as_json) as peer:
        result = peer.call("change.apply", id=identity)
        while wait and result["state"] not in ENDED:
            time.sleep(POLL_INTERVAL_S)
            result = _fetch_change(peer, identity)
        common.show(result, as_json, _format_change(result))
    if result["state"] == "undone":
        raise typer.Exit(common.FAULTY)


def _fetch_change(peer: Any, identity: str) -> dict[str, Any]:
    change = peer.call("change.status")["change"]
    if change is not None and change["id"] == identity:
        return change
    return next(past for past in peer.call("change.history", most=1000) if past["id"] == identity)


@app.command()
def undo(identity: Id, control: common.Socket, why: Why, who: Who, as_json: common.AsJson = False) -> None:
    """Roll back an open change at once."""
    with _connect(control, as_json) as peer:
        result = peer.call("change.undo", id=identity, who=who, why=why)
        common.show(result, as_json, _format_change(result))


@app.command()
def status(control: common.Socket, as_json: common.AsJson = False) -> None:
    """Show the current generation, the open change and the findings of its canary analysis."""
    with _connect(control, as_json) as peer:
        result = peer.call("change.status")
        common.show(result, as_json, _format_status(result))


def _format_status(result: dict[str, Any]) -> str:
    lines = [f"current generation {result['generation']}"]
    lines += [
        f"  pool {name}: {pool['ready']} of {pool['engines']} engines ready"
        for name, pool in result["pools"].items()
    ]
    if result["change"] is not None:
        lines.append(
            _format_change(result["change"]) + f"\n    {result['share']:.0%} of the split keys, "
            f"{result['due_us'] / 1e6:.0f} s left"
        )
    lines += [
        f"    {finding['group']}: {finding['metric']} {finding['touched']:.1%} "
        f"against {finding['expected']:.1%}, {finding['batches']} batches"
        + ("  HARM" if finding["harm"] else "")
        for finding in result["findings"]
    ]
    return "\n".join(lines)


@app.command()
def watch(control: common.Socket) -> None:
    """Show the trial of a change in a live table until it ends. Exit codes: 0 kept or none, 1 undone."""
    try:
        from rich.live import Live
    except ImportError:
        raise common.fail(
            common.USAGE, "watch needs the package rich: pip install 'pathturn[tools]'"
        ) from None
    with _connect(control, False) as peer, Live(auto_refresh=False) as live:
        identity = None
        while True:
            result = peer.call("change.status")
            live.update(_findings_table(result), refresh=True)
            if result["change"] is None:
                break
            identity = result["change"]["id"]
            time.sleep(POLL_INTERVAL_S)
        last = _fetch_change(peer, identity) if identity else None
    if last is not None:
        typer.echo(_format_change(last))
        if last["state"] == "undone":
            raise typer.Exit(common.FAULTY)


def _findings_table(result: dict[str, Any]) -> Any:
    from rich.table import Table

    change = result["change"]
    title = (
        f"generation {result['generation']}, no change open"
        if change is None
        else f"{change['id']} {change['state']}, {result['share']:.0%}, {result['due_us'] / 1e6:.0f} s left"
    )
    table = Table("group", "metric", "touched", "without", "batches", "score", title=title)
    for finding in result["findings"]:
        table.add_row(
            finding["group"],
            finding["metric"],
            f"{finding['touched']:.1%}",
            f"{finding['expected']:.1%}",
            str(finding["batches"]),
            f"{finding['score']:.1f} of {finding['bound']:.1f}",
            style="bold red" if finding["harm"] else "",
        )
    return table


@app.command()
def history(
    control: common.Socket,
    most: Annotated[int, typer.Option(help="maximum number of changes, latest first")] = 20,
    as_json: common.AsJson = False,
) -> None:
    """Show past changes: who, when, what, why, and the figures of their canary analysis."""
    with _connect(control, as_json) as peer:
        result = peer.call("change.history", most=most)
        text = "\n".join(
            _format_change(change) + "".join(f"\n    {figure}" for figure in change["figures"])
            for change in result
        )
        common.show(result, as_json, text or "no changes yet")

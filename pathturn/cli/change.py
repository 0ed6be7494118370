"""Commands on a running gateway's changes, by its control socket.

Exit codes: 0 done, 1 the document has faults or the change was undone, 2 usage, 3 refused, 4 no gateway
answered.
"""

import getpass
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, Any

import typer

from pathturn.cli import common

app = typer.Typer(no_args_is_help=True, help="Change a running gateway: whole, watched, undone by itself.")
File = Annotated[Path, typer.Argument(help="a document in JSON, or - for standard input")]
Id = Annotated[str, typer.Argument(metavar="ID", help="the change's id")]
Why = Annotated[str, typer.Option("--why", help="for the ledger")]
Who = Annotated[
    str,
    typer.Option(
        "--who",
        default_factory=getpass.getuser,
        show_default=False,
        help="for the ledger; the user by default",
    ),
]
LOOK_S = 0.5
ENDED = ("kept", "undone")


@contextmanager
def _gateway(control: str, as_json: bool, source: str = "document") -> Iterator[Any]:
    from pathturn.control.peer import Answered, Peer, Unanswered

    try:
        peer = Peer(control)
        try:
            yield peer
        finally:
            peer.close()
    except Unanswered as fault:
        raise common.fail(common.UNANSWERED, str(fault)) from None
    except Answered as fault:
        if "faults" in fault.data:
            common.show_faults(fault.data["faults"], as_json, source)
            raise typer.Exit(common.FAULTY) from None
        raise common.fail(common.REFUSED, str(fault)) from None


def _document(file: Path) -> Any:
    from pathturn.config.read import Unusable, parse

    try:
        return parse(common.read_file(file))
    except Unusable as fault:
        common.show_faults([each._asdict() for each in fault.faults], False, str(file))
        raise typer.Exit(common.FAULTY) from None


def _line(change: dict[str, Any]) -> str:
    when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(change["since_us"] / 1e6))
    share = f" at {change['share']:.0%}" if change["state"] == "canary" else ""
    return (
        f"{when}  {change['id']}  {change['state']}{share}  {change['base']} -> {change['generation']}  "
        f"{change['who']}: {change['why']}\n    {'; '.join(change['what'])}"
        + (f"\n    {change['reason']}" if change["reason"] else "")
    )


@app.command()
def check(file: File, control: common.Socket, as_json: common.AsJson = False) -> None:
    """Check a document against the running gateway; nothing is changed."""
    with _gateway(control, as_json, str(file)) as peer:
        found = peer.call("config.check", document=_document(file))
        common.show(found, as_json, "nothing wrong: " + ", ".join(f"{n} {name}" for name, n in found.items()))


@app.command()
def stage(
    file: File,
    control: common.Socket,
    why: Why,
    who: Who,
    identity: Annotated[str | None, typer.Option("--id", help="asked twice, it is one change")] = None,
    base: Annotated[int | None, typer.Option(help="the generation it is based on")] = None,
    as_json: common.AsJson = False,
) -> None:
    """Stage a document as a change; the traffic is not touched yet."""
    document = _document(file)
    with _gateway(control, as_json, str(file)) as peer:
        base = peer.call("change.status")["generation"] if base is None else base
        identity = identity or f"c{time.time_ns() // 1_000_000}"
        found = peer.call("change.stage", id=identity, base=base, who=who, why=why, document=document)
        common.show(found, as_json, _line(found))


@app.command()
def apply(
    identity: Id,
    control: common.Socket,
    wait: Annotated[
        bool, typer.Option("--wait", help="until it is kept (exit 0) or undone (exit 1)")
    ] = False,
    as_json: common.AsJson = False,
) -> None:
    """Begin a staged change's trial: canary steps, then all traffic, watched."""
    with _gateway(control, as_json) as peer:
        found = peer.call("change.apply", id=identity)
        while wait and found["state"] not in ENDED:
            time.sleep(LOOK_S)
            found = _found(peer, identity)
        common.show(found, as_json, _line(found))
    if found["state"] == "undone":
        raise typer.Exit(common.FAULTY)


def _found(peer: Any, identity: str) -> dict[str, Any]:
    change = peer.call("change.status")["change"]
    if change is not None and change["id"] == identity:
        return change
    return next(each for each in peer.call("change.history", most=1000) if each["id"] == identity)


@app.command()
def undo(identity: Id, control: common.Socket, why: Why, who: Who, as_json: common.AsJson = False) -> None:
    """Undo an open change at once."""
    with _gateway(control, as_json) as peer:
        found = peer.call("change.undo", id=identity, who=who, why=why)
        common.show(found, as_json, _line(found))


@app.command()
def status(control: common.Socket, as_json: common.AsJson = False) -> None:
    """Show the generation in force, the open change and what the guard sees."""
    with _gateway(control, as_json) as peer:
        found = peer.call("change.status")
        common.show(found, as_json, _status(found))


def _status(found: dict[str, Any]) -> str:
    lines = [f"generation {found['generation']} in force"]
    lines += [
        f"  pool {name}: {each['ready']} ready of {each['engines']}" for name, each in found["pools"].items()
    ]
    if found["change"] is not None:
        lines.append(
            _line(found["change"]) + f"\n    {found['share']:.0%} of the units, "
            f"{found['due_us'] / 1e6:.0f} s left"
        )
    lines += [
        f"    {each['group']}: {each['metric']} {each['touched']:.1%} against {each['expected']:.1%}, "
        f"{each['batches']} batches" + ("  HARM" if each["harm"] else "")
        for each in found["findings"]
    ]
    return "\n".join(lines)


@app.command()
def watch(control: common.Socket) -> None:
    """Follow a change on trial in a live table, until it ends. Exit 0: kept or none, 1: undone."""
    try:
        from rich.live import Live
    except ImportError:
        raise common.fail(common.USAGE, "watch needs rich: pip install 'pathturn[tools]'") from None
    with _gateway(control, False) as peer, Live(auto_refresh=False) as live:
        identity = None
        while True:
            found = peer.call("change.status")
            live.update(_table(found), refresh=True)
            if found["change"] is None:
                break
            identity = found["change"]["id"]
            time.sleep(LOOK_S)
        last = _found(peer, identity) if identity else None
    if last is not None:
        typer.echo(_line(last))
        if last["state"] == "undone":
            raise typer.Exit(common.FAULTY)


def _table(found: dict[str, Any]) -> Any:
    from rich.table import Table

    change = found["change"]
    title = (
        f"generation {found['generation']}, no change open"
        if change is None
        else f"{change['id']} {change['state']}, {found['share']:.0%}, {found['due_us'] / 1e6:.0f} s left"
    )
    table = Table("group", "metric", "touched", "without", "batches", "score", title=title)
    for each in found["findings"]:
        table.add_row(
            each["group"],
            each["metric"],
            f"{each['touched']:.1%}",
            f"{each['expected']:.1%}",
            str(each["batches"]),
            f"{each['score']:.1f} of {each['bound']:.1f}",
            style="bold red" if each["harm"] else "",
        )
    return table


@app.command()
def history(
    control: common.Socket,
    most: Annotated[int, typer.Option(help="so many, the latest first")] = 20,
    as_json: common.AsJson = False,
) -> None:
    """Show past changes: who, when, what, why, and what the guard saw."""
    with _gateway(control, as_json) as peer:
        found = peer.call("change.history", most=most)
        text = "\n".join(
            _line(each) + "".join(f"\n    {figure}" for figure in each["figures"]) for each in found
        )
        common.show(found, as_json, text or "no change yet")

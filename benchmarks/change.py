"""Figures of transactional changes: the guard on seeded days, the ledger at each kill point, routes at size,
a gateway between stand-ins, and what plain `serve` pays for all of it."""

import os
import shutil
import subprocess
import sys
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any

import orjson

from benchmarks import traffic
from pathturn.change import states
from pathturn.change.canary_analysis import CanaryAnalysis
from pathturn.change.ledger import Ledger
from pathturn.change.states import Change
from pathturn.config.document import ChangePolicy, Document, Match, Pool, Route
from pathturn.config.read import canonical, run_to_completion
from pathturn.routing.index import RouteIndex
from pathturn.routing.table import match_boxes

Say = Callable[[str], None]
BEFORE = "115e5be"  # the build without routes and changes
POLICY = ChangePolicy()
SPARE = 3  # cores left to the gateway between stand-ins while the guard's days run


def run(quick: bool, say: Say) -> dict[str, Any]:
    figures: dict[str, Any] = {}
    say("wire, and beside it on other cores the guard ...")
    beside = wire(quick)
    figures |= guard(quick)
    figures |= wired(beside)
    for name, part in (("ledger", ledger), ("look-ups", lookups), ("plain serve", plain)):
        say(f"{name} ...")
        figures |= part(quick)
    return figures


# The guard, against a plain one: the total share of late batches, 5 points over its share before.
def guard(quick: bool) -> dict[str, Any]:
    chance, days, span = Random(1), (1_000, 180) if quick else (4_000, 2_000), 30 if quick else 60
    harmless = [(seed, traffic.harmless(chance, span), traffic.RATE, span) for seed in range(days[0])]
    harmful = [
        (10**6 + seed, traffic.harmful(chance, span, False), traffic.GROUP_RATE, span)
        for seed in range(days[1])
    ]
    crashed = [
        (10**7 + seed, traffic.harmful(chance, span, True), traffic.GROUP_RATE, span)
        for seed in range(days[1] // 3)
    ]
    thin = [
        (10**8 + seed, traffic.harmful(chance, span, False), traffic.RATE, span)
        for seed in range(days[1] // 3)
    ]
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 1) - SPARE)) as pool:
        calm = list(pool.map(watch, harmless, chunksize=8))
        found = list(pool.map(watch, harmful, chunksize=4))
        shaken = list(pool.map(watch, crashed, chunksize=4))
        seldom = list(pool.map(watch, thin, chunksize=4))
    return {
        "false_undo_share": _share(ours is not None for ours, _ in calm),
        "false_undo_share_plain": _share(plain is not None for _, plain in calm),
        "harm_found_share": _share(ours is not None for ours, _ in found),
        "harm_found_share_plain": _share(plain is not None for _, plain in found),
        "harm_found_s_p50": _quantile([ours for ours, _ in found], 0.5),
        "harm_found_s_p95": _quantile([ours for ours, _ in found], 0.95),
        "harm_found_s_p95_plain": _quantile([plain for _, plain in found], 0.95),
        "harm_found_share_with_crash": _share(ours is not None for ours, _ in shaken),
        "harm_found_s_p95_with_crash": _quantile([ours for ours, _ in shaken], 0.95),
        "harm_found_share_60_in_all": _share(ours is not None for ours, _ in seldom),
        "harm_found_s_p95_60_in_all": _quantile([ours for ours, _ in seldom], 0.95),
    }


def watch(case: tuple[int, traffic.Day, float, int]) -> tuple[float | None, float | None]:
    """When the guard, and the plain one, would have undone the change; None if never."""
    seed, day, rate, span = case
    chance = Random(seed)
    before = traffic.before(chance, day, rate)
    judge, plain = CanaryAnalysis(before, POLICY), traffic.Plain(before)
    found: list[float | None] = [None, None]
    look = 1.0
    for at, side, ended in traffic.during(chance, day, POLICY.canary[0].share, rate, span):
        while at >= look:
            if found[0] is None and judge.worst_harm() is not None:
                found[0] = look
            if found[1] is None and plain.harm():
                found[1] = look
            look += 1.0 if look < 12 else 2.0
        judge.add(int(at * 1e6), side, ended)
        plain.add(side, ended)
        if None not in found or (day.points and found[0] is not None and look > 15):
            break
    return found[0], found[1]


def _share(cases: Any) -> float:
    rows = list(cases)
    return round(sum(rows) / len(rows), 4)


def _quantile(values: list[float | None], part: float) -> float | None:
    """What was never found counts as later than everything."""
    rows = sorted(float("inf") if value is None else value for value in values)
    found = rows[min(len(rows) - 1, int(part * len(rows)))]
    return None if found == float("inf") else found


# The ledger, at each point where a kill would find another state.
def ledger(quick: bool) -> dict[str, Any]:
    with TemporaryDirectory() as folder:
        points, halves, torn, torn_halves = kill_everywhere(Path(folder), 512 if quick else 64)
    return {"kill_points": points + torn, "half_states": halves + torn_halves, "torn_points": torn}


def kill_everywhere(folder: Path, every: int) -> tuple[int, int, int, int]:
    """Plays a life of two changes. At each point the files are copied as a kill would leave them; and the log
    is cut after every so many bytes, as a loss of power would. Each copy must open whole, in an old or a new
    state."""
    shots: list[tuple[Path, dict[str, Any]]] = []
    legal: list[dict[str, Any]] = []

    def shoot(point: str) -> None:
        copy = folder / f"shot{len(shots)}"
        copy.mkdir()
        for each in folder.glob("live*"):
            shutil.copy(each, copy / each.name)
        shots.append((copy, {}))

    book = Ledger(folder / "live.db", shoot)
    legal.append(_state(book))
    for step in _life(book):
        step()
        legal.append(_state(book))
    halves = sum(not _whole(copy / "live.db", legal) for copy, _ in shots)
    log = (folder / "live.db-wal").read_bytes()
    torn = torn_halves = 0
    for size in range(0, len(log), every):
        copy = folder / f"torn{size}"
        copy.mkdir()
        shutil.copy(folder / "live.db", copy / "live.db")
        (copy / "live.db-wal").write_bytes(log[:size])
        torn += 1
        torn_halves += not _whole(copy / "live.db", legal)
        shutil.rmtree(copy)
    book.close()
    return len(shots), halves, torn, torn_halves


def _life(book: Ledger) -> list[Callable[[], Any]]:
    document = canonical(Document(1, {"all": Pool()}, "all"))
    first = Change("a", 1, 2, "w", "y", "staged", POLICY, 5)
    canary = states.start(first, 6)
    watched = states.advance(canary, 7)
    second = Change("b", 2, 3, "w", "y", "staged", POLICY, 9)
    tried = states.start(second, 10)
    return [
        lambda: book.initialize(document),
        lambda: book.record_staged(first, document),
        lambda: book.record_step(canary),
        lambda: book.record_step(watched),
        lambda: book.record_step(states.keep(watched, 8, "", ())),
        lambda: book.record_staged(second, document),
        lambda: book.record_step(tried),
        lambda: book.record_step(states.roll_back(tried, 11, "harm")),
    ]


def _state(book: Ledger) -> dict[str, Any]:
    left = book.open_change()
    return {
        "present": book.current_generation(),
        "open": left and (left.id, left.state),
        "changes": [(each.id, each.state) for each in book.history()],
        "generations": book.generations(),
    }


def _whole(path: Path, legal: list[dict[str, Any]]) -> bool:
    """Whether it opens in a state that was reached, and recovers to a whole generation with nothing open."""
    book = Ledger(path)
    try:
        before = _state(book)
        book.recover(99)
        after = _state(book)
        number = after["present"]
        readable = not number or book.document(number) is not None
        return (
            before in [*legal, {"present": 0, "open": None, "changes": [], "generations": []}]
            and after["open"] is None
            and after["present"] == before["present"]
            and readable
        )
    finally:
        book.close()


# Routes: the index against a scan that looks at each route in turn.
def routes(number: int, seed: int = 3) -> Document:
    chance, made = Random(seed), []
    for at in range(number):
        sort = at % 4
        made.append(
            Route(
                f"r{at}",
                "all",
                Match(
                    groups=(chance.choice(("look", "pay", "load")),) if sort != 3 else None,
                    customers=(f"farm{at}",) if sort in (0, 3) else None,
                    key_prefixes=(f"k{at:06d}",) if sort == 1 else None,
                    data_sets=((10 * at, 10 * at + 6),) if sort in (2, 3) else None,
                ),
            )
        )
    return Document(1, {"all": Pool()}, "all", tuple(made))


def lookups(quick: bool) -> dict[str, Any]:
    per = {number: _lookup_us(number, 20_000 if quick else 100_000) for number in (100, 10_000)}
    document = routes(10_000)
    asked = _asked(10_000, 40 if quick else 200)
    plain = list(match_boxes(document))
    began = time.perf_counter()
    expected = [scan(plain, *each) for each in asked]
    linear = (time.perf_counter() - began) / len(asked) * 1e6
    index = RouteIndex(("look", "pay", "load"))
    run_to_completion(index.build(match_boxes(document)))
    if [index.first_match(*each) for each in asked] != expected:
        raise AssertionError("the index and the scan differ")
    return {
        "lookup_us_10k": round(per[10_000], 2),
        "lookup_us_scan_10k": round(linear, 1),
        "lookup_speedup": round(linear / per[10_000]),
        "lookup_growth": round(per[10_000] / per[100], 2),
    }


def _lookup_us(number: int, times: int) -> float:
    index = RouteIndex(("look", "pay", "load"))
    run_to_completion(index.build(match_boxes(routes(number))))
    asked = _asked(number, 500)
    best = float("inf")
    for _ in range(3):
        began = time.perf_counter()
        for turn in range(times):
            index.first_match(*asked[turn % 500])
        best = min(best, (time.perf_counter() - began) / times * 1e6)
    return best


def _asked(number: int, times: int) -> list[tuple]:
    chance = Random(4)
    return [
        (
            chance.choice(("look", "pay", "load")),
            f"farm{chance.randrange(number)}",
            f"k{chance.randrange(number):06d}-7",
            chance.randrange(10 * number),
        )
        for _ in range(times)
    ]


def scan(plain: list, group: str, customer: str | None, key: str | None, data_set: int) -> int | None:
    """The plain way: the first that fits, each looked at in turn."""
    for box in plain:
        if (
            (box.groups is None or group in box.groups)
            and (box.customers is None or customer in box.customers)
            and (box.prefixes is None or any((key or "").startswith(each) for each in box.prefixes))
            and (box.ranges is None or any(low <= data_set <= high for low, high in box.ranges))
        ):
            return box.position
    return None


# A gateway between stand-ins, in a process of its own: its loop is what is measured.
def wire(quick: bool, module: str = "benchmarks.change_wire") -> subprocess.Popen:
    return subprocess.Popen(
        [sys.executable, "-m", module, "quick" if quick else "full"],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def wired(running: subprocess.Popen) -> dict[str, Any]:
    told, faults = running.communicate(timeout=300)
    if running.returncode:
        raise RuntimeError(faults[-2000:])
    return orjson.loads(told.splitlines()[-1])


# What plain serve pays: this build with and without an operator's file, and the build before.
def plain(quick: bool) -> dict[str, Any]:
    root, times = Path(__file__).parent.parent, 2 if quick else 7
    with TemporaryDirectory() as folder:
        old = Path(folder) / "before"
        old.mkdir()
        packed = subprocess.run(["git", "-C", str(root), "archive", BEFORE], capture_output=True, check=False)
        known = (
            packed.returncode == 0
            and subprocess.run(["tar", "-x", "-C", str(old)], input=packed.stdout, check=False).returncode
            == 0
        )
        now = [start(root, Path(folder), False) for _ in range(times)]
        then = [start(old, Path(folder), False) for _ in range(times)] if known else []
        full = [start(root, Path(folder), True) for _ in range(times)]
    figures = {
        "plain_serve_rss_mb": min(row[0] for row in now),
        "start_s": min(row[1] for row in now),
        "operator_serve_rss_mb": min(row[0] for row in full),
        "operator_start_s": min(row[1] for row in full),
    }
    if then:
        figures |= {
            "plain_serve_rss_mb_before": min(row[0] for row in then),
            "start_s_before": min(row[1] for row in then),
        }
    return figures


def start(root: Path, folder: Path, operated: bool) -> tuple[float, float]:
    """Resident megabytes and seconds to the line `ready` of one gateway."""
    from pathturn.standins.fleet import Fleet, free_address, write_installation

    fleet = Fleet()
    fleet.engine("e")
    config = folder / "config.json"
    host, port = free_address()
    config.write_bytes(orjson.dumps(fleet.configuration(f"{host}:{port}")))
    extra = []
    if operated:
        write_installation(folder, {"version": 1, "pools": {"all": {}}, "default": "all"})
        extra = ["--operator", str(folder / "operator.json")]
    began = time.perf_counter()
    running = subprocess.Popen(
        [sys.executable, "-m", "pathturn", "serve", str(config), *extra],
        cwd=root,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        for line in running.stderr:
            if line.rstrip().endswith("ready"):
                break
        took = time.perf_counter() - began
        time.sleep(0.2)
        pages = int(Path(f"/proc/{running.pid}/statm").read_text().split()[1])
    finally:
        running.kill()
        running.wait()
        fleet.stop()
    return round(pages * 4096 / 1e6, 1), round(took, 3)

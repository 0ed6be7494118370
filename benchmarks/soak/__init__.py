"""A soak of stops: each seed starts a gateway between stand-ins, plays clients, engines and signals drawn
from the seed, and counts on the clients' and engines' side what ended wrongly. `--seeds FIRST:COUNT` names
the seeds."""

import subprocess
import sys
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from shutil import rmtree
from tempfile import TemporaryDirectory
from typing import Any

import orjson

from benchmarks.soak.judge import Counts

FIRST, SEEDS, QUICK_SEEDS = 1, 50, 6
# Plain gateways of the same run: so many of its seeds.
PLAIN_SEEDS = 2
# Logs of failing seeds are kept here, those of the last run alone, and no more than so many.
LOGS, MOST_LOGS = Path("var/soak"), 20
MOST_LINES = 10
PLAY_S = 60  # one that takes longer is counted as a failed restart


def run(quick: bool, say: Callable[[str], None], seeds: tuple[int, int] | None = None) -> dict[str, Any]:
    """Play all seeds; return sums, the seeds that failed, and a plain baseline of the same run."""
    first, count = seeds or (FIRST, QUICK_SEEDS if quick else SEEDS)
    rmtree(LOGS, ignore_errors=True)
    LOGS.mkdir(parents=True)
    sums, failed = Counts(), []
    stalls = [0]

    for seed in range(first, first + count):
        told = _play(seed, "gateway")
        counts = Counts(**told["counts"])
        sums.add(counts)
        stalls.append(told["judge_stall_ms"])
        if counts.faults():
            failed.append(seed)
        _report(told, counts, say)
    plain = Counts()
    for seed in range(first, first + min(PLAIN_SEEDS, count)):
        plain.add(Counts(**_play(seed, "plain")["counts"]))
    return {
        "seeds": count,
        "first_seed": first,
        "failed_seeds": sorted(failed),
        **asdict(sums),
        "judge_stall_ms_most": max(stalls),
        "plain": asdict(plain),
    }


def _report(told: dict[str, Any], counts: Counts, say: Callable[[str], None]) -> None:
    """Say in a line how a seed went and how to play it again, and in further ones what went wrong."""
    seed = told["seed"]
    say(
        f"seed {seed}: {counts.requests} requests, {counts.served} served, {counts.rejected} rejected, "
        f"{counts.failed} failed, {counts.faults() or 'no fault'}, exit after {told['exit_s']} s, judge "
        f"stall {told['judge_stall_ms']} ms; python -m benchmarks soak --seeds {seed}:1"
    )
    for line in told["faults"][:MOST_LINES]:
        say(f"seed {seed}: {line}")


def _play(seed: int, module: str) -> dict[str, Any]:
    """One play in a process of its own; its log is kept where it fails."""
    with TemporaryDirectory() as folder:
        log = Path(folder) / "gateway.log"
        done = subprocess.run(
            [sys.executable, "-m", "benchmarks.soak.play", str(seed), module, str(log)],
            capture_output=True,
            check=False,
            timeout=PLAY_S,
        )
        if done.returncode:
            raise RuntimeError(f"seed {seed} could not be played: {done.stderr.decode()[-2000:]}")
        told = orjson.loads(done.stdout.splitlines()[-1])
        if (
            module == "gateway"
            and Counts(**told["counts"]).faults()
            and len(list(LOGS.iterdir())) < MOST_LOGS
        ):
            text = "\n".join([*told["faults"], "", log.read_text(errors="replace")])
            (LOGS / f"seed-{seed}.log").write_text(text)
    return told

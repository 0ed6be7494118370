"""Carries a change through its life: ledger, tables, watch. What to do is told by `states` and `guard`; here
it is done, each step in the ledger before it takes effect.

Requests come one at a time, also those of the watch itself: whoever comes second finds the first one's state.
"""

from collections.abc import Callable, Generator
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

import gevent
from gevent.lock import RLock
from msgspec import Raw
from msgspec.structs import replace

from pathturn.background.scheduler import JobQueueFull, Scheduler
from pathturn.change import states
from pathturn.change.canary_analysis import (
    CONTROL,
    TREATMENT,
    UNRELATED,
    Baseline,
    BatchOutcome,
    CanaryAnalysis,
    Finding,
)
from pathturn.change.document_diff import affects_batches, diff_documents
from pathturn.change.ledger import Ledger, LedgerWriteError, checksum
from pathturn.change.recent_outcomes import RecentOutcomes
from pathturn.change.states import Change, ChangeRefusedError, Observation
from pathturn.config.document import Document
from pathturn.config.read import Unusable, canonical, encoding, parse, parsing, reading, spend, through
from pathturn.core import interface as names
from pathturn.memory.batches import Batch, End
from pathturn.memory.facade import Facade
from pathturn.routing.checks import ValidationContext, validate_in_slices
from pathturn.routing.router import Router, batch_attributes, routing_differs
from pathturn.routing.table import RoutingTable

LOOK_S = 0.25  # how often the watch looks
DISK_S = 2.0  # an undo waits so long for its place in the ledger; a crash would undo it all the same
URGENT, USUAL = 1, 5  # priorities of background jobs: what a watched change waits for, and the rest
LONGEST_TEXT = 2_000  # of who and why


class ChangeRequest(NamedTuple):
    """A change as an operator asks for it; the same id twice is the same change. The document may be JSON
    still."""

    id: str
    base: int
    who: str
    why: str
    document: Any


class ChangeManager:
    def __init__(
        self,
        facade: Facade,
        ledger: Ledger,
        scheduler: Scheduler,
        validation_context: Callable[[], ValidationContext],
        clock: Callable[[], int],
        log: Callable[[str], None],
    ) -> None:
        self.facade, self.ledger, self.scheduler = facade, ledger, scheduler
        self.validation_context = validation_context
        self.clock, self.log = clock, log
        self.router, self.recent_outcomes, self.lock = Router(), RecentOutcomes(), RLock()
        self.change: Change | None = None
        self.candidate_table: RoutingTable | None = None
        self.analysis: CanaryAnalysis | None = None
        self.began_us, self.rollback_us, self.stopped = 0, 0, False

    # Start and stop.
    def start(self, document: Path) -> None:
        """Before the first batch: what was not kept is undone, then the kept generation is put in force.
        Raises Unusable, LedgerUnusableError or LedgerWriteError."""
        ended = self.ledger.recover(self.clock())
        if ended is not None:
            self.log(f"change {ended.id} code=undone reason={ended.reason}")
        number = self.ledger.current_generation()
        if not number:
            first = self._checked(through(reading(parse(document.read_bytes()))))
            number = self.ledger.initialize(canonical(first))
        self.router.update_engines(self.facade.engine_registry.engine_entries)
        table = RoutingTable(number, self.ledger.document(number), self.facade.groups)
        through(self.router.compile(table))
        self.router.activate(table)
        self.facade.use_router(self.router, batch_attributes, self.on_batch_end)
        self.log(f"generation {number} code=in_force routes={len(table.targets)} pools={len(table.pools)}")

    def _checked(self, document: Document) -> Document:
        faults = through(validate_in_slices(document, self.validation_context()))
        if faults:
            raise Unusable(faults)
        return document

    def run(self) -> None:
        while True:
            gevent.sleep(LOOK_S)
            try:
                self.evaluate_trial()
            except Exception as fault:  # noqa: BLE001 - a watch that ended would leave a change unwatched for ever
                self._abandon(f"the watch failed: {type(fault).__name__}: {fault}")

    def stop(self) -> None:
        """What is not kept by now is not kept: as after a crash, though told at once."""
        self.stopped = True
        self.scheduler.cancel_all("the gateway was told to stop")  # else a large document would hold it up
        with self.lock:
            if self.change is not None:
                self._undo("the gateway was told to stop")

    # Requests.
    def check(self, raw: Any) -> Document:
        """Raises Unusable with every fault. Read and checked in the background, as it may be long."""
        return self._job("check", self._checking(raw))

    def _checking(self, raw: Any) -> Generator[None, None, Document]:
        if isinstance(raw, (bytes, Raw)):
            told = yield from parsing(raw)
            document = yield from reading(told)
            yield from spend(told)
        else:
            document = yield from reading(raw)
        faults = yield from validate_in_slices(document, self.validation_context())
        if faults:
            raise Unusable(faults)
        return document

    def stage(self, request: ChangeRequest) -> Change:
        """Raises Unusable or ChangeRefusedError; a change that is known is given back as it stands."""
        _sane(request)
        document = self.check(request.document)
        with self.lock:
            known = self.ledger.find_change(request.id)
            if known is not None:
                return self._same(known, document)
            if self.stopped:
                raise ChangeRefusedError("stopping", "the gateway is stopping; ask the next one")
            number = self.ledger.last_generation() + 1
            wanted = Change(
                request.id,
                request.base,
                number,
                request.who,
                request.why,
                "staged",
                document.change,
                self.clock(),
            )
            change = states.stage(wanted, self.router.current.generation, self.change)
            what = self._job("what", diff_documents(self.router.current.document, document))
            change = replace(change, what=what)
            table = RoutingTable(change.generation, document, self.facade.groups)
            self._job("compile", self.router.compile(table))
            self._write(self.ledger.record_staged, change, self._job("encode", encoding(document)))
            self.change, self.candidate_table = change, table
            self._tell(change)
            return change

    def _same(self, known: Change, document: Document) -> Change:
        if known.generation in self.ledger.generations():
            kept = canonical(self.ledger.document(known.generation))
            if checksum(kept) != checksum(canonical(document)):
                raise ChangeRefusedError(
                    "reused", f"change {known.id!r} is another document; give this one an id of its own"
                )
        return known

    def apply(self, identity: str) -> Change:
        """Begins the trial; the answer is the change in its first step. One that has begun is given back."""
        with self.lock:
            if self.change is None or self.change.id != identity:
                return self._known(identity)
            if self.change.state != "staged":
                return self.change
            table, current = self.candidate_table, self.router.current
            baseline = self._job(
                "before",
                self.recent_outcomes.baseline(
                    lambda attributes: routing_differs(current, table, attributes), self.clock()
                ),
            )
            begun = states.start(self.change, self.clock())
            self._write(self.ledger.record_step, begun)
            self._begin(begun, baseline)
            return begun

    def undo(self, identity: str, who: str, why: str) -> Change:
        """At once. One that has been undone, by whomever, is given back; one that was kept is refused."""
        with self.lock:
            if self.change is not None and self.change.id == identity:
                return self._undo(f"undone by {who[:LONGEST_TEXT]}: {why[:LONGEST_TEXT]}")
            known = self._known(identity)
            if known.state == "kept":
                raise ChangeRefusedError(
                    "kept",
                    f"change {identity!r} is kept; stage the generation before it, "
                    f"{known.base}, as a change of its own",
                )
            return known

    def _known(self, identity: str) -> Change:
        known = self.ledger.find_change(identity)
        if known is None:
            raise ChangeRefusedError("unknown", f"no change {identity!r}; see `change history`")
        return known

    def history(self, most: int) -> list[Change]:
        with self.lock:
            return gevent.get_hub().threadpool.apply(self.ledger.history, (most,))

    def status(self) -> dict[str, Any]:
        trial = self.change is not None and self.change.state in ("canary", "watched")
        findings = self.analysis.findings() if trial and self.analysis else []
        return {
            "generation": self.router.current.generation,
            "change": None if self.change is None else change_as_dict(self.change),
            "share": self.router.candidate_share if trial else 0.0,
            "due_us": self._due_us() if trial else 0,
            "findings": [finding._asdict() | {"harm": finding.is_harm} for finding in findings],
            "unjudged": self.analysis.unjudged_groups() if trial and self.analysis else [],
            "pools": {
                name: {"engines": len(pool.members), "ready": len(pool.ready)}
                for name, pool in self.router.current.pools.items()
            },
        }

    def _due_us(self) -> int:
        change = self.change
        span = change.policy.canary[change.step].hold if change.state == "canary" else change.policy.watch
        return max(0, change.since_us + span - self.clock())

    # The watch.
    def on_batch_end(self, batch: Batch, end: End) -> None:
        """How a batch ended, told by the facade; batches that were withdrawn count too."""
        now, told = self.clock(), batch.attributes
        ended = _batch_outcome(batch, end, now, self.facade.groups[batch.group])
        self.recent_outcomes.add(now, told, ended)
        if self.analysis is None or batch.received_us < self.began_us:
            return
        kind = routing_differs(self.router.current, self.candidate_table, told)
        served = batch.destination.generation == self.change.generation
        self.analysis.add(
            now - self.began_us, (TREATMENT if served else CONTROL) if kind else UNRELATED, ended
        )

    def evaluate_trial(self) -> None:
        """One look of the watch: what the guard sees, and what becomes of the change by it."""
        with self.lock:
            change = self.change
            if change is None or self.analysis is None:
                return
            judged = states.evaluate(change, self.clock(), self._observe())
            if judged is change:
                return
            if judged.state == "undone":
                self._undo(judged.reason, judged.figures)
                return
            try:
                self._write(self.ledger.record_step, judged)
            except LedgerWriteError as fault:
                self._undo(f"the ledger cannot be written: {fault}")
                return
            self._take(judged)

    def _observe(self) -> Observation:
        findings = self.analysis.findings()
        worst = max((each for each in findings if each.is_harm), key=Finding.severity, default=None)
        unjudged = self.analysis.unjudged_groups()
        if not self.analysis.affected_groups() and affects_batches(self.change.what):
            unjudged = ["anything that it touches"]  # none came: that is no proof of no harm
        return Observation(None if worst is None else str(worst), tuple(unjudged), tuple(map(str, findings)))

    # Steps take effect; no other place changes the tables.
    def _begin(self, change: Change, baseline: Baseline) -> None:
        self.analysis, self.began_us = CanaryAnalysis(baseline, change.policy), self.clock()
        self._take(change)

    def _take(self, change: Change) -> None:
        self.change = change
        if change.state == "kept":
            old = self.router.current
            self.router.activate(self.candidate_table)
            self._over(old)
        else:
            self.router.set_candidate(self.candidate_table, change.share, change.id)
        self._tell(change)

    def _undo(self, reason: str, figures: tuple[str, ...] = ()) -> Change:
        asked = self.clock()
        if not figures and self.analysis is not None:
            figures = tuple(map(str, self.analysis.findings()))
        undone = states.roll_back(self.change, asked, reason, figures)
        try:
            with gevent.Timeout(DISK_S, LedgerWriteError("the disk takes too long")):
                self._write(self.ledger.record_step, undone)
        except LedgerWriteError as fault:
            self.log(f"change {undone.id} code=undo_unwritten fault={fault}")
        # One turn of the loop: no round and no batch between the tables and what goes back to them.
        self.router.activate(self.router.current)
        moved = self.facade.reroute_unsent(undone.generation)
        self._over(self.candidate_table)
        self.rollback_us = self.clock() - asked
        self.log(f"change {undone.id} code=taken_back batches={moved} us={self.rollback_us}")
        self._tell(undone)
        return undone

    def _abandon(self, reason: str) -> None:
        self.log(f"change code=watch_failed reason={reason}")
        with self.lock:
            if self.change is not None:
                self._undo(reason)

    def _over(self, useless: RoutingTable) -> None:
        """The change has ended; the table that nobody goes by any more is freed in the background, as a large
        one takes twenty milliseconds."""
        self.change = self.candidate_table = self.analysis = None
        with suppress(JobQueueFull):
            self.scheduler.submit("free", useless.free(), USUAL)

    # The disk in a thread of its own, long work in the background.
    def _write(self, write: Callable[..., None], *values: Any) -> None:
        gevent.get_hub().threadpool.apply(write, values)

    def _job(self, name: str, steps: Generator[None, None, Any]) -> Any:
        return self.scheduler.submit(name, steps, URGENT).result.get()

    def _tell(self, change: Change) -> None:
        self.log(
            f"change {change.id} code={change.state} generation={change.generation} "
            f"share={change.share:g}" + (f" reason={change.reason}" if change.reason else "")
        )


def change_as_dict(change: Change) -> dict[str, Any]:
    """A change as answers and tables show it."""
    return {
        "id": change.id,
        "state": change.state,
        "generation": change.generation,
        "base": change.base,
        "who": change.who,
        "why": change.why,
        "what": list(change.what),
        "staged_us": change.staged_us,
        "since_us": change.since_us,
        "step": change.step,
        "share": change.share,
        "reason": change.reason,
        "figures": list(change.figures),
    }


def _sane(request: ChangeRequest) -> None:
    for name in ("id", "who", "why"):
        value = getattr(request, name)
        if type(value) is not str or not value.strip() or len(value) > LONGEST_TEXT:
            raise ChangeRefusedError(
                "usage", f"{name} is missing or too long; a change names its id, who and why"
            )
    if type(request.base) is not int:
        raise ChangeRefusedError("usage", "base is missing; name the generation that the change is based on")


def _batch_outcome(batch: Batch, end: End, now: int, group: names.ServiceGroup) -> BatchOutcome:
    took, how = now - batch.received_us, end.outcome or "given_up"
    late = how != names.RETURNED or took > batch.response_goal_us
    worth = 0.0 if how != names.RETURNED else group.late_utility if late else 1.0
    return BatchOutcome(batch.group, how, late, took, min(1.0, worth))

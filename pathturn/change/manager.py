"""Performs the steps of a change: writes the ledger, switches routing tables, and supervises the trial.

`states` and `canary_analysis` decide what to do; here it is done, each step written to the ledger before it
takes effect. Requests, also those of the supervision itself, run one at a time under a lock: a later one sees
the state that the earlier one left.
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
from pathturn.config.read import (
    InvalidDocumentError,
    canonical,
    encode_in_slices,
    free_in_slices,
    parse,
    parse_in_slices,
    read_in_slices,
    run_to_completion,
)
from pathturn.core import interface as names
from pathturn.memory.batches import Batch, End
from pathturn.memory.facade import Facade
from pathturn.routing.checks import ValidationContext, validate_in_slices
from pathturn.routing.router import Router, batch_attributes, routing_differs
from pathturn.routing.table import RoutingTable

EVALUATION_INTERVAL_S = 0.25
# A rollback takes effect after this time even if it can't be written: the next start would roll back anyway.
ROLLBACK_WRITE_TIMEOUT_S = 2.0
# Priorities of background jobs: those that a request waits for, and the rest.
HIGH_PRIORITY, LOW_PRIORITY = 1, 5
MAX_TEXT_LENGTH = 2_000  # of `id`, `who` and `why`


class ChangeRequest(NamedTuple):
    """An operator's request to stage a change. Requests with the same id mean the same change.

    The document is either JSON text or the value decoded from it.
    """

    id: str
    base: int
    who: str
    why: str
    document: Any


class ChangeManager:
    """Stages, tries, keeps and rolls back changes of the routing document; at most one is open at a time."""

    def __init__(
        self,
        facade: Facade,
        ledger: Ledger,
        scheduler: Scheduler,
        validation_context: Callable[[], ValidationContext],
        clock: Callable[[], int],
        log: Callable[[str], None],
    ) -> None:
        self.facade = facade
        self.ledger = ledger
        self.scheduler = scheduler
        self.validation_context = validation_context
        self.clock = clock
        self.log = log
        self.router = Router()
        self.recent_outcomes = RecentOutcomes()
        self.lock = RLock()
        self.change: Change | None = None
        self.candidate_table: RoutingTable | None = None
        self.analysis: CanaryAnalysis | None = None
        self.trial_started_us = 0
        self.rollback_us = 0  # duration of the last rollback
        self.stopped = False
        # What failed when the outcome of a batch was recorded, until the next evaluation.
        self.recording_fault: Exception | None = None

    # Start and stop.
    def start(self, document: Path) -> None:
        """Roll back what the last process left open, then activate the current generation.

        Called before the first batch. `document` is the first generation of a new ledger. Raises
        InvalidDocumentError, LedgerUnusableError or LedgerWriteError.
        """
        rolled_back = self.ledger.recover(self.clock())
        if rolled_back is not None:
            self.log(f"change {rolled_back.id} code=undone reason={rolled_back.reason}")
        number = self.ledger.current_generation()
        if not number:
            first = self._validated(run_to_completion(read_in_slices(parse(document.read_bytes()))))
            number = self.ledger.initialize(canonical(first))
        self.router.update_engines(self.facade.engine_registry.engine_entries)
        table = RoutingTable(number, self.ledger.document(number), self.facade.groups)
        run_to_completion(self.router.compile(table))
        self.router.activate(table)
        self.facade.use_router(self.router, batch_attributes, self.on_batch_end)
        self.log(f"generation {number} code=activated routes={len(table.targets)} pools={len(table.pools)}")

    def _validated(self, document: Document) -> Document:
        faults = run_to_completion(validate_in_slices(document, self.validation_context()))
        if faults:
            raise InvalidDocumentError(faults)
        return document

    def run(self) -> None:
        """Evaluate the trial periodically, without end."""
        while True:
            gevent.sleep(EVALUATION_INTERVAL_S)
            try:
                self.evaluate_trial()
            except Exception as fault:  # noqa: BLE001 - without this loop a trial would run unsupervised
                self._abandon_trial(fault)

    def stop(self) -> None:
        """Roll back an open change, as the next start would, and accept no further one."""
        self.stopped = True
        self.scheduler.cancel_all("the gateway is stopping")  # jobs on a large document would delay the stop
        with self.lock:
            if self.change is not None:
                self._roll_back("the gateway was told to stop")

    # Requests.
    def check(self, raw: Any) -> Document:
        """Parse and validate a document in the background, as it may be large.

        Raises InvalidDocumentError with all faults.
        """
        return self._run_job("check", self._parse_and_validate(raw))

    def _parse_and_validate(self, raw: Any) -> Generator[None, None, Document]:
        if isinstance(raw, (bytes, Raw)):
            decoded = yield from parse_in_slices(raw)
            document = yield from read_in_slices(decoded)
            yield from free_in_slices(decoded)
        else:
            document = yield from read_in_slices(raw)
        faults = yield from validate_in_slices(document, self.validation_context())
        if faults:
            raise InvalidDocumentError(faults)
        return document

    def stage(self, request: ChangeRequest) -> Change:
        """Stage a change; a change that is known already is returned in its present state.

        Raises InvalidDocumentError or ChangeRefusedError.
        """
        _validate_request(request)
        document = self.check(request.document)
        with self.lock:
            known = self.ledger.find_change(request.id)
            if known is not None:
                return self._same_change(known, document)
            if self.stopped:
                raise ChangeRefusedError("stopping", "the gateway is stopping; ask again after its restart")
            number = self.ledger.last_generation() + 1
            requested = Change(
                request.id,
                request.base,
                number,
                request.who,
                request.why,
                "staged",
                document.change,
                self.clock(),
            )
            change = states.stage(requested, self.router.current.generation, self.change)
            what = self._run_job("diff", diff_documents(self.router.current.document, document))
            change = replace(change, what=what)
            table = RoutingTable(change.generation, document, self.facade.groups)
            self._run_job("compile", self.router.compile(table))
            self._write(
                self.ledger.record_staged, change, self._run_job("encode", encode_in_slices(document))
            )
            self.change, self.candidate_table = change, table
            self._log_state(change)
            return change

    def _same_change(self, known: Change, document: Document) -> Change:
        if known.generation in self.ledger.generations():
            stored = canonical(self.ledger.document(known.generation))
            if checksum(stored) != checksum(canonical(document)):
                raise ChangeRefusedError(
                    "reused", f"change {known.id!r} has another document; give this one an id of its own"
                )
        return known

    def apply(self, identity: str) -> Change:
        """Start the trial and return the change in its first step; one on trial is returned as it is."""
        with self.lock:
            if self.change is None or self.change.id != identity:
                return self._find_change(identity)
            if self.change.state != "staged":
                return self.change
            table, current = self.candidate_table, self.router.current
            baseline = self._run_job(
                "baseline",
                self.recent_outcomes.baseline(
                    lambda attributes: routing_differs(current, table, attributes), self.clock()
                ),
            )
            started = states.start(self.change, self.clock())
            self._write(self.ledger.record_step, started)
            self._start_trial(started, baseline)
            return started

    def undo(self, identity: str, who: str, why: str) -> Change:
        """Roll back an open change at once.

        One that is rolled back already is returned as it is. Raises ChangeRefusedError if it is kept.
        """
        with self.lock:
            if self.change is not None and self.change.id == identity:
                return self._roll_back(f"undone by {who[:MAX_TEXT_LENGTH]}: {why[:MAX_TEXT_LENGTH]}")
            known = self._find_change(identity)
            if known.state == "kept":
                raise ChangeRefusedError(
                    "kept",
                    f"change {identity!r} is kept; stage the generation before it, "
                    f"{known.base}, as a change of its own",
                )
            return known

    def _find_change(self, identity: str) -> Change:
        known = self.ledger.find_change(identity)
        if known is None:
            raise ChangeRefusedError("unknown", f"no change {identity!r}; see `change history`")
        return known

    def history(self, most: int) -> list[Change]:
        """Return up to `most` changes, latest first."""
        with self.lock:
            return gevent.get_hub().threadpool.apply(self.ledger.history, (most,))

    def status(self) -> dict[str, Any]:
        """Return the current generation, the open change and its findings, and the size of each pool."""
        on_trial = self.change is not None and self.change.state in ("canary", "watched")
        findings = self.analysis.findings() if on_trial and self.analysis else []
        return {
            "generation": self.router.current.generation,
            "change": None if self.change is None else change_as_dict(self.change),
            "share": self.router.candidate_share if on_trial else 0.0,
            "due_us": self._remaining_us() if on_trial else 0,
            "findings": [finding._asdict() | {"harm": finding.is_harm} for finding in findings],
            "unjudged": self.analysis.unjudged_groups() if on_trial and self.analysis else [],
            "pools": {
                name: {"engines": len(pool.members), "ready": len(pool.ready)}
                for name, pool in self.router.current.pools.items()
            },
        }

    def _remaining_us(self) -> int:
        """Return the time left in the canary step or the watch."""
        change = self.change
        duration_us = (
            change.policy.canary[change.step].hold if change.state == "canary" else change.policy.watch
        )
        return max(0, change.since_us + duration_us - self.clock())

    # Supervision of the trial.
    def on_batch_end(self, batch: Batch, end: End) -> None:
        """Record the outcome of a batch, also of a withdrawn one; the facade calls this. The batch is ended
        whatever fails here; the next evaluation of the trial reports it."""
        try:
            self._record_outcome(batch, end)
        except Exception as fault:  # noqa: BLE001 - the analysis must not keep a batch from its end
            self.recording_fault = fault

    def _record_outcome(self, batch: Batch, end: End) -> None:
        now = self.clock()
        attributes = batch.attributes
        outcome = _batch_outcome(batch, end, now, self.facade.groups[batch.group])
        self.recent_outcomes.add(now, attributes, outcome)
        if self.analysis is None or batch.received_us < self.trial_started_us:
            return
        is_affected = routing_differs(self.router.current, self.candidate_table, attributes)
        by_candidate = batch.destination.generation == self.change.generation
        self.analysis.add(
            now - self.trial_started_us,
            (TREATMENT if by_candidate else CONTROL) if is_affected else UNRELATED,
            outcome,
        )

    def evaluate_trial(self) -> None:
        """Evaluate the canary analysis, and advance, keep or roll back the change accordingly."""
        with self.lock:
            if self.recording_fault is not None:
                fault, self.recording_fault = self.recording_fault, None
                raise fault
            change = self.change
            if change is None or self.analysis is None:
                return
            evaluated = states.evaluate(change, self.clock(), self._observe())
            if evaluated is change:
                return
            if evaluated.state == "undone":
                self._roll_back(evaluated.reason, evaluated.figures)
                return
            try:
                self._write(self.ledger.record_step, evaluated)
            except LedgerWriteError as fault:
                self._roll_back(f"the ledger cannot be written: {fault}")
                return
            self._enter_state(evaluated)

    def _observe(self) -> Observation:
        findings = self.analysis.findings()
        worst = max((each for each in findings if each.is_harm), key=Finding.severity, default=None)
        unjudged = self.analysis.unjudged_groups()
        if not self.analysis.affected_groups() and affects_batches(self.change.what):
            # The absence of traffic doesn't prove the absence of harm.
            unjudged = ["anything that it touches"]
        return Observation(None if worst is None else str(worst), tuple(unjudged), tuple(map(str, findings)))

    # Putting steps into effect; nothing else switches routing tables.
    def _start_trial(self, change: Change, baseline: Baseline) -> None:
        self.analysis = CanaryAnalysis(baseline, change.policy)
        self.trial_started_us = self.clock()
        self._enter_state(change)

    def _enter_state(self, change: Change) -> None:
        self.change = change
        if change.state == "kept":
            replaced = self.router.current
            self.router.activate(self.candidate_table)
            self._clear_change(replaced)
        else:
            self.router.set_candidate(self.candidate_table, change.share, change.id)
        self._log_state(change)

    def _roll_back(self, reason: str, figures: tuple[str, ...] | None = None) -> Change:
        """Roll back the open change. Neither the analysis nor the ledger can keep that from taking effect."""
        started_us = self.clock()
        if figures is None:
            figures = self._available_figures()
        rolled_back = states.roll_back(self.change, started_us, reason, figures)
        try:
            with gevent.Timeout(
                ROLLBACK_WRITE_TIMEOUT_S,
                LedgerWriteError(f"not written within {ROLLBACK_WRITE_TIMEOUT_S:g} s"),
            ):
                self._write(self.ledger.record_step, rolled_back)
        except Exception as fault:  # noqa: BLE001 - the next start would roll back anyway
            self.log(f"change {rolled_back.id} code=rollback_not_written fault={fault}")
        # No other greenlet runs here: no batch is dispatched between the switch and the rerouting.
        self.router.activate(self.router.current)
        rerouted = self.facade.reroute_unsent(rolled_back.generation)
        self._clear_change(self.candidate_table)
        self.rollback_us = self.clock() - started_us
        self.log(f"change {rolled_back.id} code=batches_rerouted batches={rerouted} us={self.rollback_us}")
        self._log_state(rolled_back)
        return rolled_back

    def _available_figures(self) -> tuple[str, ...]:
        """Return the findings of the analysis as text, none if it fails."""
        if self.analysis is None:
            return ()
        try:
            return tuple(map(str, self.analysis.findings()))
        except Exception as fault:  # noqa: BLE001 - a rollback must not depend on the analysis
            self.log(f"change code=figures_unavailable fault={type(fault).__name__}")
            return ()

    def _abandon_trial(self, fault: Exception) -> None:
        """Roll back the open change because its watch failed. If that fails too, the next evaluation tries
        again."""
        reason = f"the watch failed: {type(fault).__name__}: {fault}"
        self.log(f"change code=evaluation_failed reason={reason}")
        try:
            with self.lock:
                if self.change is not None:
                    self._roll_back(reason, ())
        except Exception as rollback_fault:  # noqa: BLE001 - the watch must go on
            self.log(f"change code=rollback_failed fault={type(rollback_fault).__name__}")

    def _clear_change(self, unused: RoutingTable) -> None:
        """Close the change, and free the unused table in the background: a large one takes 20 ms."""
        self.change = self.candidate_table = self.analysis = None
        with suppress(JobQueueFull):
            self.scheduler.submit("free", unused.free(), LOW_PRIORITY)

    # Disk I/O runs in the thread pool, long computations as background jobs.
    def _write(self, write: Callable[..., None], *values: Any) -> None:
        gevent.get_hub().threadpool.apply(write, values)

    def _run_job(self, name: str, steps: Generator[None, None, Any]) -> Any:
        return self.scheduler.submit(name, steps, HIGH_PRIORITY).result.get()

    def _log_state(self, change: Change) -> None:
        self.log(
            f"change {change.id} code={change.state} generation={change.generation} "
            f"share={change.share:g}" + (f" reason={change.reason}" if change.reason else "")
        )


def change_as_dict(change: Change) -> dict[str, Any]:
    """Return a change as shown in answers of the control socket."""
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


def _validate_request(request: ChangeRequest) -> None:
    for name in ("id", "who", "why"):
        value = getattr(request, name)
        if type(value) is not str or not value.strip() or len(value) > MAX_TEXT_LENGTH:
            raise ChangeRefusedError(
                "usage", f"{name} is missing or too long; a change needs id, who and why"
            )
    if type(request.base) is not int:
        raise ChangeRefusedError("usage", "base is missing; give the generation that the change is based on")


def _batch_outcome(batch: Batch, end: End, now: int, group: names.ServiceGroup) -> BatchOutcome:
    latency_us = now - batch.received_us
    outcome = end.outcome or "given_up"
    late = outcome != names.RETURNED or latency_us > batch.response_goal_us
    utility_share = 0.0 if outcome != names.RETURNED else group.late_utility if late else 1.0
    return BatchOutcome(batch.group, outcome, late, latency_us, min(1.0, utility_share))

"""The states of a change and the transitions between them. Without I/O.

    checked -> staged -> canary (each step of the policy in turn) -> watched -> kept
                  \\________\\_____________________________\\________-> undone

A change on trial is in `canary` or `watched`. In a canary step the new generation routes a share of the
traffic, during the watch all of it; `undone` means rolled back. A document with faults is rejected
before it becomes a change. At most one change is open, that is `staged`, `canary` or `watched`. A change that
is open when the gateway crashes is rolled back at the next start.
"""

from typing import Literal, NamedTuple

from msgspec import Struct
from msgspec.structs import replace

from pathturn.config.document import ChangePolicy

State = Literal["staged", "canary", "watched", "kept", "undone"]
OPEN_STATES = frozenset({"staged", "canary", "watched"})
CLOSED_STATES = frozenset({"kept", "undone"})
MAX_WATCH_EXTENSIONS = 3  # a change that still has too little traffic to judge is then rolled back


class IllegalTransitionError(Exception):
    """The requested transition does not exist from the change's state."""


class Change(Struct, frozen=True):
    """A change as stored in the ledger.

    `base` and `generation` are the generations before and after it; `what` summarizes the difference between
    their documents. Times are Unix microseconds: `since_us` is the start of the state and canary step, and
    `extended` counts extensions of the watch. `figures` are the findings of the canary analysis as text.
    """

    id: str
    base: int
    generation: int
    who: str
    why: str
    state: State
    policy: ChangePolicy
    staged_us: int
    step: int = 0
    since_us: int = 0
    extended: int = 0
    what: tuple[str, ...] = ()
    reason: str = ""
    figures: tuple[str, ...] = ()

    @property
    def open(self) -> bool:
        """Whether the change is neither kept nor rolled back."""
        return self.state in OPEN_STATES

    @property
    def share(self) -> float:
        """Share of the split keys whose batches are routed by the new generation."""
        if self.state == "canary":
            return float(self.policy.canary[self.step].share)
        return 1.0 if self.state in ("watched", "kept") else 0.0


class ChangeRefusedError(Exception):
    """A request that cannot be met; the text is the reason for people, `code` the reason for scripts."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


def stage(change: Change, current_generation: int, open_change: Change | None) -> Change:
    """Stage a new change. It must be based on the current generation, and no other change may be open."""
    if open_change is not None:
        raise ChangeRefusedError(
            "busy",
            f"change {open_change.id!r} of {open_change.who} is {open_change.state}; wait for it, or undo it",
        )
    if change.base != current_generation:
        raise ChangeRefusedError(
            "stale",
            f"based on generation {change.base}, but the current one is {current_generation}; review what "
            f"changed, and stage it again on {current_generation}",
        )
    return replace(change, state="staged", since_us=change.staged_us)


def start(change: Change, now_us: int) -> Change:
    """Start the trial: from staged to the first canary step, or to the watch if there is none."""
    if change.state != "staged":
        raise IllegalTransitionError(f"{change.id} is {change.state}, not staged")
    state = "canary" if change.policy.canary else "watched"
    return replace(change, state=state, step=0, since_us=now_us)


def advance(change: Change, now_us: int) -> Change:
    """Advance from one canary step to the next, or from the last one to the watch."""
    if change.state != "canary":
        raise IllegalTransitionError(f"{change.id} is {change.state}, not in a canary step")
    if change.step + 1 < len(change.policy.canary):
        return replace(change, step=change.step + 1, since_us=now_us)
    return replace(change, state="watched", since_us=now_us)


def extend_watch(change: Change, now_us: int) -> Change:
    """Start the watch anew, because there was too little traffic to judge."""
    if change.state != "watched":
        raise IllegalTransitionError(f"{change.id} is {change.state}, not watched")
    return replace(change, extended=change.extended + 1, since_us=now_us)


def keep(change: Change, now_us: int, reason: str, figures: tuple[str, ...]) -> Change:
    """Keep the new generation at the end of the watch."""
    if change.state != "watched":
        raise IllegalTransitionError(f"{change.id} is {change.state}: only a watched change can be kept")
    return replace(change, state="kept", since_us=now_us, reason=reason, figures=figures)


def roll_back(change: Change, now_us: int, reason: str, figures: tuple[str, ...] = ()) -> Change:
    """Roll back an open change; one that is kept or rolled back already cannot change its state."""
    if not change.open:
        raise IllegalTransitionError(f"{change.id} is {change.state} already")
    return replace(change, state="undone", since_us=now_us, reason=reason, figures=figures)


class Observation(NamedTuple):
    """What the canary analysis shows at one time: the worst proven harm, if any, and the service groups that
    had too little traffic to judge."""

    harm: str | None
    unjudged: tuple[str, ...]
    figures: tuple[str, ...] = ()


def is_due(change: Change, now_us: int) -> bool:
    """Return whether the time of the canary step or of the watch is over."""
    if change.state == "canary":
        return now_us - change.since_us >= change.policy.canary[change.step].hold
    return change.state == "watched" and now_us - change.since_us >= change.policy.watch


def evaluate(change: Change, now_us: int, observation: Observation) -> Change:
    """Return the change in its next state, or the same object if it stays where it is.

    Harm rolls the change back at any time. A canary step advances by time alone, since its small share may
    have too little traffic to judge. If a service group could not be judged by the end of the watch, the
    policy decides (`unclear`).
    """
    if change.state not in ("canary", "watched"):
        return change
    if observation.harm is not None:
        return roll_back(change, now_us, f"harm: {observation.harm}", observation.figures)
    if not is_due(change, now_us):
        return change
    if change.state == "canary":
        return advance(change, now_us)
    if not observation.unjudged:
        return keep(change, now_us, "no harm seen", observation.figures)
    reason = "too little traffic to judge " + ", ".join(observation.unjudged)
    if change.policy.unclear == "keep":
        return keep(change, now_us, reason + "; policy: keep", observation.figures)
    if change.policy.unclear == "extend" and change.extended < MAX_WATCH_EXTENSIONS:
        return extend_watch(change, now_us)
    return roll_back(change, now_us, reason + f"; policy: {change.policy.unclear}", observation.figures)

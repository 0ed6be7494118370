"""The life of a change: which states there are, which steps lead between them, and what each step does. Pure.

    checked -> staged -> canary (each step of the policy in turn) -> watched -> kept
                  \\________\\_____________________________\\________-> undone

A document that is found wanting never becomes a change: it is refused at the door. From `staged` on there is
one change at most. Whatever is neither kept nor undone counts as not kept: after a crash it is undone.
"""

from typing import Literal, NamedTuple

from msgspec import Struct
from msgspec.structs import replace

from pathturn.config.document import ChangePolicy

State = Literal["staged", "canary", "watched", "kept", "undone"]
OPEN, ENDED = frozenset({"staged", "canary", "watched"}), frozenset({"kept", "undone"})
MAX_WATCH_EXTENSIONS = 3  # of a watch that could not tell, after which it is undone


class IllegalTransitionError(Exception):
    """A step that does not lead anywhere from here."""


class Change(Struct, frozen=True):
    """One change, as the ledger keeps it. Times are Unix microseconds; `figures` are the guard's own
    words."""

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
        return self.state in OPEN

    @property
    def share(self) -> float:
        """Of the units that go by the new generation."""
        if self.state == "canary":
            return float(self.policy.canary[self.step].share)
        return 1.0 if self.state in ("watched", "kept") else 0.0


class ChangeRefusedError(Exception):
    """A request that cannot be met; its text says why, and `code` is for scripts."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


def stage(change: Change, present: int, held: Change | None) -> Change:
    """A new change, if it may be one: based on what is in force, and no other is open."""
    if held is not None:
        raise ChangeRefusedError(
            "busy", f"change {held.id!r} of {held.who} is {held.state}; wait for it, or undo it"
        )
    if change.base != present:
        raise ChangeRefusedError(
            "stale",
            f"based on generation {change.base}, but {present} is in force; look at "
            f"what changed, and stage it again on {present}",
        )
    return replace(change, state="staged", since_us=change.staged_us)


def start(change: Change, now_us: int) -> Change:
    """From staged to its first step."""
    if change.state != "staged":
        raise IllegalTransitionError(f"{change.id} is {change.state}, not staged")
    state = "canary" if change.policy.canary else "watched"
    return replace(change, state=state, step=0, since_us=now_us)


def advance(change: Change, now_us: int) -> Change:
    """From one canary step to the next, or to all."""
    if change.state != "canary":
        raise IllegalTransitionError(f"{change.id} is {change.state}, not in a canary step")
    if change.step + 1 < len(change.policy.canary):
        return replace(change, step=change.step + 1, since_us=now_us)
    return replace(change, state="watched", since_us=now_us)


def extend_watch(change: Change, now_us: int) -> Change:
    if change.state != "watched":
        raise IllegalTransitionError(f"{change.id} is {change.state}, not watched")
    return replace(change, extended=change.extended + 1, since_us=now_us)


def keep(change: Change, now_us: int, reason: str, figures: tuple[str, ...]) -> Change:
    if change.state != "watched":
        raise IllegalTransitionError(f"{change.id} is {change.state}: only a watched change can be kept")
    return replace(change, state="kept", since_us=now_us, reason=reason, figures=figures)


def roll_back(change: Change, now_us: int, reason: str, figures: tuple[str, ...] = ()) -> Change:
    """From any open state. One that has ended stays as it ended."""
    if not change.open:
        raise IllegalTransitionError(f"{change.id} is {change.state}")
    return replace(change, state="undone", since_us=now_us, reason=reason, figures=figures)


class Observation(NamedTuple):
    """What the guard sees now: proven harm, if any, and groups of which too little came."""

    harm: str | None
    unjudged: tuple[str, ...]
    figures: tuple[str, ...] = ()


def due(change: Change, now_us: int) -> bool:
    """Whether the state's time is over."""
    if change.state == "canary":
        return now_us - change.since_us >= change.policy.canary[change.step].hold
    return change.state == "watched" and now_us - change.since_us >= change.policy.watch


def evaluate(change: Change, now_us: int, sight: Observation) -> Change:
    """What becomes of a change on trial; the same one where nothing does. Harm goes before everything; a
    canary step widens with time alone, since a small share may have too little to judge; at the end of the
    watch a group that could not be judged gets the policy's stated answer."""
    if change.state not in ("canary", "watched"):
        return change
    if sight.harm is not None:
        return roll_back(change, now_us, f"harm: {sight.harm}", sight.figures)
    if not due(change, now_us):
        return change
    if change.state == "canary":
        return advance(change, now_us)
    if not sight.unjudged:
        return keep(change, now_us, "no harm seen", sight.figures)
    told = "too little traffic to judge " + ", ".join(sight.unjudged)
    if change.policy.unclear == "keep":
        return keep(change, now_us, told + "; policy: keep", sight.figures)
    if change.policy.unclear == "extend" and change.extended < MAX_WATCH_EXTENSIONS:
        return extend_watch(change, now_us)
    return roll_back(change, now_us, told + f"; policy: {change.policy.unclear}", sight.figures)

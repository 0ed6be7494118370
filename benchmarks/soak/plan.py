"""What happens in one play of the soak, drawn from its seed alone. No clock, no I/O."""

from dataclasses import dataclass
from enum import Enum
from random import Random

# The service classes of the stand-in fleet, by how often a client asks for each.
CLASS_WEIGHTS = {"look": 50, "pay": 15, "load": 15, "book": 10, "sum": 10}
IN_ORDER = frozenset({"load", "book", "sum"})
NON_IDEMPOTENT = frozenset({"pay", "book"})
KEYED = frozenset({"load"})
ENGINES = 6
HEALTHY_ENGINES = 3  # at least
TROUBLED_WORDS = ("hang", "reset", "slow:300", "full", "error", "drop", "mute", "runs:900", "notes:400")
CROWD_EVERY = 3  # every third seed has a crowd
SIGTERM_S = (0.8, 1.6)  # after the gateway is ready
# By the protocol new connections arrive for so long after SIGTERM.
NEW_CONNECTIONS_S = (0.2, 0.4)


class ClientKind(Enum):
    """How a client behaves on its connections."""

    STEADY = "steady"
    PIPELINING = "pipelining"  # many requests in one write
    SLOW_WRITER = "slow_writer"  # a request in pieces, over up to a second
    LEAVING = "leaving"  # closes or resets its connection, or aborts, with requests open


class StopMoment(Enum):
    """When the first SIGTERM comes."""

    SERVING = "serving"
    RELOADING = "reloading"  # right after a SIGHUP
    STARTING = "starting"  # before the gateway is ready


class Signal(Enum):
    """A further signal, by when it comes."""

    SIGTERM = "SIGTERM"
    SIGHUP = "SIGHUP"


@dataclass(frozen=True)
class EnginePlan:
    """One engine: what it does with queries, whether it is warming up, and when it drains."""

    name: str
    words: tuple[str, ...]
    warming_up: bool
    drains_at_s: float | None


@dataclass(frozen=True)
class ClientPlan:
    """One client: its kind, its seed, and how long it rests between two writes on average."""

    kind: ClientKind
    seed: int
    mean_rest_s: float


@dataclass(frozen=True)
class FurtherSignal:
    """A signal so long after the first SIGTERM; a negative time is before it."""

    after_s: float
    signal: Signal


@dataclass(frozen=True)
class SoakPlan:
    """A whole play."""

    seed: int
    engines: tuple[EnginePlan, ...]
    clients: tuple[ClientPlan, ...]
    directory_silent_s: tuple[float, float] | None
    stop_moment: StopMoment
    sigterm_s: float
    further_signals: tuple[FurtherSignal, ...]
    new_connections_s: float
    crowd: bool
    cancels: bool
    second_copies: bool


def draw(seed: int) -> SoakPlan:
    """Return the play of that seed."""
    random = Random(seed)
    stop_moment = random.choices(list(StopMoment), weights=(7, 2, 1))[0]
    sigterm_s = random.uniform(0.0, 0.4) if stop_moment is StopMoment.STARTING else random.uniform(*SIGTERM_S)
    silent_from = random.uniform(0.0, 2.0)
    return SoakPlan(
        seed=seed,
        engines=_engines(random),
        clients=_clients(random),
        directory_silent_s=(silent_from, silent_from + random.uniform(0.5, 4))
        if random.random() < 0.4
        else None,
        stop_moment=stop_moment,
        sigterm_s=sigterm_s,
        further_signals=_further_signals(random),
        new_connections_s=random.uniform(*NEW_CONNECTIONS_S),
        crowd=seed % CROWD_EVERY == 0,
        cancels=random.random() < 0.8,
        second_copies=random.random() < 0.6,
    )


def _engines(random: Random) -> tuple[EnginePlan, ...]:
    engines = []
    for number in range(ENGINES):
        healthy = number < HEALTHY_ENGINES or random.random() < 0.3
        words = (f"runs:{random.randrange(10, 160)}",) if healthy else (random.choice(TROUBLED_WORDS),)
        if healthy and random.random() < 0.3:  # some trouble at first
            words = (*random.choices(TROUBLED_WORDS, k=3), *words)
        drains = number and random.random() < 0.25
        engines.append(
            EnginePlan(
                f"e{number}", words, random.random() < 0.15, random.uniform(0.0, 0.8) if drains else None
            )
        )
    return tuple(engines)


def _clients(random: Random) -> tuple[ClientPlan, ...]:
    kinds = [
        ClientKind.STEADY,
        ClientKind.STEADY,
        ClientKind.PIPELINING,
        ClientKind.SLOW_WRITER,
        ClientKind.LEAVING,
        *random.choices(list(ClientKind), k=3),
    ]
    return tuple(ClientPlan(kind, random.randrange(1 << 30), random.uniform(0.03, 0.2)) for kind in kinds)


def _further_signals(random: Random) -> tuple[FurtherSignal, ...]:
    signals = []
    if random.random() < 0.4:  # twice in one turn of the event loop
        signals.append(FurtherSignal(0.0, Signal.SIGTERM))
    if random.random() < 0.3:
        signals.append(FurtherSignal(random.uniform(0.05, 2.5), Signal.SIGTERM))
    for earliest, latest in ((-0.5, -0.001), (0.0, 0.05), (0.05, 2.5)):
        if random.random() < 0.35:
            signals.append(FurtherSignal(random.uniform(earliest, latest), Signal.SIGHUP))
    return tuple(sorted(signals, key=lambda each: each.after_s))

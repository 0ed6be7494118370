"""The operator's document: pools, routes, limits and how a change of them is watched. Shapes only.

Read by `read`, which names every fault at once with its path, and by nothing else: a document in the program
is a whole one. `checks` tells what no shape shows.
"""

from typing import Literal

from msgspec import Struct, field

from pathturn.config.units import Micros, Rate, Share

VERSION = 1


class Fallback(Struct, frozen=True, forbid_unknown_fields=True):
    """Where a pool's batches may go too while it has fewer ready engines than that."""

    pool: str
    ready_under: int = 1


class Pool(Struct, frozen=True, forbid_unknown_fields=True):
    """Engines that fit everything that is stated; `ids` is a pattern with * and ?."""

    zones: tuple[str, ...] | None = None
    machines: tuple[str, ...] | None = None
    cells: tuple[int, ...] | None = None
    ids: str | None = None
    fallback: Fallback | None = None


class Match(Struct, frozen=True, forbid_unknown_fields=True):
    """A batch fits if it fits each part that is stated; data sets by ranges with both ends in."""

    groups: tuple[str, ...] | None = None
    customers: tuple[str, ...] | None = None
    key_prefixes: tuple[str, ...] | None = None
    data_sets: tuple[tuple[int, int], ...] | None = None


Split = dict[str, Share]


class Route(Struct, frozen=True, forbid_unknown_fields=True):
    """The first that fits counts; to one pool, or to several by weight."""

    name: str
    to: str | Split
    match: Match = Match()


class Limit(Struct, frozen=True, forbid_unknown_fields=True):
    """For one route or one pool. `burst` goes with `rate`; `further` is the share of further dispatches."""

    name: str
    route: str | None = None
    pool: str | None = None
    open: int | None = None
    rate: Rate | None = None
    burst: int = 1
    out: int | None = None
    further: Share | None = None


class CanaryStep(Struct, frozen=True, forbid_unknown_fields=True):
    share: Share
    hold: Micros


class ChangePolicy(Struct, frozen=True, forbid_unknown_fields=True):
    """How the next change is watched. `harm`: what a group must lose, as a share of its batches, to count;
    `least`: batches of a touched group below which the watch cannot tell, for which `unclear` is the
    answer."""

    watch: Micros = Micros(60_000_000)
    canary: tuple[CanaryStep, ...] = (CanaryStep(Share(0.5), Micros(3_000_000)),)
    harm: Share = Share(0.005)
    false_alarms: Share = Share(0.01)
    least: int = 40
    unclear: Literal["undo", "keep", "extend"] = "undo"


class Document(Struct, frozen=True, forbid_unknown_fields=True):
    version: Literal[1]
    pools: dict[str, Pool]
    default: str | Split
    routes: tuple[Route, ...] = ()
    limits: tuple[Limit, ...] = ()
    change: ChangePolicy = field(default_factory=ChangePolicy)

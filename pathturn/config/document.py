"""Schema of the routing document: pools, routes, limits, and the policy for changes of them.

Only `config.read` creates a `Document` from input; it reports all faults of types and units at once, each
with its path. Rules that a schema can't express are checked by `routing.checks`.
"""

from typing import Literal

from msgspec import Struct, field

from pathturn.config.units import Micros, Rate, Share

VERSION = 1


class Fallback(Struct, frozen=True, forbid_unknown_fields=True):
    """Another pool that a pool's batches may use while it has fewer than `ready_under` ready engines."""

    pool: str
    ready_under: int = 1


class Pool(Struct, frozen=True, forbid_unknown_fields=True):
    """The engines that meet all given conditions; `ids` is a pattern with * and ?."""

    zones: tuple[str, ...] | None = None
    machines: tuple[str, ...] | None = None
    cells: tuple[int, ...] | None = None
    ids: str | None = None
    fallback: Fallback | None = None


class Match(Struct, frozen=True, forbid_unknown_fields=True):
    """Matches a batch that meets all given conditions; `data_sets` are ranges that include both ends."""

    groups: tuple[str, ...] | None = None
    customers: tuple[str, ...] | None = None
    key_prefixes: tuple[str, ...] | None = None
    data_sets: tuple[tuple[int, int], ...] | None = None


Split = dict[str, Share]


class Route(Struct, frozen=True, forbid_unknown_fields=True):
    """Sends the batches it matches to one pool, or to several by weight. The first matching route applies."""

    name: str
    to: str | Split
    match: Match = Match()


class Limit(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of one route or one pool: `open` batches, a `rate` of new batches with a `burst`, `out`
    dispatches in flight, and `further`, the retry share."""

    name: str
    route: str | None = None
    pool: str | None = None
    open: int | None = None
    rate: Rate | None = None
    burst: int = 1
    out: int | None = None
    further: Share | None = None


class CanaryStep(Struct, frozen=True, forbid_unknown_fields=True):
    """The share of the traffic that a change gets, and for how long."""

    share: Share
    hold: Micros


class ChangePolicy(Struct, frozen=True, forbid_unknown_fields=True):
    """How the next change is rolled out and judged.

    `watch` is the time at full traffic before the change is kept. `harm` is the smallest loss, as a share
    of a group's batches, that counts. `least` is the number of batches of an affected group below which
    there is no verdict; `unclear` says what to do then.
    """

    watch: Micros = Micros(60_000_000)
    canary: tuple[CanaryStep, ...] = (CanaryStep(Share(0.5), Micros(3_000_000)),)
    harm: Share = Share(0.005)
    false_alarms: Share = Share(0.01)
    least: int = 40
    unclear: Literal["undo", "keep", "extend"] = "undo"


class Document(Struct, frozen=True, forbid_unknown_fields=True):
    """A complete routing document."""

    version: Literal[1]
    pools: dict[str, Pool]
    default: str | Split
    routes: tuple[Route, ...] = ()
    limits: tuple[Limit, ...] = ()
    change: ChangePolicy = field(default_factory=ChangePolicy)

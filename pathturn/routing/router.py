"""The routing tables in force: which generation a batch belongs to, and so its engines and limits. No I/O.

At most two generations accept batches at once: the current one and, while a change is on trial, the candidate
for a share of the batches. Batches are assigned by their split key: the key, else the customer, else the
batch's own ticket. All batches of one key therefore go to the same generation.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple
from weakref import WeakSet, WeakValueDictionary

from pathturn.core.interface import EngineEntry
from pathturn.routing.limits import Meter
from pathturn.routing.pools import EngineList, EnginePool
from pathturn.routing.table import Destination, RoutingTable, hash_fraction


class BatchAttributes(NamedTuple):
    """What routes can match of a batch, and the key by which weights and canary shares assign it."""

    group: str
    customer: str | None
    key: str | None
    data_set: int
    split_key: str


def batch_attributes(
    group: str, customer: str | None, key: str | None, data_set: int, ticket: str
) -> BatchAttributes:
    """Return a batch's attributes; the split key is the first of key, customer and ticket that is set."""
    return BatchAttributes(group, customer, key, data_set, key or customer or ticket)


class Router:
    """Holds the current and the candidate routing table, and keeps the pools of both up to date."""

    def __init__(self) -> None:
        self.engines = EngineList()
        self.meters = WeakValueDictionary[str, Meter]()
        # Weak references: a pool is kept up to date while any batch still uses it, even after its generation
        # has been replaced.
        self.pools: WeakSet[EnginePool] = WeakSet()
        self.current: RoutingTable | None = None
        self.candidate: RoutingTable | None = None
        self.candidate_share = 0.0
        self.split_salt = ""

    def compile(self, table: RoutingTable) -> Iterator[None]:
        """Compile the table in slices; its pools follow the engine list from the first slice on."""
        return table.compile(self.meters, self._register_pool)

    def _register_pool(self, pool: EnginePool) -> None:
        pool.update_members(self.engines.by_index.values(), ())
        self.pools.add(pool)

    def update_engines(self, engines: Iterable[EngineEntry]) -> None:
        """Apply a new engine list to the pools of all generations in use."""
        changed, removed = self.engines.update(engines)
        if changed or removed:
            pools = list(self.pools)
            for pool in pools:
                pool.update_members(changed, removed)
            for pool in pools:
                pool.update_eligible()

    def activate(self, table: RoutingTable) -> None:
        """Make the table the current one for all new batches; ends any trial."""
        self.current = table
        self.candidate = None
        self.candidate_share = 0.0

    def set_candidate(self, table: RoutingTable, share: float, salt: str) -> None:
        """Route this share of the split keys by the candidate table.

        With the same salt, a larger share includes every split key of a smaller one.
        """
        self.candidate = table
        self.candidate_share = share
        self.split_salt = salt

    def destination(self, attributes: BatchAttributes) -> Destination:
        use_candidate = (
            self.candidate is not None
            and hash_fraction(self.split_salt, attributes.split_key) < self.candidate_share
        )
        table = self.candidate if use_candidate else self.current
        return table.find_target(
            attributes.group, attributes.customer, attributes.key, attributes.data_set
        ).destination(attributes.split_key)


def routing_differs(old: RoutingTable, new: RoutingTable, attributes: BatchAttributes) -> bool:
    """Return whether the new table treats such a batch differently from the old one."""
    match_fields = attributes[:4]
    return old.find_target(*match_fields).effect != new.find_target(*match_fields).effect

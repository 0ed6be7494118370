"""The tables in force: which generation a batch belongs to, and so its course. A choice, and no I/O.

At most two generations take batches at once: the present one and, while a change is on trial, the next one
for a share of the units. A unit is a key, else a customer, else the batch itself, so that one key never
straddles.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple
from weakref import WeakSet, WeakValueDictionary

from pathturn.core.interface import Seat
from pathturn.routing.limits import Meter
from pathturn.routing.pools import EngineList, EnginePool
from pathturn.routing.table import Course, Table, part


class Traits(NamedTuple):
    """What routes can tell batches by, and the unit that splits and shares go by."""

    group: str
    customer: str | None
    key: str | None
    data_set: int
    unit: str


def traits(group: str, customer: str | None, key: str | None, data_set: int, ticket: str) -> Traits:
    return Traits(group, customer, key, data_set, key or customer or ticket)


class Router:
    def __init__(self) -> None:
        self.seats, self.meters = EngineList(), WeakValueDictionary[str, Meter]()
        # As long as anybody holds one: a batch may still go by a generation that is not in force any more.
        self.pools: WeakSet[EnginePool] = WeakSet()
        self.present: Table | None = None
        self.trial: Table | None = None
        self.share, self.salt = 0.0, ""

    def compile(self, table: Table) -> Iterator[None]:
        """The table's own work, in slices; from its first one on it follows the list."""
        return table.compile(self.meters, self._join)

    def _join(self, pool: EnginePool) -> None:
        pool.update_members(self.seats.by_index.values(), ())
        self.pools.add(pool)

    def listing(self, rows: Iterable[Seat]) -> None:
        changed, gone = self.seats.update(rows)
        if changed or gone:
            pools = list(self.pools)
            for pool in pools:
                pool.update_members(changed, gone)
            for pool in pools:
                pool.update_eligible()

    def settle(self, table: Table) -> None:
        """A table in force, whole, from the next batch on; ends any trial."""
        self.present, self.trial, self.share = table, None, 0.0

    def try_out(self, table: Table, share: float, salt: str) -> None:
        self.trial, self.share, self.salt = table, share, salt

    def course(self, told: Traits) -> Course:
        tried = self.trial is not None and part(self.salt, told.unit) < self.share
        table = self.trial if tried else self.present
        return table.way(told.group, told.customer, told.key, told.data_set).course(told.unit)


def touches(old: Table, new: Table, told: Traits) -> bool:
    """Whether the new table would treat such a batch otherwise than the old one does."""
    fields = told[:4]
    return old.way(*fields).meaning != new.way(*fields).meaning

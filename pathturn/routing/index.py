"""Index that finds the first route matching a batch without scanning all routes.

Group and customer are looked up by hash, each either given or a wildcard, so at most four tries are searched.
Below that, key prefixes form a trie whose nodes map disjoint intervals of data sets to the first route that
covers them. The cost of a lookup is four short walks along the key with a bisection at each node, independent
of the number of routes. `build` is a generator that yields often, so that the caller can run decision rounds
in between.
"""

import heapq
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from itertools import product
from math import inf
from typing import NamedTuple

STEPS_PER_SLICE = 16  # between two yields; 16 insertions take about 50 us
NO_ROUTE = 1 << 60  # greater than the position of any route


class MatchBox(NamedTuple):
    """What one route matches; None matches everything. Ranges include both ends.

    `position` is the route's position in the document: the lowest matching position wins.
    """

    position: int
    groups: tuple[str, ...] | None = None
    customers: tuple[str, ...] | None = None
    prefixes: tuple[str, ...] | None = None
    ranges: tuple[tuple[int, int], ...] | None = None


class IntervalMap:
    """Disjoint intervals, each with the lowest route position that covers it.

    Filled by `add`, then built once by `sweep`.
    """

    __slots__ = ("pending", "points", "starts", "lowest")

    def __init__(self) -> None:
        self.pending: list[tuple[int, int, int]] = []
        self.points: list[int] = []
        self.starts: list[int] = []
        self.lowest: list[int] = []

    def add(self, first: int, last: int, position: int) -> None:
        # Heaps spread the cost of ordering over the slices; one sort at the end would be a single long slice.
        heapq.heappush(self.pending, (first, position, last))
        heapq.heappush(self.points, first)
        heapq.heappush(self.points, last + 1)

    def sweep(self) -> Iterator[None]:
        """Build the disjoint intervals with a line sweep over all end points, in slices."""
        active: list[tuple[int, int]] = []
        steps = 0
        while self.points:
            steps += 1
            if steps % STEPS_PER_SLICE == 0:
                yield
            point = heapq.heappop(self.points)
            if self.starts and self.starts[-1] == point:
                continue
            while self.pending and self.pending[0][0] <= point:
                _, position, last = heapq.heappop(self.pending)
                heapq.heappush(active, (position, last))
            while active and active[0][1] < point:
                heapq.heappop(active)
            lowest = active[0][0] if active else NO_ROUTE
            if not self.lowest or self.lowest[-1] != lowest:
                self.starts.append(point)
                self.lowest.append(lowest)

    def lowest_at(self, value: int) -> int:
        """Return the lowest route position covering the value, or NO_ROUTE."""
        slot = bisect_right(self.starts, value) - 1
        return self.lowest[slot] if slot >= 0 else NO_ROUTE

    def highest_within(self, first: int, last: int) -> int:
        """Return the highest position of the intervals in the range; NO_ROUTE if part of it has no route."""
        slot = bisect_right(self.starts, first) - 1
        if slot < 0:
            return NO_ROUTE
        return max(self.lowest[slot : bisect_right(self.starts, last)])


class TrieNode:
    """One character of a key prefix.

    `any_data_set` is the first route at this node that matches every data set; `intervals` holds the others.
    """

    __slots__ = ("children", "any_data_set", "intervals")

    def __init__(self) -> None:
        self.children: dict[str, TrieNode] = {}
        self.any_data_set = NO_ROUTE
        self.intervals = None

    def add(self, ranges: tuple[tuple[int, int], ...] | None, position: int) -> None:
        if ranges is None:
            self.any_data_set = min(self.any_data_set, position)
            return
        self.intervals = self.intervals or IntervalMap()
        for first, last in ranges:
            self.intervals.add(first, last, position)


class RouteIndex:
    """Finds the first box that matches a batch (`first_match`) and boxes that never match (`shadowed_by`)."""

    def __init__(self, groups: Iterable[str]) -> None:
        self.groups = tuple(groups)
        self.roots = {}
        self.unswept_nodes = []

    def build(self, boxes: Iterable[MatchBox]) -> Iterator[None]:
        """Insert all boxes and sweep their intervals, in slices."""
        steps = 0
        for box in boxes:
            for group, customer, prefix in product(*(values or (None,) for values in box[1:4])):
                steps += 1
                if steps % STEPS_PER_SLICE == 0:
                    yield
                self._insert(group, customer, prefix or "", box)
        for node in self.unswept_nodes:
            yield
            yield from node.intervals.sweep()
        self.unswept_nodes = []

    def free(self) -> Iterator[None]:
        """Free the tries in slices: deallocating a large index at once blocks the process for 10 ms."""
        remaining = [*self.roots.values()]
        steps = 0
        self.roots.clear()
        while remaining:
            node = remaining.pop()
            remaining.extend(node.children.values())
            node.children.clear()
            node.intervals = None
            steps += 1
            if steps % STEPS_PER_SLICE == 0:
                yield

    def _insert(self, group: str | None, customer: str | None, prefix: str, box: MatchBox) -> None:
        node = self.roots.setdefault((group, customer), TrieNode())
        for char in prefix:
            node = (
                node.children.setdefault(char, TrieNode())
                if char not in node.children
                else node.children[char]
            )
        had_no_intervals = node.intervals is None
        node.add(box.ranges, box.position)
        if had_no_intervals and node.intervals is not None:
            self.unswept_nodes.append(node)

    def _nodes_along(self, group: str | None, customer: str | None, key: str) -> Iterator[TrieNode]:
        """Yield the nodes of one trie from its root along the characters of the key."""
        node = self.roots.get((group, customer))
        if node is None:
            return
        yield node
        for char in key:
            if (node := node.children.get(char)) is None:
                return
            yield node

    def _root_keys(self, group: str | None, customer: str | None) -> Iterator[tuple[str | None, str | None]]:
        """Yield the keys of the tries that may match, wildcards (None) first."""
        yield None, None
        if group is not None:
            yield group, None
        if customer is not None:
            yield None, customer
            if group is not None:
                yield group, customer

    def first_match(self, group: str, customer: str | None, key: str | None, data_set: int) -> int | None:
        """Return the position of the first route that matches, or None."""
        lowest = NO_ROUTE
        for root_key in self._root_keys(group, customer):
            for node in self._nodes_along(*root_key, key or ""):
                if node.any_data_set < lowest:
                    lowest = node.any_data_set
                if node.intervals is not None and (found := node.intervals.lowest_at(data_set)) < lowest:
                    lowest = found
        return None if lowest == NO_ROUTE else lowest

    def shadowed_by(self, box: MatchBox) -> int | None:
        """Return the last of the earlier boxes that together cover this one; None if part of it is reachable.

        Coverage by several boxes is combined over data sets, groups and customers, but not over key prefixes.
        """
        last_position = None
        for group, customer, prefix in product(
            box.groups or self.groups, box.customers or (None,), box.prefixes or ("",)
        ):
            for first, last in box.ranges or ((0, inf),):
                covering = self._covering_position(group, customer, prefix, first, last, box.position)
                if covering is None:
                    return None
                last_position = covering if last_position is None else max(last_position, covering)
        return last_position

    def _covering_position(
        self, group: str, customer: str | None, prefix: str, first: int, last: float, position: int
    ) -> int | None:
        """Return an earlier position that covers this part of a box, or None."""
        for root_key in self._root_keys(group, customer):
            for node in self._nodes_along(*root_key, prefix):
                if node.any_data_set < position:
                    return node.any_data_set
                if (
                    node.intervals is not None
                    and (highest := node.intervals.highest_within(first, last)) < position
                ):
                    return highest
        return None

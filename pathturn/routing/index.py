"""Finds the first route that fits a batch without looking at the others.

Group and customer by hash (each stated or not: four tables at most), key prefixes by a trie below that, data
sets by disjoint intervals below each node, each with its first route. A look-up costs four short walks down
the key and as many bisections, however many routes there are. Built in slices: `build` yields often, so that
whoever runs it can let rounds go between.
"""

import heapq
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from itertools import product
from math import inf
from typing import NamedTuple

# So many insertions between two yields: some 50 us.
SLICE = 16
NONE = 1 << 60  # after every route's number


class Box(NamedTuple):
    """What one route matches; None stands for everything. Ranges with both ends in."""

    number: int
    groups: tuple[str, ...] | None = None
    customers: tuple[str, ...] | None = None
    prefixes: tuple[str, ...] | None = None
    ranges: tuple[tuple[int, int], ...] | None = None


class Intervals:
    """Disjoint intervals, each with the lowest number that covers it. Fed by `add`, then swept once."""

    __slots__ = ("pending", "points", "starts", "best")

    def __init__(self) -> None:
        self.pending: list[tuple[int, int, int]] = []
        self.points: list[int] = []
        self.starts: list[int] = []
        self.best: list[int] = []

    def add(self, first: int, last: int, number: int) -> None:
        # Heaps and not one sort at the end, which would be a slice of its own and a long one.
        heapq.heappush(self.pending, (first, number, last))
        heapq.heappush(self.points, first)
        heapq.heappush(self.points, last + 1)

    def sweep(self) -> Iterator[None]:
        active: list[tuple[int, int]] = []
        turns = 0
        while self.points:
            turns += 1
            if turns % SLICE == 0:
                yield
            point = heapq.heappop(self.points)
            if self.starts and self.starts[-1] == point:
                continue
            while self.pending and self.pending[0][0] <= point:
                _, number, last = heapq.heappop(self.pending)
                heapq.heappush(active, (number, last))
            while active and active[0][1] < point:
                heapq.heappop(active)
            best = active[0][0] if active else NONE
            if not self.best or self.best[-1] != best:
                self.starts.append(point)
                self.best.append(best)

    def at(self, value: int) -> int:
        slot = bisect_right(self.starts, value) - 1
        return self.best[slot] if slot >= 0 else NONE

    def worst(self, first: int, last: int) -> int:
        """The highest of the numbers that cover the range's parts; NONE if one part has none."""
        slot = bisect_right(self.starts, first) - 1
        if slot < 0:
            return NONE
        return max(self.best[slot : bisect_right(self.starts, last)])


class Node:
    """One step of a key's prefix. `whole`: the first route that takes every data set here."""

    __slots__ = ("below", "whole", "some")

    def __init__(self) -> None:
        self.below: dict[str, Node] = {}
        self.whole, self.some = NONE, None

    def add(self, ranges: tuple[tuple[int, int], ...] | None, number: int) -> None:
        if ranges is None:
            self.whole = min(self.whole, number)
            return
        self.some = self.some or Intervals()
        for first, last in ranges:
            self.some.add(first, last, number)


class Index:
    """`first` gives the number of the first box that fits; `covering` one that leaves a box nothing."""

    def __init__(self, groups: Iterable[str]) -> None:
        self.groups, self.roots, self.swept = tuple(groups), {}, []

    def build(self, boxes: Iterable[Box]) -> Iterator[None]:
        turns = 0
        for box in boxes:
            for group, customer, prefix in product(*(part or (None,) for part in box[1:4])):
                turns += 1
                if turns % SLICE == 0:
                    yield
                self._insert(group, customer, prefix or "", box)
        for node in self.swept:
            yield
            yield from node.some.sweep()
        self.swept = []

    def dismantle(self) -> Iterator[None]:
        """Takes it apart in slices: left to one go, a large one is freed for ten milliseconds on end."""
        waiting, turns = [*self.roots.values()], 0
        self.roots.clear()
        while waiting:
            node = waiting.pop()
            waiting.extend(node.below.values())
            node.below.clear()
            node.some = None
            turns += 1
            if turns % SLICE == 0:
                yield

    def _insert(self, group: str | None, customer: str | None, prefix: str, box: Box) -> None:
        node = self.roots.setdefault((group, customer), Node())
        for letter in prefix:
            node = node.below.setdefault(letter, Node()) if letter not in node.below else node.below[letter]
        fresh = node.some is None
        node.add(box.ranges, box.number)
        if fresh and node.some is not None:
            self.swept.append(node)

    def _path(self, group: str | None, customer: str | None, key: str) -> Iterator[Node]:
        node = self.roots.get((group, customer))
        if node is None:
            return
        yield node
        for letter in key:
            if (node := node.below.get(letter)) is None:
                return
            yield node

    def _sides(self, group: str | None, customer: str | None) -> Iterator[tuple[str | None, str | None]]:
        yield None, None
        if group is not None:
            yield group, None
        if customer is not None:
            yield None, customer
            if group is not None:
                yield group, customer

    def first(self, group: str, customer: str | None, key: str | None, data_set: int) -> int | None:
        best = NONE
        for side in self._sides(group, customer):
            for node in self._path(*side, key or ""):
                if node.whole < best:
                    best = node.whole
                if node.some is not None and (there := node.some.at(data_set)) < best:
                    best = there
        return None if best == NONE else best

    def covering(self, box: Box) -> int | None:
        """An earlier box that takes what is last left of this one, where nothing of it is left at all. Parts
        of several boxes count together over data sets, groups and values, not over prefixes."""
        found = None
        for group, customer, prefix in product(
            box.groups or self.groups, box.customers or (None,), box.prefixes or ("",)
        ):
            for first, last in box.ranges or ((0, inf),):
                taken = self._taker(group, customer, prefix, first, last, box.number)
                if taken is None:
                    return None
                found = taken if found is None else max(found, taken)
        return found

    def _taker(
        self, group: str, customer: str | None, prefix: str, first: int, last: float, number: int
    ) -> int | None:
        for side in self._sides(group, customer):
            for node in self._path(*side, prefix):
                if node.whole < number:
                    return node.whole
                if node.some is not None and (worst := node.some.worst(first, last)) < number:
                    return worst
        return None

"""Slow start of many gateways at one engine: together they stay below its failure threshold, and use it."""

from math import sqrt
from random import Random

import pytest

from pathturn.core.dispatcher import REFERENCE_UTILISATION, Engine, SlowStart

SECOND = 1_000_000
COLD_CAPACITY = 0.33  # as a share of the full capacity
WARM_UP_US = 14 * SECOND
FAILURE_RATIO = 3.0  # an engine fails under this multiple of its capacity
WINDOW_US = SECOND
CORES = 8


@pytest.mark.parametrize(
    ("start", "listed_start"),
    [
        (5 * SECOND, 5 * SECOND),
        (1_796_160_477_123_000, 1_796_160_477_123_000),
        # It has restarted, connections were refused, and the list still shows the previous start.
        (1_796_160_477_123_000, 1_796_160_377_123_000),
    ],
)
@pytest.mark.parametrize("gateways", [1, 3, 20, 30, 60, 200, 230, 1024])
def test_a_cold_engine_is_not_overloaded_and_is_used_by_many_gateways(gateways, start, listed_start) -> None:
    work_us = 225_000
    sent = []
    senders = set()
    slow_starts = [
        SlowStart(COLD_CAPACITY, WARM_UP_US, FAILURE_RATIO, WINDOW_US, gateways, (7, number), 600_000)
        for number in range(gateways)
    ]
    pairs = [(slow_start, Engine(0, 1, 0, 0)) for slow_start in slow_starts]
    for number, (slow_start, engine) in enumerate(pairs):
        slow_start.active_from_us = start + SECOND
        engine.cores = CORES
        engine.started_us = listed_start
        # Each assumed a restart when a connect failed, at times that would give 60 of them the same draw.
        engine.cold_until_us = start + WARM_UP_US + (3 - number) % 14 * WINDOW_US
    for now in range(start, start + WARM_UP_US, 50_000):
        for number, (slow_start, engine) in enumerate(pairs):
            while slow_start.remaining_work_us(now, engine) >= work_us:
                engine.slow_start_work.add(now, work_us)
                sent.append(now)
                senders.add(number)
    threshold = FAILURE_RATIO * COLD_CAPACITY * REFERENCE_UTILISATION * CORES * WINDOW_US
    assert all(
        sum(work_us for sent_at in sent if now <= sent_at < now + WINDOW_US) <= threshold for now in set(sent)
    )
    assert work_us * len(sent) > 0.15 * threshold * WARM_UP_US / WINDOW_US and len(senders) >= min(
        gateways, 10
    )


MEAN_WORK_US = 1_050_000
DRAWS = 40


def worst_window(gateways: int, work: int, draw: int) -> tuple[float, float]:
    """Simulate gateways that always have something to send to one cold engine. Return the mean number of
    calls per window, in units of the mean work, and the worst window as a share of what chance allows for."""
    start = 5 * SECOND
    random = Random(draw)
    slow_starts = [
        SlowStart(
            COLD_CAPACITY, WARM_UP_US, FAILURE_RATIO, WINDOW_US, gateways, (random.random(), number), 600_000
        )
        for number in range(gateways)
    ]
    sent = []
    for slow_start in slow_starts:
        slow_start.active_from_us = start
        engine = Engine(0, 1, 0, 0)
        engine.cores = CORES
        engine.started_us = start
        engine.cold_until_us = start + WARM_UP_US
        # Gateways are not synchronised: what counts is how much arrives within any one window.
        for now in range(start + random.randrange(50_000), start + WARM_UP_US, 50_000):
            while slow_start.remaining_work_us(now, engine) >= work:
                engine.slow_start_work.add(now, work)
                sent.append(now)
    sent.sort()
    worst_ratio = last = 0.0
    for first, now in enumerate(sent):
        last = max(last, first)
        while last < len(sent) and sent[int(last)] < now + WINDOW_US:
            last += 1
        capacity = COLD_CAPACITY + (1 - COLD_CAPACITY) * min(1.0, (now - start) / WARM_UP_US)
        allowed = FAILURE_RATIO * capacity * REFERENCE_UTILISATION * CORES * WINDOW_US / MEAN_WORK_US
        worst_ratio = max(
            worst_ratio, (last - first) * work / MEAN_WORK_US / (allowed + 2 * sqrt(allowed) + 2)
        )
    return len(sent) * work / MEAN_WORK_US / (WARM_UP_US / WINDOW_US), worst_ratio


@pytest.mark.parametrize("work", [200_000, 600_000, 4_000_000])
@pytest.mark.parametrize("gateways", [2, 20, 30, 200])
def test_all_gateways_stay_below_the_failure_threshold_in_every_draw(gateways: int, work: int) -> None:
    """A window may have N calls of mean work, and 2 sqrt N + 2 for chance. It must hold in every draw, so
    that one more draw passes with a probability of at least 1 - 1 / (draws + 2); and with a margin of one
    third, for work that differs from its estimate."""
    results = [worst_window(gateways, work, draw) for draw in range(DRAWS if gateways < 100 else DRAWS // 10)]
    assert max(worst for _, worst in results) < 2 / 3
    if work < 4_000_000:
        assert min(mean for mean, _ in results) > 1

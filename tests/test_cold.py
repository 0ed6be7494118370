"""The cold guard of many gateways before one engine: their sum stays under the line, and they use it."""

from math import sqrt
from random import Random

import pytest

from pathturn.core.choice import REFERENCE_UTILISATION, Engine, SlowStart

SECOND = 1_000_000
LEAST, COLD_US, MULTIPLE, FALL_US, CORES = 0.33, 14 * SECOND, 3.0, SECOND, 8


@pytest.mark.parametrize(
    ("start", "told"),
    [
        (5 * SECOND, 5 * SECOND),
        (1_796_160_477_123_000, 1_796_160_477_123_000),
        # It came up anew and the list does not tell: dials were refused, and the list still has an old start.
        (1_796_160_477_123_000, 1_796_160_377_123_000),
    ],
)
@pytest.mark.parametrize("gateways", [1, 3, 20, 30, 60, 200, 230, 1024])
def test_a_cold_engine_is_pushed_over_by_no_fleet_and_used_by_all(gateways, start, told) -> None:
    usual, sent, senders = 225_000, [], set()
    guards = [
        SlowStart(LEAST, COLD_US, MULTIPLE, FALL_US, gateways, (7, number), 600_000)
        for number in range(gateways)
    ]
    crowd = [(guard, Engine(0, 1, 0, 0)) for guard in guards]
    for number, (guard, engine) in enumerate(crowd):
        guard.active_from_us, engine.cores, engine.started_us = start + SECOND, CORES, told
        # Each took it for cold anew when a dial failed, at times that would give 60 of them the same turn.
        engine.cold_until_us = start + COLD_US + (3 - number) % 14 * FALL_US
    for now in range(start, start + COLD_US, 50_000):
        for number, (guard, engine) in enumerate(crowd):
            while guard.remaining_work_us(now, engine) >= usual:
                engine.slow_start_work.add(now, usual)
                sent.append(now)
                senders.add(number)
    line = MULTIPLE * LEAST * REFERENCE_UTILISATION * CORES * FALL_US
    assert all(sum(usual for each in sent if now <= each < now + FALL_US) <= line for now in set(sent))
    assert usual * len(sent) > 0.15 * line * COLD_US / FALL_US and len(senders) >= min(gateways, 10)


MEAN_US, DRAWS = 1_050_000, 40


def worst(gateways: int, work: int, draw: int) -> tuple[float, float]:
    """A fleet whose gateways always have something to send to one cold engine: the mean of the calls of mean
    work a window gets, and the worst window as a part of what the operators put down to chance."""
    start, chance = 5 * SECOND, Random(draw)
    guards = [
        SlowStart(LEAST, COLD_US, MULTIPLE, FALL_US, gateways, (chance.random(), number), 600_000)
        for number in range(gateways)
    ]
    sent = []
    for guard in guards:
        guard.active_from_us, engine = start, Engine(0, 1, 0, 0)
        engine.cores, engine.started_us, engine.cold_until_us = CORES, start, start + COLD_US
        # Within a window each gateway's moment is its own; what matters is how much falls into one window.
        for now in range(start + chance.randrange(50_000), start + COLD_US, 50_000):
            while guard.remaining_work_us(now, engine) >= work:
                engine.slow_start_work.add(now, work)
                sent.append(now)
    sent.sort()
    most = last = 0.0
    for first, now in enumerate(sent):
        last = max(last, first)
        while last < len(sent) and sent[int(last)] < now + FALL_US:
            last += 1
        warm = LEAST + (1 - LEAST) * min(1.0, (now - start) / COLD_US)
        allowed = MULTIPLE * warm * REFERENCE_UTILISATION * CORES * FALL_US / MEAN_US
        most = max(most, (last - first) * work / MEAN_US / (allowed + 2 * sqrt(allowed) + 2))
    return len(sent) * work / MEAN_US / (COLD_US / FALL_US), most


@pytest.mark.parametrize("work", [200_000, 600_000, 4_000_000])
@pytest.mark.parametrize("gateways", [2, 20, 30, 200])
def test_the_sum_of_a_fleet_stays_under_the_line_in_every_draw(gateways: int, work: int) -> None:
    """N calls of mean work and 2 sqrt N + 2 for chance. In none of the draws, so that one more passes with a
    chance of 1 - 1 / (draws + 2) at least; and with a third of room, for works that are not as they were
    told."""
    drawn = [worst(gateways, work, draw) for draw in range(DRAWS if gateways < 100 else DRAWS // 10)]
    assert max(most for _, most in drawn) < 2 / 3
    if work < 4_000_000:
        assert min(mean for mean, _ in drawn) > 1

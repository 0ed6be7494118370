"""The cold guard of many gateways before one engine: their sum stays under the line, and they use it."""

import pytest

from pathturn.core.choice import REFERENCE_LOAD, ColdGuard, Engine

SECOND = 1_000_000
LEAST, COLD_US, MULTIPLE, FALL_US, CORES = 0.33, 14 * SECOND, 3.0, SECOND, 8


@pytest.mark.parametrize("start", [5 * SECOND, 1_796_160_477_123_000])
@pytest.mark.parametrize("gateways", [1, 3, 60, 200, 230, 1024])
def test_a_cold_engine_is_pushed_over_by_no_fleet_and_used_by_all(gateways: int, start: int) -> None:
    usual, sent, senders = 225_000, [], set()
    guards = [ColdGuard(LEAST, COLD_US, MULTIPLE, FALL_US, gateways, (7, number), 600_000)
              for number in range(gateways)]
    crowd = [(guard, Engine(0, 1, 0, 0)) for guard in guards]
    for number, (guard, engine) in enumerate(crowd):
        guard.from_us, engine.cores, engine.started = start + SECOND, CORES, start
        # Each took it for cold anew when a dial failed, at times that would give 60 of them the same turn.
        engine.cold_until = start + COLD_US + (3 - number) % 14 * FALL_US
    for now in range(start, start + COLD_US, 50_000):
        for number, (guard, engine) in enumerate(crowd):
            while guard.left(now, engine) >= usual:
                engine.sent.add(now, usual)
                sent.append(now)
                senders.add(number)
    line = MULTIPLE * LEAST * REFERENCE_LOAD * CORES * FALL_US
    assert all(sum(usual for each in sent if now <= each < now + FALL_US) <= line for now in set(sent))
    assert usual * len(sent) > 0.15 * line * COLD_US / FALL_US and len(senders) >= min(gateways, 10)

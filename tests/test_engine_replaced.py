"""An engine's process is killed and another one starts at its address: nothing that was meant for the old one
is sent to the new one. Checked by what the new one was asked."""

import gevent
import pytest
from test_close_range import wait_until

# By the protocol a change of the list is told within this time; the directory is asked every 0.25 s.
TOLD_WITHIN_S = 1.5
ASKED_EVERY_S = 0.25


def started(rig) -> int:
    return sum(len(engine.start_times) for engine in rig.engines.values())


def warm_up(rig, connections: int) -> None:
    """Have each engine answer requests on so many connections, so that these are idle in the pool."""
    for number in range(1, 2 * connections + 1):
        rig.call(number, "look", patience=1400)
    for number in range(1, 2 * connections + 1):
        rig.answered(number)


def old_requests(engine, *methods: str) -> list[str]:
    """Return the requests about queries that this engine never started."""
    own = {start.ticket for start in engine.starts}
    return [
        f"{method} {path}"
        for method, path, *_ in engine.requests
        if method in methods and path.split("/")[2] not in own
    ]


@pytest.mark.parametrize("group", ["look", "pay", "load"])
@pytest.mark.parametrize("told_after_s", [0.0, 0.3, TOLD_WITHIN_S])
def test_a_new_engine_at_the_address_of_one_that_was_killed_gets_nothing_of_its_queries(
    rig, group, told_after_s
) -> None:
    """Guards against polls, pages and cancel requests of a query at a process that never had it."""
    rig.engine("e", *["rows:1"] * 6, "runs:3000")
    rig.start()
    rig.call(1, "look")
    rig.call(2, "look")
    rig.returned(1)
    rig.returned(2)
    for number in (3, 4, 5):
        rig.call(number, "look", patience=1400)
        rig.answered(number)
    rig.engines["e"].behaviours = ["runs:3000"]
    before = started(rig)
    rig.call(6, group, patience=1400)
    rig.call(7, "look", patience=1400)
    wait_until(lambda: started(rig) == before + 2)
    gevent.sleep(0.1)
    rig.replace("e", "g", "rows:1")
    new = rig.unlisted["g"]
    gevent.sleep(told_after_s)
    rig.tell_replaced("e", "g")
    gevent.sleep(2.5)
    assert not old_requests(new, "GET", "DELETE", "PUT")
    rig.answered(6)
    rig.answered(7)


def test_requests_are_not_sent_to_a_new_engine_as_if_it_were_the_old_one(rig) -> None:
    """The list still has the old engine, of another zone. All of its connections were reset at once, so its
    process has ended."""
    for entry in rig.settings["classes"]:
        entry["staysIn"] = ["a"]
    rig.engine("e", "runs:300", zone="a")
    rig.engine("f", "runs:300", zone="a")
    rig.start()
    for number in range(1, 9):
        rig.call(number, "look", patience=1400)
    wait_until(lambda: started(rig) == 8)
    assert all(len(engine.start_times) >= 2 for engine in rig.engines.values())
    rig.replace("e", "g", "rows:1", zone="b")
    new = rig.unlisted["g"]
    gevent.sleep(0.05)
    for number in range(9, 25):
        rig.call(number, "look", patience=1400)
        gevent.sleep(0.06)
    for number in range(1, 25):
        rig.answered(number)
    rig.tell_replaced("e", "g")
    gevent.sleep(2 * ASKED_EVERY_S)
    rig.call(25, "look")
    rig.answered(25)
    assert not new.start_times, f"{len(new.start_times)} requests for zone a were started in zone b"
    assert not old_requests(new, "GET", "DELETE", "PUT")


def test_one_connection_that_is_reset_does_not_take_its_engine_out_of_use(rig) -> None:
    """The network resets connections too: another connection to the engine shows that its process lives."""
    rig.engine("e", *["runs:200"] * 2, "reset", "rows:1")
    rig.start()
    rig.call(1, "look", patience=1400)
    rig.call(2, "look", patience=1400)
    rig.call(3, "look", patience=1400)
    for number in (1, 2, 3):
        rig.returned(number)
    rig.call(4, "look", patience=300)
    rig.returned(4, within=300)

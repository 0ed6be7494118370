"""Engines that give the same rows at the same cost twice in a row, as for a cached dashboard or `SELECT 1`.
By what it says such an answer cannot be told from a late second copy of the one before it on its connection.

As found each one was taken for a copy, and each request paid a new connection and a second call (`lost_copy`
in the log for each)."""

from base64 import b64decode
from time import monotonic

import gevent
from test_close_range import Copier, own_rows, rows, until

ENGINES = ("e", "f", "g", "h")
RATE = 40
# Copies were seen up to 0.7 s late; a second after a connection's last answer nothing on it can be one.
WARM_UP_S = 2.0
MEASURED_S = 2.0


def answer_alike(engine) -> None:
    """Let an engine name the same cost for each query, so that all its good ends are equal."""
    answer = engine.answer

    def same_cost(link, status, fields=(), body=b"") -> None:
        answer(link, status, [(name, 5 if name == "X-Cost-Ms" else value) for name, value in fields], body)

    engine.answer = same_cost


class ConnectionCount:
    """Counts connections to engines as they are made."""

    def __init__(self, pools) -> None:
        self.made = 0
        self.connect = pools.dial
        pools.dial = self.dial

    def dial(self, *told):
        self.made += 1
        return self.connect(*told)


def calls_of(rig) -> int:
    return sum(len(engine.asked) for engine in rig.engines.values())


def steady_traffic(rig, first: int, seconds: float) -> int:
    """Write requests at a steady rate; return the number of the next one."""
    end = monotonic() + seconds
    while monotonic() < end:
        rig.call(first, "look")
        first += 1
        gevent.sleep(1 / RATE)
    until(lambda: all(number in rig.answers for number in range(1, first)))
    return first


def test_equal_answers_cost_neither_connections_nor_calls(rig) -> None:
    for name in ENGINES:
        rig.engine(name, "rows:1")
        answer_alike(rig.engines[name])
    rig.start()
    connections = ConnectionCount(rig.gateway.pools)
    first = steady_traffic(rig, 1, WARM_UP_S)
    made, calls = connections.made, calls_of(rig)
    following = steady_traffic(rig, first, MEASURED_S)
    for number in range(1, following):
        rig.returned(number)
    print(
        f"{following - first} requests, {connections.made - made} connections, {calls_of(rig) - calls} calls"
    )
    assert calls_of(rig) - calls == following - first
    assert connections.made == made


def test_the_first_equal_answers_are_checked_once_and_their_connections_used_again(rig) -> None:
    rig.engine("e", "rows:1")
    answer_alike(rig.engines["e"])
    rig.start()
    connections = ConnectionCount(rig.gateway.pools)
    for number in range(1, 11):
        rig.call(number, "look")
        rig.returned(number)
    assert len(rig.gateway.pools.idle[next(iter(rig.gateway.pools.idle))]) == connections.made


def test_a_second_copy_ends_no_other_request_where_answers_are_known_to_be_equal(rig) -> None:
    """The engine has given equal answers, and each was checked; then it sends one twice."""
    rig.engine("e", "rows:1")
    engine = rig.engines["e"]
    answer_alike(engine)
    rig.start()
    for number in range(1, 6):
        rig.call(number, "look")
        rig.returned(number)
    Copier(engine)
    for number in range(6, 10):
        rig.call(number, "look")
        until(lambda number=number: number in rig.answers)
    assert [rows(rig, number) for number in range(6, 10)] == [own_rows(number) for number in range(6, 10)]


def test_the_rows_of_a_statement_that_is_answered_alike_are_its_own(rig) -> None:
    """An engine whose answers all cost the same, but differ in their rows, pays nothing."""
    rig.engine("e", "rows:1")
    engine = rig.engines["e"]
    engine.news = lambda link, ticket: engine.answer(
        link, 200, [("X-Pages", 1), ("X-Cost-Ms", 5), ("X-Needed-Mb", 1)], own_rows(int(ticket, 16))
    )
    rig.start()
    connections = ConnectionCount(rig.gateway.pools)
    for number in range(1, 31):
        rig.call(number, "look")
        assert b64decode(rig.answered(number)["result"]["data"]) == own_rows(number)
    assert connections.made <= 1 and len(engine.asked) == 30

"""Engines that send a second copy of a result, late: no batch ends by another one's result."""

from collections.abc import Callable

import gevent
import pytest
from test_close_range import result_rows, returned_rows, wait_until

RESULT_FIELDS = (("X-Pages", 1), ("X-Cost-Ms", 5), ("X-Needed-Mb", 1))
# Twice this is longer than a duplicate is suspected, once is shorter than one has been late.
SAME_RESULT_INTERVAL_S = 0.6


class LateDuplicateEngine:
    """Answers each batch with rows of its own. While the batch `at` is running, it sends a duplicate of the
    first result on the connection, and the batch's own result a moment later."""

    OWN_RESULT_DELAY_S = 0.01

    def __init__(self, engine, at: int) -> None:
        self.respond: Callable = engine.respond
        self.at = at
        self.first_rows = b""
        engine.send_status = self.send_status

    def send_status(self, connection, ticket: str) -> None:
        number = int(ticket, 16)
        rows = result_rows(number)
        self.first_rows = self.first_rows or rows
        if number == self.at:
            self.at = 0
            self.respond(connection, 200, RESULT_FIELDS, self.first_rows)
            gevent.sleep(self.OWN_RESULT_DELAY_S)
        self.respond(connection, 200, RESULT_FIELDS, rows)


@pytest.mark.parametrize("results_between", [0, 3, 4, 5, 30])
def test_a_duplicate_behind_later_results_ends_no_other_batch(rig, results_between: int) -> None:
    """Guards against responses shifted by one batch after a duplicate of an older result."""
    rig.engine("e", "rows:1")
    last = results_between + 2
    LateDuplicateEngine(rig.engines["e"], at=last)
    rig.start()
    for number in range(1, last + 2):
        rig.call(number, "look")
        wait_until(lambda number=number: number in rig.answers)
    assert [returned_rows(rig, number) for number in range(1, last + 2)] == [
        result_rows(number) for number in range(1, last + 2)
    ]


def page_rows(ticket: int, page: int) -> bytes:
    return f"a\t{page}\t{ticket}\n".encode()


class LateDuplicatePageEngine:
    """Results of two pages; for the second page of batch 2 it first sends a duplicate of that of batch 1."""

    OWN_PAGE_DELAY_S = 0.01

    def __init__(self, engine) -> None:
        self.respond: Callable = engine.respond
        self.duplicate_sent = False
        engine.send_status = self.send_status
        engine.send_page = self.send_page

    def send_status(self, connection, ticket: str) -> None:
        fields = [("X-Pages", 2), *RESULT_FIELDS[1:]]
        self.respond(connection, 200, fields, page_rows(int(ticket, 16), 0))

    def send_page(self, connection, ticket: str, number: str) -> None:
        if number == "0":
            self.send_status(connection, ticket)
            return
        fields = [("X-Page", number)]
        if int(ticket, 16) == 2 and not self.duplicate_sent:
            self.duplicate_sent = True
            self.respond(connection, 200, fields, page_rows(1, int(number)))
            gevent.sleep(self.OWN_PAGE_DELAY_S)
        self.respond(connection, 200, fields, page_rows(int(ticket, 16), int(number)))


def test_a_duplicate_page_is_not_taken_for_that_page_of_the_next_result(rig) -> None:
    """Guards against a result put together from pages of two results."""
    rig.engine("e", "rows:2")
    LateDuplicatePageEngine(rig.engines["e"])
    rig.start()
    for number in (1, 2, 3):
        rig.call(number, "look")
        wait_until(lambda number=number: number in rig.answers)
    assert [returned_rows(rig, number) for number in (1, 2, 3)] == [
        page_rows(number, 0) + page_rows(number, 1) for number in (1, 2, 3)
    ]


class LateDuplicateOfASecondResultEngine:
    """Batches 1 and 2 have the same result, and a duplicate of the second one comes while batch 3 runs."""

    OWN_RESULT_DELAY_S = 0.01

    def __init__(self, engine) -> None:
        self.respond: Callable = engine.respond
        self.duplicate_sent = False
        engine.send_status = self.send_status

    def send_status(self, connection, ticket: str) -> None:
        if ticket.endswith("3") and not self.duplicate_sent:
            self.duplicate_sent = True
            self.respond(connection, 200, RESULT_FIELDS, result_rows(0))
            gevent.sleep(self.OWN_RESULT_DELAY_S)
        rows = result_rows(3 if ticket.endswith("3") else 0)
        self.respond(connection, 200, RESULT_FIELDS, rows)


def test_a_duplicate_of_an_identical_result_is_told_by_the_later_one(rig) -> None:
    """Guards against a duplicate that is late by less than the window, of a result that was first received on
    its connection longer ago than that."""
    rig.engine("e", "rows:1")
    LateDuplicateOfASecondResultEngine(rig.engines["e"])
    rig.start()
    for number in (1, 2, 3):
        rig.call(number, "look")
        wait_until(lambda number=number: number in rig.answers)
        gevent.sleep(SAME_RESULT_INTERVAL_S)
    assert [returned_rows(rig, number) for number in (1, 2, 3)] == [
        result_rows(0),
        result_rows(0),
        result_rows(3),
    ]


class DuplicateBehindCancelledBatchEngine:
    """Answers the start of batch 1 late, and sends a duplicate of that before the result of batch 2."""

    RESULT_DELAY_S = 0.1
    OWN_RESULT_DELAY_S = 0.01

    def __init__(self, engine) -> None:
        self.respond: Callable = engine.respond
        self.duplicate_sent = False
        engine.send_status = self.send_status

    def send_status(self, connection, ticket: str) -> None:
        number = int(ticket, 16)
        if number == 1:
            gevent.sleep(self.RESULT_DELAY_S)
        if number == 2 and not self.duplicate_sent:
            self.duplicate_sent = True
            self.respond(connection, 200, RESULT_FIELDS, result_rows(1))
            gevent.sleep(self.OWN_RESULT_DELAY_S)
        self.respond(connection, 200, RESULT_FIELDS, result_rows(number))


def test_a_duplicate_behind_a_cancelled_batch_ends_no_other_batch(rig) -> None:
    """Guards against rows of a batch whose client gave up before its result came, served to the next ones."""
    rig.set("limits.secondCopies", "false")
    rig.engine("e", "rows:1")
    DuplicateBehindCancelledBatchEngine(rig.engines["e"])
    rig.start()
    rig.call(1, "look")
    wait_until(lambda: rig.engines["e"].starts)
    rig.abort(1)
    wait_until(lambda: any(request[0] == "DELETE" for request in rig.engines["e"].requests))
    rig.idle()
    for number in (2, 3, 4):
        rig.call(number, "look")
        wait_until(lambda number=number: number in rig.answers)
    assert [returned_rows(rig, number) for number in (2, 3, 4)] == [
        result_rows(number) for number in (2, 3, 4)
    ]

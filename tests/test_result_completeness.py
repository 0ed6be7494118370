"""Results with a Content-Length that is too small by whole rows, and complete ones with bytes behind them."""

from collections.abc import Callable

import pytest
from test_close_range import returned_rows, wait_until

from pathturn.standins.engines import VALID_RESPONSE
from pathturn.wire.http import ResponseParser
from pathturn.wire.result_completeness import ResultCompleteness, ResultPages, Surplus, classify_surplus

PAGES = 3
ROWS_OF_A_PAGE = 4
ROW_BYTES = len(b"0\t0\t0000\n")
# Two answers that are the same, and two requests that found noise in place of an answer.
MAX_CALLS_A_PAGE = 4
# Text that may be the beginning of a row, as nothing ends it.
TEXT_NOISE = b"noise"
FOREIGN_BYTES = [
    b"\x00\xa7 noise",
    b"noise\n",
    b"a\tb\tc\td\n",
    b"\xff\tb\tc\n",
    VALID_RESPONSE,
    b"HTTP/1.1 200 OK\r\n",
]


def page_rows(page: int) -> bytes:
    return b"".join(b"%d\t%d\t%04d\n" % (page, row, 7 * row) for row in range(ROWS_OF_A_PAGE))


WHOLE_RESULT = b"".join(map(page_rows, range(PAGES)))


class EngineWithSurplus:
    """Answers with results of three pages; `frame` makes the segments of a page's response from its head
    fields and its rows. Segments behind the first are sent before the next response on the connection."""

    def __init__(self, engine, frame: Callable[[int, bytes, bytes], list[bytes]]) -> None:
        self.frame = frame
        self.late_segments: dict[object, bytes] = {}
        engine.send_status = lambda connection, ticket: self.send_page(connection, ticket, "0")
        engine.send_page = self.send_page

    def send_page(self, connection, ticket: str, number: str) -> None:
        page = int(number)
        fields = b"X-Page: %d" % page if page else b"X-Pages: %d\r\nX-Cost-Ms: 5\r\nX-Needed-Mb: 1" % PAGES
        first_segment, *late_segments = self.frame(page, fields, page_rows(page))
        late_segment = self.late_segments.pop(connection, b"")
        self.late_segments[connection] = b"".join(late_segments)
        connection.sendall(late_segment + first_segment)


def response(fields: bytes, length: int, rows: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\n%s\r\nContent-Length: %d\r\n\r\n%s" % (fields, length, rows)


class ShortLength:
    """Frames one page, the first time, with a length that ends behind some of its rows."""

    def __init__(self, page: int, rows: int, late: bool = False) -> None:
        """With `late` the other rows are sent after the response with that length."""
        self.page = page
        self.late = late
        self.length = rows * ROW_BYTES
        self.sent = False

    def __call__(self, page: int, fields: bytes, rows: bytes) -> list[bytes]:
        if page != self.page or self.sent:
            return [response(fields, len(rows), rows)]
        self.sent = True
        whole = response(fields, self.length, rows)
        end = len(whole) - len(rows) + self.length
        return [whole[:end], whole[end:]] if self.late else [whole]


@pytest.mark.parametrize("group", ["look", "pay"])
@pytest.mark.parametrize("rows", range(ROWS_OF_A_PAGE))
@pytest.mark.parametrize("page", range(PAGES))
def test_a_length_that_is_too_small_by_whole_rows_loses_no_rows(
    rig, page: int, rows: int, group: str
) -> None:
    """Guards against results served without the rows behind the end that their Content-Length tells."""
    rig.engine("e")
    EngineWithSurplus(rig.engines["e"], ShortLength(page, rows))
    rig.start()
    rig.call(1, group)
    wait_until(lambda: 1 in rig.answers)
    assert returned_rows(rig, 1) == WHOLE_RESULT
    rig.asked("e", "POST", 1)
    rig.asked("e", "GET", PAGES)
    rig.idle()


@pytest.mark.parametrize("rows", range(1, ROWS_OF_A_PAGE))
@pytest.mark.parametrize("page", range(PAGES - 1))
def test_rows_that_arrive_in_place_of_the_next_page_are_not_lost(rig, page: int, rows: int) -> None:
    """Guards against pages without the rows that came in a later segment than the end that their
    Content-Length tells."""
    rig.engine("e")
    EngineWithSurplus(rig.engines["e"], ShortLength(page, rows, late=True))
    rig.start()
    rig.call(1, "pay")
    wait_until(lambda: 1 in rig.answers)
    assert returned_rows(rig, 1) == WHOLE_RESULT
    rig.asked("e", "POST", 1)
    rig.asked("e", "GET", PAGES + 1)
    rig.idle()


@pytest.mark.parametrize("noise", [TEXT_NOISE, FOREIGN_BYTES[0], b"a\tb\tc\n"])
def test_noise_that_arrives_behind_each_response_costs_a_bounded_number_of_calls(rig, noise: bytes) -> None:
    rig.engine("e")
    EngineWithSurplus(rig.engines["e"], lambda page, fields, rows: [response(fields, len(rows), rows), noise])
    rig.start()
    for number in (1, 2):
        rig.call(number, "pay")
        wait_until(lambda number=number: number in rig.answers)
        assert returned_rows(rig, number) == WHOLE_RESULT
    rig.asked("e", "POST", 2)
    assert sum(request[0] == "GET" for request in rig.engines["e"].requests) <= 2 * MAX_CALLS_A_PAGE * PAGES


def test_a_length_that_is_always_too_small_serves_no_incomplete_result(rig) -> None:
    """Guards against taking an incomplete page for a complete one because it came twice."""
    rig.engine("e")
    EngineWithSurplus(rig.engines["e"], lambda page, fields, rows: [response(fields, ROW_BYTES, rows)])
    rig.start()
    rig.call(1, "pay", patience=1400)
    rig.errored(1)
    rig.asked("e", "POST", 1)


@pytest.mark.parametrize(("surplus", "calls"), [(TEXT_NOISE, 2), *((each, 1) for each in FOREIGN_BYTES)])
def test_bytes_behind_each_response_cost_a_bounded_number_of_calls(rig, surplus: bytes, calls: int) -> None:
    """Guards against good results that are requested until the tries are used up."""
    rig.engine("e")
    EngineWithSurplus(
        rig.engines["e"], lambda page, fields, rows: [response(fields, len(rows), rows) + surplus]
    )
    rig.start()
    for number in (1, 2):
        rig.call(number, "pay")
        wait_until(lambda number=number: number in rig.answers)
        assert returned_rows(rig, number) == WHOLE_RESULT
    rig.asked("e", "POST", 2)
    rig.asked("e", "GET", 2 * (PAGES * calls - 1))


@pytest.mark.parametrize(
    ("surplus", "kind"),
    [
        (b"a\tb\tc\n", Surplus.ROWS),
        (b"\t\t\n\x00", Surplus.ROWS),
        (b"\xc3\xa9\tb\tc\nHTTP/1.1", Surplus.ROWS),
        (b"", Surplus.UNKNOWN),
        (TEXT_NOISE, Surplus.UNKNOWN),
        (b"a\tb\t\xc3", Surplus.UNKNOWN),
        *((each, Surplus.FOREIGN) for each in FOREIGN_BYTES),
        (b"\n", Surplus.FOREIGN),
        (b"a\tb\tc\r\n", Surplus.FOREIGN),
    ],
)
def test_bytes_behind_a_page_are_told_apart_by_what_a_row_can_hold(surplus: bytes, kind: Surplus) -> None:
    assert classify_surplus(surplus) is kind


INFORMATIONAL = b"HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n"


@pytest.mark.parametrize("before", [b"", b"\r\n\r\n", INFORMATIONAL, INFORMATIONAL * 2])
@pytest.mark.parametrize("body", [b"", b"a\tb\tc\n", b"a\tb\tc\n" * 50])
@pytest.mark.parametrize("surplus", [b"d\te\tf\n", b"H\te\tf\n", b"d\te\tf\n\r\n\r\n", VALID_RESPONSE])
@pytest.mark.parametrize("segment_bytes", [1, 7, 10_000])
def test_the_parser_tells_the_bytes_behind_a_response(before, body, surplus, segment_bytes) -> None:
    parser = ResponseParser()
    stream = before + response(b"X-Pages: 1", len(body), body) + surplus
    for start in range(0, len(stream), segment_bytes):
        parser.feed(memoryview(stream[start : start + segment_bytes]))
    assert parser.received_surplus and parser.surplus == surplus
    assert parser.take()[2] == body


def test_the_parser_tells_no_bytes_behind_a_response_of_unknown_length() -> None:
    parser = ResponseParser()
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na\tb\tc\n\r\n0\r\n\r\n"
    assert parser.feed(memoryview(chunked + b"d\te\tf\n"))
    assert parser.received_surplus and parser.surplus == b""


def test_a_page_with_unknown_bytes_behind_it_is_confirmed_by_the_same_rows() -> None:
    completeness = ResultCompleteness()
    first = (200, {"x-page": "1"}, b"a\tb\tc\n")
    other_page = (200, {"x-page": "2"}, first[2])
    other_rows = (200, {"x-page": "1"}, first[2] * 2)
    assert not completeness.is_confirmed(first, TEXT_NOISE)
    assert not completeness.is_confirmed(other_page, TEXT_NOISE)
    assert not completeness.is_confirmed(other_rows, TEXT_NOISE)
    assert completeness.is_confirmed(first, TEXT_NOISE)
    assert completeness.is_confirmed(other_rows, None)


def test_a_doubted_page_is_missing_until_it_came_the_same_twice() -> None:
    pages = ResultPages(2, b"0\n")
    pages.add(1, b"1\n")
    pages.doubt(0)
    assert pages.next_missing() == 0
    pages.add(0, b"0\n0\n")
    assert pages.next_missing() is None
    pages.doubt(0)
    assert pages.next_missing() == 0
    pages.add(0, b"0\n0\n")
    pages.doubt(0)
    assert pages.next_missing() is None and pages.rows() == b"0\n0\n1\n"


def test_rows_behind_a_page_are_never_confirmed_by_a_second_time() -> None:
    completeness = ResultCompleteness()
    page = (200, {"x-page": "1"}, b"a\tb\tc\n")
    assert not any(completeness.is_confirmed(page, b"d\te\tf\n") for _ in range(3))


def test_bytes_behind_a_response_without_rows_leave_it_valid() -> None:
    completeness = ResultCompleteness()
    for status in (202, 204, 500, 503):
        assert completeness.is_confirmed((status, {}, b""), b"a\tb\tc\n")

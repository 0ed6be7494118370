"""Carries dispatches to engines: from the first byte to the outcome."""

from collections.abc import Callable
from functools import partial

import gevent

from pathturn.core import interface as names
from pathturn.memory.batches import Dispatch
from pathturn.memory.facade import Facade
from pathturn.memory.pools import Pools
from pathturn.wire import warehouse
from pathturn.wire.http import Unreadable
from pathturn.wire.line import Line, Lost, Unreachable, Unsent

Answer = tuple[int, dict[str, str], bytes]
# A spoilt answer comes whole when asked for again; an engine that fails so often in a row has lost it.
TRIES, PAUSE_S = 6, 0.01
RESETS = frozenset({"closed", "ConnectionResetError", "BrokenPipeError"})  # what a process that dies leaves
ASK_AGAIN_S = 0.1  # between give-ups that nobody answers: a key waits for one, but each costs a dial


class CalledBack(gevent.GreenletExit):
    """The module wants the dispatch no more."""


class TimeUp(BaseException):
    """The dispatch's time is up."""


class Engines:
    def __init__(self, facade: Facade, pools: Pools, clock: Callable[[], int], report_fields: list[str],
                 copies_allowed: bool) -> None:
        self.facade, self.pools, self.clock = facade, pools, clock
        self.report_fields, self.copies_allowed = report_fields, copies_allowed

    def send(self, dispatch: Dispatch) -> None:
        gevent.spawn(self._carry, dispatch)

    def _carry(self, dispatch: Dispatch) -> None:
        trip, runner = Trip(dispatch, self.pools), gevent.getcurrent()
        if dispatch.called_back or dispatch.batch.over:  # its client may have left since it was decided
            self._done(trip, names.UNSENT)
            return
        # Only from here on: a greenlet killed before its first step would never report an outcome.
        dispatch.stop = lambda: runner.kill(CalledBack, block=False)
        dispatch.rerank = lambda priority: gevent.spawn(self._rerank, dispatch, priority)
        try:
            with gevent.Timeout(self._left_s(dispatch), TimeUp):
                self._run(trip)
        except Unreachable as fault:
            self._done(trip, names.CONNECT_REFUSED if fault.refused else names.UNREACHABLE)
        except Unsent:
            trip.drop("unsent")
            self._done(trip, names.UNSENT)
        except Lost as fault:
            trip.code = f"lost_{fault}"
            self._part(trip, names.RESET)
        except Exception as fault:  # noqa: BLE001 - without an outcome its batch would never be answered
            trip.code = f"fault_{type(fault).__name__}"
            self._part(trip, names.ERRORED)
        except TimeUp:
            trip.code = "time_up"
            self._part(trip, names.TIMED_OUT)
        except CalledBack:
            trip.code = "called_back"
            self._part(trip, names.CANCELLED)

    def _part(self, trip: "Trip", outcome: str) -> None:
        """Ends a dispatch whose query may still run. What waits for the proof is a greenlet of its own: one
        that is called back meanwhile would never report."""
        dispatch = trip.dispatch
        dispatch.stop = dispatch.rerank = None
        if not trip.begun:
            trip.drop(trip.code)
            self._done(trip, names.UNSENT)
        elif not self.copies_allowed and (dispatch.batch.key is not None or outcome != names.TIMED_OUT):
            gevent.spawn(self._see_out, trip, outcome)
        else:
            told = self.facade.unproven(dispatch) if dispatch.batch.key is not None else None
            self._done(trip, outcome)
            gevent.spawn(self._prove, trip, told)

    def _see_out(self, trip: "Trip", outcome: str) -> None:
        """Against two dispatches of a batch at once: the outcome waits until the query is over. With a key
        it may outlast the batch, which the module ends in time; without, it would hold up its end."""
        left_s = None if trip.dispatch.batch.key is not None else self._left_s(trip.dispatch)
        with gevent.Timeout(left_s, False):
            self._prove(trip, lambda: None)
        trip.drop(trip.code)
        self._done(trip, outcome)

    def _prove(self, trip: "Trip", told: Callable[[], None] | None) -> None:
        """Gives the query up; `told` is called once that is proven. Time alone proves nothing while the
        engine is out of reach: there a query was seen to go on beyond the protocol's 2 s."""
        dispatch = trip.dispatch
        if told is not None:
            trip.settle()
            if trip.give_up():
                told()
                return
        trip.drop(trip.code)
        # A start that is still on its way, unanswered, comes after a give-up on another connection and begins
        # then: what is answered before it would have ended unasked proves nothing, and it is given up again.
        while not (self._give_up(dispatch, trip.reset) and trip.past_start()) and told is not None:
            if not self.facade.named(dispatch) and self.clock() >= trip.forgotten_us:
                break
            gevent.sleep(ASK_AGAIN_S)
        if told is not None:
            told()

    def _left_s(self, dispatch: Dispatch) -> float:
        return max(0, dispatch.until_us - self.clock()) / 1e6

    def _run(self, trip: "Trip") -> None:
        dispatch, batch = trip.dispatch, trip.dispatch.batch
        while not self.facade.follows(dispatch):
            gevent.sleep(PAUSE_S)
        trip.line = self.pools.borrow(dispatch.place)
        if not self.facade.stands(dispatch):
            trip.end()
            self._done(trip, names.UNSENT)
            return
        trip.begun = True
        pages, (status, fields, body) = trip.start(warehouse.start(
            trip.line.host, batch.ticket, batch.group, dispatch.until_us - self.clock(), batch.nonce,
            batch.grant_mb, batch.priority, batch.statement))
        while status == 202:
            if (told := warehouse.note(fields)) is not None:
                self.facade.note(dispatch, *told)
            pages, (status, fields, body) = trip.news()
        ended, outcome, rows = self.clock(), warehouse.outcome(status, fields), None
        if outcome == names.RETURNED:
            rows = self._rows(trip, pages, body)
            outcome = names.ERRORED if rows is None else outcome
        trip.end()
        self._done(trip, outcome, ended, fields, rows or b"")

    def _rows(self, trip: "Trip", pages: int, first: bytes) -> bytes | None:
        """The whole result, or None where the engine has lost a part of it."""
        rows = [first]
        for number in range(1, pages):
            if (page := trip.page(number)) is None:
                return None
            rows.append(page)
        whole = b"".join(rows)
        return whole if len(whole) <= warehouse.LARGEST_RESULT else None

    def _done(self, trip: "Trip", outcome: str, ended: int = 0, fields: dict[str, str] | None = None,
              rows: bytes = b"") -> None:
        told = fields or {}
        trip.dispatch.stop = trip.dispatch.rerank = None
        self.facade.report(trip.dispatch, outcome, ended or self.clock(),
                           round(warehouse.number(told, "x-cost-ms") * 1000),
                           warehouse.number(told, "x-needed-mb"),
                           warehouse.meter(told, self.report_fields), rows)

    def _give_up(self, dispatch: Dispatch, reset: bool) -> bool:
        """Whether it is proven over. A refusal alone proves nothing: an engine that drains, or has all the
        connections it bears, takes no new one and goes on with its queries. One that died reset ours too."""
        return self._aside(dispatch, warehouse.give_up, reset)

    def _rerank(self, dispatch: Dispatch, priority: int) -> None:
        self._aside(dispatch, lambda host, ticket: warehouse.rank(host, ticket, priority))

    def _aside(self, dispatch: Dispatch, request: Callable[[str, str], bytes], gone: bool = False) -> bool:
        """A call beside the one that asks for news; whether it was answered in time, or refused where that
        says that the engine is gone."""
        trip = Trip(dispatch, self.pools)
        try:
            with gevent.Timeout(self.pools.dial_s, TimeUp):
                trip.line = self.pools.borrow(dispatch.place)
                trip.line.tell(request(trip.line.host, dispatch.batch.ticket), trip.patience_s)
            trip.end()
            return True
        except Unreachable as fault:
            return fault.refused and gone
        except (Lost, TimeUp):
            return False
        finally:
            trip.drop(trip.code)


class Trip:
    """A dispatch and the connection that it uses at the moment. A query is tied to no connection and keeps
    its result: where an answer was lost, late or spoilt it is asked for again on a new one, not run again."""

    def __init__(self, dispatch: Dispatch, pools: Pools) -> None:
        self.dispatch, self.pools, self.begun, self.torn, self.reset = dispatch, pools, False, False, False
        self.line: Line | None = None
        self.code = "unanswered"  # why its connection is dropped in the end
        self.forgotten_us = 0  # when the engine has ended it by itself, if it hears of it no more
        # Whether its start is no more on its way, and from when on it cannot be.
        self.started, self.late_us = False, 0
        self.patience_s = pools.dial_s + warehouse.NEWS_US / 1e6

    def start(self, request: bytes) -> tuple[int, Answer]:
        self.late_us = self.pools.clock() + warehouse.NEWS_US + warehouse.FORGOTTEN_US
        try:
            told = self._once(request, warehouse.news)
            self.started = True
            return told
        except Unsent:
            raise  # it never went out whole: there is no news to ask for
        except Lost as fault:
            self.started = str(fault) in RESETS  # the engine's side of that connection takes nothing more
            self._lose(fault)
        return self.news()

    def past_start(self) -> bool:
        return self.started or self.pools.clock() >= self.late_us

    def settle(self) -> None:
        """Waits for the answer to a call that is out: a give-up on another connection could overtake the
        start it is to end. One that is torn brings nothing more; one that stays silent is torn by us."""
        if self.line is not None and self.line.due:
            self.started = self._aside(self.line.answer) or self.started

    def give_up(self) -> bool:
        """On the connection that brought its news, if that is free: an engine may take no new one."""
        if self.line is None or self.line.due:
            return False
        if answered := self._aside(partial(self.line.tell, warehouse.give_up(
                self.line.host, self.dispatch.batch.ticket), self.patience_s)):
            self.end()
        return answered

    def _aside(self, call: Callable[[], Answer]) -> bool:
        """Whether it brought an answer in time; if not, the connection is of no use any more."""
        try:
            with gevent.Timeout(self.patience_s, False):
                call()
                return True
        except Lost as fault:
            self._lose(fault)
        return False

    def news(self) -> tuple[int, Answer]:
        """After a lost call an error may also mean that the engine knows nothing of the query: its start may
        still be on its way, or it ended unasked or with its process. That proves neither when nor whether."""
        pages, answer = self._ask(0, warehouse.news)
        if self.torn and answer[0] == 500:
            raise Lost("unknown")
        self.started = True
        return pages, answer

    def page(self, number: int) -> bytes | None:
        there, answer = self._ask(number, partial(warehouse.further, number))
        return answer[2] if there else None

    def _ask(self, number: int, check: Callable[..., int]) -> tuple[int, Answer]:
        for tries in range(TRIES):
            try:
                if self.line is None:
                    # Not all at once: an engine that has just been started anew resets many at a time.
                    gevent.sleep(PAUSE_S * 2 ** tries)
                    self.line = self.pools.borrow(self.dispatch.place, new=True)
                return self._once(warehouse.page(self.line.host, self.dispatch.batch.ticket, number), check)
            except Unreachable as fault:
                raise Lost("engine_down") from fault
            except Lost as fault:
                self._lose(fault)
        raise Lost("tries")

    def _once(self, request: bytes, check: Callable[..., int]) -> tuple[int, Answer]:
        """One call, and its answer with what the check found in it. A connection that brought more than the
        answer is not used again."""
        self.forgotten_us = self.pools.clock() + warehouse.NEWS_US + warehouse.FORGOTTEN_US
        answer = self.line.call(request, self.patience_s)
        try:
            found = check(*answer)
        except Unreadable as fault:
            raise Lost(f"spoilt_{fault}") from fault
        if self.line.parts:
            self.drop(self.line.parts)
        return found, answer

    def _lose(self, fault: Lost) -> None:
        self.torn, self.reset = True, self.reset or str(fault) in RESETS
        self.drop(f"lost_{fault}")

    def end(self) -> None:
        if self.line is not None:
            self.pools.give_back(self.line)
            self.line = None

    def drop(self, code: str) -> None:
        if self.line is not None:
            self.pools.drop(self.line, code)
            self.line = None

"""One attempt at an engine: its start, news and pages, on whichever connection it uses at the moment."""

from collections.abc import Callable
from functools import partial

import gevent

from pathturn.memory.batches import Dispatch
from pathturn.memory.pools import Pools
from pathturn.wire import warehouse
from pathturn.wire.http import Unreadable
from pathturn.wire.line import Line, Lost, SuspectedCopyError, Unreachable, Unsent
from pathturn.wire.warehouse import GoodEnd

Answer = tuple[int, dict[str, str], bytes]
# A spoilt answer comes whole when asked for again; an engine that fails so often in a row has lost it.
TRIES, PAUSE_S = 6, 0.01
RESETS = frozenset({"closed", "ConnectionResetError", "BrokenPipeError"})  # what a process that dies leaves


class Exchange:
    """A dispatch and the connection that it uses at the moment. A query is tied to no connection and keeps
    its result: where an answer was lost, late or spoilt it is asked for again on a new one, not run again."""

    def __init__(self, dispatch: Dispatch, pools: Pools) -> None:
        self.dispatch, self.pools, self.begun, self.torn = dispatch, pools, False, False
        self.line: Line | None = None
        # A connection that brought what may be a second copy, and that; kept until the engine's word shows.
        self.suspected: tuple[Line, GoodEnd] | None = None
        self.code = "unanswered"  # why its connection is dropped in the end
        self.forgotten_us = 0  # when the engine has ended it by itself, if it hears of it no more
        # Whether the engine has answered its start or a call about it, and until when the start may reach it.
        self.start_answered = False
        self.start_latest_us = 0
        self.patience_s = pools.dial_s + warehouse.NEWS_US / 1e6

    def start(self, request: bytes) -> tuple[int, Answer]:
        self.start_latest_us = self.pools.clock() + warehouse.NEWS_US + warehouse.FORGOTTEN_US
        try:
            told = self._once(request, warehouse.news)
            self.start_answered = True
            return told
        except Unsent:
            raise  # it never went out whole: there is no news to ask for
        except Lost as fault:
            if str(fault) in RESETS:
                self.start_latest_us = 0  # what has not reached the engine by then never will
            self._lose(fault)
        return self.news()

    def settle(self) -> None:
        """Waits for the answer to a call that is out: a give-up on another connection could overtake the
        start it is to end. One that is torn brings nothing more; one that stays silent is torn by us."""
        if self.line is None or not self.line.due:
            return
        answers: list[Answer] = []
        self._aside(lambda: answers.append(self.line.answer()))
        if answers and not self._unknown(answers[0]):
            self.start_answered = True

    def give_up(self) -> bool:
        """On the connection that brought its news, if that is free: an engine may take no new one."""
        if self.line is None or self.line.due or not self.start_answered:
            return False
        call = warehouse.give_up(self.line.host, self.dispatch.batch.ticket)
        confirmed = []
        answered = self._aside(lambda: confirmed.append(self.line.tell(call, self.patience_s)))
        if answered:
            self.end()
        return confirmed == [warehouse.GIVEN_UP]

    def _aside(self, call: Callable[[], Answer]) -> bool:
        """Whether it brought an answer in time; if not, the connection is of no use any more."""
        try:
            with gevent.Timeout(self.patience_s, False):
                call()
                return True
        except Lost as fault:
            self._lose(fault)
        return False

    def _unknown(self, answer: Answer) -> bool:
        """Whether the engine may know nothing of the query, rather than tell of its end."""
        return self.torn and answer[0] == 500

    def news(self) -> tuple[int, Answer]:
        """After a lost call an error may also mean that the engine knows nothing of the query: its start may
        still be on its way, or it ended unasked or with its process. That proves neither when nor whether."""
        pages, answer = self._ask(0, warehouse.news)
        if self._unknown(answer):
            raise Lost("unknown")
        self.start_answered = True
        return pages, answer

    def page(self, number: int) -> bytes | None:
        there, answer = self._ask(number, partial(warehouse.further, number))
        return answer[2] if there else None

    def _ask(self, number: int, check: Callable[..., int]) -> tuple[int, Answer]:
        for tries in range(TRIES):
            try:
                if self.line is None:
                    # Not all at once: an engine that has just been started anew resets many at a time.
                    gevent.sleep(PAUSE_S * 2**tries)
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
        self._settle_suspicion(warehouse.end(*answer))
        try:
            found = check(*answer)
        except Unreadable as fault:
            raise Lost(f"spoilt_{fault}") from fault
        if self.line.parts:
            self.drop(self.line.parts)
        return found, answer

    def _lose(self, fault: Lost) -> None:
        self.torn = True
        if isinstance(fault, SuspectedCopyError) and self.line is not None and not self.line.parts:
            self._settle_suspicion(None)
            self.suspected = (self.line, fault.end)
            self.line = None
        else:
            self.drop(f"lost_{fault}")

    def _settle_suspicion(self, end: GoodEnd | None) -> None:
        """Use a suspected connection again if the engine, asked on a new one, tells of the same end. Should
        a copy of that be on its way all the same, whoever uses it next suspects it in turn."""
        if self.suspected is None:
            return
        line, suspected_end = self.suspected
        self.suspected = None
        if end == suspected_end:
            self.pools.expect_equal_answers(line.place)
            self.pools.give_back(line)
        else:
            self.pools.drop(line, "lost_copy")

    def end(self) -> None:
        self._settle_suspicion(None)
        if self.line is not None:
            self.pools.give_back(self.line)
            self.line = None

    def drop(self, code: str) -> None:
        self._settle_suspicion(None)
        if self.line is not None:
            self.pools.drop(self.line, code)
            self.line = None

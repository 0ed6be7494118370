"""Carries dispatches to engines: from the first byte to the outcome."""

from collections.abc import Callable

import gevent

from pathturn.core import interface as names
from pathturn.memory.batches import Dispatch
from pathturn.memory.facade import Facade
from pathturn.memory.pools import Pools
from pathturn.wire import warehouse
from pathturn.wire.exchange import PAUSE_S, Exchange
from pathturn.wire.line import Lost, Unreachable, Unsent
from pathturn.wire.proof import SETTLED_US, EndProof, GiveUpReply

ASK_AGAIN_S = 0.1  # between give-ups that nobody answers: a key waits for one, but each costs a dial
CONFIRM_AGAIN_S = SETTLED_US / 1e6  # after one that was answered


class CalledBack(gevent.GreenletExit):
    """The module wants the dispatch no more."""


class TimeUp(BaseException):
    """The dispatch's time is up."""


class Engines:
    def __init__(
        self,
        facade: Facade,
        pools: Pools,
        clock: Callable[[], int],
        report_fields: list[str],
        copies_allowed: bool,
    ) -> None:
        self.facade, self.pools, self.clock = facade, pools, clock
        self.report_fields, self.copies_allowed = report_fields, copies_allowed

    def send(self, dispatch: Dispatch) -> None:
        gevent.spawn(self._carry, dispatch)

    def _carry(self, dispatch: Dispatch) -> None:
        exchange, runner = Exchange(dispatch, self.pools), gevent.getcurrent()
        if dispatch.called_back or dispatch.batch.over:  # its client may have left since it was decided
            self._done(exchange, names.UNSENT)
            return
        # Only from here on: a greenlet killed before its first step would never report an outcome.
        dispatch.stop = lambda: runner.kill(CalledBack, block=False)
        dispatch.rerank = lambda priority: gevent.spawn(self._rerank, dispatch, priority)
        try:
            with gevent.Timeout(self._left_s(dispatch), TimeUp):
                self._run(exchange)
        except Unreachable as fault:
            self._done(exchange, names.CONNECT_REFUSED if fault.refused else names.UNREACHABLE)
        except Unsent:
            exchange.drop("unsent")
            self._done(exchange, names.UNSENT)
        except Lost as fault:
            exchange.code = f"lost_{fault}"
            self._part(exchange, names.RESET)
        except Exception as fault:  # noqa: BLE001 - without an outcome its batch would never be answered
            exchange.code = f"fault_{type(fault).__name__}"
            self._part(exchange, names.ERRORED)
        except TimeUp:
            exchange.code = "time_up"
            self._part(exchange, names.TIMED_OUT)
        except CalledBack:
            exchange.code = "called_back"
            self._part(exchange, names.CANCELLED)

    def _part(self, exchange: Exchange, outcome: str) -> None:
        """Ends a dispatch whose query may still run. What waits for the proof is a greenlet of its own: one
        that is called back meanwhile would never report."""
        dispatch = exchange.dispatch
        dispatch.stop = dispatch.rerank = None
        if not exchange.begun:
            exchange.drop(exchange.code)
            self._done(exchange, names.UNSENT)
        elif not self.copies_allowed and (dispatch.batch.key is not None or outcome != names.TIMED_OUT):
            gevent.spawn(self._see_out, exchange, outcome)
        else:
            told = self.facade.unproven(dispatch) if dispatch.batch.key is not None else None
            self._done(exchange, outcome)
            gevent.spawn(self._prove, exchange, told)

    def _see_out(self, exchange: Exchange, outcome: str) -> None:
        """Against two dispatches of a batch at once: the outcome waits until the query is over. With a key
        it may outlast the batch, which the module ends in time; without, it would hold up its end."""
        left_s = None if exchange.dispatch.batch.key is not None else self._left_s(exchange.dispatch)
        with gevent.Timeout(left_s, False):
            self._prove(exchange, lambda: None)
        exchange.drop(exchange.code)
        self._done(exchange, outcome)

    def _prove(self, exchange: Exchange, told: Callable[[], None] | None) -> None:
        """Gives the query up; `told` is called once that is proven. Time alone proves nothing while the
        engine is out of reach: there a query was seen to go on beyond the protocol's 2 s."""
        if told is None:
            exchange.drop(exchange.code)
            self._give_up(exchange.dispatch)
            return
        exchange.settle()
        if not exchange.give_up():
            exchange.drop(exchange.code)
            self._prove_elsewhere(exchange)
        told()

    def _prove_elsewhere(self, exchange: Exchange) -> None:
        """Gives the query up on other connections than its own, until that is proven."""
        dispatch = exchange.dispatch
        began_us = self.clock()
        proof = EndProof(exchange.start_answered, exchange.start_latest_us)
        while True:
            # A second answer on a connection that has just brought one may be a copy of it.
            reply = self._give_up(dispatch, new=proof.heard is GiveUpReply.CONFIRMED)
            if proof.hear(reply, self.clock()):
                resolved_by = reply.value
                break
            if not self.facade.named(dispatch) and self.clock() >= exchange.forgotten_us:
                resolved_by = "unlisted"
                break
            gevent.sleep(CONFIRM_AGAIN_S if reply is GiveUpReply.CONFIRMED else ASK_AGAIN_S)
        self.facade.log_line(
            f"attempt {dispatch.batch.ticket} resolved by={resolved_by} "
            f"after_ms={(self.clock() - began_us) // 1000}"
        )

    def _left_s(self, dispatch: Dispatch) -> float:
        return max(0, dispatch.until_us - self.clock()) / 1e6

    def _run(self, exchange: Exchange) -> None:
        dispatch, batch = exchange.dispatch, exchange.dispatch.batch
        while not self.facade.follows(dispatch):
            gevent.sleep(PAUSE_S)
        exchange.line = self.pools.borrow(dispatch.place)
        if not self.facade.stands(dispatch):
            exchange.end()
            self._done(exchange, names.UNSENT)
            return
        exchange.begun = True
        pages, (status, fields, body) = exchange.start(
            warehouse.start(
                exchange.line.host,
                batch.ticket,
                batch.group,
                dispatch.until_us - self.clock(),
                batch.nonce,
                batch.grant_mb,
                batch.priority,
                batch.statement,
            )
        )
        while status == 202:
            if (told := warehouse.note(fields)) is not None:
                self.facade.note(dispatch, *told)
            pages, (status, fields, body) = exchange.news()
        ended, outcome, rows = self.clock(), warehouse.outcome(status, fields), None
        if outcome == names.RETURNED:
            rows = self._rows(exchange, pages, body)
            outcome = names.ERRORED if rows is None else outcome
        exchange.end()
        self._done(exchange, outcome, ended, fields, rows or b"")

    def _rows(self, exchange: Exchange, pages: int, first: bytes) -> bytes | None:
        """The whole result, or None where the engine has lost a part of it."""
        rows = [first]
        for number in range(1, pages):
            if (page := exchange.page(number)) is None:
                return None
            rows.append(page)
        whole = b"".join(rows)
        return whole if len(whole) <= warehouse.LARGEST_RESULT else None

    def _done(
        self,
        exchange: Exchange,
        outcome: str,
        ended: int = 0,
        fields: dict[str, str] | None = None,
        rows: bytes = b"",
    ) -> None:
        told = fields or {}
        exchange.dispatch.stop = exchange.dispatch.rerank = None
        self.facade.report(
            exchange.dispatch,
            outcome,
            ended or self.clock(),
            round(warehouse.number(told, "x-cost-ms") * 1000),
            warehouse.number(told, "x-needed-mb"),
            warehouse.meter(told, self.report_fields),
            rows,
        )

    def _give_up(self, dispatch: Dispatch, new: bool = False) -> GiveUpReply:
        return self._aside(dispatch, warehouse.give_up, new)

    def _rerank(self, dispatch: Dispatch, priority: int) -> None:
        self._aside(dispatch, lambda host, ticket: warehouse.rank(host, ticket, priority))

    def _aside(
        self, dispatch: Dispatch, request: Callable[[str, str], bytes], new: bool = False
    ) -> GiveUpReply:
        """A call beside the one that asks for news, on a new connection where that is wanted."""
        exchange = Exchange(dispatch, self.pools)
        try:
            with gevent.Timeout(self.pools.dial_s, TimeUp):
                exchange.line = self.pools.borrow(dispatch.place, new)
                status = exchange.line.tell(
                    request(exchange.line.host, dispatch.batch.ticket), exchange.patience_s
                )
            exchange.end()
        except Unreachable as fault:
            return GiveUpReply.REFUSED if fault.refused else GiveUpReply.SILENT
        except (Lost, TimeUp):
            return GiveUpReply.SILENT
        finally:
            exchange.drop(exchange.code)
        return GiveUpReply.CONFIRMED if status == warehouse.GIVEN_UP else GiveUpReply.SILENT

"""Runs dispatches at engines, from the connection to the outcome."""

from collections.abc import Callable

import gevent
from gevent.pool import Group

from pathturn.core import interface as names
from pathturn.memory.batches import Dispatch
from pathturn.memory.connection_pool import ConnectionPool
from pathturn.memory.facade import Facade
from pathturn.wire import engine_protocol
from pathturn.wire.engine_connection import (
    ConnectFailedError,
    ConnectionLostError,
    DispatchTimeoutError,
    RequestNotSentError,
)
from pathturn.wire.engine_protocol import Response
from pathturn.wire.exchange import Exchange
from pathturn.wire.termination import SETTLE_US, CancelReply, TerminationProof

# Interval at which a dispatch checks whether its predecessors in the order of its key are answered.
ORDER_POLL_S = 0.01
# Delay after a cancel request without a reply: batches of the key wait for one, but each opens a connection.
CANCEL_RETRY_S = 0.1
# Delay after a confirmed cancel request.
CONFIRMED_CANCEL_RETRY_S = SETTLE_US / 1e6


class DispatchCancelledError(gevent.GreenletExit):
    """The dispatcher has cancelled the dispatch."""


class DispatchExecutor:
    """Runs each dispatch in a greenlet of its own and reports its outcome to the facade."""

    def __init__(
        self,
        facade: Facade,
        connection_pool: ConnectionPool,
        clock: Callable[[], int],
        report_fields: list[str],
        allow_concurrent: bool,
    ) -> None:
        """`allow_concurrent` tells whether two dispatches of a batch may run at the same time."""
        self.facade = facade
        self.connection_pool = connection_pool
        self.clock = clock
        self.report_fields = report_fields
        self.allow_concurrent = allow_concurrent
        self.greenlets = Group()

    def send(self, dispatch: Dispatch) -> None:
        """Start a dispatch; returns at once."""
        self.greenlets.spawn(self._run_dispatch, dispatch)

    def stop(self) -> None:
        """End all dispatches and control requests, without outcomes."""
        self.greenlets.kill()

    def _run_dispatch(self, dispatch: Dispatch) -> None:
        repeatable = self.facade.groups[dispatch.batch.group].kind == names.REPEATABLE
        exchange = Exchange(dispatch, self.connection_pool, repeatable)
        greenlet = gevent.getcurrent()
        if (
            dispatch.cancelled or dispatch.batch.ended
        ):  # it was cancelled, or its batch ended, before it could start
            self._report(exchange, names.UNSENT)
            return
        # Set no earlier: a greenlet that is killed before it first runs would never report an outcome.
        dispatch.on_cancel = lambda: greenlet.kill(DispatchCancelledError, block=False)
        dispatch.on_priority_change = lambda priority: self.greenlets.spawn(
            self._change_priority, dispatch, priority
        )
        try:
            with gevent.Timeout(self._remaining_s(dispatch), DispatchTimeoutError):
                self._run_query(exchange)
        except ConnectFailedError as error:
            self._report(exchange, names.CONNECT_REFUSED if error.refused else names.UNREACHABLE)
        except RequestNotSentError:
            exchange.close_connection("not_sent")
            self._report(exchange, names.UNSENT)
        except ConnectionLostError as error:
            exchange.close_code = f"lost_{error}"
            self._finish_interrupted(exchange, names.RESET)
        except Exception as error:  # noqa: BLE001 - without an outcome its batch would never be answered
            exchange.close_code = f"fault_{type(error).__name__}"
            self._finish_interrupted(exchange, names.ERRORED)
        except DispatchTimeoutError:
            exchange.close_code = "timed_out"
            self._finish_interrupted(exchange, names.TIMED_OUT)
        except DispatchCancelledError:
            exchange.close_code = "cancelled"
            self._finish_interrupted(exchange, names.CANCELLED)

    def _finish_interrupted(self, exchange: Exchange, outcome: str) -> None:
        """Finish a dispatch whose query may still run. Its termination is awaited in a new greenlet: the
        present one could be killed meanwhile and would not report the outcome."""
        dispatch = exchange.dispatch
        dispatch.on_cancel = dispatch.on_priority_change = None
        if exchange.started:
            self.facade.run_history.keep_ticket(dispatch, exchange.query_expiry_us)
        if not exchange.started:
            exchange.close_connection(exchange.close_code)
            self._report(exchange, names.UNSENT)
        elif not self.allow_concurrent and (dispatch.batch.key is not None or outcome != names.TIMED_OUT):
            self.greenlets.spawn(self._report_after_termination, exchange, outcome)
        else:
            on_resolved = self.facade.mark_unresolved(dispatch) if dispatch.batch.key is not None else None
            self._report(exchange, outcome)
            self.greenlets.spawn(self._terminate, exchange, on_resolved)

    def _report_after_termination(self, exchange: Exchange, outcome: str) -> None:
        """Report the outcome once the query has ended, so that no two dispatches of a batch run at the same
        time. With a key this may outlast the batch, which the dispatcher ends in time; without one, it
        is bounded by the time limit, as the end of the batch waits for it."""
        timeout_s = None if exchange.dispatch.batch.key is not None else self._remaining_s(exchange.dispatch)
        with gevent.Timeout(timeout_s, False):
            self._terminate(exchange, lambda: None)
        exchange.close_connection(exchange.close_code)
        self._report(exchange, outcome)

    def _terminate(self, exchange: Exchange, on_resolved: Callable[[], None] | None) -> None:
        """Cancel the query; call `on_resolved` once it is confirmed to have ended, however long that takes:
        on an engine that cannot be reached a query has been seen to run beyond the protocol's 2 s."""
        if on_resolved is None:
            exchange.close_connection(exchange.close_code)
            self._cancel(exchange.dispatch)
            return
        exchange.await_pending_response()
        if not exchange.cancel():
            exchange.close_connection(exchange.close_code)
            self._confirm_termination(exchange)
        on_resolved()

    def _confirm_termination(self, exchange: Exchange) -> None:
        """Send cancel requests on other connections than the exchange's own until the query is confirmed to
        have ended."""
        dispatch = exchange.dispatch
        began_us = self.clock()
        proof = TerminationProof(exchange.start_acknowledged, exchange.start_arrival_limit_us)
        while True:
            # A second confirmation on the same connection may be a duplicate of the first.
            reply = self._cancel(dispatch, new_connection=proof.last_reply is CancelReply.CONFIRMED)
            if proof.record(reply, self.clock()):
                resolved_by = reply.value
                break
            if not self.facade.is_listed(dispatch) and self.clock() >= exchange.query_expiry_us:
                resolved_by = "engine_removed"
                break
            gevent.sleep(CONFIRMED_CANCEL_RETRY_S if reply is CancelReply.CONFIRMED else CANCEL_RETRY_S)
        self.facade.log_line(
            f"execution {dispatch.batch.ticket} resolved by={resolved_by} "
            f"after_ms={(self.clock() - began_us) // 1000}"
        )

    def _remaining_s(self, dispatch: Dispatch) -> float:
        return max(0, dispatch.deadline_us - self.clock()) / 1e6

    def _run_query(self, exchange: Exchange) -> None:
        """Start the query, poll it until it ends, fetch its result, and report the outcome."""
        dispatch = exchange.dispatch
        batch = exchange.dispatch.batch
        while not self.facade.predecessors_answered(dispatch):
            gevent.sleep(ORDER_POLL_S)
        exchange.connection = self.connection_pool.acquire(dispatch.endpoint)
        if not self.facade.may_start(dispatch):
            exchange.release_connection()
            self._report(exchange, names.UNSENT)
            return
        exchange.started = True
        pages, (status, fields, body) = exchange.start(
            engine_protocol.start_request(
                exchange.connection.host,
                batch.ticket,
                batch.group,
                dispatch.deadline_us - self.clock(),
                batch.nonce,
                batch.grant_mb,
                batch.priority,
                batch.statement,
            )
        )
        while status == 202:
            if (notice := engine_protocol.notice(fields)) is not None:
                self.facade.report_notice(dispatch, *notice)
            pages, (status, fields, body) = exchange.poll()
        ended_us = self.clock()
        if pages > 1 and not self.facade.memory.try_acquire_large_result(batch):
            pages, (status, fields, body) = self._wait_for_result_memory(exchange)
        outcome = engine_protocol.outcome(status, fields)
        rows = None
        if outcome == names.RETURNED:
            rows = self._fetch_rows(exchange, pages, body)
            outcome = names.ERRORED if rows is None else outcome
        exchange.release_connection()
        self._report(exchange, outcome, ended_us, fields, rows or b"")

    def _wait_for_result_memory(self, exchange: Exchange) -> tuple[int, Response]:
        """Wait until there is memory for the result of a query that has ended; return its first page again.
        Meanwhile the engine keeps the result, and the connection is free for others."""
        exchange.release_connection()
        self.facade.wait_for_result_memory(exchange.dispatch)
        return exchange.poll()

    def _fetch_rows(self, exchange: Exchange, pages: int, first_page: bytes) -> bytes | None:
        """Return the complete result, or None if the engine has lost a page or the result is too large."""
        rows = exchange.fetch_rows(pages, first_page)
        return rows if rows is not None and len(rows) <= engine_protocol.MAX_RESULT_BYTES else None

    def _report(
        self,
        exchange: Exchange,
        outcome: str,
        ended_us: int = 0,
        fields: dict[str, str] | None = None,
        rows: bytes = b"",
    ) -> None:
        reported = fields or {}
        exchange.dispatch.on_cancel = exchange.dispatch.on_priority_change = None
        self.facade.report_outcome(
            exchange.dispatch,
            outcome,
            ended_us or self.clock(),
            round(engine_protocol.numeric_field(reported, "x-cost-ms") * 1000),
            engine_protocol.numeric_field(reported, "x-needed-mb"),
            engine_protocol.load_report(reported, self.report_fields),
            rows,
        )

    def _cancel(self, dispatch: Dispatch, new_connection: bool = False) -> CancelReply:
        """Send a cancel request. If the engine's process has ended, wait until the list tells what is at its
        address, unless the next attempt of the batch waits for this one's end."""
        processes = self.connection_pool.engine_processes
        if self.allow_concurrent or dispatch.batch.key is not None:
            gevent.sleep(processes.list_update_us(dispatch.endpoint) / 1e6)
        return self._call_control(dispatch, engine_protocol.cancel_request, new_connection)

    def _change_priority(self, dispatch: Dispatch, priority: int) -> None:
        self._call_control(
            dispatch, lambda host, ticket: engine_protocol.priority_request(host, ticket, priority)
        )

    def _call_control(
        self, dispatch: Dispatch, request: Callable[[str, str], bytes], new_connection: bool = False
    ) -> CancelReply:
        """Send a control request on another connection than the one that polls the query, and if wanted on a
        newly opened one."""
        exchange = Exchange(dispatch, self.connection_pool)
        try:
            with gevent.Timeout(self.connection_pool.connect_timeout_s, DispatchTimeoutError):
                exchange.connection = self.connection_pool.acquire(dispatch.endpoint, new_connection)
                status = exchange.connection.call_control(
                    request(exchange.connection.host, dispatch.batch.ticket), exchange.response_timeout_s
                )
            exchange.release_connection()
        except ConnectFailedError as error:
            return CancelReply.REFUSED if error.refused else CancelReply.NO_REPLY
        except (ConnectionLostError, DispatchTimeoutError):
            return CancelReply.NO_REPLY
        finally:
            exchange.close_connection(exchange.close_code)
        return CancelReply.CONFIRMED if status == engine_protocol.CONTROL_ACCEPTED else CancelReply.NO_REPLY

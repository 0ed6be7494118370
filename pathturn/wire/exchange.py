"""The requests of one dispatch to its engine: start, polls and pages, over successive connections."""

from collections.abc import Callable
from functools import cached_property, partial
from hashlib import blake2b

import gevent

from pathturn.memory.batches import Dispatch
from pathturn.memory.connection_pool import ConnectionPool
from pathturn.wire import engine_protocol
from pathturn.wire.engine_connection import (
    ConnectFailedError,
    ConnectionLostError,
    CorruptedResponseError,
    DispatchTimeoutError,
    EngineConnection,
    RequestNotSentError,
    SuspectedDuplicateError,
)
from pathturn.wire.engine_protocol import Response, ResultFingerprint
from pathturn.wire.http import MalformedResponseError
from pathturn.wire.result_completeness import ResultCompleteness, ResultPages
from pathturn.wire.result_verification import ResultVerification, StatementKey

# A repeated request recovers a corrupted response; after so many failures in a row the result is lost.
MAX_TRIES = 6
RETRY_BACKOFF_S = 0.01
STATEMENT_DIGEST_BYTES = 16
# Reasons of a lost connection that an engine whose process has exited leaves behind.
RESETS = frozenset({"peer_closed", "ConnectionResetError", "BrokenPipeError"})


class EngineEndedError(ConnectionLostError):
    """The engine that had the query has gone; another one may be at its address."""


class Exchange:
    """A dispatch and the connection that it currently uses.

    A query is not bound to a connection and keeps its result: if a response is lost, late or corrupted, it
    is requested again on a new connection, and the query is not run again.
    """

    def __init__(self, dispatch: Dispatch, connection_pool: ConnectionPool, repeatable: bool = False) -> None:
        """`repeatable` tells whether the batch changes nothing, so that its statement has a result that may
        become known."""
        self.dispatch = dispatch
        self.repeatable = repeatable
        self.connection_pool = connection_pool
        self.started = False
        self.response_lost = False
        self.connection: EngineConnection | None = None
        # A connection that received a result which may be a duplicate; kept until the engine's next response.
        self.suspected: tuple[EngineConnection, ResultFingerprint] | None = None
        self.completeness = ResultCompleteness()
        # The last page received, and the connection that carried it.
        self.last_page: tuple[int, EngineConnection | None] = (0, None)
        self.result_pages: ResultPages | None = None
        self.close_code = "no_response"  # logged when the connection is closed
        self.query_expiry_us = 0  # by then the engine has ended the query, unless it is polled again
        # Whether the engine has answered the start or a request about it.
        self.start_acknowledged = False
        self.start_arrival_limit_us = 0  # until then the start may reach the engine
        self.started_at_us = 0
        self.response_timeout_s = connection_pool.connect_timeout_s + engine_protocol.POLL_RESPONSE_US / 1e6

    def start(self, request: bytes) -> tuple[int, Response]:
        """Send the start; return the number of pages of the result, 0 without a result, and the
        response."""
        self.started_at_us = self.connection_pool.clock()
        self.start_arrival_limit_us = (
            self.started_at_us + engine_protocol.POLL_RESPONSE_US + engine_protocol.UNPOLLED_LIFETIME_US
        )
        try:
            result = self._call_once(request, engine_protocol.page_count)
            self.start_acknowledged = True
            return result
        except RequestNotSentError:
            raise  # the engine cannot have received the start, so there is nothing to poll
        except ConnectionLostError as error:
            if str(error) in RESETS:
                self.start_arrival_limit_us = 0  # after a reset nothing more arrives
            self._release_lost_connection(error)
        return self.poll()

    def await_pending_response(self) -> None:
        """Wait for the response to a request in transit: a cancel request on another connection could
        overtake the start that it is to cancel. Without a response in time the connection is reset, and
        nothing more arrives over it."""
        if self.connection is None or not self.connection.response_pending:
            return
        responses: list[Response] = []
        self._call_in_time(lambda: responses.append(self.connection.read_response(self._is_known_result)))
        if responses:
            self._record_result(responses[0])
        if responses and not self._may_be_unknown(responses[0]):
            self.start_acknowledged = True

    def cancel(self) -> bool:
        """Cancel the query on the exchange's own connection if that is idle, as the engine may accept no new
        one; return whether the engine has confirmed it."""
        if self.connection is None or self.connection.response_pending or not self.start_acknowledged:
            return False
        request = engine_protocol.cancel_request(self.connection.host, self.dispatch.batch.ticket)
        statuses = []
        answered = self._call_in_time(
            lambda: statuses.append(self.connection.call_control(request, self.response_timeout_s))
        )
        if answered:
            self.release_connection()
        return statuses == [engine_protocol.CONTROL_ACCEPTED]

    def _call_in_time(self, call: Callable[[], object]) -> bool:
        """Return whether the call completed in time; if not, the connection is not usable any more."""
        try:
            with gevent.Timeout(self.response_timeout_s, DispatchTimeoutError):
                call()
                return True
        except DispatchTimeoutError:
            return False
        except ConnectionLostError as error:
            self._release_lost_connection(error)
        return False

    def _may_be_unknown(self, response: Response) -> bool:
        """Return whether the response may mean that the engine does not know the query, instead of that the
        query has ended."""
        return self.response_lost and response[0] == 500

    def poll(self) -> tuple[int, Response]:
        """Poll the query; return the number of pages of its result, 0 without a result, and the response.

        After a lost response an error may also mean that the engine does not know the query: the start may
        still be in transit, or the query was not polled for too long, or the engine was restarted. It does
        not tell when the query ended, or whether it did.
        """
        pages, response = self._request_page(0, engine_protocol.page_count)
        if self._may_be_unknown(response):
            raise ConnectionLostError("query_unknown")
        self.start_acknowledged = True
        return pages, response

    def fetch_rows(self, pages: int, first_page: bytes) -> bytes | None:
        """Return the rows of a result of so many pages, None if the engine has lost one of them."""
        self._note_page(0)
        self.result_pages = ResultPages(pages, first_page)
        while (number := self.result_pages.next_missing()) is not None:
            page = self._page(number)
            if page is None:
                return None
            self.result_pages.add(number, page)
        return self.result_pages.rows()

    def _page(self, number: int) -> bytes | None:
        check = partial(engine_protocol.is_page, number) if number else engine_protocol.page_count
        found, response = self._request_page(number, check)
        self._note_page(number)
        return response[2] if found else None

    def _note_page(self, number: int) -> None:
        self.last_page = (number, self.connection)

    def _doubt_last_page(self, error: ConnectionLostError) -> None:
        """Have the last page requested again if its connection brought no valid response behind it: with a
        length that is too small, the other rows of the page may have come in place of one."""
        if not isinstance(error, CorruptedResponseError) or self.result_pages is None:
            return
        number, connection = self.last_page
        if connection is not None and connection is self.connection:
            self.result_pages.doubt(number)

    def _request_page(self, number: int, check: Callable[..., int]) -> tuple[int, Response]:
        """Request a page, and again on a new connection if its response is lost or invalid."""
        for tries in range(MAX_TRIES):
            self._check_time_limit()
            try:
                if self.connection is None:
                    self._check_engine()
                    # Backoff: an engine that was just restarted resets many connections at once.
                    gevent.sleep(RETRY_BACKOFF_S * 2**tries)
                    self.connection = self.connection_pool.acquire(self.dispatch.endpoint, new=True)
                return self._call_once(
                    engine_protocol.page_request(self.connection.host, self.dispatch.batch.ticket, number),
                    check,
                )
            except ConnectFailedError as error:
                raise ConnectionLostError("connect_failed") from error
            except EngineEndedError:
                raise
            except ConnectionLostError as error:
                self._doubt_last_page(error)
                self._release_lost_connection(error)
        raise ConnectionLostError("retries_exhausted")

    def _check_engine(self) -> None:
        """Raise EngineEndedError if the engine that has the query is not at its address any more.

        If all connections to it were lost at once, a repeatable batch goes elsewhere. Any other waits until
        the list tells what is at the address: it may be the network that reset them, and the query goes on.
        """
        endpoint = self.dispatch.endpoint
        processes = self.connection_pool.engine_processes
        has_ended = processes.has_ended_since(endpoint, self.started_at_us)
        if has_ended and not self.repeatable:
            gevent.sleep(processes.list_update_us(endpoint) / 1e6)
        is_gone = self.repeatable or not processes.registry.is_listed(endpoint)
        if processes.registry.is_replaced(endpoint) or (has_ended and is_gone):
            raise EngineEndedError("engine_ended")

    def _check_time_limit(self) -> None:
        """Raise DispatchTimeoutError if the time limit has passed; its timer does not fire again after a
        response that was read over a stall."""
        if self.connection_pool.clock() >= self.dispatch.deadline_us:
            raise DispatchTimeoutError

    def _call_once(self, request: bytes, check: Callable[..., int]) -> tuple[int, Response]:
        """Send a request; return the result of the check and the response. A connection that received more
        data than the response is not reused."""
        self.query_expiry_us = (
            self.connection_pool.clock()
            + engine_protocol.POLL_RESPONSE_US
            + engine_protocol.UNPOLLED_LIFETIME_US
        )
        response = self.connection.call(request, self.response_timeout_s, self._is_known_result)
        self._resolve_suspected(response)
        self._record_result(response)
        try:
            result = check(*response)
        except MalformedResponseError as error:
            raise ConnectionLostError(f"malformed_{error}") from error
        if not self.completeness.is_confirmed(response, self.connection.surplus):
            raise ConnectionLostError("result_unconfirmed")
        if self.connection.retire_reason:
            self.close_connection(self.connection.retire_reason)
        return result, response

    def _release_lost_connection(self, error: ConnectionLostError) -> None:
        """Close the connection after a lost response, or set it aside if the result may be a duplicate."""
        self.response_lost = True
        if str(error) in RESETS and self.connection is not None:
            self.connection_pool.engine_processes.connection_lost(self.connection)
        if (
            isinstance(error, SuspectedDuplicateError)
            and self.connection is not None
            and not self.connection.retire_reason
        ):
            self._resolve_suspected(None)
            self.suspected = (self.connection, error.fingerprint)
            self.connection = None
        else:
            self.close_connection(f"lost_{error}")

    def _resolve_suspected(self, response: Response | None) -> None:
        """Reuse a suspected connection if the engine gives the same result on a new one; None if it was not
        asked. A duplicate that is in transit nonetheless is suspected in turn by the connection's next
        user."""
        if self.suspected is None:
            return
        connection, suspected_fingerprint = self.suspected
        self.suspected = None
        fingerprint = engine_protocol.result_fingerprint(*response) if response is not None else None
        if fingerprint == suspected_fingerprint:
            self.connection_pool.expect_identical_responses(connection.endpoint)
            if self.repeatable:
                key = self._statement_key(fingerprint)
                self.result_verification.record_verified(key, fingerprint)
            self.connection_pool.release(connection)
            return
        if fingerprint is not None or engine_protocol.is_running(response):
            self.result_verification.record_duplicate(connection.endpoint)
        self.connection_pool.discard(connection, "lost_duplicate")

    @property
    def result_verification(self) -> ResultVerification:
        return self.connection_pool.result_verification

    @cached_property
    def _statement_digest(self) -> bytes:
        return blake2b(self.dispatch.batch.statement, digest_size=STATEMENT_DIGEST_BYTES).digest()

    def _statement_key(self, fingerprint: ResultFingerprint) -> StatementKey:
        """Return the key of the page that has this fingerprint."""
        group = self.dispatch.batch.group
        return StatementKey(self.dispatch.endpoint, group, self._statement_digest, fingerprint.page)

    def _is_known_result(self, fingerprint: ResultFingerprint) -> bool:
        """Return whether a result that equals a recent one on the connection needs no verification."""
        if not self.repeatable or not self.result_verification.engines_trusted():
            return False
        return self.result_verification.is_known(self._statement_key(fingerprint), fingerprint)

    def _record_result(self, response: Response) -> None:
        """Record the result of the statement, if there are statements whose results are known."""
        if not self.repeatable or not self.result_verification.needs_statements():
            return
        fingerprint = engine_protocol.result_fingerprint(*response)
        if fingerprint is not None:
            self.result_verification.record_result(self._statement_key(fingerprint), fingerprint)

    def release_connection(self) -> None:
        """Return the connection to the pool."""
        self._resolve_suspected(None)
        if self.connection is not None:
            self.connection_pool.release(self.connection)
            self.connection = None

    def close_connection(self, code: str) -> None:
        """Close the connection with a reason code for the log."""
        self._resolve_suspected(None)
        if self.connection is not None:
            self.connection_pool.discard(self.connection, code)
            self.connection = None

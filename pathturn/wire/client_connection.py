"""Client connections: one greenlet reads each connection, and each answer is written by a greenlet of its
own."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import gevent
from gevent import socket
from gevent.lock import Semaphore

from pathturn.core import interface as names
from pathturn.memory.batches import Batch, Dispatch, End
from pathturn.memory.buffers import BUFFER_BYTES, BufferPool
from pathturn.memory.facade import Facade
from pathturn.memory.memory_budget import MAX_LARGE_RESULTS_PER_CONNECTION
from pathturn.wire import jsonrpc
from pathturn.wire.answer_writer import AnswerWriter
from pathturn.wire.engine_connection import nothing_to_read, peer_closed
from pathturn.wire.processing_turns import ProcessingTurns, TurnAccount
from pathturn.wire.rate_limit import InputRateLimit
from pathturn.wire.reader import SocketReader
from pathturn.wire.statement import data_set

# The protocol's limit for one connection.
MAX_OPEN_BATCHES = 32
# By the protocol, clients close a connection themselves after 4 s without traffic.
IDLE_TIMEOUT_S = 5.0
# By the protocol a client writes the batches of one ordering key 60 ms apart, and the patience of a batch
# counts from before its turn in that sequence. When a connection ends, or batches are pushed back together,
# the batches of an ordering key are sent again as such a sequence. The decision module keeps its length
# (`key_queue_drain_us`) within a fraction of the time limit, and for the last batch of it that much time has
# passed already. It is subtracted, as the answer would otherwise come when the client has gone. A batch with
# less patience than that length may have any time left: an answer up to 0.5 s late earns nothing but is not
# lost, and half of that is kept for the answer to arrive.
MIN_TIME_LEFT_US = 250_000
# A client that sends no complete line has to be disconnected within 3 s of connecting.
LINE_TIMEOUT_S = 2.0
# How often a connection that is not being read is polled for the client's close: the batches of a client that
# has disconnected need no answer, and by the protocol the gateway has to know that within 0.1 s.
CLOSE_POLL_US = 25_000
# Event loop iterations a reader needs: one to wake, one to read, and one for what arrived meanwhile.
READER_ITERATIONS = 3
# Ten times as long as, by the protocol, a batch may cross the gateway's half-close. A client that has not
# closed its side by then is not going to.
HALF_CLOSE_TIMEOUT_US = 500_000


class ClientConnection:
    """A client's connection: reads its requests, starts its batches and writes their answers."""

    def __init__(
        self,
        sock: socket.socket,
        facade: Facade,
        send: Callable[[Dispatch], None],
        buffers: BufferPool,
        is_ready: Callable[[], bool],
        max_line_bytes: int,
        turns: ProcessingTurns | None = None,
    ) -> None:
        self.socket = sock
        self.facade = facade
        self.send = send
        self.buffers = buffers
        self.is_ready = is_ready
        self.reader = SocketReader(sock, facade.clock)
        # Identifies this connection among those that bring requests of one ordering key.
        self.order_identity = object()
        # No byte of the input being processed was written before this time.
        self.written_from_us = 0
        self.writer = AnswerWriter(sock, self.close)
        self.large_results = Semaphore(MAX_LARGE_RESULTS_PER_CONNECTION)
        self.open_batches: dict[int, Batch] = {}
        self.batches_received = 0
        self.lines = jsonrpc.LineSplitter(max_line_bytes)
        self.turns = turns or ProcessingTurns(facade.clock)
        self.turn_account = TurnAccount()
        # The reason code for the end of the connection, as it is logged.
        self.code = ""
        self.last_request_id = 0
        self.rejections = 0
        self.last_active_us = facade.clock()
        self.partial_line_since_us = 0
        self.line_received = False
        self.rate_limit = InputRateLimit()

    # When the gateway closed its side; 0 while it is open.
    half_closed_us = 0
    # Whether further input is discarded.
    discarding_input = False
    # Whether a timeout was deferred once because unread input lay in the socket.
    timeout_deferred = False

    def serve(self) -> str:
        """Read until the connection ends; return the reason code."""
        try:
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                return self._read_until_closed()
            except jsonrpc.StreamError as error:
                self.reject(None, jsonrpc.PARSE_ERROR)
                return self._close_gracefully(str(error))
            except OSError:
                raise
            except Exception as error:  # noqa: BLE001 - whatever a client sent must end its own connection alone
                return self._close_gracefully(f"fault_{type(error).__name__}")
        except OSError as error:
            return self.code or f"lost_{type(error).__name__}"
        finally:
            self._withdraw_all()
            self._close_socket()

    def close(self, code: str) -> None:
        """Close the connection; its reader wakes up and returns `code`. This is only for connections without
        an answer in transit: if input is unread, the operating system resets the connection, and such an
        answer is lost."""
        self.code = self.code or code
        self._close_socket()

    def _close_socket(self) -> None:
        self.reader.cancel()
        self.socket.close()

    def half_close(self, code: str) -> None:
        """Half-close the connection: close the sending direction and discard input up to the client's close.
        A full close with unread input makes the operating system reset the connection, and the client would
        lose the answers that it has not read yet."""
        self.code = self.code or code
        self.discarding_input = True
        self.half_closed_us = self.half_closed_us or self.facade.clock()
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)

    def _close_gracefully(self, code: str) -> str:
        """Discard further input, answer the open batches, then half-close. The client may close earlier, so
        the connection is watched for that all the time. Return the reason code."""
        self.code = self.code or code
        self.discarding_input = True
        gevent.spawn(self._half_close_when_answered)
        return self._read_until_closed()

    def _half_close_when_answered(self) -> None:
        while self.has_pending_answers:
            self.writer.greenlets.join()
            gevent.sleep(CLOSE_POLL_US / 1e6)
        if not self.socket.closed:
            self.half_close(self.code)

    @property
    def has_pending_answers(self) -> bool:
        """Whether a batch is open or an answer is being written."""
        return bool(self.open_batches or self.writer.greenlets)

    def safe_to_close(self) -> bool:
        """Whether the connection can be closed without loss: no answer is pending or being written, and a
        client that has sent a complete line before has no request in transit (a partial line, or unread
        input)."""
        return not self.has_pending_answers and not (
            self.line_received and (self.lines.has_input or not nothing_to_read(self.socket))
        )

    def timeout_reason(self, now: int) -> str | None:
        """Return the reason code if the connection has exceeded one of its timeouts, else None."""
        if self.half_closed_us:
            return "half_close_timeout" if now - self.half_closed_us > HALF_CLOSE_TIMEOUT_US else None
        if self.has_pending_answers:
            return None
        idle_s = (now - self.last_active_us) / 1e6
        no_request = not self.line_received and idle_s > LINE_TIMEOUT_S
        partial_line = bool(self.lines.partial) and (now - self.partial_line_since_us) / 1e6 > LINE_TIMEOUT_S
        if no_request or partial_line:
            # After a stall of this process, input that arrived in time may be unread: it is read before the
            # next check.
            if not self.timeout_deferred and not nothing_to_read(self.socket):
                self.timeout_deferred = True
                return None
            return "no_request" if no_request else "partial_line"
        self.timeout_deferred = False
        return (
            "idle"
            if not self.lines.has_input and idle_s > IDLE_TIMEOUT_S and nothing_to_read(self.socket)
            else None
        )

    def read_pending_input(self) -> None:
        """Let the reader process the input that lies in the socket. This is called before a dispatch of one
        of the client's batches begins, as a close or an abort may have arrived before: after a stall of this
        process the event loop may look at a new connection to an engine first. The reader may take longer for
        all of it, so the client's close is looked for behind what is unread."""
        for _ in range(READER_ITERATIONS):
            if nothing_to_read(self.socket):
                return
            gevent.sleep(0)
        if peer_closed(self.socket):
            self._withdraw_all()

    def _withdraw_all(self) -> None:
        """Withdraw all open batches: the client does not wait for them any more."""
        for batch in list(self.open_batches.values()):
            self.facade.withdraw(batch)

    def _read_until_closed(self) -> str:
        """Process input until the client closes the connection; return the reason code."""
        while True:
            if not self.lines.read_ahead:
                # Without a buffer, as most connections wait at any time.
                self.reader.wait_for_input()
            with self.turns.turn(self.turn_account):
                if not self._process_next_piece():
                    return self.code or "client_closed"
            # Also when the rate limit asks for no pause: a socket that always has input would starve the
            # others.
            gevent.sleep(0)
            if not self._pause():
                return self.code or "client_closed"

    def _process_next_piece(self) -> bool:
        """Process input read ahead, or what is in the socket; return False if the client has closed."""
        if self.lines.read_ahead and not self.reader.cancelled:
            piece = self.lines.read_ahead.pop()
            self.written_from_us = piece.written_from_us
            self._process(memoryview(piece.data))
            return True
        with self.buffers.borrowed() as buffer:
            size = self.reader.receive_into(buffer)
            self.written_from_us = self.reader.written_from_us
            self._process(buffer[:size])
        return size > 0

    def _process(self, piece: memoryview) -> None:
        """Handle the lines that a piece of input completes, and charge them to the rate limit."""
        if self.discarding_input:
            return  # by the protocol a client resends elsewhere what crosses the gateway's half-close
        rejections_before = self.rejections
        had_partial_line = bool(self.lines.partial)
        line_count = bytes(piece).count(b"\n")  # with empty lines, as they take time too
        for line in self.lines.feed(piece):
            self.line_received = True
            had_partial_line = False
            self.last_active_us = self.facade.clock()
            jsonrpc.handle_line(line, self)
        if self.lines.partial and not had_partial_line:
            self.partial_line_since_us = self.facade.clock()
        self.rate_limit.charge(line_count, self.rejections - rejections_before, self.facade.clock())

    def _pause(self) -> bool:
        """Wait until the connection is within its rate limit again. Return whether to go on reading: False if
        the client has closed. Meanwhile input is read ahead as far as there is room, as the client's close
        takes effect at once and what is urgent after a short pause. Once input is discarded, before the
        half-close, only the client's close matters."""
        if self.discarding_input:
            if not self.half_closed_us:
                gevent.sleep(CLOSE_POLL_US / 1e6)
            return self.half_closed_us > 0 or not peer_closed(self.socket)
        until_us = self.rate_limit.pause_end_us(self.facade.clock())
        urgent_until_us = self.rate_limit.urgent_pause_end_us(self.facade.clock())
        while not self.discarding_input:
            deadline_us = urgent_until_us if self._has_urgent_input() else until_us
            left_us = deadline_us - self.facade.clock()
            if left_us <= 0:
                break
            if not (room := min(BUFFER_BYTES, self.lines.read_ahead_room)):
                if peer_closed(self.socket):
                    return False
                gevent.sleep(min(left_us, CLOSE_POLL_US) / 1e6)
                continue
            with gevent.Timeout(left_us / 1e6, False):
                self.reader.wait_for_input()
                with self.buffers.borrowed() as buffer:
                    if not (size := self.reader.receive_into(buffer[:room])):
                        return False
                    self.lines.read_ahead.append(buffer[:size], self.reader.written_from_us)
                gevent.sleep(0)
        return True

    def _has_urgent_input(self) -> bool:
        """Return whether the input that is not processed holds an abort or, unless the connection is far over
        its rate limit, a request with an ordering key."""
        if self.lines.may_hold(jsonrpc.ABORT_METHOD):
            return True
        is_key_urgent = self.rate_limit.allows_urgent_key(self.facade.clock())
        return is_key_urgent and self.lines.may_hold(jsonrpc.KEY_FIELD)

    # Callbacks of jsonrpc.handle_line, one for each kind of request.
    def service_group(self, method: str) -> names.ServiceGroup | None:
        return self.facade.group(method)

    def accept_request_id(self, request_id: int) -> bool:
        """Return whether a request with this id may go on; otherwise it has been answered. Ids count from 1
        and are used once; a client may skip the ids of requests that it decided not to send. Two open
        requests with one id can't be told apart by their answers: both are ended, with one error."""
        if (clash := self.open_batches.get(request_id)) is not None:
            self.open_batches.pop(request_id)
            self.facade.withdraw(clash)
            self.reject(request_id, jsonrpc.INVALID_REQUEST)
            return False
        if not self.last_request_id < request_id <= self.last_request_id + MAX_OPEN_BATCHES:
            # Under an id used before, the error could be taken for the answer to that request.
            self.reject(request_id if request_id > self.last_request_id else None, jsonrpc.INVALID_REQUEST)
            return False
        self.last_request_id = request_id
        return True

    def ping(self, request_id: Any) -> None:
        self.writer.queue(jsonrpc.healthy(request_id, self.is_ready()))

    def reject(self, request_id: Any, error_code: int) -> None:
        """Answer a request with an error and count it for the rate limit."""
        self.rejections += 1
        self.writer.queue(jsonrpc.errored(request_id, error_code))

    def _push_back(self, request_id: int) -> None:
        """Refuse a request for which there is no memory, and count it for the rate limit."""
        self.rejections += 1
        self.writer.queue(jsonrpc.pushed_back(request_id, self.facade.retry_after_us()))

    def abort(self, request_id: Any) -> None:
        """Withdraw a batch. Its place among the open ones is free at once: by the protocol the client may use
        it for a request in the same write."""
        if type(request_id) is not int:
            return
        batch = self.open_batches.pop(request_id, None)
        if batch is not None:
            self.facade.withdraw(batch)

    def open_batch(
        self,
        request_id: int,
        group: str,
        ticket: str,
        left_us: int,
        nonce: str | None,
        key: str | None,
        customer: str | None,
        work_us: int,
        memory_mb: float,
        repeat: bool,
        statement: bytes,
    ) -> None:
        """Pass a batch on to the decision module."""
        if len(self.open_batches) >= MAX_OPEN_BATCHES:
            self.reject(request_id, jsonrpc.TOO_MANY_OPEN)
            return
        if not self.facade.run_history.may_run(ticket, group, nonce):
            self.reject(request_id, jsonrpc.INVALID_REQUEST)
            return
        if not self.facade.memory.has_room(statement, len(self.open_batches)):
            self._push_back(request_id)
            return
        if key is not None and self.facade.group(group).ordered_by_key:
            left_us = min(left_us, max(MIN_TIME_LEFT_US, left_us - self.facade.key_queue_drain_us(group)))
        batch = self.facade.submit(
            self,
            ticket,
            group,
            left_us,
            nonce,
            key,
            customer,
            work_us,
            memory_mb,
            data_set(statement.decode()),
            repeat,
            statement,
            self.written_from_us,
        )
        batch.request_id = request_id
        self.open_batches[request_id] = batch
        self.batches_received += 1

    # Callbacks of the facade.
    def start_dispatch(self, dispatch: Dispatch) -> None:
        """Send a dispatch of one of this connection's batches."""
        self.send(dispatch)

    def batch_ended(self, batch: Batch, end: End) -> None:
        """Write the answer to a batch, unless the client no longer waits for it."""
        if self.open_batches.get(batch.request_id) is batch:
            del self.open_batches[batch.request_id]
        self.last_active_us = self.facade.clock()
        if end.outcome is None:
            return
        self.facade.begin_answer(batch)
        if end.outcome == names.RETURNED or batch.key is not None:
            self.writer.greenlets.spawn(self._answer, batch, end)
        else:  # short answers are written together, as hundreds of batches may end at once
            self.writer.queue(self._encode_short_answer(batch, end))
            self.facade.finish_answer(batch)

    def _answer(self, batch: Batch, end: End) -> None:
        try:
            # Encoded only when it can be written: a client that does not read may have many results waiting.
            with self.writer.lock:
                self.writer.write(
                    jsonrpc.returned(batch.request_id, end.rows)
                    if end.outcome == names.RETURNED
                    else self._encode_short_answer(batch, end)
                )
        finally:
            self.facade.finish_answer(batch)

    @staticmethod
    def _encode_short_answer(batch: Batch, end: End) -> bytes:
        if end.outcome == names.ERRORED:
            return jsonrpc.errored(batch.request_id)
        return jsonrpc.pushed_back(batch.request_id, end.retry_us)

"""Clients' connections: a greenlet reads each, and each batch has a greenlet of its own."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import gevent
from gevent import socket
from gevent.lock import RLock
from gevent.pool import Group

from pathturn.core import interface as names
from pathturn.memory.batches import Batch, Dispatch, End
from pathturn.memory.buffers import SIZE, Buffers
from pathturn.memory.facade import Facade
from pathturn.wire import jsonrpc
from pathturn.wire.input import Input
from pathturn.wire.line import hung_up, quiet
from pathturn.wire.statement import data_set

# The protocol's figures: so many open batches on a connection, which clients close when idle for 4 s.
MOST_OPEN, IDLE_S = 32, 5.0
# By the protocol batches of a key are written 60 ms apart, and what each says of its patience stems from
# before its turn. Those of a connection that ended, or were pushed back together, come again in such a row,
# which the module keeps within a part of the time limit: for the last of them so much is over already.
# Answered by what they say, they would be answered when their clients have gone. One that says less than a
# row takes may have any time left; up to half a second after it an answer earns nothing but is not lost, and
# half of that is left for what an answer takes to be there.
LEAST_US = 250_000
# A client that sends nothing whole, or reads nothing, is owed an end within 3 s of connecting.
HALF_S, WRITE_S = 2.0, 2.0
# So much a connection is taken to ask for: a line each millisecond, and far fewer that are turned away, as
# those often come back at once. For what is beyond a burst its reader rests, and the others do not.
LINE_US, FAULT_US, BURST_US, LONGEST_REST_US = 1_000, 50_000, 100_000, 500_000
# Where no more can be read ahead the end is looked for this often: a batch of a client that left is owed
# nothing more, and the protocol wants that known within 0.1 s.
ABORT, LOOK_US = b'"abort"', 25_000
# An abort is read soon, but not at once: each piece of a flood may hold one.
ABORT_REST_US = 10_000
# A reader takes a turn of the event loop to wake, one to read what is there, and one for what came meanwhile.
TURNS = 3
# What the shortest lines of one read are answered with; the writer has a turn before the next one, so that
# more is there only where the client does not read.
MOST_ASIDE = 10 * SIZE
# Ten times as long as a batch may cross this side's end by the protocol; a client that has not closed by then
# will not.
LINGER_US = 500_000


class Session:
    def __init__(
        self,
        link: socket.socket,
        facade: Facade,
        send: Callable[[Dispatch], None],
        buffers: Buffers,
        ready: Callable[[], bool],
        longest_line: int,
    ) -> None:
        self.link, self.facade, self.send, self.buffers, self.ready = link, facade, send, buffers, ready
        self.input = Input(link)
        self.writing, self.open, self.answering, self.taken = RLock(), {}, Group(), 0
        self.lines, self.code, self.last, self.faults = jsonrpc.Lines(longest_line), "", 0, 0
        self.heard_us, self.half_us, self.proven, self.paced_us = facade.clock(), 0, False, 0
        self.asides, self.aside_bytes = [], 0

    # When this side was ended, and whether what still comes is thrown away.
    parted_us, deaf = 0, False
    # Whether it was spared once at its limit, for what lay unread by then.
    spared = False

    def serve(self) -> str:
        """Reads until the connection ends; returns the code for why it did."""
        try:
            self.link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                return self._read()
            except jsonrpc.Unusable as fault:
                self.fault(None, jsonrpc.MALFORMED)
                return self._see_off(str(fault))
            except OSError:
                raise
            except Exception as fault:  # noqa: BLE001 - whatever a client sent must end its own connection alone
                return self._see_off(f"fault_{type(fault).__name__}")
        except OSError as fault:
            return self.code or f"lost_{type(fault).__name__}"
        finally:
            for batch in list(self.open.values()):
                self.facade.leave(batch)
            self._close()

    def end(self, code: str) -> None:
        """Ends the connection from outside; its reader wakes and logs why. Only where nothing that was
        written may still be on its way: with bytes unread the system would reset it, and take that away."""
        self.code = self.code or code
        self._close()

    def _close(self) -> None:
        self.input.end()
        self.link.close()

    def part(self, code: str) -> None:
        """Ends it from this side alone: closed with bytes unread, the system would reset it, and take from
        the client the answers it has not read yet. Its reader goes on to the client's own end."""
        self.code, self.deaf = self.code or code, True
        self.parted_us = self.parted_us or self.facade.clock()
        with suppress(OSError):
            self.link.shutdown(socket.SHUT_WR)

    def _see_off(self, code: str) -> str:
        """Nothing more of it can be trusted, but what was taken before is still owed its answer; unless the
        client leaves first, which is heard all the while."""
        self.code, self.deaf = self.code or code, True
        gevent.spawn(self._part_once_answered)
        return self._read()

    def _part_once_answered(self) -> None:
        self.answering.join()
        if not self.link.closed:
            self.part(self.code)

    def at_rest(self) -> bool:
        """Whether nothing is lost if it gives way: no answer owed or being written, and no batch on its way
        from a usual client, be it half a line or what lies unread."""
        return not self.answering and not (self.proven and (self.lines.waiting or not quiet(self.link)))

    def overdue(self, now: int) -> str | None:
        """The code with which it is to end, if it holds its place for nothing."""
        if self.parted_us:
            return "parted" if now - self.parted_us > LINGER_US else None
        if self.answering:
            return None
        idle_s = (now - self.heard_us) / 1e6
        silent = not self.proven and idle_s > HALF_S
        half_line = bool(self.lines.rest) and (now - self.half_us) / 1e6 > HALF_S
        if silent or half_line:
            # After a stall of the process what came in time may lie unread: it is read before the next look.
            if not self.spared and not quiet(self.link):
                self.spared = True
                return None
            return "silent" if silent else "half_line"
        self.spared = False
        return "idle" if not self.lines.waiting and idle_s > IDLE_S and quiet(self.link) else None

    def catch_up(self) -> None:
        """Lets the reader take what lies in the socket, in the name of a batch that is to go out: an end or
        an abort among it was there before. After a standstill a dial that came up may be looked at first."""
        for _ in range(TURNS):
            if quiet(self.link):
                return
            gevent.sleep(0)

    def _read(self) -> str:
        while True:
            if self.lines.ahead:
                piece = bytes(self.lines.ahead[:SIZE])
                del self.lines.ahead[:SIZE]
                self._take(memoryview(piece))
            else:
                with self.buffers.lent() as buffer:
                    if not (size := self.input.receive_into(buffer)):
                        return self.code or "client_closed"
                    self._take(buffer[:size])
            # Also where there is nothing to pay for: a socket that always has more never lets others run.
            gevent.sleep(0)
            if not self._rest():
                return self.code or "client_closed"

    def _take(self, piece: memoryview) -> None:
        if self.deaf:
            return  # what crosses this side's end its client sends again elsewhere
        faults = self.faults
        halves = bool(self.lines.rest)
        lines = bytes(piece).count(b"\n")  # empty ones as well: they take their time too
        for line in self.lines.feed(piece):
            self.proven, halves, self.heard_us = True, False, self.facade.clock()
            jsonrpc.read(line, self)
        if self.lines.rest and not halves:
            self.half_us = self.facade.clock()
        now = self.facade.clock()
        self.paced_us = max(self.paced_us, now - BURST_US) + lines * LINE_US
        self.paced_us += (self.faults - faults) * FAULT_US

    def _rest(self) -> bool:
        """Until it is paid for what was asked. Reading goes on meanwhile, as far as there is room: the
        client's end counts at once, and so does an abort. False at that end."""
        if self.deaf:
            if not self.parted_us:
                gevent.sleep(LOOK_US / 1e6)
            return self.parted_us > 0 or not hung_up(self.link)
        until = min(self.paced_us, self.facade.clock() + LONGEST_REST_US)
        soon = min(until, self.facade.clock() + ABORT_REST_US)
        while not self.deaf:
            left = (soon if ABORT in self.lines.ahead else until) - self.facade.clock()
            if left <= 0:
                break
            if not (room := min(SIZE, self.lines.room)):
                if hung_up(self.link):
                    return False
                gevent.sleep(min(left, LOOK_US) / 1e6)
                continue
            with gevent.Timeout(left / 1e6, False), self.buffers.lent() as buffer:
                if not (size := self.input.receive_into(buffer[:room])):
                    return False
                self.lines.ahead += buffer[:size]
                gevent.sleep(0)
        return True

    def _write(self, line: bytes) -> None:
        with self.writing:
            try:
                with gevent.Timeout(WRITE_S, TimeoutError):
                    self.link.sendall(line)
            except OSError as fault:
                # The reader is woken and logs it.
                self.end("unread" if isinstance(fault, TimeoutError) else f"lost_{type(fault).__name__}")

    def _write_aside(self, line: bytes) -> None:
        """What no batch waits for. Not by the reader: behind a client that does not read it would hear of
        that client's end, and of its aborts, only seconds later."""
        self.asides.append(line)
        self.aside_bytes += len(line)
        if self.aside_bytes > MOST_ASIDE:
            self.end("unread")
        elif self.aside_bytes == len(line):
            self.answering.spawn(self._write_asides)

    def _write_asides(self) -> None:
        while self.asides:
            lines, self.asides = b"".join(self.asides), []
            self._write(lines)
            self.aside_bytes -= len(lines)

    # What a line may ask for; the decoder calls these.
    def group(self, method: str) -> names.ServiceGroup | None:
        return self.facade.group(method)

    def admits(self, number: int) -> bool:
        """Numbers count from 1 and come once; some may be left out by a client that thought better of it. Of
        two under one number neither may be taken for the other: both are answered by one error."""
        if (clash := self.open.get(number)) is not None:
            self.facade.leave(clash)
            self.open.pop(number)
            self.fault(number, jsonrpc.INVALID)
            return False
        if not self.last < number <= self.last + MOST_OPEN:
            self.fault(number if number > self.last else None, jsonrpc.INVALID)
            return False
        self.last = number
        return True

    def ping(self, number: Any) -> None:
        self._write_aside(jsonrpc.healthy(number, self.ready()))

    def fault(self, number: Any, code: int) -> None:
        self.faults += 1
        self._write_aside(jsonrpc.errored(number, code))

    def abort(self, number: Any) -> None:
        if type(number) is int and (batch := self.open.get(number)) is not None:
            self.facade.leave(batch)

    def batch(
        self,
        number: int,
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
        if len(self.open) >= MOST_OPEN:
            self.fault(number, jsonrpc.TOO_MANY)
            return
        if self.facade.is_open(ticket):
            # Engines know a query by its ticket alone: the two would be answered with each other's rows.
            self.fault(number, jsonrpc.INVALID)
            return
        if key is not None and self.facade.group(group).ordered_by_key:
            left_us = min(left_us, max(LEAST_US, left_us - self.facade.key_queue_drain_us(group)))
        batch = self.facade.take(
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
        )
        self.open[number] = batch
        self.taken += 1
        self.answering.spawn(self._see_through, number, batch)

    def _see_through(self, number: Any, batch: Batch) -> None:
        while isinstance(step := self.facade.pick(batch), Dispatch):
            self.send(step)
        if self.open.get(number) is batch:
            del self.open[number]
        self.heard_us = self.facade.clock()
        with self.facade.answering(batch):
            self._answer(number, step)

    def _answer(self, number: Any, end: End) -> None:
        if end.how == names.RETURNED:
            self._write(jsonrpc.returned(number, end.rows))
        elif end.how == names.ERRORED:
            self._write(jsonrpc.errored(number))
        elif end.how is not None:
            self._write(jsonrpc.pushed_back(number, end.retry_us))

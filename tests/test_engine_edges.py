"""The gateway's side toward engines at single instants: what comes behind an answer, answers that break off,
the window for repeats, connections that come up late or are ended early. Each instant is forced; the judge is
what the engines were asked and what the client was answered."""

import gc
import socket as plain
import struct
import time
from contextlib import contextmanager, suppress
from functools import partial
from time import monotonic

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer
from test_close_range import Held, begun_after, descriptors, until

from pathturn.core import interface as names
from pathturn.wire.line import Line, quiet

RESET = struct.pack("ii", 1, 0)
HALVES = {
    "half_line": b"HTTP/1.1 2",
    "status": b"HTTP/1.1 200 ",
    "field_name": b"HTTP/1.1 200 OK\r\nX-Pages: 1\r\nX-Cost",
    "field_value": b"HTTP/1.1 200 OK\r\nX-Pages: 1\r\nX-Cost-Ms: ",
    "body": b"HTTP/1.1 200 OK\r\nX-Pages: 1\r\nContent-Length: 6\r\n\r\na\tb",
    # Of an answer that no connection used again can have brought before.
    "failed": b"HTTP/1.1 500 ",
    "full": b"HTTP/1.1 503 full\r\nX-Shed: 1\r\nX-Value: ",
}
SPAN_S, PATIENCE_MS = 1.0, 4000


@pytest.fixture
def rig(rig):
    """With time to spare in each group: a busy machine may stand still for a second."""
    for entry in rig.settings["classes"]:
        entry["deadlineUs"] = max(entry["deadlineUs"], 7_000_000)
    rig.call = partial(rig.call, patience=PATIENCE_MS)
    return rig


def reset(link) -> None:
    with suppress(OSError):
        link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    link.close()


def written(status, fields, body) -> bytes:
    head = [
        f"HTTP/1.1 {status} said",
        *(f"{name}: {value}" for name, value in fields),
        f"Content-Length: {len(body)}",
        "",
        "",
    ]
    return "\r\n".join(head).encode() + body


def idle_lines(rig) -> list[Line]:
    return [line for waiting in rig.gateway.pools.idle.values() for line in waiting]


def posts(rig) -> int:
    return sum(len(engine.posts()) for engine in rig.engines.values())


# Point 1: half an answer behind a whole one.


class Behind:
    """An engine that remembers the connection of its last answer, and sends `more` in one segment with each
    answer that `picks` chooses."""

    def __init__(self, engine, more: bytes = b"", picks=lambda status, fields: True) -> None:
        self.more, self.picks, self.link = more, picks, None
        engine.answer = self.answer

    def answer(self, link, status, fields=(), body=b""):
        self.link = link
        more = self.more if self.picks(status, dict(fields)) else b""
        link.sendall(written(status, fields, body) + more)


@pytest.mark.parametrize("half", HALVES)
@pytest.mark.parametrize("pages", [1, 3])
def test_half_an_answer_in_the_segment_of_a_whole_one_spoils_nothing(rig, half, pages) -> None:
    rig.engine("e", f"rows:{pages}", "rows:2")
    Behind(rig.engines["e"], HALVES[half])
    rig.start()
    for number, wanted in ((1, pages), (2, 2)):
        rig.call(number, "pay")
        rig.returned(number, wanted)
        assert idle_lines(rig) == []
    assert posts(rig) == 2
    rig.idle()


@pytest.mark.parametrize("half", HALVES)
def test_half_an_answer_in_the_segment_of_not_yet_spoils_nothing(rig, half) -> None:
    rig.engine("e", "runs:120", "rows:2")
    Behind(rig.engines["e"], HALVES[half], lambda status, fields: status == 202)
    rig.start()
    for number, wanted in ((1, 1), (2, 2)):
        rig.call(number, "pay")
        rig.returned(number, wanted)
    assert posts(rig) == 2
    rig.idle()


@pytest.mark.parametrize("half", HALVES)
def test_half_an_answer_on_an_idle_connection_is_found_when_it_is_borrowed(rig, half) -> None:
    rig.engine("e", "rows:1", "rows:2")
    behind = Behind(rig.engines["e"])
    rig.start()
    rig.call(1, "pay")
    rig.returned(1)
    (line,) = idle_lines(rig)
    behind.link.sendall(HALVES[half])
    until(lambda: not line.fresh())
    rig.call(2, "pay")
    rig.returned(2, 2)
    assert line.socket.closed and posts(rig) == 2
    rig.asked("e", "GET", 1)  # page 1 of the second; nothing was asked for twice
    rig.idle()


def crossing(monkeypatch, line: Line, cross) -> None:
    """Calls `cross` once, after the look at an idle connection and before the next call's bytes, which wait
    until what it sends is there."""
    fresh, crossed = Line.fresh, []

    def looked(self):
        found = fresh(self)
        if found and self is line and not crossed:
            crossed.append(True)
            cross()
            until(lambda: not quiet(self.socket))
        return found

    monkeypatch.setattr(Line, "fresh", looked)


@pytest.mark.parametrize("word", ["rows:2", "runs:120"])
@pytest.mark.parametrize("half", HALVES)
def test_half_an_answer_that_crosses_the_next_start_is_not_taken_for_its_answer(
    rig, monkeypatch, half, word
) -> None:
    """It comes after the look at the connection, and is glued to the answer that follows."""
    rig.engine("e", "rows:1", word)
    behind = Behind(rig.engines["e"])
    rig.start()
    rig.call(1, "pay")
    rig.returned(1)
    (line,) = idle_lines(rig)
    crossing(monkeypatch, line, lambda: behind.link.sendall(HALVES[half]))
    rig.call(2, "pay")
    rig.returned(2, 2 if word == "rows:2" else 1)
    assert posts(rig) == 2
    rig.idle()


# Point 2: answers that break off, never end, or come twice.


def cut_head(link, whole):
    link.sendall(whole[:25])
    link.close()


def torn_head(link, whole):
    link.sendall(whole[:25])
    reset(link)


def cut_body(link, whole):
    link.sendall(whole[:-3])
    link.close()


def torn_body(link, whole):
    link.sendall(whole[:-3])
    reset(link)


def silent_head(link, whole):
    link.sendall(whole[:25])


def silent_body(link, whole):
    link.sendall(whole[:-3])


def endless(link, whole):
    head, _, _ = whole.partition(b"\r\n\r\n")
    with suppress(OSError):
        link.sendall(head + b"\r\nX-More: " + b"1" * 200_000)


def twice(link, whole):
    def again():
        with suppress(OSError):
            link.sendall(whole)

    link.sendall(whole)
    gevent.spawn_later(0.005, again)


def twice_with_next(link, whole):
    """The copy comes with the next call's answer, just before it: `Breaking` sends it."""
    link.sendall(whole)


BREAKS = [cut_head, torn_head, cut_body, torn_body, silent_head, silent_body, endless, twice, twice_with_next]
NEWS_BREAKS = [cut_head, torn_head, silent_head, endless]  # `not yet` has no body


class Breaking:
    """An engine that spoils the first answer of those that `picks` chooses, or every one of them."""

    def __init__(self, engine, how, picks, always: bool = False) -> None:
        self.how, self.picks, self.always, self.spoilt, self.copies = how, picks, always, 0, {}
        self.whole, engine.answer = engine.answer, self.answer

    def answer(self, link, status, fields=(), body=b""):
        if (copy := self.copies.pop(link, None)) is not None:
            link.sendall(copy)
            gevent.sleep(0.01)
        if (self.spoilt and not self.always) or not self.picks(status, dict(fields)):
            with suppress(OSError):  # a gateway that was sent a copy may have ended it
                self.whole(link, status, fields, body)
            return
        self.spoilt += 1
        if self.how is twice_with_next:
            self.copies[link] = written(status, fields, body)
        self.how(link, written(status, fields, body))


def is_end(status, fields) -> bool:
    return status == 200 and "X-Pages" in fields


def is_page(number, status, fields) -> bool:
    return status == 200 and fields.get("X-Page") == str(number)


def is_not_yet(status, fields) -> bool:
    return status == 202


@pytest.mark.parametrize("group", ["pay", "load"])
@pytest.mark.parametrize(
    "picks", [is_end, partial(is_page, 1), partial(is_page, 2)], ids=["end", "page", "last_page"]
)
@pytest.mark.parametrize("how", BREAKS)
def test_an_answer_that_breaks_off_is_asked_for_again_and_started_once(rig, how, picks, group) -> None:
    rig.engine("e", "rows:3", "rows:2")
    breaking = Breaking(rig.engines["e"], how, picks)
    rig.start()
    rig.call(1, group)
    rig.returned(1, 3)
    gevent.sleep(0.01)  # a second copy is there by now
    rig.call(2, group)
    rig.returned(2, 2)
    assert breaking.spoilt == 1 and posts(rig) == 2
    rig.idle()


@pytest.mark.parametrize("group", ["load", "book"])
@pytest.mark.parametrize("how", NEWS_BREAKS)
def test_while_news_that_broke_off_is_asked_for_again_the_next_of_the_key_waits(rig, how, group) -> None:
    """The query goes on all the while."""
    rig.set("rules.keyQuietUs", "20000")
    rig.engine("e", "runs:700", "rows:2")
    rig.engine("f", "runs:700", "rows:2")
    breaking = {name: Breaking(engine, how, is_not_yet) for name, engine in rig.engines.items()}
    rig.start()
    rig.call(1, group, key="k")
    until(lambda: posts(rig))
    rig.call(2, group, key="k")
    first = next(name for name, engine in rig.engines.items() if engine.posts())
    rig.returned(1)
    assert breaking[first].spoilt == 1
    until(lambda: 2 in rig.answers)
    rig.answered(2)
    assert posts(rig) == 2
    rig.apart(group)
    rig.idle()


@pytest.mark.parametrize("group", ["load", "book"])
def test_after_news_that_always_breaks_off_the_next_of_the_key_waits_for_the_proof(rig, group) -> None:
    """Its query goes on; the answer to the give-up is held."""
    rig.set("rules.keyQuietUs", "20000")
    rig.set("limits.maxAttempts", "1")
    rig.engine("e", "runs:9000", "rows:2")
    engine, hold = rig.engines["e"], Event()
    Breaking(engine, cut_head, is_not_yet, always=True)
    answer = engine.answer

    def late(link, status, fields=(), body=b""):
        if status == 204:
            hold.wait()
        with suppress(OSError):
            answer(link, status, fields, body)

    engine.answer = late
    rig.start()
    rig.call(1, group, key="k")
    until(lambda: posts(rig))
    rig.call(2, group, key="k")
    until(lambda: any(each[0] == "DELETE" for each in engine.asked))
    (rig.pushed_back if group == "load" else rig.errored)(1)
    gevent.sleep(0.2)
    assert posts(rig) == 1
    hold.set()
    rig.returned(2, 2)
    assert posts(rig) == 2
    rig.idle()


@pytest.mark.parametrize(
    ("end", "group"), [(reset, "pay"), (reset, "load"), (reset, "book"), (socket.socket.close, "book")]
)
def test_a_connection_that_ends_a_second_into_the_query_costs_neither_rows_nor_a_second_start(
    rig, end, group
) -> None:
    rig.engine("e", "runs:1300", "rows:2")
    engine, ended = rig.engines["e"], []
    news = engine.news

    def ends_late(link, ticket):
        word, since = engine.queries[ticket]
        if word == "runs:1300" and monotonic() - since >= 1.0 and not ended:
            ended.append(ticket)
            end(link)
            return
        news(link, ticket)

    engine.news = ends_late
    rig.start()
    rig.call(1, group, key="k")
    until(lambda: engine.posted)
    if group != "pay":
        rig.call(2, group, key="k")
    rig.returned(1)
    assert ended == [f"{1:016x}"]
    if group == "pay":
        assert posts(rig) == 1
    else:
        rig.returned(2, 2)
        rig.apart(group)
        assert posts(rig) == 2
    rig.idle()


# Point 3: a repeat begins inside the window in which the engines drop it.


class Repeats:
    """Two engines that reset the first start, which may have run, and a way to the second attempt's engine
    that is held before `name` of `owner` until `go`."""

    def __init__(self, rig, scope: str) -> None:
        self.rig, self.outcomes, self.second = rig, [], None
        rig.set("limits.dialTimeoutUs", "1000000")
        rig.settings["classes"][2] |= {"memorySpanUs": int(SPAN_S * 1e6), "group": scope}
        rig.engine("e")
        rig.engine("f")
        # Shared: whichever is asked first resets, the other one would serve the second attempt.
        rig.engines["e"].words = rig.engines["f"].words = ["reset", "rows:2"]
        rig.start()
        self.report, rig.gateway.facade.report = rig.gateway.facade.report, self.reported

    def reported(self, dispatch, outcome, *told):
        self.outcomes.append(outcome)
        self.report(dispatch, outcome, *told)

    def elsewhere(self, address) -> bool:
        """Whether that is the engine that has not been asked yet."""
        asked = {engine.server.address for engine in self.rig.engines.values() if engine.posted}
        return bool(asked) and address not in asked

    def began(self) -> float:
        return min(at for engine in self.rig.engines.values() for at in engine.posted)


def hold_dial(repeats, monkeypatch) -> Held:
    """The second attempt's connection comes up late."""
    held = Held(lambda: None)

    class Slow(socket.socket):
        def connect(self, address):
            if repeats.elsewhere(address):
                held()
            super().connect(address)

    monkeypatch.setattr("pathturn.wire.line.socket.socket", Slow)
    return held


def hold_room(repeats, monkeypatch) -> Held:
    """No connection is free for the second attempt."""
    pools, held = repeats.rig.gateway.pools, Held(lambda: None)
    borrow = pools.borrow

    def late(place, new=False):
        if repeats.elsewhere(place[1]):
            held()
        return borrow(place, new)

    monkeypatch.setattr(pools, "borrow", late)
    return held


def hold_process(repeats, monkeypatch) -> Held:
    """The whole process stands still, by which time the window is over."""
    pools, held = repeats.rig.gateway.pools, Held(lambda: None)
    borrow = pools.borrow

    def late(place, new=False):
        if repeats.elsewhere(place[1]) and not held.came.is_set():
            held.came.set()
            time.sleep(max(0, repeats.began() + 1.05 * SPAN_S - monotonic()))
        return borrow(place, new)

    monkeypatch.setattr(pools, "borrow", late)
    return held


@pytest.mark.parametrize(("scope", "end"), [("all", "pushed_back"), ("cell", "errored")])
@pytest.mark.parametrize("hold", [hold_dial, hold_room, hold_process])
def test_a_repeat_whose_connection_is_there_after_the_window_is_not_sent(
    rig, monkeypatch, hold, scope, end
) -> None:
    """Decided in time, it would run a second time: the engines no longer know the first."""
    repeats = Repeats(rig, scope)
    held = hold(repeats, monkeypatch)
    rig.call(1, "load")
    with gevent.Timeout(0.9 * SPAN_S, AssertionError("no second attempt was decided")):
        held.came.wait()
    gevent.sleep(max(0, repeats.began() + 1.05 * SPAN_S - monotonic()))
    held.go.set()
    rig.answered(1)
    assert begun_after(rig, repeats.began(), SPAN_S) == 0, "a repeat began after the window"
    assert posts(rig) == 1
    assert repeats.outcomes[0] == names.RESET and set(repeats.outcomes[1:]) <= names.NEVER_RAN
    getattr(rig, end)(1)
    rig.idle()


@pytest.mark.parametrize("hold", [hold_dial, hold_room])
def test_a_repeat_whose_connection_is_there_within_the_window_is_sent(rig, monkeypatch, hold) -> None:
    repeats = Repeats(rig, "all")
    held = hold(repeats, monkeypatch)
    rig.call(1, "load")
    with gevent.Timeout(0.5 * SPAN_S, AssertionError("no second attempt was decided")):
        held.came.wait()
    held.go.set()
    rig.returned(1, 2)
    assert posts(rig) == 2 and begun_after(rig, repeats.began(), SPAN_S) == 0
    assert repeats.outcomes == [names.RESET, names.RETURNED]
    rig.idle()


# Point 4: small calls go out at once.


def test_a_connection_to_an_engine_does_not_hold_back_small_writes(rig, monkeypatch) -> None:
    rig.engine("e", "rows:3")
    found, place = [], rig.engines["e"].server.address

    class Watched(socket.socket):
        def sendall(self, *told):
            with suppress(OSError):
                if self.getpeername() == place:
                    found.append(self.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
            return super().sendall(*told)

    monkeypatch.setattr("pathturn.wire.line.socket.socket", Watched)
    rig.start()
    rig.call(1, "pay")
    rig.returned(1, 3)
    assert len(found) == 3 and all(found)


# Point 5: connections that come up slowly.


class Crowded:
    """A listener in an engine's place whose queue is full: who dials gets no sign, and tries again by its
    system after a second. From `room` on connections come up, and `came` counts them."""

    def __init__(self) -> None:
        self.server, self.address, self.came, self.heard = self, None, 0, b""
        self.listener = plain.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.listener.setblocking(False)
        self.address, self.crowd = self.listener.getsockname(), []
        while not self.crowd or self.is_up(self.crowd[-1]):
            self.crowd.append(plain.socket())
            self.crowd[-1].setblocking(False)
            self.crowd[-1].connect_ex(self.address)
            gevent.sleep(0.02)
        self.crowd.pop().close()  # the one that found no place

    def is_up(self, link) -> bool:
        try:
            link.getpeername()
        except OSError:
            return False
        return True

    def room(self) -> None:
        """Takes what waited; the crowd's own connections are not counted."""
        for each in self.accepted():
            each.close()
        for each in self.crowd:
            each.close()

    def accepted(self) -> list[plain.socket]:
        found = []
        with suppress(BlockingIOError):
            while True:
                found.append(self.listener.accept()[0])
        return found

    def stop(self, timeout=None) -> None:
        for each in (self.listener, *self.crowd):
            each.close()


@contextmanager
def no_collector():
    """A descriptor that only the garbage collector would close counts as one that is left open."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def test_one_connection_that_comes_up_after_more_than_a_second_is_kept_and_its_requests_go_elsewhere(
    rig,
) -> None:
    """The pool has it for the next attempt; of the others that were late none is left open."""
    rig.set("limits.dialTimeoutUs", "250000")
    rig.engine("e")
    rig.engine("f")
    crowded = rig.straits["e"] = Crowded()
    rig.start()
    outcomes, report = [], rig.gateway.facade.report
    rig.gateway.facade.report = lambda dispatch, outcome, *told: (
        outcomes.append(outcome),
        report(dispatch, outcome, *told),
    )
    gevent.sleep(0.05)
    with no_collector():
        before, began = descriptors(), monotonic()
        # More than one, so that one of them is sent to the crowded engine first.
        for number in range(1, 5):
            rig.call(number, "pay")
        for number in range(1, 5):
            rig.returned(number)
        assert outcomes.count(names.UNREACHABLE) >= 1, "none was sent to the crowded engine"
        crowded.room()
        gevent.sleep(max(0, began + 1.5 - monotonic()))
        late = crowded.accepted()
        kept = [line for line in idle_lines(rig) if line.place[1] == crowded.address]
        assert len(late) == len(kept) == 1, "one is kept, and no other left behind"
        until(lambda: descriptors() <= before - len(crowded.crowd) + len(idle_lines(rig)) * 2)
        late[0].close()
    assert set(outcomes) == {names.UNREACHABLE, names.RETURNED}
    assert outcomes.count(names.RETURNED) == 4 and posts(rig) == 4
    rig.idle()


@pytest.mark.parametrize("way", ["abort", "time"])
def test_a_request_that_ends_while_its_dial_waits_leaves_no_descriptor(rig, way) -> None:
    rig.set("limits.dialTimeoutUs", "1500000")
    rig.engine("e")
    crowded = rig.straits["e"] = Crowded()
    rig.start()
    gevent.sleep(0.05)
    with no_collector():
        before = descriptors()
        for number in range(1, 6):
            rig.call(number, "pay", patience=PATIENCE_MS if way == "abort" else 300)
        until(lambda: descriptors() == before + 5)
        for number in range(1, 6):
            if way == "abort":
                rig.abort(number)
            else:
                rig.pushed_back(number)
        until(lambda: descriptors() == before, 1)
        rig.idle()
    crowded.room()
    gevent.sleep(0.1)
    assert crowded.accepted() == [] and posts(rig) == 0


# Point 6: connections that an engine ends early.


class Doorkeeper:
    """A way to an engine that keeps its connections, so that they can be ended from here; from `unread` on it
    resets the next call's connection without reading it."""

    def __init__(self, behind) -> None:
        self.behind, self.links, self.unread, self.dropped = behind, [], False, 0
        self.server = StreamServer(("127.0.0.1", 0), self.carry)
        self.server.start()

    def carry(self, link, peer):
        self.links.append(link)
        with socket.create_connection(self.behind) as beyond, suppress(OSError):
            back = gevent.spawn(self.pump, beyond, link)
            while True:
                link.recv(1, socket.MSG_PEEK)
                if self.unread:
                    self.unread, self.dropped = False, self.dropped + 1
                    reset(link)
                    break
                if not (piece := link.recv(65_536)):
                    break
                beyond.sendall(piece)
            back.kill()

    def pump(self, source, sink):
        with suppress(OSError):
            while piece := source.recv(65_536):
                sink.sendall(piece)


def hang_up(link) -> None:
    """Ends it in the usual way at once, also where another greenlet waits on it."""
    link.shutdown(socket.SHUT_RDWR)


@pytest.fixture
def kept(rig):
    """An engine behind a doorkeeper, and one connection to it that lies idle after a whole answer."""
    rig.engine("e", "rows:1", "rows:2")
    door = rig.straits["e"] = Doorkeeper(rig.engines["e"].server.address)
    rig.start()
    rig.call(1, "pay")
    rig.returned(1)
    until(lambda: idle_lines(rig))
    (rig.line,) = idle_lines(rig)
    return rig, door


@pytest.mark.parametrize("group", ["pay", "load", "look"])
@pytest.mark.parametrize("end", [hang_up, reset])
def test_a_connection_that_is_ended_while_idle_is_found_when_it_is_borrowed(kept, end, group) -> None:
    rig, door = kept
    end(door.links[0])
    until(lambda: not rig.line.fresh())
    rig.call(2, group)
    rig.returned(2, 2)
    assert rig.line.socket.closed and posts(rig) == 2 and len(door.links) == 2
    rig.idle()


@pytest.mark.parametrize("group", ["pay", "load"])
def test_a_connection_that_is_reset_just_before_the_start_is_written_proves_it_unsent(
    kept, monkeypatch, group
) -> None:
    """The reset is there before the first byte: nothing went out, and the request is started once."""
    rig, door = kept
    crossing(monkeypatch, rig.line, lambda: reset(door.links[0]))
    rig.call(2, group)
    rig.returned(2, 2)
    assert posts(rig) == 2
    rig.idle()


@pytest.mark.parametrize(("group", "times"), [("pay", 1), ("book", 1), ("look", 2), ("load", 2)])
def test_a_connection_that_is_closed_just_before_the_start_is_written_proves_nothing(
    kept, monkeypatch, group, times
) -> None:
    """The start goes out whole, into a connection that its engine has ended: it may have been read. Started
    again only where that is harmless."""
    rig, door = kept
    crossing(monkeypatch, rig.line, lambda: hang_up(door.links[0]))
    rig.call(2, group)
    if times == 2:
        rig.returned(2, 2)
    else:
        rig.errored(2)
    assert posts(rig) == times
    rig.idle()


@pytest.mark.parametrize(("group", "times"), [("pay", 1), ("book", 1), ("look", 2), ("load", 2)])
def test_a_connection_that_is_reset_over_a_start_not_read_proves_nothing(kept, group, times) -> None:
    rig, door = kept
    door.unread = True
    rig.call(2, group)
    if times == 2:
        rig.returned(2, 2)
    else:
        rig.errored(2)
    assert door.dropped == 1 and posts(rig) == times
    rig.idle()

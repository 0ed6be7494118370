"""The wire codec: one line in, one line out, an instance of the decision module behind each gateway."""

import sys
from math import inf
from typing import Any, BinaryIO

import orjson

from pathturn.core import interface as names
from pathturn.process.settings import build_dispatcher

OUTCOMES = {
    "ok": names.RETURNED,
    "error": names.ERRORED,
    "full": names.FULL,
    "timeout": names.TIMED_OUT,
    "connect_failed": names.UNREACHABLE,
    "reset": names.RESET,
    "cancelled": names.CANCELLED,
    "moot": names.UNSENT,
}


class Malformed(Exception):
    """A line that the wire's page does not allow."""


class Front:
    """One gateway's id maps, and the writer that its decisions go into."""

    def __init__(self, seed: int, config: dict[str, Any]) -> None:
        self.steps: list[list] = []
        self.events: list[tuple] = []
        self.dispatcher, groups = build_dispatcher(seed, config)
        self.group_index = {name: index for index, name in enumerate(groups)}
        self.tells_cost = bool(config.get("domain", {}).get("costInAnswers"))
        self.connect_timeout_us = config.get("limits", {}).get("dialTimeoutUs") or inf
        self.batch_of: dict[int, int] = {}
        self.rid: list[int] = []
        self.out: list[int] = []
        self.over: list[bool] = []
        self.free: list[int] = []
        self.released: list[int] = []
        self.engine_of: dict[int, int] = {}
        self.node: list[int] = []

    def play(self, now: int) -> list[list]:
        self.dispatcher.round(now, self.events, self)
        self.events, steps, self.steps = [], self.steps, []
        # Given out again only after the round: the module may still name these until it returns.
        self.free += self.released
        self.released = []
        return steps

    def take(self, rid: int) -> int:
        if self.free:
            batch = self.free.pop()
            self.rid[batch], self.out[batch], self.over[batch] = rid, 0, False
        else:
            batch = len(self.rid)
            self.rid.append(rid)
            self.out.append(0)
            self.over.append(False)
        self.batch_of[rid] = batch
        return batch

    def engine(self, node: int) -> int:
        if node not in self.engine_of:
            self.engine_of[node] = len(self.node)
            self.node.append(node)
        return self.engine_of[node]

    def settle(self, batch: int) -> None:
        if self.over[batch] and not self.out[batch] and self.batch_of.pop(self.rid[batch], None) is not None:
            self.released.append(batch)

    def end(self, batch: int) -> None:
        self.over[batch] = True
        self.settle(batch)

    # The writer's side.
    def dispatch(self, batch: int, engine: int, time_limit_us: int) -> None:
        self.out[batch] += 1
        self.steps.append(["RELAY", self.rid[batch], self.node[engine], time_limit_us])

    def set_resources(self, batch: int, priority: int, grant_mb: float) -> None:
        self.steps.append(["LIMITS_FOR", self.rid[batch], priority, grant_mb])

    def cancel(self, batch: int, dispatch: int) -> None:
        self.steps.append(["RETRACT", self.rid[batch], dispatch])

    def push_back(self, batch: int, retry_us: int) -> None:
        self.steps.append(["DENY", self.rid[batch], retry_us])
        self.end(batch)

    def error(self, batch: int) -> None:
        self.steps.append(["ABORT", self.rid[batch]])
        self.end(batch)

    def probe(self, engine: int) -> None:
        self.steps.append(["SAMPLE", self.node[engine]])

    def schedule_wakeup(self, delay_us: int, tag: int) -> None:
        self.steps.append(["SCHEDULE", delay_us, tag])

    def subscribe(self, on: bool) -> None:
        self.steps.append(["SUBSCRIBE", on])

    def log(self, text: str) -> None:
        self.steps.append(["PRINT", text])

    # The wire's side: each takes the fields of one message, short ones padded with None.
    def ingress(self, rid, grade, account, table, left, work, memory, sources, marks) -> None:
        hinted = (marks or 0) & 1
        self.events.append(
            (
                "batch_received",
                self.take(rid),
                self.group_index[grade],
                account,
                table,
                left,
                (work or 0) if hinted else 0,
                memory or 0,
                sources,
                bool((marks or 0) & 2),
            )
        )

    def answer(self, rid, trial, node, rc, latency, complete, note, load) -> None:
        batch = self.batch_of.get(rid)
        if batch is None:
            return
        self.out[batch] -= 1
        told = (note or 0) if self.tells_cost and rc == "ok" else 0
        outcome = OUTCOMES.get(rc, names.ERRORED)
        if rc == "connect_failed" and (latency or 0) < self.connect_timeout_us:
            outcome = names.CONNECT_REFUSED  # one name for both here; a time-out is told by its length
        self.events.append(
            (
                "dispatch_finished",
                batch,
                trial,
                self.engine(node),
                outcome,
                latency or 0,
                bool(complete),
                (told >> 12) * 1000,
                (told & 4095) * 4,
                load,
            )
        )
        self.over[batch] = self.over[batch] or bool(complete)
        self.settle(batch)

    def notice(self, rid, node, sort, level, trial) -> None:
        if rid in self.batch_of:
            self.events.append(
                ("engine_notice", self.batch_of[rid], self.engine(node), sort, level or 0, trial or 0)
            )

    def withdrawn(self, rid) -> None:
        batch = self.batch_of.get(rid)
        if batch is not None:
            self.events.append(("batch_withdrawn", batch))
            self.end(batch)

    def pong(self, latency, node, rc, load) -> None:
        self.events.append(("probe_finished", self.engine(node), rc == "ok", latency or 0, load))

    def fired(self, tag) -> None:
        self.events.append(("timer_fired", tag))

    def announce(self, form, entries) -> None:
        rows = [
            (self.engine(node), zone, machine, cell, state, size, started or 0)
            for node, zone, machine, cell, state, size, started in (_pad(row, 7) for row in entries)
        ]
        self.events.append(("engine_list", form, rows))


EVENTS = {
    "INGRESS": (Front.ingress, 9),
    "ANSWER": (Front.answer, 8),
    "NOTICE": (Front.notice, 5),
    "WITHDRAWN": (Front.withdrawn, 1),
    "PONG": (Front.pong, 4),
    "FIRED": (Front.fired, 1),
}


def _pad(row: list, width: int) -> list:
    return row[:width] + [None] * (width - len(row))


class Codec:
    """The process: fronts by gateway number, and the pages of lists that they all refer to."""

    def __init__(self) -> None:
        self.fronts: dict[int, Front] = {}
        self.pages: dict[int, list] = {}

    def event(self, gateway: int, message: list) -> None:
        name, fields = message[0], message[1:]
        front = self.fronts.get(gateway)
        if name == "CENSUS":
            self.pages[fields[0]] = fields[1] or []
        elif name == "HELLO":
            self.fronts[gateway] = Front(fields[0], fields[1])
        elif name == "POWER_OFF":
            # It decides only once all of its events are in, so what came before in this line is void with it.
            self.fronts.pop(gateway, None)
        elif front is None:
            return
        elif name == "ANNOUNCE":
            form, _, page = _pad(fields, 3)
            front.announce(form, [] if form == names.LIST_UNAVAILABLE else self.pages.get(page, []))
        elif name in EVENTS:
            handler, width = EVENTS[name]
            handler(front, *_pad(fields, width))

    def line(self, text: bytes) -> bytes:
        try:
            message = orjson.loads(text)
            now, groups = message["tUs"], message["groups"]
            replies = []
            for group in groups:
                gateway = group["gateway"]
                for event in group["input"]:
                    self.event(gateway, event)
                front = self.fronts.get(gateway)
                if front is not None and front.events and (steps := self.decide(front, now)):
                    replies.append({"gateway": gateway, "steps": steps})
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, IndexError) as fault:
            raise Malformed(f"malformed line: {type(fault).__name__}: {fault}") from fault
        return orjson.dumps({"groups": replies}) + b"\n"

    def decide(self, front: Front, now: int) -> list[list]:
        try:
            return front.play(now)
        except Exception as fault:  # noqa: BLE001 - the wire wants one line for whatever went wrong inside
            trace = fault.__traceback__
            while trace.tb_next:
                trace = trace.tb_next
            return [["DIE", f"{type(fault).__name__}: {fault} (line {trace.tb_lineno})"]]


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    codec = Codec()
    for text in source:
        if not text.strip():
            continue
        try:
            reply = codec.line(text)
        except Malformed as fault:
            print(f"pathturn.adapter: {fault}", file=sys.stderr)
            return 2
        sink.write(reply)
        sink.flush()
    return 0

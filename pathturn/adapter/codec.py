"""Codec of the simulator's protocol: one JSON line in, one JSON line out, one instance of the decision module
per simulated gateway."""

import sys
from math import inf
from typing import Any, BinaryIO

import orjson

from pathturn.core import interface as names
from pathturn.process.settings import build_dispatcher

# Outcomes of a dispatch, by the simulator's name.
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
# Bits of an INGRESS message's marks.
MARK_HAS_ESTIMATE = 1
MARK_REPEAT = 2
# The cost in an ANSWER message: run time in the upper bits, peak memory in the lower ones.
COST_MEMORY_BITS = 12
COST_MEMORY_MASK = 4095
COST_WORK_UNIT_US = 1000
COST_MEMORY_UNIT_MB = 4

EXIT_MALFORMED_INPUT = 2


class MalformedLineError(Exception):
    """An input line that the protocol does not allow."""


class SimulatedGateway:
    """One simulated gateway: maps the simulator's ids to the indices of its decision module, queues events
    for the next round, and collects the decisions as protocol steps."""

    def __init__(self, seed: int, config: dict[str, Any]) -> None:
        self.steps: list[list] = []
        self.events: list[tuple] = []
        self.dispatcher, groups = build_dispatcher(seed, config)
        self.group_index = {name: index for index, name in enumerate(groups)}
        self.cost_in_answers = bool(config.get("domain", {}).get("costInAnswers"))
        self.connect_timeout_us = config.get("limits", {}).get("dialTimeoutUs") or inf
        self.batch_by_request: dict[int, int] = {}
        # By batch index.
        self.request_by_batch: list[int] = []
        self.dispatches_in_flight: list[int] = []
        self.ended: list[bool] = []
        self.free_batches: list[int] = []
        self.released_batches: list[int] = []
        self.engine_by_node: dict[int, int] = {}
        self.node_by_engine: list[int] = []

    def run_round(self, now_us: int) -> list[list]:
        """Pass the queued events to the decision module and return its decisions."""
        self.dispatcher.round(now_us, self.events, self)
        self.events, steps, self.steps = [], self.steps, []
        # Indices are reused only after the round, as the module may refer to them until it returns.
        self.free_batches += self.released_batches
        self.released_batches = []
        return steps

    def add_batch(self, request: int) -> int:
        """Assign a batch index to a new request."""
        if self.free_batches:
            batch = self.free_batches.pop()
            self.request_by_batch[batch] = request
            self.dispatches_in_flight[batch] = 0
            self.ended[batch] = False
        else:
            batch = len(self.request_by_batch)
            self.request_by_batch.append(request)
            self.dispatches_in_flight.append(0)
            self.ended.append(False)
        self.batch_by_request[request] = batch
        return batch

    def engine_index(self, node: int) -> int:
        """Return the engine index of a node, assigning one at its first mention."""
        if node not in self.engine_by_node:
            self.engine_by_node[node] = len(self.node_by_engine)
            self.node_by_engine.append(node)
        return self.engine_by_node[node]

    def release_if_done(self, batch: int) -> None:
        """Release the index of a batch that has ended and has no dispatch in flight."""
        if (
            self.ended[batch]
            and not self.dispatches_in_flight[batch]
            and self.batch_by_request.pop(self.request_by_batch[batch], None) is not None
        ):
            self.released_batches.append(batch)

    def end_batch(self, batch: int) -> None:
        self.ended[batch] = True
        self.release_if_done(batch)

    # Methods of `core.interface.Writer`: each appends one step to the reply.
    def dispatch(self, batch: int, engine: int, time_limit_us: int) -> None:
        self.dispatches_in_flight[batch] += 1
        self.steps.append(["RELAY", self.request_by_batch[batch], self.node_by_engine[engine], time_limit_us])

    def set_resources(self, batch: int, priority: int, grant_mb: float) -> None:
        self.steps.append(["LIMITS_FOR", self.request_by_batch[batch], priority, grant_mb])

    def cancel(self, batch: int, dispatch: int) -> None:
        self.steps.append(["RETRACT", self.request_by_batch[batch], dispatch])

    def push_back(self, batch: int, retry_us: int) -> None:
        self.steps.append(["DENY", self.request_by_batch[batch], retry_us])
        self.end_batch(batch)

    def error(self, batch: int) -> None:
        self.steps.append(["ABORT", self.request_by_batch[batch]])
        self.end_batch(batch)

    def probe(self, engine: int) -> None:
        self.steps.append(["SAMPLE", self.node_by_engine[engine]])

    def schedule_wakeup(self, delay_us: int, tag: int) -> None:
        self.steps.append(["SCHEDULE", delay_us, tag])

    def subscribe(self, on: bool) -> None:
        self.steps.append(["SUBSCRIBE", on])

    def log(self, text: str) -> None:
        self.steps.append(["PRINT", text])

    # Handlers of the simulator's messages. Fields come by position; missing ones at the end are None.
    def on_ingress(self, request, group, customer, key, left_us, work_us, memory_mb, data_set, marks) -> None:
        has_estimate = (marks or 0) & MARK_HAS_ESTIMATE
        self.events.append(
            (
                "batch_received",
                self.add_batch(request),
                self.group_index[group],
                customer,
                key,
                left_us,
                (work_us or 0) if has_estimate else 0,
                memory_mb or 0,
                data_set,
                bool((marks or 0) & MARK_REPEAT),
            )
        )

    def on_answer(self, request, dispatch, node, result, latency_us, complete, cost, report) -> None:
        batch = self.batch_by_request.get(request)
        if batch is None:
            return
        self.dispatches_in_flight[batch] -= 1
        measured_cost = (cost or 0) if self.cost_in_answers and result == "ok" else 0
        outcome = OUTCOMES.get(result, names.ERRORED)
        if result == "connect_failed" and (latency_us or 0) < self.connect_timeout_us:
            # The protocol has one result for a refused and a timed-out connect; only the latency differs.
            outcome = names.CONNECT_REFUSED
        self.events.append(
            (
                "dispatch_finished",
                batch,
                dispatch,
                self.engine_index(node),
                outcome,
                latency_us or 0,
                bool(complete),
                (measured_cost >> COST_MEMORY_BITS) * COST_WORK_UNIT_US,
                (measured_cost & COST_MEMORY_MASK) * COST_MEMORY_UNIT_MB,
                report,
            )
        )
        self.ended[batch] = self.ended[batch] or bool(complete)
        self.release_if_done(batch)

    def on_notice(self, request, node, kind, level, dispatch) -> None:
        if request in self.batch_by_request:
            self.events.append(
                (
                    "engine_notice",
                    self.batch_by_request[request],
                    self.engine_index(node),
                    kind,
                    level or 0,
                    dispatch or 0,
                )
            )

    def on_withdrawn(self, request) -> None:
        batch = self.batch_by_request.get(request)
        if batch is not None:
            self.events.append(("batch_withdrawn", batch))
            self.end_batch(batch)

    def on_pong(self, latency_us, node, result, report) -> None:
        self.events.append(
            ("probe_finished", self.engine_index(node), result == "ok", latency_us or 0, report)
        )

    def on_fired(self, tag) -> None:
        self.events.append(("timer_fired", tag))

    def on_announce(self, form, entries) -> None:
        engines = [
            (self.engine_index(node), zone, machine, cell, state, size, started_us or 0)
            for node, zone, machine, cell, state, size, started_us in (_pad(entry, 7) for entry in entries)
        ]
        self.events.append(("engine_list", form, engines))


# Handler and number of fields by message name.
HANDLERS = {
    "INGRESS": (SimulatedGateway.on_ingress, 9),
    "ANSWER": (SimulatedGateway.on_answer, 8),
    "NOTICE": (SimulatedGateway.on_notice, 5),
    "WITHDRAWN": (SimulatedGateway.on_withdrawn, 1),
    "PONG": (SimulatedGateway.on_pong, 4),
    "FIRED": (SimulatedGateway.on_fired, 1),
}


def _pad(fields: list, width: int) -> list:
    return fields[:width] + [None] * (width - len(fields))


class Codec:
    """State of the adapter: the simulated gateways by number, and the pages of engine lists that their
    ANNOUNCE messages refer to."""

    def __init__(self) -> None:
        self.gateways: dict[int, SimulatedGateway] = {}
        self.list_pages: dict[int, list] = {}

    def handle_message(self, number: int, message: list) -> None:
        """Apply one message to the gateway of that number; drop it if no such gateway runs."""
        name, fields = message[0], message[1:]
        gateway = self.gateways.get(number)
        if name == "CENSUS":
            self.list_pages[fields[0]] = fields[1] or []
        elif name == "HELLO":
            self.gateways[number] = SimulatedGateway(fields[0], fields[1])
        elif name == "POWER_OFF":
            # The round runs after the last message of a line, so this also drops the events queued before.
            self.gateways.pop(number, None)
        elif gateway is None:
            return
        elif name == "ANNOUNCE":
            form, _, page = _pad(fields, 3)
            gateway.on_announce(form, [] if form == names.LIST_UNAVAILABLE else self.list_pages.get(page, []))
        elif name in HANDLERS:
            handler, width = HANDLERS[name]
            handler(gateway, *_pad(fields, width))

    def handle_line(self, line: bytes) -> bytes:
        """Return the reply to a line. Raise MalformedLineError if the protocol does not allow the line."""
        try:
            request = orjson.loads(line)
            now_us, groups = request["tUs"], request["groups"]
            replies = []
            for group in groups:
                number = group["gateway"]
                for message in group["input"]:
                    self.handle_message(number, message)
                gateway = self.gateways.get(number)
                if gateway is not None and gateway.events and (steps := self.run_round(gateway, now_us)):
                    replies.append({"gateway": number, "steps": steps})
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, IndexError) as error:
            raise MalformedLineError(f"malformed line: {type(error).__name__}: {error}") from error
        return orjson.dumps({"groups": replies}) + b"\n"

    def run_round(self, gateway: SimulatedGateway, now_us: int) -> list[list]:
        """Run a round of one gateway; an exception becomes a DIE step."""
        try:
            return gateway.run_round(now_us)
        except Exception as error:  # noqa: BLE001 - the simulator expects a reply line after any failure
            traceback = error.__traceback__
            while traceback.tb_next:
                traceback = traceback.tb_next
            return [["DIE", f"{type(error).__name__}: {error} (line {traceback.tb_lineno})"]]


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answer the lines of `source` on `sink` until its end. Return the exit code."""
    codec = Codec()
    for line in source:
        if not line.strip():
            continue
        try:
            reply = codec.handle_line(line)
        except MalformedLineError as error:
            print(f"pathturn.adapter: {error}", file=sys.stderr)
            return EXIT_MALFORMED_INPUT
        sink.write(reply)
        sink.flush()
    return 0

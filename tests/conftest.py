"""Plays scenarios in the project's own notation, with no bench: `.play` against the decision module alone,
`.wire` against a gateway on sockets between stand-ins.
"""

import contextlib
from base64 import b64decode, b64encode
from itertools import combinations
from pathlib import Path
from time import monotonic

import gevent
import hypothesis
import orjson
import pytest
from gevent import socket

from pathturn.config import units
from pathturn.config.document import Limit, Pool
from pathturn.config.units import Rate
from pathturn.core import interface as names
from pathturn.core.dispatcher import GatewayDispatcher
from pathturn.process.gateway import GatewayProcess
from pathturn.process.limits import connection_limits
from pathturn.process.settings import build_dispatcher
from pathturn.routing.limits import Limiter, Meter
from pathturn.routing.pools import EnginePool
from pathturn.routing.table import Destination
from pathturn.standins.fleet import Fleet, free_address

pytest_plugins = ["known_red"]
# Generated cases are the same each time, so that a verdict is.
hypothesis.settings.register_profile("same", derandomize=True, database=None, deadline=None)
hypothesis.settings.load_profile("same")
SECOND = 1_000_000
KINDS = {"repeatable": names.REPEATABLE, "referenced": names.REFERENCED, "once": names.ONCE_ONLY}


class Stage:
    """Records the decisions of a dispatcher and tracks the dispatches in flight, as the gateway does."""

    def __init__(self) -> None:
        self.settings = {
            "seed": 7,
            "instance": 0,
            "gateway_count": 1,
            "cores_by_machine": {"m": 8, "n": 8},
            "sets_memory_grants": False,
            "pages_on_shortage": False,
            "notice_interval_us": 0,
            "report_fields": [],
            "probes": False,
            "subscribes_to_list": False,
            "max_dispatches": 4,
            "may_cancel": True,
            "max_retry_after_us": 0,
            "min_round_interval_us": 1000,
            "slow_start": (1.0, 0, 0.0, 0),
            "key_quiet_us": 0,
            "retry_budget": None,
            "reports_costs": False,
        }
        self.dispatcher, self.now = None, 0
        self.flying, self.sent, self.groups, self.batches, self.calls = {}, {}, [], [], []
        self.destinations = {}

    def dispatch(self, batch, engine, time_limit_us):
        number = self.sent[batch] = self.sent.get(batch, -1) + 1
        self.flying[batch, number] = engine
        self.calls.append(("dispatch", batch, engine))

    def cancel(self, batch, dispatch):
        self.calls.append(("cancel", batch, dispatch))

    def push_back(self, batch, retry_us):
        self.calls.append(("push_back", batch, retry_us))

    def error(self, batch):
        self.calls.append(("error", batch, 0))

    def probe(self, engine):
        self.calls.append(("probe", engine, 0))

    def schedule_wakeup(self, delay_us, tag):
        self.woken = self.now + delay_us

    def subscribe(self, on):
        self.calls.append(("subscribe", on, 0))

    def set_resources(self, batch, priority, grant_mb):
        self.calls.append(("set_resources", batch, priority))

    def log(self, text):
        pass

    def round(self, *events):
        if self.dispatcher is None:
            self.settings["groups"] = self.groups
            self.dispatcher = GatewayDispatcher(**self.settings)
        self.dispatcher.round(self.now, [*events, ("timer_fired", 0)], self)

    def number(self, name):
        return self.batches.index(name)

    def where(self, name):
        return [engine for (batch, _), engine in self.flying.items() if batch == self.number(name)]

    def dispatched(self, name):
        batch = self.number(name)
        return next((*key, engine) for key, engine in self.flying.items() if key[0] == batch)

    def ended(self, name):
        finals = [call for call in self.calls if call[0] in ("push_back", "error")]
        return [call[0] for call in finals if call[1] == self.number(name)]

    def set(self, word, *values):
        parsed = [float(value) if "." in value else int(value) for value in values if not value.isalpha()]
        self.settings[word] = values if not parsed else tuple(parsed) if len(parsed) > 1 else parsed[0]

    def group(self, kind, **told):
        told = {
            key: frozenset(value.split(","))
            if key in ("zones", "machines")
            else value
            if key == "dedup_scope"
            else float(value)
            if "util" in key
            else int(value)
            for key, value in told.items()
        }
        base = {
            "response_goal_us": SECOND,
            "goal_runtime_factor": 2.0,
            "time_limit_us": 10 * SECOND,
            "utility": 1.0,
        }
        self.groups.append(names.ServiceGroup(**{**base, "late_utility": 1.0, "kind": KINDS[kind], **told}))

    def engine(self, index, zone="a", machine="m", state="0", cell="0", started="0"):
        row = (int(index), zone, machine, int(cell), int(state), 1, int(started))
        self.round(("engine_list", names.LIST_DELTA, [row]))

    def list_only(self, *indices):
        rows = [(int(index), "a", "m", 0, 0, 1, 0) for index in indices]
        self.round(("engine_list", names.LIST_SNAPSHOT, rows))

    def destination(self, name, *engines, **limits):
        pool = EnginePool(name, Pool())
        pool.eligible = frozenset(map(int, engines))
        told = {
            key: units.PARSERS[Rate](value)
            if key == "rate"
            else float(value)
            if key == "further"
            else int(value)
            for key, value in limits.items()
        }
        limiters = (Limiter(Limit(name, route=name, **told), Meter()),) if told else ()
        self.destinations[name] = Destination(1, name, pool, limiters)

    def batch(self, name, group="0", key="-", left="10000", work="100", data_set="0", destination=None):
        self.batches.append(name)
        key = None if key == "-" else key
        self.round(
            (
                "batch_received",
                self.number(name),
                int(group),
                None,
                key,
                int(left) * 1000,
                int(work) * 1000,
                0,
                int(data_set),
                False,
                self.destinations.get(destination),
            )
        )

    def moved(self, name, destination):
        self.round(("batch_rerouted", self.number(name), self.destinations[destination]))

    def answer(self, name, outcome, latency="100"):
        batch, number, engine = self.dispatched(name)
        del self.flying[batch, number]
        done = outcome == names.RETURNED
        self.round(
            ("dispatch_finished", batch, number, engine, outcome, int(latency) * 1000, done, 0, 0, None)
        )

    def note(self, name, sort, level):
        batch, number, engine = self.dispatched(name)
        self.round(("engine_notice", batch, engine, int(sort), float(level), number))

    def leave(self, name):
        self.round(("batch_withdrawn", self.number(name)))

    def wait(self, milliseconds):
        for _ in range(int(milliseconds) // 25):
            self.now += 25_000
            self.round()

    def close(self):
        pass

    # What a scenario may claim; each fails with the claim's own line.
    def at(self, name, *engines):
        assert self.where(name) == [int(each) for each in engines], f"{name} is at {self.where(name)}"

    def out(self, name):
        assert self.where(name), f"{name} is not out"

    def held(self, name):
        assert not self.where(name) and not self.ended(name), f"{name}: {self.where(name)} {self.ended(name)}"

    def ends(self, name, how):
        assert self.ended(name) == [how], f"{name} ended {self.ended(name)}"

    def pause(self, name, least, most):
        told = [call[2] for call in self.calls if call[:2] == ("push_back", self.number(name))]
        assert int(least) * 1000 <= told[-1] <= int(most) * 1000, f"{name} may come back after {told}"

    def counts(self, destination, open, out):
        meter = self.destinations[destination].limiters[0].meter
        assert (meter.open_batches, meter.dispatches_in_flight) == (int(open), int(out)), (
            f"open {meter.open_batches}, out {meter.dispatches_in_flight}"
        )

    def priority(self, name, level):
        told = [call[2] for call in self.calls if call[:2] == ("set_resources", self.number(name))]
        assert told[-1:] == [int(level)], f"{name} went out at {told}"

    def wakes(self, within):
        assert self.now < self.woken <= self.now + int(within) * 1000, f"wakes at {self.woken}"

    def probes(self, number):
        assert sum(call[0] == "probe" for call in self.calls) == int(number)

    def cancelled(self, *batches):
        called = [self.batches[call[1]] for call in self.calls if call[0] == "cancel"]
        assert called == list(batches), f"cancelled {called}"


class Rig(Fleet):
    """A gateway in this process between stand-in engines, a stand-in directory and a client."""

    def __init__(self):
        super().__init__()
        self.answers, self.strangers, self.gateway, self.greenlets = {}, [], None, []
        self.ended, self.installation, self.client = False, None, None

    def set(self, path, value):
        part, name = path.split(".")
        self.settings.setdefault(part, {})[name] = orjson.loads(value)

    def asks_list(self):
        self.settings["discovery"] = "ask"

    def directory_silent(self, word):
        self.directory_drops_queries = word == "yes"

    def sockets(self, limit):
        self.socket_limit = int(limit)

    def down(self, name):
        self.engines[name].server.stop(0)

    def start(self):
        self.gateway = GatewayProcess(self.configuration(self.free_address()), self.installation)
        self.gateway.server.start()
        self.greenlets.append(gevent.spawn(self.gateway.run))
        self.connect()

    def free_address(self):
        self.listen = free_address()
        return "{}:{}".format(*self.listen)

    def connect(self):
        for _ in range(300):
            try:
                self.client = socket.create_connection(self.listen)
                break
            except ConnectionRefusedError:
                gevent.sleep(0.01)
        self.greenlets.append(gevent.spawn(self.read, self.client))

    def read(self, client):
        for line in client.makefile("rb"):
            message = orjson.loads(line)
            self.answers.setdefault(message["id"], []).append((monotonic(), message))
        self.ended = True

    def close(self):
        self.stop()
        for each in self.strangers:
            each.close()
        if self.client is not None:
            self.client.close()
        if self.gateway is not None:
            self.gateway.close()
        gevent.killall(self.greenlets)

    def raw(self, *words):
        self.client.sendall(" ".join(words).encode() + b"\n")

    def say(self, **message):
        self.raw(orjson.dumps({"jsonrpc": "2.0", **message}).decode())

    def call(self, number, group, patience="1000", key=None, nonce=None):
        params = {
            "trace": f"{int(number):016x}",
            "patience": int(patience),
            "weight": 100,
            "est_mb": 1,
            "data": b64encode(b"SELECT 1 FROM sales_3.orders").decode(),
        }
        if group in ("load", "book", "sum"):
            # As a client's last of a row says it: so much of its patience went by before it was written.
            row_ms = self.gateway_key_queue_drain_us(group) // 1000
            params |= {"entity": key or f"k{number}", "patience": int(patience) + row_ms}
        if group == "load":
            params |= {"nonce": nonce or f"n{number}"}
        self.say(id=int(number), method=group, params=params)

    def gateway_key_queue_drain_us(self, group):
        dispatcher, groups = build_dispatcher(1, self.settings)
        return dispatcher.key_queue_drain_us(groups[group])

    def calls(self, first, last, group):
        for number in range(int(first), int(last) + 1):
            self.call(number, group)

    def malformed(self, number, field, value):
        params = {"trace": f"{int(number):016x}", "patience": 500, "weight": 1, "est_mb": 1, "data": "U0VM"}
        params[field] = orjson.loads(value)
        self.say(id=int(number), method="look", params=params)

    def abort(self, number):
        self.say(method="abort", params={"id": int(number)})

    def closed(self):
        gevent.sleep(0.1)
        assert self.ended, "the connection is still open"

    def tears_deletes(self, name, times):
        self.engines[name].deletes_to_reset = int(times)

    def stranger(self, *pieces):
        """Another connection that sends these pieces; whoever reads it gets what came back, then an end."""
        link = socket.create_connection(self.listen)
        self.strangers.append(link)

        def send():
            with contextlib.suppress(OSError):
                for piece in pieces:
                    link.sendall(piece)

        self.greenlets.append(gevent.spawn(send))
        return link

    def hang_up(self):
        self.client.shutdown(socket.SHUT_RDWR)

    def partition(self, name):
        self.proxies[name].partition()

    def heal(self, name):
        self.proxies[name].heal()

    def apart(self, *groups):
        """No two batches of these groups ran at once at any engine; a scenario gives them one key."""
        runs = sorted(
            (begin, end, ticket, name)
            for name, engine in self.engines.items()
            for ticket, (group, begin, end) in engine.executions.items()
            if group in groups
        )
        for (_, end, *before), (begin, _, *after) in combinations(runs, 2):
            assert end <= begin or before[0] == after[0], f"{before} ran until {end}, {after} from {begin}"

    def rested(self, group, milliseconds):
        """That long between the end of that group's first query and the beginning of its last."""
        runs = sorted(
            run[1:]
            for engine in self.engines.values()
            for run in engine.executions.values()
            if run[0] == group
        )
        assert runs[-1][0] - runs[0][1] >= int(milliseconds) / 1000, f"rested {runs[-1][0] - runs[0][1]}"

    def stale_list(self, serial):
        self.serial = int(serial)

    def wait(self, milliseconds):
        gevent.sleep(int(milliseconds) / 1000)

    def answered(self, number, within="3000"):
        end = monotonic() + int(within) / 1000
        number = None if number == "null" else int(number)
        while number not in self.answers and monotonic() < end:
            gevent.sleep(0.005)
        gevent.sleep(0.02)  # a second answer would be one too many
        found = self.answers.get(number, [])
        assert len(found) == 1, f"{len(found)} answers to {number}"
        return found[0][1]

    def returned(self, number, pages="1", within="3000"):
        message = self.answered(number, within)
        wanted = "".join(f"a\tb\t{page}\n" for page in range(int(pages))).encode()
        assert b64decode(message.get("result", {}).get("data", "")) == wanted, f"answered {message}"

    def pushed_back(self, number, within="3000"):
        told = self.answered(number, within).get("error", {})
        assert told.get("code") == -32066 and 0 < told["data"]["pause"] <= 500, f"answered {told}"

    def errored(self, number, within="3000"):
        told = self.answered(number, within).get("error", {})
        assert told.get("code", -32066) != -32066, f"answered {told}"

    def healthy(self, number):
        assert self.answered(number)["result"] == {"healthy": True}

    def unanswered(self, number):
        assert int(number) not in self.answers, f"answered {self.answers[int(number)]}"

    def asked(self, name, verb, times):
        found = sum(each[0] == verb for each in self.engines[name].requests)
        assert found == int(times), f"{found} {verb} at {name}"

    def told(self, name, field, value):
        fields = next(each[2] for each in reversed(self.engines[name].requests) if each[0] == "POST")
        assert fields.get(field, "-") == value, f"{field} was {fields.get(field)}"

    def holds_no_memory(self):
        """No memory is counted for requests or results once all of them are answered."""
        memory, deadline = self.gateway.facade.memory, monotonic() + 2
        while memory.budget.used_bytes and monotonic() < deadline:
            gevent.sleep(0.01)
        assert not memory.budget.used_bytes, "memory is counted for requests that are not there"
        assert memory.large_results.counter == memory.budget.max_large_results

    def idle(self):
        """Nothing is open, and no connection is counted that is not there."""
        connection_pool, deadline = self.gateway.connection_pool, monotonic() + 2
        while True:
            held, kept = (
                connection_limits(self.socket_limit)[1] - connection_pool.slots.counter,
                sum(map(len, connection_pool.idle.values())),
            )
            if monotonic() > deadline or (held == kept and not len(self.gateway.facade.batches)):
                break
            gevent.sleep(0.01)
        assert not len(self.gateway.facade.batches), "a batch is still open"
        self.holds_no_memory()
        assert held == kept, f"{held} connections counted, {kept} there"


STAGES = {".play": Stage, ".wire": Rig}


@pytest.fixture
def rig():
    rig = Rig()
    yield rig
    rig.close()


def pytest_collect_file(parent, file_path: Path):
    return Scenarios.from_parent(parent, path=file_path) if file_path.suffix in STAGES else None


class Scenarios(pytest.File):
    def collect(self):
        title, lines = None, []
        for row in [*self.path.read_text().splitlines(), "=="]:
            if row.startswith("=="):
                if title:
                    yield Scenario.from_parent(self, name=title, lines=lines)
                title, lines = row.strip("= "), []
            elif row.split("#")[0].strip():
                lines.append(row.split("#")[0].split())


class Scenario(pytest.Item):
    def __init__(self, *, lines, **rest):
        super().__init__(**rest)
        self.lines = lines

    def runtest(self):
        stage = STAGES[self.path.suffix]()
        try:
            for word, *values in self.lines:
                self.play(stage, word, values)
        finally:
            stage.close()

    def play(self, stage, word, values):
        try:
            options = dict(value.split("=") for value in values if "=" in value)
            plain = [value for value in values if "=" not in value]
            getattr(stage, word)(*plain, **options)
        except AssertionError as fault:
            raise AssertionError(f"{' '.join([word, *values])}: {fault}") from None

    def reportinfo(self):
        return self.path, 0, self.name

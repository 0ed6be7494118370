"""A gateway process: assembly, the greenlets that run it, reload and shutdown."""

import gc
import traceback
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.pool import Group

from pathturn.core import interface as names
from pathturn.memory.buffers import BufferPool
from pathturn.memory.client_connections import ClientConnections
from pathturn.memory.connection_pool import ConnectionPool
from pathturn.memory.facade import Facade
from pathturn.memory.memory_budget import MemoryBudget
from pathturn.memory.stall_detector import STALL_THRESHOLD_US
from pathturn.process.clock import unix_clock
from pathturn.process.limits import (
    MAX_HALF_CLOSED,
    connection_limits,
    max_line_bytes,
    request_memory_bytes,
)
from pathturn.process.log import Log
from pathturn.process.settings import DEFAULT_ROUND_INTERVAL_US, build_dispatcher
from pathturn.wire import discovery_protocol
from pathturn.wire.client_connection import ClientConnection
from pathturn.wire.discovery_client import DiscoveryClient
from pathturn.wire.dispatch_executor import DispatchExecutor
from pathturn.wire.engine_connection import EngineConnection
from pathturn.wire.engine_processes import EngineProcesses
from pathturn.wire.listener import ClientListener
from pathturn.wire.processing_turns import ProcessingTurns

if TYPE_CHECKING:
    from pathturn.config.installation import Installation
    from pathturn.process.operator import Operator

PRUNE_INTERVAL_S = 0.25
# Half the threshold, so that no longer stall is missed. Shorter stalls are normal: with a fraction of a core
# the process gets no CPU for tens of milliseconds at a time.
HEARTBEAT_INTERVAL_S = STALL_THRESHOLD_US / 2 / 1e6
# The protocol's figures: batches still arrive for this long after SIGTERM. SIGKILL follows once the longest
# time limit of a service group has passed as well; limits longer than the maximum count as the maximum.
SHUTDOWN_GRACE_S = 0.7
MAX_TIME_LIMIT_S = 3.0
# Shares of the time left by which the batches are ended, their answers written, the connections closed by
# both sides, and the operator's part stopped.
BATCHES_ENDED_SHARE = 13 / 16
ANSWERS_WRITTEN_SHARE = 14 / 16
CONNECTIONS_CLOSED_SHARE = 15 / 16
OPERATOR_STOPPED_SHARE = 31 / 32
# Intervals allowed after such a wait has timed out: enough to read what has arrived, to run a round, and to
# write the answers.
INTERVALS_AFTER_TIMEOUT = 8
DEFAULT_ENGINE_IDLE_TIMEOUT_US = 1_000_000
DEFAULT_CONNECT_TIMEOUT_US = 250_000


class GatewayProcess:
    """One gateway with all its parts; `server.start()` makes it accept clients, `run()` serves them."""

    def __init__(self, config: dict[str, Any], installation: "Installation | None" = None) -> None:
        settings = config["settings"]
        self.clock = unix_clock()
        self.log = Log(config["name"], installation.log if installation else "plain")
        limits = settings.get("limits") or {}
        dispatcher, groups = build_dispatcher(int(config["seed"], 16), settings)
        client_limit, engine_limit = connection_limits(config["limits"]["sockets"])
        memory_mb = config["limits"]["memory_mb"]
        self.round_interval_s = (settings.get("stepUs") or DEFAULT_ROUND_INTERVAL_US) / 1e6
        self.facade = Facade(
            dispatcher,
            groups,
            self.clock,
            bool((settings.get("domain") or {}).get("costInAnswers")),
            self.log,
            MemoryBudget(request_memory_bytes(memory_mb, client_limit, engine_limit)),
        )
        self.max_line_bytes = max_line_bytes(memory_mb, client_limit)
        self.buffers = BufferPool()
        self.processing_turns = ProcessingTurns(self.clock)
        self.client_connections = ClientConnections(client_limit, MAX_HALF_CLOSED, self.clock)
        self.connection_pool = ConnectionPool(
            engine_limit,
            limits.get("idleCloseUs") or DEFAULT_ENGINE_IDLE_TIMEOUT_US,
            limits.get("dialTimeoutUs") or DEFAULT_CONNECT_TIMEOUT_US,
            self.clock,
            lambda endpoint, connect_timeout_s: EngineConnection(
                endpoint, connect_timeout_s, self.buffers, self.log
            ),
            self.log,
            EngineProcesses(self.clock, self.facade.engine_registry, self.facade.report_process_ended),
        )
        report = settings.get("report") or {}
        self.dispatch_executor = DispatchExecutor(
            self.facade,
            self.connection_pool,
            self.clock,
            report.get("fields") or [],
            bool(limits.get("secondCopies")),
        )
        self.stop_requested = Event()
        self.greenlets = Group()
        serial, rows = discovery_protocol.parse_initial_list(config["known"])
        self.facade.update_engines(names.LIST_CACHED, rows)
        self.directory_address = discovery_protocol.parse_address(config["names"])
        self.discovery_client = DiscoveryClient(
            self.facade,
            settings.get("discovery") == "ask",
            serial,
            lambda: self.connection_pool.retain(self.facade.engine_registry.endpoints),
            self.log,
        )
        self.operator: Operator | None = None
        if installation is not None:
            from pathturn.process import operator  # imported only if enabled, to save memory and start time

            self.operator = operator.Operator(
                installation, self.facade, settings, client_limit, self.clock, self.log
            )
        self.server = ClientListener(
            discovery_protocol.parse_address(config["listen"]), self._admit, self._serve_client
        )

    def run(self) -> None:
        """Serve until a stop is requested, then shut down; the server must have been started."""
        self.discovery_client.use_directory(self.directory_address)
        for task in (
            self._round_loop,
            self._heartbeat_loop,
            self._prune_loop,
            *(self.operator.background_tasks() if self.operator is not None else ()),
        ):
            self.greenlets.spawn(task)
        # Objects that exist by now live as long as the process: exempt them from garbage collection, which
        # would scan them in each of its full passes.
        gc.freeze()
        self.log("ready")
        self.stop_requested.wait()
        self._shut_down()

    def close(self) -> None:
        """End all that this gateway started, with nothing answered. For a process that goes on without it."""
        self.server.stop(0)
        self.greenlets.kill()
        self.discovery_client.stop()
        self.dispatch_executor.stop()
        self.connection_pool.close()
        self.client_connections.close_all("stopped")
        if self.operator is not None:
            self.operator.close()

    def reload(self, read_config: Callable[[], dict[str, Any]]) -> None:
        """Switch to the discovery address of the configuration read anew, on SIGHUP.

        Open batches are not affected. An unusable configuration, such as a file still being written, is
        logged and changes nothing.
        """
        try:
            address = discovery_protocol.parse_address(read_config()["names"])
        except Exception as fault:  # noqa: BLE001 - whatever is in that file, the gateway goes on serving
            self.log(f"reload code=unusable_{type(fault).__name__}")
            return
        self.log(f"reload code=ok names={address[0]}:{address[1]}")
        if address != self.directory_address:
            self.directory_address = address
            self.discovery_client.use_directory(address)

    def _round_loop(self) -> None:
        """Run one round for all events that arrive within the round interval of the settings."""
        while True:
            self.facade.wait_for_work()
            # After a stall the event loop runs its timers before it reads the sockets. A round run at once
            # would miss the engines' responses and treat every engine as silent. The second sleep lets the
            # greenlets that were woken to read finish first.
            gevent.sleep(self.round_interval_s)
            gevent.sleep(0)
            try:
                self.facade.run_round()
            except Exception:  # noqa: BLE001 - the other batches must be answered whatever went wrong
                self.log("round failed: " + traceback.format_exc().replace("\n", " | "))

    def _admit(self, client_socket: socket.socket, peer: tuple[str, int]) -> ClientConnection | None:
        connection = ClientConnection(
            client_socket,
            self.facade,
            self.dispatch_executor.send,
            self.buffers,
            lambda: not self.stop_requested.is_set(),
            self.max_line_bytes,
            self.processing_turns,
        )
        if self.client_connections.admit(connection):
            return connection
        self.log(f"client {peer[0]}:{peer[1]} batches=0 code=connection_limit")
        return None

    def _serve_client(self, connection: ClientConnection, peer: tuple[str, int]) -> None:
        code = connection.serve()
        self.client_connections.remove(connection)
        self.log(f"client {peer[0]}:{peer[1]} batches={connection.batches_received} code={code}")

    def _heartbeat_loop(self) -> None:
        while True:
            self.facade.stalls.heartbeat()
            gevent.sleep(HEARTBEAT_INTERVAL_S)

    def _prune_loop(self) -> None:
        while True:
            gevent.sleep(PRUNE_INTERVAL_S)
            self.connection_pool.prune()
            self.client_connections.prune()

    def _shut_down(self) -> None:
        """Answer every open batch before the SIGKILL that follows; batches with later deadlines end early."""
        self.log("stopping")
        left_s = min(
            MAX_TIME_LIMIT_S, max(group.time_limit_us for group in self.facade.groups.values()) / 1e6
        )
        operator_end_us = self.clock() + int((SHUTDOWN_GRACE_S + OPERATOR_STOPPED_SHARE * left_s) * 1e6)
        if self.operator is not None:
            self.operator.begin_stop()
        gevent.sleep(SHUTDOWN_GRACE_S)
        self._close_listener()
        self.facade.stop(int(BATCHES_ENDED_SHARE * left_s * 1e6))
        self._wait_while(
            ANSWERS_WRITTEN_SHARE * left_s, lambda: len(self.facade.batches) or self.client_connections.busy()
        )
        self.client_connections.half_close_all("stopped")
        self._wait_while(
            (CONNECTIONS_CLOSED_SHARE - ANSWERS_WRITTEN_SHARE) * left_s, lambda: len(self.client_connections)
        )
        if self.operator is not None:
            self.operator.finish_stop((operator_end_us - self.clock()) / 1e6)
        self.log(f"stopped open={len(self.facade.batches)} clients={len(self.client_connections)}")

    def _close_listener(self) -> None:
        try:
            self.server.accept_pending_and_close()
        except OSError as fault:
            self.log(f"listener code=lost_{type(fault).__name__}")

    def _wait_while(self, timeout_s: float, condition: Callable[[], object]) -> None:
        """Wait until the condition is false, checking it once an interval, or until the timeout."""
        with gevent.Timeout(timeout_s, False):
            while True:
                # First, since connections just accepted have not been read yet.
                gevent.sleep(self.round_interval_s)
                if not condition():
                    return
        # After a stall the timeout fires before the sockets are read, so the condition may be outdated.
        for _ in range(INTERVALS_AFTER_TIMEOUT):
            if not condition():
                return
            gevent.sleep(self.round_interval_s)

"""The platform's planner as a process: startup, reload and graceful shutdown.

``driver`` runs the core; ``client_connections``, ``machine_connections`` and ``node_watch`` own the sockets;
``actions`` carries out the core's actions. This module makes no decisions about tasks.
"""

from __future__ import annotations

import gc
import time
from typing import Any

import gevent
from gevent.event import Event as Flag

from ..planner.clock import now_us
from ..rpc import address
from . import config, descriptors
from . import events as ev
from .actions import ActionExecutor
from .client_connections import ClientConnections
from .core import Core
from .driver import SOCKET_POLL_S, CoreDriver
from .event_log import EventLog
from .logs import log
from .machine_connections import MachineConnections
from .messages import ProtocolError
from .node_list import NodeList, NodeListUpdate
from .node_watch import NodeWatch
from .reload import ConfigInForce

LISTEN_BACKLOG = 1024
LISTEN_TIMEOUT_S = 8.0  # a restarted process is to be ready within 10 s
NODE_LIST_CATCH_UP_S = 1.5  # maximum wait at startup: the service sends its revision each second
# After this time without data from the node list service, all earlier updates count as received: the service
# sends them at once. It must be far less than ``drain_grace_us``.
NODE_LIST_QUIET_S = 0.1
RELOAD_RETRY_S = 0.1  # wait before a file that cannot be used is read again
MAX_RELOAD_READS = 10
SHUTDOWN_TIMEOUT_S = 60.0
SHUTDOWN_POLL_S = 0.02
CLIENT_CLOSE_TIMEOUT_S = 0.3
MAX_CONFIRMATION_WAIT_US = 500_000  # the longest wait for machines to confirm releases, at a shutdown
CONFIRMATION_MARGIN_US = 600_000  # left until SIGKILL for the closing of the connections
MACHINE_CLOSE_TIMEOUT_S = 0.2  # wait for machines to close connections that the planner has half-closed
# Placement requests may arrive until 0.6 s after SIGTERM. The shutdown waits until this long after SIGTERM
# for the rest of a message that has arrived in part.
PARTIAL_MESSAGE_GRACE_US = 1_200_000
# Thresholds of the garbage collector that make collections rare; objects allocated at startup are frozen.
GC_THRESHOLDS = (20_000, 20, 50)


def read_clocks() -> tuple[int, int]:
    """Return Unix time and the planner's monotonic time, both in microseconds."""
    return time.time_ns() // 1000, now_us()


class Service:
    """One planner process: its configuration, core and connections."""

    def __init__(self, path: str) -> None:
        """Load the configuration file at ``path``. Raises ConfigError."""
        self.path = path
        loaded = config.load(path)
        node_types = tuple(node_type.name for node_type in loaded.settings.node_types)
        self.node_list = NodeList(loaded.zones, node_types, read_clocks)
        sockets = descriptors.usable_descriptors(loaded.sockets, descriptors.process_limit())
        self.core = _make_core(loaded, sockets)
        self.driver = CoreDriver(self.core)
        enqueue = self.driver.enqueue
        count = self.core.loop.count
        self.active_config = ConfigInForce(loaded, self.node_list, enqueue, count)
        self.node_watch = NodeWatch(self.node_list, loaded.node_list_address, enqueue, count)
        self.node_watch.must_wait = self.driver.queue.must_wait_for_node_list
        # Clients get two fifths of the descriptors, machines half; the process itself uses the rest.
        self.clients = ClientConnections(self.driver, self.core.sessions, sockets * 2 // 5)
        self.core.sessions.has_unread = self.clients.has_unread
        self.core.sessions.is_delivered = self.clients.is_delivered
        self.machines = MachineConnections(self.driver, self.core, loaded.dial_timeout_us)
        self.executor = ActionExecutor(
            self.core, self.clients, self.machines, self.node_watch, self.active_config.confirm
        )
        self.driver.executor = self.executor
        self.event_log = EventLog(self._machine_of)
        self.driver.record_all = self.event_log.record_all
        self.executor.on_incident = self.event_log.write
        self.listen_address = ""  # the address for clients; empty until the process listens
        self._stop_requested = Flag()
        self._stop_requested_at = 0
        self._reload_count = 0

    def _machine_of(self, link: int) -> str:
        known = self.core.links.links.get(link)
        machine = self.core.links.machines.get(known.machine) if known is not None else None
        return machine.name if machine is not None else ""

    def write_events(self) -> None:
        """Write the last events to the log."""
        self.event_log.write("signal")

    @property
    def config(self) -> config.Config:
        """The configuration in force."""
        return self.active_config.config

    def run(self) -> int:
        """Serve until ``stop`` is called; return the exit code. Raises ConfigError."""
        known = self._known_updates()
        listener, self.listen_address = address.listen_when_possible(
            self.config.listen, LISTEN_BACKLOG, LISTEN_TIMEOUT_S
        )
        self._start(known)
        self._wait_for_node_list()
        accepting = gevent.spawn(self.clients.accept, listener)
        self.active_config.log_start()
        log(
            "serves",
            name=self.config.name,
            listen=self.listen_address,
            machines=len(self.core.links.machines),
        )
        self._stop_requested.wait()
        tasks = self.core.tasks
        log("shutting down", open=tasks.open_count, standing=len(tasks.by_id))
        self._finish_requests()
        accepting.kill()
        listener.close()
        self._close_clients()
        log("shut down", unusable_entries=self.node_list.unusable_entries, **self.core.counts)
        return 0

    def stop(self) -> None:
        """Begin the graceful shutdown: all open tasks are answered, then ``run`` returns."""
        self._stop_requested_at = self._stop_requested_at or now_us()
        self._stop_requested.set()

    def reload(self) -> None:
        """Read the configuration file again and apply its settings and the node list service's address.

        The file may be read while it is being written. So an unreadable file is read again for a second, and
        then rejected; settings and address stay as they are.
        """
        self._reload_count += 1
        reload_number = self._reload_count
        for remaining in reversed(range(MAX_RELOAD_READS)):
            try:
                file = config.read(self.path)
                node_list_address = config.parse_node_list_address(file.value)
            except config.ConfigError as error:
                if not remaining:
                    self.active_config.reject(error)
                    return
                gevent.sleep(RELOAD_RETRY_S)
                if reload_number != self._reload_count:
                    return  # a later call of ``reload`` reads the file
            else:
                self.node_watch.set_address(node_list_address)
                self.active_config.apply(file)
                return

    # Startup

    def _known_updates(self) -> list[NodeListUpdate]:
        """Apply the node list updates in the configuration file; return them. Raises ConfigError."""
        known = []
        for value in self.config.known_updates:
            update = self._known_update(value)
            if update is not None:
                known.append(update)
        return known

    def _known_update(self, value: dict[str, Any]) -> NodeListUpdate | None:
        try:
            return self.node_list.apply(value)[0]
        except (ProtocolError, AttributeError) as error:
            raise config.ConfigError(str(error), key="known", value=value) from None

    def _start(self, known: list[NodeListUpdate]) -> None:
        self.executor.execute_all(self.core.start(now_us(), known))
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        self.driver.start()
        gevent.spawn(self.node_watch.run)

    def _wait_for_node_list(self) -> None:
        """Wait until the node list service has sent the updates published since the file was written.

        The updates in the file (``known``) are older than the process. Later ones, which may contain drains,
        come with the service's first lines, and a task placed before that may go to a draining machine. So
        clients' connections are accepted only afterwards, or after ``NODE_LIST_CATCH_UP_S``: a service that
        sends nothing must not keep the planner from serving.
        """
        deadline_s = time.monotonic() + NODE_LIST_CATCH_UP_S
        while not self._stop_requested.is_set() and (now_s := time.monotonic()) < deadline_s:
            received_s = self.node_watch.last_received_s
            quiet_s = now_s - received_s if received_s else 0.0
            if quiet_s >= NODE_LIST_QUIET_S:
                return
            gevent.sleep(min(NODE_LIST_QUIET_S - quiet_s, deadline_s - now_s))
        self.core.loop.count("started_without_node_list")

    # Shutdown

    def _finish_requests(self) -> None:
        """Serve until all tasks are answered, then close the connections to machines."""
        self.driver.enqueue(ev.ShutdownRequested(self._stop_requested_at))
        with gevent.Timeout(SHUTDOWN_TIMEOUT_S, False):  # type: ignore[arg-type]
            while not self._is_done():
                self.driver.enqueue(ev.TimerDue())
                gevent.sleep(SHUTDOWN_POLL_S)
            self._await_confirmations()
            self._close_machines()
            while not self._is_done():  # a client may have connected while machines' connections were closed
                gevent.sleep(SHUTDOWN_POLL_S)

    def _is_done(self) -> bool:
        """Return whether all requests are answered.

        Requests in the event queue, and those still unread in a socket, must be answered too. So the sockets
        are polled twice more, and the result is False if that brings an event.
        """
        queue = self.driver.queue
        shutdown = self.core.shutdown
        if queue or not shutdown.is_done():
            return False
        # The rest of a placement request that has arrived in part is awaited for a limited time, as it may
        # never arrive.
        if self.clients.has_partial_message() and now_us() < shutdown.requested_at + PARTIAL_MESSAGE_GRACE_US:
            return False
        for _ in range(2):
            gevent.sleep(SOCKET_POLL_S)
            gevent.sleep(0)
        return not queue and shutdown.is_done()

    def _await_confirmations(self) -> None:
        """Give machines time to confirm releases: a lost release would never be sent again."""
        latest_us = self.core.shutdown.killed_at - CONFIRMATION_MARGIN_US
        end_us = min(now_us() + MAX_CONFIRMATION_WAIT_US, latest_us)
        while now_us() < end_us and self.core.links.releases.awaits_confirmation():
            self.driver.enqueue(ev.TimerDue())
            gevent.sleep(SHUTDOWN_POLL_S)

    def _close_machines(self) -> None:
        """Close the connections to machines before those to clients, and wait until they are closed.

        If clients' connections were closed first, a machine's message about a running task could be received
        and no longer be forwarded. A machine without a connection keeps the message and sends it to the
        planner's next incarnation.
        """
        self.driver.enqueue(ev.MachinesClosing())
        with gevent.Timeout(MACHINE_CLOSE_TIMEOUT_S, False):  # type: ignore[arg-type]
            while self.driver.queue or not self.machines.are_closed():
                gevent.sleep(SOCKET_POLL_S)

    def _close_clients(self) -> None:
        """Close clients' connections and wait for it; a plain exit could reset them before answers arrive."""
        self.clients.close_all()
        with gevent.Timeout(CLIENT_CLOSE_TIMEOUT_S, False):  # type: ignore[arg-type]
            while not self.clients.are_closed():
                gevent.sleep(SHUTDOWN_POLL_S)


def _make_core(loaded: config.Config, sockets: int) -> Core:
    core = Core(
        loaded.settings,
        loaded.fields,
        loaded.seed,
        sockets,
        loaded.dial_timeout_us,
        loaded.handshake_price > 0,
        loaded.idle_us,
        loaded.tenants,
    )
    core.survives_faults = True
    return core

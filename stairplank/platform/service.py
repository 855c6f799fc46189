"""The platform's planner as a process, from its first connection to its graceful shutdown.

``driver`` runs the core, ``client_connections``, ``machine_connections`` and ``node_watch`` have the sockets,
``actions`` carries out what the core wants done. Nothing here decides on tasks.
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
from .logs import log
from .machine_connections import MachineConnections
from .messages import ProtocolError
from .node_list import NodeList, NodeListUpdate
from .node_watch import NodeWatch
from .reload import ConfigInForce

LISTEN_BACKLOG = 1024
NODE_LIST_CATCH_UP_S = 1.5  # the node list service sends its revision each second
NODE_LIST_QUIET_S = 0.1  # it sends all later updates at once: well under the grace of drains
RELOAD_RETRY_S = 0.1  # between reads of a file that cannot be used
MAX_RELOAD_READS = 10
SHUTDOWN_TIMEOUT_S = 60.0
SHUTDOWN_POLL_S = 0.02
CLIENT_CLOSE_TIMEOUT_S = 0.3
MACHINE_CLOSE_TIMEOUT_S = 0.2  # for machines to close what we have closed
# Placement requests arrive for 0.6 s after SIGTERM; one that has begun by then is awaited so long after it.
PARTIAL_MESSAGE_GRACE_US = 1_200_000
# Of the garbage collector: collections are rare, and what is allocated at the start is left out of them.
GC_THRESHOLDS = (20_000, 20, 50)


def read_clocks() -> tuple[int, int]:
    """Return Unix time and the planner's own, in microseconds."""
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
        # Clients have two fifths of the descriptors; half is for machines, the rest is the process's own.
        self.clients = ClientConnections(self.driver, self.core.sessions, sockets * 2 // 5)
        self.core.sessions.has_unread = self.clients.has_unread
        self.machines = MachineConnections(self.driver, self.core, loaded.dial_timeout_us)
        self.executor = ActionExecutor(
            self.core, self.clients, self.machines, self.node_watch, self.active_config.confirm
        )
        self.driver.executor = self.executor
        self.listen_address = ""  # where clients connect, once it listens
        self._stop_requested = Flag()
        self._stop_requested_at = 0
        self._reload_count = 0

    @property
    def config(self) -> config.Config:
        """The configuration in force."""
        return self.active_config.config

    def run(self) -> int:
        """Serve until ``stop``; return the exit code. Raises ConfigError."""
        known = self._known_updates()
        listener, self.listen_address = address.listen(self.config.listen, LISTEN_BACKLOG)
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
        """Shut down gracefully: answer what is owed, then end ``run``."""
        self._stop_requested_at = self._stop_requested_at or now_us()
        self._stop_requested.set()

    def reload(self) -> None:
        """Apply the file's settings and the node list service's address; keep both if it cannot be read.

        Danger: read as it is being written, it would never be applied; so it is read again for a second.
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
                    return  # a later signal reads it
            else:
                self.node_watch.set_address(node_list_address)
                self.active_config.apply(file)
                return

    # Startup

    def _known_updates(self) -> list[NodeListUpdate]:
        """Apply the node list updates that the configuration file has. Raises ConfigError."""
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
        """Wait until the node list service has sent the updates that came since the file was written.

        Danger: ``known`` was written before the process had loaded; later updates, drains among them, come
        with the list service's first lines, and a task placed before them may go to a machine that drains.
        Connections wait unaccepted meanwhile, not longer than the service may be silent: one that never sends
        must not keep a planner out of service.
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
        """Serve until no answer is owed, then close the connections to machines."""
        self.driver.enqueue(ev.ShutdownRequested(self._stop_requested_at))
        with gevent.Timeout(SHUTDOWN_TIMEOUT_S, False):  # type: ignore[arg-type]
            while not self._is_done():
                self.driver.enqueue(ev.TimerDue())
                gevent.sleep(SHUTDOWN_POLL_S)
            self._close_machines()
            while not self._is_done():  # a connection that was accepted meanwhile
                gevent.sleep(SHUTDOWN_POLL_S)

    def _is_done(self) -> bool:
        """Return whether no answer is owed.

        Danger: what has been read and waits its turn is owed an answer as well, and so is what still lies
        in a socket: the turns look at those until nothing comes.
        """
        queue = self.driver.queue
        shutdown = self.core.shutdown
        if queue or not shutdown.is_done():
            return False
        # Danger: of a placement request that has begun to arrive the rest is on its way. When it does harm:
        # one that never arrives delays the shutdown, so not for long.
        if self.clients.has_partial_message() and now_us() < shutdown.requested_at + PARTIAL_MESSAGE_GRACE_US:
            return False
        for _ in range(2):
            gevent.sleep(SOCKET_POLL_S)
            gevent.sleep(0)
        return not queue and shutdown.is_done()

    def _close_machines(self) -> None:
        """Close the connections to machines, and wait until they are closed.

        Danger: once clients' connections are closed, what a machine reports of a running task is received
        here and forwarded to nobody. Sent on no connection, it comes on the next that opens, to the next
        incarnation.
        """
        self.driver.enqueue(ev.MachinesClosing())
        with gevent.Timeout(MACHINE_CLOSE_TIMEOUT_S, False):  # type: ignore[arg-type]
            while self.driver.queue or not self.machines.are_closed():
                gevent.sleep(SOCKET_POLL_S)

    def _close_clients(self) -> None:
        """Wait until the last answers are sent: a plain exit may reset what is on its way."""
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

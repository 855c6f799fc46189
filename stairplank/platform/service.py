"""The platform's planner as a process: its life from the first connection to the last answer.

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
from .messages import Unreadable
from .node_list import NodeList, NodeListUpdate
from .node_watch import NodeWatch
from .reload import ConfigInForce

LISTEN_BACKLOG = 1024
NODE_LIST_CATCH_UP_S = 1.5  # the node list service sends its revision each second
NODE_LIST_QUIET_S = 0.1  # it sends at once all later updates: well under the grace that drains have
RELOAD_RETRY_S, MAX_RELOAD_READS = 0.1, 10  # between looks at a file that cannot be used, and how many
SHUTDOWN_TIMEOUT_S = 60.0
SHUTDOWN_POLL_S = 0.02
CLIENT_CLOSE_TIMEOUT_S = 0.3
MACHINE_CLOSE_TIMEOUT_S = 0.2  # for machines to close what we have closed
PARTIAL_MESSAGE_GRACE_US = (
    1_200_000  # after SIGTERM set-ups come for 0.6 s; one that has begun by then is waited for so long
)


def read_clocks() -> tuple[int, int]:
    """Unix time and our own, in microseconds."""
    return time.time_ns() // 1000, now_us()


class Service:
    """One life of a planner, by the configuration file at ``path``."""

    def __init__(self, path: str) -> None:
        self.path = path
        c = config.load(path)
        kinds = tuple(k.name for k in c.settings.node_types)
        self.node_list = NodeList(c.zones, kinds, read_clocks)
        priced = c.handshake_price > 0
        dial_us = c.dial_timeout_us
        sockets = descriptors.usable_descriptors(c.sockets, descriptors.process_limit())
        self.core = Core(c.settings, c.fields, c.seed, sockets, dial_us, priced, c.idle_us, c.tenants)
        self.core.survives_faults = True
        self.driver = CoreDriver(self.core)
        self.active_config = ConfigInForce(c, self.node_list, self.driver.enqueue, self.core.loop.count)
        self.node_watch = NodeWatch(
            self.node_list, c.node_list_address, self.driver.enqueue, self.core.loop.count
        )
        # Clients hold a third of the descriptors; half is for machines, the rest is ours.
        self.clients = ClientConnections(self.driver, self.core.sessions, sockets * 2 // 5)
        self.core.sessions.has_unread = self.clients.has_unread
        self.machines = MachineConnections(self.driver, self.core, dial_us)
        self.executor = ActionExecutor(
            self.core, self.clients, self.machines, self.node_watch, self.active_config.confirm
        )
        self.driver.executor = self.executor
        self.listen_address = ""  # it listens there
        self._stop_requested = Flag()
        self._stop_requested_at = 0
        self._reload_count = 0

    @property
    def config(self) -> config.Config:
        """The configuration in force."""
        return self.active_config.config

    def run(self) -> int:
        """Serve until ``stop``; the exit code."""
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
        log("leaves", open=tasks.open_count, standing=len(tasks.by_id))
        self._finish_requests()
        accepting.kill()
        listener.close()
        self._close_clients()
        log("has left", unusable_entries=self.node_list.unusable_entries, **self.core.counts)
        return 0

    def stop(self) -> None:
        """Leave: answer what is owed, then end ``run``."""
        self._stop_requested_at = self._stop_requested_at or now_us()
        self._stop_requested.set()

    def reload(self) -> None:
        """Take the file's settings and the node list service's address; a file that cannot be read changes
        nothing.

        Danger: read as it is being written, it would never be taken; so it is looked at again for a second.
        """
        self._reload_count += 1
        mine = self._reload_count
        for left in reversed(range(MAX_RELOAD_READS)):
            try:
                file = config.read(self.path)
                found = config.parse_node_list_address(file.value)
            except config.ConfigError as error:
                if not left:
                    self.active_config.reject(error)
                    return
                gevent.sleep(RELOAD_RETRY_S)
                if mine != self._reload_count:
                    return  # a later signal looks
            else:
                self.node_watch.set_address(found)
                self.active_config.apply(file)
                return

    # Start

    def _known_updates(self) -> list[NodeListUpdate]:
        """The node list updates that the configuration file has. Raises ConfigError."""
        known = []
        for value in self.config.known_updates:
            update = self._known_update(value)
            if update is not None:
                known.append(update)
        return known

    def _known_update(self, value: dict[str, Any]) -> NodeListUpdate | None:
        try:
            return self.node_list.apply(value)[0]
        except (Unreadable, AttributeError) as error:
            raise config.ConfigError(f"known: {error}") from None

    def _start(self, known: list[NodeListUpdate]) -> None:
        self.executor.execute_all(self.core.start(now_us(), known))
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 50)
        self.driver.start()
        gevent.spawn(self.node_watch.run)

    def _wait_for_node_list(self) -> None:
        """Danger: ``known`` was written before the process had loaded; later updates, drains among them, come
        with the list service's first lines, and a task placed before them may go to a machine that leaves.
        Connections wait unaccepted meanwhile, not longer than the service may be silent: one that never sends
        must not keep a planner out of service.
        """
        until = time.monotonic() + NODE_LIST_CATCH_UP_S
        while not self._stop_requested.is_set() and (now := time.monotonic()) < until:
            quiet = now - self.node_watch.last_received_s if self.node_watch.last_received_s else 0.0
            if quiet >= NODE_LIST_QUIET_S:
                return
            gevent.sleep(min(NODE_LIST_QUIET_S - quiet, until - now))
        self.core.loop.count("began_without_board")

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
        """Danger: what has been read and waits its turn is owed an answer as well, and so is what still lies
        in a socket: the turns look at those until nothing comes."""
        queue, shutdown = self.driver.queue, self.core.shutdown
        if queue or not shutdown.is_done():
            return False
        # Danger: of a set-up that has begun to come the rest is on its way. When it does harm: one that never
        # comes keeps us, so not for long.
        if self.clients.has_partial_message() and now_us() < shutdown.leaving_at + PARTIAL_MESSAGE_GRACE_US:
            return False
        for _ in range(2):
            gevent.sleep(SOCKET_POLL_S)
            gevent.sleep(0)
        return not queue and shutdown.is_done()

    def _close_machines(self) -> None:
        """Danger: once clients' connections have gone, what a machine reports of a task that stands is
        received here and forwarded to nobody. Sent on no connection, it comes on the next that opens, to the
        next life."""
        self.driver.enqueue(ev.MachinesClosing())
        with gevent.Timeout(MACHINE_CLOSE_TIMEOUT_S, False):  # type: ignore[arg-type]
            while self.driver.queue or not self.machines.are_closed():
                gevent.sleep(SOCKET_POLL_S)

    def _close_clients(self) -> None:
        """The last answers leave: a plain exit may reset what is under way."""
        self.clients.close_all()
        with gevent.Timeout(CLIENT_CLOSE_TIMEOUT_S, False):  # type: ignore[arg-type]
            while not self.clients.are_closed():
                gevent.sleep(SHUTDOWN_POLL_S)

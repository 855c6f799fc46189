"""The planner's process: greenlets, clock and signals. Passes events to the core and carries out its actions.

Each client stream (``placement_service``) and node stream (``node_connection``) has a greenlet that reads
it; one more greenlet waits for timers and another watches the node list (``node_list_watch``). No greenlet
yields during a turn of the core, so the core needs no locks. After a stall of the process, everything that
has arrived is read before the core decides. The core then handles it as one batch: messages of nodes and of
the node list first, then overdue timers, then messages of clients.
"""

from __future__ import annotations

import gc
import os
import signal
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import gevent
import structlog
from gevent.event import Event as Flag

from ..configuration.changes import ConfigurationChanges, compare_configurations
from ..configuration.planner_configuration import watch_configuration
from ..configuration.revision import NO_REVISION, Revision
from ..proto import server_methods
from ..proto.standard import Health, Reflection
from ..rpc import Server
from ..settings import PlannerConfig
from . import events as ev
from .clock import now_us
from .core import Core
from .live_settings import core_config, prepare_config, server_limits
from .node_connections import NodeConnections
from .node_list_watch import NodeListWatch
from .placement_service import PlacementService
from .services import PLACEMENT_SERVICE
from .stall_detector import StallDetector

SHUTDOWN_MARGIN_US = 1_000_000  # time after stop-grace in which the core sends its last answers
SHUTDOWN_POLL_S = 0.01
CLOSE_TIMEOUT_S = 1.0
GC_THRESHOLDS = (20_000, 20, 50)


class Daemon:
    """Runs one planner on real sockets."""

    def __init__(self, config: PlannerConfig, revision: Revision = NO_REVISION) -> None:
        """Build the planner; ``revision`` is the revision of the site's configuration in ``config``."""
        self.config = config
        self.position = config.settings.position
        self.incarnation = int.from_bytes(os.urandom(8), "big") >> 1 or 1
        self.log = structlog.get_logger("planner").bind(planner=self.position)
        seed = config.seed if config.seed is not None else self.incarnation
        self.core = Core(config.settings, core_config(config), self.incarnation, seed)
        self.placement_service = PlacementService(self)
        self.node_connections = NodeConnections(self)
        self.node_list_watch = NodeListWatch(self)
        self._action_handlers = self._handlers_by_action()
        self.health = Health((PLACEMENT_SERVICE.full_name,))
        self.server = self._make_server()
        self.core_ns = 0  # nanoseconds spent in the core and the decision module
        self._queue: deque[ev.Event] = deque()
        self._in_turn = False
        self.stall_detector = StallDetector(self._queue, self._resume_after_stall)
        self._timer_changed = Flag()
        self._timer_due: int | None = None  # the due time that the timer greenlet waits for
        self._stop = Flag()
        self.configuration = watch_configuration(self, revision)

    def _make_server(self) -> Server:
        names = (PLACEMENT_SERVICE.full_name, "grpc.health.v1.Health", "grpc.reflection.v1.ServerReflection")
        served = {
            **server_methods(PLACEMENT_SERVICE, Place=self.placement_service.place),
            **self.health.methods(),
            **Reflection(names).methods(),
        }
        return Server(self.config.listen, served, server_limits(self.config))

    # Start and shutdown

    @property
    def is_shutting_down(self) -> bool:
        """Return whether the process is shutting down and accepts no new streams."""
        return self.server.draining

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT. Returns the exit code: 0 after a graceful shutdown, else 1."""
        handlers = [gevent.signal_handler(number, self.stop) for number in (signal.SIGTERM, signal.SIGINT)]
        self.start()
        # Objects made at start-up live as long as the process, so they are frozen out of garbage collection.
        # The thresholds make collections of short-lived messages rare, because each one delays answers.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        self._stop.wait()
        clean = self._shut_down()
        for handler in handlers:
            handler.cancel()
        return 0 if clean else 1

    def start(self) -> None:
        """Listen, and start the core and the greenlets. Returns at once."""
        self.server.start()
        self.log.info("planner starts", listen=list(self.server.addresses), life=self.incarnation)
        self._carry_out(self.core.start(now_us()))
        gevent.spawn(self._run_timer)
        self.stall_detector.start()
        self.configuration.start()

    def stop(self) -> None:
        """Make ``run`` shut the planner down and return."""
        self._stop.set()

    def _shut_down(self) -> bool:
        """Accept no new streams, answer every open request and close all connections.

        Takes at most stop-grace plus two seconds. Returns whether every request was answered and every stream
        closed in time.
        """
        self.log.info("planner leaves", owed=self.core.requests.open_tasks)
        self.health.set(False)
        self.configuration.stop()
        self.server.drain()
        self.handle(ev.ShutdownRequested())
        deadline = now_us() + self.config.shutdown_grace_us + SHUTDOWN_MARGIN_US
        while not self.core.finished and now_us() < deadline:
            gevent.sleep(SHUTDOWN_POLL_S)
        self.placement_service.close_sessions()
        clean = self.server.stop(CLOSE_TIMEOUT_S)
        self.node_connections.close_all()
        self.log.info("planner has left", owed=self.core.requests.open_tasks, **self.core.counts)
        return self.core.finished and clean

    # Settings

    def prepare_site(self, text: str, name: str) -> PlannerConfig:
        """Return this planner's configuration with the site's text applied; errors cite ``name`` as its file.

        Changes nothing, and may run in another thread. Raises SettingsError and RestartRequiredError.
        """
        return prepare_config(self.config, text, name)

    def apply_site(self, config: PlannerConfig) -> ConfigurationChanges:
        """Put a prepared configuration into force. Returns the changes. Raises RestartRequiredError."""
        # Compared again: another configuration may have come into force since this one was prepared, and the
        # change from that one may need a restart.
        changes = compare_configurations(self.config, config)
        changes.raise_if_restart_required()
        if changes.is_empty:
            return changes
        self.config = config
        self.server.limits = server_limits(config)
        self.placement_service.settings_changed()
        self.handle(ev.SettingsChanged(config.settings, core_config(config)))
        self.log.info("settings changed", keys=list(changes.keys))
        return changes

    # Turns of the core

    def handle(self, event: ev.Event) -> None:
        """Have the core handle an event and carry out its actions.

        The event is queued if a turn is in progress or the process has stalled.
        """
        self._queue.append(event)
        if self._in_turn or self.stall_detector.is_stalled():
            return
        self._in_turn = True
        try:
            while self._queue:
                started_ns = time.perf_counter_ns()
                actions = self.core.handle(now_us(), self._queue.popleft())
                self.core_ns += time.perf_counter_ns() - started_ns
                self._carry_out(actions)
        finally:
            self._in_turn = False
        due = self.core.next_due()
        if due is not None and (self._timer_due is None or due < self._timer_due):
            self._timer_changed.set()

    def enqueue(self, event: ev.Event) -> None:
        """Queue an event for the turn in progress, or for the next turn."""
        self._queue.append(event)

    def run_queued(self) -> None:
        """Handle the queued events, unless a turn is in progress that will handle them."""
        if not self._in_turn:
            self.handle(ev.TimerDue())

    def _resume_after_stall(self, stalled_us: int) -> None:
        """Handle as one batch the events that were read after a stall of ``stalled_us``."""
        events = list(self._queue)
        self._queue.clear()
        self.log.info("stood still", ms=stalled_us // 1000, came=len(events))
        self._in_turn = True
        try:
            self._carry_out(self.core.handle_after_stall(now_us(), events))
        finally:
            self._in_turn = False
        self.handle(ev.TimerDue())

    def _run_timer(self) -> None:
        """Give the core a turn whenever one of its timers is due."""
        while True:
            due = self.core.next_due()
            self._timer_due = due
            self._timer_changed.clear()
            wait_s = None if due is None else max(0, due - now_us()) / 1e6
            if not self._timer_changed.wait(wait_s):
                self.handle(ev.TimerDue())

    def _carry_out(self, actions: list[ev.Action]) -> None:
        for action in actions:
            self._action_handlers[type(action)](action)

    def _handlers_by_action(self) -> dict[type, Callable[[Any], object]]:
        nodes = self.node_connections
        return {
            ev.SendToClient: self.placement_service.send,
            ev.SendOffer: nodes.send_offer,
            ev.SendCommit: nodes.send_commit,
            ev.SendLeaseRenewal: nodes.send_lease_renewal,
            ev.SendStop: nodes.send_stop,
            ev.Dial: nodes.dial,
            ev.CloseLink: lambda action: nodes.close(action.node),
            ev.RequestNodeTasks: lambda action: gevent.spawn(nodes.request_tasks, action.node),
            ev.CheckHealth: lambda action: nodes.check_health(action.node),
            ev.WatchNodeList: self.node_list_watch.restart,
            ev.FetchNodeList: lambda _: gevent.spawn(self.node_list_watch.fetch),
            ev.LogEvent: lambda action: self.log.info(action.event, **action.fields),
        }

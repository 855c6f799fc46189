"""The planner's core: routes events to its components, advances time and runs the decision module.

No I/O, clock or global state. The core connects the decision module, which chooses a node for each task, to
the driver, which operates real or simulated sockets. ``handle`` takes the time and an event and returns
actions; ``next_due`` returns the time at which the core needs a ``TimerDue``. If the given time is earlier
than the last one, the core's time stays the same. All state is kept in components, each with its own tables
and invariants:

| component | responsible for |
| --- | --- |
| ``requests`` | sessions, requests, the one outcome of each |
| ``attempts`` | attempts at nodes: offers, abandoned attempts, duplicates, proofs that a task did not run |
| ``links`` | dialling, grace periods of lost links, unsettled attempts, reports of nodes on their tasks |
| ``node_list`` | the node list |
| ``groups``, ``leases`` | groups being placed or running; which lease renewals nodes have acknowledged |

Invariants of the core: the decision module handles what components queue for it in order, before the next
timer and the next event; a message about a group's member is handled when the module's queue is empty; a
planner that shuts down admits nothing new, and decides every open request within ``stop_grace_us``.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from .. import interface as api
from ..decisions import Planner
from . import events as ev
from .attempts import Attempts
from .client_requests import ClientRequests
from .context import CoreContext
from .core_config import CoreConfig as CoreConfig
from .group_requests import GroupRequests
from .leases import Leases
from .node_links import NodeLinks
from .node_list import NodeList


class Core:
    """One incarnation of a planner."""

    def __init__(self, settings: api.Settings, config: CoreConfig, incarnation: int, seed: int) -> None:
        """Create a core; ``incarnation`` must be a number that no other run of a planner has."""
        self.context = CoreContext(settings, config, incarnation)
        self.incarnation = incarnation
        self.module = Planner(settings, seed)
        self.requests = ClientRequests(self.context)
        self.attempts = Attempts(self.context)
        self.links = NodeLinks(self.context, random.Random(seed ^ 0x11))
        self.node_list = NodeList(self.context)
        self.leases = Leases(self.context)
        self.groups = GroupRequests(self.context, self.leases, seed ^ 0x6709)
        self.stopping = False
        self._connect_components()
        self._event_handlers = self._list_event_handlers()
        self._action_handlers = self._list_action_handlers()

    def _connect_components(self) -> None:
        """Set on each component the other components that its protocols name."""
        self.requests.attempts = self.attempts
        self.requests.groups = self.groups
        self.attempts.requests = self.requests
        self.attempts.links = self.links
        self.attempts.groups = self.groups
        self.links.attempts = self.attempts
        self.links.client_requests = self.requests
        self.links.groups = self.groups
        self.links.node_list = self.node_list
        self.links.leases = self.leases
        self.node_list.links = self.links
        self.node_list.attempts = self.attempts
        self.leases.attempts = self.attempts
        self.groups.requests = self.requests
        self.groups.attempts = self.attempts
        self.groups.links = self.links
        self.groups.node_list = self.node_list

    def _list_event_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return the handler of each type of event."""
        return {
            ev.ClientConnected: self.requests.client_connected,
            ev.ClientDisconnected: self.requests.client_disconnected,
            ev.PlacementRequested: self.requests.placement_requested,
            ev.PlacementCancelled: self.requests.placement_cancelled,
            ev.GroupRequested: self.groups.request,
            ev.NodeListReceived: self.node_list.list_received,
            ev.NodeListFailed: self.node_list.list_failed,
            ev.LinkUp: self.links.link_up,
            ev.DialFailed: self.links.dial_failed,
            ev.LinkDown: self.links.link_down,
            ev.NodeTasksReported: self.links.tasks_reported,
            ev.NodeTasksFailed: self.links.task_report_failed,
            ev.NodeDraining: self.links.node_draining,
            ev.NodeAccepted: self.attempts.messages.node_accepted,
            ev.NodeReady: self.attempts.messages.node_ready,
            ev.NodeRunning: self.attempts.messages.node_running,
            ev.NodeRejected: self.attempts.messages.node_rejected,
            ev.NodeError: self.attempts.messages.node_error,
            ev.NodeEnded: self.attempts.messages.node_ended,
            ev.NodeUsage: self.attempts.messages.node_usage,
            ev.LeasesRenewed: self.leases.renewal_received,
            ev.HealthCheckCompleted: self._health_checked,
            ev.ShutdownRequested: self._shutdown_requested,
            ev.SettingsChanged: self._settings_changed,
            ev.TimerDue: self._timer_due,
        }

    def _list_action_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return the handler of each type of action of the decision module."""
        return {
            api.Bind: self.attempts.offers.bind,
            api.StopAttempt: self.attempts.stop_attempt,
            api.Evict: self.attempts.evict,
            api.Shed: self.requests.shed,
            api.Fail: self.requests.fail,
            api.SetTimer: self._set_timer,
            api.HealthCheck: self._check_health,
            api.WatchNodeList: self._watch_node_list,
            api.FetchNodeList: self._fetch_node_list,
            api.Log: self._module_log,
        }

    # Methods that the driver calls

    def start(self, now: int) -> list[ev.Action]:
        """Start the decision module and return the first actions; the driver calls this before ``handle``."""
        self._begin(now)
        self.context.notify_module(api.Started())
        self._run()
        return self.context.actions

    def handle(self, now: int, event: ev.Event) -> list[ev.Action]:
        """Fire the timers that are due, then handle an event; return the actions to carry out, in order."""
        self._begin(now)
        self._run_timers()
        self._event_handlers[type(event)](event)
        self._run()
        return self.context.actions

    def handle_after_stall(self, now: int, events: list[ev.Event]) -> list[ev.Action]:
        """Handle the events that arrived during a stall of the process; return the actions to carry out.

        Drain reports and node lists are handled first, then other events from nodes; then timers fire, and
        events from clients are handled last. If timers fired first, they would send offers to nodes whose
        report that they drain is still unread in the planner's own socket.
        """
        self._begin(now)
        received = [event for event in events if not isinstance(event, _EVENTS_AFTER_TIMERS)]
        received.sort(key=lambda event: not isinstance(event, (ev.NodeDraining, ev.NodeListReceived)))
        for message in received:
            self._event_handlers[type(message)](message)
            self._run()
        self._run_timers()
        for event in events:
            if isinstance(event, _EVENTS_AFTER_TIMERS):
                self._event_handlers[type(event)](event)
                self._run()
        return self.context.actions

    def next_due(self) -> int | None:
        """Return when the core needs a ``TimerDue``; None if no timer is set."""
        return self.context.next_due()

    @property
    def finished(self) -> bool:
        """Whether the planner is shutting down and has decided every request."""
        return self.stopping and self.requests.open_tasks == 0 and not self.groups.has_unanswered()

    @property
    def counts(self) -> dict[str, int]:
        """Counters by name."""
        return self.context.counts

    def _begin(self, now: int) -> None:
        self.context.begin(now)

    def _run(self) -> None:
        """Handle queued module events and group messages, and the module's actions, until none is left."""
        module_events = self.context.module_events
        while module_events or self.groups.messages:
            while module_events:
                for action in self.module.handle(self.context.now, module_events.popleft()):
                    self._action_handlers[type(action)](action)
            if self.groups.messages:
                self.groups.take_message()

    def _run_timers(self) -> None:
        while (due := self.context.pop_due()) is not None:
            due.callback(due.argument)
            self._run()

    def _timer_due(self, _: ev.TimerDue) -> None:
        """Do nothing: ``handle`` fires timers before it handles an event."""

    # Actions of the decision module

    def _set_timer(self, action: api.SetTimer) -> None:
        self.context.call_at(action.at_us, self._module_timer_fired, action.token)

    def _module_timer_fired(self, token: int) -> None:
        self.context.notify_module(api.TimerFired(token))

    def _check_health(self, action: api.HealthCheck) -> None:
        if self.links.is_up(action.node):
            self.context.count("probes")
            self.context.emit(ev.CheckHealth(action.node))
        else:
            self.context.notify_module(api.HealthChecked(action.node, False, 0))

    def _health_checked(self, event: ev.HealthCheckCompleted) -> None:
        self.context.notify_module(api.HealthChecked(event.node, event.ok, event.latency_us, event.report))

    def _watch_node_list(self, action: api.WatchNodeList) -> None:
        self.context.emit(ev.WatchNodeList(action.active, self.node_list.revision))

    def _fetch_node_list(self, _: api.FetchNodeList) -> None:
        self.context.emit(ev.FetchNodeList())

    def _module_log(self, action: api.Log) -> None:
        self.context.log("module", text=action.text)

    # Settings

    def _settings_changed(self, event: ev.SettingsChanged) -> None:
        """Give the new settings to every component that keeps a copy of them, within this turn.

        A component that kept the former settings would number a new class or tenant differently from the
        others. Tasks in flight keep the deadline and the class with which they were admitted.
        """
        self.context.set_settings(event.settings, event.config)
        self.module.settings = event.settings
        self.groups.settings_changed()
        self.links.settings_changed()
        self.node_list.settings_changed()
        self.context.count("settings_changed")

    # Graceful shutdown

    def _shutdown_requested(self, _: ev.ShutdownRequested) -> None:
        if not self.stopping:
            self.stopping = self.requests.draining = True
            self.groups.shut_down()
            self.context.call_at(
                self.context.now + self.context.config.stop_grace_us, self._shutdown_timed_out
            )

    def _shutdown_timed_out(self, _: None) -> None:
        self.requests.conclude_all()


_EVENTS_AFTER_TIMERS = (
    ev.ClientConnected,
    ev.ClientDisconnected,
    ev.PlacementRequested,
    ev.GroupRequested,
    ev.PlacementCancelled,
    ev.TimerDue,
    ev.ShutdownRequested,
)

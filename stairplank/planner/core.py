"""The conductor: routes events to the rooms, lets time pass, asks the module. No I/O, clock or global state.

The core stands between the decision module, which says where a task goes, and the driver, which has sockets
or simulated ones. ``handle`` takes the time and an event and returns actions; ``next_due`` says when it wants
a ``Due``. Time that goes back is taken as no time. What there is to know is kept in rooms, each with its own
tables and its own page of invariants:

| room | looks after |
| --- | --- |
| ``owners`` | streams, asks, the one outcome of each |
| ``attempts`` | what is out at nodes: offers, leftovers, copies, proofs |
| ``links`` | dialling, grace, what is unsettled, what nodes hold |
| ``list`` | the node list |
| ``groups``, ``leases`` | groups on the path; which keeps have arrived |

Invariants of the conductor: what rooms feed the module is taken by it in order, before the next timer and the
next event; a word of a group's member is taken when the module has nothing more to hear; a planner that
leaves takes nothing new, and answers all it owes within ``stop_grace_us``.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from .. import interface as api
from ..decide import Planner
from . import events as ev
from .attempts import Attempts
from .client_requests import ClientRequests
from .context import CoreContext
from .core_config import CoreConfig as CoreConfig
from .grouping import Groups
from .leases import Leases
from .node_links import Links
from .nodelist import NodeList


class Core:
    """One life of a planner. ``life`` must be a number that no other life has."""

    def __init__(self, settings: api.Settings, config: CoreConfig, incarnation: int, seed: int) -> None:
        self.context = CoreContext(settings, config, incarnation)
        self.incarnation = incarnation
        self.module = Planner(settings, seed)
        self.requests = ClientRequests(self.context)
        self.attempts = Attempts(self.context)
        self.links = Links(self.context, random.Random(seed ^ 0x11))
        self.node_list = NodeList(self.context)
        self.leases = Leases(self.context)
        self.groups = Groups(self.context, self.leases, seed ^ 0x6709)
        self.requests.attempts, self.requests.groups = self.attempts, self.groups
        self.attempts.requests, self.attempts.links = self.requests, self.links
        self.attempts.groups = self.groups
        self.links.attempts, self.links.requests = self.attempts, self.requests
        self.links.groups, self.links.list = self.groups, self.node_list
        self.links.leases = self.leases
        self.node_list.links, self.node_list.attempts = self.links, self.attempts
        self.leases.attempts = self.attempts
        self.groups.requests, self.groups.attempts = self.requests, self.attempts
        self.groups.links, self.groups.list = self.links, self.node_list
        self.stopping = False
        self._event_handlers: dict[type, Callable[[Any], None]] = {
            ev.ClientConnected: self.requests.client_connected,
            ev.ClientDisconnected: self.requests.client_disconnected,
            ev.PlacementRequested: self.requests.placement_requested,
            ev.PlacementCancelled: self.requests.placement_cancelled,
            ev.GroupRequested: self.groups.asked,
            ev.NodeListReceived: self.node_list.told,
            ev.NodeListFailed: self.node_list.failed,
            ev.LinkUp: self.links.came_up,
            ev.DialFailed: self.links.failed,
            ev.LinkDown: self.links.lost,
            ev.NodeTasksReported: self.links.held_told,
            ev.NodeTasksFailed: self.links.held_failed,
            ev.NodeDraining: self.links.drained,
            ev.NodeAccepted: self.attempts.messages.node_accepted,
            ev.NodeReady: self.attempts.messages.node_ready,
            ev.NodeRunning: self.attempts.messages.node_running,
            ev.NodeRejected: self.attempts.messages.node_rejected,
            ev.NodeError: self.attempts.messages.node_error,
            ev.NodeEnded: self.attempts.messages.node_ended,
            ev.NodeUsage: self.attempts.messages.node_usage,
            ev.LeasesRenewed: self.leases.kept,
            ev.HealthCheckCompleted: self._health_checked,
            ev.ShutdownRequested: self._shutdown_requested,
            ev.SettingsChanged: self._settings_changed,
            ev.TimerDue: self._timer_due,
        }
        self._action_handlers: dict[type, Callable[[Any], None]] = {
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

    # Driving

    def start(self, now: int) -> list[ev.Action]:
        """The first call of a life."""
        self._begin(now)
        self.context.notify_module(api.Started())
        self._run()
        return self.context.actions

    def handle(self, now: int, event: ev.Event) -> list[ev.Action]:
        """Take an event, and whatever has come due; return what is to be done, in order."""
        self._begin(now)
        self._run_timers()
        self._event_handlers[type(event)](event)
        self._run()
        return self.context.actions

    def handle_after_stall(self, now: int, events: list[ev.Event]) -> list[ev.Action]:
        """Take what came while the process stood still, before the time that has passed is felt.

        Danger: timers that fell due meanwhile would send offers to nodes whose word of a drain lies unread in
        the planner's own socket. What nodes and the list said comes first, then time, then owners.
        """
        self._begin(now)
        told = [e for e in events if not isinstance(e, _CLIENT_EVENTS)]
        told.sort(key=lambda e: not isinstance(e, (ev.NodeDraining, ev.NodeListReceived)))
        for word in told:
            self._event_handlers[type(word)](word)
            self._run()
        self._run_timers()
        for event in events:
            if isinstance(event, _CLIENT_EVENTS):
                self._event_handlers[type(event)](event)
                self._run()
        return self.context.actions

    def next_due(self) -> int | None:
        """When a ``Due`` is wanted, or None."""
        return self.context.next_due()

    @property
    def finished(self) -> bool:
        """Whether a stopping planner owes nothing more."""
        return self.stopping and self.requests.open_tasks == 0 and not self.groups.owed()

    @property
    def counts(self) -> dict[str, int]:
        return self.context.counts

    def _begin(self, now: int) -> None:
        self.context.begin(now)

    def _run(self) -> None:
        """Let the module decide on what has been fed, and carry its actions out, until both are done."""
        told, words = self.context.module_events, self.groups.words
        while told or words:
            while told:
                for action in self.module.handle(self.context.now, told.popleft()):
                    self._action_handlers[type(action)](action)
            if words:
                self.groups.take_word()

    def _run_timers(self) -> None:
        while (due := self.context.pop_due()) is not None:
            due.callback(due.argument)
            self._run()

    def _timer_due(self, event: ev.TimerDue) -> None:
        pass

    # The module's own

    def _set_timer(self, action: api.SetTimer) -> None:
        self.context.call_at(action.at_us, self._module_timer_fired, action.token)

    def _module_timer_fired(self, token: int) -> None:
        self.context.notify_module(api.TimerFired(token))

    def _check_health(self, action: api.HealthCheck) -> None:
        if self.links.up(action.node):
            self.context.count("probes")
            self.context.emit(ev.CheckHealth(action.node))
        else:
            self.context.notify_module(api.HealthChecked(action.node, False, 0))

    def _health_checked(self, event: ev.HealthCheckCompleted) -> None:
        self.context.notify_module(api.HealthChecked(event.node, event.ok, event.latency_us, event.report))

    def _watch_node_list(self, action: api.WatchNodeList) -> None:
        self.context.emit(ev.WatchNodeList(action.active, self.node_list.revision))

    def _fetch_node_list(self, action: api.FetchNodeList) -> None:
        self.context.emit(ev.FetchNodeList())

    def _module_log(self, action: api.Log) -> None:
        self.context.log("module", text=action.text)

    # Settings

    def _settings_changed(self, event: ev.SettingsChanged) -> None:
        """Every place that holds settings takes the new ones in this turn.

        Danger: a component that kept the former ones would number a new class or tenant differently from the
        others. Tasks in flight keep the deadline and the class that they were taken with.
        """
        self.context.set_settings(event.settings, event.config)
        self.module.s = event.settings
        self.groups.settings_changed()
        self.links.settings_changed()
        self.node_list.settings_changed()
        self.context.count("settings_changed")

    # Leaving

    def _shutdown_requested(self, event: ev.ShutdownRequested) -> None:
        if not self.stopping:
            self.stopping = self.requests.draining = True
            self.groups.leave()
            self.context.call_at(
                self.context.now + self.context.config.stop_grace_us, self._shutdown_timed_out
            )

    def _shutdown_timed_out(self, _: None) -> None:
        self.requests.conclude_all()


_CLIENT_EVENTS = (
    ev.ClientConnected,
    ev.ClientDisconnected,
    ev.PlacementRequested,
    ev.GroupRequested,
    ev.PlacementCancelled,
    ev.TimerDue,
    ev.ShutdownRequested,
)

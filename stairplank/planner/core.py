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
from ..decisions import Planner
from . import events as ev
from .attempts import Attempts
from .client_requests import ClientRequests
from .context import CoreConfig as CoreConfig
from .context import CoreContext
from .grouping import Groups
from .leases import Leases
from .node_links import Links
from .nodelist import NodeList

MODULE_IDS = 2**52  # ids of tasks stay below


class Core:
    """One life of a planner. ``life`` must be a number that no other life has."""

    def __init__(self, settings: api.Settings, config: CoreConfig, incarnation: int, seed: int) -> None:
        self.context = CoreContext(settings, config, incarnation)
        self.incarnation = incarnation
        self.module = Planner(settings, seed)
        self.owners = ClientRequests(self.context)
        self.attempts = Attempts(self.context)
        self.links = Links(self.context, random.Random(seed ^ 0x11))
        self.list = NodeList(self.context)
        self.leases = Leases(self.context)
        self.groups = Groups(self.context, self.leases, seed ^ 0x6709)
        self.owners.attempts, self.owners.groups = self.attempts, self.groups
        self.attempts.owners, self.attempts.links = self.owners, self.links
        self.attempts.groups = self.groups
        self.links.attempts, self.links.owners = self.attempts, self.owners
        self.links.groups, self.links.list = self.groups, self.list
        self.links.leases = self.leases
        self.list.links, self.list.attempts = self.links, self.attempts
        self.leases.attempts = self.attempts
        self.groups.owners, self.groups.attempts = self.owners, self.attempts
        self.groups.links, self.groups.list = self.links, self.list
        self.stopping = False
        self._handlers: dict[type, Callable[[Any], None]] = {
            ev.ClientConnected: self.owners.came,
            ev.ClientDisconnected: self.owners.left,
            ev.PlacementRequested: self.owners.asked,
            ev.PlacementCancelled: self.owners.withdrawn,
            ev.GroupRequested: self.groups.asked,
            ev.NodeListReceived: self.list.told,
            ev.NodeListFailed: self.list.failed,
            ev.LinkUp: self.links.came_up,
            ev.DialFailed: self.links.failed,
            ev.LinkDown: self.links.lost,
            ev.NodeTasksReported: self.links.held_told,
            ev.NodeTasksFailed: self.links.held_failed,
            ev.NodeDraining: self.links.drained,
            ev.NodeAccepted: self.attempts.node_accepted,
            ev.NodeReady: self.attempts.node_ready,
            ev.NodeRunning: self.attempts.node_running,
            ev.NodeRejected: self.attempts.node_refused,
            ev.NodeError: self.attempts.node_error,
            ev.NodeEnded: self.attempts.node_ended,
            ev.NodeUsage: self.attempts.node_usage,
            ev.LeasesRenewed: self.leases.kept,
            ev.HealthCheckCompleted: self._probe_told,
            ev.ShutdownRequested: self._stop_asked,
            ev.SettingsChanged: self._settings_changed,
            ev.TimerDue: self._due,
        }
        self._carriers: dict[type, Callable[[Any], None]] = {
            api.Bind: self.attempts.bind,
            api.StopAttempt: self.attempts.stop_attempt,
            api.Evict: self.attempts.evict,
            api.Shed: self.owners.refuse,
            api.Fail: self.owners.fail,
            api.SetTimer: self._set_timer,
            api.HealthCheck: self._probe,
            api.WatchNodeList: self._watch,
            api.FetchNodeList: self._fetch,
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
        self._pass_time()
        self._handlers[type(event)](event)
        self._run()
        return self.context.actions

    def woke(self, now: int, events: list[ev.Event]) -> list[ev.Action]:
        """Take what came while the process stood still, before the time that has passed is felt.

        Danger: timers that fell due meanwhile would send offers to nodes whose word of a drain lies unread in
        the planner's own socket. What nodes and the list said comes first, then time, then owners.
        """
        self._begin(now)
        told = [e for e in events if not isinstance(e, _OWNERS)]
        told.sort(key=lambda e: not isinstance(e, (ev.NodeDraining, ev.NodeListReceived)))
        for word in told:
            self._handlers[type(word)](word)
            self._run()
        self._pass_time()
        for event in events:
            if isinstance(event, _OWNERS):
                self._handlers[type(event)](event)
                self._run()
        return self.context.actions

    def next_due(self) -> int | None:
        """When a ``Due`` is wanted, or None."""
        return self.context.next_due()

    @property
    def finished(self) -> bool:
        """Whether a stopping planner owes nothing more."""
        return self.stopping and self.owners.open_tasks == 0 and not self.groups.owed()

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
                    self._carriers[type(action)](action)
            if words:
                self.groups.take_word()

    def _pass_time(self) -> None:
        while (due := self.context.pop_due()) is not None:
            due.call(due.what)
            self._run()

    def _due(self, event: ev.TimerDue) -> None:
        pass

    # The module's own

    def _set_timer(self, action: api.SetTimer) -> None:
        self.context.call_at(action.at_us, self._timer, action.token)

    def _timer(self, token: int) -> None:
        self.context.notify_module(api.TimerFired(token))

    def _probe(self, action: api.HealthCheck) -> None:
        if self.links.up(action.node):
            self.context.count("probes")
            self.context.emit(ev.CheckHealth(action.node))
        else:
            self.context.notify_module(api.HealthChecked(action.node, False, 0))

    def _probe_told(self, event: ev.HealthCheckCompleted) -> None:
        self.context.notify_module(api.HealthChecked(event.node, event.ok, event.latency_us, event.report))

    def _watch(self, action: api.WatchNodeList) -> None:
        self.context.emit(ev.WatchNodeList(action.active, self.list.revision))

    def _fetch(self, action: api.FetchNodeList) -> None:
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
        self.module.settings = event.settings
        self.groups.settings_changed()
        self.links.settings_changed()
        self.list.settings_changed()
        self.context.count("settings_changed")

    # Leaving

    def _stop_asked(self, event: ev.ShutdownRequested) -> None:
        if not self.stopping:
            self.stopping = self.owners.leaving = True
            self.groups.leave()
            self.context.call_at(self.context.now + self.context.config.stop_grace_us, self._stop_over)

    def _stop_over(self, _: None) -> None:
        self.owners.answer_all()


_OWNERS = (
    ev.ClientConnected,
    ev.ClientDisconnected,
    ev.PlacementRequested,
    ev.GroupRequested,
    ev.PlacementCancelled,
    ev.TimerDue,
    ev.ShutdownRequested,
)

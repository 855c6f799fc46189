"""The platform's core: routes events to its components, advances time, runs the decision module. No I/O,
clock or global state.

``handle`` takes the time and events and returns actions; ``next_due`` returns when it wants a ``TimerDue``.
Where a task goes is decided by ``decisions.Planner`` alone, which gets the events that ``simhost`` gives it.

| component | responsible for |
| --- | --- |
| ``requests`` | what clients ask for: the one answer and the one release of each task |
| ``sessions`` | connections of clients, releases on their way |
| ``tasks`` | the table of tasks, its bounds |
| ``shutdown`` | what is answered, and when, after SIGTERM |
| ``attempts`` | attempts at machines, those that were abandoned |
| ``health_checks`` | health checks of machines |
| ``links`` | connections to machines, and what is sent on them |
| ``link_checks`` | whether a machine is still there, which connections are due or idle |
| ``machines`` | which machines there are, by the list |
| ``adoption`` | tasks that run already, as their clients, the list and machines report them |
"""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterable
from itertools import takewhile
from typing import Any

from .. import interface as api
from ..decisions import Planner
from ..planner.event_loop import EventLoop
from . import events as ev
from .adoption import Adoption
from .attempts import Attempts
from .client_requests import ClientRequests
from .client_sessions import ClientSessions
from .event_queue import comes_before_time, is_new_placement
from .health_checks import HealthChecks
from .link_checks import LinkChecks
from .links import IDLE_LINK_US, Links
from .machines import Machines
from .node_list import NodeListUpdate
from .request_router import RequestRouter
from .shutdown import Shutdown
from .tables import Machine
from .task_table import TaskTable


class Core:
    """One incarnation of a planner."""

    def __init__(
        self,
        settings: api.Settings,
        fields: tuple[str, ...],
        seed: int,
        sockets: int,
        dial_timeout_us: int = 250_000,
        priced: bool = False,
        idle_us: int = 30_000_000,
        tenants: tuple[str, ...] = (),
    ) -> None:
        """Make a core that has started nothing yet.

        Args:
            settings: the cluster's settings.
            fields: of load reports, as machines name them, in the settings' order.
            seed: of the decision module's random numbers.
            sockets: how many connections clients and machines may have together.
            dial_timeout_us: how long a dial may take.
            priced: whether a connection has a price.
            idle_us: when machines close an idle connection; 0 for never.
            tenants: by name, in the settings' order.
        """
        self.loop = EventLoop()
        self.module = Planner(settings, seed)
        self.tasks = TaskTable(self.loop)
        self.sessions = ClientSessions(self.loop)
        self.shutdown = Shutdown(self.loop, settings, self.tasks)
        self.requests = ClientRequests(self.loop, settings, tenants, self.tasks, self.sessions, self.shutdown)
        self.attempts = Attempts(self.loop, settings, fields, self.tasks)
        self.health_checks = HealthChecks(self.loop, fields)
        # Machines that never close an idle connection are treated as if they did so late.
        idle_us = idle_us if idle_us > 0 else 2 * IDLE_LINK_US
        machines: dict[int, Machine] = {}
        self.links = Links(self.loop, machines, sockets, dial_timeout_us, priced, idle_us)
        self.link_checks = LinkChecks(self.loop, self.links, self.attempts, self.health_checks, idle_us)
        self.adoption = Adoption(self.loop, self.attempts, self.requests, self.links)
        self.machines = Machines(self.loop, machines, self.links, self.attempts, self.adoption)
        self._connect_components()
        self.survives_faults = False  # after a fault of our own, with a line in the log; else it is raised
        self._handlers = self._event_handlers()
        self._action_handlers = self._module_action_handlers()

    def _connect_components(self) -> None:
        """Give the components those that were made after them."""
        self.shutdown.requests = self.requests
        self.requests.attempts = self.attempts
        self.requests.adoption = self.adoption
        self.attempts.requests = self.requests
        self.attempts.links = self.links
        self.attempts.adoption = self.adoption
        self.health_checks.links = self.links
        self.links.requests = RequestRouter(self.attempts, self.health_checks)
        self.link_checks.forget = self.machines.forget
        self.adoption.find_machine = self.machines.find

    def _event_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            ev.ClientConnected: self.requests.connected,
            ev.ClientMessage: self.requests.received,
            ev.ClientHungUp: self.requests.hung_up,
            ev.ClientDisconnected: self.requests.disconnected,
            ev.LinkUp: self.links.link_up,
            ev.LinkFailed: self.links.link_failed,
            ev.LinkLost: self.links.link_lost,
            ev.MessagesUnsent: self.links.messages_unsent,
            ev.MachineMessage: self.links.received,
            ev.NodeListUpdated: lambda event: self.machines.update(event.update),
            ev.NodeListConfirmed: lambda event: self.adoption.list_confirmed(),
            ev.NodeListLost: lambda event: self.loop.notify_module(api.NodeList(api.ListKind.FAILED)),
            ev.ShutdownRequested: self.shutdown.begin,
            ev.MachinesClosing: lambda event: self.links.close_all(),
            ev.SettingsChanged: self._settings_changed,
            ev.TimerDue: lambda event: None,
        }

    def _module_action_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            api.Bind: self.attempts.bind,
            api.StopAttempt: self.attempts.stop_attempt,
            api.Evict: self.attempts.evict,
            api.HealthCheck: self.health_checks.requested,
            api.Shed: self.requests.shed,
            api.Fail: self.requests.fail,
            api.SetTimer: lambda action: self.loop.call_at(action.at_us, self._timer, action.token),
            api.WatchNodeList: lambda action: self.loop.emit(ev.WatchNodeList()),
            api.FetchNodeList: lambda action: self.loop.emit(ev.WatchNodeList()),
            api.Log: lambda action: self.loop.emit(ev.Report("module", {"text": action.text})),
        }

    def start(self, now: int, known: Iterable[NodeListUpdate]) -> list[ev.Action]:
        """The first call, with the node list updates that are known by then."""
        self.loop.begin(now)
        self.loop.notify_module(api.Started())
        self._run()
        for update in known:
            self.machines.update(update)
            self._run()
        self.link_checks.start()
        self.attempts.start()
        self.requests.start()
        return self.loop.actions

    def handle(self, now: int, events: Iterable[ev.Event]) -> list[ev.Action]:
        """Take events, and whatever has come due; return what is to be done, in order."""
        self.loop.begin(now)
        events = list(events)
        first = list(takewhile(comes_before_time, events))
        for event in first:
            self._run_guarded(self._handlers[type(event)], event)
        self._pass_time()
        for event in events[len(first) :]:
            self._run_guarded(self._handlers[type(event)], event)
        return self.loop.actions

    def handle_messages(self, now: int, events: Iterable[ev.Event]) -> list[ev.Action]:
        """Take a part of what came while the process stood still; the time that has passed is felt later."""
        self.loop.begin(now)
        for event in events:
            self._run_guarded(self._handlers[type(event)], event)
        return self.loop.actions

    def handle_after_stall(self, now: int, events: Iterable[ev.Event]) -> list[ev.Action]:
        """Take what came while the process stood still, before the time that has passed is felt.

        Danger: timers that fell due meanwhile would give up attempts whose answers lie unread, and would send
        placement requests to machines whose drain lies unread, or for clients whose giving up does. All
        messages come first, node list updates before the rest, then time, then new placement requests.
        """
        self.loop.begin(now)
        events = sorted(events, key=lambda e: not isinstance(e, _FIRST))
        for event in events:
            if not is_new_placement(event):
                self._run_guarded(self._handlers[type(event)], event)
        self._pass_time()
        for event in events:
            if is_new_placement(event):
                self._run_guarded(self._handlers[type(event)], event)
        return self.loop.actions

    def may_send(self, now: int, link: int, id: str) -> bool:
        """Whether that message, of which no byte has left, may still leave on that connection."""
        self.loop.now = max(self.loop.now, now)
        return self.links.may_send(link, id)

    def next_due(self) -> int | None:
        """When a ``TimerDue`` is wanted, or None."""
        return self.loop.next_due()

    @property
    def counts(self) -> dict[str, int]:
        """The counters, by name."""
        return self.loop.counts

    def _run_guarded(self, call: Callable[[Any], None], what: Any) -> None:
        """Danger: one fault, whatever it is, would end the turns for good, and all that is owed would be lost
        with a process that looks alive. What it touched may be in disorder; the rest is not.
        """
        again = True
        while again:
            try:
                call(what)
                self._run()
                again = False
            except Exception:
                if not self.survives_faults:
                    raise
                self.loop.count("faults")
                self.loop.emit(ev.Report("fault", {"at": traceback.format_exc(limit=-3)}))
                call, again = _nothing, bool(self.loop.module_events)  # the module has still to hear the rest

    def _run(self) -> None:
        """Let the module decide on what has been fed, and carry its actions out, until both are done."""
        module_events = self.loop.module_events
        while module_events:
            for action in self.module.handle(self.loop.now, module_events.popleft()):
                self._action_handlers[type(action)](action)

    def _pass_time(self) -> None:
        while (due := self.loop.pop_due()) is not None:
            self._run_guarded(due.callback, due.argument)

    def _settings_changed(self, event: ev.SettingsChanged) -> None:
        """Every place that holds settings takes the new ones in this turn.

        Danger: a component that kept the former ones would number a new class or tenant differently from the
        others. Tasks in flight keep the wait and the class that they were taken with.
        """
        self.module.settings = event.settings
        self.requests.set_settings(event.settings, event.tenants)
        self.attempts.settings = event.settings
        self.shutdown.settings = event.settings
        self.links.set_dialling(event.dial_timeout_us, event.priced)
        self.link_checks.set_dial_timeout(event.dial_timeout_us)
        self.loop.count("settings_changed")
        self.loop.emit(ev.SettingsInForce(event))

    def _timer(self, token: int) -> None:
        self.loop.notify_module(api.TimerFired(token))


_FIRST = (ev.NodeListUpdated, ev.NodeListConfirmed, ev.SettingsChanged)


def _nothing(_: Any) -> None:
    pass

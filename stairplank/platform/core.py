"""The platform's core: passes events to its components, advances time and runs the decision module.

It has no I/O, clock or global state.

``handle`` takes the time and events and returns actions; ``next_due`` returns when it needs a ``TimerDue``
event. ``decisions.Planner`` alone decides where a task goes. It receives the same events here as in the
simulator's adapter (``simhost``).

| component | responsible for |
| --- | --- |
| ``requests`` | clients' requests: each task gets exactly one answer and one release |
| ``sessions`` | connections to clients, and releases that are still to be delivered |
| ``tasks`` | the table of tasks and its bounds |
| ``shutdown`` | which requests are answered, and when, after SIGTERM |
| ``attempts`` | attempts at machines, including the abandoned ones |
| ``health_checks`` | health checks of machines |
| ``links`` | connections to machines, and the messages sent on them |
| ``links.releases`` | releases that machines have not confirmed yet |
| ``links.incarnations`` | telling apart the processes at a machine's address |
| ``link_checks`` | finding lost machines, and connections that must be renewed or closed as idle |
| ``machines`` | the machines of the node list |
| ``adoption`` | running tasks that clients, the node list or machines report |
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
        """Create the core; nothing runs until ``start`` is called.

        Args:
            settings: The cluster's settings.
            fields: Names of the fields of a load report, in the settings' order.
            seed: Seed of the decision module's random numbers.
            sockets: Maximum number of connections to clients and machines together.
            dial_timeout_us: Timeout of a dial.
            priced: Whether the settings put a price on a new connection.
            idle_us: Time after which machines close an idle connection; 0 for never.
            tenants: Names of the tenants, in the settings' order.
        """
        self.loop = EventLoop()
        self.module = Planner(settings, seed)
        self.tasks = TaskTable(self.loop)
        self.sessions = ClientSessions(self.loop)
        self.shutdown = Shutdown(self.loop, settings, self.tasks)
        self.requests = ClientRequests(self.loop, settings, tenants, self.tasks, self.sessions, self.shutdown)
        self.attempts = Attempts(self.loop, settings, fields, self.tasks)
        self.health_checks = HealthChecks(self.loop, fields)
        # Machines that never close an idle connection are treated as if they closed it after a long time.
        idle_us = idle_us if idle_us > 0 else 2 * IDLE_LINK_US
        machines: dict[int, Machine] = {}
        self.links = Links(self.loop, machines, sockets, dial_timeout_us, priced, idle_us)
        self.link_checks = LinkChecks(self.loop, self.links, self.attempts, self.health_checks, idle_us)
        self.adoption = Adoption(self.loop, self.attempts, self.requests, self.links.releases)
        self.machines = Machines(
            self.loop, machines, self.links, self.links.releases, self.attempts, self.adoption
        )
        self._connect_components()
        self.survives_faults = False  # True: an exception in a handler is logged and counted, not raised
        self._handlers = self._event_handlers()
        self._action_handlers = self._module_action_handlers()

    def _connect_components(self) -> None:
        """Set the references between components that their constructors could not take: they form cycles."""
        self.shutdown.requests = self.requests
        self.requests.attempts = self.attempts
        self.requests.adoption = self.adoption
        self.attempts.requests = self.requests
        self.attempts.links = self.links
        self.attempts.releases = self.links.releases
        self.links.releases.health_checks = self.health_checks
        self.links.releases.on_settled = self.attempts.release_settled
        self.attempts.adoption = self.adoption
        self.links.incarnations.attempts = self.attempts.table
        self.links.process_ended = self.link_checks.process_ended
        self.links.candidate_up = self.link_checks.candidate_up
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
            ev.NodeListConfirmed: lambda _event: self.adoption.list_confirmed(),
            ev.NodeListLost: lambda _event: self.loop.notify_module(api.NodeList(api.ListKind.FAILED)),
            ev.ShutdownRequested: self.shutdown.begin,
            ev.MachinesClosing: lambda _event: self.links.close_all(),
            ev.SettingsChanged: self._settings_changed,
            ev.TimerDue: lambda _event: None,
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
            api.WatchNodeList: lambda _action: self.loop.emit(ev.WatchNodeList()),
            api.FetchNodeList: lambda _action: self.loop.emit(ev.WatchNodeList()),
            api.Log: lambda action: self.loop.emit(ev.Report("module", {"text": action.text})),
        }

    def start(self, now: int, known: Iterable[NodeListUpdate]) -> list[ev.Action]:
        """Start the core with the node list updates known so far; return the first actions. Called once."""
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
        """Handle events and timers that are due; return the resulting actions in order."""
        self.loop.begin(now)
        events = list(events)
        before_timers = list(takewhile(comes_before_time, events))
        for event in before_timers:
            self._run_guarded(self._handlers[type(event)], event)
        self._run_due_timers()
        for event in events[len(before_timers) :]:
            self._run_guarded(self._handlers[type(event)], event)
        return self.loop.actions

    def handle_messages(self, now: int, events: Iterable[ev.Event]) -> list[ev.Action]:
        """Handle some of the events that arrived during a stall; due timers run later. Return the actions."""
        self.loop.begin(now)
        for event in events:
            self._run_guarded(self._handlers[type(event)], event)
        return self.loop.actions

    def handle_after_stall(self, now: int, events: Iterable[ev.Event]) -> list[ev.Action]:
        """Handle the events that arrived during a stall before the timers that fell due; return the actions.

        If the timers ran first, they would give up attempts whose answers have not been read, and would send
        placement requests to machines whose drain has not been read, or for clients whose cancellation has
        not. So all messages come first (node list updates before the others), then timers, then new placement
        requests.
        """
        self.loop.begin(now)
        events = sorted(events, key=lambda e: not isinstance(e, _APPLIED_FIRST))
        for event in events:
            if not is_new_placement(event):
                self._run_guarded(self._handlers[type(event)], event)
        self._run_due_timers()
        for event in events:
            if is_new_placement(event):
                self._run_guarded(self._handlers[type(event)], event)
        return self.loop.actions

    def may_send(self, now: int, link: int, id: str) -> bool:
        """Return whether a message that is wholly unwritten may still be written to its connection."""
        self.loop.now = max(self.loop.now, now)
        return self.links.may_send(link, id)

    def next_due(self) -> int | None:
        """Return the time at which a ``TimerDue`` event is needed, or None."""
        return self.loop.next_due()

    @property
    def counts(self) -> dict[str, int]:
        """Values of the counters by name."""
        return self.loop.counts

    def _run_guarded(self, call: Callable[[Any], None], argument: Any) -> None:
        """Call a handler, then run the decision module; log and count an exception if ``survives_faults``.

        Without this guard, any exception would end the event loop, and all open requests would be lost in a
        process that still looks healthy. Only the state that the failed call changed may be inconsistent.
        """
        has_work = True
        while has_work:
            try:
                call(argument)
                self._run()
                has_work = False
            except Exception:
                if not self.survives_faults:
                    raise
                self.loop.count("faults")
                self.loop.emit(ev.Report("fault", {"at": traceback.format_exc(limit=-3)}))
                # The module still has to receive the events that are left.
                call, has_work = _do_nothing, bool(self.loop.module_events)

    def _run(self) -> None:
        """Pass queued events to the decision module and carry out its actions, until none is left."""
        module_events = self.loop.module_events
        while module_events:
            for action in self.module.handle(self.loop.now, module_events.popleft()):
                self._action_handlers[type(action)](action)

    def _run_due_timers(self) -> None:
        while (due := self.loop.pop_due()) is not None:
            self._run_guarded(due.callback, due.argument)

    def _settings_changed(self, event: ev.SettingsChanged) -> None:
        """Give the new settings to every component that uses settings, within this one turn.

        A component that kept the old settings would number a new class or tenant differently from the
        others. Tasks in flight keep the wait and the class with which they were accepted.
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


_APPLIED_FIRST = (ev.NodeListUpdated, ev.NodeListConfirmed, ev.SettingsChanged)


def _do_nothing(_: Any) -> None:
    pass

"""The platform's conductor: routes events to the rooms, lets time pass, asks the module. No I/O, clock or
global state.

``handle`` takes the time and events and returns actions; ``next_due`` says when it wants a ``Due``. Where a
task goes is said by ``decide.Planner`` alone, which is fed what ``simhost`` feeds it.

| room | looks after |
| --- | --- |
| ``owed`` | connections of owners, tasks, the one answer and the one release of each |
| ``out`` | attempts at machines, tests, leftovers |
| ``links`` | connections to machines, whether a machine is still there |
| ``machines`` | which machines there are, by the list |
| ``handover`` | tasks that stand already, as their owners, the list and machines tell of them |
"""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterable
from typing import Any

from .. import interface as api
from ..decide import Planner
from ..planner.event_loop import EventLoop
from . import events as ev
from .board import Notice
from .handover import Handover
from .inbox import is_ask
from .links import Links
from .machines import Machines
from .out import Out
from .owed import Owed


class Core:
    """One life of a planner. ``fields``: of load reports, as machines name them, in the settings' order.
    ``priced``: whether a connection has a price; ``idle_us``: when machines close one; ``tenants``: by name,
    in the settings' order."""

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
        self.loop = EventLoop()
        self.module = Planner(settings, seed)
        self.owed = Owed(self.loop, settings, tenants)
        self.out = Out(self.loop, settings, fields)
        self.links = Links(self.loop, sockets, dial_timeout_us, priced, idle_us)
        self.handover = Handover(self.loop, self.out, self.owed, self.links)
        self.machines = Machines(self.loop, self.links, self.out, self.handover)
        self.owed.out, self.owed.handover = self.out, self.handover
        self.out.owed, self.out.links, self.out.handover = self.owed, self.links, self.handover
        self.links.out, self.links.machines = self.out, self.machines.machines
        self.links.forget = self.machines.forget
        self.handover.machine_named = self.machines.named
        self.goes_on = False  # after a fault of our own, with a line in the log; else it is raised
        self._handlers: dict[type, Callable[[Any], None]] = {
            ev.OwnerCame: self.owed.came,
            ev.OwnerSaid: self.owed.said,
            ev.OwnerLeft: self.owed.left,
            ev.LinkUp: self.links.came_up,
            ev.LinkFailed: self.links.failed,
            ev.LinkLost: self.links.lost,
            ev.Unsent: self.links.unsent,
            ev.MachineSaid: self.links.said,
            ev.BoardTold: lambda event: self.machines.told(event.notice),
            ev.BoardHeard: lambda event: self.handover.heard(),
            ev.BoardLost: lambda event: self.loop.notify_module(api.NodeList(api.ListKind.FAILED)),
            ev.StopAsked: self.owed.leave,
            ev.Parting: lambda event: self.links.part(),
            ev.Due: lambda event: None,
        }
        self._carriers: dict[type, Callable[[Any], None]] = {
            api.Bind: self.out.bind,
            api.StopAttempt: self.out.stop_attempt,
            api.Evict: self.out.evict,
            api.Probe: self.out.probe,
            api.Refuse: self.owed.refuse,
            api.Fail: self.owed.fail,
            api.SetTimer: lambda action: self.loop.call_at(action.at_us, self._timer, action.token),
            api.Watch: lambda action: self.loop.emit(ev.WatchBoard()),
            api.FetchList: lambda action: self.loop.emit(ev.WatchBoard()),
            api.Log: lambda action: self.loop.emit(ev.Report("module", {"text": action.text})),
        }

    def start(self, now: int, known: Iterable[Notice]) -> list[ev.Action]:
        """The first call of a life, with the notices that are known by then."""
        self.loop.begin(now)
        self.loop.notify_module(api.Started())
        self._run()
        for notice in known:
            self.machines.told(notice)
            self._run()
        self.links.start()
        self.out.start()
        self.owed.start()
        return self.loop.actions

    def handle(self, now: int, events: Iterable[ev.Event]) -> list[ev.Action]:
        """Take events, and whatever has come due; return what is to be done, in order."""
        self.loop.begin(now)
        self._pass_time()
        for event in events:
            self._take(self._handlers[type(event)], event)
        return self.loop.actions

    def woke(self, now: int, events: Iterable[ev.Event]) -> list[ev.Action]:
        """Take what came while the process stood still, before the time that has passed is felt.

        Danger: timers that fell due meanwhile would give up attempts whose answers lie unread, and would send
        set-ups to machines whose drain lies unread, or for owners whose giving up does. All that was said
        comes first, the board's word before the rest, then time, then new set-ups.
        """
        self.loop.begin(now)
        events = sorted(events, key=lambda e: not isinstance(e, (ev.BoardTold, ev.BoardHeard)))
        for event in events:
            if not is_ask(event):
                self._take(self._handlers[type(event)], event)
        self._pass_time()
        for event in events:
            if is_ask(event):
                self._take(self._handlers[type(event)], event)
        return self.loop.actions

    def may_leave(self, now: int, link: int, id: str) -> bool:
        """Whether that message, of which no byte has left, may still leave on that connection."""
        self.loop.now = max(self.loop.now, now)
        return self.links.may_leave(link, id)

    def next_due(self) -> int | None:
        """When a ``Due`` is wanted, or None."""
        return self.loop.next_due()

    @property
    def counts(self) -> dict[str, int]:
        return self.loop.counts

    def _take(self, call: Callable[[Any], None], what: Any) -> None:
        """Danger: one fault, whatever it is, would end the turns for good, and all that is owed would be lost
        with a process that looks alive. What it touched may be in disorder; the rest is not."""
        again = True
        while again:
            try:
                call(what)
                self._run()
                again = False
            except Exception:
                if not self.goes_on:
                    raise
                self.loop.count("faults")
                self.loop.emit(ev.Report("fault", {"at": traceback.format_exc(limit=-3)}))
                call, again = _nothing, bool(self.loop.module_events)  # the module has still to hear the rest

    def _run(self) -> None:
        """Let the module decide on what has been fed, and carry its actions out, until both are done."""
        told = self.loop.module_events
        while told:
            for action in self.module.handle(self.loop.now, told.popleft()):
                self._carriers[type(action)](action)

    def _pass_time(self) -> None:
        while (due := self.loop.pop_due()) is not None:
            self._take(due.call, due.what)

    def _timer(self, token: int) -> None:
        self.loop.notify_module(api.TimerFired(token))


def _nothing(_: Any) -> None:
    pass

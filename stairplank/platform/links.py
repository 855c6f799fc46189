"""Connections to machines: a small pool each, and whether a machine is still there. No I/O or clock.

Invariants (tests/platform/test_platform_links.py):

1. A set-up takes a connection with nothing else on it where there is one (``shared``: with fewer than so
   many), else a new one, up to the pool's bound: what spoils a connection takes few others along.
2. A connection with a set-up open is not closed for idleness.
3. A machine at which tasks stand has a connection, made anew once nothing has been received for
   ``refresh_us``, and every ``renew_us``: a machine sends on the next one what got lost on an old one, and
   one that has vanished lets no new one come up.
4. A machine is held to be dead only where dials fail for ``DEAD_US`` and nothing is received from it
   meanwhile, or where it refuses connections and none is up.
5. Bounds: ``pool_most`` a machine (more where all are suspect), ``links_most`` in all (those that come up and
   those that are being closed included), ``PENDING_MESSAGES_MOST`` messages kept for a machine out of reach.
   Where more machines want one than may have one, those with nothing open take turns.

6. A connection that is closed is read on until the machine has closed it too: a release may be on its way
   there. After one that broke off, a machine at which tasks stand is dialled at once, for what got lost on
   it.

Tables: ``links``, ``closing``, ``wanted``; ``machines`` belongs to the component of that name.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from typing import Protocol

from .. import interface as api
from ..planner.event_loop import EventLoop
from . import events as ev
from .messages import Message
from .tables import Attempt, Link, Machine, Test

LOOK_US = 100_000
LOOKS = 5  # a machine of which nothing is awaited is looked at in one of so many
# What stood at a machine that has vanished is due to its clients 8 s after its end: REFRESH_US since it was
# last received from, a dial's time-out, DEAD_US and the looks come to less, by this much. Danger: each
# planner dials nearly every machine so often.
REPORT_DUE_US = 7_300_000
REFRESH_US = 4_000_000
RENEW_US = 6_000_000  # the same where it answers: what got lost is sent on a new connection, due in 8 s too
REFRESH_LEAST_US = 1_000_000
SPARE_US = 4_000_000  # a connection without use is closed then
RETRY_US, RETRY_MOST_US = 100_000, 800_000  # between dials that failed
DEAD_US = 2_500_000
REFUSED_US = 100_000  # so long a machine refuses connections before what stood there is over
GONE_US = 3_000_000  # after the list reports it as gone, a machine may still send messages on its tasks
PENDING_MESSAGES_MOST = 1024
POOL_LEAST, POOL_MOST = 2, 6
SHARED = 4  # set-ups out on one connection before another is dialled, where the settings price a handshake
ROOM_SHARE = 16  # one in so many connections is kept free: a dial need not wait for a close


class Attempts(Protocol):
    def written(self, thing: Attempt | Test, link: int) -> None: ...
    def not_written(self, thing: Attempt | Test) -> bool: ...
    def unreachable(self, thing: Attempt | Test, result: api.Result = ...) -> None: ...
    def broken(self, thing: Attempt | Test) -> None: ...
    def called_back(self, thing: Attempt | Test) -> None: ...
    def machine_lost(self, machine: int, before: int | None = None) -> None: ...
    def may_leave(self, thing: Attempt | Test) -> bool: ...
    def message_of(self, thing: Attempt | Test) -> Message: ...
    def received(self, machine: int, link: int, message: Message) -> None: ...
    def test(self, test: Test) -> None: ...


class Links:
    def __init__(
        self, loop: EventLoop, sockets: int, dial_timeout_us: int, priced: bool, idle_us: int
    ) -> None:
        self.loop = loop
        self.attempts: Attempts
        self.machines: dict[int, Machine] = {}  # kept by ``machines``
        self.links: dict[int, Link] = {}
        self.closing: dict[int, int] = {}  # connections that are read on, and their machines
        self.links_most = sockets // 2
        self.wanted: dict[int, None] = {}  # machines that wait for room for a connection
        self._served = 0
        self._looks = 0
        self.set_dialling(dial_timeout_us, priced)
        self.forget: Callable[[Machine], None]
        # Danger: machines close what is idle for so long, and what is written meanwhile may have run.
        idle_us = idle_us if idle_us > 0 else 2 * SPARE_US
        self.spare_us = min(SPARE_US, idle_us // 2)
        self.stale_us = idle_us * 3 // 4
        self.closing_all = False

    def set_dialling(self, dial_timeout_us: int, priced: bool) -> None:
        """How long a dial may take, and whether connections have a price, from now on."""
        self.shared = SHARED if priced else 1
        self.dial_timeout_us = dial_timeout_us
        # Danger: where dials take long, the end of what stood at a machine that has vanished would be
        # reported too late.
        self.refresh_us = max(REFRESH_LEAST_US, min(REFRESH_US, REPORT_DUE_US - DEAD_US - dial_timeout_us))
        self.renew_us = max(REFRESH_LEAST_US, min(RENEW_US, REPORT_DUE_US - dial_timeout_us))

    def start(self) -> None:
        self.loop.call_at(self.loop.now + LOOK_US, self._look)

    # Questions

    def is_open_to(self, machine: int) -> bool:
        known = self.machines.get(machine)
        return known is not None and known.status is api.NodeStatus.READY

    def place_of(self, machine: int) -> tuple[int, int, int] | None:
        """The machine's zone, its group and when it started."""
        known = self.machines.get(machine)
        return (*known.place, known.launched) if known is not None else None

    @property
    def pool_most(self) -> int:
        return max(POOL_LEAST, min(POOL_MOST, self.links_most // max(1, len(self.machines))))

    # Events of the node list

    def hang_up_on(self, machine: Machine) -> None:
        for link in list(machine.links.values()):
            self._break(link)

    def drop_waiting(self, machine: Machine) -> None:
        """Danger: a set-up that waited for its connection would leave after the drain was reported."""
        waiting, machine.waiting = machine.waiting, deque()
        for thing in waiting:
            if isinstance(thing, Test) and machine.status is api.NodeStatus.DRAINING:
                machine.waiting.append(thing)
            else:
                self.attempts.unreachable(thing, api.Result.NOT_SENT)

    # Sending

    def send(self, thing: Attempt | Test) -> None:
        machine = self.machines.get(thing.machine)
        if machine is None or machine.gone_at:
            self.attempts.unreachable(thing)
            return
        ups = [k for k in machine.links.values() if k.up and not k.suspect]
        best = min(ups, key=lambda k: (len(k.open), -k.opened), default=None)
        if best is not None and self._is_stale(best):
            ups = [k for k in ups if not self._is_stale(k)]
            best = min(ups, key=lambda k: (len(k.open), -k.opened), default=None)
        if best is not None and len(best.open) < self.shared:
            self._write(best, thing)
            return
        dialling = sum(1 for k in machine.links.values() if not k.up)
        if dialling * self.shared <= len(machine.waiting) and self._may_dial(machine):
            self._dial(machine)
            dialling += 1
        if dialling * self.shared > len(machine.waiting) or best is None:
            machine.waiting.append(thing)
            if not dialling:
                self._want(machine)
        else:
            self._write(best, thing)

    def _is_stale(self, link: Link) -> bool:
        """Whether its machine may be about to close it as idle."""
        return not link.open and max(link.used, link.opened) < self.loop.now - self.stale_us

    def _room(self) -> int:
        return 0 if self.closing_all else self.links_most - len(self.links) - len(self.closing)

    def _may_dial(self, machine: Machine) -> bool:
        return len(machine.links) < self.pool_most and self._room() > 0

    def _want(self, machine: Machine) -> None:
        """Dial it now, or as soon as there is room. Danger: dialled in any case, the connections to a fleet
        that runs something nearly everywhere would take all descriptors, the node list service's and clients'
        too."""
        if self._room() > 0:
            self._dial(machine)
            return
        self.wanted[machine.id] = None
        if len(self.closing) < len(self.wanted):
            self._free(1)

    def _free(self, count: int) -> None:
        """Close so many that nothing waits on, wherever they lead: those first whose machine has a newer one,
        or at which nothing stands. Danger: closing one for room would give up the set-ups that are out on
        it."""
        spare = [k for k in self.links.values() if k.up and not k.open]
        for link in heapq.nsmallest(count, spare, key=self._use_of):
            self.loop.count("closed_for_room")
            self._break(link)

    def _use_of(self, link: Link) -> tuple[bool, int]:
        machine = self.machines[link.machine]
        return machine.standing > 0 and link.opened == machine.opened, max(link.used, link.opened)

    def _serve(self) -> None:
        """There may be room again: in turns a machine for which something waits, and the one that waits
        longest. Danger: in a jam something always waits, and the end of a task elsewhere is not received."""
        while self.wanted and self._room() > 0:
            self._served += 1
            number = next(iter(self.wanted))
            if self._served % 2:
                urgent = (n for n in self.wanted if n in self.machines and self.machines[n].waiting)
                number = next(urgent, number)
            del self.wanted[number]
            machine = self.machines.get(number)
            if machine is None or machine.gone_at or not all(k.up for k in machine.links.values()):
                continue
            if machine.waiting or machine.standing:
                self._dial(machine)

    def _write(self, link: Link, thing: Attempt | Test) -> None:
        """Danger: what was decided a dial or a break ago may not leave now: the machine drains by this time,
        has restarted, so that it is cold or in another group, or the window in which a repeat is dropped is
        over."""
        if not self.attempts.may_leave(thing):
            self.loop.count("may_not_leave")
            self.attempts.unreachable(thing, api.Result.NOT_SENT)
            return
        link.open[thing.id] = thing
        link.used = self.loop.now
        self.attempts.written(thing, link.number)
        self.loop.emit(ev.SendToMachine(link.number, self.attempts.message_of(thing)))

    def done(self, thing: Attempt | Test, *, silent: bool = False) -> None:
        """Nothing more is awaited for it. ``silent``: its answer did not come."""
        link = self.links.get(thing.link)
        if link is None or link.open.get(thing.id) is not thing:
            machine = self.machines.get(thing.machine)
            if machine is not None and not thing.link and thing in machine.waiting:
                machine.waiting.remove(thing)
            return
        del link.open[thing.id]
        link.used = self.loop.now
        # Danger: an answer that stopped short leaves a connection on which nothing more will come.
        link.suspect |= silent
        if link.suspect and not link.open:
            self._break(link)

    def send_message(self, machine: int, message: Message, link: int = 0, *, keep: bool = False) -> None:
        """Send a message that expects no answer: on that connection, or, with ``keep``, on any, or on the
        next."""
        known = self.machines.get(machine)
        if known is None:
            return
        given = known.links.get(link)
        if given is not None and given.up:
            self.loop.emit(ev.SendToMachine(link, message))
            return
        if link and not keep:
            return  # the closing of its connection has given it up already
        up = next((k for k in known.links.values() if k.up and not k.suspect), None)
        if up is not None:
            self.loop.emit(ev.SendToMachine(up.number, message))
        elif len(known.pending_messages) < PENDING_MESSAGES_MOST:
            known.pending_messages[message.id] = message

    def add_standing(self, machine: int, by: int) -> None:
        known = self.machines.get(machine)
        if known is not None:
            known.standing += by

    # Events of connections

    def came_up(self, event: ev.LinkUp) -> None:
        link = self.links.get(event.link)
        if link is None:
            return
        link.up, link.opened = True, self.loop.now
        machine = self.machines[link.machine]
        machine.fails = machine.failing_since = machine.refused_since = machine.dial_at = 0
        machine.opened = link.opened
        pending, machine.pending_messages = machine.pending_messages, {}
        for message in pending.values():
            self.loop.emit(ev.SendToMachine(link.number, message))
        # Danger: what no dial is under way for would wait here until its own time is over.
        last = all(k.up for k in machine.links.values())
        while machine.waiting and (last or len(link.open) < self.shared):
            self._write(link, machine.waiting.popleft())

    def failed(self, event: ev.LinkFailed) -> None:
        link = self.links.get(event.link)
        if link is None:
            return
        machine = self.machines[link.machine]
        self._drop(link)
        now = self.loop.now
        machine.fails += 1
        machine.dial_at = now + min(RETRY_US << min(machine.fails - 1, 4), RETRY_MOST_US)
        if event.ours:
            # Danger: out of descriptors ourselves, every machine would count as dead, and its tasks as lost.
            self.loop.count("dials_without_means")
        else:
            self.loop.count("dials_refused" if event.refused else "dials_silent")
            machine.failing_since = machine.failing_since or now
            machine.refused_since = (machine.refused_since or now) if event.refused else 0
        best = min(
            (k for k in machine.links.values() if k.up and not k.suspect),
            key=lambda k: len(k.open),
            default=None,
        )
        dialling = any(not k.up for k in machine.links.values())
        result = api.Result.NOT_SENT if event.ours else api.Result.UNREACHABLE
        # Danger: what piles up in an outage would leave at once with the first connection that comes up, and
        # the machine may be cold by then. It goes elsewhere after as long as a dial may take.
        while best is None and machine.waiting and machine.waiting[0].began + self.dial_timeout_us <= now:
            self.attempts.unreachable(machine.waiting.popleft(), result)
        # Where nobody listens, none that waits will come through; else each dial answers for one.
        count = len(machine.waiting) if event.refused and not dialling else min(1, len(machine.waiting))
        for _ in range(count):
            if best is not None:
                self._write(best, machine.waiting.popleft())
            elif not dialling:
                self.attempts.unreachable(machine.waiting.popleft(), result)
        self._serve()

    def lost(self, event: ev.LinkLost) -> None:
        link = self.links.get(event.link)
        self.closing.pop(event.link, None)
        if link is None:
            self._serve()
            return
        # Danger: one that is over already would count among those that are read on until they close, for
        # good, and once half of the descriptors has gone so nothing more would be dialled.
        link.up = False
        self._break(link, event.unsent)
        # Danger: a release that was on its way there comes only on the next connection, and is due
        # in a second.
        machine = self.machines.get(link.machine)
        if machine is not None:
            machine.opened = 0
            wants = machine.standing and not machine.gone_at and self._may_dial(machine)
            if wants and all(k.up for k in machine.links.values()) and self.loop.now >= machine.dial_at:
                self._dial(machine)
        self._serve()

    def unsent(self, event: ev.Unsent) -> None:
        """They go elsewhere: they might not leave for this machine any more."""
        link = self.links.get(event.link)
        for id in event.ids if link is not None else ():
            thing = link.open.pop(id, None)  # type: ignore[union-attr]
            if thing is not None:
                self.attempts.not_written(thing)
                self.attempts.unreachable(thing, api.Result.NOT_SENT)

    def may_leave(self, link: int, id: str) -> bool:
        """Whether it is still to go there: not given up meanwhile, and allowed now."""
        known = self.links.get(link)
        thing = known.open.get(id) if known is not None else None
        return thing is not None and self.attempts.may_leave(thing)

    def close_all(self) -> None:
        """Nothing is out any more: all connections are closed, and none is made."""
        self.closing_all = True
        self.wanted.clear()
        for link in list(self.links.values()):
            self._break(link)

    def received(self, event: ev.MachineMessage) -> None:
        link = self.links.get(event.link)
        if link is None:
            if event.link in self.closing:
                self.attempts.received(self.closing[event.link], event.link, event.message)
            return
        machine = self.machines[link.machine]
        link.used = self.loop.now
        machine.last_received = link.used
        machine.failing_since = machine.refused_since = 0
        self.attempts.received(machine.id, link.number, event.message)

    # Dialling and closing

    def _dial(self, machine: Machine) -> None:
        link = Link(self.loop.next_number(), machine.id)
        self.links[link.number] = machine.links[link.number] = link
        self.loop.count("dials")
        self.loop.emit(ev.Dial(link.number, machine.address))

    def _drop(self, link: Link) -> None:
        self.links.pop(link.number, None)
        machine = self.machines.get(link.machine)
        if machine is not None:
            machine.links.pop(link.number, None)

    def _break(self, link: Link, unsent: frozenset[str] = frozenset()) -> None:
        """Close it, if it is not closed yet. What was written whole on it is broken; the rest goes again.

        Danger: a connection is read on after its close, and until the machine has seen that close what is out
        on it is not given up: the module may send a second copy at once. So the machine is notified first.
        """
        for thing in link.open.values():
            if link.up and thing.id not in unsent:
                self.attempts.called_back(thing)
        self.loop.emit(ev.CloseLink(link.number))
        if link.up:
            self.closing[link.number] = link.machine
        self._drop(link)
        things, link.open = list(link.open.values()), {}
        again = []
        for thing in things:
            if thing.id in unsent and self.attempts.not_written(thing):
                again.append(thing)
            else:
                self.attempts.broken(thing)
        for thing in again:
            if self.loop.now < thing.began + self.dial_timeout_us:
                self.send(thing)
            else:
                self.attempts.unreachable(thing)

    def _look(self, _: None) -> None:
        self.loop.call_at(self.loop.now + LOOK_US, self._look)
        self._looks += 1
        turn = self._looks % LOOKS
        for machine in list(self.machines.values()):
            if self._is_awaited(machine) or machine.id % LOOKS == turn:
                self._look_at(machine)
        # Danger: without room kept, each task for a machine that has no connection would wait for a close.
        short = self.links_most // ROOM_SHARE - self._room() - len(self.closing)
        if short > 0:
            self._free(short)
        self._serve()
        for number in list(self.wanted):
            self._waited(self.machines[number])

    @staticmethod
    def _is_awaited(machine: Machine) -> bool:
        """Whether something is due there soon. Danger: counted among these for having no connection, nearly
        the whole list of a large site would be looked at each time, by each planner, with nothing to do."""
        if machine.standing and not machine.links:
            return True
        return bool(machine.waiting or machine.failing_since or machine.gone_at)

    def _waited(self, machine: Machine) -> None:
        """Danger: what waits for room would wait for the answers of others, up to its own time. After as long
        as a dial may take it goes elsewhere."""
        while machine.waiting and machine.waiting[0].began + self.dial_timeout_us < self.loop.now:
            self.attempts.unreachable(machine.waiting.popleft(), api.Result.NOT_SENT)

    def _look_at(self, machine: Machine) -> None:
        now = self.loop.now
        if machine.status is api.NodeStatus.GONE and (machine.gone_at or not machine.standing):
            # The list reports it, or a full list left it out and what stood there is over.
            if not machine.standing or now > machine.gone_at + GONE_US:
                self._leave(machine)
            return
        ups = [k for k in machine.links.values() if k.up]
        dialling = len(machine.links) - len(ups)
        newest = max((k.opened for k in ups), default=0)
        if dialling or now < machine.dial_at:
            pass
        elif machine.standing and self._is_due(machine):
            if len(machine.links) >= self.pool_most:
                idle = [k for k in ups if not k.open]
                if idle:
                    self._break(min(idle, key=lambda k: k.opened))
            if not ups or len(machine.links) < self.pool_most:
                self._want(machine)
        elif machine.waiting and (not ups or self._may_dial(machine)):
            self._want(machine)
        for link in ups:
            spare = link.opened < newest or not machine.standing
            if not link.open and spare and now - max(link.used, link.opened) > self.spare_us:
                self._break(link)
        if machine.failing_since:
            self._doubt(machine, now, bool(ups))

    def _is_due(self, machine: Machine) -> bool:
        last = max(machine.opened, machine.last_received)
        due = min(last + self.refresh_us, machine.opened + self.renew_us)
        return not machine.opened or self.loop.now > due

    def _doubt(self, machine: Machine, now: int, up: bool) -> None:
        """Dials fail. Danger: a machine may let no new connection come up and still run all it has."""
        dead = now - machine.failing_since > DEAD_US
        refused = machine.refused_since and now - machine.refused_since > REFUSED_US and not up
        if refused or dead:
            if machine.standing:
                fields: dict[str, object] = {"machine": machine.name, "standing": machine.standing}
                self.loop.emit(ev.Report("machine lost", fields))
            for link in list(machine.links.values()):
                self._break(link)
            self.attempts.machine_lost(machine.id)
            machine.failing_since = machine.refused_since = 0
        elif up and now - machine.asked_at > DEAD_US // 2:
            machine.asked_at = now
            self.attempts.test(
                Test(f"{self.loop.next_number() | 1 << 63:016x}", machine.id, now, asked=False)
            )

    def _leave(self, machine: Machine) -> None:
        """It is gone from the list, and has had its time to report what became of its tasks."""
        self.attempts.machine_lost(machine.id)
        self.hang_up_on(machine)
        self.wanted.pop(machine.id, None)
        self.forget(machine)

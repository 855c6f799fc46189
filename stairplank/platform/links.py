"""Connections to machines: a small pool each, and whether a machine is still there. No I/O or clock.

Invariants (tests/platform/test_platform_links.py):

1. A set-up takes a connection with nothing else on it where there is one (with fewer than ``max_outstanding``
   many), else a new one, up to the pool's bound: what spoils a connection takes few others along.
2. A connection with a set-up open is not closed for idleness.
3. A machine at which tasks stand has a connection, made anew once nothing has been received for
   ``refresh_us``, and every ``renew_us``: a machine sends on the next one what got lost on an old one, and
   one that has vanished lets no new one come up.
4. A machine is held to be dead only where dials fail for ``DEAD_US`` and nothing is received from it
   meanwhile, or where it refuses connections and none is up.
5. Bounds: ``max_pool`` a machine (more where all are suspect), ``max_links`` in all (those that come up and
   those that are being closed included), ``MAX_PENDING_MESSAGES`` messages kept for a machine out of reach.
   Where more machines want one than may have one, those with nothing open take turns.

6. A connection that is closed is read on until the machine has closed it too: a release may be on its way
   there. After one that broke off, a machine at which tasks stand is dialled at once, for what got lost on
   it.

Tables: ``links``, ``closing``, ``dial_queue``; ``machines`` belongs to the component of that name.
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
from .tables import HealthCheck, Link, Machine, OutboundRequest

CHECK_INTERVAL_US = 100_000
CHECK_ROUNDS = 5  # a machine of which nothing is awaited is looked at in one of so many
# What stood at a machine that has vanished is due to its clients 8 s after its end: REFRESH_US since it was
# last received from, a dial's time-out, DEAD_US and the looks come to less, by this much. Danger: each
# planner dials nearly every machine so often.
REPORT_DUE_US = 7_300_000
REFRESH_US = 4_000_000
RENEW_US = 6_000_000  # the same where it answers: what got lost is sent on a new connection, due in 8 s too
MIN_REFRESH_US = 1_000_000
IDLE_LINK_US = 4_000_000  # a connection without use is closed then
DIAL_BACKOFF_US, MAX_DIAL_BACKOFF_US = 100_000, 800_000  # between dials that failed
UNREACHABLE_US = 2_500_000
REFUSED_US = 100_000  # so long a machine refuses connections before what stood there is over
REMOVAL_GRACE_US = (
    3_000_000  # after the list reports it as gone, a machine may still send messages on its tasks
)
MAX_PENDING_MESSAGES = 1024
MIN_POOL, MAX_POOL = 2, 6
MAX_SHARED = (
    4  # set-ups out on one connection before another is dialled, where the settings price a handshake
)
FREE_SHARE = 16  # one in so many connections is kept free: a dial need not wait for a close


class Requests(Protocol):
    """What the links need of the components that send requests."""

    def written(self, request: OutboundRequest, link: int) -> None: ...
    def not_written(self, request: OutboundRequest) -> bool: ...
    def unreachable(self, request: OutboundRequest, result: api.Result = ...) -> None: ...
    def broken(self, request: OutboundRequest) -> None: ...
    def recall(self, request: OutboundRequest) -> None: ...
    def may_send(self, request: OutboundRequest) -> bool: ...
    def message_of(self, request: OutboundRequest) -> Message: ...
    def received(self, machine: int, link: int, message: Message) -> None: ...


class Attempts(Protocol):
    """What the links need of the attempts at machines."""

    def machine_lost(self, machine: int, before: int | None = None) -> None: ...


class HealthChecks(Protocol):
    """What the links need of the health checks."""

    def check_machine(self, machine: int) -> None: ...


class Links:
    def __init__(
        self, loop: EventLoop, sockets: int, dial_timeout_us: int, has_handshake_price: bool, idle_us: int
    ) -> None:
        self.loop = loop
        self.requests: Requests
        self.attempts: Attempts
        self.health_checks: HealthChecks
        self.machines: dict[int, Machine] = {}  # kept by ``machines``
        self.links: dict[int, Link] = {}
        self.closing: dict[int, int] = {}  # connections that are read on, and their machines
        self.max_links = sockets // 2
        self.dial_queue: dict[int, None] = {}  # machines that wait for room for a connection
        self._dial_queue_turns = 0
        self._check_count = 0
        self.set_dialling(dial_timeout_us, has_handshake_price)
        self.forget: Callable[[Machine], None]
        # Danger: machines close what is idle for so long, and what is written meanwhile may have run.
        idle_us = idle_us if idle_us > 0 else 2 * IDLE_LINK_US
        self.idle_timeout_us = min(IDLE_LINK_US, idle_us // 2)
        self.stale_us = idle_us * 3 // 4
        self.closing_all = False

    def set_dialling(self, dial_timeout_us: int, has_handshake_price: bool) -> None:
        """How long a dial may take, and whether connections have a price, from now on."""
        self.max_outstanding = MAX_SHARED if has_handshake_price else 1
        self.dial_timeout_us = dial_timeout_us
        # Danger: where dials take long, the end of what stood at a machine that has vanished would be
        # reported too late.
        self.refresh_us = max(
            MIN_REFRESH_US, min(REFRESH_US, REPORT_DUE_US - UNREACHABLE_US - dial_timeout_us)
        )
        self.renew_us = max(MIN_REFRESH_US, min(RENEW_US, REPORT_DUE_US - dial_timeout_us))

    def start(self) -> None:
        self.loop.call_at(self.loop.now + CHECK_INTERVAL_US, self._check_machines)

    # Questions

    def is_ready(self, machine: int) -> bool:
        known = self.machines.get(machine)
        return known is not None and known.status is api.NodeStatus.READY

    def place_of(self, machine: int) -> tuple[int, int, int] | None:
        """The machine's zone, its group and when it started."""
        known = self.machines.get(machine)
        return (*known.place, known.started_at) if known is not None else None

    @property
    def max_pool(self) -> int:
        return max(MIN_POOL, min(MAX_POOL, self.max_links // max(1, len(self.machines))))

    # Events of the node list

    def close_links_to(self, machine: Machine) -> None:
        for link in list(machine.links.values()):
            self._close(link)

    def drop_waiting(self, machine: Machine) -> None:
        """Danger: a set-up that waited for its connection would leave after the drain was reported."""
        waiting, machine.waiting = machine.waiting, deque()
        for request in waiting:
            if isinstance(request, HealthCheck) and machine.status is api.NodeStatus.DRAINING:
                machine.waiting.append(request)
            else:
                self.requests.unreachable(request, api.Result.NOT_SENT)

    # Sending

    def send(self, request: OutboundRequest) -> None:
        machine = self.machines.get(request.machine)
        if machine is None or machine.removed_at:
            self.requests.unreachable(request)
            return
        ups = [k for k in machine.links.values() if k.is_up and not k.is_suspect]
        best = min(ups, key=lambda k: (len(k.outstanding), -k.opened_at), default=None)
        if best is not None and self._is_stale(best):
            ups = [k for k in ups if not self._is_stale(k)]
            best = min(ups, key=lambda k: (len(k.outstanding), -k.opened_at), default=None)
        if best is not None and len(best.outstanding) < self.max_outstanding:
            self._write(best, request)
            return
        dialling = sum(1 for k in machine.links.values() if not k.is_up)
        if dialling * self.max_outstanding <= len(machine.waiting) and self._may_dial(machine):
            self._dial(machine)
            dialling += 1
        if dialling * self.max_outstanding > len(machine.waiting) or best is None:
            machine.waiting.append(request)
            if not dialling:
                self._dial_or_queue(machine)
        else:
            self._write(best, request)

    def _is_stale(self, link: Link) -> bool:
        """Whether its machine may be about to close it as idle."""
        return not link.outstanding and max(link.used_at, link.opened_at) < self.loop.now - self.stale_us

    def _capacity(self) -> int:
        return 0 if self.closing_all else self.max_links - len(self.links) - len(self.closing)

    def _may_dial(self, machine: Machine) -> bool:
        return len(machine.links) < self.max_pool and self._capacity() > 0

    def _dial_or_queue(self, machine: Machine) -> None:
        """Dial it now, or as soon as there is room. Danger: dialled in any case, the connections to a fleet
        that runs something nearly everywhere would take all descriptors, the node list service's and clients'
        too."""
        if self._capacity() > 0:
            self._dial(machine)
            return
        self.dial_queue[machine.id] = None
        if len(self.closing) < len(self.dial_queue):
            self._close_idle(1)

    def _close_idle(self, count: int) -> None:
        """Close so many that nothing waits on, wherever they lead: those first whose machine has a newer one,
        or at which nothing stands. Danger: closing one for room would give up the set-ups that are out on
        it."""
        spare = [k for k in self.links.values() if k.is_up and not k.outstanding]
        for link in heapq.nsmallest(count, spare, key=self._closing_order):
            self.loop.count("closed_for_room")
            self._close(link)

    def _closing_order(self, link: Link) -> tuple[bool, int]:
        machine = self.machines[link.machine]
        return machine.running_count > 0 and link.opened_at == machine.opened_at, max(
            link.used_at, link.opened_at
        )

    def _dial_queued(self) -> None:
        """There may be room again: in turns a machine for which something waits, and the one that waits
        longest. Danger: in a jam something always waits, and the end of a task elsewhere is not received."""
        while self.dial_queue and self._capacity() > 0:
            self._dial_queue_turns += 1
            number = next(iter(self.dial_queue))
            if self._dial_queue_turns % 2:
                urgent = (n for n in self.dial_queue if n in self.machines and self.machines[n].waiting)
                number = next(urgent, number)
            del self.dial_queue[number]
            machine = self.machines.get(number)
            if machine is None or machine.removed_at or not all(k.is_up for k in machine.links.values()):
                continue
            if machine.waiting or machine.running_count:
                self._dial(machine)

    def _write(self, link: Link, request: OutboundRequest) -> None:
        """Danger: what was decided a dial or a break ago may not leave now: the machine drains by this time,
        has restarted, so that it is cold or in another group, or the window in which a repeat is dropped is
        over."""
        if not self.requests.may_send(request):
            self.loop.count("may_not_leave")
            self.requests.unreachable(request, api.Result.NOT_SENT)
            return
        link.outstanding[request.id] = request
        link.used_at = self.loop.now
        self.requests.written(request, link.number)
        self.loop.emit(ev.SendToMachine(link.number, self.requests.message_of(request)))

    def complete(self, request: OutboundRequest, *, unanswered: bool = False) -> None:
        """Nothing more is awaited for it. ``silent``: its answer did not come."""
        link = self.links.get(request.link)
        if link is None or link.outstanding.get(request.id) is not request:
            machine = self.machines.get(request.machine)
            if machine is not None and not request.link and request in machine.waiting:
                machine.waiting.remove(request)
            return
        del link.outstanding[request.id]
        link.used_at = self.loop.now
        # Danger: an answer that stopped short leaves a connection on which nothing more will come.
        link.is_suspect |= unanswered
        if link.is_suspect and not link.outstanding:
            self._close(link)

    def send_message(
        self, machine: int, message: Message, link: int = 0, *, must_arrive: bool = False
    ) -> None:
        """Send a message that expects no answer: on that connection, or, with ``keep``, on any, or on the
        next."""
        known = self.machines.get(machine)
        if known is None:
            return
        given = known.links.get(link)
        if given is not None and given.is_up:
            self.loop.emit(ev.SendToMachine(link, message))
            return
        if link and not must_arrive:
            return  # the closing of its connection has given it up already
        up = next((k for k in known.links.values() if k.is_up and not k.is_suspect), None)
        if up is not None:
            self.loop.emit(ev.SendToMachine(up.number, message))
        elif len(known.pending_messages) < MAX_PENDING_MESSAGES:
            known.pending_messages[message.id] = message

    def add_running(self, machine: int, by: int) -> None:
        known = self.machines.get(machine)
        if known is not None:
            known.running_count += by

    # Events of connections

    def link_up(self, event: ev.LinkUp) -> None:
        link = self.links.get(event.link)
        if link is None:
            return
        link.is_up, link.opened_at = True, self.loop.now
        machine = self.machines[link.machine]
        machine.failed_dials = machine.failing_since = machine.refused_since = machine.next_dial_at = 0
        machine.opened_at = link.opened_at
        pending, machine.pending_messages = machine.pending_messages, {}
        for message in pending.values():
            self.loop.emit(ev.SendToMachine(link.number, message))
        # Danger: what no dial is under way for would wait here until its own time is over.
        last = all(k.is_up for k in machine.links.values())
        while machine.waiting and (last or len(link.outstanding) < self.max_outstanding):
            self._write(link, machine.waiting.popleft())

    def link_failed(self, event: ev.LinkFailed) -> None:
        link = self.links.get(event.link)
        if link is None:
            return
        machine = self.machines[link.machine]
        self._remove_link(link)
        now = self.loop.now
        machine.failed_dials += 1
        machine.next_dial_at = now + min(
            DIAL_BACKOFF_US << min(machine.failed_dials - 1, 4), MAX_DIAL_BACKOFF_US
        )
        if event.ours:
            # Danger: out of descriptors ourselves, every machine would count as dead, and its tasks as lost.
            self.loop.count("dials_without_means")
        else:
            self.loop.count("dials_refused" if event.refused else "dials_silent")
            machine.failing_since = machine.failing_since or now
            machine.refused_since = (machine.refused_since or now) if event.refused else 0
        best = min(
            (k for k in machine.links.values() if k.is_up and not k.is_suspect),
            key=lambda k: len(k.outstanding),
            default=None,
        )
        dialling = any(not k.is_up for k in machine.links.values())
        result = api.Result.NOT_SENT if event.ours else api.Result.UNREACHABLE
        # Danger: what piles up in an outage would leave at once with the first connection that comes up, and
        # the machine may be cold by then. It goes elsewhere after as long as a dial may take.
        while (
            best is None and machine.waiting and machine.waiting[0].started_at + self.dial_timeout_us <= now
        ):
            self.requests.unreachable(machine.waiting.popleft(), result)
        # Where nobody listens, none that waits will come through; else each dial answers for one.
        count = len(machine.waiting) if event.refused and not dialling else min(1, len(machine.waiting))
        for _ in range(count):
            if best is not None:
                self._write(best, machine.waiting.popleft())
            elif not dialling:
                self.requests.unreachable(machine.waiting.popleft(), result)
        self._dial_queued()

    def link_lost(self, event: ev.LinkLost) -> None:
        link = self.links.get(event.link)
        self.closing.pop(event.link, None)
        if link is None:
            self._dial_queued()
            return
        # Danger: one that is over already would count among those that are read on until they close, for
        # good, and once half of the descriptors has gone so nothing more would be dialled.
        link.is_up = False
        self._close(link, event.unsent)
        # Danger: a release that was on its way there comes only on the next connection, and is due
        # in a second.
        machine = self.machines.get(link.machine)
        if machine is not None:
            machine.opened_at = 0
            wants = machine.running_count and not machine.removed_at and self._may_dial(machine)
            if (
                wants
                and all(k.is_up for k in machine.links.values())
                and self.loop.now >= machine.next_dial_at
            ):
                self._dial(machine)
        self._dial_queued()

    def messages_unsent(self, event: ev.MessagesUnsent) -> None:
        """They go elsewhere: they might not leave for this machine any more."""
        link = self.links.get(event.link)
        for id in event.ids if link is not None else ():
            request = link.outstanding.pop(id, None)  # type: ignore[union-attr]
            if request is not None:
                self.requests.not_written(request)
                self.requests.unreachable(request, api.Result.NOT_SENT)

    def may_send(self, link: int, id: str) -> bool:
        """Whether it is still to go there: not given up meanwhile, and allowed now."""
        known = self.links.get(link)
        request = known.outstanding.get(id) if known is not None else None
        return request is not None and self.requests.may_send(request)

    def close_all(self) -> None:
        """Nothing is out any more: all connections are closed, and none is made."""
        self.closing_all = True
        self.dial_queue.clear()
        for link in list(self.links.values()):
            self._close(link)

    def received(self, event: ev.MachineMessage) -> None:
        link = self.links.get(event.link)
        if link is None:
            if event.link in self.closing:
                self.requests.received(self.closing[event.link], event.link, event.message)
            return
        machine = self.machines[link.machine]
        link.used_at = self.loop.now
        machine.last_received_at = link.used_at
        machine.failing_since = machine.refused_since = 0
        self.requests.received(machine.id, link.number, event.message)

    # Dialling and closing

    def _dial(self, machine: Machine) -> None:
        link = Link(self.loop.next_number(), machine.id)
        self.links[link.number] = machine.links[link.number] = link
        self.loop.count("dials")
        self.loop.emit(ev.Dial(link.number, machine.address))

    def _remove_link(self, link: Link) -> None:
        self.links.pop(link.number, None)
        machine = self.machines.get(link.machine)
        if machine is not None:
            machine.links.pop(link.number, None)

    def _close(self, link: Link, unsent: frozenset[str] = frozenset()) -> None:
        """Close it, if it is not closed yet. What was written whole on it is broken; the rest goes again.

        Danger: a connection is read on after its close, and until the machine has seen that close what is out
        on it is not given up: the module may send a second copy at once. So the machine is notified first.
        """
        for request in link.outstanding.values():
            if link.is_up and request.id not in unsent:
                self.requests.recall(request)
        self.loop.emit(ev.CloseLink(link.number))
        if link.is_up:
            self.closing[link.number] = link.machine
        self._remove_link(link)
        requests, link.outstanding = list(link.outstanding.values()), {}
        again = []
        for request in requests:
            if request.id in unsent and self.requests.not_written(request):
                again.append(request)
            else:
                self.requests.broken(request)
        for request in again:
            if self.loop.now < request.started_at + self.dial_timeout_us:
                self.send(request)
            else:
                self.requests.unreachable(request)

    def _check_machines(self, _: None) -> None:
        self.loop.call_at(self.loop.now + CHECK_INTERVAL_US, self._check_machines)
        self._check_count += 1
        turn = self._check_count % CHECK_ROUNDS
        for machine in list(self.machines.values()):
            if self._needs_attention(machine) or machine.id % CHECK_ROUNDS == turn:
                self._check_machine(machine)
        # Danger: without room kept, each task for a machine that has no connection would wait for a close.
        short = self.max_links // FREE_SHARE - self._capacity() - len(self.closing)
        if short > 0:
            self._close_idle(short)
        self._dial_queued()
        for number in list(self.dial_queue):
            self._expire_waiting(self.machines[number])

    @staticmethod
    def _needs_attention(machine: Machine) -> bool:
        """Whether something is due there soon. Danger: counted among these for having no connection, nearly
        the whole list of a large site would be looked at each time, by each planner, with nothing to do."""
        if machine.running_count and not machine.links:
            return True
        return bool(machine.waiting or machine.failing_since or machine.removed_at)

    def _expire_waiting(self, machine: Machine) -> None:
        """Danger: what waits for room would wait for the answers of others, up to its own time. After as long
        as a dial may take it goes elsewhere."""
        while machine.waiting and machine.waiting[0].started_at + self.dial_timeout_us < self.loop.now:
            self.requests.unreachable(machine.waiting.popleft(), api.Result.NOT_SENT)

    def _check_machine(self, machine: Machine) -> None:
        now = self.loop.now
        if machine.status is api.NodeStatus.GONE and (machine.removed_at or not machine.running_count):
            # The list reports it, or a full list left it out and what stood there is over.
            if not machine.running_count or now > machine.removed_at + REMOVAL_GRACE_US:
                self._remove(machine)
            return
        ups = [k for k in machine.links.values() if k.is_up]
        dialling = len(machine.links) - len(ups)
        newest = max((k.opened_at for k in ups), default=0)
        if dialling or now < machine.next_dial_at:
            pass
        elif machine.running_count and self._is_due(machine):
            if len(machine.links) >= self.max_pool:
                idle = [k for k in ups if not k.outstanding]
                if idle:
                    self._close(min(idle, key=lambda k: k.opened_at))
            if not ups or len(machine.links) < self.max_pool:
                self._dial_or_queue(machine)
        elif machine.waiting and (not ups or self._may_dial(machine)):
            self._dial_or_queue(machine)
        for link in ups:
            spare = link.opened_at < newest or not machine.running_count
            if (
                not link.outstanding
                and spare
                and now - max(link.used_at, link.opened_at) > self.idle_timeout_us
            ):
                self._close(link)
        if machine.failing_since:
            self._check_failing(machine, now, bool(ups))

    def _is_due(self, machine: Machine) -> bool:
        last = max(machine.opened_at, machine.last_received_at)
        due = min(last + self.refresh_us, machine.opened_at + self.renew_us)
        return not machine.opened_at or self.loop.now > due

    def _check_failing(self, machine: Machine, now: int, up: bool) -> None:
        """Dials fail. Danger: a machine may let no new connection come up and still run all it has."""
        dead = now - machine.failing_since > UNREACHABLE_US
        refused = machine.refused_since and now - machine.refused_since > REFUSED_US and not up
        if refused or dead:
            if machine.running_count:
                fields: dict[str, object] = {"machine": machine.name, "standing": machine.running_count}
                self.loop.emit(ev.Report("machine lost", fields))
            for link in list(machine.links.values()):
                self._close(link)
            self.attempts.machine_lost(machine.id)
            machine.failing_since = machine.refused_since = 0
        elif up and now - machine.checked_at > UNREACHABLE_US // 2:
            machine.checked_at = now
            self.health_checks.check_machine(machine.id)

    def _remove(self, machine: Machine) -> None:
        """It is gone from the list, and has had its time to report what became of its tasks."""
        self.attempts.machine_lost(machine.id)
        self.close_links_to(machine)
        self.dial_queue.pop(machine.id, None)
        self.forget(machine)

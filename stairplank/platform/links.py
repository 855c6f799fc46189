"""Connections to machines: what is sent on which, and what becomes of it when one closes. No I/O or clock.

Invariants (tests/platform/test_platform_links.py):

1. A request takes a connection with nothing else on it where there is one (with fewer than
   ``max_outstanding``), else a new one, up to the pool's bound: what spoils a connection takes few others
   along.
2. A connection that is closed is read on until the machine has closed it too: a release may be on its way
   there. After one that broke off, a machine at which tasks run is dialled at once, for what got lost on it.
3. Bound: ``MAX_PENDING_MESSAGES`` messages are kept for a machine out of reach.

``pool`` (``link_pool``) has the connections; ``link_checks`` closes idle ones and finds unreachable machines.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

from .. import interface as api
from ..planner.event_loop import EventLoop
from . import events as ev
from .link_pool import LinkPool
from .messages import Message
from .tables import HealthCheck, Link, Machine, MachinePlace, OutboundRequest

IDLE_LINK_US = 4_000_000  # a connection without use is closed then
DIAL_BACKOFF_US, MAX_DIAL_BACKOFF_US = 100_000, 800_000  # between dials that failed
MAX_PENDING_MESSAGES = 1024
# Requests in flight on one connection before another is dialled, where the settings price a handshake.
MAX_SHARED = 4


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


class Links:
    """The connections to all machines, and the requests on them."""

    def __init__(
        self,
        loop: EventLoop,
        machines: dict[int, Machine],
        sockets: int,
        dial_timeout_us: int,
        has_handshake_price: bool,
        idle_us: int,
    ) -> None:
        """``machines``: kept by ``machines``; ``idle_us``: when machines close an idle connection."""
        self.loop = loop
        self.machines = machines
        self.requests: Requests
        self.pool = LinkPool(loop, machines, sockets // 2, self.close)
        self.links = self.pool.links
        self.set_dialling(dial_timeout_us, has_handshake_price)
        # Danger: machines close what is idle for so long, and what is written meanwhile may have run.
        self.stale_us = idle_us * 3 // 4

    def set_dialling(self, dial_timeout_us: int, has_handshake_price: bool) -> None:
        """How long a dial may take, and whether connections have a price, from now on."""
        self.max_outstanding = MAX_SHARED if has_handshake_price else 1
        self.dial_timeout_us = dial_timeout_us

    # Questions

    def is_ready(self, machine: int) -> bool:
        """Whether the list has the machine as ready for new work."""
        known = self.machines.get(machine)
        return known is not None and known.status is api.NodeStatus.READY

    def place_of(self, machine: int) -> MachinePlace | None:
        """The machine's zone, its group and when it started."""
        known = self.machines.get(machine)
        return MachinePlace(known.place, known.started_at) if known is not None else None

    # Events of the node list

    def close_links_to(self, machine: Machine) -> None:
        """Close all connections to the machine."""
        for link in list(machine.links.values()):
            self.close(link)

    def drop_waiting(self, machine: Machine) -> None:
        """Drop what waits for a connection; health checks still go to a machine that is draining.

        Danger: a placement request that waited for its connection would leave after the drain was reported.
        """
        waiting, machine.waiting = machine.waiting, deque()
        for request in waiting:
            if isinstance(request, HealthCheck) and machine.status is api.NodeStatus.DRAINING:
                machine.waiting.append(request)
            else:
                self.requests.unreachable(request, api.Result.NOT_SENT)

    # Sending

    def send(self, request: OutboundRequest) -> None:
        """Send it on the best connection, or have it wait for a new one."""
        machine = self.machines.get(request.machine)
        if machine is None or machine.removed_at:
            self.requests.unreachable(request)
            return
        best = self._best_link(machine)
        if best is not None and len(best.outstanding) < self.max_outstanding:
            self._write(best, request)
            return
        dials = machine.dials()
        if dials * self.max_outstanding <= len(machine.waiting) and self.pool.may_dial(machine):
            self.pool.dial(machine)
            dials += 1
        if best is not None and dials * self.max_outstanding <= len(machine.waiting):
            self._write(best, request)
            return
        machine.waiting.append(request)
        if not dials:
            self.pool.dial_or_queue(machine)

    def _best_link(self, machine: Machine) -> Link | None:
        """The usable connection with the fewest requests outstanding, the newest of these."""
        usable = [link for link in machine.usable_links() if not self._is_stale(link)]
        return min(usable, key=lambda link: (len(link.outstanding), -link.opened_at), default=None)

    def _is_stale(self, link: Link) -> bool:
        """Whether its machine may be about to close it as idle."""
        return not link.outstanding and max(link.used_at, link.opened_at) < self.loop.now - self.stale_us

    def _write(self, link: Link, request: OutboundRequest) -> None:
        """Danger: what was decided a dial or a break ago may not leave now: the machine drains by this time,
        has restarted, so that it is warming up or in another group, or the window in which a repeat is
        dropped is over.
        """
        if not self.requests.may_send(request):
            self.loop.count("withheld_requests")
            self.requests.unreachable(request, api.Result.NOT_SENT)
            return
        link.outstanding[request.id] = request
        link.used_at = self.loop.now
        self.requests.written(request, link.number)
        self.loop.emit(ev.SendToMachine(link.number, self.requests.message_of(request)))

    def complete(self, request: OutboundRequest, *, unanswered: bool = False) -> None:
        """Nothing more is awaited for it. ``unanswered``: its answer did not come in time."""
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
            self.close(link)

    def send_message(
        self, machine: int, message: Message, link: int = 0, *, must_arrive: bool = False
    ) -> None:
        """Send a message that expects no answer: on that connection, or, with ``must_arrive``, on any,
        or on the next.
        """
        known = self.machines.get(machine)
        if known is None:
            return
        given = known.links.get(link)
        if given is not None and given.is_up:
            self.loop.emit(ev.SendToMachine(link, message))
            return
        if link and not must_arrive:
            return  # the closing of its connection has given it up already
        usable = known.usable_links()
        if usable:
            self.loop.emit(ev.SendToMachine(usable[0].number, message))
        elif len(known.pending_messages) < MAX_PENDING_MESSAGES:
            known.pending_messages[message.id] = message

    def add_running(self, machine: int, by: int) -> None:
        """That many more tasks run at the machine."""
        known = self.machines.get(machine)
        if known is not None:
            known.running_count += by

    # Events of connections

    def link_up(self, event: ev.LinkUp) -> None:
        """A connection has come up: what waits for it leaves."""
        link = self.links.get(event.link)
        if link is None:
            return
        link.is_up = True
        link.opened_at = self.loop.now
        machine = self.machines[link.machine]
        machine.failed_dials = 0
        machine.failing_since = 0
        machine.refused_since = 0
        machine.next_dial_at = 0
        machine.opened_at = link.opened_at
        pending, machine.pending_messages = machine.pending_messages, {}
        for message in pending.values():
            self.loop.emit(ev.SendToMachine(link.number, message))
        # Danger: what no dial is under way for would wait here until its own time is over.
        is_last = not machine.dials()
        while machine.waiting and (is_last or len(link.outstanding) < self.max_outstanding):
            self._write(link, machine.waiting.popleft())

    def link_failed(self, event: ev.LinkFailed) -> None:
        """A dial has failed: requests that waited for it go elsewhere."""
        link = self.links.get(event.link)
        if link is None:
            return
        machine = self.machines[link.machine]
        self.pool.remove(link)
        self._count_failed_dial(machine, event)
        self._send_or_give_up(machine, event)
        self.pool.dial_queued()

    def _count_failed_dial(self, machine: Machine, event: ev.LinkFailed) -> None:
        now = self.loop.now
        machine.failed_dials += 1
        backoff_us = DIAL_BACKOFF_US << min(machine.failed_dials - 1, 4)
        machine.next_dial_at = now + min(backoff_us, MAX_DIAL_BACKOFF_US)
        if event.ours:
            # Danger: out of descriptors ourselves, every machine would count as dead, and its tasks as lost.
            self.loop.count("dials_without_descriptors")
            return
        self.loop.count("dials_refused" if event.refused else "dials_timed_out")
        machine.failing_since = machine.failing_since or now
        machine.refused_since = (machine.refused_since or now) if event.refused else 0

    def _send_or_give_up(self, machine: Machine, event: ev.LinkFailed) -> None:
        """What waits takes another connection, or is reported as unreachable."""
        best = min(machine.usable_links(), key=lambda link: len(link.outstanding), default=None)
        is_dialling = machine.dials() > 0
        result = api.Result.NOT_SENT if event.ours else api.Result.UNREACHABLE
        if best is None:
            # Danger: what piles up in an outage would leave at once with the first connection that comes up,
            # and the machine may be warming up by then. It goes elsewhere after as long as a dial may take.
            self._expire(machine, self.loop.now - self.dial_timeout_us, result)
        # Where nobody listens, none that waits will come through; else each dial answers for one.
        waiting_count = len(machine.waiting)
        count = waiting_count if event.refused and not is_dialling else min(1, waiting_count)
        for _ in range(count):
            if best is not None:
                self._write(best, machine.waiting.popleft())
            elif not is_dialling:
                self.requests.unreachable(machine.waiting.popleft(), result)

    def link_lost(self, event: ev.LinkLost) -> None:
        """A connection is no more, closed by either side or broken."""
        link = self.links.get(event.link)
        self.pool.closing.pop(event.link, None)
        if link is not None:
            # Danger: one that is over already would count among those that are read on until they close, for
            # good, and once half of the descriptors has gone so nothing more would be dialled.
            link.is_up = False
            self.close(link, event.unsent)
            self._dial_again(link.machine)
        self.pool.dial_queued()

    def _dial_again(self, number: int) -> None:
        """Danger: a release that was on its way here comes only on the next connection, and is due in a
        second.
        """
        machine = self.machines.get(number)
        if machine is None:
            return
        machine.opened_at = 0
        is_wanted = machine.running_count and not machine.removed_at and self.pool.may_dial(machine)
        if is_wanted and not machine.dials() and self.loop.now >= machine.next_dial_at:
            self.pool.dial(machine)

    def messages_unsent(self, event: ev.MessagesUnsent) -> None:
        """They go elsewhere: they might not leave for this machine any more."""
        link = self.links.get(event.link)
        if link is None:
            return
        for request_id in event.ids:
            request = link.outstanding.pop(request_id, None)
            if request is not None:
                self.requests.not_written(request)
                self.requests.unreachable(request, api.Result.NOT_SENT)

    def may_send(self, link: int, id: str) -> bool:
        """Whether that request is still to be sent there: not abandoned meanwhile, and allowed now."""
        known = self.links.get(link)
        request = known.outstanding.get(id) if known is not None else None
        return request is not None and self.requests.may_send(request)

    def close_all(self) -> None:
        """Nothing is in flight any more: all connections are closed, and none is dialled."""
        self.pool.closing_all = True
        self.pool.dial_queue.clear()
        for link in list(self.links.values()):
            self.close(link)

    def received(self, event: ev.MachineMessage) -> None:
        """A machine's message; a connection that is being closed is still read."""
        link = self.links.get(event.link)
        if link is None:
            if event.link in self.pool.closing:
                self.requests.received(self.pool.closing[event.link], event.link, event.message)
            return
        machine = self.machines[link.machine]
        link.used_at = self.loop.now
        machine.last_received_at = link.used_at
        machine.failing_since = 0
        machine.refused_since = 0
        self.requests.received(machine.id, link.number, event.message)

    # Closing

    def close(self, link: Link, unsent: frozenset[str] = frozenset()) -> None:
        """Close it, if it is not closed yet. What was completely written on it is broken; the rest is sent
        again.

        Danger: a connection is read on after its close, and until the machine has seen that close what is in
        flight on it is not abandoned there: the module may send a duplicate at once. So the machine is
        notified first.
        """
        for request in link.outstanding.values():
            if link.is_up and request.id not in unsent:
                self.requests.recall(request)
        self.loop.emit(ev.CloseLink(link.number))
        if link.is_up:
            self.pool.closing[link.number] = link.machine
        self.pool.remove(link)
        requests, link.outstanding = list(link.outstanding.values()), {}
        to_resend = []
        for request in requests:
            if request.id in unsent and self.requests.not_written(request):
                to_resend.append(request)
            else:
                self.requests.broken(request)
        for request in to_resend:
            self._resend(request)

    def _resend(self, request: OutboundRequest) -> None:
        if self.loop.now < request.started_at + self.dial_timeout_us:
            self.send(request)
        else:
            self.requests.unreachable(request)

    def expire_waiting(self, machine: Machine) -> None:
        """Danger: what waits for capacity would wait for the answers of others, up to its own time. After as
        long as a dial may take it goes elsewhere.
        """
        self._expire(machine, self.loop.now - self.dial_timeout_us - 1, api.Result.NOT_SENT)

    def _expire(self, machine: Machine, oldest: int, result: api.Result) -> None:
        """Report requests that have waited since ``oldest`` or longer as not sent."""
        while machine.waiting and machine.waiting[0].started_at <= oldest:
            self.requests.unreachable(machine.waiting.popleft(), result)

"""Connections to machines: the choice of a connection per request, retries and closes. No I/O or clock.

Invariants (tests/platform/test_platform_links.py):

1. A request is sent on a connection with fewer than ``max_outstanding`` requests (by default an idle one) if
   there is one, else on a new connection, up to the pool's bound. So a connection that breaks affects few
   requests.
2. After the planner closes a connection, it reads on until the machine has closed it too, because a release
   may still be in flight. After a connection to a machine with running tasks breaks, the machine is dialled
   at once and sends again what was lost.
3. A new connection carries the unconfirmed releases before any placement request.

``pool`` (``link_pool``) owns the connections; ``releases`` (``release_orders``) sends releases until they are
confirmed; ``link_checks`` closes idle connections and detects unreachable machines.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from .. import interface as api
from ..planner.event_loop import EventLoop
from . import events as ev
from .incarnations import Incarnations
from .link_pool import LinkPool
from .messages import Kind, Message
from .release_orders import ReleaseOrders
from .tables import Attempt, HealthCheck, Link, Machine, MachinePlace, OutboundRequest

IDLE_LINK_US = 4_000_000  # a connection that is unused for this long is closed
DIAL_BACKOFF_US, MAX_DIAL_BACKOFF_US = 100_000, 800_000  # first and longest wait after a failed dial
# Requests in flight on one connection before another is dialled, if the settings give handshakes a price.
MAX_SHARED = 4


class Requests(Protocol):
    """The methods of the components that send requests, as the links use them."""

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
        """``machines``: the table of ``machines.py``; ``idle_us``: when machines close an idle connection."""
        self.loop = loop
        self.machines = machines
        self.requests: Requests
        self.pool = LinkPool(loop, machines, sockets // 2, self._close_for_room)
        self.links = self.pool.links
        self.releases = ReleaseOrders(loop, self.pool)
        self.incarnations = Incarnations(loop)
        self.pool.is_last_member = self.incarnations.is_last_member
        self.process_ended: Callable[[Machine, str], None]
        self.candidate_up: Callable[[Machine], None]
        self.set_dialling(dial_timeout_us, has_handshake_price)
        # Machines close a connection that is idle for ``idle_us``. A request that is written during that
        # close may have run, so a connection counts as stale after three quarters of it.
        self.stale_us = idle_us * 3 // 4

    def set_dialling(self, dial_timeout_us: int, has_handshake_price: bool) -> None:
        """Set the time-out of dials, and whether the settings give handshakes a price."""
        self.max_outstanding = MAX_SHARED if has_handshake_price else 1
        self.dial_timeout_us = dial_timeout_us

    # Queries

    def is_ready(self, machine: int) -> bool:
        """Return whether the machine is listed as ready for new tasks."""
        known = self.machines.get(machine)
        return known is not None and known.status is api.NodeStatus.READY

    def place_of(self, machine: int) -> MachinePlace | None:
        """Return the machine's zone, group and start time, or None if it is unknown."""
        known = self.machines.get(machine)
        return MachinePlace(known.place, known.started_at) if known is not None else None

    def incarnation_of(self, machine: int) -> int:
        """Return the current incarnation of the machine's process, or 0 if the machine is unknown."""
        known = self.machines.get(machine)
        return known.process.incarnation if known is not None else 0

    def predecessor_of(self, machine: int) -> int:
        """Return the machine that had this machine's address before and is still known, or 0."""
        known = self.machines.get(machine)
        return known.predecessor if known is not None and known.predecessor in self.machines else 0

    # Events of the node list

    def close_links_to(self, machine: Machine, why: str) -> None:
        """Close all connections to the machine."""
        for link in list(machine.links.values()):
            self.close(link, why=why)

    def drop_waiting(self, machine: Machine) -> None:
        """Drop the requests that wait for a connection to the machine, except health checks while it drains.

        Otherwise a placement request that waits for a connection would be sent after the drain was reported.
        """
        waiting, machine.waiting = machine.waiting, deque()
        for request in waiting:
            if isinstance(request, HealthCheck) and machine.status is api.NodeStatus.DRAINING:
                machine.waiting.append(request)
            else:
                self.requests.unreachable(request, api.Result.NOT_SENT)

    # Sending

    def send(self, request: OutboundRequest) -> None:
        """Send a request on the best connection, or queue it until a new connection is up."""
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

    def send_on(self, link: Link, request: OutboundRequest) -> None:
        """Send a request on a given connection, if that is up."""
        if link.is_up:
            self._write(link, request)
        else:
            self.requests.unreachable(request)

    def _best_link(self, machine: Machine) -> Link | None:
        """Return the usable connection with the fewest outstanding requests, preferring newer connections."""
        usable = [link for link in machine.usable_links() if not self._is_stale(link)]
        return min(usable, key=lambda link: (len(link.outstanding), -link.opened_at), default=None)

    def _is_stale(self, link: Link) -> bool:
        """Return whether the machine may be about to close the connection as idle."""
        return not link.outstanding and max(link.used_at, link.opened_at) < self.loop.now - self.stale_us

    def _write(self, link: Link, request: OutboundRequest) -> None:
        """Write a request to a connection if it may still be sent, else report it as not sent.

        A dial or a broken connection may have delayed the request. Since its decision, the machine may have
        begun to drain, restarted (so that it is warming up) or changed its group, and the deduplication
        window may have ended.
        """
        if not self.requests.may_send(request):
            self.loop.count("withheld_requests")
            self.requests.unreachable(request, api.Result.NOT_SENT)
            return
        link.outstanding[request.id] = request
        link.write_count += 1
        request.write_number = link.write_count
        if isinstance(request, Attempt):
            request.incarnation = link.incarnation
        if not _is_own_check(request):
            link.used_at = self.loop.now
        self.requests.written(request, link.number)
        self.loop.emit(ev.SendToMachine(link.number, self.requests.message_of(request)))

    def complete(self, request: OutboundRequest, *, unanswered: bool = False) -> None:
        """Remove a finished or abandoned request. ``unanswered``: its answer did not arrive in time."""
        link = self.links.get(request.link)
        if link is None or link.outstanding.get(request.id) is not request:
            machine = self.machines.get(request.machine)
            if machine is not None and not request.link and request in machine.waiting:
                machine.waiting.remove(request)
            return
        del link.outstanding[request.id]
        if not _is_own_check(request):
            link.used_at = self.loop.now
        # After an answer that arrived in part only, no further answer can be read from the connection.
        link.is_suspect |= unanswered
        if link.is_suspect and not link.outstanding and not self._is_last_member(link):
            self.close(link, why="answer overdue")

    def _is_last_member(self, link: Link) -> bool:
        machine = self.machines.get(link.machine)
        return machine is not None and self.incarnations.is_last_member(machine, link)

    def send_message(self, link: int, message: Message) -> None:
        """Send a message that expects no answer on a connection, if that is up."""
        known = self.links.get(link)
        if known is not None and known.is_up:
            self.loop.emit(ev.SendToMachine(link, message))

    def add_running(self, machine: int, by: int) -> None:
        """Change the number of tasks that run at the machine."""
        known = self.machines.get(machine)
        if known is not None:
            known.running_count += by

    # Events of connections

    def link_up(self, event: ev.LinkUp) -> None:
        """Send the messages and requests that waited for the connection, which is up now."""
        link = self.links.get(event.link)
        if link is None:
            return
        link.is_up = True
        link.opened_at = self.loop.now
        machine = self.machines[link.machine]
        has_ended = self.incarnations.link_up(machine, link)
        machine.failed_dials = 0
        machine.failing_since = 0
        machine.refused_since = 0
        machine.next_dial_at = 0
        machine.opened_at = link.opened_at
        if has_ended:
            self.process_ended(machine, "refused")
        self.releases.link_up(machine, link)
        # If no other dial is under way, all waiting requests are sent on this connection: nothing else would
        # send them before their deadlines.
        is_last_dial = not machine.dials()
        while machine.waiting and (is_last_dial or len(link.outstanding) < self.max_outstanding):
            self._write(link, machine.waiting.popleft())
        if machine.process.candidate:
            self.candidate_up(machine)

    def link_failed(self, event: ev.LinkFailed) -> None:
        """Handle a failed dial: send its waiting requests on other connections, or give them up."""
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
            # This planner has no file descriptors left. If that counted against the machines, all of them
            # would be regarded as unreachable and their tasks as lost.
            self.loop.count("dials_without_descriptors")
            return
        self.loop.count("dials_refused" if event.refused else "dials_timed_out")
        machine.failing_since = machine.failing_since or now
        machine.refused_since = (machine.refused_since or now) if event.refused else 0

    def _send_or_give_up(self, machine: Machine, event: ev.LinkFailed) -> None:
        """Send waiting requests on another connection, or report them as unreachable or not sent."""
        best = min(machine.usable_links(), key=lambda link: len(link.outstanding), default=None)
        is_dialling = machine.dials() > 0
        result = api.Result.NOT_SENT if event.ours else api.Result.UNREACHABLE
        if best is None:
            # Requests that wait longer than a dial may take are given up, so that they are placed at other
            # machines. Otherwise all requests queued in an outage would be sent at once on the first
            # connection that comes up, when the machine may be warming up.
            self._expire(machine, self.loop.now - self.dial_timeout_us, result)
        # If the machine refuses connections and no dial is under way, no waiting request can be sent.
        # Otherwise one failed dial affects one waiting request.
        waiting_count = len(machine.waiting)
        count = waiting_count if event.refused and not is_dialling else min(1, waiting_count)
        for _ in range(count):
            if best is not None:
                self._write(best, machine.waiting.popleft())
            elif not is_dialling:
                self.requests.unreachable(machine.waiting.popleft(), result)

    def link_lost(self, event: ev.LinkLost) -> None:
        """Handle a connection that broke or that either side closed."""
        link = self.links.get(event.link)
        number = link.machine if link is not None else self.pool.closing.get(event.link)
        self.pool.closing.pop(event.link, None)
        if link is not None:
            # ``is_up`` is cleared first, so that ``close`` does not add the lost connection to ``closing``.
            # No event would ever remove it there; such entries would use up the limit on connections, half of
            # the descriptors, until nothing more could be dialled.
            link.is_up = False
            self.close(link, event.unsent, "lost")
            if link.machine in self.machines:
                self.incarnations.link_closed(self.machines[link.machine])
            self._dial_again(link.machine)
        machine = self.machines.get(number) if number is not None else None
        if machine is not None:
            self.releases.link_lost(machine, event.link)
        self.pool.dial_queued()

    def _dial_again(self, number: int) -> None:
        """Dial a machine with running tasks at once after its connection was lost.

        A release that was in flight arrives only on the next connection, and its client must have it within a
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
        """Report requests withdrawn from a send buffer as not sent, so that they are placed again."""
        link = self.links.get(event.link)
        if link is None:
            return
        for request_id in event.ids:
            request = link.outstanding.pop(request_id, None)
            if request is not None:
                self.requests.not_written(request)
                self.requests.unreachable(request, api.Result.NOT_SENT)

    def may_send(self, link: int, id: str) -> bool:
        """Return whether the request is still outstanding on the connection and may be sent now."""
        known = self.links.get(link)
        request = known.outstanding.get(id) if known is not None else None
        return request is not None and self.requests.may_send(request)

    def close_all(self) -> None:
        """Close all connections and stop dialling, at the end of a shutdown when nothing is in flight."""
        self.pool.closing_all = True
        self.pool.dial_queue.clear()
        for link in list(self.links.values()):
            self.close(link, why="shutdown")

    def received(self, event: ev.MachineMessage) -> None:
        """Pass a machine's message on, also from a connection that is being closed."""
        link = self.links.get(event.link)
        if link is None:
            if event.link in self.pool.closing:
                self.requests.received(self.pool.closing[event.link], event.link, event.message)
            return
        machine = self.machines[link.machine]
        if event.message.kind is not Kind.HEALTH_CHECK_RESULT:
            link.used_at = self.loop.now
        machine.failing_since = 0
        machine.refused_since = 0
        request = link.outstanding.get(event.message.id)
        self.incarnations.received(machine, link, event.message, request)
        if machine.orders and request is not None:
            self.releases.reply_received(machine, link, request)
        self.requests.received(machine.id, link.number, event.message)

    # Closing

    def _close_for_room(self, link: Link) -> None:
        self.close(link, why="room for another")
        machine = self.machines.get(link.machine)
        if machine is not None:
            self.incarnations.link_closed(machine)

    def close(self, link: Link, unsent: frozenset[str] = frozenset(), why: str = "") -> None:
        """Close a connection. Completely written requests count as broken; ``unsent`` ones are sent again.

        Before the close, the machine is notified that the requests on the connection are abandoned. Otherwise
        it would go on with them until it notices the close, while the decision module may send a duplicate at
        once.
        """
        for request in link.outstanding.values():
            if link.is_up and request.id not in unsent:
                self.requests.recall(request)
        self.loop.emit(ev.CloseLink(link.number, why))
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
        """Give up requests that have waited longer for a connection than a dial may take.

        They are placed again at other machines. Otherwise they would wait up to their deadlines until answers
        to other requests free a connection.
        """
        self._expire(machine, self.loop.now - self.dial_timeout_us - 1, api.Result.NOT_SENT)

    def _expire(self, machine: Machine, oldest: int, result: api.Result) -> None:
        """Remove requests that have waited since ``oldest`` or longer, and report ``result`` for them."""
        while machine.waiting and machine.waiting[0].started_at <= oldest:
            self.requests.unreachable(machine.waiting.popleft(), result)


def _is_own_check(request: OutboundRequest) -> bool:
    """Return whether the links sent this health check themselves: it does not keep a connection in use."""
    return isinstance(request, HealthCheck) and not request.is_requested

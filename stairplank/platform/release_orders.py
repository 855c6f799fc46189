"""Releases that this planner has ordered and that their machines have not confirmed. No I/O or clock.

A release that was written to a connection may still be lost: the machine may have forgotten the connection,
or the connection breaks before the machine has read the release. The task would then run on, and nobody would
end it. So each release is kept and sent again until it is confirmed.

A machine need not reply to a release, but it handles the messages of a connection in their order. So its
reply to a later request on the same connection confirms the release as well. If no such request follows, a
health check is sent.

Invariants (tests/platform/test_platform_release_orders.py):

1. An order is kept until the machine confirms it, has restarted or has left the list. It is confirmed by the
   machine's own release of the task, by an acknowledgement, or by a reply to a request that was written after
   it on the same connection.
2. A new connection to the machine begins with its unconfirmed orders, before any placement request.
3. An order that must arrive and is not confirmed within ``CONFIRMATION_US`` is followed by a health check on
   its connection. If the connection is lost or does not answer, the machine is dialled: at once the first
   time, then after waits that double up to ``MAX_RETRY_US``. A machine that was found unreachable is dialled
   every ``MAX_RETRY_US``.
4. An order that need not arrive causes no dial and no health check. It is sent on the next connection that
   comes up and is kept for at most ``OPTIONAL_US``; one that must arrive for at most ``MAX_AGE_US``.
5. At most ``MAX_ORDERS`` orders are kept; the oldest is dropped first.

Tables: ``orders`` by machine and task id, oldest first; each machine's own orders are in ``Machine.orders``.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..planner.event_loop import EventLoop
from . import events as ev
from .link_pool import LinkPool
from .messages import Cause, Kind, Message
from .tables import Link, Machine, OutboundRequest, ReleaseOrder

CONFIRMATION_US = 1_000_000  # how long a machine has to confirm a release
MAX_RETRY_US = 4_000_000  # the longest wait between two dials
OPTIONAL_US = 30_000_000
MAX_AGE_US = 3_600_000_000  # an order to a machine that stays silent is kept for this long
MAX_ORDERS = 8192


class HealthChecks(Protocol):
    """The method of the health checks that release orders use."""

    def check_link(self, link: Link) -> None: ...


class ReleaseOrders:
    """Sends releases to machines, and sends them again until they are confirmed."""

    def __init__(self, loop: EventLoop, pool: LinkPool) -> None:
        """``pool`` has the connections and the table of machines."""
        self.loop = loop
        self.pool = pool
        self.machines = pool.machines
        self.health_checks: HealthChecks
        self.on_settled: Callable[[int, str], None]  # called when an order is confirmed or dropped
        self.orders: dict[tuple[int, str], ReleaseOrder] = {}

    # Queries

    def is_pending(self, machine: int, task_id: str) -> bool:
        """Return whether a release of the task at the machine is not confirmed yet."""
        return (machine, task_id) in self.orders

    def awaits_confirmation(self) -> bool:
        """Return whether a machine has yet to confirm an order, apart from machines that stay silent."""
        machines = self.machines.values()
        return any(m.order_retry_at and m.order_retry_us < MAX_RETRY_US for m in machines)

    # Orders

    def order(self, machine: int, task_id: str, cause: Cause, link: int = 0) -> None:
        """Order a machine to end a task: on connection ``link`` if that is up, else on a usable one."""
        known = self.machines.get(machine)
        if known is None:
            return
        order = self._add(known, task_id, cause, must_arrive=True)
        best = known.links.get(link)
        if best is None or not best.is_up:
            best = _last_used(known)
        if best is not None:
            self._send(order, best)
        if not known.order_retry_at:
            known.order_retry_us = CONFIRMATION_US
            known.order_retry_at = self.loop.now + (CONFIRMATION_US if best is not None else 0)

    def order_on_next_link(self, machine: int, task_id: str, cause: Cause) -> None:
        """Order a machine to end a task that it may run, on the next connection that comes up."""
        known = self.machines.get(machine)
        if known is not None and task_id not in known.orders:
            self._add(known, task_id, cause, must_arrive=False)

    def _add(self, machine: Machine, task_id: str, cause: Cause, *, must_arrive: bool) -> ReleaseOrder:
        self.drop(machine.id, task_id)
        while len(self.orders) >= MAX_ORDERS:
            self.loop.count("releases_dropped")
            self._settle(next(iter(self.orders.values())))
        message = Message(Kind.RELEASE, task_id, cause=int(cause))
        order = ReleaseOrder(machine.id, message, self.loop.now, must_arrive)
        self.orders[machine.id, task_id] = order
        machine.orders[task_id] = order
        return order

    def confirmed(self, machine: int, task_id: str) -> None:
        """Forget an order that its machine has confirmed."""
        order = self.orders.get((machine, task_id))
        if order is None:
            return
        if order.must_arrive:
            self.loop.count("releases_confirmed")
        self._settle(order)

    def _settle(self, order: ReleaseOrder) -> None:
        self.drop(order.machine, order.message.id)
        self.on_settled(order.machine, order.message.id)

    def drop(self, machine: int, task_id: str) -> None:
        """Forget an order."""
        if self.orders.pop((machine, task_id), None) is None:
            return
        known = self.machines.get(machine)
        if known is not None:
            del known.orders[task_id]
            self._reschedule(known)

    def drop_all(self, machine: Machine, before: int | None = None) -> None:
        """Forget the orders to a machine that was removed or has restarted.

        ``before``: when the machine restarted; later orders are kept.
        """
        for task_id, order in list(machine.orders.items()):
            if before is None or order.ordered_at < before:
                self.drop(machine.id, task_id)

    @staticmethod
    def _reschedule(machine: Machine) -> None:
        """Give the oldest order that is left its whole time, or end the retries if none is left."""
        oldest = next((order for order in machine.orders.values() if order.must_arrive), None)
        if oldest is None:
            machine.order_retry_at = 0
        elif oldest.link and machine.order_retry_us == CONFIRMATION_US:
            confirmation_due_at = oldest.ordered_at + CONFIRMATION_US
            machine.order_retry_at = max(machine.order_retry_at, confirmation_due_at)

    # Confirmation by later requests

    def reply_received(self, machine: Machine, link: Link, request: OutboundRequest) -> None:
        """Confirm the orders that the machine read on a connection before the request it replies to."""
        for order in list(machine.orders.values()):
            if order.link == link.number and order.write_number < request.write_number:
                self.confirmed(machine.id, order.message.id)

    # Events of connections

    def link_up(self, machine: Machine, link: Link) -> None:
        """Send the unconfirmed orders on a new connection, and a health check after those sent before."""
        is_repeated = False
        for order in machine.orders.values():
            if order.must_arrive or not order.link:
                is_repeated |= order.must_arrive and order.was_sent
                self._send(order, link)
        if is_repeated:
            self.health_checks.check_link(link)

    def link_lost(self, machine: Machine, link: int) -> None:
        """Note that a connection was lost, with the unconfirmed orders that were written on it.

        Other connections to the machine may be lost as well, so the orders wait for a new one. If the machine
        resets every connection, the next dial waits: without that, dials would follow each other without end.
        """
        was_lost = False
        for order in machine.orders.values():
            if order.link == link:
                order.link = 0
                was_lost |= order.must_arrive
        if was_lost and machine.order_retry_us == CONFIRMATION_US:
            machine.order_retry_at = self.loop.now
            self.retry_if_due(machine)

    def machine_unreachable(self, machine: Machine) -> None:
        """Put off the next dial: dials to the machine have just failed for long enough."""
        if machine.order_retry_at:
            machine.order_retry_us = MAX_RETRY_US
            machine.order_retry_at = self.loop.now + MAX_RETRY_US

    # Retries

    def retry_if_due(self, machine: Machine) -> None:
        """Check the connections that carry unconfirmed orders, and dial if an order has no connection."""
        if not machine.order_retry_at or self.loop.now < machine.order_retry_at:
            return
        machine.order_retry_at = self.loop.now + machine.order_retry_us
        links = [machine.links.get(order.link) for order in machine.orders.values() if order.must_arrive]
        usable = {link.number: link for link in links if link is not None and not link.is_suspect}
        for link in usable.values():
            self.health_checks.check_link(link)
        if any(link is None or link.is_suspect for link in links):
            self._dial(machine)

    def _dial(self, machine: Machine) -> None:
        """Dial the machine for its orders, or send them on its newest connection if it may have no other."""
        if machine.dials() or machine.removed_at:
            return
        if self.loop.now < machine.next_dial_at:
            machine.order_retry_at = machine.next_dial_at
            return
        machine.order_retry_us = min(2 * machine.order_retry_us, MAX_RETRY_US)
        machine.order_retry_at = self.loop.now + machine.order_retry_us
        self.pool.make_room(machine)
        if len(machine.links) < self.pool.max_pool:
            self.pool.dial_or_queue(machine)
        else:
            usable = machine.usable_links()
            if usable:
                self.link_up(machine, max(usable, key=lambda link: (link.opened_at, link.number)))

    def expire(self, machine: Machine) -> None:
        """Forget orders that have waited for too long."""
        for order in list(machine.orders.values()):
            kept_us = MAX_AGE_US if order.must_arrive else OPTIONAL_US
            if self.loop.now >= order.ordered_at + kept_us:
                self._settle(order)

    def _send(self, order: ReleaseOrder, link: Link) -> None:
        if order.was_sent:
            self.loop.count("releases_sent_again")
        order.was_sent = True
        order.link = link.number
        order.write_number = link.write_count
        self.loop.emit(ev.SendToMachine(link.number, order.message))


def _last_used(machine: Machine) -> Link | None:
    """Return the usable connection that was used last: the machine is least likely to have forgotten it."""
    return max(machine.usable_links(), key=lambda link: max(link.used_at, link.opened_at), default=None)

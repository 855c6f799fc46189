"""The pool of connections to machines, bounded for each machine and in all. No I/O or clock.

Invariants (tests/platform/test_platform_links.py):

1. A machine has at most ``max_pool`` connections (more if all are suspect), and all machines together at most
   ``max_links``. Connections that are being dialled or closed count too.
2. If more machines need a connection than ``max_links`` allows, connections without outstanding requests are
   closed so that the machines take turns.

Tables: ``links``, ``closing``, ``dial_queue``; ``machines`` belongs to the component ``machines.py``.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

from ..planner.event_loop import EventLoop
from . import events as ev
from .tables import Link, Machine

MIN_POOL, MAX_POOL = 2, 6  # limits of ``max_pool``, the number of connections to one machine
FREE_SHARE = 16  # one in this many connections is kept free, so that a dial need not wait for a close


class LinkPool:
    """The connections to all machines, and the queue of machines that wait for a connection."""

    def __init__(
        self,
        loop: EventLoop,
        machines: dict[int, Machine],
        max_links: int,
        close: Callable[[Link], None],
    ) -> None:
        """``close`` closes a connection and removes it from the pool."""
        self.loop = loop
        self.machines = machines
        self.max_links = max_links
        self.links: dict[int, Link] = {}
        self.closing: dict[int, int] = {}  # machines by the connections that are closed and still read
        self.dial_queue: dict[int, None] = {}  # machines that wait for capacity, ordered by time of arrival
        self.closing_all = False
        self.is_last_member: Callable[[Machine, Link], bool] = lambda _machine, _link: False
        self._close = close
        self._dial_queue_turns = 0

    @property
    def max_pool(self) -> int:
        """The largest number of connections to one machine."""
        return max(MIN_POOL, min(MAX_POOL, self.max_links // max(1, len(self.machines))))

    def capacity(self) -> int:
        """Return how many more connections may be dialled."""
        return 0 if self.closing_all else self.max_links - len(self.links) - len(self.closing)

    def may_dial(self, machine: Machine) -> bool:
        """Return whether another connection to the machine may be dialled now."""
        return len(machine.links) < self.max_pool and self.capacity() > 0

    def make_room(self, machine: Machine) -> None:
        """Close the machine's oldest idle connection if it has as many connections as it may."""
        idle = [link for link in machine.links_up() if not link.outstanding]
        idle = [link for link in idle if not self.is_last_member(machine, link)]
        if idle and len(machine.links) >= self.max_pool:
            self._close(min(idle, key=lambda link: link.opened_at))

    def dial(self, machine: Machine) -> None:
        """Dial a new connection to the machine."""
        link = Link(self.loop.next_number(), machine.id)
        self.links[link.number] = link
        machine.links[link.number] = link
        self.loop.count("dials")
        self.loop.emit(ev.Dial(link.number, machine.address))

    def dial_or_queue(self, machine: Machine) -> None:
        """Dial the machine now, or queue it until there is capacity.

        Without this limit, connections to a cluster in which nearly every machine runs a task would take all
        file descriptors, including those for the node list service and for clients.
        """
        if self.capacity() > 0:
            self.dial(machine)
            return
        self.dial_queue[machine.id] = None
        if len(self.closing) < len(self.dial_queue):
            self.close_idle(1)

    def dial_queued(self) -> None:
        """Dial queued machines while there is capacity.

        Every second dial is for a machine with waiting requests, the others are for the machine that has been
        queued longest. Under overload some request always waits; if machines with waiting requests always
        came first, the other machines could not report the ends of their tasks.
        """
        while self.dial_queue and self.capacity() > 0:
            machine = self.machines.get(self._next_queued())
            if machine is None or machine.removed_at or machine.dials():
                continue
            if machine.waiting or machine.running_count or machine.order_retry_at:
                self.dial(machine)

    def restore_free_share(self) -> None:
        """Close idle connections until one in ``FREE_SHARE`` is free.

        Otherwise each task for a machine without a connection would wait for a close.
        """
        missing = self.max_links // FREE_SHARE - self.capacity() - len(self.closing)
        if missing > 0:
            self.close_idle(missing)

    def close_idle(self, count: int) -> None:
        """Close ``count`` connections without outstanding requests, to any machine.

        Connections whose machine has a newer connection or runs no task are closed first. A connection with
        outstanding requests is never closed for capacity: its placement requests in flight would be
        abandoned.
        """
        idle = [link for link in self.links.values() if link.is_up and not link.outstanding]
        for link in heapq.nsmallest(count, idle, key=self._closing_order):
            self.loop.count("closed_for_capacity")
            self._close(link)

    def remove(self, link: Link) -> None:
        """Remove a connection that is lost or being closed from the tables."""
        self.links.pop(link.number, None)
        machine = self.machines.get(link.machine)
        if machine is not None:
            machine.links.pop(link.number, None)

    def _next_queued(self) -> int:
        """Remove the next machine from the queue and return its number."""
        self._dial_queue_turns += 1
        number = next(iter(self.dial_queue))
        if self._dial_queue_turns % 2:
            urgent = (n for n in self.dial_queue if n in self.machines and self.machines[n].waiting)
            number = next(urgent, number)
        del self.dial_queue[number]
        return number

    def _closing_order(self, link: Link) -> tuple[bool, int]:
        machine = self.machines[link.machine]
        is_needed = link.opened_at == machine.opened_at or self.is_last_member(machine, link)
        return machine.running_count > 0 and is_needed, max(link.used_at, link.opened_at)

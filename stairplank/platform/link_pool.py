"""Which connections to machines there are: a small pool for each machine, a bound for all. No I/O or clock.

Invariants (tests/platform/test_platform_links.py):

1. Bounds: ``max_pool`` for a machine (more where all are suspect), ``max_links`` in all; those that come up
   and those that are being closed are included.
2. Where more machines want a connection than may have one, those with nothing outstanding take turns.

Tables: ``links``, ``closing``, ``dial_queue``; ``machines`` belongs to the component of that name.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

from ..planner.event_loop import EventLoop
from . import events as ev
from .tables import Link, Machine

MIN_POOL, MAX_POOL = 2, 6  # connections to one machine
FREE_SHARE = 16  # one in so many connections is kept free: a dial need not wait for a close


class LinkPool:
    """The connections of all machines, and the machines that wait for one."""

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
        self.closing: dict[int, int] = {}  # connections that are read on, and their machines
        self.dial_queue: dict[int, None] = {}  # machines that wait for capacity, the longest wait first
        self.closing_all = False
        self._close = close
        self._dial_queue_turns = 0

    @property
    def max_pool(self) -> int:
        """How many connections one machine may have."""
        return max(MIN_POOL, min(MAX_POOL, self.max_links // max(1, len(self.machines))))

    def capacity(self) -> int:
        """How many more connections may be dialled."""
        return 0 if self.closing_all else self.max_links - len(self.links) - len(self.closing)

    def may_dial(self, machine: Machine) -> bool:
        """Whether one more connection to that machine may be dialled now."""
        return len(machine.links) < self.max_pool and self.capacity() > 0

    def dial(self, machine: Machine) -> None:
        """Dial a new connection."""
        link = Link(self.loop.next_number(), machine.id)
        self.links[link.number] = link
        machine.links[link.number] = link
        self.loop.count("dials")
        self.loop.emit(ev.Dial(link.number, machine.address))

    def dial_or_queue(self, machine: Machine) -> None:
        """Dial it now, or as soon as there is capacity. Danger: dialled in any case, the connections to a
        fleet that runs something nearly everywhere would take all descriptors, the node list service's and
        clients' too.
        """
        if self.capacity() > 0:
            self.dial(machine)
            return
        self.dial_queue[machine.id] = None
        if len(self.closing) < len(self.dial_queue):
            self.close_idle(1)

    def dial_queued(self) -> None:
        """There may be capacity again: dial in turns a machine for which a request waits, and the one that
        waits longest. Danger: in a jam some request always waits, and the end of a task elsewhere is not
        received.
        """
        while self.dial_queue and self.capacity() > 0:
            machine = self.machines.get(self._next_queued())
            if machine is None or machine.removed_at or machine.dials():
                continue
            if machine.waiting or machine.running_count:
                self.dial(machine)

    def restore_free_share(self) -> None:
        """Keep some capacity free. Danger: without it, each task for a machine that has no connection would
        wait for a close.
        """
        missing = self.max_links // FREE_SHARE - self.capacity() - len(self.closing)
        if missing > 0:
            self.close_idle(missing)

    def close_idle(self, count: int) -> None:
        """Close so many connections with nothing outstanding, wherever they lead: those first whose machine
        has a newer one, or at which nothing runs. Danger: closing one for capacity would give up the
        placement requests that are in flight on it.
        """
        idle = [k for k in self.links.values() if k.is_up and not k.outstanding]
        for link in heapq.nsmallest(count, idle, key=self._closing_order):
            self.loop.count("closed_for_capacity")
            self._close(link)

    def remove(self, link: Link) -> None:
        """The connection is no more, or is being closed."""
        self.links.pop(link.number, None)
        machine = self.machines.get(link.machine)
        if machine is not None:
            machine.links.pop(link.number, None)

    def _next_queued(self) -> int:
        """Take the next machine's number out of the queue."""
        self._dial_queue_turns += 1
        number = next(iter(self.dial_queue))
        if self._dial_queue_turns % 2:
            urgent = (n for n in self.dial_queue if n in self.machines and self.machines[n].waiting)
            number = next(urgent, number)
        del self.dial_queue[number]
        return number

    def _closing_order(self, link: Link) -> tuple[bool, int]:
        machine = self.machines[link.machine]
        is_newest = link.opened_at == machine.opened_at
        return machine.running_count > 0 and is_newest, max(link.used_at, link.opened_at)

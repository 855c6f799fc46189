"""Which machines there are, by the node list. No I/O or clock.

Invariants (tests/platform/test_platform_adoption.py):

1. Only the list's own report of a machine's end, or a new one at its address, ends what stands there after
   ``link_checks.REMOVAL_GRACE_US``. Left out of a full list, it gets nothing new, and the rest goes on.
2. An empty full list is not believed while machines are known.
3. An entry that cannot be used costs that entry (``node_list``): nothing here is changed by it.
4. ``names`` and ``addresses`` have what ``machines`` has, at most ``MAX_MACHINES``.

Tables: ``machines`` by number, ``names``, ``addresses``.
"""

from __future__ import annotations

from typing import Protocol

from .. import interface as api
from ..planner.event_loop import EventLoop
from .node_list import ListedNode, NodeListUpdate
from .tables import Location, Machine

MAX_MACHINES = 4096  # further ones are not taken


class Links(Protocol):
    """What the machines need of their connections."""

    def close_links_to(self, machine: Machine) -> None: ...
    def drop_waiting(self, machine: Machine) -> None: ...


class Attempts(Protocol):
    """What the machines need of the attempts at them."""

    def machine_lost(self, machine: int, before: int | None = None) -> None: ...


class Adoption(Protocol):
    """What the machines need of the adoption of running tasks."""

    def machine_listed(self, name: str, machine: int) -> None: ...


class Machines:
    """The machines of the node list, and what becomes of those that leave it."""

    def __init__(
        self,
        loop: EventLoop,
        machines: dict[int, Machine],
        links: Links,
        attempts: Attempts,
        adoption: Adoption,
    ) -> None:
        """``machines``: the table to keep, which other components read."""
        self.loop = loop
        self.machines = machines
        self.links = links
        self.attempts = attempts
        self.adoption = adoption
        self.names: dict[str, int] = {}
        self.addresses: dict[str, int] = {}

    def find(self, name: str) -> int | None:
        """The number of the machine of that name, if it is listed."""
        return self.names.get(name)

    def forget(self, machine: Machine) -> None:
        """Nothing of it is awaited any more."""
        del self.machines[machine.id]
        if self.names.get(machine.name) == machine.id:
            del self.names[machine.name]
        self._release_address(machine)

    def update(self, update: NodeListUpdate) -> None:
        """Apply an update of the node list, and pass it on to the decision module."""
        if update.full and not update.machines and self.machines:
            # Danger: believed, an empty list would end all work; no page knows a fleet without machines.
            self.loop.count("empty_lists")
            return
        if update.full:
            listed = {m.entry.id for m in update.machines}
            for missing in [m for m in self.machines.values() if m.id not in listed]:
                self._unlisted(missing)
        taken: list[api.NodeEntry] = []
        new: list[Machine] = []
        for row in update.machines:
            known = row.entry.id in self.machines
            if self._update_machine(row, taken):
                taken.append(row.entry)
                if not known and row.entry.id in self.machines:
                    new.append(self.machines[row.entry.id])
        kind = api.ListKind.FULL if update.full else api.ListKind.CHANGES
        self.loop.notify_module(api.NodeList(kind, tuple(taken)))
        for machine in new:
            self.adoption.machine_listed(machine.name, machine.id)

    def _update_machine(self, row: ListedNode, others: list[api.NodeEntry]) -> bool:
        """Whether the machine is taken. ``others``: entries that follow for other machines."""
        entry = row.entry
        machine = self.machines.get(entry.id)
        if entry.status is api.NodeStatus.GONE:
            if machine is not None:
                self._removed(machine)
            return True
        if not row.address and machine is None:
            return False  # nothing to send there, and it may only leave
        if machine is None:
            if len(self.machines) >= MAX_MACHINES:
                self.loop.count("machines_over_limit")
                return False
            place = Location(entry.zone, entry.group)
            machine = Machine(entry.id, row.name, row.address, entry.started_us, entry.status, place)
            self.machines[entry.id] = machine
            self.names[row.name] = entry.id
        elif entry.started_us > machine.started_at:
            machine.started_at = entry.started_us
            self.attempts.machine_lost(machine.id, before=entry.started_us)
        machine.status = entry.status
        machine.place = Location(entry.zone, entry.group)
        machine.removed_at = 0
        address = row.address or machine.address
        self._claim_address(address, machine, others)
        if machine.address != address:
            self._release_address(machine)
            machine.address, machine.opened_at = address, 0
            self.links.close_links_to(machine)
        if entry.status is not api.NodeStatus.READY:
            self.links.drop_waiting(machine)
        return True

    def _claim_address(self, address: str, machine: Machine, others: list[api.NodeEntry]) -> None:
        """Its address was another's. Danger: dialled there, the new one would answer for the old."""
        old = self.machines.get(self.addresses.get(address, machine.id))
        if old is not None and old is not machine and not old.removed_at:
            self.loop.count("addresses_taken_over")
            self._removed(old)
            zone, group = old.place
            others.append(api.NodeEntry(old.id, zone, -1, group, api.NodeStatus.GONE, 0.0, 0.0))
        self.addresses[address] = machine.id

    def _release_address(self, machine: Machine) -> None:
        if self.addresses.get(machine.address) == machine.id:
            del self.addresses[machine.address]

    def _unlisted(self, machine: Machine) -> None:
        """A full list leaves it out. Danger: that is no report of its end, and what stands there may run on:
        nothing new goes there, and the rest is left to the machine's own messages, or to its silence.
        """
        if not machine.removed_at:
            self.loop.count("machines_missing")
            machine.status = api.NodeStatus.GONE
            self.links.drop_waiting(machine)

    def _removed(self, machine: Machine) -> None:
        machine.status = api.NodeStatus.GONE
        if not machine.removed_at:
            machine.removed_at = self.loop.now
        self.links.drop_waiting(machine)

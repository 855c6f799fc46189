"""Table of the machines that the node list names. It has no I/O or clock.

Invariants (tests/platform/test_platform_adoption.py):

1. The tasks of a machine are given up, ``link_checks.REMOVAL_GRACE_US`` later, only if the list says that the
   machine is deleted, or another machine has its address. A machine that is merely missing from a full list
   gets no new tasks, and its running tasks go on.
2. An empty full list is ignored while machines are known.
3. An entry that cannot be used is skipped by ``node_list`` and changes nothing here.
4. ``names`` and ``addresses`` cover the same machines as ``machines``, at most ``MAX_MACHINES``.

Tables: ``machines`` by the machine's number; ``names`` and ``addresses`` map to that number.
"""

from __future__ import annotations

from typing import Protocol

from .. import interface as api
from ..planner.event_loop import EventLoop
from .incarnations import Incarnations
from .node_list import ListedNode, NodeListUpdate
from .tables import Location, Machine

MAX_MACHINES = 4096  # entries for further machines are ignored


class Links(Protocol):
    """The operations on connections that this component uses."""

    incarnations: Incarnations

    def close_links_to(self, machine: Machine, why: str) -> None: ...
    def drop_waiting(self, machine: Machine) -> None: ...


class ReleaseOrders(Protocol):
    """The operation on releases to machines that this component uses."""

    def drop_all(self, machine: Machine, before: int | None = None) -> None: ...


class Attempts(Protocol):
    """The operations on attempts that this component uses."""

    def machine_lost(self, machine: int, before: int | None = None) -> None: ...


class Adoption(Protocol):
    """The operation of task adoption that this component uses."""

    def machine_listed(self, name: str, machine: int) -> None: ...


class Machines:
    """Applies node list updates to the table of machines, including the removal of machines."""

    def __init__(
        self,
        loop: EventLoop,
        machines: dict[int, Machine],
        links: Links,
        releases: ReleaseOrders,
        attempts: Attempts,
        adoption: Adoption,
    ) -> None:
        """Create the component; it writes the table ``machines``, which other components read."""
        self.loop = loop
        self.machines = machines
        self.links = links
        self.releases = releases
        self.attempts = attempts
        self.adoption = adoption
        self.names: dict[str, int] = {}
        self.addresses: dict[str, int] = {}

    def find(self, name: str) -> int | None:
        """Return the number of the machine with this name, or None if it is not listed."""
        return self.names.get(name)

    def forget(self, machine: Machine) -> None:
        """Remove a machine from the tables, once no message is expected from it."""
        self.releases.drop_all(machine)
        del self.machines[machine.id]
        if self.names.get(machine.name) == machine.id:
            del self.names[machine.name]
        self._release_address(machine)

    def update(self, update: NodeListUpdate) -> None:
        """Apply an update of the node list, and pass it on to the decision module."""
        if update.full and not update.machines and self.machines:
            # No cluster is without machines, so an empty list is a fault; applied, it would end all work.
            self.loop.count("empty_lists")
            return
        if update.full:
            listed = {m.entry.id for m in update.machines}
            for missing in [m for m in self.machines.values() if m.id not in listed]:
                self._unlisted(missing)
        accepted: list[api.NodeEntry] = []
        new: list[Machine] = []
        for row in update.machines:
            known = row.entry.id in self.machines
            if self._update_machine(row, accepted):
                accepted.append(row.entry)
                if not known and row.entry.id in self.machines:
                    new.append(self.machines[row.entry.id])
        kind = api.ListKind.FULL if update.full else api.ListKind.CHANGES
        self.loop.notify_module(api.NodeList(kind, tuple(accepted)))
        for machine in new:
            self.adoption.machine_listed(machine.name, machine.id)

    def _update_machine(self, row: ListedNode, others: list[api.NodeEntry]) -> bool:
        """Apply one entry; return whether the decision module gets it.

        ``others`` receives entries for machines whose address now belongs to this one.
        """
        entry = row.entry
        machine = self.machines.get(entry.id)
        if entry.status is api.NodeStatus.GONE:
            if machine is not None:
                self._removed(machine)
            return True
        if not row.address and machine is None:
            return False  # no task can be sent to a new machine without an address
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
            self.releases.drop_all(machine, before=entry.started_us)
            self.attempts.machine_lost(machine.id, before=entry.started_us)
            self.links.incarnations.restarted(machine, entry.started_us)
        machine.status = entry.status
        machine.place = Location(entry.zone, entry.group)
        machine.removed_at = 0
        address = row.address or machine.address
        self._claim_address(address, machine, others)
        if machine.address != address:
            self._release_address(machine)
            machine.address, machine.opened_at = address, 0
            self.links.close_links_to(machine, "address changed")
        if entry.status is not api.NodeStatus.READY:
            self.links.drop_waiting(machine)
        return True

    def _claim_address(self, address: str, machine: Machine, others: list[api.NodeEntry]) -> None:
        """Assign an address to a machine; the machine that had it before is removed and added to ``others``.

        If the old machine stayed, its connections would be dialled to the new one, which would answer for it.
        """
        old = self.machines.get(self.addresses.get(address, machine.id))
        if old is not None and old is not machine and not old.removed_at:
            self.loop.count("addresses_taken_over")
            self._removed(old)
            machine.predecessor, old.successor = old.id, machine.id
            zone, group = old.place
            others.append(api.NodeEntry(old.id, zone, -1, group, api.NodeStatus.GONE, 0.0, 0.0))
        self.addresses[address] = machine.id

    def _release_address(self, machine: Machine) -> None:
        if self.addresses.get(machine.address) == machine.id:
            del self.addresses[machine.address]

    def _unlisted(self, machine: Machine) -> None:
        """Send no more placement requests to a machine that is missing from a full list.

        A missing entry does not prove that the machine has ended, and its tasks may still run. So they are
        released only by the machine's own messages, or once it no longer responds.
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

"""Applies the numbered updates that the node list service sends, each once and in order. It has no I/O.

Invariants:

1. An update is applied if its revision is the next one, or if it has the full list and a newer revision.
   Repeated updates are ignored.
2. A line whose revision is ahead of the applied one, and that cannot be applied, means a gap: ``apply``
   reports it, and the caller starts a new watch from ``revision``.
3. A machine's start time on the local clock is computed once for each start, so that it does not seem to
   change when Unix time is set.
4. An entry that cannot be used is skipped and counted (``unusable_entries``); the other entries of its update
   are applied, so that no drain is lost. An entry that names its machine and a state other than serving is
   applied whatever else is wrong in it: it can only keep work away from the machine.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Container, Mapping
from dataclasses import dataclass, replace
from hashlib import blake2b
from typing import Any

from .. import interface as api
from .messages import ProtocolError

STATES = {
    "SERVING": api.NodeStatus.READY,
    "DRAINING": api.NodeStatus.DRAINING,
    "DELETED": api.NodeStatus.GONE,
}
MAX_NAME_LENGTH = 200
MAX_ZONES = 1024  # any further zone that an update names counts as the first zone


@dataclass(frozen=True, slots=True)
class ListedNode:
    """A machine as one entry of an update describes it."""

    entry: api.NodeEntry
    name: str
    address: str


@dataclass(frozen=True, slots=True)
class NodeListUpdate:
    """Entries that changed in the node list, or the whole list if ``full`` is set."""

    full: bool
    machines: tuple[ListedNode, ...]


def machine_number(name: str) -> int:
    """Return a machine's number; all planners compute the same, as they cut their partitions by it."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


class MachinesOfUnknownType:
    """Machines whose node type the settings do not have, as last listed, until a reload adds the type.

    It has at most one entry per machine and per address.
    """

    def __init__(self) -> None:
        self._machines: dict[int, tuple[str, ListedNode]] = {}  # machine number: name of its node type, entry
        self._by_address: dict[str, int] = {}  # address: machine number

    def __len__(self) -> int:
        """Return the number of machines."""
        return len(self._machines)

    def remember(self, machine: ListedNode, kind: str) -> None:
        """Store a machine whose node type the settings do not have yet."""
        self._machines[machine.entry.id] = (kind, machine)
        self._by_address[machine.address] = machine.entry.id

    def forget(self, node: int) -> None:
        """Remove the machine with this number, if it is stored."""
        known = self._machines.pop(node, None)
        if known is not None:
            del self._by_address[known[1].address]

    def forget_at(self, address: str) -> None:
        """Remove the machine at this address, if one is stored."""
        node = self._by_address.get(address)
        if node is not None:
            self.forget(node)

    def retain(self, nodes: Container[int]) -> None:
        """Remove all machines whose number is not in ``nodes``."""
        for node in [node for node in self._machines if node not in nodes]:
            self.forget(node)

    def take_known(self, kinds: Mapping[str, int]) -> tuple[ListedNode, ...]:
        """Remove and return the machines whose node type is in ``kinds``, with the type's number set."""
        found = [(machine, kinds[kind]) for kind, machine in self._machines.values() if kind in kinds]
        for machine, _ in found:
            self.forget(machine.entry.id)
        return tuple(replace(m, entry=replace(m.entry, node_type=kind)) for m, kind in found)


class NodeList:
    """The applied revision, the numbers of zones and node types, and the machines' start times.

    ``clock`` returns Unix time and the planner's own time, both in microseconds and read together.
    """

    def __init__(
        self, zones: tuple[str, ...], kinds: tuple[str, ...], clock: Callable[[], tuple[int, int]]
    ) -> None:
        self.revision = 0
        self._zones = {name: i for i, name in enumerate(zones)}
        self._kinds = {name: i for i, name in enumerate(kinds)}
        self._clock = clock
        # Of the wall clock to the planner's own, which is never stepped, at the first line of the service.
        self._first_offset: int | None = None
        self.unusable_entries = 0  # skipped entries and unreadable updates since the process started
        self._unreadable = 0  # revision of the last update that could not be read and is requested once more
        # By machine number: the reported start in Unix milliseconds, and the start on the local clock.
        self._started: dict[int, tuple[int, int]] = {}
        self._unknown = MachinesOfUnknownType()

    def set_names(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> NodeListUpdate | None:
        """Set the names of zones and node types; return an update with machines of new types, or None.

        A zone that an update has already named keeps its number: listed machines refer to zones by number.
        """
        for zone in zones:
            self._zones.setdefault(zone, len(self._zones))
        self._kinds = {name: i for i, name in enumerate(kinds)}
        machines = self._unknown.take_known(self._kinds)
        return NodeListUpdate(False, machines) if machines else None

    def apply(self, value: dict[str, Any]) -> tuple[NodeListUpdate | None, bool]:
        """Apply one line of the service.

        Returns:
            The line's update, or None; and whether an earlier update was missed.

        Raises:
            ProtocolError: The line has no revision, or its list of machines cannot be read.
        """
        self._note_first_offset()
        rev = value.get("rev")
        if not isinstance(rev, int) or isinstance(rev, bool) or rev < 0:
            raise ProtocolError("a node list update without a revision")
        pool = value.get("pool")
        if pool is None:
            return None, rev > self.revision
        if rev <= self.revision:
            return None, False
        if not isinstance(pool, dict) or not isinstance(pool.get("hosts"), list):
            if self._unreadable != rev or rev != self.revision + 1:
                self._unreadable = rev
                raise ProtocolError("a node list update without a list of machines")
            # An update that cannot be read twice is skipped: requested again and again, it would hide every
            # later drain.
            self.revision = rev
            self.unusable_entries += 1
            return None, False
        is_full = pool.get("whole") is True
        if rev != self.revision + 1 and not is_full:
            return None, True
        found = [self._parse_entry(row) for row in pool["hosts"]]
        machines = tuple(m for m in found if m is not None)
        self.unusable_entries += len(found) - len(machines)
        self.revision = rev
        if is_full:
            listed = {m.entry.id for m in machines}
            self._started = {n: s for n, s in self._started.items() if n in listed}
            self._unknown.retain(listed)
        for machine in machines:
            if machine.entry.status is api.NodeStatus.GONE:
                self._started.pop(machine.entry.id, None)
                self._unknown.forget(machine.entry.id)
        return NodeListUpdate(is_full, machines), False

    def _zone_index(self, name: Any) -> int:
        """Return a zone's number; a zone that the settings do not name gets a number of its own.

        If such zones shared a number, a repeated attempt of a task whose key is known in one zone alone could
        go to another zone, and a spread limit would count several zones as one.
        """
        if name not in self._zones and len(self._zones) < MAX_ZONES:
            self._zones[name] = len(self._zones)
        return self._zones.get(name, 0)

    def _unusable_entry(self, node: int, name: str, status: api.NodeStatus) -> ListedNode | None:
        """Return an entry without address for a machine that gets no work, or None for one that is ready."""
        if status is api.NodeStatus.READY:
            return None
        # An older entry of this machine must not be listed as serving once its node type becomes known.
        self._unknown.forget(node)
        return ListedNode(api.NodeEntry(node, 0, -1, 0, status, 0.0, 0.0), name, "")

    def _parse_entry(self, row: Any) -> ListedNode | None:
        """Return the machine that an entry describes, or None if the entry cannot be used."""
        if not isinstance(row, dict) or not isinstance(name := row.get("host"), str):
            return None
        if not 0 < len(name) <= MAX_NAME_LENGTH or not _is_text(name):
            return None
        health, address = row.get("health"), str(row.get("dial"))
        # An unknown state counts as draining: the machine may not accept new tasks.
        status = STATES.get(health if isinstance(health, str) else "", api.NodeStatus.DRAINING)
        node = machine_number(name)
        try:
            spare = row.get("spare")
            cores, memory = (float(spare[0]), float(spare[1])) if spare else (0.0, 0.0)
            group, launched = int(row.get("block") or 0), self._start(node, int(row.get("born_ms") or 0))
            zone, kind = self._zone_index(row.get("site")), self._kinds.get(row["class"], -1)
        except (KeyError, TypeError, ValueError, IndexError, OverflowError):
            return self._unusable_entry(node, name, status)
        if not (math.isfinite(cores) and math.isfinite(memory)) or not _is_address(address):
            return self._unusable_entry(node, name, status)
        entry = api.NodeEntry(node, zone, kind, group, status, cores, memory, launched)
        machine = ListedNode(entry, name, address)
        self._unknown.forget(node)
        # A machine whose address now belongs to another must not get it back once its node type is known.
        self._unknown.forget_at(address)
        if kind < 0:
            self._unknown.remember(machine, row["class"])
        return machine

    def _start(self, node: int, born_ms: int) -> int:
        """Return the machine's start on the local clock in microseconds, at least 1.

        It is 0 for a machine without a reported start, which was there from the beginning.
        """
        if born_ms <= 0:
            return 0
        known = self._started.get(node)
        if known is None or known[0] != born_ms:
            known = self._started[node] = (born_ms, self._start_on_own_clock(born_ms * 1000))
        return known[1]

    def _note_first_offset(self) -> None:
        if self._first_offset is None:
            unix, own = self._clock()
            self._first_offset = unix - own

    def _start_on_own_clock(self, born_us: int) -> int:
        """Return a start in Unix microseconds on the planner's own clock.

        The wall clock may have been stepped, at the process's start or since. The younger age counts that is
        possible by its first and its present reading: a machine taken for warm would be sent too much.
        """
        unix, own = self._clock()
        offsets = (self._first_offset or 0, unix - own)
        ages = [offset + own - born_us for offset in offsets]
        return max(1, own - min((age for age in ages if age >= 0), default=0))


def _is_text(name: str) -> bool:
    """Return whether a name can be encoded: JSON strings may contain lone surrogates, and those cannot."""
    try:
        name.encode()
    except UnicodeEncodeError:
        return False
    return True


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and int(port) < 65_536

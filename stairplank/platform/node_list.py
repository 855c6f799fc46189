"""The list of machines as the node list service sends it: numbered updates, each applied once and in order.
No I/O.

Invariants:

1. An update is applied where its revision is the next, or where it holds the full list and is newer. Repeats
   are ignored.
2. A revision ahead of the applied one, with an update or alone, means a gap: ``apply`` returns so, and the
   caller watches anew from ``revision``.
3. A machine's start on our clock is computed once a start, so that it does not seem to change.
4. An entry that cannot be used costs that entry (``unusable_entries``), not its update: the drains beside it
   are applied. One that names its machine and a state other than serving is used whatever else is wrong in
   it: it can only keep work away.
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
MAX_ZONES = 1024  # in updates, beside the settings' own


@dataclass(frozen=True, slots=True)
class ListedNode:
    """A machine of an update."""

    entry: api.NodeEntry
    name: str
    address: str


@dataclass(frozen=True, slots=True)
class NodeListUpdate:
    """Changes of the node list, or (``full``) all of it."""

    full: bool
    machines: tuple[ListedNode, ...]


def machine_number(name: str) -> int:
    """A machine's number: the same at every planner, as parts are cut by it."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


class UnknownKinds:
    """Machines of kinds that the settings do not name, as last reported: used once their kind is known.

    One entry per machine and per address.
    """

    def __init__(self) -> None:
        self._machines: dict[int, tuple[str, ListedNode]] = {}  # with the kind's name
        self._at: dict[str, int] = {}  # by address

    def __len__(self) -> int:
        return len(self._machines)

    def remember(self, machine: ListedNode, kind: str) -> None:
        """Remember a machine whose kind has no number yet."""
        self._machines[machine.entry.id] = (kind, machine)
        self._at[machine.address] = machine.entry.id

    def forget(self, node: int) -> None:
        """Forget that machine."""
        known = self._machines.pop(node, None)
        if known is not None:
            del self._at[known[1].address]

    def forget_at(self, address: str) -> None:
        """Forget the machine at that address."""
        node = self._at.get(address)
        if node is not None:
            self.forget(node)

    def retain(self, nodes: Container[int]) -> None:
        """Forget all but these."""
        for node in [node for node in self._machines if node not in nodes]:
            self.forget(node)

    def take_known(self, kinds: Mapping[str, int]) -> tuple[ListedNode, ...]:
        """Remove and return the machines whose kind has a number by now, with that number."""
        found = [(machine, kinds[kind]) for kind, machine in self._machines.values() if kind in kinds]
        for machine, _ in found:
            self.forget(machine.entry.id)
        return tuple(replace(m, entry=replace(m.entry, node_type=kind)) for m, kind in found)


class NodeList:
    """``clock`` gives Unix time and our own in microseconds, read together."""

    def __init__(
        self, zones: tuple[str, ...], kinds: tuple[str, ...], clock: Callable[[], tuple[int, int]]
    ) -> None:
        self.revision = 0
        self._zones = {name: i for i, name in enumerate(zones)}
        self._kinds = {name: i for i, name in enumerate(kinds)}
        self._clock = clock
        self.unusable_entries = 0  # entries, over this life
        self._unreadable = 0  # the revision that was asked for anew as it could not be read
        self._started: dict[int, tuple[int, int]] = {}  # machine: its start as reported, and on our clock
        self._unknown = UnknownKinds()

    def set_names(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> NodeListUpdate | None:
        """The settings' names from now on; an update with machines of kinds that have become known by it.

        Danger: zones that updates have named already are counted by the numbers that they got then.
        """
        for zone in zones:
            self._zones.setdefault(zone, len(self._zones))
        self._kinds = {name: i for i, name in enumerate(kinds)}
        machines = self._unknown.take_known(self._kinds)
        return NodeListUpdate(False, machines) if machines else None

    def apply(self, value: dict[str, Any]) -> tuple[NodeListUpdate | None, bool]:
        """A line's update, if it has one, and whether something was missed. Raises Unreadable."""
        rev = value.get("rev")
        if not isinstance(rev, int) or isinstance(rev, bool) or rev < 0:
            raise ProtocolError("a notice without a number")
        pool = value.get("pool")
        if pool is None:
            return None, rev > self.revision
        if rev <= self.revision:
            return None, False
        if not isinstance(pool, dict) or not isinstance(pool.get("hosts"), list):
            if self._unreadable != rev or rev != self.revision + 1:
                self._unreadable = rev
                raise ProtocolError("a notice without machines")
            # Danger: asked for again and again, it would hide every drain behind it.
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
        """Its number. Danger: zones that the settings do not name, taken for one, would be one place for a
        keyed task's repeats, and one for a spread.
        """
        if name not in self._zones and len(self._zones) < MAX_ZONES:
            self._zones[name] = len(self._zones)
        return self._zones.get(name, 0)

    def _parse_entry(self, row: Any) -> ListedNode | None:
        """A machine's entry, or None where it cannot be used."""
        if not isinstance(row, dict) or not isinstance(name := row.get("host"), str):
            return None
        if not 0 < len(name) <= MAX_NAME_LENGTH or not _is_text(name):
            return None
        health, address = row.get("health"), str(row.get("dial"))
        # Danger: a state that is not known is not "serving"; sent there, work may meet a drain.
        status = STATES.get(health if isinstance(health, str) else "", api.NodeStatus.DRAINING)
        node = machine_number(name)
        try:
            spare = row.get("spare")
            cores, memory = (float(spare[0]), float(spare[1])) if spare else (0.0, 0.0)
            group, launched = int(row.get("block") or 0), self._start(node, int(row.get("born_ms") or 0))
            zone, kind = self._zone_index(row.get("site")), self._kinds.get(row["class"], -1)
            if not (math.isfinite(cores) and math.isfinite(memory)) or not _is_address(address):
                raise ValueError
        except (KeyError, TypeError, ValueError, IndexError, OverflowError):
            if status is api.NodeStatus.READY:
                return None
            # Danger: kept as it was before, it would be listed as serving again once its kind is known.
            self._unknown.forget(node)
            return ListedNode(api.NodeEntry(node, 0, -1, 0, status, 0.0, 0.0), name, "")
        entry = api.NodeEntry(node, zone, kind, group, status, cores, memory, launched)
        machine = ListedNode(entry, name, address)
        self._unknown.forget(node)
        # Danger: a machine whose address another has now would, listed once more, take it back.
        self._unknown.forget_at(address)
        if kind < 0:
            self._unknown.remember(machine, row["class"])
        return machine

    def _start(self, node: int, born_ms: int) -> int:
        """On our own clock; 0 where the machine did not start late."""
        if born_ms <= 0:
            return 0
        known = self._started.get(node)
        if known is None or known[0] != born_ms:
            unix, own = self._clock()
            known = self._started[node] = (born_ms, max(1, own - max(0, unix - born_ms * 1000)))
        return known[1]


def _is_text(name: str) -> bool:
    """Danger: JSON can name half a character, which no other form can be given."""
    try:
        name.encode()
    except UnicodeEncodeError:
        return False
    return True


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and int(port) < 65_536

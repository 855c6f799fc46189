"""Capacity of nodes and of the cluster, and what members require of it.

Amounts are cores and units of memory as nodes accept them. Decides without I/O, clock or state.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from .. import interface as api
from ..tasks import TaskSpec

ROUNDING = 1e-9  # sums of amounts may differ by this much


@dataclass(frozen=True, slots=True)
class ClusterCapacity:
    """Capacity of all listed nodes together, as far as is known."""

    nodes: int
    racks: int
    cores: float
    memory: float
    free_cores: float  # not requested
    free_memory: float


@dataclass(frozen=True, slots=True)
class NodeCapacity:
    """Capacity of a ready node, as far as is known."""

    node: int
    rack: str
    node_type: int
    cores: float
    memory: float
    free_cores: float
    free_memory: float


@dataclass(frozen=True, slots=True)
class MemberRequirements:
    """What a member requires of its node, and how its class spreads tasks of one service."""

    cores: float
    memory: float
    node_type: int | None
    service: int
    task_class: str
    spread: api.Scope
    max_per_place: int

    def allows_type(self, node_type: int) -> bool:
        """Whether the member may run on nodes of this type."""
        return self.node_type is None or self.node_type == node_type

    def fits(self, cores: float, memory: float) -> bool:
        """Whether these free amounts hold the member."""
        return self.cores <= cores + ROUNDING and self.memory <= memory + ROUNDING


def requirements_of(member: TaskSpec, settings: api.Settings) -> MemberRequirements:
    """The requirements of a member by its task and its class."""
    task_class = next(c for c in settings.classes if c.name == member.task_class)
    return MemberRequirements(
        member.cores,
        member.memory,
        task_class.node_type,
        member.service,
        task_class.name,
        task_class.spread,
        task_class.max_per_place,
    )


def fits(member: MemberRequirements, node: NodeCapacity) -> bool:
    """Whether the node has a suitable type and enough free capacity for the member."""
    return member.allows_type(node.node_type) and member.fits(node.free_cores, node.free_memory)


def by_rack(nodes: Iterable[NodeCapacity]) -> dict[str, list[NodeCapacity]]:
    """Nodes grouped by rack, in order."""
    racks: dict[str, list[NodeCapacity]] = {}
    for node in nodes:
        racks.setdefault(node.rack, []).append(node)
    return racks


def without_taken(
    members: Sequence[TaskSpec], taken: Mapping[int, int], nodes: Sequence[NodeCapacity]
) -> list[NodeCapacity]:
    """Nodes with their free capacity reduced by the members that go there. ``taken``: node by member."""
    cores: dict[int, float] = {}
    memory: dict[int, float] = {}
    for member, node in taken.items():
        cores[node] = cores.get(node, 0.0) + members[member].cores
        memory[node] = memory.get(node, 0.0) + members[member].memory
    return [
        replace(
            each,
            free_cores=each.free_cores - cores[each.node],
            free_memory=each.free_memory - memory[each.node],
        )
        if each.node in cores
        else each
        for each in nodes
    ]


class RackPacking:
    """Packs members into one rack: the largest first, each on the node with the most free cores."""

    def __init__(self, rack: Sequence[NodeCapacity], distinct_nodes: bool) -> None:
        """Start with the free capacity of the rack; ``distinct_nodes``: at most one member on a node."""
        self._node_types = {node.node: node.node_type for node in rack}
        self._free_cores = {node.node: node.free_cores for node in rack}
        self._free_memory = {node.node: node.free_memory for node in rack}
        self._distinct_nodes = distinct_nodes
        self._used: set[int] = set()
        # Members by class, service and node; None is the rack as a whole.
        self._counts: dict[tuple[str, int, int | None], int] = {}

    def add_all(self, members: Sequence[MemberRequirements]) -> bool:
        """Whether all members fit."""
        return all(self._add(member) for member in sorted(members, key=lambda m: (-m.cores, -m.memory)))

    def _add(self, member: MemberRequirements) -> bool:
        node = self._roomiest(member)
        if node is None:
            return False
        self._free_cores[node] -= member.cores
        self._free_memory[node] -= member.memory
        self._used.add(node)
        place = node if member.spread is api.Scope.NODE else None
        name = (member.task_class, member.service, place)
        self._counts[name] = self._counts.get(name, 0) + 1
        # A rack, or the zone that it lies in, may not have more of the service than the class says.
        limited = member.spread in (api.Scope.GROUP, api.Scope.ZONE)
        return not (limited and self._counts[name] > member.max_per_place)

    def _roomiest(self, member: MemberRequirements) -> int | None:
        best: int | None = None
        for node, cores in self._free_cores.items():
            if self._allows(member, node) and (best is None or cores > self._free_cores[best]):
                best = node
        return best

    def _allows(self, member: MemberRequirements, node: int) -> bool:
        if self._distinct_nodes and node in self._used:
            return False
        if not member.allows_type(self._node_types[node]):
            return False
        if not member.fits(self._free_cores[node], self._free_memory[node]):
            return False
        count = self._counts.get((member.task_class, member.service, node), 0)
        return not (member.spread is api.Scope.NODE and count >= member.max_per_place)

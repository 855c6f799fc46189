"""Capacity of the nodes and of the cluster, and the amounts that members of a group require.

Amounts are in cores and in the nodes' units of memory. No I/O, clock or global state.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from .. import interface as api
from ..tasks import TaskSpec

ROUNDING = 1e-9  # tolerance for floating-point errors in sums of amounts


@dataclass(frozen=True, slots=True)
class ClusterCapacity:
    """Total capacity of all listed nodes, as last reported."""

    nodes: int
    racks: int
    cores: float
    memory: float
    free_cores: float  # not requested by any task
    free_memory: float


@dataclass(frozen=True, slots=True)
class NodeCapacity:
    """Total and free capacity of one ready node, as last reported."""

    node: int
    rack: str
    node_type: int
    cores: float
    memory: float
    free_cores: float
    free_memory: float


@dataclass(frozen=True, slots=True)
class MemberRequirements:
    """The amounts and node type that a member requires, and the spread limit of its class."""

    cores: float
    memory: float
    node_type: int | None
    service: int
    task_class: str
    spread: api.Scope
    max_per_place: int

    def allows_type(self, node_type: int) -> bool:
        """Return whether the member may run on nodes of this type."""
        return self.node_type is None or self.node_type == node_type

    def fits(self, cores: float, memory: float) -> bool:
        """Return whether these free amounts are sufficient for the member."""
        return self.cores <= cores + ROUNDING and self.memory <= memory + ROUNDING


def requirements_of(member: TaskSpec, settings: api.Settings) -> MemberRequirements:
    """Return the requirements of a member, taken from its task and its class."""
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
    """Return whether the node has a suitable type and enough free capacity for the member."""
    return member.allows_type(node.node_type) and member.fits(node.free_cores, node.free_memory)


def by_rack(nodes: Iterable[NodeCapacity]) -> dict[str, list[NodeCapacity]]:
    """Return the nodes of each rack, by name of the rack; the order of the nodes is preserved."""
    racks: dict[str, list[NodeCapacity]] = {}
    for node in nodes:
        racks.setdefault(node.rack, []).append(node)
    return racks


def subtract_members(
    members: Sequence[TaskSpec], assigned: Mapping[int, int], nodes: Sequence[NodeCapacity]
) -> list[NodeCapacity]:
    """Return the nodes with their free capacity reduced by the members already assigned to them.

    ``assigned``: maps the index of a member to its node.
    """
    cores: dict[int, float] = {}
    memory: dict[int, float] = {}
    for member, node in assigned.items():
        cores[node] = cores.get(node, 0.0) + members[member].cores
        memory[node] = memory.get(node, 0.0) + members[member].memory
    return [
        replace(
            capacity,
            free_cores=capacity.free_cores - cores[capacity.node],
            free_memory=capacity.free_memory - memory[capacity.node],
        )
        if capacity.node in cores
        else capacity
        for capacity in nodes
    ]


class RackPacking:
    """Assigns members to the nodes of one rack, largest first, each to the node with the most free cores."""

    def __init__(self, rack: Sequence[NodeCapacity], distinct_nodes: bool) -> None:
        """Start with the free capacity of the rack. ``distinct_nodes``: at most one member on each node."""
        self._node_types = {node.node: node.node_type for node in rack}
        self._free_cores = {node.node: node.free_cores for node in rack}
        self._free_memory = {node.node: node.free_memory for node in rack}
        self._distinct_nodes = distinct_nodes
        self._used_nodes: set[int] = set()
        # Number of members by class, service and node; a node of None stands for the whole rack.
        self._counts: dict[tuple[str, int, int | None], int] = {}

    def add_all(self, members: Sequence[MemberRequirements]) -> bool:
        """Return whether all members fit into the rack together."""
        return all(self._add(member) for member in sorted(members, key=lambda m: (-m.cores, -m.memory)))

    def _add(self, member: MemberRequirements) -> bool:
        node = self._most_free_node(member)
        if node is None:
            return False
        self._free_cores[node] -= member.cores
        self._free_memory[node] -= member.memory
        self._used_nodes.add(node)
        counted_node = node if member.spread is api.Scope.NODE else None
        key = (member.task_class, member.service, counted_node)
        self._counts[key] = self._counts.get(key, 0) + 1
        # The class may limit the number of tasks of one service per rack or per zone. A zone contains the
        # whole rack, so the count of the rack must stay within either limit.
        is_limited = member.spread in (api.Scope.GROUP, api.Scope.ZONE)
        return not (is_limited and self._counts[key] > member.max_per_place)

    def _most_free_node(self, member: MemberRequirements) -> int | None:
        best: int | None = None
        for node, cores in self._free_cores.items():
            if self._allows(member, node) and (best is None or cores > self._free_cores[best]):
                best = node
        return best

    def _allows(self, member: MemberRequirements, node: int) -> bool:
        if self._distinct_nodes and node in self._used_nodes:
            return False
        if not member.allows_type(self._node_types[node]):
            return False
        if not member.fits(self._free_cores[node], self._free_memory[node]):
            return False
        count = self._counts.get((member.task_class, member.service, node), 0)
        return not (member.spread is api.Scope.NODE and count >= member.max_per_place)

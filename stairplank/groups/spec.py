"""What a group is, and whether it makes sense. Decides without I/O, clock or state."""

from __future__ import annotations

from dataclasses import dataclass

from .. import interface as api
from ..tasks import Rejection, TaskSpec

MAX_MEMBERS = 64


@dataclass(frozen=True, slots=True)
class GroupSpec:
    """A group as its owner asks for it."""

    client: str
    members: tuple[TaskSpec, ...]
    min_members: int  # members that make it whole
    same_rack: bool = False
    distinct_nodes: bool = False
    distinct_racks: bool = False


@dataclass(frozen=True, slots=True)
class ClusterCapacity:
    """What the planner believes of the fleet at the moment; amounts as nodes accept them."""

    nodes: int
    racks: int
    cores: float  # that all listed nodes together accept
    memory: float
    free_cores: float  # of these, not asked for as far as is known
    free_memory: float


GroupProblem = Rejection


def validate(spec: GroupSpec, least_asked: int) -> Rejection | None:
    """The first field at fault; fields of single members are checked like those of single tasks."""

    def bad(field: str, message: str) -> Rejection:
        return Rejection("INVALID_ARGUMENT", field, message)

    count = len(spec.members)
    if not 1 <= count <= MAX_MEMBERS:
        return bad("members", f"{count} members; 1 to {MAX_MEMBERS} make a group")
    keys: dict[int, int] = {}
    for i, member in enumerate(spec.members):
        if member.key in keys:
            return bad(f"members[{i}].key", f"is the key of members[{keys[member.key]}] too")
        keys[member.key] = i
    if not 0 <= least_asked <= count:
        return bad("least", f"{least_asked} of {count} members")
    if spec.same_rack and spec.distinct_racks:
        return bad("distinct_racks", "contradicts same_rack")
    return None


def infeasible_reason(spec: GroupSpec, room: ClusterCapacity, settings: api.Settings) -> str | None:
    """Why the group can never start in this room, or None. An unknown fleet rules nothing out."""
    if room.nodes == 0:
        return None
    order = sorted(spec.members, key=lambda m: m.cores)[: spec.min_members]
    cores = sum(m.cores for m in order)
    memory = sum(sorted(m.memory for m in spec.members)[: spec.min_members])
    if cores > room.cores:
        return f"its members ask for {cores:g} cores, all nodes together accept {room.cores:g}"
    if memory > room.memory:
        return f"its members ask for {memory:g} of memory, all nodes together accept {room.memory:g}"
    if spec.distinct_nodes and spec.min_members > room.nodes:
        return f"{spec.min_members} members on distinct nodes, {room.nodes} nodes are listed"
    if spec.distinct_racks and spec.min_members > room.racks:
        return f"{spec.min_members} members in distinct racks, {room.racks} racks are listed"
    by_class: dict[tuple[str, int], int] = {}
    for member in spec.members:
        by_class[member.task_class, member.service] = by_class.get((member.task_class, member.service), 0) + 1
    left_out = len(spec.members) - spec.min_members
    places = {api.Scope.NODE: room.nodes, api.Scope.GROUP: room.racks}
    for (name, service), count in by_class.items():
        sort = next(c for c in settings.classes if c.name == name)
        if sort.spread in places and count - left_out > sort.max_per_place * places[sort.spread]:
            return f"{count} of service {service}, at most {sort.max_per_place} in one {sort.spread.value}"
    return None


def scarcity(member: TaskSpec, settings: api.Settings) -> tuple[float, ...]:
    """Which member goes first: the one bound to a kind, the tightest spread, the largest share of a node."""
    sort = next(c for c in settings.classes if c.name == member.task_class)
    kinds = settings.node_types if sort.node_type is None else (settings.node_types[sort.node_type],)
    share = min(max(member.cores / k.cores, member.memory / k.memory) for k in kinds)
    tight = 1.0 / sort.max_per_place if sort.spread is not api.Scope.NONE else 0.0
    return (-float(sort.node_type is not None), -tight, -share)

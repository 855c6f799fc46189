"""The request of a group, its validation and the test whether the group could ever start.

No I/O, clock or global state.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from .. import interface as api
from ..tasks import Rejection, TaskSpec
from .capacity import ClusterCapacity

MAX_MEMBERS = 64  # of one group


@dataclass(frozen=True, slots=True)
class GroupSpec:
    """A group of tasks as its client requests it."""

    client: str
    members: tuple[TaskSpec, ...]
    min_members: int  # the group is complete when this many members run
    same_rack: bool = False
    distinct_nodes: bool = False
    distinct_racks: bool = False


def validate(spec: GroupSpec, requested_min_members: int) -> Rejection | None:
    """Return a rejection that names the first invalid field, or None.

    The fields of each member are not validated here but by the validation of single tasks.
    ``requested_min_members``: the value in the request, where 0 stands for all members.
    """
    count = len(spec.members)
    if not 1 <= count <= MAX_MEMBERS:
        return _invalid("members", f"{count} members; 1 to {MAX_MEMBERS} make a group")
    index_of_key: dict[int, int] = {}
    for index, member in enumerate(spec.members):
        if member.key in index_of_key:
            message = f"is the key of members[{index_of_key[member.key]}] too"
            return _invalid(f"members[{index}].key", message)
        index_of_key[member.key] = index
    if not 0 <= requested_min_members <= count:
        return _invalid("least", f"{requested_min_members} of {count} members")
    if spec.same_rack and spec.distinct_racks:
        return _invalid("distinct_racks", "contradicts same_rack")
    return None


def _invalid(field: str, message: str) -> Rejection:
    return Rejection("INVALID_ARGUMENT", field, message)


def infeasible_reason(spec: GroupSpec, capacity: ClusterCapacity, settings: api.Settings) -> str | None:
    """Return why the group can never start in this cluster, or None.

    Without any known node, every group is considered feasible.
    """
    if capacity.nodes == 0:
        return None
    return _insufficient_capacity(spec, capacity) or _insufficient_spread(spec, capacity, settings)


def _insufficient_capacity(spec: GroupSpec, capacity: ClusterCapacity) -> str | None:
    smallest = sorted(spec.members, key=lambda member: member.cores)[: spec.min_members]
    cores = sum(member.cores for member in smallest)
    memory = sum(sorted(member.memory for member in spec.members)[: spec.min_members])
    if cores > capacity.cores:
        return f"its members ask for {cores:g} cores, all nodes together accept {capacity.cores:g}"
    if memory > capacity.memory:
        return f"its members ask for {memory:g} of memory, all nodes together accept {capacity.memory:g}"
    if spec.distinct_nodes and spec.min_members > capacity.nodes:
        return f"{spec.min_members} members on distinct nodes, {capacity.nodes} nodes are listed"
    if spec.distinct_racks and spec.min_members > capacity.racks:
        return f"{spec.min_members} members in distinct racks, {capacity.racks} racks are listed"
    return None


def _insufficient_spread(spec: GroupSpec, capacity: ClusterCapacity, settings: api.Settings) -> str | None:
    """Return which spread limit of a class requires more nodes or racks than are listed, or None."""
    optional_members = len(spec.members) - spec.min_members
    place_counts = {api.Scope.NODE: capacity.nodes, api.Scope.GROUP: capacity.racks}
    counts = Counter((member.task_class, member.service) for member in spec.members)
    for (name, service), count in counts.items():
        task_class = _class_named(name, settings)
        if task_class.spread not in place_counts:
            continue
        if count - optional_members > task_class.max_per_place * place_counts[task_class.spread]:
            limit = f"at most {task_class.max_per_place} in one {task_class.spread.value}"
            return f"{count} of service {service}, {limit}"
    return None


def scarcity(member: TaskSpec, settings: api.Settings) -> tuple[float, ...]:
    """Return the sort key that orders members from the hardest to the easiest to place.

    Members restricted to a node type come first, then those of a class with the tightest spread limit, then
    those that require the largest share of a node.
    """
    task_class = _class_named(member.task_class, settings)
    if task_class.node_type is None:
        node_types = settings.node_types
    else:
        node_types = (settings.node_types[task_class.node_type],)
    share = min(max(member.cores / n.cores, member.memory / n.memory) for n in node_types)
    tightness = 1.0 / task_class.max_per_place if task_class.spread is not api.Scope.NONE else 0.0
    return (-float(task_class.node_type is not None), -tightness, -share)


def _class_named(name: str, settings: api.Settings) -> api.TaskClass:
    return next(task_class for task_class in settings.classes if task_class.name == name)

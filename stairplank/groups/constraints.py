"""Which nodes are closed to a member so that its group's wishes are met. Decides without I/O, clock or state.

The module makes each choice; what the group has taken so far, and what its other members still need, is one
more limit on it. A node is closed to a member where taking it breaks a wish, or leaves the members that are
still to be placed without places of their own: each needs a node (or rack) apart, and whether that can still
be had is a matching of members to places. Room is as the list believes it; a wrong belief costs a try.

``same_rack`` closes all racks but those in which the whole group is believed to fit, and all but one as soon
as one is taken; a rack in which a try failed is left out of the next, until all have failed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from .. import interface as api
from ..tasks import TaskSpec
from .spec import GroupSpec

MAX_PAIRS = (
    200_000  # pairs of members and places that are looked at for one member; past it only what is taken
)


@dataclass(frozen=True, slots=True)
class NodeCapacity:
    """A ready node as it is believed to be; amounts as it accepts them."""

    node: int
    rack: str
    node_type: int
    cores: float
    memory: float
    free_cores: float
    free_memory: float


@dataclass(frozen=True, slots=True)
class MemberRequirements:
    """What a member asks of a place."""

    cores: float
    memory: float
    kind: int | None
    service: int
    task_class: str
    spread: api.Scope
    most: int


def requirements_of(member: TaskSpec, settings: api.Settings) -> MemberRequirements:
    sort = next(c for c in settings.classes if c.name == member.task_class)
    return MemberRequirements(
        member.cores,
        member.memory,
        sort.node_type,
        member.service,
        sort.name,
        sort.spread,
        sort.max_per_place,
    )


def has_constraints(spec: GroupSpec) -> bool:
    """Whether the group has any."""
    return len(spec.members) > 1 and (spec.same_rack or spec.distinct_nodes or spec.distinct_racks)


def infeasible_constraint(
    spec: GroupSpec, places: Sequence[NodeCapacity], settings: api.Settings
) -> str | None:
    """Why a wish can never be met by these nodes, however empty; None where it can, as far as is known."""
    if not places:
        return None
    empty = [NodeCapacity(p.node, p.rack, p.node_type, p.cores, p.memory, p.cores, p.memory) for p in places]
    members = [requirements_of(m, settings) for m in spec.members]
    if spec.same_rack and not any(
        _pack(members, rack, spec.distinct_nodes) for rack in _racks(empty).values()
    ):
        return "no rack can hold all members"
    if spec.distinct_nodes or spec.distinct_racks:
        units = _units(spec, empty)
        if _match(members, units) is None:
            what = "racks" if spec.distinct_racks else "nodes"
            return f"there are no {len(members)} {what} apart that could hold a member each"
    return None


def excluded_nodes(
    spec: GroupSpec,
    member: int,
    taken: Mapping[int, int],
    places: Sequence[NodeCapacity],
    settings: api.Settings,
    avoid: Iterable[str] = (),
) -> frozenset[int]:
    """Nodes closed to a member; ``taken``: nodes of other members, ``avoid``: racks in which tries failed."""
    rack_of = {p.node: p.rack for p in places}
    places = _less(spec, taken, places)
    out: set[int] = set()
    if spec.distinct_nodes:
        out |= set(taken.values())
    if spec.distinct_racks:
        used = {rack_of.get(n, "") for n in taken.values()}
        out |= {p.node for p in places if p.rack in used}
    rest = [i for i in range(len(spec.members)) if i not in taken]
    if spec.same_rack:
        here = {rack_of.get(n, "") for n in taken.values()} or _roomy(
            spec, rest, places, settings, set(avoid)
        )
        out |= {p.node for p in places if p.rack not in here}
    if spec.distinct_nodes or spec.distinct_racks:
        out |= _dead_ends(spec, member, rest, [p for p in places if p.node not in out], settings)
    return frozenset(out)


def violates(spec: GroupSpec, node: int, taken: Mapping[int, int], rack: Callable[[int], str]) -> bool:
    """Whether a member at this node would break a wish, where the others are; nothing else is looked at."""
    nodes = taken.values()
    if spec.distinct_nodes and node in nodes:
        return True
    same = rack(node) in {rack(n) for n in nodes}
    return bool(taken) and ((spec.same_rack and not same) or (spec.distinct_racks and same))


def _less(spec: GroupSpec, taken: Mapping[int, int], places: Sequence[NodeCapacity]) -> list[NodeCapacity]:
    """Places with what the group itself has taken off their room."""
    cores: dict[int, float] = {}
    memory: dict[int, float] = {}
    for i, node in taken.items():
        cores[node] = cores.get(node, 0.0) + spec.members[i].cores
        memory[node] = memory.get(node, 0.0) + spec.members[i].memory
    return [
        NodeCapacity(
            p.node, p.rack, p.node_type, p.cores, p.memory,
            p.free_cores - cores[p.node], p.free_memory - memory[p.node],
        )
        if p.node in cores else p
        for p in places
    ]  # fmt: skip


def _fits(member: MemberRequirements, place: NodeCapacity) -> bool:
    if member.kind is not None and place.node_type != member.kind:
        return False
    return member.cores <= place.free_cores + 1e-9 and member.memory <= place.free_memory + 1e-9


def _racks(places: Iterable[NodeCapacity]) -> dict[str, list[NodeCapacity]]:
    racks: dict[str, list[NodeCapacity]] = {}
    for place in places:
        racks.setdefault(place.rack, []).append(place)
    return racks


def _roomy(
    spec: GroupSpec, rest: list[int], places: Sequence[NodeCapacity], settings: api.Settings, avoid: set[str]
) -> set[str]:
    """Racks in which the whole group is believed to fit; those where no try failed, if there are any."""
    members = [requirements_of(spec.members[i], settings) for i in rest]
    fit = {name for name, rack in _racks(places).items() if _pack(members, rack, spec.distinct_nodes)}
    return (fit - avoid) or fit or {p.rack for p in places}


def _pack(members: Sequence[MemberRequirements], rack: Sequence[NodeCapacity], apart: bool) -> bool:
    """Whether members fit into one rack together: the largest first, each where most is left."""
    free = {p.node: [p.free_cores, p.free_memory] for p in rack}
    kinds = {p.node: p.node_type for p in rack}
    used: set[int] = set()
    counts: dict[tuple[str, int, object], int] = {}
    for member in sorted(members, key=lambda m: (-m.cores, -m.memory)):
        best: int | None = None
        for node, (cores, memory) in free.items():
            if (apart and node in used) or (member.kind is not None and kinds[node] != member.kind):
                continue
            if member.cores > cores + 1e-9 or member.memory > memory + 1e-9:
                continue
            here = counts.get((member.task_class, member.service, node), 0)
            if member.spread is api.Scope.NODE and here >= member.most:
                continue
            if best is None or cores > free[best][0]:
                best = node
        if best is None:
            return False
        free[best][0] -= member.cores
        free[best][1] -= member.memory
        used.add(best)
        where: object = best if member.spread is api.Scope.NODE else "rack"
        name = (member.task_class, member.service, where)
        counts[name] = counts.get(name, 0) + 1
        # A rack, or the zone that it lies in, may not have more of the service than the class says.
        wide = member.spread in (api.Scope.GROUP, api.Scope.ZONE)
        if wide and counts[name] > member.most:
            return False
    return True


# Members and places apart


def _units(spec: GroupSpec, places: Iterable[NodeCapacity]) -> dict[object, list[NodeCapacity]]:
    """What each member needs one of: racks, or nodes."""
    units: dict[object, list[NodeCapacity]] = {}
    for place in places:
        units.setdefault(place.rack if spec.distinct_racks else place.node, []).append(place)
    return units


def _edges(
    members: Sequence[MemberRequirements], units: Mapping[object, list[NodeCapacity]]
) -> list[list[object]]:
    return [[u for u, places in units.items() if any(_fits(m, p) for p in places)] for m in members]


def _augment(
    i: int, edges: Sequence[Sequence[object]], owner: dict[object, int], banned: set[object]
) -> bool:
    """Find member i a unit of its own, others moving on where need be. ``banned`` grows by what was tried."""
    stack: list[tuple[int, int]] = [(i, 0)]
    path: list[object] = []
    while stack:
        member, at = stack[-1]
        if at == len(edges[member]):
            stack.pop()
            if path:
                path.pop()
            continue
        stack[-1] = (member, at + 1)
        unit = edges[member][at]
        if unit in banned:
            continue
        banned.add(unit)
        path.append(unit)
        holder = owner.get(unit)
        if holder is None:
            for (mover, _), to in zip(stack, path, strict=True):
                owner[to] = mover
            return True
        stack.append((holder, 0))
    return False


def _match(
    members: Sequence[MemberRequirements], units: Mapping[object, list[NodeCapacity]]
) -> dict[object, int] | None:
    """A unit for each member, as unit: member; None where there is none."""
    edges = _edges(members, units)
    owner: dict[object, int] = {}
    for i in sorted(range(len(members)), key=lambda i: len(edges[i])):
        if not _augment(i, edges, owner, set()):
            return None
    return owner


def _ample(spec: GroupSpec, members: Sequence[MemberRequirements], places: Sequence[NodeCapacity]) -> bool:
    """Whether more places than members fit even what asks for most: then none can be a dead end."""
    if any(m.kind is not None for m in members):
        return False
    cores, memory = max(m.cores for m in members), max(m.memory for m in members)
    found: set[object] = set()
    for place in places:
        if cores <= place.free_cores and memory <= place.free_memory:
            found.add(place.rack if spec.distinct_racks else place.node)
            if len(found) > len(members):
                return True
    return False


def _dead_ends(
    spec: GroupSpec, member: int, rest: list[int], places: Sequence[NodeCapacity], settings: api.Settings
) -> set[int]:
    """Open places that would leave the others without places of their own."""
    order = [member, *(i for i in rest if i != member)]
    if len(order) < 2 or len(order) * len(places) > MAX_PAIRS:
        return set()
    members = [requirements_of(spec.members[i], settings) for i in order]
    if _ample(spec, members, places):
        return set()
    units = _units(spec, places)
    edges = _edges(members, units)
    if min(len(e) for e in edges[1:]) >= len(order):
        return set()  # whichever is taken, each of the others has one left
    owner: dict[object, int] = {}
    for i in sorted(range(len(order)), key=lambda i: len(edges[i])):
        if not _augment(i, edges, owner, set()):
            return set()  # it is believed that it cannot be had: belief is late, and nothing is closed for it
    own = next(u for u, i in owner.items() if i == 0)
    dead: set[int] = set()
    for unit in edges[0]:
        holder = owner.get(unit)
        if unit == own or holder is None:
            continue
        others = {u: i for u, i in owner.items() if u not in (own, unit)}
        if not _augment(holder, edges, others, {unit}):
            dead |= {p.node for p in units[unit]}
    return dead

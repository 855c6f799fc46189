"""Placement constraints of groups: computes which nodes are excluded for a member. No I/O, clock or state.

The decision module chooses a node for each member from the nodes that are not excluded here. A node is
excluded if assigning the member to it violates a constraint, or prevents another member from getting a node
(or rack) that no other member uses. The second case is decided by a matching of members to nodes or racks.
Free capacity is taken from the node list; if the list is outdated, the attempt may fail and is repeated.

``same_rack`` excludes all racks except those in which the whole group appears to fit, and all other racks
once a member is assigned to one. Racks in which an attempt failed are excluded as long as another sufficient
rack is left.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Mapping, Sequence

from .. import interface as api
from .capacity import (
    MemberRequirements,
    NodeCapacity,
    RackPacking,
    by_rack,
    fits,
    requirements_of,
    subtract_members,
)
from .matching import Matching
from .spec import GroupSpec

# At most this many pairs of a member and a node are examined when a member is placed. Above the limit, the
# search for nodes that block other members is skipped; only nodes that violate a constraint are excluded.
MAX_PAIRS = 200_000


def has_constraints(spec: GroupSpec) -> bool:
    """Return whether the group has constraints that a placement could violate."""
    return len(spec.members) > 1 and (spec.same_rack or spec.distinct_nodes or spec.distinct_racks)


def infeasible_constraint(
    spec: GroupSpec, nodes: Sequence[NodeCapacity], settings: api.Settings
) -> str | None:
    """Return why these nodes, even if empty, cannot meet a constraint; None if they can or none is known."""
    if not nodes:
        return None
    empty = [NodeCapacity(n.node, n.rack, n.node_type, n.cores, n.memory, n.cores, n.memory) for n in nodes]
    members = [requirements_of(member, settings) for member in spec.members]
    if spec.same_rack and not any(
        RackPacking(rack, spec.distinct_nodes).add_all(members) for rack in by_rack(empty).values()
    ):
        return "no rack can hold all members"
    if not (spec.distinct_nodes or spec.distinct_racks):
        return None
    if not Matching(_edges(members, _places(spec, empty))).match_all():
        places = "racks" if spec.distinct_racks else "nodes"
        return f"there are no {len(members)} {places} apart that could hold a member each"
    return None


def excluded_nodes(
    spec: GroupSpec,
    member: int,
    assigned: Mapping[int, int],
    nodes: Sequence[NodeCapacity],
    settings: api.Settings,
    failed_racks: Iterable[str] = (),
) -> frozenset[int]:
    """Return the nodes to which a member must not be assigned.

    ``assigned``: maps the indices of other members to their nodes.
    ``failed_racks``: racks in which attempts failed.
    """
    rack_of = {each.node: each.rack for each in nodes}
    nodes = subtract_members(spec.members, assigned, nodes)
    used_racks = {rack_of.get(node, "") for node in assigned.values()}
    excluded: set[int] = set()
    if spec.distinct_nodes:
        excluded |= set(assigned.values())
    if spec.distinct_racks:
        excluded |= {each.node for each in nodes if each.rack in used_racks}
    remaining = [i for i in range(len(spec.members)) if i not in assigned]
    if spec.same_rack:
        allowed_racks = used_racks or _sufficient_racks(spec, remaining, nodes, settings, set(failed_racks))
        excluded |= {each.node for each in nodes if each.rack not in allowed_racks}
    if spec.distinct_nodes or spec.distinct_racks:
        allowed_nodes = [each for each in nodes if each.node not in excluded]
        excluded |= _blocking_nodes(spec, member, remaining, allowed_nodes, settings)
    return frozenset(excluded)


def violates(spec: GroupSpec, node: int, assigned: Mapping[int, int], rack_of: Callable[[int], str]) -> bool:
    """Return whether a member on this node would violate a constraint, given the other members' nodes."""
    if not assigned:
        return False
    if spec.distinct_nodes and node in assigned.values():
        return True
    in_used_rack = rack_of(node) in {rack_of(other) for other in assigned.values()}
    return (spec.same_rack and not in_used_rack) or (spec.distinct_racks and in_used_rack)


def _sufficient_racks(
    spec: GroupSpec,
    remaining: Sequence[int],
    nodes: Sequence[NodeCapacity],
    settings: api.Settings,
    failed_racks: set[str],
) -> set[str]:
    """Return the racks in which all remaining members appear to fit.

    Racks in which an attempt failed are returned only if every sufficient rack has failed. If no rack is
    sufficient, all racks are returned.
    """
    members = [requirements_of(spec.members[i], settings) for i in remaining]
    sufficient = {
        name
        for name, rack in by_rack(nodes).items()
        if RackPacking(rack, spec.distinct_nodes).add_all(members)
    }
    return (sufficient - failed_racks) or sufficient or {each.rack for each in nodes}


def _places(spec: GroupSpec, nodes: Iterable[NodeCapacity]) -> dict[Hashable, list[NodeCapacity]]:
    """Return the nodes by place. A place is a rack or node that at most one member may use."""
    places: dict[Hashable, list[NodeCapacity]] = {}
    for each in nodes:
        places.setdefault(_place_of(spec, each), []).append(each)
    return places


def _place_of(spec: GroupSpec, node: NodeCapacity) -> Hashable:
    return node.rack if spec.distinct_racks else node.node


def _edges(
    members: Sequence[MemberRequirements], places: Mapping[Hashable, list[NodeCapacity]]
) -> list[list[Hashable]]:
    return [
        [place for place, nodes in places.items() if any(fits(member, node) for node in nodes)]
        for member in members
    ]


def _has_surplus_places(
    spec: GroupSpec, members: Sequence[MemberRequirements], nodes: Sequence[NodeCapacity]
) -> bool:
    """Return whether more places than there are members fit the largest member.

    No choice of a place can then leave another member without one.
    """
    if any(member.node_type is not None for member in members):
        return False
    cores = max(member.cores for member in members)
    memory = max(member.memory for member in members)
    sufficient: set[Hashable] = set()
    for each in nodes:
        if cores <= each.free_cores and memory <= each.free_memory:
            sufficient.add(_place_of(spec, each))
            if len(sufficient) > len(members):
                return True
    return False


def _blocking_nodes(
    spec: GroupSpec,
    member: int,
    remaining: Sequence[int],
    nodes: Sequence[NodeCapacity],
    settings: api.Settings,
) -> set[int]:
    """Return the nodes that, if this member used them, would leave another member without a place."""
    order = [member, *(i for i in remaining if i != member)]
    if len(order) < 2 or len(order) * len(nodes) > MAX_PAIRS:
        return set()
    members = [requirements_of(spec.members[i], settings) for i in order]
    if _has_surplus_places(spec, members, nodes):
        return set()
    places = _places(spec, nodes)
    edges = _edges(members, places)
    if min(len(each) for each in edges[1:]) >= len(order):
        return set()  # every other member can still get a place, whichever place this member uses
    blocking_places = _blocking_places(edges)
    return {each.node for place in blocking_places for each in places[place]}


def _blocking_places(edges: Sequence[Sequence[Hashable]]) -> list[Hashable]:
    """Return the places that the first member has in no complete matching of members to places."""
    matching = Matching(edges)
    if not matching.match_all():
        return []  # the constraint seems infeasible, but load reports may be outdated, so nothing is excluded
    first_place = next(place for place, holder in matching.holders.items() if holder == 0)
    blocking: list[Hashable] = []
    for place in edges[0]:
        holder = matching.holders.get(place)
        if place == first_place or holder is None:
            continue
        others = {p: h for p, h in matching.holders.items() if p not in (first_place, place)}
        if not Matching(edges, others).augment(holder, {place}):
            blocking.append(place)
    return blocking

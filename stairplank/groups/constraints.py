"""Placement constraints of groups: which nodes are excluded for a member. No I/O, clock or state.

The decision module makes each choice; what the group has taken so far, and what its other members still
need, is one more limit on it. A node is excluded for a member where taking it violates a constraint, or
leaves the remaining members without places of their own: each needs a node (or rack) apart, and whether that
can still be had is a matching of members to places. Capacity is as the node list reports it; where it is
wrong an attempt is lost.

``same_rack`` excludes all racks but those in which the whole group appears to fit, and all but one as soon as
one is taken; a rack in which an attempt failed is left out of the next, until all have failed.
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
    without_taken,
)
from .matching import Matching
from .spec import GroupSpec

# Pairs of members and nodes that are examined for one member; beyond it only taken places are excluded.
MAX_PAIRS = 200_000


def has_constraints(spec: GroupSpec) -> bool:
    """Whether the group has constraints that could be violated."""
    return len(spec.members) > 1 and (spec.same_rack or spec.distinct_nodes or spec.distinct_racks)


def infeasible_constraint(
    spec: GroupSpec, nodes: Sequence[NodeCapacity], settings: api.Settings
) -> str | None:
    """Why these nodes could not meet a constraint even when empty; None where they could, or are unknown."""
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
    taken: Mapping[int, int],
    nodes: Sequence[NodeCapacity],
    settings: api.Settings,
    failed_racks: Iterable[str] = (),
) -> frozenset[int]:
    """Nodes that a member must not go to.

    ``taken``: the nodes of other members, by member; ``failed_racks``: racks in which attempts failed.
    """
    rack_of = {each.node: each.rack for each in nodes}
    nodes = without_taken(spec.members, taken, nodes)
    taken_racks = {rack_of.get(node, "") for node in taken.values()}
    excluded: set[int] = set()
    if spec.distinct_nodes:
        excluded |= set(taken.values())
    if spec.distinct_racks:
        excluded |= {each.node for each in nodes if each.rack in taken_racks}
    remaining = [i for i in range(len(spec.members)) if i not in taken]
    if spec.same_rack:
        open_racks = taken_racks or _sufficient_racks(spec, remaining, nodes, settings, set(failed_racks))
        excluded |= {each.node for each in nodes if each.rack not in open_racks}
    if spec.distinct_nodes or spec.distinct_racks:
        open_nodes = [each for each in nodes if each.node not in excluded]
        excluded |= _dead_ends(spec, member, remaining, open_nodes, settings)
    return frozenset(excluded)


def violates(spec: GroupSpec, node: int, taken: Mapping[int, int], rack_of: Callable[[int], str]) -> bool:
    """Whether a member at this node would violate a constraint, given the nodes of the others."""
    if not taken:
        return False
    if spec.distinct_nodes and node in taken.values():
        return True
    in_taken_rack = rack_of(node) in {rack_of(other) for other in taken.values()}
    return (spec.same_rack and not in_taken_rack) or (spec.distinct_racks and in_taken_rack)


def _sufficient_racks(
    spec: GroupSpec,
    remaining: Sequence[int],
    nodes: Sequence[NodeCapacity],
    settings: api.Settings,
    failed_racks: set[str],
) -> set[str]:
    """Racks in which all members appear to fit; those in which no attempt failed, if there are any."""
    members = [requirements_of(spec.members[i], settings) for i in remaining]
    sufficient = {
        name
        for name, rack in by_rack(nodes).items()
        if RackPacking(rack, spec.distinct_nodes).add_all(members)
    }
    return (sufficient - failed_racks) or sufficient or {each.rack for each in nodes}


def _places(spec: GroupSpec, nodes: Iterable[NodeCapacity]) -> dict[Hashable, list[NodeCapacity]]:
    """What each member needs one of, racks or nodes, with the nodes in it."""
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


def _is_ample(spec: GroupSpec, members: Sequence[MemberRequirements], nodes: Sequence[NodeCapacity]) -> bool:
    """Whether more places than members fit even the largest member: then none can be a dead end."""
    if any(member.node_type is not None for member in members):
        return False
    cores = max(member.cores for member in members)
    memory = max(member.memory for member in members)
    found: set[Hashable] = set()
    for each in nodes:
        if cores <= each.free_cores and memory <= each.free_memory:
            found.add(_place_of(spec, each))
            if len(found) > len(members):
                return True
    return False


def _dead_ends(
    spec: GroupSpec,
    member: int,
    remaining: Sequence[int],
    nodes: Sequence[NodeCapacity],
    settings: api.Settings,
) -> set[int]:
    """Open nodes that would leave the other members without places of their own."""
    order = [member, *(i for i in remaining if i != member)]
    if len(order) < 2 or len(order) * len(nodes) > MAX_PAIRS:
        return set()
    members = [requirements_of(spec.members[i], settings) for i in order]
    if _is_ample(spec, members, nodes):
        return set()
    places = _places(spec, nodes)
    edges = _edges(members, places)
    if min(len(each) for each in edges[1:]) >= len(order):
        return set()  # whichever is taken, each of the others has one left
    dead_ends = _dead_end_places(edges)
    return {each.node for place in dead_ends for each in places[place]}


def _dead_end_places(edges: Sequence[Sequence[Hashable]]) -> list[Hashable]:
    """Places of the first member that no matching of all the members gives to it."""
    matching = Matching(edges)
    if not matching.match_all():
        return []  # it seems that it cannot be had: reports are late, and nothing is excluded for it
    own = next(place for place, holder in matching.holders.items() if holder == 0)
    dead_ends: list[Hashable] = []
    for place in edges[0]:
        holder = matching.holders.get(place)
        if place == own or holder is None:
            continue
        others = {p: h for p, h in matching.holders.items() if p not in (own, place)}
        if not Matching(edges, others).augment(holder, {place}):
            dead_ends.append(place)
    return dead_ends

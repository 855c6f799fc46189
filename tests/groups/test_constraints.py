"""Tests which nodes the placement constraints of a group exclude for a member.

Only nodes that violate a constraint or that would leave another member without a node must be excluded.
"""

from __future__ import annotations

import itertools
import random
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "planner"))
from grpc_core_harness import SECOND, SETTINGS, CoreHarness  # noqa: E402

from stairplank import interface as api  # noqa: E402
from stairplank.groups.capacity import NodeCapacity  # noqa: E402
from stairplank.groups.constraints import excluded_nodes, infeasible_constraint  # noqa: E402
from stairplank.groups.spec import GroupSpec  # noqa: E402
from stairplank.planner import events as ev  # noqa: E402
from stairplank.tasks import TaskSpec  # noqa: E402


def node_capacity(
    node: int, rack: str, free_cores: float = 8.0, node_type: int = 0, cores: float = 8.0
) -> NodeCapacity:
    return NodeCapacity(node, rack, node_type, cores, 2 * cores, free_cores, 2 * free_cores)


def member(key: int, cores: float = 1.0, task_class: str = "report", service: int = 0) -> TaskSpec:
    return TaskSpec("o", key, task_class, "", service or 50 + key, cores, 1.0, 0, False)


def group(*cores: float, task_class: str = "report", **constraints: bool) -> GroupSpec:
    members = tuple(member(key, amount, task_class) for key, amount in enumerate(cores, 1))
    return GroupSpec("o", members, len(members), **constraints)


FOUR_NODES = [node_capacity(1, "a"), node_capacity(2, "a"), node_capacity(3, "b"), node_capacity(4, "c")]


def test_nodes_and_racks_that_members_use_are_excluded() -> None:
    distinct_nodes = group(1, 1, 1, distinct_nodes=True)
    assert excluded_nodes(distinct_nodes, 1, {}, FOUR_NODES, SETTINGS) == frozenset()
    assert excluded_nodes(distinct_nodes, 1, {0: 2}, FOUR_NODES, SETTINGS) == {2}
    distinct_racks = group(1, 1, 1, distinct_racks=True)
    assert excluded_nodes(distinct_racks, 1, {0: 2}, FOUR_NODES, SETTINGS) == {1, 2}
    same_rack = group(1, 1, 1, same_rack=True)
    assert excluded_nodes(same_rack, 1, {0: 2}, FOUR_NODES, SETTINGS) == {3, 4}


def test_racks_too_small_for_the_whole_group_are_excluded() -> None:
    nodes = [
        node_capacity(1, "a", 3),
        node_capacity(2, "a", 2),
        node_capacity(3, "b", 4),
        node_capacity(4, "b", 4),
    ]
    same_rack = group(4, 3, 1, same_rack=True)
    assert excluded_nodes(same_rack, 0, {}, nodes, SETTINGS) == {1, 2}
    # Rack b is not excluded after a failed attempt, because the group fits into no other rack.
    assert excluded_nodes(same_rack, 0, {}, nodes, SETTINGS, failed_racks=["b"]) == {1, 2}
    empty_nodes = [replace(node, free_cores=8.0, free_memory=16.0) for node in nodes]
    assert excluded_nodes(same_rack, 0, {}, empty_nodes, SETTINGS, failed_racks=["b"]) == {3, 4}


def test_a_member_is_not_placed_on_the_only_node_for_another_member() -> None:
    """Only node 3 is large enough for the large member, so it is excluded for the small members."""
    nodes = [node_capacity(1, "a", 1), node_capacity(2, "a", 1), node_capacity(3, "b", 6)]
    spec = group(1, 6, 1, distinct_nodes=True)
    assert excluded_nodes(spec, 0, {}, nodes, SETTINGS) == {3}
    assert excluded_nodes(spec, 1, {}, nodes, SETTINGS) == frozenset()


def test_constraints_that_seem_infeasible_exclude_nothing_more() -> None:
    nodes = [node_capacity(1, "a", 0.5), node_capacity(2, "b", 0.5), node_capacity(3, "b", 6)]
    assert excluded_nodes(group(1, 1, distinct_racks=True), 0, {}, nodes, SETTINGS) == frozenset()


def test_the_infeasible_constraint_is_named() -> None:
    def reason(spec: GroupSpec, nodes: list[NodeCapacity] = FOUR_NODES) -> str:
        return infeasible_constraint(spec, nodes, SETTINGS) or ""

    assert "no rack can hold" in reason(group(8, 8, 8, same_rack=True))
    assert not reason(group(8, 8, same_rack=True))
    # Nodes that are full now can become free, which makes the constraint feasible.
    assert not reason(group(8, 8, same_rack=True), [node_capacity(n, "a", 0.0) for n in (1, 2)])
    assert "4 racks apart" in reason(group(1, 1, 1, 1, distinct_racks=True))
    assert "2 nodes apart" in reason(
        group(6, 6, distinct_nodes=True), [node_capacity(1, "a"), node_capacity(2, "b", 3, cores=4)]
    )
    # Without any known node, every constraint is considered feasible.
    assert not reason(group(1, 1, same_rack=True), [])


def is_valid_assignment(spec: GroupSpec, assignment: tuple[NodeCapacity, ...]) -> bool:
    racks, nodes = {each.rack for each in assignment}, {each.node for each in assignment}
    if spec.same_rack and len(racks) > 1 or spec.distinct_nodes and len(nodes) < len(assignment):
        return False
    if spec.distinct_racks and len(racks) < len(assignment):
        return False
    for node in nodes:
        members = [i for i, each in enumerate(assignment) if each.node == node]
        capacity = next(each for each in assignment if each.node == node)
        if sum(spec.members[i].cores for i in members) > capacity.free_cores + 1e-9:
            return False
        if sum(spec.members[i].memory for i in members) > capacity.free_memory + 1e-9:
            return False
    return True


@settings(max_examples=250, deadline=None, derandomize=True)
@given(
    free=st.lists(st.sampled_from([0.5, 1.0, 2.0, 4.0]), min_size=2, max_size=6),
    racks=st.integers(1, 4),
    cores=st.lists(st.sampled_from([1.0, 2.0, 4.0]), min_size=2, max_size=4),
    constraint=st.sampled_from(["distinct_nodes", "distinct_racks", "same_rack"]),
    seed=st.integers(0, 99),
)
def test_members_placed_one_at_a_time_succeed_where_an_exact_search_does(
    free: list[float], racks: int, cores: list[float], constraint: str, seed: int
) -> None:
    """Compares placement on any allowed node with an exact search over all assignments.

    Both succeed for the same groups with distinct nodes or racks. With ``same_rack``, placement may fail
    although the exact search succeeds, when earlier members leave too little capacity on each node.
    """
    nodes = [
        node_capacity(number, f"r{number % racks}", cores_free) for number, cores_free in enumerate(free, 1)
    ]
    spec = group(*sorted(cores, reverse=True), **{constraint: True})
    is_feasible = any(
        is_valid_assignment(spec, assignment) for assignment in itertools.product(nodes, repeat=len(cores))
    )
    rng = random.Random(seed)
    assigned: dict[int, int] = {}
    for i, task in enumerate(spec.members):
        excluded = excluded_nodes(spec, i, assigned, nodes, SETTINGS)
        used_cores = {
            node: sum(spec.members[j].cores for j, other in assigned.items() if other == node)
            for node in assigned.values()
        }
        fitting = [
            each
            for each in nodes
            if each.node not in excluded
            and task.cores <= each.free_cores - used_cores.get(each.node, 0) + 1e-9
        ]
        if not fitting:
            break
        # The decision module chooses the node with the most free cores out of a small random sample.
        assigned[i] = max(
            rng.sample(fitting, min(3, len(fitting))),
            key=lambda each: each.free_cores - used_cores.get(each.node, 0),
        ).node
    all_placed = len(assigned) == len(spec.members)
    by_node = {each.node: each for each in nodes}
    if all_placed:
        assert is_valid_assignment(spec, tuple(by_node[assigned[i]] for i in range(len(cores))))
    if is_feasible and constraint != "same_rack":
        assert all_placed
    if not is_feasible:
        assert not all_placed


@pytest.mark.parametrize("constraint", ["distinct_racks", "distinct_nodes", "same_rack"])
def test_a_feasible_constraint_is_met_at_the_first_attempt(constraint: str) -> None:
    """Guards against a fault: in an empty cluster, all four attempts bound the five members to one node."""
    harness = CoreHarness(nodes=10)
    harness.actions.clear()
    members = tuple(harness.task_spec(100 + i, "report", service=50) for i in range(5))
    harness.feed(ev.GroupRequested(1, 1, members, 9 * SECOND, **{constraint: True}))
    offers = harness.actions_of_type(ev.SendOffer)
    assert len(offers) == 5
    nodes = [offer.node for offer in offers]
    racks = [(node - 1) // 2 for node in nodes]
    assert len(set(nodes)) == 5 or constraint == "same_rack"
    assert len(set(racks)) == {"distinct_racks": 5, "same_rack": 1}.get(constraint, len(set(racks)))
    for offer in offers:
        harness.feed(ev.NodeAccepted(offer.node, offer.id))
        harness.feed(ev.NodeReady(offer.node, offer.id))
    for offer in offers:
        harness.feed(ev.NodeRunning(offer.node, offer.id))
    (placed,) = harness.client_messages(ev.GroupPlaced)
    assert placed.constraints_met and placed.attempts == 1


def test_a_rejected_member_is_offered_to_another_node_that_meets_the_constraint() -> None:
    harness = CoreHarness(nodes=6)
    harness.actions.clear()
    members = tuple(harness.task_spec(100 + i, "report", service=50 + i) for i in range(2))
    harness.feed(ev.GroupRequested(1, 1, members, 9 * SECOND, distinct_racks=True))
    first, second = harness.actions_of_type(ev.SendOffer)
    harness.feed(ev.NodeRejected(second.node, second.id, api.Reason.QUEUE_FULL))
    harness.advance_time(200_000)
    new_offers = harness.actions_of_type(ev.SendOffer)[2:]
    assert new_offers and all(
        (offer.node - 1) // 2 != (first.node - 1) // 2
        for offer in new_offers
        if offer.task.key == second.task.key
    )


def test_an_infeasible_constraint_is_named_in_the_first_message() -> None:
    harness = CoreHarness(nodes=4)
    harness.actions.clear()
    members = tuple(harness.task_spec(100 + i, "report", service=50 + i, cores=12.0) for i in range(3))
    harness.feed(ev.GroupRequested(1, 1, members, 9 * SECOND, same_rack=True))
    attempted = harness.client_messages(ev.GroupAttempted)
    if attempted:
        assert attempted[0].attempts == 0 and "can never be met" in attempted[0].reason
        assert len(harness.actions_of_type(ev.SendOffer)) == 3  # the group is placed at once all the same
    else:
        assert harness.client_messages(ev.GroupShed)

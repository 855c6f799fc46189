"""Which nodes constraints exclude: what violates one and dead ends, and no more than that."""

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
from world import SECOND, SETTINGS, World  # noqa: E402

from stairplank import interface as api  # noqa: E402
from stairplank.groups.capacity import NodeCapacity  # noqa: E402
from stairplank.groups.constraints import excluded_nodes, infeasible_constraint  # noqa: E402
from stairplank.groups.spec import GroupSpec  # noqa: E402
from stairplank.planner import events as ev  # noqa: E402
from stairplank.tasks import TaskSpec  # noqa: E402


def place(node: int, rack: str, free: float = 8.0, kind: int = 0, size: float = 8.0) -> NodeCapacity:
    return NodeCapacity(node, rack, kind, size, 2 * size, free, 2 * free)


def member(key: int, cores: float = 1.0, task_class: str = "report", service: int = 0) -> TaskSpec:
    return TaskSpec("o", key, task_class, "", service or 50 + key, cores, 1.0, 0, False)


def group(*cores: float, task_class: str = "report", **more: bool) -> GroupSpec:
    members = tuple(member(n, c, task_class) for n, c in enumerate(cores, 1))
    return GroupSpec("o", members, len(members), **more)


FOUR = [place(1, "a"), place(2, "a"), place(3, "b"), place(4, "c")]


def test_taken_places_are_excluded() -> None:
    nodes = group(1, 1, 1, distinct_nodes=True)
    assert excluded_nodes(nodes, 1, {}, FOUR, SETTINGS) == frozenset()
    assert excluded_nodes(nodes, 1, {0: 2}, FOUR, SETTINGS) == {2}
    racks = group(1, 1, 1, distinct_racks=True)
    assert excluded_nodes(racks, 1, {0: 2}, FOUR, SETTINGS) == {1, 2}
    same = group(1, 1, 1, same_rack=True)
    assert excluded_nodes(same, 1, {0: 2}, FOUR, SETTINGS) == {3, 4}


def test_a_rack_must_hold_the_whole_group() -> None:
    places = [place(1, "a", 3), place(2, "a", 2), place(3, "b", 4), place(4, "b", 4)]
    same = group(4, 3, 1, same_rack=True)
    assert excluded_nodes(same, 0, {}, places, SETTINGS) == {1, 2}
    assert excluded_nodes(same, 0, {}, places, SETTINGS, failed_racks=["b"]) == {
        1,
        2,
    }  # no other fits: tried again
    roomy = [replace(p, free_cores=8.0, free_memory=16.0) for p in places]
    assert excluded_nodes(same, 0, {}, roomy, SETTINGS, failed_racks=["b"]) == {3, 4}


def test_a_member_does_not_take_the_only_place_of_another() -> None:
    """The large member fits at node 3 alone: it is excluded for the small ones, though they would fit."""
    places = [place(1, "a", 1), place(2, "a", 1), place(3, "b", 6)]
    spec = group(1, 6, 1, distinct_nodes=True)
    assert excluded_nodes(spec, 0, {}, places, SETTINGS) == {3}
    assert excluded_nodes(spec, 1, {}, places, SETTINGS) == frozenset()


def test_constraints_that_seem_infeasible_exclude_nothing_more() -> None:
    places = [place(1, "a", 0.5), place(2, "b", 0.5), place(3, "b", 6)]
    assert excluded_nodes(group(1, 1, distinct_racks=True), 0, {}, places, SETTINGS) == frozenset()


def test_infeasible_constraints_are_named() -> None:
    def infeasible(spec: GroupSpec, places: list[NodeCapacity] = FOUR) -> str:
        return infeasible_constraint(spec, places, SETTINGS) or ""

    assert "no rack can hold" in infeasible(group(8, 8, 8, same_rack=True))
    assert not infeasible(group(8, 8, same_rack=True))
    assert not infeasible(
        group(8, 8, same_rack=True), [place(n, "a", 0.0) for n in (1, 2)]
    )  # full is not never
    assert "4 members to distinct racks" in infeasible(group(1, 1, 1, 1, distinct_racks=True))
    assert "2 members to distinct nodes" in infeasible(
        group(6, 6, distinct_nodes=True), [place(1, "a"), place(2, "b", 3, size=4)]
    )
    assert not infeasible(group(1, 1, same_rack=True), [])  # an unknown fleet rules nothing out


def met(spec: GroupSpec, at: tuple[NodeCapacity, ...]) -> bool:
    racks, nodes = {p.rack for p in at}, {p.node for p in at}
    if spec.same_rack and len(racks) > 1 or spec.distinct_nodes and len(nodes) < len(at):
        return False
    if spec.distinct_racks and len(racks) < len(at):
        return False
    for p in nodes:
        here = [i for i, q in enumerate(at) if q.node == p]
        place_ = next(q for q in at if q.node == p)
        if sum(spec.members[i].cores for i in here) > place_.free_cores + 1e-9:
            return False
        if sum(spec.members[i].memory for i in here) > place_.free_memory + 1e-9:
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
def test_members_placed_one_after_the_other_meet_what_an_exact_search_can(
    free: list[float], racks: int, cores: list[float], constraint: str, seed: int
) -> None:
    """Whatever open node each member takes: always for places apart; one rack may be packed too tightly."""
    places = [place(n, f"r{n % racks}", f) for n, f in enumerate(free, 1)]
    spec = group(*sorted(cores, reverse=True), **{constraint: True})
    possible = any(met(spec, at) for at in itertools.product(places, repeat=len(cores)))
    rng = random.Random(seed)
    taken: dict[int, int] = {}
    for i, one in enumerate(spec.members):
        excluded = excluded_nodes(spec, i, taken, places, SETTINGS)
        used = {n: sum(spec.members[k].cores for k, at in taken.items() if at == n) for n in taken.values()}
        fitting = [
            p
            for p in places
            if p.node not in excluded and one.cores <= p.free_cores - used.get(p.node, 0) + 1e-9
        ]
        if not fitting:
            break
        # The module takes the roomiest of a few.
        taken[i] = max(
            rng.sample(fitting, min(3, len(fitting))), key=lambda p: p.free_cores - used.get(p.node, 0)
        ).node
    done = len(taken) == len(spec.members)
    by_node = {p.node: p for p in places}
    if done:
        assert met(spec, tuple(by_node[taken[i]] for i in range(len(cores))))
    if possible and constraint != "same_rack":
        assert done
    if not possible:
        assert not done


@pytest.mark.parametrize("constraint", ["distinct_racks", "distinct_nodes", "same_rack"])
def test_a_feasible_constraint_is_met_at_the_first_attempt(constraint: str) -> None:
    """Five members in an empty cluster: all four attempts used to bind them to one node."""
    w = World(nodes=10)
    w.actions.clear()
    members = tuple(w.task_spec(100 + i, "report", service=50) for i in range(5))
    w.feed(ev.GroupRequested(1, 1, members, 9 * SECOND, **{constraint: True}))
    offers = w.actions_of(ev.SendOffer)
    assert len(offers) == 5
    nodes = [o.node for o in offers]
    racks = [(n - 1) // 2 for n in nodes]
    assert len(set(nodes)) == 5 or constraint == "same_rack"
    assert len(set(racks)) == {"distinct_racks": 5, "same_rack": 1}.get(constraint, len(set(racks)))
    for offer in offers:
        w.feed(ev.NodeAccepted(offer.node, offer.id))
        w.feed(ev.NodeReady(offer.node, offer.id))
    for offer in offers:
        w.feed(ev.NodeRunning(offer.node, offer.id))
    (placed,) = w.client_messages(ev.GroupPlaced)
    assert placed.constraints_met and placed.attempts == 1


def test_a_rejected_member_goes_where_the_constraint_still_holds() -> None:
    w = World(nodes=6)
    w.actions.clear()
    members = tuple(w.task_spec(100 + i, "report", service=50 + i) for i in range(2))
    w.feed(ev.GroupRequested(1, 1, members, 9 * SECOND, distinct_racks=True))
    first, second = w.actions_of(ev.SendOffer)
    w.feed(ev.NodeRejected(second.node, second.id, api.Reason.QUEUE_FULL))
    w.wait(200_000)
    again = w.actions_of(ev.SendOffer)[2:]
    assert again and all(
        (o.node - 1) // 2 != (first.node - 1) // 2 for o in again if o.task.key == second.task.key
    )


def test_an_infeasible_constraint_is_named_in_the_first_message() -> None:
    w = World(nodes=4)
    w.actions.clear()
    members = tuple(w.task_spec(100 + i, "report", service=50 + i, cores=12.0) for i in range(3))
    w.feed(ev.GroupRequested(1, 1, members, 9 * SECOND, same_rack=True))
    attempted = w.client_messages(ev.GroupAttempted)
    if attempted:
        assert attempted[0].attempts == 0 and "can never be met" in attempted[0].reason
        assert len(w.actions_of(ev.SendOffer)) == 3  # and it is placed as it can be, without waiting
    else:
        assert w.words(ev.GroupShed)

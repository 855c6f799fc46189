"""Tests of the group coordinator: single cases, and a stateful test with generated sequences of events."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from stairplank import interface as api
from stairplank.groups import actions
from stairplank.groups.capacity import ClusterCapacity
from stairplank.groups.config import GroupConfig
from stairplank.groups.coordinator import Coordinator
from stairplank.groups.spec import GroupSpec, infeasible_reason, scarcity, validate
from stairplank.groups.state import GroupState, MemberState
from stairplank.planner.events import TaskSpec

MS, SECOND = 1_000, 1_000_000
CLASSES = (
    api.TaskClass("worker", api.Effect.IDEMPOTENT, api.Scope.ALL, 0, SECOND, 9 * SECOND),
    api.TaskClass("report", api.Effect.AT_MOST_ONCE, api.Scope.ALL, 0, SECOND, 9 * SECOND),
    api.TaskClass(
        "apart",
        api.Effect.IDEMPOTENT,
        api.Scope.ALL,
        0,
        SECOND,
        9 * SECOND,
        spread=api.Scope.NODE,
        max_per_place=1,
    ),  # fmt: skip
    api.TaskClass("pinned", api.Effect.IDEMPOTENT, api.Scope.ALL, 0, SECOND, 9 * SECOND, node_type=1),
)
SETTINGS = api.Settings(
    planners=1, position=0, zone=0, classes=CLASSES,
    node_types=(api.NodeType("std", 16.0, 32.0), api.NodeType("big", 64.0, 128.0)),
    mean_cores=1.0, mean_memory=2.0, cores_limit=1.0, memory_limit=1.0, confirms_running=True, preempts=False,
    max_attempts=3, answer_slack_us=50 * MS, drain_grace_us=250 * MS, slow_start_share=0.2,
    slow_start_us=SECOND, overload_multiple=2.0, overload_window_us=SECOND, slow_start_offers=10.0,
    polls_node_list=True, poll_within_us=SECOND, tick_us=10 * MS,
)  # fmt: skip
CAPACITY = ClusterCapacity(10, 5, 160.0, 320.0, 160.0, 320.0)


def task(key: int, task_class: str = "worker", cores: float = 1.0, service: int = 5) -> TaskSpec:
    return TaskSpec("o", key, task_class, "", service, cores, 2.0, 0, False)


def spec(count: int = 3, min_members: int = 0, task_class: str = "worker", **constraints: bool) -> GroupSpec:
    return GroupSpec(
        "o", tuple(task(i + 1, task_class) for i in range(count)), min_members or count, **constraints
    )


class CoordinatorHarness:
    """Passes events to a coordinator and records the actions that it returns."""

    def __init__(self, capacity: ClusterCapacity = CAPACITY, **config: Any) -> None:
        self.coordinator = Coordinator(SETTINGS, GroupConfig(**config), 5)
        self.now, self.capacity = 100 * SECOND, capacity
        self.actions: list[actions.Action] = []

    def record(self, new_actions: list[actions.Action]) -> list[actions.Action]:
        self.actions += new_actions
        return new_actions

    def request(self, group: GroupSpec, wait: int = 9 * SECOND, number: int = 1) -> list[actions.Action]:
        return self.record(self.coordinator.request(self.now, number, group, self.now + wait, self.capacity))

    def reserve(self, *members: int, number: int = 1, node: int = 0) -> list[actions.Action]:
        new_actions = []
        for m in members:
            new_actions += self.record(
                self.coordinator.member_reserved(
                    self.now, number, m, node or m + 1, f"r{(node or m + 1) // 2}"
                )
            )
        return new_actions

    def run(self, *members: int) -> list[actions.Action]:
        return [a for m in members for a in self.record(self.coordinator.member_running(self.now, 1, m))]

    def end(self, *members: int, finished: bool = False) -> list[actions.Action]:
        return [
            a
            for m in members
            for a in self.record(self.coordinator.member_over(self.now, 1, m, finished, "no cores"))
        ]

    def wait(self, us: int) -> list[actions.Action]:
        new_actions: list[actions.Action] = []
        until = self.now + us
        while (due := self.coordinator.next_due()) is not None and due <= until:
            self.now = max(self.now, due)
            new_actions += self.record(self.coordinator.advance(self.now, self.capacity))
        self.now = until
        return new_actions

    def actions_of(self, action_type: type) -> list[Any]:
        return [a for a in self.actions if isinstance(a, action_type)]


def test_members_run_once_all_are_reserved() -> None:
    harness = CoordinatorHarness()
    assert [a.member for a in harness.request(spec()) if isinstance(a, actions.PlaceMember)] == [0, 1, 2]
    assert harness.reserve(0, 1) == []
    (commit,) = harness.reserve(2)
    assert isinstance(commit, actions.Commit) and commit.members == (0, 1, 2)
    assert harness.run(0, 1) == []
    placed, renewal = harness.run(2)
    assert placed == actions.Placed(1, (0, 1, 2), True, 1) and isinstance(renewal, actions.RenewLeases)
    assert harness.end(0, 1, finished=True) == []
    assert harness.end(2, finished=True) == [actions.Ended(1, True)] and not harness.coordinator.groups


def test_a_rejection_of_the_last_member_releases_the_others() -> None:
    harness = CoordinatorHarness()
    harness.request(spec())
    harness.reserve(0, 1)
    assert harness.end(2) == [actions.Release(1, (0, 1))]
    assert harness.wait(5 * SECOND) == []  # no attempt begins before every member of the last one has ended
    attempted = harness.end(0, 1)
    assert isinstance(attempted[-1], actions.Attempted) and attempted[-1].reason == "no cores"
    assert [a.member for a in harness.wait(4 * SECOND) if isinstance(a, actions.PlaceMember)] == [0, 1, 2]


def test_a_lost_node_after_two_members_run_releases_the_group() -> None:
    harness = CoordinatorHarness()
    harness.request(spec())
    harness.reserve(0, 1, 2)
    harness.run(0, 1)
    assert harness.end(1) == [actions.Release(1, (0, 2))]
    harness.end(0, 2)
    assert harness.actions_of(actions.Attempted) and not harness.actions_of(actions.Placed)


def test_a_committed_at_most_once_member_is_not_sent_again() -> None:
    harness = CoordinatorHarness()
    harness.request(spec(task_class="report"))
    harness.reserve(0, 1, 2)
    harness.run(0)
    harness.end(1)
    assert harness.end(0, 2) == [actions.Failed(1, "a member was lost before all ran: no cores")]
    assert harness.wait(9 * SECOND) == [] and not harness.coordinator.groups


def test_an_at_most_once_member_that_was_only_reserved_is_retried() -> None:
    harness = CoordinatorHarness()
    harness.request(spec(task_class="report"))
    harness.reserve(0, 1)
    harness.end(2)
    harness.end(0, 1)
    assert [a for a in harness.wait(4 * SECOND) if isinstance(a, actions.PlaceMember)]


def test_a_group_whose_commit_is_not_received_is_released_in_bounded_time() -> None:
    harness = CoordinatorHarness()
    harness.request(spec())
    harness.reserve(0, 1, 2)
    harness.run(0, 1)
    new_actions = harness.wait(1100 * MS)
    assert [a.members for a in new_actions if isinstance(a, actions.Release)] == [(0, 1, 2)]


def test_a_lost_member_of_a_complete_group_releases_the_rest() -> None:
    harness = CoordinatorHarness()
    harness.request(spec())
    harness.reserve(0, 1, 2)
    harness.run(0, 1, 2)
    assert harness.end(1) == [actions.Release(1, (0, 2))]
    assert harness.end(0, 2) == [actions.Ended(1, False)]


def test_leases_grow_by_steps_once_the_group_is_complete() -> None:
    harness = CoordinatorHarness()
    harness.request(spec())
    harness.reserve(0, 1, 2)
    harness.run(0, 1, 2)
    harness.wait(20 * SECOND)
    leases = [a.lease_us for a in harness.actions_of(actions.RenewLeases)]
    assert leases == sorted(leases) and leases[-1] == harness.coordinator.context.config.max_lease_us
    max_end_difference_us = (
        harness.coordinator.context.config.lease_step_us
        + harness.coordinator.context.config.lease_renewal_interval_us
    )
    assert (
        max(b - a for a, b in zip(leases, leases[1:], strict=False))
        <= harness.coordinator.context.config.lease_step_us
    )
    # The sum bounds the time between the ends of two members of which one missed the last renewal.
    assert max_end_difference_us < 2 * SECOND


def test_a_group_cancelled_while_all_but_one_member_run_is_released() -> None:
    harness = CoordinatorHarness()
    harness.request(spec())
    harness.reserve(0, 1, 2)
    harness.run(0, 1)
    assert harness.record(harness.coordinator.cancel(harness.now, 1)) == [actions.Release(1, (0, 1, 2))]
    harness.end(0, 1, 2)
    assert (
        not harness.coordinator.groups
        and not harness.actions_of(actions.Placed)
        and not harness.actions_of(actions.Shed)
    )


def test_a_group_is_shed_if_the_deadline_passes_while_members_are_reserved() -> None:
    harness = CoordinatorHarness()
    harness.request(spec(), wait=2 * SECOND)
    for _ in range(40):
        for release in [a for a in harness.wait(100 * MS) if isinstance(a, actions.Release)]:
            harness.end(*release.members)
    (shed,) = harness.actions_of(actions.Shed)
    assert not shed.is_permanent and not harness.coordinator.groups


@pytest.mark.parametrize(("is_committed", "outcome"), [(False, actions.Shed), (True, actions.Failed)])
def test_the_client_is_answered_if_the_deadline_passes_during_a_release(
    is_committed: bool, outcome: type
) -> None:
    """Reports on released members may be lost; the client must still be answered before the deadline."""
    harness = CoordinatorHarness()
    harness.request(spec(), wait=2 * SECOND)
    harness.reserve(0, 1, 2) if is_committed else harness.reserve(0)
    harness.run(0)
    harness.end(1)
    assert harness.actions_of(actions.Release) and not harness.actions_of(outcome)
    harness.wait(1950 * MS)
    assert len(harness.actions_of(outcome)) == 1 and harness.coordinator.groups
    harness.end(0, 2)
    assert (
        not harness.coordinator.groups
        and not harness.actions_of(actions.Ended)
        and len(harness.actions_of(outcome)) == 1
    )


def test_min_members_make_a_group_complete() -> None:
    harness = CoordinatorHarness()
    harness.request(spec(4, min_members=3))
    harness.reserve(0, 1, 2)
    assert harness.end(3) and [a.members for a in harness.actions_of(actions.Commit)] == [(0, 1, 2)]
    harness.run(0, 1, 2)
    assert harness.actions_of(actions.Placed)[0].members == (0, 1, 2)
    assert harness.end(0) == [actions.Release(1, (1, 2))]


def test_members_not_reserved_in_time_are_released_and_the_others_committed() -> None:
    harness = CoordinatorHarness()
    harness.request(spec(4, min_members=3))
    harness.reserve(0, 1, 2)
    new_actions = harness.wait(4 * SECOND)
    assert [a.members for a in new_actions if isinstance(a, actions.Release)][0] == (3,)
    assert [a.members for a in new_actions if isinstance(a, actions.Commit)] == [(0, 1, 2)]


def test_groups_of_the_smallest_and_of_the_largest_size_are_placed() -> None:
    for count in (1, 64):
        harness = CoordinatorHarness(ClusterCapacity(100, 9, 1e6, 1e6, 1e6, 1e6))
        harness.request(spec(count))
        harness.reserve(*range(count))
        harness.run(*range(count))
        assert len(harness.actions_of(actions.Placed)[0].members) == count


@pytest.mark.parametrize(
    ("constraints", "nodes", "met"),
    [
        ({"same_rack": True}, (2, 3, 3), True),
        ({"same_rack": True}, (2, 3, 4), False),
        ({"distinct_nodes": True}, (1, 2, 3), True),
        ({"distinct_nodes": True}, (1, 2, 1), False),
        ({"distinct_racks": True}, (1, 2, 4), True),
        ({"distinct_racks": True}, (2, 3, 4), False),
    ],
)
def test_constraints_are_retried_for_a_third_of_the_time(
    constraints: dict, nodes: tuple[int, ...], met: bool
) -> None:
    harness = CoordinatorHarness()
    harness.request(spec(**constraints))
    for member, node in enumerate(nodes):
        harness.reserve(member, node=node)
    assert bool(harness.actions_of(actions.Commit)) is met
    if not met:
        harness.end(0, 1, 2)
        assert harness.actions_of(actions.Attempted)[0].reason == "the bindings do not meet the wishes"
        harness.wait(4 * SECOND)
        while not harness.actions_of(actions.Commit):
            for member, node in enumerate(nodes):
                harness.reserve(member, node=node)
            if not harness.actions_of(actions.Commit):
                harness.end(0, 1, 2)
                harness.wait(SECOND)
        harness.run(0, 1, 2)
        assert harness.actions_of(actions.Placed)[0].constraints_met is False


@pytest.mark.parametrize(
    ("group", "field"),
    [
        (GroupSpec("o", (), 0), "members"),
        (spec(65), "members"),
        (GroupSpec("o", (task(1), task(2), task(1)), 3), "members[2].key"),
        (spec(same_rack=True, distinct_racks=True), "distinct_racks"),
    ],
)
def test_invalid_groups_name_the_field(group: GroupSpec, field: str) -> None:
    rejection = validate(group, 0)
    assert rejection is not None and rejection.code == "INVALID_ARGUMENT" and rejection.field == field
    assert validate(spec(), 4).field == "least"  # type: ignore[union-attr]
    assert validate(spec(), 3) is None


@pytest.mark.parametrize(
    ("group", "message"),
    [
        (GroupSpec("o", (task(1, cores=90.0), task(2, cores=90.0)), 2), "180 cores"),
        (spec(11, distinct_nodes=True), "10 nodes"),
        (spec(6, distinct_racks=True), "5 racks"),
        (spec(11, task_class="apart"), "at most 1 in one node"),
    ],
)
def test_an_infeasible_group_is_shed_at_once(group: GroupSpec, message: str) -> None:
    harness = CoordinatorHarness()
    (shed,) = harness.request(group)
    assert isinstance(shed, actions.Shed) and shed.is_permanent and message in shed.reason
    # Without any known node, every group is considered feasible.
    assert infeasible_reason(group, replace(CAPACITY, nodes=0), SETTINGS) is None


def test_the_member_that_is_hardest_to_place_is_placed_first() -> None:
    members = (task(1), task(2, "apart"), task(3, "pinned"), task(4, cores=8.0))
    harness = CoordinatorHarness()
    harness.request(GroupSpec("o", members, 4))
    assert [a.member for a in harness.actions_of(actions.PlaceMember)] == [2, 1, 3, 0]
    assert scarcity(members[2], SETTINGS) < scarcity(members[1], SETTINGS)


def test_no_attempt_without_free_capacity_unless_the_group_is_old() -> None:
    harness = CoordinatorHarness(replace(CAPACITY, free_cores=2.0))
    harness.request(spec())
    assert not harness.actions_of(actions.PlaceMember)
    harness.wait(4 * SECOND)
    assert not harness.actions_of(actions.PlaceMember)
    harness.wait(2 * SECOND)
    assert harness.actions_of(actions.PlaceMember)


def test_reserving_groups_leave_capacity_to_others() -> None:
    harness = CoordinatorHarness(replace(CAPACITY, free_cores=10.0))
    harness.request(spec(4), number=1)
    harness.request(spec(4), number=2)
    assert {a.group for a in harness.actions_of(actions.PlaceMember)} == {1}


def test_backoff_has_jitter_and_shrinks_with_age() -> None:
    waits: dict[int, list[int]] = {}
    for seed in range(20):
        harness = CoordinatorHarness()
        harness.coordinator.context.rng.seed(seed)
        harness.request(spec(), wait=60 * SECOND)
        for attempt in range(8):
            harness.end(0, 1, 2)
            waits.setdefault(attempt, []).append(harness.actions_of(actions.Attempted)[-1].retry_in_us)
            harness.wait(waits[attempt][-1] + 1)
    assert len(set(waits[3])) > 10  # groups with different seeds do not retry at the same time
    assert max(waits[7]) <= harness.coordinator.context.config.max_backoff_us
    aged = CoordinatorHarness()
    aged.request(spec(), wait=10 * SECOND)
    aged.now += 8 * SECOND
    aged.end(0, 1, 2)
    assert aged.actions_of(actions.Attempted)[0].retry_in_us < 500 * MS


def test_shutdown_sheds_groups_that_do_not_run() -> None:
    harness = CoordinatorHarness()
    harness.request(spec())
    harness.reserve(0)
    new_actions = harness.record(harness.coordinator.shut_down(harness.now))
    assert isinstance(new_actions[0], actions.Shed) and new_actions[1] == actions.Release(1, (0, 1, 2))
    harness.end(0, 1, 2)
    assert not harness.coordinator.groups


class CoordinatorMachine(RuleBasedStateMachine):
    """A coordinator with nodes that accept, reject or lose members, in any order of events."""

    def __init__(self) -> None:
        super().__init__()
        self.coordinator = Coordinator(SETTINGS, GroupConfig(), 1)
        self.now = SECOND
        self.number = 0
        # State of each open attempt by group and member: requested, reserved, committed or running.
        self.open_attempts: dict[tuple[int, int], str] = {}
        self.outcomes: dict[int, list[str]] = {}
        self.released: set[tuple[int, int]] = set()
        self.deadline: dict[int, int] = {}

    def apply_and_check(self, new_actions: list[actions.Action]) -> None:
        for action in new_actions:
            match action:
                case actions.PlaceMember(g, m, _):
                    assert (g, m) not in self.open_attempts, "a member has two open attempts"
                    assert not self.outcomes[g], "a member is placed after the outcome"
                    self.open_attempts[g, m] = "requested"
                case actions.Commit(g, ms, _):
                    reserved = {m for (h, m), s in self.open_attempts.items() if h == g and s == "reserved"}
                    assert set(ms) == reserved and len(ms) >= self.coordinator.groups[g].spec.min_members
                    for m in ms:
                        assert (g, m) not in self.released, "a member is committed after its release"
                        self.open_attempts[g, m] = "committed"
                case actions.Release(g, ms):
                    for m in ms:
                        assert (g, m) in self.open_attempts
                        self.released.add((g, m))
                case actions.Placed(g, ms, _, _):
                    self.outcomes[g].append("placed")
                    assert all(self.open_attempts.get((g, m)) in ("running", None) for m in ms)
                case actions.Shed(g):
                    self.outcomes[g].append("shed")
                    open_members = {key for key in self.open_attempts if key[0] == g}
                    assert open_members <= self.released, "shed with open attempts that were not released"
                    assert not open_members or not any(
                        self.open_attempts[key] in ("committed", "running") for key in open_members
                    )
                case actions.Failed(g):
                    self.outcomes[g].append("failed")
                    open_members = {key for key in self.open_attempts if key[0] == g}
                    assert open_members <= self.released, "failed with open attempts that were not released"

    def draw_member(self, data: Any, *states: str) -> tuple[int, int]:
        return data.draw(
            st.sampled_from(sorted(key for key, state in self.open_attempts.items() if state in states))
        )

    def has_member_in(self, *states: str) -> bool:
        return any(state in states for state in self.open_attempts.values())

    @rule(
        count=st.integers(1, 4),
        optional=st.integers(0, 1),
        at_most_once=st.booleans(),
        wait=st.integers(1, 8),
    )
    def client_requests(self, count: int, optional: int, at_most_once: bool, wait: int) -> None:
        if len(self.coordinator.groups) >= 3:
            return
        self.number += 1
        self.outcomes[self.number] = []
        group = spec(count, max(1, count - optional), "report" if at_most_once else "worker")
        self.deadline[self.number] = self.now + wait * SECOND
        self.apply_and_check(
            self.coordinator.request(self.now, self.number, group, self.deadline[self.number], CAPACITY)
        )

    @precondition(lambda self: self.has_member_in("requested"))
    @rule(data=st.data())
    def member_reserved(self, data: Any) -> None:
        g, m = self.draw_member(data, "requested")
        if (g, m) not in self.released:
            self.open_attempts[g, m] = "reserved"
        self.apply_and_check(self.coordinator.member_reserved(self.now, g, m, m + 1, "r"))

    @precondition(lambda self: self.has_member_in("committed"))
    @rule(data=st.data())
    def member_running(self, data: Any) -> None:
        g, m = self.draw_member(data, "committed")
        self.open_attempts[g, m] = "running"
        self.apply_and_check(self.coordinator.member_running(self.now, g, m))

    @precondition(lambda self: self.open_attempts)
    @rule(data=st.data(), finished=st.booleans())
    def member_over(self, data: Any, finished: bool) -> None:
        g, m = self.draw_member(data, "requested", "reserved", "committed", "running")
        state = self.open_attempts.pop((g, m))
        self.released.discard((g, m))
        self.apply_and_check(
            self.coordinator.member_over(self.now, g, m, finished and state == "running", "gone")
        )

    @precondition(lambda self: self.coordinator.groups)
    @rule(data=st.data())
    def client_cancels(self, data: Any) -> None:
        g = data.draw(st.sampled_from(sorted(self.coordinator.groups)))
        self.outcomes[g].append("cancelled") if not self.outcomes[g] else None
        self.apply_and_check(self.coordinator.cancel(self.now, g))

    @rule(ms=st.sampled_from([1, 50, 400, 1500, 4000]))
    def time_passes(self, ms: int) -> None:
        self.now += ms * MS
        self.apply_and_check(self.coordinator.advance(self.now, CAPACITY))

    @invariant()
    def no_group_has_two_outcomes(self) -> None:
        for g, outcomes in self.outcomes.items():
            assert len(outcomes) <= 1, f"group {g}: {outcomes}"

    @invariant()
    def no_group_stays_committed_after_its_deadline(self) -> None:
        for g, group in self.coordinator.groups.items():
            if group.state is GroupState.COMMITTED:
                assert (
                    self.now <= group.state_deadline + GroupConfig().lease_renewal_interval_us
                    or self.coordinator.next_due() is None
                    or (
                        self.coordinator.next_due() is not None and self.coordinator.next_due() <= self.now  # type: ignore[operator]
                    )
                ), g

    @invariant()
    def every_group_has_a_timer_or_awaits_a_member(self) -> None:
        """A group that has not ended has a valid timer, or waits for events of open members."""
        for g, group in self.coordinator.groups.items():
            has_timer = self.coordinator.context.timers.is_set(group)
            has_open_members = any(
                m in (MemberState.REQUESTED, MemberState.RESERVED, MemberState.RUNNING) for m in group.members
            )
            assert has_timer or (
                has_open_members and group.state in (GroupState.RELEASING, GroupState.COMPLETE)
            ), (
                g,
                group,
            )

    def teardown(self) -> None:
        """Once all members have ended and time has passed, no group is left and each has one outcome."""
        for _ in range(60):
            for g, m in sorted(self.open_attempts):
                self.open_attempts.pop((g, m))
                self.released.discard((g, m))
                self.apply_and_check(self.coordinator.member_over(self.now, g, m, False, "gone"))
            self.now += SECOND
            self.apply_and_check(self.coordinator.advance(self.now, CAPACITY))
            if not self.coordinator.groups:
                break
        assert not self.coordinator.groups and not self.open_attempts
        assert all(len(outcomes) == 1 for outcomes in self.outcomes.values()), self.outcomes


CoordinatorMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None, database=None,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip
TestCoordinatorMachine = CoordinatorMachine.TestCase

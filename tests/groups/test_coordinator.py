"""The coordinator by itself: each hard case, and a model that is walked at random (derandomized)."""

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
ROOM = ClusterCapacity(10, 5, 160.0, 320.0, 160.0, 320.0)


def task(key: int, task_class: str = "worker", cores: float = 1.0, service: int = 5) -> TaskSpec:
    return TaskSpec("o", key, task_class, "", service, cores, 2.0, 0, False)


def spec(count: int = 3, min_members: int = 0, task_class: str = "worker", **constraints: bool) -> GroupSpec:
    return GroupSpec(
        "o", tuple(task(i + 1, task_class) for i in range(count)), min_members or count, **constraints
    )


class World:
    def __init__(self, room: ClusterCapacity = ROOM, **config: Any) -> None:
        self.coordinator = Coordinator(SETTINGS, GroupConfig(**config), 5)
        self.now, self.room = 100 * SECOND, room
        self.out: list[actions.Action] = []

    def take(self, decided: list[actions.Action]) -> list[actions.Action]:
        self.out += decided
        return decided

    def ask(self, group: GroupSpec, wait: int = 9 * SECOND, number: int = 1) -> list[actions.Action]:
        return self.take(self.coordinator.request(self.now, number, group, self.now + wait, self.room))

    def ready(self, *members: int, number: int = 1, node: int = 0) -> list[actions.Action]:
        out = []
        for m in members:
            out += self.take(
                self.coordinator.member_reserved(
                    self.now, number, m, node or m + 1, f"r{(node or m + 1) // 2}"
                )
            )
        return out

    def running(self, *members: int) -> list[actions.Action]:
        return [a for m in members for a in self.take(self.coordinator.member_running(self.now, 1, m))]

    def over(self, *members: int, finished: bool = False) -> list[actions.Action]:
        return [
            a
            for m in members
            for a in self.take(self.coordinator.member_over(self.now, 1, m, finished, "no cores"))
        ]

    def wait(self, us: int) -> list[actions.Action]:
        out: list[actions.Action] = []
        until = self.now + us
        while (due := self.coordinator.next_due()) is not None and due <= until:
            self.now = max(self.now, due)
            out += self.take(self.coordinator.advance(self.now, self.room))
        self.now = until
        return out

    def all(self, kind: type) -> list[Any]:
        return [a for a in self.out if isinstance(a, kind)]


def test_members_run_once_all_are_reserved() -> None:
    w = World()
    assert [a.member for a in w.ask(spec()) if isinstance(a, actions.PlaceMember)] == [0, 1, 2]
    assert w.ready(0, 1) == []
    (commit,) = w.ready(2)
    assert isinstance(commit, actions.Commit) and commit.members == (0, 1, 2)
    assert w.running(0, 1) == []
    placed, renewal = w.running(2)
    assert placed == actions.Placed(1, (0, 1, 2), True, 1) and isinstance(renewal, actions.RenewLeases)
    assert w.over(0, 1, finished=True) == []
    assert w.over(2, finished=True) == [actions.Ended(1, True)] and not w.coordinator.groups


def test_a_rejection_of_the_last_member_releases_the_others() -> None:
    w = World()
    w.ask(spec())
    w.ready(0, 1)
    assert w.over(2) == [actions.Release(1, (0, 1))]
    assert w.wait(5 * SECOND) == []  # nothing is attempted before every attempt is over
    attempted = w.over(0, 1)
    assert isinstance(attempted[-1], actions.Attempted) and attempted[-1].reason == "no cores"
    assert [a.member for a in w.wait(4 * SECOND) if isinstance(a, actions.PlaceMember)] == [0, 1, 2]


def test_a_lost_node_after_two_members_run_releases_the_group() -> None:
    w = World()
    w.ask(spec())
    w.ready(0, 1, 2)
    w.running(0, 1)
    assert w.over(1) == [actions.Release(1, (0, 2))]
    w.over(0, 2)
    assert w.all(actions.Attempted) and not w.all(actions.Placed)


def test_a_committed_at_most_once_member_is_not_sent_again() -> None:
    w = World()
    w.ask(spec(task_class="report"))
    w.ready(0, 1, 2)
    w.running(0)
    w.over(1)
    assert w.over(0, 2) == [actions.Failed(1, "a member was lost before all ran: no cores")]
    assert w.wait(9 * SECOND) == [] and not w.coordinator.groups


def test_an_at_most_once_member_that_was_only_reserved_is_retried() -> None:
    w = World()
    w.ask(spec(task_class="report"))
    w.ready(0, 1)
    w.over(2)
    w.over(0, 1)
    assert [a for a in w.wait(4 * SECOND) if isinstance(a, actions.PlaceMember)]


def test_a_commit_that_is_not_received_ends_the_group_in_bounded_time() -> None:
    w = World()
    w.ask(spec())
    w.ready(0, 1, 2)
    w.running(0, 1)
    out = w.wait(1100 * MS)
    assert [a.members for a in out if isinstance(a, actions.Release)] == [(0, 1, 2)]


def test_a_lost_member_of_a_complete_group_releases_the_rest() -> None:
    w = World()
    w.ask(spec())
    w.ready(0, 1, 2)
    w.running(0, 1, 2)
    assert w.over(1) == [actions.Release(1, (0, 2))]
    assert w.over(0, 2) == [actions.Ended(1, False)]


def test_leases_grow_by_steps_once_the_group_is_complete() -> None:
    w = World()
    w.ask(spec())
    w.ready(0, 1, 2)
    w.running(0, 1, 2)
    w.wait(20 * SECOND)
    leases = [a.lease_us for a in w.all(actions.RenewLeases)]
    assert leases == sorted(leases) and leases[-1] == w.coordinator.context.config.max_lease_us
    step = w.coordinator.context.config.lease_step_us + w.coordinator.context.config.lease_renewal_interval_us
    assert (
        max(b - a for a, b in zip(leases, leases[1:], strict=False))
        <= w.coordinator.context.config.lease_step_us
    )
    assert step < 2 * SECOND  # two members whose last renewals differ by one end so near each other


def test_the_client_cancels_when_all_but_one_run() -> None:
    w = World()
    w.ask(spec())
    w.ready(0, 1, 2)
    w.running(0, 1)
    assert w.take(w.coordinator.cancel(w.now, 1)) == [actions.Release(1, (0, 1, 2))]
    w.over(0, 1, 2)
    assert not w.coordinator.groups and not w.all(actions.Placed) and not w.all(actions.Shed)


def test_the_deadline_passes_while_members_are_reserved() -> None:
    w = World()
    w.ask(spec(), wait=2 * SECOND)
    for _ in range(40):
        for release in [a for a in w.wait(100 * MS) if isinstance(a, actions.Release)]:
            w.over(*release.members)
    (shed,) = w.all(actions.Shed)
    assert not shed.is_permanent and not w.coordinator.groups


@pytest.mark.parametrize(("is_committed", "kind"), [(False, actions.Shed), (True, actions.Failed)])
def test_the_deadline_passes_while_the_group_is_released(is_committed: bool, kind: type) -> None:
    """Reports on released members may be lost: the client is answered in time all the same."""
    w = World()
    w.ask(spec(), wait=2 * SECOND)
    w.ready(0, 1, 2) if is_committed else w.ready(0)
    w.running(0)
    w.over(1)
    assert w.all(actions.Release) and not w.all(kind)
    w.wait(1950 * MS)
    assert len(w.all(kind)) == 1 and w.coordinator.groups
    w.over(0, 2)
    assert not w.coordinator.groups and not w.all(actions.Ended) and len(w.all(kind)) == 1


def test_min_members_make_a_group_complete() -> None:
    w = World()
    w.ask(spec(4, min_members=3))
    w.ready(0, 1, 2)
    assert w.over(3) and [a.members for a in w.all(actions.Commit)] == [(0, 1, 2)]
    w.running(0, 1, 2)
    assert w.all(actions.Placed)[0].members == (0, 1, 2)
    assert w.over(0) == [actions.Release(1, (1, 2))]


def test_members_not_reserved_in_time_are_left_out() -> None:
    w = World()
    w.ask(spec(4, min_members=3))
    w.ready(0, 1, 2)
    out = w.wait(4 * SECOND)
    assert [a.members for a in out if isinstance(a, actions.Release)][0] == (3,)
    assert [a.members for a in out if isinstance(a, actions.Commit)] == [(0, 1, 2)]


def test_groups_of_one_and_of_the_most_members() -> None:
    for count in (1, 64):
        w = World(ClusterCapacity(100, 9, 1e6, 1e6, 1e6, 1e6))
        w.ask(spec(count))
        w.ready(*range(count))
        w.running(*range(count))
        assert len(w.all(actions.Placed)[0].members) == count


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
    w = World()
    w.ask(spec(**constraints))
    for member, node in enumerate(nodes):
        w.ready(member, node=node)
    assert bool(w.all(actions.Commit)) is met
    if not met:
        w.over(0, 1, 2)
        assert w.all(actions.Attempted)[0].reason == "the bindings do not meet the wishes"
        w.wait(4 * SECOND)
        while not w.all(actions.Commit):
            for member, node in enumerate(nodes):
                w.ready(member, node=node)
            if not w.all(actions.Commit):
                w.over(0, 1, 2)
                w.wait(SECOND)
        w.running(0, 1, 2)
        assert w.all(actions.Placed)[0].constraints_met is False


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
    wrong = validate(group, 0)
    assert wrong is not None and wrong.code == "INVALID_ARGUMENT" and wrong.field == field
    assert validate(spec(), 4).field == "least"  # type: ignore[union-attr]
    assert validate(spec(), 3) is None


@pytest.mark.parametrize(
    ("group", "says"),
    [
        (GroupSpec("o", (task(1, cores=90.0), task(2, cores=90.0)), 2), "180 cores"),
        (spec(11, distinct_nodes=True), "10 nodes"),
        (spec(6, distinct_racks=True), "5 racks"),
        (spec(11, task_class="apart"), "at most 1 per node"),
    ],
)
def test_an_infeasible_group_is_shed_at_once(group: GroupSpec, says: str) -> None:
    w = World()
    (shed,) = w.ask(group)
    assert isinstance(shed, actions.Shed) and shed.is_permanent and says in shed.reason
    assert (
        infeasible_reason(group, replace(ROOM, nodes=0), SETTINGS) is None
    )  # an unknown fleet rules nothing out


def test_the_scarcest_member_goes_first() -> None:
    members = (task(1), task(2, "apart"), task(3, "pinned"), task(4, cores=8.0))
    w = World()
    w.ask(GroupSpec("o", members, 4))
    assert [a.member for a in w.all(actions.PlaceMember)] == [2, 1, 3, 0]
    assert scarcity(members[2], SETTINGS) < scarcity(members[1], SETTINGS)


def test_no_attempt_without_free_capacity_unless_the_group_is_old() -> None:
    w = World(replace(ROOM, free_cores=2.0))
    w.ask(spec())
    assert not w.all(actions.PlaceMember)
    w.wait(4 * SECOND)
    assert not w.all(actions.PlaceMember)
    w.wait(2 * SECOND)
    assert w.all(actions.PlaceMember)


def test_reserving_groups_leave_capacity_to_others() -> None:
    w = World(replace(ROOM, free_cores=10.0))
    w.ask(spec(4), number=1)
    w.ask(spec(4), number=2)
    assert {a.group for a in w.all(actions.PlaceMember)} == {1}


def test_backoff_has_jitter_and_shrinks_with_age() -> None:
    waits: dict[int, list[int]] = {}
    for seed in range(20):
        w = World()
        w.coordinator.context.rng.seed(seed)
        w.ask(spec(), wait=60 * SECOND)
        for n in range(8):
            w.over(0, 1, 2)
            waits.setdefault(n, []).append(w.all(actions.Attempted)[-1].retry_in_us)
            w.wait(waits[n][-1] + 1)
    assert len(set(waits[3])) > 10  # not in step
    assert max(waits[7]) <= w.coordinator.context.config.max_backoff_us
    old = World()
    old.ask(spec(), wait=10 * SECOND)
    old.now += 8 * SECOND
    old.over(0, 1, 2)
    assert old.all(actions.Attempted)[0].retry_in_us < 500 * MS


def test_shutdown_sheds_groups_that_do_not_run() -> None:
    w = World()
    w.ask(spec())
    w.ready(0)
    out = w.take(w.coordinator.shut_down(w.now))
    assert isinstance(out[0], actions.Shed) and out[1] == actions.Release(1, (0, 1, 2))
    w.over(0, 1, 2)
    assert not w.coordinator.groups


class Walk(RuleBasedStateMachine):
    """Coordinator and nodes that answer, reject, lose and forget as they please, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.coordinator = Coordinator(SETTINGS, GroupConfig(), 1)
        self.now = SECOND
        self.number = 0
        self.at_node: dict[
            tuple[int, int], str
        ] = {}  # group, member: requested, reserved, committed, running
        self.outcomes: dict[int, list[str]] = {}
        self.released: set[tuple[int, int]] = set()
        self.deadline: dict[int, int] = {}

    def take(self, decided: list[actions.Action]) -> None:
        for a in decided:
            match a:
                case actions.PlaceMember(g, m, _):
                    assert (g, m) not in self.at_node, "two attempts of a member outstanding"
                    assert not self.outcomes[g], "a member is placed after the outcome"
                    self.at_node[g, m] = "requested"
                case actions.Commit(g, ms, _):
                    reserved = {m for (h, m), s in self.at_node.items() if h == g and s == "reserved"}
                    assert set(ms) == reserved and len(ms) >= self.coordinator.groups[g].spec.min_members
                    for m in ms:
                        assert (g, m) not in self.released, "committed after its release"
                        self.at_node[g, m] = "committed"
                case actions.Release(g, ms):
                    for m in ms:
                        assert (g, m) in self.at_node
                        self.released.add((g, m))
                case actions.Placed(g, ms, _, _):
                    self.outcomes[g].append("placed")
                    assert all(self.at_node.get((g, m)) in ("running", None) for m in ms)
                case actions.Shed(g):
                    self.outcomes[g].append("shed")
                    out = {k for k in self.at_node if k[0] == g}
                    assert out <= self.released, "shed while attempts are out that were not released"
                    assert not out or not any(self.at_node[k] in ("committed", "running") for k in out)
                case actions.Failed(g):
                    self.outcomes[g].append("failed")
                    out = {k for k in self.at_node if k[0] == g}
                    assert out <= self.released, "failed while attempts are out that were not released"

    def some(self, data: Any, *states: str) -> tuple[int, int]:
        return data.draw(st.sampled_from(sorted(k for k, s in self.at_node.items() if s in states)))

    def has(self, *states: str) -> bool:
        return any(s in states for s in self.at_node.values())

    @rule(count=st.integers(1, 4), left=st.integers(0, 1), at_most_once=st.booleans(), wait=st.integers(1, 8))
    def client_requests(self, count: int, left: int, at_most_once: bool, wait: int) -> None:
        if len(self.coordinator.groups) >= 3:
            return
        self.number += 1
        self.outcomes[self.number] = []
        group = spec(count, max(1, count - left), "report" if at_most_once else "worker")
        self.deadline[self.number] = self.now + wait * SECOND
        self.take(self.coordinator.request(self.now, self.number, group, self.deadline[self.number], ROOM))

    @precondition(lambda self: self.has("requested"))
    @rule(data=st.data())
    def member_reserved(self, data: Any) -> None:
        g, m = self.some(data, "requested")
        if (g, m) not in self.released:
            self.at_node[g, m] = "reserved"
        self.take(self.coordinator.member_reserved(self.now, g, m, m + 1, "r"))

    @precondition(lambda self: self.has("committed"))
    @rule(data=st.data())
    def member_running(self, data: Any) -> None:
        g, m = self.some(data, "committed")
        self.at_node[g, m] = "running"
        self.take(self.coordinator.member_running(self.now, g, m))

    @precondition(lambda self: self.at_node)
    @rule(data=st.data(), finished=st.booleans())
    def member_over(self, data: Any, finished: bool) -> None:
        g, m = self.some(data, "requested", "reserved", "committed", "running")
        state = self.at_node.pop((g, m))
        self.released.discard((g, m))
        self.take(self.coordinator.member_over(self.now, g, m, finished and state == "running", "gone"))

    @precondition(lambda self: self.coordinator.groups)
    @rule(data=st.data())
    def client_cancels(self, data: Any) -> None:
        g = data.draw(st.sampled_from(sorted(self.coordinator.groups)))
        self.outcomes[g].append("cancelled") if not self.outcomes[g] else None
        self.take(self.coordinator.cancel(self.now, g))

    @rule(ms=st.sampled_from([1, 50, 400, 1500, 4000]))
    def time_passes(self, ms: int) -> None:
        self.now += ms * MS
        self.take(self.coordinator.advance(self.now, ROOM))

    @invariant()
    def one_outcome(self) -> None:
        for g, outcomes in self.outcomes.items():
            assert len(outcomes) <= 1, f"group {g}: {outcomes}"

    @invariant()
    def nothing_partly_running_for_long(self) -> None:
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
        """A group that is not over has a timer, or members that are awaited."""
        for g, group in self.coordinator.groups.items():
            timers = self.coordinator.context.timers.is_set(group)
            waits = any(
                m in (MemberState.REQUESTED, MemberState.RESERVED, MemberState.RUNNING) for m in group.members
            )
            assert timers or (waits and group.state in (GroupState.RELEASING, GroupState.COMPLETE)), (
                g,
                group,
            )

    def teardown(self) -> None:
        """Once all words have come and time has passed, nothing is left and every group was answered."""
        for _ in range(60):
            for g, m in sorted(self.at_node):
                self.at_node.pop((g, m))
                self.released.discard((g, m))
                self.take(self.coordinator.member_over(self.now, g, m, False, "gone"))
            self.now += SECOND
            self.take(self.coordinator.advance(self.now, ROOM))
            if not self.coordinator.groups:
                break
        assert not self.coordinator.groups and not self.at_node
        assert all(len(outcomes) == 1 for outcomes in self.outcomes.values()), self.outcomes


Walk.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None, database=None,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip
TestWalk = Walk.TestCase

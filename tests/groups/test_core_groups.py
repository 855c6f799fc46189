"""Tests of groups in the planner's core: messages, lost links, restarts, cancellations and shutdown."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import pytest

sys.path.insert(0, str(Path(__file__).parent.parent / "planner"))

from grpc_core_harness import MS, SECOND, CoreHarness  # noqa: E402

from stairplank import interface as api  # noqa: E402
from stairplank.groups.config import GroupConfig  # noqa: E402
from stairplank.planner import events as ev  # noqa: E402


class GroupHarness(CoreHarness):
    """A planner's core with nodes that acknowledge lease renewals, and helpers for groups."""

    acknowledges_renewals = True

    def feed(self, event: ev.Event) -> list[Any]:
        """Pass an event to the core. If ``acknowledges_renewals``, nodes acknowledge renewals at once."""
        actions = super().feed(event)
        for renewal in [a for a in actions if isinstance(a, ev.SendLeaseRenewal)]:
            if self.acknowledges_renewals:
                super().feed(ev.LeasesRenewed(renewal.node, renewal.renewal))
        return actions

    def request_group(
        self,
        number: int = 1,
        count: int = 3,
        task_class: str = "worker",
        wait: int = 9 * SECOND,
        **options: Any,
    ) -> list[Any]:
        members = tuple(
            self.task_spec(100 * number + i, task_class, service=50 + number) for i in range(count)
        )
        return self.feed(ev.GroupRequested(1, number, options.pop("members", members), wait, **options))

    def offers(self) -> list[ev.SendOffer]:
        return self.actions_of_type(ev.SendOffer)

    def reserve(self, *offers: ev.SendOffer) -> None:
        for offer in offers:
            self.feed(ev.NodeAccepted(offer.node, offer.id))
            self.feed(ev.NodeReady(offer.node, offer.id))

    def run(self, *offers: ev.SendOffer) -> None:
        for offer in offers:
            self.feed(ev.NodeRunning(offer.node, offer.id))

    def start_group(self, **options: Any) -> list[ev.SendOffer]:
        self.request_group(**options)
        offers = self.offers()
        self.reserve(*offers)
        self.run(*offers)
        return offers

    def stopped_ids(self) -> set[Any]:
        return {stop.id for stop in self.actions_of_type(ev.SendStop)}

    def has_no_state(self) -> bool:
        core = self.core
        return self.has_no_tasks() and not core.groups.records and not core.groups.coordinator.groups


def test_a_group_from_request_to_end() -> None:
    harness = GroupHarness()
    harness.request_group()
    offers = harness.offers()
    assert [o.group.member for o in offers] == [0, 1, 2] and {o.group.size for o in offers} == {3}  # type: ignore[union-attr]
    assert (
        harness.client_messages(ev.Admitted) == [ev.Admitted(1, 1)]
        and harness.client_messages(ev.Offered) == []
    )
    harness.reserve(*offers[:2])
    assert harness.actions_of_type(ev.SendCommit) == []
    harness.reserve(offers[2])
    assert {i for c in harness.actions_of_type(ev.SendCommit) for i in c.ids} == {o.id for o in offers}
    harness.run(*offers)
    (placed,) = harness.client_messages()
    assert isinstance(placed, ev.GroupPlaced) and dict(placed.bindings) == {
        i: o.node for i, o in enumerate(offers)
    }
    for o in offers:
        harness.feed(ev.NodeEnded(o.node, o.id, api.Result.FINISHED, api.Reason.UNTOLD))
    assert [type(x).__name__ for x in harness.client_messages()[1:]] == ["MemberEnded"] * 3 + ["GroupEnded"]
    assert harness.client_messages()[-1].finished and harness.has_no_state()


def test_a_rejected_member_releases_all_before_the_next_attempt() -> None:
    harness = GroupHarness()
    harness.request_group()
    offers = harness.offers()
    harness.reserve(*offers[:2])
    harness.feed(ev.NodeRejected(offers[2].node, offers[2].id, api.Reason.NO_CORES))
    harness.advance_time(
        4 * SECOND
    )  # the decision module offers the member to other nodes until the attempt times out
    reserved_ids = {o.id for o in offers[:2]}
    assert reserved_ids <= harness.stopped_ids()
    first_offers = len([o for o in harness.offers() if o.id.attempt == 0])
    assert first_offers == 3  # no new attempt begins while two members are still reserved
    for o in harness.offers():
        if o.id in harness.core.attempts.attempts:
            harness.feed(ev.NodeRejected(o.node, o.id, api.Reason.NOT_HERE))
    harness.advance_time(4 * SECOND)
    assert len([o for o in harness.offers() if o.id.attempt == 0]) >= 6
    assert harness.client_messages(ev.GroupAttempted) and harness.actions_of_type(ev.SendCommit) == []


@pytest.mark.parametrize("task_class", ["worker", "report", "ingest"])
def test_one_member_is_unresponsive(task_class: str) -> None:
    """The member was never committed, so a task of any class is retried; its late message is rejected."""
    harness = GroupHarness(nodes=5)
    harness.request_group(task_class=task_class)
    offers = harness.offers()
    harness.reserve(*offers[:2])
    harness.advance_time(4 * SECOND)
    assert offers[2].id in harness.stopped_ids()
    for o in offers[:2]:
        harness.feed(ev.NodeRejected(o.node, o.id, api.Reason.NOT_HERE))
    harness.advance_time(5 * SECOND)
    assert harness.client_messages(ev.GroupFailed) == [] and len(harness.offers()) > 3
    harness.actions.clear()
    harness.feed(ev.NodeReady(offers[2].node, offers[2].id))
    assert harness.actions_of_type(ev.SendCommit) == [] and (
        harness.actions_of_type(ev.SendStop) or harness.actions_of_type(ev.RequestNodeTasks)
    )


def test_a_node_is_lost_after_two_members_started() -> None:
    harness = GroupHarness(nodes=4)
    harness.request_group(task_class="report")
    offers = harness.offers()
    harness.reserve(*offers)
    harness.run(*offers[:2])
    harness.feed(ev.LinkDown(offers[1].node))
    harness.advance_time(1100 * MS)
    assert {offers[0].id, offers[2].id} <= harness.stopped_ids() | {
        o.id for o in offers if o.node == offers[1].node
    }
    for o in offers:
        if o.id in harness.core.attempts.attempts:
            harness.feed(ev.NodeEnded(o.node, o.id, api.Result.CANCELLED, api.Reason.UNTOLD))
    # The group fails without another attempt, because at-most-once members may have run.
    assert [type(x) for x in harness.client_messages()] == [ev.GroupFailed]


def test_a_node_drains_while_a_group_starts() -> None:
    harness = GroupHarness(nodes=4)
    harness.request_group()
    offers = harness.offers()
    harness.reserve(*offers)
    harness.run(*offers)
    evicted = offers[0]
    harness.feed(ev.NodeDraining(evicted.node))
    harness.feed(ev.NodeEnded(evicted.node, evicted.id, api.Result.LOST, api.Reason.SENT_AWAY))
    remaining_ids = {o.id for o in offers[1:]}
    assert remaining_ids <= harness.stopped_ids()
    for o in offers[1:]:
        harness.feed(ev.NodeEnded(o.node, o.id, api.Result.CANCELLED, api.Reason.UNTOLD))
    messages = harness.client_messages()
    assert (
        isinstance(messages[0], ev.GroupPlaced)
        and messages[-1] == ev.GroupEnded(1, False)
        and harness.has_no_state()
    )


@pytest.mark.parametrize("steps", range(8))
def test_cancellation_at_every_step(steps: int) -> None:
    harness = GroupHarness()
    harness.request_group()
    offers = harness.offers()
    operations = [lambda o=o: harness.reserve(o) for o in offers] + [
        lambda o=o: harness.run(o) for o in offers
    ]
    for operation in operations[:steps]:
        operation()
    harness.feed(ev.PlacementCancelled(1, 1))
    assert harness.stopped_ids() == {o.id for o in offers}
    for o in offers:
        was_running = offers.index(o) + 3 < steps
        harness.feed(
            ev.NodeEnded(o.node, o.id, api.Result.CANCELLED, api.Reason.UNTOLD)
            if was_running
            else ev.NodeRejected(o.node, o.id, api.Reason.NOT_HERE)
        )
    assert harness.has_no_state()
    assert [x for x in harness.client_messages() if isinstance(x, (ev.GroupShed, ev.GroupFailed))] == []


def test_a_release_that_is_not_reported_ends_in_bounded_time() -> None:
    harness = GroupHarness()
    harness.request_group(wait=3 * SECOND)
    offers = harness.offers()
    harness.reserve(*offers[:2])
    harness.advance_time(20 * SECOND)
    assert [type(x) for x in harness.client_messages() if not isinstance(x, ev.GroupAttempted)] == [
        ev.GroupShed
    ]
    assert harness.has_no_state()


def test_a_disconnected_client_loses_reserving_groups_and_keeps_running_ones() -> None:
    harness = GroupHarness()
    running = harness.start_group(number=1, count=2)
    harness.actions.clear()
    harness.request_group(number=2, count=2)
    reserving = harness.offers()
    harness.feed(ev.ClientDisconnected(1))
    assert harness.stopped_ids() == {o.id for o in reserving}
    harness.advance_time(5 * SECOND)
    assert harness.actions_of_type(ev.SendLeaseRenewal) and {o.id for o in running} <= set(
        harness.core.attempts.attempts
    )


def test_an_infeasible_group_is_shed_at_once() -> None:
    harness = GroupHarness(nodes=2)
    large_members = tuple(harness.task_spec(i, cores=12.0) for i in (1, 2, 3))
    harness.request_group(members=large_members)
    (message,) = harness.client_messages()
    assert (
        isinstance(message, ev.GroupShed)
        and message.never
        and "cores" in message.reason
        and harness.has_no_state()
    )


def test_invalid_groups_name_the_field() -> None:
    harness = GroupHarness()
    harness.request_group(number=1, members=(harness.task_spec(1), harness.task_spec(1)))
    harness.request_group(number=2, members=(harness.task_spec(1), harness.task_spec(2, cores=-1.0)))
    harness.request_group(number=3, same_rack=True, distinct_racks=True)
    harness.request_group(number=4, min_members=9)
    harness.request_group(number=5, members=(harness.task_spec(1, client="else"),))
    fields = [x.rejection.field for x in harness.client_messages(ev.Rejected)]
    assert fields == ["members[1].key", "members[1].cores", "distinct_racks", "least", "members[0].owner"]
    harness.request_and_run(6)
    harness.request_group(number=7, members=(harness.task_spec(6), harness.task_spec(7)))
    assert (
        harness.client_messages(ev.Rejected)[-1].rejection.code == "ALREADY_EXISTS"
        and not harness.core.groups.records
    )


def test_the_number_of_groups_is_bounded() -> None:
    harness = GroupHarness(groups=GroupConfig(max_groups=1))
    harness.request_group(number=1)
    harness.request_group(number=2)
    assert harness.client_messages(ev.Rejected)[0].rejection.code == "RESOURCE_EXHAUSTED"


def test_a_group_with_a_member_of_every_class() -> None:
    harness = GroupHarness(nodes=4)
    task_classes = ("worker", "ingest", "report", "apart")
    harness.request_group(
        members=tuple(
            harness.task_spec(i + 1, task_class, service=9 + i) for i, task_class in enumerate(task_classes)
        )
    )
    offers = harness.offers()
    assert len(offers) == 4
    harness.reserve(*offers)
    harness.run(*offers)
    assert isinstance(harness.client_messages()[0], ev.GroupPlaced)


# The following tests restart a planner that was killed.


def reported_tasks(
    offers: list[ev.SendOffer], running: set[int], incarnation: int = 3
) -> dict[int, list[ev.NodeTask]]:
    """Return the tasks that each node reports for a group of an earlier incarnation of the planner."""
    tasks_by_node: dict[int, list[ev.NodeTask]] = {}
    for member, offer in enumerate(offers):
        assert offer.group is not None
        id = ev.AttemptId(incarnation, offer.id.placement, 0)
        group = offer.group._replace(incarnation=incarnation)
        tasks_by_node.setdefault(offer.node, []).append(ev.NodeTask(id, offer.task, member in running, group))
    return tasks_by_node


@pytest.mark.parametrize("running", [set(), {0}, {0, 1}, {0, 1, 2}])
def test_after_a_restart_a_complete_group_goes_on_and_a_partial_one_is_released(running: set[int]) -> None:
    earlier = GroupHarness(nodes=4)
    earlier.request_group()
    harness = GroupHarness(nodes=4, incarnation=8)
    for node, tasks in reported_tasks(earlier.offers(), running).items():
        harness.feed(ev.LinkDown(node))
        harness.connect_node(node, reported_tasks=tasks)
    ids = {task.id for tasks in reported_tasks(earlier.offers(), running).values() for task in tasks}
    if len(running) == 3:
        harness.advance_time(30 * SECOND)
        assert harness.stopped_ids() == set() and set(harness.core.attempts.attempts) == ids
        assert len(harness.client_messages(ev.TaskRecovered)) == 3
        assert {i for k in harness.actions_of_type(ev.SendLeaseRenewal) for i in k.ids} == ids
        lost = next(iter(harness.core.attempts.attempts.values()))
        harness.feed(ev.NodeEnded(lost.node, lost.id, api.Result.LOST, api.Reason.EVICTED))
        assert harness.stopped_ids() == ids - {lost.id}
    else:
        harness.advance_time(1100 * MS)
        assert harness.stopped_ids() == ids and not harness.core.attempts.attempts


def test_shutdown_sheds_reserving_groups() -> None:
    harness = GroupHarness(stop_grace_us=SECOND)
    harness.request_group()
    offers = harness.offers()
    harness.feed(ev.ShutdownRequested())
    assert isinstance(harness.client_messages()[0], ev.GroupShed) and harness.stopped_ids() == {
        o.id for o in offers
    }
    for o in offers:
        harness.feed(ev.NodeRejected(o.node, o.id, api.Reason.NOT_HERE))
    assert harness.core.finished and harness.has_no_state()


def test_the_number_of_timers_stays_bounded() -> None:
    harness = GroupHarness(nodes=4)
    harness.start_group()
    timers_before = len(harness.core.context._timers)
    for _ in range(200):
        for o in harness.offers():
            harness.feed(ev.NodeUsage(o.node, o.id, 0.5, 0.5, 0.0, 0.0))
        harness.advance_time(100 * MS)
    assert len(harness.core.context._timers) <= timers_before + 3
    # Each node gets one renewal per 0.4 s, however many messages it sends.
    assert len(harness.actions_of_type(ev.SendLeaseRenewal)) < 200


@pytest.mark.parametrize("acknowledged", [True, False])
def test_a_group_whose_renewals_are_not_acknowledged_is_released(acknowledged: bool) -> None:
    """Without the release, members end on a node that renewals do not reach, and the others run on alone."""
    harness = GroupHarness()
    harness.start_group()
    harness.acknowledges_renewals = acknowledged
    started_at = harness.now
    harness.advance_time(900 * MS)
    assert not harness.stopped_ids()
    harness.advance_time(15 * SECOND)
    assert (
        bool(harness.stopped_ids()) is not acknowledged
        and bool(harness.core.counts.get("leases_over")) is not acknowledged
    )
    assert harness.now > started_at and len(harness.core.leases.pending_renewals) <= 3
    if not acknowledged:
        assert [e.finished for e in harness.client_messages(ev.GroupEnded)] == [False]


def test_a_late_acknowledgement_extends_a_lease_from_when_its_renewal_was_sent() -> None:
    harness = GroupHarness()
    harness.start_group()
    harness.acknowledges_renewals = False
    harness.advance_time(1100 * MS)
    renewal = harness.actions_of_type(ev.SendLeaseRenewal)[0]
    attempts = [a for a in harness.core.attempts.attempts.values() if a.node == renewal.node]
    leased_until = attempts[0].leased_until
    harness.feed(ev.LeasesRenewed(renewal.node, renewal.renewal))  # the renewal was sent about a second ago
    assert attempts[0].leased_until <= max(leased_until, harness.now - 900 * MS + renewal.lease_us)


def test_unacknowledged_renewals_are_bounded() -> None:
    from stairplank.planner.leases import MAX_PENDING_RENEWALS

    harness = GroupHarness()
    for _ in range(200):
        harness.core.leases.renew(1, (), SECOND)
    assert len(harness.core.leases.pending_renewals[1]) == MAX_PENDING_RENEWALS
    harness.feed(ev.LinkDown(1))
    assert not harness.core.leases.pending_renewals


def test_members_that_finished_while_no_planner_was_connected_are_not_lost() -> None:
    """Otherwise the rest of a group that is almost finished would be released as a partial group."""
    for is_reported in (True, False):
        earlier = GroupHarness(nodes=4)
        earlier.request_group()
        harness = GroupHarness(nodes=4, incarnation=8)
        tasks_by_node = reported_tasks(earlier.offers(), {1, 2})
        for node, tasks in tasks_by_node.items():
            finished = tuple(t for t in tasks if t.group is not None and t.group.member == 0 and is_reported)
            running = tuple(t for t in tasks if t.running)
            harness.feed(ev.NodeTasksReported(node, 0, running, True, harness.now, finished))
        harness.advance_time(3 * SECOND)
        assert bool(harness.stopped_ids()) is not is_reported
        if is_reported:
            assert harness.core.counts["groups_found"] == 1
            for node, tasks in tasks_by_node.items():
                for task in tasks:
                    if task.running:
                        harness.feed(ev.NodeEnded(node, task.id, api.Result.FINISHED, api.Reason.UNTOLD))
            assert harness.core.counts["groups_finished"] == 1 and not harness.core.groups.records


def test_the_stop_of_a_released_member_that_a_broken_link_has_lost_is_sent_again() -> None:
    harness = GroupHarness()
    offers = harness.start_group(count=2)
    harness.feed(ev.PlacementCancelled(1, 1, 0))
    stopped = harness.actions_of_type(ev.SendStop)[0]
    task = next(o.task for o in offers if o.id == stopped.id)
    harness.feed(ev.LinkDown(stopped.node, frozenset()))
    harness.actions.clear()
    harness.connect_node(stopped.node, reported_tasks=[ev.NodeTask(stopped.id, task, running=True)])
    assert stopped.id in harness.stopped_ids()

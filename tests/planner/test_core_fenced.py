"""Tests of bounded message ages: late requests are rejected, and expired offers are proven not to run."""

from __future__ import annotations

import pytest
from world import SECOND, World, held

from stairplank import interface as api
from stairplank.planner import events as ev
from stairplank.planner.attempt_lifecycle import OFFER_EXPIRY_SLACK_US

MS = 1_000


def request_until_timeout(cluster: World, number: int = 1, task_class: str = "report") -> ev.SendOffer:
    """Request an at-most-once task and wait until its attempt times out without a reply; return the offer."""
    offer = cluster.request_offer(number, task_class)
    cluster.wait(offer.wait_us + 20 * MS)
    return offer


def report_tasks(
    cluster: World, offer: ev.SendOffer, *tasks: ev.NodeTask, complete: bool = True, requested_at: int = 0
) -> None:
    """Send the core a report of the offer's node on its tasks."""
    cluster.feed(ev.NodeTasksReported(offer.node, 0, tasks, complete, requested_at or cluster.now))


@pytest.mark.parametrize(
    ("age_us", "admitted"), [(0, True), (5 * SECOND, True), (6 * SECOND, False), (1 << 62, False)]
)
def test_a_request_s_wait_counts_from_when_it_was_sent(age_us: int, admitted: bool) -> None:
    cluster = World()
    cluster.feed(ev.PlacementRequested(1, 1, cluster.task_spec(1), 6 * SECOND, age_us))
    rejected = cluster.client_messages(ev.Rejected)
    assert bool(cluster.actions_of(ev.SendOffer)) is admitted and bool(rejected) is not admitted
    if admitted:
        cluster.wait(6 * SECOND - age_us)
        assert cluster.client_messages()  # the outcome is sent within the wait of the client
    else:
        assert rejected[0].rejection.code == "DEADLINE_EXCEEDED" and cluster.is_empty()


def test_a_group_request_s_wait_counts_from_when_it_was_sent() -> None:
    cluster = World()
    members = tuple(cluster.task_spec(n) for n in (1, 2))
    cluster.feed(ev.GroupRequested(1, 1, members, 6 * SECOND, age_us=7 * SECOND))
    assert cluster.client_messages(ev.Rejected)[0].rejection.code == "DEADLINE_EXCEEDED"
    assert not cluster.actions_of(ev.SendOffer)


def test_an_at_most_once_task_is_offered_again_after_a_rejection_as_too_late() -> None:
    cluster = World()
    offer = cluster.request_offer(1, "report")
    cluster.feed(ev.NodeRejected(offer.node, offer.id, api.Reason.UNTOLD, True))
    cluster.wait(500 * MS)
    # The task is offered again, because the rejection proves that it has not run.
    assert len(cluster.actions_of(ev.SendOffer)) == 2
    assert cluster.core.counts["too_late"] == 1


def test_a_rejection_as_too_late_ends_an_abandoned_attempt() -> None:
    cluster = World()
    offer = request_until_timeout(cluster)
    assert isinstance(cluster.client_messages()[-1], ev.TaskFailed)
    cluster.request(2, "report", key=1)
    assert cluster.client_messages(ev.Rejected)[-1].rejection.code == "ABORTED"
    cluster.feed(ev.NodeRejected(offer.node, offer.id, api.Reason.UNTOLD, True))
    assert cluster.is_empty()
    assert [a for a in cluster.request(3, "report", key=1) if isinstance(a, ev.SendOffer)]


def test_a_node_s_tasks_are_requested_for_an_expired_offer() -> None:
    cluster = World()
    offer = request_until_timeout(cluster)
    cluster.actions.clear()
    cluster.wait(2 * SECOND)
    assert cluster.actions_of(ev.RequestNodeTasks) == [ev.RequestNodeTasks(offer.node)]
    report_tasks(cluster, offer)
    assert cluster.is_empty() and cluster.core.counts["never_taken"] == 1


@pytest.mark.parametrize("case", ["requested too early", "not complete", "reported", "accepted"])
def test_an_attempt_without_proof_that_it_never_ran_stays(case: str) -> None:
    cluster = World()
    offer = request_until_timeout(cluster)
    if case == "accepted":
        cluster.feed(ev.NodeAccepted(offer.node, offer.id))
    cluster.wait(2 * SECOND)
    tasks = ()
    if case == "reported":
        tasks = (ev.NodeTask(offer.id, offer.task, False),)
    early_us = offer.wait_us + OFFER_EXPIRY_SLACK_US - 100 * MS if case == "requested too early" else 0
    requested_at = 1000 * SECOND + early_us if early_us else cluster.now
    report_tasks(cluster, offer, *tasks, complete=case != "not complete", requested_at=requested_at)
    assert not cluster.is_empty()


def test_few_requests_of_tasks_cover_many_expired_offers() -> None:
    cluster = World(nodes=1)
    for n in range(1, 9):
        cluster.request(n, "report", service=n)
    cluster.wait(10 * SECOND)
    requests = len(cluster.actions_of(ev.RequestNodeTasks))
    assert cluster.core.counts["timeouts"] >= 4 and 1 <= requests <= 3


def test_a_duplicate_whose_stop_was_lost_is_stopped_again() -> None:
    """A stop may be lost with its link; unless it is sent again, the duplicate would keep running."""
    cluster = World()
    offer = cluster.request_offer(1)
    cluster.feed(ev.NodeAccepted(offer.node, offer.id))
    cluster.wait(7 * SECOND)  # the attempt is abandoned, and its stop was sent
    assert [s for s in cluster.actions_of(ev.SendStop) if s.id == offer.id]
    cluster.actions.clear()
    cluster.feed(ev.LinkDown(offer.node))
    cluster.connect_link(offer.node, 0, False)
    cluster.feed(
        ev.NodeTasksReported(offer.node, 0, (ev.NodeTask(offer.id, offer.task, False),), True, cluster.now)
    )
    assert [s.id for s in cluster.actions_of(ev.SendStop)] == [offer.id]


def test_a_task_of_an_earlier_incarnation_is_adopted() -> None:
    cluster = World()
    cluster.feed(ev.NodeTasksReported(1, 0, (held(cluster, 9, "report"),), True, cluster.now))
    assert cluster.core.counts["adopted"] == 1


def test_after_a_stall_a_drain_report_is_handled_before_timers() -> None:
    """If timers fired first, they would send offers to a node whose drain report is not read yet."""
    for after_stall in (True, False):
        cluster = World(nodes=2)
        offer = cluster.request_offer(1, wait_us=60 * SECOND)
        # The attempt timed out, so that a timer offers the task to the other node.
        cluster.now += offer.wait_us + SECOND
        event = ev.NodeDraining(3 - offer.node)
        actions = (
            cluster.core.handle_after_stall(cluster.now, [event])
            if after_stall
            else cluster.core.handle(cluster.now, event)
        )
        offers = [a for a in actions if isinstance(a, ev.SendOffer)]
        assert bool(offers) is not after_stall


def test_after_a_stall_client_events_are_handled_last() -> None:
    cluster = World(nodes=2)
    events = [
        ev.PlacementRequested(1, 1, cluster.task_spec(1), 6 * SECOND),
        ev.NodeDraining(1),
        ev.PlacementRequested(1, 2, cluster.task_spec(2, service=9), SECOND),
    ]
    actions = cluster.core.handle_after_stall(cluster.now + 5 * SECOND, events)
    offers = [a.node for a in actions if isinstance(a, ev.SendOffer)]
    assert offers == [2, 2]


def test_a_duplicate_reported_after_a_link_loss_is_adopted_once() -> None:
    cluster = World()
    offer = request_until_timeout(cluster)
    assert isinstance(cluster.client_messages()[-1], ev.TaskFailed)
    cluster.feed(ev.LinkDown(offer.node))
    cluster.connect_link(offer.node, 0, False)
    cluster.feed(
        ev.NodeTasksReported(offer.node, 0, (ev.NodeTask(offer.id, offer.task, True),), True, cluster.now)
    )
    assert cluster.core.counts["adopted"] == 1 and len(cluster.client_messages(ev.TaskRecovered)) == 1

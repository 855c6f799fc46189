"""Tests of bounded message ages: late requests are rejected, and expired offers are proven not to run."""

from __future__ import annotations

import pytest
from grpc_core_harness import SECOND, CoreHarness, node_task

from stairplank import interface as api
from stairplank.planner import events as ev
from stairplank.planner.attempt_lifecycle import OFFER_EXPIRY_SLACK_US

MS = 1_000


def request_until_timeout(harness: CoreHarness, number: int = 1, task_class: str = "report") -> ev.SendOffer:
    """Request an at-most-once task and wait until its attempt times out without a reply; return the offer."""
    offer = harness.request_offer(number, task_class)
    harness.advance_time(offer.wait_us + 20 * MS)
    return offer


def report_tasks(
    harness: CoreHarness,
    offer: ev.SendOffer,
    *tasks: ev.NodeTask,
    complete: bool = True,
    requested_at: int = 0,
) -> None:
    """Send the core a report of the offer's node on its tasks."""
    harness.feed(ev.NodeTasksReported(offer.node, 0, tasks, complete, requested_at or harness.now))


@pytest.mark.parametrize(
    ("age_us", "admitted"), [(0, True), (5 * SECOND, True), (6 * SECOND, False), (1 << 62, False)]
)
def test_a_request_s_wait_counts_from_when_it_was_sent(age_us: int, admitted: bool) -> None:
    harness = CoreHarness()
    harness.feed(ev.PlacementRequested(1, 1, harness.task_spec(1), 6 * SECOND, age_us))
    rejected = harness.client_messages(ev.Rejected)
    assert bool(harness.actions_of_type(ev.SendOffer)) is admitted and bool(rejected) is not admitted
    if admitted:
        harness.advance_time(6 * SECOND - age_us)
        assert harness.client_messages()  # the outcome is sent within the wait of the client
    else:
        assert rejected[0].rejection.code == "DEADLINE_EXCEEDED" and harness.has_no_tasks()


def test_a_group_request_s_wait_counts_from_when_it_was_sent() -> None:
    harness = CoreHarness()
    members = tuple(harness.task_spec(n) for n in (1, 2))
    harness.feed(ev.GroupRequested(1, 1, members, 6 * SECOND, age_us=7 * SECOND))
    assert harness.client_messages(ev.Rejected)[0].rejection.code == "DEADLINE_EXCEEDED"
    assert not harness.actions_of_type(ev.SendOffer)


def test_an_at_most_once_task_is_offered_again_after_a_rejection_as_too_late() -> None:
    harness = CoreHarness()
    offer = harness.request_offer(1, "report")
    harness.feed(ev.NodeRejected(offer.node, offer.id, api.Reason.UNTOLD, True))
    harness.advance_time(500 * MS)
    # The task is offered again, because the rejection proves that it has not run.
    assert len(harness.actions_of_type(ev.SendOffer)) == 2
    assert harness.core.counts["too_late"] == 1


def test_a_rejection_as_too_late_ends_an_abandoned_attempt() -> None:
    harness = CoreHarness()
    offer = request_until_timeout(harness)
    assert isinstance(harness.client_messages()[-1], ev.TaskFailed)
    harness.request(2, "report", key=1)
    assert harness.client_messages(ev.Rejected)[-1].rejection.code == "ABORTED"
    harness.feed(ev.NodeRejected(offer.node, offer.id, api.Reason.UNTOLD, True))
    assert harness.has_no_tasks()
    assert [a for a in harness.request(3, "report", key=1) if isinstance(a, ev.SendOffer)]


def test_a_node_s_tasks_are_requested_for_an_expired_offer() -> None:
    harness = CoreHarness()
    offer = request_until_timeout(harness)
    harness.actions.clear()
    harness.advance_time(2 * SECOND)
    assert harness.actions_of_type(ev.RequestNodeTasks) == [ev.RequestNodeTasks(offer.node)]
    report_tasks(harness, offer)
    assert harness.has_no_tasks() and harness.core.counts["never_taken"] == 1


@pytest.mark.parametrize("case", ["requested too early", "not complete", "reported", "accepted"])
def test_an_attempt_without_proof_that_it_never_ran_stays(case: str) -> None:
    harness = CoreHarness()
    offer = request_until_timeout(harness)
    if case == "accepted":
        harness.feed(ev.NodeAccepted(offer.node, offer.id))
    harness.advance_time(2 * SECOND)
    tasks = ()
    if case == "reported":
        tasks = (ev.NodeTask(offer.id, offer.task, False),)
    early_us = offer.wait_us + OFFER_EXPIRY_SLACK_US - 100 * MS if case == "requested too early" else 0
    requested_at = 1000 * SECOND + early_us if early_us else harness.now
    report_tasks(harness, offer, *tasks, complete=case != "not complete", requested_at=requested_at)
    assert not harness.has_no_tasks()


def test_few_requests_of_tasks_cover_many_expired_offers() -> None:
    harness = CoreHarness(nodes=1)
    for n in range(1, 9):
        harness.request(n, "report", service=n)
    harness.advance_time(10 * SECOND)
    requests = len(harness.actions_of_type(ev.RequestNodeTasks))
    assert harness.core.counts["timeouts"] >= 4 and 1 <= requests <= 3


def test_a_duplicate_whose_stop_was_lost_is_stopped_again() -> None:
    """A stop may be lost with its link; unless it is sent again, the duplicate would keep running."""
    harness = CoreHarness()
    offer = harness.request_offer(1)
    harness.feed(ev.NodeAccepted(offer.node, offer.id))
    harness.advance_time(7 * SECOND)  # the attempt is abandoned, and its stop was sent
    assert [s for s in harness.actions_of_type(ev.SendStop) if s.id == offer.id]
    harness.actions.clear()
    harness.feed(ev.LinkDown(offer.node))
    harness.connect_link(offer.node, 0, False)
    harness.feed(
        ev.NodeTasksReported(offer.node, 0, (ev.NodeTask(offer.id, offer.task, False),), True, harness.now)
    )
    assert [s.id for s in harness.actions_of_type(ev.SendStop)] == [offer.id]


def test_a_task_of_an_earlier_incarnation_is_adopted() -> None:
    harness = CoreHarness()
    harness.feed(ev.NodeTasksReported(1, 0, (node_task(harness, 9, "report"),), True, harness.now))
    assert harness.core.counts["adopted"] == 1


def test_after_a_stall_a_drain_report_is_handled_before_timers() -> None:
    """If timers fired first, they would send offers to a node whose drain report is not read yet."""
    for after_stall in (True, False):
        harness = CoreHarness(nodes=2)
        offer = harness.request_offer(1, wait_us=60 * SECOND)
        # The attempt timed out, so that a timer offers the task to the other node.
        harness.now += offer.wait_us + SECOND
        event = ev.NodeDraining(3 - offer.node)
        actions = (
            harness.core.handle_after_stall(harness.now, [event])
            if after_stall
            else harness.core.handle(harness.now, event)
        )
        offers = [a for a in actions if isinstance(a, ev.SendOffer)]
        assert bool(offers) is not after_stall


def test_after_a_stall_client_events_are_handled_last() -> None:
    harness = CoreHarness(nodes=2)
    events = [
        ev.PlacementRequested(1, 1, harness.task_spec(1), 6 * SECOND),
        ev.NodeDraining(1),
        ev.PlacementRequested(1, 2, harness.task_spec(2, service=9), SECOND),
    ]
    actions = harness.core.handle_after_stall(harness.now + 5 * SECOND, events)
    offers = [a.node for a in actions if isinstance(a, ev.SendOffer)]
    assert offers == [2, 2]


def test_a_duplicate_reported_after_a_link_loss_is_adopted_once() -> None:
    harness = CoreHarness()
    offer = request_until_timeout(harness)
    assert isinstance(harness.client_messages()[-1], ev.TaskFailed)
    harness.feed(ev.LinkDown(offer.node))
    harness.connect_link(offer.node, 0, False)
    harness.feed(
        ev.NodeTasksReported(offer.node, 0, (ev.NodeTask(offer.id, offer.task, True),), True, harness.now)
    )
    assert harness.core.counts["adopted"] == 1 and len(harness.client_messages(ev.TaskRecovered)) == 1

"""Tests of the whole planner core, with one rare or error-prone case each."""

from __future__ import annotations

from dataclasses import replace

import pytest
from grpc_core_harness import BOUNDS, MS, SECOND, CoreHarness, node_task

from stairplank import interface as api
from stairplank.planner import events as ev
from stairplank.planner.admission import Bounds
from stairplank.planner.offers import REPLY_RESERVE_TICKS

TICK = 10 * MS


def test_a_task_is_placed_and_its_end_reported() -> None:
    harness = CoreHarness()
    offer = harness.request_offer(1)
    harness.feed(ev.NodeAccepted(offer.node, offer.id))
    assert harness.client_messages() == []
    harness.now += 40 * MS
    harness.feed(ev.NodeRunning(offer.node, offer.id))
    harness.feed(ev.NodeEnded(offer.node, offer.id, api.Result.FINISHED, api.Reason.UNTOLD))
    assert harness.client_messages() == [
        ev.TaskPlaced(1, offer.node, 0, 40 * MS),
        ev.TaskEnded(1, 1, True, api.Reason.UNTOLD),
    ]
    assert (
        harness.client_messages(ev.Admitted) == [ev.Admitted(1, 1)]
        and len(harness.client_messages(ev.Offered)) == 1
    )
    assert harness.has_no_tasks()


def test_acceptance_binds_if_nodes_do_not_confirm_running() -> None:
    harness = CoreHarness(confirms_running=False)
    offer = harness.request_offer(1)
    harness.feed(ev.NodeAccepted(offer.node, offer.id))
    assert isinstance(harness.client_messages()[0], ev.TaskPlaced)
    harness.feed(ev.NodeRunning(offer.node, offer.id))
    harness.feed(ev.NodeError(offer.node, offer.id))  # the task fails after it was bound
    assert harness.client_messages()[1:] == [ev.TaskEnded(1, 1, False, api.Reason.UNTOLD)]
    assert harness.has_no_tasks()


def test_a_rejected_task_is_offered_to_another_node() -> None:
    harness = CoreHarness()
    first = harness.request_offer(1)
    harness.feed(ev.NodeRejected(first.node, first.id, api.Reason.NO_CORES))
    offers = harness.actions_of_type(ev.SendOffer)
    if len(offers) == 1:  # the decision module may wait before a retry
        harness.advance_time(SECOND)
    second = harness.actions_of_type(ev.SendOffer)[1]
    assert second.node != first.node and second.id.attempt == 1


def test_a_task_without_a_suitable_node_is_shed_before_its_wait_ends() -> None:
    harness = CoreHarness()
    harness.request(1, cores=15.0)
    for n in (2, 3):
        harness.request(n, cores=15.0)
    for offer in harness.actions_of_type(ev.SendOffer):
        harness.feed(ev.NodeRunning(offer.node, offer.id))
    harness.request(4, cores=15.0, wait_us=3 * SECOND)
    requested_at = harness.now
    harness.advance_time(4 * SECOND)
    assert harness.client_messages(ev.TaskShed)[0].request == 4
    assert harness.now > requested_at


# Timeouts and late messages


def test_an_at_most_once_task_without_a_reply_fails_and_is_not_stopped() -> None:
    harness = CoreHarness()
    offer = harness.request_offer(1, "report")
    harness.advance_time(6 * SECOND - REPLY_RESERVE_TICKS * TICK + MS)
    assert harness.client_messages() == [ev.TaskFailed(1, True)]
    assert harness.actions_of_type(ev.SendStop) == []  # if the task still runs, that is its only run
    harness.feed(ev.NodeRunning(offer.node, offer.id))
    assert harness.client_messages()[1:] == [ev.TaskRecovered(1, 1, offer.node)]
    harness.feed(ev.NodeEnded(offer.node, offer.id, api.Result.FINISHED, api.Reason.UNTOLD))
    assert harness.client_messages()[2:] == [ev.TaskEnded(1, 1, True, api.Reason.UNTOLD)]
    assert harness.has_no_tasks()


def test_a_late_duplicate_of_an_idempotent_task_is_stopped() -> None:
    harness = CoreHarness()
    offer = harness.request_offer(1, wait_us=20 * SECOND)
    harness.advance_time(5500 * MS)
    stops = harness.actions_of_type(ev.SendStop)
    assert [s.reason for s in stops][0] is ev.StopReason.ABANDONED and stops[0].id == offer.id
    harness.feed(ev.NodeRunning(offer.node, offer.id))
    assert (
        ev.SendStop(offer.node, offer.id, ev.StopReason.ABANDONED) in harness.actions_of_type(ev.SendStop)[1:]
    )
    assert harness.client_messages(ev.TaskRecovered) == []


def test_an_at_most_once_task_is_not_admitted_again_while_an_attempt_may_run() -> None:
    harness = CoreHarness()
    offer = harness.request_offer(1, "report")
    harness.advance_time(6 * SECOND)
    harness.request(2, "report", key=1)
    (rejected,) = harness.client_messages(ev.Rejected)
    assert rejected.rejection.code == "ABORTED" and rejected.rejection.retry_after_us > 0
    harness.feed(ev.NodeRejected(offer.node, offer.id, api.Reason.NOT_HERE))  # proves that it has not run
    harness.request(3, "report", key=1)
    assert len(harness.actions_of_type(ev.SendOffer)) == 2


def test_an_abandoned_attempt_at_an_unresponsive_node_ends_in_bounded_time() -> None:
    harness = CoreHarness(abandoned_attempt_us=10 * SECOND)
    harness.request_offer(1, "report")
    harness.advance_time(17 * SECOND)
    assert harness.has_no_tasks()
    # If the node reports on the attempt later, the core requests its tasks and recovers the task.
    offer = harness.actions_of_type(ev.SendOffer)[0]
    harness.actions.clear()
    harness.feed(ev.NodeRunning(offer.node, offer.id))
    assert harness.actions_of_type(ev.RequestNodeTasks) == [ev.RequestNodeTasks(offer.node)]
    harness.feed(ev.NodeTasksReported(offer.node, 0, (ev.NodeTask(offer.id, offer.task, True),)))
    assert harness.client_messages() == [ev.TaskRecovered(0, 1, offer.node)]


def test_a_task_idempotent_by_key_is_placed_by_the_attempt_after_an_error() -> None:
    harness = CoreHarness(nodes=2)
    first = harness.request_offer(1, "ingest")
    harness.feed(ev.NodeError(first.node, first.id))
    harness.advance_time(SECOND)
    second = harness.actions_of_type(ev.SendOffer)[1]
    assert second.node != first.node
    harness.feed(ev.NodeRunning(second.node, second.id))
    assert [type(x) for x in harness.client_messages()] == [ev.TaskPlaced]


# Links


def test_an_offer_waits_for_its_node_s_link() -> None:
    harness = CoreHarness(nodes=1)
    harness.feed(ev.LinkDown(1))
    harness.request(1, "report")
    assert harness.actions_of_type(ev.SendOffer) == [] and harness.actions_of_type(ev.Dial)
    harness.connect_link(1, 0, False)
    assert len(harness.actions_of_type(ev.SendOffer)) == 1


def test_a_failed_dial_proves_that_the_task_did_not_run() -> None:
    harness = CoreHarness(nodes=1)
    harness.feed(ev.LinkDown(1))
    harness.request(1, "report", wait_us=2 * SECOND)
    harness.feed(ev.DialFailed(1))
    harness.advance_time(3 * SECOND)
    # A retry does no harm, because no offer was sent.
    assert [type(x) for x in harness.client_messages()] == [ev.TaskShed]
    assert harness.has_no_tasks()


def test_an_attempt_ends_when_its_dial_times_out() -> None:
    harness = CoreHarness(nodes=1)
    harness.feed(ev.LinkDown(1))
    harness.request(1, "report", wait_us=2 * SECOND)
    harness.advance_time(260 * MS)
    assert harness.core.attempts.attempts == {}


def test_a_report_after_a_link_loss_settles_the_attempts_in_flight() -> None:
    harness = CoreHarness(nodes=3)
    sent, running, lost = (
        harness.request_offer(1, "report"),
        harness.request_and_run(2, "report"),
        harness.request_and_run(3, "report"),
    )
    nodes = {sent.node, running.node, lost.node}
    harness.actions.clear()
    for node in nodes:
        harness.feed(ev.LinkDown(node))
    harness.advance_time(300 * MS)
    for node in nodes:
        present = [o for o in (sent, running) if o.node == node]
        harness.connect_node(node, reported_tasks=[ev.NodeTask(o.id, o.task, True) for o in present])
    assert harness.client_messages() == [
        ev.TaskEnded(3, 3, False, api.Reason.UNTOLD),
        ev.TaskPlaced(1, sent.node, 0, 300 * MS),
    ] or harness.client_messages() == [
        ev.TaskPlaced(1, sent.node, 0, 300 * MS),
        ev.TaskEnded(3, 3, False, api.Reason.UNTOLD),
    ]


def test_attempts_are_lost_if_the_link_is_down_beyond_its_grace_period() -> None:
    harness = CoreHarness()
    sent, running = harness.request_offer(1, "report"), harness.request_and_run(2, "report")
    for node in {sent.node, running.node}:
        harness.feed(ev.LinkDown(node))
    harness.advance_time(999 * MS)
    assert harness.client_messages(ev.TaskEnded) == [] and harness.client_messages(ev.TaskFailed) == []
    harness.advance_time(2 * MS)
    assert harness.client_messages(ev.TaskEnded) == [ev.TaskEnded(2, 2, False, api.Reason.UNTOLD)]
    assert harness.client_messages(ev.TaskFailed) == [ev.TaskFailed(1, True)]


def test_an_at_most_once_task_is_offered_again_if_its_offer_was_not_sent() -> None:
    harness = CoreHarness(nodes=2)
    offer = harness.request_offer(1, "report")
    harness.feed(ev.LinkDown(offer.node, frozenset({offer.id})))
    harness.advance_time(SECOND)
    second = harness.actions_of_type(ev.SendOffer)[1]
    assert second.id.attempt == 1 and second.node != offer.node


def test_a_restarted_node_has_lost_its_tasks() -> None:
    harness = CoreHarness()
    offer = harness.request_and_run(1)
    harness.feed(ev.LinkDown(offer.node))
    harness.advance_time(100 * MS)
    harness.connect_link(offer.node, 77, False)
    assert harness.client_messages(ev.TaskEnded) == [ev.TaskEnded(1, 1, False, api.Reason.UNTOLD)]


def test_dials_of_a_node_back_off_and_do_not_overlap() -> None:
    harness = CoreHarness(nodes=1)
    harness.feed(ev.LinkDown(1))
    gaps = []
    for _ in range(8):
        before = harness.now
        while not harness.actions_of_type(ev.Dial):
            harness.advance_time(10 * MS)
        gaps.append(harness.now - before)
        assert len(harness.actions_of_type(ev.Dial)) == 1
        harness.actions.clear()
        harness.feed(ev.DialFailed(1))
    assert gaps[-1] >= SECOND and gaps[-1] <= 2 * SECOND + 10 * MS and gaps[1] < 500 * MS


# Drains and the node list


def test_an_offer_that_waits_for_a_link_is_not_sent_after_a_drain() -> None:
    harness = CoreHarness(nodes=1)
    harness.feed(ev.LinkDown(1))
    harness.request(1, "report")
    harness.send_node_list(1, full=False, revision=2, status=api.NodeStatus.DRAINING)
    harness.connect_link(1, 0, False)
    assert harness.actions_of_type(ev.SendOffer) == []


def test_a_node_s_own_drain_report_overrides_an_older_ready_entry() -> None:
    harness = CoreHarness(nodes=1)
    harness.feed(ev.NodeDraining(1))
    harness.send_node_list(1, full=False, revision=2)  # the node list does not show the drain yet
    harness.request(1)
    assert harness.actions_of_type(ev.SendOffer) == []
    harness.feed(ev.LinkDown(1))
    harness.connect_node(1, started=99)  # another incarnation: the former drain report does not apply
    harness.send_node_list(1, full=False, revision=3, started=99)
    harness.advance_time(2 * SECOND)
    assert harness.actions_of_type(ev.SendOffer)


def test_a_node_that_drains_when_its_link_comes_up_gets_no_offer() -> None:
    harness = CoreHarness(nodes=1)
    harness.feed(ev.LinkDown(1))
    harness.request(1, "report")
    harness.connect_link(1, 0, True)
    assert harness.actions_of_type(ev.SendOffer) == []


def test_the_full_node_list_is_requested_after_missed_changes() -> None:
    harness = CoreHarness()
    actions = harness.feed(ev.NodeListReceived(9, 5, False, (harness.node_entry(9),), 10**15))
    assert ev.WatchNodeList(True, 0) in actions and 9 not in harness.core.links.links
    harness.send_node_list(1, 9, revision=9)
    assert set(harness.core.links.links) == set(harness.core.node_list.entries) == {1, 9}


def test_an_older_revision_of_the_node_list_is_ignored() -> None:
    harness = CoreHarness(nodes=1)
    harness.send_node_list(1, full=False, revision=2, status=api.NodeStatus.DRAINING)
    harness.feed(ev.NodeListReceived(1, 0, False, (harness.node_entry(1),), 10**15))
    harness.request(1)
    assert harness.actions_of_type(ev.SendOffer) == []


def test_a_node_s_start_time_is_computed_once() -> None:
    harness = CoreHarness(nodes=1)
    for revision in (2, 3):
        harness.feed(
            ev.NodeListReceived(
                revision, revision - 1, False, (harness.node_entry(1, started=10**15 - 500),), 10**15
            )
        )
        harness.now += 7
    started_us = harness.core.node_list.entries[1].started_us
    assert started_us == harness.now - 14 - 500


def test_the_table_of_nodes_is_bounded() -> None:
    harness = CoreHarness(nodes=1, max_nodes=2)
    harness.send_node_list(1, 2, 3, revision=2)
    assert set(harness.core.links.links) == {1, 2}
    assert any(r.event.startswith("node not taken") for r in harness.actions_of_type(ev.LogEvent))


def test_a_failed_watch_of_the_node_list_is_opened_again() -> None:
    harness = CoreHarness()
    harness.feed(ev.NodeListFailed())
    harness.advance_time(4 * SECOND)
    assert ev.WatchNodeList(True, 1) in harness.actions_of_type(ev.WatchNodeList)


# Clients


def test_a_client_that_disconnects_leaves_nothing_open() -> None:
    harness = CoreHarness()
    open_offer, running = harness.request_offer(1), harness.request_and_run(2)
    harness.actions.clear()
    harness.feed(ev.ClientDisconnected(1))
    assert [(s.id, s.reason) for s in harness.actions_of_type(ev.SendStop)] == [
        (open_offer.id, ev.StopReason.CANCELLED)
    ]
    assert harness.core.requests.open_tasks == 0 and harness.actions_of_type(ev.SendToClient) == []
    harness.feed(ev.NodeRejected(open_offer.node, open_offer.id, api.Reason.NOT_HERE))
    assert list(harness.core.attempts.attempts) == [running.id]  # the placed task keeps running
    harness.feed(ev.ClientConnected(2, "o"))
    assert harness.client_messages(session=2) == [ev.TaskRecovered(0, 2, running.node)]
    harness.feed(ev.NodeEnded(running.node, running.id, api.Result.FINISHED, api.Reason.UNTOLD))
    assert harness.client_messages(session=2)[1:] == [ev.TaskEnded(0, 2, True, api.Reason.UNTOLD)]
    assert harness.has_no_tasks()


def test_two_requests_for_one_task() -> None:
    harness = CoreHarness()
    offer = harness.request_offer(1)
    harness.request(2, key=1)
    (rejected,) = harness.client_messages(ev.Rejected)
    assert (rejected.request, rejected.rejection.code, rejected.rejection.field) == (
        2,
        "ALREADY_EXISTS",
        "task.key",
    )
    harness.feed(ev.NodeRunning(offer.node, offer.id))
    harness.request(3, key=1)  # the task runs, so it is recovered and not placed again
    assert (
        harness.client_messages()[-1] == ev.TaskRecovered(3, 1, offer.node)
        and len(harness.actions_of_type(ev.SendOffer)) == 1
    )


def test_two_clients_may_use_the_same_key() -> None:
    harness = CoreHarness()
    harness.feed(ev.ClientConnected(2, "other"))
    harness.request(1)
    harness.request(1, session=2, client="other")
    assert len(harness.actions_of_type(ev.SendOffer)) == 2 and harness.client_messages(ev.Rejected) == []


@pytest.mark.parametrize("after", ["request", "accepted", "running"])
def test_cancellation(after: str) -> None:
    harness = CoreHarness()
    offer = harness.request_offer(1)
    if after != "request":
        harness.feed(ev.NodeAccepted(offer.node, offer.id))
    if after == "running":
        harness.feed(ev.NodeRunning(offer.node, offer.id))
    harness.feed(ev.PlacementCancelled(1, 1))
    harness.feed(ev.PlacementCancelled(1, 1))
    assert harness.actions_of_type(ev.SendStop) == [
        ev.SendStop(offer.node, offer.id, ev.StopReason.CANCELLED)
    ]
    if after == "running":
        harness.feed(ev.NodeEnded(offer.node, offer.id, api.Result.CANCELLED, api.Reason.UNTOLD))
        assert harness.client_messages(ev.TaskEnded) == [ev.TaskEnded(1, 1, False, api.Reason.UNTOLD)]
    else:
        harness.feed(ev.NodeRunning(offer.node, offer.id))  # sent before the stop arrived
        harness.feed(ev.NodeEnded(offer.node, offer.id, api.Result.CANCELLED, api.Reason.UNTOLD))
        assert harness.client_messages() == []
    assert harness.has_no_tasks()


def test_a_cancellation_during_a_link_loss_is_sent_when_the_link_is_up() -> None:
    harness = CoreHarness(nodes=1)
    offer = harness.request_and_run(1)
    harness.feed(ev.LinkDown(1))
    harness.feed(ev.PlacementCancelled(1, 1))
    assert harness.actions_of_type(ev.SendStop) == []
    harness.connect_node(1, reported_tasks=[ev.NodeTask(offer.id, offer.task, True)])
    assert harness.actions_of_type(ev.SendStop) == [ev.SendStop(1, offer.id, ev.StopReason.CANCELLED)]


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"key": -1}, "task.key"),
        ({"task_class": "nothing"}, "task.task_class"),
        ({"tenant": "t9"}, "task.tenant"),
        ({"service": 0}, "task.service"),
        ({"cores": 0.0}, "task.cores"),
        ({"cores": float("nan")}, "task.cores"),
        ({"memory": float("inf")}, "task.memory"),
        ({"cores": 17.0}, "task.cores"),
        ({"memory": 33.0}, "task.memory"),
    ],
)
def test_rejections_name_the_invalid_field(change: dict, field: str) -> None:
    harness = CoreHarness()
    harness.feed(ev.PlacementRequested(1, 1, replace(harness.task_spec(1), **change), SECOND))
    (rejected,) = harness.client_messages(ev.Rejected)
    assert (rejected.rejection.code, rejected.rejection.field) == ("INVALID_ARGUMENT", field)
    assert harness.has_no_tasks()


@pytest.mark.parametrize(
    ("request_number", "wait_us", "field"), [(0, SECOND, "ask"), (1, 0, "wait_us"), (1, 10**12, "wait_us")]
)
def test_rejections_name_an_invalid_request_number_or_wait(
    request_number: int, wait_us: int, field: str
) -> None:
    harness = CoreHarness()
    harness.feed(ev.PlacementRequested(1, request_number, harness.task_spec(1), wait_us))
    assert harness.client_messages(ev.Rejected)[0].rejection.field == field


@pytest.mark.parametrize(
    ("bounds", "message"),
    [
        (Bounds(2, 60, 200, 60 * SECOND), "2 tasks are open at this planner"),
        (Bounds(100, 2, 200, 60 * SECOND), "2 tasks of this client are open at this planner"),
        (Bounds(100, 60, 2, 60 * SECOND), "2 attempts are in flight or running at this planner"),
    ],
)
def test_a_full_table_rejects_a_request_with_a_retry_delay(bounds: Bounds, message: str) -> None:
    harness = CoreHarness(bounds=bounds)
    for n in (1, 2):
        harness.request_and_run(n) if bounds.attempts == 2 else harness.request_offer(n)
    harness.request(3)
    (rejected,) = harness.client_messages(ev.Rejected)
    assert rejected.rejection.code == "RESOURCE_EXHAUSTED" and message in rejected.rejection.message
    assert rejected.rejection.retry_after_us > 0
    assert BOUNDS.open_tasks == 100


# Restart and shutdown


def test_a_restarted_planner_adopts_the_tasks_that_nodes_report() -> None:
    harness = CoreHarness(incarnation=8)
    harness.feed(ev.LinkDown(1))
    harness.actions.clear()
    harness.connect_node(
        1,
        reported_tasks=[
            node_task(harness, 41),
            node_task(harness, 42, "report", running=False),
            node_task(harness, 43, client="else"),
        ],
    )
    assert harness.client_messages() == [ev.TaskRecovered(0, 41, 1), ev.TaskRecovered(0, 42, 1)]
    harness.request(1, "report", key=42)  # requested again: recovered, not placed again
    assert (
        harness.client_messages()[-1] == ev.TaskRecovered(1, 42, 1)
        and harness.actions_of_type(ev.SendOffer) == []
    )
    harness.feed(ev.LinkDown(1))
    # Both tasks are reported for a second time, and counted once.
    harness.connect_node(1, reported_tasks=[node_task(harness, 41), node_task(harness, 42, "report")])
    assert len(harness.core.attempts.attempts) == 2  # the node no longer reports task 43
    for key in (41, 42):
        harness.feed(ev.NodeEnded(1, node_task(harness, key).id, api.Result.FINISHED, api.Reason.UNTOLD))
    assert [x.key for x in harness.client_messages(ev.TaskEnded)] == [41, 42] and harness.has_no_tasks()


def test_adopted_tasks_count_for_the_spread_limit() -> None:
    harness = CoreHarness(nodes=1, incarnation=8)
    harness.connect_node(1, reported_tasks=[node_task(harness, 41, "apart")])
    harness.request(1, "apart")
    assert harness.actions_of_type(ev.SendOffer) == []


def test_a_reported_duplicate_of_a_placed_idempotent_task_is_stopped() -> None:
    harness = CoreHarness(nodes=2, incarnation=8)
    running = harness.request_and_run(1)
    other = 3 - running.node
    harness.connect_node(other, reported_tasks=[node_task(harness, 1)])
    assert harness.actions_of_type(ev.SendStop) == [
        ev.SendStop(other, node_task(harness, 1).id, ev.StopReason.ABANDONED)
    ]


def test_a_reported_task_of_an_unknown_class_is_neither_adopted_nor_stopped() -> None:
    harness = CoreHarness(nodes=1, incarnation=8)
    harness.connect_node(1, reported_tasks=[node_task(harness, 41, "retired")])
    assert harness.actions_of_type(ev.SendStop) == [] and harness.core.attempts.attempts == {}


def test_shutdown_admits_nothing_new_and_concludes_open_requests() -> None:
    harness = CoreHarness(stop_grace_us=SECOND)
    running = harness.request_offer(1)
    risky = harness.request_offer(2, "report")
    harness.feed(ev.ShutdownRequested())
    harness.request(3)
    assert harness.client_messages(ev.Rejected)[0].rejection.code == "UNAVAILABLE"
    harness.feed(ev.NodeRunning(running.node, running.id))
    assert not harness.core.finished
    harness.advance_time(SECOND)
    assert harness.client_messages(ev.TaskFailed) == [ev.TaskFailed(2, True)] and harness.core.finished
    assert risky.id in harness.core.attempts.attempts  # the shutdown does not stop the attempt


def test_time_does_not_go_back_with_the_clock() -> None:
    harness = CoreHarness()
    harness.request_offer(1)
    time_before = harness.core.context.now
    harness.core.handle(time_before - 5 * SECOND, ev.TimerDue())
    assert harness.core.context.now == time_before


def test_each_task_has_one_outcome_after_a_stall() -> None:
    """After a stall all timers are due at once; each task still has exactly one outcome."""
    harness = CoreHarness()
    for n in range(1, 20):
        harness.request(n, "report", service=n, wait_us=(1 + n % 3) * SECOND)
    harness.now += 30 * SECOND
    harness.feed(ev.TimerDue())
    outcomes = [x.request for x in harness.client_messages() if isinstance(x, (ev.TaskFailed, ev.TaskShed))]
    assert sorted(outcomes) == list(range(1, 20))


def test_ten_thousand_open_tasks_at_a_full_cluster() -> None:
    harness = CoreHarness(nodes=3, bounds=Bounds(20_000, 20_000, 20_000, 60 * SECOND))
    for n in range(1, 4):
        harness.request_and_run(n, service=n, cores=16.0, memory=32.0)
    harness.actions.clear()
    for n in range(10, 10_010):
        harness.request(n, service=n, cores=4.0, memory=4.0, wait_us=3 * SECOND)
    assert harness.core.requests.open_tasks == 10_000
    harness.advance_time(4 * SECOND)
    assert len(harness.client_messages(ev.TaskShed)) == 10_000 and harness.core.requests.open_tasks == 0
    assert len(harness.core.requests.placements) == 3


def test_the_number_of_simultaneous_dials_is_bounded() -> None:
    harness = CoreHarness(nodes=0, max_dials=4)
    harness.send_node_list(*range(1, 31), revision=2)
    assert [d.node for d in harness.actions_of_type(ev.Dial)] == [1, 2, 3, 4]
    harness.connect_link(1, 0, False)
    harness.feed(ev.DialFailed(2))
    assert [d.node for d in harness.actions_of_type(ev.Dial)][4:] == [5, 6]
    harness.send_node_list(*range(1, 20), revision=3)  # nodes 20 to 30 are unlisted before they are dialled
    for node in (3, 4, 5, 6):
        harness.connect_link(node, 0, False)
    for _ in range(30):
        for node in {d.node for d in harness.actions_of_type(ev.Dial)} - {
            n for n, x in harness.core.links.links.items() if x.state.value == "up"
        }:
            harness.connect_link(node, 0, False)
    ups = [n for n, link in harness.core.links.links.items() if link.state.value == "up"]
    assert sorted(ups) == list(range(1, 20))
    assert max(d.node for d in harness.actions_of_type(ev.Dial)) == 19

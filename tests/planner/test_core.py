"""Tests of the core as a whole, one difficult case each."""

from __future__ import annotations

from dataclasses import replace

import pytest
from world import BOUNDS, MS, SECOND, World, held

from stairplank import interface as api
from stairplank.planner import events as ev
from stairplank.planner.admission import Bounds
from stairplank.planner.offers import REPLY_RESERVE_TICKS

TICK = 10 * MS


def test_a_task_is_placed_and_its_end_reported() -> None:
    cluster = World()
    offer = cluster.request_offer(1)
    cluster.feed(ev.NodeAccepted(offer.node, offer.id))
    assert cluster.client_messages() == []
    cluster.now += 40 * MS
    cluster.feed(ev.NodeRunning(offer.node, offer.id))
    cluster.feed(ev.NodeEnded(offer.node, offer.id, api.Result.FINISHED, api.Reason.UNTOLD))
    assert cluster.client_messages() == [
        ev.TaskPlaced(1, offer.node, 0, 40 * MS),
        ev.TaskEnded(1, 1, True, api.Reason.UNTOLD),
    ]
    assert (
        cluster.client_messages(ev.Admitted) == [ev.Admitted(1, 1)]
        and len(cluster.client_messages(ev.Offered)) == 1
    )
    assert cluster.is_empty()


def test_acceptance_binds_if_nodes_do_not_confirm_running() -> None:
    cluster = World(confirms_running=False)
    offer = cluster.request_offer(1)
    cluster.feed(ev.NodeAccepted(offer.node, offer.id))
    assert isinstance(cluster.client_messages()[0], ev.TaskPlaced)
    cluster.feed(ev.NodeRunning(offer.node, offer.id))
    cluster.feed(ev.NodeError(offer.node, offer.id))  # the task fails after it was bound
    assert cluster.client_messages()[1:] == [ev.TaskEnded(1, 1, False, api.Reason.UNTOLD)]
    assert cluster.is_empty()


def test_a_rejected_task_is_offered_to_another_node() -> None:
    cluster = World()
    first = cluster.request_offer(1)
    cluster.feed(ev.NodeRejected(first.node, first.id, api.Reason.NO_CORES))
    offers = cluster.actions_of(ev.SendOffer)
    if len(offers) == 1:  # the module may wait before it tries again
        cluster.wait(SECOND)
    second = cluster.actions_of(ev.SendOffer)[1]
    assert second.node != first.node and second.id.attempt == 1


def test_a_task_without_a_suitable_node_is_shed_before_its_wait_ends() -> None:
    cluster = World()
    cluster.request(1, cores=15.0)
    for n in (2, 3):
        cluster.request(n, cores=15.0)
    for offer in cluster.actions_of(ev.SendOffer):
        cluster.feed(ev.NodeRunning(offer.node, offer.id))
    cluster.request(4, cores=15.0, wait_us=3 * SECOND)
    requested_at = cluster.now
    cluster.wait(4 * SECOND)
    assert cluster.client_messages(ev.TaskShed)[0].request == 4
    assert cluster.now > requested_at


# Timeouts and late messages


def test_an_at_most_once_task_without_a_reply_fails_and_is_not_stopped() -> None:
    cluster = World()
    offer = cluster.request_offer(1, "report")
    cluster.wait(6 * SECOND - REPLY_RESERVE_TICKS * TICK + MS)
    assert cluster.client_messages() == [ev.TaskFailed(1, True)]
    assert cluster.actions_of(ev.SendStop) == []  # if it runs after all, that is its only run
    cluster.feed(ev.NodeRunning(offer.node, offer.id))
    assert cluster.client_messages()[1:] == [ev.TaskRecovered(1, 1, offer.node)]
    cluster.feed(ev.NodeEnded(offer.node, offer.id, api.Result.FINISHED, api.Reason.UNTOLD))
    assert cluster.client_messages()[2:] == [ev.TaskEnded(1, 1, True, api.Reason.UNTOLD)]
    assert cluster.is_empty()


def test_a_late_duplicate_of_an_idempotent_task_is_stopped() -> None:
    cluster = World()
    offer = cluster.request_offer(1, wait_us=20 * SECOND)
    cluster.wait(5500 * MS)
    stops = cluster.actions_of(ev.SendStop)
    assert [s.reason for s in stops][0] is ev.StopReason.ABANDONED and stops[0].id == offer.id
    cluster.feed(ev.NodeRunning(offer.node, offer.id))
    assert ev.SendStop(offer.node, offer.id, ev.StopReason.ABANDONED) in cluster.actions_of(ev.SendStop)[1:]
    assert cluster.client_messages(ev.TaskRecovered) == []


def test_an_at_most_once_task_is_not_admitted_again_while_an_attempt_may_run() -> None:
    cluster = World()
    offer = cluster.request_offer(1, "report")
    cluster.wait(6 * SECOND)
    cluster.request(2, "report", key=1)
    (rejected,) = cluster.client_messages(ev.Rejected)
    assert rejected.rejection.code == "ABORTED" and rejected.rejection.retry_after_us > 0
    cluster.feed(ev.NodeRejected(offer.node, offer.id, api.Reason.NOT_HERE))  # proves that it has not run
    cluster.request(3, "report", key=1)
    assert len(cluster.actions_of(ev.SendOffer)) == 2


def test_an_abandoned_attempt_at_an_unresponsive_node_ends_in_bounded_time() -> None:
    cluster = World(abandoned_attempt_us=10 * SECOND)
    cluster.request_offer(1, "report")
    cluster.wait(17 * SECOND)
    assert cluster.is_empty()
    # If the node reports on the attempt later, the core requests its tasks and recovers the task.
    offer = cluster.actions_of(ev.SendOffer)[0]
    cluster.actions.clear()
    cluster.feed(ev.NodeRunning(offer.node, offer.id))
    assert cluster.actions_of(ev.RequestNodeTasks) == [ev.RequestNodeTasks(offer.node)]
    cluster.feed(ev.NodeTasksReported(offer.node, 0, (ev.NodeTask(offer.id, offer.task, True),)))
    assert cluster.client_messages() == [ev.TaskRecovered(0, 1, offer.node)]


def test_a_task_idempotent_by_key_is_placed_by_the_attempt_after_an_error() -> None:
    cluster = World(nodes=2)
    first = cluster.request_offer(1, "ingest")
    cluster.feed(ev.NodeError(first.node, first.id))
    cluster.wait(SECOND)
    second = cluster.actions_of(ev.SendOffer)[1]
    assert second.node != first.node
    cluster.feed(ev.NodeRunning(second.node, second.id))
    assert [type(x) for x in cluster.client_messages()] == [ev.TaskPlaced]


# Links


def test_an_offer_waits_for_its_node_s_link() -> None:
    cluster = World(nodes=1)
    cluster.feed(ev.LinkDown(1))
    cluster.request(1, "report")
    assert cluster.actions_of(ev.SendOffer) == [] and cluster.actions_of(ev.Dial)
    cluster.connect_link(1, 0, False)
    assert len(cluster.actions_of(ev.SendOffer)) == 1


def test_a_failed_dial_proves_that_the_task_did_not_run() -> None:
    cluster = World(nodes=1)
    cluster.feed(ev.LinkDown(1))
    cluster.request(1, "report", wait_us=2 * SECOND)
    cluster.feed(ev.DialFailed(1))
    cluster.wait(3 * SECOND)
    # A retry does no harm, because no offer was sent.
    assert [type(x) for x in cluster.client_messages()] == [ev.TaskShed]
    assert cluster.is_empty()


def test_an_attempt_ends_when_its_dial_times_out() -> None:
    cluster = World(nodes=1)
    cluster.feed(ev.LinkDown(1))
    cluster.request(1, "report", wait_us=2 * SECOND)
    cluster.wait(260 * MS)
    assert cluster.core.attempts.attempts == {}


def test_a_report_after_a_link_loss_settles_the_attempts_in_flight() -> None:
    cluster = World(nodes=3)
    sent, running, lost = (
        cluster.request_offer(1, "report"),
        cluster.request_running(2, "report"),
        cluster.request_running(3, "report"),
    )
    nodes = {sent.node, running.node, lost.node}
    cluster.actions.clear()
    for node in nodes:
        cluster.feed(ev.LinkDown(node))
    cluster.wait(300 * MS)
    for node in nodes:
        present = [o for o in (sent, running) if o.node == node]
        cluster.connect_node(node, held=[ev.NodeTask(o.id, o.task, True) for o in present])
    assert cluster.client_messages() == [
        ev.TaskEnded(3, 3, False, api.Reason.UNTOLD),
        ev.TaskPlaced(1, sent.node, 0, 300 * MS),
    ] or cluster.client_messages() == [
        ev.TaskPlaced(1, sent.node, 0, 300 * MS),
        ev.TaskEnded(3, 3, False, api.Reason.UNTOLD),
    ]


def test_attempts_are_lost_if_the_link_is_down_beyond_its_grace_period() -> None:
    cluster = World()
    sent, running = cluster.request_offer(1, "report"), cluster.request_running(2, "report")
    for node in {sent.node, running.node}:
        cluster.feed(ev.LinkDown(node))
    cluster.wait(999 * MS)
    assert cluster.client_messages(ev.TaskEnded) == [] and cluster.client_messages(ev.TaskFailed) == []
    cluster.wait(2 * MS)
    assert cluster.client_messages(ev.TaskEnded) == [ev.TaskEnded(2, 2, False, api.Reason.UNTOLD)]
    assert cluster.client_messages(ev.TaskFailed) == [ev.TaskFailed(1, True)]


def test_an_at_most_once_task_is_offered_again_if_its_offer_was_not_sent() -> None:
    cluster = World(nodes=2)
    offer = cluster.request_offer(1, "report")
    cluster.feed(ev.LinkDown(offer.node, frozenset({offer.id})))
    cluster.wait(SECOND)
    second = cluster.actions_of(ev.SendOffer)[1]
    assert second.id.attempt == 1 and second.node != offer.node


def test_a_restarted_node_has_lost_its_tasks() -> None:
    cluster = World()
    offer = cluster.request_running(1)
    cluster.feed(ev.LinkDown(offer.node))
    cluster.wait(100 * MS)
    cluster.connect_link(offer.node, 77, False)
    assert cluster.client_messages(ev.TaskEnded) == [ev.TaskEnded(1, 1, False, api.Reason.UNTOLD)]


def test_dials_of_a_node_back_off_and_do_not_overlap() -> None:
    cluster = World(nodes=1)
    cluster.feed(ev.LinkDown(1))
    gaps = []
    for _ in range(8):
        before = cluster.now
        while not cluster.actions_of(ev.Dial):
            cluster.wait(10 * MS)
        gaps.append(cluster.now - before)
        assert len(cluster.actions_of(ev.Dial)) == 1
        cluster.actions.clear()
        cluster.feed(ev.DialFailed(1))
    assert gaps[-1] >= SECOND and gaps[-1] <= 2 * SECOND + 10 * MS and gaps[1] < 500 * MS


# Drains and the node list


def test_an_offer_that_waits_for_a_link_is_not_sent_after_a_drain() -> None:
    cluster = World(nodes=1)
    cluster.feed(ev.LinkDown(1))
    cluster.request(1, "report")
    cluster.send_node_list(1, full=False, revision=2, status=api.NodeStatus.DRAINING)
    cluster.connect_link(1, 0, False)
    assert cluster.actions_of(ev.SendOffer) == []


def test_a_node_s_own_drain_report_overrides_an_older_ready_entry() -> None:
    cluster = World(nodes=1)
    cluster.feed(ev.NodeDraining(1))
    cluster.send_node_list(1, full=False, revision=2)  # the node list does not show the drain yet
    cluster.request(1)
    assert cluster.actions_of(ev.SendOffer) == []
    cluster.feed(ev.LinkDown(1))
    cluster.connect_node(1, started=99)  # another incarnation: the former drain report does not apply
    cluster.send_node_list(1, full=False, revision=3, started=99)
    cluster.wait(2 * SECOND)
    assert cluster.actions_of(ev.SendOffer)


def test_a_node_that_drains_when_its_link_comes_up_gets_no_offer() -> None:
    cluster = World(nodes=1)
    cluster.feed(ev.LinkDown(1))
    cluster.request(1, "report")
    cluster.connect_link(1, 0, True)
    assert cluster.actions_of(ev.SendOffer) == []


def test_the_full_node_list_is_requested_after_missed_changes() -> None:
    cluster = World()
    actions = cluster.feed(ev.NodeListReceived(9, 5, False, (cluster.node_entry(9),), 10**15))
    assert ev.WatchNodeList(True, 0) in actions and 9 not in cluster.core.links.links
    cluster.send_node_list(1, 9, revision=9)
    assert set(cluster.core.links.links) == set(cluster.core.node_list.entries) == {1, 9}


def test_an_older_revision_of_the_node_list_is_ignored() -> None:
    cluster = World(nodes=1)
    cluster.send_node_list(1, full=False, revision=2, status=api.NodeStatus.DRAINING)
    cluster.feed(ev.NodeListReceived(1, 0, False, (cluster.node_entry(1),), 10**15))
    cluster.request(1)
    assert cluster.actions_of(ev.SendOffer) == []


def test_a_node_s_start_time_is_computed_once() -> None:
    cluster = World(nodes=1)
    for revision in (2, 3):
        cluster.feed(
            ev.NodeListReceived(
                revision, revision - 1, False, (cluster.node_entry(1, started=10**15 - 500),), 10**15
            )
        )
        cluster.now += 7
    started_us = cluster.core.node_list.entries[1].started_us
    assert started_us == cluster.now - 14 - 500


def test_the_table_of_nodes_is_bounded() -> None:
    cluster = World(nodes=1, max_nodes=2)
    cluster.send_node_list(1, 2, 3, revision=2)
    assert set(cluster.core.links.links) == {1, 2}
    assert any(r.event.startswith("node not taken") for r in cluster.actions_of(ev.LogEvent))


def test_a_failed_watch_of_the_node_list_is_opened_again() -> None:
    cluster = World()
    cluster.feed(ev.NodeListFailed())
    cluster.wait(4 * SECOND)
    assert ev.WatchNodeList(True, 1) in cluster.actions_of(ev.WatchNodeList)


# Clients


def test_a_client_that_disconnects_leaves_nothing_open() -> None:
    cluster = World()
    open_offer, running = cluster.request_offer(1), cluster.request_running(2)
    cluster.actions.clear()
    cluster.feed(ev.ClientDisconnected(1))
    assert [(s.id, s.reason) for s in cluster.actions_of(ev.SendStop)] == [
        (open_offer.id, ev.StopReason.CANCELLED)
    ]
    assert cluster.core.requests.open_tasks == 0 and cluster.actions_of(ev.SendToClient) == []
    cluster.feed(ev.NodeRejected(open_offer.node, open_offer.id, api.Reason.NOT_HERE))
    assert list(cluster.core.attempts.attempts) == [running.id]  # the placed task keeps running
    cluster.feed(ev.ClientConnected(2, "o"))
    assert cluster.client_messages(session=2) == [ev.TaskRecovered(0, 2, running.node)]
    cluster.feed(ev.NodeEnded(running.node, running.id, api.Result.FINISHED, api.Reason.UNTOLD))
    assert cluster.client_messages(session=2)[1:] == [ev.TaskEnded(0, 2, True, api.Reason.UNTOLD)]
    assert cluster.is_empty()


def test_two_requests_for_one_task() -> None:
    cluster = World()
    offer = cluster.request_offer(1)
    cluster.request(2, key=1)
    (rejected,) = cluster.client_messages(ev.Rejected)
    assert (rejected.request, rejected.rejection.code, rejected.rejection.field) == (
        2,
        "ALREADY_EXISTS",
        "task.key",
    )
    cluster.feed(ev.NodeRunning(offer.node, offer.id))
    cluster.request(3, key=1)  # the task runs, so it is recovered and not placed again
    assert (
        cluster.client_messages()[-1] == ev.TaskRecovered(3, 1, offer.node)
        and len(cluster.actions_of(ev.SendOffer)) == 1
    )


def test_two_clients_may_use_the_same_key() -> None:
    cluster = World()
    cluster.feed(ev.ClientConnected(2, "other"))
    cluster.request(1)
    cluster.request(1, session=2, client="other")
    assert len(cluster.actions_of(ev.SendOffer)) == 2 and cluster.client_messages(ev.Rejected) == []


@pytest.mark.parametrize("after", ["request", "accepted", "running"])
def test_cancellation(after: str) -> None:
    cluster = World()
    offer = cluster.request_offer(1)
    if after != "request":
        cluster.feed(ev.NodeAccepted(offer.node, offer.id))
    if after == "running":
        cluster.feed(ev.NodeRunning(offer.node, offer.id))
    cluster.feed(ev.PlacementCancelled(1, 1))
    cluster.feed(ev.PlacementCancelled(1, 1))
    assert cluster.actions_of(ev.SendStop) == [ev.SendStop(offer.node, offer.id, ev.StopReason.CANCELLED)]
    if after == "running":
        cluster.feed(ev.NodeEnded(offer.node, offer.id, api.Result.CANCELLED, api.Reason.UNTOLD))
        assert cluster.client_messages(ev.TaskEnded) == [ev.TaskEnded(1, 1, False, api.Reason.UNTOLD)]
    else:
        cluster.feed(ev.NodeRunning(offer.node, offer.id))  # sent before the stop arrived
        cluster.feed(ev.NodeEnded(offer.node, offer.id, api.Result.CANCELLED, api.Reason.UNTOLD))
        assert cluster.client_messages() == []
    assert cluster.is_empty()


def test_a_cancellation_during_a_link_loss_is_sent_when_the_link_is_up() -> None:
    cluster = World(nodes=1)
    offer = cluster.request_running(1)
    cluster.feed(ev.LinkDown(1))
    cluster.feed(ev.PlacementCancelled(1, 1))
    assert cluster.actions_of(ev.SendStop) == []
    cluster.connect_node(1, held=[ev.NodeTask(offer.id, offer.task, True)])
    assert cluster.actions_of(ev.SendStop) == [ev.SendStop(1, offer.id, ev.StopReason.CANCELLED)]


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
    cluster = World()
    cluster.feed(ev.PlacementRequested(1, 1, replace(cluster.task_spec(1), **change), SECOND))
    (rejected,) = cluster.client_messages(ev.Rejected)
    assert (rejected.rejection.code, rejected.rejection.field) == ("INVALID_ARGUMENT", field)
    assert cluster.is_empty()


@pytest.mark.parametrize(
    ("request_number", "wait_us", "field"), [(0, SECOND, "ask"), (1, 0, "wait_us"), (1, 10**12, "wait_us")]
)
def test_rejections_name_an_invalid_request_number_or_wait(
    request_number: int, wait_us: int, field: str
) -> None:
    cluster = World()
    cluster.feed(ev.PlacementRequested(1, request_number, cluster.task_spec(1), wait_us))
    assert cluster.client_messages(ev.Rejected)[0].rejection.field == field


@pytest.mark.parametrize(
    ("bounds", "message"),
    [
        (Bounds(2, 60, 200, 60 * SECOND), "2 tasks are open at this planner"),
        (Bounds(100, 2, 200, 60 * SECOND), "2 tasks of this client are open at this planner"),
        (Bounds(100, 60, 2, 60 * SECOND), "2 attempts are in flight or running at this planner"),
    ],
)
def test_a_full_table_rejects_a_request_with_a_retry_delay(bounds: Bounds, message: str) -> None:
    cluster = World(bounds=bounds)
    for n in (1, 2):
        cluster.request_running(n) if bounds.attempts == 2 else cluster.request_offer(n)
    cluster.request(3)
    (rejected,) = cluster.client_messages(ev.Rejected)
    assert rejected.rejection.code == "RESOURCE_EXHAUSTED" and message in rejected.rejection.message
    assert rejected.rejection.retry_after_us > 0
    assert BOUNDS.open_tasks == 100


# Restart and shutdown


def test_a_restarted_planner_adopts_the_tasks_that_nodes_report() -> None:
    cluster = World(incarnation=8)
    cluster.feed(ev.LinkDown(1))
    cluster.actions.clear()
    cluster.connect_node(
        1,
        held=[
            held(cluster, 41),
            held(cluster, 42, "report", running=False),
            held(cluster, 43, client="else"),
        ],
    )
    assert cluster.client_messages() == [ev.TaskRecovered(0, 41, 1), ev.TaskRecovered(0, 42, 1)]
    cluster.request(1, "report", key=42)  # requested again: recovered, not placed again
    assert (
        cluster.client_messages()[-1] == ev.TaskRecovered(1, 42, 1) and cluster.actions_of(ev.SendOffer) == []
    )
    cluster.feed(ev.LinkDown(1))
    # Both tasks are reported for a second time, and counted once.
    cluster.connect_node(1, held=[held(cluster, 41), held(cluster, 42, "report")])
    assert len(cluster.core.attempts.attempts) == 2  # the node no longer reports task 43
    for key in (41, 42):
        cluster.feed(ev.NodeEnded(1, held(cluster, key).id, api.Result.FINISHED, api.Reason.UNTOLD))
    assert [x.key for x in cluster.client_messages(ev.TaskEnded)] == [41, 42] and cluster.is_empty()


def test_adopted_tasks_count_for_the_spread_limit() -> None:
    cluster = World(nodes=1, incarnation=8)
    cluster.connect_node(1, held=[held(cluster, 41, "apart")])
    cluster.request(1, "apart")
    assert cluster.actions_of(ev.SendOffer) == []


def test_a_reported_duplicate_of_a_placed_idempotent_task_is_stopped() -> None:
    cluster = World(nodes=2, incarnation=8)
    running = cluster.request_running(1)
    other = 3 - running.node
    cluster.connect_node(other, held=[held(cluster, 1)])
    assert cluster.actions_of(ev.SendStop) == [
        ev.SendStop(other, held(cluster, 1).id, ev.StopReason.ABANDONED)
    ]


def test_a_reported_task_of_an_unknown_class_is_neither_adopted_nor_stopped() -> None:
    cluster = World(nodes=1, incarnation=8)
    cluster.connect_node(1, held=[held(cluster, 41, "retired")])
    assert cluster.actions_of(ev.SendStop) == [] and cluster.core.attempts.attempts == {}


def test_shutdown_admits_nothing_new_and_concludes_open_requests() -> None:
    cluster = World(stop_grace_us=SECOND)
    running = cluster.request_offer(1)
    risky = cluster.request_offer(2, "report")
    cluster.feed(ev.ShutdownRequested())
    cluster.request(3)
    assert cluster.client_messages(ev.Rejected)[0].rejection.code == "UNAVAILABLE"
    cluster.feed(ev.NodeRunning(running.node, running.id))
    assert not cluster.core.finished
    cluster.wait(SECOND)
    assert cluster.client_messages(ev.TaskFailed) == [ev.TaskFailed(2, True)] and cluster.core.finished
    assert risky.id in cluster.core.attempts.attempts  # the shutdown does not stop the attempt


def test_time_does_not_go_back_with_the_clock() -> None:
    cluster = World()
    cluster.request_offer(1)
    time_before = cluster.core.context.now
    cluster.core.handle(time_before - 5 * SECOND, ev.TimerDue())
    assert cluster.core.context.now == time_before


def test_each_task_has_one_outcome_after_a_stall() -> None:
    """After a stall all timers are due at once; each task still has exactly one outcome."""
    cluster = World()
    for n in range(1, 20):
        cluster.request(n, "report", service=n, wait_us=(1 + n % 3) * SECOND)
    cluster.now += 30 * SECOND
    cluster.feed(ev.TimerDue())
    outcomes = [x.request for x in cluster.client_messages() if isinstance(x, (ev.TaskFailed, ev.TaskShed))]
    assert sorted(outcomes) == list(range(1, 20))


def test_ten_thousand_open_tasks_at_a_full_cluster() -> None:
    cluster = World(nodes=3, bounds=Bounds(20_000, 20_000, 20_000, 60 * SECOND))
    for n in range(1, 4):
        cluster.request_running(n, service=n, cores=16.0, memory=32.0)
    cluster.actions.clear()
    for n in range(10, 10_010):
        cluster.request(n, service=n, cores=4.0, memory=4.0, wait_us=3 * SECOND)
    assert cluster.core.requests.open_tasks == 10_000
    cluster.wait(4 * SECOND)
    assert len(cluster.client_messages(ev.TaskShed)) == 10_000 and cluster.core.requests.open_tasks == 0
    assert len(cluster.core.requests.placements) == 3


def test_the_number_of_simultaneous_dials_is_bounded() -> None:
    cluster = World(nodes=0, max_dials=4)
    cluster.send_node_list(*range(1, 31), revision=2)
    assert [d.node for d in cluster.actions_of(ev.Dial)] == [1, 2, 3, 4]
    cluster.connect_link(1, 0, False)
    cluster.feed(ev.DialFailed(2))
    assert [d.node for d in cluster.actions_of(ev.Dial)][4:] == [5, 6]
    cluster.send_node_list(*range(1, 20), revision=3)  # nodes 20 to 30 are unlisted before they are dialled
    for node in (3, 4, 5, 6):
        cluster.connect_link(node, 0, False)
    for _ in range(30):
        for node in {d.node for d in cluster.actions_of(ev.Dial)} - {
            n for n, x in cluster.core.links.links.items() if x.state.value == "up"
        }:
            cluster.connect_link(node, 0, False)
    ups = [n for n, link in cluster.core.links.links.items() if link.state.value == "up"]
    assert sorted(ups) == list(range(1, 20))
    assert max(d.node for d in cluster.actions_of(ev.Dial)) == 19

"""The core's states, each hard case by itself."""

from __future__ import annotations

from dataclasses import replace

import pytest
from world import BOUNDS, MS, SECOND, World, held

from stairplank import interface as api
from stairplank.planner import events as ev
from stairplank.planner.admission import Bounds
from stairplank.planner.offers import REPLY_RESERVE_TICKS

TICK = 10 * MS


def test_a_task_from_ask_to_end() -> None:
    w = World()
    offer = w.request_offer(1)
    w.feed(ev.NodeAccepted(offer.node, offer.id))
    assert w.client_messages() == []
    w.now += 40 * MS
    w.feed(ev.NodeRunning(offer.node, offer.id))
    w.feed(ev.NodeEnded(offer.node, offer.id, api.Result.FINISHED, api.Reason.UNTOLD))
    assert w.client_messages() == [
        ev.TaskPlaced(1, offer.node, 0, 40 * MS),
        ev.TaskEnded(1, 1, True, api.Reason.UNTOLD),
    ]
    assert w.client_messages(ev.Admitted) == [ev.Admitted(1, 1)] and len(w.client_messages(ev.Offered)) == 1
    assert w.is_empty()


def test_acceptance_binds_where_the_room_says_so() -> None:
    w = World(confirms_running=False)
    offer = w.request_offer(1)
    w.feed(ev.NodeAccepted(offer.node, offer.id))
    assert isinstance(w.client_messages()[0], ev.TaskPlaced)
    w.feed(ev.NodeRunning(offer.node, offer.id))
    w.feed(ev.NodeError(offer.node, offer.id))  # it broke later: the binding stands, the task is over
    assert w.client_messages()[1:] == [ev.TaskEnded(1, 1, False, api.Reason.UNTOLD)]
    assert w.is_empty()


def test_a_refusal_goes_elsewhere() -> None:
    w = World()
    first = w.request_offer(1)
    w.feed(ev.NodeRejected(first.node, first.id, api.Reason.NO_CORES))
    first_two = w.actions_of(ev.SendOffer)
    if len(first_two) == 1:  # the module may wait before it tries again
        w.wait(SECOND)
    second = w.actions_of(ev.SendOffer)[1]
    assert second.node != first.node and second.id.attempt == 1


def test_a_task_that_fits_nowhere_is_refused_before_its_owner_gives_up() -> None:
    w = World()
    w.request(1, cores=15.0)
    for n in (2, 3):
        w.request(n, cores=15.0)
    for offer in w.actions_of(ev.SendOffer):
        w.feed(ev.NodeRunning(offer.node, offer.id))
    w.request(4, cores=15.0, wait_us=3 * SECOND)
    asked = w.now
    w.wait(4 * SECOND)
    assert w.client_messages(ev.TaskShed)[0].request == 4
    assert w.now > asked


# Time-outs and what comes late


def test_no_word_in_time_fails_a_once_task_and_leaves_it_alone() -> None:
    w = World()
    offer = w.request_offer(1, "report")
    w.wait(6 * SECOND - REPLY_RESERVE_TICKS * TICK + MS)
    assert w.client_messages() == [ev.TaskFailed(1, True)]
    assert w.actions_of(ev.SendStop) == []  # if it runs after all, that is its one run
    w.feed(ev.NodeRunning(offer.node, offer.id))
    assert w.client_messages()[1:] == [ev.TaskRecovered(1, 1, offer.node)]
    w.feed(ev.NodeEnded(offer.node, offer.id, api.Result.FINISHED, api.Reason.UNTOLD))
    assert w.client_messages()[2:] == [ev.TaskEnded(1, 1, True, api.Reason.UNTOLD)]
    assert w.is_empty()


def test_a_late_copy_of_a_repeatable_task_is_called_back() -> None:
    w = World()
    offer = w.request_offer(1, wait_us=20 * SECOND)
    w.wait(5500 * MS)
    stops = w.actions_of(ev.SendStop)
    assert [s.reason for s in stops][0] is ev.StopReason.ABANDONED and stops[0].id == offer.id
    w.feed(ev.NodeRunning(offer.node, offer.id))
    assert ev.SendStop(offer.node, offer.id, ev.StopReason.ABANDONED) in w.actions_of(ev.SendStop)[1:]
    assert w.client_messages(ev.TaskRecovered) == []


def test_a_once_task_is_not_taken_again_while_a_copy_may_run() -> None:
    w = World()
    offer = w.request_offer(1, "report")
    w.wait(6 * SECOND)
    w.request(2, "report", key=1)
    (word,) = w.client_messages(ev.Rejected)
    assert word.rejection.code == "ABORTED" and word.rejection.retry_after_us > 0
    w.feed(ev.NodeRejected(offer.node, offer.id, api.Reason.NOT_HERE))  # now it is proven
    w.request(3, "report", key=1)
    assert len(w.actions_of(ev.SendOffer)) == 2


def test_a_hung_node_s_leftover_is_forgotten_in_bounded_time() -> None:
    w = World(abandoned_attempt_us=10 * SECOND)
    w.request_offer(1, "report")
    w.wait(17 * SECOND)
    assert w.is_empty()
    # Its word after that is answered by asking what the node holds, and the task is found.
    offer = w.actions_of(ev.SendOffer)[0]
    w.actions.clear()
    w.feed(ev.NodeRunning(offer.node, offer.id))
    assert w.actions_of(ev.RequestNodeTasks) == [ev.RequestNodeTasks(offer.node)]
    w.feed(ev.NodeTasksReported(offer.node, 0, (ev.NodeTask(offer.id, offer.task, True),)))
    assert w.client_messages() == [ev.TaskRecovered(0, 1, offer.node)]


def test_the_earlier_copy_of_a_keyed_task_is_stopped_once_the_later_is_bound() -> None:
    w = World(nodes=2)
    first = w.request_offer(1, "ingest")
    w.feed(ev.NodeError(first.node, first.id))
    w.wait(SECOND)
    second = w.actions_of(ev.SendOffer)[1]
    assert second.node != first.node
    w.feed(ev.NodeRunning(second.node, second.id))
    assert [type(x) for x in w.client_messages()] == [ev.TaskPlaced]


# Links


def test_offers_wait_for_a_link_and_are_unreachable_without_one() -> None:
    w = World(nodes=1)
    w.feed(ev.LinkDown(1))
    w.request(1, "report")
    assert w.actions_of(ev.SendOffer) == [] and w.actions_of(ev.Dial)
    w.connect_link(1, 0, False)
    assert len(w.actions_of(ev.SendOffer)) == 1


def test_a_dial_that_fails_proves_that_nothing_ran() -> None:
    w = World(nodes=1)
    w.feed(ev.LinkDown(1))
    w.request(1, "report", wait_us=2 * SECOND)
    w.feed(ev.DialFailed(1))
    w.wait(3 * SECOND)
    assert [type(x) for x in w.client_messages()] == [ev.TaskShed]  # a retry is harmless: no offer ever left
    assert w.is_empty()


def test_a_dial_that_hangs_is_given_up() -> None:
    w = World(nodes=1)
    w.feed(ev.LinkDown(1))
    w.request(1, "report", wait_us=2 * SECOND)
    w.wait(260 * MS)
    assert w.core.attempts.attempts == {}


def test_a_cut_link_that_comes_back_settles_what_was_under_way() -> None:
    w = World(nodes=3)
    waits, runs, gone = (
        w.request_offer(1, "report"),
        w.request_running(2, "report"),
        w.request_running(3, "report"),
    )
    lines = {waits.node, runs.node, gone.node}
    w.actions.clear()
    for node in lines:
        w.feed(ev.LinkDown(node))
    w.wait(300 * MS)
    for node in lines:
        here = [o for o in (waits, runs) if o.node == node]
        w.connect_node(node, held=[ev.NodeTask(o.id, o.task, True) for o in here])
    assert w.client_messages() == [
        ev.TaskEnded(3, 3, False, api.Reason.UNTOLD),
        ev.TaskPlaced(1, waits.node, 0, 300 * MS),
    ] or w.client_messages() == [
        ev.TaskPlaced(1, waits.node, 0, 300 * MS),
        ev.TaskEnded(3, 3, False, api.Reason.UNTOLD),
    ]


def test_a_link_that_stays_away_loses_what_was_under_way() -> None:
    w = World()
    waits, runs = w.request_offer(1, "report"), w.request_running(2, "report")
    for node in {waits.node, runs.node}:
        w.feed(ev.LinkDown(node))
    w.wait(999 * MS)
    assert w.client_messages(ev.TaskEnded) == [] and w.client_messages(ev.TaskFailed) == []
    w.wait(2 * MS)
    assert w.client_messages(ev.TaskEnded) == [ev.TaskEnded(2, 2, False, api.Reason.UNTOLD)]
    assert w.client_messages(ev.TaskFailed) == [ev.TaskFailed(1, True)]


def test_what_provably_never_left_is_no_risk() -> None:
    w = World(nodes=2)
    offer = w.request_offer(1, "report")
    w.feed(ev.LinkDown(offer.node, frozenset({offer.id})))
    w.wait(SECOND)
    second = w.actions_of(ev.SendOffer)[1]
    assert second.id.attempt == 1 and second.node != offer.node


def test_a_node_that_started_anew_has_lost_all() -> None:
    w = World()
    offer = w.request_running(1)
    w.feed(ev.LinkDown(offer.node))
    w.wait(100 * MS)
    w.connect_link(offer.node, 77, False)
    assert w.client_messages(ev.TaskEnded) == [ev.TaskEnded(1, 1, False, api.Reason.UNTOLD)]


def test_dials_back_off_and_are_one_at_a_time() -> None:
    w = World(nodes=1)
    w.feed(ev.LinkDown(1))
    gaps = []
    for _ in range(8):
        before = w.now
        while not w.actions_of(ev.Dial):
            w.wait(10 * MS)
        gaps.append(w.now - before)
        assert len(w.actions_of(ev.Dial)) == 1
        w.actions.clear()
        w.feed(ev.DialFailed(1))
    assert gaps[-1] >= SECOND and gaps[-1] <= 2 * SECOND + 10 * MS and gaps[1] < 500 * MS


# Drains and the list


def test_an_offer_that_waits_for_a_link_does_not_leave_after_a_drain() -> None:
    w = World(nodes=1)
    w.feed(ev.LinkDown(1))
    w.request(1, "report")
    w.send_node_list(1, full=False, revision=2, status=api.NodeStatus.DRAINING)
    w.connect_link(1, 0, False)
    assert w.actions_of(ev.SendOffer) == []


def test_a_node_s_own_word_beats_an_older_ready() -> None:
    w = World(nodes=1)
    w.feed(ev.NodeDraining(1))
    w.send_node_list(1, full=False, revision=2)  # the list is late
    w.request(1)
    assert w.actions_of(ev.SendOffer) == []
    w.feed(ev.LinkDown(1))
    w.connect_node(1, started=99)  # another life: its word is its own
    w.send_node_list(1, full=False, revision=3, started=99)
    w.wait(2 * SECOND)
    assert w.actions_of(ev.SendOffer)


def test_draining_at_the_hello_counts() -> None:
    w = World(nodes=1)
    w.feed(ev.LinkDown(1))
    w.request(1, "report")
    w.connect_link(1, 0, True)
    assert w.actions_of(ev.SendOffer) == []


def test_missed_changes_are_answered_by_the_whole_list() -> None:
    w = World()
    out = w.feed(ev.NodeListReceived(9, 5, False, (w.node_entry(9),), 10**15))
    assert ev.WatchNodeList(True, 0) in out and 9 not in w.core.links.links
    w.send_node_list(1, 9, revision=9)
    assert set(w.core.links.links) == set(w.core.node_list.entries) == {1, 9}


def test_an_older_word_of_the_list_is_passed_over() -> None:
    w = World(nodes=1)
    w.send_node_list(1, full=False, revision=2, status=api.NodeStatus.DRAINING)
    w.feed(ev.NodeListReceived(1, 0, False, (w.node_entry(1),), 10**15))
    w.request(1)
    assert w.actions_of(ev.SendOffer) == []


def test_a_node_s_start_is_worked_out_once() -> None:
    w = World(nodes=1)
    for revision in (2, 3):
        w.feed(
            ev.NodeListReceived(
                revision, revision - 1, False, (w.node_entry(1, started=10**15 - 500),), 10**15
            )
        )
        w.now += 7
    launched = w.core.node_list.entries[1].started_us
    assert launched == w.now - 14 - 500


def test_a_table_of_nodes_is_bounded() -> None:
    w = World(nodes=1, max_nodes=2)
    w.send_node_list(1, 2, 3, revision=2)
    assert set(w.core.links.links) == {1, 2}
    assert any(r.event.startswith("node not taken") for r in w.actions_of(ev.LogEvent))


def test_a_failed_list_is_asked_for_again() -> None:
    w = World()
    w.feed(ev.NodeListFailed())
    w.wait(4 * SECOND)
    assert ev.WatchNodeList(True, 1) in w.actions_of(ev.WatchNodeList)


# Owners


def test_an_owner_gone_in_the_middle_leaves_nothing_open() -> None:
    w = World()
    open_one, running = w.request_offer(1), w.request_running(2)
    w.actions.clear()
    w.feed(ev.ClientDisconnected(1))
    assert [(s.id, s.reason) for s in w.actions_of(ev.SendStop)] == [(open_one.id, ev.StopReason.CANCELLED)]
    assert w.core.requests.open_tasks == 0 and w.actions_of(ev.SendToClient) == []
    w.feed(ev.NodeRejected(open_one.node, open_one.id, api.Reason.NOT_HERE))
    assert list(w.core.attempts.attempts) == [running.id]  # what was placed runs on
    w.feed(ev.ClientConnected(2, "o"))
    assert w.client_messages(session=2) == [ev.TaskRecovered(0, 2, running.node)]
    w.feed(ev.NodeEnded(running.node, running.id, api.Result.FINISHED, api.Reason.UNTOLD))
    assert w.client_messages(session=2)[1:] == [ev.TaskEnded(0, 2, True, api.Reason.UNTOLD)]
    assert w.is_empty()


def test_two_asks_for_one_task() -> None:
    w = World()
    offer = w.request_offer(1)
    w.request(2, key=1)
    (word,) = w.client_messages(ev.Rejected)
    assert (word.request, word.rejection.code, word.rejection.field) == (2, "ALREADY_EXISTS", "task.key")
    w.feed(ev.NodeRunning(offer.node, offer.id))
    w.request(3, key=1)  # it runs: found, not placed anew
    assert (
        w.client_messages()[-1] == ev.TaskRecovered(3, 1, offer.node) and len(w.actions_of(ev.SendOffer)) == 1
    )


def test_two_owners_may_use_one_key() -> None:
    w = World()
    w.feed(ev.ClientConnected(2, "other"))
    w.request(1)
    w.request(1, session=2, client="other")
    assert len(w.actions_of(ev.SendOffer)) == 2 and w.client_messages(ev.Rejected) == []


@pytest.mark.parametrize("after", ["ask", "accepted", "running"])
def test_withdrawal(after: str) -> None:
    w = World()
    offer = w.request_offer(1)
    if after != "ask":
        w.feed(ev.NodeAccepted(offer.node, offer.id))
    if after == "running":
        w.feed(ev.NodeRunning(offer.node, offer.id))
    w.feed(ev.PlacementCancelled(1, 1))
    w.feed(ev.PlacementCancelled(1, 1))
    assert w.actions_of(ev.SendStop) == [ev.SendStop(offer.node, offer.id, ev.StopReason.CANCELLED)]
    if after == "running":
        w.feed(ev.NodeEnded(offer.node, offer.id, api.Result.CANCELLED, api.Reason.UNTOLD))
        assert w.client_messages(ev.TaskEnded) == [ev.TaskEnded(1, 1, False, api.Reason.UNTOLD)]
    else:
        w.feed(ev.NodeRunning(offer.node, offer.id))  # the words cross
        w.feed(ev.NodeEnded(offer.node, offer.id, api.Result.CANCELLED, api.Reason.UNTOLD))
        assert w.client_messages() == []
    assert w.is_empty()


def test_a_withdrawal_over_a_cut_is_said_again() -> None:
    w = World(nodes=1)
    offer = w.request_running(1)
    w.feed(ev.LinkDown(1))
    w.feed(ev.PlacementCancelled(1, 1))
    assert w.actions_of(ev.SendStop) == []
    w.connect_node(1, held=[ev.NodeTask(offer.id, offer.task, True)])
    assert w.actions_of(ev.SendStop) == [ev.SendStop(1, offer.id, ev.StopReason.CANCELLED)]


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
def test_invalid_fields_are_named(change: dict, field: str) -> None:
    w = World()
    w.feed(ev.PlacementRequested(1, 1, replace(w.task_spec(1), **change), SECOND))
    (word,) = w.client_messages(ev.Rejected)
    assert (word.rejection.code, word.rejection.field) == ("INVALID_ARGUMENT", field)
    assert w.is_empty()


@pytest.mark.parametrize(
    ("ask", "wait", "field"), [(0, SECOND, "ask"), (1, 0, "wait_us"), (1, 10**12, "wait_us")]
)
def test_invalid_asks_are_named(ask: int, wait: int, field: str) -> None:
    w = World()
    w.feed(ev.PlacementRequested(1, ask, w.task_spec(1), wait))
    assert w.client_messages(ev.Rejected)[0].rejection.field == field


@pytest.mark.parametrize(
    ("bounds", "what"),
    [
        (Bounds(2, 60, 200, 60 * SECOND), "2 tasks are open at this planner"),
        (Bounds(100, 2, 200, 60 * SECOND), "2 tasks of this client are open at this planner"),
        (Bounds(100, 60, 2, 60 * SECOND), "2 attempts are in flight or running at this planner"),
    ],
)
def test_tables_are_bounded_and_say_when_to_come_back(bounds: Bounds, what: str) -> None:
    w = World(bounds=bounds)
    for n in (1, 2):
        w.request_running(n) if bounds.attempts == 2 else w.request_offer(n)
    w.request(3)
    (word,) = w.client_messages(ev.Rejected)
    assert word.rejection.code == "RESOURCE_EXHAUSTED" and what in word.rejection.message
    assert word.rejection.retry_after_us > 0
    assert BOUNDS.open_tasks == 100


# Restart and leaving


def test_a_restarted_planner_adopts_what_its_nodes_hold() -> None:
    w = World(incarnation=8)
    w.feed(ev.LinkDown(1))
    w.actions.clear()
    w.connect_node(1, held=[held(w, 41), held(w, 42, "report", running=False), held(w, 43, client="else")])
    assert w.client_messages() == [ev.TaskRecovered(0, 41, 1), ev.TaskRecovered(0, 42, 1)]
    w.request(1, "report", key=42)  # its owner asks again: it is found, not placed anew
    assert w.client_messages()[-1] == ev.TaskRecovered(1, 42, 1) and w.actions_of(ev.SendOffer) == []
    w.feed(ev.LinkDown(1))
    w.connect_node(1, held=[held(w, 41), held(w, 42, "report")])  # told twice, counted once
    assert len(w.core.attempts.attempts) == 2  # 43 is no longer held
    for key in (41, 42):
        w.feed(ev.NodeEnded(1, held(w, key).id, api.Result.FINISHED, api.Reason.UNTOLD))
    assert [x.key for x in w.client_messages(ev.TaskEnded)] == [41, 42] and w.is_empty()


def test_adopted_tasks_count_for_the_spread() -> None:
    w = World(nodes=1, incarnation=8)
    w.connect_node(1, held=[held(w, 41, "apart")])
    w.request(1, "apart")
    assert w.actions_of(ev.SendOffer) == []


def test_a_held_copy_of_a_repeatable_task_that_is_placed_anew_is_stopped() -> None:
    w = World(nodes=2, incarnation=8)
    running = w.request_running(1)
    other = 3 - running.node
    w.connect_node(other, held=[held(w, 1)])
    assert w.actions_of(ev.SendStop) == [ev.SendStop(other, held(w, 1).id, ev.StopReason.ABANDONED)]


def test_a_held_task_of_an_unknown_class_is_left_alone() -> None:
    w = World(nodes=1, incarnation=8)
    w.connect_node(1, held=[held(w, 41, "retired")])
    assert w.actions_of(ev.SendStop) == [] and w.core.attempts.attempts == {}


def test_leaving_takes_nothing_new_and_answers_what_is_owed() -> None:
    w = World(stop_grace_us=SECOND)
    running = w.request_offer(1)
    risky = w.request_offer(2, "report")
    w.feed(ev.ShutdownRequested())
    w.request(3)
    assert w.client_messages(ev.Rejected)[0].rejection.code == "UNAVAILABLE"
    w.feed(ev.NodeRunning(running.node, running.id))
    assert not w.core.finished
    w.wait(SECOND)
    assert w.client_messages(ev.TaskFailed) == [ev.TaskFailed(2, True)] and w.core.finished
    assert risky.id in w.core.attempts.attempts  # what runs, runs on


def test_a_clock_that_goes_back_is_no_time_at_all() -> None:
    w = World()
    w.request_offer(1)
    later = w.core.context.now
    w.core.handle(later - 5 * SECOND, ev.TimerDue())
    assert w.core.context.now == later


def test_a_stall_is_one_late_batch() -> None:
    """After a stall everything is due at once; each task still has exactly one outcome."""
    w = World()
    for n in range(1, 20):
        w.request(n, "report", service=n, wait_us=(1 + n % 3) * SECOND)
    w.now += 30 * SECOND
    w.feed(ev.TimerDue())
    outcomes = [x.request for x in w.client_messages() if isinstance(x, (ev.TaskFailed, ev.TaskShed))]
    assert sorted(outcomes) == list(range(1, 20))


def test_ten_thousand_held_tasks_at_a_full_fleet() -> None:
    w = World(nodes=3, bounds=Bounds(20_000, 20_000, 20_000, 60 * SECOND))
    for n in range(1, 4):
        w.request_running(n, service=n, cores=16.0, memory=32.0)
    w.actions.clear()
    for n in range(10, 10_010):
        w.request(n, service=n, cores=4.0, memory=4.0, wait_us=3 * SECOND)
    assert w.core.requests.open_tasks == 10_000
    w.wait(4 * SECOND)
    assert len(w.client_messages(ev.TaskShed)) == 10_000 and w.core.requests.open_tasks == 0
    assert len(w.core.requests.placements) == 3


def test_a_whole_new_fleet_is_dialled_a_few_at_a_time() -> None:
    w = World(nodes=0, max_dials=4)
    w.send_node_list(*range(1, 31), revision=2)
    assert [d.node for d in w.actions_of(ev.Dial)] == [1, 2, 3, 4]
    w.connect_link(1, 0, False)
    w.feed(ev.DialFailed(2))
    assert [d.node for d in w.actions_of(ev.Dial)][4:] == [5, 6]
    w.send_node_list(*range(1, 20), revision=3)  # some leave before their turn has come
    for node in (3, 4, 5, 6):
        w.connect_link(node, 0, False)
    for _ in range(30):
        for node in {d.node for d in w.actions_of(ev.Dial)} - {
            n for n, x in w.core.links.links.items() if x.state.value == "up"
        }:
            w.connect_link(node, 0, False)
    ups = [n for n, link in w.core.links.links.items() if link.state.value == "up"]
    assert sorted(ups) == list(range(1, 20))
    assert max(d.node for d in w.actions_of(ev.Dial)) == 19

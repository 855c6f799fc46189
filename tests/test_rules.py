"""Tests of the decision module alone: the five rules, the counting of binds, restarts and node health."""

from dataclasses import replace

import pytest
from helpers import CLASSES, SECOND, SETTINGS, PlannerHarness, binds, node_entry, single_bind

from stairplank.decisions.hashing import splitmix64
from stairplank.decisions.list_delay import INITIAL_LIST_DELAY_US, MAX_LIST_DELAY_US
from stairplank.decisions.partition import partition_of
from stairplank.decisions.slow_start import RESTART_UNCERTAINTY, SLOW_START_MAX_UNANSWERED, slow_start_turn
from stairplank.interface import (
    Bind,
    Fail,
    HealthCheck,
    HealthChecked,
    ListKind,
    NodeList,
    NodeStatus,
    Reason,
    Result,
    SetTimer,
    Shed,
    Started,
    StatusKind,
    StatusUpdate,
    StopAttempt,
    TaskAdopted,
    TaskCancelled,
    TaskRequested,
    TimerFired,
    WatchNodeList,
)


def fire_due(harness: PlannerHarness, until: int) -> list:
    """Fire the planner's timers that are due up to ``until``, in order; returns the resulting actions."""
    actions: list = []
    fired: set[int] = set()
    while True:
        due = [
            a
            for a in harness.actions
            if isinstance(a, SetTimer) and a.token not in fired and a.at_us <= until
        ]
        if not due:
            return actions
        timer = min(due, key=lambda a: (a.at_us, a.token))
        fired.add(timer.token)
        harness.now = max(harness.now, timer.at_us)
        actions += harness.feed(TimerFired(timer.token))


# Rule 1: every task is answered by its deadline


def test_a_queued_task_is_shed_before_its_deadline() -> None:
    harness = PlannerHarness(nodes=0)
    task = harness.task(1)
    assert not binds(harness.request(1))
    answers = [
        a for a in fire_due(harness, task.expires_us - SETTINGS.tick_us) if isinstance(a, (Shed, Fail))
    ]
    assert len(answers) == 1 and isinstance(answers[0], Shed)


def test_a_timeout_at_the_deadline_fails_the_task() -> None:
    harness = PlannerHarness()
    bind = single_bind(harness.request(1, class_index=2))
    assert Fail(1) in harness.report_outcome(bind, Result.TIMEOUT, after=8 * SECOND)


def test_a_task_without_an_outcome_is_failed_within_the_answer_slack() -> None:
    harness = PlannerHarness()
    task = harness.task(1, 2)
    harness.request(1, class_index=2)
    assert Fail(1) in fire_due(harness, task.expires_us + SETTINGS.answer_slack_us)
    assert harness.now <= task.expires_us + SETTINGS.answer_slack_us


def test_a_withdrawn_task_gets_no_bind_and_no_answer() -> None:
    harness = PlannerHarness(nodes=0)
    harness.request(1)
    harness.feed(TaskCancelled(1))
    harness.send_node_list(node_entry(0), kind=ListKind.FULL)
    assert not [a for a in fire_due(harness, harness.now + 9 * SECOND) if isinstance(a, (Bind, Shed, Fail))]


# Rule 2: no retry that could run a task twice with harm


def test_an_at_most_once_task_is_failed_once_an_attempt_may_have_run() -> None:
    harness = PlannerHarness()
    bind = single_bind(harness.request(1, class_index=2))
    assert harness.report_outcome(bind, Result.ERROR) == [Fail(1)]


def test_an_at_most_once_task_is_retried_elsewhere_if_the_attempt_never_ran() -> None:
    harness = PlannerHarness()
    bind = single_bind(harness.request(1, class_index=2))
    assert single_bind(harness.report_outcome(bind, Result.UNREACHABLE)).node != bind.node


def test_a_task_idempotent_by_key_is_retried_only_in_its_scope_and_window() -> None:
    harness = PlannerHarness()
    bind = single_bind(harness.request(1, class_index=1))
    second = single_bind(harness.report_outcome(bind, Result.ERROR))
    assert second.node != bind.node and second.node // 3 == bind.node // 3
    late = harness.report_outcome(second, Result.UNREACHABLE, attempt=1, after=4 * SECOND)
    assert late == [Fail(1)]


def test_only_tasks_idempotent_at_every_node_get_a_short_timeout() -> None:
    harness = PlannerHarness()
    assert single_bind(harness.request(1, class_index=1)).timeout_us == 0
    assert single_bind(harness.request(2, class_index=2)).timeout_us == 0
    for n in range(10, 40):  # quick starts lower the mean time to an answer
        harness.report_placed(single_bind(harness.request(n, cores=0.1, memory=0.1)))
    assert 0 < single_bind(harness.request(3, class_index=0)).timeout_us < CLASSES[0].deadline_us


# Rule 3: no offers to draining or unlisted nodes


def test_draining_and_unlisted_nodes_get_no_binds() -> None:
    harness = PlannerHarness(nodes=3)
    harness.send_node_list(node_entry(0, status=NodeStatus.DRAINING))
    harness.send_node_list(node_entry(1, status=NodeStatus.GONE))
    assert {single_bind(harness.request(n)).node for n in range(10, 20)} == {2}
    harness.send_node_list(node_entry(0), kind=ListKind.FULL)  # without node 2, which is removed
    assert {single_bind(harness.request(n)).node for n in range(20, 24)} == {0}


def test_a_node_that_sends_tasks_away_counts_as_draining() -> None:
    harness = PlannerHarness(nodes=1)
    bind = single_bind(harness.request(1))
    harness.report_placed(bind)
    harness.report_outcome(bind, Result.LOST, is_final=True, reason=Reason.SENT_AWAY)
    assert not binds(harness.request(2))


def test_a_failed_node_list_watch_is_retried() -> None:
    harness = PlannerHarness()
    harness.feed(NodeList(ListKind.FAILED))
    assert WatchNodeList() in fire_due(harness, harness.now + SETTINGS.poll_within_us)


# Rule 4: a cold node gets a limited number of offers


def test_a_cold_node_gets_few_binds_whatever_their_outcome() -> None:
    harness = PlannerHarness(nodes=0)
    harness.send_node_list(node_entry(0, started_us=harness.now + 1), kind=ListKind.FULL, after=1)
    sent = sum(len(binds(harness.request(n))) for n in range(40))
    assert sent == SLOW_START_MAX_UNANSWERED
    share = SETTINGS.slow_start_offers / SETTINGS.planners
    offers = [a for a in harness.actions if isinstance(a, Bind)]
    for n in range(40, 80):  # outcomes allow further unanswered binds, but the window's budget stays
        for bind in offers:
            attempt = sum(1 for a in harness.actions[: harness.actions.index(bind)] if a == bind)
            harness.report_outcome(bind, Result.REJECTED, attempt, after=1000, reason=Reason.NOT_HERE)
        offers = binds(harness.request(n))
    assert len([a for a in harness.actions if isinstance(a, Bind)]) <= share


def test_a_cold_node_gets_more_unanswered_binds_as_it_warms_up() -> None:
    harness = PlannerHarness(nodes=0, slow_start_offers=100.0)
    harness.send_node_list(node_entry(0, started_us=harness.now + 1), kind=ListKind.FULL, after=1)
    early = sum(len(binds(harness.request(n))) for n in range(12))
    harness.now += SETTINGS.slow_start_us * 3 // 4
    assert sum(len(binds(harness.request(n, cores=0.1, memory=0.1))) for n in range(20, 40)) > early


def count_rejected_offers(harness: PlannerHarness, first: int, count: int) -> int:
    """Request and withdraw ``count`` tasks, reject each offer at once; returns the number of offers."""
    sent = 0
    for number in range(first, first + count):
        for bind in binds(harness.request(number, cores=0.01, memory=0.01)):
            harness.report_outcome(bind, Result.REJECTED, after=0, is_final=True, reason=Reason.NOT_HERE)
            sent += 1
        harness.feed(TaskCancelled(number))
    return sent


@pytest.mark.parametrize("kind", [ListKind.CHANGES, ListKind.FULL])
def test_a_cold_node_that_is_unlisted_and_relisted_gets_no_second_share_of_offers(kind: ListKind) -> None:
    harness = PlannerHarness(nodes=0)
    start = harness.now + 1
    harness.send_node_list(node_entry(0, started_us=start), kind=ListKind.FULL, after=1)
    assert count_rejected_offers(harness, 0, 40) > 0
    harness.send_node_list(
        *([node_entry(0, status=NodeStatus.GONE)] if kind is ListKind.CHANGES else []), kind=kind, after=1000
    )
    # The reported start time of a node varies slightly.
    harness.send_node_list(node_entry(0, started_us=start + 200), after=1000)
    assert count_rejected_offers(harness, 100, 40) == 0
    harness.send_node_list(node_entry(0, started_us=start), after=SETTINGS.overload_window_us)
    assert count_rejected_offers(harness, 200, 40) > 0


def test_an_unresponsive_node_counts_as_cold_until_the_list_would_show_a_restart() -> None:
    harness = PlannerHarness(nodes=1)
    harness.report_outcome(single_bind(harness.request(1)), Result.UNREACHABLE, is_final=True)
    harness.now += 3 * SECOND  # the ejection is over
    share = SETTINGS.slow_start_offers / SETTINGS.planners
    assert 0 < count_rejected_offers(harness, 100, 40) <= share
    harness.now += int(RESTART_UNCERTAINTY * INITIAL_LIST_DELAY_US)
    assert count_rejected_offers(harness, 200, 40) == 40


def test_a_node_that_never_answers_again_does_not_count_as_cold_forever() -> None:
    harness = PlannerHarness(nodes=1, slow_start_offers=0.0)  # no offers allowed, so no answer can arrive
    harness.report_outcome(single_bind(harness.request(1)), Result.UNREACHABLE, is_final=True)
    assert count_rejected_offers(harness, 100, 5) == 0
    harness.now += min(MAX_LIST_DELAY_US, SETTINGS.slow_start_us)
    assert count_rejected_offers(harness, 200, 5) > 0
    harness.now += int(RESTART_UNCERTAINTY * INITIAL_LIST_DELAY_US)  # counted from the node's answer
    assert count_rejected_offers(harness, 300, 5) == 5


@pytest.mark.parametrize("planners", [1, 3, 60, 350])
@pytest.mark.parametrize("budget", [0, 1, 25, 400])
def test_shares_of_all_planners_at_a_cold_node_add_up_to_the_budget(planners: int, budget: int) -> None:
    for slot in range(30):
        turns = [slow_start_turn(slot, position, planners, budget) for position in range(planners)]
        assert sum(turns) == budget and max(turns) - min(turns) <= 1
    if budget:  # each planner gets an offer within enough slots
        slots = range(-(-planners // budget) + 1)
        assert all(sum(slow_start_turn(s, p, planners, budget) for s in slots) for p in range(planners))


@pytest.mark.parametrize("planners", [1, 3, 350])
def test_all_planners_together_keep_a_cold_node_within_its_limit_in_every_window(planners: int) -> None:
    """Rejected offers count towards the limit, and half of the planners restart during the slow start."""
    max_offers, start = 60.0, 100 * SECOND + 1
    harnesses = [
        PlannerHarness(
            nodes=0, planners=planners, position=p, slow_start_offers=max_offers, slow_start_us=6 * SECOND
        )
        for p in range(planners)
    ]
    sends: list[int] = []
    for step in range(60):
        now = start + step * SECOND // 10
        for p, harness in enumerate(harnesses):
            if step in (0, 25) and (step == 0 or p % 2):
                restarted = PlannerHarness(
                    nodes=0,
                    planners=planners,
                    position=p,
                    slow_start_offers=max_offers,
                    slow_start_us=6 * SECOND,
                )
                harness.planner, harness.now = restarted.planner, now - 1
                if step:
                    harness.planner.handle(now - 1, Started())
                harness.send_node_list(node_entry(9, started_us=start), kind=ListKind.FULL)
            harness.now = now
            for index in range(3 if planners > 3 else 60):
                for bind in binds(harness.request(1000 * step + index, cores=0.01, memory=0.01)):
                    sends.append(now)
                    harness.report_outcome(
                        bind, Result.REJECTED, after=0, is_final=True, reason=Reason.NOT_HERE
                    )
                harness.feed(TaskCancelled(1000 * step + index))
    assert sends, "the cold node got no offers"
    for first in sends:
        assert sum(first <= at < first + SETTINGS.overload_window_us for at in sends) <= max_offers


# Rule 5: spread limits


def test_spread_counts_pending_placed_and_adopted_tasks() -> None:
    harness = PlannerHarness(nodes=6)
    harness.feed(TaskAdopted(harness.task(100, 3), 0))
    harness.feed(TaskAdopted(harness.task(101, 3), 3))
    placed = [single_bind(harness.request(n, class_index=3)) for n in range(4)]
    assert all(b.node % 3 != 0 for b in placed)
    assert not binds(harness.request(9, class_index=3))


def test_only_an_outcome_frees_a_place_under_the_spread_limit() -> None:
    harness = PlannerHarness(nodes=1)
    first, second = (
        single_bind(harness.request(1, class_index=3)),
        single_bind(harness.request(2, class_index=3)),
    )
    harness.report_placed(first)
    harness.feed(TaskCancelled(2))
    assert not binds(harness.request(3, class_index=3))
    harness.report_outcome(second, Result.CANCELLED, is_final=True)
    assert fire_due(harness, harness.now + SECOND // 2)


# Counting of own binds against the node list


def requested_cores(harness: PlannerHarness, node: int) -> float:
    return harness.planner.table.nodes[node].requested()[0]


def test_a_bind_is_counted_once_before_and_after_the_list_shows_it() -> None:
    harness = PlannerHarness(nodes=1)
    bind = single_bind(harness.request(1))
    assert requested_cores(harness, 0) == 1.0
    harness.report_placed(bind)
    assert requested_cores(harness, 0) == 1.0
    harness.send_node_list(node_entry(0, free_cores=15.0, free_memory=30.0), after=2 * SECOND)
    assert requested_cores(harness, 0) == 1.0
    harness.report_outcome(bind, Result.FINISHED, is_final=True)
    assert requested_cores(harness, 0) == 0.0
    harness.send_node_list(node_entry(0), after=2 * SECOND)
    assert requested_cores(harness, 0) == 0.0


def test_a_bind_to_a_new_incarnation_counts_even_if_sent_before_the_list_shows_the_restart() -> None:
    harness = PlannerHarness(nodes=1)
    old = single_bind(harness.request(1))
    harness.report_placed(old)
    start = harness.now + SECOND // 2
    new = single_bind(harness.request(2, service=6, after=SECOND))
    harness.report_placed(new)
    harness.send_node_list(node_entry(0, started_us=start), after=SECOND // 2)
    node = harness.planner.table.nodes[0]
    assert [a.task.id for a in node.attempts.values()] == [2]
    assert dict(node.services) == {6: 1}
    assert node.requested()[0] == 1.0  # the bind is not in the list yet
    harness.report_outcome(new, Result.FINISHED, is_final=True)
    assert not node.attempts and not node.services


def test_a_rejected_bind_and_a_restart_leave_no_requested_cores() -> None:
    harness = PlannerHarness(nodes=1)
    harness.report_outcome(single_bind(harness.request(1)), Result.REJECTED, reason=Reason.NOT_HERE)
    assert requested_cores(harness, 0) == 0.0
    harness.feed(TaskCancelled(1))
    bind = single_bind(harness.request(2))
    harness.report_placed(bind)
    harness.send_node_list(node_entry(0, started_us=harness.now + SECOND), after=2 * SECOND)
    harness.report_outcome(bind, Result.LOST, is_final=True)
    assert requested_cores(harness, 0) == 0.0


def test_a_load_report_replaces_older_free_amounts() -> None:
    harness = PlannerHarness(nodes=1, report_fields=("free_cores", "free_memory"), may_check_health=True)
    assert HealthCheck(0) in harness.request(1)
    harness.feed(HealthChecked(0, True, 1000, (10.0, 20.0)), after=3 * SECOND)
    assert requested_cores(harness, 0) == 6.0


# Node health and ejection


def test_a_node_that_fails_fast_is_ejected() -> None:
    harness = PlannerHarness(nodes=2)
    bind = single_bind(harness.request(1))
    other = single_bind(harness.report_outcome(bind, Result.ERROR))
    assert {single_bind(harness.request(n)).node for n in range(2, 8)} == {other.node}


def test_errors_of_a_task_that_fails_at_two_nodes_eject_neither() -> None:
    harness = PlannerHarness(nodes=3)
    nodes = harness.planner.table.nodes
    first = single_bind(harness.request(1))
    second = single_bind(harness.report_outcome(first, Result.ERROR))
    assert nodes[first.node].health.is_ejected(harness.now)
    third = single_bind(harness.report_outcome(second, Result.ERROR, attempt=1))
    assert not any(node.health.is_ejected(harness.now) for node in nodes.values())
    harness.report_outcome(third, Result.ERROR, attempt=2)
    assert not any(
        node.health.is_ejected(harness.now) or node.health.consecutive_failures for node in nodes.values()
    )


def test_an_error_of_another_task_still_ejects_the_node() -> None:
    harness = PlannerHarness(nodes=3)
    bind = single_bind(harness.request(1))
    node = harness.planner.table.nodes[bind.node]
    node.health.record_error(77, harness.now)  # error of another task at the same time
    second = single_bind(harness.report_outcome(bind, Result.ERROR))
    harness.report_outcome(second, Result.ERROR, attempt=1)
    assert node.health.is_ejected(harness.now) and node.health.consecutive_failures == 1.0
    assert not node.health.is_ejected(harness.now + SECOND)


def test_acceptance_without_a_start_does_not_offset_failures() -> None:
    harness = PlannerHarness(nodes=1, confirms_running=False)
    harness.report_outcome(single_bind(harness.request(1)), Result.ERROR)
    harness.feed(TaskCancelled(1))
    bind = single_bind(harness.request(2, after=2 * SECOND))
    node = harness.planner.table.nodes[0]
    harness.report_placed(bind)
    assert node.health.consecutive_failures == 1.0
    harness.feed(StatusUpdate(2, 0, 0, StatusKind.RUNNING, 0.0))
    assert node.health.consecutive_failures < 1.0


def test_a_rejection_for_lack_of_cores_holds_for_tasks_as_large_until_it_expires() -> None:
    harness = PlannerHarness(nodes=1)
    harness.report_outcome(single_bind(harness.request(1)), Result.REJECTED, reason=Reason.NO_CORES)
    assert not binds(harness.request(2))
    assert binds(harness.request(3, cores=0.5))
    assert binds(harness.request(4, after=2 * SECOND))


# Node selection


def test_a_full_home_partition_sends_tasks_away_and_an_empty_one_counts_as_full() -> None:
    harness = PlannerHarness(nodes=8, cores_limit=2.5)
    home = [n for n in range(8) if partition_of(n, 2) == 0]
    assert 0 < len(home) < 8
    harness.send_node_list(*(node_entry(n, free_cores=-8.0) for n in home), after=2 * SECOND)
    home_service = next(s for s in range(99) if splitmix64(s) % 2 == 0)  # hashes to the home partition
    assert single_bind(harness.request(1, service=home_service)).node not in home
    harness = PlannerHarness(nodes=0)
    harness.send_node_list(*(node_entry(n) for n in home), kind=ListKind.FULL)
    assert single_bind(harness.request(2)).node in home


def test_every_planner_selects_the_same_node_for_a_service() -> None:
    harnesses = [PlannerHarness(nodes=60, planners=350, position=p) for p in (0, 7, 349)]
    for service in range(20):
        assert len({single_bind(w.request(service, service=service)).node for w in harnesses}) == 1


def test_a_service_moves_from_a_full_node_to_a_less_loaded_one() -> None:
    harness = PlannerHarness(nodes=60, planners=350)
    selected = single_bind(harness.request(1)).node
    harness.send_node_list(node_entry(selected, free_cores=0.5), after=3 * SECOND)
    assert single_bind(harness.request(2)).node != selected


def test_same_seed_same_actions() -> None:
    def run() -> list:
        harness = PlannerHarness()
        for n in range(30):
            harness.request(n, after=1000)
        return harness.actions

    assert run() == run()


def test_unexpected_but_valid_events_change_nothing() -> None:
    harness = PlannerHarness(nodes=2)
    bind = single_bind(harness.request(1))
    harness.report_placed(bind)
    before = requested_cores(harness, bind.node)
    assert not harness.feed(TimerFired(12345))
    assert not harness.report_outcome(Bind(99, 77), Result.FINISHED)
    assert not harness.report_placed(bind)
    harness.send_node_list(node_entry(0), node_entry(1), kind=ListKind.FULL)
    harness.feed(TaskAdopted(harness.task(50), 999))
    assert requested_cores(harness, bind.node) == before
    assert not [a for a in harness.actions if isinstance(a, StopAttempt)]


def test_an_unresponsive_node_gets_health_checks_and_no_task_until_one_succeeds() -> None:
    harness = PlannerHarness(nodes=1, may_check_health=True)
    bind = single_bind(harness.request(1))
    assert HealthCheck(0) in harness.report_outcome(bind, Result.UNREACHABLE)
    harness.feed(TaskCancelled(1))
    # Time alone does not end the exclusion of an unresponsive node.
    assert not binds(harness.request(2, after=30 * SECOND))
    harness.feed(TaskCancelled(2))
    harness.feed(HealthChecked(0, False, 250_000))
    assert HealthCheck(0) in fire_due(harness, harness.now + 9 * SECOND)
    assert not binds(harness.request(3))
    harness.feed(HealthChecked(0, True, 1000))
    assert binds(harness.request(4))


def test_a_class_rejected_without_a_reason_is_paused_at_that_node_alone() -> None:
    harness = PlannerHarness(nodes=1)
    harness.report_outcome(single_bind(harness.request(1)), Result.REJECTED, reason=Reason.UNTOLD)
    assert not binds(harness.request(2))
    assert single_bind(harness.request(3, class_index=2)).node == 0
    assert binds(harness.request(4, after=10 * SECOND))


def test_the_third_attempt_after_rejections_waits() -> None:
    harness = PlannerHarness(nodes=4)
    second = single_bind(
        harness.report_outcome(single_bind(harness.request(1)), Result.REJECTED, reason=Reason.NO_CORES)
    )
    assert not binds(harness.report_outcome(second, Result.REJECTED, attempt=1, reason=Reason.NO_CORES))
    assert binds(fire_due(harness, harness.now + SECOND))


def test_a_resubmitted_task_leaves_the_reserve_to_tasks_that_can_start_in_time() -> None:
    harness = PlannerHarness(nodes=1)
    harness.send_node_list(node_entry(0, free_cores=3.0), after=2 * SECOND)
    late = replace(harness.task(1), resubmitted=True)
    assert not binds(harness.feed(TaskRequested(late)))
    assert binds(harness.request(2))


def test_a_node_under_memory_pressure_is_ejected() -> None:
    harness = PlannerHarness(nodes=1)
    bind = single_bind(harness.request(1))
    harness.report_placed(bind)
    harness.feed(StatusUpdate(1, 0, 0, StatusKind.NODE_MEMORY_SHARE, 0.97))
    assert not binds(harness.request(2))
    assert binds(harness.request(3, after=2 * SECOND))

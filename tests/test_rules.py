"""Each rule's guard, the counting of binds and restarts, on the module alone."""

from dataclasses import replace

import pytest
from helpers import CLASSES, SECOND, SETTINGS, World, bind_of, binds, entry

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


def fire_due(world: World, until: int) -> list:
    """Fire every timer the planner set, in order, up to ``until``."""
    out: list = []
    fired: set[int] = set()
    while True:
        due = [a for a in world.done if isinstance(a, SetTimer) and a.token not in fired and a.at_us <= until]
        if not due:
            return out
        timer = min(due, key=lambda a: (a.at_us, a.token))
        fired.add(timer.token)
        world.now = max(world.now, timer.at_us)
        out += world.feed(TimerFired(timer.token))


# Rule 1


def test_a_held_task_is_refused_before_its_deadline() -> None:
    world = World(nodes=0)
    task = world.task(1)
    assert not binds(world.ask(1))
    answers = [a for a in fire_due(world, task.expires_us - SETTINGS.tick_us) if isinstance(a, (Shed, Fail))]
    assert len(answers) == 1 and isinstance(answers[0], Shed)


def test_a_timeout_at_the_deadline_still_gets_an_answer() -> None:
    world = World()
    bind = bind_of(world.ask(1, class_index=2))
    assert Fail(1) in world.ends(bind, Result.TIMEOUT, after=8 * SECOND)


def test_silence_past_the_deadline_is_answered_within_the_slack() -> None:
    world = World()
    task = world.task(1, 2)
    world.ask(1, class_index=2)
    assert Fail(1) in fire_due(world, task.expires_us + SETTINGS.answer_slack_us)
    assert world.now <= task.expires_us + SETTINGS.answer_slack_us


def test_a_withdrawn_task_is_left_alone() -> None:
    world = World(nodes=0)
    world.ask(1)
    world.feed(TaskCancelled(1))
    world.list(entry(0), kind=ListKind.FULL)
    assert not [a for a in fire_due(world, world.now + 9 * SECOND) if isinstance(a, (Bind, Shed, Fail))]


# Rule 2


def test_a_task_that_must_not_run_twice_is_failed_once_it_may_have_run() -> None:
    world = World()
    bind = bind_of(world.ask(1, class_index=2))
    assert world.ends(bind, Result.ERROR) == [Fail(1)]


def test_it_goes_elsewhere_when_the_attempt_is_proved_not_run() -> None:
    world = World()
    bind = bind_of(world.ask(1, class_index=2))
    assert bind_of(world.ends(bind, Result.UNREACHABLE)).node != bind.node


def test_a_keyed_task_stays_in_its_group_and_window() -> None:
    world = World()
    bind = bind_of(world.ask(1, class_index=1))
    again = bind_of(world.ends(bind, Result.ERROR))
    assert again.node != bind.node and again.node // 3 == bind.node // 3
    late = world.ends(again, Result.UNREACHABLE, attempt=1, after=4 * SECOND)
    assert late == [Fail(1)]


def test_attempts_that_may_be_repeated_only_at_one_place_get_no_short_timeout() -> None:
    world = World()
    assert bind_of(world.ask(1, class_index=1)).timeout_us == 0
    assert bind_of(world.ask(2, class_index=2)).timeout_us == 0
    for n in range(10, 40):  # once starts are known to be quick, others get one
        world.placed(bind_of(world.ask(n, cores=0.1, memory=0.1)))
    assert 0 < bind_of(world.ask(3, class_index=0)).timeout_us < CLASSES[0].deadline_us


# Rule 3


def test_nothing_goes_to_draining_or_missing_nodes() -> None:
    world = World(nodes=3)
    world.list(entry(0, status=NodeStatus.DRAINING))
    world.list(entry(1, status=NodeStatus.GONE))
    assert {bind_of(world.ask(n)).node for n in range(10, 20)} == {2}
    world.list(entry(0), kind=ListKind.FULL)  # 2 is absent from a whole list: gone
    assert {bind_of(world.ask(n)).node for n in range(20, 24)} == {0}


def test_a_node_that_sends_tasks_away_counts_as_draining() -> None:
    world = World(nodes=1)
    bind = bind_of(world.ask(1))
    world.placed(bind)
    world.ends(bind, Result.LOST, closed=True, reason=Reason.SENT_AWAY)
    assert not binds(world.ask(2))


def test_a_failed_watch_is_asked_for_again() -> None:
    world = World()
    world.feed(NodeList(ListKind.FAILED))
    assert WatchNodeList() in fire_due(world, world.now + SETTINGS.poll_within_us)


# Rule 4


def test_a_cold_node_gets_few_binds_whatever_becomes_of_them() -> None:
    world = World(nodes=0)
    world.list(entry(0, started_us=world.now + 1), kind=ListKind.FULL, after=1)
    sent = sum(len(binds(world.ask(n))) for n in range(40))
    assert sent == SLOW_START_MAX_UNANSWERED
    share = SETTINGS.slow_start_offers / SETTINGS.planners
    offers = [a for a in world.done if isinstance(a, Bind)]
    for n in range(40, 80):  # answered binds free a place, but the window's budget stands
        for bind in offers:
            attempt = sum(1 for a in world.done[: world.done.index(bind)] if a == bind)
            world.ends(bind, Result.REJECTED, attempt, after=1000, reason=Reason.NOT_HERE)
        offers = binds(world.ask(n))
    assert len([a for a in world.done if isinstance(a, Bind)]) <= share


def test_a_cold_node_bears_more_unanswered_binds_as_it_warms() -> None:
    world = World(nodes=0, slow_start_offers=100.0)
    world.list(entry(0, started_us=world.now + 1), kind=ListKind.FULL, after=1)
    early = sum(len(binds(world.ask(n))) for n in range(12))
    world.now += SETTINGS.slow_start_us * 3 // 4
    assert sum(len(binds(world.ask(n, cores=0.1, memory=0.1))) for n in range(20, 40)) > early


def refused_sends(world: World, first: int, count: int) -> int:
    """Offers of so many tasks, each refused at once and then withdrawn."""
    sent = 0
    for number in range(first, first + count):
        for bind in binds(world.ask(number, cores=0.01, memory=0.01)):
            world.ends(bind, Result.REJECTED, after=0, closed=True, reason=Reason.NOT_HERE)
            sent += 1
        world.feed(TaskCancelled(number))
    return sent


@pytest.mark.parametrize("kind", [ListKind.CHANGES, ListKind.FULL])
def test_a_cold_node_that_leaves_the_list_and_comes_back_gets_no_second_turn(kind: ListKind) -> None:
    world = World(nodes=0)
    start = world.now + 1
    world.list(entry(0, started_us=start), kind=ListKind.FULL, after=1)
    assert refused_sends(world, 0, 40) > 0
    world.list(
        *([entry(0, status=NodeStatus.GONE)] if kind is ListKind.CHANGES else []), kind=kind, after=1000
    )
    world.list(entry(0, started_us=start + 200), after=1000)  # a clock is read a little differently each time
    assert refused_sends(world, 100, 40) == 0
    world.list(entry(0, started_us=start), after=SETTINGS.overload_window_us)
    assert refused_sends(world, 200, 40) > 0


def test_a_node_that_was_silent_counts_as_cold_until_the_list_had_time_to_show_a_restart() -> None:
    world = World(nodes=1)
    world.ends(bind_of(world.ask(1)), Result.UNREACHABLE, closed=True)
    world.now += 3 * SECOND  # its rest is over
    share = SETTINGS.slow_start_offers / SETTINGS.planners
    assert 0 < refused_sends(world, 100, 40) <= share
    world.now += int(RESTART_UNCERTAINTY * INITIAL_LIST_DELAY_US)
    assert refused_sends(world, 200, 40) == 40


def test_a_node_that_nobody_hears_again_is_not_held_to_be_cold_for_good() -> None:
    world = World(nodes=1, slow_start_offers=0.0)  # no turn, so no answer can come
    world.ends(bind_of(world.ask(1)), Result.UNREACHABLE, closed=True)
    assert refused_sends(world, 100, 5) == 0
    world.now += min(MAX_LIST_DELAY_US, SETTINGS.slow_start_us)
    assert refused_sends(world, 200, 5) > 0
    world.now += int(RESTART_UNCERTAINTY * INITIAL_LIST_DELAY_US)  # after its answer
    assert refused_sends(world, 300, 5) == 5


@pytest.mark.parametrize("planners", [1, 3, 60, 350])
@pytest.mark.parametrize("budget", [0, 1, 25, 400])
def test_turns_at_a_cold_node_add_up_to_the_budget(planners: int, budget: int) -> None:
    for slot in range(30):
        turns = [slow_start_turn(slot, place, planners, budget) for place in range(planners)]
        assert sum(turns) == budget and max(turns) - min(turns) <= 1
    if budget:  # and everyone's turn comes
        slots = range(-(-planners // budget) + 1)
        assert all(sum(slow_start_turn(s, p, planners, budget) for s in slots) for p in range(planners))


@pytest.mark.parametrize("planners", [1, 3, 350])
def test_all_planners_together_spare_a_fresh_node_in_every_window(planners: int) -> None:
    """Refused offers count, and planners restart in the middle of it."""
    borne, start = 60.0, 100 * SECOND + 1
    worlds = [
        World(nodes=0, planners=planners, position=p, slow_start_offers=borne, slow_start_us=6 * SECOND)
        for p in range(planners)
    ]
    sends: list[int] = []
    for step in range(60):
        now = start + step * SECOND // 10
        for p, world in enumerate(worlds):
            if step in (0, 25) and (step == 0 or p % 2):
                again = World(
                    nodes=0, planners=planners, position=p, slow_start_offers=borne, slow_start_us=6 * SECOND
                )
                world.planner, world.now = again.planner, now - 1
                if step:
                    world.planner.handle(now - 1, Started())
                world.list(entry(9, started_us=start), kind=ListKind.FULL)
            world.now = now
            for ask in range(3 if planners > 3 else 60):
                for bind in binds(world.ask(1000 * step + ask, cores=0.01, memory=0.01)):
                    sends.append(now)
                    world.ends(bind, Result.REJECTED, after=0, closed=True, reason=Reason.NOT_HERE)
                world.feed(TaskCancelled(1000 * step + ask))
    assert sends, "a cold node is not starved"
    for first in sends:
        assert sum(first <= at < first + SETTINGS.overload_window_us for at in sends) <= borne


# Rule 5


def test_spread_counts_pending_placed_and_adopted_tasks() -> None:
    world = World(nodes=6)
    world.feed(TaskAdopted(world.task(100, 3), 0))
    world.feed(TaskAdopted(world.task(101, 3), 3))
    placed = [bind_of(world.ask(n, class_index=3)) for n in range(4)]
    assert all(b.node % 3 != 0 for b in placed)
    assert not binds(world.ask(9, class_index=3))


def test_spread_is_freed_by_the_outcome_alone() -> None:
    world = World(nodes=1)
    first, second = bind_of(world.ask(1, class_index=3)), bind_of(world.ask(2, class_index=3))
    world.placed(first)
    world.feed(TaskCancelled(2))
    assert not binds(world.ask(3, class_index=3))
    world.ends(second, Result.CANCELLED, closed=True)
    assert fire_due(world, world.now + SECOND // 2)


# Counting of binds


def asked(world: World, node: int) -> float:
    return world.planner.table.nodes[node].requested()[0]


def test_a_bind_is_counted_once_before_and_after_the_list_shows_it() -> None:
    world = World(nodes=1)
    bind = bind_of(world.ask(1))
    assert asked(world, 0) == 1.0
    world.placed(bind)
    assert asked(world, 0) == 1.0
    world.list(entry(0, free_cores=15.0, free_memory=30.0), after=2 * SECOND)
    assert asked(world, 0) == 1.0
    world.ends(bind, Result.FINISHED, closed=True)
    assert asked(world, 0) == 0.0
    world.list(entry(0), after=2 * SECOND)
    assert asked(world, 0) == 0.0


def test_what_was_bound_to_a_new_life_before_the_list_told_of_it_still_counts() -> None:
    world = World(nodes=1)
    old = bind_of(world.ask(1))
    world.placed(old)
    start = world.now + SECOND // 2
    new = bind_of(world.ask(2, service=6, after=SECOND))
    world.placed(new)
    world.list(entry(0, started_us=start), after=SECOND // 2)
    node = world.planner.table.nodes[0]
    assert [a.task.id for a in node.attempts.values()] == [2]
    assert dict(node.services) == {6: 1}
    assert node.requested()[0] == 1.0  # not shown by the list yet
    world.ends(new, Result.FINISHED, closed=True)
    assert not node.attempts and not node.services


def test_a_refused_bind_and_a_restart_leave_nothing_behind() -> None:
    world = World(nodes=1)
    world.ends(bind_of(world.ask(1)), Result.REJECTED, reason=Reason.NOT_HERE)
    assert asked(world, 0) == 0.0
    world.feed(TaskCancelled(1))
    bind = bind_of(world.ask(2))
    world.placed(bind)
    world.list(entry(0, started_us=world.now + SECOND), after=2 * SECOND)
    world.ends(bind, Result.LOST, closed=True)
    assert asked(world, 0) == 0.0


def test_a_report_replaces_older_figures() -> None:
    world = World(nodes=1, report_fields=("free_cores", "free_memory"), may_check_health=True)
    assert HealthCheck(0) in world.ask(1)
    world.feed(HealthChecked(0, True, 1000, (10.0, 20.0)), after=3 * SECOND)
    assert asked(world, 0) == 6.0


# Health


def test_a_node_that_fails_fast_rests() -> None:
    world = World(nodes=2)
    bind = bind_of(world.ask(1))
    other = bind_of(world.ends(bind, Result.ERROR))
    assert {bind_of(world.ask(n)).node for n in range(2, 8)} == {other.node}


def test_a_task_that_errs_at_two_nodes_is_at_fault_itself() -> None:
    world = World(nodes=3)
    nodes = world.planner.table.nodes
    first = bind_of(world.ask(1))
    second = bind_of(world.ends(first, Result.ERROR))
    assert nodes[first.node].health.is_ejected(world.now)
    third = bind_of(world.ends(second, Result.ERROR, attempt=1))
    assert not any(node.health.is_ejected(world.now) for node in nodes.values())
    world.ends(third, Result.ERROR, attempt=2)
    assert not any(
        node.health.is_ejected(world.now) or node.health.consecutive_failures for node in nodes.values()
    )


def test_errors_of_other_tasks_still_rest_a_node() -> None:
    world = World(nodes=3)
    bind = bind_of(world.ask(1))
    node = world.planner.table.nodes[bind.node]
    node.health.record_error(77, world.now)  # another task's, at the same time
    second = bind_of(world.ends(bind, Result.ERROR))
    world.ends(second, Result.ERROR, attempt=1)
    assert node.health.is_ejected(world.now) and node.health.consecutive_failures == 1.0
    assert not node.health.is_ejected(world.now + SECOND)


def test_acceptance_alone_does_not_heal_where_the_start_comes_later() -> None:
    world = World(nodes=1, confirms_running=False)
    world.ends(bind_of(world.ask(1)), Result.ERROR)
    world.feed(TaskCancelled(1))
    bind = bind_of(world.ask(2, after=2 * SECOND))
    node = world.planner.table.nodes[0]
    world.placed(bind)
    assert node.health.consecutive_failures == 1.0
    world.feed(StatusUpdate(2, 0, 0, StatusKind.RUNNING, 0.0))
    assert node.health.consecutive_failures < 1.0


def test_a_refusal_for_room_stands_until_later_word() -> None:
    world = World(nodes=1)
    world.ends(bind_of(world.ask(1)), Result.REJECTED, reason=Reason.NO_CORES)
    assert not binds(world.ask(2))
    assert binds(world.ask(3, cores=0.5))
    assert binds(world.ask(4, after=2 * SECOND))


# The ordinary path


def test_a_full_own_part_sends_away_and_an_empty_part_counts_as_full() -> None:
    world = World(nodes=8, cores_limit=2.5)
    home = [n for n in range(8) if partition_of(n, 2) == 0]
    assert 0 < len(home) < 8
    world.list(*(entry(n, free_cores=-8.0) for n in home), after=2 * SECOND)
    at_home = next(s for s in range(99) if splitmix64(s) % 2 == 0)  # its program belongs to the home part
    assert bind_of(world.ask(1, service=at_home)).node not in home
    world = World(nodes=0)
    world.list(*(entry(n) for n in home), kind=ListKind.FULL)
    assert bind_of(world.ask(2)).node in home


def test_a_service_goes_to_the_same_node_at_every_planner() -> None:
    worlds = [World(nodes=60, planners=350, position=p) for p in (0, 7, 349)]
    for service in range(20):
        assert len({bind_of(w.ask(service, service=service)).node for w in worlds}) == 1


def test_a_crowded_node_loses_a_service_to_a_roomier_one() -> None:
    world = World(nodes=60, planners=350)
    usual = bind_of(world.ask(1)).node
    world.list(entry(usual, free_cores=0.5), after=3 * SECOND)
    assert bind_of(world.ask(2)).node != usual


def test_same_seed_same_actions() -> None:
    def run() -> list:
        world = World()
        for n in range(30):
            world.ask(n, after=1000)
        return world.done

    assert run() == run()


def test_odd_but_legal_events_change_nothing() -> None:
    world = World(nodes=2)
    bind = bind_of(world.ask(1))
    world.placed(bind)
    before = asked(world, bind.node)
    assert not world.feed(TimerFired(12345))
    assert not world.ends(Bind(99, 77), Result.FINISHED)
    assert not world.placed(bind)
    world.list(entry(0), entry(1), kind=ListKind.FULL)
    world.feed(TaskAdopted(world.task(50), 999))
    assert asked(world, bind.node) == before
    assert not [a for a in world.done if isinstance(a, StopAttempt)]


def test_a_silent_node_gets_a_probe_and_no_task_until_one_is_answered() -> None:
    world = World(nodes=1, may_check_health=True)
    bind = bind_of(world.ask(1))
    assert HealthCheck(0) in world.ends(bind, Result.UNREACHABLE)
    world.feed(TaskCancelled(1))
    assert not binds(world.ask(2, after=30 * SECOND))  # time alone does not bring it back
    world.feed(TaskCancelled(2))
    world.feed(HealthChecked(0, False, 250_000))
    assert HealthCheck(0) in fire_due(world, world.now + 9 * SECOND)
    assert not binds(world.ask(3))
    world.feed(HealthChecked(0, True, 1000))
    assert binds(world.ask(4))


def test_a_class_turned_away_rests_at_that_node_alone() -> None:
    world = World(nodes=1)
    world.ends(bind_of(world.ask(1)), Result.REJECTED, reason=Reason.UNTOLD)
    assert not binds(world.ask(2))
    assert bind_of(world.ask(3, class_index=2)).node == 0
    assert binds(world.ask(4, after=10 * SECOND))


def test_later_attempts_after_refusals_wait() -> None:
    world = World(nodes=4)
    second = bind_of(world.ends(bind_of(world.ask(1)), Result.REJECTED, reason=Reason.NO_CORES))
    assert not binds(world.ends(second, Result.REJECTED, attempt=1, reason=Reason.NO_CORES))
    assert binds(fire_due(world, world.now + SECOND))


def test_a_task_that_came_again_leaves_room_for_those_that_can_start_in_time() -> None:
    world = World(nodes=1)
    world.list(entry(0, free_cores=3.0), after=2 * SECOND)
    late = replace(world.task(1), resubmitted=True)
    assert not binds(world.feed(TaskRequested(late)))
    assert binds(world.ask(2))


def test_a_node_whose_memory_runs_short_rests() -> None:
    world = World(nodes=1)
    bind = bind_of(world.ask(1))
    world.placed(bind)
    world.feed(StatusUpdate(1, 0, 0, StatusKind.NODE_MEMORY_SHARE, 0.97))
    assert not binds(world.ask(2))
    assert binds(world.ask(3, after=2 * SECOND))

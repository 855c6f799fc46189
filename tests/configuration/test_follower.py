"""Tests each invariant of ``configuration.follower``, also under unfavourable orders of events."""

from __future__ import annotations

import random

from stairplank.configuration.follower import (
    FETCH_TIMEOUT_US,
    RETRY_DELAY_US,
    ApplyRevision,
    CheckText,
    FetchText,
    Follower,
    SendReport,
)
from stairplank.configuration.revision import NO_REVISION, Revision, make_revision
from stairplank.configuration.store import PhaseResult, RevisionStore


def apply_revision(follower: Follower, replica: str, revision: Revision, text: str) -> list[object]:
    """Announce, fetch, check and apply a revision without any fault."""
    actions: list[object] = []
    actions += follower.on_announced(0, replica, revision)
    actions += follower.on_text_received(0, replica, revision, text)
    actions += follower.on_check_passed(0, revision)
    return actions


def connected_follower(*replicas: str, in_force: Revision = NO_REVISION) -> Follower:
    follower = Follower(in_force)
    for replica in replicas:
        follower.on_connected(0, replica)
    return follower


FIRST, SECOND, THIRD = (make_revision(n, f"text {n}") for n in (1, 2, 3))


def test_a_revision_is_fetched_checked_applied_and_reported() -> None:
    follower = connected_follower("a", "b")
    assert follower.on_announced(0, "a", FIRST) == [FetchText("a", FIRST)]
    assert follower.on_announced(0, "b", FIRST) == []
    assert follower.on_text_received(0, "a", FIRST, "text 1") == [CheckText(FIRST, "text 1")]
    assert follower.on_check_passed(0, FIRST) == [
        ApplyRevision(FIRST),
        SendReport("a", FIRST, NO_REVISION, ""),
        SendReport("b", FIRST, NO_REVISION, ""),
    ]
    assert follower.next_timer() is None


def test_a_replica_that_lags_reverts_nothing() -> None:
    follower = connected_follower("a", "b")
    apply_revision(follower, "a", SECOND, "text 2")
    assert follower.on_announced(0, "b", FIRST) == []
    assert follower.in_force == SECOND


def test_another_text_under_the_number_in_force_is_not_fetched() -> None:
    follower = connected_follower("a", "b")
    apply_revision(follower, "a", FIRST, "text 1")
    assert follower.on_announced(0, "b", make_revision(1, "other")) == []


def test_a_text_that_is_not_the_announced_one_is_fetched_from_another_replica() -> None:
    follower = connected_follower("a", "b")
    follower.on_announced(0, "a", FIRST)
    follower.on_announced(0, "b", FIRST)
    assert follower.on_text_received(5, "a", FIRST, "text") == [FetchText("b", FIRST)]
    assert follower.on_text_received(6, "b", FIRST, "text 1") == [CheckText(FIRST, "text 1")]


def test_a_backoff_follows_the_failure_of_every_replica() -> None:
    follower = connected_follower("a")
    follower.on_announced(0, "a", FIRST)
    assert follower.on_text_received(5, "a", FIRST, "wrong") == []
    assert follower.next_timer() == 5 + RETRY_DELAY_US
    assert follower.on_timer(5 + RETRY_DELAY_US) == [FetchText("a", FIRST)]


def test_a_replica_that_never_answers_is_skipped() -> None:
    follower = connected_follower("a", "b")
    follower.on_announced(0, "a", FIRST)
    follower.on_announced(0, "b", FIRST)
    assert follower.on_timer(FETCH_TIMEOUT_US - 1) == []
    assert follower.on_timer(FETCH_TIMEOUT_US) == [FetchText("b", FIRST)]


def test_a_replica_that_is_lost_during_the_fetch_is_replaced() -> None:
    follower = connected_follower("a", "b")
    follower.on_announced(0, "a", FIRST)
    follower.on_announced(0, "b", FIRST)
    assert follower.on_connection_lost(1, "a") == [FetchText("b", FIRST)]
    assert follower.on_connection_lost(2, "b") == []
    assert follower.pending is None and not follower.replicas
    follower.on_connected(3, "a")
    assert follower.on_announced(3, "a", FIRST) == [FetchText("a", FIRST)]


def test_a_newer_revision_replaces_the_check_that_is_under_way() -> None:
    follower = connected_follower("a")
    follower.on_announced(0, "a", FIRST)
    follower.on_text_received(0, "a", FIRST, "text 1")
    assert follower.on_announced(1, "a", SECOND) == [FetchText("a", SECOND)]
    assert follower.on_check_passed(2, FIRST) == []
    assert follower.in_force == NO_REVISION
    assert follower.on_text_received(3, "a", FIRST, "text 1") == []
    follower.on_text_received(3, "a", SECOND, "text 2")
    assert follower.on_check_failed(3, FIRST, "late result") == []
    assert follower.on_check_passed(4, SECOND)[0] == ApplyRevision(SECOND)


def test_an_older_replica_does_not_replace_a_newer_fetch() -> None:
    follower = connected_follower("a", "b")
    follower.on_announced(0, "a", SECOND)
    assert follower.on_announced(1, "b", FIRST) == []
    assert follower.on_connection_lost(2, "a") == [FetchText("b", FIRST)], "the newest available revision"


def test_a_rejected_revision_is_reported_and_not_fetched_again() -> None:
    follower = connected_follower("a", "b")
    follower.on_announced(0, "a", FIRST)
    follower.on_text_received(0, "a", FIRST, "text 1")
    reports = follower.on_check_failed(0, FIRST, "line 3: no number")
    assert reports == [SendReport(r, NO_REVISION, FIRST, "line 3: no number") for r in ("a", "b")]
    assert follower.on_announced(1, "b", FIRST) == []
    assert follower.on_announced(1, "b", SECOND) == [FetchText("b", SECOND)]


def test_a_replica_that_connects_receives_a_report() -> None:
    follower = connected_follower("a", in_force=SECOND)
    assert follower.on_connected(0, "b") == [SendReport("b", SECOND, NO_REVISION, "")]
    assert follower.on_announced(0, "b", FIRST) == []


def test_an_announcement_of_a_stream_that_has_ended_changes_nothing() -> None:
    follower = connected_follower("a")
    follower.on_connection_lost(0, "a")
    assert follower.on_announced(1, "a", FIRST) == []
    assert not follower.replicas


def test_a_fetch_can_wait_for_a_replica_that_announces_it_later() -> None:
    follower = connected_follower("a", "b")
    follower.on_announced(0, "a", FIRST)
    follower.on_text_received(0, "a", FIRST, "wrong")
    assert follower.on_announced(1, "b", FIRST) == [FetchText("b", FIRST)]


def test_planners_reach_the_newest_revision_after_random_faults_and_never_revert() -> None:
    """Replicas lag, streams break, texts arrive damaged or not at all, and planners restart. Once the faults
    end, every planner has the newest revision; no number decreases within an incarnation before that."""
    for seed in range(60):
        _run_random_faults(random.Random(seed))


def _run_random_faults(rng: random.Random) -> None:
    replicas = {name: RevisionStore() for name in ("a", "b", "c")}
    planners = [Follower() for _ in range(4)]
    pending_actions: list[tuple[int, object]] = []
    now, number = 0, 0
    for step in range(400):
        now += rng.randrange(200_000)
        faults_ended = step > 250
        if not faults_ended and rng.random() < 0.05:
            number += 1
            reached = rng.sample(sorted(replicas), rng.choice((2, 3)))
            for name in reached:
                assert replicas[name].prepare(number, f"text {number}") is PhaseResult.ACCEPTED
            for name in reached:
                replicas[name].commit(now, make_revision(number, f"text {number}"))
        index = rng.randrange(len(planners))
        planner = planners[index]
        before = planner.in_force
        if not faults_ended and rng.random() < 0.03:
            planners[index] = Follower(before)
            pending_actions = [entry for entry in pending_actions if entry[0] != index]
            continue
        actions = _random_event(rng, now, planner, replicas, faults_ended)
        actions += planner.on_timer(now)
        pending_actions += [(index, action) for action in actions]
        rng.shuffle(pending_actions)
        next_actions: list[tuple[int, object]] = []
        for planner_index, action in pending_actions:
            next_actions += [
                (planner_index, following)
                for following in _execute(rng, now, planners[planner_index], replicas, action, faults_ended)
            ]
        pending_actions = next_actions
        assert planner.in_force.number >= before.number
        assert len(planner.replicas) <= len(replicas)
    newest = max(store.committed for store in replicas.values())
    assert all(planner.in_force == newest for planner in planners)


def _random_event(
    rng: random.Random, now: int, planner: Follower, replicas: dict[str, RevisionStore], faults_ended: bool
) -> list[object]:
    name = rng.choice(sorted(replicas))
    if name not in planner.replicas:
        return list(planner.on_connected(now, name))
    if not faults_ended and rng.random() < 0.2:
        return list(planner.on_connection_lost(now, name))
    return list(planner.on_announced(now, name, replicas[name].committed))


def _execute(
    rng: random.Random,
    now: int,
    planner: Follower,
    replicas: dict[str, RevisionStore],
    action: object,
    faults_ended: bool,
) -> list[object]:
    match action:
        case FetchText(replica, revision):
            stored = replicas[replica].state.committed
            if replica not in planner.replicas or stored.revision != revision:
                return []
            if not faults_ended and rng.random() < 0.2:
                return []
            damaged = not faults_ended and rng.random() < 0.2
            text = stored.text[:-1] if damaged else stored.text
            return list(planner.on_text_received(now, replica, revision, text))
        case CheckText(revision, text):
            assert revision == make_revision(revision.number, text)
            return list(planner.on_check_passed(now, revision))
    return []

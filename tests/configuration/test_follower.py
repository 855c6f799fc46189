"""How a planner follows the configuration: each invariant of ``configuration.follower``, and hard orders."""

from __future__ import annotations

import random

from stairplank.configuration.follower import FETCH_US, RETRY_US, Apply, Check, Fetch, Follower, Report
from stairplank.configuration.revision import NO_REVISION, Revision, revision_of
from stairplank.configuration.store import Result, Store


def taken(follower: Follower, replica: str, revision: Revision, text: str) -> list[object]:
    """Announce, fetch, check and accept, without a fault."""
    actions: list[object] = []
    actions += follower.announced(0, replica, revision)
    actions += follower.text_arrived(0, replica, revision, text)
    actions += follower.accepted(0, revision)
    return actions


def connected(*replicas: str, in_force: Revision = NO_REVISION) -> Follower:
    follower = Follower(in_force)
    for replica in replicas:
        follower.connected(0, replica)
    return follower


FIRST, SECOND, THIRD = (revision_of(n, f"text {n}") for n in (1, 2, 3))


def test_a_revision_is_fetched_checked_applied_and_reported() -> None:
    follower = connected("a", "b")
    assert follower.announced(0, "a", FIRST) == [Fetch("a", FIRST)]
    assert follower.announced(0, "b", FIRST) == []
    assert follower.text_arrived(0, "a", FIRST, "text 1") == [Check(FIRST, "text 1")]
    assert follower.accepted(0, FIRST) == [
        Apply(FIRST),
        Report("a", FIRST, NO_REVISION, ""),
        Report("b", FIRST, NO_REVISION, ""),
    ]
    assert follower.next_due() is None


def test_a_replica_that_lags_takes_nothing_back() -> None:
    follower = connected("a", "b")
    taken(follower, "a", SECOND, "text 2")
    assert follower.announced(0, "b", FIRST) == []
    assert follower.in_force == SECOND


def test_another_text_under_the_number_in_force_is_not_fetched() -> None:
    follower = connected("a", "b")
    taken(follower, "a", FIRST, "text 1")
    assert follower.announced(0, "b", revision_of(1, "other")) == []


def test_a_text_that_is_not_the_announced_one_is_asked_of_another_replica() -> None:
    follower = connected("a", "b")
    follower.announced(0, "a", FIRST)
    follower.announced(0, "b", FIRST)
    assert follower.text_arrived(5, "a", FIRST, "text") == [Fetch("b", FIRST)]
    assert follower.text_arrived(6, "b", FIRST, "text 1") == [Check(FIRST, "text 1")]


def test_where_every_replica_has_failed_there_is_a_pause_before_the_next_round() -> None:
    follower = connected("a")
    follower.announced(0, "a", FIRST)
    assert follower.text_arrived(5, "a", FIRST, "wrong") == []
    assert follower.next_due() == 5 + RETRY_US
    assert follower.pass_time(5 + RETRY_US) == [Fetch("a", FIRST)]


def test_a_replica_that_never_answers_is_passed_over() -> None:
    follower = connected("a", "b")
    follower.announced(0, "a", FIRST)
    follower.announced(0, "b", FIRST)
    assert follower.pass_time(FETCH_US - 1) == []
    assert follower.pass_time(FETCH_US) == [Fetch("b", FIRST)]


def test_a_replica_that_is_lost_during_the_fetch_is_replaced() -> None:
    follower = connected("a", "b")
    follower.announced(0, "a", FIRST)
    follower.announced(0, "b", FIRST)
    assert follower.lost(1, "a") == [Fetch("b", FIRST)]
    assert follower.lost(2, "b") == []
    assert follower.pending is None and not follower.replicas
    follower.connected(3, "a")
    assert follower.announced(3, "a", FIRST) == [Fetch("a", FIRST)]


def test_a_newer_revision_replaces_the_check_that_is_under_way() -> None:
    follower = connected("a")
    follower.announced(0, "a", FIRST)
    follower.text_arrived(0, "a", FIRST, "text 1")
    assert follower.announced(1, "a", SECOND) == [Fetch("a", SECOND)]
    assert follower.accepted(2, FIRST) == []
    assert follower.in_force == NO_REVISION
    assert follower.text_arrived(3, "a", FIRST, "text 1") == []
    follower.text_arrived(3, "a", SECOND, "text 2")
    assert follower.refused(3, FIRST, "late result") == []
    assert follower.accepted(4, SECOND)[0] == Apply(SECOND)


def test_an_older_replica_does_not_replace_a_newer_fetch() -> None:
    follower = connected("a", "b")
    follower.announced(0, "a", SECOND)
    assert follower.announced(1, "b", FIRST) == []
    assert follower.lost(2, "a") == [Fetch("b", FIRST)], "the newest that can be had"


def test_a_rejected_revision_is_reported_and_not_fetched_again() -> None:
    follower = connected("a", "b")
    follower.announced(0, "a", FIRST)
    follower.text_arrived(0, "a", FIRST, "text 1")
    reports = follower.refused(0, FIRST, "line 3: no number")
    assert reports == [Report(r, NO_REVISION, FIRST, "line 3: no number") for r in ("a", "b")]
    assert follower.announced(1, "b", FIRST) == []
    assert follower.announced(1, "b", SECOND) == [Fetch("b", SECOND)]


def test_a_replica_that_connects_hears_what_is_in_force() -> None:
    follower = connected("a", in_force=SECOND)
    assert follower.connected(0, "b") == [Report("b", SECOND, NO_REVISION, "")]
    assert follower.announced(0, "b", FIRST) == []


def test_an_announcement_of_a_stream_that_has_ended_changes_nothing() -> None:
    follower = connected("a")
    follower.lost(0, "a")
    assert follower.announced(1, "a", FIRST) == []
    assert not follower.replicas


def test_a_fetch_can_wait_for_a_replica_that_announces_it_later() -> None:
    follower = connected("a", "b")
    follower.announced(0, "a", FIRST)
    follower.text_arrived(0, "a", FIRST, "wrong")
    assert follower.announced(1, "b", FIRST) == [Fetch("b", FIRST)]


def test_drawn_fleets_come_to_the_newest_revision_and_never_go_back() -> None:
    """Replicas that lag, streams that break, texts that arrive damaged or never, planners that restart: once
    faults end, everybody has the newest; on the way no number ever decreases within a life."""
    for seed in range(60):
        _drawn_fleet(random.Random(seed))


def _drawn_fleet(rng: random.Random) -> None:
    replicas = {name: Store() for name in ("a", "b", "c")}
    planners = [Follower() for _ in range(4)]
    waiting: list[tuple[int, object]] = []
    now, number = 0, 0
    for step in range(400):
        now += rng.randrange(200_000)
        calm = step > 250
        if not calm and rng.random() < 0.05:
            number += 1
            reached = rng.sample(sorted(replicas), rng.choice((2, 3)))
            for name in reached:
                assert replicas[name].prepare(number, f"text {number}") is Result.ACCEPTED
            for name in reached:
                replicas[name].commit(now, revision_of(number, f"text {number}"))
        index = rng.randrange(len(planners))
        planner = planners[index]
        before = planner.in_force
        if not calm and rng.random() < 0.03:
            planners[index] = Follower(before)
            waiting = [entry for entry in waiting if entry[0] != index]
            continue
        actions = _event(rng, now, planner, replicas, calm)
        actions += planner.pass_time(now)
        waiting += [(index, action) for action in actions]
        rng.shuffle(waiting)
        later: list[tuple[int, object]] = []
        for at, action in waiting:
            later += [(at, more) for more in _carry_out(rng, now, planners[at], replicas, action, calm)]
        waiting = later
        assert planner.in_force.number >= before.number
        assert len(planner.replicas) <= len(replicas)
    newest = max(store.committed for store in replicas.values())
    assert all(planner.in_force == newest for planner in planners)


def _event(
    rng: random.Random, now: int, planner: Follower, replicas: dict[str, Store], calm: bool
) -> list[object]:
    name = rng.choice(sorted(replicas))
    if name not in planner.replicas:
        return list(planner.connected(now, name))
    if not calm and rng.random() < 0.2:
        return list(planner.lost(now, name))
    return list(planner.announced(now, name, replicas[name].committed))


def _carry_out(
    rng: random.Random,
    now: int,
    planner: Follower,
    replicas: dict[str, Store],
    action: object,
    calm: bool,
) -> list[object]:
    match action:
        case Fetch(replica, revision):
            stored = replicas[replica].state.committed
            if replica not in planner.replicas or stored.revision != revision:
                return []
            if not calm and rng.random() < 0.2:
                return []
            damaged = not calm and rng.random() < 0.2
            text = stored.text[:-1] if damaged else stored.text
            return list(planner.text_arrived(now, replica, revision, text))
        case Check(revision, text):
            assert revision == revision_of(revision.number, text)
            return list(planner.accepted(now, revision))
    return []

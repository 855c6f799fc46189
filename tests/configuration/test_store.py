"""What a replica of the configuration service keeps, and the quorum of a publication."""

from __future__ import annotations

import itertools

import pytest

from stairplank.configuration import publication
from stairplank.configuration.publication import Answer, Outcome, Seen
from stairplank.configuration.revision import NO_REVISION, revision_of
from stairplank.configuration.store import FORGET_US, PLANNERS_MOST, Result, Store

FIRST, SECOND = revision_of(1, "one"), revision_of(2, "two")


def test_only_what_is_prepared_is_committed() -> None:
    store = Store()
    assert store.commit(0, FIRST) is Result.CONFLICT
    assert store.prepare(1, "one") is Result.ACCEPTED
    assert store.committed == NO_REVISION, "prepared is not announced"
    assert store.commit(0, revision_of(1, "other")) is Result.CONFLICT
    assert store.commit(0, FIRST) is Result.ACCEPTED
    assert store.committed == FIRST


def test_a_number_is_taken_for_one_text_only() -> None:
    store = Store()
    store.prepare(1, "one")
    assert store.prepare(1, "other") is Result.CONFLICT
    assert store.prepare(1, "one") is Result.ACCEPTED
    store.commit(0, FIRST)
    assert store.prepare(1, "other") is Result.CONFLICT
    assert store.prepare(1, "one") is Result.ACCEPTED


def test_the_committed_number_never_decreases() -> None:
    store = Store()
    for number, text in ((1, "one"), (2, "two")):
        store.prepare(number, text)
        store.commit(0, revision_of(number, text))
    assert store.commit(0, FIRST) is Result.CONFLICT
    assert store.prepare(1, "one") is Result.CONFLICT
    assert store.committed == SECOND


def test_a_commit_that_is_repeated_is_accepted() -> None:
    store = Store()
    store.prepare(1, "one")
    store.commit(0, FIRST)
    store.prepare(2, "two")
    assert store.commit(0, FIRST) is Result.ACCEPTED
    assert store.highest_number == 2


def test_a_commit_that_was_missed_is_made_up_by_a_planner_s_report() -> None:
    store = Store()
    store.prepare(1, "one")
    store.joined(0, 7, 1)
    assert store.reported(0, 7, 1, FIRST, NO_REVISION, "")
    assert store.committed == FIRST


def test_a_report_of_what_was_not_prepared_here_commits_nothing() -> None:
    store = Store()
    store.prepare(1, "other")
    store.joined(0, 7, 1)
    assert not store.reported(0, 7, 1, FIRST, NO_REVISION, "")
    assert store.committed == NO_REVISION


def test_two_publishers_never_both_have_a_majority_for_one_number() -> None:
    """Every order in which two publishers may reach three replicas."""
    for order in itertools.permutations([(p, r) for p in ("x", "y") for r in range(3)]):
        replicas = [Store() for _ in range(3)]
        accepted = {"x": 0, "y": 0}
        for publisher, replica in order:
            accepted[publisher] += replicas[replica].prepare(1, publisher) is Result.ACCEPTED
        assert sum(count >= publication.majority(3) for count in accepted.values()) == 1


def test_the_status_has_one_line_a_process_and_forgets() -> None:
    store = Store()
    store.prepare(1, "one")
    store.commit(1_000, FIRST)
    store.joined(0, 7, 1)
    store.reported(3_500, 7, 1, FIRST, NO_REVISION, "")
    (status,) = store.statuses(4_000)
    assert (status.in_force, status.delay_us, status.connected) == (FIRST, 2_500, True)
    store.left(5_000, 7, 1)
    store.joined(6_000, 7, 2)
    (status,) = store.statuses(6_000)
    assert (status.life, status.in_force) == (2, NO_REVISION)
    store.left(7_000, 7, 2)
    assert store.statuses(7_000 + FORGET_US) == ()


def test_a_late_stream_of_an_earlier_process_does_not_hide_its_successor() -> None:
    store = Store()
    store.joined(0, 7, 2)
    store.joined(0, 7, 1)
    store.reported(0, 7, 2, FIRST, NO_REVISION, "")
    store.left(1, 7, 1)
    assert {(s.life, s.connected) for s in store.statuses(1)} == {(2, True), (1, False)}


def test_a_second_stream_of_one_process_keeps_it_connected() -> None:
    store = Store()
    store.joined(0, 7, 1)
    store.joined(0, 7, 1)
    store.left(1, 7, 1)
    assert store.statuses(1)[0].connected


def test_a_report_without_a_stream_is_not_kept() -> None:
    store = Store()
    assert not store.reported(0, 7, 1, FIRST, NO_REVISION, "")
    assert store.statuses(0) == ()


def test_planners_under_ever_new_numbers_do_not_fill_the_table() -> None:
    store = Store()
    for number in range(PLANNERS_MOST + 100):
        store.joined(number, number, 1)
        store.left(number, number, 1)
    store.joined(PLANNERS_MOST + 100, 0, 2)
    assert len(store.statuses(PLANNERS_MOST + 100)) <= PLANNERS_MOST


@pytest.mark.parametrize("replicas, wanted", [(1, 1), (2, 2), (3, 2), (4, 3), (5, 3)])
def test_majority(replicas: int, wanted: int) -> None:
    assert publication.majority(replicas) == wanted


def test_the_number_is_above_all_that_a_majority_has_seen() -> None:
    seen = [Seen(FIRST, 4), Seen(NO_REVISION, 2)]
    assert publication.next_number(3, seen) == 5
    assert publication.next_number(3, seen[:1]) is None, "a number could be taken twice"
    assert publication.committed_of(seen) == FIRST


def test_nothing_is_committed_before_a_majority_has_prepared() -> None:
    accepted, conflict, unreachable = Answer.ACCEPTED, Answer.CONFLICT, Answer.UNREACHABLE
    assert publication.after_prepare(3, [accepted, accepted, unreachable]) is None
    assert publication.after_prepare(3, [accepted, unreachable, unreachable]) is Outcome.NO_QUORUM
    assert publication.after_prepare(3, [accepted, conflict, unreachable]) is Outcome.CONFLICT
    assert publication.after_prepare(3, [accepted, accepted, Answer.INVALID]) is Outcome.INVALID
    assert publication.after_commit(3, [accepted, accepted, unreachable]) is Outcome.PUBLISHED
    assert publication.after_commit(3, [accepted, unreachable, unreachable]) is Outcome.UNCERTAIN

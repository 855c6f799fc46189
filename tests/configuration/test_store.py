"""Tests the state of a replica of the configuration service, and the quorum rules of a publication."""

from __future__ import annotations

import itertools

import pytest

from stairplank.configuration import publication
from stairplank.configuration.publication import PhaseAnswer, PublicationOutcome, ReplicaNumbers
from stairplank.configuration.revision import NO_REVISION, make_revision
from stairplank.configuration.store import FORGET_AFTER_US, MAX_PLANNERS, PhaseResult, RevisionStore

FIRST, SECOND = make_revision(1, "one"), make_revision(2, "two")


def test_only_what_is_prepared_is_committed() -> None:
    store = RevisionStore()
    assert store.commit(0, FIRST) is PhaseResult.CONFLICT
    assert store.prepare(1, "one") is PhaseResult.ACCEPTED
    assert store.committed == NO_REVISION, "a prepared revision is not committed yet"
    assert store.commit(0, make_revision(1, "other")) is PhaseResult.CONFLICT
    assert store.commit(0, FIRST) is PhaseResult.ACCEPTED
    assert store.committed == FIRST


def test_a_number_is_prepared_for_one_text_only() -> None:
    store = RevisionStore()
    store.prepare(1, "one")
    assert store.prepare(1, "other") is PhaseResult.CONFLICT
    assert store.prepare(1, "one") is PhaseResult.ACCEPTED
    store.commit(0, FIRST)
    assert store.prepare(1, "other") is PhaseResult.CONFLICT
    assert store.prepare(1, "one") is PhaseResult.ACCEPTED


def test_the_committed_number_never_decreases() -> None:
    store = RevisionStore()
    for number, text in ((1, "one"), (2, "two")):
        store.prepare(number, text)
        store.commit(0, make_revision(number, text))
    assert store.commit(0, FIRST) is PhaseResult.CONFLICT
    assert store.prepare(1, "one") is PhaseResult.CONFLICT
    assert store.committed == SECOND


def test_a_commit_that_is_repeated_is_accepted() -> None:
    store = RevisionStore()
    store.prepare(1, "one")
    store.commit(0, FIRST)
    store.prepare(2, "two")
    assert store.commit(0, FIRST) is PhaseResult.ACCEPTED
    assert store.highest_number == 2


def test_a_missed_commit_is_recovered_from_a_planner_s_report() -> None:
    store = RevisionStore()
    store.prepare(1, "one")
    store.stream_opened(0, 7, 1)
    assert store.record_report(0, 7, 1, FIRST, NO_REVISION, "")
    assert store.committed == FIRST


def test_a_report_of_what_was_not_prepared_here_commits_nothing() -> None:
    store = RevisionStore()
    store.prepare(1, "other")
    store.stream_opened(0, 7, 1)
    assert not store.record_report(0, 7, 1, FIRST, NO_REVISION, "")
    assert store.committed == NO_REVISION


def test_two_publishers_never_both_have_a_majority_for_one_number() -> None:
    """Tries every order in which the requests of two publishers can reach three replicas."""
    for order in itertools.permutations([(p, r) for p in ("x", "y") for r in range(3)]):
        replicas = [RevisionStore() for _ in range(3)]
        accepted = {"x": 0, "y": 0}
        for publisher, replica in order:
            accepted[publisher] += replicas[replica].prepare(1, publisher) is PhaseResult.ACCEPTED
        assert sum(count >= publication.majority_of(3) for count in accepted.values()) == 1


def test_the_status_has_one_entry_per_process_and_drops_expired_ones() -> None:
    store = RevisionStore()
    store.prepare(1, "one")
    store.commit(1_000, FIRST)
    store.stream_opened(0, 7, 1)
    store.record_report(3_500, 7, 1, FIRST, NO_REVISION, "")
    (status,) = store.statuses(4_000)
    assert (status.in_force, status.delay_us, status.connected) == (FIRST, 2_500, True)
    store.stream_closed(5_000, 7, 1)
    store.stream_opened(6_000, 7, 2)
    (status,) = store.statuses(6_000)
    assert (status.incarnation, status.in_force) == (2, NO_REVISION)
    store.stream_closed(7_000, 7, 2)
    assert store.statuses(7_000 + FORGET_AFTER_US) == ()


def test_a_late_stream_of_an_earlier_process_does_not_hide_its_successor() -> None:
    store = RevisionStore()
    store.stream_opened(0, 7, 2)
    store.stream_opened(0, 7, 1)
    store.record_report(0, 7, 2, FIRST, NO_REVISION, "")
    store.stream_closed(1, 7, 1)
    assert {(s.incarnation, s.connected) for s in store.statuses(1)} == {(2, True), (1, False)}


def test_a_second_stream_of_one_process_keeps_it_connected() -> None:
    store = RevisionStore()
    store.stream_opened(0, 7, 1)
    store.stream_opened(0, 7, 1)
    store.stream_closed(1, 7, 1)
    assert store.statuses(1)[0].connected


def test_a_report_without_a_stream_is_not_recorded() -> None:
    store = RevisionStore()
    assert not store.record_report(0, 7, 1, FIRST, NO_REVISION, "")
    assert store.statuses(0) == ()


def test_planners_under_ever_new_numbers_do_not_fill_the_table() -> None:
    store = RevisionStore()
    for number in range(MAX_PLANNERS + 100):
        store.stream_opened(number, number, 1)
        store.stream_closed(number, number, 1)
    store.stream_opened(MAX_PLANNERS + 100, 0, 2)
    assert len(store.statuses(MAX_PLANNERS + 100)) <= MAX_PLANNERS


@pytest.mark.parametrize("replicas, expected", [(1, 1), (2, 2), (3, 2), (4, 3), (5, 3)])
def test_majority(replicas: int, expected: int) -> None:
    assert publication.majority_of(replicas) == expected


def test_the_number_is_above_all_that_a_majority_has_seen() -> None:
    reported = [ReplicaNumbers(FIRST, 4), ReplicaNumbers(NO_REVISION, 2)]
    assert publication.next_number(3, reported) == 5
    assert publication.next_number(3, reported[:1]) is None, "a number could be taken twice"
    assert publication.newest_committed(reported) == FIRST


def test_nothing_is_committed_before_a_majority_has_prepared() -> None:
    accepted, conflict, unreachable = PhaseAnswer.ACCEPTED, PhaseAnswer.CONFLICT, PhaseAnswer.UNREACHABLE
    assert publication.outcome_after_prepare(3, [accepted, accepted, unreachable]) is None
    assert (
        publication.outcome_after_prepare(3, [accepted, unreachable, unreachable])
        is PublicationOutcome.NO_QUORUM
    )
    assert (
        publication.outcome_after_prepare(3, [accepted, conflict, unreachable]) is PublicationOutcome.CONFLICT
    )
    assert (
        publication.outcome_after_prepare(3, [accepted, accepted, PhaseAnswer.INVALID])
        is PublicationOutcome.INVALID
    )
    assert (
        publication.outcome_after_commit(3, [accepted, accepted, unreachable]) is PublicationOutcome.PUBLISHED
    )
    assert (
        publication.outcome_after_commit(3, [accepted, unreachable, unreachable])
        is PublicationOutcome.UNCERTAIN
    )

"""A node turns away what the network has kept: offers, commits, keeps; stops are always obeyed."""

from __future__ import annotations

import random

import pytest
from test_standins import MS, SECOND, Host

from stairplank.fence import AgeStamp
from stairplank.planner.events import AttemptId, GroupTag, TaskSpec
from stairplank.standin.node_events import Reported
from stairplank.standin.planner_session import PlannerSession


def say(
    h: Host, key: int, said_at: int | None, wait: int = 3 * SECOND, group: GroupTag | None = None
) -> AttemptId:
    id = AttemptId(h.life, key, 0)
    spec = TaskSpec("o", key, "worker", "", 5, 1.0, 1.0, 0, False)
    h.said += h.node.offer(h.now, 0, id, spec, wait, 0, 0, group, said_at=said_at)
    return id


def late(h: Host, id: AttemptId) -> bool:
    return [s for s in h.said if isinstance(s, Reported) and s.id == id][-1].is_late


def member(h: Host, key: int = 1, lease: int = SECOND) -> AttemptId:
    id = say(h, key, h.now, group=GroupTag(7, 1, 1, 0, lease))
    h.wait(700 * MS)
    assert h.words(id) == ["accepted", "ready"]
    return id


@pytest.mark.parametrize(
    ("age", "taken"), [(0, True), (2900 * MS, True), (3 * SECOND, False), (12 * SECOND, False)]
)
def test_an_offer_counts_from_when_it_was_said(age: int, taken: bool) -> None:
    h = Host(admission_time_us=(1 * MS, 1 * MS))
    id = say(h, 1, h.now - age)
    h.wait(10 * MS)
    assert h.words(id) == (["accepted"] if taken else ["refused"])
    assert late(h, id) is not taken


def test_an_offer_that_proves_nothing_of_its_age_is_turned_away() -> None:
    h = Host()
    id = say(h, 1, None)
    assert h.words(id) == ["refused"] and late(h, id)


def test_what_is_left_of_an_offer_s_wait_runs_out_in_the_line() -> None:
    h = Host(admission_time_us=(200 * MS, 200 * MS))
    id = say(h, 1, h.now - 2900 * MS)
    h.wait(300 * MS)
    assert h.words(id) == ["refused"]


def test_a_node_that_stood_still_does_not_take_offers_in_the_past() -> None:
    h = Host(admission_time_us=(20 * MS, 20 * MS))
    id = say(h, 1, h.now)
    h.wait(10 * SECOND)  # stopped, with the offer in its line; the look would have ended long ago
    assert h.words(id) == ["refused"]


def test_a_heap_of_late_offers_does_not_push_a_cold_node_over() -> None:
    h = Host(cold=True)
    for n in range(200):
        say(h, n + 1, h.now - 12 * SECOND)
    assert not h.node.crashed and not h.node.pace.recent_offers and not h.node.offers


def test_a_commit_that_was_kept_lets_nothing_run() -> None:
    h = Host()
    id = member(h)
    h.said += h.node.commit(h.now, [id], 500 * MS, said_at=h.now - 500 * MS)
    assert h.words(id)[-1] == "ready"
    h.wait(SECOND)
    assert h.words(id)[-1] == "refused"  # handed back by its own lease: it never ran


def test_a_commit_s_lease_counts_from_when_it_was_said() -> None:
    h = Host()
    id = member(h)
    h.said += h.node.commit(h.now, [id], 500 * MS, said_at=h.now - 300 * MS)
    assert h.words(id)[-1] == "running"
    h.wait(199 * MS)
    assert h.words(id)[-1] == "running"
    h.wait(2 * MS)
    assert h.words(id)[-1] == "ended"


@pytest.mark.parametrize(("age", "kept"), [(0, True), (2 * SECOND, False)])
def test_a_keep_that_was_kept_lengthens_nothing(age: int, kept: bool) -> None:
    h = Host()
    id = member(h, lease=2 * SECOND)
    h.wait(SECOND)
    h.said += h.node.keep(h.now, [id], 2 * SECOND, said_at=h.now - age)
    h.wait(1500 * MS)
    assert (h.words(id)[-1] == "ready") is kept


def test_a_keep_never_shortens_a_lease() -> None:
    h = Host()
    id = member(h, lease=5 * SECOND)
    h.said += h.node.keep(h.now, [id], 100 * MS, said_at=h.now)
    h.said += h.node.keep(h.now, [id], 100 * MS, said_at=None)
    h.wait(2 * SECOND)
    assert h.words(id)[-1] == "ready"


def test_a_stop_is_obeyed_however_old() -> None:
    h = Host()
    id = say(h, 1, h.now)
    h.wait(2 * SECOND)
    assert h.words(id)[-1] == "running"
    h.said += h.node.stop(h.now, id)
    assert h.words(id)[-1] == "ended"


def test_an_old_stream_s_hello_does_not_open_the_session() -> None:
    session = PlannerSession(random.Random(1))
    assert session.open(SECOND, 7, 2, 0) == []
    grant = session.grant(SECOND)
    assert session.open(2 * SECOND, 7, 1, 0) is None  # it was delayed while a newer one came
    assert session.earliest_sent_at(2 * SECOND, AgeStamp(grant, 10 * MS)) is not None  # the newer one goes on
    assert session.open(3 * SECOND, 8, 1, 0) == []  # another incarnation starts anew
    assert (
        session.earliest_sent_at(3 * SECOND, AgeStamp(grant, 10 * MS)) is None
        and session.expired_messages == 1
    )


def test_a_session_keeps_final_messages_until_they_are_acknowledged() -> None:
    session = PlannerSession(random.Random(1), max_messages=3)
    session.open(SECOND, 7, 1, 0)
    for message in "abc":
        session.outbox.add(message)
    assert session.open(SECOND, 7, 2, 1) == [(2, "b"), (3, "c")]
    assert session.is_complete_for(7) and not session.is_complete_for(8)
    for message in "def":
        session.outbox.add(message)
    assert not session.is_complete_for(7)  # at the bound a message was dropped: nothing is proven any more
    assert session.open(SECOND, 9, 1, 0) == [] and session.is_complete_for(9)

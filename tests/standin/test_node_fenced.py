"""A node rejects offers, commits and renewals that the network has delayed; it obeys every stop."""

from __future__ import annotations

import random

import pytest
from test_standins import MS, SECOND, Host

from stairplank.fence import AgeStamp
from stairplank.planner.events import AttemptId, GroupTag, TaskSpec
from stairplank.standin.node_events import Reported
from stairplank.standin.planner_session import PlannerSession


def send_offer(
    host: Host, key: int, sent_at: int | None, wait: int = 3 * SECOND, group: GroupTag | None = None
) -> AttemptId:
    id = AttemptId(host.incarnation, key, 0)
    spec = TaskSpec("o", key, "worker", "", 5, 1.0, 1.0, 0, False)
    host.events += host.node.offer(host.now, 0, id, spec, wait, 0, 0, group, said_at=sent_at)
    return id


def rejected_as_late(host: Host, id: AttemptId) -> bool:
    return [e for e in host.events if isinstance(e, Reported) and e.id == id][-1].is_late


def ready_member(host: Host, key: int = 1, lease: int = SECOND) -> AttemptId:
    id = send_offer(host, key, host.now, group=GroupTag(7, 1, 1, 0, lease))
    host.wait(700 * MS)
    assert host.statuses(id) == ["accepted", "ready"]
    return id


@pytest.mark.parametrize(
    ("age", "accepted"), [(0, True), (2900 * MS, True), (3 * SECOND, False), (12 * SECOND, False)]
)
def test_the_wait_of_an_offer_counts_from_its_send_time(age: int, accepted: bool) -> None:
    host = Host(admission_time_us=(1 * MS, 1 * MS))
    id = send_offer(host, 1, host.now - age)
    host.wait(10 * MS)
    assert host.statuses(id) == (["accepted"] if accepted else ["refused"])
    assert rejected_as_late(host, id) is not accepted


def test_an_offer_of_unknown_age_is_rejected() -> None:
    host = Host()
    id = send_offer(host, 1, None)
    assert host.statuses(id) == ["refused"] and rejected_as_late(host, id)


def test_an_offer_expires_in_the_admission_queue() -> None:
    host = Host(admission_time_us=(200 * MS, 200 * MS))
    id = send_offer(host, 1, host.now - 2900 * MS)
    host.wait(300 * MS)
    assert host.statuses(id) == ["refused"]


def test_a_node_does_not_accept_offers_that_expired_during_its_stall() -> None:
    host = Host(admission_time_us=(20 * MS, 20 * MS))
    id = send_offer(host, 1, host.now)
    host.wait(10 * SECOND)  # the node stalls with the offer in its queue, past the due time of the admission
    assert host.statuses(id) == ["refused"]


def test_a_burst_of_late_offers_does_not_crash_a_cold_node() -> None:
    host = Host(cold=True)
    for n in range(200):
        send_offer(host, n + 1, host.now - 12 * SECOND)
    assert not host.node.crashed and not host.node.pace.recent_offers and not host.node.offers


def test_a_commit_with_an_expired_lease_starts_nothing() -> None:
    host = Host()
    id = ready_member(host)
    host.events += host.node.commit(host.now, [id], 500 * MS, said_at=host.now - 500 * MS)
    assert host.statuses(id)[-1] == "ready"
    host.wait(SECOND)
    assert host.statuses(id)[-1] == "refused"  # the member's own lease expired: it never ran


def test_the_lease_of_a_commit_counts_from_its_send_time() -> None:
    host = Host()
    id = ready_member(host)
    host.events += host.node.commit(host.now, [id], 500 * MS, said_at=host.now - 300 * MS)
    assert host.statuses(id)[-1] == "running"
    host.wait(199 * MS)
    assert host.statuses(id)[-1] == "running"
    host.wait(2 * MS)
    assert host.statuses(id)[-1] == "ended"


@pytest.mark.parametrize(("age", "extends"), [(0, True), (2 * SECOND, False)])
def test_a_delayed_renewal_extends_no_lease(age: int, extends: bool) -> None:
    host = Host()
    id = ready_member(host, lease=2 * SECOND)
    host.wait(SECOND)
    host.events += host.node.keep(host.now, [id], 2 * SECOND, said_at=host.now - age)
    host.wait(1500 * MS)
    assert (host.statuses(id)[-1] == "ready") is extends


def test_a_renewal_never_shortens_a_lease() -> None:
    host = Host()
    id = ready_member(host, lease=5 * SECOND)
    host.events += host.node.keep(host.now, [id], 100 * MS, said_at=host.now)
    host.events += host.node.keep(host.now, [id], 100 * MS, said_at=None)
    host.wait(2 * SECOND)
    assert host.statuses(id)[-1] == "ready"


def test_a_stop_is_obeyed_whatever_its_age() -> None:
    host = Host()
    id = send_offer(host, 1, host.now)
    host.wait(2 * SECOND)
    assert host.statuses(id)[-1] == "running"
    host.events += host.node.stop(host.now, id)
    assert host.statuses(id)[-1] == "ended"


def test_the_hello_of_an_older_stream_does_not_open_the_session() -> None:
    session = PlannerSession(random.Random(1))
    assert session.open(SECOND, 7, 2, 0) == []
    grant = session.grant(SECOND)
    # The hello of the older stream was delayed and arrives after that of the newer one.
    assert session.open(2 * SECOND, 7, 1, 0) is None
    # The grants of the newer stream are still valid.
    assert session.earliest_sent_at(2 * SECOND, AgeStamp(grant, 10 * MS)) is not None
    assert session.open(3 * SECOND, 8, 1, 0) == []  # a new incarnation starts anew, with any epoch
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
    # A message was dropped at the bound, so the session no longer proves that none is missing.
    assert not session.is_complete_for(7)
    assert session.open(SECOND, 9, 1, 0) == [] and session.is_complete_for(9)

"""Tests the checker on held links: sent and received messages are distinguished, and stale ones reported."""

from __future__ import annotations

from pathlib import Path

import pytest
from capture_builder import MS, SECOND, CaptureBuilder, NodeListStream, OfferStream, PlaceStream

from stairplank.proto import common_pb2, node_pb2
from stairplank.rehearsal.capture import (
    DIALLER_CLOSED,
    FROM_DIALLER,
    FROM_LISTENER,
    LISTENER_CLOSED,
    LOST_TO_DIALLER,
    LOST_TO_LISTENER,
)


@pytest.fixture
def builder(tmp_path: Path) -> CaptureBuilder:
    builder = CaptureBuilder(tmp_path / "capture")
    NodeListStream(builder).send(1, 2, 3, 4, 5, 6, 7, 8, full=True)
    return builder


@pytest.mark.parametrize(("held", "breaches"), [(2, []), (12, [(2, "stale")])])
def test_held_offer_that_is_accepted_after_its_wait(
    builder: CaptureBuilder, held: int, breaches: list[tuple[int, str]]
) -> None:
    owner, node = PlaceStream(builder), OfferStream(builder, 1)
    owner.ask(1, "report")
    node.link.hold(FROM_DIALLER)
    node.offer(1, 0, "report")
    if held > 6:
        builder.wait(4 * SECOND)
        owner.send("failed", 1, may_run=True)
        builder.wait((held - 4) * SECOND)
    else:
        builder.wait(held * SECOND)
    node.link.release(FROM_DIALLER)
    node.send("accepted", 1)
    if held <= 6:
        node.send("running", 1)
        owner.send("placed", 1, node=1)
    checker = builder.judge()
    assert [(b.rule, b.clause) for b in checker.breaches] == breaches
    assert checker.counts.stale_refused == 0


@pytest.mark.parametrize(("held", "in_error"), [(12, 0), (1, 1)])
def test_refusals_as_too_late_are_counted_and_wrong_ones_separately(
    builder: CaptureBuilder, held: int, in_error: int
) -> None:
    owner, node = PlaceStream(builder), OfferStream(builder, 1)
    owner.ask(1, wait=20 * SECOND)
    node.link.hold(FROM_DIALLER)
    node.offer(1, 0)
    builder.wait(held * SECOND)
    node.link.release(FROM_DIALLER)
    builder.wait(MS)
    node.send("refused", 1, reason=common_pb2.REASON_TOO_LATE)
    owner.send("refused", 1)
    checker = builder.judge()
    assert not checker.breaches
    assert (checker.counts.stale_refused, checker.counts.fresh_refused) == (1, in_error)


def test_message_that_a_planner_has_not_received_does_not_count(builder: CaptureBuilder) -> None:
    """An offer is a breach only after the planner has received the node's draining message."""
    owner, node = PlaceStream(builder), OfferStream(builder, 1)
    node.link.hold(FROM_LISTENER)
    node.send_draining()
    builder.wait(SECOND)
    owner.ask(1)
    node.offer(1)
    node.link.release(FROM_LISTENER)
    builder.wait(400 * MS)
    owner.ask(2)
    node.offer(2, service=8)
    owner.send("refused", 1)
    owner.send("refused", 2)
    (breach,) = builder.judge().breaches
    assert (breach.rule, breach.clause, breach.task) == (3, "own word", "o/2")
    assert "said 1" in breach.evidence[0]  # the delay since sending begins with digit 1


def test_refusal_that_was_not_received_proves_nothing(builder: CaptureBuilder) -> None:
    owner, node, other = PlaceStream(builder), OfferStream(builder, 1), OfferStream(builder, 2)
    owner.ask(1, "report")
    node.offer(1, 0, "report", wait=SECOND)
    node.link.hold(FROM_LISTENER)
    node.send("refused", 1)
    builder.wait(2 * SECOND)
    other.offer(1, 1, "report")  # the refusal was not received, so the first attempt may have run
    owner.send("failed", 1)
    assert builder.breaches() == [(2, "once")]


def test_copies_are_counted_by_what_ran_not_by_what_was_received(builder: CaptureBuilder) -> None:
    owner, node, other = PlaceStream(builder), OfferStream(builder, 1), OfferStream(builder, 2)
    owner.ask(1, "ingest", wait=9 * SECOND)
    node.offer(1, 0, "ingest", wait=SECOND)
    node.link.hold(FROM_LISTENER)
    node.send("accepted", 1)
    node.send("running", 1)
    builder.wait(2 * SECOND)
    other.offer(1, 1, "ingest")  # allowed, as it is within group and window
    other.send("accepted", 1, 1)
    other.send("running", 1, 1)
    owner.send("placed", 1, node=2, attempt=1)
    checker = builder.judge()
    assert not checker.breaches
    assert (checker.counts.side_by_side, checker.counts.side_by_side_own) == (1, 1)


def test_copy_counts_if_it_survived_a_cut_but_not_if_its_node_ended(builder: CaptureBuilder) -> None:
    for n, alive in ((1, False), (2, True)):
        owner, node, other = (
            PlaceStream(builder, life=70 + n),
            OfferStream(builder, 1, life=70 + n),
            OfferStream(builder, 2, life=70 + n),
        )
        owner.ask(n, "ingest", wait=9 * SECOND)
        node.offer(n, 0, "ingest", wait=SECOND)
        node.send("accepted", n)
        node.send("running", n)
        node.link.close()
        builder.wait(2 * SECOND)
        other.offer(n, 1, "ingest")
        other.send("accepted", n, 1)
        other.send("running", n, 1)
        if alive:
            OfferStream(builder, 1, life=70 + n).report_tasks(n, 70 + n, "ingest", 5)
        owner.send("placed", n, node=2, attempt=1)
    assert builder.judge().counts.side_by_side == 1


@pytest.mark.parametrize(("held", "breaches"), [(500, []), (3000, [(2, "stale")])])
def test_commit_held_past_its_lease_allows_no_run(
    builder: CaptureBuilder, held: int, breaches: list[tuple[int, str]]
) -> None:
    owner = PlaceStream(builder)
    owner.ask_group(1, 1)
    node = OfferStream(builder, 1)
    node.member(1, 0, 1, 10)
    node.send("accepted", 10)
    node.send("ready", 10)
    node.link.hold(FROM_DIALLER)
    node.commit(10)  # its lease is one second
    builder.wait(held * MS)
    node.link.release(FROM_DIALLER)
    node.send("running", 10)
    owner.send_group("group_placed", 1, tries=1)
    assert builder.breaches() == breaches


@pytest.mark.parametrize(
    ("stamped", "held", "breaches"), [(True, 2, []), (True, 8, [(1, "stale")]), (False, 8, [])]
)
def test_request_held_past_its_wait(
    builder: CaptureBuilder, stamped: bool, held: int, breaches: list[tuple[int, str]]
) -> None:
    owner = PlaceStream(builder)
    owner.link.hold(FROM_DIALLER)
    owner.ask(1, take=False, stamped=stamped)
    builder.wait(held * SECOND)
    owner.link.release(FROM_DIALLER)
    owner.send("taken", 1, placing=1)
    if breaches:
        owner.withdraw(1)
    else:
        owner.send("refused", 1)
    assert builder.breaches() == breaches


def test_lost_request_needs_no_answer(builder: CaptureBuilder) -> None:
    owner = PlaceStream(builder)
    owner.link.hold(FROM_DIALLER)
    owner.ask(1, take=False)
    builder.writer.counted(LOST_TO_LISTENER, builder.at, owner.link.number, 50)
    builder.wait(20 * SECOND)
    NodeListStream(builder, 1)
    assert not builder.breaches()


def test_outcome_counts_when_the_planner_sent_it(builder: CaptureBuilder) -> None:
    owner = PlaceStream(builder)
    owner.ask(1)
    owner.link.hold(FROM_LISTENER)
    owner.send("refused", 1)
    builder.writer.counted(LOST_TO_DIALLER, builder.at, owner.link.number, 20)
    builder.wait(20 * SECOND)
    NodeListStream(builder, 1)
    assert not builder.breaches()


@pytest.mark.parametrize(("request_after_s", "breaches"), [(3, []), (0, [(2, "once")])])
def test_node_without_the_task_after_its_wait_proves_not_run(
    builder: CaptureBuilder, request_after_s: int, breaches: list[tuple[int, str]]
) -> None:
    owner, node, other = PlaceStream(builder), OfferStream(builder, 1), OfferStream(builder, 2)
    owner.ask(1, "report", wait=9 * SECOND)
    node.offer(1, 0, "report", wait=2 * SECOND)
    builder.wait(request_after_s * SECOND)
    node.report_tasks(9, 70, "report", 5, complete=True, nothing=True)
    builder.wait(3 * SECOND)
    other.offer(1, 1, "report")
    owner.send("failed", 1)
    assert builder.breaches() == breaches


def test_closing_of_an_older_link_leaves_the_newer_one(builder: CaptureBuilder) -> None:
    """The spread rule keeps a report on the newer link when the older link closes after that."""
    owner, node = PlaceStream(builder), OfferStream(builder, 1)
    owner.ask(1)
    node.offer(1)
    node.send("accepted", 1)
    node.send("running", 1)
    owner.send("placed", 1, node=1)
    newer = OfferStream(builder, 1)
    newer.report_tasks(1, 70, "worker", 5)
    node.link.close()
    owner.ask(2)
    newer.offer(2)
    owner.send("refused", 2)
    assert builder.breaches() == [(5, "node")]


def test_renewed_grants_are_not_messages_on_attempts(builder: CaptureBuilder) -> None:
    owner, node = PlaceStream(builder), OfferStream(builder, 1)
    node.link.send_from_listener(node.event(renewed=node_pb2.OfferEvent.Grant(), grant=5))
    owner.link.send_from_listener(owner.event(renewed=owner.event.Grant(), grant=5))
    assert not builder.breaches()


def test_request_to_a_closed_planner_needs_no_answer(builder: CaptureBuilder) -> None:
    """The planner's end had closed before the request, so forwarding does not mean receipt."""
    owner = PlaceStream(builder)
    builder.writer.write(LISTENER_CLOSED, builder.at, owner.link.number)
    owner.ask(1, take=False)
    builder.writer.write(DIALLER_CLOSED, builder.at, owner.link.number)
    builder.wait(20 * SECOND)
    NodeListStream(builder, 1)
    assert not builder.breaches()


def test_offer_to_a_closed_node_is_not_in_flight(builder: CaptureBuilder) -> None:
    owner, node, other = PlaceStream(builder), OfferStream(builder, 1), OfferStream(builder, 2)
    owner.ask(1, "report")
    builder.writer.write(LISTENER_CLOSED, builder.at, node.link.number)
    node.offer(1, 0, "report")
    builder.writer.write(DIALLER_CLOSED, builder.at, node.link.number)
    other.offer(1, 1, "report")
    owner.send("failed", 1)
    assert not builder.breaches()

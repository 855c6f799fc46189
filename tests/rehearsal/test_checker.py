"""Tests each clause of the five rules: a capture with a breach is reported, and an allowed one is not."""

from __future__ import annotations

from pathlib import Path

import pytest
from capture_builder import MS, SECOND, CaptureBuilder, NodeListStream, OfferStream, PlaceStream


@pytest.fixture
def builder(tmp_path: Path) -> CaptureBuilder:
    return CaptureBuilder(tmp_path / "capture")


def listed(builder: CaptureBuilder, planner: int = 0) -> NodeListStream:
    stream = NodeListStream(builder, planner)
    stream.send(1, 2, 3, 4, 5, 6, 7, 8, full=True)
    return stream


# Sequences that are allowed


def test_requests_with_one_outcome_are_no_breach(builder: CaptureBuilder) -> None:
    listed(builder)
    owner, node, other = PlaceStream(builder), OfferStream(builder, 1), OfferStream(builder, 2)
    owner.ask(1, "ingest")
    node.offer(1, 0, "ingest")
    node.send("refused", 1)
    other.offer(1, 1, "ingest")
    other.send("accepted", 1, 1)
    other.send("running", 1, 1)
    owner.send("placed", 1, node=2, attempt=1)
    other.send("ended", 1, 1, how=1)
    owner.send("ended", 1, finished=True)
    owner.ask(2, "report")
    owner.send("refused", 2)
    owner.ask(3)
    owner.withdraw(3)
    owner.ask(4, take=False)
    owner.send("rejected", 4, code=3)
    owner.ask(5)
    owner.link.close()
    builder.wait(20 * SECOND)
    NodeListStream(builder, 1)
    checker = builder.judge()
    assert checker.breaches == []
    counts = checker.counts
    assert (counts.asks, counts.taken, counts.placed, counts.refused, counts.withdrawn) == (5, 4, 1, 1, 1)
    assert (counts.offers, counts.offers_refused, counts.finished, counts.rejected) == (2, 1, 1, 1)


def test_a_keyed_task_may_go_to_its_group_again(builder: CaptureBuilder) -> None:
    listed(builder)
    owner, node, other = PlaceStream(builder), OfferStream(builder, 1), OfferStream(builder, 2)
    owner.ask(1, "ingest")
    node.offer(1, 0, "ingest")
    node.send("error", 1)
    builder.wait(SECOND)
    other.offer(1, 1, "ingest")
    other.send("running", 1, 1)
    owner.send("placed", 1, node=2, attempt=1)
    assert builder.breaches() == []


def test_a_repeatable_task_may_go_anywhere_after_its_time_out(builder: CaptureBuilder) -> None:
    listed(builder)
    owner, node, other = PlaceStream(builder), OfferStream(builder, 1), OfferStream(builder, 6)
    owner.ask(1)
    node.offer(1, 0, wait=SECOND)
    builder.wait(SECOND)
    other.offer(1, 1)
    other.send("running", 1, 1)
    owner.send("placed", 1, node=6, attempt=1)
    assert builder.breaches() == []


# Rule 1


def test_admitted_request_without_an_outcome(builder: CaptureBuilder) -> None:
    owner = PlaceStream(builder)
    owner.ask(1, wait=SECOND)
    builder.wait(2 * SECOND)
    owner.ask(2, take=False)
    owner.send("rejected", 2)
    breach = builder.only()
    assert (breach.rule, breach.clause, breach.task) == (1, "no task lost", "o/1")


def test_request_without_any_answer(builder: CaptureBuilder) -> None:
    owner = PlaceStream(builder)
    owner.ask(1, wait=SECOND, take=False)
    builder.wait(2 * SECOND)
    owner.ask(2, take=False)
    owner.send("rejected", 2)
    assert builder.breaches() == [(1, "no task lost")]


def test_answer_after_the_deadline(builder: CaptureBuilder) -> None:
    owner = PlaceStream(builder)
    owner.ask(1, wait=SECOND)
    builder.wait(SECOND + 60 * MS)
    owner.send("refused", 1)
    breach = builder.only()
    assert (
        (breach.rule, breach.clause) == (1, "in time")
        and "62.0 ms" in breach.text
        and "refused" in breach.evidence[-1]
    )


def test_answer_within_the_slack(builder: CaptureBuilder) -> None:
    owner = PlaceStream(builder)
    owner.ask(1, wait=SECOND)
    builder.wait(SECOND + 30 * MS)
    owner.send("failed", 1)
    assert builder.breaches() == []


@pytest.mark.parametrize(("planner", "breaches"), [(0, []), (1, [(1, "in time")])])
def test_paused_planner_may_answer_after_its_pause(
    builder: CaptureBuilder, planner: int, breaches: list[tuple[int, str]]
) -> None:
    from stairplank.rehearsal import capture

    owner = PlaceStream(builder)
    owner.ask(1, wait=SECOND)
    builder.writer.write(capture.SCRIPT, builder.at, 0, f"planner {planner} pause for 1500ms".encode())
    builder.wait(1550 * MS)
    owner.send("refused", 1)
    assert builder.breaches() == breaches


def test_two_outcomes(builder: CaptureBuilder) -> None:
    owner = PlaceStream(builder)
    owner.ask(1)
    owner.send("refused", 1)
    owner.send("failed", 1)
    breach = builder.only()
    assert (breach.rule, breach.clause) == (1, "one outcome") and len(breach.evidence) == 3


@pytest.mark.parametrize("kind", ["rejected", "ended"])
def test_message_that_contradicts_the_outcome(builder: CaptureBuilder, kind: str) -> None:
    owner = PlaceStream(builder)
    owner.ask(1)
    owner.send("refused", 1)
    owner.send(kind, 1)
    assert builder.breaches() == [(1, "one outcome")]


def test_outcome_before_admission_and_outcome_without_a_request(builder: CaptureBuilder) -> None:
    owner = PlaceStream(builder)
    owner.ask(1, take=False)
    owner.send("refused", 1)
    owner.send("failed", 9)
    assert builder.breaches() == [(1, "one outcome")] * 2


def test_two_requests_admitted_as_one_placement(builder: CaptureBuilder) -> None:
    owner = PlaceStream(builder)
    for ask in (1, 2):
        owner.ask(ask, take=False)
        owner.send("taken", ask, placing=1)
        owner.send("refused", ask)
    assert builder.breaches() == [(1, "one outcome")]


def test_an_offer_after_the_outcome(builder: CaptureBuilder) -> None:
    listed(builder)
    owner, node = PlaceStream(builder), OfferStream(builder, 1)
    owner.ask(1)
    owner.send("refused", 1)
    builder.wait(200 * MS)
    node.offer(1)
    breach = builder.only()
    assert (breach.rule, breach.clause, breach.node) == (1, "nothing after", 1)


def test_offer_after_the_deadline(builder: CaptureBuilder) -> None:
    listed(builder)
    owner, node = PlaceStream(builder), OfferStream(builder, 1)
    owner.ask(1, wait=SECOND)
    builder.wait(2 * SECOND)
    node.offer(1)
    assert (1, "nothing after") in builder.breaches()


def test_a_binding_without_an_offer_and_one_to_a_refusal(builder: CaptureBuilder) -> None:
    listed(builder)
    owner, node = PlaceStream(builder), OfferStream(builder, 1)
    owner.ask(1)
    owner.send("placed", 1, node=1, attempt=0)
    owner.ask(2)
    node.offer(2, service=6)
    node.send("refused", 2)
    owner.send("placed", 2, node=1, attempt=0)
    assert builder.breaches() == [(1, "binding")] * 2


# Rule 2


def test_two_attempts_in_flight(builder: CaptureBuilder) -> None:
    listed(builder)
    owner, node, other = PlaceStream(builder), OfferStream(builder, 1), OfferStream(builder, 2)
    owner.ask(1)
    node.offer(1, 0)
    builder.wait(SECOND)
    other.offer(1, 1)
    owner.send("failed", 1)
    breach = builder.only()
    assert (breach.rule, breach.clause, breach.node) == (2, "one attempt", 2)


def test_one_attempt_offered_twice(builder: CaptureBuilder) -> None:
    listed(builder)
    owner, node = PlaceStream(builder), OfferStream(builder, 1)
    owner.ask(1)
    node.offer(1, 0)
    node.offer(1, 0)
    owner.send("failed", 1)
    assert builder.breaches() == [(2, "one attempt")]


def test_a_task_that_must_not_run_twice_offered_again(builder: CaptureBuilder) -> None:
    listed(builder)
    owner, node, other = PlaceStream(builder), OfferStream(builder, 1), OfferStream(builder, 2)
    owner.ask(1, "report")
    node.offer(1, 0, "report")
    node.send("error", 1)
    other.offer(1, 1, "report")
    owner.send("failed", 1)
    assert builder.breaches() == [(2, "once")]


@pytest.mark.parametrize(
    ("complete", "accepted", "breaches"),
    [(True, False, []), (False, False, [(2, "once")]), (True, True, [(2, "once")])],
)
def test_node_may_prove_that_it_never_received_an_offer(
    builder: CaptureBuilder, complete: bool, accepted: bool, breaches: list[tuple[int, str]]
) -> None:
    listed(builder)
    owner, node, other = PlaceStream(builder), OfferStream(builder, 1), OfferStream(builder, 2)
    owner.ask(1, "report")
    node.offer(1, 0, "report")
    if accepted:
        node.send("accepted", 1)
    node.link.close()
    OfferStream(builder, 1).report_tasks(9, 70, "report", 5, complete=complete, nothing=True)
    other.offer(1, 1, "report")
    owner.send("failed", 1)
    assert builder.breaches() == breaches


def test_a_keyed_task_out_of_its_group(builder: CaptureBuilder) -> None:
    listed(builder)
    owner, node, other = PlaceStream(builder), OfferStream(builder, 1), OfferStream(builder, 6)
    owner.ask(1, "ingest")
    node.offer(1, 0, "ingest")
    node.send("error", 1)
    other.offer(1, 1, "ingest")
    owner.send("failed", 1)
    assert builder.breaches() == [(2, "group")]


def test_a_keyed_task_out_of_its_window(builder: CaptureBuilder) -> None:
    listed(builder)
    owner, node, other = PlaceStream(builder), OfferStream(builder, 1), OfferStream(builder, 2)
    owner.ask(1, "ingest", wait=20 * SECOND)
    node.offer(1, 0, "ingest", wait=20 * SECOND)
    node.send("error", 1)
    builder.wait(9 * SECOND)
    other.offer(1, 1, "ingest")
    owner.send("failed", 1)
    assert builder.breaches() == [(2, "window")]


@pytest.mark.parametrize(
    ("class_name", "kind", "breach"),
    [
        ("report", "error", [(2, "refusal")]),
        ("ingest", "error", [(2, "refusal")]),
        ("spread-all", "error", []),
        ("worker", "error", []),
        ("report", "refused", []),
        ("ingest", "refused", []),
    ],
)
def test_a_refusal_promises_that_nothing_ran(
    builder: CaptureBuilder, class_name: str, kind: str, breach: list[tuple[int, str]]
) -> None:
    listed(builder)
    owner, node = PlaceStream(builder), OfferStream(builder, 1)
    owner.ask(1, class_name)
    node.offer(1, 0, class_name)
    node.send(kind, 1)
    owner.send("refused", 1)
    assert builder.breaches() == breach


def test_more_attempts_than_allowed(builder: CaptureBuilder) -> None:
    listed(builder)
    owner, node = PlaceStream(builder), OfferStream(builder, 1)
    owner.ask(1)
    for attempt in range(4):
        node.offer(1, attempt)
        node.send("refused", 1, attempt)
    owner.send("refused", 1)
    assert builder.breaches() == [(2, "attempts")]


def test_copies_that_run_at_the_same_time_are_counted(builder: CaptureBuilder) -> None:
    listed(builder)
    first, second = PlaceStream(builder), PlaceStream(builder, planner=1, life=71)
    node, other = OfferStream(builder, 1), OfferStream(builder, 6, planner=1, life=71)
    first.ask(1, "report")
    node.offer(1, 0, "report")
    node.send("running", 1)
    first.send("placed", 1, node=1, attempt=0)
    second.ask(1, "report")
    other.offer(1, 0, "report")
    other.send("running", 1)
    second.send("placed", 1, node=6, attempt=0)
    assert builder.judge().counts.side_by_side == 1


# Rule 3


@pytest.mark.parametrize(
    ("state", "wait", "breach"), [("draining", 400, 1), ("gone", 400, 1), ("gone", 100, 0)]
)
def test_offer_to_a_node_listed_as_draining_or_gone(
    builder: CaptureBuilder, state: str, wait: int, breach: int
) -> None:
    node_list = listed(builder)
    owner, node = PlaceStream(builder), OfferStream(builder, 1)
    node_list.send(1, state=state)
    owner.ask(1)
    builder.wait(wait * MS)
    node.offer(1)
    owner.send("failed", 1)
    assert builder.breaches() == [(3, "list")] * breach


def test_offer_to_a_node_missing_from_a_full_list(builder: CaptureBuilder) -> None:
    node_list = listed(builder)
    owner, node = PlaceStream(builder), OfferStream(builder, 1)
    node_list.send(2, 3, full=True)
    builder.wait(300 * MS)
    owner.ask(1)
    node.offer(1)
    owner.send("failed", 1)
    assert builder.breaches() == [(3, "list")]


@pytest.mark.parametrize("in_welcome", [True, False])
def test_offer_to_a_node_that_reported_draining(builder: CaptureBuilder, in_welcome: bool) -> None:
    listed(builder)
    owner, node = PlaceStream(builder), OfferStream(builder, 1, draining=in_welcome)
    if not in_welcome:
        node.send_draining()
    builder.wait(300 * MS)
    owner.ask(1)
    node.offer(1)
    owner.send("failed", 1)
    assert builder.breaches() == [(3, "own word")]


def test_node_list_of_another_planner_does_not_count(builder: CaptureBuilder) -> None:
    listed(builder)
    other = listed(builder, planner=1)
    owner, node = PlaceStream(builder), OfferStream(builder, 1)
    other.send(1, state="draining")
    builder.wait(300 * MS)
    owner.ask(1)
    node.offer(1)
    owner.send("failed", 1)
    assert builder.breaches() == []


# Rule 4


def cold_offers(
    builder: CaptureBuilder, count: int, notified: bool, gap: int = 10 * MS
) -> list[tuple[int, str]]:
    lists = listed(builder)
    if notified:
        lists.send(1, started=builder.at)
    else:
        NodeListStream(builder, 1).send(1, started=builder.at)
    owner, node = PlaceStream(builder), OfferStream(builder, 1)
    for n in range(1, count + 1):
        owner.ask(n)
        node.offer(n, service=n)
        node.send("refused", n)
        owner.send("refused", n)
        builder.wait(gap)
    return builder.breaches()


def test_too_many_offers_to_a_cold_node(builder: CaptureBuilder) -> None:
    assert cold_offers(builder, 8, notified=True) == [(4, "pushed over")]


def test_allowed_number_of_offers_to_a_cold_node(builder: CaptureBuilder) -> None:
    assert cold_offers(builder, 5, notified=True) == []


def test_offers_to_a_cold_node_spread_over_time(builder: CaptureBuilder) -> None:
    assert cold_offers(builder, 12, notified=True, gap=500 * MS) == []


def test_offers_by_planners_not_notified_of_the_start(builder: CaptureBuilder) -> None:
    assert cold_offers(builder, 8, notified=False) == []


# Rule 5


@pytest.mark.parametrize(
    ("class_name", "nodes", "breach"),
    [
        ("worker", (1, 1), [(5, "node")]),
        ("worker", (1, 2), []),
        ("ingest", (1, 2, 3, 4), [(5, "group")]),
        ("ingest", (1, 2, 3, 5), []),
        ("report", (1, 2, 4), [(5, "zone")]),
        ("report", (1, 2, 5), []),
    ],
)
def test_spread(
    builder: CaptureBuilder, class_name: str, nodes: tuple[int, ...], breach: list[tuple[int, str]]
) -> None:
    listed(builder)
    owner = PlaceStream(builder)
    links = {n: OfferStream(builder, n) for n in set(nodes)}
    for key, node in enumerate(nodes, 1):
        owner.ask(key, class_name)
        links[node].offer(key, 0, class_name)
        links[node].send("running", key)
        owner.send("placed", key, node=node, attempt=0)
    assert builder.breaches() == breach


def test_spread_counts_until_the_final_status(builder: CaptureBuilder) -> None:
    listed(builder)
    owner, node = PlaceStream(builder), OfferStream(builder, 1)
    for key in (1, 2):
        owner.ask(key)
        node.offer(key)
        node.send("running", key)
        owner.send("placed", key, node=1, attempt=0)
        node.send("ended", key, how=1)
    assert builder.breaches() == []


def test_spread_counts_adopted_tasks(builder: CaptureBuilder) -> None:
    listed(builder)
    owner, node = PlaceStream(builder), OfferStream(builder, 1)
    node.report_tasks(9, life=33, class_name="worker", service=5)
    owner.ask(1)
    node.offer(1)
    owner.send("failed", 1)
    assert builder.breaches() == [(5, "node")]


@pytest.mark.parametrize("held", [True, False])
def test_spread_over_a_cut_counts_what_the_node_still_holds(builder: CaptureBuilder, held: bool) -> None:
    listed(builder)
    owner, node = PlaceStream(builder), OfferStream(builder, 1)
    owner.ask(1)
    node.offer(1)
    node.send("running", 1)
    owner.send("placed", 1, node=1, attempt=0)
    node.link.close()
    new_stream = OfferStream(builder, 1)
    if held:
        new_stream.report_tasks(1, life=70, class_name="worker", service=5)
    owner.ask(2)
    new_stream.offer(2)
    owner.send("failed", 2)
    assert builder.breaches() == [(5, "node")] * held


def test_a_task_that_was_found_may_end_after_its_outcome(builder: CaptureBuilder) -> None:
    listed(builder)
    owner, node = PlaceStream(builder), OfferStream(builder, 1)
    owner.ask(1, "report")
    node.offer(1, 0, "report")
    owner.send("failed", 1, may_run=True)
    node.send("running", 1)
    owner.send("found", 1, node=1)
    owner.send("ended", 1, finished=True)
    assert builder.breaches() == []


# Captures that are inconsistent or unreadable


def test_messages_and_offers_without_a_request(builder: CaptureBuilder) -> None:
    listed(builder)
    node = OfferStream(builder, 1)
    node.send("running", 8)
    node.offer(3)
    node.offer(4, life=99, service=8)
    node.send("refused", 3)
    node.send("error", 3)
    assert sorted(set(builder.breaches())) == [(0, "attempts")]


def test_truncated_capture_is_rejected(builder: CaptureBuilder, tmp_path: Path) -> None:
    from stairplank.rehearsal.capture import CaptureError
    from stairplank.rehearsal.run import judge

    PlaceStream(builder).ask(1)
    builder.file.close()
    data = builder.path.read_bytes()
    for cut in (4, 10, len(data) - 3):
        truncated = tmp_path / "torn"
        truncated.write_bytes(data[:cut])
        with pytest.raises(CaptureError):
            judge(truncated)


def test_a_link_that_cannot_be_read_is_a_problem(builder: CaptureBuilder) -> None:
    from stairplank.rehearsal import capture
    from stairplank.rehearsal.run import judge

    builder.writer.write(capture.OPEN, builder.at, 7, b'{"to": "planner 0"}')
    builder.writer.write(capture.FROM_DIALLER, builder.at, 7, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    builder.file.close()
    _, problems, _ = judge(builder.path)
    assert len(problems) == 1 and "preface" in problems[0]

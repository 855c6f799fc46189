"""Tests the checker's clauses on groups: breaches are reported, and correct groups are not."""

from __future__ import annotations

from pathlib import Path

import pytest
from capture_builder import MS, SECOND, CaptureBuilder, NodeListStream, OfferStream, PlaceStream


class Group:
    """A group of three members on three nodes, with the messages that a planner and its nodes send."""

    def __init__(self, builder: CaptureBuilder) -> None:
        self.builder = builder
        NodeListStream(builder).send(1, 2, 3, 4, 5, 6, 7, 8, full=True)
        self.owner = PlaceStream(builder)
        self.nodes = [OfferStream(builder, n) for n in (1, 2, 3)]
        self.owner.ask_group(1, 3)

    def offer(self, *members: int) -> None:
        for m in members:
            self.nodes[m].member(1, m, 3, 10 + m)
            self.nodes[m].send("accepted", 10 + m)
            self.nodes[m].send("ready", 10 + m)

    def run(self, *members: int, commit: bool = True) -> None:
        for m in members:
            if commit:
                self.nodes[m].commit(10 + m)
            self.nodes[m].send("running", 10 + m)

    def end(self, *members: int, how: int = 1) -> None:
        for m in members:
            self.nodes[m].send("ended", 10 + m, how=how)

    def placed(self) -> None:
        self.owner.send_group("group_placed", 1, tries=1)


@pytest.fixture
def group(tmp_path: Path) -> Group:
    return Group(CaptureBuilder(tmp_path / "capture"))


def test_complete_group_is_no_breach(group: Group) -> None:
    group.offer(0, 1, 2)
    group.run(0, 1, 2)
    group.placed()
    group.end(0, 1)
    group.builder.wait(10 * SECOND)  # members may finish at different times; the group is then not partial
    group.end(2)
    group.owner.send_group("group_ended", 1, finished=True)
    checker = group.builder.judge()
    assert checker.breaches == []
    assert (checker.counts.groups, checker.counts.groups_placed) == (1, 1)


@pytest.mark.parametrize(("wait", "breaches"), [(1500, []), (2500, [(6, "partly running")])])
def test_partial_group(group: Group, wait: int, breaches: list[tuple[int, str]]) -> None:
    group.offer(0, 1, 2)
    group.run(0, 1)
    group.builder.wait(wait * MS)
    group.run(2)
    group.placed()
    assert group.builder.breaches() == breaches


@pytest.mark.parametrize(("wait", "breaches"), [(1500, []), (2500, [(6, "partly running")])])
def test_group_that_runs_on_after_losing_a_member(
    group: Group, wait: int, breaches: list[tuple[int, str]]
) -> None:
    group.offer(0, 1, 2)
    group.run(0, 1, 2)
    group.placed()
    group.end(1, how=3)
    group.builder.wait(wait * MS)
    group.end(0, 2, how=2)
    assert group.builder.breaches() == breaches


@pytest.mark.parametrize(("wait", "breaches"), [(1000, []), (2500, [(6, "partly running")])])
@pytest.mark.parametrize("restart_seen", ["before the end", "after the end"])
def test_member_that_ended_with_its_node(
    group: Group, restart_seen: str, wait: int, breaches: list[tuple[int, str]]
) -> None:
    group.offer(0, 1, 2)
    group.run(0, 1, 2)
    group.placed()
    group.nodes[1].link.close()
    group.builder.wait(wait * MS)
    if restart_seen == "before the end":
        OfferStream(group.builder, 2, started=77)  # the node has restarted
        group.end(0, 2, how=2)
    else:
        group.end(0, 2, how=2)
        group.builder.wait(5 * SECOND)
        OfferStream(group.builder, 2, started=77)
    assert group.builder.breaches() == breaches


def test_cut_link_alone_does_not_end_a_member(group: Group) -> None:
    group.offer(0, 1, 2)
    group.run(0, 1, 2)
    group.placed()
    group.nodes[1].link.close()
    group.builder.wait(3 * SECOND)
    new_stream = OfferStream(group.builder, 2)
    new_stream.report_tasks(11, life=70, class_name="worker", service=51)
    new_stream.send("ended", 11, how=1)
    group.builder.wait(3 * SECOND)
    group.end(0, 2)
    assert group.builder.breaches() == []


def test_commit_before_all_members_were_offered(group: Group) -> None:
    group.offer(0, 1)
    group.run(0)
    group.owner.send_group("group_failed", 1)
    assert group.builder.breaches() == [(6, "let run")]


def test_member_that_runs_without_a_commit(group: Group) -> None:
    group.offer(0, 1, 2)
    group.run(0, commit=False)
    group.end(0, how=2)
    group.owner.send_group("group_failed", 1)
    assert group.builder.breaches() == [(6, "let run")]


def test_two_attempts_of_a_member(group: Group) -> None:
    group.offer(0, 1, 2)
    group.nodes[1].member(2, 0, 3, 20)
    group.owner.send_group("group_refused", 1)
    breach = group.builder.only()
    assert (breach.rule, breach.clause, breach.node) == (2, "member", 2)


@pytest.mark.parametrize("ending", ["refused", "stop"])
def test_member_may_be_offered_again_after_its_attempt_has_ended(group: Group, ending: str) -> None:
    group.offer(0, 1, 2)
    if ending == "refused":
        group.nodes[0].send("refused", 10)
    else:
        group.nodes[0].stop(10)
    group.nodes[1].member(2, 0, 3, 20)
    group.owner.send_group("group_refused", 1)
    assert group.builder.breaches() == []


def test_two_outcomes_and_no_outcome(group: Group) -> None:
    group.owner.send_group("group_refused", 1)
    group.owner.send_group("group_placed", 1)
    group.owner.send_group("group_ended", 1)
    group.owner.ask_group(2, 2, wait=SECOND)
    group.builder.wait(2 * SECOND)
    group.owner.ask(3, take=False)
    group.owner.send("rejected", 3)
    assert sorted(group.builder.breaches()) == [(1, "no task lost"), (1, "one outcome"), (1, "one outcome")]


def test_a_late_outcome(group: Group) -> None:
    group.builder.wait(7 * SECOND)
    group.owner.send_group("group_refused", 1)
    assert group.builder.breaches() == [(1, "in time")]


def test_second_attempt_of_a_group_is_checked_separately(group: Group) -> None:
    group.offer(0, 1, 2)
    group.run(0, 1)
    for m in (0, 1):
        group.nodes[m].stop(10 + m)
        group.nodes[m].send("ended", 10 + m, how=2)
    group.nodes[2].send("refused", 12)
    for m in (0, 1, 2):
        group.nodes[m].member(1, m, 3, 20 + m)
        group.nodes[m].send("ready", 20 + m)
    for m in (0, 1, 2):
        group.nodes[m].commit(20 + m)
        group.nodes[m].send("running", 20 + m)
    group.placed()
    group.nodes[1].link.close()
    new_stream = OfferStream(group.builder, 2)
    new_stream.report_tasks(21, life=70, class_name="worker", service=51)
    group.builder.wait(5 * SECOND)
    assert group.builder.breaches() == []


def test_late_message_on_an_abandoned_attempt_ends_no_member(group: Group) -> None:
    group.offer(0, 1, 2)
    group.nodes[1].stop(11)
    group.nodes[0].member(1, 1, 3, 31)
    group.nodes[0].send("ready", 31)
    for placing, node in ((10, 0), (31, 0), (12, 2)):
        group.nodes[node].commit(placing)
        group.nodes[node].send("running", placing)
    group.placed()
    group.nodes[1].send("refused", 11)
    group.builder.wait(5 * SECOND)
    group.nodes[2].send("ended", 12, how=1)
    assert group.builder.breaches() == []


@pytest.mark.parametrize(("reported", "breaches"), [(True, []), (False, [(6, "partly running")])])
def test_members_that_ended_while_no_planner_was_connected(
    group: Group, reported: bool, breaches: list[tuple[int, str]]
) -> None:
    """Members that ended while no planner was connected.

    They count as finished only if the node reports to the next incarnation that it holds none of them.
    Otherwise they ended with their node.
    """
    group.offer(0, 1, 2)
    group.run(0, 1, 2)
    group.placed()
    for node in group.nodes:
        node.link.close()
    group.owner.link.close()
    group.builder.wait(SECOND)
    new_streams = [OfferStream(group.builder, n, life=71) for n in (1, 2, 3)]
    for n, stream in enumerate(new_streams):
        if n == 0 and reported:
            stream.report_tasks(9, 71, "worker", 5, nothing=True)
        elif n:
            stream.report_tasks(10 + n, 70, "worker", 50 + n)
    group.builder.wait(3 * SECOND)
    for n in (1, 2):
        new_streams[n].send("ended", 10 + n, life=70, how=1)
    new_streams[0].link.close()
    OfferStream(group.builder, 1, life=71, started=5)
    assert group.builder.breaches() == breaches

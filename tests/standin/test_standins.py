"""The stand-ins' own behaviour, without sockets."""

from __future__ import annotations

from dataclasses import replace

import pytest

from stairplank import interface as api
from stairplank.planner import events as ev
from stairplank.planner.events import AttemptId, ListedNode, TaskSpec
from stairplank.standin.client import CancelTask, Client, ClientModel, Demand, RequestState, SubmitTask
from stairplank.standin.dedup_memory import DedupMemories
from stairplank.standin.node import Node
from stairplank.standin.node_events import Crashed, DrainingReported, HealthChecked, Reported
from stairplank.standin.node_list_state import NodeListModel, NodeListState
from stairplank.standin.node_model import NodeModel
from stairplank.standin.script import parse

MS, SECOND = 1_000, 1_000_000
MODEL = NodeModel(
    1, "n1", "std", "a", "r", 4.0, 8.0, admission_time_us=(MS, MS), start_us=50 * MS, starts_at_once=1
)


class Host:
    """One node, advanced by hand."""

    def __init__(self, copies: DedupMemories | None = None, cold: bool = False, **model: object) -> None:
        self.now = 1000 * SECOND
        self.node = Node(replace(MODEL, **model), copies or DedupMemories(()), 3, self.now, cold)  # type: ignore[arg-type]
        self.said: list = []
        self.life = 7

    def offer(
        self, key: int, wait: int = 60 * SECOND, priority: int = 0, window: int = 0, **task: object
    ) -> AttemptId:
        id = AttemptId(self.life, key, 0)
        spec = TaskSpec("o", key, "worker", "", 5, 1.0, 1.0, SECOND, False)
        spec = replace(spec, **task)  # type: ignore[arg-type]
        self.said += self.node.offer(self.now, 0, id, spec, wait, priority, window, said_at=self.now)
        return id

    def wait(self, us: int) -> None:
        self.now += us
        self.said += self.node.advance(self.now)

    def words(self, id: AttemptId) -> list[str]:
        return [s.kind for s in self.said if isinstance(s, Reported) and s.id == id and s.kind != "usage"]

    def reason(self, id: AttemptId) -> api.Reason:
        return [s for s in self.said if isinstance(s, Reported) and s.id == id][-1].reason


def test_a_task_s_life_at_a_node() -> None:
    h = Host()
    id = h.offer(1)
    h.wait(10 * MS)
    assert h.words(id) == ["accepted"] and h.node.free() == (3.0, 7.0)
    h.wait(5 * SECOND)
    assert h.words(id) == ["accepted", "running", "ended"] and h.node.free() == (4.0, 8.0)
    assert h.node.next_due() is None


def test_starts_from_nothing_take_longer() -> None:
    h = Host()
    first = h.offer(1)
    h.wait(100 * MS)
    assert "running" not in h.words(first)
    h.wait(400 * MS)
    assert "running" in h.words(first)
    second = h.offer(2)
    h.wait(100 * MS)
    assert "running" in h.words(second)


@pytest.mark.parametrize(
    ("task", "reason"),
    [({"cores": 5.0}, api.Reason.NO_CORES), ({"memory": 9.0}, api.Reason.NO_MEMORY)],
)
def test_no_room(task: dict, reason: api.Reason) -> None:
    h = Host()
    id = h.offer(1, **task)
    h.wait(10 * MS)
    assert h.words(id) == ["refused"] and h.reason(id) is reason


def test_only_so_many_offers_wait_and_late_ones_are_handed_back() -> None:
    h = Host(max_waiting_offers=2, admission_time_us=(50 * MS, 50 * MS))
    ids = [h.offer(n) for n in (1, 2, 3)]
    assert h.words(ids[2]) == ["refused"] and h.reason(ids[2]) is api.Reason.QUEUE_FULL
    late = Host(admission_time_us=(50 * MS, 50 * MS))
    id = late.offer(1, wait=20 * MS)
    late.wait(100 * MS)
    assert late.words(id) == ["refused"] and late.reason(id) is api.Reason.NOT_HERE


def test_a_drain_sends_all_away_and_says_so() -> None:
    h = Host(starts_at_once=1)
    runs, starts = h.offer(1, expected_duration_us=0), None
    h.wait(500 * MS)
    starts, accepted = h.offer(2, service=6), h.offer(3, service=7)
    h.wait(10 * MS)
    waits = h.offer(4)
    h.said += h.node.drain(h.now)
    assert DrainingReported() in h.said
    assert h.words(runs)[-1] == "ended" and h.reason(runs) is api.Reason.SENT_AWAY
    assert h.words(starts)[-1] == "ended" and h.words(accepted)[-1] == "refused"
    assert h.words(waits)[-1] == "refused" and h.node.free() == (4.0, 8.0)
    assert h.words(h.offer(5)) == ["refused"]


def test_stops_end_what_runs_and_hand_back_what_has_not_begun() -> None:
    h = Host()
    runs = h.offer(1, expected_duration_us=0)
    h.wait(500 * MS)
    waits = h.offer(2)
    for id in (runs, waits, AttemptId(9, 9, 9)):
        h.said += h.node.stop(h.now, id)
    assert h.words(runs)[-1] == "ended" and h.words(waits) == ["refused"]


def test_one_keyed_copy_stands_in_a_group() -> None:
    copies = DedupMemories(())
    a, b = Host(copies), Host(copies)
    b.life = 8
    first = a.offer(1, window=8 * SECOND)
    a.wait(10 * MS)
    b.now = a.now
    repeat = b.offer(1, window=8 * SECOND)
    b.wait(10 * MS)
    assert a.words(first) == ["accepted"] and b.words(repeat) == ["refused"]
    a.wait(3 * SECOND)  # it finished; within the window repeats are dropped still
    b.now = a.now
    again = b.offer(1, window=8 * SECOND)
    b.wait(10 * MS)
    assert b.words(again)[-1] == "refused"
    b.now += 6 * SECOND
    later = b.offer(1, window=8 * SECOND)
    b.wait(10 * MS)
    assert b.words(later)[-1] == "accepted"


def test_which_nodes_drop_repeats_is_the_class_s_matter() -> None:
    """Of a class whose group is all nodes, a node of another rack drops the repeat as well."""
    for scope, dropped in ((api.Scope.ALL, True), (api.Scope.ZONE, True), (api.Scope.GROUP, False)):
        sort = api.TaskClass("worker", api.Effect.IDEMPOTENT_BY_KEY, scope, 8 * SECOND, SECOND, SECOND)
        copies = DedupMemories((sort,))
        a, b = Host(copies), Host(copies, rack="another", id=2)
        a.offer(1, window=8 * SECOND)
        a.wait(2 * SECOND)
        repeat = b.offer(1, window=8 * SECOND)
        b.wait(10 * MS)
        assert (b.words(repeat) == ["refused"]) is dropped


def test_lower_priorities_are_pushed_out() -> None:
    h = Host(preempts=True)
    low = [h.offer(n, cores=2.0, expected_duration_us=0, service=n) for n in (1, 2)]
    h.wait(2 * SECOND)
    high = h.offer(3, cores=3.0, priority=1)
    h.wait(10 * MS)
    assert [h.reason(i) for i in low] == [api.Reason.PUSHED_OUT] * 2 and h.words(high) == ["accepted"]
    equal = h.offer(4, cores=3.0, priority=1)
    h.wait(10 * MS)
    assert h.words(equal) == ["refused"]


def test_a_cold_node_is_slow_and_falls_over_when_pushed() -> None:
    h = Host(cold=True, slow_start_offers=5)
    id = h.offer(1)
    h.wait(SECOND)
    assert "running" not in h.words(id)
    for n in range(2, 30):  # 17 are borne: twice what it can start within 1.5 s at a third of its pace
        h.offer(n)
    assert any(isinstance(w, Crashed) for w in h.said) and h.node.crashed
    assert h.words(h.offer(20)) == [] and h.node.next_due() is None
    warm = Host(cold=False, slow_start_offers=5)
    for n in range(1, 30):
        warm.offer(n)
    assert not warm.node.crashed


def test_faults_at_a_node() -> None:
    h = Host()
    h.node.faults.start_failure_share = 1.0
    id = h.offer(1)
    h.wait(SECOND)
    assert h.words(id) == ["accepted", "error"] and h.node.free() == (4.0, 8.0)
    h.node.faults.rejection_share = 1.0
    other = h.offer(2)
    h.wait(SECOND)
    assert h.words(other) == ["refused"] and h.reason(other) is api.Reason.UNTOLD


def test_probes_share_the_line() -> None:
    h = Host(admission_time_us=(50 * MS, 50 * MS))
    h.offer(1, expected_duration_us=0)
    h.said += h.node.probe(h.now, 9)
    assert not [w for w in h.said if isinstance(w, HealthChecked)]
    h.wait(101 * MS)
    assert [w for w in h.said if isinstance(w, HealthChecked)] == [HealthChecked(9, 3.0, 7.0, 0.25)]


# The node list


def entry(id: int, status: api.NodeStatus = api.NodeStatus.READY, started: int = 0) -> ListedNode:
    return ListedNode(id, f"n{id}", ("127.0.0.1:1",), "a", "r", "std", status, 1.0, 1.0, started)


def test_the_list_is_late_and_later_by_script() -> None:
    d = NodeListState(NodeListModel(update_delay_us=SECOND, silence_timeout_us=3 * SECOND, period_us=0))
    d.announced(0, entry(1))
    assert not d.advance(900 * MS) and d.all_nodes() == ()
    assert d.advance(SECOND) and d.all_nodes() == (entry(1),)
    d.extra_delay_us = 5 * SECOND
    d.announced(2 * SECOND, entry(1, api.NodeStatus.DRAINING))
    assert not d.advance(7 * SECOND) and d.advance(8 * SECOND)


def test_silent_nodes_are_taken_off_and_come_back() -> None:
    d = NodeListState(NodeListModel(update_delay_us=0, silence_timeout_us=3 * SECOND, period_us=0))
    d.announced(0, entry(1, started=5))
    d.advance(0)
    d.announcement_lost(SECOND, 1)
    d.announced(2 * SECOND, entry(1, started=9))  # back in time
    d.advance(10 * SECOND)
    assert [n.started_unix_us for n in d.all_nodes()] == [9]
    d.announced(10 * SECOND, entry(1, started=5))  # an old word that came late
    d.advance(10 * SECOND)
    assert [n.started_unix_us for n in d.all_nodes()] == [9]
    d.announcement_lost(10 * SECOND, 1)
    d.advance(14 * SECOND)
    assert d.all_nodes() == () and d.changes_since(d.revision - 1)[0].status is api.NodeStatus.GONE  # type: ignore[index]


def test_changes_build_on_revisions_until_too_many_were_missed() -> None:
    d = NodeListState(NodeListModel(update_delay_us=0, period_us=0), revision=100)
    for i in range(600):
        d.announced(i, entry(1 + i % 3))
        d.advance(i)
    assert d.revision == 700 and d.changes_since(700) == ()
    assert len(d.changes_since(690) or ()) == 3
    assert d.changes_since(101) is None and d.changes_since(0) is None and d.changes_since(9999) is None


# Owners


CLASSES = (
    api.TaskClass("worker", api.Effect.IDEMPOTENT, api.Scope.ALL, 0, SECOND, 6 * SECOND),
    api.TaskClass("report", api.Effect.AT_MOST_ONCE, api.Scope.ALL, 0, SECOND, 6 * SECOND),
)


def owner(sort: str, total: int = 1) -> Client:
    demand = Demand(sort, 1.0, ((1.0, 1.0),), (SECOND, SECOND), (1, 1), 5, 5)
    made = Client(ClientModel("o", 10.0, (demand,), CLASSES, 1, max_tasks=total), 3, 0)
    made.connected(0, 0)
    return made


def first_ask(o: Client) -> SubmitTask:
    (ask,) = o.advance(0)
    assert isinstance(ask, SubmitTask)
    return ask


def test_an_owner_asks_again_until_it_gives_up() -> None:
    o = owner("worker")
    ask = first_ask(o)
    now = 1 * SECOND
    tries = 1
    while o.tasks:
        o.received(now, 0, ev.TaskShed(ask.request, 0, api.Reason.UNTOLD))
        now = (o.next_due() or now) + 1
        for do in o.advance(now):
            assert (
                isinstance(do, SubmitTask)
                and do.task.resubmitted
                and do.task.key == ask.task.key
                and do.request != ask.request
            )
            ask, tries = do, tries + 1
    assert tries > 5 and o.statistics.counts["given_up"] == 1 and o.idle


@pytest.mark.parametrize(("sort", "least"), [("worker", SECOND), ("report", 3 * SECOND)])
def test_what_may_run_is_waited_for(sort: str, least: int) -> None:
    o = owner(sort)
    ask = first_ask(o)
    o.received(2 * SECOND, 0, ev.TaskFailed(ask.request, True))
    assert least <= (o.next_due() or 0) - 2 * SECOND <= 3 * SECOND


def test_a_task_that_is_found_is_not_asked_for_again() -> None:
    o = owner("report")
    ask = first_ask(o)
    o.received(2 * SECOND, 0, ev.TaskFailed(ask.request, True))
    assert o.received(3 * SECOND, 0, ev.TaskRecovered(0, ask.task.key, 4)) == []
    assert o.advance(100 * SECOND) == [] and o.tasks[ask.task.key].state is RequestState.RUNNING
    o.received(101 * SECOND, 0, ev.TaskEnded(0, ask.task.key, True, api.Reason.UNTOLD))
    assert not o.tasks


def test_a_copy_that_is_not_needed_is_withdrawn() -> None:
    o = owner("worker")
    ask = first_ask(o)
    o.received(2 * SECOND, 0, ev.TaskPlaced(ask.request, 1, 0, 5))
    assert o.received(3 * SECOND, 1, ev.TaskRecovered(0, ask.task.key, 4)) == [CancelTask(1, 0, ask.task.key)]
    assert o.received(3 * SECOND, 1, ev.TaskRecovered(0, 999, 4)) == [CancelTask(1, 0, 999)]


def test_a_planner_that_is_gone_leaves_its_tasks_unsure() -> None:
    o = owner("report")
    ask = first_ask(o)
    o.received(2 * SECOND, 0, ev.TaskPlaced(ask.request, 1, 0, 5))
    o.disconnected(3 * SECOND, 0)
    assert o.advance(20 * SECOND) == []
    o.connected(21 * SECOND, 0)
    (again,) = o.advance(24 * SECOND) or o.advance(25 * SECOND)
    assert (
        isinstance(again, SubmitTask)
        and again.task.key == ask.task.key
        and o.statistics.counts["vanished"] == 1
    )


@pytest.mark.parametrize(
    "line",
    [
        "10s nodes 20% fail-starts 60% for 12s",
        "10s nodes other 2 drain",
        "10s node 3 4 lose-answers 25% reset for 1s",
        "1500ms list behind 4s for 10s",
        "1s planner 0 1 kill for 3s",
        "1s demand 2.5 for 6s",
        "1s owners restart-services 30% 500ms",
    ],
)
def test_script_lines(line: str) -> None:
    fault = parse(line.split())
    assert fault.at_us >= SECOND
    if fault.target_ids or fault.target not in ("node", "planner"):
        assert parse(fault.line().split()[1:]) == fault


@pytest.mark.parametrize(
    ("line", "says"),
    [
        ("10s", "is needed"),
        ("soon node 1 drain", "not a time"),
        ("1s moon full", "no target 'moon'"),
        ("1s node drain", "number of the node"),
        ("1s nodes drain", "how many nodes"),
        ("1s node 1 explode", "no fault 'explode'"),
        ("1s node 1 drain now", "unexpected 'now' at the end"),
        ("1s node 1 kill", "for TIME"),
        ("1s node 1 slow for 3s", "needs|is not a number"),
        ("1s nodes 20% fail-starts 160% for 1s", "at most 100"),
    ],
)
def test_bad_script_lines(line: str, says: str) -> None:
    with pytest.raises(ValueError, match=says):
        parse(line.split())

"""The state machines of the stand-ins, without sockets: nodes, the node list, clients and fault scripts."""

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
    """One node with the events that it has reported; the test advances its clock."""

    def __init__(
        self, dedup_memories: DedupMemories | None = None, cold: bool = False, **model: object
    ) -> None:
        self.now = 1000 * SECOND
        self.node = Node(replace(MODEL, **model), dedup_memories or DedupMemories(()), 3, self.now, cold)  # type: ignore[arg-type]
        self.events: list = []
        self.incarnation = 7

    def offer(
        self, key: int, wait: int = 60 * SECOND, priority: int = 0, window: int = 0, **task: object
    ) -> AttemptId:
        id = AttemptId(self.incarnation, key, 0)
        spec = TaskSpec("o", key, "worker", "", 5, 1.0, 1.0, SECOND, False)
        spec = replace(spec, **task)  # type: ignore[arg-type]
        self.events += self.node.offer(self.now, 0, id, spec, wait, priority, window, said_at=self.now)
        return id

    def wait(self, us: int) -> None:
        self.now += us
        self.events += self.node.advance(self.now)

    def statuses(self, id: AttemptId) -> list[str]:
        return [e.kind for e in self.events if isinstance(e, Reported) and e.id == id and e.kind != "usage"]

    def reason(self, id: AttemptId) -> api.Reason:
        return [e for e in self.events if isinstance(e, Reported) and e.id == id][-1].reason


def test_a_node_accepts_runs_and_ends_a_task() -> None:
    host = Host()
    id = host.offer(1)
    host.wait(10 * MS)
    assert host.statuses(id) == ["accepted"] and host.node.free() == (3.0, 7.0)
    host.wait(5 * SECOND)
    assert host.statuses(id) == ["accepted", "running", "ended"] and host.node.free() == (4.0, 8.0)
    assert host.node.next_due() is None


def test_a_start_without_a_cached_program_takes_longer() -> None:
    host = Host()
    first = host.offer(1)
    host.wait(100 * MS)
    assert "running" not in host.statuses(first)
    host.wait(400 * MS)
    assert "running" in host.statuses(first)
    second = host.offer(2)
    host.wait(100 * MS)
    assert "running" in host.statuses(second)


@pytest.mark.parametrize(
    ("task", "reason"),
    [({"cores": 5.0}, api.Reason.NO_CORES), ({"memory": 9.0}, api.Reason.NO_MEMORY)],
)
def test_an_offer_above_the_free_capacity_is_rejected(task: dict, reason: api.Reason) -> None:
    host = Host()
    id = host.offer(1, **task)
    host.wait(10 * MS)
    assert host.statuses(id) == ["refused"] and host.reason(id) is reason


def test_the_offer_queue_is_bounded_and_expired_offers_are_rejected() -> None:
    host = Host(max_waiting_offers=2, admission_time_us=(50 * MS, 50 * MS))
    ids = [host.offer(n) for n in (1, 2, 3)]
    assert host.statuses(ids[2]) == ["refused"] and host.reason(ids[2]) is api.Reason.QUEUE_FULL
    late = Host(admission_time_us=(50 * MS, 50 * MS))
    id = late.offer(1, wait=20 * MS)
    late.wait(100 * MS)
    assert late.statuses(id) == ["refused"] and late.reason(id) is api.Reason.NOT_HERE


def test_a_drain_evicts_all_tasks_and_is_reported() -> None:
    host = Host(starts_at_once=1)
    runs, starts = host.offer(1, expected_duration_us=0), None
    host.wait(500 * MS)
    starts, accepted = host.offer(2, service=6), host.offer(3, service=7)
    host.wait(10 * MS)
    waits = host.offer(4)
    host.events += host.node.drain(host.now)
    assert DrainingReported() in host.events
    assert host.statuses(runs)[-1] == "ended" and host.reason(runs) is api.Reason.SENT_AWAY
    assert host.statuses(starts)[-1] == "ended" and host.statuses(accepted)[-1] == "refused"
    assert host.statuses(waits)[-1] == "refused" and host.node.free() == (4.0, 8.0)
    assert host.statuses(host.offer(5)) == ["refused"]


def test_a_stop_ends_a_running_task_and_rejects_one_that_has_not_begun() -> None:
    host = Host()
    runs = host.offer(1, expected_duration_us=0)
    host.wait(500 * MS)
    waits = host.offer(2)
    for id in (runs, waits, AttemptId(9, 9, 9)):
        host.events += host.node.stop(host.now, id)
    assert host.statuses(runs)[-1] == "ended" and host.statuses(waits) == ["refused"]


def test_nodes_of_a_rack_drop_repeats_of_a_task_with_a_key() -> None:
    dedup_memories = DedupMemories(())
    a, b = Host(dedup_memories), Host(dedup_memories)
    b.incarnation = 8
    first = a.offer(1, window=8 * SECOND)
    a.wait(10 * MS)
    b.now = a.now
    repeat = b.offer(1, window=8 * SECOND)
    b.wait(10 * MS)
    assert a.statuses(first) == ["accepted"] and b.statuses(repeat) == ["refused"]
    a.wait(3 * SECOND)  # the task has finished; within the window its repeats are still dropped
    b.now = a.now
    again = b.offer(1, window=8 * SECOND)
    b.wait(10 * MS)
    assert b.statuses(again)[-1] == "refused"
    b.now += 6 * SECOND
    later = b.offer(1, window=8 * SECOND)
    b.wait(10 * MS)
    assert b.statuses(later)[-1] == "accepted"


def test_the_deduplication_scope_of_a_class_determines_which_nodes_drop_repeats() -> None:
    """A node in another rack drops a repeat if the scope is the zone or all nodes, but not the rack."""
    for scope, dropped in ((api.Scope.ALL, True), (api.Scope.ZONE, True), (api.Scope.GROUP, False)):
        task_class = api.TaskClass("worker", api.Effect.IDEMPOTENT_BY_KEY, scope, 8 * SECOND, SECOND, SECOND)
        dedup_memories = DedupMemories((task_class,))
        a, b = Host(dedup_memories), Host(dedup_memories, rack="another", id=2)
        a.offer(1, window=8 * SECOND)
        a.wait(2 * SECOND)
        repeat = b.offer(1, window=8 * SECOND)
        b.wait(10 * MS)
        assert (b.statuses(repeat) == ["refused"]) is dropped


def test_tasks_of_lower_priority_are_preempted() -> None:
    host = Host(preempts=True)
    low = [host.offer(n, cores=2.0, expected_duration_us=0, service=n) for n in (1, 2)]
    host.wait(2 * SECOND)
    high = host.offer(3, cores=3.0, priority=1)
    host.wait(10 * MS)
    assert [host.reason(i) for i in low] == [api.Reason.PUSHED_OUT] * 2 and host.statuses(high) == [
        "accepted"
    ]
    equal = host.offer(4, cores=3.0, priority=1)
    host.wait(10 * MS)
    assert host.statuses(equal) == ["refused"]


def test_a_cold_node_starts_slowly_and_crashes_under_overload() -> None:
    host = Host(cold=True, slow_start_offers=5)
    id = host.offer(1)
    host.wait(SECOND)
    assert "running" not in host.statuses(id)
    for n in range(2, 30):  # the bound is 17: twice what it can start within 1.5 s at a third of its pace
        host.offer(n)
    assert any(isinstance(e, Crashed) for e in host.events) and host.node.crashed
    assert host.statuses(host.offer(20)) == [] and host.node.next_due() is None
    warm = Host(cold=False, slow_start_offers=5)
    for n in range(1, 30):
        warm.offer(n)
    assert not warm.node.crashed


def test_failed_starts_and_rejections_by_faults() -> None:
    host = Host()
    host.node.faults.start_failure_share = 1.0
    id = host.offer(1)
    host.wait(SECOND)
    assert host.statuses(id) == ["accepted", "error"] and host.node.free() == (4.0, 8.0)
    host.node.faults.rejection_share = 1.0
    other = host.offer(2)
    host.wait(SECOND)
    assert host.statuses(other) == ["refused"] and host.reason(other) is api.Reason.UNTOLD


def test_health_checks_wait_behind_offers() -> None:
    host = Host(admission_time_us=(50 * MS, 50 * MS))
    host.offer(1, expected_duration_us=0)
    host.events += host.node.probe(host.now, 9)
    assert not [e for e in host.events if isinstance(e, HealthChecked)]
    host.wait(101 * MS)
    assert [e for e in host.events if isinstance(e, HealthChecked)] == [HealthChecked(9, 3.0, 7.0, 0.25)]


# The node list


def entry(id: int, status: api.NodeStatus = api.NodeStatus.READY, started: int = 0) -> ListedNode:
    return ListedNode(id, f"n{id}", ("127.0.0.1:1",), "a", "r", "std", status, 1.0, 1.0, started)


def test_the_node_list_is_delayed_and_a_fault_delays_it_further() -> None:
    node_list = NodeListState(
        NodeListModel(update_delay_us=SECOND, silence_timeout_us=3 * SECOND, period_us=0)
    )
    node_list.announced(0, entry(1))
    assert not node_list.advance(900 * MS) and node_list.all_nodes() == ()
    assert node_list.advance(SECOND) and node_list.all_nodes() == (entry(1),)
    node_list.extra_delay_us = 5 * SECOND
    node_list.announced(2 * SECOND, entry(1, api.NodeStatus.DRAINING))
    assert not node_list.advance(7 * SECOND) and node_list.advance(8 * SECOND)


def test_nodes_that_stop_announcing_are_removed_unless_they_return_in_time() -> None:
    node_list = NodeListState(NodeListModel(update_delay_us=0, silence_timeout_us=3 * SECOND, period_us=0))
    node_list.announced(0, entry(1, started=5))
    node_list.advance(0)
    node_list.announcement_lost(SECOND, 1)
    node_list.announced(2 * SECOND, entry(1, started=9))  # the node returns within the silence timeout
    node_list.advance(10 * SECOND)
    assert [n.started_unix_us for n in node_list.all_nodes()] == [9]
    node_list.announced(10 * SECOND, entry(1, started=5))  # a late announcement of an earlier incarnation
    node_list.advance(10 * SECOND)
    assert [n.started_unix_us for n in node_list.all_nodes()] == [9]
    node_list.announcement_lost(10 * SECOND, 1)
    node_list.advance(14 * SECOND)
    assert (
        node_list.all_nodes() == ()
        and node_list.changes_since(node_list.revision - 1)[0].status is api.NodeStatus.GONE  # type: ignore[index]
    )


def test_changes_since_a_revision_are_known_for_the_last_512_revisions() -> None:
    node_list = NodeListState(NodeListModel(update_delay_us=0, period_us=0), revision=100)
    for i in range(600):
        node_list.announced(i, entry(1 + i % 3))
        node_list.advance(i)
    assert node_list.revision == 700 and node_list.changes_since(700) == ()
    assert len(node_list.changes_since(690) or ()) == 3
    assert (
        node_list.changes_since(101) is None
        and node_list.changes_since(0) is None
        and node_list.changes_since(9999) is None
    )


# Clients


CLASSES = (
    api.TaskClass("worker", api.Effect.IDEMPOTENT, api.Scope.ALL, 0, SECOND, 6 * SECOND),
    api.TaskClass("report", api.Effect.AT_MOST_ONCE, api.Scope.ALL, 0, SECOND, 6 * SECOND),
)


def connected_client(task_class: str, max_tasks: int = 1) -> Client:
    demand = Demand(task_class, 1.0, ((1.0, 1.0),), (SECOND, SECOND), (1, 1), 5, 5)
    client = Client(ClientModel("o", 10.0, (demand,), CLASSES, 1, max_tasks=max_tasks), 3, 0)
    client.connected(0, 0)
    return client


def first_submission(client: Client) -> SubmitTask:
    (action,) = client.advance(0)
    assert isinstance(action, SubmitTask)
    return action


def test_a_client_submits_a_shed_task_again_until_it_gives_up() -> None:
    client = connected_client("worker")
    submitted = first_submission(client)
    now = 1 * SECOND
    attempts = 1
    while client.tasks:
        client.received(now, 0, ev.TaskShed(submitted.request, 0, api.Reason.UNTOLD))
        now = (client.next_due() or now) + 1
        for action in client.advance(now):
            assert (
                isinstance(action, SubmitTask)
                and action.task.resubmitted
                and action.task.key == submitted.task.key
                and action.request != submitted.request
            )
            submitted, attempts = action, attempts + 1
    assert attempts > 5 and client.statistics.counts["given_up"] == 1 and client.idle


@pytest.mark.parametrize(("task_class", "min_wait_us"), [("worker", SECOND), ("report", 3 * SECOND)])
def test_an_at_most_once_task_that_may_run_is_retried_only_after_a_delay(
    task_class: str, min_wait_us: int
) -> None:
    client = connected_client(task_class)
    submitted = first_submission(client)
    client.received(2 * SECOND, 0, ev.TaskFailed(submitted.request, True))
    assert min_wait_us <= (client.next_due() or 0) - 2 * SECOND <= 3 * SECOND


def test_a_recovered_task_is_not_submitted_again() -> None:
    client = connected_client("report")
    submitted = first_submission(client)
    client.received(2 * SECOND, 0, ev.TaskFailed(submitted.request, True))
    assert client.received(3 * SECOND, 0, ev.TaskRecovered(0, submitted.task.key, 4)) == []
    assert (
        client.advance(100 * SECOND) == [] and client.tasks[submitted.task.key].state is RequestState.RUNNING
    )
    client.received(101 * SECOND, 0, ev.TaskEnded(0, submitted.task.key, True, api.Reason.UNTOLD))
    assert not client.tasks


def test_a_recovered_duplicate_is_cancelled() -> None:
    client = connected_client("worker")
    submitted = first_submission(client)
    client.received(2 * SECOND, 0, ev.TaskPlaced(submitted.request, 1, 0, 5))
    assert client.received(3 * SECOND, 1, ev.TaskRecovered(0, submitted.task.key, 4)) == [
        CancelTask(1, 0, submitted.task.key)
    ]
    assert client.received(3 * SECOND, 1, ev.TaskRecovered(0, 999, 4)) == [CancelTask(1, 0, 999)]


def test_a_task_is_submitted_again_if_its_reconnected_planner_does_not_report_it() -> None:
    client = connected_client("report")
    submitted = first_submission(client)
    client.received(2 * SECOND, 0, ev.TaskPlaced(submitted.request, 1, 0, 5))
    client.disconnected(3 * SECOND, 0)
    assert client.advance(20 * SECOND) == []
    client.connected(21 * SECOND, 0)
    (resubmission,) = client.advance(24 * SECOND) or client.advance(25 * SECOND)
    assert (
        isinstance(resubmission, SubmitTask)
        and resubmission.task.key == submitted.task.key
        and client.statistics.counts["vanished"] == 1
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
def test_script_lines_are_parsed_and_formatted(line: str) -> None:
    fault = parse(line.split())
    assert fault.at_us >= SECOND
    if fault.target_ids or fault.target not in ("node", "planner"):
        assert parse(fault.line().split()[1:]) == fault


@pytest.mark.parametrize(
    ("line", "message"),
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
def test_invalid_script_lines_are_rejected(line: str, message: str) -> None:
    with pytest.raises(ValueError, match=message):
        parse(line.split())

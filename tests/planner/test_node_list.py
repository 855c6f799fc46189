"""The node list on its own; every other component is a stub."""

from __future__ import annotations

from typing import Any

from component_stubs import ComponentStub, core_context
from grpc_core_harness import SECOND

from stairplank import interface as api
from stairplank.planner import events as ev
from stairplank.planner.node_list import REFETCH_INTERVAL_US, NodeList


class NodeListHarness:
    """A node list with a context and stubs for the other components."""

    def __init__(self) -> None:
        self.context = core_context()
        self.list = NodeList(self.context)
        self.linked_nodes: set[int] = set()
        self.links = ComponentStub(
            is_linked=lambda n: n in self.linked_nodes,
            nodes=lambda: list(self.linked_nodes),
            is_draining=False,
            node_listed=lambda n, a: self.linked_nodes.add(n) or True,
            node_unlisted=self.linked_nodes.discard,
        )
        self.attempts = ComponentStub()
        self.list.links = self.links  # type: ignore[assignment]
        self.list.attempts = self.attempts  # type: ignore[assignment]

    def receive(
        self, *nodes: int, revision: int = 1, since: int = 0, full: bool = True, **fields: Any
    ) -> None:
        status = fields.get("status", api.NodeStatus.READY)
        entries = tuple(
            ev.ListedNode(n, f"n{n}", ("a",), "z1", f"r{n}", "std", status, 4.0, 8.0, 0) for n in nodes
        )
        self.list.list_received(ev.NodeListReceived(revision, since, full, entries, 10**15))

    def notified(self) -> list[api.NodeList]:
        return [e for e in self.context.module_events if isinstance(e, api.NodeList)]


def test_the_module_is_notified_of_each_message_once_in_order() -> None:
    harness = NodeListHarness()
    harness.receive(1, 2)
    harness.receive(2, revision=2, since=1, full=False, status=api.NodeStatus.DRAINING)
    # A change that is older than the current revision has no effect.
    harness.receive(1, revision=1, since=0, full=False, status=api.NodeStatus.DRAINING)
    kinds = [(event.kind, [e.id for e in event.nodes]) for event in harness.notified()]
    assert kinds == [(api.ListKind.FULL, [1, 2]), (api.ListKind.CHANGES, [2])]
    assert ("fail_waiting_offers", 2) in harness.attempts.calls and (
        "fail_waiting_offers",
        1,
    ) not in harness.attempts.calls


def test_missed_changes_are_requested_at_most_once_per_interval() -> None:
    harness = NodeListHarness()
    harness.receive(1)
    for _ in range(4):
        harness.receive(1, revision=9, since=8, full=False)
    assert len([a for a in harness.context.actions if isinstance(a, ev.WatchNodeList)]) == 1
    assert [event.kind for event in harness.notified()][1:] == [api.ListKind.FAILED] * 3
    harness.context.now += REFETCH_INTERVAL_US
    harness.receive(1, revision=9, since=8, full=False)
    assert len([a for a in harness.context.actions if isinstance(a, ev.WatchNodeList)]) == 2


def test_nodes_missing_from_a_full_list_are_removed() -> None:
    harness = NodeListHarness()
    harness.receive(1, 2)
    harness.receive(2, revision=2)
    assert harness.linked_nodes == {2} and set(harness.list.entries) == {2}


def test_a_node_s_own_report_that_it_drains_takes_precedence_over_the_list() -> None:
    harness = NodeListHarness()
    harness.receive(1, 2)
    harness.list.node_draining(1)
    assert harness.notified()[-1].nodes[0].status is api.NodeStatus.DRAINING
    harness.links.return_values["is_draining"] = lambda node, started: node == 1
    harness.receive(1, 2, revision=2)
    assert [e.status for e in harness.notified()[-1].nodes] == [api.NodeStatus.DRAINING, api.NodeStatus.READY]


def test_capacity_counts_only_ready_nodes_of_known_types() -> None:
    harness = NodeListHarness()
    harness.receive(1, 2, 3)
    before = harness.list.capacity()
    harness.list.node_draining(3)
    after = harness.list.capacity()
    assert (before.nodes, after.nodes) == (3, 2) and after.cores == before.cores * 2 / 3
    assert [p.node for p in harness.list.ready_nodes()] == [1, 2] and harness.list.rack(9) == "?9"
    assert harness.context.now == 1000 * SECOND

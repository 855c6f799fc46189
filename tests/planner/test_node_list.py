"""The node list by itself: every other component is played by hand."""

from __future__ import annotations

from typing import Any

from component_stubs import ComponentStub, core_context
from world import SECOND

from stairplank import interface as api
from stairplank.planner import events as ev
from stairplank.planner.node_list import REFETCH_INTERVAL_US, NodeList


class NodeListAlone:
    def __init__(self) -> None:
        self.context = core_context()
        self.list = NodeList(self.context)
        self.known: set[int] = set()
        self.links = ComponentStub(
            is_linked=lambda n: n in self.known,
            nodes=lambda: list(self.known),
            is_draining=False,
            node_listed=lambda n, a: self.known.add(n) or True,
            node_unlisted=self.known.discard,
        )
        self.attempts = ComponentStub()
        self.list.links = self.links  # type: ignore[assignment]
        self.list.attempts = self.attempts  # type: ignore[assignment]

    def receive(self, *nodes: int, revision: int = 1, since: int = 0, full: bool = True, **more: Any) -> None:
        status = more.get("status", api.NodeStatus.READY)
        entries = tuple(
            ev.ListedNode(n, f"n{n}", ("a",), "z1", f"r{n}", "std", status, 4.0, 8.0, 0) for n in nodes
        )
        self.list.list_received(ev.NodeListReceived(revision, since, full, entries, 10**15))

    def notified(self) -> list[api.NodeList]:
        return [e for e in self.context.module_events if isinstance(e, api.NodeList)]


def test_the_module_is_notified_of_each_message_once_in_order() -> None:
    alone = NodeListAlone()
    alone.receive(1, 2)
    alone.receive(2, revision=2, since=1, full=False, status=api.NodeStatus.DRAINING)
    alone.receive(1, revision=1, since=0, full=False, status=api.NodeStatus.DRAINING)  # an older message
    kinds = [(event.kind, [e.id for e in event.nodes]) for event in alone.notified()]
    assert kinds == [(api.ListKind.FULL, [1, 2]), (api.ListKind.CHANGES, [2])]
    assert ("fail_waiting_offers", 2) in alone.attempts.calls and (
        "fail_waiting_offers",
        1,
    ) not in alone.attempts.calls


def test_a_gap_is_requested_again_but_not_faster_than_stated() -> None:
    alone = NodeListAlone()
    alone.receive(1)
    for _ in range(4):
        alone.receive(1, revision=9, since=8, full=False)
    assert len([a for a in alone.context.actions if isinstance(a, ev.WatchNodeList)]) == 1
    assert [event.kind for event in alone.notified()][1:] == [api.ListKind.FAILED] * 3
    alone.context.now += REFETCH_INTERVAL_US
    alone.receive(1, revision=9, since=8, full=False)
    assert len([a for a in alone.context.actions if isinstance(a, ev.WatchNodeList)]) == 2


def test_nodes_missing_from_a_full_list_are_gone() -> None:
    alone = NodeListAlone()
    alone.receive(1, 2)
    alone.receive(2, revision=2)
    assert alone.known == {2} and set(alone.list.entries) == {2}


def test_what_a_node_says_of_itself_comes_before_the_list() -> None:
    alone = NodeListAlone()
    alone.receive(1, 2)
    alone.list.node_draining(1)
    assert alone.notified()[-1].nodes[0].status is api.NodeStatus.DRAINING
    alone.links.answers["is_draining"] = lambda node, started: node == 1
    alone.receive(1, 2, revision=2)
    assert [e.status for e in alone.notified()[-1].nodes] == [api.NodeStatus.DRAINING, api.NodeStatus.READY]


def test_the_capacity_is_that_of_ready_nodes_of_known_types() -> None:
    alone = NodeListAlone()
    alone.receive(1, 2, 3)
    before = alone.list.capacity()
    alone.list.node_draining(3)
    after = alone.list.capacity()
    assert (before.nodes, after.nodes) == (3, 2) and after.cores == before.cores * 2 / 3
    assert [p.node for p in alone.list.ready_nodes()] == [1, 2] and alone.list.rack(9) == "?9"
    assert alone.context.now == 1000 * SECOND

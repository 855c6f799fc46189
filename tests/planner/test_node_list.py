"""The list's room by itself: every other room is played by hand."""

from __future__ import annotations

from typing import Any

from room import Others, core_context
from world import SECOND

from stairplank import interface as api
from stairplank.planner import events as ev
from stairplank.planner.node_list import REFETCH_INTERVAL_US, NodeList


class Room:
    def __init__(self) -> None:
        self.context = core_context()
        self.list = NodeList(self.context)
        self.known: set[int] = set()
        self.links = Others(
            is_linked=lambda n: n in self.known,
            nodes=lambda: list(self.known),
            is_draining=False,
            node_listed=lambda n, a: self.known.add(n) or True,
            node_unlisted=self.known.discard,
        )
        self.attempts = Others()
        self.list.links = self.links  # type: ignore[assignment]
        self.list.attempts = self.attempts  # type: ignore[assignment]

    def tell(self, *nodes: int, revision: int = 1, since: int = 0, full: bool = True, **more: Any) -> None:
        status = more.get("status", api.NodeStatus.READY)
        entries = tuple(
            ev.ListedNode(n, f"n{n}", ("a",), "z1", f"r{n}", "std", status, 4.0, 8.0, 0) for n in nodes
        )
        self.list.list_received(ev.NodeListReceived(revision, since, full, entries, 10**15))

    def heard(self) -> list[api.NodeList]:
        return [e for e in self.context.module_events if isinstance(e, api.NodeList)]


def test_the_module_hears_each_word_once_in_order() -> None:
    r = Room()
    r.tell(1, 2)
    r.tell(2, revision=2, since=1, full=False, status=api.NodeStatus.DRAINING)
    r.tell(1, revision=1, since=0, full=False, status=api.NodeStatus.DRAINING)  # an older word
    kinds = [(h.kind, [e.id for e in h.nodes]) for h in r.heard()]
    assert kinds == [(api.ListKind.FULL, [1, 2]), (api.ListKind.CHANGES, [2])]
    assert ("drop_waiting", 2) in r.attempts.asked and ("drop_waiting", 1) not in r.attempts.asked


def test_a_gap_is_asked_for_anew_but_not_faster_than_stated() -> None:
    r = Room()
    r.tell(1)
    for _ in range(4):
        r.tell(1, revision=9, since=8, full=False)
    assert len([a for a in r.context.actions if isinstance(a, ev.WatchNodeList)]) == 1
    assert [h.kind for h in r.heard()][1:] == [api.ListKind.FAILED] * 3
    r.context.now += REFETCH_INTERVAL_US
    r.tell(1, revision=9, since=8, full=False)
    assert len([a for a in r.context.actions if isinstance(a, ev.WatchNodeList)]) == 2


def test_nodes_missing_from_a_whole_list_are_gone() -> None:
    r = Room()
    r.tell(1, 2)
    r.tell(2, revision=2)
    assert r.known == {2} and set(r.list.entries) == {2}


def test_a_node_s_own_word_comes_before_the_list_s() -> None:
    r = Room()
    r.tell(1, 2)
    r.list.node_draining(1)
    assert r.heard()[-1].nodes[0].status is api.NodeStatus.DRAINING
    r.links.answers["is_draining"] = lambda node, started: node == 1
    r.tell(1, 2, revision=2)
    assert [e.status for e in r.heard()[-1].nodes] == [api.NodeStatus.DRAINING, api.NodeStatus.READY]


def test_the_room_is_what_ready_nodes_of_known_kinds_accept() -> None:
    r = Room()
    r.tell(1, 2, 3)
    before = r.list.capacity()
    r.list.node_draining(3)
    after = r.list.capacity()
    assert (before.nodes, after.nodes) == (3, 2) and after.cores == before.cores * 2 / 3
    assert [p.node for p in r.list.ready_nodes()] == [1, 2] and r.list.rack(9) == "?9"
    assert r.context.now == 1000 * SECOND

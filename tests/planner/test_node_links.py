"""The links' room by itself: every other room is played by hand."""

from __future__ import annotations

import random
from typing import Any

import pytest
from component_stubs import ComponentStub, core_context, pass_time
from world import SECOND

from stairplank.planner import events as ev
from stairplank.planner.errors import IllegalTransitionError
from stairplank.planner.events import AttemptId
from stairplank.planner.link_state import State
from stairplank.planner.node_links import HELD_GAP_US, Links

ID = AttemptId(7, 1, 0)


class Room:
    def __init__(self, nodes: int = 1, **config: Any) -> None:
        self.context = core_context(**config)
        self.links = Links(self.context, random.Random(1))
        self.attempts = ComponentStub(any_at_node=False, link_lost=lambda node, unsent: [ID], at_node=[])
        self.links.attempts = self.attempts  # type: ignore[assignment]
        for name in ("requests", "groups", "leases", "list"):
            setattr(self.links, name, ComponentStub())
        for node in range(1, nodes + 1):
            self.links.listed(node, ("a",))
            self.links.dial_if_due(node)

    def up(self, node: int = 1, draining: bool = False) -> None:
        self.links.came_up(ev.LinkUp(node, 0, draining))

    def emitted(self, kind: type) -> list[Any]:
        return [a for a in self.context.actions if isinstance(a, kind)]


def test_a_link_that_stands_asks_what_its_node_holds_and_sends_what_waits() -> None:
    r = Room()
    r.up()
    assert (
        r.links.up(1)
        and r.emitted(ev.RequestNodeTasks)
        and r.attempts.called_names() == ["send_waiting_offers"]
    )


def test_a_draining_node_gets_nothing_that_waits() -> None:
    r = Room()
    r.up(draining=True)
    assert (
        "send_waiting_offers" not in r.attempts.called_names()
        and "fail_waiting_offers" in r.attempts.called_names()
    )
    assert r.links.drains(1, 0) and not r.links.drains(1, 5)  # a newer life, by the list's word


def test_only_so_many_are_dialled_at_once() -> None:
    r = Room(nodes=5, max_dials=2)
    assert len(r.emitted(ev.Dial)) == 2
    r.up(1)
    assert len(r.emitted(ev.Dial)) == 3


@pytest.mark.parametrize("back", [True, False])
def test_what_is_unsettled_is_settled_once(back: bool) -> None:
    r = Room()
    r.up()
    r.links.lost(ev.LinkDown(1, frozenset()))
    assert r.links.links[1].unsettled == {ID}
    if back:
        pass_time(r.context, 200_000)
        r.up()
        r.links.held_told(ev.NodeTasksReported(1, 0, (), True))
    pass_time(r.context, 5 * SECOND)
    settled = [a for a in r.attempts.calls if a[0] in ("not_at_node", "link_expired") and a[1]]
    assert settled == ([("not_at_node", [ID], True)] if back else [("link_expired", [ID])])
    assert not r.links.links[1].unsettled


def test_a_node_is_asked_at_most_once_a_second() -> None:
    r = Room()
    r.up()
    for _ in range(5):
        r.links.unplaced_word(1)
    assert len(r.emitted(ev.RequestNodeTasks)) == 1
    again = r.links.question(1, r.context.now + 1)
    assert again == r.context.now + HELD_GAP_US
    pass_time(r.context, HELD_GAP_US)
    assert r.links.question(1, r.context.now) is None and len(r.emitted(ev.RequestNodeTasks)) == 2
    assert r.links.question(1, r.context.now) is None and len(r.emitted(ev.RequestNodeTasks)) == 2


def test_a_link_is_kept_while_something_is_at_its_node() -> None:
    r = Room()
    r.up()
    r.attempts.answers["any_at_node"] = True
    r.links.unlisted(1)
    assert r.links.is_linked(1)
    r.links.nothing_at(1)
    assert not r.links.is_linked(1) and r.emitted(ev.CloseLink)


def test_steps_that_cannot_be_are_errors() -> None:
    r = Room()
    with pytest.raises(IllegalTransitionError, match="link: 'lost' while 'dialling'"):
        r.links.lost(ev.LinkDown(1, frozenset()))
    assert r.links.links[1].state is State.DIALLING

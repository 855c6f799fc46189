"""The links' room by itself: every other room is played by hand."""

from __future__ import annotations

import random
from typing import Any

import pytest
from room import Others, core_context, pass_time
from world import SECOND

from stairplank.planner import events as ev
from stairplank.planner.events import AttemptId
from stairplank.planner.link_state import LinkState
from stairplank.planner.node_links import TASK_REQUEST_INTERVAL_US, NodeLinks
from stairplank.planner.transitions import IllegalTransition

ID = AttemptId(7, 1, 0)


class Room:
    def __init__(self, nodes: int = 1, **config: Any) -> None:
        self.context = core_context(**config)
        self.links = NodeLinks(self.context, random.Random(1))
        self.attempts = Others(any_at=False, over_unsent=lambda node, unsent: [ID], at=[])
        self.links.attempts = self.attempts  # type: ignore[assignment]
        for name in ("client_requests", "groups", "leases", "node_list"):
            setattr(self.links, name, Others())
        for node in range(1, nodes + 1):
            self.links.node_listed(node, ("a",))
            self.links.dial_if_due(node)

    def up(self, node: int = 1, draining: bool = False) -> None:
        self.links.link_up(ev.LinkUp(node, 0, draining))

    def emitted(self, kind: type) -> list[Any]:
        return [a for a in self.context.actions if isinstance(a, kind)]


def test_a_link_that_stands_asks_what_its_node_holds_and_sends_what_waits() -> None:
    r = Room()
    r.up()
    assert r.links.is_up(1) and r.emitted(ev.RequestNodeTasks) and r.attempts.names() == ["send_waiting"]


def test_a_draining_node_gets_nothing_that_waits() -> None:
    r = Room()
    r.up(draining=True)
    assert "send_waiting" not in r.attempts.names() and "drop_waiting" in r.attempts.names()
    assert r.links.is_draining(1, 0) and not r.links.is_draining(1, 5)  # a newer life, by the list's word


def test_only_so_many_are_dialled_at_once() -> None:
    r = Room(nodes=5, dials_most=2)
    assert len(r.emitted(ev.Dial)) == 2
    r.up(1)
    assert len(r.emitted(ev.Dial)) == 3


@pytest.mark.parametrize("back", [True, False])
def test_what_is_unsettled_is_settled_once(back: bool) -> None:
    r = Room()
    r.up()
    r.links.link_down(ev.LinkDown(1, frozenset()))
    assert r.links.links[1].unsettled == {ID}
    if back:
        pass_time(r.context, 200_000)
        r.up()
        r.links.tasks_reported(ev.NodeTasksReported(1, 0, (), True))
    pass_time(r.context, 5 * SECOND)
    settled = [a for a in r.attempts.asked if a[0] in ("not_held", "lose") and a[1]]
    assert settled == ([("not_held", [ID], True)] if back else [("lose", [ID])])
    assert not r.links.links[1].unsettled


def test_a_node_is_asked_at_most_once_a_second() -> None:
    r = Room()
    r.up()
    for _ in range(5):
        r.links.unknown_attempt_reported(1)
    assert len(r.emitted(ev.RequestNodeTasks)) == 1
    again = r.links.request_tasks_since(1, r.context.now + 1)
    assert again == r.context.now + TASK_REQUEST_INTERVAL_US
    pass_time(r.context, TASK_REQUEST_INTERVAL_US)
    assert r.links.request_tasks_since(1, r.context.now) is None and len(r.emitted(ev.RequestNodeTasks)) == 2
    assert r.links.request_tasks_since(1, r.context.now) is None and len(r.emitted(ev.RequestNodeTasks)) == 2


def test_a_link_is_kept_while_something_is_at_its_node() -> None:
    r = Room()
    r.up()
    r.attempts.answers["any_at"] = True
    r.links.node_unlisted(1)
    assert r.links.is_linked(1)
    r.links.node_idle(1)
    assert not r.links.is_linked(1) and r.emitted(ev.CloseLink)


def test_steps_that_cannot_be_are_errors() -> None:
    r = Room()
    with pytest.raises(IllegalTransition, match="link: 'lost' while 'dialling'"):
        r.links.link_down(ev.LinkDown(1, frozenset()))
    assert r.links.links[1].state is LinkState.DIALLING

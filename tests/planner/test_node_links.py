"""The links by themselves: every other component is played by hand."""

from __future__ import annotations

import random
from typing import Any

import pytest
from component_stubs import ComponentStub, core_context, pass_time
from world import SECOND

from stairplank.planner import events as ev
from stairplank.planner.errors import IllegalTransitionError
from stairplank.planner.events import AttemptId
from stairplank.planner.link_state import LinkState
from stairplank.planner.node_links import TASK_REQUEST_INTERVAL_US, NodeLinks

ID = AttemptId(7, 1, 0)


class LinksAlone:
    def __init__(self, nodes: int = 1, **config: Any) -> None:
        self.context = core_context(**config)
        self.links = NodeLinks(self.context, random.Random(1))
        self.attempts = ComponentStub(any_at_node=False, link_lost=lambda node, unsent: [ID], at_node=[])
        self.links.attempts = self.attempts  # type: ignore[assignment]
        for name in ("client_requests", "groups", "leases", "node_list"):
            setattr(self.links, name, ComponentStub())
        for node in range(1, nodes + 1):
            self.links.node_listed(node, ("a",))
            self.links.dial_if_due(node)

    def up(self, node: int = 1, draining: bool = False) -> None:
        self.links.link_up(ev.LinkUp(node, 0, draining))

    def emitted(self, kind: type) -> list[Any]:
        return [a for a in self.context.actions if isinstance(a, kind)]


def test_a_link_that_is_up_requests_the_node_s_tasks_and_sends_waiting_offers() -> None:
    alone = LinksAlone()
    alone.up()
    assert alone.links.is_up(1)
    assert alone.emitted(ev.RequestNodeTasks)
    assert alone.attempts.called_names() == ["send_waiting_offers"]


def test_a_draining_node_gets_no_waiting_offers() -> None:
    alone = LinksAlone()
    alone.up(draining=True)
    assert (
        "send_waiting_offers" not in alone.attempts.called_names()
        and "fail_waiting_offers" in alone.attempts.called_names()
    )
    assert alone.links.is_draining(1, 0)
    assert not alone.links.is_draining(1, 5)  # a newer incarnation, by the list


def test_dials_in_progress_are_bounded() -> None:
    alone = LinksAlone(nodes=5, max_dials=2)
    assert len(alone.emitted(ev.Dial)) == 2
    alone.up(1)
    assert len(alone.emitted(ev.Dial)) == 3


@pytest.mark.parametrize("back", [True, False])
def test_what_is_unsettled_is_settled_once(back: bool) -> None:
    alone = LinksAlone()
    alone.up()
    alone.links.link_down(ev.LinkDown(1, frozenset()))
    assert alone.links.links[1].unsettled == {ID}
    if back:
        pass_time(alone.context, 200_000)
        alone.up()
        alone.links.tasks_reported(ev.NodeTasksReported(1, 0, (), True))
    pass_time(alone.context, 5 * SECOND)
    settled = [a for a in alone.attempts.calls if a[0] in ("not_at_node", "link_expired") and a[1]]
    assert settled == ([("not_at_node", [ID], True)] if back else [("link_expired", [ID])])
    assert not alone.links.links[1].unsettled


def test_a_node_is_asked_for_its_tasks_at_most_once_a_second() -> None:
    alone = LinksAlone()
    alone.up()
    for _ in range(5):
        alone.links.unknown_attempt_reported(1)
    assert len(alone.emitted(ev.RequestNodeTasks)) == 1
    again = alone.links.request_tasks_since(1, alone.context.now + 1)
    assert again == alone.context.now + TASK_REQUEST_INTERVAL_US
    pass_time(alone.context, TASK_REQUEST_INTERVAL_US)
    for _ in range(2):
        assert alone.links.request_tasks_since(1, alone.context.now) is None
        assert len(alone.emitted(ev.RequestNodeTasks)) == 2


def test_a_link_is_kept_while_an_attempt_is_at_its_node() -> None:
    alone = LinksAlone()
    alone.up()
    alone.attempts.answers["any_at_node"] = True
    alone.links.node_unlisted(1)
    assert alone.links.is_linked(1)
    alone.links.node_idle(1)
    assert not alone.links.is_linked(1) and alone.emitted(ev.CloseLink)


def test_illegal_transitions_are_errors() -> None:
    alone = LinksAlone()
    with pytest.raises(IllegalTransitionError, match="link: 'lost' while 'dialling'"):
        alone.links.link_down(ev.LinkDown(1, frozenset()))
    assert alone.links.links[1].state is LinkState.DIALLING

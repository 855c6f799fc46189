"""The links to nodes on their own; every other component is a stub."""

from __future__ import annotations

import random
from typing import Any

import pytest
from component_stubs import ComponentStub, core_context, pass_time
from grpc_core_harness import SECOND

from stairplank.planner import events as ev
from stairplank.planner.errors import IllegalTransitionError
from stairplank.planner.events import AttemptId
from stairplank.planner.link_state import LinkState
from stairplank.planner.node_links import TASK_REQUEST_INTERVAL_US, NodeLinks

ID = AttemptId(7, 1, 0)


class NodeLinksHarness:
    """The links to some nodes, with a context and stubs for the other components."""

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

    def bring_up(self, node: int = 1, draining: bool = False) -> None:
        self.links.link_up(ev.LinkUp(node, 0, draining))

    def emitted(self, kind: type) -> list[Any]:
        return [a for a in self.context.actions if isinstance(a, kind)]


def test_a_link_that_is_up_requests_the_node_s_tasks_and_sends_waiting_offers() -> None:
    harness = NodeLinksHarness()
    harness.bring_up()
    assert harness.links.is_up(1)
    assert harness.emitted(ev.RequestNodeTasks)
    assert harness.attempts.called_names() == ["send_waiting_offers"]


def test_a_draining_node_gets_no_waiting_offers() -> None:
    harness = NodeLinksHarness()
    harness.bring_up(draining=True)
    assert (
        "send_waiting_offers" not in harness.attempts.called_names()
        and "fail_waiting_offers" in harness.attempts.called_names()
    )
    assert harness.links.is_draining(1, 0)
    assert not harness.links.is_draining(1, 5)  # the list names a newer incarnation, which is not draining


def test_dials_in_progress_are_bounded() -> None:
    harness = NodeLinksHarness(nodes=5, max_dials=2)
    assert len(harness.emitted(ev.Dial)) == 2
    harness.bring_up(1)
    assert len(harness.emitted(ev.Dial)) == 3


@pytest.mark.parametrize("link_returns", [True, False])
def test_an_unsettled_attempt_is_settled_once(link_returns: bool) -> None:
    harness = NodeLinksHarness()
    harness.bring_up()
    harness.links.link_down(ev.LinkDown(1, frozenset()))
    assert harness.links.links[1].unsettled == {ID}
    if link_returns:
        pass_time(harness.context, 200_000)
        harness.bring_up()
        harness.links.tasks_reported(ev.NodeTasksReported(1, 0, (), True))
    pass_time(harness.context, 5 * SECOND)
    settled = [a for a in harness.attempts.calls if a[0] in ("not_at_node", "link_expired") and a[1]]
    assert settled == ([("not_at_node", [ID], True)] if link_returns else [("link_expired", [ID])])
    assert not harness.links.links[1].unsettled


def test_the_tasks_of_a_node_are_requested_at_most_once_a_second() -> None:
    harness = NodeLinksHarness()
    harness.bring_up()
    for _ in range(5):
        harness.links.unknown_attempt_reported(1)
    assert len(harness.emitted(ev.RequestNodeTasks)) == 1
    retry_at = harness.links.request_tasks_since(1, harness.context.now + 1)
    assert retry_at == harness.context.now + TASK_REQUEST_INTERVAL_US
    pass_time(harness.context, TASK_REQUEST_INTERVAL_US)
    for _ in range(2):
        assert harness.links.request_tasks_since(1, harness.context.now) is None
        assert len(harness.emitted(ev.RequestNodeTasks)) == 2


def test_a_link_is_kept_while_an_attempt_is_at_its_node() -> None:
    harness = NodeLinksHarness()
    harness.bring_up()
    harness.attempts.return_values["any_at_node"] = True
    harness.links.node_unlisted(1)
    assert harness.links.is_linked(1)
    harness.links.node_idle(1)
    assert not harness.links.is_linked(1) and harness.emitted(ev.CloseLink)


def test_illegal_transitions_are_errors() -> None:
    harness = NodeLinksHarness()
    with pytest.raises(IllegalTransitionError, match="link: 'lost' while 'dialling'"):
        harness.links.link_down(ev.LinkDown(1, frozenset()))
    assert harness.links.links[1].state is LinkState.DIALLING

"""Tests of the client requests component; every other component is a stub."""

from __future__ import annotations

from typing import Any

from component_stubs import ComponentStub, core_context, make_task
from grpc_core_harness import SECOND

from stairplank import interface as api
from stairplank.planner import events as ev
from stairplank.planner.client_requests import ClientRequests


class Fixture:
    """A client requests component with one open session and stubs of the other components."""

    def __init__(self) -> None:
        self.context = core_context()
        self.requests = ClientRequests(self.context)
        self.attempts = ComponentStub(in_flight=0)
        self.groups = ComponentStub()
        self.requests.attempts = self.attempts  # type: ignore[assignment]
        self.requests.groups = self.groups  # type: ignore[assignment]
        self.requests.client_connected(ev.ClientConnected(1, "o"))

    def request(self, number: int, key: int = 0, session: int = 1, **more: Any) -> Any:
        self.requests.placement_requested(
            ev.PlacementRequested(session, number, make_task(key or number, **more), 6 * SECOND)
        )
        return self.requests.find_by_key("o", key or number)

    def messages(self) -> list[Any]:
        return [a.message for a in self.context.actions if isinstance(a, ev.SendToClient)]


def test_an_admitted_request_has_one_outcome() -> None:
    fixture = Fixture()
    placement = fixture.request(1)
    assert fixture.requests.open_tasks == 1
    fixture.requests.shed(api.Shed(placement.number, 5))
    fixture.requests.fail(api.Fail(placement.number))
    assert [type(message) for message in fixture.messages()] == [ev.Admitted, ev.TaskShed]
    assert (
        fixture.requests.open_tasks == 0
        and not fixture.requests.placements
        and not fixture.requests.by_client_key
    )


def test_a_key_has_one_open_task_at_a_time() -> None:
    fixture = Fixture()
    fixture.request(1, key=9)
    fixture.request(2, key=9)
    assert fixture.messages()[-1].rejection.code == "ALREADY_EXISTS"
    assert fixture.requests.open_tasks == 1


def test_a_key_whose_task_may_still_run_is_rejected_if_a_second_run_does_harm() -> None:
    for task_class, code in (("report", "ABORTED"), ("worker", "")):
        fixture = Fixture()
        placement = fixture.request(1, key=9, task_class=task_class)
        placement.attempts["x"] = object()
        fixture.requests.fail(api.Fail(placement.number))
        fixture.request(2, key=9, task_class=task_class)
        last = fixture.messages()[-1]
        assert (last.rejection.code if isinstance(last, ev.Rejected) else "") == code


def test_a_client_that_disconnects_leaves_nothing_open() -> None:
    fixture = Fixture()
    fixture.request(1)
    fixture.requests.client_disconnected(ev.ClientDisconnected(1))
    fixture.requests.client_disconnected(ev.ClientDisconnected(1))
    assert (
        fixture.requests.open_tasks == 0
        and not fixture.requests.placements
        and not fixture.requests.by_client
    )
    assert fixture.attempts.called_names().count("cancel") == 1
    assert [e for e in fixture.context.module_events if isinstance(e, api.TaskCancelled)]


def test_a_running_task_is_reported_on_the_client_s_other_session() -> None:
    fixture = Fixture()
    fixture.requests.client_connected(ev.ClientConnected(2, "o"))
    placement = fixture.request(1)
    placement.attempts["x"] = object()
    fixture.requests.task_placed(placement, 3, 0, 10)
    fixture.requests.client_disconnected(ev.ClientDisconnected(1))
    assert placement.session == 2
    fixture.requests.notify(placement, ev.TaskEnded(placement.request, 1, True, api.Reason.UNTOLD))
    assert [a.session for a in fixture.context.actions if isinstance(a, ev.SendToClient)][-1] == 2


def test_a_member_that_is_not_placed_is_passed_to_its_group() -> None:
    fixture = Fixture()
    placement = fixture.request(1)
    placement.group = (5, 0)
    fixture.requests.shed(api.Shed(placement.number, 0))
    assert ("member_unplaced", placement) in fixture.groups.calls and len(fixture.messages()) == 1


def test_shutdown_gives_every_open_request_an_outcome() -> None:
    fixture = Fixture()
    safe, risky = fixture.request(1), fixture.request(2, task_class="report")
    risky.known_not_run = False
    fixture.requests.conclude_all()
    assert [type(message) for message in fixture.messages()[-2:]] == [ev.TaskShed, ev.TaskFailed]
    assert safe.state.value == "shed" and fixture.requests.open_tasks == 0

"""The owners' room by itself: every other room is played by hand."""

from __future__ import annotations

from typing import Any

from room import Others, core_context, spec
from world import SECOND

from stairplank import interface as api
from stairplank.planner import events as ev
from stairplank.planner.client_requests import ClientRequests


class Room:
    def __init__(self) -> None:
        self.context = core_context()
        self.owners = ClientRequests(self.context)
        self.attempts = Others(in_flight=0)
        self.groups = Others()
        self.owners.attempts = self.attempts  # type: ignore[assignment]
        self.owners.groups = self.groups  # type: ignore[assignment]
        self.owners.client_connected(ev.ClientConnected(1, "o"))

    def ask(self, n: int, key: int = 0, session: int = 1, **more: Any) -> Any:
        self.owners.placement_requested(ev.PlacementRequested(session, n, spec(key or n, **more), 6 * SECOND))
        return self.owners.find_by_key("o", key or n)

    def words(self) -> list[Any]:
        return [a.message for a in self.context.actions if isinstance(a, ev.SendToClient)]


def test_what_is_taken_has_one_outcome() -> None:
    r = Room()
    one = r.ask(1)
    assert r.owners.open_tasks == 1
    r.owners.shed(api.Shed(one.number, 5))
    r.owners.fail(api.Fail(one.number))
    assert [type(w) for w in r.words()] == [ev.Admitted, ev.TaskShed]
    assert r.owners.open_tasks == 0 and not r.owners.placements and not r.owners.by_client_key


def test_a_name_is_taken_once_at_a_time() -> None:
    r = Room()
    r.ask(1, key=9)
    r.ask(2, key=9)
    assert r.words()[-1].rejection.code == "ALREADY_EXISTS"
    assert r.owners.open_tasks == 1


def test_a_name_that_may_still_run_is_not_taken_where_a_second_run_does_harm() -> None:
    for sort, code in (("report", "ABORTED"), ("worker", "")):
        r = Room()
        one = r.ask(1, key=9, task_class=sort)
        one.attempts["x"] = object()
        r.owners.fail(api.Fail(one.number))
        r.ask(2, key=9, task_class=sort)
        last = r.words()[-1]
        assert (last.rejection.code if isinstance(last, ev.Rejected) else "") == code


def test_an_owner_that_leaves_leaves_nothing_open() -> None:
    r = Room()
    r.ask(1)
    r.owners.client_disconnected(ev.ClientDisconnected(1))
    r.owners.client_disconnected(ev.ClientDisconnected(1))
    assert r.owners.open_tasks == 0 and not r.owners.placements and not r.owners.by_client
    assert r.attempts.names().count("cancel") == 1
    assert [e for e in r.context.module_events if isinstance(e, api.TaskCancelled)]


def test_what_runs_is_told_to_the_owner_s_other_stream() -> None:
    r = Room()
    r.owners.client_connected(ev.ClientConnected(2, "o"))
    one = r.ask(1)
    one.attempts["x"] = object()
    r.owners.task_placed(one, 3, 0, 10)
    r.owners.client_disconnected(ev.ClientDisconnected(1))
    assert one.session == 2
    r.owners.notify(one, ev.TaskEnded(one.request, 1, True, api.Reason.UNTOLD))
    assert [a.session for a in r.context.actions if isinstance(a, ev.SendToClient)][-1] == 2


def test_members_are_the_groups_matter() -> None:
    r = Room()
    one = r.ask(1)
    one.group = (5, 0)
    r.owners.shed(api.Shed(one.number, 0))
    assert ("member_unplaced", one) in r.groups.asked and len(r.words()) == 1


def test_all_that_is_owed_is_answered_when_the_planner_leaves() -> None:
    r = Room()
    safe, risky = r.ask(1), r.ask(2, task_class="report")
    risky.known_not_run = False
    r.owners.conclude_all()
    assert [type(w) for w in r.words()[-2:]] == [ev.TaskShed, ev.TaskFailed]
    assert safe.state.value == "shed" and r.owners.open_tasks == 0

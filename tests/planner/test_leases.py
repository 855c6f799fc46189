"""The leases' room by itself."""

from __future__ import annotations

from typing import Any

from component_stubs import ComponentStub, core_context, make_placement, pass_time
from world import SECOND

from stairplank.planner import events as ev
from stairplank.planner.events import AttemptId
from stairplank.planner.leases import Leases
from stairplank.planner.placement import Attempt
from stairplank.planner.transitions import AttemptState

MS = 1_000


def room() -> tuple[Leases, Attempt, ComponentStub]:
    on = core_context()
    leases = Leases(on)
    one = make_placement(on)
    one.group = (3, 0)
    attempt = Attempt(on, AttemptId(7, one.number, 0), one, 0, 4, AttemptState.RUNNING)
    others = ComponentStub(find=lambda id: attempt if id == attempt.id else None)
    leases.attempts = others  # type: ignore[assignment]
    return leases, attempt, others


def over(others: ComponentStub) -> list[Any]:
    return [a for a in others.calls if a[0] == "end"]


def test_a_lease_that_nothing_lengthens_runs_out_once() -> None:
    leases, attempt, others = room()
    leases.hold(attempt, leases.context.now + SECOND)
    pass_time(leases.context, 999 * MS)
    assert not over(others)
    pass_time(leases.context, 5 * SECOND)
    assert len(over(others)) == 1


def test_an_answered_keep_counts_from_when_it_was_said() -> None:
    leases, attempt, others = room()
    leases.hold(attempt, leases.context.now + SECOND)
    leases.keep(4, (attempt.id,), 2 * SECOND)
    keep = next(a for a in leases.context.actions if isinstance(a, ev.SendLeaseRenewal))
    said = leases.context.now
    pass_time(leases.context, 900 * MS)
    leases.kept(ev.LeasesRenewed(4, keep.renewal))
    assert attempt.leased_until == said + 2 * SECOND and not leases.keeps
    pass_time(leases.context, 1099 * MS)
    assert not over(others)
    pass_time(leases.context, 2 * MS)
    assert len(over(others)) == 1


def test_an_answer_to_a_later_keep_answers_for_those_before_but_lends_them_no_time() -> None:
    leases, attempt, _ = room()
    other = AttemptId(7, 99, 0)
    leases.keep(4, (attempt.id,), 9 * SECOND)
    leases.keep(4, (other,), SECOND)
    last = [a for a in leases.context.actions if isinstance(a, ev.SendLeaseRenewal)][-1]
    leases.kept(ev.LeasesRenewed(4, last.renewal))
    assert not leases.keeps and attempt.leased_until == 0


def test_keeps_on_a_broken_link_are_forgotten() -> None:
    leases, attempt, _ = room()
    leases.keep(4, (attempt.id,), SECOND)
    number = next(iter(leases._said))
    leases.link_lost(4)
    leases.kept(ev.LeasesRenewed(4, number))
    assert not leases.keeps and not leases._said and attempt.leased_until == 0

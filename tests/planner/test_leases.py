"""Tests of the leases component, with a stub of the attempts."""

from __future__ import annotations

from typing import Any

from component_stubs import ComponentStub, core_context, make_placement, pass_time
from grpc_core_harness import SECOND

from stairplank.planner import events as ev
from stairplank.planner.events import AttemptId
from stairplank.planner.leases import Leases
from stairplank.planner.placement import Attempt
from stairplank.planner.transitions import AttemptState

MS = 1_000


def create_leases() -> tuple[Leases, Attempt, ComponentStub]:
    context = core_context()
    leases = Leases(context)
    placement = make_placement(context)
    placement.group = (3, 0)
    attempt = Attempt(context, AttemptId(7, placement.number, 0), placement, 0, 4, AttemptState.RUNNING)
    attempts = ComponentStub(find=lambda id: attempt if id == attempt.id else None)
    leases.attempts = attempts  # type: ignore[assignment]
    return leases, attempt, attempts


def end_calls(attempts: ComponentStub) -> list[Any]:
    return [call for call in attempts.calls if call[0] == "end"]


def test_a_lease_that_is_not_renewed_expires_once() -> None:
    leases, attempt, attempts = create_leases()
    leases.extend(attempt, leases.context.now + SECOND)
    pass_time(leases.context, 999 * MS)
    assert not end_calls(attempts)
    pass_time(leases.context, 5 * SECOND)
    assert len(end_calls(attempts)) == 1


def test_an_acknowledged_renewal_counts_from_when_it_was_sent() -> None:
    leases, attempt, attempts = create_leases()
    leases.extend(attempt, leases.context.now + SECOND)
    leases.renew(4, (attempt.id,), 2 * SECOND)
    renewal = next(a for a in leases.context.actions if isinstance(a, ev.SendLeaseRenewal))
    sent_at = leases.context.now
    pass_time(leases.context, 900 * MS)
    leases.renewal_received(ev.LeasesRenewed(4, renewal.renewal))
    assert attempt.leased_until == sent_at + 2 * SECOND and not leases.pending_renewals
    pass_time(leases.context, 1099 * MS)
    assert not end_calls(attempts)
    pass_time(leases.context, 2 * MS)
    assert len(end_calls(attempts)) == 1


def test_an_acknowledgement_covers_earlier_renewals_but_does_not_extend_their_leases() -> None:
    leases, attempt, _ = create_leases()
    other = AttemptId(7, 99, 0)
    leases.renew(4, (attempt.id,), 9 * SECOND)
    leases.renew(4, (other,), SECOND)
    last = [a for a in leases.context.actions if isinstance(a, ev.SendLeaseRenewal)][-1]
    leases.renewal_received(ev.LeasesRenewed(4, last.renewal))
    assert not leases.pending_renewals and attempt.leased_until == 0


def test_renewals_on_a_lost_link_are_forgotten() -> None:
    leases, attempt, _ = create_leases()
    leases.renew(4, (attempt.id,), SECOND)
    number = leases.pending_renewals[4][0].message.renewal
    leases.link_lost(4)
    leases.renewal_received(ev.LeasesRenewed(4, number))
    assert not leases.pending_renewals and attempt.leased_until == 0

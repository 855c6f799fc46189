"""Tests of the attempts component; every other component is a stub."""

from __future__ import annotations

from typing import Any

import pytest
from component_stubs import ComponentStub, core_context, make_placement, pass_time
from grpc_core_harness import SECOND

from stairplank import interface as api
from stairplank.planner import events as ev
from stairplank.planner.attempts import Attempts
from stairplank.planner.errors import ConcludedTaskError, IllegalTransitionError
from stairplank.planner.offers import REPLY_RESERVE_TICKS
from stairplank.planner.placement import Attempt, Placement
from stairplank.planner.transitions import AttemptEvent, AttemptState, PlacementEvent


class Fixture:
    """An attempts component with one open placement and stubs of the other components."""

    def __init__(self, up: bool = True, task_class: str = "worker", **links: Any) -> None:
        self.context = core_context()
        self.attempts = Attempts(self.context)
        self.placement = make_placement(self.context, 1, task_class)
        self.requests = ComponentStub(find=lambda n: self.placement if n == self.placement.number else None)
        self.links = ComponentStub(is_up=up, has_addresses=True, dial_now=True, **links)
        self.attempts.requests = self.requests  # type: ignore[assignment]
        self.attempts.links = self.links  # type: ignore[assignment]
        self.attempts.groups = ComponentStub()  # type: ignore[assignment]

    def bind(self, node: int = 1, timeout: int = 0) -> None:
        self.attempts.offers.bind(api.Bind(self.placement.number, node, timeout))

    def outcomes(self) -> list[api.Result]:
        return [e.result for e in self.context.module_events if isinstance(e, api.Outcome)]

    def sent(self) -> list[Any]:
        return [a for a in self.context.actions if isinstance(a, ev.SendOffer)]

    @property
    def attempt(self) -> Attempt:
        return next(iter(self.attempts.attempts.values()))


def test_an_offer_is_sent_over_a_link_that_is_up() -> None:
    fixture = Fixture()
    fixture.bind()
    (offer,) = fixture.sent()
    tick = fixture.context.settings.tick_us
    assert (
        offer.wait_us == 6 * SECOND - REPLY_RESERVE_TICKS * tick
        and fixture.attempt.state is AttemptState.SENT
    )


def test_an_attempt_that_waits_for_a_link_ends_when_the_dial_times_out() -> None:
    fixture = Fixture(up=False)
    fixture.bind()
    assert fixture.attempt.state is AttemptState.WAITING and not fixture.sent()
    pass_time(fixture.context, fixture.context.config.dial_timeout_us)
    assert fixture.outcomes() == [api.Result.UNREACHABLE] and not fixture.attempts.attempts


def test_no_offer_is_sent_for_a_task_whose_deadline_has_passed() -> None:
    """After a stall, node messages are handled before timers, so the module may bind a late task."""
    fixture = Fixture()
    fixture.context.now += 6 * SECOND
    fixture.bind()
    assert not fixture.sent() and fixture.outcomes() == [api.Result.NOT_SENT]


@pytest.mark.parametrize("task_class", ["worker", "report"])
def test_a_timeout_is_reported_once_and_stops_only_an_idempotent_task(task_class: str) -> None:
    fixture = Fixture(task_class=task_class)
    fixture.bind(timeout=SECOND)
    pass_time(fixture.context, 2 * SECOND)
    assert fixture.outcomes() == [api.Result.TIMEOUT] and fixture.attempt.state is AttemptState.ABANDONED_SENT
    stops = [a for a in fixture.context.actions if isinstance(a, ev.SendStop)]
    assert bool(stops) is (task_class == "worker")
    fixture.attempts.messages.node_error(ev.NodeError(1, fixture.attempt.id))
    assert fixture.outcomes() == [api.Result.TIMEOUT] and not fixture.attempts.attempts


def test_a_running_message_binds_only_an_open_placement() -> None:
    fixture = Fixture()
    fixture.bind()
    fixture.attempts.messages.node_running(ev.NodeRunning(1, fixture.attempt.id))
    assert (
        fixture.placement.bound_attempt is fixture.attempt
        and ("task_placed", fixture.placement, 1, 0, 0) in fixture.requests.calls
    )
    late = Fixture()
    late.bind()
    late.placement.transition(PlacementEvent.CANCELLED)
    late.attempts.messages.node_running(ev.NodeRunning(1, late.attempt.id))
    assert late.placement.bound_attempt is None and "task_placed" not in late.requests.called_names()


def test_an_adopted_duplicate_replaces_its_abandoned_attempt() -> None:
    fixture = Fixture(task_class="report")
    adopted_placement = Placement(fixture.context, 1, 0, fixture.placement.task)
    fixture.requests.return_values["adopt"] = adopted_placement
    fixture.bind(timeout=SECOND)
    abandoned = fixture.attempt
    pass_time(fixture.context, 2 * SECOND)
    fixture.placement.transition(PlacementEvent.FAILED)
    fixture.attempts.messages.node_running(ev.NodeRunning(1, abandoned.id))
    assert (
        abandoned.state is AttemptState.ENDED
        and fixture.attempt is not abandoned
        and fixture.attempt.id == abandoned.id
    )
    assert adopted_placement.bound_attempt is fixture.attempt and not fixture.placement.attempts


def test_a_message_on_an_unknown_attempt_is_passed_to_the_links() -> None:
    fixture = Fixture()
    fixture.bind()
    fixture.attempts.messages.node_running(
        ev.NodeRunning(2, fixture.attempt.id)
    )  # node 2 has no such attempt
    assert (
        fixture.placement.bound_attempt is None
        and fixture.links.called_names()[-1] == "unknown_attempt_reported"
    )


def test_an_illegal_transition_error_names_state_and_event() -> None:
    fixture = Fixture()
    fixture.bind()
    with pytest.raises(IllegalTransitionError, match="attempt: 'sent' while 'sent'"):
        fixture.attempt.transition(AttemptEvent.SENT)
    with pytest.raises(ConcludedTaskError, match="which already has its outcome"):
        fixture.attempts.offers.bind(api.Bind(99, 1, 0))


def test_a_lost_link_returns_the_attempts_that_were_sent() -> None:
    fixture = Fixture()
    fixture.bind()
    assert fixture.attempts.link_lost(1, frozenset()) == [fixture.attempt.id]
    assert fixture.attempts.link_lost(1, frozenset([fixture.attempt.id])) == []
    assert fixture.outcomes() == [api.Result.UNREACHABLE]

"""The attempts' room by itself: every other room is played by hand."""

from __future__ import annotations

from typing import Any

import pytest
from room import Others, core_context, pass_time, placing
from world import SECOND

from stairplank import interface as api
from stairplank.planner import events as ev
from stairplank.planner.attempts import ANSWER_TICKS, Attempts
from stairplank.planner.placement import Attempt, Placement
from stairplank.planner.transitions import AttemptState, IllegalTransition


class Room:
    def __init__(self, up: bool = True, sort: str = "worker", **links: Any) -> None:
        self.context = core_context()
        self.attempts = Attempts(self.context)
        self.one = placing(self.context, 1, sort)
        self.owners = Others(placing=lambda n: self.one if n == self.one.number else None)
        self.links = Others(is_up=up, has_addresses=True, dial_now=True, **links)
        self.attempts.owners = self.owners  # type: ignore[assignment]
        self.attempts.links = self.links  # type: ignore[assignment]
        self.attempts.groups = Others()  # type: ignore[assignment]

    def bind(self, node: int = 1, timeout: int = 0) -> None:
        self.attempts.bind(api.Bind(self.one.number, node, timeout))

    def outcomes(self) -> list[api.Result]:
        return [e.result for e in self.context.module_events if isinstance(e, api.Outcome)]

    def sent(self) -> list[Any]:
        return [a for a in self.context.actions if isinstance(a, ev.SendOffer)]

    @property
    def attempt(self) -> Attempt:
        return next(iter(self.attempts.attempts.values()))


def test_an_offer_leaves_over_a_link_that_stands() -> None:
    r = Room()
    r.bind()
    (offer,) = r.sent()
    tick = r.context.settings.tick_us
    assert offer.wait_us == 6 * SECOND - ANSWER_TICKS * tick and r.attempt.stage is AttemptState.SENT


def test_one_that_waits_for_a_link_is_given_up_with_the_dial() -> None:
    r = Room(up=False)
    r.bind()
    assert r.attempt.stage is AttemptState.WAITING and not r.sent()
    pass_time(r.context, r.context.config.dial_timeout_us)
    assert r.outcomes() == [api.Result.UNREACHABLE] and not r.attempts.attempts


def test_no_offer_leaves_for_a_task_whose_time_is_over() -> None:
    """After a pause what nodes said is taken before time: the module may bind what is long due."""
    r = Room()
    r.context.now += 6 * SECOND
    r.bind()
    assert not r.sent() and r.outcomes() == [api.Result.NOT_SENT]


@pytest.mark.parametrize("sort", ["worker", "report"])
def test_a_time_out_is_told_once_and_calls_back_what_may_be_repeated(sort: str) -> None:
    r = Room(sort=sort)
    r.bind(timeout=SECOND)
    pass_time(r.context, 2 * SECOND)
    assert r.outcomes() == [api.Result.TIMEOUT] and r.attempt.stage is AttemptState.ABANDONED_SENT
    stops = [a for a in r.context.actions if isinstance(a, ev.SendStop)]
    assert bool(stops) is (sort == "worker")
    r.attempts.node_error(ev.NodeError(1, r.attempt.id))
    assert r.outcomes() == [api.Result.TIMEOUT] and not r.attempts.attempts


def test_an_answer_binds_an_open_placing_alone() -> None:
    r = Room()
    r.bind()
    r.attempts.node_running(ev.NodeRunning(1, r.attempt.id))
    assert r.one.bound is r.attempt and ("place", r.one, 1, 0, 0) in r.owners.asked
    late = Room()
    late.bind()
    late.one.becomes("withdrawn")
    late.attempts.node_running(ev.NodeRunning(1, late.attempt.id))
    assert late.one.bound is None and "place" not in late.owners.names()


def test_a_copy_is_adopted_in_place_of_its_attempt() -> None:
    r = Room(sort="report")
    heir = Placement(r.context, 1, 0, r.one.spec)
    r.owners.answers["adopt"] = heir
    r.bind(timeout=SECOND)
    old = r.attempt
    pass_time(r.context, 2 * SECOND)
    r.one.becomes("failed")
    r.attempts.node_running(ev.NodeRunning(1, old.id))
    assert old.stage is AttemptState.OVER and r.attempt is not old and r.attempt.id == old.id
    assert heir.bound is r.attempt and not r.one.attempts


def test_words_on_what_is_not_known_are_left_to_the_links() -> None:
    r = Room()
    r.bind()
    r.attempts.node_running(ev.NodeRunning(2, r.attempt.id))  # another node's
    assert r.one.bound is None and r.links.names()[-1] == "unknown_attempt_reported"


def test_an_illegal_step_names_state_and_event() -> None:
    r = Room()
    r.bind()
    with pytest.raises(IllegalTransition, match="attempt: 'sent' while 'out'"):
        r.attempt.step("sent")
    with pytest.raises(RuntimeError, match="which is over"):
        r.attempts.bind(api.Bind(99, 1, 0))


def test_a_broken_link_tells_what_had_left() -> None:
    r = Room()
    r.bind()
    assert r.attempts.over_unsent(1, frozenset()) == [r.attempt.id]
    assert r.attempts.over_unsent(1, frozenset([r.attempt.id])) == []
    assert r.outcomes() == [api.Result.UNREACHABLE]

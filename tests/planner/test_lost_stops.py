"""A stop that is lost with its link, or that is decided while the link is down, is sent on the next link."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from grpc_core_harness import CoreHarness

from stairplank import interface as api
from stairplank.planner import events as ev
from stairplank.planner.actions import StopReason


def run_task(harness: CoreHarness) -> ev.SendOffer:
    return harness.request_and_run(1)


def accept_task(harness: CoreHarness) -> ev.SendOffer:
    offer = harness.request_offer(1)
    harness.feed(ev.NodeAccepted(offer.node, offer.id))
    return offer


def cancel(harness: CoreHarness) -> None:
    harness.feed(ev.PlacementCancelled(1, 1, 0))


def migrate(harness: CoreHarness) -> None:
    (placement,) = harness.core.requests.placements.values()
    harness.core.context.begin(harness.now)
    harness.core.attempts.evict(api.Evict(placement.number))
    harness.actions += harness.core.context.actions


@pytest.mark.parametrize("is_link_up", [True, False])
@pytest.mark.parametrize(
    ("start", "stop", "reason"),
    [
        (run_task, cancel, StopReason.CANCELLED),
        (accept_task, cancel, StopReason.CANCELLED),
        (run_task, migrate, StopReason.MIGRATED),
    ],
)
def test_a_stop_that_a_broken_link_has_lost_is_sent_again(
    start: Callable[[CoreHarness], ev.SendOffer],
    stop: Callable[[CoreHarness], None],
    reason: StopReason,
    is_link_up: bool,
) -> None:
    """The stop of a migration was lost with its link: the task ran on and was not migrated."""
    harness = CoreHarness(nodes=1)
    offer = start(harness)
    if not is_link_up:
        harness.feed(ev.LinkDown(1, frozenset()))
    stop(harness)
    assert len(harness.actions_of_type(ev.SendStop)) == int(is_link_up)
    if is_link_up:
        harness.feed(ev.LinkDown(1, frozenset()))
    harness.actions.clear()
    task = ev.NodeTask(offer.id, harness.task_spec(1), running=start is run_task)
    harness.connect_node(1, reported_tasks=[task])
    assert harness.actions_of_type(ev.SendStop) == [ev.SendStop(1, offer.id, reason)]
    harness.feed(ev.NodeEnded(1, offer.id, api.Result.CANCELLED, api.Reason.UNTOLD))
    assert harness.has_no_tasks()


def test_a_task_that_was_not_stopped_goes_on_after_a_broken_link() -> None:
    harness = CoreHarness(nodes=1)
    offer = run_task(harness)
    harness.feed(ev.LinkDown(1, frozenset()))
    harness.connect_node(1, reported_tasks=[ev.NodeTask(offer.id, harness.task_spec(1), running=True)])
    assert harness.actions_of_type(ev.SendStop) == []

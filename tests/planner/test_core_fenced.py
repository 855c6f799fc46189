"""What the fence proves to a planner: tasks go on sooner, and nothing that is too old is taken."""

from __future__ import annotations

import pytest
from world import SECOND, World, held

from stairplank import interface as api
from stairplank.planner import events as ev
from stairplank.planner.attempt_lifecycle import OFFER_EXPIRY_SLACK_US

MS = 1_000


def timed_out(w: World, n: int = 1, sort: str = "report") -> ev.SendOffer:
    """A task that must not run twice, given up without a word of its node."""
    offer = w.request_offer(n, sort)
    w.wait(offer.wait_us + 20 * MS)
    return offer


def answer(
    w: World, offer: ev.SendOffer, *tasks: ev.NodeTask, complete: bool = True, asked_at: int = 0
) -> None:
    w.feed(ev.NodeTasksReported(offer.node, 0, tasks, complete, asked_at or w.now))


@pytest.mark.parametrize(
    ("age", "taken"), [(0, True), (5 * SECOND, True), (6 * SECOND, False), (1 << 62, False)]
)
def test_an_ask_counts_from_when_it_was_said(age: int, taken: bool) -> None:
    w = World()
    w.feed(ev.PlacementRequested(1, 1, w.task_spec(1), 6 * SECOND, age))
    rejected = w.client_messages(ev.Rejected)
    assert bool(w.actions_of(ev.SendOffer)) is taken and bool(rejected) is not taken
    if taken:
        w.wait(6 * SECOND - age)
        assert w.client_messages()  # answered by when its owner gives up, not by when it came
    else:
        assert rejected[0].rejection.code == "DEADLINE_EXCEEDED" and w.is_empty()


def test_a_group_s_ask_counts_from_when_it_was_said() -> None:
    w = World()
    members = tuple(w.task_spec(n) for n in (1, 2))
    w.feed(ev.GroupRequested(1, 1, members, 6 * SECOND, age_us=7 * SECOND))
    assert w.client_messages(ev.Rejected)[0].rejection.code == "DEADLINE_EXCEEDED"
    assert not w.actions_of(ev.SendOffer)


def test_an_offer_turned_away_as_too_late_is_proven_and_says_nothing_of_room() -> None:
    w = World()
    offer = w.request_offer(1, "report")
    w.feed(ev.NodeRejected(offer.node, offer.id, api.Reason.UNTOLD, True))
    w.wait(500 * MS)
    assert len(w.actions_of(ev.SendOffer)) == 2  # a once task: sent again, since it cannot have run
    assert w.core.counts["too_late"] == 1


def test_a_late_refusal_frees_a_task_that_was_given_up() -> None:
    w = World()
    offer = timed_out(w)
    assert isinstance(w.client_messages()[-1], ev.TaskFailed)
    w.request(2, "report", key=1)
    assert w.client_messages(ev.Rejected)[-1].rejection.code == "ABORTED"
    w.feed(ev.NodeRejected(offer.node, offer.id, api.Reason.UNTOLD, True))
    assert w.is_empty()
    assert [a for a in w.request(3, "report", key=1) if isinstance(a, ev.SendOffer)]


def test_a_node_is_asked_for_an_offer_that_it_can_take_no_more() -> None:
    w = World()
    offer = timed_out(w)
    w.actions.clear()
    w.wait(2 * SECOND)
    assert w.actions_of(ev.RequestNodeTasks) == [ev.RequestNodeTasks(offer.node)]
    answer(w, offer)
    assert w.is_empty() and w.core.counts["never_taken"] == 1


@pytest.mark.parametrize("why", ["asked too early", "not complete", "held", "accepted"])
def test_what_is_not_proven_stays(why: str) -> None:
    w = World()
    offer = timed_out(w)
    if why == "accepted":
        w.feed(ev.NodeAccepted(offer.node, offer.id))
    w.wait(2 * SECOND)
    tasks = ()
    if why == "held":
        tasks = (ev.NodeTask(offer.id, offer.task, False),)
    early = offer.wait_us + OFFER_EXPIRY_SLACK_US - 100 * MS if why == "asked too early" else 0
    asked_at = 1000 * SECOND + early if early else w.now
    answer(w, offer, *tasks, complete=why != "not complete", asked_at=asked_at)
    assert not w.is_empty()


def test_nodes_are_not_asked_for_each_of_many() -> None:
    w = World(nodes=1)
    for n in range(1, 9):
        w.request(n, "report", service=n)
    w.wait(10 * SECOND)
    asked = len(w.actions_of(ev.RequestNodeTasks))
    assert w.core.counts["timeouts"] >= 4 and 1 <= asked <= 3


def test_an_accepted_copy_whose_stop_was_lost_is_stopped_again() -> None:
    """Danger: said once on a link that broke, the stop never came; the copy would run on beside its task."""
    w = World()
    offer = w.request_offer(1)
    w.feed(ev.NodeAccepted(offer.node, offer.id))
    w.wait(7 * SECOND)  # given up; its stop is on the way
    assert [s for s in w.actions_of(ev.SendStop) if s.id == offer.id]
    w.actions.clear()
    w.feed(ev.LinkDown(offer.node))
    w.connect_link(offer.node, 0, False)
    w.feed(ev.NodeTasksReported(offer.node, 0, (ev.NodeTask(offer.id, offer.task, False),), True, w.now))
    assert [s.id for s in w.actions_of(ev.SendStop)] == [offer.id]


def test_a_task_of_an_earlier_life_is_looked_after_all_the_same() -> None:
    w = World()
    w.feed(ev.NodeTasksReported(1, 0, (held(w, 9, "report"),), True, w.now))
    assert w.core.counts["adopted"] == 1


def test_after_a_pause_the_word_of_a_drain_comes_before_the_timers() -> None:
    """Danger: the planner stood still; its timers send offers before it reads that their node drains."""
    for woken in (True, False):
        w = World(nodes=2)
        offer = w.request_offer(1, wait_us=60 * SECOND)
        w.now += offer.wait_us + SECOND  # no answer came; a timer tries the other node
        event = ev.NodeDraining(3 - offer.node)
        out = w.core.handle_after_stall(w.now, [event]) if woken else w.core.handle(w.now, event)
        offers = [a for a in out if isinstance(a, ev.SendOffer)]
        assert bool(offers) is not woken


def test_after_a_pause_owners_are_heard_last() -> None:
    w = World(nodes=2)
    events = [
        ev.PlacementRequested(1, 1, w.task_spec(1), 6 * SECOND),
        ev.NodeDraining(1),
        ev.PlacementRequested(1, 2, w.task_spec(2, service=9), SECOND),
    ]
    out = w.core.handle_after_stall(w.now + 5 * SECOND, events)
    offers = [a.node for a in out if isinstance(a, ev.SendOffer)]
    assert offers == [2, 2]


def test_a_copy_that_shows_itself_after_a_cut_is_adopted_once() -> None:
    w = World()
    offer = timed_out(w)
    assert isinstance(w.client_messages()[-1], ev.TaskFailed)
    w.feed(ev.LinkDown(offer.node))
    w.connect_link(offer.node, 0, False)
    w.feed(ev.NodeTasksReported(offer.node, 0, (ev.NodeTask(offer.id, offer.task, True),), True, w.now))
    assert w.core.counts["adopted"] == 1 and len(w.client_messages(ev.TaskRecovered)) == 1

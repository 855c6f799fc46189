"""Numbered messages: accepted once and in order, a gap requested once, kept by the node until received."""

from __future__ import annotations

import random

from world import SECOND, World

from stairplank.planner import events as ev
from stairplank.planner.received_messages import ReceivedMessages
from stairplank.standin.outbox import Outbox


def test_messages_are_accepted_once_and_in_order() -> None:
    received = ReceivedMessages()
    assert received.receive(1) == (True, False) and received.receive(1) == (False, False)
    assert received.receive(4) == (False, True)  # 2 and 3 are missing: asked for once
    assert received.receive(5) == (False, False)
    assert [received.receive(n)[0] for n in (2, 3, 4, 5)] == [True] * 4
    assert received.receive(7) == (False, True)
    received.stream_opened()
    assert received.receive(8) == (False, True)


def test_the_outbox_keeps_what_was_not_received() -> None:
    box = Outbox(7, max_messages=3)
    assert [box.add(w) for w in "abc"] == [1, 2, 3]
    box.acknowledge(1)
    assert box.unacknowledged_after(1) == [(2, "b"), (3, "c")] and box.complete
    box.add("d")
    box.add("e")
    assert box.unacknowledged_after(0) == [(3, "c"), (4, "d"), (5, "e")] and not box.complete


def test_over_any_losses_each_message_is_accepted_once() -> None:
    for seed in range(200):
        rng = random.Random(seed)
        box = Outbox(1)
        received = ReceivedMessages()
        accepted = []
        wire: list[tuple[int, int]] = []

        def send(items: list[tuple[int, int]], rng: random.Random = rng, wire: list = wire) -> None:
            wire.extend(x for x in items if rng.random() > 0.3)

        for sent in range(30):
            number = box.add(sent)
            send([(number, sent)])
            while wire and rng.random() < 0.7:
                number, message = wire.pop(0)
                accept, resend = received.receive(number)
                if accept:
                    accepted.append(message)
                    box.acknowledge(received.last_number)
                if resend:
                    send(box.unacknowledged_after(received.last_number))
            if rng.random() < 0.1:  # the link is cut and opened again
                wire.clear()
                received.stream_opened()
                send(box.unacknowledged_after(received.last_number))
        received.stream_opened()
        for number, message in box.unacknowledged_after(received.last_number):
            if received.receive(number)[0]:
                accepted.append(message)
        assert accepted == list(range(30)), seed


def test_an_offer_that_was_never_received_is_proven_never_to_have_run() -> None:
    for complete in (True, False):
        w = World()
        offer = w.request_offer(1, "report")
        w.feed(ev.LinkDown(offer.node))
        w.connect_link(offer.node, 0, False)
        w.feed(ev.NodeTasksReported(offer.node, 0, (), complete))
        w.wait(SECOND)
        again = w.actions_of(ev.SendOffer)[1:]
        assert bool(again) is complete  # a once task: sent again only where it cannot have run
        assert bool(w.client_messages(ev.TaskFailed)) is not complete


def test_an_accepted_task_that_is_gone_is_lost_all_the_same() -> None:
    w = World()
    offer = w.request_offer(1, "report")
    w.feed(ev.NodeAccepted(offer.node, offer.id))
    w.feed(ev.LinkDown(offer.node))
    w.connect_link(offer.node, 0, False)
    w.feed(ev.NodeTasksReported(offer.node, 0, (), True))
    assert w.client_messages() == [ev.TaskFailed(1, True)]

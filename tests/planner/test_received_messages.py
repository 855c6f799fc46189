"""Numbered words: taken once and in order, a gap asked for once, kept by the node until heard."""

from __future__ import annotations

import random

from world import SECOND, World

from stairplank.planner import events as ev
from stairplank.planner.received_messages import ReceivedMessages
from stairplank.standin.outbox import Outbox


def test_words_are_taken_once_and_in_order() -> None:
    heard = ReceivedMessages()
    assert heard.receive(1) == (True, False) and heard.receive(1) == (False, False)
    assert heard.receive(4) == (False, True)  # 2 and 3 are missing: asked for once
    assert heard.receive(5) == (False, False)
    assert [heard.receive(n)[0] for n in (2, 3, 4, 5)] == [True] * 4
    assert heard.receive(7) == (False, True)
    heard.stream_opened()
    assert heard.receive(8) == (False, True)


def test_the_box_keeps_what_was_not_heard() -> None:
    box = Outbox(7, most=3)
    assert [box.add(w) for w in "abc"] == [1, 2, 3]
    box.heard(1)
    assert box.after(1) == [(2, "b"), (3, "c")] and box.complete
    box.add("d")
    box.add("e")
    assert box.after(0) == [(3, "c"), (4, "d"), (5, "e")] and not box.complete


def test_over_any_losses_each_word_is_taken_once() -> None:
    for seed in range(200):
        rng = random.Random(seed)
        box, heard, taken = Outbox(1), ReceivedMessages(), []
        wire: list[tuple[int, int]] = []

        def send(items: list[tuple[int, int]], rng: random.Random = rng, wire: list = wire) -> None:
            wire.extend(x for x in items if rng.random() > 0.3)

        for word in range(30):
            number = box.add(word)
            send([(number, word)])
            while wire and rng.random() < 0.7:
                number, word_ = wire.pop(0)
                take, again = heard.receive(number)
                if take:
                    taken.append(word_)
                    box.heard(heard.last_number)
                if again:
                    send(box.after(heard.last_number))
            if rng.random() < 0.1:  # the link is cut and opened again
                wire.clear()
                heard.stream_opened()
                send(box.after(heard.last_number))
        heard.stream_opened()
        for number, word in box.after(heard.last_number):
            if heard.receive(number)[0]:
                taken.append(word)
        assert taken == list(range(30)), seed


def test_an_offer_that_was_never_seen_is_proven_never_to_have_run() -> None:
    for complete in (True, False):
        w = World()
        offer = w.offer(1, "report")
        w.feed(ev.LinkDown(offer.node))
        w.link_up(offer.node, 0, False)
        w.feed(ev.NodeTasksReported(offer.node, 0, (), complete))
        w.wait(SECOND)
        again = w.all(ev.SendOffer)[1:]
        assert bool(again) is complete  # a once task: sent again only where it cannot have run
        assert bool(w.words(ev.TaskFailed)) is not complete


def test_an_accepted_task_that_is_gone_is_lost_all_the_same() -> None:
    w = World()
    offer = w.offer(1, "report")
    w.feed(ev.NodeAccepted(offer.node, offer.id))
    w.feed(ev.LinkDown(offer.node))
    w.link_up(offer.node, 0, False)
    w.feed(ev.NodeTasksReported(offer.node, 0, (), True))
    assert w.words() == [ev.TaskFailed(1, True)]

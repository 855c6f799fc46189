"""Numbered messages are accepted once and in order, and the node keeps them until they are received."""

from __future__ import annotations

import random

from grpc_core_harness import SECOND, CoreHarness

from stairplank.planner import events as ev
from stairplank.planner.received_messages import ReceivedMessages
from stairplank.standin.outbox import Outbox


def test_messages_are_accepted_once_and_in_order() -> None:
    received = ReceivedMessages()
    assert received.receive(1) == (True, False) and received.receive(1) == (False, False)
    assert received.receive(4) == (False, True)  # 2 and 3 are missing and are requested once
    assert received.receive(5) == (False, False)
    assert [received.receive(n)[0] for n in (2, 3, 4, 5)] == [True] * 4
    assert received.receive(7) == (False, True)
    received.stream_opened()
    assert received.receive(8) == (False, True)


def test_the_outbox_keeps_unacknowledged_messages_up_to_its_bound() -> None:
    outbox = Outbox(7, max_messages=3)
    assert [outbox.add(text) for text in "abc"] == [1, 2, 3]
    outbox.acknowledge(1)
    assert outbox.unacknowledged_after(1) == [(2, "b"), (3, "c")] and outbox.complete
    outbox.add("d")
    outbox.add("e")
    assert outbox.unacknowledged_after(0) == [(3, "c"), (4, "d"), (5, "e")] and not outbox.complete


def test_each_message_is_accepted_once_despite_losses() -> None:
    for seed in range(200):
        rng = random.Random(seed)
        outbox = Outbox(1)
        received = ReceivedMessages()
        accepted = []
        in_transit: list[tuple[int, int]] = []

        def send(
            items: list[tuple[int, int]], rng: random.Random = rng, in_transit: list = in_transit
        ) -> None:
            in_transit.extend(item for item in items if rng.random() > 0.3)

        for sent in range(30):
            number = outbox.add(sent)
            send([(number, sent)])
            while in_transit and rng.random() < 0.7:
                number, message = in_transit.pop(0)
                accept, resend = received.receive(number)
                if accept:
                    accepted.append(message)
                    outbox.acknowledge(received.last_number)
                if resend:
                    send(outbox.unacknowledged_after(received.last_number))
            if rng.random() < 0.1:  # the link breaks and is opened again
                in_transit.clear()
                received.stream_opened()
                send(outbox.unacknowledged_after(received.last_number))
        received.stream_opened()
        for number, message in outbox.unacknowledged_after(received.last_number):
            if received.receive(number)[0]:
                accepted.append(message)
        assert accepted == list(range(30)), seed


def test_a_complete_report_without_an_offered_task_proves_that_it_never_ran() -> None:
    for complete in (True, False):
        harness = CoreHarness()
        offer = harness.request_offer(1, "report")
        harness.feed(ev.LinkDown(offer.node))
        harness.connect_link(offer.node, 0, False)
        harness.feed(ev.NodeTasksReported(offer.node, 0, (), complete))
        harness.advance_time(SECOND)
        retries = harness.actions_of_type(ev.SendOffer)[1:]
        assert bool(retries) is complete  # an at-most-once task is sent again only if it cannot have run
        assert bool(harness.client_messages(ev.TaskFailed)) is not complete


def test_an_accepted_task_missing_from_a_complete_report_may_have_run() -> None:
    harness = CoreHarness()
    offer = harness.request_offer(1, "report")
    harness.feed(ev.NodeAccepted(offer.node, offer.id))
    harness.feed(ev.LinkDown(offer.node))
    harness.connect_link(offer.node, 0, False)
    harness.feed(ev.NodeTasksReported(offer.node, 0, (), True))
    assert harness.client_messages() == [ev.TaskFailed(1, True)]

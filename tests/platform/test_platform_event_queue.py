"""The order in which what has been read is handled."""

from __future__ import annotations

from dataclasses import replace

from desk import name, set_up

from stairplank.platform import event_queue
from stairplank.platform import events as ev
from stairplank.platform.event_queue import EventQueue
from stairplank.platform.messages import Cause, Kind, Message
from stairplank.platform.node_list import NodeListUpdate

ASK = ev.ClientMessage(1, set_up(1))
HELD = ev.ClientMessage(2, set_up(2, at="s-00000001"))
WORD = ev.MachineMessage(9, Message(Kind.RELEASE, name(3), cause=int(Cause.ENDED)))
DRAIN = ev.NodeListUpdated(NodeListUpdate(False, ()))


def taken(*events: ev.Event) -> list[ev.Event]:
    box = EventQueue()
    for event in events:
        box.add(event)
    return box.take_all()


def test_the_board_comes_first_and_new_set_ups_last() -> None:
    full = word(7, Cause.FULL)
    assert taken(ASK, full, HELD, WORD, DRAIN) == [DRAIN, HELD, WORD, full, ASK]
    assert taken(ASK, full, WORD, HELD, DRAIN) == [DRAIN, WORD, HELD, full, ASK]


def test_a_drain_that_comes_between_turns_overtakes_the_set_ups_that_wait() -> None:
    box = EventQueue()
    for number in range(1, 30):
        box.add(ev.ClientMessage(1, set_up(number)))
    assert len(box.take()) == event_queue.PLACEMENTS_PER_TURN
    box.add(DRAIN)
    assert box.take() == [DRAIN]


def ends(id: int, conn: int, **more: bool) -> ev.ClientMessage:
    return ev.ClientMessage(conn, Message(Kind.RELEASE, name(id), cause=int(Cause.ENDED)), **more)


def test_what_ends_a_set_up_takes_it_along_at_once_whoever_waits_before() -> None:
    came = [
        ev.ClientConnected(1, "127.8.240.2"),
        ev.ClientConnected(5, "127.8.240.2"),
        ev.ClientConnected(6, "127.8.240.3"),
    ]
    before = ev.ClientMessage(6, set_up(3))
    full = word(7, Cause.FULL)
    # given up on its own connection, or on another of the same client
    assert taken(*came, before, ASK, full, ends(1, 1)) == [
        *came,
        ends(1, 1, cancelled_unhandled=True),
        full,
        before,
    ]
    assert taken(*came, before, ASK, ends(1, 5)) == [*came, ends(1, 5, cancelled_unhandled=True), before]
    # another client's word ends nothing: it stays behind
    assert taken(*came, before, ASK, ends(1, 6)) == [*came, before, ASK, ends(1, 6)]
    # its connection goes: all that waits of it, and no more
    assert taken(*came, before, ASK, full, ev.ClientDisconnected(1)) == [
        *came,
        ev.ClientDisconnected(1),
        full,
        before,
    ]
    assert taken(ends(4, 5), ev.ClientDisconnected(5), ASK) == [ends(4, 5), ev.ClientDisconnected(5), ASK]


def test_what_a_machine_holds_already_is_not_taken_out_with_its_connection() -> None:
    """It waits behind a set-up of its id; it stands whatever becomes of the connection."""
    held = ev.ClientMessage(1, set_up(1, at="s-00000001"))
    assert taken(ASK, held, ev.ClientDisconnected(1)) == [
        ev.ClientHungUp(1),
        held,
        ev.ClientDisconnected(1),
    ]


def test_a_set_up_that_goes_again_does_not_leave_with_the_first_ones_connection() -> None:
    again = ev.ClientMessage(2, set_up(1))
    assert taken(ASK, again, ev.ClientDisconnected(1)) == [ev.ClientDisconnected(1), again]


def test_nothing_of_a_task_is_remembered_once_it_is_taken() -> None:
    box = EventQueue()
    for number in range(1, 200):
        box.add(ev.ClientMessage(number, set_up(number)))
        box.add(ev.LinkUp(number))
        box.add(ev.MachineMessage(number, Message(Kind.RELEASE, name(number), cause=int(Cause.FULL))))
    for number in range(1, 400):
        box.add(ev.ClientConnected(number, "c"))
        box.add(ev.ClientMessage(number, set_up(number)))
        box.add(ends(number, number) if number % 2 else ev.ClientDisconnected(number))
        if number % 3:
            box.add(ev.ClientHungUp(number))
            box.add(ev.ClientMessage(number, set_up(number + 1000)))
        box.add(ev.ClientDisconnected(number))
    box.take_all()
    assert not box._clients and not box._by_task and not box._by_connection
    assert not box._machine_messages and not box._links_coming_up and not len(box)
    assert not box._hung_up and not box._urgent_tasks and not box._urgent_clients and not box._client_messages


def test_set_ups_beyond_a_bound_are_turned_away_and_owners_are_not_read_beyond_another() -> None:
    box = EventQueue()
    for number in range(event_queue.MAX_PLACEMENTS):
        assert not box.is_full()
        box.add(ev.ClientMessage(1, set_up(number + 1)))
    assert box.is_full() and not box.is_overloaded()
    more = ev.ClientMessage(1, set_up(number + 2))
    box.add(more)
    box.add(ends(1, 1))  # seen to all the same
    assert box.take() == [ends(1, 1, cancelled_unhandled=True)]
    assert box.take() == [replace(more, over_limit=True)] and not box.is_full()
    while not box.is_overloaded():
        assert not box.must_wait(1)
        box.add(ev.ClientMessage(1, Message(Kind.HEALTH_CHECK, name(5), cause=0)))
    assert len(box) == event_queue.MAX_EVENTS
    assert box.must_wait(1)
    for _ in range(event_queue.CONNECTION_SHARE):  # others may still give up, and leave
        assert not box.must_wait(2)
        box.add(ev.ClientMessage(2, Message(Kind.HEALTH_CHECK, name(6), cause=0)))
    assert box.must_wait(2)
    while box.is_overloaded():
        box.take()
    assert not box.must_wait(1) and not box.must_wait(2)


def test_it_knows_whose_words_wait() -> None:
    for event in (ASK, HELD, ends(4, 3)):
        box = EventQueue()
        box.add(event)
        assert box.has_pending(event.conn) and not box.has_pending(9)
        box.take()
        assert not box.has_pending(event.conn)
    box.add(ASK)
    box.add(ends(1, 1))
    box.take()
    assert not box.has_pending(1) and not box._client_messages


def word(id: int, cause: Cause, link: int = 9) -> ev.MachineMessage:
    return ev.MachineMessage(link, Message(Kind.RELEASE, name(id), cause=int(cause)))


def test_answers_and_ends_overtake_refusals_but_nothing_of_their_own_task_or_connection() -> None:
    """Seen on join+mass: 1,442 words waited, and ends of tasks were told more than a second late."""
    full, over = word(5, Cause.FULL), word(6, Cause.RESET)
    answer = ev.MachineMessage(9, Message(Kind.ANSWER, name(7), body="b"))
    assert taken(full, over, answer) == [over, answer, full]
    late, held = word(5, Cause.ENDED), ev.ClientMessage(2, set_up(6, at="s-00000001"))
    assert taken(full, late) == [full, late]  # a second word on one task
    assert taken(full, held, over) == [held, over, full]  # its end, before it was known here
    assert taken(ev.LinkUp(9), over) == [ev.LinkUp(9), over]
    assert taken(over, ev.LinkLost(9, frozenset())) == [over, ev.LinkLost(9, frozenset())]


def test_departures_overtake_the_messages_of_others_but_none_of_their_own_task() -> None:
    tests = [ev.ClientMessage(1, Message(Kind.HEALTH_CHECK, name(n), cause=0)) for n in range(10, 200)]
    comes, goes = ev.ClientConnected(4, "127.8.240.4"), ev.ClientDisconnected(5)
    assert taken(*tests, comes, ends(7, 4), goes) == [comes, ends(7, 4), goes, *tests]
    answer = ev.MachineMessage(9, Message(Kind.ANSWER, name(7), body="b"))
    held = ev.ClientMessage(4, set_up(7, at="s-00000001"))
    for earlier in (answer, held):
        assert taken(*tests, earlier, ends(7, 4)) == [*tests, earlier, ends(7, 4)]
    # Its connection goes while other messages of it wait: its open tasks end at once, the rest in order.
    assert taken(*tests, held, ev.ClientDisconnected(4)) == [
        ev.ClientHungUp(4),
        *tests,
        held,
        ev.ClientDisconnected(4),
    ]


def test_a_client_that_has_hung_up_has_no_more_set_ups_taken_but_what_a_machine_holds() -> None:
    held = ev.ClientMessage(1, set_up(2, at="s-00000001"))
    later = ev.ClientMessage(1, set_up(3))
    other = ev.ClientMessage(2, set_up(4))
    assert taken(ASK, ev.ClientHungUp(1), later, held, other) == [ev.ClientHungUp(1), held, other]
    came = [ASK, ev.ClientHungUp(1), later, held, other, ev.ClientDisconnected(1)]
    assert taken(*came) == [ev.ClientHungUp(1), held, ev.ClientDisconnected(1), other]

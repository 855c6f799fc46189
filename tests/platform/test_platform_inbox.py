"""The order in which what has been read is handled."""

from __future__ import annotations

from desk import name, set_up

from stairplank.platform import events as ev
from stairplank.platform import inbox
from stairplank.platform.board import Notice
from stairplank.platform.inbox import Inbox
from stairplank.platform.messages import Cause, Kind, Message

ASK = ev.OwnerSaid(1, set_up(1))
HELD = ev.OwnerSaid(2, set_up(2, at="s-00000001"))
WORD = ev.MachineSaid(9, Message(Kind.RELEASE, name(3), cause=int(Cause.ENDED)))
DRAIN = ev.BoardTold(Notice(False, ()))


def taken(*events: ev.Event) -> list[ev.Event]:
    box = Inbox()
    for event in events:
        box.add(event)
    return box.take_all()


def test_the_board_comes_first_and_new_set_ups_last() -> None:
    assert taken(ASK, HELD, WORD, DRAIN) == [DRAIN, WORD, HELD, ASK]


def test_a_drain_that_comes_between_turns_overtakes_the_set_ups_that_wait() -> None:
    box = Inbox()
    for number in range(1, 30):
        box.add(ev.OwnerSaid(1, set_up(number)))
    assert len(box.take()) == inbox.ASKS_AT_ONCE
    box.add(DRAIN)
    assert box.take() == [DRAIN]


def test_what_ends_a_set_up_stays_behind_it_on_any_connection() -> None:
    ends = ev.OwnerSaid(5, Message(Kind.RELEASE, name(1), cause=int(Cause.ENDED)))
    other = ev.OwnerSaid(5, Message(Kind.RELEASE, name(4), cause=int(Cause.ENDED)))
    left, gone = ev.OwnerLeft(1), ev.OwnerLeft(5)
    assert taken(ASK, ends, other, left, WORD) == [WORD, other, ASK, ends, left]
    assert taken(other, gone, ASK) == [other, gone, ASK]


def test_nothing_of_a_task_is_remembered_once_it_is_taken() -> None:
    box = Inbox()
    for number in range(1, 200):
        box.add(ev.OwnerSaid(number, set_up(number)))
        box.add(ev.LinkUp(number))
        box.add(ev.MachineSaid(number, Message(Kind.RELEASE, name(number), cause=int(Cause.FULL))))
    box.take_all()
    assert not box._ids and not box._conns and not box._spoken and not box._coming and not len(box)


def test_owners_are_not_read_beyond_a_bound() -> None:
    box = Inbox()
    for number in range(inbox.WAITING_MOST):
        assert not box.is_full()
        box.add(ev.OwnerSaid(1, set_up(number + 1)))
    assert box.is_full()


def test_it_knows_whose_set_ups_wait() -> None:
    box = Inbox()
    box.add(ASK)
    assert box.holds(1) and not box.holds(2)
    box.take()
    assert not box.holds(1)


def word(id: int, cause: Cause, link: int = 9) -> ev.MachineSaid:
    return ev.MachineSaid(link, Message(Kind.RELEASE, name(id), cause=int(cause)))


def test_answers_and_ends_overtake_refusals_but_nothing_of_their_own_task_or_connection() -> None:
    """Seen on join+mass: 1,442 words waited, and ends of tasks were told more than a second late."""
    full, over = word(5, Cause.FULL), word(6, Cause.RESET)
    answer = ev.MachineSaid(9, Message(Kind.ANSWER, name(7), body="b"))
    assert taken(full, over, answer) == [over, answer, full]
    late, held = word(5, Cause.ENDED), ev.OwnerSaid(2, set_up(6, at="s-00000001"))
    assert taken(full, late) == [full, late]  # a second word on one task
    assert taken(held, over) == [held, over]  # its end, before it was known here
    assert taken(ev.LinkUp(9), over) == [ev.LinkUp(9), over]
    assert taken(over, ev.LinkLost(9, frozenset())) == [over, ev.LinkLost(9, frozenset())]

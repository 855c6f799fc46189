"""Tasks that are handed over, and which machines there are: the orders in which three sides tell of them."""

from __future__ import annotations

import pytest
from desk import SECOND, Desk, name, notice, row

from stairplank.interface import NodeStatus
from stairplank.platform import adoption, link_checks
from stairplank.platform import events as ev
from stairplank.platform.messages import Cause, Kind, Message

RELEASE = Kind.RELEASE
AWAY = "s-0000ffff"


def link_to(desk: Desk, machine: int) -> int:
    return next(k for k in desk.up if desk.machine_of(k) == machine)


def whole(desk: Desk, *rows: dict[str, object]) -> None:
    desk.rev += 1
    got = desk.node_list.apply(notice(desk.rev, *rows, whole=True))[0]
    assert got is not None
    desk.feed(ev.NodeListUpdated(got))


def test_a_task_waits_for_the_list_and_is_adopted_by_its_word() -> None:
    desk = Desk()
    conn = desk.owner()
    desk.ask(conn, 1, at="s-00000009")
    desk.ask(desk.owner(), 1, at="s-00000009")  # the same from another connection
    assert desk.replies(1) == [] and name(1) in desk.core.tasks.by_id
    desk.list_update(row(9))
    desk.passes(adoption.LISTING_WAIT_US + SECOND)
    assert desk.replies(1) == [] and not desk.core.adoption.waiting
    desk.ends(link_to(desk, 9), 1, Cause.RESET)
    assert [w[1:] for w in desk.replies(1)] == [(RELEASE, Cause.RESET)]
    assert not desk.core.tasks.by_id


def test_one_that_its_owner_ends_meanwhile_is_ended_at_its_machine() -> None:
    desk = Desk()
    conn = desk.owner()
    desk.ask(conn, 1, at="s-00000009")
    desk.feed(ev.ClientMessage(conn, Message(RELEASE, name(1), cause=int(Cause.CANCELLED))))
    assert not desk.core.tasks.by_id and desk.replies(1) == []
    desk.list_update(row(9))
    desk.ask(conn, 2, at="s-00000009")
    desk.passes(300_000)
    assert [m.cause for _, m in desk.to_machines if m.id == name(1) and m.kind is RELEASE] == [
        Cause.CANCELLED
    ]


def test_what_waits_for_the_list_leaves_nothing_behind() -> None:
    desk = Desk()
    conn = desk.owner()
    for number in range(1, 50):
        desk.ask(conn, number, at=f"{AWAY}-{number % 7}")
    desk.feed(ev.ClientMessage(conn, Message(RELEASE, name(1), cause=int(Cause.CANCELLED))))
    desk.passes(adoption.LISTING_WAIT_US + SECOND)
    assert (
        not desk.core.adoption.waiting
        and not desk.core.tasks.by_id
        and not desk.core.attempts.table.by_machine_and_id
    )
    assert len([w for n in range(2, 50) for w in desk.replies(n)]) == 48 and desk.replies(1) == []


def test_those_that_owners_end_at_once_are_kept_within_a_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(adoption, "MAX_WAITING", 3)
    desk = Desk()
    conn = desk.owner()
    for number in range(1, 11):
        desk.ask(conn, number, at=f"{AWAY}-{number % 2}")
        desk.feed(ev.ClientMessage(conn, Message(RELEASE, name(number), cause=int(Cause.CANCELLED))))
    assert sum(len(there) for there in desk.core.adoption.waiting.values()) == 3
    assert [n for n in range(1, 11) if desk.replies(n)] == list(range(4, 11))
    desk.passes(adoption.LISTING_WAIT_US + SECOND)
    assert not desk.core.adoption.waiting and desk.core.adoption.waiting_count == 0


def test_ends_of_unknown_tasks_are_kept_for_a_while_and_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(adoption, "MAX_ENDED", 4)
    desk = Desk()
    conn = desk.owner()
    link = desk.place(conn, 100)
    holder = desk.machine_of(link)
    for number in range(1, 9):
        desk.ends(link, number)
    assert len(desk.core.adoption.ended) == 4
    desk.ask(conn, 8, at=f"s-{holder:08x}")
    assert desk.replies(8) == [(conn, RELEASE, Cause.ENDED)]
    desk.feed(after=adoption.ENDED_US + SECOND)
    desk.ask(conn, 7, at=f"s-{holder:08x}")
    assert desk.replies(7) == []  # too long ago
    # at another machine it proves nothing, nor does a refusal
    desk.connect()
    link = link_to(desk, holder)
    desk.ends(link, 20)
    desk.ends(link, 21, Cause.FULL)
    desk.ask(conn, 20, at=f"s-{next(n for n in (1, 2, 3) if n != holder):08x}")
    desk.ask(conn, 21, at=f"s-{holder:08x}")
    assert desk.replies(20) == [] and desk.replies(21) == []


def test_a_task_is_over_once_the_board_shows_that_no_such_machine_is_there() -> None:
    """Waited for in any case, what ended while no planner was here would be told too late."""
    desk = Desk()
    conn = desk.owner()
    desk.ask(conn, 1, at=AWAY)
    desk.feed(ev.NodeListConfirmed())  # may have been on its way before
    assert desk.replies(1) == []
    desk.feed(after=SECOND)
    desk.ask(conn, 2, at=AWAY)
    desk.feed(ev.NodeListConfirmed())
    assert desk.replies(1) == [(conn, RELEASE, Cause.RESET)] and desk.replies(2) == []


# Which machines there are


def test_an_empty_list_without_an_error_is_not_believed() -> None:
    desk = Desk()
    conn = desk.owner()
    desk.place(conn, 1)
    whole(desk)
    desk.passes(link_checks.REMOVAL_GRACE_US + SECOND)
    assert len(desk.core.links.machines) == 3 and len(desk.replies(1)) == 1
    desk.place(conn, 2)
    assert [w[1] for w in desk.replies(2)] == [Kind.ANSWER]


def test_a_machine_that_a_whole_list_leaves_out_gets_nothing_new_and_ends_nothing() -> None:
    desk = Desk(machines=2)
    conn = desk.owner()
    link = desk.place(conn, 1)
    holder = desk.machine_of(link)
    whole(desk, row(3 - holder))
    desk.passes(link_checks.REMOVAL_GRACE_US + 2 * SECOND)
    assert [w[1] for w in desk.replies(1)] == [Kind.ANSWER]
    for number in range(2, 8):
        desk.place(conn, number)
        assert desk.machine_of(desk.sent(number)[-1][0]) != holder
    desk.ends(link_to(desk, holder), 1)
    assert [w[1:] for w in desk.replies(1)][1:] == [(RELEASE, Cause.ENDED)]
    desk.passes(SECOND)
    assert len(desk.core.links.machines) == 1  # nothing stands there any more


def test_one_that_is_left_out_and_vanishes_is_found_dead() -> None:
    desk = Desk(machines=2)
    conn = desk.owner()
    link = desk.place(conn, 1)
    whole(desk, row(3 - desk.machine_of(link)))
    began = desk.now
    desk.feed(ev.LinkLost(link, frozenset()))
    while len(desk.replies(1)) < 2 and desk.now < began + 20 * SECOND:
        desk.feed(after=250_000)
        for dial in list(desk.dials):
            del desk.dials[dial]
            desk.feed(ev.LinkFailed(dial, False))
    assert desk.replies(1)[-1][1:] == (RELEASE, Cause.RESET) and desk.now < began + 8 * SECOND


def test_a_new_machine_at_an_address_is_the_word_of_the_old_ones_end() -> None:
    """Dialled there, the new one would answer for the old, and what stood there would stand for good."""
    desk = Desk(machines=1)
    conn = desk.owner()
    link = desk.place(conn, 1)
    desk.list_update(row(9, dial=desk.up[link]))
    assert desk.core.links.machines[next(iter(desk.core.links.machines))].status is NodeStatus.GONE
    desk.passes(link_checks.REMOVAL_GRACE_US + SECOND)
    assert desk.replies(1)[-1] == (conn, RELEASE, Cause.RESET)
    assert [m.name for m in desk.core.links.machines.values()] == ["s-00000009"]
    assert list(desk.core.module.table.nodes) == list(desk.core.links.machines)
    assert len(desk.core.machines.addresses) == len(desk.core.machines.names) == 1


def test_a_start_that_is_told_with_an_older_time_ends_nothing() -> None:
    desk = Desk()
    conn = desk.owner()
    desk.list_update(*(row(n, born_ms=900_000) for n in (1, 2, 3)))
    desk.place(conn, 1)
    desk.list_update(*(row(n, born_ms=800_000) for n in (1, 2, 3)))
    assert [w[1] for w in desk.replies(1)] == [Kind.ANSWER]


@pytest.mark.parametrize("dial_us", [20_000, 250_000, 2_000_000])
def test_what_stood_at_a_vanished_machine_is_told_in_time_however_long_dials_take(dial_us: int) -> None:
    """Due 8 s after its end. The machine vanishes as its connection has just been made anew."""
    desk = Desk(machines=1, dial_timeout_us=dial_us)
    conn = desk.owner()
    desk.place(conn, 1)
    vanished = desk.now
    under_way: dict[int, int] = {}
    while len(desk.replies(1)) < 2 and desk.now < vanished + 20 * SECOND:
        desk.feed(after=20_000)
        for link in list(desk.dials):
            if desk.now >= under_way.setdefault(link, desk.now) + dial_us:
                del desk.dials[link]
                desk.feed(ev.LinkFailed(link, False))
    assert desk.replies(1)[-1][1:] == (RELEASE, Cause.RESET)
    assert desk.now - vanished < 8 * SECOND


@pytest.mark.parametrize("idle_us", [1_000_000, 30_000_000, 0])
def test_a_connection_that_its_machine_is_about_to_close_takes_no_set_up(idle_us: int) -> None:
    """What is written as it is closed for idleness may have run."""
    desk = Desk(machines=1, idle_us=idle_us)
    conn = desk.owner()
    first = desk.place(conn, 1)
    desk.feed(after=900_000)
    desk.ask(conn, 2)
    desk.connect()
    assert (desk.sent(2)[0][0] == first) == (idle_us != 1_000_000)


@pytest.mark.parametrize("deadline_us", [500_000, 1_500_000, 60_000_000])
def test_all_is_answered_before_the_kill_whatever_the_deadlines(deadline_us: int) -> None:
    """SIGKILL comes after the longest deadline, counted as 3 s at most, and 0.7 s."""
    desk = Desk(machines=1, deadline_us=deadline_us)
    conn = desk.owner()
    desk.feed(ev.ShutdownRequested(desk.now - 200_000))
    killed = desk.now - 200_000 + min(deadline_us, 3 * SECOND) + 700_000
    for number in range(1, 40):
        if desk.now < killed - 200_000:
            desk.ask(conn, number, ("repeat", "keyed", "once")[number % 3], left=str(deadline_us // 1000))
            desk.connect()
            asked = number
        desk.feed(after=20_000)
    while desk.now < killed - 100_000:
        desk.feed(after=20_000)
    assert all(desk.replies(number) for number in range(1, asked + 1)) and desk.core.shutdown.is_done()


def test_nothing_is_dialled_once_a_planner_parts_from_its_machines() -> None:
    desk = Desk(machines=2)
    conn = desk.owner()
    link = desk.place(conn, 1)
    desk.feed(ev.ShutdownRequested())
    desk.feed(ev.MachinesClosing())
    assert link in desk.hung and not desk.up
    desk.passes(10 * SECOND, answering=False)
    assert not desk.dials and len(desk.replies(1)) == 1

"""Adoption of running tasks and changes of the node list, with reports in every order of arrival."""

from __future__ import annotations

import pytest
from desk import SECOND, Desk, name, notice, row

from stairplank.interface import NodeStatus
from stairplank.platform import adoption, link_checks
from stairplank.platform import events as ev
from stairplank.platform.messages import Cause, Kind, Message

RELEASE = Kind.RELEASE
UNLISTED = "s-0000ffff"


def link_to(desk: Desk, machine: int) -> int:
    return next(k for k in desk.up if desk.machine_of(k) == machine)


def feed_complete_list(desk: Desk, *rows: dict[str, object]) -> None:
    desk.rev += 1
    update = desk.node_list.apply(notice(desk.rev, *rows, whole=True))[0]
    assert update is not None
    desk.feed(ev.NodeListUpdated(update))


def test_a_task_waits_for_the_list_and_is_adopted_once_its_machine_is_listed() -> None:
    desk = Desk()
    conn = desk.owner()
    desk.ask(conn, 1, at="s-00000009")
    desk.ask(desk.owner(), 1, at="s-00000009")  # reported again on another connection
    assert desk.replies(1) == [] and name(1) in desk.core.tasks.by_id
    desk.list_update(row(9))
    desk.passes(adoption.LISTING_WAIT_US + SECOND)
    assert desk.replies(1) == [] and not desk.core.adoption.waiting
    desk.ends(link_to(desk, 9), 1, Cause.RESET)
    assert [w[1:] for w in desk.replies(1)] == [(RELEASE, Cause.RESET)]
    assert not desk.core.tasks.by_id


def test_a_waiting_task_that_its_client_ends_is_ended_at_its_machine() -> None:
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


def test_tasks_that_wait_for_the_list_are_removed_from_all_tables() -> None:
    desk = Desk()
    conn = desk.owner()
    for number in range(1, 50):
        desk.ask(conn, number, at=f"{UNLISTED}-{number % 7}")
    desk.feed(ev.ClientMessage(conn, Message(RELEASE, name(1), cause=int(Cause.CANCELLED))))
    desk.passes(adoption.LISTING_WAIT_US + SECOND)
    assert (
        not desk.core.adoption.waiting
        and not desk.core.tasks.by_id
        and not desk.core.attempts.table.by_machine_and_id
    )
    assert len([w for n in range(2, 50) for w in desk.replies(n)]) == 48 and desk.replies(1) == []


def test_waiting_tasks_that_clients_end_at_once_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(adoption, "MAX_WAITING", 3)
    desk = Desk()
    conn = desk.owner()
    for number in range(1, 11):
        desk.ask(conn, number, at=f"{UNLISTED}-{number % 2}")
        desk.feed(ev.ClientMessage(conn, Message(RELEASE, name(number), cause=int(Cause.CANCELLED))))
    assert sum(len(tasks) for tasks in desk.core.adoption.waiting.values()) == 3
    assert [n for n in range(1, 11) if desk.replies(n)] == list(range(4, 11))
    desk.passes(adoption.LISTING_WAIT_US + SECOND)
    assert not desk.core.adoption.waiting and desk.core.adoption.waiting_count == 0


def test_ends_of_unknown_tasks_are_kept_for_a_limited_time_and_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(adoption, "MAX_ENDED", 4)
    desk = Desk()
    conn = desk.owner()
    link = desk.place(conn, 100)
    machine_number = desk.machine_of(link)
    for number in range(1, 9):
        desk.ends(link, number)
    assert len(desk.core.adoption.ended) == 4
    desk.ask(conn, 8, at=f"s-{machine_number:08x}")
    assert desk.replies(8) == [(conn, RELEASE, Cause.ENDED)]
    desk.feed(after=adoption.ENDED_US + SECOND)
    desk.ask(conn, 7, at=f"s-{machine_number:08x}")
    assert desk.replies(7) == []  # the end was reported too long ago
    # An end at another machine does not end the task, and neither does a rejection.
    desk.connect()
    link = link_to(desk, machine_number)
    desk.ends(link, 20)
    desk.ends(link, 21, Cause.FULL)
    desk.ask(conn, 20, at=f"s-{next(n for n in (1, 2, 3) if n != machine_number):08x}")
    desk.ask(conn, 21, at=f"s-{machine_number:08x}")
    assert desk.replies(20) == [] and desk.replies(21) == []


def test_a_task_is_ended_once_the_list_is_confirmed_without_its_machine() -> None:
    """If every task waited for ``LISTING_WAIT_US``, clients would learn too late of tasks that ended while no
    planner was running.
    """
    desk = Desk()
    conn = desk.owner()
    desk.ask(conn, 1, at=UNLISTED)
    desk.feed(ev.NodeListConfirmed())  # may have been sent before the task was reported
    assert desk.replies(1) == []
    desk.feed(after=SECOND)
    desk.ask(conn, 2, at=UNLISTED)
    desk.feed(ev.NodeListConfirmed())
    assert desk.replies(1) == [(conn, RELEASE, Cause.RESET)] and desk.replies(2) == []


# Changes of the node list


def test_an_empty_complete_list_is_ignored() -> None:
    desk = Desk()
    conn = desk.owner()
    desk.place(conn, 1)
    feed_complete_list(desk)
    desk.passes(link_checks.REMOVAL_GRACE_US + SECOND)
    assert len(desk.core.links.machines) == 3 and len(desk.replies(1)) == 1
    desk.place(conn, 2)
    assert [w[1] for w in desk.replies(2)] == [Kind.ANSWER]


def test_a_machine_omitted_from_a_complete_list_gets_no_new_tasks_and_keeps_its_tasks() -> None:
    desk = Desk(machines=2)
    conn = desk.owner()
    link = desk.place(conn, 1)
    machine_number = desk.machine_of(link)
    feed_complete_list(desk, row(3 - machine_number))
    desk.passes(link_checks.REMOVAL_GRACE_US + 2 * SECOND)
    assert [w[1] for w in desk.replies(1)] == [Kind.ANSWER]
    for number in range(2, 8):
        desk.place(conn, number)
        assert desk.machine_of(desk.sent(number)[-1][0]) != machine_number
    desk.ends(link_to(desk, machine_number), 1)
    assert [w[1:] for w in desk.replies(1)][1:] == [(RELEASE, Cause.ENDED)]
    desk.passes(SECOND)
    assert len(desk.core.links.machines) == 1  # the omitted machine runs no task any more


def test_an_omitted_machine_that_vanishes_is_found_unreachable() -> None:
    desk = Desk(machines=2)
    conn = desk.owner()
    link = desk.place(conn, 1)
    feed_complete_list(desk, row(3 - desk.machine_of(link)))
    began = desk.now
    desk.feed(ev.LinkLost(link, frozenset()))
    while len(desk.replies(1)) < 2 and desk.now < began + 20 * SECOND:
        desk.feed(after=250_000)
        for dial in list(desk.dials):
            del desk.dials[dial]
            desk.feed(ev.LinkFailed(dial, False))
    assert desk.replies(1)[-1][1:] == (RELEASE, Cause.RESET) and desk.now < began + 8 * SECOND


def test_a_new_machine_at_an_address_shows_that_the_old_machine_was_removed() -> None:
    """If the old machine were still dialled at that address, the new machine would answer for it, and tasks
    of the old machine would count as running forever.
    """
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


def test_a_listed_start_time_older_than_the_known_one_ends_no_task() -> None:
    desk = Desk()
    conn = desk.owner()
    desk.list_update(*(row(n, born_ms=900_000) for n in (1, 2, 3)))
    desk.place(conn, 1)
    desk.list_update(*(row(n, born_ms=800_000) for n in (1, 2, 3)))
    assert [w[1] for w in desk.replies(1)] == [Kind.ANSWER]


@pytest.mark.parametrize("dial_us", [20_000, 250_000, 2_000_000])
def test_ends_of_tasks_at_a_vanished_machine_are_reported_in_time_for_any_dial_time_out(dial_us: int) -> None:
    """Clients must be notified within 8 s. In the worst case, the machine vanishes just after a connection to
    it was renewed.
    """
    desk = Desk(machines=1, dial_timeout_us=dial_us)
    conn = desk.owner()
    desk.place(conn, 1)
    vanished = desk.now
    dialled_at: dict[int, int] = {}
    while len(desk.replies(1)) < 2 and desk.now < vanished + 20 * SECOND:
        desk.feed(after=20_000)
        for link in list(desk.dials):
            if desk.now >= dialled_at.setdefault(link, desk.now) + dial_us:
                del desk.dials[link]
                desk.feed(ev.LinkFailed(link, False))
    assert desk.replies(1)[-1][1:] == (RELEASE, Cause.RESET)
    assert desk.now - vanished < 8 * SECOND


@pytest.mark.parametrize("idle_us", [1_000_000, 30_000_000, 0])
def test_a_connection_that_its_machine_is_about_to_close_takes_no_placement_request(idle_us: int) -> None:
    """A request that is written while the machine closes the connection as idle may have run."""
    desk = Desk(machines=1, idle_us=idle_us)
    conn = desk.owner()
    first = desk.place(conn, 1)
    desk.feed(after=900_000)
    desk.ask(conn, 2)
    desk.connect()
    assert (desk.sent(2)[0][0] == first) == (idle_us != 1_000_000)


@pytest.mark.parametrize("deadline_us", [500_000, 1_500_000, 60_000_000])
def test_all_requests_are_answered_before_sigkill_for_any_deadline(deadline_us: int) -> None:
    """SIGKILL comes 0.7 s after the longest deadline, but at most 3.7 s after SIGTERM."""
    desk = Desk(machines=1, deadline_us=deadline_us)
    conn = desk.owner()
    desk.feed(ev.ShutdownRequested(desk.now - 200_000))
    killed_at = desk.now - 200_000 + min(deadline_us, 3 * SECOND) + 700_000
    for number in range(1, 40):
        if desk.now < killed_at - 200_000:
            desk.ask(conn, number, ("repeat", "keyed", "once")[number % 3], left=str(deadline_us // 1000))
            desk.connect()
            last_requested = number
        desk.feed(after=20_000)
    while desk.now < killed_at - 100_000:
        desk.feed(after=20_000)
    assert (
        all(desk.replies(number) for number in range(1, last_requested + 1)) and desk.core.shutdown.is_done()
    )


def test_nothing_is_dialled_after_a_shutdown_has_closed_the_connections_to_machines() -> None:
    desk = Desk(machines=2)
    conn = desk.owner()
    link = desk.place(conn, 1)
    desk.feed(ev.ShutdownRequested())
    desk.feed(ev.MachinesClosing())
    assert link in desk.hung and not desk.up
    desk.passes(10 * SECOND, answering=False)
    assert not desk.dials and len(desk.replies(1)) == 1

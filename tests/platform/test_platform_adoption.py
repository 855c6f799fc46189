"""Adoption of running tasks and changes of the node list, with reports in every order of arrival."""

from __future__ import annotations

import pytest
from core_harness import SECOND, CoreHarness, machine_row, node_list_message, task_id

from stairplank.interface import NodeStatus
from stairplank.platform import adoption, link_checks
from stairplank.platform import events as ev
from stairplank.platform.messages import Cause, Kind, Message

RELEASE = Kind.RELEASE
UNLISTED = "s-0000ffff"


def link_to(harness: CoreHarness, machine: int) -> int:
    return next(k for k in harness.links_up if harness.machine_of(k) == machine)


def feed_complete_list(harness: CoreHarness, *rows: dict[str, object]) -> None:
    harness.rev += 1
    update = harness.node_list.apply(node_list_message(harness.rev, *rows, whole=True))[0]
    assert update is not None
    harness.feed(ev.NodeListUpdated(update))


def test_a_task_waits_for_the_list_and_is_adopted_once_its_machine_is_listed() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    harness.request_placement(conn, 1, at="s-00000009")
    harness.request_placement(
        harness.add_client(), 1, at="s-00000009"
    )  # reported again on another connection
    assert harness.replies(1) == [] and task_id(1) in harness.core.tasks.by_id
    harness.list_update(machine_row(9))
    harness.advance(adoption.LISTING_WAIT_US + SECOND)
    assert harness.replies(1) == [] and not harness.core.adoption.waiting
    harness.receive_release(link_to(harness, 9), 1, Cause.RESET)
    assert [w[1:] for w in harness.replies(1)] == [(RELEASE, Cause.RESET)]
    assert not harness.core.tasks.by_id


def test_a_waiting_task_that_its_client_ends_is_ended_at_its_machine() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    harness.request_placement(conn, 1, at="s-00000009")
    harness.feed(ev.ClientMessage(conn, Message(RELEASE, task_id(1), cause=int(Cause.CANCELLED))))
    assert not harness.core.tasks.by_id and harness.replies(1) == []
    harness.list_update(machine_row(9))
    harness.request_placement(conn, 2, at="s-00000009")
    harness.advance(300_000)
    assert [m.cause for _, m in harness.to_machines if m.id == task_id(1) and m.kind is RELEASE] == [
        Cause.CANCELLED
    ]


def test_tasks_that_wait_for_the_list_are_removed_from_all_tables() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    for number in range(1, 50):
        harness.request_placement(conn, number, at=f"{UNLISTED}-{number % 7}")
    harness.feed(ev.ClientMessage(conn, Message(RELEASE, task_id(1), cause=int(Cause.CANCELLED))))
    harness.advance(adoption.LISTING_WAIT_US + SECOND)
    assert (
        not harness.core.adoption.waiting
        and not harness.core.tasks.by_id
        and not harness.core.attempts.table.by_machine_and_id
    )
    assert len([w for n in range(2, 50) for w in harness.replies(n)]) == 48 and harness.replies(1) == []


def test_waiting_tasks_that_clients_end_at_once_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(adoption, "MAX_WAITING", 3)
    harness = CoreHarness()
    conn = harness.add_client()
    for number in range(1, 11):
        harness.request_placement(conn, number, at=f"{UNLISTED}-{number % 2}")
        harness.feed(ev.ClientMessage(conn, Message(RELEASE, task_id(number), cause=int(Cause.CANCELLED))))
    assert sum(len(tasks) for tasks in harness.core.adoption.waiting.values()) == 3
    assert [n for n in range(1, 11) if harness.replies(n)] == list(range(4, 11))
    harness.advance(adoption.LISTING_WAIT_US + SECOND)
    assert not harness.core.adoption.waiting and harness.core.adoption.waiting_count == 0


def test_ends_of_unknown_tasks_are_kept_for_a_limited_time_and_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(adoption, "MAX_ENDED", 4)
    harness = CoreHarness()
    conn = harness.add_client()
    link = harness.request_and_accept(conn, 100)
    machine_number = harness.machine_of(link)
    for number in range(1, 9):
        harness.receive_release(link, number)
    assert len(harness.core.adoption.ended) == 4
    harness.request_placement(conn, 8, at=f"s-{machine_number:08x}")
    assert harness.replies(8) == [(conn, RELEASE, Cause.ENDED)]
    harness.feed(after=adoption.ENDED_US + SECOND)
    harness.request_placement(conn, 7, at=f"s-{machine_number:08x}")
    assert harness.replies(7) == []  # the end was reported too long ago
    # An end at another machine does not end the task, and neither does a rejection.
    harness.bring_links_up()
    link = link_to(harness, machine_number)
    harness.receive_release(link, 20)
    harness.receive_release(link, 21, Cause.FULL)
    harness.request_placement(conn, 20, at=f"s-{next(n for n in (1, 2, 3) if n != machine_number):08x}")
    harness.request_placement(conn, 21, at=f"s-{machine_number:08x}")
    assert harness.replies(20) == [] and harness.replies(21) == []


def test_a_task_is_ended_once_the_list_is_confirmed_without_its_machine() -> None:
    """If every task waited for ``LISTING_WAIT_US``, clients would learn too late of tasks that ended while no
    planner was running.
    """
    harness = CoreHarness()
    conn = harness.add_client()
    harness.request_placement(conn, 1, at=UNLISTED)
    harness.feed(ev.NodeListConfirmed())  # may have been sent before the task was reported
    assert harness.replies(1) == []
    harness.feed(after=SECOND)
    harness.request_placement(conn, 2, at=UNLISTED)
    harness.feed(ev.NodeListConfirmed())
    assert harness.replies(1) == [(conn, RELEASE, Cause.RESET)] and harness.replies(2) == []


# Changes of the node list


def test_an_empty_complete_list_is_ignored() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    harness.request_and_accept(conn, 1)
    feed_complete_list(harness)
    harness.advance(link_checks.REMOVAL_GRACE_US + SECOND)
    assert len(harness.core.links.machines) == 3 and len(harness.replies(1)) == 1
    harness.request_and_accept(conn, 2)
    assert [w[1] for w in harness.replies(2)] == [Kind.ANSWER]


def test_a_machine_omitted_from_a_complete_list_gets_no_new_tasks_and_keeps_its_tasks() -> None:
    harness = CoreHarness(machines=2)
    conn = harness.add_client()
    link = harness.request_and_accept(conn, 1)
    machine_number = harness.machine_of(link)
    feed_complete_list(harness, machine_row(3 - machine_number))
    harness.advance(link_checks.REMOVAL_GRACE_US + 2 * SECOND)
    assert [w[1] for w in harness.replies(1)] == [Kind.ANSWER]
    for number in range(2, 8):
        harness.request_and_accept(conn, number)
        assert harness.machine_of(harness.placements_sent(number)[-1][0]) != machine_number
    harness.receive_release(link_to(harness, machine_number), 1)
    assert [w[1:] for w in harness.replies(1)][1:] == [(RELEASE, Cause.ENDED)]
    harness.advance(SECOND)
    assert len(harness.core.links.machines) == 1  # the omitted machine runs no task any more


def test_an_omitted_machine_that_vanishes_is_found_unreachable() -> None:
    harness = CoreHarness(machines=2)
    conn = harness.add_client()
    link = harness.request_and_accept(conn, 1)
    feed_complete_list(harness, machine_row(3 - harness.machine_of(link)))
    began = harness.now
    harness.feed(ev.LinkLost(link, frozenset()))
    while len(harness.replies(1)) < 2 and harness.now < began + 20 * SECOND:
        harness.feed(after=250_000)
        for dial in list(harness.dials):
            del harness.dials[dial]
            harness.feed(ev.LinkFailed(dial, False))
    assert harness.replies(1)[-1][1:] == (RELEASE, Cause.RESET) and harness.now < began + 8 * SECOND


def test_a_new_machine_at_an_address_shows_that_the_old_machine_was_removed() -> None:
    """If the old machine were still dialled at that address, the new machine would answer for it, and tasks
    of the old machine would count as running forever.
    """
    harness = CoreHarness(machines=1)
    conn = harness.add_client()
    link = harness.request_and_accept(conn, 1)
    harness.list_update(machine_row(9, dial=harness.links_up[link]))
    assert harness.core.links.machines[next(iter(harness.core.links.machines))].status is NodeStatus.GONE
    harness.advance(link_checks.REMOVAL_GRACE_US + SECOND)
    assert harness.replies(1)[-1] == (conn, RELEASE, Cause.RESET)
    assert [m.name for m in harness.core.links.machines.values()] == ["s-00000009"]
    assert list(harness.core.module.table.nodes) == list(harness.core.links.machines)
    assert len(harness.core.machines.addresses) == len(harness.core.machines.names) == 1


def test_a_listed_start_time_older_than_the_known_one_ends_no_task() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    harness.list_update(*(machine_row(n, born_ms=900_000) for n in (1, 2, 3)))
    harness.request_and_accept(conn, 1)
    harness.list_update(*(machine_row(n, born_ms=800_000) for n in (1, 2, 3)))
    assert [w[1] for w in harness.replies(1)] == [Kind.ANSWER]


@pytest.mark.parametrize("dial_us", [20_000, 250_000, 2_000_000])
def test_ends_of_tasks_at_a_vanished_machine_are_reported_in_time_for_any_dial_time_out(dial_us: int) -> None:
    """Clients must be notified within 8 s. In the worst case, the machine vanishes just after a connection to
    it was renewed.
    """
    harness = CoreHarness(machines=1, dial_timeout_us=dial_us)
    conn = harness.add_client()
    harness.request_and_accept(conn, 1)
    vanished = harness.now
    dialled_at: dict[int, int] = {}
    while len(harness.replies(1)) < 2 and harness.now < vanished + 20 * SECOND:
        harness.feed(after=20_000)
        for link in list(harness.dials):
            if harness.now >= dialled_at.setdefault(link, harness.now) + dial_us:
                del harness.dials[link]
                harness.feed(ev.LinkFailed(link, False))
    assert harness.replies(1)[-1][1:] == (RELEASE, Cause.RESET)
    assert harness.now - vanished < 8 * SECOND


@pytest.mark.parametrize("idle_us", [1_000_000, 30_000_000, 0])
def test_a_connection_that_its_machine_is_about_to_close_takes_no_placement_request(idle_us: int) -> None:
    """A request that is written while the machine closes the connection as idle may have run."""
    harness = CoreHarness(machines=1, idle_us=idle_us)
    conn = harness.add_client()
    first = harness.request_and_accept(conn, 1)
    harness.feed(after=900_000)
    harness.request_placement(conn, 2)
    harness.bring_links_up()
    assert (harness.placements_sent(2)[0][0] == first) == (idle_us != 1_000_000)


@pytest.mark.parametrize("deadline_us", [500_000, 1_500_000, 60_000_000])
def test_all_requests_are_answered_before_sigkill_for_any_deadline(deadline_us: int) -> None:
    """SIGKILL comes 0.7 s after the longest deadline, but at most 3.7 s after SIGTERM."""
    harness = CoreHarness(machines=1, deadline_us=deadline_us)
    conn = harness.add_client()
    harness.feed(ev.ShutdownRequested(harness.now - 200_000))
    killed_at = harness.now - 200_000 + min(deadline_us, 3 * SECOND) + 700_000
    for number in range(1, 40):
        if harness.now < killed_at - 200_000:
            harness.request_placement(
                conn, number, ("repeat", "keyed", "once")[number % 3], left=str(deadline_us // 1000)
            )
            harness.bring_links_up()
            last_requested = number
        harness.feed(after=20_000)
    while harness.now < killed_at - 100_000:
        harness.feed(after=20_000)
    assert (
        all(harness.replies(number) for number in range(1, last_requested + 1))
        and harness.core.shutdown.is_done()
    )


def test_nothing_is_dialled_after_a_shutdown_has_closed_the_connections_to_machines() -> None:
    harness = CoreHarness(machines=2)
    conn = harness.add_client()
    link = harness.request_and_accept(conn, 1)
    harness.feed(ev.ShutdownRequested())
    harness.feed(ev.MachinesClosing())
    assert link in harness.closed_links and not harness.links_up
    harness.advance(10 * SECOND, links_come_up=False)
    assert not harness.dials and len(harness.replies(1)) == 1

"""Releases that machines have not confirmed are sent again, within bounds."""

from __future__ import annotations

import pytest
from core_harness import SECOND, CoreHarness, machine_row, node_list_message, task_id

from stairplank import interface as api
from stairplank.platform import attempt_table, health_checks, link_checks, release_orders
from stairplank.platform import events as ev
from stairplank.platform.messages import Cause, Kind, Message

RELEASE, ANSWER = Kind.RELEASE, Kind.ANSWER
LOST_MACHINE_US = 9 * SECOND  # after this time without a connection, a machine counts as lost


def cancel(harness: CoreHarness, conn: int, number: int) -> None:
    harness.feed(ev.ClientMessage(conn, Message(RELEASE, task_id(number), cause=int(Cause.ENDED))))


def lose_link(harness: CoreHarness, link: int) -> None:
    harness.links_up.pop(link)
    harness.feed(ev.LinkLost(link, frozenset()))


def releases_sent(harness: CoreHarness, number: int) -> list[int]:
    """Return the links on which a release of the task was sent."""
    return [k for k, m in harness.to_machines if m.id == task_id(number) and m.kind is RELEASE]


def counts_as_running(harness: CoreHarness) -> bool:
    """Return whether the decision module still counts an attempt of any task."""
    return bool(harness.core.module.attempts)


def harness_with_running_task(task_class: str = "repeat") -> tuple[CoreHarness, int, int]:
    """Return a harness with one machine, the client's connection and the link of running task 1."""
    harness = CoreHarness(machines=1)
    conn = harness.add_client()
    return harness, conn, harness.request_and_accept(conn, 1, task_class)


def evict(harness: CoreHarness, number: int) -> None:
    task = harness.core.tasks.by_id[task_id(number)]
    harness.core.loop.begin(harness.now)
    harness.core.attempts.evict(api.Evict(task.number))
    harness._record_actions(harness.core.loop.actions)


@pytest.mark.parametrize("why", ["cancel", "evict"])
def test_a_release_is_sent_again_on_a_new_connection_if_its_connection_is_lost(why: str) -> None:
    """The release was forgotten with the connection that it was written on, and the task ran on."""
    harness, conn, link = harness_with_running_task()
    if why == "cancel":
        cancel(harness, conn, 1)
    else:
        evict(harness, 1)
    assert releases_sent(harness, 1) == [link]
    lose_link(harness, link)
    harness.bring_links_up()
    first, second = releases_sent(harness, 1)
    assert first == link != second
    assert counts_as_running(harness)
    harness.receive_release(second, 1, Cause.CANCELLED)
    assert not counts_as_running(harness)
    assert harness.core.links.releases.orders == {}
    harness.advance(60 * SECOND)
    assert len(releases_sent(harness, 1)) == 2


def test_a_task_counts_as_running_for_the_module_until_its_machine_has_confirmed_the_release() -> None:
    """The module was told at once, so a further task of the service could join the one that still ran."""
    harness, conn, link = harness_with_running_task()
    cancel(harness, conn, 1)
    assert counts_as_running(harness)
    harness.receive_release(link, 1, Cause.CANCELLED)
    assert not counts_as_running(harness)


def test_an_acknowledgement_confirms_a_release() -> None:
    harness, conn, link = harness_with_running_task()
    cancel(harness, conn, 1)
    harness.receive_from_machine(link, Message(Kind.ACKNOWLEDGEMENT, task_id(1)))
    assert harness.core.links.releases.orders == {} and not counts_as_running(harness)
    harness.receive_release(link, 1, Cause.CANCELLED)
    assert not counts_as_running(harness)


def health_checks_sent(harness: CoreHarness) -> list[tuple[int, str]]:
    """Return the link and the id of each health check that was sent."""
    return [(k, m.id) for k, m in harness.to_machines if m.kind is Kind.HEALTH_CHECK]


def test_a_machine_that_does_not_reply_to_a_release_confirms_it_by_a_health_check() -> None:
    harness, conn, link = harness_with_running_task()
    dial_count = harness.core.counts["dials"]
    cancel(harness, conn, 1)
    harness.advance(release_orders.CONFIRMATION_US + SECOND // 5)
    ((checked_link, check),) = health_checks_sent(harness)
    assert checked_link == link and counts_as_running(harness)
    harness.receive_from_machine(link, Message(Kind.HEALTH_CHECK_RESULT, check, cause=1))
    assert harness.core.links.releases.orders == {} and not counts_as_running(harness)
    harness.advance(3 * SECOND)
    assert releases_sent(harness, 1) == [link] and len(health_checks_sent(harness)) == 1
    assert harness.core.counts["dials"] == dial_count


def test_a_reply_to_a_later_request_on_the_connection_confirms_a_release() -> None:
    harness = CoreHarness(machines=1)
    harness.core.links.max_outstanding = 4  # requests share one connection
    conn = harness.add_client()
    link = harness.request_and_accept(conn, 1)
    earlier, later = 2, 3
    harness.request_and_send(conn, earlier)
    cancel(harness, conn, 1)
    harness.request_placement(conn, later, extras="cores:1;memory:2;service:00000000b4d65529")
    assert [k for k, _ in harness.placements_sent(earlier) + harness.placements_sent(later)] == [link, link]
    harness.receive_from_machine(link, Message(ANSWER, task_id(earlier), body="stands"))
    assert harness.core.links.releases.orders != {}
    harness.receive_from_machine(link, Message(ANSWER, task_id(later), body="stands"))
    assert harness.core.links.releases.orders == {}


def test_a_release_to_a_machine_that_reads_nothing_is_sent_on_new_connections_with_growing_waits() -> None:
    harness, conn, _ = harness_with_running_task()
    cancel(harness, conn, 1)
    began, sent_at = harness.now, []
    for _ in range(14 * 20):
        before = len(releases_sent(harness, 1))
        harness.advance(SECOND // 20)
        if len(releases_sent(harness, 1)) > before:
            sent_at.append((harness.now - began) / SECOND)
    first = (release_orders.CONFIRMATION_US + health_checks.HEALTH_CHECK_TIMEOUT_US) / SECOND
    assert sent_at == pytest.approx([first, first + 2, first + 6, first + 10], abs=0.4)
    assert len(set(releases_sent(harness, 1))) == 5


def test_the_module_has_its_outcome_at_the_latest_when_the_released_attempt_expires() -> None:
    harness, conn, link = harness_with_running_task()
    cancel(harness, conn, 1)
    lose_link(harness, link)
    harness.advance(attempt_table.ABANDONED_US + 2 * attempt_table.SWEEP_US, links_come_up=False)
    assert not counts_as_running(harness)


def test_a_machine_that_resets_every_connection_is_not_dialled_without_end() -> None:
    harness, conn, link = harness_with_running_task()
    cancel(harness, conn, 1)
    dial_count = harness.core.counts["dials"]
    lose_link(harness, link)
    end = harness.now + 20 * SECOND
    while harness.now < end:
        harness.advance(SECOND // 20)
        for up in list(harness.links_up):
            lose_link(harness, up)
    assert 4 <= harness.core.counts["dials"] - dial_count <= 8
    assert task_id(1) in harness.core.links.machines[next(iter(harness.core.links.machines))].orders


def test_a_new_connection_carries_the_release_before_a_waiting_placement_request() -> None:
    harness, conn, link = harness_with_running_task()
    cancel(harness, conn, 1)
    lose_link(harness, link)
    harness.request_placement(conn, 2, extras="cores:1;memory:2;service:00000000b4d65529")
    harness.bring_links_up()
    later = [(m.id, m.kind) for k, m in harness.to_machines if k != link]
    assert later.index((task_id(1), RELEASE)) < later.index((task_id(2), Kind.PLACE))


def test_a_release_without_a_usable_connection_has_its_machine_dialled() -> None:
    """The release waited for a connection that nobody dialled, as no task counted as running there."""
    harness, conn, link = harness_with_running_task()
    harness.links_up.pop(link)
    harness.feed(ev.LinkLost(link, frozenset()))
    for dialled in list(harness.dials):
        del harness.dials[dialled]
        harness.feed(ev.LinkFailed(dialled, refused=False))
    cancel(harness, conn, 1)
    harness.advance(SECOND)
    assert len(releases_sent(harness, 1)) == 1


def test_a_release_at_the_pools_bound_is_sent_again_on_another_connection() -> None:
    """Each connection of the pool has a request open, so that none can be dialled or closed."""
    harness, conn, link = harness_with_running_task()
    cancel(harness, conn, 1)
    for number in range(2, 20):
        harness.request_placement(conn, number, "once", extras=f"cores:0.1;memory:0.1;service:{number:016x}")
        harness.bring_links_up()
    dial_count = harness.core.counts["dials"]
    harness.advance(release_orders.CONFIRMATION_US + SECOND)
    assert harness.core.counts["dials"] == dial_count
    assert set(releases_sent(harness, 1)) == set(harness.links_up) and len(harness.links_up) > 2


def test_a_lost_machine_gets_the_release_of_its_tasks_when_it_is_back() -> None:
    harness, conn, link = harness_with_running_task()
    harness.links_up.pop(link)
    harness.feed(ev.LinkLost(link, frozenset()))
    end = harness.now + LOST_MACHINE_US
    while harness.now < end:  # no dial is answered
        harness.advance(link_checks.CHECK_INTERVAL_US, links_come_up=False)
        for dialled in list(harness.dials):
            del harness.dials[dialled]
            harness.feed(ev.LinkFailed(dialled, refused=False))
    assert harness.replies(1)[-1] == (conn, RELEASE, Cause.RESET)
    assert not counts_as_running(harness) and releases_sent(harness, 1) == []
    harness.advance(release_orders.MAX_RETRY_US + SECOND)
    assert len(releases_sent(harness, 1)) == 1


@pytest.mark.parametrize("what", ["restart", "removal"])
def test_releases_to_a_machine_that_has_restarted_or_left_are_dropped(what: str) -> None:
    harness, conn, _ = harness_with_running_task()
    cancel(harness, conn, 1)
    harness.advance(SECOND // 2)
    if what == "restart":
        harness.list_update(machine_row(1, born_ms=(1_000 * SECOND + harness.now) // 1000))
    else:
        harness.list_update(machine_row(1, "DELETED"))
        harness.advance(link_checks.REMOVAL_GRACE_US + SECOND)
    assert harness.core.links.releases.orders == {} and not counts_as_running(harness)
    sent = len(releases_sent(harness, 1))
    harness.advance(10 * SECOND)
    assert len(releases_sent(harness, 1)) == sent


def test_a_machine_that_a_full_list_omits_is_kept_until_it_has_confirmed_a_release() -> None:
    """The machine was forgotten as soon as no task counted as running there, and its lost release with it."""
    harness = CoreHarness(machines=2)
    conn = harness.add_client()
    link = harness.request_and_accept(conn, 1)
    omitted = harness.machine_of(link)
    harness.rev += 1
    message = node_list_message(harness.rev, machine_row(3 - omitted), whole=True)
    update = harness.node_list.apply(message)[0]
    assert update is not None
    harness.feed(ev.NodeListUpdated(update))
    cancel(harness, conn, 1)
    harness.advance(SECOND // 2)
    lose_link(harness, link)
    harness.bring_links_up()
    again = releases_sent(harness, 1)[-1]
    assert again != link and len(harness.core.links.machines) == 2
    harness.receive_release(again, 1, Cause.CANCELLED)
    harness.advance(SECOND)
    assert len(harness.core.links.machines) == 1


def test_a_machine_that_was_just_found_unreachable_is_not_dialled_at_once_for_its_releases() -> None:
    harness, conn, link = harness_with_running_task()
    lose_link(harness, link)
    while len(harness.replies(1)) < 2:  # until the task counts as lost with its machine
        harness.advance(link_checks.CHECK_INTERVAL_US, links_come_up=False)
        for dialled in list(harness.dials):
            del harness.dials[dialled]
            harness.feed(ev.LinkFailed(dialled, refused=False))
    dial_count = harness.core.counts["dials"]
    harness.advance(release_orders.MAX_RETRY_US - SECOND // 2, links_come_up=False)
    assert harness.core.counts["dials"] == dial_count
    harness.advance(SECOND, links_come_up=False)
    assert harness.core.counts["dials"] == dial_count + 1


def test_a_machine_that_waits_for_capacity_is_dialled_for_its_releases() -> None:
    harness = CoreHarness(machines=2)
    harness.core.links.pool.max_links = 1
    conn = harness.add_client()
    link = harness.request_and_accept(conn, 1)
    other = next(m for m in harness.core.links.machines.values() if m.address != harness.links_up[link])
    harness.core.links.releases.order(other.id, task_id(2), Cause.CANCELLED)
    harness.advance(SECOND // 2)  # the idle connection to the first machine is closed, the other is dialled
    assert len(releases_sent(harness, 2)) == 1


def test_a_task_is_not_sent_to_a_machine_where_a_release_of_its_id_is_unconfirmed() -> None:
    harness = CoreHarness(machines=1)
    conn = harness.add_client()
    (machine,) = harness.core.links.machines
    harness.core.links.releases.order(machine, task_id(1), Cause.CANCELLED)
    harness.request_placement(conn, 1)
    harness.advance(SECOND // 2)
    assert releases_sent(harness, 1) and harness.placements_sent(1) == []


def test_an_adopted_task_is_not_ended_by_an_earlier_release() -> None:
    harness, conn, link = harness_with_running_task()
    cancel(harness, conn, 1)
    lose_link(harness, link)
    harness.request_placement(conn, 1, at="s-00000001")
    harness.bring_links_up()
    assert releases_sent(harness, 1) == [link]
    assert len(harness.core.module.attempts) == 1


@pytest.mark.parametrize(("task_class", "is_released"), [("repeat", True), ("keyed", False), ("once", False)])
def test_a_copy_that_a_broken_connection_may_have_left_is_released_on_the_next_one(
    task_class: str, is_released: bool
) -> None:
    """A copy of a repeatable task whose answer was lost with its connection ran on, and nobody ended it.

    One that must not run twice is left running for its client to find.
    """
    harness = CoreHarness(machines=1)
    conn = harness.add_client()
    link = harness.request_and_send(conn, 1, task_class)
    lose_link(harness, link)
    harness.request_placement(conn, 2, extras="cores:1;memory:2;service:00000000b4d65529")
    harness.advance(3 * SECOND)
    assert harness.placements_sent(2)
    assert bool([k for k in releases_sent(harness, 1) if k != link]) is is_released


def test_a_copy_that_may_be_left_causes_no_dial_and_is_forgotten() -> None:
    harness = CoreHarness(machines=1)
    conn = harness.add_client()
    link = harness.request_and_send(conn, 1)
    cancel(harness, conn, 1)
    assert len(harness.core.links.releases.orders) == 1
    dial_count = harness.core.counts["dials"]
    harness.advance(release_orders.OPTIONAL_US + SECOND, links_come_up=False)
    assert harness.core.counts["dials"] == dial_count
    assert harness.core.links.releases.orders == {}
    assert releases_sent(harness, 1) == [link]


def test_a_release_to_a_machine_that_stays_silent_is_forgotten_in_the_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(release_orders, "MAX_AGE_US", 20 * SECOND)
    harness, conn, _ = harness_with_running_task()
    cancel(harness, conn, 1)
    harness.advance(19 * SECOND)
    assert len(harness.core.links.releases.orders) == 1
    harness.advance(2 * SECOND)
    assert harness.core.links.releases.orders == {} and not counts_as_running(harness)


def test_unconfirmed_releases_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(release_orders, "MAX_ORDERS", 20)
    harness = CoreHarness(machines=2)
    releases = harness.core.links.releases
    machines = list(harness.core.links.machines)
    for number in range(70):
        releases.order(machines[number % 2], task_id(number), Cause.CANCELLED)
    assert len(releases.orders) == 20 and harness.core.counts["releases_dropped"] == 50
    assert sum(len(m.orders) for m in harness.core.links.machines.values()) == 20
    assert (machines[1], task_id(69)) in releases.orders  # the oldest are dropped

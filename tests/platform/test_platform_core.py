"""Answers and releases to clients, and attempts at machines, for each known failure; without sockets."""

from __future__ import annotations

import pytest
from core_harness import (
    BODY,
    SECOND,
    SETTINGS,
    CoreHarness,
    machine_row,
    node_list_message,
    placement_request,
    task_id,
)

from stairplank import interface as api
from stairplank.platform import (
    adoption,
    attempt_table,
    client_requests,
    client_sessions,
    jsonlines,
    shutdown,
    task_table,
    validation,
)
from stairplank.platform import events as ev
from stairplank.platform.messages import MAX_MESSAGE_BYTES, Cause, Kind, Message
from stairplank.platform.tables import ATTEMPT_TRANSITIONS, TASK_TRANSITIONS

ANSWER, RELEASE = Kind.ANSWER, Kind.RELEASE


def answer(number: int, body: str = "b") -> Message:
    return Message(Kind.ANSWER, task_id(number), body=body)


def test_a_task_is_placed_and_its_end_reported() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    harness.request_placement(conn, 1)
    harness.bring_links_up()
    ((link, sent),) = harness.placements_sent(1)
    assert sent.body == BODY and sent.fields["key"] == task_id(501) and sent.fields["class"] == "repeat"
    assert 5_800 < int(sent.fields["left"]) <= 6_000  # the module has less time than the client
    harness.receive_from_machine(link, answer(1, "from the machine"))
    assert harness.to_clients[-1] == (conn, answer(1, "from the machine"))
    harness.receive_release(link, 1)
    assert harness.replies(1) == [(conn, ANSWER, None), (conn, RELEASE, Cause.ENDED)]
    assert not harness.core.tasks.by_id and not harness.core.attempts.table.by_machine_and_id


def test_a_task_that_the_module_sheds_is_answered_at_once() -> None:
    harness = CoreHarness(machines=1)
    conn = harness.add_client()
    harness.request_placement(conn, 1)
    harness.bring_links_up()
    harness.receive_release(harness.placements_sent(1)[0][0], 1, Cause.FULL, note="nc")
    harness.advance(6 * SECOND)
    ((_, kind, cause),) = harness.replies(1)
    assert (kind, cause) == (RELEASE, Cause.BUSY)
    assert harness.to_clients[-1][1].fields["wait"] == "200"
    assert harness.now < 100 * SECOND + 6_050_000


# Which failures prove that a task has not run


@pytest.mark.parametrize("task_class", ["once", "keyed"])
def test_a_connection_that_breaks_after_a_complete_write_does_not_prove_not_run(task_class: str) -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    harness.request_placement(conn, 1, task_class)
    harness.bring_links_up()
    link, _ = harness.placements_sent(1)[0]
    harness.feed(ev.LinkLost(link, frozenset()))
    harness.advance(9 * SECOND)
    links = [k for k, _ in harness.placements_sent(1)]
    if task_class == "once":
        assert len(links) == 1
    assert harness.replies(1)[-1][1:] == (RELEASE, Cause.RESET)  # the task is failed, not shed


def test_an_incompletely_written_request_is_sent_again_as_the_same_attempt() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    harness.request_placement(conn, 1, "once")
    harness.bring_links_up()
    link, _ = harness.placements_sent(1)[0]
    harness.feed(ev.LinkLost(link, frozenset({task_id(1)})))
    harness.bring_links_up()
    again, _ = harness.placements_sent(1)[1]
    harness.receive_from_machine(again, answer(1))
    assert [w[1] for w in harness.replies(1)] == [ANSWER]
    assert harness.core.tasks.by_id[task_id(1)].attempt_count == 1


def test_a_refused_connection_proves_not_run() -> None:
    harness = CoreHarness(machines=1)
    conn = harness.add_client()
    harness.request_placement(conn, 1, "once")
    harness.refuse_dials()
    harness.advance(9 * SECOND, links_come_up=False)
    harness.refuse_dials()
    assert harness.replies(1)[-1][1:] == (
        RELEASE,
        Cause.BUSY,
    )  # the task is shed: a retry cannot run it twice


def test_a_release_with_a_body_is_an_answer_and_an_end() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    harness.request_placement(conn, 1, "once")
    harness.bring_links_up()
    link, _ = harness.placements_sent(1)[0]
    harness.receive_from_machine(link, Message(RELEASE, task_id(1), cause=Cause.ENDED, body="it was here"))
    harness.receive_release(link, 1, Cause.RESET)  # a second release changes nothing
    assert harness.replies(1) == [(conn, ANSWER, None), (conn, RELEASE, Cause.ENDED)]
    assert [m.body for _, m in harness.to_clients] == ["it was here", None]
    assert len(harness.placements_sent(1)) == 1 and not harness.core.attempts.table.by_machine_and_id
    assert not any(
        node.health.unresponsive or node.health.consecutive_failures
        for node in harness.core.module.table.nodes.values()
    )


def test_a_release_without_a_body_does_not_prove_not_run() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    harness.request_placement(conn, 1, "once")
    harness.bring_links_up()
    harness.receive_release(harness.placements_sent(1)[0][0], 1)
    assert harness.replies(1) == [(conn, RELEASE, Cause.RESET)]


# Late and repeated messages


def test_a_second_answer_and_unknown_ids_change_nothing() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    harness.request_placement(conn, 1)
    harness.bring_links_up()
    link, _ = harness.placements_sent(1)[0]
    harness.receive_from_machine(link, answer(99))
    harness.receive_from_machine(link, answer(1, "first"))
    harness.receive_from_machine(link, answer(1, "second"))
    assert [m.body for _, m in harness.to_clients] == ["first"]


@pytest.mark.parametrize(("task_class", "is_cancelled"), [("repeat", True), ("keyed", False)])
def test_a_late_answer_is_cancelled_or_kept_by_its_class(task_class: str, is_cancelled: bool) -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    harness.request_placement(conn, 1, task_class)
    harness.bring_links_up()
    link, _ = harness.placements_sent(1)[0]
    harness.feed(ev.ClientMessage(conn, Message(RELEASE, task_id(1), cause=16)))
    assert harness.to_machines[-1] == (
        link,
        Message(RELEASE, task_id(1), cause=16),
    )  # cancelled at the machine too
    before = len(harness.to_machines)
    harness.receive_from_machine(link, answer(1))
    assert [m.cause for _, m in harness.to_machines[before:]] == ([Cause.CANCELLED] if is_cancelled else [])
    assert harness.replies(1) == []


def test_a_duplicate_of_a_running_task_is_cancelled_on_any_connection_of_its_machine() -> None:
    harness = CoreHarness(machines=3)
    conn = harness.add_client()
    harness.request_placement(conn, 1)
    harness.bring_links_up()
    first, _ = harness.placements_sent(1)[0]
    address = harness.links_up[first]
    harness.feed(ev.LinkLost(first, frozenset()))
    harness.bring_links_up()
    second, _ = harness.placements_sent(1)[1]
    harness.receive_from_machine(second, answer(1))
    harness.request_placement(conn, 2)
    harness.bring_links_up()
    new_link = next((k for k, a in harness.links_up.items() if a == address), None)
    if new_link is None:
        harness.core.links.pool.dial(
            next(m for m in harness.core.links.machines.values() if m.address == address)
        )
        harness._record_actions(harness.core.loop.actions)
        harness.bring_links_up()
        new_link = next(k for k, a in harness.links_up.items() if a == address)
    harness.receive_from_machine(new_link, answer(1))
    assert harness.to_machines[-1] == (new_link, Message(RELEASE, task_id(1), cause=Cause.CANCELLED))
    assert [w[1] for w in harness.replies(1)] == [ANSWER]


# Running tasks do not depend on a connection


def test_a_release_counts_on_any_connection_to_its_machine_and_on_no_other() -> None:
    harness = CoreHarness(machines=2)
    conn = harness.add_client()
    link = harness.request_and_accept(conn, 1)
    address = harness.links_up[link]
    harness.feed(ev.LinkLost(link, frozenset()))
    assert [w[1] for w in harness.replies(1)] == [ANSWER]  # the task runs on
    harness.advance(300_000)
    other = next(k for k, a in harness.links_up.items() if a == address)
    wrong = next((k for k, a in harness.links_up.items() if a != address), None)
    if wrong is not None:
        harness.receive_release(wrong, 1)
        assert len(harness.replies(1)) == 1
    harness.receive_release(other, 1)
    assert harness.replies(1)[-1] == (conn, RELEASE, Cause.ENDED)


def test_a_release_goes_to_another_connection_of_the_client_or_waits_for_one() -> None:
    harness = CoreHarness()
    one, two, other = harness.add_client("a"), harness.add_client("a"), harness.add_client("b")
    first, second = harness.request_and_accept(one, 1), harness.request_and_accept(one, 2)
    harness.feed(ev.ClientDisconnected(one))
    harness.receive_release(first, 1)
    assert harness.replies(1)[-1] == (two, RELEASE, Cause.ENDED)
    harness.advance(2 * SECOND)
    harness.feed(ev.ClientDisconnected(two))
    harness.receive_release(second, 2)
    assert [w[1] for w in harness.replies(2)] == [ANSWER]
    third = harness.add_client("a")
    assert harness.replies(2)[-1] == (third, RELEASE, Cause.ENDED)
    assert all(c != other for c, _ in harness.to_clients)
    assert not harness.core.sessions.pending_releases


def test_a_release_that_was_written_as_its_connection_broke_is_sent_again() -> None:
    harness = CoreHarness()
    one = harness.add_client("a")
    link = harness.request_and_accept(one, 1)
    harness.receive_release(link, 1)
    harness.feed(ev.ClientDisconnected(one), after=200_000)
    two = harness.add_client("a")
    assert harness.replies(1)[1:] == [(one, RELEASE, Cause.ENDED), (two, RELEASE, Cause.ENDED)]
    # An acknowledged release is not sent again.
    three = harness.add_client("c")
    link = harness.request_and_accept(three, 3)
    harness.receive_release(link, 3)
    harness.feed(ev.ClientMessage(three, Message(Kind.ACKNOWLEDGEMENT, task_id(3))))
    harness.feed(ev.ClientDisconnected(three))
    four = harness.add_client("c")
    assert all(c != four for c, _, _ in harness.replies(3))


def test_pending_releases_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_sessions, "MAX_PENDING_RELEASES", 3)
    harness = CoreHarness(machines=6)
    conn = harness.add_client("a")
    links = [harness.request_and_accept(conn, n) for n in range(1, 6)]
    harness.feed(ev.ClientDisconnected(conn))
    for number, link in enumerate(links, 1):
        harness.receive_release(link, number)
    assert len(harness.core.sessions.pending_releases) == 3 and harness.core.counts["releases_dropped"] == 2
    harness.advance(client_sessions.PENDING_RELEASES_US + SECOND)
    assert not harness.core.sessions.pending_releases


def test_a_client_cancels_its_task_from_any_connection() -> None:
    harness = CoreHarness()
    one, two = harness.add_client("a"), harness.add_client("a")
    link = harness.request_and_accept(one, 1)
    harness.feed(ev.ClientMessage(two, Message(RELEASE, task_id(1), cause=16)))
    assert harness.to_machines[-1] == (link, Message(RELEASE, task_id(1), cause=Cause.CANCELLED))
    harness.receive_release(link, 1, Cause.CANCELLED)
    assert [w[1] for w in harness.replies(1)] == [
        ANSWER
    ]  # a client that cancels a task gets no release for it
    assert not harness.core.attempts.table.by_machine_and_id and not harness.core.tasks.by_id


def test_an_eviction_ends_the_task_here_and_at_its_machine() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    link = harness.request_and_accept(conn, 1)
    task = harness.core.tasks.by_id[task_id(1)]
    harness.core.loop.begin(harness.now)
    harness.core.attempts.evict(api.Evict(task.number))
    harness.core._run()
    harness._record_actions(harness.core.loop.actions)
    assert harness.replies(1)[-1] == (conn, Kind.MIGRATE, None)
    assert harness.to_machines[-1] == (link, Message(RELEASE, task_id(1), cause=Cause.CANCELLED))


# Load reports


def test_a_health_check_requests_a_load_report_for_the_module() -> None:
    """A machine answers a health check with cause 0 without a load report; the load would stay unknown."""
    harness = CoreHarness(machines=1, probes=True, report_fields=("free_cores", "free_memory", "util"))
    conn = harness.add_client()
    harness.advance(SECOND)
    harness.request_placement(conn, 1)
    harness.bring_links_up()
    link, test = next((k, m) for k, m in harness.to_machines if m.kind is Kind.HEALTH_CHECK)
    assert test.cause == 1
    load = {"load": "x0:4;x1:20;utilization:0.9"}
    harness.receive_from_machine(link, Message(Kind.HEALTH_CHECK_RESULT, test.id, load, cause=1))
    (node,) = harness.core.module.table.nodes.values()
    assert node.free == (4.0, 20.0) and node.use == 0.9 / (12 / 16)
    assert not harness.core.health_checks.pending


def test_the_module_counts_the_same_attempts_in_flight_as_the_core() -> None:
    harness = CoreHarness(machines=4)
    for number in range(1, 200):
        conn = harness.add_client(f"client {number % 5}")
        harness.request_placement(conn, number, ("repeat", "keyed", "once")[number % 3])
        harness.bring_links_up()
        sent = harness.placements_sent(number)
        if sent and number % 5:
            harness.receive_from_machine(sent[0][0], answer(number))
        if number % 7 == 0:
            links = [k for k in harness.links_up if number % 2]
            harness.feed(*[ev.LinkLost(k, frozenset()) for k in links])
        if number % 23 == 0:
            machine = number // 23 % 4 + 1
            harness.list_update(
                machine_row(machine, born_ms=(1_000 * SECOND + harness.now - 600_000) // 1000)
            )
        if number % 4 == 0 and task_id(number - 3) in harness.core.tasks.by_id:
            harness.feed(ev.ClientMessage(conn, Message(RELEASE, task_id(number - 3), cause=16)))
        harness.advance(50_000)
        for node in harness.core.module.table.nodes.values():
            in_flight = [
                a.task.number
                for (m, _), a in harness.core.attempts.table.by_machine_and_id.items()
                if m == node.entry.id and a.state.value in ("waiting", "sent", "running")
            ]
            assert sorted(in_flight) == sorted(a.task.id for a in node.attempts.values())


# Adopted tasks


def test_adopted_tasks_get_no_answer_and_a_release() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    harness.request_placement(conn, 1, at="s-00000002")
    harness.request_placement(conn, 1, at="s-00000002")  # a repeated adoption request changes nothing
    assert harness.replies(1) == [] and len(harness.core.tasks.by_id) == 1
    harness.advance(300_000)
    link = next(
        k for k in harness.links_up if harness.machine_of(k) == 2
    )  # the core has dialled it, to receive messages
    harness.receive_release(link, 1, Cause.RESET, note="ev")
    assert harness.replies(1) == [(conn, RELEASE, Cause.RESET)]


def test_an_adopted_task_ends_if_its_machine_is_not_listed_in_time() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    harness.request_placement(conn, 1, at="s-0000ffff")
    harness.advance(adoption.LISTING_WAIT_US - SECOND)
    assert harness.replies(1) == []
    harness.advance(2 * SECOND)
    assert not harness.core.adoption.waiting
    assert harness.replies(1) == [(conn, RELEASE, Cause.RESET)] and not harness.core.tasks.by_id


def test_adopted_tasks_that_no_machine_knows_are_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_requests, "ADOPTED_TIMEOUT_US", 5 * SECOND)
    harness = CoreHarness()
    harness.request_placement(harness.add_client(), 1, at="s-00000002")
    harness.advance(client_requests.ADOPTED_SWEEP_US + SECOND)
    assert not harness.core.tasks.by_id


# Misbehaving clients


def test_invalid_requests_are_rejected_and_do_not_reach_the_module() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    for number, changes in enumerate(({"class": "x"}, {"left": "nan"}, {"extras": "cores:nan"}), 1):
        harness.feed(ev.ClientMessage(conn, placement_request(number, **changes)))
        assert harness.replies(number) == [(conn, RELEASE, Cause.INVALID)]
    assert not harness.core.module.pending and not harness.to_machines and not harness.dials


def test_another_client_with_an_open_id_does_not_end_the_first_ones_wait() -> None:
    harness = CoreHarness()
    good, bad = harness.add_client("a"), harness.add_client("b")
    harness.request_placement(good, 1)
    harness.request_placement(bad, 1, body="another")
    harness.feed(ev.ClientMessage(bad, Message(RELEASE, task_id(1), cause=16)))
    harness.feed(ev.ClientDisconnected(bad))
    harness.bring_links_up()
    harness.receive_from_machine(harness.placements_sent(1)[0][0], answer(1))
    assert harness.replies(1) == [(bad, RELEASE, Cause.INVALID), (good, ANSWER, None)]


def test_two_tasks_under_one_id_on_one_connection_both_end() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    harness.request_placement(conn, 1)
    harness.bring_links_up()
    harness.request_placement(conn, 1, body="another")
    harness.receive_from_machine(harness.placements_sent(1)[0][0], answer(1))
    assert harness.replies(1) == [(conn, RELEASE, Cause.INVALID)]


def test_a_request_that_is_repeated_on_a_new_connection_is_the_same_task() -> None:
    harness = CoreHarness()
    one, two = harness.add_client("a"), harness.add_client("a")
    harness.request_placement(one, 1)
    harness.request_placement(two, 1)
    harness.feed(ev.ClientDisconnected(one))
    harness.bring_links_up()
    assert len(harness.placements_sent(1)) == 1
    harness.receive_from_machine(harness.placements_sent(1)[0][0], answer(1))
    assert harness.replies(1) == [(two, ANSWER, None)]


def test_unexpected_messages_close_no_connection_with_a_queued_placement_request() -> None:
    """Other messages are handled before placement requests that were read earlier."""
    harness = CoreHarness(machines=1)
    conn = harness.add_client()
    harness.core.sessions.has_unread = lambda number: number == conn
    for kind in (Kind.STATUS_UPDATE, Kind.ACKNOWLEDGEMENT):
        harness.feed(ev.ClientMessage(conn, Message(kind, task_id(77))))
    harness.feed(ev.ClientMessage(conn, Message(RELEASE, task_id(77), cause=16)))
    assert harness.closed_clients == []
    harness.core.sessions.has_unread = lambda number: False
    harness.request_placement(conn, 1)
    harness.bring_links_up()
    assert harness.placements_sent(1)


def test_a_client_that_acknowledges_a_release_keeps_its_connection() -> None:
    harness = CoreHarness(machines=1)
    first, second = harness.add_client(), harness.add_client()
    link = harness.request_and_accept(first, 1)
    harness.feed(ev.ClientDisconnected(first))
    harness.receive_release(link, 1)
    assert harness.replies(1)[-1][0] == second  # nothing else was sent on this connection
    harness.feed(ev.ClientMessage(second, Message(Kind.ACKNOWLEDGEMENT, task_id(1))))
    harness.feed(
        ev.ClientMessage(second, Message(Kind.ACKNOWLEDGEMENT, task_id(1)))
    )  # a repeated acknowledgement changes nothing
    assert harness.closed_clients == []


def test_a_client_that_is_rejected_during_shutdown_keeps_its_connection() -> None:
    """In scenario roll+mass, a connection closed after 17 rejections; 15 placement requests were lost."""
    harness = CoreHarness(machines=1)
    conn = harness.add_client()
    harness.feed(ev.ShutdownRequested())
    harness.feed(after=shutdown.ACCEPTING_US + 50_000)
    for number in range(1, 3 * client_sessions.MAX_REJECTIONS):
        harness.request_placement(conn, number)
    assert harness.closed_clients == []
    assert all(
        harness.replies(n) == [(conn, RELEASE, Cause.BUSY)]
        for n in range(1, 3 * client_sessions.MAX_REJECTIONS)
    )
    harness.advance(client_sessions.UNRESPONSIVE_US + SECOND)  # it does not count as unresponsive either
    assert harness.closed_clients == []


def test_silent_and_useless_connections_are_closed_and_busy_ones_are_not() -> None:
    harness = CoreHarness(machines=1)
    silent, useless, busy, idle = (harness.add_client(c) for c in "abcd")
    harness.feed(ev.ClientMessage(useless, Message(Kind.STATUS_UPDATE, task_id(77))))
    assert harness.closed_clients == [useless]
    harness.request_placement(busy, 1)
    harness.feed(ev.ClientMessage(idle, Message(Kind.HEALTH_CHECK, task_id(5), cause=0)))
    harness.bring_links_up()
    harness.advance(client_sessions.UNRESPONSIVE_US + client_requests.SWEEP_US)
    assert harness.closed_clients == [useless, silent]
    harness.advance(client_sessions.IDLE_US)
    assert idle in harness.closed_clients and busy not in harness.closed_clients
    # A connection with a running task is kept, because the release is sent on it.
    harness.request_placement(busy, 2, left="9000")
    harness.bring_links_up()
    harness.receive_from_machine(harness.placements_sent(2)[0][0], answer(2))
    harness.advance(client_sessions.IDLE_US + SECOND)
    assert busy not in harness.closed_clients


def test_only_connections_without_open_tasks_are_closed_for_a_new_one() -> None:
    harness = CoreHarness()
    busy, running, unused, idle = (harness.add_client(c) for c in "abcd")
    harness.request_and_accept(running, 1)
    harness.request_placement(busy, 2)
    harness.feed(ev.ClientMessage(idle, Message(Kind.HEALTH_CHECK, task_id(5), cause=0)))
    idlest = harness.core.sessions.idlest_connection
    assert [idlest(), idlest(), idlest(), idlest()] == [unused, idle, running, None]


def test_open_tasks_are_bounded_in_all_and_for_each_client(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(validation, "BOUNDS", validation.admission.Bounds(6, 4, 8, 10**9))
    harness = CoreHarness(machines=1)
    flood, good = harness.add_client("a"), harness.add_client("b")
    for number in range(1, 20):
        harness.request_placement(flood, number)
    assert harness.core.tasks.open_count == 4
    refused = [m for c, m in harness.to_clients if c == flood]
    assert len(refused) == 15 and {m.cause for m in refused} == {Cause.BUSY}
    harness.request_placement(good, 100)
    assert harness.core.tasks.open_count == 5  # one client cannot use up the whole bound


def test_unacknowledged_releases_of_a_connection_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_sessions, "MAX_UNACKNOWLEDGED", 2)
    harness = CoreHarness(machines=6)
    conn = harness.add_client()
    for number in range(1, 6):
        harness.request_placement(conn, number, at="s-0000ffff")
    harness.advance(adoption.LISTING_WAIT_US + client_requests.SWEEP_US, links_come_up=False)
    assert len(harness.core.sessions.connections[conn].unacknowledged) == 2


def test_a_description_too_long_for_a_machines_line_is_rejected() -> None:
    """The description fits a binary message; escaped, it is three times too long for a machine's line."""
    harness = CoreHarness()
    conn = harness.add_client()
    harness.request_placement(conn, 1, body="\x01" * 8000)
    harness.request_placement(conn, 2, body="x" * 15_000)
    harness.bring_links_up()
    assert harness.replies(1) == [(conn, RELEASE, Cause.INVALID)] and not harness.placements_sent(1)
    assert len(jsonlines.encode(harness.placements_sent(2)[0][1])) <= MAX_MESSAGE_BYTES


def test_withdrawn_tasks_with_a_long_wait_leave_no_timers() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    for number in range(1, 101):
        harness.request_placement(conn, number, left="4294967295")
        harness.feed(ev.ClientMessage(conn, Message(RELEASE, task_id(number), cause=16)))
        harness.request_placement(conn, 1000 + number, at="s-00000001")
        harness.feed(ev.ClientMessage(conn, Message(RELEASE, task_id(1000 + number), cause=16)))
    harness.advance(10 * SECOND)
    assert len(harness.core.loop._timers) < 10 and not harness.core.module.context.timers


def test_descriptions_are_bounded_and_running_tasks_keep_none(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(task_table, "MAX_OPEN_BYTES", 25_000)
    harness = CoreHarness(machines=6)
    conn = harness.add_client()
    for number in range(1, 5):
        harness.request_placement(conn, number, body="x" * 10_000)
        harness.bring_links_up()
    assert [w[2] for w in harness.replies(3) + harness.replies(4)] == [Cause.BUSY] * 2
    harness.receive_from_machine(harness.placements_sent(1)[0][0], answer(1))
    harness.request_placement(conn, 5, body="x" * 10_000, at="s-00000001")
    assert harness.core.tasks.open_bytes == 10_000
    assert [len(harness.core.tasks.by_id[task_id(n)].body) for n in (1, 2, 5)] == [0, 10_000, 0]
    harness.request_placement(
        conn, 5, body="y", at="s-00000001"
    )  # another description under this id is still recognised
    assert harness.core.sessions.connections[conn].running_count == 2


# Draining machines, shutdown, stalls


def test_nothing_is_sent_to_a_draining_machine() -> None:
    harness = CoreHarness(machines=1)
    conn = harness.add_client()
    harness.request_placement(conn, 1, "once")  # the task waits for a connection
    harness.list_update(machine_row(1, "DRAINING"))
    harness.bring_links_up()
    harness.advance(SECOND)
    assert harness.placements_sent(1) == []
    harness.advance(8 * SECOND)
    assert harness.replies(1)[-1][1:] == (RELEASE, Cause.BUSY)  # the task is proven not run


def test_a_clients_health_check_succeeds_once_ready() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    harness.feed(ev.ClientMessage(conn, Message(Kind.HEALTH_CHECK, task_id(1), cause=0)))
    assert harness.to_clients == [(conn, Message(Kind.HEALTH_CHECK_RESULT, task_id(1), cause=1))]


def test_shutdown_answers_all_open_tasks_and_lets_tasks_run_on() -> None:
    harness = CoreHarness(machines=2)
    conn = harness.add_client()
    harness.request_and_accept(conn, 1)
    harness.request_placement(conn, 2, "keyed")
    harness.bring_links_up()
    harness.feed(ev.ShutdownRequested())
    assert not harness.core.shutdown.is_done()
    harness.request_placement(conn, 3)  # accepted, although the shutdown has begun
    harness.bring_links_up()
    assert harness.replies(3) == []
    harness.advance(shutdown.ACCEPTING_US + 50_000)
    harness.request_placement(conn, 4)
    assert harness.replies(4) == [(conn, RELEASE, Cause.BUSY)]
    harness.advance(shutdown.MAX_DEADLINE_US + shutdown.ACCEPTING_US - shutdown.ANSWER_ALL_US)
    assert harness.replies(2) == [(conn, RELEASE, Cause.RESET)]  # the task is failed, because it may have run
    assert harness.replies(3) == [(conn, RELEASE, Cause.BUSY)]  # the task is shed, because it may be repeated
    assert harness.core.shutdown.is_done()
    assert [w[1] for w in harness.replies(1)] == [ANSWER] and task_id(1) in harness.core.tasks.by_id


def test_shutdown_sheds_tasks_that_still_wait_for_capacity() -> None:
    harness = CoreHarness(machines=1)
    conn = harness.add_client()
    harness.request_placement(conn, 1, "once", extras="cores:9;memory:2;service:00000000b4d65521")
    harness.bring_links_up()
    link = harness.placements_sent(1)[0][0]
    harness.receive_from_machine(link, answer(1))
    for number in (2, 3):
        harness.request_placement(conn, number, "once", extras=f"cores:9;memory:2;service:{number:016x}")
    harness.feed(ev.ShutdownRequested())
    harness.receive_release(link, 1)
    harness.advance(shutdown.ACCEPTING_US + 50_000)
    harness.receive_from_machine(
        harness.placements_sent(2)[0][0], answer(2)
    )  # there was capacity in time for one task
    assert harness.placements_sent(3) == [] and not harness.core.shutdown.is_done()
    harness.advance(shutdown.MAX_DEADLINE_US + shutdown.ACCEPTING_US - shutdown.ANSWER_ALL_US)
    assert harness.replies(3) == [(conn, RELEASE, Cause.BUSY)] and harness.core.shutdown.is_done()


def test_a_machine_is_notified_of_an_abandoned_attempt_before_its_client() -> None:
    """During shutdown, a task that may be repeated is shed while its attempt is in flight."""
    harness = CoreHarness(machines=1)
    conn = harness.add_client()
    harness.request_placement(conn, 1)
    harness.bring_links_up()
    harness.feed(ev.ShutdownRequested())
    harness.now = harness.core.shutdown.killed_at
    actions = harness.core.handle(harness.now, [ev.TimerDue()])
    sent_types = [
        type(a)
        for a in actions
        if isinstance(a, (ev.SendToClient, ev.SendToMachine)) and a.message.id == task_id(1)
    ]
    assert sent_types == [ev.SendToMachine, ev.SendToClient]


def test_received_messages_are_handled_before_timers_after_a_stall() -> None:
    harness = CoreHarness(machines=2)
    conn = harness.add_client()
    harness.request_placement(conn, 1, "once", left="8000")
    harness.bring_links_up()
    link, _ = harness.placements_sent(1)[0]
    harness.now += 9 * SECOND  # a stall past the deadline, with the answer unread
    read = [ev.ClientMessage(conn, placement_request(2)), ev.MachineMessage(link, answer(1))]
    harness._record_actions(harness.core.handle_after_stall(harness.now, read))
    assert [w[1] for w in harness.replies(1)] == [ANSWER]
    harness.bring_links_up()
    assert len(harness.placements_sent(2)) == 1


def test_cancellations_are_handled_before_timers_after_a_stall() -> None:
    """A timer that fell due during the stall would otherwise send a task that its client has cancelled."""
    harness = CoreHarness(machines=1)
    conn = harness.add_client()
    link = harness.request_and_send(conn, 1)
    harness.receive_release(link, 1, Cause.FULL, note="nq")
    (task,) = harness.core.tasks.by_id.values()
    (machine,) = harness.core.links.machines
    bind = api.Bind(task.number, machine, 0)
    harness.core.loop.call_at(harness.now + SECOND, harness.core.attempts.bind, bind)
    harness.now += 2 * SECOND
    cancellation = ev.ClientMessage(conn, Message(RELEASE, task_id(1), cause=int(Cause.ENDED)))
    harness._record_actions(harness.core.handle_after_stall(harness.now, [cancellation]))
    harness.advance(SECOND)
    assert len(harness.placements_sent(1)) == 1 and harness.replies(1) == []


def test_every_table_drops_ended_tasks() -> None:
    """Ids are never reused, so an entry that stays after its task has ended would be a leak."""
    harness = CoreHarness(machines=4)
    for number in range(1, 400):
        conn = harness.add_client(f"client {number % 7}")
        harness.request_placement(conn, number, ("repeat", "keyed", "once")[number % 3])
        harness.bring_links_up()
        sent = harness.placements_sent(number)
        if sent and number % 4 == 0:
            harness.receive_release(sent[0][0], number, Cause.ERROR)
        elif sent and number % 4 == 1:
            harness.feed(ev.ClientMessage(conn, Message(RELEASE, task_id(number), cause=16)))
        elif sent:
            harness.receive_from_machine(sent[0][0], answer(number))
            harness.receive_release(sent[0][0], number)
        if number % 50 == 0:
            deleted, new = number // 50, 100 + number // 50
            harness.list_update(
                machine_row(deleted, "DELETED"), machine_row(new, dial=f"127.8.1.{deleted}:2905")
            )
        harness.feed(ev.ClientDisconnected(conn), after=100_000)
    harness.advance(45 * SECOND)
    core = harness.core
    tables = {
        "tasks": core.tasks.by_id,
        "numbers": core.tasks.by_number,
        "conns": core.sessions.connections,
        "clients": core.sessions.by_client,
        "open_of": core.tasks.open_by_client,
        "at": core.attempts.table.by_machine_and_id,
        "tests": core.health_checks.pending,
        "module's open": core.module.pending,
        "module's attempts": core.module.attempts,
        "module's spread": core.module.spread.counts,
        "module's timers": core.module.context.timers,
    }
    assert {k: len(v) for k, v in tables.items() if v} == {}
    assert len(core.links.machines) == len(core.module.table.nodes) == 7
    assert len(core.loop._timers) < 10 and core.attempts.in_flight == 0


def test_the_transition_tables_have_the_expected_number_of_rows() -> None:
    assert len({(s, e) for s, e in ATTEMPT_TRANSITIONS.rows}) == 12 and len(TASK_TRANSITIONS.rows) == 3
    assert SETTINGS.max_attempts == 3


# Guards against rare orders of events


def test_a_connection_with_an_open_task_is_never_closed() -> None:
    harness = CoreHarness(machines=1)
    conn = harness.add_client()
    harness.request_placement(conn, 1, "once", left="8000")
    harness.bring_links_up()
    for _ in range(client_sessions.MAX_REJECTIONS + 5):
        harness.feed(ev.ClientMessage(conn, Message(Kind.STATUS_UPDATE, task_id(77))))
    harness.advance(client_sessions.IDLE_US + SECOND)
    assert harness.closed_clients == [] and harness.replies(1) == []


def test_a_connection_with_only_invalid_requests_is_closed() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    for number in range(1, client_sessions.MAX_REJECTIONS + 2):
        harness.request_placement(conn, number, left="nan")
    assert harness.closed_clients == [conn] and len(harness.to_clients) == client_sessions.MAX_REJECTIONS + 1


def test_the_answer_is_sent_before_the_clients_deadline() -> None:
    harness = CoreHarness(machines=1)
    conn = harness.add_client()
    harness.request_placement(conn, 1, "once", left="1000")
    harness.bring_links_up()
    harness.advance(980_000)
    assert harness.replies(1) == [(conn, RELEASE, Cause.RESET)]


def test_a_bind_to_a_draining_machine_results_in_not_sent() -> None:
    """The module makes no such bind; if it did, rule 3 would still hold."""
    harness = CoreHarness(machines=2)
    conn = harness.add_client()
    for number in (1, 2, 3, 4):
        harness.request_and_accept(conn, number)
    harness.list_update(machine_row(1, "DRAINING"))
    harness.request_placement(conn, 5, "once", left="8000")
    task = harness.core.tasks.by_id[task_id(5)]
    draining = [m for m in harness.core.links.machines.values() if m.status is api.NodeStatus.DRAINING]
    before = len(harness.to_machines)
    harness.core.loop.begin(harness.now)
    task.attempt = None
    harness.core.attempts.bind(api.Bind(task.number, draining[0].id))
    assert not harness.core.loop.actions and len(harness.to_machines) == before
    outcome = harness.core.loop.module_events[-1]
    assert isinstance(outcome, api.Outcome) and outcome.result is api.Result.NOT_SENT


def test_a_task_of_a_machines_new_incarnation_is_not_lost_with_the_old_one() -> None:
    harness = CoreHarness(machines=1)
    conn = harness.add_client()
    harness.request_placement(conn, 1, at="s-00000001")
    harness.advance(2 * SECOND)
    harness.request_and_accept(conn, 2)
    harness.list_update(machine_row(1, born_ms=(1_000 * SECOND + harness.now - SECOND) // 1000))
    assert harness.replies(1) == [(conn, RELEASE, Cause.RESET)]
    assert [w[1] for w in harness.replies(2)] == [ANSWER]


def test_a_health_check_is_answered_only_by_the_machine_that_it_was_sent_to() -> None:
    harness = CoreHarness(machines=2, probes=True)
    conn = harness.add_client()
    for number in (1, 2, 3, 4):
        harness.request_and_accept(conn, number)
    harness.advance(SECOND)
    harness.request_placement(conn, 5)
    harness.bring_links_up()
    link, test = [(k, m) for k, m in harness.to_machines if m.kind is Kind.HEALTH_CHECK][-1]
    other = next(k for k, a in harness.links_up.items() if a != harness.links_up[link])
    harness.receive_from_machine(other, Message(Kind.HEALTH_CHECK_RESULT, test.id, cause=1))
    assert test.id in harness.core.health_checks.pending
    harness.receive_from_machine(link, Message(Kind.HEALTH_CHECK_RESULT, test.id, cause=1))
    assert test.id not in harness.core.health_checks.pending


def test_the_outcome_for_a_disconnected_client_is_final() -> None:
    harness = CoreHarness(machines=1)
    module_events: list[api.Event] = []
    real = harness.core.module.handle

    def handle(now: int, event: api.Event) -> list[api.Action]:
        module_events.append(event)
        return real(now, event)

    harness.core.module.handle = handle  # type: ignore[method-assign]
    conn = harness.add_client()
    harness.request_placement(conn, 1)
    harness.bring_links_up()
    harness.feed(ev.ClientDisconnected(conn))
    assert [e.is_final for e in module_events if isinstance(e, api.Outcome)] == [True]


def test_node_list_updates_are_handled_before_machines_messages_after_a_stall() -> None:
    harness = CoreHarness(machines=2)
    conn = harness.add_client()
    for number in range(1, 13):
        harness.request_placement(conn, number, extras=f"cores:0.5;memory:1;service:{number:016x}")
        harness.bring_links_up()
        harness.receive_from_machine(harness.placements_sent(number)[0][0], answer(number))
    assert (
        len(set(harness.links_up.values())) == 2
    )  # both have a link, so a placement request would be sent at once
    harness.request_placement(conn, 20, "once", left="8000")
    harness.bring_links_up()
    link = harness.placements_sent(20)[0][0]
    other = 3 - harness.machine_of(link)
    drain = harness.node_list.apply(node_list_message(2, machine_row(other, "DRAINING")))[0]
    assert drain is not None
    refusal = Message(RELEASE, task_id(20), {"note": "nc"}, int(Cause.FULL))
    harness.now += 3 * SECOND
    harness._record_actions(
        harness.core.handle_after_stall(
            harness.now, [ev.MachineMessage(link, refusal), ev.NodeListUpdated(drain)]
        )
    )
    assert len(harness.placements_sent(20)) == 1


def test_a_connection_with_unhandled_input_is_not_closed() -> None:
    harness = CoreHarness()
    conn, other = harness.add_client(), harness.add_client("127.8.240.3")
    harness.core.sessions.has_unread = lambda number: number == conn
    harness.advance(3 * SECOND)
    assert harness.closed_clients == [other] and harness.core.sessions.idlest_connection() is None
    harness.core.sessions.has_unread = lambda number: False
    harness.advance(SECOND)
    assert harness.closed_clients == [other, conn]


def test_an_exception_in_the_module_affects_only_its_own_task(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    real = harness.core.module.handle

    def handle(now: int, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.TaskRequested) and harness.core.tasks.by_number[event.task.id].id == task_id(
            1
        ):
            raise KeyError("a fault")
        return real(now, event)

    monkeypatch.setattr(harness.core.module, "handle", handle)
    harness.core.survives_faults = True
    harness.feed(*(ev.ClientMessage(conn, placement_request(n)) for n in (1, 2)))
    harness.bring_links_up()
    assert (
        harness.placements_sent(2) and not harness.placements_sent(1) and harness.core.counts["faults"] == 1
    )
    handled: list[api.Event] = []
    monkeypatch.setattr(harness.core.module, "handle", lambda now, event: handled.append(event) or 1 / 0)
    cancelled = (api.TaskCancelled(1), api.TaskCancelled(2))
    harness.core._run_guarded(lambda _: [harness.core.loop.notify_module(event) for event in cancelled], None)
    assert handled == list(cancelled)  # the second event is delivered after the first one failed
    harness.core.survives_faults = False
    monkeypatch.setitem(harness.core._handlers, ev.ClientConnected, lambda event: 1 / 0)
    with pytest.raises(ZeroDivisionError):
        harness.add_client()


def test_attempts_are_indexed_by_machine_and_dropped_with_it() -> None:
    """Without the index, removing many machines at once scanned all attempts for each machine."""
    harness = CoreHarness(machines=4)
    conn = harness.add_client()
    for number in range(1, 9):
        harness.request_placement(conn, number, at=f"s-0000000{number % 4 + 1}")
    assert sorted(len(there) for there in harness.core.attempts.table.by_machine.values()) == [2, 2, 2, 2]
    for number in range(1, 9):
        harness.feed(ev.ClientMessage(conn, Message(RELEASE, task_id(number), cause=16)))
    harness.advance(attempt_table.ABANDONED_US + 2 * attempt_table.SWEEP_US)
    assert not harness.core.attempts.table.by_machine_and_id and not harness.core.attempts.table.by_machine

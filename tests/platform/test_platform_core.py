"""Answers and releases to clients, and attempts at machines, for each known failure; without sockets."""

from __future__ import annotations

import pytest
from desk import BODY, SECOND, SETTINGS, Desk, name, notice, row, set_up

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
    return Message(Kind.ANSWER, name(number), body=body)


def test_a_task_is_placed_and_its_end_reported() -> None:
    desk = Desk()
    conn = desk.owner()
    desk.ask(conn, 1)
    desk.connect()
    ((link, sent),) = desk.sent(1)
    assert sent.body == BODY and sent.fields["key"] == name(501) and sent.fields["class"] == "repeat"
    assert 5_800 < int(sent.fields["left"]) <= 6_000  # the module has less time than the client
    desk.machine(link, answer(1, "from the machine"))
    assert desk.to_clients[-1] == (conn, answer(1, "from the machine"))
    desk.ends(link, 1)
    assert desk.replies(1) == [(conn, ANSWER, None), (conn, RELEASE, Cause.ENDED)]
    assert not desk.core.tasks.by_id and not desk.core.attempts.table.by_machine_and_id


def test_a_task_that_the_module_sheds_is_answered_at_once() -> None:
    desk = Desk(machines=1)
    conn = desk.owner()
    desk.ask(conn, 1)
    desk.connect()
    desk.ends(desk.sent(1)[0][0], 1, Cause.FULL, note="nc")
    desk.passes(6 * SECOND)
    ((_, kind, cause),) = desk.replies(1)
    assert (kind, cause) == (RELEASE, Cause.BUSY)
    assert desk.to_clients[-1][1].fields["wait"] == "200"
    assert desk.now < 100 * SECOND + 6_050_000


# Which failures prove that a task has not run


@pytest.mark.parametrize("sort", ["once", "keyed"])
def test_a_connection_that_breaks_after_a_complete_write_does_not_prove_not_run(sort: str) -> None:
    desk = Desk()
    conn = desk.owner()
    desk.ask(conn, 1, sort)
    desk.connect()
    link, _ = desk.sent(1)[0]
    desk.feed(ev.LinkLost(link, frozenset()))
    desk.passes(9 * SECOND)
    links = [k for k, _ in desk.sent(1)]
    if sort == "once":
        assert len(links) == 1
    assert desk.replies(1)[-1][1:] == (RELEASE, Cause.RESET)  # the task is failed, not shed


def test_an_incompletely_written_request_is_sent_again_as_the_same_attempt() -> None:
    desk = Desk()
    conn = desk.owner()
    desk.ask(conn, 1, "once")
    desk.connect()
    link, _ = desk.sent(1)[0]
    desk.feed(ev.LinkLost(link, frozenset({name(1)})))
    desk.connect()
    again, _ = desk.sent(1)[1]
    desk.machine(again, answer(1))
    assert [w[1] for w in desk.replies(1)] == [ANSWER]
    assert desk.core.tasks.by_id[name(1)].attempt_count == 1


def test_a_refused_connection_proves_not_run() -> None:
    desk = Desk(machines=1)
    conn = desk.owner()
    desk.ask(conn, 1, "once")
    desk.refuse()
    desk.passes(9 * SECOND, answering=False)
    desk.refuse()
    assert desk.replies(1)[-1][1:] == (RELEASE, Cause.BUSY)  # the task is shed: a retry cannot run it twice


def test_a_release_with_a_body_is_an_answer_and_an_end() -> None:
    desk = Desk()
    conn = desk.owner()
    desk.ask(conn, 1, "once")
    desk.connect()
    link, _ = desk.sent(1)[0]
    desk.machine(link, Message(RELEASE, name(1), cause=Cause.ENDED, body="it was here"))
    desk.ends(link, 1, Cause.RESET)  # a second release changes nothing
    assert desk.replies(1) == [(conn, ANSWER, None), (conn, RELEASE, Cause.ENDED)]
    assert [m.body for _, m in desk.to_clients] == ["it was here", None]
    assert len(desk.sent(1)) == 1 and not desk.core.attempts.table.by_machine_and_id
    assert not any(
        node.health.unresponsive or node.health.consecutive_failures
        for node in desk.core.module.table.nodes.values()
    )


def test_a_release_without_a_body_does_not_prove_not_run() -> None:
    desk = Desk()
    conn = desk.owner()
    desk.ask(conn, 1, "once")
    desk.connect()
    desk.ends(desk.sent(1)[0][0], 1)
    assert desk.replies(1) == [(conn, RELEASE, Cause.RESET)]


# Late and repeated messages


def test_a_second_answer_and_unknown_ids_change_nothing() -> None:
    desk = Desk()
    conn = desk.owner()
    desk.ask(conn, 1)
    desk.connect()
    link, _ = desk.sent(1)[0]
    desk.machine(link, answer(99))
    desk.machine(link, answer(1, "first"))
    desk.machine(link, answer(1, "second"))
    assert [m.body for _, m in desk.to_clients] == ["first"]


@pytest.mark.parametrize(("sort", "is_cancelled"), [("repeat", True), ("keyed", False)])
def test_a_late_answer_is_cancelled_or_kept_by_its_class(sort: str, is_cancelled: bool) -> None:
    desk = Desk()
    conn = desk.owner()
    desk.ask(conn, 1, sort)
    desk.connect()
    link, _ = desk.sent(1)[0]
    desk.feed(ev.ClientMessage(conn, Message(RELEASE, name(1), cause=16)))
    assert desk.to_machines[-1] == (link, Message(RELEASE, name(1), cause=16))  # cancelled at the machine too
    before = len(desk.to_machines)
    desk.machine(link, answer(1))
    assert [m.cause for _, m in desk.to_machines[before:]] == ([Cause.CANCELLED] if is_cancelled else [])
    assert desk.replies(1) == []


def test_a_duplicate_of_a_running_task_is_cancelled_on_any_connection_of_its_machine() -> None:
    desk = Desk(machines=3)
    conn = desk.owner()
    desk.ask(conn, 1)
    desk.connect()
    first, _ = desk.sent(1)[0]
    address = desk.up[first]
    desk.feed(ev.LinkLost(first, frozenset()))
    desk.connect()
    second, _ = desk.sent(1)[1]
    desk.machine(second, answer(1))
    desk.ask(conn, 2)
    desk.connect()
    new_link = next((k for k, a in desk.up.items() if a == address), None)
    if new_link is None:
        desk.core.links.pool.dial(next(m for m in desk.core.links.machines.values() if m.address == address))
        desk._take(desk.core.loop.actions)
        desk.connect()
        new_link = next(k for k, a in desk.up.items() if a == address)
    desk.machine(new_link, answer(1))
    assert desk.to_machines[-1] == (new_link, Message(RELEASE, name(1), cause=Cause.CANCELLED))
    assert [w[1] for w in desk.replies(1)] == [ANSWER]


# Running tasks do not depend on a connection


def test_a_release_counts_on_any_connection_to_its_machine_and_on_no_other() -> None:
    desk = Desk(machines=2)
    conn = desk.owner()
    link = desk.place(conn, 1)
    address = desk.up[link]
    desk.feed(ev.LinkLost(link, frozenset()))
    assert [w[1] for w in desk.replies(1)] == [ANSWER]  # the task runs on
    desk.passes(300_000)
    other = next(k for k, a in desk.up.items() if a == address)
    wrong = next((k for k, a in desk.up.items() if a != address), None)
    if wrong is not None:
        desk.ends(wrong, 1)
        assert len(desk.replies(1)) == 1
    desk.ends(other, 1)
    assert desk.replies(1)[-1] == (conn, RELEASE, Cause.ENDED)


def test_a_release_goes_to_another_connection_of_the_client_or_waits_for_one() -> None:
    desk = Desk()
    one, two, other = desk.owner("a"), desk.owner("a"), desk.owner("b")
    first, second = desk.place(one, 1), desk.place(one, 2)
    desk.feed(ev.ClientDisconnected(one))
    desk.ends(first, 1)
    assert desk.replies(1)[-1] == (two, RELEASE, Cause.ENDED)
    desk.passes(2 * SECOND)
    desk.feed(ev.ClientDisconnected(two))
    desk.ends(second, 2)
    assert [w[1] for w in desk.replies(2)] == [ANSWER]
    third = desk.owner("a")
    assert desk.replies(2)[-1] == (third, RELEASE, Cause.ENDED)
    assert all(c != other for c, _ in desk.to_clients)
    assert not desk.core.sessions.pending_releases


def test_a_release_that_was_written_as_its_connection_broke_is_sent_again() -> None:
    desk = Desk()
    one = desk.owner("a")
    link = desk.place(one, 1)
    desk.ends(link, 1)
    desk.feed(ev.ClientDisconnected(one), after=200_000)
    two = desk.owner("a")
    assert desk.replies(1)[1:] == [(one, RELEASE, Cause.ENDED), (two, RELEASE, Cause.ENDED)]
    # An acknowledged release is not sent again.
    three = desk.owner("c")
    link = desk.place(three, 3)
    desk.ends(link, 3)
    desk.feed(ev.ClientMessage(three, Message(Kind.ACKNOWLEDGEMENT, name(3))))
    desk.feed(ev.ClientDisconnected(three))
    four = desk.owner("c")
    assert all(c != four for c, _, _ in desk.replies(3))


def test_pending_releases_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_sessions, "MAX_PENDING_RELEASES", 3)
    desk = Desk(machines=6)
    conn = desk.owner("a")
    links = [desk.place(conn, n) for n in range(1, 6)]
    desk.feed(ev.ClientDisconnected(conn))
    for number, link in enumerate(links, 1):
        desk.ends(link, number)
    assert len(desk.core.sessions.pending_releases) == 3 and desk.core.counts["releases_dropped"] == 2
    desk.passes(client_sessions.PENDING_RELEASES_US + SECOND)
    assert not desk.core.sessions.pending_releases


def test_a_client_cancels_its_task_from_any_connection() -> None:
    desk = Desk()
    one, two = desk.owner("a"), desk.owner("a")
    link = desk.place(one, 1)
    desk.feed(ev.ClientMessage(two, Message(RELEASE, name(1), cause=16)))
    assert desk.to_machines[-1] == (link, Message(RELEASE, name(1), cause=Cause.CANCELLED))
    desk.ends(link, 1, Cause.CANCELLED)
    assert [w[1] for w in desk.replies(1)] == [ANSWER]  # a client that cancels a task gets no release for it
    assert not desk.core.attempts.table.by_machine_and_id and not desk.core.tasks.by_id


def test_an_eviction_ends_the_task_here_and_at_its_machine() -> None:
    desk = Desk()
    conn = desk.owner()
    link = desk.place(conn, 1)
    task = desk.core.tasks.by_id[name(1)]
    desk.core.loop.begin(desk.now)
    desk.core.attempts.evict(api.Evict(task.number))
    desk.core._run()
    desk._take(desk.core.loop.actions)
    assert desk.replies(1)[-1] == (conn, Kind.MIGRATE, None)
    assert desk.to_machines[-1] == (link, Message(RELEASE, name(1), cause=Cause.CANCELLED))


# Load reports


def test_a_health_check_requests_a_load_report_for_the_module() -> None:
    """A machine answers a health check with cause 0 without a load report; the load would stay unknown."""
    desk = Desk(machines=1, probes=True, report_fields=("free_cores", "free_memory", "util"))
    conn = desk.owner()
    desk.passes(SECOND)
    desk.ask(conn, 1)
    desk.connect()
    link, test = next((k, m) for k, m in desk.to_machines if m.kind is Kind.HEALTH_CHECK)
    assert test.cause == 1
    load = {"load": "x0:4;x1:20;utilization:0.9"}
    desk.machine(link, Message(Kind.HEALTH_CHECK_RESULT, test.id, load, cause=1))
    (node,) = desk.core.module.table.nodes.values()
    assert node.free == (4.0, 20.0) and node.use == 0.9 / (12 / 16)
    assert not desk.core.health_checks.pending


def test_the_module_counts_the_same_attempts_in_flight_as_the_core() -> None:
    desk = Desk(machines=4)
    for number in range(1, 200):
        conn = desk.owner(f"client {number % 5}")
        desk.ask(conn, number, ("repeat", "keyed", "once")[number % 3])
        desk.connect()
        sent = desk.sent(number)
        if sent and number % 5:
            desk.machine(sent[0][0], answer(number))
        if number % 7 == 0:
            links = [k for k in desk.up if number % 2]
            desk.feed(*[ev.LinkLost(k, frozenset()) for k in links])
        if number % 23 == 0:
            machine = number // 23 % 4 + 1
            desk.list_update(row(machine, born_ms=(1_000 * SECOND + desk.now - 600_000) // 1000))
        if number % 4 == 0 and name(number - 3) in desk.core.tasks.by_id:
            desk.feed(ev.ClientMessage(conn, Message(RELEASE, name(number - 3), cause=16)))
        desk.passes(50_000)
        for node in desk.core.module.table.nodes.values():
            in_flight = [
                a.task.number
                for (m, _), a in desk.core.attempts.table.by_machine_and_id.items()
                if m == node.entry.id and a.state.value in ("waiting", "sent", "running")
            ]
            assert sorted(in_flight) == sorted(a.task.id for a in node.attempts.values())


# Adopted tasks


def test_adopted_tasks_get_no_answer_and_a_release() -> None:
    desk = Desk()
    conn = desk.owner()
    desk.ask(conn, 1, at="s-00000002")
    desk.ask(conn, 1, at="s-00000002")  # a repeated adoption request changes nothing
    assert desk.replies(1) == [] and len(desk.core.tasks.by_id) == 1
    desk.passes(300_000)
    link = next(k for k in desk.up if desk.machine_of(k) == 2)  # the core has dialled it, to receive messages
    desk.ends(link, 1, Cause.RESET, note="ev")
    assert desk.replies(1) == [(conn, RELEASE, Cause.RESET)]


def test_an_adopted_task_ends_if_its_machine_is_not_listed_in_time() -> None:
    desk = Desk()
    conn = desk.owner()
    desk.ask(conn, 1, at="s-0000ffff")
    desk.passes(adoption.LISTING_WAIT_US - SECOND)
    assert desk.replies(1) == []
    desk.passes(2 * SECOND)
    assert not desk.core.adoption.waiting
    assert desk.replies(1) == [(conn, RELEASE, Cause.RESET)] and not desk.core.tasks.by_id


def test_adopted_tasks_that_no_machine_knows_are_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_requests, "ADOPTED_TIMEOUT_US", 5 * SECOND)
    desk = Desk()
    desk.ask(desk.owner(), 1, at="s-00000002")
    desk.passes(client_requests.ADOPTED_SWEEP_US + SECOND)
    assert not desk.core.tasks.by_id


# Misbehaving clients


def test_invalid_requests_are_rejected_and_do_not_reach_the_module() -> None:
    desk = Desk()
    conn = desk.owner()
    for number, changes in enumerate(({"class": "x"}, {"left": "nan"}, {"extras": "cores:nan"}), 1):
        desk.feed(ev.ClientMessage(conn, set_up(number, **changes)))
        assert desk.replies(number) == [(conn, RELEASE, Cause.INVALID)]
    assert not desk.core.module.pending and not desk.to_machines and not desk.dials


def test_another_client_with_an_open_id_does_not_end_the_first_ones_wait() -> None:
    desk = Desk()
    good, bad = desk.owner("a"), desk.owner("b")
    desk.ask(good, 1)
    desk.ask(bad, 1, body="another")
    desk.feed(ev.ClientMessage(bad, Message(RELEASE, name(1), cause=16)))
    desk.feed(ev.ClientDisconnected(bad))
    desk.connect()
    desk.machine(desk.sent(1)[0][0], answer(1))
    assert desk.replies(1) == [(bad, RELEASE, Cause.INVALID), (good, ANSWER, None)]


def test_two_tasks_under_one_id_on_one_connection_both_end() -> None:
    desk = Desk()
    conn = desk.owner()
    desk.ask(conn, 1)
    desk.connect()
    desk.ask(conn, 1, body="another")
    desk.machine(desk.sent(1)[0][0], answer(1))
    assert desk.replies(1) == [(conn, RELEASE, Cause.INVALID)]


def test_a_request_that_is_repeated_on_a_new_connection_is_the_same_task() -> None:
    desk = Desk()
    one, two = desk.owner("a"), desk.owner("a")
    desk.ask(one, 1)
    desk.ask(two, 1)
    desk.feed(ev.ClientDisconnected(one))
    desk.connect()
    assert len(desk.sent(1)) == 1
    desk.machine(desk.sent(1)[0][0], answer(1))
    assert desk.replies(1) == [(two, ANSWER, None)]


def test_unexpected_messages_close_no_connection_with_a_queued_placement_request() -> None:
    """Other messages are handled before placement requests that were read earlier."""
    desk = Desk(machines=1)
    conn = desk.owner()
    desk.core.sessions.has_unread = lambda number: number == conn
    for kind in (Kind.STATUS_UPDATE, Kind.ACKNOWLEDGEMENT):
        desk.feed(ev.ClientMessage(conn, Message(kind, name(77))))
    desk.feed(ev.ClientMessage(conn, Message(RELEASE, name(77), cause=16)))
    assert desk.closed == []
    desk.core.sessions.has_unread = lambda number: False
    desk.ask(conn, 1)
    desk.connect()
    assert desk.sent(1)


def test_a_client_that_acknowledges_a_release_keeps_its_connection() -> None:
    desk = Desk(machines=1)
    first, second = desk.owner(), desk.owner()
    link = desk.place(first, 1)
    desk.feed(ev.ClientDisconnected(first))
    desk.ends(link, 1)
    assert desk.replies(1)[-1][0] == second  # nothing else was sent on this connection
    desk.feed(ev.ClientMessage(second, Message(Kind.ACKNOWLEDGEMENT, name(1))))
    desk.feed(
        ev.ClientMessage(second, Message(Kind.ACKNOWLEDGEMENT, name(1)))
    )  # a repeated acknowledgement changes nothing
    assert desk.closed == []


def test_a_client_that_is_rejected_during_shutdown_keeps_its_connection() -> None:
    """In scenario roll+mass, a connection closed after 17 rejections; 15 placement requests were lost."""
    desk = Desk(machines=1)
    conn = desk.owner()
    desk.feed(ev.ShutdownRequested())
    desk.feed(after=shutdown.ACCEPTING_US + 50_000)
    for number in range(1, 3 * client_sessions.MAX_REJECTIONS):
        desk.ask(conn, number)
    assert desk.closed == []
    assert all(
        desk.replies(n) == [(conn, RELEASE, Cause.BUSY)] for n in range(1, 3 * client_sessions.MAX_REJECTIONS)
    )
    desk.passes(client_sessions.UNRESPONSIVE_US + SECOND)  # it does not count as unresponsive either
    assert desk.closed == []


def test_silent_and_useless_connections_are_closed_and_busy_ones_are_not() -> None:
    desk = Desk(machines=1)
    silent, useless, busy, idle = (desk.owner(c) for c in "abcd")
    desk.feed(ev.ClientMessage(useless, Message(Kind.STATUS_UPDATE, name(77))))
    assert desk.closed == [useless]
    desk.ask(busy, 1)
    desk.feed(ev.ClientMessage(idle, Message(Kind.HEALTH_CHECK, name(5), cause=0)))
    desk.connect()
    desk.passes(client_sessions.UNRESPONSIVE_US + client_requests.SWEEP_US)
    assert desk.closed == [useless, silent]
    desk.passes(client_sessions.IDLE_US)
    assert idle in desk.closed and busy not in desk.closed
    # A connection with a running task is kept, because the release is sent on it.
    desk.ask(busy, 2, left="9000")
    desk.connect()
    desk.machine(desk.sent(2)[0][0], answer(2))
    desk.passes(client_sessions.IDLE_US + SECOND)
    assert busy not in desk.closed


def test_only_connections_without_open_tasks_are_closed_for_a_new_one() -> None:
    desk = Desk()
    busy, running, unused, idle = (desk.owner(c) for c in "abcd")
    desk.place(running, 1)
    desk.ask(busy, 2)
    desk.feed(ev.ClientMessage(idle, Message(Kind.HEALTH_CHECK, name(5), cause=0)))
    idlest = desk.core.sessions.idlest_connection
    assert [idlest(), idlest(), idlest(), idlest()] == [unused, idle, running, None]


def test_open_tasks_are_bounded_in_all_and_for_each_client(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(validation, "BOUNDS", validation.admission.Bounds(6, 4, 8, 10**9))
    desk = Desk(machines=1)
    flood, good = desk.owner("a"), desk.owner("b")
    for number in range(1, 20):
        desk.ask(flood, number)
    assert desk.core.tasks.open_count == 4
    refused = [m for c, m in desk.to_clients if c == flood]
    assert len(refused) == 15 and {m.cause for m in refused} == {Cause.BUSY}
    desk.ask(good, 100)
    assert desk.core.tasks.open_count == 5  # one client cannot use up the whole bound


def test_unacknowledged_releases_of_a_connection_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_sessions, "MAX_UNACKNOWLEDGED", 2)
    desk = Desk(machines=6)
    conn = desk.owner()
    for number in range(1, 6):
        desk.ask(conn, number, at="s-0000ffff")
    desk.passes(adoption.LISTING_WAIT_US + client_requests.SWEEP_US, answering=False)
    assert len(desk.core.sessions.connections[conn].unacknowledged) == 2


def test_a_description_too_long_for_a_machines_line_is_rejected() -> None:
    """The description fits a binary message; escaped, it is three times too long for a machine's line."""
    desk = Desk()
    conn = desk.owner()
    desk.ask(conn, 1, body="\x01" * 8000)
    desk.ask(conn, 2, body="x" * 15_000)
    desk.connect()
    assert desk.replies(1) == [(conn, RELEASE, Cause.INVALID)] and not desk.sent(1)
    assert len(jsonlines.encode(desk.sent(2)[0][1])) <= MAX_MESSAGE_BYTES


def test_withdrawn_tasks_with_a_long_wait_leave_no_timers() -> None:
    desk = Desk()
    conn = desk.owner()
    for number in range(1, 101):
        desk.ask(conn, number, left="4294967295")
        desk.feed(ev.ClientMessage(conn, Message(RELEASE, name(number), cause=16)))
        desk.ask(conn, 1000 + number, at="s-00000001")
        desk.feed(ev.ClientMessage(conn, Message(RELEASE, name(1000 + number), cause=16)))
    desk.passes(10 * SECOND)
    assert len(desk.core.loop._timers) < 10 and not desk.core.module.context.timers


def test_descriptions_are_bounded_and_running_tasks_keep_none(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(task_table, "MAX_OPEN_BYTES", 25_000)
    desk = Desk(machines=6)
    conn = desk.owner()
    for number in range(1, 5):
        desk.ask(conn, number, body="x" * 10_000)
        desk.connect()
    assert [w[2] for w in desk.replies(3) + desk.replies(4)] == [Cause.BUSY] * 2
    desk.machine(desk.sent(1)[0][0], answer(1))
    desk.ask(conn, 5, body="x" * 10_000, at="s-00000001")
    assert desk.core.tasks.open_bytes == 10_000
    assert [len(desk.core.tasks.by_id[name(n)].body) for n in (1, 2, 5)] == [0, 10_000, 0]
    desk.ask(conn, 5, body="y", at="s-00000001")  # another description under this id is still recognised
    assert desk.core.sessions.connections[conn].running_count == 2


# Draining machines, shutdown, stalls


def test_nothing_is_sent_to_a_draining_machine() -> None:
    desk = Desk(machines=1)
    conn = desk.owner()
    desk.ask(conn, 1, "once")  # the task waits for a connection
    desk.list_update(row(1, "DRAINING"))
    desk.connect()
    desk.passes(SECOND)
    assert desk.sent(1) == []
    desk.passes(8 * SECOND)
    assert desk.replies(1)[-1][1:] == (RELEASE, Cause.BUSY)  # the task is proven not run


def test_a_clients_health_check_succeeds_once_ready() -> None:
    desk = Desk()
    conn = desk.owner()
    desk.feed(ev.ClientMessage(conn, Message(Kind.HEALTH_CHECK, name(1), cause=0)))
    assert desk.to_clients == [(conn, Message(Kind.HEALTH_CHECK_RESULT, name(1), cause=1))]


def test_shutdown_answers_all_open_tasks_and_lets_tasks_run_on() -> None:
    desk = Desk(machines=2)
    conn = desk.owner()
    desk.place(conn, 1)
    desk.ask(conn, 2, "keyed")
    desk.connect()
    desk.feed(ev.ShutdownRequested())
    assert not desk.core.shutdown.is_done()
    desk.ask(conn, 3)  # accepted, although the shutdown has begun
    desk.connect()
    assert desk.replies(3) == []
    desk.passes(shutdown.ACCEPTING_US + 50_000)
    desk.ask(conn, 4)
    assert desk.replies(4) == [(conn, RELEASE, Cause.BUSY)]
    desk.passes(shutdown.MAX_DEADLINE_US + shutdown.ACCEPTING_US - shutdown.ANSWER_ALL_US)
    assert desk.replies(2) == [(conn, RELEASE, Cause.RESET)]  # the task is failed, because it may have run
    assert desk.replies(3) == [(conn, RELEASE, Cause.BUSY)]  # the task is shed, because it may be repeated
    assert desk.core.shutdown.is_done()
    assert [w[1] for w in desk.replies(1)] == [ANSWER] and name(1) in desk.core.tasks.by_id


def test_shutdown_sheds_tasks_that_still_wait_for_capacity() -> None:
    desk = Desk(machines=1)
    conn = desk.owner()
    desk.ask(conn, 1, "once", extras="cores:9;memory:2;service:00000000b4d65521")
    desk.connect()
    link = desk.sent(1)[0][0]
    desk.machine(link, answer(1))
    for number in (2, 3):
        desk.ask(conn, number, "once", extras=f"cores:9;memory:2;service:{number:016x}")
    desk.feed(ev.ShutdownRequested())
    desk.ends(link, 1)
    desk.passes(shutdown.ACCEPTING_US + 50_000)
    desk.machine(desk.sent(2)[0][0], answer(2))  # there was capacity in time for one task
    assert desk.sent(3) == [] and not desk.core.shutdown.is_done()
    desk.passes(shutdown.MAX_DEADLINE_US + shutdown.ACCEPTING_US - shutdown.ANSWER_ALL_US)
    assert desk.replies(3) == [(conn, RELEASE, Cause.BUSY)] and desk.core.shutdown.is_done()


def test_a_machine_is_notified_of_an_abandoned_attempt_before_its_client() -> None:
    """During shutdown, a task that may be repeated is shed while its attempt is in flight."""
    desk = Desk(machines=1)
    conn = desk.owner()
    desk.ask(conn, 1)
    desk.connect()
    desk.feed(ev.ShutdownRequested())
    desk.now = desk.core.shutdown.killed_at
    actions = desk.core.handle(desk.now, [ev.TimerDue()])
    sent_types = [
        type(a)
        for a in actions
        if isinstance(a, (ev.SendToClient, ev.SendToMachine)) and a.message.id == name(1)
    ]
    assert sent_types == [ev.SendToMachine, ev.SendToClient]


def test_received_messages_are_handled_before_timers_after_a_stall() -> None:
    desk = Desk(machines=2)
    conn = desk.owner()
    desk.ask(conn, 1, "once", left="8000")
    desk.connect()
    link, _ = desk.sent(1)[0]
    desk.now += 9 * SECOND  # a stall past the deadline, with the answer unread
    read = [ev.ClientMessage(conn, set_up(2)), ev.MachineMessage(link, answer(1))]
    desk._take(desk.core.handle_after_stall(desk.now, read))
    assert [w[1] for w in desk.replies(1)] == [ANSWER]
    desk.connect()
    assert len(desk.sent(2)) == 1


def test_cancellations_are_handled_before_timers_after_a_stall() -> None:
    """A timer that fell due during the stall would otherwise send a task that its client has cancelled."""
    desk = Desk(machines=1)
    conn = desk.owner()
    link = desk.send(conn, 1)
    desk.ends(link, 1, Cause.FULL, note="nq")
    (task,) = desk.core.tasks.by_id.values()
    (machine,) = desk.core.links.machines
    bind = api.Bind(task.number, machine, 0)
    desk.core.loop.call_at(desk.now + SECOND, desk.core.attempts.bind, bind)
    desk.now += 2 * SECOND
    cancellation = ev.ClientMessage(conn, Message(RELEASE, name(1), cause=int(Cause.ENDED)))
    desk._take(desk.core.handle_after_stall(desk.now, [cancellation]))
    desk.passes(SECOND)
    assert len(desk.sent(1)) == 1 and desk.replies(1) == []


def test_every_table_drops_ended_tasks() -> None:
    """Ids are never reused, so an entry that stays after its task has ended would be a leak."""
    desk = Desk(machines=4)
    for number in range(1, 400):
        conn = desk.owner(f"client {number % 7}")
        desk.ask(conn, number, ("repeat", "keyed", "once")[number % 3])
        desk.connect()
        sent = desk.sent(number)
        if sent and number % 4 == 0:
            desk.ends(sent[0][0], number, Cause.ERROR)
        elif sent and number % 4 == 1:
            desk.feed(ev.ClientMessage(conn, Message(RELEASE, name(number), cause=16)))
        elif sent:
            desk.machine(sent[0][0], answer(number))
            desk.ends(sent[0][0], number)
        if number % 50 == 0:
            deleted, new = number // 50, 100 + number // 50
            desk.list_update(row(deleted, "DELETED"), row(new, dial=f"127.8.1.{deleted}:2905"))
        desk.feed(ev.ClientDisconnected(conn), after=100_000)
    desk.passes(45 * SECOND)
    core = desk.core
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
    desk = Desk(machines=1)
    conn = desk.owner()
    desk.ask(conn, 1, "once", left="8000")
    desk.connect()
    for _ in range(client_sessions.MAX_REJECTIONS + 5):
        desk.feed(ev.ClientMessage(conn, Message(Kind.STATUS_UPDATE, name(77))))
    desk.passes(client_sessions.IDLE_US + SECOND)
    assert desk.closed == [] and desk.replies(1) == []


def test_a_connection_with_only_invalid_requests_is_closed() -> None:
    desk = Desk()
    conn = desk.owner()
    for number in range(1, client_sessions.MAX_REJECTIONS + 2):
        desk.ask(conn, number, left="nan")
    assert desk.closed == [conn] and len(desk.to_clients) == client_sessions.MAX_REJECTIONS + 1


def test_the_answer_is_sent_before_the_clients_deadline() -> None:
    desk = Desk(machines=1)
    conn = desk.owner()
    desk.ask(conn, 1, "once", left="1000")
    desk.connect()
    desk.passes(980_000)
    assert desk.replies(1) == [(conn, RELEASE, Cause.RESET)]


def test_a_bind_to_a_draining_machine_results_in_not_sent() -> None:
    """The module makes no such bind; if it did, rule 3 would still hold."""
    desk = Desk(machines=2)
    conn = desk.owner()
    for number in (1, 2, 3, 4):
        desk.place(conn, number)
    desk.list_update(row(1, "DRAINING"))
    desk.ask(conn, 5, "once", left="8000")
    task = desk.core.tasks.by_id[name(5)]
    draining = [m for m in desk.core.links.machines.values() if m.status is api.NodeStatus.DRAINING]
    before = len(desk.to_machines)
    desk.core.loop.begin(desk.now)
    task.attempt = None
    desk.core.attempts.bind(api.Bind(task.number, draining[0].id))
    assert not desk.core.loop.actions and len(desk.to_machines) == before
    outcome = desk.core.loop.module_events[-1]
    assert isinstance(outcome, api.Outcome) and outcome.result is api.Result.NOT_SENT


def test_a_task_of_a_machines_new_incarnation_is_not_lost_with_the_old_one() -> None:
    desk = Desk(machines=1)
    conn = desk.owner()
    desk.ask(conn, 1, at="s-00000001")
    desk.passes(2 * SECOND)
    desk.place(conn, 2)
    desk.list_update(row(1, born_ms=(1_000 * SECOND + desk.now - SECOND) // 1000))
    assert desk.replies(1) == [(conn, RELEASE, Cause.RESET)]
    assert [w[1] for w in desk.replies(2)] == [ANSWER]


def test_a_health_check_is_answered_only_by_the_machine_that_it_was_sent_to() -> None:
    desk = Desk(machines=2, probes=True)
    conn = desk.owner()
    for number in (1, 2, 3, 4):
        desk.place(conn, number)
    desk.passes(SECOND)
    desk.ask(conn, 5)
    desk.connect()
    link, test = [(k, m) for k, m in desk.to_machines if m.kind is Kind.HEALTH_CHECK][-1]
    other = next(k for k, a in desk.up.items() if a != desk.up[link])
    desk.machine(other, Message(Kind.HEALTH_CHECK_RESULT, test.id, cause=1))
    assert test.id in desk.core.health_checks.pending
    desk.machine(link, Message(Kind.HEALTH_CHECK_RESULT, test.id, cause=1))
    assert test.id not in desk.core.health_checks.pending


def test_the_outcome_for_a_disconnected_client_is_final() -> None:
    desk = Desk(machines=1)
    module_events: list[api.Event] = []
    real = desk.core.module.handle

    def handle(now: int, event: api.Event) -> list[api.Action]:
        module_events.append(event)
        return real(now, event)

    desk.core.module.handle = handle  # type: ignore[method-assign]
    conn = desk.owner()
    desk.ask(conn, 1)
    desk.connect()
    desk.feed(ev.ClientDisconnected(conn))
    assert [e.is_final for e in module_events if isinstance(e, api.Outcome)] == [True]


def test_node_list_updates_are_handled_before_machines_messages_after_a_stall() -> None:
    desk = Desk(machines=2)
    conn = desk.owner()
    for number in range(1, 13):
        desk.ask(conn, number, extras=f"cores:0.5;memory:1;service:{number:016x}")
        desk.connect()
        desk.machine(desk.sent(number)[0][0], answer(number))
    assert len(set(desk.up.values())) == 2  # both have a link, so a placement request would be sent at once
    desk.ask(conn, 20, "once", left="8000")
    desk.connect()
    link = desk.sent(20)[0][0]
    other = 3 - desk.machine_of(link)
    drain = desk.node_list.apply(notice(2, row(other, "DRAINING")))[0]
    assert drain is not None
    refusal = Message(RELEASE, name(20), {"note": "nc"}, int(Cause.FULL))
    desk.now += 3 * SECOND
    desk._take(
        desk.core.handle_after_stall(desk.now, [ev.MachineMessage(link, refusal), ev.NodeListUpdated(drain)])
    )
    assert len(desk.sent(20)) == 1


def test_a_connection_with_unhandled_input_is_not_closed() -> None:
    desk = Desk()
    conn, other = desk.owner(), desk.owner("127.8.240.3")
    desk.core.sessions.has_unread = lambda number: number == conn
    desk.passes(3 * SECOND)
    assert desk.closed == [other] and desk.core.sessions.idlest_connection() is None
    desk.core.sessions.has_unread = lambda number: False
    desk.passes(SECOND)
    assert desk.closed == [other, conn]


def test_an_exception_in_the_module_affects_only_its_own_task(monkeypatch: pytest.MonkeyPatch) -> None:
    desk = Desk()
    conn = desk.owner()
    real = desk.core.module.handle

    def handle(now: int, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.TaskRequested) and desk.core.tasks.by_number[event.task.id].id == name(1):
            raise KeyError("a fault")
        return real(now, event)

    monkeypatch.setattr(desk.core.module, "handle", handle)
    desk.core.survives_faults = True
    desk.feed(*(ev.ClientMessage(conn, set_up(n)) for n in (1, 2)))
    desk.connect()
    assert desk.sent(2) and not desk.sent(1) and desk.core.counts["faults"] == 1
    handled: list[api.Event] = []
    monkeypatch.setattr(desk.core.module, "handle", lambda now, event: handled.append(event) or 1 / 0)
    cancelled = (api.TaskCancelled(1), api.TaskCancelled(2))
    desk.core._run_guarded(lambda _: [desk.core.loop.notify_module(event) for event in cancelled], None)
    assert handled == list(cancelled)  # the second event is delivered after the first one failed
    desk.core.survives_faults = False
    monkeypatch.setitem(desk.core._handlers, ev.ClientConnected, lambda event: 1 / 0)
    with pytest.raises(ZeroDivisionError):
        desk.owner()


def test_attempts_are_indexed_by_machine_and_dropped_with_it() -> None:
    """Without the index, removing many machines at once scanned all attempts for each machine."""
    desk = Desk(machines=4)
    conn = desk.owner()
    for number in range(1, 9):
        desk.ask(conn, number, at=f"s-0000000{number % 4 + 1}")
    assert sorted(len(there) for there in desk.core.attempts.table.by_machine.values()) == [2, 2, 2, 2]
    for number in range(1, 9):
        desk.feed(ev.ClientMessage(conn, Message(RELEASE, name(number), cause=16)))
    desk.passes(attempt_table.ABANDONED_US + 2 * attempt_table.SWEEP_US)
    assert not desk.core.attempts.table.by_machine_and_id and not desk.core.attempts.table.by_machine

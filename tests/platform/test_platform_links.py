"""Connections to machines: the pool, liveness, words for machines out of reach."""

from __future__ import annotations

import pytest
from desk import SECOND, Desk, name, row

from stairplank.platform import events as ev
from stairplank.platform import link_checks, link_pool, links, machines, tables
from stairplank.platform.messages import Cause, Kind, Message

RELEASE, ANSWER = Kind.RELEASE, Kind.ANSWER


def test_set_ups_share_a_connection_only_at_the_pools_bound() -> None:
    desk = Desk(machines=1)
    conn = desk.owner()
    for number in range(1, 10):
        desk.ask(conn, number, extras=f"cores:0.5;memory:1;service:{number:016x}")
        desk.connect()
    loads = [len(k.outstanding) for k in desk.core.links.links.values()]
    assert len(loads) == desk.core.links.pool.max_pool == link_pool.MAX_POOL
    assert max(loads) <= 2 and sum(loads) == 9


def test_set_ups_share_a_connection_where_a_handshake_has_its_price() -> None:
    desk = Desk(machines=1)
    desk.core.links.max_outstanding = links.MAX_SHARED
    conn = desk.owner()
    for number in range(1, links.MAX_SHARED + 2):
        desk.ask(conn, number, extras=f"cores:0.5;memory:1;service:{number:016x}")
        assert len(desk.dials) == (1 if number <= links.MAX_SHARED else 2)
    first = min(desk.dials)
    desk.up[first] = desk.dials.pop(first)
    desk.feed(ev.LinkUp(first))
    assert len(desk.core.links.links[first].outstanding) == links.MAX_SHARED
    desk.connect()
    assert sorted(len(k.outstanding) for k in desk.core.links.links.values()) == [1, links.MAX_SHARED]


def test_connections_in_all_are_bounded() -> None:
    desk = Desk(machines=10, sockets=16)
    conn = desk.owner()
    for number in range(1, 60):
        desk.ask(conn, number, extras=f"cores:0.5;memory:1;service:{number:016x}")
        desk.connect()
        assert len(desk.core.links.links) <= 8  # a half
    desk.passes(SECOND)  # what waits for room goes elsewhere
    assert len(desk.core.links.links) + len(desk.core.links.pool.closing) <= 8
    sent = sum(len(desk.sent(n)) for n in range(1, 60))
    assert sent >= 50  # they share


def test_a_spoilt_connection_is_closed_and_takes_only_its_own_along() -> None:
    desk = Desk(machines=1)
    conn = desk.owner()
    for number in (1, 2):
        desk.ask(conn, number, "once", extras=f"cores:1;memory:2;service:{number:016x}")
        desk.connect()
    (one, _), (two, _) = desk.sent(1)[0], desk.sent(2)[0]
    assert one != two
    desk.feed(ev.LinkLost(one, frozenset()))
    assert desk.replies(1)[-1][1:] == (RELEASE, Cause.RESET)
    desk.machine(two, Message(ANSWER, name(2), body="b"))
    assert [w[1] for w in desk.replies(2)] == [ANSWER]


def test_a_connection_on_which_an_answer_did_not_come_is_not_used_again() -> None:
    desk = Desk(machines=1)
    conn = desk.owner()
    desk.ask(conn, 1, left="1000")
    desk.connect()
    silent = desk.sent(1)[0][0]
    desk.passes(1_100_000)
    assert silent in desk.hung
    desk.passes(20 * SECOND)
    desk.ask(desk.owner(), 2)
    desk.connect()
    assert desk.sent(2) and desk.sent(2)[0][0] != silent


def test_one_with_a_set_up_open_is_never_closed_for_idleness() -> None:
    desk = Desk(machines=1)
    conn = desk.owner()
    desk.ask(conn, 1, "once", left="60000")
    desk.connect()
    link = desk.sent(1)[0][0]
    desk.passes(links.IDLE_LINK_US + 3 * SECOND)
    assert link not in desk.hung
    desk.machine(link, Message(RELEASE, name(1), cause=Cause.FULL))
    desk.passes(links.IDLE_LINK_US + SECOND)
    assert link in desk.hung and not desk.core.links.links


def test_a_machine_at_which_tasks_stand_is_dialled_anew_again_and_again() -> None:
    desk = Desk(machines=1)
    conn = desk.owner()
    first = desk.place(conn, 1)
    desk.passes(4 * link_checks.REFRESH_US)
    assert desk.core.counts["dials"] >= 4 and first in desk.hung
    assert 1 <= len(desk.core.links.links) <= 3


def test_one_that_lets_nothing_come_up_is_held_to_be_dead_in_time() -> None:
    desk = Desk(machines=1)
    conn = desk.owner()
    link = desk.place(conn, 1)
    began = desk.now
    while len(desk.replies(1)) < 2 and desk.now < began + 20 * SECOND:
        desk.passes(50_000, answering=False)
        for dial in list(desk.dials):  # nobody answers
            del desk.dials[dial]
            desk.feed(ev.LinkFailed(dial, False))
    assert desk.replies(1)[-1] == (conn, RELEASE, Cause.RESET)
    assert link_checks.UNREACHABLE_US < desk.now - began < 7_700_000  # its end is due within 8 s
    # it comes back with the task: the copy is ended there
    assert link not in desk.up
    desk.ask(conn, 2)
    desk.passes(5 * SECOND)
    assert any(m == Message(RELEASE, name(1), cause=Cause.CANCELLED) for _, m in desk.to_machines)


def test_one_that_is_heard_of_is_not_dead_though_dials_fail() -> None:
    desk = Desk(machines=1)
    conn = desk.owner()
    link = desk.place(conn, 1)
    for _ in range(200):
        desk.passes(50_000, answering=False)
        for dial in list(desk.dials):
            del desk.dials[dial]
            desk.feed(ev.LinkFailed(dial, False))
        tests = [m for k, m in desk.to_machines if k == link and m.kind is Kind.HEALTH_CHECK]
        for test in tests:
            desk.to_machines.remove((link, test))
            desk.machine(link, Message(Kind.HEALTH_CHECK_RESULT, test.id, cause=1))
    assert [w[1] for w in desk.replies(1)] == [ANSWER]


def test_one_that_refuses_connections_is_dead_soon() -> None:
    desk = Desk(machines=1)
    conn = desk.owner()
    link = desk.place(conn, 1)
    desk.feed(ev.LinkLost(link, frozenset()))
    began = desk.now
    while len(desk.replies(1)) < 2 and desk.now < began + 5 * SECOND:
        desk.passes(50_000, answering=False)
        desk.refuse()
    assert desk.now - began < SECOND


def test_what_stood_before_a_machine_started_anew_is_over() -> None:
    desk = Desk(machines=1)
    conn = desk.owner()
    desk.place(conn, 1)
    desk.passes(SECOND)
    born = (1_000 * SECOND + desk.now) // 1000
    desk.list_update(row(1, born_ms=born))
    assert desk.replies(1)[-1] == (conn, RELEASE, Cause.RESET)


def test_a_machine_that_is_gone_may_still_speak_and_is_then_forgotten() -> None:
    desk = Desk(machines=2)
    conn = desk.owner()
    desk.ask(conn, 1, at="s-00000001")
    desk.ask(conn, 2, at="s-00000001")
    desk.passes(300_000)
    link = next(k for k in desk.up if desk.machine_of(k) == 1)
    desk.list_update(row(1, "DELETED"))
    desk.ends(link, 1, Cause.RESET, note="dr")
    assert desk.replies(1) == [(conn, RELEASE, Cause.RESET)] and desk.replies(2) == []
    desk.passes(link_checks.REMOVAL_GRACE_US + SECOND)
    assert desk.replies(2) == [(conn, RELEASE, Cause.RESET)]
    assert len(desk.core.links.machines) == 1 and link in desk.hung


def test_a_new_machine_at_the_address_of_a_gone_one_is_another() -> None:
    desk = Desk(machines=1)
    conn = desk.owner()
    link = desk.place(conn, 1)
    desk.list_update(row(1, "DELETED"), row(9, dial=desk.up[link]))
    desk.passes(5 * SECOND)
    assert desk.replies(1)[-1] == (conn, RELEASE, Cause.RESET)
    desk.ask(conn, 2)
    desk.connect()
    desk.machine(desk.sent(2)[0][0], Message(ANSWER, name(2), body="b"))
    assert desk.core.tasks.by_id[name(2)].attempt is not None
    assert link in desk.hung


def test_words_for_a_machine_out_of_reach_are_bounded() -> None:
    desk = Desk(machines=1)
    machine = next(iter(desk.core.links.machines.values()))
    for number in range(links.MAX_PENDING_MESSAGES + 50):
        desk.core.links.send_message(machine.id, Message(RELEASE, name(number), cause=31), must_arrive=True)
    assert len(machine.pending_messages) == links.MAX_PENDING_MESSAGES


def test_machines_beyond_the_bound_are_not_taken(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(machines, "MAX_MACHINES", 4)
    desk = Desk(machines=3)
    desk.list_update(*(row(n) for n in range(10, 20)))
    assert len(desk.core.links.machines) == len(desk.core.module.table.nodes) == 4


def test_want_of_descriptors_of_our_own_makes_no_machine_dead() -> None:
    desk = Desk(machines=2)
    conn = desk.owner()
    link = desk.place(conn, 1)
    desk.feed(ev.LinkLost(link, frozenset()))
    for _ in range(100):
        desk.passes(50_000, answering=False)
        for dial in list(desk.dials):
            del desk.dials[dial]
            desk.feed(ev.LinkFailed(dial, False, ours=True))
    assert [w[1] for w in desk.replies(1)] == [ANSWER]
    desk.passes(SECOND)
    assert link not in desk.up and desk.up  # it is dialled as soon as that works
    desk.ask(conn, 2, "once")
    assert not any(
        node.health.unresponsive or node.health.consecutive_failures
        for node in desk.core.module.table.nodes.values()
    )


def test_all_that_wait_are_told_where_nobody_listens() -> None:
    desk = Desk(machines=1)
    conn = desk.owner()
    for number in range(1, 6):
        desk.ask(conn, number, extras=f"cores:0.5;memory:1;service:{number:016x}")
    machine = next(iter(desk.core.links.machines.values()))
    assert len(machine.waiting) == 5
    desk.refuse()
    assert not machine.waiting and desk.core.attempts.in_flight == 0


def test_a_release_on_a_connection_that_is_being_closed_counts() -> None:
    """Seen on the long day: it was on its way as the connection was closed, and came again too late."""
    desk = Desk(machines=1)
    conn = desk.owner()
    first = desk.place(conn, 1)
    while first not in desk.hung:
        desk.feed(after=50_000)
        desk.connect()
    desk.core.links.pool.closing.setdefault(first, next(iter(desk.core.links.machines)))
    desk.ends(first, 1)
    assert desk.replies(1)[-1] == (conn, RELEASE, Cause.ENDED)
    desk.feed(ev.LinkLost(first, frozenset()))
    assert not desk.core.links.pool.closing


def test_a_machine_at_which_tasks_stand_is_dialled_at_once_when_a_connection_breaks() -> None:
    desk = Desk(machines=1)
    conn = desk.owner()
    link = desk.place(conn, 1)
    assert not desk.dials
    desk.feed(ev.LinkLost(link, frozenset()))
    assert len(desk.dials) == 1


def test_another_address_means_other_connections() -> None:
    desk = Desk(machines=1)
    conn = desk.owner()
    link = desk.place(conn, 1)
    desk.list_update(row(1, dial="127.8.1.99:2905"))
    assert link in desk.hung
    desk.passes(300_000)
    assert set(desk.up.values()) == {"127.8.1.99:2905"}


def test_a_lost_connection_is_not_counted_among_those_that_are_closing() -> None:
    desk = Desk(machines=3)
    conn = desk.owner()
    desk.ask(conn, 1, "once")
    desk.connect()
    desk.feed(ev.LinkLost(desk.sent(1)[0][0], frozenset()))
    assert not desk.core.links.pool.closing


def test_what_is_out_on_a_connection_that_is_closed_is_called_back_before_it_goes_elsewhere() -> None:
    desk = Desk(machines=3)
    link = desk.send(desk.owner(), 1)
    desk.list_update(
        row(desk.machine_of(link), dial="127.8.1.99:2905")
    )  # a new address: the old connection goes
    desk.connect()
    words = [(k, m.kind, m.cause) for k, m in desk.to_machines if m.id == name(1)]
    assert words[1] == (link, RELEASE, int(Cause.ENDED)) and len(words) == 3
    assert words[2][1] is Kind.PLACE and words[2][0] != link


def test_a_connection_with_a_set_up_out_is_not_closed_to_make_room() -> None:
    desk = Desk(machines=1, sockets=4)  # two connections in all
    conn = desk.owner()
    for number in (1, 2, 3, 4):
        left = "1000" if number < 3 else "6000"
        desk.ask(conn, number, "once", left=left, extras=f"cores:0.5;memory:1;service:{number:016x}")
        desk.connect()
    link = desk.sent(3)[0][0]
    desk.passes(3_500_000)  # the others' answers did not come: both connections are of no more use
    assert link in desk.up and desk.core.links.links[link].is_suspect
    desk.ask(conn, 5, "once", extras="cores:0.5;memory:1;service:0000000000000005")
    assert desk.core.links.machines[desk.core.links.links[link].machine].waiting
    desk.passes(100_000)
    assert link in desk.up
    desk.machine(link, Message(ANSWER, name(3), body="b"))
    assert [w[1] for w in desk.replies(3)] == [ANSWER]


def test_a_set_up_that_goes_again_does_not_go_to_a_machine_that_drains_by_now() -> None:
    desk = Desk(machines=1)
    conn = desk.owner()
    for number in (1, 2):
        desk.ask(conn, number, extras=f"cores:0.5;memory:1;service:{number:016x}")
        desk.connect()
    first = desk.sent(1)[0][0]
    assert desk.sent(2)[0][0] != first
    desk.list_update(row(1, "DRAINING"))
    desk.feed(ev.LinkLost(first, frozenset({name(1)})))  # not every byte of it had left
    desk.passes(300_000)
    assert len(desk.sent(1)) == 1


def test_a_set_up_that_waits_does_not_leave_for_a_machine_that_has_changed_its_group() -> None:
    desk = Desk(machines=1)
    conn = desk.owner()
    desk.ask(conn, 1, "keyed")
    desk.list_update(row(1, block=7))
    desk.connect()
    assert desk.sent(1) == [] and desk.core.counts["withheld_requests"] == 1


def test_a_fleet_with_tasks_everywhere_takes_no_more_connections_than_half_of_the_descriptors() -> None:
    """A probe held 841 connections of 780 descriptors: each machine with tasks was dialled in any case."""
    desk = Desk(machines=1024, sockets=780, planners=256)
    conn = desk.owner()
    for number in range(1, 1025):
        desk.ask(conn, number, at=f"s-{number:08x}")
    table, most, seen = desk.core.links, 0, dict.fromkeys(range(1, 1025), 0)
    ended = 0
    for turn in range(400):
        desk.feed(after=50_000)
        most = max(most, len(table.links) + len(table.pool.closing))
        assert most <= 780 // 2
        new = list(desk.dials)
        desk.connect()
        for link in new:
            number = desk.machine_of(link)
            assert desk.now - seen[number] > link_checks.REFRESH_US or not seen[number]
            seen[number] = desk.now
            if number % 8 == 0 and turn > 200:  # its task has ended: said on the next connection
                desk.ends(link, number)
                ended += 1
    assert most > 200 and ended >= 128
    # each was dialled within the time in which the end of a task is due
    assert all(desk.now - at < 7 * SECOND for number, at in seen.items() if number % 8)
    assert len(table.pool.dial_queue) <= 1024


def test_what_waits_for_room_leaves_as_soon_as_a_connection_has_closed() -> None:
    desk = Desk(machines=6, sockets=4)  # two connections in all
    conn = desk.owner()
    for number in range(1, 7):
        desk.ask(conn, number, at=f"s-{number:08x}")
    desk.passes(SECOND)
    for number in range(11, 17):
        desk.ask(conn, number, "once", extras=f"cores:1;memory:2;service:{number:016x}")
        while not desk.sent(number):
            assert desk.ending or desk.dials  # one is being closed for it, or comes up
            if desk.ending:
                desk.feed(ev.LinkLost(desk.ending.pop(), frozenset()))
            desk.connect()
            assert len(desk.core.links.links) + len(desk.core.links.pool.closing) <= 2
        desk.machine(desk.sent(number)[-1][0], Message(ANSWER, name(number), body="b"))
    assert desk.core.counts["closed_for_capacity"] >= 4


def test_an_attempt_that_gets_no_answer_is_given_up_on_its_connection_before_that_is_closed() -> None:
    """Said after the connection was done with, it was given up only by the close, some time later."""
    desk = Desk(machines=1)
    link = desk.send(desk.owner(), 1)
    while link not in desk.hung:  # nothing else is out on it: it is closed with that
        desk.feed(after=50_000)
    words = [(k, m.kind, m.cause) for k, m in desk.to_machines if m.id == name(1)]
    assert words == [(link, Kind.PLACE, None), (link, RELEASE, int(Cause.ENDED))]


def test_a_machine_that_waits_for_room_is_dialled_though_others_have_set_ups_waiting() -> None:
    """Seen on roll+mass: 78 ends of tasks were not heard for 8 s, as something always waited elsewhere."""
    desk = Desk(machines=6, sockets=4)  # two connections in all
    conn = desk.owner()
    table = desk.core.links
    numbers = list(table.machines)
    table.pool.max_links = 0
    desk.ask(conn, 1, at="s-00000006")
    for _ in range(3):
        desk.feed(after=100_000)
    assert list(table.pool.dial_queue) == [numbers[5]]
    for number in numbers[:5]:
        table.machines[number].waiting.append(tables.HealthCheck("f" * 16, number, desk.now))
        table.pool.dial_queue[number] = None
    table.pool.max_links = 2
    table.pool.dial_queued()
    assert numbers[5] not in table.pool.dial_queue and len(table.pool.dial_queue) == 4


def test_a_machine_that_is_heard_is_dialled_less_often_and_a_silent_one_in_time() -> None:
    def dials(heard: bool) -> int:
        desk = Desk(machines=1)
        link = desk.place(desk.owner(), 1)
        before = desk.core.counts["dials"]
        for _ in range(240):
            desk.passes(100_000)
            if heard and desk.up:
                link = max(desk.up)
                desk.machine(link, Message(Kind.STATUS_UPDATE, name(1), {"note": "c", "value": "1"}))
        return desk.core.counts["dials"] - before

    span = 24 * SECOND
    assert span // link_checks.REFRESH_US - 1 <= dials(False) <= span // link_checks.REFRESH_US
    assert span // link_checks.RENEW_US - 1 <= dials(True) <= span // link_checks.RENEW_US


def test_all_that_wait_leave_with_the_last_connection_that_comes_up() -> None:
    """No dial was under way for the others: they waited until their own time was over."""
    desk = Desk(machines=1)
    conn, table = desk.owner(), desk.core.links
    machine = next(iter(table.machines.values()))
    for number in range(1, table.pool.max_pool + 1):
        desk.ask(conn, number, "once", extras=f"cores:0.1;memory:1;service:{number:016x}")
        desk.connect()
    for link in machine.links.values():
        link.is_suspect = True
    for number in range(101, 104):
        desk.ask(conn, number, "once", extras=f"cores:0.1;memory:1;service:{number:016x}")
    assert len(machine.waiting) == 3 and len(desk.dials) == 1
    desk.connect()
    assert not machine.waiting and all(desk.sent(n) for n in range(101, 104))


def test_what_waited_as_long_as_a_dial_may_take_does_not_leave_when_another_comes_up() -> None:
    """In an outage set-ups piled up, and left at once for the machine as it came back cold."""
    desk = Desk(machines=1)
    conn = desk.owner()
    machine = next(iter(desk.core.links.machines.values()))
    for number in range(1, 4):
        desk.ask(conn, number, extras=f"cores:0.1;memory:1;service:{number:016x}")
    first, *others = desk.dials
    assert len(machine.waiting) == 3 and others
    desk.feed(after=desk.core.links.dial_timeout_us)
    desk.dials.pop(first)
    desk.feed(ev.LinkFailed(first, False))
    assert not machine.waiting
    desk.connect()
    assert not any(desk.sent(number) for number in range(1, 4))


def test_what_waits_for_a_connection_does_not_leave_for_a_machine_that_restarted() -> None:
    """It was placed by what was known of the machine before: as one that is warm."""
    desk = Desk(machines=1)
    desk.ask(desk.owner(), 1)
    desk.list_update(row(1, born_ms=1_000_000 + desk.now // 1000))
    desk.connect()
    assert not desk.sent(1) and desk.core.counts["withheld_requests"] == 1


def crowded(machines: int = 4) -> Desk:
    """Two connections in all, one task at each machine, the first two connected."""
    desk = Desk(machines=machines, sockets=4)
    conn = desk.owner()
    for number in range(1, machines + 1):
        desk.ask(conn, number, at=f"s-{number:08x}")
    desk.feed(after=2 * link_checks.CHECK_ROUNDS * link_checks.CHECK_INTERVAL_US)
    desk.connect()
    assert len(desk.up) == 2
    return desk


def test_no_more_connections_are_closed_for_room_than_machines_wait() -> None:
    desk = crowded()
    table = desk.core.links
    table.pool.dial_queue.clear()
    table.pool.closing.clear()
    table.loop.begin(desk.now)
    waits = next(m for m in table.machines.values() if not m.links)
    for _ in range(3):
        table.pool.dial_or_queue(waits)
    assert len(table.pool.closing) == 1 and len(table.links) == 1


def test_a_machine_that_left_waits_for_no_connection() -> None:
    desk = crowded()
    table = desk.core.links
    waits = next(m for m in table.machines.values() if not m.links)
    table.pool.dial_queue = {waits.id: None}
    table.pool.max_links = 0
    desk.list_update(row(int(waits.name[2:], 16), "DELETED"))
    desk.feed(after=link_checks.REMOVAL_GRACE_US + SECOND)
    assert waits.id not in table.machines and waits.id not in table.pool.dial_queue


def test_the_connection_of_which_its_machine_has_a_newer_one_is_closed_first() -> None:
    desk = Desk(machines=2)
    conn = desk.owner()
    for number in (1, 2):
        desk.ask(conn, number, at=f"s-0000000{number}")
    desk.passes(SECOND)
    table = desk.core.links
    single, double = table.machines.values()
    table.loop.begin(desk.now)
    table.pool.dial(double)
    desk._take(table.loop.actions)
    older = max(double.links.values(), key=lambda k: k.is_up)
    desk.connect()
    older.used_at = desk.now + SECOND  # the one that was used last of all
    table.pool.close_idle(1)
    assert older.number not in table.links and len(single.links) == len(double.links) == 1


def test_room_is_kept_for_the_next_dial() -> None:
    desk = Desk(machines=40, sockets=64)
    conn = desk.owner()
    for number in range(1, 41):
        desk.ask(conn, number, at=f"s-{number:08x}")
    for _ in range(100):
        desk.feed(after=50_000)
        desk.connect()
    desk.feed(after=link_checks.CHECK_INTERVAL_US)
    assert len(desk.core.links.links) <= 32 - 32 // link_pool.FREE_SHARE


def test_one_that_waits_for_room_is_dialled_only_while_it_has_a_use_for_it() -> None:
    desk = crowded()
    table = desk.core.links
    gone, unused = [m for m in table.machines.values() if not m.links]
    gone.removed_at, unused.running_count = desk.now, 0
    table.pool.dial_queue, table.pool.max_links = dict.fromkeys((gone.id, unused.id)), 10
    table.pool.dial_queued()
    assert not table.pool.dial_queue and not gone.links and not unused.links


def test_what_was_lost_on_a_broken_connection_is_asked_for_as_soon_as_there_is_room() -> None:
    desk = Desk(machines=1)
    link = desk.place(desk.owner(), 1)
    desk.core.links.pool.max_links = 0
    desk.feed(ev.LinkLost(link, frozenset()))
    assert not desk.dials
    desk.core.links.pool.max_links = 2
    desk.feed(after=2 * link_checks.CHECK_INTERVAL_US)
    assert len(desk.dials) == 1

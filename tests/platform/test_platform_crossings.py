"""Two events that cross, in the bad order every time: real connections, and a gate before the turns.

Where a mend is at stake, the test failed with it taken out; those under "Answers" were right before.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket as gsocket
from platform_standins import Live, Machine, Owner, cut, held, reset, running

from stairplank.platform import (
    binary,
    client_connections,
    client_requests,
    client_sessions,
    event_queue,
    jsonlines,
    links,
    shutdown,
)
from stairplank.platform import events as ev
from stairplank.platform import service as module
from stairplank.platform.messages import Cause, Kind, Message

Make = Callable[..., Live]


@pytest.fixture
def live(tmp_path: Path) -> Iterator[Make]:
    made: list[Live] = []

    def makes(machines: int = 1, **more: Any) -> Live:
        made.append(Live(tmp_path, machines, **more))
        return made[-1]

    yield makes
    for one in made:
        one.end()


def gives_up(live: Live, owner: Owner, id: str, how: str) -> None:
    """Its owner has left, and the service has read so."""
    if how == "word":
        live.off(owner.say, Message(Kind.RELEASE, id, cause=int(Cause.ENDED)))
    elif how == "reset":
        owner.sock.setsockopt(gsocket.SOL_SOCKET, gsocket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        owner.sock.close()
    else:
        owner.sock.close()
    if how == "word":
        live.until(
            lambda: any(
                isinstance(e, ev.ClientMessage) and e.message.kind is Kind.RELEASE and e.message.id == id
                for e in live.read
            )
        )
    else:
        live.until(lambda: live.has_read(ev.ClientDisconnected))


@pytest.mark.parametrize("how", ["word", "close", "reset"])
def test_a_set_up_whose_client_leaves_while_it_waits_goes_nowhere(live: Make, how: str) -> None:
    """Seen in the code: the giving up was put behind its set-up, which then went out before it."""
    one = live()
    stays, leaves = one.owner("127.0.0.9"), one.owner()
    one.placed(stays, 1)  # a connection to the machine is up and free
    one.hold()
    id = one.off(leaves.ask, 2)
    one.until(lambda: one.has_read(ev.ClientMessage, id))
    gives_up(one, leaves, id, how)
    one.go()
    last = one.placed(stays, 3)
    assert [m.id for m in one.fleet[0].launched()] == [f"{1:016x}", last]


def test_a_client_that_leaves_is_seen_however_many_set_ups_wait(
    live: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Owners were not read at all while so many waited; now what is beyond is turned away."""
    monkeypatch.setattr(event_queue, "PLACEMENTS_MOST", 3)
    one = live()
    owner = one.owner()
    one.placed(owner, 1)
    one.hold()
    ids = [one.off(owner.ask, number) for number in range(2, 7)]
    one.until(lambda: one.has_read(ev.ClientMessage, ids[-1]))
    for id in ids[:2]:
        gives_up(one, owner, id, "word")
    one.go()
    answers = {id: [m.kind for m in one.off(owner.replies, id, 1, 2.0)] for id in ids[2:]}
    assert answers == {ids[2]: [Kind.ANSWER], ids[3]: [Kind.RELEASE], ids[4]: [Kind.RELEASE]}
    assert [m.id for m in one.fleet[0].launched()] == [f"{1:016x}", ids[2]]


def test_a_give_up_is_not_held_up_by_what_machines_refuse(live: Make) -> None:
    """A jam of refusals, each a task to be placed anew, stood before it; the task went out once more."""
    one = live(machines=2)
    owner, number = one.owner(), 1
    while not all(m.launched() for m in one.fleet):  # a connection to each is up and free
        number += 1
        one.placed(owner, number)
    for machine in one.fleet:
        machine.fault = lambda sock, message: True  # says nothing
    id = one.off(owner.ask, 1)
    first = one.until(lambda: next((m for m in one.fleet if id in [s.id for s in m.launched()]), None))
    one.hold()
    full = Message(Kind.RELEASE, id, {"note": "nc"}, int(Cause.FULL))
    one.off(first.say, first.last(id), full)
    one.until(lambda: one.has_read(ev.MachineMessage, id))
    gives_up(one, owner, id, "word")
    one.go()
    one.until(lambda: id not in one.service.core.tasks.by_id and not one.service.driver.queue)
    gevent.sleep(0.05)
    assert [m.id for machine in one.fleet for m in machine.launched()].count(id) == 1


def small_buffers(monkeypatch: pytest.MonkeyPatch) -> None:
    """What a machine does not read lies with us soon, and there is one connection to each."""
    dial = module.address.dial

    def dialled(where: str, wait: float) -> Any:
        sock = dial(where, wait)
        sock.setsockopt(gsocket.SOL_SOCKET, gsocket.SO_SNDBUF, 4096)
        return sock

    monkeypatch.setattr(module.address, "dial", dialled)
    monkeypatch.setattr(links, "POOL_LEAST", 1)
    monkeypatch.setattr(links, "POOL_MOST", 1)


def jammed(one: Live, machine: Machine, owner: Owner) -> list[str]:
    """Set-ups for a machine that does not read, the last of which lie in our buffer to their first byte."""
    machine.reads.clear()
    ids: list[str] = []
    for number in range(10, 400):
        body = f"{number} " + "x" * 9000
        id = f"{number:016x}"
        fields = {"class": "worker", "left": "6000", "key": id}
        fields["extras"] = f"cores:0.01;memory:0.01;service:{id}"
        one.off(owner.say, Message(Kind.SET_UP, id, fields, body=body))
        ids.append(id)
        gevent.sleep(0.02)
        stream = next(iter(one.service.machines.streams.values()))
        before = -1
        while (written := stream._buffer.sent_bytes) != before:
            before = written
            gevent.sleep(0.2)  # what the system still takes
        if sum(message.begin >= written for message in stream._buffer._marked) >= 2:
            return ids
    raise AssertionError("all of it left")


@pytest.mark.parametrize("why", ["given up", "drain"])
def test_what_lies_in_a_buffer_leaves_only_if_it_may_leave_then(
    live: Make, monkeypatch: pytest.MonkeyPatch, why: str
) -> None:
    small_buffers(monkeypatch)
    one = live()
    machine, owner = one.fleet[0], one.owner()
    machine.listener.setsockopt(gsocket.SOL_SOCKET, gsocket.SO_RCVBUF, 4096)
    one.placed(owner, 1)
    last = jammed(one, machine, owner)[-1]
    if why == "drain":
        one.board.tell(machine.row("DRAINING"))
        one.until(lambda: one.service.node_list.revision == 2)
    else:
        gives_up(one, owner, last, "word")
    one.until(lambda: not one.service.driver.queue)
    machine.reads.set()
    one.until(lambda: not any(s._buffer for s in one.service.machines.streams.values()))
    if why == "drain":
        one.until(lambda: one.service.core.counts.get("withdrawn_unsent"))
    else:
        one.until(lambda: any(m.id == last and m.kind is Kind.RELEASE for _, m in machine.heard))
    gevent.sleep(0.2)
    assert last not in [m.id for m in machine.launched()]


def test_an_idle_connection_is_not_closed_over_a_set_up_that_lies_in_its_socket(
    live: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_sessions, "IDLE_US", 300_000)
    one = live()
    owner = one.owner()
    one.off(owner.say, Message(Kind.TEST, f"{1:016x}", cause=0))
    assert one.off(owner.replies, f"{1:016x}")
    choked = [True]
    monkeypatch.setattr(one.service.driver.queue, "must_wait", lambda conn: choked[0])
    one.off(owner.say, Message(Kind.TEST, f"{2:016x}", cause=0))  # read, and from then on no more
    assert one.off(owner.replies, f"{2:016x}")
    id = one.off(owner.ask, 3)
    gevent.sleep((client_sessions.IDLE_US + 3 * client_requests.SWEEP_US) / 1e6)
    choked[0] = False
    assert [m.kind for m in one.off(owner.replies, id)] == [Kind.ANSWER]


def test_no_connection_with_something_unread_is_closed_for_room(
    live: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    one = live()
    one.service.clients.max_connections = 2
    first, second = one.owner(), one.owner("127.0.0.9")
    for number, owner in ((1, first), (2, second)):  # the first has been quiet for longer
        one.off(owner.say, Message(Kind.TEST, f"{number:016x}", cause=0))
        assert one.off(owner.replies, f"{number:016x}")
    one.service.driver.queue.must_wait = lambda conn: True  # type: ignore[method-assign]
    one.off(first.say, Message(Kind.TEST, f"{3:016x}", cause=0))
    assert one.off(first.replies, f"{3:016x}")
    id = one.off(first.ask, 4)
    one.until(lambda: next(s for s in one.service.clients.streams.values()).is_readable())
    third = one.owner("127.0.0.8")
    one.until(lambda: one.off(second.closed_within, 0.1))
    del one.service.driver.queue.must_wait
    assert [m.kind for m in one.off(first.replies, id)] == [Kind.ANSWER]
    third.sock.close()


@pytest.mark.parametrize("word", ["set-up", "held"])
def test_an_idle_connection_is_not_closed_over_a_word_that_is_in_hand(
    live: Make, monkeypatch: pytest.MonkeyPatch, word: str
) -> None:
    """The timer of idle connections falls due in the very turn that handles the word."""
    monkeypatch.setattr(client_sessions, "IDLE_US", 100_000)
    monkeypatch.setattr(client_requests, "SWEEP_US", 300_000)
    one = live()
    owner = one.owner()
    one.placed(one.owner("127.0.0.9"), 1)
    one.off(owner.say, Message(Kind.TEST, f"{1:016x}", cause=0))
    assert one.off(owner.replies, f"{1:016x}")
    one.board.frozen = True  # the turn begins with nothing else
    gevent.sleep(0.1)
    one.until(lambda: not one.service.driver.queue)
    one.hold()
    id = f"{7:016x}"
    if word == "held":
        one.off(hands_over, owner, 7, one.fleet[0].name)
    else:
        one.off(owner.ask, 7)
    one.until(lambda: one.has_read(ev.ClientMessage, id))
    gevent.sleep(0.5)  # time for the sweep, which no turn has felt
    one.go()
    if word == "held":
        one.until(lambda: id in one.service.core.tasks.by_id)
    else:
        assert [m.kind for m in one.off(owner.replies, id)] == [Kind.ANSWER]


# Leaving


def test_what_a_machine_says_as_a_planner_leaves_is_told_to_its_owner(live: Make) -> None:
    """Connections to machines are closed, and read out, before those to owners are."""
    one = live()
    owner = one.owner()
    id = one.placed(owner, 1)
    one.fleet[0].last_words.append(Message(Kind.RELEASE, id, cause=int(Cause.ENDED)))
    one.service.stop()
    words = one.off(owner.replies, id, 2)
    assert [(m.kind, m.cause) for m in words[1:]] == [(Kind.RELEASE, Cause.ENDED)]
    one.until(lambda: one.runs.dead)


def test_a_set_up_that_has_begun_to_come_is_answered_before_a_planner_leaves(
    live: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(shutdown, "LEAVING_US", 50_000)
    monkeypatch.setattr(module, "PARTIAL_MESSAGE_GRACE_US", 60_000_000)
    monkeypatch.setattr(client_connections, "PARTIAL_MESSAGE_TIMEOUT_S", 60.0)
    one = live()
    owner = one.owner()
    id = f"{1:016x}"
    fields = {"class": "worker", "left": "6000", "key": id, "extras": f"cores:1;memory:1;service:{id}"}
    data = binary.encode(Message(Kind.SET_UP, id, fields, body="b"))
    one.off(owner.sock.sendall, data[:40])
    one.until(lambda: any(s.has_partial_message for s in one.service.clients.streams.values()))
    one.service.stop()
    one.until(lambda: one.service.core.shutdown.is_done())
    gevent.sleep(0.2)
    assert not one.runs.dead
    one.off(owner.sock.sendall, data[40:])
    assert [(m.kind, m.cause) for m in one.off(owner.replies, id)] == [(Kind.RELEASE, Cause.BUSY)]
    one.until(lambda: one.runs.dead)


def test_the_time_of_leaving_runs_from_the_signal_not_from_the_turn_that_hears_of_it(live: Make) -> None:
    one = live()
    one.hold()
    one.service.stop()
    came = one.service._stop_requested_at
    gevent.sleep(0.3)
    one.go()
    one.until(lambda: one.service.core.shutdown.leaving_at)
    assert one.service.core.shutdown.leaving_at == came


def test_a_file_that_is_being_written_as_the_signal_comes_is_read_again(live: Make) -> None:
    one = live()
    whole = Path(one.service.path).read_text()
    Path(one.service.path).write_text(whole[: len(whole) // 2])
    gevent.spawn(one.service.reload)
    gevent.sleep(0.05)
    Path(one.service.path).write_text(whole.replace(one.board.address, "127.0.0.1:9"))
    one.until(lambda: one.service.node_watch.address == "127.0.0.1:9")


# Hand-overs


def hands_over(owner: Owner, number: int, machine: str) -> str:
    id = f"{number:016x}"
    extras = f"cores:1;memory:2;service:{id};at:{machine}"
    owner.ask(number, extras=extras)
    return id


def test_a_task_at_a_machine_that_the_list_does_not_name_yet_stands(live: Make) -> None:
    """Its owner was told that it is over, while it ran: it would be run twice."""
    one = live(machines=2, known=1)
    one.until(lambda: one.service.node_list.revision == 1)
    owner = one.owner()
    holder = one.fleet[1]
    one.board.frozen = True
    id = one.off(hands_over, owner, 7, holder.name)
    one.until(lambda: one.has_read(ev.ClientMessage, id))
    assert one.off(owner.replies, id, 1, 0.3) == []
    one.board.frozen = False
    one.board.tell(holder.row())
    one.until(lambda: holder.socks)  # it is dialled, and heard
    holder.say(holder.socks[-1], Message(Kind.RELEASE, id, cause=int(Cause.ENDED)))
    assert [(m.kind, m.cause) for m in one.off(owner.replies, id)] == [(Kind.RELEASE, Cause.ENDED)]


def test_one_that_its_owner_ends_before_the_list_names_its_machine_is_ended_there(live: Make) -> None:
    one = live(machines=2, known=1)
    owner = one.owner()
    holder = one.fleet[1]
    one.board.frozen = True
    id = one.off(hands_over, owner, 7, holder.name)
    one.off(owner.say, Message(Kind.RELEASE, id, cause=int(Cause.CANCELLED)))
    one.until(lambda: one.has_read(ev.ClientMessage, id) and not one.service.core.tasks.by_id)
    one.board.tell(holder.row())
    one.board.frozen = False
    one.placed(owner, 8)
    one.until(lambda: one.service.core.adoption.waiting == {})
    one.until(
        lambda: (
            one.service.core.links.machines
            and any(
                m.pending_messages or m.links
                for m in one.service.core.links.machines.values()
                if m.name == holder.name
            )
        )
    )


def test_a_task_whose_end_came_before_it_was_handed_over_is_over(live: Make) -> None:
    """It stood for good: its machine had said its last word on it."""
    one = live()
    owner = one.owner()
    one.placed(owner, 1)
    machine = one.fleet[0]
    id = f"{7:016x}"
    machine.say(machine.socks[-1], Message(Kind.RELEASE, id, cause=int(Cause.ENDED)))
    one.until(lambda: one.has_read(ev.MachineMessage, id) and not one.service.driver.queue)
    one.off(hands_over, owner, 7, machine.name)
    assert [(m.kind, m.cause) for m in one.off(owner.replies, id)] == [(Kind.RELEASE, Cause.ENDED)]
    assert list(one.service.core.tasks.by_id) == [f"{1:016x}"]


@pytest.mark.parametrize("noted", [False, True])
def test_a_restart_that_is_told_after_a_hand_over_ends_what_its_machine_does_not_speak_of(
    live: Make, noted: bool
) -> None:
    """It stood for good: the machine had started anew before, and knew nothing of it."""
    one = live()
    owner = one.owner()
    born = int(time.time() * 1000)
    one.placed(owner, 1)
    machine = one.fleet[0]
    gevent.sleep(0.05)
    id = one.off(hands_over, owner, 7, machine.name)
    one.until(lambda: id in one.service.core.tasks.by_id)
    if noted:
        note = Message(Kind.NOTE, id, {"note": "live", "value": "1"})
        machine.say(machine.socks[-1], note)
        one.until(lambda: one.service.core.tasks.by_id[id].attempt.noted)  # type: ignore[union-attr]
    one.board.tell(machine.row() | {"born_ms": born})
    one.until(lambda: one.service.node_list.revision == 2 and not one.service.driver.queue)
    words = [(m.kind, m.cause) for m in one.off(owner.replies, id, 1, 0.5 if noted else 20.0)]
    assert words == ([] if noted else [(Kind.RELEASE, Cause.RESET)])


# Answers


@pytest.mark.parametrize("after", [0, 1, 40, -1])
def test_an_answer_that_is_cut_anywhere_fails_and_proves_nothing(live: Make, after: int) -> None:
    one = live()
    owner = one.owner()
    one.fleet[0].fault = cut(after)
    id = one.off(owner.ask, 1, "ingest")
    assert [(m.kind, m.cause) for m in one.off(owner.replies, id)] == [(Kind.RELEASE, Cause.RESET)]
    assert len(one.fleet[0].launched()) == 1


@pytest.mark.parametrize("sort", ["worker", "ingest"])
def test_an_answer_that_comes_after_the_give_up_is_nobodys(live: Make, sort: str) -> None:
    one = live()
    owner, gate, machine = one.owner(), threading.Event(), one.fleet[0]
    machine.fault = held(gate, Kind.ANSWER)
    id = one.off(owner.ask, 1, sort)
    one.until(machine.launched)
    gives_up(one, owner, id, "word")
    given_up = one.until(lambda: [m for _, m in machine.heard if m.kind is Kind.RELEASE])
    gate.set()
    one.until(lambda: one.has_read(ev.MachineMessage, id) and not one.service.driver.queue)
    machine.fault = None
    one.placed(owner, 2)
    assert [m.id for m in owner.received if m.id == id] == [] and [m.id for m in given_up] == [id]
    assert list(one.service.core.tasks.by_id) == [f"{2:016x}"]


def test_a_second_answer_some_milliseconds_late_is_not_passed_on(live: Make) -> None:
    one = live()
    owner, gate, machine = one.owner(), threading.Event(), one.fleet[0]
    machine.fault = held(gate, Kind.ANSWER)
    id = one.off(owner.ask, 1)
    one.until(machine.launched)
    gate.set()
    assert [m.kind for m in one.off(owner.replies, id)] == [Kind.ANSWER]
    one.read.clear()
    machine.say(machine.last(id), running(machine.launched()[0]))
    one.until(lambda: one.has_read(ev.MachineMessage, id) and not one.service.driver.queue)
    one.placed(owner, 2)
    assert [m.kind for m in owner.received if m.id == id] == [Kind.ANSWER]


def test_an_answer_that_is_read_with_a_reset_behind_it_counts(live: Make) -> None:
    one = live()
    owner = one.owner()

    def answers_and_dies(sock: Any, message: Message) -> bool:
        sock.sendall(jsonlines.encode(running(message)))
        reset(sock)
        return True

    one.fleet[0].fault = answers_and_dies
    one.hold()
    id = one.off(owner.ask, 1)
    one.until(lambda: one.has_read(ev.ClientMessage, id))
    one.go()
    assert [m.kind for m in one.off(owner.replies, id)][0] is Kind.ANSWER

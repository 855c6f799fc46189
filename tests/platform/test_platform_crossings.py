"""Two events that cross, in the bad order every time: real connections, and a gate before the turns.

Where a fix is at stake, the test failed without it; those under "Answers" were right before.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest
from departures import fill_send_buffer, leave_and_notice, shrink_buffers
from gevent import socket as gsocket
from platform_standins import (
    FakeClient,
    MakeService,
    delayed,
    live_services,
    reset,
    running_answer,
    truncated,
)

from stairplank.platform import (
    binary,
    client_connections,
    client_requests,
    client_sessions,
    event_queue,
    jsonlines,
    shutdown,
)
from stairplank.platform import events as ev
from stairplank.platform import service as module
from stairplank.platform.messages import Cause, Kind, Message


@pytest.fixture
def live(tmp_path: Path) -> Iterator[MakeService]:
    yield from live_services(tmp_path)


@pytest.mark.parametrize("how", ["cancel", "close", "reset"])
def test_a_placement_request_whose_client_leaves_while_it_waits_goes_nowhere(
    live: MakeService, how: str
) -> None:
    """Seen in the code: the cancellation was queued behind its request, which was then sent before it."""
    one = live()
    stays, leaves = one.connect_client("127.0.0.9"), one.connect_client()
    one.place(stays, 1)  # a connection to the machine is up and free
    one.pause()
    id = one.run_in_thread(leaves.request_placement, 2)
    one.wait_until(lambda: one.has_read(ev.ClientMessage, id))
    leave_and_notice(one, leaves, id, how, (ev.ClientDisconnected,))
    one.resume()
    last = one.place(stays, 3)
    assert [m.id for m in one.machines[0].placement_requests()] == [f"{1:016x}", last]


def test_a_client_that_leaves_is_noticed_however_many_placement_requests_wait(
    live: MakeService, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Clients were not read at all while so many waited; now what is beyond is rejected."""
    monkeypatch.setattr(event_queue, "MAX_PLACEMENTS", 3)
    one = live()
    client = one.connect_client()
    one.place(client, 1)
    one.pause()
    ids = [one.run_in_thread(client.request_placement, number) for number in range(2, 7)]
    one.wait_until(lambda: one.has_read(ev.ClientMessage, ids[-1]))
    for id in ids[:2]:
        leave_and_notice(one, client, id, "cancel")
    one.resume()
    answers = {id: [m.kind for m in one.run_in_thread(client.replies, id, 1, 2.0)] for id in ids[2:]}
    assert answers == {ids[2]: [Kind.ANSWER], ids[3]: [Kind.RELEASE], ids[4]: [Kind.RELEASE]}
    assert [m.id for m in one.machines[0].placement_requests()] == [f"{1:016x}", ids[2]]


def test_a_cancellation_is_not_delayed_by_what_machines_reject(live: MakeService) -> None:
    """Many rejections, each a task to be placed again, were queued before it; the task was sent once more."""
    one = live(machines=2)
    client, number = one.connect_client(), 1
    while not all(m.placement_requests() for m in one.machines):  # a connection to each is up and free
        number += 1
        one.place(client, number)
    for machine in one.machines:
        machine.fault = lambda sock, message: True  # answers nothing
    id = one.run_in_thread(client.request_placement, 1)
    first = one.wait_until(
        lambda: next((m for m in one.machines if id in [s.id for s in m.placement_requests()]), None)
    )
    one.pause()
    full = Message(Kind.RELEASE, id, {"note": "nc"}, int(Cause.FULL))
    one.run_in_thread(first.send, first.connection_of(id), full)
    one.wait_until(lambda: one.has_read(ev.MachineMessage, id))
    leave_and_notice(one, client, id, "cancel")
    one.resume()
    one.wait_until(lambda: id not in one.service.core.tasks.by_id and not one.service.driver.queue)
    gevent.sleep(0.05)
    assert [m.id for machine in one.machines for m in machine.placement_requests()].count(id) == 1


@pytest.mark.parametrize("why", ["cancelled", "drain"])
def test_what_lies_in_a_send_buffer_is_sent_only_if_it_may_be_sent_then(
    live: MakeService, monkeypatch: pytest.MonkeyPatch, why: str
) -> None:
    shrink_buffers(monkeypatch)
    one = live()
    machine, client = one.machines[0], one.connect_client()
    machine.listener.setsockopt(gsocket.SOL_SOCKET, gsocket.SO_RCVBUF, 4096)
    one.place(client, 1)
    last = fill_send_buffer(one, machine, client)[-1]
    if why == "drain":
        one.node_list_service.publish(machine.row("DRAINING"))
        one.wait_until(lambda: one.service.node_list.revision == 2)
    else:
        leave_and_notice(one, client, last, "cancel")
    one.wait_until(lambda: not one.service.driver.queue)
    machine.reads.set()
    one.wait_until(lambda: not any(s._buffer for s in one.service.machines.streams.values()))
    if why == "drain":
        one.wait_until(lambda: one.service.core.counts.get("withdrawn_unsent"))
    else:
        one.wait_until(lambda: any(m.id == last and m.kind is Kind.RELEASE for _, m in machine.received))
    gevent.sleep(0.2)
    assert last not in [m.id for m in machine.placement_requests()]


def test_an_idle_connection_is_not_closed_over_a_placement_request_in_its_socket(
    live: MakeService, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_sessions, "IDLE_US", 300_000)
    one = live()
    client = one.connect_client()
    one.run_in_thread(client.send, Message(Kind.HEALTH_CHECK, f"{1:016x}", cause=0))
    assert one.run_in_thread(client.replies, f"{1:016x}")
    choked = [True]
    monkeypatch.setattr(one.service.driver.queue, "must_wait", lambda conn: choked[0])
    one.run_in_thread(
        client.send, Message(Kind.HEALTH_CHECK, f"{2:016x}", cause=0)
    )  # read, and from then on no more
    assert one.run_in_thread(client.replies, f"{2:016x}")
    id = one.run_in_thread(client.request_placement, 3)
    gevent.sleep((client_sessions.IDLE_US + 3 * client_requests.SWEEP_US) / 1e6)
    choked[0] = False
    assert [m.kind for m in one.run_in_thread(client.replies, id)] == [Kind.ANSWER]


def test_no_connection_with_something_unread_is_closed_for_room(
    live: MakeService, monkeypatch: pytest.MonkeyPatch
) -> None:
    one = live()
    one.service.clients.max_connections = 2
    first, second = one.connect_client(), one.connect_client("127.0.0.9")
    for number, client in ((1, first), (2, second)):  # the first has been quiet for longer
        one.run_in_thread(client.send, Message(Kind.HEALTH_CHECK, f"{number:016x}", cause=0))
        assert one.run_in_thread(client.replies, f"{number:016x}")
    one.service.driver.queue.must_wait = lambda conn: True  # type: ignore[method-assign]
    one.run_in_thread(first.send, Message(Kind.HEALTH_CHECK, f"{3:016x}", cause=0))
    assert one.run_in_thread(first.replies, f"{3:016x}")
    id = one.run_in_thread(first.request_placement, 4)
    one.wait_until(lambda: next(s for s in one.service.clients.streams.values()).is_readable())
    third = one.connect_client("127.0.0.8")
    one.wait_until(lambda: one.run_in_thread(second.closed_within, 0.1))
    del one.service.driver.queue.must_wait
    assert [m.kind for m in one.run_in_thread(first.replies, id)] == [Kind.ANSWER]
    third.sock.close()


@pytest.mark.parametrize("message", ["placement request", "hand-over"])
def test_an_idle_connection_is_not_closed_over_a_message_that_is_being_handled(
    live: MakeService, monkeypatch: pytest.MonkeyPatch, message: str
) -> None:
    """The timer of idle connections falls due in the very turn that handles the message."""
    monkeypatch.setattr(client_sessions, "IDLE_US", 100_000)
    monkeypatch.setattr(client_requests, "SWEEP_US", 300_000)
    one = live()
    client = one.connect_client()
    one.place(one.connect_client("127.0.0.9"), 1)
    one.run_in_thread(client.send, Message(Kind.HEALTH_CHECK, f"{1:016x}", cause=0))
    assert one.run_in_thread(client.replies, f"{1:016x}")
    one.node_list_service.frozen = True  # the turn begins with nothing else
    gevent.sleep(0.1)
    one.wait_until(lambda: not one.service.driver.queue)
    one.pause()
    id = f"{7:016x}"
    if message == "hand-over":
        one.run_in_thread(hands_over, client, 7, one.machines[0].name)
    else:
        one.run_in_thread(client.request_placement, 7)
    one.wait_until(lambda: one.has_read(ev.ClientMessage, id))
    gevent.sleep(0.5)  # time for the sweep, which no turn has felt
    one.resume()
    if message == "hand-over":
        one.wait_until(lambda: id in one.service.core.tasks.by_id)
    else:
        assert [m.kind for m in one.run_in_thread(client.replies, id)] == [Kind.ANSWER]


# Leaving


def test_what_a_machine_sends_during_a_shutdown_reaches_the_client(live: MakeService) -> None:
    """Connections to machines are closed, and read to their end, before those to clients are."""
    one = live()
    client = one.connect_client()
    id = one.place(client, 1)
    one.machines[0].final_messages.append(Message(Kind.RELEASE, id, cause=int(Cause.ENDED)))
    one.service.stop()
    messages = one.run_in_thread(client.replies, id, 2)
    assert [(m.kind, m.cause) for m in messages[1:]] == [(Kind.RELEASE, Cause.ENDED)]
    one.wait_until(lambda: one.greenlet.dead)


def test_a_placement_request_that_has_begun_to_arrive_is_answered_before_the_shutdown(
    live: MakeService, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(shutdown, "ACCEPTING_US", 50_000)
    monkeypatch.setattr(module, "PARTIAL_MESSAGE_GRACE_US", 60_000_000)
    monkeypatch.setattr(client_connections, "PARTIAL_MESSAGE_TIMEOUT_S", 60.0)
    one = live()
    client = one.connect_client()
    id = f"{1:016x}"
    fields = {"class": "worker", "left": "6000", "key": id, "extras": f"cores:1;memory:1;service:{id}"}
    data = binary.encode(Message(Kind.PLACE, id, fields, body="b"))
    one.run_in_thread(client.sock.sendall, data[:40])
    one.wait_until(lambda: any(s.has_partial_message for s in one.service.clients.streams.values()))
    one.service.stop()
    one.wait_until(lambda: one.service.core.shutdown.is_done())
    gevent.sleep(0.2)
    assert not one.greenlet.dead
    one.run_in_thread(client.sock.sendall, data[40:])
    assert [(m.kind, m.cause) for m in one.run_in_thread(client.replies, id)] == [(Kind.RELEASE, Cause.BUSY)]
    one.wait_until(lambda: one.greenlet.dead)


def test_the_time_of_a_shutdown_runs_from_the_signal_not_from_the_turn_that_handles_it(
    live: MakeService,
) -> None:
    one = live()
    one.pause()
    one.service.stop()
    came = one.service._stop_requested_at
    gevent.sleep(0.3)
    one.resume()
    one.wait_until(lambda: one.service.core.shutdown.requested_at)
    assert one.service.core.shutdown.requested_at == came


def test_a_file_that_is_being_written_as_the_signal_comes_is_read_again(live: MakeService) -> None:
    one = live()
    whole = Path(one.service.path).read_text()
    Path(one.service.path).write_text(whole[: len(whole) // 2])
    gevent.spawn(one.service.reload)
    gevent.sleep(0.05)
    Path(one.service.path).write_text(whole.replace(one.node_list_service.address, "127.0.0.1:9"))
    one.wait_until(lambda: one.service.node_watch.address == "127.0.0.1:9")


# Hand-overs


def hands_over(client: FakeClient, number: int, machine: str) -> str:
    id = f"{number:016x}"
    extras = f"cores:1;memory:2;service:{id};at:{machine}"
    client.request_placement(number, extras=extras)
    return id


def test_a_task_at_a_machine_that_the_list_does_not_name_yet_stands(live: MakeService) -> None:
    """Its client was notified that it had ended, while it ran: it would be run twice."""
    one = live(machines=2, known=1)
    one.wait_until(lambda: one.service.node_list.revision == 1)
    client = one.connect_client()
    holder = one.machines[1]
    one.node_list_service.frozen = True
    id = one.run_in_thread(hands_over, client, 7, holder.name)
    one.wait_until(lambda: one.has_read(ev.ClientMessage, id))
    assert one.run_in_thread(client.replies, id, 1, 0.3) == []
    one.node_list_service.frozen = False
    one.node_list_service.publish(holder.row())
    one.wait_until(lambda: holder.connections)  # it is dialled, and read
    holder.send(holder.connections[-1], Message(Kind.RELEASE, id, cause=int(Cause.ENDED)))
    assert [(m.kind, m.cause) for m in one.run_in_thread(client.replies, id)] == [(Kind.RELEASE, Cause.ENDED)]


def test_a_task_that_ends_before_the_list_names_its_machine_is_ended_there(
    live: MakeService,
) -> None:
    one = live(machines=2, known=1)
    client = one.connect_client()
    holder = one.machines[1]
    one.node_list_service.frozen = True
    id = one.run_in_thread(hands_over, client, 7, holder.name)
    one.run_in_thread(client.send, Message(Kind.RELEASE, id, cause=int(Cause.CANCELLED)))
    one.wait_until(lambda: one.has_read(ev.ClientMessage, id) and not one.service.core.tasks.by_id)
    one.node_list_service.publish(holder.row())
    one.node_list_service.frozen = False
    one.place(client, 8)
    one.wait_until(lambda: one.service.core.adoption.waiting == {})
    one.wait_until(
        lambda: (
            one.service.core.links.machines
            and any(
                m.pending_messages or m.links
                for m in one.service.core.links.machines.values()
                if m.name == holder.name
            )
        )
    )


def test_a_task_whose_end_came_before_it_was_handed_over_is_over(live: MakeService) -> None:
    """It stayed for good: its machine had sent its last message on it."""
    one = live()
    client = one.connect_client()
    one.place(client, 1)
    machine = one.machines[0]
    id = f"{7:016x}"
    machine.send(machine.connections[-1], Message(Kind.RELEASE, id, cause=int(Cause.ENDED)))
    one.wait_until(lambda: one.has_read(ev.MachineMessage, id) and not one.service.driver.queue)
    one.run_in_thread(hands_over, client, 7, machine.name)
    assert [(m.kind, m.cause) for m in one.run_in_thread(client.replies, id)] == [(Kind.RELEASE, Cause.ENDED)]
    assert list(one.service.core.tasks.by_id) == [f"{1:016x}"]


@pytest.mark.parametrize("noted", [False, True])
def test_a_restart_that_is_reported_after_a_hand_over_ends_what_its_machine_does_not_report(
    live: MakeService, noted: bool
) -> None:
    """It stayed for good: the machine had restarted before, and knew nothing of it."""
    one = live()
    client = one.connect_client()
    born = int(time.time() * 1000)
    one.place(client, 1)
    machine = one.machines[0]
    gevent.sleep(0.05)
    id = one.run_in_thread(hands_over, client, 7, machine.name)
    one.wait_until(lambda: id in one.service.core.tasks.by_id)
    if noted:
        note = Message(Kind.STATUS_UPDATE, id, {"note": "live", "value": "1"})
        machine.send(machine.connections[-1], note)
        one.wait_until(lambda: one.service.core.tasks.by_id[id].attempt.last_status_at)  # type: ignore[union-attr]
    one.node_list_service.publish(machine.row() | {"born_ms": born})
    one.wait_until(lambda: one.service.node_list.revision == 2 and not one.service.driver.queue)
    messages = [(m.kind, m.cause) for m in one.run_in_thread(client.replies, id, 1, 0.5 if noted else 20.0)]
    assert messages == ([] if noted else [(Kind.RELEASE, Cause.RESET)])


# Answers


@pytest.mark.parametrize("after", [0, 1, 40, -1])
def test_an_answer_that_is_cut_anywhere_fails_and_proves_nothing(live: MakeService, after: int) -> None:
    one = live()
    client = one.connect_client()
    one.machines[0].fault = truncated(after)
    id = one.run_in_thread(client.request_placement, 1, "ingest")
    assert [(m.kind, m.cause) for m in one.run_in_thread(client.replies, id)] == [(Kind.RELEASE, Cause.RESET)]
    assert len(one.machines[0].placement_requests()) == 1


@pytest.mark.parametrize("sort", ["worker", "ingest"])
def test_an_answer_that_arrives_after_the_cancellation_is_dropped(live: MakeService, sort: str) -> None:
    one = live()
    client, gate, machine = one.connect_client(), threading.Event(), one.machines[0]
    machine.fault = delayed(gate, Kind.ANSWER)
    id = one.run_in_thread(client.request_placement, 1, sort)
    one.wait_until(machine.placement_requests)
    leave_and_notice(one, client, id, "cancel")
    given_up = one.wait_until(lambda: [m for _, m in machine.received if m.kind is Kind.RELEASE])
    gate.set()
    one.wait_until(lambda: one.has_read(ev.MachineMessage, id) and not one.service.driver.queue)
    machine.fault = None
    one.place(client, 2)
    assert [m.id for m in client.received if m.id == id] == [] and [m.id for m in given_up] == [id]
    assert list(one.service.core.tasks.by_id) == [f"{2:016x}"]


def test_a_second_answer_some_milliseconds_late_is_not_passed_on(live: MakeService) -> None:
    one = live()
    client, gate, machine = one.connect_client(), threading.Event(), one.machines[0]
    machine.fault = delayed(gate, Kind.ANSWER)
    id = one.run_in_thread(client.request_placement, 1)
    one.wait_until(machine.placement_requests)
    gate.set()
    assert [m.kind for m in one.run_in_thread(client.replies, id)] == [Kind.ANSWER]
    one.events_read.clear()
    machine.send(machine.connection_of(id), running_answer(machine.placement_requests()[0]))
    one.wait_until(lambda: one.has_read(ev.MachineMessage, id) and not one.service.driver.queue)
    one.place(client, 2)
    assert [m.kind for m in client.received if m.id == id] == [Kind.ANSWER]


def test_an_answer_that_is_read_with_a_reset_behind_it_counts(live: MakeService) -> None:
    one = live()
    client = one.connect_client()

    def answers_and_dies(sock: Any, message: Message) -> bool:
        sock.sendall(jsonlines.encode(running_answer(message)))
        reset(sock)
        return True

    one.machines[0].fault = answers_and_dies
    one.pause()
    id = one.run_in_thread(client.request_placement, 1)
    one.wait_until(lambda: one.has_read(ev.ClientMessage, id))
    one.resume()
    assert [m.kind for m in one.run_in_thread(client.replies, id)][0] is Kind.ANSWER

"""Races between two events, forced into the unfavourable order over real connections.

``LiveService.pause`` holds back the turns of the core while events arrive. Tests of a fix failed without that
fix; the tests under "Answers" passed before as well.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest
from departures import disconnect_and_wait, fill_send_buffer, shrink_buffers
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
from stairplank.platform import service as service_module
from stairplank.platform.messages import Cause, Kind, Message


@pytest.fixture
def make_service(tmp_path: Path) -> Iterator[MakeService]:
    yield from live_services(tmp_path)


@pytest.mark.parametrize("how", ["cancel", "close", "reset"])
def test_a_queued_placement_request_of_a_departed_client_is_not_sent(
    make_service: MakeService, how: str
) -> None:
    """The cancellation was queued behind its request, so the request was sent before it was cancelled."""
    service = make_service()
    remaining, departing = service.connect_client("127.0.0.9"), service.connect_client()
    service.place(remaining, 1)  # brings up a connection to the machine, which is idle afterwards
    service.pause()
    id = service.run_in_thread(departing.request_placement, 2)
    service.wait_until(lambda: service.has_read(ev.ClientMessage, id))
    disconnect_and_wait(service, departing, id, how, (ev.ClientDisconnected,))
    service.resume()
    last = service.place(remaining, 3)
    assert [m.id for m in service.machines[0].placement_requests()] == [f"{1:016x}", last]


def test_a_departed_client_is_noticed_although_the_queue_of_requests_is_full(
    make_service: MakeService, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Clients were not read while the queue of placement requests was full, so a client that left went
    unnoticed. Now requests beyond the bound of the queue are rejected.
    """
    monkeypatch.setattr(event_queue, "MAX_PLACEMENTS", 3)
    service = make_service()
    client = service.connect_client()
    service.place(client, 1)
    service.pause()
    ids = [service.run_in_thread(client.request_placement, number) for number in range(2, 7)]
    service.wait_until(lambda: service.has_read(ev.ClientMessage, ids[-1]))
    for id in ids[:2]:
        disconnect_and_wait(service, client, id, "cancel")
    service.resume()
    answers = {id: [m.kind for m in service.run_in_thread(client.replies, id, 1, 2.0)] for id in ids[2:]}
    assert answers == {ids[2]: [Kind.ANSWER], ids[3]: [Kind.RELEASE], ids[4]: [Kind.RELEASE]}
    assert [m.id for m in service.machines[0].placement_requests()] == [f"{1:016x}", ids[2]]


def test_a_cancellation_is_not_delayed_by_rejections_of_machines(make_service: MakeService) -> None:
    """The cancellation was queued behind rejections, so the rejected task was sent once more before it."""
    service = make_service(machines=2)
    client, number = service.connect_client(), 1
    while not all(m.placement_requests() for m in service.machines):  # until each has an idle connection
        number += 1
        service.place(client, number)
    for machine in service.machines:
        machine.fault = lambda sock, message: True  # sends no answers
    id = service.run_in_thread(client.request_placement, 1)
    first = service.wait_until(
        lambda: next((m for m in service.machines if id in [s.id for s in m.placement_requests()]), None)
    )
    service.pause()
    full = Message(Kind.RELEASE, id, {"note": "nc"}, int(Cause.FULL))
    service.run_in_thread(first.send, first.connection_of(id), full)
    service.wait_until(lambda: service.has_read(ev.MachineMessage, id))
    disconnect_and_wait(service, client, id, "cancel")
    service.resume()
    service.wait_until(
        lambda: id not in service.service.core.tasks.by_id and not service.service.driver.queue
    )
    gevent.sleep(0.05)
    assert [m.id for machine in service.machines for m in machine.placement_requests()].count(id) == 1


@pytest.mark.parametrize("why", ["cancelled", "drain"])
def test_a_message_in_a_send_buffer_is_sent_only_if_it_may_still_be_sent(
    make_service: MakeService, monkeypatch: pytest.MonkeyPatch, why: str
) -> None:
    shrink_buffers(monkeypatch)
    service = make_service()
    machine, client = service.machines[0], service.connect_client()
    machine.listener.setsockopt(gsocket.SOL_SOCKET, gsocket.SO_RCVBUF, 4096)
    service.place(client, 1)
    last = fill_send_buffer(service, machine, client)[-1]
    if why == "drain":
        service.node_list_service.publish(machine.row("DRAINING"))
        service.wait_until(lambda: service.service.node_list.revision == 2)
    else:
        disconnect_and_wait(service, client, last, "cancel")
    service.wait_until(lambda: not service.service.driver.queue)
    machine.may_read.set()
    service.wait_until(lambda: not any(s._buffer for s in service.service.machines.streams.values()))
    if why == "drain":
        service.wait_until(lambda: service.service.core.counts.get("withdrawn_unsent"))
    else:
        service.wait_until(lambda: any(m.id == last and m.kind is Kind.RELEASE for _, m in machine.received))
    gevent.sleep(0.2)
    assert last not in [m.id for m in machine.placement_requests()]


def test_an_idle_connection_with_an_unread_placement_request_is_not_closed(
    make_service: MakeService, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_sessions, "IDLE_US", 300_000)
    service = make_service()
    client = service.connect_client()
    service.run_in_thread(client.send, Message(Kind.HEALTH_CHECK, f"{1:016x}", cause=0))
    assert service.run_in_thread(client.replies, f"{1:016x}")
    is_reading_blocked = [True]
    monkeypatch.setattr(service.service.driver.queue, "must_wait", lambda conn: is_reading_blocked[0])
    service.run_in_thread(
        client.send, Message(Kind.HEALTH_CHECK, f"{2:016x}", cause=0)
    )  # this message is read, and reading blocks after it
    assert service.run_in_thread(client.replies, f"{2:016x}")
    id = service.run_in_thread(client.request_placement, 3)
    gevent.sleep((client_sessions.IDLE_US + 3 * client_requests.SWEEP_US) / 1e6)
    is_reading_blocked[0] = False
    assert [m.kind for m in service.run_in_thread(client.replies, id)] == [Kind.ANSWER]


def test_no_connection_with_unread_bytes_is_closed_for_capacity(
    make_service: MakeService, monkeypatch: pytest.MonkeyPatch
) -> None:
    service = make_service()
    service.service.clients.max_connections = 2
    first, second = service.connect_client(), service.connect_client("127.0.0.9")
    for number, client in ((1, first), (2, second)):  # the first client has been idle for longer
        service.run_in_thread(client.send, Message(Kind.HEALTH_CHECK, f"{number:016x}", cause=0))
        assert service.run_in_thread(client.replies, f"{number:016x}")
    service.service.driver.queue.must_wait = lambda conn: True  # type: ignore[method-assign]
    service.run_in_thread(first.send, Message(Kind.HEALTH_CHECK, f"{3:016x}", cause=0))
    assert service.run_in_thread(first.replies, f"{3:016x}")
    id = service.run_in_thread(first.request_placement, 4)
    service.wait_until(lambda: next(s for s in service.service.clients.streams.values()).is_readable())
    third = service.connect_client("127.0.0.8")
    service.wait_until(lambda: service.run_in_thread(second.closed_within, 0.1))
    del service.service.driver.queue.must_wait
    assert [m.kind for m in service.run_in_thread(first.replies, id)] == [Kind.ANSWER]
    third.sock.close()


@pytest.mark.parametrize("message", ["placement request", "hand-over"])
def test_an_idle_connection_is_not_closed_while_its_message_is_being_handled(
    make_service: MakeService, monkeypatch: pytest.MonkeyPatch, message: str
) -> None:
    """The timer for idle connections expires in the same turn that handles the message."""
    monkeypatch.setattr(client_sessions, "IDLE_US", 100_000)
    monkeypatch.setattr(client_requests, "SWEEP_US", 300_000)
    service = make_service()
    client = service.connect_client()
    service.place(service.connect_client("127.0.0.9"), 1)
    service.run_in_thread(client.send, Message(Kind.HEALTH_CHECK, f"{1:016x}", cause=0))
    assert service.run_in_thread(client.replies, f"{1:016x}")
    service.node_list_service.frozen = True  # no node list update is handled in the same turn
    gevent.sleep(0.1)
    service.wait_until(lambda: not service.service.driver.queue)
    service.pause()
    id = f"{7:016x}"
    if message == "hand-over":
        service.run_in_thread(hand_over_task, client, 7, service.machines[0].name)
    else:
        service.run_in_thread(client.request_placement, 7)
    service.wait_until(lambda: service.has_read(ev.ClientMessage, id))
    gevent.sleep(0.5)  # the sweep for idle connections falls due while the core is paused
    service.resume()
    if message == "hand-over":
        service.wait_until(lambda: id in service.service.core.tasks.by_id)
    else:
        assert [m.kind for m in service.run_in_thread(client.replies, id)] == [Kind.ANSWER]


# Shutdown and reload


def test_a_message_that_a_machine_sends_during_a_shutdown_reaches_the_client(
    make_service: MakeService,
) -> None:
    """Connections to machines are closed and read to the end before connections to clients are closed."""
    service = make_service()
    client = service.connect_client()
    id = service.place(client, 1)
    service.machines[0].final_messages.append(Message(Kind.RELEASE, id, cause=int(Cause.ENDED)))
    service.service.stop()
    messages = service.run_in_thread(client.replies, id, 2)
    assert [(m.kind, m.cause) for m in messages[1:]] == [(Kind.RELEASE, Cause.ENDED)]
    service.wait_until(lambda: service.greenlet.dead)


def test_a_partly_received_placement_request_is_answered_before_the_shutdown(
    make_service: MakeService, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(shutdown, "ACCEPTING_US", 50_000)
    monkeypatch.setattr(service_module, "PARTIAL_MESSAGE_GRACE_US", 60_000_000)
    monkeypatch.setattr(client_connections, "PARTIAL_MESSAGE_TIMEOUT_S", 60.0)
    service = make_service()
    client = service.connect_client()
    id = f"{1:016x}"
    fields = {"class": "worker", "left": "6000", "key": id, "extras": f"cores:1;memory:1;service:{id}"}
    data = binary.encode(Message(Kind.PLACE, id, fields, body="b"))
    service.run_in_thread(client.sock.sendall, data[:40])
    service.wait_until(lambda: any(s.has_partial_message for s in service.service.clients.streams.values()))
    service.service.stop()
    service.wait_until(lambda: service.service.core.shutdown.is_done())
    gevent.sleep(0.2)
    assert not service.greenlet.dead
    service.run_in_thread(client.sock.sendall, data[40:])
    assert [(m.kind, m.cause) for m in service.run_in_thread(client.replies, id)] == [
        (Kind.RELEASE, Cause.BUSY)
    ]
    service.wait_until(lambda: service.greenlet.dead)


def test_the_time_limit_of_a_shutdown_starts_at_the_signal_not_at_the_turn_that_handles_it(
    make_service: MakeService,
) -> None:
    service = make_service()
    service.pause()
    service.service.stop()
    signalled_at = service.service._stop_requested_at
    gevent.sleep(0.3)
    service.resume()
    service.wait_until(lambda: service.service.core.shutdown.requested_at)
    assert service.service.core.shutdown.requested_at == signalled_at


def test_a_settings_file_that_is_written_during_the_reload_signal_is_read_again(
    make_service: MakeService,
) -> None:
    service = make_service()
    settings_text = Path(service.service.path).read_text()
    Path(service.service.path).write_text(settings_text[: len(settings_text) // 2])
    gevent.spawn(service.service.reload)
    gevent.sleep(0.05)
    Path(service.service.path).write_text(
        settings_text.replace(service.node_list_service.address, "127.0.0.1:9")
    )
    service.wait_until(lambda: service.service.node_watch.address == "127.0.0.1:9")


# Adoption of running tasks


def hand_over_task(client: FakeClient, number: int, machine: str) -> str:
    id = f"{number:016x}"
    extras = f"cores:1;memory:2;service:{id};at:{machine}"
    client.request_placement(number, extras=extras)
    return id


def test_a_task_at_a_machine_that_is_not_listed_yet_is_kept(make_service: MakeService) -> None:
    """The client was notified that the task had ended while it was running, so it would start it twice."""
    service = make_service(machines=2, known=1)
    service.wait_until(lambda: service.service.node_list.revision == 1)
    client = service.connect_client()
    machine = service.machines[1]
    service.node_list_service.frozen = True
    id = service.run_in_thread(hand_over_task, client, 7, machine.name)
    service.wait_until(lambda: service.has_read(ev.ClientMessage, id))
    assert service.run_in_thread(client.replies, id, 1, 0.3) == []
    service.node_list_service.frozen = False
    service.node_list_service.publish(machine.row())
    service.wait_until(lambda: machine.connections)  # the planner has a connection to the machine
    machine.send(machine.connections[-1], Message(Kind.RELEASE, id, cause=int(Cause.ENDED)))
    assert [(m.kind, m.cause) for m in service.run_in_thread(client.replies, id)] == [
        (Kind.RELEASE, Cause.ENDED)
    ]


def test_a_task_cancelled_before_its_machine_is_listed_is_ended_at_the_machine(
    make_service: MakeService,
) -> None:
    service = make_service(machines=2, known=1)
    client = service.connect_client()
    machine = service.machines[1]
    service.node_list_service.frozen = True
    id = service.run_in_thread(hand_over_task, client, 7, machine.name)
    service.run_in_thread(client.send, Message(Kind.RELEASE, id, cause=int(Cause.CANCELLED)))
    service.wait_until(
        lambda: service.has_read(ev.ClientMessage, id) and not service.service.core.tasks.by_id
    )
    service.node_list_service.publish(machine.row())
    service.node_list_service.frozen = False
    service.place(client, 8)
    service.wait_until(lambda: service.service.core.adoption.waiting == {})
    service.wait_until(lambda: machine.releases_of(id))


def test_a_task_whose_end_was_reported_before_its_adoption_is_ended(make_service: MakeService) -> None:
    """The task counted as running forever, because its machine had already sent the last message on it."""
    service = make_service()
    client = service.connect_client()
    service.place(client, 1)
    machine = service.machines[0]
    id = f"{7:016x}"
    machine.send(machine.connections[-1], Message(Kind.RELEASE, id, cause=int(Cause.ENDED)))
    service.wait_until(lambda: service.has_read(ev.MachineMessage, id) and not service.service.driver.queue)
    service.run_in_thread(hand_over_task, client, 7, machine.name)
    assert [(m.kind, m.cause) for m in service.run_in_thread(client.replies, id)] == [
        (Kind.RELEASE, Cause.ENDED)
    ]
    assert list(service.service.core.tasks.by_id) == [f"{1:016x}"]


@pytest.mark.parametrize("has_status_update", [False, True])
def test_a_restart_listed_after_an_adoption_ends_tasks_without_a_status_update(
    make_service: MakeService, has_status_update: bool
) -> None:
    """The task counted as running forever although its machine had restarted before and did not know it."""
    service = make_service()
    client = service.connect_client()
    started_ms = int(time.time() * 1000)
    service.place(client, 1)
    machine = service.machines[0]
    gevent.sleep(0.05)
    id = service.run_in_thread(hand_over_task, client, 7, machine.name)
    service.wait_until(lambda: id in service.service.core.tasks.by_id)
    if has_status_update:
        status_update = Message(Kind.STATUS_UPDATE, id, {"note": "live", "value": "1"})
        machine.send(machine.connections[-1], status_update)
        service.wait_until(lambda: service.service.core.tasks.by_id[id].attempt.last_status_at)  # type: ignore[union-attr]
    service.node_list_service.publish(machine.row() | {"born_ms": started_ms})
    service.wait_until(lambda: service.service.node_list.revision == 2 and not service.service.driver.queue)
    messages = [
        (m.kind, m.cause)
        for m in service.run_in_thread(client.replies, id, 1, 0.5 if has_status_update else 20.0)
    ]
    assert messages == ([] if has_status_update else [(Kind.RELEASE, Cause.RESET)])


# Answers


@pytest.mark.parametrize("after", [0, 1, 40, -1])
def test_a_truncated_answer_fails_and_does_not_prove_that_nothing_ran(
    make_service: MakeService, after: int
) -> None:
    service = make_service()
    client = service.connect_client()
    service.machines[0].fault = truncated(after)
    id = service.run_in_thread(client.request_placement, 1, "ingest")
    assert [(m.kind, m.cause) for m in service.run_in_thread(client.replies, id)] == [
        (Kind.RELEASE, Cause.RESET)
    ]
    assert len(service.machines[0].placement_requests()) == 1


@pytest.mark.parametrize("task_class", ["worker", "ingest"])
def test_an_answer_that_arrives_after_the_cancellation_is_dropped(
    make_service: MakeService, task_class: str
) -> None:
    service = make_service()
    client, gate, machine = service.connect_client(), threading.Event(), service.machines[0]
    machine.fault = delayed(gate, Kind.ANSWER)
    id = service.run_in_thread(client.request_placement, 1, task_class)
    service.wait_until(machine.placement_requests)
    disconnect_and_wait(service, client, id, "cancel")
    abandoned = service.wait_until(lambda: [m for _, m in machine.received if m.kind is Kind.RELEASE])
    gate.set()
    service.wait_until(lambda: service.has_read(ev.MachineMessage, id) and not service.service.driver.queue)
    machine.fault = None
    service.place(client, 2)
    assert [m.id for m in client.received if m.id == id] == [] and [m.id for m in abandoned] == [id]
    assert list(service.service.core.tasks.by_id) == [f"{2:016x}"]


def test_a_late_second_answer_is_not_sent_to_the_client(make_service: MakeService) -> None:
    service = make_service()
    client, gate, machine = service.connect_client(), threading.Event(), service.machines[0]
    machine.fault = delayed(gate, Kind.ANSWER)
    id = service.run_in_thread(client.request_placement, 1)
    service.wait_until(machine.placement_requests)
    gate.set()
    assert [m.kind for m in service.run_in_thread(client.replies, id)] == [Kind.ANSWER]
    service.events_read.clear()
    machine.send(machine.connection_of(id), running_answer(machine.placement_requests()[0]))
    service.wait_until(lambda: service.has_read(ev.MachineMessage, id) and not service.service.driver.queue)
    service.place(client, 2)
    assert [m.kind for m in client.received if m.id == id] == [Kind.ANSWER]


def test_an_answer_followed_by_a_connection_reset_is_accepted(make_service: MakeService) -> None:
    service = make_service()
    client = service.connect_client()

    def answer_and_reset(sock: Any, message: Message) -> bool:
        sock.sendall(jsonlines.encode(running_answer(message)))
        reset(sock)
        return True

    service.machines[0].fault = answer_and_reset
    service.pause()
    id = service.run_in_thread(client.request_placement, 1)
    service.wait_until(lambda: service.has_read(ev.ClientMessage, id))
    service.resume()
    assert [m.kind for m in service.run_in_thread(client.replies, id)][0] is Kind.ANSWER

"""A client that closes its connection or cancels has left: no retry begins for it, wherever its task waits.

Real connections; where a guard is at stake, its test fails without the guard.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import gevent
import pytest
from departures import (
    encoded_placement_request,
    fill_send_buffer,
    is_departure_of,
    leave,
    leave_and_notice,
    shrink_buffers,
)
from desk import Desk, name
from gevent.event import Event as Flag
from platform_standins import (
    ROOT,
    FakeClient,
    FakeMachine,
    FakeNodeListService,
    LiveService,
    MakeService,
    PlannerProcess,
    live_services,
    wait_until,
)
from recording_planner import processor_time_ms

from stairplank import interface as api
from stairplank.platform import binary, client_connections, event_queue, jsonlines
from stairplank.platform import events as ev
from stairplank.platform.messages import Cause, Kind, Message
from stairplank.rpc import address

HOW = pytest.mark.parametrize("how", ["cancel", "close", "reset"])
GONE_WITHIN_S = 0.1  # no attempt may begin later


@pytest.fixture
def live(tmp_path: Path) -> Iterator[MakeService]:
    yield from live_services(tmp_path)


def is_withdrawn(one: LiveService, id: str) -> bool:
    return id not in one.service.core.tasks.by_id and not len(one.service.driver.queue)


def attempts(one: LiveService, id: str) -> int:
    return [m.id for machine in one.machines for m in machine.placement_requests()].count(id)


def answers_nothing(sock: Any, message: Message) -> bool:
    return True


@HOW
def test_a_task_that_waits_for_a_dial_goes_nowhere(
    live: MakeService, monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    one = live()
    gate, dial = Flag(), address.dial

    def dials(where: str, wait: float) -> Any:
        if where == one.machines[0].address:
            gate.wait()
        return dial(where, wait)

    monkeypatch.setattr(address, "dial", dials)
    client, other = one.connect_client(), one.connect_client("127.0.0.9")
    id = one.run_in_thread(client.request_placement, 1)
    one.wait_until(lambda: one.service.machines.dials)
    leave_and_notice(one, client, id, how)
    gate.set()
    one.place(other, 2)  # goes out on that very connection
    assert attempts(one, id) == 0


@HOW
def test_a_task_that_waits_for_room_for_a_connection_goes_nowhere(live: MakeService, how: str) -> None:
    one = live(machines=2)
    for machine in one.machines:
        machine.fault = answers_nothing
    one.service.core.links.pool.max_links = 1
    client, other = one.connect_client(), one.connect_client("127.0.0.9")
    first = one.run_in_thread(other.request_placement, 1)
    taken = one.wait_until(lambda: next((m for m in one.machines if m.placement_requests()), None))
    free = next(m for m in one.machines if m is not taken)
    one.node_list_service.publish(taken.row("DRAINING"))
    one.wait_until(lambda: one.service.node_list.revision == 2)
    one.service.core.links.dial_timeout_us = 60_000_000  # it waits as long as it must
    id = one.run_in_thread(client.request_placement, 2)
    one.wait_until(lambda: one.service.core.links.pool.dial_queue)
    leave_and_notice(one, client, id, how)
    free.fault = None
    one.run_in_thread(
        taken.send, taken.connection_of(first), Message(Kind.RELEASE, first, cause=int(Cause.ERROR))
    )
    assert [m.kind for m in one.run_in_thread(other.replies, first)] == [Kind.ANSWER]  # there is room now
    one.place(other, 3)
    assert attempts(one, id) == 0


@HOW
def test_a_task_that_no_machine_fits_goes_nowhere(live: MakeService, how: str) -> None:
    one = live()
    one.node_list_service.publish(one.machines[0].row("DRAINING"))
    one.wait_until(lambda: one.service.node_list.revision == 2)
    client, other = one.connect_client(), one.connect_client("127.0.0.9")
    id = one.run_in_thread(client.request_placement, 1)
    one.wait_until(lambda: id in one.service.core.tasks.by_id)
    leave_and_notice(one, client, id, how)
    one.node_list_service.publish(one.machines[0].row())
    one.place(other, 2)
    assert attempts(one, id) == 0


def waits_for_retry(one: LiveService, client: FakeClient) -> str:
    """A task that two machines have refused: the third attempt waits for a timer. A connection to each
    machine is up and free: it would leave at once."""
    number = 100
    while not all(machine.placement_requests() for machine in one.machines):
        number += 1
        one.place(client, number)

    def refuses(sock: Any, message: Message) -> bool:
        sock.sendall(jsonlines.encode(Message(Kind.RELEASE, message.id, {"note": "nc"}, int(Cause.FULL))))
        return True

    for machine in one.machines:
        machine.fault = refuses
    id = one.run_in_thread(client.request_placement, 1)
    one.wait_until(lambda: attempts(one, id) == 2 and one.service.core.counts.get("ended_refused") == 2)
    for machine in one.machines:
        machine.fault = None
    return id


@pytest.mark.parametrize("when", ["before the timer", "as the timer is due"])
@HOW
def test_a_task_that_waits_for_its_retry_goes_nowhere(live: MakeService, how: str, when: str) -> None:
    """Timers were felt before the events of a turn: the one that is due began a further attempt."""
    one = live(machines=3)
    client, other = one.connect_client(), one.connect_client("127.0.0.9")
    id = waits_for_retry(one, client)
    one.pause()
    leave_and_notice(one, client, id, how)
    if when == "as the timer is due":
        gevent.sleep(0.4)  # the module's timer is set for 0.25 s
    one.resume()
    one.wait_until(lambda: is_withdrawn(one, id))
    gevent.sleep(0.4)
    one.place(other, 2)
    assert attempts(one, id) == 2


@pytest.mark.parametrize("event", [ev.ClientDisconnected(1), ev.ClientHungUp(1), "cancel"])
def test_a_timer_that_is_due_with_a_departure_begins_no_attempt(event: Any) -> None:
    """The same without sockets, for the turn itself; the connection to the machine is up."""
    desk = Desk(machines=1)
    conn = desk.owner()
    link = desk.send(conn, 1)
    desk.ends(link, 1, Cause.FULL, note="nq")
    (task,) = desk.core.tasks.by_id.values()
    (machine,) = desk.core.links.machines
    retry = api.Bind(task.number, machine, 0)
    desk.core.loop.call_at(desk.now + 1_000_000, desk.core.attempts.bind, retry)
    desk.now += 1_100_000
    desk.feed(ev.NodeListConfirmed(), _cancel(1) if event == "cancel" else event)
    desk.connect()
    assert len(desk.sent(1)) == 1


def _cancel(number: int, conn: int = 1) -> ev.ClientMessage:
    return ev.ClientMessage(conn, Message(Kind.RELEASE, name(number), cause=int(Cause.ENDED)))


@HOW
def test_a_task_that_lies_in_a_buffer_behind_a_machine_that_does_not_read_goes_nowhere(
    live: MakeService, monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    shrink_buffers(monkeypatch)
    one = live()
    machine, client = one.machines[0], one.connect_client()
    machine.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    one.place(client, 1)
    id = fill_send_buffer(one, machine, client)[-1]
    leave_and_notice(one, client, id, how)
    one.wait_until(lambda: is_withdrawn(one, id))
    machine.reads.set()
    one.wait_until(lambda: not any(s._buffer for s in one.service.machines.streams.values()))
    one.wait_until(lambda: any(m.id == id and m.kind is Kind.RELEASE for _, m in machine.received))
    assert attempts(one, id) == 0


# While others flood


def flood(one: LiveService, client: FakeClient, count: int) -> None:
    """Messages that wait to be handled."""
    data = b"".join(
        binary.encode(Message(Kind.HEALTH_CHECK, f"{n:016x}", cause=0)) for n in range(1, count + 1)
    )
    one.run_in_thread(client.sock.sendall, data)


@HOW
def test_a_departure_is_read_while_others_fill_the_event_queue(
    live: MakeService, monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    """No client was read while so many events waited."""
    monkeypatch.setattr(event_queue, "MAX_EVENTS", 200)
    one = live(machines=3)
    client, other = one.connect_client(), one.connect_client("127.0.0.9")
    id = waits_for_retry(one, client)
    one.pause()
    flood(one, other, 2000)
    one.wait_until(lambda: one.service.driver.queue.must_wait(2))
    one.run_in_thread(
        client.send, Message(Kind.HEALTH_CHECK, f"{7:016x}", cause=0)
    )  # read, and what comes after it is held back
    one.wait_until(lambda: one.has_read(ev.ClientMessage, f"{7:016x}"))
    gevent.sleep(3 * client_connections.QUEUE_FULL_PAUSE_S)
    leave_and_notice(one, client, id, how)
    assert one.service.driver.queue.is_overloaded()
    one.resume()
    one.wait_until(lambda: is_withdrawn(one, id))
    assert attempts(one, id) == 2


@HOW
def test_a_departure_is_handled_before_thousands_of_other_messages(live: MakeService, how: str) -> None:
    """It came behind them, in the order in which they were read."""
    one = live(machines=3)
    client, other = one.connect_client(), one.connect_client("127.0.0.9")
    id = waits_for_retry(one, client)
    one.pause()
    flood(one, other, 2000)
    one.wait_until(lambda: len(one.service.driver.queue) >= 2000)
    leave_and_notice(one, client, id, how)
    handled: list[ev.Event] = []
    handle = one.service.core.handle

    def handles(now: int, events: list[ev.Event]) -> list[ev.Action]:
        handled.extend(events)
        return handle(now, events)

    one.service.core.handle = handles  # type: ignore[method-assign, assignment]
    one.resume()
    one.wait_until(lambda: is_withdrawn(one, id))
    before = next(n for n, event in enumerate(handled) if is_departure_of(event, id, how))
    assert not any(
        isinstance(e, ev.ClientMessage) and e.message.kind is Kind.HEALTH_CHECK for e in handled[:before]
    )
    assert attempts(one, id) == 2


def test_a_close_is_noticed_behind_all_that_was_sent_before_it(
    live: MakeService, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It lay behind hundreds of requests, which were placed one after the other before it was read."""
    monkeypatch.setattr(event_queue, "MAX_PLACEMENTS", 100)
    monkeypatch.setattr(event_queue, "MAX_EVENTS", 200)
    one = live(machines=3)
    client = one.connect_client()
    id = waits_for_retry(one, client)
    one.pause()
    data = b"".join(
        encoded_placement_request(number) for number in range(10_000, 10_400)
    )  # what a receive buffer holds
    one.run_in_thread(client.sock.sendall, data)
    one.wait_until(one.service.driver.queue.is_overloaded)
    one.run_in_thread(client.sock.close)
    one.wait_until(lambda: one.has_read(ev.ClientHungUp))
    assert one.service.clients.streams[1].is_readable()  # most of it is unread
    gevent.sleep(0.4)  # the timer of the retry is due
    one.resume()
    one.wait_until(lambda: not one.service.driver.queue and 1 not in one.service.clients.streams)
    later = [
        m.id for machine in one.machines for m in machine.placement_requests() if int(m.id, 16) >= 10_000
    ]
    assert attempts(one, id) == 2 and later == []


def test_a_round_of_reading_ends_in_time_however_many_clients_flood(
    live: MakeService, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All that was read of a connection was decoded, four times in a row, before others had their turn."""
    one = live()
    one.machines[0].fault = answers_nothing
    feed = binary.MessageReader.feed

    def slow_feed(reader: binary.MessageReader, data: bytes) -> list[Message]:
        time.sleep(len(data) / 1024 * 0.0015)  # a process that is slow, whatever this machine is
        return feed(reader, data)

    others = [one.connect_client(f"127.0.0.{number}") for number in range(20, 60)]
    client = one.connect_client()
    id = one.run_in_thread(client.request_placement, 1)
    one.wait_until(lambda: attempts(one, id) == 1)
    monkeypatch.setattr(binary.MessageReader, "feed", slow_feed)
    data = [
        b"".join(encoded_placement_request(1000 * n + k, "x" * 5000) for k in range(10))
        for n in range(1, len(others) + 1)
    ]
    for other, sent in zip(others, data, strict=True):
        other.sock.sendall(sent)  # this greenlet does not wait: all of it lies there
    noticed: list[float] = []
    disconnected = one.service.core.requests.disconnected

    def notices(event: ev.ClientDisconnected) -> None:
        noticed.append(time.monotonic())
        disconnected(event)

    one.service.core._handlers[ev.ClientDisconnected] = notices
    left = time.monotonic()
    client.sock.close()
    one.wait_until(lambda: id not in one.service.core.tasks.by_id)
    assert noticed[0] - left < 1.0  # 3 s for all that lies there
    monkeypatch.setattr(binary.MessageReader, "feed", feed)


# The real process, with its whole share of a core in use

FLOODING = 100  # connections
CLIENTS, TASKS = 40, 3  # that leave, and what each waits for
HERE = Path(__file__).parent


class DepartingClients:
    """Clients whose tasks are in flight at machines that answer nothing.

    Each leaves, and 0.15 s later the machines reject its tasks, so that retries would begin.
    """

    def __init__(self, process: PlannerProcess, fleet: list[FakeMachine]) -> None:
        self.process, self.fleet = process, fleet
        self.left: dict[str, float] = {}  # task: the planner's processor time as its client had left, in ms
        self.clients: list[tuple[FakeClient, list[str]]] = []
        for number in range(1, CLIENTS + 1):
            client = FakeClient(process.address, f"127.0.2.{number}")
            self.clients.append((client, [client.request_placement(100 * number + n) for n in range(TASKS)]))
        wait_until(lambda: sum(len(m.placement_requests()) for m in fleet) == CLIENTS * TASKS)

    def leave(self, how: str) -> None:
        for client, ids in self.clients:
            if how == "cancel":
                for id in ids:
                    leave(client, id, how)
            else:
                leave(client, ids[0], how)
            self.left |= dict.fromkeys(ids, processor_time_ms(str(self.process.child.pid)))
            threading.Timer(0.15, self._refuse, (ids,)).start()
            time.sleep(0.02)

    def _refuse(self, ids: list[str]) -> None:
        for machine in self.fleet:
            for id in {m.id for m in machine.placement_requests()} & set(ids):
                with suppress(OSError):  # cancelled, and its connection closed
                    machine.send(
                        machine.connection_of(id), Message(Kind.RELEASE, id, {"note": "nc"}, int(Cause.FULL))
                    )

    def sent(self, kind: Kind) -> dict[str, float]:
        """The last time after its client left, in ms of the planner's processor time, by task."""
        events = [e for e in self.process.events("sent") if e["kind"] == kind.name]
        return {e["id"]: e["cpu_ms"] - self.left[e["id"]] for e in events}


@pytest.mark.parametrize("how, stalls", [("cancel", False), ("close", False), ("close", True)])
def test_a_departure_is_handled_in_time_while_others_use_the_whole_share_of_a_core(
    tmp_path: Path, how: str, stalls: bool
) -> None:
    """Measured in the planner's processor time: that of a machine with other work is no fault of its own.
    After a stall all that came meanwhile was handled in one turn of some tenths of a second."""
    fleet = [FakeMachine(f"s-{n:08x}", answers_nothing) for n in range(1, 7)]
    node_list_service = FakeNodeListService([m.row() for m in fleet])
    process = PlannerProcess(tmp_path, node_list_service, 512, command=(str(HERE / "recording_planner.py"),))
    flood = None
    try:
        clients = DepartingClients(process, fleet)
        run = [sys.executable, str(HERE / "flooding_client.py"), process.address, str(FLOODING)]
        flood = subprocess.Popen(run, env=os.environ | {"PYTHONPATH": str(ROOT)}, stdout=subprocess.PIPE)
        assert flood.stdout is not None and flood.stdout.readline() == b"open\n"
        time.sleep(0.5)
        if stalls:
            process.child.send_signal(signal.SIGSTOP)
            time.sleep(0.4)
            process.child.send_signal(signal.SIGCONT)
        clients.leave(how)
        wait_until(lambda: len(clients.sent(Kind.RELEASE)) == CLIENTS * TASKS)
        time.sleep(0.3)
        most = GONE_WITHIN_S * 1e3
        assert max(clients.sent(Kind.PLACE).values()) <= most
        # After a stall nothing begins for 0.1 s, in which what came meanwhile is read.
        assert max(clients.sent(Kind.RELEASE).values()) <= (2 * most if stalls else most)
    finally:
        if flood is not None:
            flood.kill()
            flood.wait()
        process.close()
        for machine in fleet:
            machine.close()
        node_list_service.close()

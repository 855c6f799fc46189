"""The order in which the service reads, handles and closes, and its bounds on slow or busy peers."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket as gsocket
from platform_config import CONFIG

from stairplank.platform import binary, client_connections, driver, jsonlines, machine_connections, streams
from stairplank.platform import events as ev
from stairplank.platform import node_watch as watching
from stairplank.platform import service as module
from stairplank.platform.config import ConfigError
from stairplank.platform.messages import Kind, Message
from stairplank.platform.service import Service
from stairplank.platform.tables import Link


@pytest.fixture
def service(tmp_path: Path) -> Iterator[Service]:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG))
    service = Service(str(path))
    yield service
    for stream in [*service.machines.streams.values(), *service.clients.streams.values()]:
        stream.close(abort=True)


def record_events(service: Service, monkeypatch: pytest.MonkeyPatch, record: Any) -> None:
    monkeypatch.setattr(service.driver, "enqueue", lambda *events: [record(event) for event in events])


def test_a_connection_with_malformed_messages_is_closed_before_the_core_is_notified(
    service: Service, monkeypatch: pytest.MonkeyPatch
) -> None:
    ours, theirs = gsocket.socketpair()
    monkeypatch.setattr(module.address, "dial", lambda address, timeout_s: ours)
    closed: list[bool] = []
    record_events(
        service, monkeypatch, lambda e: closed.append(ours.closed) if isinstance(e, ev.LinkLost) else None
    )
    service.machines.dials[7] = gevent.spawn(service.machines._serve, 7, "127.0.0.1:1")
    theirs.sendall(b"noise\n")
    service.machines.dials[7].join(5)
    assert closed == [True]
    theirs.close()


def test_a_connection_that_cannot_be_written_is_closed_before_the_core_is_notified(
    service: Service, monkeypatch: pytest.MonkeyPatch
) -> None:
    ours, theirs = gsocket.socketpair()
    stream = service.machines.streams[7] = streams.Stream(ours, 7, service.machines._disconnected)
    closed: list[bool] = []
    record_events(service, monkeypatch, lambda e: closed.append(stream.is_closed))
    stream.put(b"x" * 4_000_000)
    assert closed == [True]
    theirs.close()


def test_clients_are_accepted_after_the_node_list_updates_since_the_file_was_written(
    service: Service, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, "NODE_LIST_QUIET_S", 1.0)
    order: list[str] = []

    def watch() -> None:
        service.node_watch.last_received_s = time.monotonic()
        order.append("watched")
        for _ in range(3):
            gevent.sleep(0.02)
            order.append("updated")
            service.node_watch.last_received_s = time.monotonic()
        gevent.sleep(30)

    def accept(listener: object) -> None:
        order.append("accepts")
        service.stop()

    monkeypatch.setattr(service.node_watch, "run", watch)
    monkeypatch.setattr(service.clients, "accept", accept)
    assert service.run() == 0
    assert order == ["watched", "updated", "updated", "updated", "accepts"]


def test_the_planner_serves_although_the_node_list_service_never_sends(
    service: Service, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, "NODE_LIST_CATCH_UP_S", 0.05)
    monkeypatch.setattr(service.node_watch, "run", lambda: gevent.sleep(30))
    monkeypatch.setattr(service.clients, "accept", lambda listener: service.stop())
    with gevent.Timeout(5):
        assert service.run() == 0
    assert service.core.counts["started_without_node_list"] == 1


def test_a_placement_request_sent_on_a_lost_connection_is_reported_as_unsent(service: Service) -> None:
    """The loss of the connection is still queued when the core sends on it, so no byte can have been sent."""
    handled: list[ev.Event] = []

    class Core:
        def handle(self, now: int, batch: list[ev.Event]) -> list[ev.Action]:
            handled.extend(batch)
            return []

    message = Message(Kind.PLACE, "00000000000000aa", {"class": "worker"}, body="x")
    service.core.links.links[7] = Link(7, 1)
    service.executor.execute_all([ev.SendToMachine(n, message) for n in (7, 8)])
    # The core knows that link 8 is closed: an entry for it would never be removed.
    assert list(service.machines.unsent_by_link) == [7]
    service.driver.core = Core()  # type: ignore[assignment]
    service.driver._handle([ev.LinkLost(7, frozenset({"00000000000000bb"}))])
    assert handled == [ev.LinkLost(7, frozenset({message.id, "00000000000000bb"}))]
    assert not service.machines.unsent_by_link


def test_a_node_list_update_is_handled_before_queued_placement_requests(
    service: Service, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A drain that is read after a burst of requests is handled before most of the requests."""
    handled: list[str] = []
    monkeypatch.setattr(driver, "TURN_SLICE_S", 0.005)
    monkeypatch.setattr(service.driver.stall_detector, "is_stalled", lambda: False)

    def handle(now: int, batch: list[ev.Event]) -> list[ev.Action]:
        handled.extend(type(event).__name__ for event in batch)
        time.sleep(driver.TURN_SLICE_S)
        return []

    monkeypatch.setattr(service.core, "handle", handle)
    requests = [ev.ClientMessage(1, Message(Kind.PLACE, f"{n:016x}", {}, body="x")) for n in range(100)]
    service.driver.enqueue(*requests)
    turns = gevent.spawn(service.driver.run_turns)
    gevent.spawn(service.driver.enqueue, ev.NodeListUpdated(module.NodeList((), (), module.read_clocks)))  # type: ignore[arg-type]
    with gevent.Timeout(10):
        while len(handled) < 101:
            gevent.sleep(0.01)
    turns.kill()
    assert handled.index("NodeListUpdated") <= 20


def test_the_shutdown_is_not_done_while_events_are_queued(
    service: Service, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(service.core.shutdown, "is_done", lambda: True)
    service.driver.enqueue(ev.ClientMessage(1, Message(Kind.PLACE, "00000000000000aa", {}, body="x")))
    assert not service._is_done()
    service.driver.queue.take_all()
    # This event arrives while the sockets are polled once more.
    gevent.spawn(service.driver.enqueue, ev.ClientDisconnected(1))
    assert not service._is_done()
    service.driver.queue.take_all()
    assert service._is_done()


def test_the_turns_wait_between_slices(service: Service, monkeypatch: pytest.MonkeyPatch) -> None:
    """Without waits under load the process would not read its sockets and would look unresponsive."""
    waits: list[float] = []
    monkeypatch.setattr(driver, "TURN_SLICE_S", 0.0)
    monkeypatch.setattr(service.driver.stall_detector, "is_stalled", lambda: False)
    original_sleep = gevent.sleep
    monkeypatch.setattr(
        module.gevent, "sleep", lambda seconds=0.0: (waits.append(seconds), original_sleep(seconds))
    )
    for number in range(1, 100):
        service.driver.enqueue(ev.ClientMessage(1, Message(Kind.PLACE, f"{number:016x}", {}, body="x")))
    turns = gevent.spawn(service.driver.run_turns)
    with gevent.Timeout(10):
        while len(service.driver.queue):
            original_sleep(0.01)
    turns.kill()
    assert sum(1 for seconds in waits if seconds >= 0.001) >= 10


def placement_request(number: int) -> Message:
    return Message(Kind.PLACE, f"{number:016x}", {"class": "worker"}, body="x" * 200)


def test_a_client_whose_messages_always_arrive_in_parts_keeps_its_connection(
    service: Service, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The timeout for a partial message begins with each message, not with the connection."""
    monkeypatch.setattr(client_connections, "PARTIAL_MESSAGE_TIMEOUT_S", 0.2)
    received: list[ev.Event] = []
    record_events(service, monkeypatch, received.append)
    ours, theirs = gsocket.socketpair()
    stream = service.clients.streams[1] = streams.Stream(ours, 1, service.clients._disconnected)
    reads = gevent.spawn(service.clients._serve, stream)
    data = b"".join(binary.encode(placement_request(n)) for n in range(1, 61))
    step = len(data) // 60 + 1  # no part but the last ends where a message ends
    for at in range(0, len(data), step):
        theirs.sendall(data[at : at + step])
        gevent.sleep(0.01)
    assert not stream.is_closing and sum(isinstance(e, ev.ClientMessage) for e in received) == 60
    theirs.sendall(data[:9])  # a partial message without its rest
    reads.join(5)
    assert stream.is_closed and any(isinstance(e, ev.ClientDisconnected) for e in received)
    theirs.close()


def test_a_machine_whose_lines_always_arrive_in_parts_keeps_its_connection(
    service: Service, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(machine_connections, "PARTIAL_LINE_TIMEOUT_S", 0.2)
    ours, theirs = gsocket.socketpair()
    monkeypatch.setattr(module.address, "dial", lambda address, timeout_s: ours)
    received: list[ev.Event] = []
    record_events(service, monkeypatch, received.append)
    service.machines.dials[7] = reads = gevent.spawn(service.machines._serve, 7, "127.0.0.1:1")
    data = b"".join(jsonlines.encode(Message(Kind.ANSWER, f"{n:016x}", body="x" * 200)) for n in range(1, 61))
    step = len(data) // 60 + 1
    for at in range(0, len(data), step):
        theirs.sendall(data[at : at + step])
        gevent.sleep(0.01)
    assert sum(isinstance(e, ev.MachineMessage) for e in received) == 60 and not ours.closed
    theirs.sendall(data[:9])
    reads.join(5)
    assert ours.closed and isinstance(received[-1], ev.LinkLost)
    theirs.close()


def test_data_that_arrived_during_a_stall_is_read_before_a_read_times_out() -> None:
    """After a stall, the timeout has passed and data is ready at the same time."""

    class SocketWithLateData:
        def __init__(self) -> None:
            self.timeouts: list[float | None] = []

        def settimeout(self, timeout_s: float | None) -> None:
            self.timeouts.append(timeout_s)

        def recv(self, size: int) -> bytes:
            if self.timeouts[-1] != 0.0:
                raise TimeoutError("timed out")
            return b"rest"

    assert streams.receive(SocketWithLateData(), 10, time.monotonic() - 1.0) == b"rest"


def test_a_reader_of_much_data_sent_in_one_turn_keeps_its_connection() -> None:
    ours, theirs = gsocket.socketpair()
    ours.setblocking(True)
    stream = streams.Stream(ours, 1, lambda s: None)
    for _ in range(100):
        stream.put(b"x" * 1000)
    assert not stream.is_closed
    stream.flush()
    received_bytes = 0
    with gevent.Timeout(10):
        while received_bytes < 100_000:
            received_bytes += len(theirs.recv(65_536))
    assert received_bytes == 100_000
    stream.close()
    theirs.close()


def test_the_watch_of_the_node_list_service_goes_on_after_an_exception(
    service: Service, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If the watch ended, every later drain would go unnoticed."""
    monkeypatch.setattr(watching, "MIN_BACKOFF_S", 0.001)
    dial_timeouts: list[float] = []

    def dial(timeout_s: float) -> bool:
        dial_timeouts.append(timeout_s)
        raise ZeroDivisionError("a fault")

    monkeypatch.setattr(service.node_watch, "_dial", dial)
    watch = gevent.spawn(service.node_watch.run)
    with gevent.Timeout(10):
        while len(dial_timeouts) < 3:
            gevent.sleep(0.005)
    assert not watch.dead


def test_a_message_that_cannot_be_encoded_does_not_stop_the_others(service: Service) -> None:
    ours, theirs = gsocket.socketpair()
    service.clients.streams[1] = streams.Stream(ours, 1, service.clients._disconnected)
    not_encodable = Message(Kind.RELEASE, "00000000000000aa", {"no such field": "x"}, 41)
    service.executor.execute_all(
        [ev.SendToClient(1, not_encodable), ev.SendToClient(1, placement_request(2))]
    )
    service.executor.flush()
    assert theirs.recv(1000) == binary.encode(placement_request(2))
    theirs.close()


def test_a_cancellation_is_sent_before_a_duplicate_on_a_connection_written_to_earlier(
    service: Service, monkeypatch: pytest.MonkeyPatch
) -> None:
    written: list[tuple[int, int]] = []

    class RecordingStream(streams.Stream):
        def _record_sent(self, size: int) -> None:
            written.append((self.number, size))
            super()._record_sent(size)

    pairs = [gsocket.socketpair() for _ in range(2)]
    for number, (ours, _) in enumerate(pairs, 1):
        service.machines.streams[number] = RecordingStream(ours, number, service.machines._disconnected)
    acknowledgement = Message(Kind.ACKNOWLEDGEMENT, "00000000000000bb")
    cancellation = Message(Kind.RELEASE, "00000000000000aa", cause=16)
    service.executor.execute_all(
        [
            ev.SendToMachine(2, acknowledgement),
            ev.SendToMachine(1, cancellation),
            ev.SendToMachine(2, placement_request(0xAA)),
        ]
    )
    service.executor.flush()
    order = [number for number, _ in written]
    assert order[0] == 1 and order[-1] == 2
    for _, theirs in pairs:
        theirs.close()


def test_a_graceful_close_takes_effect_without_waiting_for_the_greenlet() -> None:
    ours, theirs = gsocket.socketpair()
    stream = streams.Stream(ours, 1, lambda s: None)
    stream.put(b"last data")
    stream.close_gracefully()
    theirs.setblocking(False)
    assert theirs.recv(100) == b"last data" and theirs.recv(100) == b""
    stream.close()
    theirs.close()


def test_after_a_stall_new_placement_requests_are_placed_in_slices(
    service: Service, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All requests in one turn would be the next stall, during which no drain is read."""
    batches: list[list[ev.Event]] = []

    def handle_after_stall(now: int, events: list[ev.Event]) -> list[ev.Action]:
        batches.append(events)
        return []

    monkeypatch.setattr(service.core, "handle_after_stall", handle_after_stall)
    release = ev.MachineMessage(9, Message(Kind.RELEASE, "00000000000000ff", cause=16))
    service.driver.enqueue(
        *(ev.ClientMessage(1, placement_request(n)) for n in range(1, 100)), ev.LinkUp(9), release
    )
    service.driver._resume_after_stall(300_000)
    assert batches == [[ev.LinkUp(9), release]]
    assert sum(isinstance(e, ev.ClientMessage) for e in service.driver.queue.take_all()) == 99


def test_closing_a_link_ends_its_dial_without_delay(
    service: Service, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A dial that went on until its timeout would use a descriptor that is not counted."""
    monkeypatch.setattr(module.address, "dial", lambda address, timeout_s: gevent.sleep(3600))
    service.executor.execute_all([ev.Dial(7, "127.0.0.1:1")])
    dial = service.machines.dials[7]
    gevent.sleep(0)
    service.executor.execute_all([ev.CloseLink(7)])
    dial.join(5)
    assert dial.dead and not service.machines.dials


def test_a_client_is_not_read_while_the_queue_is_full_and_keeps_its_connection(
    service: Service, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Part of a message stays unread meanwhile; its timeout begins with the next read."""
    monkeypatch.setattr(client_connections, "PARTIAL_MESSAGE_TIMEOUT_S", 0.2)
    received: list[ev.Event] = []
    record_events(service, monkeypatch, received.append)
    queue_is_full = [True]
    monkeypatch.setattr(service.driver.queue, "must_wait", lambda conn: queue_is_full[0])
    ours, theirs = gsocket.socketpair()
    stream = service.clients.streams[1] = streams.Stream(ours, 1, service.clients._disconnected)
    reads = gevent.spawn(service.clients._serve, stream)
    data = binary.encode(placement_request(1))
    theirs.sendall(data[:50])
    gevent.sleep(0.3)
    theirs.sendall(data[50:60])
    gevent.sleep(0.05)
    assert len(ours.recv(10, gsocket.MSG_PEEK)) == 10  # not read
    queue_is_full[0] = False
    gevent.sleep(0.05)
    theirs.sendall(data[60:])
    with gevent.Timeout(10):
        while not received:
            gevent.sleep(0.01)
    assert isinstance(received[0], ev.ClientMessage) and not stream.is_closing
    theirs.close()
    reads.join(5)


@pytest.mark.parametrize("is_client", [True, False])
def test_a_peer_that_sends_at_full_speed_does_not_keep_others_from_being_read(
    service: Service, monkeypatch: pytest.MonkeyPatch, is_client: bool
) -> None:
    """A read with data ready does not yield, so the peer's data would all be read before any other peer's."""
    received: list[ev.Event] = []
    record_events(service, monkeypatch, received.append)
    monkeypatch.setattr(client_connections, "READ_BYTES", 256)
    monkeypatch.setattr(machine_connections, "READ_BYTES", 256)
    ours, theirs = gsocket.socketpair()
    answer = Message(Kind.ANSWER, "00000000000000aa", body="x" * 200)
    theirs.sendall((binary.encode(placement_request(1)) if is_client else jsonlines.encode(answer)) * 100)
    if is_client:
        stream = service.clients.streams[1] = streams.Stream(ours, 1, service.clients._disconnected)
        reads = gevent.spawn(service.clients._serve, stream)
    else:
        monkeypatch.setattr(module.address, "dial", lambda address, timeout_s: ours)
        service.machines.dials[1] = reads = gevent.spawn(service.machines._serve, 1, "127.0.0.1:1")
    gevent.sleep(0)
    assert 0 < len(received) < 50
    theirs.close()
    reads.join(5)
    assert len(received) > 100


def test_a_known_update_that_is_not_an_object_is_rejected(service: Service) -> None:
    service.active_config.config = replace(service.config, known_updates=(5,))  # type: ignore[arg-type]
    with pytest.raises(ConfigError):
        service.run()

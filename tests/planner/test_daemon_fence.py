"""The fence on real sockets: grants and stamps on both sides of a planner, and replaced streams."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket
from test_daemon import _EVENT, _REQUEST, WAIT_S, PlannerHarness, next_event, place_request

from stairplank.planner.clock import now_us
from stairplank.planner.services import PLACEMENT_SERVICE
from stairplank.proto import common_pb2, node_pb2, open_call
from stairplank.rpc import Channel, Code, RpcError


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[PlannerHarness]:
    harness = PlannerHarness(tmp_path)
    yield harness
    harness.close()


def open_stream(
    harness: PlannerHarness, session: int = 0, epoch: int = 0, client: str = "o"
) -> tuple[Any, int]:
    """Open a client stream. Returns its call and the grant of its welcome."""
    call = open_call(Channel(harness.address), PLACEMENT_SERVICE, "Place")
    call.send(_REQUEST(hello=_REQUEST.Hello(owner=client, session=session, epoch=epoch)))
    welcome = call.recv(WAIT_S)
    assert welcome.WhichOneof("kind") == "welcome"
    return call, welcome.grant


def stamped_request(n: int, grant: int, since_us: int, wait_s: float = 6.0) -> Any:
    request = place_request(n, wait_s=wait_s)
    request.ask.sent.CopyFrom(common_pb2.Sent(grant=grant, since_us=since_us))
    return request


def test_a_request_that_was_delayed_in_transit_is_rejected(harness: PlannerHarness) -> None:
    call, grant = open_stream(harness)
    assert grant
    gevent.sleep(0.3)
    call.send(stamped_request(1, grant, 0, wait_s=0.25))  # by its stamp the request was sent 300 ms ago
    rejected = next_event(call, "rejected", "taken")
    assert rejected.code == Code.DEADLINE_EXCEEDED and rejected.field == "wait_us"
    call.send(stamped_request(2, grant, 0, wait_s=6.0))
    assert next_event(call, "rejected", "taken").placing
    call.send(stamped_request(3, grant + (1 << 40), 0))  # a grant that was never issued
    assert next_event(call, "rejected").code == Code.DEADLINE_EXCEEDED
    call.send(place_request(4))  # a request without a stamp counts as sent now
    assert next_event(call, "taken").placing


def test_offers_are_stamped_under_the_node_s_grants(harness: PlannerHarness) -> None:
    node = harness.nodes[0]
    for n in harness.nodes:
        n.send(renewed=_EVENT.Grant())  # a message without a grant: offers cannot be stamped yet
    call, _ = open_stream(harness)
    call.send(place_request(1))
    harness.wait_until(lambda: harness.offers())
    assert not harness.offers()[0].HasField("sent")
    granted_at = time.monotonic()
    for n in harness.nodes:
        n.calls[-1].send(_EVENT(renewed=_EVENT.Grant(), grant=77))
    gevent.sleep(0.2)
    call.send(place_request(2))
    harness.wait_until(lambda: len(harness.offers()) == 2)
    sent = next(o for o in harness.offers() if o.task.key == 2).sent
    assert sent.grant == 77 and 150_000 <= sent.since_us <= (time.monotonic() - granted_at) * 1e6
    assert node.id


def test_a_request_delayed_on_an_old_connection_is_not_handled_after_its_cancellation(
    harness: PlannerHarness,
) -> None:
    """If the planner handled the request after its cancellation, it would start a task that is not wanted."""
    old, _ = open_stream(harness, session=9, epoch=1)
    release_writes = delay_writes(old)
    old.send(place_request(1))
    new, _ = open_stream(harness, session=9, epoch=2)
    new.send(_REQUEST(withdraw=_REQUEST.Withdraw(key=1)))
    harness.wait_until(lambda: len(harness.daemon.core.requests.sessions) == 1)
    release_writes()
    gevent.sleep(0.2)
    assert not harness.offers() and not harness.daemon.core.requests.placements
    new.send(place_request(2))
    assert next_event(new, "taken").placing  # the newer stream is still served


def delay_writes(call: Any) -> Any:
    """Delay what a call writes from now on. Returns a function that sends the delayed bytes."""
    connection = call.stream.connection
    delayed: list[bytes] = []
    original = connection.sock

    class DelayedSocket:
        def sendall(self, data: bytes) -> None:
            delayed.append(data)

        def __getattr__(self, name: str) -> Any:
            return getattr(original, name)

    connection.sock = DelayedSocket()

    def release() -> None:
        try:
            original.sendall(b"".join(delayed))
        except OSError:
            pass  # the planner has closed that connection, so the bytes cannot reach it

    return release


def test_the_hello_of_an_older_stream_is_rejected_and_ends_no_other_stream(harness: PlannerHarness) -> None:
    new, _ = open_stream(harness, session=9, epoch=5)
    with pytest.raises(RpcError) as caught:
        open_stream(harness, session=9, epoch=4)
    assert caught.value.code is Code.ABORTED
    other, _ = open_stream(harness, session=8, epoch=1)  # another session of the same client
    new.send(place_request(1))
    assert next_event(new, "taken").placing
    other.send(place_request(2))
    assert next_event(other, "taken").placing


def test_streams_without_a_session_are_served_concurrently(harness: PlannerHarness) -> None:
    one, _ = open_stream(harness)
    two, _ = open_stream(harness)
    for n, call in ((1, one), (2, two)):
        call.send(place_request(n))
        assert next_event(call, "taken").placing


def test_a_clock_jump_is_detected_and_grants_are_dropped(
    harness: PlannerHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    import stairplank.planner.node_connections as node_connections

    for n in harness.nodes:
        n.calls[-1].send(_EVENT(renewed=_EVENT.Grant(), grant=5))
    connection = harness.daemon.node_connections.connections[1]
    harness.wait_until(lambda: connection.stamp() is not None)
    monkeypatch.setattr(node_connections, "raw_us", lambda: now_us() - 3_000_000)  # the raw clock is 3 s off
    assert connection.stamp() is None
    harness.nodes[0].calls[-1].send(_EVENT(renewed=_EVENT.Grant(), grant=6))
    harness.wait_until(lambda: connection.stamp() is not None)


def test_an_aborted_connection_sends_no_more_data(harness: PlannerHarness) -> None:
    """After a plain close the kernel would still deliver unsent data; an abort resets and drops it."""
    errors: list[str] = []
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    from stairplank.rpc import address

    sock = address.dial(f"127.0.0.1:{listener.getsockname()[1]}", 2.0)
    peer, _ = listener.accept()
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    sent = 0
    try:
        while sent < 64 << 20:
            sent += sock.send(b"x" * 65_536)
    except BlockingIOError:
        pass
    address.abort(sock)
    received = 0
    peer.settimeout(WAIT_S)
    try:
        while data := peer.recv(65_536):
            received += len(data)
    except ConnectionResetError:
        errors.append("reset")
    peer.close()
    listener.close()
    assert errors == ["reset"] and received < sent


def test_a_planner_reads_its_sockets_after_a_stall_before_it_decides(harness: PlannerHarness) -> None:
    """After a stall, a node's report that it is draining is applied before requests that were read first."""
    from stairplank.planner import events as ev
    from stairplank.planner import stall_detector

    call, _ = open_stream(harness)
    session = next(iter(harness.daemon.placement_service.sessions))
    tasks = [ev.TaskSpec("o", n, "worker", "", 100 + n, 1.0, 1.0, 0, False) for n in range(1, 9)]
    harness.daemon.stall_detector.last_beat -= stall_detector.STALL_US + 1
    for n, task in enumerate(tasks, 1):
        harness.daemon.handle(ev.PlacementRequested(session, n, task, 6_000_000))
    harness.daemon.handle(ev.NodeDraining(1))
    for _ in tasks:
        assert next_event(call, "placed").node == 2
    assert not harness.nodes[0].offers


def test_a_node_s_report_is_incomplete_until_its_numbered_messages_have_arrived(
    harness: PlannerHarness,
) -> None:
    """The message that an offer was accepted and has ended may still be in transit on the other stream."""
    from stairplank.planner import events as ev

    reports: list[ev.NodeTasksReported] = []
    original = harness.daemon.core.handle

    def handle(now: int, event: ev.Event) -> Any:
        if isinstance(event, ev.NodeTasksReported):
            reports.append(event)
        return original(now, event)

    harness.daemon.core.handle = handle  # type: ignore[method-assign]
    for messages_sent, complete in ((0, True), (5, False)):
        answer = node_pb2.HeldResponse(node=1, complete=True, words=messages_sent)
        harness.daemon.node_connections._unary = lambda *args, a=answer: a  # type: ignore[method-assign]
        harness.daemon.node_connections.request_tasks(1)
        assert reports.pop().complete is complete


def test_the_end_of_a_replaced_connection_does_not_affect_the_newer_one(harness: PlannerHarness) -> None:
    from stairplank.planner import events as ev

    # The node has sent its welcome by now, but the planner may not have read it yet.
    harness.wait_until(lambda: harness.daemon.core.links.is_up(1))
    connection = harness.daemon.node_connections.connections[1]

    class OlderConnection:
        node = 1

    harness.daemon.node_connections.connection_ended(OlderConnection(), ev.LinkDown(1))  # type: ignore[arg-type]
    assert harness.daemon.node_connections.connections[1] is connection and harness.daemon.core.links.is_up(1)

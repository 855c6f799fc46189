"""The fence on real sockets: grants and stamps on both sides of a planner, streams that overtake others."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket
from test_daemon import _EVENT, _REQUEST, WAIT, World, ask, word

from stairplank.planner.clock import now_us
from stairplank.planner.services import PLACEMENT_SERVICE
from stairplank.proto import common_pb2, node_pb2, open_call
from stairplank.rpc import Channel, Code, RpcError


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    made = World(tmp_path)
    yield made
    made.close()


def stream(world: World, session: int = 0, epoch: int = 0, owner: str = "o") -> tuple[Any, int]:
    """An owner's stream, and the grant of its welcome."""
    call = open_call(Channel(world.address), PLACEMENT_SERVICE, "Place")
    call.send(_REQUEST(hello=_REQUEST.Hello(owner=owner, session=session, epoch=epoch)))
    welcome = call.recv(WAIT)
    assert welcome.WhichOneof("kind") == "welcome"
    return call, welcome.grant


def stamped(n: int, grant: int, since_us: int, wait_s: float = 6.0) -> Any:
    request = ask(n, wait_s=wait_s)
    request.ask.sent.CopyFrom(common_pb2.Sent(grant=grant, since_us=since_us))
    return request


def test_an_ask_that_lay_on_the_way_is_rejected_as_never_taken(world: World) -> None:
    call, grant = stream(world)
    assert grant
    gevent.sleep(0.3)
    call.send(stamped(1, grant, 0, wait_s=0.25))  # by its stamp said at once, 300 ms ago
    rejected = word(call, "rejected", "taken")
    assert rejected.code == Code.DEADLINE_EXCEEDED and rejected.field == "wait_us"
    call.send(stamped(2, grant, 0, wait_s=6.0))
    assert word(call, "rejected", "taken").placing
    call.send(stamped(3, grant + (1 << 40), 0))  # a grant that was never given
    assert word(call, "rejected").code == Code.DEADLINE_EXCEEDED
    call.send(ask(4))  # an owner that says nothing of it is served as from now
    assert word(call, "taken").placing


def test_offers_say_when_they_were_said_by_the_node_s_own_grants(world: World) -> None:
    node = world.nodes[0]
    for n in world.nodes:
        n.say(renewed=_EVENT.Grant())  # no grant yet: nothing can be said under one
    call, _ = stream(world)
    call.send(ask(1))
    world.until(lambda: world.offers())
    assert not world.offers()[0].HasField("sent")
    given = time.monotonic()
    for n in world.nodes:
        n.calls[-1].send(_EVENT(renewed=_EVENT.Grant(), grant=77))
    gevent.sleep(0.2)
    call.send(ask(2))
    world.until(lambda: len(world.offers()) == 2)
    sent = next(o for o in world.offers() if o.task.key == 2).sent
    assert sent.grant == 77 and 150_000 <= sent.since_us <= (time.monotonic() - given) * 1e6
    assert node.id


def test_an_ask_kept_by_an_old_connection_does_not_overtake_its_withdrawal(world: World) -> None:
    """Danger: read after the newer stream's withdrawal, the ask would start what nobody wants."""
    old, _ = stream(world, session=9, epoch=1)
    held = hold(old)
    old.send(ask(1))
    new, _ = stream(world, session=9, epoch=2)
    new.send(_REQUEST(withdraw=_REQUEST.Withdraw(key=1)))
    world.until(lambda: len(world.daemon.core.requests.sessions) == 1)
    held()
    gevent.sleep(0.2)
    assert not world.offers() and not world.daemon.core.requests.placements
    new.send(ask(2))
    assert word(new, "taken").placing  # and the newer one goes on


def hold(call: Any) -> Any:
    """What a call says from now on stays with it until the returned function is called."""
    connection = call.stream.connection
    kept: list[bytes] = []
    real = connection.sock

    class Kept:
        def sendall(self, data: bytes) -> None:
            kept.append(data)

        def __getattr__(self, name: str) -> Any:
            return getattr(real, name)

    connection.sock = Kept()

    def release() -> None:
        try:
            real.sendall(b"".join(kept))
        except OSError:
            pass  # the planner has ended that connection: so much the better

    return release


def test_an_old_connection_s_hello_is_turned_away_and_ends_nothing(world: World) -> None:
    new, _ = stream(world, session=9, epoch=5)
    with pytest.raises(RpcError) as caught:
        stream(world, session=9, epoch=4)
    assert caught.value.code is Code.ABORTED
    other, _ = stream(world, session=8, epoch=1)  # another process of the same owner
    new.send(ask(1))
    assert word(new, "taken").placing
    other.send(ask(2))
    assert word(other, "taken").placing


def test_streams_without_a_session_stand_side_by_side(world: World) -> None:
    one, _ = stream(world)
    two, _ = stream(world)
    for n, call in ((1, one), (2, two)):
        call.send(ask(n))
        assert word(call, "taken").placing


def test_a_jump_of_the_clock_is_noticed_and_grants_are_forgotten(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    import stairplank.planner.node_connections as node_connections

    for n in world.nodes:
        n.calls[-1].send(_EVENT(renewed=_EVENT.Grant(), grant=5))
    link = world.daemon.node_connections.connections[1]
    world.until(lambda: link.stamp() is not None)
    monkeypatch.setattr(
        node_connections, "raw_us", lambda: now_us() - 3_000_000
    )  # the other clock has gone on alone
    assert link.stamp() is None
    world.nodes[0].calls[-1].send(_EVENT(renewed=_EVENT.Grant(), grant=6))
    world.until(lambda: link.stamp() is not None)


def test_a_link_that_is_given_up_sends_no_more(world: World) -> None:
    """A plain close would go on delivering; an abort resets, and the kernel drops what is unsent."""
    ends: list[str] = []
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    from stairplank.rpc import address

    sock = address.dial(f"127.0.0.1:{listener.getsockname()[1]}", 2.0)
    far, _ = listener.accept()
    far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    sent = 0
    try:
        while sent < 64 << 20:
            sent += sock.send(b"x" * 65_536)
    except BlockingIOError:
        pass
    address.abort(sock)
    got = 0
    far.settimeout(WAIT)
    try:
        while data := far.recv(65_536):
            got += len(data)
    except ConnectionResetError:
        ends.append("reset")
    far.close()
    listener.close()
    assert ends == ["reset"] and got < sent


def test_a_planner_that_stood_still_reads_before_it_decides(world: World) -> None:
    """Its pulse has stopped; an ask is read first, and a drain that lay in another socket after it."""
    from stairplank.planner import events as ev
    from stairplank.planner import stall_detector

    call, _ = stream(world)
    session = next(iter(world.daemon.placement_service.sessions))
    spec = [ev.TaskSpec("o", n, "worker", "", 100 + n, 1.0, 1.0, 0, False) for n in range(1, 9)]
    world.daemon.stall_detector.last_beat -= stall_detector.STALL_US + 1
    for n, task in enumerate(spec, 1):
        world.daemon.handle(ev.PlacementRequested(session, n, task, 6_000_000))
    world.daemon.handle(ev.NodeDraining(1))
    for _ in spec:
        assert word(call, "placed").node == 2
    assert not world.nodes[0].offers


def test_what_a_node_holds_proves_nothing_before_its_last_words_are_heard(world: World) -> None:
    """Danger: the word that an offer was accepted and ended may still be on its way, on the other stream."""
    from stairplank.planner import events as ev

    told: list[ev.NodeTasksReported] = []
    real = world.daemon.core.handle

    def handle(now: int, event: ev.Event) -> Any:
        if isinstance(event, ev.NodeTasksReported):
            told.append(event)
        return real(now, event)

    world.daemon.core.handle = handle  # type: ignore[method-assign]
    for words, proven in ((0, True), (5, False)):
        answer = node_pb2.HeldResponse(node=1, complete=True, words=words)
        world.daemon.node_connections._unary = lambda *args, a=answer: a  # type: ignore[method-assign]
        world.daemon.node_connections.request_tasks(1)
        assert told.pop().complete is proven


def test_an_older_link_s_end_says_nothing_of_the_newer(world: World) -> None:
    from stairplank.planner import events as ev

    world.until(lambda: world.daemon.core.links.is_up(1))  # the node has spoken, we may not have heard it yet
    link = world.daemon.node_connections.connections[1]

    class Older:
        node = 1

    world.daemon.node_connections.connection_ended(Older(), ev.LinkDown(1))  # type: ignore[arg-type]
    assert world.daemon.node_connections.connections[1] is link and world.daemon.core.links.is_up(1)

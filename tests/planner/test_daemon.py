"""The daemon on real sockets, against hand-made peers: floods, malformed input, slow and silent ends."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import grpc
import pytest

from stairplank.planner.daemon import Daemon
from stairplank.planner.services import DIRECTORY_SERVICE, NODE_SERVICE, PLACEMENT_SERVICE
from stairplank.proto import (
    common_pb2,
    directory_pb2,
    method_path,
    node_pb2,
    open_call,
    placement_pb2,
    server_methods,
)
from stairplank.rpc import Channel, Code, RpcError, Server
from stairplank.settings import load_planner

WAIT = 10.0
ROOM = """
planner 0 of 1
listen 127.0.0.1:0
directory {directory}
dial-timeout 300ms
list-silence 2s
send-buffer 64k
message-most 64k
owners-most 4
open-most 50
stop-grace 1s
class worker
    effect repeatable
    aim 1s
    deadline 6s
end
class report
    effect once
    aim 1s
    deadline 6s
end
kind std cores 1000 memory 1000
zone a
mean-cores 1
mean-memory 1
tick 10ms
answer-slack 200ms
"""
_EVENT = node_pb2.OfferEvent


class FakeNode:
    """A node that does what the test says; by default it accepts and runs every offer at once."""

    def __init__(self, id: int) -> None:
        self.id = id
        self.offers: list[Any] = []
        self.stops: list[Any] = []
        self.calls: list[Any] = []
        self.answer = True
        self.identity = id
        self.probes = 0
        self.acks: list[tuple[int, bool]] = []
        self.reports = True
        self.hang = False
        self.held: list[Any] = []
        handlers = server_methods(NODE_SERVICE, Offers=self.stream, Probe=self.probe, Held=self.hold)
        self.server = Server(["127.0.0.1:0"], handlers)
        self.server.start()

    def stream(self, call: Any) -> None:
        call.recv()
        if self.hang:
            gevent.sleep(WAIT)
        call.send(_EVENT(welcome=_EVENT.Welcome(node=self.identity)))
        self.calls.append(call)
        while (request := call.recv()) is not None:
            kind = request.WhichOneof("kind")
            if kind == "probe":
                self.probes += 1
                if self.reports:
                    report = common_pb2.Report(free_cores=1000, free_memory=1000)
                    self.say(sampled=_EVENT.Sampled(probe=request.probe.probe, report=report))
                continue
            if kind == "stop":
                self.stops.append(request.stop)
                continue
            if kind == "ack":
                self.acks.append((request.ack.number, request.ack.again))
                continue
            self.offers.append(request.offer)
            if self.answer:
                self.say(running=_EVENT.Running(id=request.offer.id))

    def say(self, **event: Any) -> None:
        self.calls[-1].send(_EVENT(**event))

    def probe(self, request: Any, call: Any) -> Any:
        return node_pb2.ProbeResponse(node=self.id)

    def hold(self, request: Any, call: Any) -> Any:
        return node_pb2.HeldResponse(node=self.id, tasks=self.held)


class World:
    def __init__(self, tmp_path: Path, nodes: int = 2) -> None:
        self.nodes = [FakeNode(n + 1) for n in range(nodes)]
        self.watchers: list[Any] = []
        handlers = server_methods(
            DIRECTORY_SERVICE, List=self.list, Watch=self.watch, Announce=lambda call: None
        )
        self.directory = Server(["127.0.0.1:0"], handlers)
        self.directory.start()
        file = tmp_path / "planner.conf"
        file.write_text(ROOM.format(directory=self.directory.addresses[0]))
        self.daemon = Daemon(load_planner(file))
        self.daemon.start()
        self.address = self.daemon.server.addresses[0]
        self.until(lambda: self.daemon.core.links.links and all(n.calls for n in self.nodes if not n.hang))

    def entries(self) -> list[Any]:
        return [
            directory_pb2.NodeEntry(
                id=n.id, addresses=n.server.addresses, zone="a", rack="r", kind="std",
                state=directory_pb2.NodeEntry.STATE_READY, free_cores=1000, free_memory=1000,
            )
            for n in self.nodes
        ]  # fmt: skip

    def list(self, request: Any, call: Any) -> Any:
        return directory_pb2.NodeList(revision=1, full=True, nodes=self.entries())

    def watch(self, request: Any, call: Any) -> None:
        call.send(directory_pb2.NodeList(revision=1, full=True, nodes=self.entries()))
        self.watchers.append(call)
        while True:
            gevent.sleep(0.5)
            call.send(directory_pb2.NodeList(revision=1, since=1))

    def until(self, true: Any) -> None:
        with gevent.Timeout(WAIT):
            while not true():
                gevent.sleep(0.005)

    def owner(self, name: str = "o") -> Any:
        channel = Channel(self.address)
        call = open_call(channel, PLACEMENT_SERVICE, "Place")
        call.send(_REQUEST(hello=_REQUEST.Hello(owner=name)))
        assert call.recv(WAIT).WhichOneof("kind") == "welcome"
        return call

    def offers(self) -> list[Any]:
        return [o for n in self.nodes for o in n.offers]

    def close(self) -> None:
        self.daemon.server.stop()
        for link in list(self.daemon.node_connections.connections.values()):
            link.close()
        for node in self.nodes:
            node.server.stop()
        self.directory.stop()


_REQUEST = placement_pb2.PlaceRequest


def ask(n: int, sort: str = "worker", wait_s: float = 6.0, **changes: Any) -> Any:
    fields: dict[str, Any] = {"key": n, "task_class": sort, "service": 5, "cores": 1, "memory": 1, **changes}
    return _REQUEST(ask=_REQUEST.Ask(ask=n, task=common_pb2.Task(**fields), wait_us=int(wait_s * 1e6)))


def word(call: Any, *kinds: str) -> Any:
    """The next event that is of one of the kinds."""
    with gevent.Timeout(WAIT):
        while True:
            event = call.recv(WAIT)
            assert event is not None
            if event.WhichOneof("kind") in kinds:
                return getattr(event, event.WhichOneof("kind"))


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    made = World(tmp_path)
    yield made
    made.close()


def test_a_task_over_the_whole_path(world: World) -> None:
    call = world.owner()
    call.send(ask(1))
    events = [call.recv(WAIT).WhichOneof("kind") for _ in range(3)]
    assert events == ["taken", "offered", "placed"]
    (offer,) = world.offers()
    node = next(n for n in world.nodes if n.offers)
    node.say(ended=_EVENT.Ended(id=offer.id, how=_EVENT.Ended.HOW_FINISHED))
    assert word(call, "ended").finished and offer.task.owner == "o"


def test_grpcio_s_stock_client_is_served(world: World) -> None:
    def place() -> list[str]:
        with grpc.insecure_channel(world.address) as channel:
            method = channel.stream_stream(
                method_path(PLACEMENT_SERVICE, "Place"),
                request_serializer=_REQUEST.SerializeToString,
                response_deserializer=placement_pb2.PlaceEvent.FromString,
            )
            hello = _REQUEST(hello=_REQUEST.Hello(owner="stock"))
            events = method(iter([hello, ask(1)]), timeout=WAIT)
            return [next(events).WhichOneof("kind") for _ in range(4)]

    assert gevent.get_hub().threadpool.apply(place) == ["welcome", "taken", "offered", "placed"]


@pytest.mark.parametrize(
    ("request_", "code", "text"),
    [
        (_REQUEST(), Code.INVALID_ARGUMENT, "kind"),
        (ask(1), Code.INVALID_ARGUMENT, "kind"),
        (_REQUEST(hello=_REQUEST.Hello()), Code.INVALID_ARGUMENT, "hello.owner"),
        (_REQUEST(hello=_REQUEST.Hello(owner="x" * 101)), Code.INVALID_ARGUMENT, "hello.owner"),
    ],
)
def test_a_bad_first_message_names_the_field(world: World, request_: Any, code: Code, text: str) -> None:
    call = open_call(Channel(world.address), PLACEMENT_SERVICE, "Place")
    call.send(request_)
    with pytest.raises(RpcError) as caught:
        call.recv(WAIT)
    assert caught.value.code is code and text in caught.value.message


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"cores": -1}, "task.cores"),
        ({"memory": float("nan")}, "task.memory"),
        ({"task_class": "x" * 5000}, "task.task_class"),
        ({"service": 0}, "task.service"),
        ({"owner": "somebody else"}, "task.owner"),
    ],
)
def test_invalid_fields_are_rejected_by_name_and_the_stream_goes_on(
    world: World, changes: dict, field: str
) -> None:
    call = world.owner()
    call.send(ask(1, **changes))
    rejected = word(call, "rejected")
    assert (rejected.code, rejected.field, rejected.ask) == (Code.INVALID_ARGUMENT, field, 1)
    call.send(ask(2))
    assert word(call, "placed").ask == 2


def test_malformed_bytes_end_their_stream_alone(world: World) -> None:
    good = world.owner()
    bad = Channel(world.address).call(
        method_path(PLACEMENT_SERVICE, "Place"), lambda raw: raw, lambda raw: raw
    )
    bad.send(b"\xff\xff\xff garbage")
    with pytest.raises(RpcError) as caught:
        bad.recv(WAIT)
    assert caught.value.code is Code.INVALID_ARGUMENT
    huge = Channel(world.address).call(
        method_path(PLACEMENT_SERVICE, "Place"), lambda raw: raw, lambda raw: raw
    )
    huge.send(b"x" * 70_000)
    with pytest.raises(RpcError) as caught:
        huge.recv(WAIT)
    assert caught.value.code is Code.RESOURCE_EXHAUSTED
    good.send(ask(1))
    assert word(good, "placed").ask == 1


def test_unknown_methods(world: World) -> None:
    call = Channel(world.address).call("/stairplank.v1.Placement/Destroy", lambda raw: raw, lambda raw: raw)
    with pytest.raises(RpcError) as caught:
        call.recv(WAIT)
    assert caught.value.code is Code.UNIMPLEMENTED


def test_owners_past_the_bound_are_turned_away(world: World) -> None:
    calls = [world.owner(f"o{i}") for i in range(4)]
    call = open_call(Channel(world.address), PLACEMENT_SERVICE, "Place")
    call.send(_REQUEST(hello=_REQUEST.Hello(owner="one too many")))
    with pytest.raises(RpcError) as caught:
        call.recv(WAIT)
    assert caught.value.code is Code.RESOURCE_EXHAUSTED and len(calls) == 4


def test_a_flood_of_tasks_is_bounded_and_told_when_to_come_back(world: World) -> None:
    for node in world.nodes:
        node.answer = False
    call = world.owner()
    for n in range(1, 201):
        call.send(ask(n, service=n))
    rejected = [word(call, "rejected") for _ in range(150)]
    assert all(r.code == Code.RESOURCE_EXHAUSTED and r.retry_after_us > 0 for r in rejected)
    assert world.daemon.core.requests.open_tasks == 50


def test_an_owner_that_does_not_read_is_ended_and_others_are_unharmed(world: World) -> None:
    slow, good = world.owner("slow"), world.owner("good")
    with gevent.Timeout(30):
        n = 0
        while len(world.daemon.placement_service.sessions) > 1:
            n += 1
            slow.send(ask(n, cores=-1.0, task_class="?" * 60, service=n))
            gevent.sleep(0)
    good.send(ask(1))
    assert word(good, "placed").ask == 1
    assert all(s.client == "good" for s in world.daemon.core.requests.sessions.values())


def test_an_owner_that_vanishes_leaves_no_attempt_behind(world: World) -> None:
    for node in world.nodes:
        node.answer = False
    call = world.owner()
    call.send(ask(1, "report"))
    world.until(lambda: world.offers())
    call.stream.connection.close()
    world.until(lambda: any(n.stops for n in world.nodes))
    assert world.daemon.core.requests.open_tasks == 0


def test_a_half_closed_owner_still_hears_the_end(world: World) -> None:
    call = world.owner()
    call.send(ask(1))
    assert word(call, "placed").ask == 1
    call.close_send()
    node = next(n for n in world.nodes if n.offers)
    node.say(ended=_EVENT.Ended(id=node.offers[0].id, how=_EVENT.Ended.HOW_FINISHED))
    assert word(call, "ended").finished
    assert call.recv(WAIT) is None  # all is told: the stream ends well


def test_an_owner_s_deadline_ends_its_stream(world: World) -> None:
    for node in world.nodes:
        node.answer = False
    call = open_call(Channel(world.address), PLACEMENT_SERVICE, "Place", timeout_s=0.5)
    call.send(_REQUEST(hello=_REQUEST.Hello(owner="o")))
    call.send(ask(1))
    with pytest.raises(RpcError) as caught:
        while True:
            call.recv(WAIT)
    assert caught.value.code is Code.DEADLINE_EXCEEDED
    world.until(
        lambda: not world.daemon.core.requests.sessions and world.daemon.core.requests.open_tasks == 0
    )


def test_a_cut_between_offer_and_answer_is_settled_by_what_the_node_holds(world: World) -> None:
    for node in world.nodes:
        node.answer = False
    call = world.owner()
    call.send(ask(1, "report"))
    world.until(lambda: world.offers())
    node = next(n for n in world.nodes if n.offers)
    node.held = [node_pb2.HeldTask(id=node.offers[0].id, task=node.offers[0].task, running=True)]
    node.calls[-1].stream.connection.close()
    assert word(call, "placed", "failed", "refused").node == node.id
    assert len(world.offers()) == 1


def test_a_wrong_node_behind_an_address_gets_no_offer(tmp_path: Path) -> None:
    world = World(tmp_path, nodes=1)
    try:
        world.nodes[0].identity = 99
        world.nodes[0].calls[-1].stream.connection.close()
        call = world.owner()
        call.send(ask(1, wait_s=1.0))
        assert word(call, "refused", "failed", "placed").DESCRIPTOR.name == "Refused"
        assert world.offers() == []
    finally:
        world.close()


def test_a_node_that_accepts_the_connection_and_hangs(tmp_path: Path) -> None:
    world = World(tmp_path, nodes=1)
    try:
        world.nodes[0].hang = True
        world.nodes[0].calls[-1].stream.connection.close()
        call = world.owner()
        call.send(ask(1, "report", wait_s=1.5))
        assert word(call, "refused", "failed", "placed").DESCRIPTOR.name == "Refused"  # proven: nothing left
    finally:
        world.close()


def test_a_silent_list_is_left_and_watched_anew(world: World) -> None:
    watchers = len(world.watchers)
    world.watchers[-1].stream.connection.close()
    world.until(lambda: len(world.watchers) > watchers)
    call = world.owner()
    call.send(ask(1))
    assert word(call, "placed").ask == 1


def test_leaving_answers_what_is_owed_in_bounded_time(world: World) -> None:
    for node in world.nodes:
        node.answer = False
    call = world.owner()
    call.send(ask(1))
    call.send(ask(2, "report", service=6))
    world.until(lambda: len(world.offers()) == 2)
    began = time.monotonic()
    left = gevent.spawn(world.daemon._shut_down)
    kinds = {type(word(call, "refused", "failed")).__name__ for _ in range(2)}
    assert kinds == {"Refused", "Failed"}
    assert left.get(timeout=WAIT) is True and time.monotonic() - began < WAIT
    with pytest.raises(RpcError):
        Channel(world.address, dial_timeout_s=1).connect()


def test_a_probe_without_an_answer_is_told_as_one(world: World) -> None:
    told: list[Any] = []
    feed = world.daemon.handle
    world.daemon.handle = lambda event: (told.append(event), feed(event))[1]  # type: ignore[method-assign]
    world.nodes[0].reports = False
    for node in (1, 2):
        world.daemon.node_connections.check_health(node)
    world.until(lambda: sum(type(e).__name__ == "HealthCheckCompleted" for e in told) == 2)
    assert {e.node: e.ok for e in told if type(e).__name__ == "HealthCheckCompleted"} == {1: False, 2: True}


def test_a_last_word_that_went_missing_is_asked_for_again(tmp_path: Path) -> None:
    world = World(tmp_path, nodes=1)
    (node,) = world.nodes
    try:
        call = world.owner()
        for n in (1, 2):
            call.send(ask(n, service=n))
            assert word(call, "placed").ask == n
        ended = [_EVENT.Ended(id=o.id, how=_EVENT.Ended.HOW_FINISHED) for o in node.offers]
        node.say(ended=ended[1], number=2)  # the first one was lost on its way
        world.until(lambda: (0, True) in node.acks)
        for number, part in enumerate(ended, 1):
            node.say(ended=part, number=number)
        assert sorted(word(call, "ended").ask for _ in range(2)) == [1, 2]
        world.until(lambda: (2, False) in node.acks)
        assert sum(again for _, again in node.acks) == 1
    finally:
        world.close()


def test_a_node_that_has_left_is_forgotten(world: World) -> None:
    world.until(lambda: set(world.daemon.node_connections.received) == {1, 2})
    entries = [e for e in world.entries() if e.id == 2]
    world.watchers[-1].send(directory_pb2.NodeList(revision=2, full=True, nodes=entries))
    world.until(lambda: set(world.daemon.node_connections.connections) == {2})
    assert set(world.daemon.node_connections.received) == {2}

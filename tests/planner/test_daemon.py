"""The daemon on real sockets with stand-in peers: overload, malformed input, peers that do not respond."""

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

WAIT_S = 10.0
PLANNER_CONF = """
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


class NodeStandIn:
    """A stand-in node that follows the test's settings; by default it runs every offer at once."""

    def __init__(self, id: int) -> None:
        self.id = id
        self.offers: list[Any] = []
        self.stops: list[Any] = []
        self.calls: list[Any] = []
        self.runs_offers = True
        self.identity = id
        self.probes = 0
        self.acks: list[tuple[int, bool]] = []
        self.reports_load = True
        self.hangs = False
        self.held_tasks: list[Any] = []
        handlers = server_methods(
            NODE_SERVICE, Offers=self.stream, Probe=self.probe, Held=self.report_held_tasks
        )
        self.server = Server(["127.0.0.1:0"], handlers)
        self.server.start()

    def stream(self, call: Any) -> None:
        call.recv()
        if self.hangs:
            gevent.sleep(WAIT_S)
        call.send(_EVENT(welcome=_EVENT.Welcome(node=self.identity)))
        self.calls.append(call)
        while (request := call.recv()) is not None:
            kind = request.WhichOneof("kind")
            if kind == "probe":
                self.probes += 1
                if self.reports_load:
                    report = common_pb2.Report(free_cores=1000, free_memory=1000)
                    self.send(sampled=_EVENT.Sampled(probe=request.probe.probe, report=report))
                continue
            if kind == "stop":
                self.stops.append(request.stop)
                continue
            if kind == "ack":
                self.acks.append((request.ack.number, request.ack.again))
                continue
            self.offers.append(request.offer)
            if self.runs_offers:
                self.send(running=_EVENT.Running(id=request.offer.id))

    def send(self, **event: Any) -> None:
        self.calls[-1].send(_EVENT(**event))

    def probe(self, request: Any, call: Any) -> Any:
        return node_pb2.ProbeResponse(node=self.id)

    def report_held_tasks(self, request: Any, call: Any) -> Any:
        return node_pb2.HeldResponse(node=self.id, tasks=self.held_tasks)


class PlannerHarness:
    """A daemon with stand-in nodes and a stand-in node list service."""

    def __init__(self, tmp_path: Path, nodes: int = 2) -> None:
        self.nodes = [NodeStandIn(n + 1) for n in range(nodes)]
        self.watchers: list[Any] = []
        handlers = server_methods(
            DIRECTORY_SERVICE, List=self.list, Watch=self.watch, Announce=lambda call: None
        )
        self.directory = Server(["127.0.0.1:0"], handlers)
        self.directory.start()
        file = tmp_path / "planner.conf"
        file.write_text(PLANNER_CONF.format(directory=self.directory.addresses[0]))
        self.daemon = Daemon(load_planner(file))
        self.daemon.start()
        self.address = self.daemon.server.addresses[0]
        self.wait_until(
            lambda: self.daemon.core.links.links and all(n.calls for n in self.nodes if not n.hangs)
        )

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

    def wait_until(self, condition: Any) -> None:
        with gevent.Timeout(WAIT_S):
            while not condition():
                gevent.sleep(0.005)

    def connect_client(self, name: str = "o") -> Any:
        channel = Channel(self.address)
        call = open_call(channel, PLACEMENT_SERVICE, "Place")
        call.send(_REQUEST(hello=_REQUEST.Hello(owner=name)))
        assert call.recv(WAIT_S).WhichOneof("kind") == "welcome"
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


def place_request(n: int, task_class: str = "worker", wait_s: float = 6.0, **changes: Any) -> Any:
    fields: dict[str, Any] = {
        "key": n,
        "task_class": task_class,
        "service": 5,
        "cores": 1,
        "memory": 1,
        **changes,
    }
    return _REQUEST(ask=_REQUEST.Ask(ask=n, task=common_pb2.Task(**fields), wait_us=int(wait_s * 1e6)))


def next_event(call: Any, *kinds: str) -> Any:
    """Return the next event of the stream that is of one of these kinds; skip the others."""
    with gevent.Timeout(WAIT_S):
        while True:
            event = call.recv(WAIT_S)
            assert event is not None
            if event.WhichOneof("kind") in kinds:
                return getattr(event, event.WhichOneof("kind"))


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[PlannerHarness]:
    harness = PlannerHarness(tmp_path)
    yield harness
    harness.close()


def test_a_task_from_request_to_end(harness: PlannerHarness) -> None:
    call = harness.connect_client()
    call.send(place_request(1))
    events = [call.recv(WAIT_S).WhichOneof("kind") for _ in range(3)]
    assert events == ["taken", "offered", "placed"]
    (offer,) = harness.offers()
    node = next(n for n in harness.nodes if n.offers)
    node.send(ended=_EVENT.Ended(id=offer.id, how=_EVENT.Ended.HOW_FINISHED))
    assert next_event(call, "ended").finished and offer.task.owner == "o"


def test_grpcio_s_stock_client_is_served(harness: PlannerHarness) -> None:
    def place() -> list[str]:
        with grpc.insecure_channel(harness.address) as channel:
            method = channel.stream_stream(
                method_path(PLACEMENT_SERVICE, "Place"),
                request_serializer=_REQUEST.SerializeToString,
                response_deserializer=placement_pb2.PlaceEvent.FromString,
            )
            hello = _REQUEST(hello=_REQUEST.Hello(owner="stock"))
            events = method(iter([hello, place_request(1)]), timeout=WAIT_S)
            return [next(events).WhichOneof("kind") for _ in range(4)]

    assert gevent.get_hub().threadpool.apply(place) == ["welcome", "taken", "offered", "placed"]


@pytest.mark.parametrize(
    ("request_", "code", "text"),
    [
        (_REQUEST(), Code.INVALID_ARGUMENT, "kind"),
        (place_request(1), Code.INVALID_ARGUMENT, "kind"),
        (_REQUEST(hello=_REQUEST.Hello()), Code.INVALID_ARGUMENT, "hello.owner"),
        (_REQUEST(hello=_REQUEST.Hello(owner="x" * 101)), Code.INVALID_ARGUMENT, "hello.owner"),
    ],
)
def test_a_bad_first_message_names_the_field(
    harness: PlannerHarness, request_: Any, code: Code, text: str
) -> None:
    call = open_call(Channel(harness.address), PLACEMENT_SERVICE, "Place")
    call.send(request_)
    with pytest.raises(RpcError) as caught:
        call.recv(WAIT_S)
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
    harness: PlannerHarness, changes: dict, field: str
) -> None:
    call = harness.connect_client()
    call.send(place_request(1, **changes))
    rejected = next_event(call, "rejected")
    assert (rejected.code, rejected.field, rejected.ask) == (Code.INVALID_ARGUMENT, field, 1)
    call.send(place_request(2))
    assert next_event(call, "placed").ask == 2


def test_malformed_and_oversized_messages_end_only_their_own_stream(harness: PlannerHarness) -> None:
    reading = harness.connect_client()
    malformed = Channel(harness.address).call(
        method_path(PLACEMENT_SERVICE, "Place"), lambda raw: raw, lambda raw: raw
    )
    malformed.send(b"\xff\xff\xff garbage")
    with pytest.raises(RpcError) as caught:
        malformed.recv(WAIT_S)
    assert caught.value.code is Code.INVALID_ARGUMENT
    oversized = Channel(harness.address).call(
        method_path(PLACEMENT_SERVICE, "Place"), lambda raw: raw, lambda raw: raw
    )
    oversized.send(b"x" * 70_000)
    with pytest.raises(RpcError) as caught:
        oversized.recv(WAIT_S)
    assert caught.value.code is Code.RESOURCE_EXHAUSTED
    reading.send(place_request(1))
    assert next_event(reading, "placed").ask == 1


def test_unknown_methods_are_unimplemented(harness: PlannerHarness) -> None:
    call = Channel(harness.address).call("/stairplank.v1.Placement/Destroy", lambda raw: raw, lambda raw: raw)
    with pytest.raises(RpcError) as caught:
        call.recv(WAIT_S)
    assert caught.value.code is Code.UNIMPLEMENTED


def test_clients_above_the_bound_are_rejected(harness: PlannerHarness) -> None:
    calls = [harness.connect_client(f"o{i}") for i in range(4)]
    call = open_call(Channel(harness.address), PLACEMENT_SERVICE, "Place")
    call.send(_REQUEST(hello=_REQUEST.Hello(owner="one too many")))
    with pytest.raises(RpcError) as caught:
        call.recv(WAIT_S)
    assert caught.value.code is Code.RESOURCE_EXHAUSTED and len(calls) == 4


def test_requests_above_the_bound_are_rejected_with_a_retry_after(harness: PlannerHarness) -> None:
    for node in harness.nodes:
        node.runs_offers = False
    call = harness.connect_client()
    for n in range(1, 201):
        call.send(place_request(n, service=n))
    rejected = [next_event(call, "rejected") for _ in range(150)]
    assert all(r.code == Code.RESOURCE_EXHAUSTED and r.retry_after_us > 0 for r in rejected)
    assert harness.daemon.core.requests.open_tasks == 50


def test_a_client_that_does_not_read_is_disconnected_and_others_are_served(harness: PlannerHarness) -> None:
    stalled, reading = harness.connect_client("slow"), harness.connect_client("good")
    with gevent.Timeout(30):
        n = 0
        while len(harness.daemon.placement_service.sessions) > 1:
            n += 1
            stalled.send(place_request(n, cores=-1.0, task_class="?" * 60, service=n))
            gevent.sleep(0)
    reading.send(place_request(1))
    assert next_event(reading, "placed").ask == 1
    assert all(s.client == "good" for s in harness.daemon.core.requests.sessions.values())


def test_a_client_that_disconnects_leaves_no_attempt_behind(harness: PlannerHarness) -> None:
    for node in harness.nodes:
        node.runs_offers = False
    call = harness.connect_client()
    call.send(place_request(1, "report"))
    harness.wait_until(lambda: harness.offers())
    call.stream.connection.close()
    harness.wait_until(lambda: any(n.stops for n in harness.nodes))
    assert harness.daemon.core.requests.open_tasks == 0


def test_a_client_that_half_closes_its_stream_still_receives_the_outcome(harness: PlannerHarness) -> None:
    call = harness.connect_client()
    call.send(place_request(1))
    assert next_event(call, "placed").ask == 1
    call.close_send()
    node = next(n for n in harness.nodes if n.offers)
    node.send(ended=_EVENT.Ended(id=node.offers[0].id, how=_EVENT.Ended.HOW_FINISHED))
    assert next_event(call, "ended").finished
    assert call.recv(WAIT_S) is None  # every outcome was sent, so the stream ends without an error


def test_a_client_s_deadline_ends_its_stream(harness: PlannerHarness) -> None:
    for node in harness.nodes:
        node.runs_offers = False
    call = open_call(Channel(harness.address), PLACEMENT_SERVICE, "Place", timeout_s=0.5)
    call.send(_REQUEST(hello=_REQUEST.Hello(owner="o")))
    call.send(place_request(1))
    with pytest.raises(RpcError) as caught:
        while True:
            call.recv(WAIT_S)
    assert caught.value.code is Code.DEADLINE_EXCEEDED
    harness.wait_until(
        lambda: not harness.daemon.core.requests.sessions and harness.daemon.core.requests.open_tasks == 0
    )


def test_an_offer_whose_link_breaks_is_settled_by_the_node_s_report(harness: PlannerHarness) -> None:
    for node in harness.nodes:
        node.runs_offers = False
    call = harness.connect_client()
    call.send(place_request(1, "report"))
    harness.wait_until(lambda: harness.offers())
    node = next(n for n in harness.nodes if n.offers)
    node.held_tasks = [node_pb2.HeldTask(id=node.offers[0].id, task=node.offers[0].task, running=True)]
    node.calls[-1].stream.connection.close()
    assert next_event(call, "placed", "failed", "refused").node == node.id
    assert len(harness.offers()) == 1


def test_a_node_with_the_wrong_id_gets_no_offer(tmp_path: Path) -> None:
    harness = PlannerHarness(tmp_path, nodes=1)
    try:
        harness.nodes[0].identity = 99
        harness.nodes[0].calls[-1].stream.connection.close()
        call = harness.connect_client()
        call.send(place_request(1, wait_s=1.0))
        assert next_event(call, "refused", "failed", "placed").DESCRIPTOR.name == "Refused"
        assert harness.offers() == []
    finally:
        harness.close()


def test_a_node_that_connects_without_a_welcome_gets_no_offer(tmp_path: Path) -> None:
    harness = PlannerHarness(tmp_path, nodes=1)
    try:
        harness.nodes[0].hangs = True
        harness.nodes[0].calls[-1].stream.connection.close()
        call = harness.connect_client()
        call.send(place_request(1, "report", wait_s=1.5))
        # The task is proven not to have run, because no offer was sent.
        assert next_event(call, "refused", "failed", "placed").DESCRIPTOR.name == "Refused"
    finally:
        harness.close()


def test_a_broken_watch_of_the_node_list_is_opened_again(harness: PlannerHarness) -> None:
    watchers = len(harness.watchers)
    harness.watchers[-1].stream.connection.close()
    harness.wait_until(lambda: len(harness.watchers) > watchers)
    call = harness.connect_client()
    call.send(place_request(1))
    assert next_event(call, "placed").ask == 1


def test_a_shutdown_answers_open_requests_in_bounded_time(harness: PlannerHarness) -> None:
    for node in harness.nodes:
        node.runs_offers = False
    call = harness.connect_client()
    call.send(place_request(1))
    call.send(place_request(2, "report", service=6))
    harness.wait_until(lambda: len(harness.offers()) == 2)
    started_at = time.monotonic()
    shutdown = gevent.spawn(harness.daemon._shut_down)
    kinds = {type(next_event(call, "refused", "failed")).__name__ for _ in range(2)}
    assert kinds == {"Refused", "Failed"}
    assert shutdown.get(timeout=WAIT_S) is True and time.monotonic() - started_at < WAIT_S
    with pytest.raises(RpcError):
        Channel(harness.address, dial_timeout_s=1).connect()


def test_a_health_check_without_an_answer_fails(harness: PlannerHarness) -> None:
    events: list[Any] = []
    handle = harness.daemon.handle
    harness.daemon.handle = lambda event: (events.append(event), handle(event))[1]  # type: ignore[method-assign]
    harness.nodes[0].reports_load = False
    for node in (1, 2):
        harness.daemon.node_connections.check_health(node)
    harness.wait_until(lambda: sum(type(e).__name__ == "HealthCheckCompleted" for e in events) == 2)
    assert {e.node: e.ok for e in events if type(e).__name__ == "HealthCheckCompleted"} == {1: False, 2: True}


def test_a_lost_numbered_message_is_requested_again(tmp_path: Path) -> None:
    harness = PlannerHarness(tmp_path, nodes=1)
    (node,) = harness.nodes
    try:
        call = harness.connect_client()
        for n in (1, 2):
            call.send(place_request(n, service=n))
            assert next_event(call, "placed").ask == n
        ended = [_EVENT.Ended(id=o.id, how=_EVENT.Ended.HOW_FINISHED) for o in node.offers]
        node.send(ended=ended[1], number=2)  # number 1 was lost
        harness.wait_until(lambda: (0, True) in node.acks)
        for number, message in enumerate(ended, 1):
            node.send(ended=message, number=number)
        assert sorted(next_event(call, "ended").ask for _ in range(2)) == [1, 2]
        harness.wait_until(lambda: (2, False) in node.acks)
        assert sum(again for _, again in node.acks) == 1
    finally:
        harness.close()


def test_messages_of_an_unlisted_node_are_dropped(harness: PlannerHarness) -> None:
    harness.wait_until(lambda: set(harness.daemon.node_connections.received) == {1, 2})
    entries = [e for e in harness.entries() if e.id == 2]
    harness.watchers[-1].send(directory_pb2.NodeList(revision=2, full=True, nodes=entries))
    harness.wait_until(lambda: set(harness.daemon.node_connections.connections) == {2})
    assert set(harness.daemon.node_connections.received) == {2}

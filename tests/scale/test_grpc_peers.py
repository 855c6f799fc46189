"""Light nodes and the list of the gRPC form under a real planner in this process; what went over sockets."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket

from stairplank.planner.daemon import Daemon
from stairplank.proto import node_pb2
from stairplank.scale.grpc_clients import GrpcClient
from stairplank.scale.grpc_files import site_text, write_planner_file
from stairplank.scale.grpc_peers import GrpcList, GrpcWorkerHost
from stairplank.scale.socket_bytes import SocketTraffic, Usage, usage_of
from stairplank.settings import load_planner

WAIT_S = 10.0
WORKERS = 3


def until(reached: Callable[[], Any]) -> None:
    with gevent.Timeout(WAIT_S):
        while not reached():
            gevent.sleep(0.01)


class Connection:
    """Has a socket, as connections have."""

    def __init__(self, sock: Any) -> None:
        self.sock = sock


@pytest.fixture
def pair() -> Iterator[tuple[Any, Any]]:
    listener = socket.create_server(("127.0.0.1", 0))
    near = socket.create_connection(listener.getsockname())
    far, _ = listener.accept()
    yield near, far
    for sock in (listener, near, far):
        sock.close()


def test_bytes_of_a_socket_are_those_of_both_directions(pair: tuple[Any, Any]) -> None:
    near, far = pair
    before = usage_of(near, Usage())
    near.sendall(b"x" * 1000)
    assert far.recv(4096) == b"x" * 1000
    far.sendall(b"y" * 300)
    near.recv(4096)
    until(lambda: usage_of(near, Usage()).bytes - before.bytes == 1300)
    assert usage_of(near, Usage()).segments > before.segments


def test_a_closed_socket_keeps_what_was_known(pair: tuple[Any, Any]) -> None:
    near, _ = pair
    near.close()
    assert usage_of(near, Usage(7, 8)) == Usage(7, 8)


def test_what_is_no_task_message_is_control(pair: tuple[Any, Any]) -> None:
    near, far = pair
    traffic = SocketTraffic()
    traffic.opened(Connection(near))
    message = node_pb2.OfferEvent(running=node_pb2.OfferEvent.Running())
    near.sendall(b"x" * 500)
    far.recv(4096)
    until(lambda: traffic.counts().control_bytes >= 500)
    before = traffic.counts()
    traffic.task_message(message)
    after = traffic.counts()
    assert after.task_messages == 1 and after.task_bytes == message.ByteSize() + 14
    assert before.control_bytes - after.control_bytes == after.task_bytes
    assert after.dials == 1 and after.connection_seconds > 0


def test_a_planners_file_names_the_replicas_of_the_configuration(tmp_path: Path) -> None:
    replicas = ("127.0.0.1:7501", "127.0.0.1:7502")
    config = load_planner(write_planner_file(tmp_path, 1, 7, 7300, site_text(2), replicas))
    assert config.configuration == replicas
    assert config.configuration_copy == str(tmp_path / "planner-1.copy")
    assert load_planner(write_planner_file(tmp_path, 1, 7, 7300, site_text(2))).configuration == ()


def test_a_planner_places_tasks_at_light_nodes_and_is_counted(tmp_path: Path) -> None:
    workers, node_list = GrpcWorkerHost(), GrpcList()
    node_list.publish(workers.start(0, WORKERS, zones=2, rack_size=2))
    daemon = Daemon(load_planner(write_planner_file(tmp_path, 4, 7, node_list.start(), site_text(2))))
    daemon.start()
    until(lambda: workers.snapshot()["open"] == WORKERS)
    client = GrpcClient(daemon.server.addresses[0], 1)
    client.ask(0.0)
    client.ask(0.2)
    until(lambda: client.placed == 2)
    snapshot = workers.snapshot()
    counts = snapshot["traffic"][4]
    assert list(snapshot["traffic"]) == [4] and snapshot["tasks"] == 2
    assert counts["dials"] == WORKERS and counts["task_messages"] == 4
    assert counts["control_bytes"] > 0
    until(lambda: len(client.running) == 1)
    assert workers.snapshot()["tasks"] == 1 and not client.lost
    assert client.traffic()["task_messages"] >= 5
    assert node_list.snapshot()["traffic"][4]["control_bytes"] > 0
    assert daemon._shut_down()

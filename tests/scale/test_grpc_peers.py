"""Tests hollow nodes and the node list service of the gRPC form with a real planner in the same process.

It also tests the counts of bytes, segments and messages sent over sockets.
"""

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


def wait_until(condition: Callable[[], Any]) -> None:
    with gevent.Timeout(WAIT_S):
        while not condition():
            gevent.sleep(0.01)


class Connection:
    """Stands in for a connection; it has only the `sock` attribute."""

    def __init__(self, sock: Any) -> None:
        self.sock = sock


@pytest.fixture
def socket_pair() -> Iterator[tuple[Any, Any]]:
    listener = socket.create_server(("127.0.0.1", 0))
    client_sock = socket.create_connection(listener.getsockname())
    server_sock, _ = listener.accept()
    yield client_sock, server_sock
    for sock in (listener, client_sock, server_sock):
        sock.close()


def test_socket_bytes_count_both_directions(socket_pair: tuple[Any, Any]) -> None:
    client_sock, server_sock = socket_pair
    before = usage_of(client_sock, Usage())
    client_sock.sendall(b"x" * 1000)
    assert server_sock.recv(4096) == b"x" * 1000
    server_sock.sendall(b"y" * 300)
    client_sock.recv(4096)
    wait_until(lambda: usage_of(client_sock, Usage()).bytes - before.bytes == 1300)
    assert usage_of(client_sock, Usage()).segments > before.segments


def test_a_closed_socket_keeps_its_last_known_usage(socket_pair: tuple[Any, Any]) -> None:
    client_sock, _ = socket_pair
    client_sock.close()
    assert usage_of(client_sock, Usage(7, 8)) == Usage(7, 8)


def test_bytes_outside_task_messages_count_as_control(socket_pair: tuple[Any, Any]) -> None:
    client_sock, server_sock = socket_pair
    traffic = SocketTraffic()
    traffic.opened(Connection(client_sock))
    message = node_pb2.OfferEvent(running=node_pb2.OfferEvent.Running())
    client_sock.sendall(b"x" * 500)
    server_sock.recv(4096)
    wait_until(lambda: traffic.counts().control_bytes >= 500)
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


def test_a_planner_places_tasks_at_hollow_nodes_and_its_traffic_is_counted(tmp_path: Path) -> None:
    workers, node_list = GrpcWorkerHost(), GrpcList()
    node_list.publish(workers.start(0, WORKERS, zones=2, rack_size=2))
    daemon = Daemon(load_planner(write_planner_file(tmp_path, 4, 7, node_list.start(), site_text(2))))
    daemon.start()
    wait_until(lambda: workers.snapshot()["open"] == WORKERS)
    client = GrpcClient(daemon.server.addresses[0], 1)
    client.ask(0.0)
    client.ask(0.2)
    wait_until(lambda: client.placed == 2)
    snapshot = workers.snapshot()
    counts = snapshot["traffic"][4]
    assert list(snapshot["traffic"]) == [4] and snapshot["tasks"] == 2
    assert counts["dials"] == WORKERS and counts["task_messages"] == 4
    assert counts["control_bytes"] > 0
    wait_until(lambda: len(client.running) == 1)
    assert workers.snapshot()["tasks"] == 1 and not client.lost
    assert client.traffic()["task_messages"] >= 5
    assert node_list.snapshot()["traffic"][4]["control_bytes"] > 0
    assert daemon._shut_down()

"""Hollow peers of the gRPC form: processes that run many light nodes, the node list or many planners."""

from __future__ import annotations

import base64
from dataclasses import asdict
from typing import Any

import gevent

from ..planner.clock import now_us
from ..planner.convert import node_list_from_proto
from ..planner.daemon import Daemon
from ..proto import directory_pb2
from ..rpc import ServerCall
from ..settings import load_planner
from ..standin.config import NodeListConfig
from ..standin.light_node import LightNode
from ..standin.node_list_server import NodeListServer
from ..standin.node_list_state import NodeListModel
from .socket_bytes import TrafficByPlanner

POLL_S = 0.02
FIRST_NODE = 1  # 0 is not a valid node id
MODEL = NodeListModel(update_delay_us=10_000, period_us=50_000)


class GrpcWorkerHost:
    """Handles the commands sent to the process of light nodes."""

    def __init__(self) -> None:
        self._traffic = TrafficByPlanner()
        self._nodes: list[LightNode] = []

    def start(self, first: int, count: int, zones: int, rack_size: int) -> list[dict[str, Any]]:
        """Starts ``count`` nodes. Returns the node list rows of all nodes in this process."""
        for number in range(first, first + count):
            rack = number // rack_size
            node = LightNode(FIRST_NODE + number, None, self._traffic, f"zone-{rack % zones}", f"r{rack}")
            self._nodes.append(node)
        return [_node_list_row(node) for node in self._nodes]

    def snapshot(self) -> dict[str, Any]:
        """Returns the traffic of each planner and the number of nodes that run its tasks, with totals."""
        machines: dict[int, int] = {}
        for node in self._nodes:
            for planner in set(node.held.values()):
                machines[planner] = machines.get(planner, 0) + 1
        return {
            "traffic": {planner: asdict(traffic.counts()) for planner, traffic in self._traffic.items()},
            "task_machines": machines,
            "tasks": sum(len(node.held) for node in self._nodes),
            "open": sum(traffic.connections.open for traffic in self._traffic.values()),
        }


def _node_list_row(node: LightNode) -> dict[str, Any]:
    entry = base64.b64encode(node.entry().SerializeToString()).decode()
    return {"host": f"node-{node.id}", "entry": entry}


class _CountingNodeListServer(NodeListServer):
    """A stand-in node list that counts the traffic of each planner's watch."""

    def __init__(self, config: NodeListConfig) -> None:
        super().__init__(config)
        self.traffic = TrafficByPlanner()

    def watch(self, request: Any, call: ServerCall) -> None:
        connection = call.stream.connection
        self.traffic.opened(request.planner, connection)
        try:
            super().watch(request, call)
        finally:
            self.traffic.closed(request.planner, connection)


class GrpcList:
    """Handles the commands sent to the process of the node list."""

    def __init__(self) -> None:
        self._server = _CountingNodeListServer(NodeListConfig(("127.0.0.1:0",), MODEL, None, ()))
        self._server.start()

    def start(self) -> int:
        """Returns the port on which the node list listens."""
        return int(self._server.server.addresses[0].rpartition(":")[2])

    def publish(self, rows: list[dict[str, Any]]) -> int:
        """Adds ``rows`` to the list and waits until they are published. Returns the revision number."""
        entries = [directory_pb2.NodeEntry.FromString(base64.b64decode(row["entry"])) for row in rows]
        for node in node_list_from_proto(directory_pb2.NodeList(nodes=entries)).nodes:
            self._server.directory.announced(now_us(), node)
        while len(self._server.directory.nodes) < len(rows):
            gevent.sleep(POLL_S)
        return self._server.directory.revision

    def snapshot(self) -> dict[str, Any]:
        traffic = self._server.traffic
        return {"traffic": {planner: asdict(each.counts()) for planner, each in traffic.items()}}


class GrpcPlannerHost:
    """Handles the commands sent to the process of hollow planners."""

    def __init__(self) -> None:
        self._daemons: list[Daemon] = []

    def start(self, files: list[str]) -> list[str]:
        """Starts one planner per settings file. Returns the planners' addresses."""
        daemons = [Daemon(load_planner(path)) for path in files]
        for daemon in daemons:
            daemon.start()
        self._daemons += daemons
        return [daemon.server.addresses[0] for daemon in daemons]

    def snapshot(self) -> dict[str, Any]:
        return {"planners": len(self._daemons)}

"""Hollow peers of the gRPC form: light nodes, the stand-in node list, planners; many of each in a process."""

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
FIRST_NODE = 1  # ids of nodes are not 0
MODEL = NodeListModel(update_delay_us=10_000, period_us=50_000)


class GrpcWorkerHost:
    """The commands of a process of light nodes."""

    def __init__(self) -> None:
        self._traffic = TrafficByPlanner()
        self._nodes: list[LightNode] = []

    def start(self, first: int, count: int, zones: int, rack_size: int) -> list[dict[str, Any]]:
        """Start so many; the rows of the node list."""
        for number in range(first, first + count):
            rack = number // rack_size
            node = LightNode(FIRST_NODE + number, None, self._traffic, f"zone-{rack % zones}", f"r{rack}")
            self._nodes.append(node)
        return [_row(node) for node in self._nodes]

    def snapshot(self) -> dict[str, Any]:
        """Totals by planner, and at how many nodes tasks of each planner run."""
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


def _row(node: LightNode) -> dict[str, Any]:
    entry = base64.b64encode(node.entry().SerializeToString()).decode()
    return {"host": f"node-{node.id}", "entry": entry}


class _CountedListing(NodeListServer):
    """The stand-in list, with the traffic of each planner's watch."""

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
    """The commands of the node list's process."""

    def __init__(self) -> None:
        self._listing = _CountedListing(NodeListConfig(("127.0.0.1:0",), MODEL, None, ()))
        self._listing.start()

    def start(self) -> int:
        """Its port."""
        return int(self._listing.server.addresses[0].rpartition(":")[2])

    def publish(self, rows: list[dict[str, Any]]) -> int:
        """Tell of these rows; the number of the revision once it is told."""
        entries = [directory_pb2.NodeEntry.FromString(base64.b64decode(row["entry"])) for row in rows]
        for node in node_list_from_proto(directory_pb2.NodeList(nodes=entries)).nodes:
            self._listing.directory.announced(now_us(), node)
        while len(self._listing.directory.nodes) < len(rows):
            gevent.sleep(POLL_S)
        return self._listing.directory.revision

    def snapshot(self) -> dict[str, Any]:
        traffic = self._listing.traffic
        return {"traffic": {planner: asdict(one.counts()) for planner, one in traffic.items()}}


class GrpcPlannerHost:
    """The commands of a process of hollow planners."""

    def __init__(self) -> None:
        self._daemons: list[Daemon] = []

    def start(self, files: list[str]) -> list[str]:
        """Start one by each settings file; their addresses."""
        daemons = [Daemon(load_planner(path)) for path in files]
        for daemon in daemons:
            daemon.start()
        self._daemons += daemons
        return [daemon.server.addresses[0] for daemon in daemons]

    def snapshot(self) -> dict[str, Any]:
        return {"planners": len(self._daemons)}

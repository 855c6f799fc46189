"""The stand-in node list on sockets. Decides nothing."""

from __future__ import annotations

import time
from typing import Any

import gevent
import structlog
from gevent.event import Event as Flag

from .. import interface as api
from ..planner import convert
from ..planner.clock import now_us
from ..planner.events import ListedNode
from ..planner.services import DIRECTORY_SERVICE
from ..proto import directory_pb2, server_methods
from ..rpc import Code, RpcError, Server, ServerCall
from .config import NodeListConfig, wait_for_begin
from .node_list_state import NodeListState
from .script import Fault

BEAT_S = 1.0  # a watcher hears something so often, if only that there is nothing new
_STATES = {
    api.NodeStatus.GONE: directory_pb2.NodeEntry.STATE_GONE,
    api.NodeStatus.DRAINING: directory_pb2.NodeEntry.STATE_DRAINING,
    api.NodeStatus.READY: directory_pb2.NodeEntry.STATE_READY,
}


def entry_to(node: ListedNode) -> Any:
    """The message of a list entry."""
    return directory_pb2.NodeEntry(
        id=node.id,
        name=node.name,
        addresses=node.addresses,
        zone=node.zone,
        rack=node.rack,
        kind=node.node_type,
        state=_STATES[node.status],
        free_cores=node.free_cores,
        free_memory=node.free_memory,
        started_unix_us=node.started_unix_us,
    )


class NodeListServer:
    """Serves Directory; faults make it late, unreachable or hanging."""

    def __init__(self, config: NodeListConfig) -> None:
        self.config = config
        self.log = structlog.get_logger("directory")
        # Revisions go on where an earlier life may have left off: they follow the clock.
        self.directory = NodeListState(config.model, revision=int(time.time()))
        self.unreachable = False
        self.not_hanging = Flag()
        self.not_hanging.set()
        self.updated = Flag()
        handlers = server_methods(DIRECTORY_SERVICE, List=self.list, Watch=self.watch, Announce=self.announce)
        self.server = Server(config.listen, handlers)

    def start(self) -> None:
        """Start serving, and the faults of the script."""
        self.server.start()
        gevent.spawn(self.clock)
        for fault in self.config.faults:
            if fault.target == "list":
                gevent.spawn(self.script, fault)

    def clock(self) -> None:
        """Publish revisions as they come due."""
        while True:
            gevent.sleep(0.02)
            if self.directory.advance(now_us()):
                self.updated.set()
                self.updated = Flag()

    def script(self, fault: Fault) -> None:
        """Wait for a fault's time, carry it out and end it."""
        begin = wait_for_begin(self.config.begin)
        gevent.sleep(max(0.0, (begin + fault.at_us - now_us()) / 1e6))
        self.log.info("fault", what=fault.what, values=list(fault.values))
        self.apply(fault, True)
        if fault.duration_us:
            gevent.sleep(fault.duration_us / 1e6)
            self.apply(fault, False)

    def apply(self, fault: Fault, on: bool) -> None:
        """Begin a fault, or end it."""
        match fault.what:
            case "behind":
                self.directory.extra_delay_us = fault.values[0] if on else 0
            case "away":
                self.unreachable = on
                if on:
                    self.break_watches()
            case "hang":
                if on:
                    self.not_hanging.clear()
                else:
                    self.not_hanging.set()
            case "forget":
                # Danger for watchers: what changed meanwhile cannot be told as changes any more.
                self.directory.history.clear()
                self.break_watches()

    def break_watches(self) -> None:
        """Break the watchers' streams; nodes go on announcing."""
        for connection in list(self.server.connections):
            if any(call.path.endswith("/Watch") for call in connection.open_calls):
                connection.close(RpcError(Code.UNAVAILABLE, "out of reach by script"))

    def check_reachable(self) -> None:
        """Raise RpcError while unreachable; wait while hanging."""
        if self.unreachable:
            raise RpcError(Code.UNAVAILABLE, "out of reach by script")
        self.not_hanging.wait()

    def message(self, nodes: tuple[ListedNode, ...], full: bool, since: int) -> Any:
        """A list message with these nodes, complete or changes since a revision."""
        return directory_pb2.NodeList(
            revision=self.directory.revision,
            full=full,
            since=since,
            nodes=[entry_to(n) for n in nodes],
            now_unix_us=int(time.time() * 1e6),
        )

    def list(self, request: Any, call: ServerCall) -> Any:
        """Handler of Directory.List."""
        self.check_reachable()
        return self.message(self.directory.all_nodes(), True, 0)

    def watch(self, request: Any, call: ServerCall) -> None:
        """Handler of Directory.Watch."""
        self.check_reachable()
        have = request.revision
        first = True
        while True:
            news = self.updated
            changes = self.directory.changes_since(have) if have else None
            if changes is None:
                call.send(self.message(self.directory.all_nodes(), True, 0))
            elif changes or first or not news.is_set():
                call.send(self.message(changes, False, have))
            first = False
            have = self.directory.revision
            news.wait(BEAT_S)
            self.not_hanging.wait()

    def announce(self, call: ServerCall) -> Any:
        """Handler of Directory.Announce: one node's stream."""
        node = None
        try:
            while (entry := call.recv()) is not None:
                told = convert.node_list_from_proto(directory_pb2.NodeList(nodes=[entry]))
                for node in told.nodes:
                    self.directory.announced(now_us(), node)
        finally:
            if node is not None:
                self.directory.announcement_lost(now_us(), node.id)
        return directory_pb2.AnnounceResponse()

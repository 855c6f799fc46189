"""The I/O of the stand-in node list. ``node_list_state`` makes the decisions."""

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

WATCH_INTERVAL_S = 1.0  # a watcher gets a message at least this often, without changes if there are none
_STATES = {
    api.NodeStatus.GONE: directory_pb2.NodeEntry.STATE_GONE,
    api.NodeStatus.DRAINING: directory_pb2.NodeEntry.STATE_DRAINING,
    api.NodeStatus.READY: directory_pb2.NodeEntry.STATE_READY,
}


def entry_to(node: ListedNode) -> Any:
    """Convert an entry of the node list to its protocol message."""
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
    """Serves the Directory service; faults delay it, make it unreachable or let it hang."""

    def __init__(self, config: NodeListConfig) -> None:
        self.config = config
        self.log = structlog.get_logger("directory")
        # Revisions start at the clock's time, so that they are higher than those of an earlier incarnation.
        self.directory = NodeListState(config.model, revision=int(time.time()))
        self.unreachable = False
        self.not_hanging = Flag()
        self.not_hanging.set()
        self.updated = Flag()
        handlers = server_methods(DIRECTORY_SERVICE, List=self.list, Watch=self.watch, Announce=self.announce)
        self.server = Server(config.listen, handlers)

    def start(self) -> None:
        """Start serving, and schedule the faults of the script."""
        self.server.start()
        gevent.spawn(self.clock)
        for fault in self.config.faults:
            if fault.target == "list":
                gevent.spawn(self.script, fault)

    def clock(self) -> None:
        """Publish each revision when it is due."""
        while True:
            gevent.sleep(0.02)
            if self.directory.advance(now_us()):
                self.updated.set()
                self.updated = Flag()

    def script(self, fault: Fault) -> None:
        """Wait for a fault's time, begin the fault, and end it after its duration."""
        begin = wait_for_begin(self.config.begin)
        gevent.sleep(max(0.0, (begin + fault.at_us - now_us()) / 1e6))
        self.log.info("fault", what=fault.what, values=list(fault.values))
        self.apply(fault, True)
        if fault.duration_us:
            gevent.sleep(fault.duration_us / 1e6)
            self.apply(fault, False)

    def apply(self, fault: Fault, on: bool) -> None:
        """Begin a fault (``on``) or end it."""
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
                # Without the history, watchers that missed changes have to get the complete list.
                self.directory.history.clear()
                self.break_watches()

    def break_watches(self) -> None:
        """Close the connections of watchers; nodes can still announce themselves."""
        for connection in list(self.server.connections):
            if any(call.path.endswith("/Watch") for call in connection.open_calls):
                connection.close(RpcError(Code.UNAVAILABLE, "made unreachable by the fault script"))

    def check_reachable(self) -> None:
        """Raise RpcError while the service is unreachable; wait while it hangs."""
        if self.unreachable:
            raise RpcError(Code.UNAVAILABLE, "made unreachable by the fault script")
        self.not_hanging.wait()

    def message(self, nodes: tuple[ListedNode, ...], full: bool, since: int) -> Any:
        """Return a list message with ``nodes``: the complete list, or the changes since a revision."""
        return directory_pb2.NodeList(
            revision=self.directory.revision,
            full=full,
            since=since,
            nodes=[entry_to(n) for n in nodes],
            now_unix_us=int(time.time() * 1e6),
        )

    def list(self, request: Any, call: ServerCall) -> Any:
        """Handler of Directory.List: returns the complete list."""
        self.check_reachable()
        return self.message(self.directory.all_nodes(), True, 0)

    def watch(self, request: Any, call: ServerCall) -> None:
        """Handler of Directory.Watch: sends the list or its changes to one watcher."""
        self.check_reachable()
        known_revision = request.revision
        is_first = True
        while True:
            updated = self.updated
            changes = self.directory.changes_since(known_revision) if known_revision else None
            if changes is None:
                call.send(self.message(self.directory.all_nodes(), True, 0))
            elif changes or is_first or not updated.is_set():
                call.send(self.message(changes, False, known_revision))
            is_first = False
            known_revision = self.directory.revision
            updated.wait(WATCH_INTERVAL_S)
            self.not_hanging.wait()

    def announce(self, call: ServerCall) -> Any:
        """Handler of Directory.Announce: reads the entries that one node announces."""
        node = None
        try:
            while (entry := call.recv()) is not None:
                announced = convert.node_list_from_proto(directory_pb2.NodeList(nodes=[entry]))
                for node in announced.nodes:
                    self.directory.announced(now_us(), node)
        finally:
            if node is not None:
                self.directory.announcement_lost(now_us(), node.id)
        return directory_pb2.AnnounceResponse()

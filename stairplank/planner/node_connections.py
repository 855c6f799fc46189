"""The connections to nodes: carries out what the core wants dialled, sent and asked of nodes."""

from __future__ import annotations

from typing import Any

import gevent

from ..fence import ClockStepDetector
from ..proto import method_path, node_pb2
from ..rpc import Code, RpcError
from . import convert
from . import events as ev
from .clock import now_us, raw_us
from .events import AttemptId
from .node_connection import NEVER_SENT, NodeConnection, NodeMessages, SentMessage
from .process import PlannerProcess
from .services import NODE_SERVICE

MAX_READING_GAP_US = 1_000  # between two readings of clocks that are compared
MISSING_MESSAGES_POLL_S = 0.005


class NodeConnections:
    """At most one connection for each node."""

    def __init__(self, process: PlannerProcess) -> None:
        """No node is connected yet."""
        self.process = process
        self.connections: dict[int, NodeConnection] = {}
        self.received: dict[int, NodeMessages] = {}  # by node; outlives a connection
        self._last_epoch = 0
        self._step_watch = ClockStepDetector()

    # Clocks and epochs

    def next_epoch(self) -> int:
        """Number of a new connection; grows with each in this process life."""
        self._last_epoch += 1
        return self._last_epoch

    def clock_stepped(self) -> bool:
        """Whether the monotonic clock has jumped against the raw one; all grants are forgotten then."""
        before = now_us()
        raw = raw_us()
        after = now_us()
        if after - before > MAX_READING_GAP_US or not self._step_watch.has_stepped(before, raw):
            return False  # stalled between the readings: they say nothing about each other
        for connection in self.connections.values():
            connection.stamps.forget()
        return True

    # A connection's life

    def dial(self, action: ev.Dial) -> None:
        """Begin to connect; the core is given LinkUp or DialFailed."""
        self.connections[action.node] = NodeConnection(self, action.node, action.addresses)

    def close(self, node: int) -> None:
        """Close the connection to a node, if there is one; the core is given LinkDown."""
        if node in self.connections:
            self.connections[node].close()

    def close_all(self) -> None:
        """Close every connection, as the process shuts down."""
        for connection in list(self.connections.values()):
            connection.close()

    def connection_ended(self, connection: NodeConnection, event: ev.Event) -> None:
        """Remove a connection that is over and give the core the event."""
        node = connection.node
        if self.connections.get(node) is not connection:
            return  # it was replaced: what becomes of it says nothing about the newer one
        del self.connections[node]
        self.process.handle(event)
        if not self.process.core.links.is_linked(node):
            self.received.pop(node, None)  # the node is gone: its messages need not be remembered

    # Messages to nodes

    def send_offer(self, action: ev.SendOffer) -> None:
        """Queue an offer for its node."""
        connection = self.connections.get(action.node)
        if connection is None:
            return
        task = f"{action.task.client}/{action.task.key}"
        attempt = f"{action.id.placement}.{action.id.attempt}"
        self.process.log.debug("offered", task=task, attempt=attempt, node=action.node)
        task_class = self.process.config.settings.classes[action.class_index]
        message = convert.offer_to_proto(action, task_class, connection.stamp())
        self._send(connection, message, action.id)

    def send_commit(self, action: ev.SendCommit) -> None:
        """Queue the start of a group's members at their node."""
        connection = self.connections.get(action.node)
        if connection is not None:
            self._send(connection, convert.commit_to_proto(action, connection.stamp()))

    def send_lease_renewal(self, action: ev.SendLeaseRenewal) -> None:
        """Queue the renewal of leases at a node."""
        connection = self.connections.get(action.node)
        if connection is not None:
            self._send(connection, convert.lease_renewal_to_proto(action, connection.stamp()))

    def send_stop(self, action: ev.SendStop) -> None:
        """Queue the stop of an attempt for its node."""
        connection = self.connections.get(action.node)
        if connection is not None:
            self._send(connection, convert.stop_to_proto(action))

    def _send(self, connection: NodeConnection, message: Any, attempt: AttemptId | None = None) -> None:
        if not connection.send(message, attempt):
            self.process.log.warning("node does not read", node=connection.node)
            if attempt is not None:
                connection.sent.append(SentMessage(NEVER_SENT, attempt))
            connection.close()

    # Requests to nodes

    def check_health(self, node: int) -> None:
        """Begin a health check; without a connection it fails at once."""
        connection = self.connections.get(node)
        if connection is None or not connection.check_health():
            self.process.enqueue(ev.HealthCheckCompleted(node, False, 0))

    def request_tasks(self, node: int) -> None:
        """Ask a node which tasks of this planner it has; blocks until the core is given the answer."""
        process = self.process
        connection = self.connections.get(node)
        requested_at = now_us()
        request = node_pb2.HeldRequest(planner=process.position, life=process.incarnation)
        timeout_us = process.config.link_grace_us + 1
        try:
            report = self._unary(node, "Held", request, node_pb2.HeldResponse, timeout_us)
        except RpcError as error:
            process.log.info("held not told", node=node, error=str(error))
            process.handle(ev.NodeTasksFailed(node))
            return
        # Numbered messages sent before this answer may still be on their way, on the other stream.
        until = now_us() + process.config.link_grace_us
        while connection is not None and connection.received.last_number < report.words and now_us() < until:
            if self.connections.get(node) is not connection:
                return  # the link broke: the next one asks again
            gevent.sleep(MISSING_MESSAGES_POLL_S)
        if connection is None or connection.received.last_number < report.words:
            report.complete = False
        process.handle(convert.node_tasks_from_proto(node, report, requested_at))

    def _unary(self, node: int, method: str, request: Any, answer: Any, timeout_us: int) -> Any:
        connection = self.connections.get(node)
        if connection is None or connection.channel is None:
            raise RpcError(Code.UNAVAILABLE, "no link", never_ran=True)
        timeout_s = timeout_us / 1e6
        return connection.channel.unary(
            method_path(NODE_SERVICE, method), request, answer.FromString, timeout_s=timeout_s
        )

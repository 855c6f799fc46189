"""The connections to nodes: carries out the core's dials, messages and requests to nodes."""

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

MAX_READING_GAP_US = 1_000  # the longest time between two clock readings that may be compared
MISSING_MESSAGES_POLL_S = 0.005


class NodeConnections:
    """The connections of a planner, at most one for each node."""

    def __init__(self, process: PlannerProcess) -> None:
        """Start without connections."""
        self.process = process
        self.connections: dict[int, NodeConnection] = {}
        self.received: dict[int, NodeMessages] = {}  # messages by node; kept when a connection ends
        self._last_epoch = 0
        self._clock_step_detector = ClockStepDetector()

    # Clocks and epochs

    def next_epoch(self) -> int:
        """Return the epoch of a new stream; epochs increase for as long as the process runs."""
        self._last_epoch += 1
        return self._last_epoch

    def clock_stepped(self) -> bool:
        """Return whether the monotonic clock has jumped against the raw one; if so, drop all grants."""
        before = now_us()
        raw = raw_us()
        after = now_us()
        if after - before > MAX_READING_GAP_US or not self._clock_step_detector.has_stepped(before, raw):
            return False  # the clocks agree, or a stall between the readings makes them incomparable
        for connection in self.connections.values():
            connection.stamps.forget()
        return True

    # Opening and closing connections

    def dial(self, action: ev.Dial) -> None:
        """Start to connect to a node; the core receives LinkUp or DialFailed."""
        self.connections[action.node] = NodeConnection(self, action.node, action.addresses)

    def close(self, node: int) -> None:
        """Close the connection to a node, if there is one; the core receives LinkDown or DialFailed."""
        if node in self.connections:
            self.connections[node].close()

    def close_all(self) -> None:
        """Close every connection when the process shuts down."""
        for connection in list(self.connections.values()):
            connection.close()

    def connection_ended(self, connection: NodeConnection, event: ev.Event) -> None:
        """Remove a connection that has ended and pass the event to the core."""
        node = connection.node
        if self.connections.get(node) is not connection:
            return  # a newer connection has replaced this one, and its state must not change
        del self.connections[node]
        self.process.handle(event)
        if not self.process.core.links.is_linked(node):
            self.received.pop(node, None)  # the node is not in use any more: drop its received messages

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
        """Queue the commit of a group's members for their node."""
        connection = self.connections.get(action.node)
        if connection is not None:
            self._send(connection, convert.commit_to_proto(action, connection.stamp()))

    def send_lease_renewal(self, action: ev.SendLeaseRenewal) -> None:
        """Queue the renewal of leases for a node."""
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
        """Start a health check of a node; without a connection it fails at once."""
        connection = self.connections.get(node)
        if connection is None or not connection.check_health():
            self.process.enqueue(ev.HealthCheckCompleted(node, False, 0))

    def request_tasks(self, node: int) -> None:
        """Request this planner's tasks at a node. Blocks until the core has received the answer."""
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
        # Numbered messages that the node sent before this answer may still be in transit on the other stream.
        wait_end = now_us() + process.config.link_grace_us
        while (
            connection is not None and connection.received.last_number < report.words and now_us() < wait_end
        ):
            if self.connections.get(node) is not connection:
                return  # the link broke: the tasks are requested again when the next link is up
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

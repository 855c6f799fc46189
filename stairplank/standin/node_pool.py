"""The I/O of stand-in nodes: many in one process, each with its own addresses. ``node`` decides."""

from __future__ import annotations

import random
import time
from typing import Any

import gevent
import structlog
from gevent.event import Event as Flag

from .. import interface as api
from ..planner import convert
from ..planner.clock import now_us
from ..planner.services import DIRECTORY_SERVICE, NODE_SERVICE
from ..proto import common_pb2, directory_pb2, node_pb2, open_call, server_methods
from ..rpc import Channel, Code, RpcError, Server, ServerCall
from .config import NodeConfig, NodePoolConfig, wait_for_begin
from .dedup_memory import DedupMemories
from .node import Node
from .node_events import Crashed, DrainingReported, HealthChecked, NodeEvent, Reported
from .planner_session import PlannerSession
from .script import Fault

ANNOUNCE_S = 0.1  # interval between checks for a change to announce, and between retries
FINAL_STATUSES = ("refused", "error", "ended")
_EVENT = node_pb2.OfferEvent
_STATE = {
    api.NodeStatus.READY: directory_pb2.NodeEntry.STATE_READY,
    api.NodeStatus.DRAINING: directory_pb2.NodeEntry.STATE_DRAINING,
}
_HOW = {
    api.Result.FINISHED: _EVENT.Ended.HOW_FINISHED,
    api.Result.CANCELLED: _EVENT.Ended.HOW_STOPPED,
    api.Result.LOST: _EVENT.Ended.HOW_LOST,
}


def status_message(report: Reported) -> Any:
    """Convert a node's report about an attempt to its protocol message."""
    id = convert.attempt_id_to_proto(report.id)
    reason: Any = int(report.reason)
    match report.kind:
        case "accepted":
            return _EVENT(accepted=_EVENT.Accepted(id=id))
        case "ready":
            return _EVENT(ready=_EVENT.Ready(id=id))
        case "running":
            return _EVENT(running=_EVENT.Running(id=id))
        case "refused":
            reason = common_pb2.REASON_TOO_LATE if report.is_late else reason
            return _EVENT(refused=_EVENT.Refused(id=id, reason=reason))
        case "error":
            return _EVENT(error=_EVENT.Error(id=id))
        case "usage":
            return _EVENT(usage=_EVENT.Usage(id=id, cores=report.cores, memory=report.memory))
    assert report.result is not None
    return _EVENT(ended=_EVENT.Ended(id=id, how=_HOW[report.result], reason=reason))


class HostedNode:
    """One node of the pool: its current incarnation, its server and its faults."""

    def __init__(self, pool: NodePool, config: NodeConfig) -> None:
        self.pool = pool
        self.config = config
        self.id = config.model.id
        self.rng = random.Random(pool.config.seed * 7919 + self.id)
        self.node: Node | None = None
        self.server: Server | None = None
        self.started_unix_us = 0
        self.sessions: dict[int, PlannerSession] = {}
        self.calls: dict[int, ServerCall] = {}  # the newest stream by planner
        self.probes: dict[int, Any] = {}  # by token: how to deliver the result of a health check
        self.next_probe = 0
        self.report_loss = (0.0, "silence")  # share of status reports that are lost, and how
        self.unresponsive = False
        self.not_hanging = Flag()
        self.not_hanging.set()  # the flag is clear while the node hangs
        self.is_pausing = False
        self.changed = 0  # number of changes to the node list entry
        self.announcing: list[Any] = []
        self.wake = Flag()
        self.addresses: tuple[str, ...] = config.listen

    def start(self, cold: bool) -> None:
        """Start a new incarnation: listen, announce and serve. A ``cold`` node begins in slow start."""
        seed = self.rng.randrange(2**63)
        self.node = Node(self.config.model, self.pool.dedup_memories, seed, now_us(), cold)
        self.started_unix_us = int(time.time() * 1e6) if cold else 0
        handlers = server_methods(NODE_SERVICE, Offers=self.offers, Probe=self.probe, Held=self.list_tasks)
        self.server = Server(self.addresses, handlers)
        self.addresses = self.server.addresses
        self.server.start()
        self.announcing = [gevent.spawn(self.announce, *d) for d in self.pool.config.directories]
        gevent.spawn(self.clock, self.node)

    def kill(self) -> None:
        """End the incarnation at once; its tasks, streams and sessions are lost."""
        node, self.node = self.node, None
        if node is not None:
            node.die()
        gevent.killall(self.announcing, block=False)
        if self.server is not None:
            self.server.stop()
        self.calls.clear()
        self.sessions.clear()
        self.wake.set()

    # Timers and reports

    def clock(self, node: Node) -> None:
        """Advance the node whenever something is due."""
        while self.node is node:
            self.wake.clear()
            due = node.next_due()
            left = None if due is None else max(0, due - now_us()) / 1e6
            self.wake.wait(left)
            self.not_hanging.wait()
            if self.node is node:
                self.report_all(node.advance(now_us()))

    def report_all(self, events: list[NodeEvent]) -> None:
        """Send a node's reports to its planners, and stop the node if it has crashed."""
        for event in events:
            match event:
                case Reported():
                    self.report_status(event)
                case DrainingReported():
                    for planner, call in list(self.calls.items()):
                        self.send(call, _EVENT(draining=_EVENT.Draining()), planner)
                case HealthChecked():
                    waiting = self.probes.pop(event.token, None)
                    if isinstance(waiting, tuple):
                        call, planner, number = waiting
                        sampled = _EVENT.Sampled(probe=number, report=self.load_report(event))
                        self.send(call, _EVENT(sampled=sampled), planner)
                    elif waiting is not None:
                        waiting.set(event)
                case Crashed():
                    self.pool.log.warning(
                        "node fell over", node=self.id, offers=event.offers, borne=event.max_offers
                    )
                    gevent.spawn(self.kill)
        self.wake.set()

    def report_status(self, report: Reported) -> None:
        """Send an attempt's status to its planner; a final status is kept until acknowledged."""
        call = self.calls.get(report.planner)
        event = status_message(report)
        if report.kind in FINAL_STATUSES:
            session = self.sessions.get(report.planner)
            if session is not None:
                event.number = session.outbox.add(event)
        if call is None or self.unresponsive:
            return
        share, how = self.report_loss
        if share and self.rng.random() < share:
            if how == "reset":
                call.stream.connection.close(RpcError(Code.UNAVAILABLE, "reset by script"))
            return
        self.send(call, event, report.planner)

    def send(self, call: ServerCall, event: Any, planner: int) -> None:
        """Send a message on a planner's stream, with a grant if one is due."""
        session = self.sessions.get(planner)
        if session is not None:
            event.grant = session.grant(now_us())
        try:
            if not call.try_send(event):
                call.stream.connection.close(RpcError(Code.RESOURCE_EXHAUSTED, "the planner does not read"))
        except RpcError:
            pass  # the stream has broken: its messages are lost, as on a broken link

    # Handlers of the node service

    def offers(self, call: ServerCall) -> None:
        """Handler of Node.Offers: serves the stream of one planner."""
        self.not_hanging.wait()
        first = call.recv(5.0)
        if first is None or first.WhichOneof("kind") != "hello":
            raise RpcError(Code.INVALID_ARGUMENT, "kind: the first message must be hello")
        node = self.running_node()
        hello = first.hello
        planner = hello.planner
        session = self.sessions.setdefault(planner, PlannerSession(self.rng))
        unacknowledged = session.open(now_us(), hello.life, hello.epoch, hello.heard)
        if unacknowledged is None:
            raise RpcError(Code.ABORTED, "a newer stream of this planner has been here")
        assert session.grants is not None
        welcome = _EVENT.Welcome(node=self.id, started_unix_us=self.started_unix_us, draining=node.draining)
        # The newer stream replaces the older one, whose unread messages must not be processed: the planner
        # assumes that an offer was never received if the node reports it neither as present nor as ended.
        older = self.calls.pop(planner, None)
        if older is not None:
            older.stream.connection.close(RpcError(Code.ABORTED, "a newer stream of this planner is here"))
        self.calls[planner] = call
        call.send(_EVENT(welcome=welcome, grant=session.grants.issue(now_us())))
        for _, event in unacknowledged:
            self.send(call, event, planner)
        renewing = gevent.spawn(self.renew, call, planner, session)
        try:
            while (request := call.recv()) is not None:
                self.not_hanging.wait()
                if self.calls.get(planner) is not call:
                    break  # a newer stream has replaced this one, whose unread messages are dropped
                self.handle_message(self.running_node(), call, planner, request)
        finally:
            renewing.kill(block=False)
            if self.calls.get(planner) is call:
                del self.calls[planner]

    def renew(self, call: ServerCall, planner: int, session: PlannerSession) -> None:
        """Send a grant on an idle stream whenever one is due."""
        while (grants := session.grants) is not None and call.stream.error is None:
            gevent.sleep(max(0.01, (grants.next_due() - now_us()) / 1e6))
            self.not_hanging.wait()
            if session.grants is grants and now_us() >= grants.next_due():
                self.send(call, _EVENT(renewed=_EVENT.Grant()), planner)

    @staticmethod
    def load_report(result: HealthChecked) -> Any:
        """Convert the result of a health check to its load report message."""
        return common_pb2.Report(
            free_cores=result.free_cores, free_memory=result.free_memory, util=result.utilization
        )

    def handle_message(self, node: Node, call: ServerCall, planner: int, request: Any) -> None:
        """Process a message of a planner."""
        session = self.sessions[planner]
        match request.WhichOneof("kind"):
            case "offer":
                offer = request.offer
                self.report_all(
                    node.offer(
                        now_us(),
                        planner,
                        convert.attempt_id_from_proto(offer.id),
                        convert.task_from_proto(offer.task),
                        offer.wait_us,
                        offer.priority,
                        offer.window_us,
                        convert.group_tag_from_proto(offer.group) if offer.HasField("group") else None,
                        said_at=session.earliest_sent_at(now_us(), convert.stamp_from_proto(offer)),
                    )
                )
            case "ack":
                session.outbox.acknowledge(request.ack.number)
                for _, event in (
                    session.outbox.unacknowledged_after(request.ack.number) if request.ack.again else ()
                ):
                    self.send(call, event, planner)
            case "commit":
                ids = [convert.attempt_id_from_proto(i) for i in request.commit.ids]
                said_at = session.earliest_sent_at(now_us(), convert.stamp_from_proto(request.commit))
                self.report_all(node.commit(now_us(), ids, request.commit.lease_us, said_at=said_at))
            case "keep":
                ids = [convert.attempt_id_from_proto(i) for i in request.keep.ids]
                said_at = session.earliest_sent_at(now_us(), convert.stamp_from_proto(request.keep))
                self.report_all(node.keep(now_us(), ids, request.keep.lease_us, said_at=said_at))
                if request.keep.keep and said_at is not None:
                    self.send(call, _EVENT(kept=_EVENT.Kept(keep=request.keep.keep)), planner)
            case "stop":
                self.report_all(node.stop(now_us(), convert.attempt_id_from_proto(request.stop.id)))
            case "probe":
                self.next_probe += 1
                self.probes[self.next_probe] = (call, planner, request.probe.probe)
                self.report_all(node.probe(now_us(), self.next_probe))

    def running_node(self) -> Node:
        """Return the node's current incarnation. Raises RpcError while the node is down."""
        if self.node is None or self.node.crashed:
            raise RpcError(Code.UNAVAILABLE, "the node is down")
        return self.node

    def probe(self, request: Any, call: ServerCall) -> Any:
        """Handler of Node.Probe: returns the result of a health check."""
        self.not_hanging.wait()
        node = self.running_node()
        self.next_probe += 1
        waiting = self.probes[self.next_probe] = gevent.event.AsyncResult()
        token = self.next_probe
        try:
            self.report_all(node.probe(now_us(), token))
            result: Any = waiting.get(timeout=5.0)
        except gevent.Timeout:
            raise RpcError(
                Code.UNAVAILABLE, "the health check was not reached in the queue within 5 s"
            ) from None
        finally:
            self.probes.pop(token, None)
        return node_pb2.ProbeResponse(
            node=self.id, started_unix_us=self.started_unix_us, report=self.load_report(result)
        )

    def list_tasks(self, request: Any, call: ServerCall) -> Any:
        """Handler of Node.Held: lists the tasks of a planner, from all its incarnations."""
        self.not_hanging.wait()
        node = self.running_node()
        session = self.sessions.get(request.planner)
        complete = session is not None and session.is_complete_for(request.life)
        last_number = (
            session.outbox.last_number if session is not None and session.incarnation == request.life else 0
        )
        answer = node_pb2.HeldResponse(
            node=self.id, started_unix_us=self.started_unix_us, complete=complete, words=last_number
        )
        for tasks, offers in (
            (answer.tasks, node.offers_of(request.planner)),
            (answer.finished, node.finished_of(request.planner, now_us())),
        ):
            for offer in offers:
                tasks.add(
                    id=convert.attempt_id_to_proto(offer.id),
                    task=convert.task_to_proto(offer.task),
                    running=offer.state.value == "running",
                    group=convert.group_tag_to_proto(offer.group) if offer.group is not None else None,
                )
        return answer

    # Announcements to the node list service

    def announce(self, directory: str, name: str) -> None:
        """Send the node's entry to a node list service at each change, until the node is killed."""
        while self.node is not None:
            channel = Channel(directory)
            try:
                call = open_call(channel, DIRECTORY_SERVICE, "Announce")
                announced = -1
                while self.node is not None:
                    if self.changes() != announced:
                        announced = self.changes()
                        call.send(self.entry(self.node, name))
                    if call.stream.error is not None:
                        break
                    gevent.sleep(ANNOUNCE_S)
            except RpcError:
                gevent.sleep(ANNOUNCE_S)
            finally:
                channel.close()

    def changes(self) -> int:
        """Return the number of changes so far to the node's entry in the node list."""
        if self.node is not None and self.node.changed:
            self.node.changed = False
            self.changed += 1
        return self.changed

    def entry(self, node: Node, name: str) -> Any:
        """Return the node's entry for the node list service called ``name``."""
        model = self.config.model
        status = api.NodeStatus.DRAINING if node.draining else api.NodeStatus.READY
        free = node.free()
        return directory_pb2.NodeEntry(
            id=self.id,
            name=model.name,
            addresses=self.config.advertise.get(name) or self.addresses,
            zone=model.zone,
            rack=model.rack,
            kind=model.node_type,
            state=_STATE[status],
            free_cores=free[0],
            free_memory=free[1],
            started_unix_us=self.started_unix_us,
        )


class NodePool:
    """All stand-in nodes of one process."""

    def __init__(self, config: NodePoolConfig) -> None:
        self.config = config
        self.log = structlog.get_logger("nodes")
        self.dedup_memories = DedupMemories(config.classes)
        self.nodes = {n.model.id: HostedNode(self, n) for n in config.nodes}

    def start(self) -> None:
        """Start the nodes that are not marked absent, and schedule the faults of the script."""
        for node in self.nodes.values():
            if not node.config.absent:
                node.start(node.config.cold)
        for fault in self.config.faults:
            if fault.target == "node":
                gevent.spawn(self.script, fault)

    def run_signal_faults(self) -> None:
        """Run the ``on-signal`` faults of the settings file now; the handler of SIGUSR1."""
        for fault in self.config.on_signal:
            gevent.spawn(self.run_fault, fault)

    def script(self, fault: Fault) -> None:
        """Wait for a fault's time, then run the fault."""
        begin = wait_for_begin(self.config.begin)
        gevent.sleep(max(0.0, (begin + fault.at_us - now_us()) / 1e6))
        self.run_fault(fault)

    def run_fault(self, fault: Fault) -> None:
        """Apply a fault to its nodes, and end it after its duration."""
        nodes = [self.nodes[i] for i in fault.target_ids if i in self.nodes]
        self.log.info("fault", what=fault.what, nodes=[n.id for n in nodes], values=list(fault.values))
        for node in nodes:
            self.apply(node, fault, True)
        if fault.duration_us:
            gevent.sleep(fault.duration_us / 1e6)
            for node in nodes:
                self.apply(node, fault, False)

    @staticmethod
    def pause_repeatedly(hosted: HostedNode, length_us: int, every_us: int) -> None:
        """Stall a node for ``length_us`` in every ``every_us``: it then reads, admits and starts nothing."""
        while hosted.is_pausing:
            hosted.not_hanging.clear()
            gevent.sleep(length_us / 1e6)
            hosted.not_hanging.set()
            gevent.sleep(max(0.0, (every_us - length_us) / 1e6))

    def apply(self, hosted: HostedNode, fault: Fault, on: bool) -> None:
        """Begin a fault (``on``) or end it."""
        if not self._apply_to_process(hosted, fault, on) and hosted.node is not None:
            self._apply_to_node(hosted, hosted.node, fault, on)

    def _apply_to_process(self, hosted: HostedNode, fault: Fault, on: bool) -> bool:
        """Begin or end a fault of the process or its connections; return False for any other fault."""
        match fault.what:
            case "kill" if on:
                hosted.kill()
            case "kill":
                hosted.start(cold=True)
            case "grow":
                if hosted.node is None:
                    hosted.start(cold=True)
            case "cut":
                for call in list(hosted.calls.values()):
                    call.stream.connection.close(RpcError(Code.UNAVAILABLE, "cut by script"))
            case "hang" if on:
                hosted.not_hanging.clear()
            case "hang":
                hosted.not_hanging.set()
            case "silent":
                hosted.unresponsive = on
            case "lose-answers":
                hosted.report_loss = (fault.values[0], fault.values[1]) if on else (0.0, "silence")
            case "pauses":
                hosted.is_pausing = on
                if on:
                    gevent.spawn(self.pause_repeatedly, hosted, *fault.values)
            case _:
                return False
        return True

    @staticmethod
    def _apply_to_node(hosted: HostedNode, node: Node, fault: Fault, on: bool) -> None:
        """Begin or end a fault in how the node treats tasks."""
        match fault.what:
            case "drain":
                hosted.report_all(node.drain(now_us()))
            case "leave":
                hosted.report_all(node.drain(now_us()))
                gevent.spawn_later(fault.values[0] / 1e6, hosted.kill)
            case "fail-starts":
                node.faults.start_failure_share = fault.values[0] if on else 0.0
            case "refuse":
                node.faults.rejection_share = fault.values[0] if on else 0.0
            case "turn-away":
                node.faults.rejection_share_by_class = {fault.values[0]: fault.values[1]} if on else {}
            case "slow":
                node.faults.slowdown = fault.values[0] if on else 1.0

"""Stand-in nodes on sockets: many in one process, each with addresses of its own. Decides nothing."""

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

ANNOUNCE_S = 0.1
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


def message(word: Reported) -> Any:
    """The message of a report about an attempt."""
    id = convert.attempt_id_to_proto(word.id)
    reason: Any = int(word.reason)
    match word.kind:
        case "accepted":
            return _EVENT(accepted=_EVENT.Accepted(id=id))
        case "ready":
            return _EVENT(ready=_EVENT.Ready(id=id))
        case "running":
            return _EVENT(running=_EVENT.Running(id=id))
        case "refused":
            reason = common_pb2.REASON_TOO_LATE if word.is_late else reason
            return _EVENT(refused=_EVENT.Refused(id=id, reason=reason))
        case "error":
            return _EVENT(error=_EVENT.Error(id=id))
        case "usage":
            return _EVENT(usage=_EVENT.Usage(id=id, cores=word.cores, memory=word.memory))
    assert word.result is not None
    return _EVENT(ended=_EVENT.Ended(id=id, how=_HOW[word.result], reason=reason))


class HostedNode:
    """One node: its present life, its listeners, its faults."""

    def __init__(self, pool: NodePool, config: NodeConfig) -> None:
        self.pool = pool
        self.config = config
        self.id = config.model.id
        self.rng = random.Random(pool.config.seed * 7919 + self.id)
        self.node: Node | None = None
        self.server: Server | None = None
        self.started_unix_us = 0
        self.doors: dict[int, PlannerSession] = {}
        self.calls: dict[int, ServerCall] = {}  # the newest stream of each planner
        self.probes: dict[int, Any] = {}
        self.next_probe = 0
        self.answer_loss = (0.0, "silence")
        self.unresponsive = False
        self.not_hanging = Flag()
        self.not_hanging.set()  # set: it does not hang
        self.is_pausing = False
        self.changed = 0
        self.announcing: list[Any] = []
        self.wake = Flag()
        self.addresses: tuple[str, ...] = config.listen

    def start(self, cold: bool) -> None:
        """Begin a life: listen, announce, serve. ``cold``: it warms up."""
        seed = self.rng.randrange(2**63)
        self.node = Node(self.config.model, self.pool.copies, seed, now_us(), cold)
        self.started_unix_us = int(time.time() * 1e6) if cold else 0
        handlers = server_methods(NODE_SERVICE, Offers=self.offers, Probe=self.probe, Held=self.list_tasks)
        self.server = Server(self.addresses, handlers)
        self.addresses = self.server.addresses
        self.server.start()
        self.announcing = [gevent.spawn(self.announce, *d) for d in self.pool.config.directories]
        gevent.spawn(self.clock, self.node)

    def kill(self) -> None:
        """End the life at once, with everything it holds."""
        node, self.node = self.node, None
        if node is not None:
            node.die()
        gevent.killall(self.announcing, block=False)
        if self.server is not None:
            self.server.stop()
        self.calls.clear()
        self.doors.clear()
        self.wake.set()

    # Time

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

    def report_all(self, words: list[NodeEvent]) -> None:
        """Send what the node reports to its planners, and carry out its crash."""
        for word in words:
            match word:
                case Reported():
                    self.report_status(word)
                case DrainingReported():
                    for planner, call in list(self.calls.items()):
                        self.send(call, _EVENT(draining=_EVENT.Draining()), planner)
                case HealthChecked():
                    waiting = self.probes.pop(word.token, None)
                    if isinstance(waiting, tuple):
                        call, planner, number = waiting
                        sampled = _EVENT.Sampled(probe=number, report=self.report(word))
                        self.send(call, _EVENT(sampled=sampled), planner)
                    elif waiting is not None:
                        waiting.set(word)
                case Crashed():
                    self.pool.log.warning(
                        "node fell over", node=self.id, offers=word.offers, borne=word.max_offers
                    )
                    gevent.spawn(self.kill)
        self.wake.set()

    def report_status(self, word: Reported) -> None:
        """Send an attempt's status to its planner; final ones are kept until acknowledged."""
        call = self.calls.get(word.planner)
        event = message(word)
        if word.kind in FINAL_STATUSES:
            door = self.doors.get(word.planner)
            if door is not None:
                event.number = door.outbox.add(event)
        if call is None or self.unresponsive:
            return
        share, how = self.answer_loss
        if share and self.rng.random() < share:
            if how == "reset":
                call.stream.connection.close(RpcError(Code.UNAVAILABLE, "reset by script"))
            return
        self.send(call, event, word.planner)

    def send(self, call: ServerCall, event: Any, planner: int) -> None:
        """Say something on a planner's stream, with a grant where one is due."""
        door = self.doors.get(planner)
        if door is not None:
            event.grant = door.grant(now_us())
        try:
            if not call.try_send(event):
                call.stream.connection.close(RpcError(Code.RESOURCE_EXHAUSTED, "the planner does not read"))
        except RpcError:
            pass  # the stream has gone: what was said is lost, as on a cut link

    # Services

    def offers(self, call: ServerCall) -> None:
        """Handler of Node.Offers: one planner's stream."""
        self.not_hanging.wait()
        first = call.recv(5.0)
        if first is None or first.WhichOneof("kind") != "hello":
            raise RpcError(Code.INVALID_ARGUMENT, "kind: the first message must be hello")
        node = self.running_node()
        hello = first.hello
        planner = hello.planner
        door = self.doors.setdefault(planner, PlannerSession(self.rng))
        unheard = door.open(now_us(), hello.life, hello.epoch, hello.heard)
        if unheard is None:
            raise RpcError(Code.ABORTED, "a newer stream of this planner has been here")
        assert door.grants is not None
        welcome = _EVENT.Welcome(node=self.id, started_unix_us=self.started_unix_us, draining=node.draining)
        # The newer stream wins. What is still unread of the older one must not be looked at any more: the
        # planner takes what is neither held nor told as over for never seen.
        older = self.calls.pop(planner, None)
        if older is not None:
            older.stream.connection.close(RpcError(Code.ABORTED, "a newer stream of this planner is here"))
        self.calls[planner] = call
        call.send(_EVENT(welcome=welcome, grant=door.grants.issue(now_us())))
        for _, event in unheard:
            self.send(call, event, planner)
        renewing = gevent.spawn(self.renew, call, planner, door)
        try:
            while (request := call.recv()) is not None:
                self.not_hanging.wait()
                if self.calls.get(planner) is not call:
                    break  # a newer stream is here: what is unread of this one was never seen
                self.take(self.running_node(), call, planner, request)
        finally:
            renewing.kill(block=False)
            if self.calls.get(planner) is call:
                del self.calls[planner]

    def renew(self, call: ServerCall, planner: int, door: PlannerSession) -> None:
        """A stream on which nothing is said is given a grant all the same, now and then."""
        while (grants := door.grants) is not None and call.stream.error is None:
            gevent.sleep(max(0.01, (grants.next_due() - now_us()) / 1e6))
            self.not_hanging.wait()
            if door.grants is grants and now_us() >= grants.next_due():
                self.send(call, _EVENT(renewed=_EVENT.Grant()), planner)

    @staticmethod
    def report(told: HealthChecked) -> Any:
        """The load report of a health check."""
        return common_pb2.Report(
            free_cores=told.free_cores, free_memory=told.free_memory, util=told.utilization
        )

    def take(self, node: Node, call: ServerCall, planner: int, request: Any) -> None:
        """Carry out a planner's message."""
        door = self.doors[planner]
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
                        said_at=door.earliest_sent_at(now_us(), convert.stamp_from_proto(offer)),
                    )
                )
            case "ack":
                door.outbox.acknowledge(request.ack.number)
                for _, event in (
                    door.outbox.unacknowledged_after(request.ack.number) if request.ack.again else ()
                ):
                    self.send(call, event, planner)
            case "commit":
                ids = [convert.attempt_id_from_proto(i) for i in request.commit.ids]
                said_at = door.earliest_sent_at(now_us(), convert.stamp_from_proto(request.commit))
                self.report_all(node.commit(now_us(), ids, request.commit.lease_us, said_at=said_at))
            case "keep":
                ids = [convert.attempt_id_from_proto(i) for i in request.keep.ids]
                said_at = door.earliest_sent_at(now_us(), convert.stamp_from_proto(request.keep))
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
        """The node's present life. Raises RpcError while it is down."""
        if self.node is None or self.node.crashed:
            raise RpcError(Code.UNAVAILABLE, "the node is down")
        return self.node

    def probe(self, request: Any, call: ServerCall) -> Any:
        """Handler of Node.Probe."""
        self.not_hanging.wait()
        node = self.running_node()
        self.next_probe += 1
        waiting = self.probes[self.next_probe] = gevent.event.AsyncResult()
        token = self.next_probe
        try:
            self.report_all(node.probe(now_us(), token))
            told: Any = waiting.get(timeout=5.0)
        except gevent.Timeout:
            raise RpcError(Code.UNAVAILABLE, "the line is too long") from None
        finally:
            self.probes.pop(token, None)
        return node_pb2.ProbeResponse(
            node=self.id, started_unix_us=self.started_unix_us, report=self.report(told)
        )

    def list_tasks(self, request: Any, call: ServerCall) -> Any:
        """Handler of Node.Held: the tasks of a planner number, over all its lives."""
        self.not_hanging.wait()
        node = self.running_node()
        door = self.doors.get(request.planner)
        complete = door is not None and door.is_complete_for(request.life)
        words = door.outbox.last_number if door is not None and door.incarnation == request.life else 0
        answer = node_pb2.HeldResponse(
            node=self.id, started_unix_us=self.started_unix_us, complete=complete, words=words
        )
        for told, offers in (
            (answer.tasks, node.offers_of(request.planner)),
            (answer.finished, node.finished_of(request.planner, now_us())),
        ):
            for offer in offers:
                told.add(
                    id=convert.attempt_id_to_proto(offer.id),
                    task=convert.task_to_proto(offer.task),
                    running=offer.state.value == "running",
                    group=convert.group_tag_to_proto(offer.group) if offer.group is not None else None,
                )
        return answer

    # The node list

    def announce(self, directory: str, name: str) -> None:
        """Tell a directory what this node is, at each change, for as long as it lives."""
        while self.node is not None:
            channel = Channel(directory)
            try:
                call = open_call(channel, DIRECTORY_SERVICE, "Announce")
                told = -1
                while self.node is not None:
                    if self.changes() != told:
                        told = self.changes()
                        call.send(self.entry(self.node, name))
                    if call.stream.error is not None:
                        break
                    gevent.sleep(ANNOUNCE_S)
            except RpcError:
                gevent.sleep(ANNOUNCE_S)
            finally:
                channel.close()

    def changes(self) -> int:
        """A number that grows with each change that the list shows."""
        if self.node is not None and self.node.changed:
            self.node.changed = False
            self.changed += 1
        return self.changed

    def entry(self, node: Node, name: str) -> Any:
        """The node's entry for the directory called ``name``."""
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
    """All nodes of one process."""

    def __init__(self, config: NodePoolConfig) -> None:
        self.config = config
        self.log = structlog.get_logger("nodes")
        self.copies = DedupMemories(config.classes)
        self.nodes = {n.model.id: HostedNode(self, n) for n in config.nodes}

    def start(self) -> None:
        """Start the nodes that are not absent, and the faults of the script."""
        for node in self.nodes.values():
            if not node.config.absent:
                node.start(node.config.cold)
        for fault in self.config.faults:
            if fault.target == "node":
                gevent.spawn(self.script, fault)

    def run_signal_faults(self) -> None:
        """SIGUSR1: do what the file says for it, now."""
        for fault in self.config.on_signal:
            gevent.spawn(self.run_fault, fault)

    def script(self, fault: Fault) -> None:
        """Wait for a fault's time and carry it out."""
        begin = wait_for_begin(self.config.begin)
        gevent.sleep(max(0.0, (begin + fault.at_us - now_us()) / 1e6))
        self.run_fault(fault)

    def run_fault(self, fault: Fault) -> None:
        """Carry out a fault at its nodes, and end it after its duration."""
        nodes = [self.nodes[i] for i in fault.target_ids if i in self.nodes]
        self.log.info("fault", what=fault.what, nodes=[n.id for n in nodes], values=list(fault.values))
        for node in nodes:
            self.apply(node, fault, True)
        if fault.duration_us:
            gevent.sleep(fault.duration_us / 1e6)
            for node in nodes:
                self.apply(node, fault, False)

    @staticmethod
    def pauses(served: HostedNode, length_us: int, every_us: int) -> None:
        """The node stands still for a while, again and again: nothing is read, looked at or started."""
        while served.is_pausing:
            served.not_hanging.clear()
            gevent.sleep(length_us / 1e6)
            served.not_hanging.set()
            gevent.sleep(max(0.0, (every_us - length_us) / 1e6))

    def apply(self, served: HostedNode, fault: Fault, on: bool) -> None:
        """Begin a fault, or end it."""
        if not self._apply_to_process(served, fault, on) and served.node is not None:
            self._apply_to_node(served, served.node, fault, on)

    def _apply_to_process(self, served: HostedNode, fault: Fault, on: bool) -> bool:
        """Faults of the process and its connections; False where the fault is another's."""
        match fault.what:
            case "kill" if on:
                served.kill()
            case "kill":
                served.start(cold=True)
            case "grow":
                if served.node is None:
                    served.start(cold=True)
            case "cut":
                for call in list(served.calls.values()):
                    call.stream.connection.close(RpcError(Code.UNAVAILABLE, "cut by script"))
            case "hang" if on:
                served.not_hanging.clear()
            case "hang":
                served.not_hanging.set()
            case "silent":
                served.unresponsive = on
            case "lose-answers":
                served.answer_loss = (fault.values[0], fault.values[1]) if on else (0.0, "silence")
            case "pauses":
                served.is_pausing = on
                if on:
                    gevent.spawn(self.pauses, served, *fault.values)
            case _:
                return False
        return True

    @staticmethod
    def _apply_to_node(served: HostedNode, node: Node, fault: Fault, on: bool) -> None:
        """Faults of how the node treats tasks."""
        match fault.what:
            case "drain":
                served.report_all(node.drain(now_us()))
            case "leave":
                served.report_all(node.drain(now_us()))
                gevent.spawn_later(fault.values[0] / 1e6, served.kill)
            case "fail-starts":
                node.faults.start_failure_share = fault.values[0] if on else 0.0
            case "refuse":
                node.faults.rejection_share = fault.values[0] if on else 0.0
            case "turn-away":
                node.faults.rejection_share_by_class = {fault.values[0]: fault.values[1]} if on else {}
            case "slow":
                node.faults.slowdown = fault.values[0] if on else 1.0

"""Serves stand-in clients over sockets: each client has a stream to each planner."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import gevent
import structlog
from gevent.event import Event as Flag

from ..fence import AgeStamp, MessageStamper
from ..planner import convert
from ..planner import events as ev
from ..planner.clock import now_us
from ..planner.services import PLACEMENT_SERVICE
from ..proto import open_call, placement_pb2
from ..rpc import Channel, Code, Limits, RpcError
from .client import CancelTask, Client, ClientAction, ClientModel, SubmitGroup, SubmitTask
from .config import ClientPoolConfig, wait_for_begin
from .script import Fault

RETRY_S = 0.2  # delay before a client connects again
_REQUEST = placement_pb2.PlaceRequest


def _rejected(message: Any) -> ev.ClientMessage:
    code = Code(message.code).name if message.code in list(Code) else "UNKNOWN"
    rejection = ev.Rejection(code, message.field, message.message, message.retry_after_us)
    return ev.Rejected(message.ask, rejection)


def _shed(message: Any) -> ev.ClientMessage:
    return ev.TaskShed(message.ask, message.retry_after_us, convert.reason_from_proto(message.reason))


def _ended(message: Any) -> ev.ClientMessage:
    return ev.TaskEnded(message.ask, message.key, message.finished, convert.reason_from_proto(message.reason))


def _group_placed(message: Any) -> ev.ClientMessage:
    bindings = tuple((binding.member, binding.node) for binding in message.bindings)
    return ev.GroupPlaced(message.ask, bindings, message.wishes_met, message.tries)


_EVENT_OF: Mapping[str, Callable[[Any], ev.ClientMessage]] = {
    "rejected": _rejected,
    "taken": lambda message: ev.Admitted(message.ask, message.placing),
    "offered": lambda message: ev.Offered(message.ask, message.node, message.attempt),
    "placed": lambda message: ev.TaskPlaced(message.ask, message.node, message.attempt, message.latency_us),
    "refused": _shed,
    "failed": lambda message: ev.TaskFailed(message.ask, message.may_run),
    "ended": _ended,
    "group_placed": _group_placed,
    "group_refused": lambda message: ev.GroupShed(
        message.ask, message.retry_after_us, message.why, message.never
    ),
    "group_failed": lambda message: ev.GroupFailed(message.ask, message.why),
    "group_ended": lambda message: ev.GroupEnded(message.ask, message.finished),
    "found": lambda message: ev.TaskRecovered(message.ask, message.key, message.node),
}


def message_from(event: Any) -> ev.ClientMessage | None:
    """Convert a planner's message to an event; returns None for the welcome and for unknown kinds."""
    kind = event.WhichOneof("kind")
    to_event = _EVENT_OF.get(kind)
    return to_event(getattr(event, kind)) if to_event is not None else None


def request_from(action: ClientAction, stamp: AgeStamp | None) -> Any:
    """Convert a client's action to its protocol message; ``stamp`` proves the age of the message."""
    sent = convert.stamp_to_proto(stamp)
    if isinstance(action, SubmitTask):
        task = convert.task_to_proto(action.task)
        return _REQUEST(ask=_REQUEST.Ask(ask=action.request, task=task, wait_us=action.wait_us, sent=sent))
    if isinstance(action, SubmitGroup):
        members = map(convert.task_to_proto, action.tasks)
        return _REQUEST(
            ask_group=_REQUEST.AskGroup(
                ask=action.request, members=members, wait_us=action.wait_us, sent=sent
            )
        )
    assert isinstance(action, CancelTask)
    return _REQUEST(withdraw=_REQUEST.Withdraw(ask=action.request, key=action.key))


class ConnectedClient:
    """One client of the pool with its streams to the planners."""

    def __init__(self, pool: ClientPool, model: ClientModel, seed: int, begin: int) -> None:
        self.pool = pool
        self.model = model
        self.client = Client(model, seed, begin)
        self.calls: dict[int, Any] = {}
        self.channels: dict[int, Channel] = {}
        self.stamps: dict[int, MessageStamper] = {}
        self.session = random.Random(seed ^ 0x5E55).getrandbits(63) | 1
        self.epoch = 0
        self.wake = Flag()

    def start(self) -> None:
        """Start a greenlet for each planner's stream and one for the client's timers."""
        for planner, address in self.pool.config.planners.items():
            gevent.spawn(self.stream, planner, address)
        gevent.spawn(self.clock)

    def clock(self) -> None:
        """Advance the client whenever something is due."""
        while True:
            self.wake.clear()
            due = self.client.next_due()
            left = None if due is None else max(0, due - now_us()) / 1e6
            self.wake.wait(left)
            self.carry_out(self.client.advance(now_us()))

    def stream(self, planner: int, address: str) -> None:
        """Keep a stream to one planner open, and reconnect whenever it breaks."""
        limits = Limits(keepalive_interval_s=2.0, keepalive_timeout_s=2.0)
        while True:
            channel = self.channels[planner] = Channel(address, limits, 1.0)
            is_connected = False
            try:
                call = open_call(channel, PLACEMENT_SERVICE, "Place")
                self.epoch += 1
                hello = _REQUEST.Hello(owner=self.model.name, session=self.session, epoch=self.epoch)
                call.send(_REQUEST(hello=hello))
                welcome = call.recv(2.0)
                if welcome is None:
                    raise RpcError(Code.UNAVAILABLE, "no welcome")
                stamps = self.stamps[planner] = MessageStamper()
                stamps.receive_grant(now_us(), welcome.grant)
                is_connected = True
                self.calls[planner] = call
                self.carry_out(self.client.connected(now_us(), planner))
                while (event := call.recv()) is not None:
                    stamps.receive_grant(now_us(), event.grant)
                    message = message_from(event)
                    if message is not None:
                        self.carry_out(self.client.received(now_us(), planner, message))
            except RpcError as error:
                self.pool.log.debug("stream broken", planner=planner, error=str(error))
            finally:
                channel.close(abort=True)
                self.calls.pop(planner, None)
                if is_connected:
                    self.carry_out(self.client.disconnected(now_us(), planner))
            gevent.sleep(RETRY_S)

    def carry_out(self, actions: list[ClientAction]) -> None:
        """Send actions to their planners; an action for a planner without a stream is dropped."""
        for action in actions:
            call = self.calls.get(action.planner)
            if call is None:
                continue
            try:
                call.try_send(request_from(action, self.stamps[action.planner].stamp(now_us())))
            except RpcError:
                pass  # the stream breaks: its greenlet notifies the client
        self.wake.set()


class ClientPool:
    """All stand-in clients of one process."""

    def __init__(self, config: ClientPoolConfig) -> None:
        self.config = config
        self.log = structlog.get_logger("owners")
        self.begin = wait_for_begin(config.begin)
        self.clients = [
            ConnectedClient(self, model, config.seed * 104_729 + i, self.begin)
            for i, model in enumerate(config.clients)
        ]

    def start(self) -> None:
        """Start every client, and schedule the faults of the script."""
        for connected in self.clients:
            connected.start()
        for fault in self.config.faults:
            if fault.target in ("owners", "demand"):
                gevent.spawn(self.script, fault)

    def script(self, fault: Fault) -> None:
        """Wait for a fault's time, begin the fault, and end it after its duration."""
        gevent.sleep(max(0.0, (self.begin + fault.at_us - now_us()) / 1e6))
        self.log.info("fault", what=fault.what, values=list(fault.values))
        for connected in self.clients:
            if fault.what == "times":
                connected.client.rate_factor *= fault.values[0]
            elif fault.what == "restart-services":
                connected.carry_out(connected.client.restart_services(now_us(), *fault.values))
            elif fault.what == "cut":
                for channel in list(connected.channels.values()):
                    channel.close()
        if fault.duration_us:
            gevent.sleep(fault.duration_us / 1e6)
            for connected in self.clients:
                connected.client.rate_factor /= fault.values[0]

    @property
    def idle(self) -> bool:
        """Whether every client is idle: it has no open request and will create no more tasks."""
        return all(c.client.idle for c in self.clients)

    def report(self) -> dict[str, Any]:
        """Return the counts and latencies by class, summed over all clients."""
        counts: dict[str, dict[str, int]] = {}
        latencies: dict[str, list[int]] = {}
        total: dict[str, int] = {}
        for connected in self.clients:
            statistics = connected.client.statistics
            for name, outcomes in statistics.by_class.items():
                for outcome, count in outcomes.items():
                    counts.setdefault(name, {})[outcome] = counts.get(name, {}).get(outcome, 0) + count
            for outcome, count in statistics.counts.items():
                total[outcome] = total.get(outcome, 0) + count
            for name, latencies_us in statistics.latencies.items():
                latencies.setdefault(name, []).extend(latencies_us)
        return {
            "total": total,
            "classes": counts,
            "latencies_us": latencies,
            "aims_us": self.latency_objectives(),
        }

    def latency_objectives(self) -> dict[str, int]:
        """Return the latency objective of each class, in microseconds."""
        return {c.name: c.latency_objective_us for c in self.config.cluster.classes}

    def write_report(self) -> None:
        """Write the report file atomically: a reader never finds an incomplete one."""
        if self.config.report is not None:
            path = Path(self.config.report)
            path.with_suffix(".part").write_text(json.dumps(self.report()))
            path.with_suffix(".part").rename(path)

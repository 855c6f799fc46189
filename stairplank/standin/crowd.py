"""Stand-in owners on sockets: a stream to each planner each, all asks and answers as they come."""

from __future__ import annotations

import json
import random
from pathlib import Path
from typing import Any

import gevent
import structlog
from gevent.event import Event as Flag

from ..fence import Stamp, Stamps
from ..planner import convert
from ..planner import events as ev
from ..planner.daemon import PLACEMENT, now_us
from ..proto import open_call, placement_pb2
from ..rpc import Channel, Code, Limits, RpcError
from .config import CrowdConfig, begun
from .owner import Ask, AskGroup, Do, Owner, OwnerModel, Withdraw
from .script import Fault

RETRY_S = 0.2
_REQUEST = placement_pb2.PlaceRequest


def word_from(event: Any) -> ev.ClientMessage | None:
    """A planner's message as the word it carries; None for the welcome and for what is not known."""
    match event.WhichOneof("kind"):
        case "rejected":
            r = event.rejected
            code = Code(r.code).name if r.code in list(Code) else "UNKNOWN"
            return ev.Rejected(r.ask, ev.Rejection(code, r.field, r.message, r.retry_after_us))
        case "taken":
            return ev.Admitted(event.taken.ask, event.taken.placing)
        case "offered":
            return ev.Offered(event.offered.ask, event.offered.node, event.offered.attempt)
        case "placed":
            p = event.placed
            return ev.TaskPlaced(p.ask, p.node, p.attempt, p.latency_us)
        case "refused":
            reason = convert.reason_from(event.refused.reason)
            return ev.TaskShed(event.refused.ask, event.refused.retry_after_us, reason)
        case "failed":
            return ev.TaskFailed(event.failed.ask, event.failed.may_run)
        case "ended":
            e = event.ended
            return ev.TaskEnded(e.ask, e.key, e.finished, convert.reason_from(e.reason))
        case "group_placed":
            g = event.group_placed
            bindings = tuple((b.member, b.node) for b in g.bindings)
            return ev.GroupPlaced(g.ask, bindings, g.wishes_met, g.tries)
        case "group_refused":
            r = event.group_refused
            return ev.GroupShed(r.ask, r.retry_after_us, r.why, r.never)
        case "group_failed":
            return ev.GroupFailed(event.group_failed.ask, event.group_failed.why)
        case "group_ended":
            return ev.GroupEnded(event.group_ended.ask, event.group_ended.finished)
        case "found":
            return ev.TaskRecovered(event.found.ask, event.found.key, event.found.node)
    return None


def request_of(do: Do, stamp: Stamp | None) -> Any:
    sent = convert.stamp_to(stamp)
    if isinstance(do, Ask):
        task = convert.task_to(do.task)
        return _REQUEST(ask=_REQUEST.Ask(ask=do.ask, task=task, wait_us=do.wait_us, sent=sent))
    if isinstance(do, AskGroup):
        members = map(convert.task_to, do.tasks)
        return _REQUEST(
            ask_group=_REQUEST.AskGroup(ask=do.ask, members=members, wait_us=do.wait_us, sent=sent)
        )
    assert isinstance(do, Withdraw)
    return _REQUEST(withdraw=_REQUEST.Withdraw(ask=do.ask, key=do.key))


class Customer:
    """One owner with its streams."""

    def __init__(self, crowd: Crowd, model: OwnerModel, seed: int, begin: int) -> None:
        self.crowd = crowd
        self.model = model
        self.owner = Owner(model, seed, begin)
        self.calls: dict[int, Any] = {}
        self.channels: dict[int, Channel] = {}
        self.stamps: dict[int, Stamps] = {}
        self.session = random.Random(seed ^ 0x5E55).getrandbits(63) | 1
        self.epoch = 0
        self.wake = Flag()

    def start(self) -> None:
        for planner, address in self.crowd.config.planners.items():
            gevent.spawn(self.stream, planner, address)
        gevent.spawn(self.clock)

    def clock(self) -> None:
        while True:
            self.wake.clear()
            due = self.owner.next_due()
            left = None if due is None else max(0, due - now_us()) / 1e6
            self.wake.wait(left)
            self.do(self.owner.advance(now_us()))

    def stream(self, planner: int, address: str) -> None:
        """Keep a stream to one planner, also over its restarts."""
        limits = Limits(keepalive_interval_s=2.0, keepalive_timeout_s=2.0)
        while True:
            channel = self.channels[planner] = Channel(address, limits, 1.0)
            up = False
            try:
                call = open_call(channel, PLACEMENT, "Place")
                self.epoch += 1
                hello = _REQUEST.Hello(owner=self.model.name, session=self.session, epoch=self.epoch)
                call.send(_REQUEST(hello=hello))
                welcome = call.recv(2.0)
                if welcome is None:
                    raise RpcError(Code.UNAVAILABLE, "no welcome")
                stamps = self.stamps[planner] = Stamps()
                stamps.heard(now_us(), welcome.grant)
                up = True
                self.calls[planner] = call
                self.do(self.owner.connected(now_us(), planner))
                while (event := call.recv()) is not None:
                    stamps.heard(now_us(), event.grant)
                    word = word_from(event)
                    if word is not None:
                        self.do(self.owner.heard(now_us(), planner, word))
            except RpcError as error:
                self.crowd.log.debug("stream broken", planner=planner, error=str(error))
            finally:
                channel.close(abort=True)
                self.calls.pop(planner, None)
                if up:
                    self.do(self.owner.cut(now_us(), planner))
            gevent.sleep(RETRY_S)

    def do(self, does: list[Do]) -> None:
        for do in does:
            call = self.calls.get(do.planner)
            if call is None:
                continue
            try:
                call.try_send(request_of(do, self.stamps[do.planner].stamp(now_us())))
            except RpcError:
                pass  # the stream breaks: its greenlet tells the owner
        self.wake.set()


class Crowd:
    """All owners of one process."""

    def __init__(self, config: CrowdConfig) -> None:
        self.config = config
        self.log = structlog.get_logger("owners")
        self.begin = begun(config.begin)
        self.customers = [
            Customer(self, model, config.seed * 104_729 + i, self.begin)
            for i, model in enumerate(config.owners)
        ]

    def start(self) -> None:
        for customer in self.customers:
            customer.start()
        for fault in self.config.faults:
            if fault.target in ("owners", "demand"):
                gevent.spawn(self.script, fault)

    def script(self, fault: Fault) -> None:
        gevent.sleep(max(0.0, (self.begin + fault.at_us - now_us()) / 1e6))
        self.log.info("fault", what=fault.what, values=list(fault.values))
        for customer in self.customers:
            if fault.what == "times":
                customer.owner.factor *= fault.values[0]
            elif fault.what == "restart-services":
                customer.do(customer.owner.restart_services(now_us(), *fault.values))
            elif fault.what == "cut":
                for channel in list(customer.channels.values()):
                    channel.close()
        if fault.for_us:
            gevent.sleep(fault.for_us / 1e6)
            for customer in self.customers:
                customer.owner.factor /= fault.values[0]

    @property
    def idle(self) -> bool:
        return all(c.owner.idle for c in self.customers)

    def report(self) -> dict[str, Any]:
        """Counts and latencies by class, all owners together."""
        counts: dict[str, dict[str, int]] = {}
        latencies: dict[str, list[int]] = {}
        total: dict[str, int] = {}
        for customer in self.customers:
            tally = customer.owner.tally
            for name, by in tally.by_class.items():
                for what, n in by.items():
                    counts.setdefault(name, {})[what] = counts.get(name, {}).get(what, 0) + n
            for what, n in tally.counts.items():
                total[what] = total.get(what, 0) + n
            for name, took in tally.latencies.items():
                latencies.setdefault(name, []).extend(took)
        return {"total": total, "classes": counts, "latencies_us": latencies, "aims_us": self.aims()}

    def aims(self) -> dict[str, int]:
        return {c.name: c.latency_objective_us for c in self.config.room.classes}

    def write_report(self) -> None:
        if self.config.report is not None:
            path = Path(self.config.report)
            path.with_suffix(".part").write_text(json.dumps(self.report()))
            path.with_suffix(".part").rename(path)

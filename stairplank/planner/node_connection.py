"""One planner's link to a node: dialling, reading, acknowledging, stamping. Sockets; it decides nothing."""

from __future__ import annotations

from collections import deque
from typing import Any, Protocol

import gevent

from ..fence import Stamp, Stamps
from ..proto import node_pb2, open_call
from ..rpc import Channel, Code, Limits, RpcError
from ..settings import PlannerConfig
from . import convert
from . import events as ev
from .clock import now_us
from .events import AttemptId
from .link_state import Heard

NODE = node_pb2.DESCRIPTOR.services_by_name["Node"]
ACK_EVERY = 32  # last words of a node, or
ACK_S = 0.25  # so long after the first of them
WORK_BATCH = 64  # messages of one stream taken before others get a turn


class LinkHost(Protocol):
    """The planner as its links see it: whom they report to."""

    @property
    def config(self) -> PlannerConfig: ...
    @property
    def position(self) -> int: ...
    @property
    def life(self) -> int: ...
    @property
    def log(self) -> Any: ...
    @property
    def heard(self) -> dict[int, tuple[int, Heard]]:
        """By node: its life, and its numbered messages so far. Outlives a link."""

    def feed(self, event: ev.Event) -> None: ...
    def link_over(self, link: NodeLink, event: ev.Event) -> None: ...
    def next_epoch(self) -> int: ...
    def clock_stepped(self) -> bool: ...


class NodeLink:
    """The one link to a node: dials its addresses in order, speaks Offers on the first that answers."""

    def __init__(self, host: LinkHost, node: int, addresses: tuple[str, ...]) -> None:
        self.host = host
        self.node = node
        self.addresses = addresses
        self.channel: Channel | None = None
        self.call: Any = None
        self.sent: deque[tuple[int, AttemptId | None]] = deque()  # number of the message; the offer's attempt
        self.closing = False
        self.heard = Heard()
        self.stamps = Stamps()
        self._ack_due = False
        self._probe = 0
        self._probes: dict[int, int] = {}  # under way: number, when asked
        self.greenlet = gevent.spawn(self._run)

    def _run(self) -> None:
        welcome = None
        for target in self.addresses:
            try:
                welcome = self._dial(target)
                break
            except RpcError as error:
                self.host.log.debug("dial failed", node=self.node, address=target, error=str(error))
                self._close()
        if welcome is None or self.closing:
            self._close()
            self.host.link_over(self, ev.DialFailed(self.node))
            return
        known = self.host.heard.get(self.node)
        if known is None or known[0] != welcome.started_unix_us:
            known = self.host.heard[self.node] = (welcome.started_unix_us, Heard())
        self.heard = known[1]
        self.heard.opened()
        self.host.feed(ev.LinkUp(self.node, welcome.started_unix_us, welcome.draining))
        try:
            self._read()
        except RpcError as error:
            self.host.log.info("link broken", node=self.node, error=str(error))
        unsent = self.unsent()
        self._close()
        self.host.link_over(self, ev.LinkDown(self.node, unsent))

    def _dial(self, target: str) -> Any:
        config = self.host.config
        limits = Limits(
            keepalive_interval_s=config.keepalive_us[0] / 1e6,
            keepalive_timeout_s=config.keepalive_us[1] / 1e6,
            max_message_bytes=config.message_most,
            max_unsent_bytes=config.send_buffer,
        )
        timeout = config.dial_timeout_us / 1e6
        self.channel = Channel(target, limits, timeout)
        self.call = open_call(self.channel, NODE, "Offers")
        heard = self.host.heard.get(self.node, (0, Heard()))[1].number
        hello = node_pb2.OfferRequest.Hello(
            planner=self.host.position,
            life=self.host.life,
            heard=heard,
            epoch=self.host.next_epoch(),
        )
        self.call.send(node_pb2.OfferRequest(hello=hello))
        self.sent.append((0, None))
        first = self.call.recv(timeout)
        if first is None or first.WhichOneof("kind") != "welcome":
            raise RpcError(Code.FAILED_PRECONDITION, "the node did not say who it is", never_ran=True)
        if first.welcome.node != self.node:
            text = f"node {first.welcome.node} answers at the address of node {self.node}"
            raise RpcError(Code.FAILED_PRECONDITION, text, never_ran=True)
        self.stamps = Stamps()
        self.stamps.heard(now_us(), first.grant)
        return first.welcome

    def _read(self) -> None:
        taken = 0
        while (message := self.call.recv()) is not None:
            self.stamps.heard(now_us(), message.grant)
            if message.number and not self._numbered(message.number):
                continue
            event = convert.node_event(self.node, message)
            if event is None and message.WhichOneof("kind") == "sampled":
                event = self._sampled(message.sampled)
            if event is not None:
                self.host.feed(event)
            taken += 1
            if taken % WORK_BATCH == 0:
                gevent.sleep(0)

    def _numbered(self, number: int) -> bool:
        """A last word: taken once, in order, and acknowledged; a gap is asked for again."""
        take, again = self.heard.take(number)
        if again:
            self.host.log.info("words missed", node=self.node, heard=self.heard.number, came=number)
            self._ack(True)
        elif self.heard.number - self.heard.acknowledged >= ACK_EVERY:
            self._ack(False)
        elif take and not self._ack_due:
            self._ack_due = True
            gevent.spawn_later(ACK_S, self._ack, False)
        return take

    def _ack(self, again: bool) -> None:
        self._ack_due = False
        if self.closing or self.call is None or self.call.stream.error is not None:
            return
        self.heard.acknowledged = self.heard.number
        ack = node_pb2.OfferRequest.Ack(number=self.heard.number, again=again)
        self.send(node_pb2.OfferRequest(ack=ack), None)

    def send(self, message: Any, id: AttemptId | None) -> bool:
        """Queue a message. False where the node has not read for so long that the buffer is full."""
        try:
            if not self.call.try_send(message):
                return False
        except RpcError:
            pass  # the link is breaking: what this message would have said counts as unsent
        stream = self.call.stream
        self.sent.append((stream.messages_queued - 1 if stream.error is None else 1 << 62, id))
        while self.sent and self.sent[0][0] < stream.messages_started:
            self.sent.popleft()
        return True

    def probe(self) -> bool:
        """Ask for the node's report; its answer, or that there was none in time, goes to the core."""
        self._probe += 1
        number = self._probe
        if not self.send(node_pb2.OfferRequest(probe=node_pb2.OfferRequest.Probe(probe=number)), None):
            return False
        self._probes[number] = now_us()
        gevent.spawn_later(self.host.config.probe_timeout_us / 1e6, self._probe_over, number)
        return True

    def _sampled(self, sampled: Any) -> ev.Event | None:
        began = self._probes.pop(sampled.probe, None)
        if began is None:
            return None  # it came too late
        report = (sampled.report.free_cores, sampled.report.free_memory, sampled.report.util)
        return ev.HealthCheckCompleted(self.node, True, now_us() - began, report)

    def _probe_over(self, number: int) -> None:
        began = self._probes.pop(number, None)
        if began is not None:
            self.host.feed(ev.HealthCheckCompleted(self.node, False, now_us() - began))

    def unsent(self) -> frozenset[AttemptId]:
        """Attempts of which not one byte was handed to the connection."""
        if self.call is None:
            return frozenset()
        handed = self.call.stream.messages_started
        return frozenset(id for number, id in self.sent if id is not None and number >= handed)

    def stamp(self) -> Stamp | None:
        """For a message that counts from when it is said."""
        if self.host.clock_stepped():
            self.host.log.warning("the clock has jumped: grants are forgotten")
        return self.stamps.stamp(now_us())

    def hang_up(self) -> None:
        self.closing = True
        self._close()

    def _close(self) -> None:
        # Aborted: what has not left by now is not to come out of a path that heals later.
        if self.channel is not None:
            self.channel.close(abort=True)

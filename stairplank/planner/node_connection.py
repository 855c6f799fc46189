"""The connection of a planner to one node: dials, reads, acknowledges and stamps messages.

Performs the I/O; the decisions are made by the core.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

import gevent

from ..fence import AgeStamp, MessageStamper
from ..proto import node_pb2, open_call
from ..rpc import Channel, Code, Limits, RpcError
from . import convert
from . import events as ev
from .clock import now_us
from .events import AttemptId
from .process import PlannerProcess
from .received_messages import ReceivedMessages
from .services import NODE_SERVICE

ACK_MESSAGES = 32  # an acknowledgement is sent at once when this many numbered messages are unacknowledged
ACK_DELAY_S = 0.25  # a numbered message is acknowledged at the latest after this delay
READ_BATCH = 64  # messages of one stream handled before other greenlets run
NEVER_SENT = 1 << 62  # number of a message that the stream did not accept
_REQUEST = node_pb2.OfferRequest


@dataclass(slots=True)
class NodeMessages:
    """The numbered messages received from one incarnation of a node."""

    started_unix_us: int
    messages: ReceivedMessages


class SentMessage(NamedTuple):
    """A message that was passed to the stream for sending."""

    number: int  # position among the messages of the stream, from 0; or NEVER_SENT
    attempt: AttemptId | None  # the attempt, if the message is an offer


class ConnectionTable(Protocol):
    """The table of connections, as a single connection uses it."""

    @property
    def process(self) -> PlannerProcess:
        """Return the planner's process."""

    @property
    def received(self) -> dict[int, NodeMessages]:
        """Return the received messages by node; they are kept when a connection ends."""

    def connection_ended(self, connection: NodeConnection, event: ev.Event) -> None:
        """Remove a connection that has ended; ``event`` is DialFailed or LinkDown."""

    def next_epoch(self) -> int:
        """Return the epoch of a new stream; epochs increase for as long as the process runs."""

    def clock_stepped(self) -> bool:
        """Return whether the clock has jumped since the last call; if so, all grants are dropped."""


class NodeConnection:
    """The connection to a node: dials its addresses in order and calls Offers on the first that answers."""

    def __init__(self, table: ConnectionTable, node: int, addresses: tuple[str, ...]) -> None:
        """Start a greenlet that dials the node and reads its messages."""
        self.table = table
        self.process = table.process
        self.node = node
        self.addresses = addresses
        self.channel: Channel | None = None
        self.call: Any = None
        self.sent: deque[SentMessage] = deque()  # messages possibly not yet handed to the connection
        self.closing = False
        self.received = ReceivedMessages()
        self.stamps = MessageStamper()
        self._ack_due = False
        self._last_check = 0
        self._checks: dict[int, int] = {}  # send times of the health checks in flight, by number
        self.greenlet = gevent.spawn(self._run)

    def _run(self) -> None:
        welcome = self._connect()
        if welcome is None or self.closing:
            self._close_channel()
            self.table.connection_ended(self, ev.DialFailed(self.node))
            return
        self._resume_messages(welcome.started_unix_us)
        self.process.handle(ev.LinkUp(self.node, welcome.started_unix_us, welcome.draining))
        try:
            self._read()
        except RpcError as error:
            self.process.log.info("link broken", node=self.node, error=str(error))
        unsent = self.unsent()
        self._close_channel()
        self.table.connection_ended(self, ev.LinkDown(self.node, unsent))

    def _connect(self) -> Any:
        """Dial the addresses in order. Returns the first welcome, or None if no address answers."""
        for address in self.addresses:
            try:
                return self._dial(address)
            except RpcError as error:
                self.process.log.debug("dial failed", node=self.node, address=address, error=str(error))
                self._close_channel()
        return None

    def _resume_messages(self, started_unix_us: int) -> None:
        """Continue after the last numbered message that was received from this incarnation of the node."""
        known = self.table.received.get(self.node)
        if known is None or known.started_unix_us != started_unix_us:
            known = self.table.received[self.node] = NodeMessages(started_unix_us, ReceivedMessages())
        self.received = known.messages
        self.received.stream_opened()

    def _dial(self, address: str) -> Any:
        """Connect to an address and open the stream. Returns the node's welcome. Raises RpcError."""
        config = self.process.config
        limits = Limits(
            keepalive_interval_s=config.keepalive_us[0] / 1e6,
            keepalive_timeout_s=config.keepalive_us[1] / 1e6,
            max_message_bytes=config.max_message_bytes,
            max_unsent_bytes=config.send_buffer_bytes,
        )
        timeout_s = config.dial_timeout_us / 1e6
        self.channel = Channel(address, limits, timeout_s)
        self.call = open_call(self.channel, NODE_SERVICE, "Offers")
        self.call.send(_REQUEST(hello=self._hello()))
        self.sent.append(SentMessage(0, None))
        first = self.call.recv(timeout_s)
        self._check_welcome(first)
        self.stamps = MessageStamper()
        self.stamps.receive_grant(now_us(), first.grant)
        return first.welcome

    def _hello(self) -> Any:
        known = self.table.received.get(self.node)
        return _REQUEST.Hello(
            planner=self.process.position,
            life=self.process.incarnation,
            heard=0 if known is None else known.messages.last_number,
            epoch=self.table.next_epoch(),
        )

    def _check_welcome(self, first: Any) -> None:
        """Raise RpcError if the first message is not the welcome of this node."""
        if first is None or first.WhichOneof("kind") != "welcome":
            raise RpcError(
                Code.FAILED_PRECONDITION, "the node's first message must be welcome", never_ran=True
            )
        if first.welcome.node != self.node:
            error_text = f"node {first.welcome.node} answers at the address of node {self.node}"
            raise RpcError(Code.FAILED_PRECONDITION, error_text, never_ran=True)

    def _read(self) -> None:
        count = 0
        while (message := self.call.recv()) is not None:
            self.stamps.receive_grant(now_us(), message.grant)
            if message.number and not self._receive_numbered(message.number):
                continue
            event = convert.node_event_from_proto(self.node, message)
            if event is None and message.WhichOneof("kind") == "sampled":
                event = self._health_report(message.sampled)
            if event is not None:
                self.process.handle(event)
            count += 1
            if count % READ_BATCH == 0:
                gevent.sleep(0)

    def _receive_numbered(self, number: int) -> bool:
        """Record a numbered message; acknowledge it, or request the messages that are missing before it.

        Returns whether to handle the message.
        """
        receipt = self.received.receive(number)
        if receipt.request_resend:
            last = self.received.last_number
            self.process.log.info("words missed", node=self.node, heard=last, came=number)
            self._acknowledge(resend=True)
        elif self.received.last_number - self.received.acknowledged >= ACK_MESSAGES:
            self._acknowledge(resend=False)
        elif receipt.accepted and not self._ack_due:
            self._ack_due = True
            gevent.spawn_later(ACK_DELAY_S, self._acknowledge, resend=False)
        return receipt.accepted

    def _acknowledge(self, *, resend: bool) -> None:
        self._ack_due = False
        if self.closing or self.call is None or self.call.stream.error is not None:
            return
        self.received.acknowledged = self.received.last_number
        self.send(_REQUEST(ack=_REQUEST.Ack(number=self.received.last_number, again=resend)))

    def send(self, message: Any, attempt: AttemptId | None = None) -> bool:
        """Queue a message; ``attempt`` is the offered attempt if the message is an offer.

        Returns False if the send buffer is full because the node does not read.
        """
        try:
            if not self.call.try_send(message):
                return False
        except RpcError:
            pass  # the stream has failed: the message counts as unsent
        stream = self.call.stream
        number = stream.messages_queued - 1 if stream.error is None else NEVER_SENT
        self.sent.append(SentMessage(number, attempt))
        while self.sent and self.sent[0].number < stream.messages_started:
            self.sent.popleft()
        return True

    def check_health(self) -> bool:
        """Request a load report of the node.

        The core receives HealthCheckCompleted, with the report or after the time-out. Returns False if the
        request could not be queued.
        """
        self._last_check += 1
        number = self._last_check
        if not self.send(_REQUEST(probe=_REQUEST.Probe(probe=number))):
            return False
        self._checks[number] = now_us()
        timeout_s = self.process.config.health_check_timeout_us / 1e6
        gevent.spawn_later(timeout_s, self._check_timed_out, number)
        return True

    def _health_report(self, sampled: Any) -> ev.Event | None:
        sent_at = self._checks.pop(sampled.probe, None)
        if sent_at is None:
            return None  # the check has timed out already
        report = (sampled.report.free_cores, sampled.report.free_memory, sampled.report.util)
        return ev.HealthCheckCompleted(self.node, True, now_us() - sent_at, report)

    def _check_timed_out(self, number: int) -> None:
        sent_at = self._checks.pop(number, None)
        if sent_at is not None:
            self.process.handle(ev.HealthCheckCompleted(self.node, False, now_us() - sent_at))

    def unsent(self) -> frozenset[AttemptId]:
        """Return the attempts whose offers were not even partly handed to the connection."""
        if self.call is None:
            return frozenset()
        started = self.call.stream.messages_started
        return frozenset(
            sent.attempt for sent in self.sent if sent.attempt is not None and sent.number >= started
        )

    def stamp(self) -> AgeStamp | None:
        """Return the age stamp of a message that is sent now; None while no grant is known.

        With the stamp the node can count the times in the message from when it was sent.
        """
        if self.table.clock_stepped():
            self.process.log.warning("the clock has jumped: grants are forgotten")
        return self.stamps.stamp(now_us())

    def close(self) -> None:
        """Close the connection; the reading greenlet then calls ``connection_ended``."""
        self.closing = True
        self._close_channel()

    def _close_channel(self) -> None:
        # Aborted, not closed: unsent messages must not be delivered when a broken network path recovers.
        if self.channel is not None:
            self.channel.close(abort=True)

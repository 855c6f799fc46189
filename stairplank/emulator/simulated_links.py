"""Links between planners and nodes in simulated time: connections that stall, delay, break, and heal late.

A connection carries messages in order each way. Its path may be held in one direction or both: messages then
wait and are delivered, in order, when the path opens again, also when the planner has closed the connection
meanwhile. So messages of an old connection arrive after those of a new one, as on a network that heals. The
decisions are those of the fence, the session and the cores; here is only the path between them.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from ..fence import AgeStamp, MessageStamper
from ..planner.received_messages import ReceivedMessages
from ..standin.planner_session import PlannerSession

KEEPALIVE_TIMEOUT_US = 2_000_000  # a planner that receives nothing for so long closes a connection
DIAL_TIMEOUT_US = 250_000
ACKNOWLEDGE_EVERY = 8  # numbered messages

Schedule = Callable[..., None]  # (delay in microseconds, call, *arguments)
FeedEvent = Callable[[Any], None]  # hands an event to a planner's core


class Direction(StrEnum):
    """The two directions of a path, under the names that scenarios use."""

    TO_NODE = "there"
    TO_PLANNER = "back"


def _by_direction() -> dict[str, int]:
    return dict.fromkeys(Direction, 0)


def _queue_by_direction() -> dict[str, deque[tuple[SimulatedConnection, Callable[[], None]]]]:
    return {direction: deque() for direction in Direction}


@dataclass
class NetworkPath:
    """The path between one planner and one node, by direction."""

    hold_counts: dict[str, int] = field(default_factory=_by_direction)  # overlapping faults that hold it
    extra_delay_us: dict[str, int] = field(default_factory=_by_direction)
    held_messages: dict[str, deque[tuple[SimulatedConnection, Callable[[], None]]]] = field(
        default_factory=_queue_by_direction
    )
    last_arrival_us: dict[str, int] = field(default_factory=_by_direction)

    @property
    def is_passing(self) -> bool:
        """Whether no direction is held."""
        return not any(self.hold_counts.values())


@dataclass(eq=False)
class SimulatedConnection:
    """One connection, as its planner knows it."""

    planner: int
    node: int
    epoch: int
    incarnation: int  # of the planner
    received: ReceivedMessages
    stamps: MessageStamper = field(default_factory=MessageStamper)
    is_closed: bool = False  # by its planner, or reset: nothing more is sent on it
    is_reset: bool = False  # messages in flight are lost as well


class SimulatedLinks:
    """All connections of a simulation.

    Attributes:
        now_us: simulated time; the simulation keeps it current.
        is_fenced: False only to show what happens without the fence.
        lost_messages: in flight on connections that were reset.
        stale_messages: reached a node on a connection that was no longer the newest.
    """

    def __init__(self, rng: random.Random, delay_us: Callable[[], int], schedule: Schedule) -> None:
        """``delay_us`` draws the delay of one message; ``schedule`` queues a call of the simulation."""
        self.now_us = 0
        self.rng = rng
        self.is_fenced = True
        self.lost_messages = 0
        self.stale_messages = 0
        self._delay_us = delay_us
        self._schedule = schedule
        self._paths: dict[tuple[int, int], NetworkPath] = {}
        self._connections: dict[tuple[int, int], SimulatedConnection] = {}
        self._sessions: dict[tuple[int, int], PlannerSession] = {}
        # By incarnation of the planner and node: when that node started, and what was received from it.
        self._received: dict[tuple[int, int], tuple[int, ReceivedMessages]] = {}
        self._epoch = 0

    def path(self, planner: int, node: int) -> NetworkPath:
        """The path between a planner and a node."""
        return self._paths.setdefault((planner, node), NetworkPath())

    def connection(self, planner: int, node: int) -> SimulatedConnection | None:
        """The open connection of a planner to a node."""
        return self._connections.get((planner, node))

    def session(self, planner: int, node: int) -> PlannerSession:
        """What a node keeps of a planner over its connections."""
        return self._sessions.setdefault((planner, node), PlannerSession(self.rng))

    # Opening and closing

    def open(self, planner: int, incarnation: int, node: int, node_started_us: int) -> SimulatedConnection:
        """Open a connection with both greetings exchanged, and the node's first grant."""
        self._epoch += 1
        known = self._received.get((incarnation, node))
        if known is None or known[0] != node_started_us:
            known = (node_started_us, ReceivedMessages())
            self._received[incarnation, node] = known
        received = known[1]
        connection = SimulatedConnection(planner, node, self._epoch, incarnation, received)
        self._connections[planner, node] = connection
        received.stream_opened()
        session = self.session(planner, node)
        unacknowledged = session.open(self.now_us, incarnation, self._epoch, received.last_number)
        assert unacknowledged is not None and session.grants is not None
        connection.stamps.receive_grant(self.now_us, session.grants.issue(self.now_us))
        return connection

    def resend_unacknowledged(self, connection: SimulatedConnection, feed: FeedEvent) -> None:
        """Let the node send again what the planner has not acknowledged."""
        session = self.session(connection.planner, connection.node)
        for number, event in session.outbox.unacknowledged_after(connection.received.last_number):
            self.send_to_planner(connection, event, feed, number)

    def close(self, planner: int, node: int) -> SimulatedConnection | None:
        """The planner closes its connection; messages in flight may still arrive."""
        connection = self._connections.pop((planner, node), None)
        if connection is not None:
            connection.is_closed = True
        return connection

    def reset(self, planner: int, node: int) -> SimulatedConnection | None:
        """The connection breaks; messages in flight are lost."""
        connection = self.close(planner, node)
        if connection is not None:
            connection.is_reset = True
        return connection

    def remove_node(self, node: int) -> set[int]:
        """A node's process has died, with its sessions and connections; the planners that had one."""
        for key in [key for key in self._sessions if key[1] == node]:
            del self._sessions[key]
        connected = {planner for planner, other in self._connections if other == node}
        for planner in connected:
            self.reset(planner, node)
        return connected

    # Messages

    def send_to_node(
        self, connection: SimulatedConnection, deliver: Callable[[PlannerSession], None]
    ) -> None:
        """From the planner; ``deliver`` is called where the node still takes this connection's messages."""
        self._send(Direction.TO_NODE, connection, lambda: self._deliver_to_node(connection, deliver))

    def _deliver_to_node(
        self, connection: SimulatedConnection, deliver: Callable[[PlannerSession], None]
    ) -> None:
        session = self._sessions.get((connection.planner, connection.node))
        if session is None:
            return
        if (session.incarnation, session.epoch) != (connection.incarnation, connection.epoch):
            self.stale_messages += 1
            return
        deliver(session)

    def stamp(self, connection: SimulatedConnection) -> AgeStamp | None:
        """The fence's stamp for a message that the planner sends now."""
        return connection.stamps.stamp(self.now_us)

    def earliest_send_us(self, session: PlannerSession, stamp: AgeStamp | None) -> int | None:
        """When a stamped message was sent at the earliest; without the fence, when it arrives."""
        return session.earliest_sent_at(self.now_us, stamp) if self.is_fenced else self.now_us

    def report(self, planner: int, node: int, event: Any, is_last: bool, feed: FeedEvent) -> None:
        """A node's report to a planner; the last on an attempt is kept until it is acknowledged."""
        session = self.session(planner, node)
        number = session.outbox.add(event) if is_last else 0
        connection = self._connections.get((planner, node))
        if connection is None:
            return
        if (session.incarnation, session.epoch) == (connection.incarnation, connection.epoch):
            self.send_to_planner(connection, event, feed, number)

    def send_to_planner(
        self, connection: SimulatedConnection, event: Any, feed: FeedEvent, number: int = 0
    ) -> None:
        """From the node, with a grant; ``number`` is that of a message that is to be acknowledged."""
        grant = self.session(connection.planner, connection.node).grant(self.now_us)
        self._send(
            Direction.TO_PLANNER,
            connection,
            lambda: self._deliver_to_planner(connection, event, feed, grant, number),
        )

    def _deliver_to_planner(
        self, connection: SimulatedConnection, event: Any, feed: FeedEvent, grant: int, number: int
    ) -> None:
        if connection.is_closed:
            return
        connection.stamps.receive_grant(self.now_us, grant)
        if number:
            is_next, is_gap = connection.received.receive(number)
            if is_gap:
                self.send_to_node(connection, lambda _: self.resend_unacknowledged(connection, feed))
            if is_next and number % ACKNOWLEDGE_EVERY == 0:
                self.send_to_node(connection, lambda session: session.outbox.acknowledge(number))
            if not is_next:
                return
        feed(event)

    def _send(
        self, direction: Direction, connection: SimulatedConnection, arrive: Callable[[], None]
    ) -> None:
        path = self.path(connection.planner, connection.node)
        if path.hold_counts[direction]:
            path.held_messages[direction].append((connection, arrive))
        else:
            self._transmit(direction, path, connection, arrive)

    def _transmit(
        self, direction: str, path: NetworkPath, connection: SimulatedConnection, arrive: Callable[[], None]
    ) -> None:
        """Messages of one direction arrive in the order in which they were sent."""
        earliest_us = self.now_us + self._delay_us() + path.extra_delay_us[direction]
        arrival_us = max(earliest_us, path.last_arrival_us[direction])
        path.last_arrival_us[direction] = arrival_us
        self._schedule(arrival_us - self.now_us, self._arrive, connection, arrive)

    def _arrive(self, connection: SimulatedConnection, arrive: Callable[[], None]) -> None:
        if connection.is_reset:
            self.lost_messages += 1
        else:
            arrive()

    # Faults

    def hold(self, planner: int, node: int, *directions: str) -> None:
        """Let messages of these directions wait until ``release``."""
        for direction in directions:
            self.path(planner, node).hold_counts[direction] += 1

    def release(self, planner: int, node: int, *directions: str) -> None:
        """End one hold; where it was the last, the messages that waited are sent, in order."""
        path = self.path(planner, node)
        for direction in directions:
            path.hold_counts[direction] -= 1
            held = path.held_messages[direction]
            while held and not path.hold_counts[direction]:
                self._transmit(direction, path, *held.popleft())

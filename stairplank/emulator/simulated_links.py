"""Simulated connections between planners and nodes, with delays, holds and resets.

A connection delivers messages in order in each direction. Its path can be held in one direction or both:
messages then wait and arrive in order when the path is released, even if the planner has closed the
connection since. Messages of an old connection can therefore arrive after messages of a newer one, as they
do when a network partition heals. This module simulates only the network; every decision is made by the
real fence, session and cores.
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

KEEPALIVE_TIMEOUT_US = 2_000_000  # a planner closes a connection after this long without messages
DIAL_TIMEOUT_US = 250_000
ACKNOWLEDGE_EVERY = 8  # the planner acknowledges every eighth numbered message

Schedule = Callable[..., None]  # (delay in microseconds, call, *arguments)
FeedEvent = Callable[[Any], None]  # passes an event to a planner's core


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
    """The state of the network path between one planner and one node, for each direction."""

    hold_counts: dict[str, int] = field(default_factory=_by_direction)  # number of overlapping holds
    extra_delay_us: dict[str, int] = field(default_factory=_by_direction)
    held_messages: dict[str, deque[tuple[SimulatedConnection, Callable[[], None]]]] = field(
        default_factory=_queue_by_direction
    )
    last_arrival_us: dict[str, int] = field(default_factory=_by_direction)

    @property
    def is_passing(self) -> bool:
        """Whether messages can pass in both directions."""
        return not any(self.hold_counts.values())


@dataclass(eq=False)
class SimulatedConnection:
    """A planner's connection to a node, with the planner's state of it."""

    planner: int
    node: int
    epoch: int
    incarnation: int  # the planner's incarnation
    received: ReceivedMessages
    stamps: MessageStamper = field(default_factory=MessageStamper)
    is_closed: bool = False  # the planner has closed it or it was reset; events that arrive on it are dropped
    is_reset: bool = False  # messages that were in flight are lost


class SimulatedLinks:
    """All connections and sessions between the planners and nodes of a simulation.

    Attributes:
        now_us: simulated time in microseconds; the simulation updates it.
        is_fenced: whether the age of messages is checked; False is a baseline of experiments.
        lost_messages: number of messages lost in flight because their connection was reset.
        stale_messages: number of messages that reached a node on a connection older than its newest one.
    """

    def __init__(self, rng: random.Random, delay_us: Callable[[], int], schedule: Schedule) -> None:
        """Create links without connections.

        ``delay_us`` returns a random delay for one message; ``schedule`` schedules a call in the simulation.
        """
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
        # The key is the incarnation of a planner and a node; the value is the start time of that node and the
        # messages that the planner has received from it.
        self._received: dict[tuple[int, int], tuple[int, ReceivedMessages]] = {}
        self._epoch = 0

    def path(self, planner: int, node: int) -> NetworkPath:
        """Return the path between a planner and a node."""
        return self._paths.setdefault((planner, node), NetworkPath())

    def connection(self, planner: int, node: int) -> SimulatedConnection | None:
        """Return the open connection of a planner to a node, or None."""
        return self._connections.get((planner, node))

    def session(self, planner: int, node: int) -> PlannerSession:
        """Return the node's session of a planner, which outlasts single connections."""
        return self._sessions.setdefault((planner, node), PlannerSession(self.rng))

    # Opening and closing

    def open(self, planner: int, incarnation: int, node: int, node_started_us: int) -> SimulatedConnection:
        """Return a new connection on which the handshake is done and the node has issued its first grant."""
        self._epoch += 1
        entry = self._received.get((incarnation, node))
        if entry is None or entry[0] != node_started_us:
            entry = (node_started_us, ReceivedMessages())
            self._received[incarnation, node] = entry
        received = entry[1]
        connection = SimulatedConnection(planner, node, self._epoch, incarnation, received)
        self._connections[planner, node] = connection
        received.stream_opened()
        session = self.session(planner, node)
        unacknowledged = session.open(self.now_us, incarnation, self._epoch, received.last_number)
        assert unacknowledged is not None and session.grants is not None
        connection.stamps.receive_grant(self.now_us, session.grants.issue(self.now_us))
        return connection

    def resend_unacknowledged(self, connection: SimulatedConnection, feed: FeedEvent) -> None:
        """Make the node resend its numbered messages after the last one that the planner has received."""
        session = self.session(connection.planner, connection.node)
        for number, event in session.outbox.unacknowledged_after(connection.received.last_number):
            self.send_to_planner(connection, event, feed, number)

    def close(self, planner: int, node: int) -> SimulatedConnection | None:
        """Close the planner's connection and return it, or None; messages to the node may still arrive."""
        connection = self._connections.pop((planner, node), None)
        if connection is not None:
            connection.is_closed = True
        return connection

    def reset(self, planner: int, node: int) -> SimulatedConnection | None:
        """Break a connection, which loses the messages in flight; returns the connection, or None."""
        connection = self.close(planner, node)
        if connection is not None:
            connection.is_reset = True
        return connection

    def remove_node(self, node: int) -> set[int]:
        """Drop all sessions and connections of a node whose process has crashed.

        Returns the planners that were connected to the node.
        """
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
        """Send a message from the planner to the node.

        ``deliver`` is called on arrival, unless the node has a newer connection or has restarted.
        """
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
        """Return the age stamp for a message that the planner sends now; None without a recent grant."""
        return connection.stamps.stamp(self.now_us)

    def earliest_send_us(self, session: PlannerSession, stamp: AgeStamp | None) -> int | None:
        """Return the earliest time at which a message can have been sent, or None if its age is unknown.

        Without the fence this is the time of arrival, so that no message counts as old.
        """
        return session.earliest_sent_at(self.now_us, stamp) if self.is_fenced else self.now_us

    def report(self, planner: int, node: int, event: Any, is_last: bool, feed: FeedEvent) -> None:
        """Send a node's report to a planner.

        ``is_last`` marks the last report about an attempt, which is kept until the planner acknowledges it.
        """
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
        """Send an event with a grant from the node to the planner.

        ``number`` is the message number of an event that must be acknowledged; other events have 0.
        """
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
        """Schedule the arrival of a message, after all earlier messages in the same direction."""
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
        """Hold all messages in these directions until ``release`` is called."""
        for direction in directions:
            self.path(planner, node).hold_counts[direction] += 1

    def release(self, planner: int, node: int, *directions: str) -> None:
        """End one hold of each direction; the end of the last hold sends the waiting messages in order."""
        path = self.path(planner, node)
        for direction in directions:
            path.hold_counts[direction] -= 1
            held = path.held_messages[direction]
            while held and not path.hold_counts[direction]:
                self._transmit(direction, path, *held.popleft())

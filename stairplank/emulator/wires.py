"""Links between planners and nodes in simulated time: connections that hold, delay, break, and outlive a cut.

A connection carries messages in order each way. Its path may be held in one direction or both: what is said
then waits and is delivered, in order, when the path passes again, also when the planner has given the
connection up meanwhile. So words of an old connection come after those of a new one, as on a network that
heals. Decisions are the fence's, the door's and the cores'; here is only the way between them.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..fence import AgeStamp, MessageStamper
from ..planner.received_messages import ReceivedMessages
from ..standin.planner_session import PlannerSession

THERE, BACK = "there", "back"
KEEPALIVE_US = 2_000_000  # a planner that hears nothing for so long gives a connection up
DIAL_US = 250_000
ACK_EVERY = 8

Schedule = Callable[..., None]  # (delay in microseconds, call, *arguments)


@dataclass
class Path:
    """Between one planner and one node."""

    holds: dict[str, int] = field(default_factory=lambda: {THERE: 0, BACK: 0})
    delay: dict[str, int] = field(default_factory=lambda: {THERE: 0, BACK: 0})
    waiting: dict[str, deque[tuple[Wire, Callable[[], None]]]] = field(
        default_factory=lambda: {THERE: deque(), BACK: deque()}
    )
    clear_at: dict[str, int] = field(default_factory=lambda: {THERE: 0, BACK: 0})

    @property
    def passing(self) -> bool:
        return not any(self.holds.values())


@dataclass(eq=False)
class Wire:
    """One connection, as its planner knows it."""

    planner: int
    node: int
    epoch: int
    life: int  # of the planner
    heard: ReceivedMessages
    stamps: MessageStamper = field(default_factory=MessageStamper)
    given_up: bool = False  # by its planner, or reset: nothing more is said on it
    reset: bool = False  # what is still on the way is lost as well


class Wires:
    """All connections of a room. ``now`` tells simulated time."""

    def __init__(self, rng: random.Random, delay: Callable[[], int], after: Schedule) -> None:
        self.now = 0
        self.rng = rng
        self.fenced = True  # False: for showing what happens without
        self.lost = 0
        self.stale = 0  # messages that reached a node on a connection that was no longer the newest
        self._delay = delay
        self._after = after
        self._paths: dict[tuple[int, int], Path] = {}
        self._wires: dict[tuple[int, int], Wire] = {}
        self._doors: dict[tuple[int, int], PlannerSession] = {}
        self._heard: dict[
            tuple[int, int], tuple[int, ReceivedMessages]
        ] = {}  # planner's life and node: node's life
        self._epoch = 0

    def path(self, planner: int, node: int) -> Path:
        return self._paths.setdefault((planner, node), Path())

    def wire(self, planner: int, node: int) -> Wire | None:
        return self._wires.get((planner, node))

    def door(self, planner: int, node: int) -> PlannerSession:
        return self._doors.setdefault((planner, node), PlannerSession(self.rng))

    # Opening and ending

    def open(self, planner: int, life: int, node: int, started: int) -> Wire:
        """A connection stands, both hellos heard; last words that were not heard are on their way."""
        self._epoch += 1
        known = self._heard.get((life, node))
        if known is None or known[0] != started:
            known = self._heard[life, node] = (started, ReceivedMessages())
        heard = known[1]
        wire = self._wires[planner, node] = Wire(planner, node, self._epoch, life, heard)
        heard.stream_opened()
        door = self.door(planner, node)
        unheard = door.open(self.now, life, self._epoch, heard.last_number)
        assert unheard is not None and door.grants is not None
        wire.stamps.receive_grant(self.now, door.grants.issue(self.now))
        return wire

    def replay(self, wire: Wire, feed: Callable[[Any], None]) -> None:
        """Say again what was not heard."""
        door = self.door(wire.planner, wire.node)
        for number, event in door.outbox.unacknowledged_after(wire.heard.last_number):
            self.back(wire, event, feed, number)

    def give_up(self, planner: int, node: int) -> Wire | None:
        """The planner closes its connection; what was sent before may still come."""
        wire = self._wires.pop((planner, node), None)
        if wire is not None:
            wire.given_up = True
        return wire

    def reset(self, planner: int, node: int) -> Wire | None:
        """The connection breaks; what is on the way is lost."""
        wire = self.give_up(planner, node)
        if wire is not None:
            wire.reset = True
        return wire

    def node_gone(self, node: int) -> set[int]:
        """Its process is dead: doors and connections are gone with it; whose they were."""
        for key in [k for k in self._doors if k[1] == node]:
            del self._doors[key]
        linked = {planner for planner, other in self._wires if other == node}
        for planner in linked:
            self.reset(planner, node)
        return linked

    # Saying

    def there(self, wire: Wire, call: Callable[[PlannerSession], None]) -> None:
        """From the planner; ``call`` is what the node does where it still looks at this connection."""
        self._put(THERE, wire, lambda: self._reach(wire, call))

    def _reach(self, wire: Wire, call: Callable[[PlannerSession], None]) -> None:
        door = self._doors.get((wire.planner, wire.node))
        if door is None:
            return
        if (door.incarnation, door.epoch) != (wire.life, wire.epoch):
            self.stale += 1
            return
        call(door)

    def stamp(self, wire: Wire) -> AgeStamp | None:
        return wire.stamps.stamp(self.now)

    def said_at(self, door: PlannerSession, stamp: AgeStamp | None) -> int | None:
        """By the fence; without it, everything is said when it comes."""
        return door.earliest_sent_at(self.now, stamp) if self.fenced else self.now

    def say(self, planner: int, node: int, event: Any, last: bool, feed: Callable[[Any], None]) -> None:
        """A node's word to a planner, kept until heard where it is the last on an attempt."""
        door = self.door(planner, node)
        number = door.outbox.add(event) if last else 0
        wire = self._wires.get((planner, node))
        if wire is not None and (door.incarnation, door.epoch) == (wire.life, wire.epoch):
            self.back(wire, event, feed, number)

    def back(self, wire: Wire, event: Any, feed: Callable[[Any], None], number: int = 0) -> None:
        grant = self.door(wire.planner, wire.node).grant(self.now)
        self._put(BACK, wire, lambda: self._hear(wire, event, feed, grant, number))

    def _hear(self, wire: Wire, event: Any, feed: Callable[[Any], None], grant: int, number: int) -> None:
        if wire.given_up:
            return
        wire.stamps.receive_grant(self.now, grant)
        if number:
            take, again = wire.heard.receive(number)
            if again:
                self.there(wire, lambda door: self.replay(wire, feed))
            if take and number % ACK_EVERY == 0:
                self.there(wire, lambda door: door.outbox.acknowledge(number))
            if not take:
                return
        feed(event)

    def _put(self, direction: str, wire: Wire, call: Callable[[], None]) -> None:
        path = self.path(wire.planner, wire.node)
        if path.holds[direction]:
            path.waiting[direction].append((wire, call))
        else:
            self._pass(direction, path, wire, call)

    def _pass(self, direction: str, path: Path, wire: Wire, call: Callable[[], None]) -> None:
        at = max(self.now + self._delay() + path.delay[direction], path.clear_at[direction])
        path.clear_at[direction] = at
        self._after(at - self.now, self._arrive, wire, call)

    def _arrive(self, wire: Wire, call: Callable[[], None]) -> None:
        if wire.reset:
            self.lost += 1
        else:
            call()

    # Weather

    def hold(self, planner: int, node: int, *directions: str) -> None:
        for direction in directions:
            self.path(planner, node).holds[direction] += 1

    def release(self, planner: int, node: int, *directions: str) -> None:
        """What waited comes through, in order."""
        path = self.path(planner, node)
        for direction in directions:
            path.holds[direction] -= 1
            while path.waiting[direction] and not path.holds[direction]:
                self._pass(direction, path, *path.waiting[direction].popleft())

"""When a node is dialled, and what a link is at the moment. Decides without I/O or clock."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from .events import AttemptId


class State(Enum):
    __hash__ = object.__hash__  # see transitions.Stage

    DOWN = "down"
    DIALLING = "dialling"  # or about to be: its turn will come
    UP = "up"


@dataclass(slots=True)
class Link:
    """One planner's one link to a node."""

    node: int
    addresses: tuple[str, ...]
    state: State = State.DOWN
    listed: bool = True  # the list names it; else it is kept only for what it still holds
    fails: int = 0
    dial_at: int = 0  # not before
    started_unix_us: int = -1  # the node's life as it said itself; -1: never heard
    draining: bool = False  # by its own word, in this life
    unsettled: set[AttemptId] = field(default_factory=set)  # sent before the link broke, fate unknown
    held_at: int = 0  # when it was last asked what it holds
    lost_at: int = 0  # when the link broke; 0: it is up, or nothing was under way


class Dials:
    """Which links are dialled now: so many at once, those that offers wait for first.

    Danger: a planner that starts, or hears of a whole new fleet, dials hundreds of nodes; done all at once
    none of the handshakes is through within its time-out, and healthy nodes count as unreachable.
    """

    def __init__(self, most: int) -> None:
        self._most = most
        self._under_way: set[int] = set()
        self._waiting: dict[int, None] = {}

    def want(self, node: int, *, first: bool = False) -> list[int]:
        """Ask for a dial; the nodes to dial now."""
        if node in self._under_way:
            return []
        if first:
            self._waiting = {node: None, **self._waiting}
        else:
            self._waiting.setdefault(node)
        return self._next()

    def set_most(self, most: int) -> list[int]:
        """Another bound; the nodes to dial now. Dials under way above a lower bound go on."""
        self._most = most
        return self._next()

    def over(self, node: int) -> list[int]:
        """A dial has ended, or its link was given up."""
        self._under_way.discard(node)
        self._waiting.pop(node, None)
        return self._next()

    def _next(self) -> list[int]:
        out: list[int] = []
        while self._waiting and len(self._under_way) < self._most:
            node = next(iter(self._waiting))
            del self._waiting[node]
            self._under_way.add(node)
            out.append(node)
        return out


class Heard:
    """Numbered words of one node's life, each taken once and in order."""

    def __init__(self) -> None:
        self.number = 0  # all up to this one were taken
        self.acknowledged = 0
        self._asked_at = -1  # the number after which words were asked for again

    def take(self, number: int) -> tuple[bool, bool]:
        """Whether to take a word, and whether to ask for those before it again (once a gap)."""
        if number == self.number + 1:
            self.number = number
            return True, False
        if number <= self.number or self._asked_at == self.number:
            return False, False
        self._asked_at = self.number
        return False, True

    def opened(self) -> None:
        """On a new stream the node begins with what was not heard."""
        self._asked_at = -1


class Redial:
    """Waits between dials: doubling from the first to the most, each drawn from its upper half."""

    def __init__(self, first_us: int, most_us: int, rng: random.Random) -> None:
        self._first = first_us
        self._most = most_us
        self._rng = rng

    def set_waits(self, first_us: int, most_us: int) -> None:
        """Other waits, from the next dial that fails on."""
        self._first = first_us
        self._most = most_us

    def after_failure(self, link: Link, now: int) -> None:
        """The node did not answer; the wait grows."""
        wait = min(self._first << min(link.fails, 16), self._most)
        link.fails += 1
        link.dial_at = now + wait // 2 + self._rng.randrange(wait // 2 + 1)

    def after_loss(self, link: Link, now: int) -> None:
        """A link that was up broke. Danger: all planners come back to a restarted node at once."""
        link.fails = 0
        link.dial_at = now + self._rng.randrange(self._first + 1)

    def wanted_now(self, link: Link, now: int) -> bool:
        """An offer waits: dial at once, unless the last two dials failed and the next is not yet due."""
        return link.state is State.DOWN and (link.fails <= 1 or now >= link.dial_at)

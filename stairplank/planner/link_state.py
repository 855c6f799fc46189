"""When a node is dialled, and what a link is at the moment. Decides without I/O or clock."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from .events import AttemptId


class LinkState(Enum):
    __hash__ = object.__hash__  # see transitions.Stage

    DOWN = "down"
    DIALLING = "dialling"  # or about to be: its turn will come
    UP = "up"


@dataclass(slots=True)
class Link:
    """One planner's one link to a node."""

    node: int
    addresses: tuple[str, ...]
    state: LinkState = LinkState.DOWN
    is_listed: bool = True  # the list names it; else it is kept only for what it still holds
    failed_dials: int = 0
    next_dial_at: int = 0  # not before
    started_unix_us: int = -1  # the node's life as it said itself; -1: never heard
    is_draining: bool = False  # by its own word, in this life
    unsettled: set[AttemptId] = field(default_factory=set)  # sent before the link broke, fate unknown
    tasks_requested_at: int = 0  # when it was last asked what it holds
    broken_at: int = 0  # when the link broke; 0: it is up, or nothing was under way


class DialQueue:
    """Which links are dialled now: so many at once, those that offers wait for first.

    Danger: a planner that starts, or hears of a whole new fleet, dials hundreds of nodes; done all at once
    none of the handshakes is through within its time-out, and healthy nodes count as unreachable.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._in_progress: set[int] = set()
        self._waiting: dict[int, None] = {}

    def request(self, node: int, *, first: bool = False) -> list[int]:
        """Ask for a dial; the nodes to dial now."""
        if node in self._in_progress:
            return []
        if first:
            self._waiting = {node: None, **self._waiting}
        else:
            self._waiting.setdefault(node)
        return self._next()

    def set_limit(self, limit: int) -> list[int]:
        """Another bound; the nodes to dial now. Dials under way above a lower bound go on."""
        self._limit = limit
        return self._next()

    def finished(self, node: int) -> list[int]:
        """A dial has ended, or its link was given up."""
        self._in_progress.discard(node)
        self._waiting.pop(node, None)
        return self._next()

    def _next(self) -> list[int]:
        out: list[int] = []
        while self._waiting and len(self._in_progress) < self._limit:
            node = next(iter(self._waiting))
            del self._waiting[node]
            self._in_progress.add(node)
            out.append(node)
        return out


class ReceivedMessages:
    """Numbered words of one node's life, each taken once and in order."""

    def __init__(self) -> None:
        self.last_number = 0  # all up to this one were taken
        self.acknowledged = 0
        self._resend_requested_after = -1  # the number after which words were asked for again

    def receive(self, number: int) -> tuple[bool, bool]:
        """Whether to take a word, and whether to ask for those before it again (once a gap)."""
        if number == self.last_number + 1:
            self.last_number = number
            return True, False
        if number <= self.last_number or self._resend_requested_after == self.last_number:
            return False, False
        self._resend_requested_after = self.last_number
        return False, True

    def stream_opened(self) -> None:
        """On a new stream the node begins with what was not heard."""
        self._resend_requested_after = -1


class DialBackoff:
    """Waits between dials: doubling from the first to the most, each drawn from its upper half."""

    def __init__(self, initial_us: int, max_us: int, rng: random.Random) -> None:
        self._initial_us = initial_us
        self._max_us = max_us
        self._rng = rng

    def set_bounds(self, initial_us: int, max_us: int) -> None:
        """Other waits, from the next dial that fails on."""
        self._initial_us = initial_us
        self._max_us = max_us

    def after_failure(self, link: Link, now: int) -> None:
        """The node did not answer; the wait grows."""
        wait = min(self._initial_us << min(link.failed_dials, 16), self._max_us)
        link.failed_dials += 1
        link.next_dial_at = now + wait // 2 + self._rng.randrange(wait // 2 + 1)

    def after_loss(self, link: Link, now: int) -> None:
        """A link that was up broke. Danger: all planners come back to a restarted node at once."""
        link.failed_dials = 0
        link.next_dial_at = now + self._rng.randrange(self._initial_us + 1)

    def may_dial_now(self, link: Link, now: int) -> bool:
        """An offer waits: dial at once, unless the last two dials failed and the next is not yet due."""
        return link.state is LinkState.DOWN and (link.failed_dials <= 1 or now >= link.next_dial_at)

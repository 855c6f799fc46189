"""Which nodes are dialled, and when: a bound on dials at once, backoff between them. No I/O or clock."""

from __future__ import annotations

import random

from .link_state import Link, LinkState

MAX_DOUBLINGS = 16


class DialQueue:
    """Which links are dialled now: so many at once, those that offers wait for first.

    Danger: a planner that starts, or hears of a whole new fleet, dials hundreds of nodes; done all at once
    none of the handshakes is through within its time-out, and healthy nodes count as unreachable.
    """

    def __init__(self, limit: int) -> None:
        """At most ``limit`` dials are in progress."""
        self._limit = limit
        self._in_progress: set[int] = set()
        self._waiting: dict[int, None] = {}

    def request(self, node: int, *, first: bool = False) -> list[int]:
        """Queue a dial, before all others if ``first``; the nodes to dial now."""
        if node in self._in_progress:
            return []
        if first:
            self._waiting = {node: None, **self._waiting}
        else:
            self._waiting.setdefault(node)
        return self._next()

    def set_limit(self, limit: int) -> list[int]:
        """Change the bound; the nodes to dial now. Dials in progress above a lower bound go on."""
        self._limit = limit
        return self._next()

    def finished(self, node: int) -> list[int]:
        """A dial has ended, or its link was removed; the nodes to dial now."""
        self._in_progress.discard(node)
        self._waiting.pop(node, None)
        return self._next()

    def _next(self) -> list[int]:
        nodes: list[int] = []
        while self._waiting and len(self._in_progress) < self._limit:
            node = next(iter(self._waiting))
            del self._waiting[node]
            self._in_progress.add(node)
            nodes.append(node)
        return nodes


class DialBackoff:
    """Waits between dials: doubling from the initial to the longest, each drawn from its upper half."""

    def __init__(self, initial_us: int, max_us: int, rng: random.Random) -> None:
        """Waits grow from ``initial_us`` to ``max_us``."""
        self._initial_us = initial_us
        self._max_us = max_us
        self._rng = rng

    def set_bounds(self, initial_us: int, max_us: int) -> None:
        """Change the waits, from the next dial that fails on."""
        self._initial_us = initial_us
        self._max_us = max_us

    def after_failure(self, link: Link, now: int) -> None:
        """The node did not answer; the wait grows."""
        wait_us = min(self._initial_us << min(link.failed_dials, MAX_DOUBLINGS), self._max_us)
        link.failed_dials += 1
        link.next_dial_at = now + wait_us // 2 + self._rng.randrange(wait_us // 2 + 1)

    def after_loss(self, link: Link, now: int) -> None:
        """A link that was up broke. Danger: all planners come back to a restarted node at once."""
        link.failed_dials = 0
        link.next_dial_at = now + self._rng.randrange(self._initial_us + 1)

    def may_dial_now(self, link: Link, now: int) -> bool:
        """An offer waits: dial at once, unless the last two dials failed and the next is not yet due."""
        return link.state is LinkState.DOWN and (link.failed_dials <= 1 or now >= link.next_dial_at)

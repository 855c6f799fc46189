"""Decides when nodes are dialled: a bound on concurrent dials, and backoff between dials. No I/O or clock."""

from __future__ import annotations

import random

from .link_state import Link, LinkState

MAX_DOUBLINGS = 16


class DialQueue:
    """Bounds the dials in progress. Nodes that an offer waits for are dialled first.

    A planner that starts, or whose node list names many new nodes, has hundreds of nodes to dial. If it
    dialled them all at once, no handshake would complete within its time-out and healthy nodes would count
    as unreachable.
    """

    def __init__(self, limit: int) -> None:
        """Create an empty queue that allows ``limit`` dials in progress."""
        self._limit = limit
        self._in_progress: set[int] = set()
        self._waiting: dict[int, None] = {}

    def request(self, node: int, *, first: bool = False) -> list[int]:
        """Queue a dial, ahead of all others if ``first``. Returns the nodes to dial now."""
        if node in self._in_progress:
            return []
        if first:
            self._waiting = {node: None, **self._waiting}
        else:
            self._waiting.setdefault(node)
        return self._next()

    def set_limit(self, limit: int) -> list[int]:
        """Change the bound. Returns the nodes to dial now.

        Dials in progress continue even if there are more of them than a lower bound allows.
        """
        self._limit = limit
        return self._next()

    def finished(self, node: int) -> list[int]:
        """Remove a node whose dial has ended or whose link was removed. Returns the nodes to dial now."""
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
    """Sets the time of the next dial: waits double up to a maximum, with jitter over their upper half."""

    def __init__(self, initial_us: int, max_us: int, rng: random.Random) -> None:
        """Set the first wait, ``initial_us``, and the longest, ``max_us``."""
        self._initial_us = initial_us
        self._max_us = max_us
        self._rng = rng

    def set_bounds(self, initial_us: int, max_us: int) -> None:
        """Change the shortest and longest wait; takes effect at the next failed dial or broken link."""
        self._initial_us = initial_us
        self._max_us = max_us

    def after_failure(self, link: Link, now: int) -> None:
        """Set the time of the next dial after a failed one; the wait doubles with each failure."""
        wait_us = min(self._initial_us << min(link.failed_dials, MAX_DOUBLINGS), self._max_us)
        link.failed_dials += 1
        link.next_dial_at = now + wait_us // 2 + self._rng.randrange(wait_us // 2 + 1)

    def after_loss(self, link: Link, now: int) -> None:
        """Set the time of the next dial after a link that was up broke.

        The wait is random, so that not all planners reconnect to a restarted node at the same moment.
        """
        link.failed_dials = 0
        link.next_dial_at = now + self._rng.randrange(self._initial_us + 1)

    def may_dial_now(self, link: Link, now: int) -> bool:
        """Return whether to dial at once because an offer waits for the link.

        False if the last two dials failed and the next one is not yet due, or if the link is not down.
        """
        return link.state is LinkState.DOWN and (link.failed_dials <= 1 or now >= link.next_dial_at)

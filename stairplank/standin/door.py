"""What a node keeps of one planner's streams: the newest, last words unheard, how old words are. No I/O.

Invariants:

1. Of one life of a planner no stream is looked at after a newer one has said hello.
2. A last word is kept until its planner has heard it; ``complete`` says that none was dropped unheard.
3. Nothing is counted as said earlier or later than the fence can prove.
"""

from __future__ import annotations

import random
from typing import Any

from ..fence import AgeStamp, GrantIssuer
from .outbox import Outbox


class Door:
    """One planner's door at one life of a node. Times are microseconds of the node's clock."""

    def __init__(self, rng: random.Random, most: int = 10_000) -> None:
        self.life = 0
        self.epoch = 0
        self.box = Outbox(0, most)
        self.grants: GrantIssuer | None = None
        self.too_old = 0  # words that came too late, or proved nothing
        self._rng = rng
        self._most = most

    def opened(self, now: int, life: int, epoch: int, heard: int) -> list[tuple[int, Any]] | None:
        """A stream says hello: last words that its planner has not heard, or None where it is an old one."""
        if life == self.life and epoch < self.epoch:
            return None
        if life != self.life:
            self.box = Outbox(life, self._most)
        self.life, self.epoch = life, epoch
        self.box.heard(heard)
        self.grants = GrantIssuer(now, self._rng)
        return self.box.after(heard)

    def said_at(self, now: int, stamp: AgeStamp | None) -> int | None:
        """The earliest moment at which a word with this stamp can have been said; None: nobody can tell."""
        at = None if self.grants is None else self.grants.earliest_send_time(now, stamp)
        self.too_old += at is None
        return at

    def grant(self, now: int) -> int:
        """For what is said anyway: a grant, or 0 where none is due."""
        return 0 if self.grants is None else self.grants.issue_if_due(now)

    def complete_for(self, life: int) -> bool:
        """Whether what this life of the planner has not heard of was never seen."""
        return life == self.life and self.box.complete

"""What a node keeps of one planner: its newest stream, unacknowledged messages, the age of messages. No I/O.

Invariants:

1. Of one incarnation of a planner no stream is served after a newer one has said hello.
2. A final message is kept until its planner has acknowledged it; ``is_complete_for`` says that none was
   dropped.
3. No message is taken to be sent earlier or later than the fence can prove.
"""

from __future__ import annotations

import random

from ..fence import AgeStamp, GrantIssuer
from .outbox import NumberedMessage, Outbox


class PlannerSession:
    """One planner's session at one incarnation of a node. Times are microseconds of the node's clock."""

    def __init__(self, rng: random.Random, max_messages: int = 10_000) -> None:
        """Start without a stream; ``max_messages`` bounds the outbox."""
        self.incarnation = 0
        self.epoch = 0
        self.outbox = Outbox(0, max_messages)
        self.grants: GrantIssuer | None = None
        self.expired_messages = 0  # too old, or without proof of their age
        self._rng = rng
        self._max_messages = max_messages

    def open(self, now: int, incarnation: int, epoch: int, acknowledged: int) -> list[NumberedMessage] | None:
        """A stream says hello; returns what its planner has not acknowledged, or None for an old stream."""
        if incarnation == self.incarnation and epoch < self.epoch:
            return None
        if incarnation != self.incarnation:
            self.outbox = Outbox(incarnation, self._max_messages)
        self.incarnation = incarnation
        self.epoch = epoch
        self.outbox.acknowledge(acknowledged)
        self.grants = GrantIssuer(now, self._rng)
        return self.outbox.unacknowledged_after(acknowledged)

    def earliest_sent_at(self, now: int, stamp: AgeStamp | None) -> int | None:
        """The earliest moment at which a message with this stamp can have been sent; None: not known."""
        sent_at = None if self.grants is None else self.grants.earliest_send_time(now, stamp)
        if sent_at is None:
            self.expired_messages += 1
        return sent_at

    def grant(self, now: int) -> int:
        """A grant for a message that is sent anyway, or 0 where none is due."""
        return 0 if self.grants is None else self.grants.issue_if_due(now)

    def is_complete_for(self, incarnation: int) -> bool:
        """Whether an attempt that this incarnation has no message about was never received here."""
        return incarnation == self.incarnation and self.outbox.complete

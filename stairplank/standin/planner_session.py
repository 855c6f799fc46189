"""A node's state about one planner: newest stream, unacknowledged messages, age of messages. No I/O.

Invariants:

1. No stream of a planner incarnation is served after a newer stream of it has sent its hello.
2. A final message is kept until its planner has acknowledged it, except at the outbox's bound.
   ``is_complete_for`` returns whether none was dropped.
3. The assumed send time of a message is always one that the message's grant proves.
"""

from __future__ import annotations

import random

from ..fence import AgeStamp, GrantIssuer
from .outbox import NumberedMessage, Outbox


class PlannerSession:
    """One planner's session at one incarnation of a node. Times are microseconds of the node's clock."""

    def __init__(self, rng: random.Random, max_messages: int = 10_000) -> None:
        """Create a session without a stream; ``max_messages`` bounds the outbox."""
        self.incarnation = 0
        self.epoch = 0
        self.outbox = Outbox(0, max_messages)
        self.grants: GrantIssuer | None = None
        self.expired_messages = 0  # number of messages that were too old or had no proof of their age
        self._rng = rng
        self._max_messages = max_messages

    def open(self, now: int, incarnation: int, epoch: int, acknowledged: int) -> list[NumberedMessage] | None:
        """Process the hello of a stream.

        Returns the messages that the planner has not acknowledged, or None if a newer stream was here before.
        """
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
        """Return the earliest possible send time of a message with this stamp, or None if it is not known."""
        sent_at = None if self.grants is None else self.grants.earliest_send_time(now, stamp)
        if sent_at is None:
            self.expired_messages += 1
        return sent_at

    def grant(self, now: int) -> int:
        """Return a grant to add to an outgoing message, or 0 if none is due."""
        return 0 if self.grants is None else self.grants.issue_if_due(now)

    def is_complete_for(self, incarnation: int) -> bool:
        """Whether no unacknowledged message to this planner incarnation was dropped.

        If so, an attempt that is not on the node and has no message in the outbox was never received.
        """
        return incarnation == self.incarnation and self.outbox.complete

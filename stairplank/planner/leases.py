"""Leases of committed members: which renewals have reached their nodes, and what ran out. No I/O or clock.

Invariants (tests/planner/test_leases.py, with the other components played by hand):

1. ``leased_until`` of an attempt is never later than its node keeps it: it counts from when the commit,
   or the last renewal that the node has acknowledged, was sent.
2. A member whose lease has run out for all that is known is reported as lost, once, and stopped.
3. At most ``MAX_PENDING_RENEWALS`` renewals to a node are unacknowledged; an acknowledgement covers those
   before it.

State: ``pending_renewals``.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Protocol

from .. import interface as api
from . import events as ev
from .context import CoreContext
from .events import AttemptId
from .placement import Attempt

MAX_PENDING_RENEWALS = 64  # to one node


class Attempts(Protocol):
    """What leases need of the attempts."""

    def find(self, id: AttemptId) -> Attempt | None:
        """The attempt, unless its end is known."""

    def stop(self, attempt: Attempt, why: ev.StopReason) -> None:
        """Tell the node to stop the attempt."""

    def end(self, attempt: Attempt, result: api.Result) -> None:
        """The attempt has ended with this result."""


@dataclass(frozen=True, slots=True)
class PendingRenewal:
    """A renewal that its node has not acknowledged."""

    sent_at: int
    sent: ev.SendLeaseRenewal


class Leases:
    """Leases of the members that this planner has committed or taken over."""

    def __init__(self, context: CoreContext) -> None:
        """Start without leases; the core sets ``attempts``."""
        self.context = context
        self.attempts: Attempts
        self.pending_renewals: dict[int, deque[PendingRenewal]] = {}  # by node, oldest first

    def renew(self, node: int, attempt_ids: tuple[AttemptId, ...], lease_us: int) -> None:
        """Send a renewal of these leases, which counts once the node has acknowledged it."""
        renewal = ev.SendLeaseRenewal(node, attempt_ids, lease_us, self.context.next_number())
        pending = self.pending_renewals.setdefault(node, deque())
        pending.append(PendingRenewal(self.context.now, renewal))
        while len(pending) > MAX_PENDING_RENEWALS:  # the node acknowledges none: leases run out meanwhile
            pending.popleft()
        self.context.emit(renewal)

    def renewal_received(self, event: ev.LeasesRenewed) -> None:
        """A node acknowledges a renewal: its leases are extended from when it was sent."""
        pending = self.pending_renewals.get(event.node)
        while pending and pending[0].sent.renewal <= event.renewal:
            renewal = pending.popleft()
            if renewal.sent.renewal == event.renewal:
                self._extend_all(renewal)
        if not pending:
            self.pending_renewals.pop(event.node, None)

    def _extend_all(self, renewal: PendingRenewal) -> None:
        for attempt_id in renewal.sent.ids:
            attempt = self.attempts.find(attempt_id)
            if attempt is not None:
                self.extend(attempt, renewal.sent_at + renewal.sent.lease_us)

    def link_lost(self, node: int) -> None:
        """The link to a node is lost: what it has not acknowledged is forgotten."""
        self.pending_renewals.pop(node, None)

    def extend(self, attempt: Attempt, expires_at: int) -> None:
        """The node keeps the attempt until then for certain. An attempt has one timer."""
        if not attempt.leased_until:
            self.context.call_at(expires_at, self._expire, attempt)
        attempt.leased_until = max(attempt.leased_until, expires_at)

    def _expire(self, attempt: Attempt) -> None:
        """Danger: where renewals are held up, a node has released its members and cannot say so.

        The rest of the group would run on by itself until the link is found to be dead, seconds later.
        """
        if self.attempts.find(attempt.id) is not attempt or attempt.placement.group is None:
            return
        if attempt.leased_until > self.context.now:
            self.context.call_at(attempt.leased_until, self._expire, attempt)
            return
        self.context.count("leases_over")
        self.attempts.stop(attempt, ev.StopReason.ABANDONED)
        self.attempts.end(attempt, api.Result.LOST)

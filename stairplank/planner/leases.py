"""Leases of committed group members: pending renewals, extension and expiry. No I/O or clock.

Invariants (tests/planner/test_leases.py, with stubs of the other components):

1. ``leased_until`` of an attempt is never later than the lease's end at its node: it counts from when the
   commit was sent, or the last renewal that the node has acknowledged.
2. A member whose lease has expired by ``leased_until`` is reported as lost, once, and stopped.
3. At most ``MAX_PENDING_RENEWALS`` renewals to a node are kept as unacknowledged; an acknowledgement also
   removes the earlier ones.

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

MAX_PENDING_RENEWALS = 64  # unacknowledged renewals per node


class Attempts(Protocol):
    """The methods of attempts that leases use."""

    def find(self, id: AttemptId) -> Attempt | None:
        """Return the attempt, or None if it has ended."""

    def stop(self, attempt: Attempt, reason: ev.StopReason) -> None:
        """Stop the attempt at its node."""

    def end(self, attempt: Attempt, result: api.Result) -> None:
        """End the attempt with this result."""


@dataclass(frozen=True, slots=True)
class PendingRenewal:
    """A renewal that its node has not acknowledged."""

    sent_at: int  # time at which the renewal was sent
    message: ev.SendLeaseRenewal


class Leases:
    """Leases of the group members that this planner has committed or adopted."""

    def __init__(self, context: CoreContext) -> None:
        """Create the component without leases; the core sets ``attempts``."""
        self.context = context
        self.attempts: Attempts
        self.pending_renewals: dict[int, deque[PendingRenewal]] = {}  # pending renewals by node, oldest first

    def renew(self, node: int, attempt_ids: tuple[AttemptId, ...], lease_us: int) -> None:
        """Send a renewal of these leases, which extends them once the node has acknowledged it."""
        renewal = ev.SendLeaseRenewal(node, attempt_ids, lease_us, self.context.next_number())
        pending = self.pending_renewals.setdefault(node, deque())
        pending.append(PendingRenewal(self.context.now, renewal))
        while len(pending) > MAX_PENDING_RENEWALS:  # the node acknowledges none, so its leases expire
            pending.popleft()
        self.context.emit(renewal)

    def renewal_received(self, event: ev.LeasesRenewed) -> None:
        """Extend the leases of a renewal that a node acknowledged, counted from when it was sent."""
        pending = self.pending_renewals.get(event.node)
        while pending and pending[0].message.renewal <= event.renewal:
            renewal = pending.popleft()
            if renewal.message.renewal == event.renewal:
                self._extend_all(renewal)
        if not pending:
            self.pending_renewals.pop(event.node, None)

    def _extend_all(self, renewal: PendingRenewal) -> None:
        for attempt_id in renewal.message.ids:
            attempt = self.attempts.find(attempt_id)
            if attempt is not None:
                self.extend(attempt, renewal.sent_at + renewal.message.lease_us)

    def link_lost(self, node: int) -> None:
        """Remove the pending renewals of a node whose link was lost."""
        self.pending_renewals.pop(node, None)

    def extend(self, attempt: Attempt, expires_at: int) -> None:
        """Extend the time until which the node certainly keeps the attempt; an attempt has only one timer."""
        if not attempt.leased_until:
            self.context.call_at(expires_at, self._expire, attempt)
        attempt.leased_until = max(attempt.leased_until, expires_at)

    def _expire(self, attempt: Attempt) -> None:
        """End and stop an attempt whose lease has expired, or set the timer anew if it was extended.

        If renewals do not arrive, the node releases its members but cannot report it. Without this timer, the
        rest of the group would run without them until the link is detected as lost, seconds later.
        """
        if self.attempts.find(attempt.id) is not attempt or attempt.placement.group is None:
            return
        if attempt.leased_until > self.context.now:
            self.context.call_at(attempt.leased_until, self._expire, attempt)
            return
        self.context.count("leases_over")
        self.attempts.stop(attempt, ev.StopReason.ABANDONED)
        self.attempts.end(attempt, api.Result.LOST)

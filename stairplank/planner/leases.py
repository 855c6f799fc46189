"""Leases of members that were let run: which keeps have reached their nodes, and what ran out. No I/O or
clock.

Invariants (tests/planner/test_leases.py, with the other rooms played by hand):

1. ``kept_until`` of an attempt is never later than its node keeps it: it counts from when the last keep
   that the node has answered, or the commit, was said.
2. A member whose lease is over for all that is known is told as lost, once, and called off.
3. At most ``KEEPS_MOST`` keeps are under way to a node; an answer to one answers for those before it.

Tables: ``keeps``, and when each was said.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

from .. import interface as api
from . import events as ev
from .context import CoreContext
from .events import AttemptId
from .placement import Attempt

MAX_PENDING_RENEWALS = 64  # keeps under way to a node


class Attempts(Protocol):
    def known(self, id: AttemptId) -> Attempt | None: ...
    def stop(self, attempt: Attempt, why: ev.StopReason) -> None: ...
    def over(self, attempt: Attempt, result: api.Result) -> None: ...


class Leases:
    def __init__(self, context: CoreContext) -> None:
        self.context = context
        self.attempts: Attempts
        self.pending_renewals: dict[int, deque[ev.SendLeaseRenewal]] = {}  # by node: said, and not answered
        self._sent_at: dict[int, int] = {}  # when, by number

    def renew(self, node: int, attempt_ids: tuple[AttemptId, ...], lease_us: int) -> None:
        keep = ev.SendLeaseRenewal(node, attempt_ids, lease_us, self.context.next_number())
        waiting = self.pending_renewals.setdefault(node, deque())
        waiting.append(keep)
        self._sent_at[keep.renewal] = self.context.now
        while len(waiting) > MAX_PENDING_RENEWALS:  # of a node that answers none: leases run out meanwhile
            del self._sent_at[waiting.popleft().renewal]
        self.context.emit(keep)

    def renewal_received(self, event: ev.LeasesRenewed) -> None:
        """A keep has reached its node: its members are kept from when it was said."""
        waiting = self.pending_renewals.get(event.node)
        while waiting and waiting[0].renewal <= event.renewal:
            keep = waiting.popleft()
            until = self._sent_at.pop(keep.renewal) + keep.lease_us
            for id in keep.ids if keep.renewal == event.renewal else ():
                attempt = self.attempts.known(id)
                if attempt is not None:
                    self.extend(attempt, until)
        if not waiting:
            self.pending_renewals.pop(event.node, None)

    def link_lost(self, node: int) -> None:
        for keep in self.pending_renewals.pop(node, ()):
            del self._sent_at[keep.renewal]

    def extend(self, attempt: Attempt, until: int) -> None:
        """So long the node keeps a member for certain; one timer an attempt looks after it."""
        if not attempt.lease_expires_at:
            self.context.call_at(until, self._over, attempt)
        attempt.lease_expires_at = max(attempt.lease_expires_at, until)

    def _over(self, attempt: Attempt) -> None:
        """Danger: where keeps are held on their way, a node has released its members and cannot say so.

        The rest of the group would run on by itself until the link is found to be dead, seconds later.
        """
        if self.attempts.known(attempt.id) is not attempt or attempt.placement.group is None:
            return
        if attempt.lease_expires_at > self.context.now:
            self.context.call_at(attempt.lease_expires_at, self._over, attempt)
            return
        self.context.count("leases_over")
        self.attempts.stop(attempt, ev.StopReason.ABANDONED)
        self.attempts.over(attempt, api.Result.LOST)

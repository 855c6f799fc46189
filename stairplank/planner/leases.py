"""Leases of members that were let run: which keeps have reached their nodes, and what ran out. No I/O or
clock.

Invariants (tests/planner/test_leases.py, with the other rooms played by hand):

1. ``leased_until`` of an attempt is never later than its node keeps it: it counts from when the last keep
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

KEEPS_MOST = 64  # keeps under way to a node


class Attempts(Protocol):
    def find(self, id: AttemptId) -> Attempt | None: ...
    def stop(self, attempt: Attempt, why: ev.StopReason) -> None: ...
    def end(self, attempt: Attempt, result: api.Result) -> None: ...


class Leases:
    def __init__(self, context: CoreContext) -> None:
        self.context = context
        self.attempts: Attempts
        self.keeps: dict[int, deque[ev.SendLeaseRenewal]] = {}  # by node: said, and not answered
        self._said: dict[int, int] = {}  # when, by number

    def keep(self, node: int, ids: tuple[AttemptId, ...], lease_us: int) -> None:
        keep = ev.SendLeaseRenewal(node, ids, lease_us, self.context.next_number())
        waiting = self.keeps.setdefault(node, deque())
        waiting.append(keep)
        self._said[keep.renewal] = self.context.now
        while len(waiting) > KEEPS_MOST:  # of a node that answers none: leases run out meanwhile
            del self._said[waiting.popleft().renewal]
        self.context.emit(keep)

    def kept(self, event: ev.LeasesRenewed) -> None:
        """A keep has reached its node: its members are kept from when it was said."""
        waiting = self.keeps.get(event.node)
        while waiting and waiting[0].renewal <= event.renewal:
            keep = waiting.popleft()
            until = self._said.pop(keep.renewal) + keep.lease_us
            for id in keep.ids if keep.renewal == event.renewal else ():
                attempt = self.attempts.find(id)
                if attempt is not None:
                    self.hold(attempt, until)
        if not waiting:
            self.keeps.pop(event.node, None)

    def link_lost(self, node: int) -> None:
        for keep in self.keeps.pop(node, ()):
            del self._said[keep.renewal]

    def hold(self, attempt: Attempt, until: int) -> None:
        """So long the node keeps a member for certain; one timer an attempt looks after it."""
        if not attempt.leased_until:
            self.context.call_at(until, self._over, attempt)
        attempt.leased_until = max(attempt.leased_until, until)

    def _over(self, attempt: Attempt) -> None:
        """Danger: where keeps are held on their way, a node has released its members and cannot say so.

        The rest of the group would run on by itself until the link is found to be dead, seconds later.
        """
        if self.attempts.find(attempt.id) is not attempt or attempt.placement.group is None:
            return
        if attempt.leased_until > self.context.now:
            self.context.call_at(attempt.leased_until, self._over, attempt)
            return
        self.context.count("leases_over")
        self.attempts.stop(attempt, ev.StopReason.ABANDONED)
        self.attempts.end(attempt, api.Result.LOST)

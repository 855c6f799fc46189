"""Settles attempts whose fate a lost link, a new node process or a node's own report proves.

No I/O or clock.
"""

from __future__ import annotations

from .. import interface as api
from . import events as ev
from .attempt_lifecycle import AttemptLifecycle, offer_expired_at
from .events import AttemptId


class AttemptSettlement:
    """Ends attempts on what is known of their nodes and links."""

    def __init__(self, attempts: AttemptLifecycle) -> None:
        """``attempts`` holds the attempts that are settled here."""
        self.attempts = attempts
        self.context = attempts.context

    def node_restarted(self, node: int) -> None:
        """The node's process is another one: what was there is gone."""
        for attempt in self.attempts.at_node(node):
            if not attempt.waiting:
                self.attempts.end(attempt, api.Result.LOST)

    def link_lost(self, node: int, unsent: frozenset[AttemptId]) -> list[AttemptId]:
        """A link was lost: what provably never left has ended; return what had left, for it is unsettled."""
        unsettled = []
        for attempt in self.attempts.at_node(node):
            if attempt.id in unsent and not attempt.accepted:
                self.attempts.end(attempt, api.Result.UNREACHABLE)
            elif not attempt.waiting:
                unsettled.append(attempt.id)
        return unsettled

    def link_expired(self, ids: list[AttemptId]) -> None:
        """A lost link did not come back in time: what was there counts as lost from now on."""
        for id in ids:
            attempt = self.attempts.find(id)
            if attempt is not None:
                self.attempts.end(attempt, api.Result.LOST)

    def not_at_node(self, ids: list[AttemptId], complete: bool) -> None:
        """These were sent before a link was lost, and are not in the node's report.

        ``complete``: the node keeps its last message on an attempt until that was received.
        """
        for id in ids:
            attempt = self.attempts.find(id)
            if attempt is None:
                continue
            if complete and not attempt.accepted:
                # Neither held nor reported as ended: the node never received it.
                self.context.count("never_seen")
                self.attempts.end(attempt, api.Result.UNREACHABLE)
            else:
                self.attempts.end(attempt, api.Result.LOST)

    def settle_never_received(self, event: ev.NodeTasksReported, held: set[AttemptId]) -> None:
        """End abandoned offers that had expired when the node was asked, and of which it holds nothing.

        They were either never received, or rejected by a message that was received by now; and should they
        arrive yet, the node rejects them as too late: proven not to run.
        """
        if not self.context.config.settles_abandoned_offers:
            return
        for attempt in self.attempts.at_node(event.node):
            unanswered = attempt.outcome_reported and not attempt.accepted
            expired = event.requested_at >= offer_expired_at(attempt)
            if unanswered and attempt.id not in held and expired:
                self.context.count("never_taken")
                self.attempts.end(attempt, api.Result.UNREACHABLE)

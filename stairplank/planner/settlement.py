"""Settles attempts: a lost link, a node restart or a node's report on its tasks determines their outcome.

No I/O or clock.
"""

from __future__ import annotations

from .. import interface as api
from . import events as ev
from .attempt_lifecycle import AttemptLifecycle, offer_expired_at
from .events import AttemptId


class AttemptSettlement:
    """Ends attempts on evidence about their nodes and links."""

    def __init__(self, attempts: AttemptLifecycle) -> None:
        """Create the settlement of the attempts in the table ``attempts``."""
        self.attempts = attempts
        self.context = attempts.context

    def node_restarted(self, node: int) -> None:
        """End the attempts at a node that has restarted, which lost its tasks."""
        for attempt in self.attempts.at_node(node):
            if not attempt.waiting:
                self.attempts.end(attempt, api.Result.LOST)

    def link_lost(self, node: int, unsent: frozenset[AttemptId]) -> list[AttemptId]:
        """End the attempts whose offers provably never left on a lost link; return the unsettled ones."""
        unsettled = []
        for attempt in self.attempts.at_node(node):
            if attempt.id in unsent and not attempt.accepted:
                self.attempts.end(attempt, api.Result.UNREACHABLE)
            elif not attempt.waiting:
                unsettled.append(attempt.id)
        return unsettled

    def link_expired(self, ids: list[AttemptId]) -> None:
        """End unsettled attempts as lost: their link was not up again within the grace period."""
        for id in ids:
            attempt = self.attempts.find(id)
            if attempt is not None:
                self.attempts.end(attempt, api.Result.LOST)

    def not_at_node(self, ids: list[AttemptId], complete: bool) -> None:
        """End attempts that were sent before a link was lost and are missing from the node's report.

        ``complete`` means that the node keeps its last message on an attempt until the planner has received
        it.
        """
        for id in ids:
            attempt = self.attempts.find(id)
            if attempt is None:
                continue
            if complete and not attempt.accepted:
                # The node reports the attempt neither as present nor as ended: it never received it.
                self.context.count("never_seen")
                self.attempts.end(attempt, api.Result.UNREACHABLE)
            else:
                self.attempts.end(attempt, api.Result.LOST)

    def settle_never_received(self, event: ev.NodeTasksReported, reported_ids: set[AttemptId]) -> None:
        """End abandoned offers that had expired when the report was requested and that it does not contain.

        The node either never received such an offer, or rejected it in a message that has arrived by now. If
        the offer still arrives later, the node rejects it as too late, so the task is proven not to run.
        """
        if not self.context.config.settles_abandoned_offers:
            return
        for attempt in self.attempts.at_node(event.node):
            unanswered = attempt.outcome_reported and not attempt.accepted
            expired = event.requested_at >= offer_expired_at(attempt)
            if unanswered and attempt.id not in reported_ids and expired:
                self.context.count("never_taken")
                self.attempts.end(attempt, api.Result.UNREACHABLE)

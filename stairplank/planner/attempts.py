"""The attempts of one planner, from the decision module's bind to the node's last message.

No I/O or clock.

Invariants (tests/planner/test_attempts.py, with stubs of the other components):

1. The decision module gets exactly one outcome of each attempt, by the first of: the node's last message, the
   attempt's deadline, the loss of its link, a stop before it was sent.
2. An attempt that is reported as proven not to have run never ran and never will: it was not sent, the node
   rejected it, or the node's own report shows that it never arrived and it is too old to be accepted.
3. An attempt is in ``attempts`` until the node's last message on it arrives or the wait for that message
   times out; no duplicate that a node reports is ignored (``abandoned_attempts``).
4. Only an attempt that is not abandoned binds its placement, and only while the placement is open.

Tables: ``attempts``, ``by_node``.
"""

from __future__ import annotations

from . import events as ev
from .attempt_lifecycle import AttemptLifecycle
from .context import CoreContext
from .events import AttemptId
from .node_messages import NodeMessageHandler
from .offers import OfferDispatcher
from .settlement import AttemptSettlement


class Attempts(AttemptLifecycle):
    """The life cycle of attempts; parts send their offers, handle node messages and settle them."""

    def __init__(self, context: CoreContext) -> None:
        """Create an empty table; the core sets the other components before the first event."""
        super().__init__(context)
        self.offers = OfferDispatcher(self)
        self.messages = NodeMessageHandler(self)
        self.settlement = AttemptSettlement(self)

    def send_waiting_offers(self, node: int) -> None:
        """Send the offers that waited for the node's link, which is up now."""
        self.offers.send_waiting(node)

    def fail_waiting_offers(self, node: int) -> None:
        """End the attempts whose offers wait for the node's link, so that none is sent later."""
        self.offers.fail_waiting(node)

    def node_accepted(self, event: ev.NodeAccepted) -> None:
        """Handle a node's report that it accepted an offer."""
        self.messages.node_accepted(event)

    def node_running(self, event: ev.NodeRunning) -> None:
        """Handle a node's report that it started a task."""
        self.messages.node_running(event)

    def node_restarted(self, node: int) -> None:
        """End the attempts at a node that has restarted, which lost its tasks."""
        self.settlement.node_restarted(node)

    def link_lost(self, node: int, unsent: frozenset[AttemptId]) -> list[AttemptId]:
        """Handle the loss of a link; return the attempts that it leaves unsettled."""
        return self.settlement.link_lost(node, unsent)

    def link_expired(self, ids: list[AttemptId]) -> None:
        """End unsettled attempts as lost: their link was not up again within the grace period."""
        self.settlement.link_expired(ids)

    def not_at_node(self, ids: list[AttemptId], complete: bool) -> None:
        """End unsettled attempts that are missing from the node's report on its tasks."""
        self.settlement.not_at_node(ids, complete)

    def settle_never_received(self, event: ev.NodeTasksReported, reported_ids: set[AttemptId]) -> None:
        """End expired offers that never arrived at the node, as its complete report on its tasks proves."""
        self.settlement.settle_never_received(event, reported_ids)

"""The attempts of one planner: offers from the decision module's bind to the node's last message.

No I/O or clock.

Invariants (tests/planner/test_attempts.py, with the other components played by stand-ins):

1. The decision module gets exactly one outcome of each attempt, by the first of: the node's last message, the
   attempt's deadline, the loss of its link, a stop before it was sent.
2. What is reported as proven not to have run never ran and never will: it was not sent, the node rejected it,
   or by the node's own report it never arrived and is too old to be accepted.
3. An attempt is in ``attempts`` until the node's last message on it, or until that has been awaited for long
   enough; no duplicate that a node reports is ignored (``abandoned_attempts``).
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
    """The component as the others see it: the life of attempts, and the parts that start and settle them."""

    def __init__(self, context: CoreContext) -> None:
        """Other components are set before the first event."""
        super().__init__(context)
        self.offers = OfferDispatcher(self)
        self.messages = NodeMessageHandler(self)
        self.settlement = AttemptSettlement(self)

    def send_waiting_offers(self, node: int) -> None:
        """The node's link is up: send the offers that waited for it."""
        self.offers.send_waiting(node)

    def fail_waiting_offers(self, node: int) -> None:
        """Offers that wait for the node's link must not leave any more."""
        self.offers.fail_waiting(node)

    def node_accepted(self, event: ev.NodeAccepted) -> None:
        """A node's report on its tasks says that it accepted an offer."""
        self.messages.node_accepted(event)

    def node_running(self, event: ev.NodeRunning) -> None:
        """A node's report on its tasks says that it started one."""
        self.messages.node_running(event)

    def node_restarted(self, node: int) -> None:
        """The node's process is another one: what was there is gone."""
        self.settlement.node_restarted(node)

    def link_lost(self, node: int, unsent: frozenset[AttemptId]) -> list[AttemptId]:
        """A link was lost; return the attempts that are unsettled by it."""
        return self.settlement.link_lost(node, unsent)

    def link_expired(self, ids: list[AttemptId]) -> None:
        """A lost link did not come back in time: what was there counts as lost from now on."""
        self.settlement.link_expired(ids)

    def not_at_node(self, ids: list[AttemptId], complete: bool) -> None:
        """Attempts that were unsettled are not in the node's report."""
        self.settlement.not_at_node(ids, complete)

    def settle_never_received(self, event: ev.NodeTasksReported, held: set[AttemptId]) -> None:
        """A complete report of a node proves that expired offers never arrived there."""
        self.settlement.settle_never_received(event, held)

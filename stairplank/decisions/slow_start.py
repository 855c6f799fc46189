"""Slow start: limits the offers that this planner sends to a recently started node (rule 4)."""

from __future__ import annotations

from .context import Context
from .list_delay import MAX_LIST_DELAY_US, ListDelay
from .node_state import Node

SLOW_START_SHARE_USED = 0.8  # share of the allowed offers used: jitter may move some into the next window
SLOW_START_RAMP = 4.0  # the limit on unanswered offers grows by this multiple while the node warms up
RESTART_UNCERTAINTY = 2.0  # list delays for which a node that answers again may have restarted unnoticed
SLOW_START_MAX_UNANSWERED = 2  # unanswered binds allowed on a node that has just started and is slow


def slow_start_turn(slot: int, position: int, planners: int, budget: int) -> int:
    """Return how many of the ``budget`` offers in a time slot one planner may send.

    The offers of successive slots are dealt to the planners in turn. The shares of all planners add up to
    the budget; with more planners than offers, a planner gets an offer only in some slots.
    """
    offset = planners - 1 - position
    return ((slot + 1) * budget + offset) // planners - (slot * budget + offset) // planners


class SlowStart:
    """Decides which nodes are in slow start and whether such a node may get a further offer."""

    def __init__(self, context: Context, list_delay: ListDelay) -> None:
        """Use the planner's clock and settings and the estimated delay of its node list."""
        self._context = context
        self._list_delay = list_delay

    def started_at(self, node: Node) -> int:
        """Return the start time of a node that is, or may be, in slow start; 0 if the node is warm."""
        now = self._context.now
        slow_start_us = self._context.settings.slow_start_us
        started = node.entry.started_us
        if started and now < started + slow_start_us:
            return started
        health = node.health
        if not health.unresponsive_since:
            return 0
        # An unresponsive node may have restarted. Until the node list shows that, planners would send it as
        # many offers as a warm node. If it was only disconnected, it gets fewer offers than it could take.
        uncertainty = (
            RESTART_UNCERTAINTY * self._list_delay.mean_us if health.answered_at else MAX_LIST_DELAY_US
        )
        until = (health.answered_at or health.unresponsive_since) + min(uncertainty, slow_start_us)
        return health.unresponsive_since if now < until else 0

    def allows(self, node: Node) -> bool:
        """Return whether the node may get one more offer now.

        A recently started node looks emptiest to every planner, so planners take turns by time slot to
        avoid overloading it.
        """
        start = self.started_at(node)
        if not start:
            return True
        context = self._context
        settings = context.settings
        elapsed = max(0, context.now - start)
        width = max(1, settings.overload_window_us)
        slot = elapsed // width
        slot_begin = start + slot * width
        if slot_begin <= context.started_at:
            return False  # offers by an earlier incarnation of this planner in the slot are unknown
        if slot_begin > node.slow_start_slot + width // 2:  # a node's reported start time varies slightly
            node.slow_start_slot = slot_begin
            node.slow_start_used = 0
        # Half the allowance per slot, because an overload window may span two slots.
        budget = int(SLOW_START_SHARE_USED * settings.slow_start_offers / 2)
        position = (settings.position + node.hash) % settings.planners
        share = slow_start_turn(slot, position, settings.planners, budget)
        ramp = 1 + SLOW_START_RAMP * elapsed / settings.slow_start_us
        return node.slow_start_used < share and node.unanswered() < SLOW_START_MAX_UNANSWERED * ramp

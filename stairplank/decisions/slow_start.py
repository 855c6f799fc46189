"""Slow start: how many offers a node that has just come up gets from this planner (rule 4)."""

from __future__ import annotations

from .context import Context
from .list_delay import MAX_LIST_DELAY_US, ListDelay
from .node_state import Node

SLOW_START_SHARE_USED = 0.8  # of the surely borne offers: jitter may push some into the next window
SLOW_START_RAMP = 4.0  # by the end of the slow start so many times as many more: it gains pace on the way
RESTART_DOUBT = 2.0  # times the list's delay: a node heard again may have restarted so long unseen
SLOW_START_MAX_UNANSWERED = 2  # binds on a node in slow start: its pace is a fraction of the usual


def slow_start_turn(slot: int, position: int, planners: int, budget: int) -> int:
    """How many of the ``budget`` offers in a time slot fall to one planner: they are dealt in turn.

    All planners together get exactly the budget, one planner all of it, and of many each now and then one.
    """
    spare = planners - 1 - position
    return ((slot + 1) * budget + spare) // planners - (slot * budget + spare) // planners


class SlowStart:
    """Which nodes are in slow start, and whether one may get a further offer."""

    def __init__(self, context: Context, list_delay: ListDelay) -> None:
        """Use the planner's clock and settings, and the delay of its node list."""
        self._context = context
        self._list_delay = list_delay

    def started_at(self, node: Node) -> int:
        """When a node that is in slow start, or may be, came up; 0 for one that is warm."""
        now = self._context.now
        slow_start_us = self._context.settings.slow_start_us
        started = node.entry.started_us
        if started and now < started + slow_start_us:
            return started
        health = node.health
        if not health.unresponsive_since:
            return 0
        # Danger: an unresponsive node may have restarted, and until the list shows it all planners would
        # send it what a warm one bears. Does harm where it was only cut off: it is served slowly meanwhile.
        doubt = RESTART_DOUBT * self._list_delay.mean_us if health.answered_at else MAX_LIST_DELAY_US
        until = (health.answered_at or health.unresponsive_since) + min(doubt, slow_start_us)
        return health.unresponsive_since if now < until else 0

    def allows(self, node: Node) -> bool:
        """Whether the node may get one more offer now.

        Danger: all planners find a fresh node emptiest; they take turns, slot by slot.
        """
        start = self.started_at(node)
        if not start:
            return True
        context = self._context
        settings = context.settings
        since = max(0, context.now - start)
        width = max(1, settings.overload_window_us)
        slot = since // width
        slot_begin = start + slot * width
        if slot_begin <= context.started_at:
            return False  # what an earlier incarnation of this planner sent in the slot is not known
        if slot_begin > node.slow_start_slot + width // 2:  # a start is read a little differently each time
            node.slow_start_slot = slot_begin
            node.slow_start_used = 0
        # A window may lie across two slots.
        budget = int(SLOW_START_SHARE_USED * settings.slow_start_offers / 2)
        position = (settings.position + node.hash) % settings.planners
        turn = slow_start_turn(slot, position, settings.planners, budget)
        ramp = 1 + SLOW_START_RAMP * since / settings.slow_start_us
        return node.slow_start_used < turn and node.unanswered() < SLOW_START_MAX_UNANSWERED * ramp

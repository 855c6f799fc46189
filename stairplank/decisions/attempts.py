"""The record of one offer of a task to a node."""

from __future__ import annotations

from typing import NamedTuple

from .. import interface as api


class UnconfirmedChange(NamedTuple):
    """A bind (amounts above 0) or release (below 0) by this planner that the node list does not show yet."""

    at: int
    cores: float
    memory: float


class Attempt:
    """One offer of a task, from its send to its outcome.

    ``node`` is the id of the node. ``group``, ``zone`` and ``node_started_at`` are copied from the node's
    list entry at the time of the send; if the node was not listed they are -1, -1 and 0.
    """

    __slots__ = (
        "task",
        "number",
        "node",
        "group",
        "zone",
        "sent_at",
        "unconfirmed_bind",
        "placed",
        "node_started_at",
        "start_weight",
    )

    def __init__(
        self, task: api.Task, number: int, node: int, entry: api.NodeEntry | None, sent_at: int
    ) -> None:
        """Create attempt ``number`` of the task, sent to ``node``, whose list entry is ``entry``."""
        self.task = task
        self.number = number
        self.node = node
        self.sent_at = sent_at
        self.group = entry.group if entry else -1
        self.zone = entry.zone if entry else -1
        self.node_started_at = entry.started_us if entry else 0
        self.unconfirmed_bind: UnconfirmedChange | None = None
        self.placed = False
        self.start_weight = 1.0  # expected load of the start; 1.0: the node has the program cached

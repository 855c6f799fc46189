"""One offer of a task to a node."""

from __future__ import annotations

from typing import NamedTuple

from .. import interface as api


class UnconfirmedChange(NamedTuple):
    """Own bind (amounts above 0) or release (below 0) that the node list does not show yet."""

    at: int
    cores: float
    memory: float


class Attempt:
    """One offer of a task, from its send to its outcome.

    ``node`` is the id of the node; ``group``, ``zone`` and ``node_started_at`` are the node's as known at
    the send, -1 and 0 where the node was not listed.
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
        """Describe attempt ``number`` of the task, sent to the node with the list entry ``entry``."""
        self.task = task
        self.number = number
        self.node = node
        self.sent_at = sent_at
        self.group = entry.group if entry else -1
        self.zone = entry.zone if entry else -1
        self.node_started_at = entry.started_us if entry else 0
        self.unconfirmed_bind: UnconfirmedChange | None = None
        self.placed = False
        self.start_weight = 1.0  # in starts that need no fetching of the program

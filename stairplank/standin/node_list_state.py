"""The node list as a state machine, with a delay that a fault can increase. No I/O and no clock."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace

from .. import interface as api
from ..planner.events import ListedNode

HISTORY = 512  # revisions kept for returning watchers; one that missed more gets the complete list


@dataclass(frozen=True)
class NodeListModel:
    """Delays of the node list, in microseconds."""

    update_delay_us: int = 300_000  # delay from a node's announcement until the list contains it
    silence_timeout_us: int = 3_000_000  # delay from the end of a node's announcing stream to its removal
    period_us: int = 200_000  # minimum time between two revisions; each has all changes since the last


class NodeListState:
    """The entries of the list, its pending changes, and the changes of each recent revision."""

    def __init__(self, model: NodeListModel, revision: int = 0) -> None:
        self.model = model
        self.extra_delay_us = 0  # additional delay of all changes, set by a fault
        self.revision = revision
        self.nodes: dict[int, ListedNode] = {}
        self.history: deque[tuple[int, tuple[ListedNode, ...]]] = deque(maxlen=HISTORY)
        self._pending: deque[tuple[int, ListedNode]] = deque()
        self._expiring: dict[int, int] = {}
        self._changed: dict[int, ListedNode] = {}
        self._publish_at = 0

    def announced(self, now: int, node: ListedNode) -> None:
        """Record a node's announcement; it enters the list after the update delay."""
        self._expiring.pop(node.id, None)
        self._pending.append((now + self.model.update_delay_us, node))

    def announcement_lost(self, now: int, node: int) -> None:
        """Record the end of a node's announcing stream: the node is removed after the silence timeout."""
        self._expiring[node] = now + self.model.silence_timeout_us

    def advance(self, now: int) -> bool:
        """Apply the changes that are due. Return True if there is a new revision."""
        while self._pending and self._pending[0][0] + self.extra_delay_us <= now:
            self._apply(self._pending.popleft()[1])
        for node, until in list(self._expiring.items()):
            if until + self.extra_delay_us <= now:
                del self._expiring[node]
                if node in self.nodes:
                    self._apply(replace(self.nodes[node], status=api.NodeStatus.GONE))
        if not self._changed or now < self._publish_at:
            return False
        self._publish_at = now + self.model.period_us
        self.revision += 1
        self.history.append((self.revision, tuple(self._changed.values())))
        self._changed.clear()
        return True

    def _apply(self, node: ListedNode) -> None:
        old = self.nodes.get(node.id)
        if old is not None and old.started_unix_us > node.started_unix_us and old.started_unix_us:
            return  # the announcement is of an earlier incarnation and was delayed
        if node.status is api.NodeStatus.GONE:
            if self.nodes.pop(node.id, None) is None:
                return
        else:
            self.nodes[node.id] = node
        self._changed[node.id] = node

    def changes_since(self, revision: int) -> tuple[ListedNode, ...] | None:
        """Return the nodes that changed after a revision, each once.

        Returns None if the history does not reach back that far, so that the complete list is needed.
        """
        if revision <= 0 or revision > self.revision:
            return None
        if revision < self.revision and (not self.history or self.history[0][0] > revision + 1):
            return None
        changed: dict[int, ListedNode] = {}
        for number, nodes in self.history:
            if number > revision:
                changed.update((n.id, n) for n in nodes)
        return tuple(changed.values())

    def all_nodes(self) -> tuple[ListedNode, ...]:
        """Return all entries of the list."""
        return tuple(self.nodes.values())

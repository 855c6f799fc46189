"""The node list as a state machine: late, and made later or silent by script. No I/O and no clock."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace

from .. import interface as api
from ..planner.events import ListedNode

HISTORY = 512  # revisions kept for watchers that come back; who has missed more gets the whole list


@dataclass(frozen=True)
class NodeListModel:
    """Times in microseconds."""

    update_delay_us: int = 300_000  # from a change to the list's knowing
    silence_timeout_us: int = 3_000_000  # until a node that stopped announcing itself counts as gone
    period_us: int = 200_000  # changes are told together, so often


class NodeListState:
    """What the list knows, when, and what each revision changed."""

    def __init__(self, model: NodeListModel, revision: int = 0) -> None:
        self.model = model
        self.extra_delay_us = 0  # fault: so much further behind
        self.revision = revision
        self.nodes: dict[int, ListedNode] = {}
        self.history: deque[tuple[int, tuple[ListedNode, ...]]] = deque(maxlen=HISTORY)
        self._pending: deque[tuple[int, ListedNode]] = deque()
        self._expiring: dict[int, int] = {}
        self._changed: dict[int, ListedNode] = {}
        self._publish_at = 0

    def announced(self, now: int, node: ListedNode) -> None:
        """A node's own announcement; it reaches the list after the update delay."""
        self._expiring.pop(node.id, None)
        self._pending.append((now + self.model.update_delay_us, node))

    def announcement_lost(self, now: int, node: int) -> None:
        """A node's announcing stream has ended: it counts as gone after the silence timeout."""
        self._expiring[node] = now + self.model.silence_timeout_us

    def advance(self, now: int) -> bool:
        """Take in what has come due. True where there is a new revision."""
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
            return  # a word of an earlier life that came late
        if node.status is api.NodeStatus.GONE:
            if self.nodes.pop(node.id, None) is None:
                return
        else:
            self.nodes[node.id] = node
        self._changed[node.id] = node

    def changes_since(self, revision: int) -> tuple[ListedNode, ...] | None:
        """What changed after a revision, each node once; None where the whole list is needed."""
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
        """The complete list."""
        return tuple(self.nodes.values())

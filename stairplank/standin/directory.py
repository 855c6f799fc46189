"""The node list as a state machine: late, and made later or silent by script. No I/O and no clock."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace

from .. import interface as api
from ..planner.events import ListedNode

HISTORY = 512  # revisions kept for watchers that come back; who has missed more gets the whole list


@dataclass(frozen=True)
class DirectoryModel:
    """Times in microseconds."""

    notice_us: int = 300_000  # from a change to the list's knowing
    silent_us: int = 3_000_000  # until a node that stopped announcing itself counts as gone
    period_us: int = 200_000  # changes are told together, so often


class Directory:
    """What the list knows, when, and what each revision changed."""

    def __init__(self, model: DirectoryModel, revision: int = 0) -> None:
        self.model = model
        self.behind_us = 0  # fault: so much further behind
        self.revision = revision
        self.nodes: dict[int, ListedNode] = {}
        self.history: deque[tuple[int, tuple[ListedNode, ...]]] = deque(maxlen=HISTORY)
        self._coming: deque[tuple[int, ListedNode]] = deque()
        self._silent: dict[int, int] = {}
        self._fresh: dict[int, ListedNode] = {}
        self._tell_at = 0

    def announced(self, now: int, node: ListedNode) -> None:
        """A node's own word; it reaches the list after the notice time."""
        self._silent.pop(node.id, None)
        self._coming.append((now + self.model.notice_us, node))

    def fell_silent(self, now: int, node: int) -> None:
        self._silent[node] = now + self.model.silent_us

    def advance(self, now: int) -> bool:
        """Take in what has come due. True where there is a new revision."""
        while self._coming and self._coming[0][0] + self.behind_us <= now:
            self._know(self._coming.popleft()[1])
        for node, until in list(self._silent.items()):
            if until + self.behind_us <= now:
                del self._silent[node]
                if node in self.nodes:
                    self._know(replace(self.nodes[node], status=api.NodeStatus.GONE))
        if not self._fresh or now < self._tell_at:
            return False
        self._tell_at = now + self.model.period_us
        self.revision += 1
        self.history.append((self.revision, tuple(self._fresh.values())))
        self._fresh.clear()
        return True

    def _know(self, node: ListedNode) -> None:
        old = self.nodes.get(node.id)
        if old is not None and old.started_unix_us > node.started_unix_us and old.started_unix_us:
            return  # a word of an earlier life that came late
        if node.status is api.NodeStatus.GONE:
            if self.nodes.pop(node.id, None) is None:
                return
        else:
            self.nodes[node.id] = node
        self._fresh[node.id] = node

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

    def whole(self) -> tuple[ListedNode, ...]:
        return tuple(self.nodes.values())

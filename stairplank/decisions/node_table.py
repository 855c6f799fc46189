"""The table of known nodes, kept up to date from the node list and its changes."""

from __future__ import annotations

from .. import interface as api
from .context import Context
from .list_delay import ListDelay
from .node_state import AMOUNT_TOLERANCE, Node
from .partition import partition_count
from .slow_start import SlowStart

WATCH_RETRY_US = 600_000  # first wait before the list is requested again after a failure; doubles
MAX_WATCH_RETRY_US = 3_000_000
MAX_WATCH_DOUBLINGS = 4


class NodeTable:
    """Holds the listed nodes, and the ready nodes divided into partitions."""

    def __init__(self, context: Context, list_delay: ListDelay, slow_start: SlowStart) -> None:
        """Start with no node listed."""
        self._context = context
        self._list_delay = list_delay
        self._slow_start = slow_start
        self.nodes: dict[int, Node] = {}
        self.ready: list[Node] = []  # nodes listed as ready, in list order
        self._partitions: list[list[Node]] | None = None  # ready nodes by partition; None: outdated
        # Nodes unlisted during slow start, kept until it would end.
        self._unlisted_in_slow_start: dict[int, Node] = {}
        self._watch_failures = 0

    def watch(self) -> None:
        """Subscribe to the node list, if it must be requested in this setup."""
        if self._context.settings.polls_node_list:
            self._context.actions.append(api.WatchNodeList())

    def partitions(self) -> list[list[Node]]:
        """Return the ready nodes by partition.

        Partitions are recomputed when a node is added, removed or drained; each node keeps its state.
        """
        if self._partitions is None:
            self.ready = [n for n in self.nodes.values() if n.entry.status is api.NodeStatus.READY]
            count = partition_count(len(self.ready), self._context.settings.planners)
            self._partitions = [[] for _ in range(count)]
            for node in self.ready:
                self._partitions[node.hash % count].append(node)
        return self._partitions

    def home_partition(self) -> list[Node]:
        """Return the ready nodes of the planner's own partition."""
        partitions = self.partitions()
        return partitions[self._context.settings.position % len(partitions)]

    def node_of(self, attempt_node: int, latest_start: int) -> Node | None:
        """Return the node with this id, or None if it is unlisted or has restarted since ``latest_start``."""
        node = self.nodes.get(attempt_node)
        if node is None or node.entry.started_us > latest_start:
            return None
        return node

    def update(self, event: api.NodeList) -> None:
        """Apply a full node list, a set of changes, or the failure to get one."""
        if event.kind is api.ListKind.FAILED:
            self._schedule_watch_retry()
            return
        if event.kind is not api.ListKind.CACHED:
            self._watch_failures = 0
        if event.kind is not api.ListKind.CHANGES:
            listed = {entry.id for entry in event.nodes}
            for unlisted in [n for n in self.nodes if n not in listed]:
                self._remove(unlisted)
            self._partitions = None
        for entry in event.nodes:
            self._update_entry(entry)
        self._unlisted_in_slow_start = {
            n: node for n, node in self._unlisted_in_slow_start.items() if self._slow_start.started_at(node)
        }

    def _schedule_watch_retry(self) -> None:
        # Without a subscription the planner would miss drains and restarts, so it retries with backoff.
        self._watch_failures += 1
        doublings = min(self._watch_failures - 1, MAX_WATCH_DOUBLINGS)
        wait = min(WATCH_RETRY_US << doublings, MAX_WATCH_RETRY_US)
        self._context.set_timer(self._context.now + wait, self.watch)

    def _update_entry(self, entry: api.NodeEntry) -> None:
        node_types = self._context.settings.node_types
        if entry.status is api.NodeStatus.GONE or not 0 <= entry.node_type < len(node_types):
            self._remove(entry.id)
            return
        node = self.nodes.get(entry.id)
        if node is None or node.entry.status is not entry.status:
            self._partitions = None
        if node is None:
            self._add(entry, node_types[entry.node_type])
            return
        previous = node.entry
        node.entry = entry
        if entry.started_us > previous.started_us:
            node.restart(entry.started_us)
            as_of = max(entry.started_us, self._list_delay.latest_visible_us(self._context.now))
            node.update_free((entry.free_cores, entry.free_memory), as_of)
        elif self._context.settings.lists_free_capacity:
            self._update_free(node, previous, entry)

    def _add(self, entry: api.NodeEntry, node_type: api.NodeType) -> None:
        node = self.nodes[entry.id] = Node(entry, node_type)
        previous = self._unlisted_in_slow_start.pop(entry.id, None)
        if previous is not None:
            node.slow_start_slot = previous.slow_start_slot
            node.slow_start_used = previous.slow_start_used

    def _remove(self, node_id: int) -> None:
        """Remove a node that is no longer listed.

        Its slow-start state is kept, else a node that leaves the list and returns during slow start would
        get a new share of offers each time.
        """
        node = self.nodes.pop(node_id, None)
        if node is not None:
            self._partitions = None
            self._unlisted_in_slow_start[node_id] = node

    def _update_free(self, node: Node, old: api.NodeEntry, new: api.NodeEntry) -> None:
        """Apply the free amounts of a list entry.

        If they change by exactly the sum of the oldest own changes, the entry is as old as the last of
        these; else its age is estimated. A wrong age would count a bind twice or not at all.
        """
        cores = old.free_cores - new.free_cores
        memory = old.free_memory - new.free_memory
        if abs(cores) < AMOUNT_TOLERANCE and abs(memory) < AMOUNT_TOLERANCE:
            return
        now = self._context.now
        as_of = self._list_delay.latest_visible_us(now)
        for change in node.unconfirmed:  # usually empty: a planner has few unconfirmed changes per node
            cores -= change.cores
            memory -= change.memory
            if abs(cores) < AMOUNT_TOLERANCE and abs(memory) < AMOUNT_TOLERANCE:
                as_of = change.at
                self._list_delay.record(now - change.at)
                break
        if as_of >= node.as_of:
            node.update_free((new.free_cores, new.free_memory), as_of)

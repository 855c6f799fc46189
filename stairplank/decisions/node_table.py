"""The nodes that the planner knows, from the node list and its changes."""

from __future__ import annotations

from .. import interface as api
from .context import Context
from .list_delay import ListDelay
from .node_state import AMOUNT_TOLERANCE, Node
from .partition import partition_count
from .slow_start import SlowStart

WATCH_RETRY_US = 600_000  # before the list is asked for again after a failure; doubles
MAX_WATCH_RETRY_US = 3_000_000
MAX_WATCH_DOUBLINGS = 4


class NodeTable:
    """The listed nodes, those of them that are ready, and the partitions that these are cut into."""

    def __init__(self, context: Context, list_delay: ListDelay, slow_start: SlowStart) -> None:
        """Start with no node listed."""
        self._context = context
        self._list_delay = list_delay
        self._slow_start = slow_start
        self.nodes: dict[int, Node] = {}
        self.ready: list[Node] = []  # those listed as ready, in the order of the list
        self._partitions: list[list[Node]] | None = None  # the same, cut up; None: to be cut anew
        self._departed: dict[int, Node] = {}  # off the list in slow start, until they would be warm
        self._watch_failures = 0

    def watch(self) -> None:
        """Ask for the node list where it does not come by itself."""
        if self._context.settings.polls_node_list:
            self._context.actions.append(api.WatchNodeList())

    def partitions(self) -> list[list[Node]]:
        """The ready nodes by partition. Cut anew when a node comes, goes or drains; beliefs stay."""
        if self._partitions is None:
            self.ready = [n for n in self.nodes.values() if n.entry.status is api.NodeStatus.READY]
            count = partition_count(len(self.ready), self._context.settings.planners)
            self._partitions = [[] for _ in range(count)]
            for node in self.ready:
                self._partitions[node.hash % count].append(node)
        return self._partitions

    def home_partition(self) -> list[Node]:
        """The ready nodes of the planner's own partition."""
        partitions = self.partitions()
        return partitions[self._context.settings.position % len(partitions)]

    def node_of(self, attempt_node: int, latest_start: int) -> Node | None:
        """The node with this id, unless it has come up anew since ``latest_start``."""
        node = self.nodes.get(attempt_node)
        if node is None or node.entry.started_us > latest_start:
            return None
        return node

    def update(self, event: api.NodeList) -> None:
        """Take a node list, changes of it, or word that it could not be had."""
        if event.kind is api.ListKind.FAILED:
            self._watch_later()
            return
        if event.kind is not api.ListKind.CACHED:
            self._watch_failures = 0
        if event.kind is not api.ListKind.CHANGES:
            listed = {entry.id for entry in event.nodes}
            for missing in [n for n in self.nodes if n not in listed]:
                self._remove(missing)
            self._partitions = None
        for entry in event.nodes:
            self._update_entry(entry)
        self._departed = {n: node for n, node in self._departed.items() if self._slow_start.started_at(node)}

    def _watch_later(self) -> None:
        # Danger: without a subscription drains and restarts go unheard; keep asking, slower each time.
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
        old = node.entry
        node.entry = entry
        if entry.started_us > old.started_us:
            node.restart(entry.started_us)
            as_of = max(entry.started_us, self._list_delay.latest_visible_us(self._context.now))
            node.update_free((entry.free_cores, entry.free_memory), as_of)
        elif self._context.settings.lists_free_capacity:
            self._update_free(node, old, entry)

    def _add(self, entry: api.NodeEntry, node_type: api.NodeType) -> None:
        node = self.nodes[entry.id] = Node(entry, node_type)
        before = self._departed.pop(entry.id, None)
        if before is not None:
            node.slow_start_slot = before.slow_start_slot
            node.slow_start_used = before.slow_start_used

    def _remove(self, node_id: int) -> None:
        """Drop a node that is not listed any more.

        Danger: one in slow start that leaves the list and comes back would get a slot's turn anew each time.
        """
        node = self.nodes.pop(node_id, None)
        if node is not None:
            self._partitions = None
            self._departed[node_id] = node

    def _update_free(self, node: Node, old: api.NodeEntry, new: api.NodeEntry) -> None:
        """Take the list's figures; own binds found in it date it. Danger: one counted twice or never."""
        cores = old.free_cores - new.free_cores
        memory = old.free_memory - new.free_memory
        if abs(cores) < AMOUNT_TOLERANCE and abs(memory) < AMOUNT_TOLERANCE:
            return
        now = self._context.now
        as_of = self._list_delay.latest_visible_us(now)
        for change in node.unconfirmed:  # mostly none: a planner has few own binds under way at a node
            cores -= change.cores
            memory -= change.memory
            if abs(cores) < AMOUNT_TOLERANCE and abs(memory) < AMOUNT_TOLERANCE:
                as_of = change.at
                self._list_delay.record(now - change.at)
                break
        if as_of >= node.as_of:
            node.update_free((new.free_cores, new.free_memory), as_of)

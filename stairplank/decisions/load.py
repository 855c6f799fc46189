"""Load levels of nodes and partitions. At a level of 1 or more, tasks get worse service."""

from __future__ import annotations

from .. import interface as api
from .context import Context
from .node_state import AMOUNT_TOLERANCE, Amounts, Node
from .retry import PendingTask

EQUAL_SERVICE_LEVEL = 0.8  # below this level, load does not affect service, so levels count as equal
TOLERATED_SERVICE_LOSS = 0.25  # share of its service that a task loses to busy cores at level 1
INITIAL_MEMORY_USE = 0.65  # assumed memory use over request until tasks report; most use far less
MEMORY_PRESSURE_SHARE = 0.9  # share of a node's memory in use above which it soon evicts tasks
PENDING_START_LEVEL = 0.006  # level added per start waiting at a node, so that starts spread out
REPORT_AGE_US = 700_000  # assumed age of a load report on arrival: half a refresh interval plus the transfer
MEAN_USE_WEIGHT = 0.02  # weight of one report in the running means over all nodes


class LoadModel:
    """Computes the load level of nodes and partitions from requested amounts and reported use."""

    def __init__(self, context: Context) -> None:
        """Start with the initial memory use; the use of cores is unknown until a report arrives."""
        self._context = context
        self._memory_use = INITIAL_MEMORY_USE
        self._cores_use: float | None = None  # mean of cores in use over requested, all nodes

    def level(self, task_class: api.TaskClass, node: Node, requested: Amounts) -> float:
        """Return the load level that tasks of this class see on a node with these amounts requested."""
        cores, memory = requested
        use = node.use
        if use is None:
            use = self._cores_use if self._cores_use is not None else 1.0
        tolerated = TOLERATED_SERVICE_LOSS * task_class.service_loss_range
        busy = cores / node.cores * use / (task_class.full_service_utilization + tolerated)
        return max(busy, memory / node.memory * self._memory_use / MEMORY_PRESSURE_SHARE)

    def level_with(self, pending: PendingTask, node: Node) -> float:
        """Return a node's level with the task placed on it, plus a share for own starts that wait there.

        Levels too low to affect service are returned as the same value.
        """
        cores, memory = node.requested()
        task = pending.task
        level = self.level(pending.task_class, node, (cores + task.cores, memory + task.memory))
        return max(EQUAL_SERVICE_LEVEL, level + PENDING_START_LEVEL * node.pending_starts())

    def partition_level(self, task_class: api.TaskClass, nodes: list[Node], with_releases: bool) -> float:
        """Return the mean level of a partition's nodes, weighted by their cores.

        Levels too low to affect service are returned as the same value.
        """
        level = self.level
        size = sum(n.cores for n in nodes)
        weighted = sum(level(task_class, n, n.requested(with_releases)) * n.cores for n in nodes)
        return max(EQUAL_SERVICE_LEVEL, weighted / size)

    def record_report(self, node: Node | None, report: tuple[float, ...]) -> None:
        """Apply a node's load report, which is newer than the node list, above all when the list is stale."""
        values = dict(zip(self._context.settings.report_fields, report, strict=False))
        if node is None or "free_cores" not in values or "free_memory" not in values:
            return
        as_of = self._context.now - REPORT_AGE_US
        if as_of <= node.as_of:
            return
        node.update_free((values["free_cores"], values["free_memory"]), as_of)
        use = node.update_use(values["util"]) if "util" in values else None
        if use is not None:
            mean = self._cores_use
            self._cores_use = use if mean is None else mean + MEAN_USE_WEIGHT * (use - mean)

    def record_memory_used(self, task: api.Task, used: float) -> None:
        """Add the memory use that a task reported to the running mean of use over request."""
        share = used / max(task.memory, AMOUNT_TOLERANCE)
        self._memory_use += MEAN_USE_WEIGHT * (share - self._memory_use)

"""How loaded a node or a partition is, as a level: from 1 on its tasks are served worse."""

from __future__ import annotations

from .. import interface as api
from .context import Context
from .node_state import AMOUNT_TOLERANCE, Amounts, Node
from .retry import PendingTask

EQUAL_SERVICE_LEVEL = 0.8  # below it fuller nodes serve as well as emptier ones
TOLERATED_SERVICE_LOSS = 0.25  # share of its service that a task may lose to busy cores at level 1
INITIAL_MEMORY_USE = 0.65  # share of the asked memory in use until tasks report: most use far less
MEMORY_PRESSURE_SHARE = 0.9  # share of a node's memory in use from which it soon evicts
PENDING_START_LEVEL = 0.006  # level that one start waiting at a node counts as, so that starts spread in time
REPORT_AGE_US = 700_000  # age of a load report on arrival: half a refresh and the transfer
MEAN_USE_WEIGHT = 0.02  # of one report in the running means over all nodes


class LoadModel:
    """Levels of nodes and partitions, from what is asked for and what of it is in use."""

    def __init__(self, context: Context) -> None:
        """Start with the usual use of memory and no knowledge of the use of cores."""
        self._context = context
        self._memory_use = INITIAL_MEMORY_USE
        self._cores_use: float | None = None  # running mean of use over asked, over all nodes

    def level(self, task_class: api.TaskClass, node: Node, asked: Amounts) -> float:
        """How full a node with so much asked for is, as tasks of this class feel it."""
        cores, memory = asked
        use = node.use
        if use is None:
            use = self._cores_use if self._cores_use is not None else 1.0
        tolerated = TOLERATED_SERVICE_LOSS * task_class.service_loss_range
        busy = cores / node.cores * use / (task_class.full_service_utilization + tolerated)
        return max(busy, memory / node.memory * self._memory_use / MEMORY_PRESSURE_SHARE)

    def level_with(self, pending: PendingTask, node: Node) -> float:
        """A node's level with the task on it and the own starts that wait there.

        Levels at which all nodes serve alike count as equal.
        """
        cores, memory = node.asked()
        task = pending.task
        level = self.level(pending.task_class, node, (cores + task.cores, memory + task.memory))
        return max(EQUAL_SERVICE_LEVEL, level + PENDING_START_LEVEL * node.pending_starts())

    def partition_level(self, task_class: api.TaskClass, nodes: list[Node], with_releases: bool) -> float:
        """Mean level of a partition's nodes, weighted by size; levels that serve alike count as equal."""
        level = self.level
        size = sum(n.cores for n in nodes)
        weighted = sum(level(task_class, n, n.asked(with_releases)) * n.cores for n in nodes)
        return max(EQUAL_SERVICE_LEVEL, weighted / size)

    def record_report(self, node: Node | None, report: tuple[float, ...]) -> None:
        """Take a node's load report: a later view than the list's, above all when the list is stale."""
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
        """Take how much memory a task reports to use."""
        share = used / max(task.memory, AMOUNT_TOLERANCE)
        self._memory_use += MEAN_USE_WEIGHT * (share - self._memory_use)

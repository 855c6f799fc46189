"""Selects the node for a task: the threshold rule picks a partition, then a hash of the service a node.

Usual call order: ``select`` -> ``_stays_home`` -> ``_fits`` -> ``_draw``.
"""

from __future__ import annotations

from .. import interface as api
from .context import Context
from .hashing import splitmix64
from .load import LoadModel
from .node_state import AMOUNT_TOLERANCE, Node
from .node_table import NodeTable
from .retry import PendingTask
from .slow_start import SlowStart
from .spread import SpreadCounts
from .threshold import keeps_home

PROGRAM_FETCH_LEVEL = 0.2  # extra load level accepted on a node or partition that has the program cached
CANDIDATES = 3  # nodes compared in a partition; with two, load balance depends too much on chance
FALLBACK_SAMPLE = 16  # random nodes tried if neither partition has capacity; usually enough to find some
LATE_TASK_RESERVE = 0.3  # share of a node closed to tasks that can no longer start in time


class NodeSelector:
    """Selects a node for a task. It changes no node state other than slow-start slots."""

    def __init__(
        self,
        context: Context,
        table: NodeTable,
        load: LoadModel,
        slow_start: SlowStart,
        spread: SpreadCounts,
    ) -> None:
        """Select among the nodes of ``table``, using the other modules as filters and for load levels."""
        self._context = context
        self._table = table
        self._load = load
        self._slow_start = slow_start
        self._spread = spread

    def select(self, pending: PendingTask) -> Node | None:
        """Return a node for the task, or None if none fits.

        The threshold rule picks the home partition or a second one; if no node fits there, the other of
        the two is tried, then a random sample of all nodes.
        """
        partitions = self._table.partitions()
        count = len(partitions)
        home = self._context.settings.position % count
        service_partition = splitmix64(pending.task.service) % count  # its nodes likely cache the program
        other = service_partition
        if other == home and count > 1:
            other = (home + 1 + self._context.rng.randrange(count - 1)) % count
        stays = self._stays_home(
            pending.task_class, partitions[home], partitions[other], warm_at_home=service_partition == home
        )
        fits = self._fits
        for number in (home, other) if stays else (other, home):
            node = self._draw(pending, [n for n in partitions[number] if fits(pending, n)])
            if node is not None:
                return node
        ready = self._table.ready
        sample = self._context.rng.sample(ready, min(FALLBACK_SAMPLE, len(ready)))
        return self._draw(pending, [n for n in sample if fits(pending, n)])

    def _stays_home(
        self, task_class: api.TaskClass, home: list[Node], other: list[Node], *, warm_at_home: bool
    ) -> bool:
        """Return whether the threshold rule keeps the task in the home partition."""
        if other is home:
            return True
        if not home or not other:  # a partition without nodes counts as full
            return bool(home)
        step = self._context.settings.mean_cores / sum(n.cores for n in home)
        fetch = int(PROGRAM_FETCH_LEVEL / step)
        exact = self._load.partition_level(task_class, home, with_releases=True) / step
        upper = self._load.partition_level(task_class, home, with_releases=False) / step
        believed = self._load.partition_level(task_class, other, with_releases=False) / step
        if warm_at_home:
            believed += fetch
        else:
            exact += fetch
            upper += fetch
        return keeps_home(round(exact), round(exact) >= round(upper), round(believed))

    def _fits(self, pending: PendingTask, node: Node) -> bool:
        """Return whether the node may get the task: type, drain, health, capacity, slow start and spread."""
        entry = node.entry
        health = node.health
        if entry.status is not api.NodeStatus.READY or node.is_draining or health.unresponsive:
            return False
        now = self._context.now
        if health.is_ejected(now):
            return False
        task = pending.task
        if health.class_rejections and health.rejects(task.class_index, task.tenant, now):
            return False
        task_class = pending.task_class
        if task_class.node_type is not None and entry.node_type != task_class.node_type:
            return False
        if entry.id in pending.tried_nodes or entry.id in task.excluded_nodes:
            return False
        return (
            pending.may_retry_at(entry)
            and self._has_capacity(pending, node)
            and self._slow_start.allows(node)
            and self._spread.allows(task, task_class, entry)
        )

    def _has_capacity(self, pending: PendingTask, node: Node) -> bool:
        """Return whether the node is expected to have capacity for the task.

        All planners compete for released capacity, so a node's recent rejection overrides the estimate.
        """
        task = pending.task
        task_class = pending.task_class
        now = self._context.now
        if node.rejected_amounts and node.rejects_amounts(task, now):
            return False
        in_time_until = task.expires_us - task_class.deadline_us + task_class.latency_objective_us
        late = task.resubmitted or now > in_time_until
        # Without the reserve, late tasks would take capacity from tasks that can still start in time.
        reserve = LATE_TASK_RESERVE if late else 0.0
        cores, memory = node.requested()
        settings = self._context.settings
        if cores + task.cores > (settings.cores_limit - reserve) * node.cores + AMOUNT_TOLERANCE:
            return False
        return memory + task.memory <= (settings.memory_limit - reserve) * node.memory + AMOUNT_TOLERANCE

    def _draw(self, pending: PendingTask, fitting: list[Node]) -> Node | None:
        """Return the least loaded of a few candidates, or None if no node fits.

        Candidates are ranked by a hash of service and node that is the same in every planner. One planner
        sees too few tasks of a service to know which nodes have its program cached; with random candidates
        nearly every start would be a cold start.
        """
        if not fitting:
            return None
        level_with = self._load.level_with
        levels = {n.entry.id: level_with(pending, n) for n in fitting}
        in_use = [n for n in fitting if n.is_in_use()]
        if in_use and self._context.settings.price_fleet and min(levels[n.entry.id] for n in in_use) <= 1:
            fitting = in_use  # every node in use has a price, so idle nodes stay unused
        lowest = min(levels[n.entry.id] for n in fitting)
        similar = [n for n in fitting if levels[n.entry.id] <= lowest + PROGRAM_FETCH_LEVEL]
        service = pending.task.service
        pool = [n for n in similar if n.is_warm_for(service)] or similar
        candidates = sorted(pool, key=lambda n: splitmix64(service ^ n.hash))[:CANDIDATES]
        ranked = [(levels[n.entry.id] + PROGRAM_FETCH_LEVEL * i, i, n) for i, n in enumerate(candidates)]
        return min(ranked)[2]

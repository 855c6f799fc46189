"""Updates a node's health and load from attempt outcomes and status updates.

Errors, missing answers and lost tasks eject a node, whatever their cause.
"""

from __future__ import annotations

from .. import interface as api
from .attempts import Attempt
from .context import Context
from .health_checks import HealthChecks
from .load import MEMORY_PRESSURE_SHARE, LoadModel
from .node_state import Node
from .retry import PendingTask

QUEUE_FULL_EJECTION_US = 150_000  # after a "queue full" rejection: about the time to work off a queue
MEMORY_PRESSURE_EJECTION_US = 1_200_000  # ejection of a node that reports memory pressure
# Results that only a node that responds can cause.
ANSWERS = frozenset({api.Result.FINISHED, api.Result.ERROR, api.Result.REJECTED})


class OutcomeRecorder:
    """Applies attempt outcomes and status updates to the state of the nodes."""

    def __init__(self, context: Context, health_checks: HealthChecks, load: LoadModel) -> None:
        """Report unresponsive nodes to ``health_checks`` and memory use to ``load``."""
        self._context = context
        self._health_checks = health_checks
        self._load = load

    def record_outcome(
        self, node: Node, attempt: Attempt, pending: PendingTask | None, event: api.Outcome
    ) -> None:
        """Apply an attempt's outcome to ``node``; ``pending`` is None if the task is already answered."""
        node.remove(attempt, attempt.placed)
        node.release(attempt, event.result in api.PROVES_NOT_RUN, self._context.now)
        if event.result is api.Result.REJECTED:
            self._record_rejection(node, attempt.task, event.reason)
        elif event.result is api.Result.ERROR:
            self._record_error(node, event.task, pending)
        elif event.result in (api.Result.UNREACHABLE, api.Result.TIMEOUT):
            self._health_checks.record_unresponsive(node)
        elif event.result is api.Result.LOST:
            self._record_lost(node, event.reason)
        if event.result in ANSWERS:
            node.health.record_answer(self._context.now)

    def record_status(self, node: Node | None, attempt: Attempt | None, event: api.StatusUpdate) -> None:
        """Apply a status update; ``node`` and ``attempt`` are None if they are no longer known."""
        short_of_memory = (
            event.kind is api.StatusKind.NODE_MEMORY_SHARE and event.level > MEMORY_PRESSURE_SHARE
        )
        if node is not None and short_of_memory:
            # A node under memory pressure may soon evict tasks.
            node.health.eject_until(self._context.now + MEMORY_PRESSURE_EJECTION_US)
        if attempt is not None and event.kind is api.StatusKind.MEMORY_USED:
            self._load.record_memory_used(attempt.task, event.level)
        if node is not None and event.kind is api.StatusKind.RUNNING:
            node.health.record_success()  # acceptance does not count: the start may still fail

    def _record_rejection(self, node: Node, task: api.Task, reason: api.Reason) -> None:
        now = self._context.now
        if reason is api.Reason.QUEUE_FULL:
            node.health.eject_until(now + QUEUE_FULL_EJECTION_US)
        elif reason in (api.Reason.NO_CORES, api.Reason.NO_MEMORY):
            node.record_no_capacity(task, now)
        elif reason is api.Reason.UNTOLD:
            node.health.record_rejection(task, now)

    def _record_lost(self, node: Node, reason: api.Reason) -> None:
        if reason is api.Reason.SENT_AWAY:
            node.is_draining = True
        elif reason is api.Reason.UNTOLD:
            self._health_checks.record_unresponsive(node)

    def _record_error(self, node: Node, task_id: int, pending: PendingTask | None) -> None:
        """Eject the node, unless the task has already ended in an error at another node.

        A task that no node can start would otherwise eject every node it is tried on. A second error at
        another node is attributed to the task, and the first node's error is withdrawn.
        """
        if pending is not None and pending.error_node is not None and pending.error_node is not node:
            pending.error_node.health.withdraw_error(task_id)
            return
        node.health.record_error(task_id, self._context.now)
        if pending is not None:
            pending.error_node = node

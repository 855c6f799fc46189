"""What the end of an attempt, or a status update, says about the node it was sent to.

Health by symptom: errors, silence and lost tasks eject a node, whatever lies behind them.
"""

from __future__ import annotations

from .. import interface as api
from .attempts import Attempt
from .context import Context
from .health_checks import HealthChecks
from .load import MEMORY_PRESSURE_SHARE, LoadModel
from .node_state import Node
from .retry import PendingTask

QUEUE_FULL_EJECTION_US = 150_000  # after "too many offers wait": about one queue of starts
MEMORY_PRESSURE_EJECTION_US = 1_200_000  # of a node whose memory runs short
ANSWERS = frozenset({api.Result.FINISHED, api.Result.ERROR, api.Result.REJECTED})  # that a node gave


class OutcomeRecorder:
    """Notes at the nodes what outcomes and status updates say of them."""

    def __init__(self, context: Context, health_checks: HealthChecks, load: LoadModel) -> None:
        """Have unresponsive nodes checked by ``health_checks``; figures of use go to ``load``."""
        self._context = context
        self._health_checks = health_checks
        self._load = load

    def record_outcome(
        self, node: Node, attempt: Attempt, pending: PendingTask | None, event: api.Outcome
    ) -> None:
        """Take the outcome of an attempt at ``node``; ``pending`` is its task, if that is owed an answer."""
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
        """Take a status update; ``node`` and ``attempt`` are None where they are not known any more."""
        short_of_memory = (
            event.kind is api.StatusKind.NODE_MEMORY_SHARE and event.level > MEMORY_PRESSURE_SHARE
        )
        if node is not None and short_of_memory:
            node.health.eject_until(self._context.now + MEMORY_PRESSURE_EJECTION_US)  # next it would evict
        if attempt is not None and event.kind is api.StatusKind.MEMORY_USED:
            self._load.record_memory_used(attempt.task, event.level)
        if node is not None and event.kind is api.StatusKind.RUNNING:
            node.health.record_success()  # an acceptance alone proves nothing: the start may still fail

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
            node.drains = True
        elif reason is api.Reason.UNTOLD:
            self._health_checks.record_unresponsive(node)

    def _record_error(self, node: Node, task_id: int, pending: PendingTask | None) -> None:
        """Eject the node, unless the task has ended in an error elsewhere.

        Danger: a task that no node can start would eject every node it is tried on. Its second error, at
        another node, is taken for its own fault, and absolves the first node.
        """
        if pending is not None and pending.error_node is not None and pending.error_node is not node:
            pending.error_node.health.absolve(task_id)
            return
        node.health.record_error(task_id, self._context.now)
        if pending is not None:
            pending.error_node = node

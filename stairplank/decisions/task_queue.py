"""The queue of tasks that fit on no node; they are retried until shortly before their deadline."""

from __future__ import annotations

from collections.abc import Callable

from .context import Context
from .retry import PendingTask

QUEUE_RETRY_US = 40_000  # retry interval of queued tasks: far below any latency objective, low CPU cost
MAX_RETRY_MISSES = 6  # failed placements that end a round: on a full cluster the rest would fail too


class TaskQueue:
    """Holds the queued tasks and the timer of the next retry round. A task is queued at most once."""

    def __init__(self, context: Context, try_place: Callable[[PendingTask], None]) -> None:
        """Retry tasks with ``try_place``, which queues a task again if it still fits on no node."""
        self._context = context
        self._try_place = try_place
        self._queued: dict[int, PendingTask] = {}
        self._retry_is_due = False

    def add(self, pending: PendingTask) -> None:
        """Queue a task."""
        self._queued[pending.task.id] = pending
        if not self._retry_is_due:
            self._retry_is_due = True
            self._context.set_timer(self._context.now + QUEUE_RETRY_US, self._retry_queued)

    def remove(self, task_id: int) -> None:
        """Remove a task if it is queued."""
        self._queued.pop(task_id, None)

    def _retry_queued(self) -> None:
        """Retry queued tasks, highest priority weight first, until too many have failed to fit."""
        self._retry_is_due = False
        waiting = list(self._queued.values())
        # Without shuffling, the same few tasks that never fit could end every round.
        self._context.rng.shuffle(waiting)
        self._queued.clear()
        misses = 0
        for pending in sorted(waiting, key=lambda p: -p.task_class.priority_weight):
            if misses < MAX_RETRY_MISSES and self._context.now >= pending.backoff_until:
                self._try_place(pending)
                misses += pending.task.id in self._queued
            else:
                self.add(pending)

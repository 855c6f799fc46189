"""Tasks that fit nowhere: they are queued and tried again until shortly before their deadline."""

from __future__ import annotations

from collections.abc import Callable

from .context import Context
from .retry import PendingTask

QUEUE_RETRY_US = 40_000  # a queued task is tried again so often: far under any objective, cheap in CPU
MAX_RETRY_MISSES = 6  # queued tasks that find no room before a round ends: in a jam the rest would not fit


class TaskQueue:
    """The queued tasks and the timer of their next round. A task is queued at most once."""

    def __init__(self, context: Context, try_place: Callable[[PendingTask], None]) -> None:
        """Have tasks placed by ``try_place``, which queues those that still fit nowhere."""
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
        """Drop a task, if it is queued."""
        self._queued.pop(task_id, None)

    def _retry_queued(self) -> None:
        """One round: tasks of more weight first, until some have found no room."""
        self._retry_is_due = False
        waiting = list(self._queued.values())
        self._context.rng.shuffle(waiting)  # else the same few that never fit would end each round
        self._queued.clear()
        misses = 0
        for pending in sorted(waiting, key=lambda p: -p.task_class.priority_weight):
            if misses < MAX_RETRY_MISSES and self._context.now >= pending.backoff_until:
                self._try_place(pending)
                misses += pending.task.id in self._queued
            else:
                self.add(pending)

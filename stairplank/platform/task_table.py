"""The open and running tasks, within bounds, and the ids that must not be placed again. No I/O or clock.

Invariants (tests/platform/test_platform_core.py):

1. ``by_id`` and ``by_number`` hold the open and the running tasks; a task that has ended is in neither.
2. Bounds: ``validation.BOUNDS`` limits all tasks and the open tasks of one client, ``MAX_OPEN_BYTES`` the
   descriptions of open tasks (running tasks keep no description).
3. The id of a task that was withdrawn while one of its attempts may have run, and that must not run twice, is
   kept in ``unproven`` for ``UNPROVEN_US``; at most ``MAX_UNPROVEN`` ids are kept.
"""

from __future__ import annotations

from ..planner import admission
from ..planner.event_loop import EventLoop
from . import validation
from .tables import Task, TaskState

MAX_OPEN_BYTES = 4_194_304  # total length of the descriptions of open tasks
# Limits on the ids that are kept of withdrawn tasks that may have run.
MAX_UNPROVEN, UNPROVEN_US = 8192, 60_000_000


class TaskTable:
    """The tasks of this planner process, from their acceptance or adoption to their end."""

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.by_id: dict[str, Task] = {}
        self.by_number: dict[int, Task] = {}  # key: the number by which the decision module knows the task
        self.unproven: dict[str, int] = {}  # task id: when it expires; in order of expiry
        self.open_count = 0
        self.open_by_client: dict[str, int] = {}
        self.open_bytes = 0

    def add(self, task: Task) -> None:
        """Add a task that was accepted or adopted."""
        self.by_id[task.id] = self.by_number[task.number] = task

    def remove(self, task: Task) -> None:
        """Remove a task that has ended."""
        del self.by_id[task.id]
        del self.by_number[task.number]

    def open_tasks(self) -> list[Task]:
        """Return the tasks whose clients wait for an answer."""
        return [task for task in self.by_id.values() if task.state is TaskState.OPEN]

    def count_open(self, task: Task) -> None:
        """Count a task whose client waits for an answer from now on."""
        self.open_count += 1
        self.open_bytes += len(task.body)
        self.open_by_client[task.client] = self.open_by_client.get(task.client, 0) + 1

    def count_answered(self, task: Task) -> None:
        """Stop counting a task as open and drop its description, which no machine needs any more."""
        self.open_count -= 1
        self.open_bytes -= len(task.body)
        task.body = ""
        left = self.open_by_client.get(task.client, 0) - 1
        if left > 0:
            self.open_by_client[task.client] = left
        else:
            self.open_by_client.pop(task.client, None)

    def has_capacity(self, client: str, size: int) -> bool:
        """Return whether a client may have one more open task, with a description of ``size`` characters."""
        client_open_count = self.open_by_client.get(client, 0)
        error = admission.capacity_error(
            self.open_count, client_open_count, len(self.by_id), validation.BOUNDS
        )
        return error is None and self.open_bytes + size <= MAX_OPEN_BYTES

    def is_full(self) -> bool:
        """Return whether no further task may be adopted."""
        return len(self.by_id) >= validation.BOUNDS.attempts

    def remember_unproven(self, id: str) -> None:
        """Keep the id of a withdrawn task that may have run, so that it is not placed again for a while."""
        self.unproven[id] = self.loop.now + UNPROVEN_US
        if len(self.unproven) > MAX_UNPROVEN:
            del self.unproven[next(iter(self.unproven))]

    def forget_unproven(self) -> None:
        """Drop the ids that have expired."""
        while self.unproven:
            first = next(iter(self.unproven))
            if self.unproven[first] > self.loop.now:
                return
            del self.unproven[first]

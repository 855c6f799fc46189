"""The tasks that are open or stand, within bounds, and the ids that may not be placed again. No I/O or clock.

Invariants (tests/platform/test_platform_core.py):

1. ``by_id`` and ``by_number`` have the open and the running tasks; what is over is in neither.
2. Bounds: tasks and those of one client by ``validation.BOUNDS``, the descriptions of open ones by
   ``MAX_OPEN_BYTES`` (those that stand keep none).
3. An id that was withdrawn while an attempt of it may have run, and that may not be repeated, is remembered
   (``unproven``, for ``UNPROVEN_US``, at most ``MAX_UNPROVEN``).
"""

from __future__ import annotations

from ..planner import admission
from ..planner.event_loop import EventLoop
from . import validation
from .tables import Task, TaskState

MAX_OPEN_BYTES = 4_194_304  # of the descriptions of open tasks
MAX_UNPROVEN, UNPROVEN_US = 8192, 60_000_000  # ids kept of tasks that were withdrawn and may have run


class TaskTable:
    """All tasks of a life, until they are over."""

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.by_id: dict[str, Task] = {}
        self.by_number: dict[int, Task] = {}  # by the decision module's number
        self.unproven: dict[str, int] = {}  # id: when it is forgotten, in that order
        self.open_count = 0
        self.open_by_client: dict[str, int] = {}
        self.open_bytes = 0

    def add(self, task: Task) -> None:
        """A task was accepted or adopted."""
        self.by_id[task.id] = self.by_number[task.number] = task

    def remove(self, task: Task) -> None:
        """A task is over."""
        del self.by_id[task.id]
        del self.by_number[task.number]

    def open_tasks(self) -> list[Task]:
        """The tasks whose clients wait for an answer."""
        return [task for task in self.by_id.values() if task.state is TaskState.OPEN]

    def count_open(self, task: Task) -> None:
        """Its client waits for an answer from now on."""
        self.open_count += 1
        self.open_bytes += len(task.body)
        self.open_by_client[task.client] = self.open_by_client.get(task.client, 0) + 1

    def count_answered(self, task: Task) -> None:
        """Its client waits no more; no machine needs its description."""
        self.open_count -= 1
        self.open_bytes -= len(task.body)
        task.body = ""
        left = self.open_by_client.get(task.client, 0) - 1
        if left > 0:
            self.open_by_client[task.client] = left
        else:
            self.open_by_client.pop(task.client, None)

    def has_capacity(self, client: str, size: int) -> bool:
        """Whether one more task of that client may be open, with a description of that size."""
        open_here = self.open_by_client.get(client, 0)
        full = admission.capacity_error(self.open_count, open_here, len(self.by_id), validation.BOUNDS)
        return full is None and self.open_bytes + size <= MAX_OPEN_BYTES

    def is_full(self) -> bool:
        """Whether no further task may be adopted."""
        return len(self.by_id) >= validation.BOUNDS.attempts

    def remember_unproven(self, id: str) -> None:
        """That task was withdrawn and may have run: its id is not to be placed again for a while."""
        self.unproven[id] = self.loop.now + UNPROVEN_US
        if len(self.unproven) > MAX_UNPROVEN:
            del self.unproven[next(iter(self.unproven))]

    def forget_unproven(self) -> None:
        """Drop the ids whose time is over."""
        while self.unproven:
            first = next(iter(self.unproven))
            if self.unproven[first] > self.loop.now:
                return
            del self.unproven[first]

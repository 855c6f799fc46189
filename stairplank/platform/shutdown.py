"""Decides, after SIGTERM, how long requests are accepted and when open tasks are answered.

No I/O or clock.
"""

from __future__ import annotations

from typing import Protocol

from .. import interface as api
from ..planner import admission
from ..planner.event_loop import EventLoop
from . import events as ev
from .tables import AttemptState, Task
from .task_table import TaskTable

ACCEPTING_US = 700_000  # placement requests are accepted for this long after SIGTERM
# SIGKILL comes no sooner than ACCEPTING_US plus the longest deadline, which counts as at most this long.
MAX_DEADLINE_US = 3_000_000
# Times before SIGKILL: at the first, all open tasks are answered; at the second, the wait of any task ends.
ANSWER_ALL_US, ANSWER_LAST_US = 600_000, 100_000


class ClientRequests(Protocol):
    """The operations on clients' requests that the shutdown uses."""

    def shed(self, action: api.Shed) -> None: ...
    def fail(self, action: api.Fail) -> None: ...


class Shutdown:
    """The graceful shutdown of a planner, from SIGTERM on."""

    def __init__(self, loop: EventLoop, settings: api.Settings, tasks: TaskTable) -> None:
        self.loop = loop
        self.settings = settings
        self.tasks = tasks
        self.requests: ClientRequests
        self.requested_at = 0  # time of SIGTERM; 0: none yet
        self.killed_at = 0  # earliest time of SIGKILL

    def begin(self, event: ev.ShutdownRequested) -> None:
        """Begin the shutdown and schedule the answers to all open tasks before the process is killed.

        SIGKILL comes 0.7 s plus the longest deadline (3 s at most) after SIGTERM, and a task that is not
        answered by then is lost.
        """
        if self.requested_at:
            return
        self.requested_at = event.at or self.loop.now
        longest = max((c.deadline_us for c in self.settings.classes), default=0)
        self.killed_at = self.requested_at + min(longest, MAX_DEADLINE_US) + ACCEPTING_US
        self.loop.call_at(self.killed_at - ANSWER_ALL_US, self._answer_all)

    def rejects_requests(self) -> bool:
        """Return whether new placement requests are rejected."""
        return bool(self.requested_at) and self.loop.now > self.requested_at + ACCEPTING_US

    def is_done(self) -> bool:
        """Return whether all tasks are answered and no further request is accepted."""
        return self.rejects_requests() and not self.tasks.open_count

    def shortened(self, wait_us: int) -> int:
        """Return a task's wait, limited so that the task is answered before the process is killed."""
        if not self.requested_at:
            return wait_us
        return min(wait_us, self.killed_at - ANSWER_LAST_US - self.loop.now)

    def _answer_all(self, _: None) -> None:
        """Answer all open tasks: shed a task that its client may safely retry, fail any other."""
        for task in self.tasks.open_tasks():
            self.loop.notify_module(api.TaskCancelled(task.number))
            if self._may_be_retried(task):
                self.requests.shed(api.Shed(task.number, admission.DRAINING_RETRY_US))
            else:
                self.requests.fail(api.Fail(task.number))

    def _may_be_retried(self, task: Task) -> bool:
        is_sent = task.attempt is not None and task.attempt.state is AttemptState.SENT
        effect = self.settings.classes[task.request.class_index].effect
        return effect is api.Effect.IDEMPOTENT or (task.is_proven_not_run and not is_sent)

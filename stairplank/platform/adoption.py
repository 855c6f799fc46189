"""Adoption of running tasks after a restart of the planner. No I/O or clock.

After a restart, clients report their running tasks, the node list reports the machines, and the machines
report tasks that ended while no planner was connected. These messages arrive in any order.

Invariants (tests/platform/test_platform_adoption.py):

1. A task at an unlisted machine waits until the node list is confirmed as complete, at most
   ``LISTING_WAIT_US``, the longest delay of the list. If the machine is still unlisted then, the task is
   ended and its client is notified.
2. A task whose end its machine has already reported is ended when it is adopted (``ENDED_US``,
   ``MAX_ENDED``).
3. If a client ends its task while the task waits here, the task is ended at its machine as soon as the
   machine is listed.

Tables: ``waiting`` by the machine's name and the task's id, bounded by ``MAX_WAITING`` because a task that
its client has ended no longer counts towards the client's own bound; ``ended`` by machine and task id.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from .. import interface as api
from ..planner.event_loop import EventLoop
from .messages import Cause, Message
from .tables import Task, TaskState

CONFIRMATION_GRACE_US = (
    50_000  # a confirmation of the list this soon after an adoption may have been sent before it
)
# A list update arrives within 4 s after the connection to the node list service broke or stopped responding,
# and a client must learn of the end of its task within 8 s. If the client were notified without this wait, it
# would start a second copy of a task that still runs.
LISTING_WAIT_US = 4_500_000
ENDED_US, MAX_ENDED = 10_000_000, 1024
MAX_WAITING = 4096  # a task beyond this number is ended at once


class Attempts(Protocol):
    """The methods of the attempts at machines that adoption uses."""

    def adopt(self, task: Task, machine: int) -> None: ...


class ClientRequests(Protocol):
    """The methods of the clients' requests that adoption uses."""

    def ended(self, task: Task, cause: int | None) -> None: ...


class ReleaseOrders(Protocol):
    """The method of the releases to machines that adoption uses."""

    def order(self, machine: int, task_id: str, cause: Cause) -> None: ...


@dataclass(frozen=True, slots=True)
class WaitingTask:
    """A task whose machine is not on the node list yet, and the time at which its client reported it."""

    since: int
    task: Task


@dataclass(frozen=True, slots=True)
class ReportedEnd:
    """The end of a task that was unknown to this planner when its machine reported the end."""

    at: int
    cause: int


class Adoption:
    """Running tasks that are being taken over, until both their clients and their machines are known."""

    def __init__(
        self, loop: EventLoop, attempts: Attempts, requests: ClientRequests, releases: ReleaseOrders
    ) -> None:
        self.loop = loop
        self.attempts = attempts
        self.requests = requests
        self.releases = releases
        self.find_machine: Callable[[str], int | None]
        self.waiting: dict[str, dict[str, WaitingTask]] = {}
        self.waiting_count = 0  # number of tasks in ``waiting``
        self.ended: dict[tuple[int, str], ReportedEnd] = {}

    def take(self, task: Task) -> None:
        """Adopt a client's running task, or keep it until the machine that it names is listed."""
        machine = self.find_machine(task.request.at)
        if machine is not None:
            self._adopt(task, machine)
            return
        self.loop.count("adopted_unlisted")
        # Without this bound, a client that hands over tasks and ends them again could fill the memory.
        if self.waiting_count >= MAX_WAITING:
            self.requests.ended(task, int(Cause.RESET))
            return
        waiting_at_machine = self.waiting.setdefault(task.request.at, {})
        self.waiting_count += task.id not in waiting_at_machine
        waiting_at_machine[task.id] = WaitingTask(self.loop.now, task)
        self.loop.call_at(self.loop.now + LISTING_WAIT_US, self._not_listed, task)

    def machine_listed(self, name: str, machine: int) -> None:
        """Adopt the tasks that waited for this machine, which is listed now; end cancelled tasks."""
        waiting_at_machine = self.waiting.pop(name, {})
        self.waiting_count -= len(waiting_at_machine)
        for task in (waiting.task for waiting in waiting_at_machine.values()):
            if task.state is TaskState.RUNNING:
                self._adopt(task, machine)
            else:
                self.releases.order(machine, task.id, Cause.CANCELLED)

    def list_confirmed(self) -> None:
        """End waiting tasks whose machine is missing from the node list, now that the list is complete.

        If clients were notified before the list is complete, their tasks might still be running. If every
        task waited for ``LISTING_WAIT_US``, the end of a task while no planner was running would be reported
        more than 8 s after the task's end.
        """
        before = self.loop.now - CONFIRMATION_GRACE_US
        waiting = [entry for entries in self.waiting.values() for entry in entries.values()]
        unlisted = [entry.task for entry in waiting if entry.since < before]
        for task in unlisted:
            self._not_listed(task)

    def task_ended(self, machine: int, message: Message) -> None:
        """Record that a machine ended a task that is unknown here, as its client may still hand it over."""
        self.ended.pop((machine, message.id), None)
        self.ended[machine, message.id] = ReportedEnd(self.loop.now, message.cause or 0)
        while self.ended:
            oldest = next(iter(self.ended))
            if len(self.ended) <= MAX_ENDED and self.ended[oldest].at > self.loop.now - ENDED_US:
                break
            del self.ended[oldest]

    def _adopt(self, task: Task, machine: int) -> None:
        end = self.ended.pop((machine, task.id), None)
        if end is not None and end.at > self.loop.now - ENDED_US:
            # The machine sends nothing more on this task; if it were adopted, it would count as running
            # forever.
            self.loop.count("adopted_ended")
            self.requests.ended(task, end.cause)
            return
        self.loop.notify_module(api.TaskAdopted(task.for_module(), machine))
        self.attempts.adopt(task, machine)

    def _not_listed(self, task: Task) -> None:
        waiting_at_machine = self.waiting.get(task.request.at, {})
        waiting = waiting_at_machine.get(task.id)
        if waiting is None or waiting.task is not task:
            return
        del waiting_at_machine[task.id]
        self.waiting_count -= 1
        if not waiting_at_machine:
            del self.waiting[task.request.at]
        if task.state is TaskState.RUNNING:
            self.requests.ended(task, int(Cause.RESET))

"""Adoption of running tasks after a restart: tasks that their clients say a machine holds already, until both
sides are known here. No I/O or clock.

After a restart the clients report their running tasks, the node list reports the machines, and the machines
report tasks that ended meanwhile; these three come in any order.

Invariants (tests/platform/test_platform_adoption.py):

1. A task at a machine that is not on the list waits until the list is confirmed as complete,
   ``LISTING_WAIT_US`` at most: as long as the list may be late. Then it is over, and its client is notified.
2. A task of which its machine has reported the end is over as it is adopted (``ENDED_US``, ``MAX_ENDED``).
3. One whose client ends it while it waits is ended at its machine as soon as that is listed.

Tables: ``waiting`` by the machine's name and the id (``MAX_WAITING``: one that its client has ended
meanwhile counts among no client's tasks any more), ``ended`` by machine and id.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from .. import interface as api
from ..planner.event_loop import EventLoop
from .messages import Cause, Kind, Message
from .tables import Task, TaskState

CONFIRMATION_GRACE_US = (
    50_000  # a confirmation of the list so soon after an adoption may have been sent before it
)
# A list update arrives within 4 s after the list service's connection broke or fell silent, and the end of a
# task is due to its client after 8 s. Danger: notified at once that its task is over, a client has it run
# twice.
LISTING_WAIT_US = 4_500_000
ENDED_US, MAX_ENDED = 10_000_000, 1024
MAX_WAITING = 4096  # beyond, a task is over at once


class Attempts(Protocol):
    """What adoption needs of the attempts at machines."""

    def adopt(self, task: Task, machine: int) -> None: ...


class ClientRequests(Protocol):
    """What adoption needs of the clients' requests."""

    def ended(self, task: Task, cause: int | None) -> None: ...


class Links(Protocol):
    """What adoption needs of the connections to machines."""

    def send_message(
        self, machine: int, message: Message, link: int = 0, *, must_arrive: bool = False
    ) -> None: ...


@dataclass(frozen=True, slots=True)
class WaitingTask:
    """A task whose machine is not on the list yet, and when its client reported it."""

    since: int
    task: Task


@dataclass(frozen=True, slots=True)
class ReportedEnd:
    """The end of a task that nothing here knew, as its machine reported it."""

    at: int
    cause: int


class Adoption:
    """Tasks that run already, until both their clients and their machines are known here."""

    def __init__(self, loop: EventLoop, attempts: Attempts, requests: ClientRequests, links: Links) -> None:
        self.loop = loop
        self.attempts = attempts
        self.requests = requests
        self.links = links
        self.find_machine: Callable[[str], int | None]
        self.waiting: dict[str, dict[str, WaitingTask]] = {}
        self.waiting_count = 0  # of them
        self.ended: dict[tuple[int, str], ReportedEnd] = {}

    def take(self, task: Task) -> None:
        """Adopt a client's task that runs at the machine which it names."""
        machine = self.find_machine(task.request.at)
        if machine is not None:
            self._adopt(task, machine)
            return
        self.loop.count("adopted_unlisted")
        # Danger: adopted and ended again without a pause, they would be kept without a bound.
        if self.waiting_count >= MAX_WAITING:
            self.requests.ended(task, int(Cause.RESET))
            return
        there = self.waiting.setdefault(task.request.at, {})
        self.waiting_count += task.id not in there
        there[task.id] = WaitingTask(self.loop.now, task)
        self.loop.call_at(self.loop.now + LISTING_WAIT_US, self._not_listed, task)

    def machine_listed(self, name: str, machine: int) -> None:
        """That machine is on the list now."""
        there = self.waiting.pop(name, {})
        self.waiting_count -= len(there)
        for task in (waiting.task for waiting in there.values()):
            if task.state is TaskState.RUNNING:
                self._adopt(task, machine)
            else:
                message = Message(Kind.RELEASE, task.id, cause=int(Cause.CANCELLED))
                self.links.send_message(machine, message, must_arrive=True)

    def list_confirmed(self) -> None:
        """The list is complete. Danger: notified at once, without this, a client's task may run on; notified
        late, the end of a task while no planner was here is reported more than 8 s after it.
        """
        before = self.loop.now - CONFIRMATION_GRACE_US
        waiting = [found for there in self.waiting.values() for found in there.values()]
        late = [found.task for found in waiting if found.since < before]
        for task in late:
            self._not_listed(task)

    def task_ended(self, machine: int, message: Message) -> None:
        """That machine ends a task which nothing here knows."""
        self.ended.pop((machine, message.id), None)
        self.ended[machine, message.id] = ReportedEnd(self.loop.now, message.cause or 0)
        while self.ended:
            first = next(iter(self.ended))
            if len(self.ended) <= MAX_ENDED and self.ended[first].at > self.loop.now - ENDED_US:
                break
            del self.ended[first]

    def _adopt(self, task: Task, machine: int) -> None:
        end = self.ended.pop((machine, task.id), None)
        if end is not None and end.at > self.loop.now - ENDED_US:
            # Danger: the machine has sent its last message on it; it would count as running here for good.
            self.loop.count("adopted_ended")
            self.requests.ended(task, end.cause)
            return
        self.loop.notify_module(api.TaskAdopted(task.for_module(), machine))
        self.attempts.adopt(task, machine)

    def _not_listed(self, task: Task) -> None:
        there = self.waiting.get(task.request.at, {})
        waiting = there.get(task.id)
        if waiting is None or waiting.task is not task:
            return
        del there[task.id]
        self.waiting_count -= 1
        if not there:
            del self.waiting[task.request.at]
        if task.state is TaskState.RUNNING:
            self.requests.ended(task, int(Cause.RESET))

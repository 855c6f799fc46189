"""Tasks that their owners say a machine holds already, until both sides are known here. No I/O or clock.

A planner that starts anew is told of them by their owners, of the machines by the list, and of tasks that
ended meanwhile by the machines; these three come in any order.

Invariants (tests/platform/test_platform_handover.py):

1. A task at a machine that the list does not name waits until the board says that nothing is missing here,
   ``NAMED_US`` at most: as long as the list may be late. Then it is over, and its owner is told.
2. A task of which its machine has said the end is over as it is handed over (``ENDED_US``, ``ENDED_MOST``).
3. One whose owner ends it while it waits is ended at its machine as that is named.

Tables: ``waiting`` by the machine's name and the id (``WAITING_MOST``: one that its owner has ended meanwhile
counts among no owner's tasks any more), ``ended`` by machine and id.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .. import interface as api
from ..planner.event_loop import EventLoop
from .messages import Cause, Kind, Message
from .tables import Task, TaskState

CROSSED_US = 50_000  # what the board said so soon after a hand-over may have been on its way before it
# What the board would have told is told 4 s after it broke off or fell silent, and what ended is due to its
# owner 8 s after its end. Danger: told at once that its task is over, an owner has it run twice.
NAMED_US = 4_500_000
ENDED_US, ENDED_MOST = 10_000_000, 1024
WAITING_MOST = 4096  # beyond, a task is over at once


class Out(Protocol):
    def adopt(self, task: Task, machine: int) -> None: ...


class Owed(Protocol):
    def ended(self, task: Task, cause: int | None) -> None: ...
    def told(self, task: Task) -> api.Task: ...


class Links(Protocol):
    def say(self, machine: int, message: Message, link: int = 0, *, keep: bool = False) -> None: ...


class Handover:
    def __init__(self, loop: EventLoop, out: Out, owed: Owed, links: Links) -> None:
        self.loop = loop
        self.out, self.owed, self.links = out, owed, links
        self.machine_named: Callable[[str], int | None]
        self.waiting: dict[str, dict[str, tuple[int, Task]]] = {}  # with the time of the hand-over
        self.held = 0  # of them
        self.ended: dict[tuple[int, str], tuple[int, int]] = {}  # when it was heard, and the cause

    def take(self, task: Task) -> None:
        """An owner's task that stands at the machine which it names."""
        machine = self.machine_named(task.set_up.at)
        if machine is not None:
            self._adopt(task, machine)
            return
        self.loop.count("handed_over_unnamed")
        # Danger: handed over and ended again without a pause, they would be kept without a bound.
        if self.held >= WAITING_MOST:
            self.owed.ended(task, int(Cause.RESET))
            return
        there = self.waiting.setdefault(task.set_up.at, {})
        self.held += task.id not in there
        there[task.id] = self.loop.now, task
        self.loop.call_at(self.loop.now + NAMED_US, self._unnamed, task)

    def named(self, name: str, machine: int) -> None:
        """The list names that machine."""
        there = self.waiting.pop(name, {})
        self.held -= len(there)
        for _, task in there.values():
            if task.state is TaskState.STANDING:
                self._adopt(task, machine)
            else:
                message = Message(Kind.RELEASE, task.id, cause=int(Cause.CANCELLED))
                self.links.say(machine, message, keep=True)

    def heard(self) -> None:
        """The list is as new as the board's. Danger: told at once, without this, an owner's task may run on;
        told late, what ended while no planner was here is told more than 8 s after its end."""
        before = self.loop.now - CROSSED_US
        late = [task for there in self.waiting.values() for at, task in there.values() if at < before]
        for task in late:
            self._unnamed(task)

    def end(self, machine: int, message: Message) -> None:
        """That machine ends a task which nothing here knows."""
        self.ended.pop((machine, message.id), None)
        self.ended[machine, message.id] = self.loop.now, message.cause or 0
        while self.ended:
            first = next(iter(self.ended))
            if len(self.ended) <= ENDED_MOST and self.ended[first][0] > self.loop.now - ENDED_US:
                break
            del self.ended[first]

    def _adopt(self, task: Task, machine: int) -> None:
        at, cause = self.ended.pop((machine, task.id), (0, 0))
        if at and at > self.loop.now - ENDED_US:
            # Danger: the machine has said its last word on it; it would stand here for good.
            self.loop.count("handed_over_ended")
            self.owed.ended(task, cause)
            return
        self.loop.notify_module(api.TaskAdopted(self.owed.told(task), machine))
        self.out.adopt(task, machine)

    def _unnamed(self, task: Task) -> None:
        there = self.waiting.get(task.set_up.at, {})
        if there.get(task.id, (0, None))[1] is not task:
            return
        del there[task.id]
        self.held -= 1
        if not there:
            del self.waiting[task.set_up.at]
        if task.state is TaskState.STANDING:
            self.owed.ended(task, int(Cause.RESET))

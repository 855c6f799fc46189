"""Measures the core time that is reserved while a group is incomplete, and when each group completes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

TaskName = tuple[str, int]  # name of the client, key of the task


class Reservation(NamedTuple):
    """The cores that a node has reserved for a task, and since when."""

    since_us: int
    cores: float


@dataclass(slots=True)
class GroupMeasurement:
    """Measurements of one group over all its requests; times in microseconds."""

    size: int
    requested_us: int
    reservations: dict[TaskName, Reservation] = field(default_factory=dict)
    running: set[TaskName] = field(default_factory=set)
    finished: set[TaskName] = field(default_factory=set)
    complete_us: int = 0  # when the group first became complete; 0 if it never did
    wasted_core_us: float = 0.0
    partial_since_us: int = 0  # when the group became partly running; 0 if it is not
    max_partial_us: int = 0  # longest time in which some members ran and others did not

    def is_complete(self) -> bool:
        """Whether every member runs or has finished."""
        return len(self.running) + len(self.finished) >= self.size


class GroupMeter:
    """Tracks the tasks of every group from the requests of clients and the reports of nodes."""

    def __init__(self) -> None:
        """Create a meter that has no groups yet."""
        self.group_of: dict[TaskName, GroupMeasurement] = {}
        self.groups: list[GroupMeasurement] = []

    def group_requested(self, names: list[TaskName], now_us: int, former: TaskName | None = None) -> None:
        """Record a request for a group.

        ``former`` names a task of the group's earlier request; it is None if this is the first request.
        """
        group = self.group_of.get(former) if former is not None else None
        if group is None:
            group = GroupMeasurement(len(names), now_us)
            self.groups.append(group)
        for name in names:
            self.group_of[name] = group

    def task_accepted(self, name: TaskName, cores: float, now_us: int) -> None:
        """Record that a node has accepted a task and reserved cores for it."""
        group = self.group_of.get(name)
        if group is not None:
            group.reservations[name] = Reservation(now_us, cores)

    def task_running(self, name: TaskName, now_us: int) -> None:
        """Record that a task has started."""
        group = self.group_of.get(name)
        if group is None:
            return
        group.running.add(name)
        self._update_partial(group, now_us)
        if group.is_complete():
            group.complete_us = group.complete_us or now_us
            for task, reservation in group.reservations.items():
                group.wasted_core_us += (now_us - reservation.since_us) * reservation.cores
                group.reservations[task] = Reservation(now_us, 0.0)  # a complete group wastes no cores

    def task_over(self, name: TaskName, finished: bool, now_us: int) -> None:
        """Record that a node has released a task's cores; ``finished`` is whether the task ran to its end."""
        group = self.group_of.get(name)
        if group is None:
            return
        reservation = group.reservations.pop(name, Reservation(now_us, 0.0))
        group.wasted_core_us += (now_us - reservation.since_us) * reservation.cores
        group.running.discard(name)
        if finished:
            group.finished.add(name)
        elif not group.is_complete():
            # The group is incomplete again: members that had finished no longer count towards completion, and
            # cores that are reserved from now on count as wasted until it is complete.
            group.finished.clear()
        self._update_partial(group, now_us)

    def _update_partial(self, group: GroupMeasurement, now_us: int) -> None:
        is_partial = bool(group.running) and not group.is_complete()
        if is_partial and not group.partial_since_us:
            group.partial_since_us = now_us
        elif not is_partial and group.partial_since_us:
            group.max_partial_us = max(group.max_partial_us, now_us - group.partial_since_us)
            group.partial_since_us = 0

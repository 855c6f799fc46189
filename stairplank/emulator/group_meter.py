"""Measures what groups cost: core-seconds taken while a group is incomplete, and when each completes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

TaskName = tuple[str, int]  # client and key


class Reservation(NamedTuple):
    """Cores that a task takes at a node."""

    since_us: int
    cores: float


@dataclass(slots=True)
class GroupMeasurement:
    """One group over all its attempts; times in microseconds."""

    size: int
    requested_us: int
    reservations: dict[TaskName, Reservation] = field(default_factory=dict)
    running: set[TaskName] = field(default_factory=set)
    finished: set[TaskName] = field(default_factory=set)
    complete_us: int = 0  # the first time; 0: never
    wasted_core_us: float = 0.0
    partial_since_us: int = 0  # 0: it is not partly running
    max_partial_us: int = 0  # longest stretch in which some members ran and others did not

    def is_complete(self) -> bool:
        """Whether every member runs or has finished."""
        return len(self.running) + len(self.finished) >= self.size


class GroupMeter:
    """Follows the tasks of every group through what clients request and nodes report."""

    def __init__(self) -> None:
        """Start without groups."""
        self.group_of: dict[TaskName, GroupMeasurement] = {}
        self.groups: list[GroupMeasurement] = []

    def group_requested(self, names: list[TaskName], now_us: int, former: TaskName | None = None) -> None:
        """A group is requested; ``former`` names one of its tasks when it was requested before."""
        group = self.group_of.get(former) if former is not None else None
        if group is None:
            group = GroupMeasurement(len(names), now_us)
            self.groups.append(group)
        for name in names:
            self.group_of[name] = group

    def task_accepted(self, name: TaskName, cores: float, now_us: int) -> None:
        """A node has reserved cores for a task."""
        group = self.group_of.get(name)
        if group is not None:
            group.reservations[name] = Reservation(now_us, cores)

    def task_running(self, name: TaskName, now_us: int) -> None:
        """A task has started."""
        group = self.group_of.get(name)
        if group is None:
            return
        group.running.add(name)
        self._update_partial(group, now_us)
        if group.is_complete():
            group.complete_us = group.complete_us or now_us
            for task, reservation in group.reservations.items():
                group.wasted_core_us += (now_us - reservation.since_us) * reservation.cores
                group.reservations[task] = Reservation(now_us, 0.0)  # from here on they are of use

    def task_over(self, name: TaskName, finished: bool, now_us: int) -> None:
        """A node has released a task's cores; ``finished``: it ran to its end."""
        group = self.group_of.get(name)
        if group is None:
            return
        reservation = group.reservations.pop(name, Reservation(now_us, 0.0))
        group.wasted_core_us += (now_us - reservation.since_us) * reservation.cores
        group.running.discard(name)
        if finished:
            group.finished.add(name)
        elif not group.is_complete():
            # What is left of it counts as wasted from now on, until it is complete again.
            group.finished.clear()
        self._update_partial(group, now_us)

    def _update_partial(self, group: GroupMeasurement, now_us: int) -> None:
        is_partial = bool(group.running) and not group.is_complete()
        if is_partial and not group.partial_since_us:
            group.partial_since_us = now_us
        elif not is_partial and group.partial_since_us:
            group.max_partial_us = max(group.max_partial_us, now_us - group.partial_since_us)
            group.partial_since_us = 0

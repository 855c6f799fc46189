"""Timers of groups: one valid timer per group, ordered by time."""

from __future__ import annotations

import heapq
from collections.abc import Mapping
from dataclasses import dataclass

from .state import Group


@dataclass(frozen=True, slots=True, order=True)
class _Timer:
    due: int
    group: int
    generation: int


class GroupTimers:
    """A heap of timers. Setting a timer invalidates the group's earlier one, which stays until it is due."""

    def __init__(self) -> None:
        """Start without timers."""
        self._heap: list[_Timer] = []

    def next_due(self) -> int | None:
        """When the next timer is due, valid or not."""
        return self._heap[0].due if self._heap else None

    def set(self, group: Group, due: int) -> None:
        """Replace the group's timer."""
        group.timer_generation += 1
        heapq.heappush(self._heap, _Timer(due, group.number, group.timer_generation))

    def cancel(self, group: Group) -> None:
        """Invalidate the group's timer."""
        group.timer_generation += 1

    def is_set(self, group: Group) -> bool:
        """Whether the group has a valid timer."""
        return any(t.group == group.number and t.generation == group.timer_generation for t in self._heap)

    def pop_due(self, now: int, groups: Mapping[int, Group]) -> Group | None:
        """The next group whose valid timer is due, or None."""
        while self._heap and self._heap[0].due <= now:
            timer = heapq.heappop(self._heap)
            group = groups.get(timer.group)
            if group is not None and group.timer_generation == timer.generation:
                return group
        return None

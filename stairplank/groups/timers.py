"""Timers of groups, ordered by due time, with at most one valid timer per group."""

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
    """A heap of timers. An invalidated timer stays in the heap until it is due and is then ignored."""

    def __init__(self) -> None:
        """Create an empty heap."""
        self._heap: list[_Timer] = []

    def next_due(self) -> int | None:
        """Return when the next timer in the heap is due, or None. The timer may be an invalidated one."""
        return self._heap[0].due if self._heap else None

    def set(self, group: Group, due: int) -> None:
        """Set the timer of the group, invalidating its previous one."""
        group.timer_generation += 1
        heapq.heappush(self._heap, _Timer(due, group.number, group.timer_generation))

    def cancel(self, group: Group) -> None:
        """Invalidate the group's timer."""
        group.timer_generation += 1

    def is_set(self, group: Group) -> bool:
        """Return whether the group has a valid timer."""
        return any(
            timer.group == group.number and timer.generation == group.timer_generation for timer in self._heap
        )

    def pop_due(self, now: int, groups: Mapping[int, Group]) -> Group | None:
        """Remove the first valid timer that is due and return its group; None if no valid timer is due."""
        while self._heap and self._heap[0].due <= now:
            timer = heapq.heappop(self._heap)
            group = groups.get(timer.group)
            if group is not None and group.timer_generation == timer.generation:
                return group
        return None

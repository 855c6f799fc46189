"""Spread limits: how many tasks of a service may be in one group, in one zone or on one node (rule 5)."""

from __future__ import annotations

from collections import Counter

from .. import interface as api
from .attempts import Attempt
from .context import Context


def place_of(scope: api.Scope, node: int, group: int, zone: int) -> int:
    """Return the id of the node itself, its group or its zone, as the scope selects; else 0."""
    if scope is api.Scope.NODE:
        return node
    if scope is api.Scope.GROUP:
        return group
    return zone if scope is api.Scope.ZONE else 0


class SpreadCounts:
    """Counts attempts without an outcome by service and place, including placed and adopted tasks."""

    def __init__(self, context: Context) -> None:
        """Start with no attempts counted."""
        self._context = context
        self.counts: Counter[tuple[int, api.Scope, int]] = Counter()

    def allows(self, task: api.Task, task_class: api.TaskClass, entry: api.NodeEntry) -> bool:
        """Return whether the spread limit allows one more task of the service at the node's place."""
        scope = task_class.spread
        if scope is api.Scope.NONE:
            return True
        place = place_of(scope, entry.id, entry.group, entry.zone)
        return self.counts[task.service, scope, place] < task_class.max_per_place

    def add(self, attempt: Attempt) -> None:
        """Count an attempt."""
        self._change(attempt, 1)

    def remove(self, attempt: Attempt) -> None:
        """Stop counting an attempt that has its outcome."""
        self._change(attempt, -1)

    def _change(self, attempt: Attempt, by: int) -> None:
        scope = self._context.settings.classes[attempt.task.class_index].spread
        if scope is api.Scope.NONE:
            return
        place = place_of(scope, attempt.node, attempt.group, attempt.zone)
        key = (attempt.task.service, scope, place)
        self.counts[key] += by
        if self.counts[key] <= 0:
            del self.counts[key]

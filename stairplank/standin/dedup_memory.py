"""What nodes remember of tasks with an idempotency key, so that repeats are dropped. No I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from .. import interface as api
from ..planner.events import AttemptId
from .node_model import NodeModel


@dataclass(slots=True)
class DedupMemory:
    """What the nodes of one place remember: which attempt of a task runs, and which tasks have finished."""

    running: dict[tuple[str, int], AttemptId] = field(default_factory=dict)
    finished_until: dict[tuple[str, int], int] = field(default_factory=dict)  # finished: remembered until
    max_entries: int = 100_000

    def is_repeat(self, name: tuple[str, int], id: AttemptId, now: int) -> bool:
        """Whether another attempt of the task runs, or one has finished within its window."""
        stands = self.running.get(name)
        if stands is not None and stands != id:
            return True
        return self.finished_until.get(name, 0) > now

    def record_finished(self, name: tuple[str, int], until: int, now: int) -> None:
        """Remember a finished task until a time."""
        self.finished_until[name] = until
        if len(self.finished_until) > self.max_entries:
            self.finished_until = {k: u for k, u in self.finished_until.items() if u > now}


class DedupMemories:
    """Which nodes share their memory of a class's tasks: those of the group that the class names."""

    def __init__(self, classes: tuple[api.TaskClass, ...]) -> None:
        self._scopes = {c.name: c.dedup_scope for c in classes}
        self._copies: dict[tuple[str, str], DedupMemory] = {}

    def of(self, model: NodeModel, task_class: str) -> DedupMemory:
        """The memory that a node shares for a class."""
        scope = self._scopes.get(task_class, api.Scope.GROUP)
        place = {api.Scope.NODE: str(model.id), api.Scope.GROUP: model.rack, api.Scope.ZONE: model.zone}
        return self._copies.setdefault((task_class, place.get(scope, "")), DedupMemory())

"""Memory of tasks with an idempotency key, by which nodes drop repeats. No I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from .. import interface as api
from ..planner.events import AttemptId
from .node_model import NodeModel


@dataclass(slots=True)
class DedupMemory:
    """The memory that the nodes of one deduplication scope share.

    It holds the running attempt of each task, and the tasks that have finished.
    """

    running: dict[tuple[str, int], AttemptId] = field(default_factory=dict)
    # The end of the deduplication window of each finished task.
    finished_until: dict[tuple[str, int], int] = field(default_factory=dict)
    max_entries: int = 100_000

    def is_repeat(self, name: tuple[str, int], id: AttemptId, now: int) -> bool:
        """Whether another attempt of the task runs, or one has finished within its deduplication window."""
        running_id = self.running.get(name)
        if running_id is not None and running_id != id:
            return True
        return self.finished_until.get(name, 0) > now

    def record_finished(self, name: tuple[str, int], until: int, now: int) -> None:
        """Remember a finished task until the time ``until``."""
        self.finished_until[name] = until
        if len(self.finished_until) > self.max_entries:
            self.finished_until = {k: u for k, u in self.finished_until.items() if u > now}


class DedupMemories:
    """Memories by task class and deduplication scope: the nodes of one scope share a memory."""

    def __init__(self, classes: tuple[api.TaskClass, ...]) -> None:
        self._scopes = {c.name: c.dedup_scope for c in classes}
        self._memories: dict[tuple[str, str], DedupMemory] = {}

    def of(self, model: NodeModel, task_class: str) -> DedupMemory:
        """Return the memory that a node uses for tasks of a class."""
        scope = self._scopes.get(task_class, api.Scope.GROUP)
        key_by_scope = {
            api.Scope.NODE: str(model.id),
            api.Scope.GROUP: model.rack,
            api.Scope.ZONE: model.zone,
        }
        return self._memories.setdefault((task_class, key_by_scope.get(scope, "")), DedupMemory())

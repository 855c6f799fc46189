"""What nodes remember of keyed tasks: one copy stands, repeats are dropped. No I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from .. import interface as api
from ..planner.events import AttemptId
from .node_model import NodeModel


@dataclass(slots=True)
class DedupMemory:
    """What the nodes of one group remember of keyed tasks: one copy stands, repeats are dropped."""

    standing: dict[tuple[str, int], AttemptId] = field(default_factory=dict)
    done: dict[tuple[str, int], int] = field(default_factory=dict)  # finished: remembered until
    most: int = 100_000

    def drops(self, name: tuple[str, int], id: AttemptId, now: int) -> bool:
        stands = self.standing.get(name)
        if stands is not None and stands != id:
            return True
        return self.done.get(name, 0) > now

    def finished(self, name: tuple[str, int], until: int, now: int) -> None:
        self.done[name] = until
        if len(self.done) > self.most:
            self.done = {k: u for k, u in self.done.items() if u > now}


class DedupMemories:
    """Which nodes share their memory of a class's tasks: those of the group that the class names."""

    def __init__(self, classes: tuple[api.TaskClass, ...]) -> None:
        self._scopes = {c.name: c.dedup_scope for c in classes}
        self._copies: dict[tuple[str, str], DedupMemory] = {}

    def of(self, model: NodeModel, task_class: str) -> DedupMemory:
        scope = self._scopes.get(task_class, api.Scope.GROUP)
        place = {api.Scope.NODE: str(model.id), api.Scope.GROUP: model.rack, api.Scope.ZONE: model.zone}
        return self._copies.setdefault((task_class, place.get(scope, "")), DedupMemory())

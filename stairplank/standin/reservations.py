"""What the accepted tasks of a node ask for, and which would have to go for another. No I/O and no clock."""

from __future__ import annotations

from collections.abc import Iterable

from .. import interface as api
from ..planner.events import TaskSpec
from .node_model import NodeModel, Offer, OfferState

ROUNDING = 1e-6  # sums of shares are not exact


class Reservations:
    """Cores and memory of the accepted tasks."""

    def __init__(self, model: NodeModel) -> None:
        self.model = model
        self.cores = 0.0
        self.memory = 0.0

    def add(self, task: TaskSpec) -> None:
        """A task was accepted."""
        self.cores += task.cores
        self.memory += task.memory

    def remove(self, task: TaskSpec) -> None:
        """An accepted task has ended."""
        self.cores -= task.cores
        self.memory -= task.memory

    def free(self) -> tuple[float, float]:
        """Cores and memory that no accepted task asks for."""
        return self.model.cores - self.cores, self.model.memory - self.memory

    def capacity_for(self, offer: Offer, held: Iterable[Offer]) -> tuple[api.Reason | None, list[Offer]]:
        """Whether an offer fits, and what must go for it.

        Returns None where it fits, with the tasks of lower priority that must be preempted, the latest first;
        else the resource that is short even without them.
        """
        cores, memory = self._missing(offer.task)
        victims: list[Offer] = []
        for other in self._preemptible(offer, held):
            if _fits(cores, memory):
                break
            victims.append(other)
            cores -= other.task.cores
            memory -= other.task.memory
        if _fits(cores, memory):
            return None, victims
        return (api.Reason.NO_CORES if cores > ROUNDING else api.Reason.NO_MEMORY), []

    def _preemptible(self, offer: Offer, held: Iterable[Offer]) -> list[Offer]:
        if not self.model.preempts:
            return []
        lower = [o for o in held if o.state is not OfferState.WAITING and o.priority < offer.priority]
        return sorted(lower, key=lambda o: (o.priority, -o.received_at))

    def _missing(self, task: TaskSpec) -> tuple[float, float]:
        """Cores and memory above the limits, were it accepted."""
        model = self.model
        cores = self.cores + task.cores - model.cores * model.cores_limit
        memory = self.memory + task.memory - model.memory * model.memory_limit
        return cores, memory


def _fits(missing_cores: float, missing_memory: float) -> bool:
    return missing_cores <= ROUNDING and missing_memory <= ROUNDING

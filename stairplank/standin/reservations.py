"""Capacity that a node's accepted tasks reserve, and the choice of tasks to preempt. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .. import interface as api
from ..planner.events import TaskSpec
from .node_model import NodeModel, Offer, OfferState

ROUNDING = 1e-6  # tolerance for sums of floating-point shares


class Resources(NamedTuple):
    """Cores and units of memory; a difference of two values may be negative."""

    cores: float
    memory: float

    @property
    def is_none(self) -> bool:
        """Whether neither cores nor memory are above zero, apart from rounding."""
        return self.cores <= ROUNDING and self.memory <= ROUNDING


class Admission(NamedTuple):
    """The result of an admission check.

    ``rejection`` is None if the offer fits after the tasks in ``preempted`` are evicted. These are ordered by
    priority, lowest first, and within a priority by arrival, latest first.
    """

    rejection: api.Reason | None
    preempted: list[Offer]


class Reservations:
    """Cores and memory that the accepted tasks of a node reserve."""

    def __init__(self, model: NodeModel) -> None:
        """Create the reservations of a node without tasks, with the limits of ``model``."""
        self.model = model
        self.cores = 0.0
        self.memory = 0.0

    def add(self, task: TaskSpec) -> None:
        """Reserve the capacity of an accepted task."""
        self.cores += task.cores
        self.memory += task.memory

    def remove(self, task: TaskSpec) -> None:
        """Release the capacity of a task that has ended."""
        self.cores -= task.cores
        self.memory -= task.memory

    def free_resources(self) -> Resources:
        """Return the capacity that no accepted task reserves."""
        return Resources(self.model.cores - self.cores, self.model.memory - self.memory)

    def check(self, offer: Offer, offers: Iterable[Offer]) -> Admission:
        """Check whether an offer fits, where necessary after preempting tasks of lower priority.

        If it does not fit even then, nothing is preempted, and the rejection names the resource that is short
        after all possible preemptions.
        """
        missing = self._missing(offer.task)
        preempted: list[Offer] = []
        for other in self._preemptible(offer, offers):
            if missing.is_none:
                break
            preempted.append(other)
            missing = Resources(missing.cores - other.task.cores, missing.memory - other.task.memory)
        if missing.is_none:
            return Admission(None, preempted)
        reason = api.Reason.NO_CORES if missing.cores > ROUNDING else api.Reason.NO_MEMORY
        return Admission(reason, [])

    def _preemptible(self, offer: Offer, offers: Iterable[Offer]) -> list[Offer]:
        if not self.model.preempts:
            return []
        lower = [
            other
            for other in offers
            if other.state is not OfferState.WAITING and other.priority < offer.priority
        ]
        return sorted(lower, key=lambda other: (other.priority, -other.received_at))

    def _missing(self, task: TaskSpec) -> Resources:
        """Return by how much the reservations would exceed the limits if the task were accepted."""
        model = self.model
        return Resources(
            self.cores + task.cores - model.cores * model.cores_limit,
            self.memory + task.memory - model.memory * model.memory_limit,
        )

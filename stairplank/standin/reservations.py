"""Capacity that the accepted tasks of a node reserve, and which would be preempted. No I/O and no clock."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .. import interface as api
from ..planner.events import TaskSpec
from .node_model import NodeModel, Offer, OfferState

ROUNDING = 1e-6  # sums of shares are not exact


class Resources(NamedTuple):
    """Cores and units of memory; both may be negative in a difference."""

    cores: float
    memory: float

    @property
    def is_none(self) -> bool:
        """Whether nothing is there, rounding apart."""
        return self.cores <= ROUNDING and self.memory <= ROUNDING


class Admission(NamedTuple):
    """``rejection``: None where the offer fits once ``preempted`` have gone, the latest offers first."""

    rejection: api.Reason | None
    preempted: list[Offer]


class Reservations:
    """Cores and memory that the accepted tasks of a node reserve."""

    def __init__(self, model: NodeModel) -> None:
        """Start without reservations, with the limits of this model."""
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

    def free_resources(self) -> Resources:
        """What no accepted task reserves."""
        return Resources(self.model.cores - self.cores, self.model.memory - self.memory)

    def check(self, offer: Offer, held: Iterable[Offer]) -> Admission:
        """Whether an offer fits, if need be after tasks of lower priority were preempted.

        Where it does not, nothing is preempted, and the reason names what is missing even then.
        """
        missing = self._missing(offer.task)
        preempted: list[Offer] = []
        for other in self._preemptible(offer, held):
            if missing.is_none:
                break
            preempted.append(other)
            missing = Resources(missing.cores - other.task.cores, missing.memory - other.task.memory)
        if missing.is_none:
            return Admission(None, preempted)
        reason = api.Reason.NO_CORES if missing.cores > ROUNDING else api.Reason.NO_MEMORY
        return Admission(reason, [])

    def _preemptible(self, offer: Offer, held: Iterable[Offer]) -> list[Offer]:
        if not self.model.preempts:
            return []
        lower = [
            other
            for other in held
            if other.state is not OfferState.WAITING and other.priority < offer.priority
        ]
        return sorted(lower, key=lambda other: (other.priority, -other.received_at))

    def _missing(self, task: TaskSpec) -> Resources:
        """How far the reservations would exceed the limits, were the task accepted."""
        model = self.model
        return Resources(
            self.cores + task.cores - model.cores * model.cores_limit,
            self.memory + task.memory - model.memory * model.memory_limit,
        )

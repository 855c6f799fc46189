"""Events that a node reports to its planners and to the code that hosts it."""

from __future__ import annotations

from dataclasses import dataclass

from .. import interface as api
from ..planner.events import AttemptId


@dataclass(frozen=True, slots=True)
class Reported:
    """A message to a planner about an attempt.

    ``kind`` is one of accepted, ready, running, refused, error, ended, usage. ``cores`` and ``memory`` are
    set for the kind usage only.
    """

    planner: int
    kind: str
    id: AttemptId
    result: api.Result | None = None
    reason: api.Reason = api.Reason.UNTOLD
    cores: float = 0.0
    memory: float = 0.0
    is_late: bool = False  # whether the offer was rejected because it was too old on arrival


@dataclass(frozen=True, slots=True)
class DrainingReported:
    """The node has started to drain and accepts no new work."""


@dataclass(frozen=True, slots=True)
class HealthChecked:
    """The result of a health check; ``utilization`` is between 0 and 1."""

    token: int
    free_cores: float
    free_memory: float
    utilization: float


@dataclass(frozen=True, slots=True)
class Crashed:
    """An overloaded cold node has crashed: its window had ``offers`` offers, above ``max_offers``."""

    offers: int
    max_offers: float


NodeEvent = Reported | DrainingReported | HealthChecked | Crashed

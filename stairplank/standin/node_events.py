"""What a node reports to planners and to whoever drives it."""

from __future__ import annotations

from dataclasses import dataclass

from .. import interface as api
from ..planner.events import AttemptId


@dataclass(frozen=True, slots=True)
class Reported:
    """A message to a planner about an attempt.

    ``kind`` is one of accepted, ready, running, refused, error, ended, usage; ``cores`` and ``memory`` are
    the usage.
    """

    planner: int
    kind: str
    id: AttemptId
    result: api.Result | None = None
    reason: api.Reason = api.Reason.UNTOLD
    cores: float = 0.0
    memory: float = 0.0
    is_late: bool = False  # rejected because the offer was too old when it came


@dataclass(frozen=True, slots=True)
class DrainingReported:
    """The node takes no new work from now on."""


@dataclass(frozen=True, slots=True)
class HealthChecked:
    """The result of a health check; ``utilization`` is between 0 and 1."""

    token: int
    free_cores: float
    free_memory: float
    utilization: float


@dataclass(frozen=True, slots=True)
class Crashed:
    """A cold node was overloaded and is down: it got ``offers`` in its window and bears ``max_offers``."""

    offers: int
    max_offers: float


NodeEvent = Reported | DrainingReported | HealthChecked | Crashed

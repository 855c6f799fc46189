"""What a node reports to planners and to whoever drives it."""

from __future__ import annotations

from dataclasses import dataclass

from .. import interface as api
from ..planner.events import AttemptId


@dataclass(frozen=True, slots=True)
class Said:
    """A word to a planner about an attempt.

    ``what`` is one of accepted, ready, running, refused, error, ended, usage.
    """

    planner: int
    what: str
    id: AttemptId
    result: api.Result | None = None
    reason: api.Reason = api.Reason.UNTOLD
    cores: float = 0.0
    memory: float = 0.0
    late: bool = False  # refused since the offer was too old when it came


@dataclass(frozen=True, slots=True)
class SaidDraining:
    """The node takes no new work from now on."""


@dataclass(frozen=True, slots=True)
class Probed:
    """The answer to a probe."""

    token: int
    free_cores: float
    free_memory: float
    util: float


@dataclass(frozen=True, slots=True)
class Fell:
    """It was pushed over and is down from now on."""

    offers: int
    borne: float


Word = Said | SaidDraining | Probed | Fell

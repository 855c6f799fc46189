"""A row of the capacity table: a figure, its allowance, the code that provides it, the verdict. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .figures import Unit
from .target import TargetLine


class Form(Enum):
    """The two forms of the planner; samples name the form by its value."""

    PLATFORM = "platform"
    GRPC = "grpc"


class Verdict(Enum):
    """Whether a figure meets the target."""

    HOLDS = "holds"
    SHORT = "short"
    NOTHING_CARRIES_IT = "nothing carries it"
    NOT_MEASURED = "not measured"


class Sense(Enum):
    """Whether a figure has to stay below its allowance (a cost) or has to reach it (a capacity)."""

    AT_MOST = "at most"
    AT_LEAST = "at least"


CLOSE_SHARE = 0.10  # a cost this near its allowance could be over it in another run of the same state


@dataclass(frozen=True, slots=True)
class Mechanism:
    """The part of the program that provides a figure; ``name`` is defined in ``module``."""

    module: str
    name: str

    def __str__(self) -> str:
        return f"`{self.module.removeprefix('stairplank.')}.{self.name}`"


@dataclass(frozen=True, slots=True)
class Row:
    """A figure of one line of the target.

    ``mechanism`` is None where no part of the program provides the figure; ``gap`` then describes what exists
    instead. ``wanted`` names the measurement that would give a missing figure.
    """

    line: TargetLine
    form: Form
    figure: str
    unit: Unit
    allowance: float
    sense: Sense
    mechanism: Mechanism | None
    measured: float | None = None
    wanted: str = ""
    gap: str = ""
    computed: bool = False  # computed from measured figures, not measured directly

    @property
    def ratio(self) -> float | None:
        """The factor by which the figure is short, if above 1; None where it was not measured."""
        if self.measured is None or self.mechanism is None:
            return None
        if self.sense is Sense.AT_MOST:
            return self.measured / self.allowance
        return self.allowance / self.measured if self.measured else float("inf")

    @property
    def is_close(self) -> bool:
        """Whether a cost is within its allowance by a margin smaller than the noise between runs."""
        ratio = self.ratio
        return self.sense is Sense.AT_MOST and ratio is not None and 1 - CLOSE_SHARE < ratio <= 1

    @property
    def verdict(self) -> Verdict:
        if self.mechanism is None:
            return Verdict.NOTHING_CARRIES_IT
        ratio = self.ratio
        if ratio is None:
            return Verdict.NOT_MEASURED
        return Verdict.HOLDS if ratio <= 1 else Verdict.SHORT

"""One row of the capacity table: a figure against its allowance, what carries it, and the verdict. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .figures import Unit
from .target import TargetLine


class Form(Enum):
    """The two forms of the planner, as samples name them."""

    PLATFORM = "platform"
    GRPC = "grpc"


class Verdict(Enum):
    """What a row says of the target."""

    HOLDS = "holds"
    SHORT = "short"
    NOTHING_CARRIES_IT = "nothing carries it"
    NOT_MEASURED = "not measured"


class Sense(Enum):
    """Whether a figure has to stay below its allowance (a cost) or has to reach it (a capacity)."""

    AT_MOST = "at most"
    AT_LEAST = "at least"


CLOSE_SHARE = 0.10  # a cost so near its allowance holds or fails by less than runs of one state may differ


@dataclass(frozen=True, slots=True)
class Mechanism:
    """The part of the program that carries a figure; ``name`` is found in ``module``."""

    module: str
    name: str

    def __str__(self) -> str:
        return f"`{self.module.removeprefix('stairplank.')}.{self.name}`"


@dataclass(frozen=True, slots=True)
class Row:
    """A figure of one line of the target. ``mechanism`` None: no part of the program carries it; ``gap`` says
    what is there instead. ``wanted`` names what would measure a figure that was not."""

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
    computed: bool = False  # worked out from measured figures, not measured as it stands

    @property
    def ratio(self) -> float | None:
        """Above 1 the site is short by so much; None without a measured figure."""
        if self.measured is None or self.mechanism is None:
            return None
        if self.sense is Sense.AT_MOST:
            return self.measured / self.allowance
        return self.allowance / self.measured if self.measured else float("inf")

    @property
    def is_close(self) -> bool:
        """Whether a cost holds by less than noise may hide."""
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

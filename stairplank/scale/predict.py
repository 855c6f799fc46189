"""What the slopes say of a site that was not measured, or beside one that was. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .figures import RUNNING, STARTS, WORKERS, Axis, Figure
from .fits import Series, Shape, series
from .results import Sample, Size


@dataclass(frozen=True, slots=True)
class Prediction:
    """A figure by the slopes; ``value`` is None where a slope that it needs was not measured."""

    value: float | None
    missing: tuple[Axis, ...] = ()  # axes without a slope, or beyond points that are not straight


class Slopes:
    """The series of one form of the planner, each worked out once."""

    def __init__(self, samples: Iterable[Sample]) -> None:
        self._samples: Sequence[Sample] = tuple(samples)
        self._known: dict[tuple[str, str], Series] = {}

    def of(self, axis: Axis, figure: Figure) -> Series:
        """The figure along that axis."""
        key = axis.title, figure.title
        if key not in self._known:
            self._known[key] = series(self._samples, axis, figure)
        return self._known[key]

    def predict(self, figure: Figure, size: Size) -> Prediction:
        """An idle planner's figure at that many workers, and what its tasks and starts add to it."""
        idle = self.of(WORKERS, figure).at(size.workers)
        running = self._added(RUNNING, figure, size.running / size.planners)
        starts = self._added(STARTS, figure, size.starts_per_s / size.planners)
        parts = ((WORKERS, idle), (RUNNING, running), (STARTS, starts))
        missing = tuple(axis for axis, value in parts if value is None)
        if idle is None or running is None or starts is None:
            return Prediction(None, missing)
        return Prediction(idle + running + starts)

    def _added(self, axis: Axis, figure: Figure, size: float) -> float | None:
        """What that size adds to the figure without any."""
        if size == 0:
            return 0.0
        along = self.of(axis, figure)
        if along.line is None:
            return None
        if along.shape is Shape.STRAIGHT:
            return along.line.slope * size
        value, least = along.at(size), along.points[0]
        return None if value is None or least.size > 0 else value - least.value

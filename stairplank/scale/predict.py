"""Predicts a planner's figures at any size of a site from the fitted slopes. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .figures import RUNNING, STARTS, WORKERS, Axis, Figure
from .fits import Series, Shape, series
from .results import Sample, Size


@dataclass(frozen=True, slots=True)
class Prediction:
    """A predicted figure; ``value`` is None where a slope that the prediction needs was not measured."""

    value: float | None
    # The axes that have no slope, or whose series is not straight and ends before the size.
    missing: tuple[Axis, ...] = ()


class Slopes:
    """Computes and caches the fitted series of one form of the planner."""

    def __init__(self, samples: Iterable[Sample]) -> None:
        self._samples: Sequence[Sample] = tuple(samples)
        self._series: dict[tuple[str, str], Series] = {}

    def of(self, axis: Axis, figure: Figure) -> Series:
        """Return the series of the figure along the axis."""
        key = axis.title, figure.title
        if key not in self._series:
            self._series[key] = series(self._samples, axis, figure)
        return self._series[key]

    def predict(self, figure: Figure, size: Size) -> Prediction:
        """Predict a planner's figure: that of an idle planner plus the increase by its tasks and starts."""
        idle = self.of(WORKERS, figure).at(size.workers)
        running = self._increase(RUNNING, figure, size.running / size.planners)
        starts = self._increase(STARTS, figure, size.starts_per_s / size.planners)
        parts = ((WORKERS, idle), (RUNNING, running), (STARTS, starts))
        missing = tuple(axis for axis, value in parts if value is None)
        if idle is None or running is None or starts is None:
            return Prediction(None, missing)
        return Prediction(idle + running + starts)

    def _increase(self, axis: Axis, figure: Figure, size: float) -> float | None:
        """Return the increase of the figure from size 0 of the axis to this size; None where not known."""
        if size == 0:
            return 0.0
        axis_series = self.of(axis, figure)
        if axis_series.line is None:
            return None
        if axis_series.shape is Shape.STRAIGHT:
            return axis_series.line.slope * size
        value, least = axis_series.at(size), axis_series.points[0]
        return None if value is None or least.size > 0 else value - least.value

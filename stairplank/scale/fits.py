"""Fits how a figure grows with a size: a constant, a slope and the residuals. No I/O.

A series is a figure at several sizes of one axis, with all other sizes fixed. It gets a line only with at
least ``LEAST_SIZES`` sizes, and counts as straight only if the root mean square residual is at most
``BENT_SHARE`` of the mean figure; otherwise values are interpolated between its points.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from .figures import Axis, Figure
from .results import Sample

LEAST_SIZES = 4
BENT_SHARE = 0.10  # largest root mean square residual of a straight line, as a share of the mean figure
FIXED_SIZE_TOLERANCE = 0.05  # relative difference allowed in the fixed sizes of one series


class Shape(Enum):
    """Whether a figure grows in a straight line along an axis."""

    STRAIGHT = "straight"
    BENT = "not straight"
    NOT_MEASURED = "not measured"


@dataclass(frozen=True, slots=True)
class Point:
    """The mean of a figure over all samples of one size."""

    size: float
    value: float


@dataclass(frozen=True, slots=True)
class Line:
    """A least-squares line; ``rms`` and ``worst`` are residuals as shares of the mean figure."""

    constant: float
    slope: float
    rms: float
    worst: float

    def at(self, size: float) -> float:
        return self.constant + self.slope * size


@dataclass(frozen=True, slots=True)
class Series:
    """A figure at several sizes along an axis. ``line`` is None with fewer than ``LEAST_SIZES`` sizes."""

    axis: Axis
    figure: Figure
    points: tuple[Point, ...]
    line: Line | None

    @property
    def shape(self) -> Shape:
        if self.line is None:
            return Shape.NOT_MEASURED
        return Shape.BENT if self.line.rms > BENT_SHARE else Shape.STRAIGHT

    def at(self, size: float) -> float | None:
        """Returns the figure at a size, or None if it is unknown.

        A straight line gives any size. A series that is not straight is interpolated, and gives None outside
        its points. A series without a line gives None.
        """
        if self.line is None:
            return None
        if self.shape is Shape.STRAIGHT:
            return self.line.at(size)
        return between(self.points, size)


def fit(points: Sequence[Point]) -> Line | None:
    """Returns the least-squares line through the points; None with fewer than ``LEAST_SIZES`` sizes."""
    sizes = [point.size for point in points]
    if len(set(sizes)) < LEAST_SIZES:
        return None
    values = [point.value for point in points]
    slope, constant = statistics.linear_regression(sizes, values)
    mean = statistics.fmean(abs(value) for value in values)
    if mean == 0:
        return Line(0.0, 0.0, 0.0, 0.0)
    residuals = [(p.value - constant - slope * p.size) / mean for p in points]
    rms = math.sqrt(statistics.fmean(r * r for r in residuals))
    return Line(constant, slope, rms, max(abs(r) for r in residuals))


def between(points: Sequence[Point], size: float) -> float | None:
    """Interpolates linearly between points ordered by size. Returns None outside their range."""
    for low, high in zip(points, points[1:], strict=False):
        if low.size <= size <= high.size:
            part = (size - low.size) / (high.size - low.size)
            return low.value + part * (high.value - low.value)
    return None


def series(samples: Iterable[Sample], axis: Axis, figure: Figure) -> Series:
    """Returns the series with the most sizes, and among equals the one at the largest site.

    All samples must be of one form of the planner.
    """
    measured = [s for s in samples if _is_measured(s, axis, figure)]
    chosen: tuple[Point, ...] = ()
    for fixed in sorted({axis.fixed_sizes(sample) for sample in measured}, reverse=True):
        points = _points((s for s in measured if _agree(axis.fixed_sizes(s), fixed)), axis, figure)
        if len(points) > len(chosen):
            chosen = points
    return Series(axis, figure, chosen, fit(chosen))


def _is_measured(sample: Sample, axis: Axis, figure: Figure) -> bool:
    return axis.size(sample) is not None and figure.read(sample) is not None


def _agree(sizes: Sequence[float], others: Sequence[float]) -> bool:
    pairs = zip(sizes, others, strict=True)
    return all(math.isclose(a, b, rel_tol=FIXED_SIZE_TOLERANCE) for a, b in pairs)


def _points(group: Iterable[Sample], axis: Axis, figure: Figure) -> tuple[Point, ...]:
    """Returns one point for each size, in ascending order of size."""
    values: dict[float, list[float]] = {}
    for sample in group:
        size, value = axis.size(sample), figure.read(sample)
        if size is not None and value is not None:
            values.setdefault(size, []).append(value)
    return tuple(Point(size, statistics.fmean(values[size])) for size in sorted(values))

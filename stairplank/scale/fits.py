"""How a figure grows with a size: a constant and a slope, with what the line leaves unexplained. No I/O.

A series is a figure at several sizes of one axis, everything else held. It has a line only from
``LEAST_SIZES`` sizes on, and counts as straight only where the line leaves less than ``BENT_SHARE`` of the
mean figure unexplained; else its points are its shape.
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
BENT_SHARE = 0.10  # of the mean figure: a larger root mean square residual is no straight line
HELD_SHARE = 0.05  # by which what is held may differ between the samples of a series


class Shape(Enum):
    """What is known of the way in which a figure grows."""

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
    """Least squares; the residuals are shares of the mean figure."""

    constant: float
    slope: float
    rms: float
    worst: float

    def at(self, size: float) -> float:
        return self.constant + self.slope * size


@dataclass(frozen=True, slots=True)
class Series:
    """A figure along an axis. ``line`` is None below ``LEAST_SIZES`` sizes."""

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
        """By the line where it is straight, else between the points; None beyond points that are bent."""
        if self.line is None:
            return None
        if self.shape is Shape.STRAIGHT:
            return self.line.at(size)
        return between(self.points, size)


def fit(points: Sequence[Point]) -> Line | None:
    """The line of least squares through the points; None with fewer than ``LEAST_SIZES`` sizes."""
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
    """On the straight piece between the neighbouring points, which are ordered by size; None outside."""
    for low, high in zip(points, points[1:], strict=False):
        if low.size <= size <= high.size:
            part = (size - low.size) / (high.size - low.size)
            return low.value + part * (high.value - low.value)
    return None


def series(samples: Iterable[Sample], axis: Axis, figure: Figure) -> Series:
    """The series with the most sizes, of those the one at the largest site. All samples are of one form."""
    measured = [s for s in samples if _is_measured(s, axis, figure)]
    chosen: tuple[Point, ...] = ()
    for held in sorted({axis.held(sample) for sample in measured}, reverse=True):
        points = _points((s for s in measured if _agree(axis.held(s), held)), axis, figure)
        if len(points) > len(chosen):
            chosen = points
    return Series(axis, figure, chosen, fit(chosen))


def _is_measured(sample: Sample, axis: Axis, figure: Figure) -> bool:
    return axis.size(sample) is not None and figure.read(sample) is not None


def _agree(held: Sequence[float], others: Sequence[float]) -> bool:
    pairs = zip(held, others, strict=True)
    return all(math.isclose(a, b, rel_tol=HELD_SHARE) for a, b in pairs)


def _points(group: Iterable[Sample], axis: Axis, figure: Figure) -> tuple[Point, ...]:
    """One for each size, in order of size."""
    values: dict[float, list[float]] = {}
    for sample in group:
        size, value = axis.size(sample), figure.read(sample)
        if size is not None and value is not None:
            values.setdefault(size, []).append(value)
    return tuple(Point(size, statistics.fmean(values[size])) for size in sorted(values))

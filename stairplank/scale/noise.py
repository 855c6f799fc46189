"""Compares two runs of the same program version; the differences between them are noise. No I/O."""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from dataclasses import dataclass

from .figures import Figure
from .results import Results, Sample, Size


@dataclass(frozen=True, slots=True)
class Pair:
    """The values of a figure in two runs at the same size and load; each is the mean over the repeats."""

    form: str
    load: str
    size: Size
    figure: Figure
    first: float
    second: float

    @property
    def difference(self) -> float:
        """Returns second minus first, divided by their mean; 0 if the mean is 0."""
        mean = (self.first + self.second) / 2
        return (self.second - self.first) / mean if mean else 0.0


@dataclass(frozen=True, slots=True)
class Noise:
    """The median and the largest absolute difference of a figure between two runs."""

    figure: Figure
    pairs: int
    median: float
    worst: float


def pairs(first: Results, second: Results, figures: Iterable[Figure]) -> list[Pair]:
    """Returns a pair for each figure that both runs have, in the order of the first run's samples."""
    found: list[Pair] = []
    selected = tuple(figures)
    first_samples, second_samples = _by_size(first), _by_size(second)
    for key, samples in first_samples.items():
        for figure in selected:
            a, b = mean(samples, figure), mean(second_samples.get(key, []), figure)
            if a is not None and b is not None:
                form, load, size = key
                found.append(Pair(form, load, size, figure, a, b))
    return found


def by_sample(found: Iterable[Pair]) -> list[dict[Figure, Pair]]:
    """Groups pairs by form, load and size. Returns one mapping from figure to pair for each group."""
    groups: dict[tuple[str, str, Size], dict[Figure, Pair]] = {}
    for pair in found:
        groups.setdefault((pair.form, pair.load, pair.size), {})[pair.figure] = pair
    return list(groups.values())


def noise(found: Iterable[Pair]) -> list[Noise]:
    """Returns the noise of each figure, in the order in which the figures first occur."""
    differences: dict[Figure, list[float]] = {}
    for pair in found:
        differences.setdefault(pair.figure, []).append(abs(pair.difference))
    return [
        Noise(figure, len(values), statistics.median(values), max(values))
        for figure, values in differences.items()
    ]


def mean(samples: Iterable[Sample], figure: Figure) -> float | None:
    """Returns the figure's mean over the samples that have it; None if no sample has it."""
    values = [value for value in map(figure.read, samples) if value is not None]
    return statistics.fmean(values) if values else None


def _by_size(results: Results) -> dict[tuple[str, str, Size], list[Sample]]:
    groups: dict[tuple[str, str, Size], list[Sample]] = {}
    for sample in results.samples:
        groups.setdefault((sample.form, sample.load, sample.size), []).append(sample)
    return groups

"""Two runs of one state of the program side by side: what differs between them is noise. No I/O."""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from dataclasses import dataclass

from .figures import Figure
from .results import Results, Sample, Size


@dataclass(frozen=True, slots=True)
class Pair:
    """A figure of the same size and load in two runs; each the mean of its repeats."""

    form: str
    load: str
    size: Size
    figure: Figure
    first: float
    second: float

    @property
    def difference(self) -> float:
        """Of the second run from the first, over the mean of both; 0 where both are 0."""
        mean = (self.first + self.second) / 2
        return (self.second - self.first) / mean if mean else 0.0


@dataclass(frozen=True, slots=True)
class Noise:
    """How far a figure differs between two runs: the median and the largest difference, without signs."""

    figure: Figure
    pairs: int
    median: float
    worst: float


def pairs(first: Results, second: Results, figures: Iterable[Figure]) -> list[Pair]:
    """The figures that both runs have, in the order of the first run's samples."""
    found: list[Pair] = []
    chosen = tuple(figures)
    ours, theirs = _by_size(first), _by_size(second)
    for key, samples in ours.items():
        for figure in chosen:
            a, b = mean(samples, figure), mean(theirs.get(key, []), figure)
            if a is not None and b is not None:
                form, load, size = key
                found.append(Pair(form, load, size, figure, a, b))
    return found


def by_sample(found: Iterable[Pair]) -> list[dict[Figure, Pair]]:
    """The pairs of each form, load and size together, by figure."""
    groups: dict[tuple[str, str, Size], dict[Figure, Pair]] = {}
    for pair in found:
        groups.setdefault((pair.form, pair.load, pair.size), {})[pair.figure] = pair
    return list(groups.values())


def noise(found: Iterable[Pair]) -> list[Noise]:
    """By figure, in the order in which figures come."""
    differences: dict[Figure, list[float]] = {}
    for pair in found:
        differences.setdefault(pair.figure, []).append(abs(pair.difference))
    return [
        Noise(figure, len(values), statistics.median(values), max(values))
        for figure, values in differences.items()
    ]


def mean(samples: Iterable[Sample], figure: Figure) -> float | None:
    """The figure's mean over samples that have it; None where none has."""
    values = [value for value in map(figure.read, samples) if value is not None]
    return statistics.fmean(values) if values else None


def _by_size(results: Results) -> dict[tuple[str, str, Size], list[Sample]]:
    groups: dict[tuple[str, str, Size], list[Sample]] = {}
    for sample in results.samples:
        groups.setdefault((sample.form, sample.load, sample.size), []).append(sample)
    return groups

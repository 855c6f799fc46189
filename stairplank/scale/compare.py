"""Two scale runs side by side, figure by figure: noise is known so before a gain is claimed.

Samples of the same form, load and size are compared, each the mean of its repeats.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from statistics import fmean

from .report import COLUMNS, SIZE_HEADS, Read, aligned, figure, size_cells
from .results import Results, Sample

Key = tuple[str, ...]


def compare(first: Results, second: Results) -> str:
    """One line for each figure that both have, then which samples only one run has."""
    ours, theirs = _by_key(first.samples), _by_key(second.samples)
    rows: list[Sequence[str]] = [(*SIZE_HEADS, "figure", first.label, second.label, "difference")]
    for key in ours:
        rows += _figures(key, ours[key], theirs.get(key, []))
    text = aligned(rows) if len(rows) > 1 else "no sample is in both runs\n"
    only = [*_only("first", ours, theirs), *_only("second", theirs, ours)]
    return text + "".join(only) + _partial(first, second)


def _by_key(samples: Iterable[Sample]) -> dict[Key, list[Sample]]:
    groups: dict[Key, list[Sample]] = {}
    for sample in samples:
        groups.setdefault(size_cells(sample), []).append(sample)
    return groups


def _figures(key: Key, ours: list[Sample], theirs: list[Sample]) -> list[Sequence[str]]:
    rows: list[Sequence[str]] = []
    for head, form, read in COLUMNS:
        a, b = _mean(ours, read), _mean(theirs, read)
        if a is not None and b is not None:
            rows.append((*key, head, figure(a, form), figure(b, form), difference(a, b)))
    return rows


def _mean(samples: list[Sample], read: Read) -> float | None:
    values = [value for sample in samples if (value := read(sample)) is not None]
    return fmean(values) if values else None


def difference(first: float, second: float) -> str:
    """Of the second from the first, over the first."""
    if first == second:
        return "0.0%"
    return f"{(second - first) / first:+.1%}" if first else "new"


def _only(which: str, ours: dict[Key, list[Sample]], theirs: dict[Key, list[Sample]]) -> list[str]:
    return [f"only in the {which} run: {' '.join(key)}\n" for key in ours if key not in theirs]


def _partial(first: Results, second: Results) -> str:
    partial = [run.label for run in (first, second) if run.partial]
    return "".join(f"partial: {label}\n" for label in partial)

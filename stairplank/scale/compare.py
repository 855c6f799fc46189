"""Two scale runs side by side, figure by figure: noise is known so before a gain is claimed."""

from __future__ import annotations

from collections.abc import Sequence

from . import figures as fig
from .noise import Pair, noise, pairs
from .report import SIZE_HEADS, aligned, size_cells
from .results import Results

FIGURES = (*fig.PLANNER_FIGURES, *fig.PEER_FIGURES, *fig.EVENT_FIGURES)


def compare(first: Results, second: Results) -> str:
    """One line for each figure that both have, how far figures differ, and what only one run has."""
    found = pairs(first, second, FIGURES)
    if not found:
        return "no sample is in both runs\n" + _limits(first, second)
    heads = (*SIZE_HEADS, "figure", "first", "second", "difference")
    return aligned([heads, *map(_cells, found)]) + "\n" + _summary(found) + _limits(first, second)


def _cells(pair: Pair) -> Sequence[str]:
    numbers = (f"{pair.first:.4g}", f"{pair.second:.4g}", f"{pair.difference:+.1%}")
    return (*size_cells(pair.form, pair.load, pair.size), pair.figure.title, *numbers)


def _summary(found: list[Pair]) -> str:
    rows = [
        (one.figure.title, str(one.pairs), f"{one.median:.1%}", f"{one.worst:.1%}") for one in noise(found)
    ]
    return aligned([("figure", "pairs", "median difference", "largest"), *rows])


def _limits(first: Results, second: Results) -> str:
    """Samples of one run alone, and runs that are partial."""
    ours, theirs = _samples(first), _samples(second)
    lines = [f"only in the first run: {key}" for key in ours if key not in theirs]
    lines += [f"only in the second run: {key}" for key in theirs if key not in ours]
    lines += [f"partial: {run.label}" for run in (first, second) if run.partial]
    return "".join(f"{line}\n" for line in lines)


def _samples(run: Results) -> dict[str, None]:
    return {" ".join(size_cells(sample.form, sample.load, sample.size)): None for sample in run.samples}

"""Compares two scale runs figure by figure, so that noise between runs is known before a gain is claimed."""

from __future__ import annotations

from collections.abc import Sequence

from . import figures as fig
from .noise import Pair, noise, pairs
from .report import SIZE_HEADS, aligned, size_cells
from .results import Results

FIGURES = (*fig.PLANNER_FIGURES, *fig.PEER_FIGURES, *fig.EVENT_FIGURES)


def compare(first: Results, second: Results) -> str:
    """Returns a line per figure in both runs, a summary of differences, and the samples in only one run."""
    found = pairs(first, second, FIGURES)
    if not found:
        return "no sample is in both runs\n" + _other_lines(first, second)
    heads = (*SIZE_HEADS, "figure", "first", "second", "difference")
    return aligned([heads, *map(_cells, found)]) + "\n" + _summary(found) + _other_lines(first, second)


def _cells(pair: Pair) -> Sequence[str]:
    numbers = (f"{pair.first:.4g}", f"{pair.second:.4g}", f"{pair.difference:+.1%}")
    return (*size_cells(pair.form, pair.load, pair.size), pair.figure.title, *numbers)


def _summary(found: list[Pair]) -> str:
    rows = [
        (one.figure.title, str(one.pairs), f"{one.median:.1%}", f"{one.worst:.1%}") for one in noise(found)
    ]
    return aligned([("figure", "pairs", "median difference", "largest"), *rows])


def _other_lines(first: Results, second: Results) -> str:
    """Returns lines that name the samples in only one run and the runs that are partial."""
    in_first, in_second = _samples(first), _samples(second)
    lines = [f"only in the first run: {key}" for key in in_first if key not in in_second]
    lines += [f"only in the second run: {key}" for key in in_second if key not in in_first]
    lines += [f"partial: {run.label}" for run in (first, second) if run.partial]
    return "".join(f"{line}\n" for line in lines)


def _samples(run: Results) -> dict[str, None]:
    return {" ".join(size_cells(sample.form, sample.load, sample.size)): None for sample in run.samples}

"""Formats the results of a scale run as a text table and a chart."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from . import figures as fig
from .figures import Figure, Unit
from .results import Results, Sample, Size

PERCENT = 100


@dataclass(frozen=True, slots=True)
class Column:
    """A column of the text table: a figure, its short heading and its number format."""

    head: str
    figure: Figure
    form: str

    def cell(self, value: float | None) -> str:
        return NOT_MEASURED if value is None else self.form.format(value)


COLUMNS = (
    Column("cpu", fig.CPU, "{:.2%}"),
    Column("MB", fig.MEMORY, "{:.1f}"),
    Column("control B/s", fig.CONTROL_BYTES, "{:.0f}"),
    Column("with headers", fig.CONTROL_BYTES_WITH_HEADERS, "{:.0f}"),
    Column("all B/s", fig.ALL_BYTES, "{:.0f}"),
    Column("messages/s", fig.ALL_MESSAGES, "{:.1f}"),
    Column("dials/s", fig.DIALS, "{:.1f}"),
    Column("connections", fig.CONNECTIONS, "{:.1f}"),
    Column("task machines", fig.TASK_MACHINES, "{:.1f}"),
    Column("list cpu", fig.LIST_CPU, "{:.2%}"),
    Column("known s", fig.KNOWN, "{:.2f}"),
    Column("ready s", fig.READY, "{:.2f}"),
    Column("caught up s", fig.CAUGHT_UP, "{:.2f}"),
    Column("in force s", fig.IN_FORCE, "{:.3f}"),
)
SIZE_HEADS = ("form", "load", "workers", "planners", "starts/s", "running")
NOT_MEASURED = "-"
CHARTED = (fig.CPU, fig.MEMORY, fig.CONTROL_BYTES, fig.DIALS)
AXES: tuple[tuple[str, Callable[[Sample], float]], ...] = (
    ("workers", lambda s: s.size.workers),
    ("planners", lambda s: s.size.planners),
    ("running", lambda s: s.size.running),
    ("starts/s", lambda s: s.size.starts_per_s),
)


def size_cells(form: str, load: str, size: Size) -> tuple[str, ...]:
    counts = (str(size.workers), str(size.planners), f"{size.starts_per_s:g}", str(size.running))
    return (form, load, *counts)


def aligned(rows: Sequence[Sequence[str]]) -> str:
    """Format rows of cells as right-aligned columns; the first row holds the headings."""
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines = ["  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)) for row in rows]
    return "\n".join(lines) + "\n"


def table(results: Results) -> str:
    """Format one line for each sample, followed by the notes of the samples."""
    rows: list[Sequence[str]] = [(*SIZE_HEADS, *(column.head for column in COLUMNS))]
    for sample in results.samples:
        cells = (column.cell(column.figure.read(sample)) for column in COLUMNS)
        rows.append((*size_cells(sample.form, sample.load, sample.size), *cells))
    state = "partial" if results.partial else "whole"
    head = f"{results.label}: {len(results.samples)} samples in {results.seconds:.0f} s, {state}\n"
    notes = dict.fromkeys(f"{sample.load}: {sample.note}" for sample in results.samples if sample.note)
    return head + aligned(rows) + "".join(f"{note}\n" for note in notes)


def chart(results: Results, path: Path) -> None:
    """Draw the figures of a planner against each size; a line joins samples that agree in all other sizes."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    grid = pyplot.subplots(
        len(CHARTED),
        len(AXES),
        figsize=(4.2 * len(AXES), 3 * len(CHARTED)),
        layout="constrained",
        squeeze=False,
    )
    chart_figure, panels = grid
    for row, figure in enumerate(CHARTED):
        for column, (axis_name, size_of) in enumerate(AXES):
            panel = panels[row][column]
            for label, points in _lines(results.samples, axis_name, size_of, figure):
                panel.plot(*zip(*points, strict=True), marker="o", label=label)
            panel.set(xlabel=axis_name, ylabel=f"{figure.title}, {figure.unit.value}" if column == 0 else "")
            panel.set_ylim(bottom=0)
            if panel.lines:
                panel.legend(fontsize="xx-small")
    chart_figure.savefig(path, dpi=100)
    pyplot.close(chart_figure)


def _lines(
    samples: Sequence[Sample], axis_name: str, size_of: Callable[[Sample], float], figure: Figure
) -> list[tuple[str, list[tuple[float, float]]]]:
    """Return the lines of a panel: each has a label with its constant sizes, and at least two points.

    Samples of events are left out.
    """
    groups: dict[str, list[tuple[float, float]]] = {}
    for sample in filter(fig.is_plain, samples):
        value = figure.read(sample)
        if value is None:
            continue
        if figure.unit is Unit.SHARE:
            value *= PERCENT
        others = (f"{size(sample):g} {name}" for name, size in AXES if name != axis_name)
        label = f"{sample.form}, {', '.join(others)}"
        groups.setdefault(label, []).append((size_of(sample), value))
    series = [(label, sorted(points)) for label, points in groups.items()]
    return [(label, points) for label, points in series if len({size for size, _ in points}) > 1]

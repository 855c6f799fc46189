"""The results of a scale run as a text table and a chart."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path

from .results import Results, Sample

Read = Callable[[Sample], float | None]
COLUMNS: tuple[tuple[str, str, Read], ...] = (
    ("cpu %", "{:.2f}", lambda s: None if s.planner.cpu_share is None else 100 * s.planner.cpu_share),
    ("MB", "{:.1f}", lambda s: s.planner.memory_mb),
    ("control B/s", "{:.0f}", lambda s: s.planner.control_bytes_per_s),
    ("with headers", "{:.0f}", lambda s: s.planner.control_bytes_with_headers_per_s),
    ("all B/s", "{:.0f}", lambda s: s.planner.bytes_per_s),
    ("messages/s", "{:.1f}", lambda s: s.planner.messages_per_s),
    ("dials/s", "{:.1f}", lambda s: s.planner.dials_per_s),
    ("connections", "{:.1f}", lambda s: s.planner.connections),
    ("task machines", "{:.1f}", lambda s: s.planner.task_machines),
    (
        "list cpu %",
        "{:.2f}",
        lambda s: None if s.peers.list_cpu_share is None else 100 * s.peers.list_cpu_share,
    ),
    ("known s", "{:.2f}", lambda s: s.event.known_s),
    ("ready s", "{:.2f}", lambda s: s.event.ready_s),
    ("caught up s", "{:.2f}", lambda s: s.event.caught_up_s),
    ("in force s", "{:.3f}", lambda s: s.event.in_force_s),
)
SIZE_HEADS = ("form", "load", "workers", "planners", "starts/s", "running")
NOT_MEASURED = "-"
CHARTED: tuple[tuple[str, Read], ...] = (
    ("processor time of a planner, % of a core", COLUMNS[0][2]),
    ("resident memory of a planner, MB", COLUMNS[1][2]),
    ("control bytes of a planner, B/s", COLUMNS[2][2]),
    ("dials of a planner, 1/s", COLUMNS[6][2]),
)
AXES: tuple[tuple[str, Callable[[Sample], float]], ...] = (
    ("workers", lambda s: s.size.workers),
    ("planners", lambda s: s.size.planners),
    ("running", lambda s: s.size.running),
    ("starts/s", lambda s: s.size.starts_per_s),
)


def size_cells(sample: Sample) -> tuple[str, ...]:
    size = sample.size
    counts = (str(size.workers), str(size.planners), f"{size.starts_per_s:g}", str(size.running))
    return (sample.form, sample.load, *counts)


def figure(value: float | None, form: str) -> str:
    return NOT_MEASURED if value is None else form.format(value)


def aligned(rows: Sequence[Sequence[str]]) -> str:
    """Rows of cells as columns, the first row as their heads."""
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines = ["  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)) for row in rows]
    return "\n".join(lines) + "\n"


def table(results: Results) -> str:
    """One line for each sample, then the limits of samples."""
    rows: list[Sequence[str]] = [(*SIZE_HEADS, *(head for head, _, _ in COLUMNS))]
    for sample in results.samples:
        cells = (figure(read(sample), form) for _, form, read in COLUMNS)
        rows.append((*size_cells(sample), *cells))
    state = "partial" if results.partial else "whole"
    head = f"{results.label}: {len(results.samples)} samples in {results.seconds:.0f} s, {state}\n"
    notes = dict.fromkeys(f"{sample.load}: {sample.note}" for sample in results.samples if sample.note)
    return head + aligned(rows) + "".join(f"{note}\n" for note in notes)


def chart(results: Results, path: Path) -> None:
    """The figures of a planner against each size; samples that agree in all other sizes are joined."""
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
    drawing, panels = grid
    for row, (title, read) in enumerate(CHARTED):
        for column, (axis_name, size_of) in enumerate(AXES):
            panel = panels[row][column]
            for label, points in _lines(results.samples, axis_name, size_of, read):
                panel.plot(*zip(*points, strict=True), marker="o", label=label)
            panel.set(xlabel=axis_name, ylabel=title if column == 0 else "")
            panel.set_ylim(bottom=0)
            if panel.lines:
                panel.legend(fontsize="xx-small")
    drawing.savefig(path, dpi=100)
    pyplot.close(drawing)


def _lines(
    samples: Sequence[Sample], axis_name: str, size_of: Callable[[Sample], float], read: Read
) -> list[tuple[str, list[tuple[float, float]]]]:
    """Series of two points or more along an axis, each with what it holds."""
    groups: dict[str, list[tuple[float, float]]] = {}
    for sample in samples:
        value = read(sample)
        if value is None:
            continue
        others = (f"{size(sample):g} {name}" for name, size in AXES if name != axis_name)
        label = f"{sample.form}, {', '.join(others)}"
        groups.setdefault(label, []).append((size_of(sample), value))
    series = [(label, sorted(points)) for label, points in groups.items()]
    return [(label, points) for label, points in series if len({size for size, _ in points}) > 1]

"""Tables of the fitted slopes, and of the points of series that are not straight lines. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

from . import figures as fig
from .figures import AXES
from .fits import LEAST_SIZES, Series, Shape
from .markdown import NOT_MEASURED, amount, number, share, table
from .predict import Slopes

PLANNER_COST = (fig.CPU, fig.MEMORY, fig.CONTROL_BYTES, fig.CONTROL_MESSAGES, fig.CONNECTIONS, fig.DIALS)
FIGURES_OF_AXIS = {
    fig.WORKERS.title: PLANNER_COST,
    fig.WHOLE_SITE.title: (*PLANNER_COST, fig.ALL_BYTES),
    fig.TASK_WORKERS.title: (fig.CPU, fig.CONTROL_BYTES, fig.CONTROL_MESSAGES, fig.CONNECTIONS, fig.DIALS),
    fig.RUNNING.title: (*PLANNER_COST, fig.TASK_MACHINES),
    fig.STARTS.title: (*PLANNER_COST, fig.ALL_BYTES, fig.ALL_MESSAGES),
    fig.PLANNERS.title: (fig.CPU, fig.MEMORY, fig.CONTROL_BYTES, *fig.PEER_FIGURES),
    fig.LIST_CHANGES.title: (fig.CPU, fig.CONTROL_BYTES),
    fig.RESTARTS.title: (fig.CPU, fig.CONTROL_BYTES),
}


def slopes_table(slopes: Slopes) -> str:
    """Return a table of the constant, slope and residuals of every figure along every axis."""
    heads = ("by", "figure", "sizes", "constant", "slope, for each", "residual", "worst", "shape")
    return table(heads, (_slope_cells(series) for series in _all_series(slopes)))


def shapes_table(slopes: Slopes) -> str:
    """Return a table of the points of the series that are not straight."""
    heads = ("by", "figure", "points, size: value")
    bent = (series for series in _all_series(slopes) if series.shape is Shape.BENT)
    return table(heads, ((s.axis.title, s.figure.title, _points(s)) for s in bent))


def _all_series(slopes: Slopes) -> Iterator[Series]:
    for axis in AXES:
        for figure in FIGURES_OF_AXIS[axis.title]:
            yield slopes.of(axis, figure)


def _slope_cells(series: Series) -> tuple[str, ...]:
    head = series.axis.title, series.figure.title, _sizes(series)
    line = series.line
    if line is None:
        wanted = f"{NOT_MEASURED}: {len(series.points)} of {LEAST_SIZES} sizes; {series.axis.wanted}"
        return (*head, "", "", "", "", wanted)
    unit = series.figure.unit
    fitted = amount(line.constant, unit), amount(line.slope, unit)
    return (*head, *fitted, share(line.rms), share(line.worst), series.shape.value)


def _sizes(series: Series) -> str:
    return ", ".join(number(point.size) for point in series.points)


def _points(series: Series) -> str:
    return "; ".join(f"{number(p.size)}: {amount(p.value, series.figure.unit)}" for p in series.points)

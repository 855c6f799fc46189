"""Formats the cells of the capacity page's tables. No I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from .days import DayEvent, Source, Time
from .figures import CONTROL_BYTES, CPU, MEMORY, Figure, Unit
from .markdown import NOT_MEASURED, amount, factor, number, share
from .noise import Pair
from .planner_counts import Cost
from .predict import Prediction
from .roles import RoleCost
from .target_site import Site
from .verdicts import Row, Verdict

NO_EVENT = "with so many restarts spread over time"
COMPARED = (CPU, MEMORY, CONTROL_BYTES)  # figures of each sample that are compared between two runs


def capacity_cells(rows: Sequence[Row]) -> list[list[str]]:
    """Returns the cells of each row; rows that differ only in the form of the planner are merged into one."""
    forms: dict[tuple[str, ...], list[str]] = {}
    for row in rows:
        forms.setdefault(_cells_of_row(row), []).append(row.form.value)
    return [[cells[0], ", ".join(names), *cells[1:]] for cells, names in forms.items()]


def _cells_of_row(row: Row) -> tuple[str, ...]:
    """Returns the cells of one row without the form of the planner."""
    carried = str(row.mechanism) if row.mechanism else row.gap
    measured = "" if row.mechanism is None else amount(row.measured, row.unit)
    if row.computed and row.measured is not None:
        measured += ", computed"
    bound = f"{row.sense.value} {amount(row.allowance, row.unit)}"
    figure = row.line.value, row.figure
    return (*figure, measured, bound, factor(row.ratio), carried, verdict_cell(row))


def verdict_cell(row: Row) -> str:
    """Returns the verdict with its factor, or with the samples that would measure the figure."""
    if row.verdict is Verdict.SHORT:
        return f"short by a factor of {factor(row.ratio)}"
    if row.verdict is Verdict.NOT_MEASURED:
        return f"{NOT_MEASURED}: {row.wanted}"
    return f"{row.verdict.value}, by less than a tenth" if row.is_close else row.verdict.value


def cost_cells(cost: Cost) -> tuple[str, str]:
    """Returns the measured cost and the cost predicted from the slopes."""
    unit = cost.figure.unit
    return amount(cost.measured, unit), predicted_cell(cost.predicted, unit)


def predicted_cell(prediction: Prediction, unit: Unit) -> str:
    """Returns a figure predicted from the slopes, or names the slopes that are missing."""
    if prediction.value is not None:
        return amount(prediction.value, unit)
    missing = ", ".join(axis.title for axis in prediction.missing)
    return f"{NOT_MEASURED}: no slope by {missing}"


def fewest_cell(planners: int | None) -> str:
    """Returns the lowest sufficient number of planners, or a text if no examined number suffices."""
    return "no number looked at" if planners is None else f"{planners} planners"


def role_cells(cost: RoleCost) -> tuple[str, ...]:
    """Returns the cells of one role's costs."""
    return (
        cost.role,
        cost.state,
        amount(cost.messages_per_s, Unit.PER_S),
        amount(cost.bytes_per_s, Unit.BYTES_PER_S),
        amount(cost.cpu_share, Unit.SHARE),
        amount(cost.memory_mb, Unit.MEGABYTES),
        cost.wanted,
    )


def event_cells(site: Site, event: DayEvent) -> tuple[str, ...]:
    """Returns the cells of one event of a day, for one form of the planner."""
    unknown = f"{NOT_MEASURED}: the target names no size"
    tasks = unknown if event.tasks is None else computed_cell(event.tasks)
    sent = unknown if event.tasks is None else messages_cell(event.messages)
    times = (time_cell(time, event.load) for time in (event.known, event.ready, event.caught_up))
    return (event.title, site.form.value, tasks, added_starts_cell(event), sent, *times)


def messages_cell(prediction: Prediction) -> str:
    """Returns the number of messages predicted from the slopes, or names the slopes that are missing."""
    text = predicted_cell(prediction, Unit.COUNT)
    return text if prediction.value is None else f"{text}, computed"


def added_starts_cell(event: DayEvent) -> str:
    """Returns the starts per second that an event adds; "at once" unless the event is spread over time."""
    if event.tasks is None or not event.over_s:
        return "at once"
    return computed_cell(event.tasks / event.over_s)


def computed_cell(value: float) -> str:
    """Returns a number marked as computed, not measured."""
    return f"{number(value)}, computed"


def time_cell(time: Time, load: str) -> str:
    """Returns a time after an event, marked with its source."""
    match time.source:
        case Source.NO_SUCH:
            return ""
        case Source.NOT_SEEN:
            return "not seen while it was watched"
        case Source.NOT_MEASURED:
            return f"{NOT_MEASURED}: event {load or NO_EVENT}"
    text = amount(time.seconds, Unit.SECONDS)
    return f"at least {text}, computed" if time.source is Source.COMPUTED else text


def pair_cells(of_sample: Mapping[Figure, Pair]) -> list[str]:
    """Returns the cells of one sample that is in both runs, figure by figure."""
    first = next(iter(of_sample.values()))
    size = first.size
    cells = [first.form, first.load, str(size.workers), str(size.planners)]
    cells += [number(size.starts_per_s), number(size.running)]
    for figure in COMPARED:
        cells += compared_cells(of_sample.get(figure))
    return cells


def compared_cells(pair: Pair | None) -> tuple[str, str, str]:
    """Returns a figure of both runs and the difference between the two values."""
    if pair is None:
        return NOT_MEASURED, NOT_MEASURED, ""
    unit = pair.figure.unit
    return amount(pair.first, unit), amount(pair.second, unit), share(pair.difference)


def yes_or_no(value: bool) -> str:
    """Formats a boolean as yes or no."""
    return "yes" if value else "no"

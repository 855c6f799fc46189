"""The cells of the rows of the capacity page's tables. No I/O."""

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
COMPARED = (CPU, MEMORY, CONTROL_BYTES)  # of each sample, between two runs


def capacity_cells(rows: Sequence[Row]) -> list[list[str]]:
    """The cells of rows; those that differ in nothing but the form of the planner are one."""
    forms: dict[tuple[str, ...], list[str]] = {}
    for row in rows:
        forms.setdefault(_cells_of_row(row), []).append(row.form.value)
    return [[cells[0], ", ".join(names), *cells[1:]] for cells, names in forms.items()]


def _cells_of_row(row: Row) -> tuple[str, ...]:
    """All but the form of the planner."""
    carried = str(row.mechanism) if row.mechanism else row.gap
    measured = "" if row.mechanism is None else amount(row.measured, row.unit)
    if row.computed and row.measured is not None:
        measured += ", computed"
    bound = f"{row.sense.value} {amount(row.allowance, row.unit)}"
    figure = row.line.value, row.figure
    return (*figure, measured, bound, factor(row.ratio), carried, verdict_cell(row))


def verdict_cell(row: Row) -> str:
    """The verdict, with its factor, or with what would measure the figure."""
    if row.verdict is Verdict.SHORT:
        return f"short by a factor of {factor(row.ratio)}"
    if row.verdict is Verdict.NOT_MEASURED:
        return f"{NOT_MEASURED}: {row.wanted}"
    return f"{row.verdict.value}, by less than a tenth" if row.is_close else row.verdict.value


def cost_cells(cost: Cost) -> tuple[str, str]:
    """A cost as it was measured, and by the slopes."""
    unit = cost.figure.unit
    return amount(cost.measured, unit), predicted_cell(cost.predicted, unit)


def predicted_cell(prediction: Prediction, unit: Unit) -> str:
    """A figure by the slopes, or which slopes it lacks."""
    if prediction.value is not None:
        return amount(prediction.value, unit)
    missing = ", ".join(axis.title for axis in prediction.missing)
    return f"{NOT_MEASURED}: no slope by {missing}"


def fewest_cell(planners: int | None) -> str:
    """A number of planners, or that none that was looked at does."""
    return "no number looked at" if planners is None else f"{planners} planners"


def role_cells(cost: RoleCost) -> tuple[str, ...]:
    """The figures of a role."""
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
    """An event of a day at one form of the planner."""
    unknown = f"{NOT_MEASURED}: the target names no size"
    tasks = unknown if event.tasks is None else computed_cell(event.tasks)
    sent = unknown if event.tasks is None else messages_cell(event.messages)
    times = (time_cell(time, event.load) for time in (event.known, event.ready, event.caught_up))
    return (event.title, site.form.value, tasks, added_starts_cell(event), sent, *times)


def messages_cell(prediction: Prediction) -> str:
    """Messages by the slopes, or which slopes they lack."""
    text = predicted_cell(prediction, Unit.COUNT)
    return text if prediction.value is None else f"{text}, computed"


def added_starts_cell(event: DayEvent) -> str:
    """The starts a second that an event adds, where it is spread over time."""
    if event.tasks is None or not event.over_s:
        return "at once"
    return computed_cell(event.tasks / event.over_s)


def computed_cell(value: float) -> str:
    """A number that was worked out."""
    return f"{number(value)}, computed"


def time_cell(time: Time, load: str) -> str:
    """A time after an event, and where it comes from."""
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
    """A sample of two runs, figure by figure."""
    first = next(iter(of_sample.values()))
    size = first.size
    cells = [first.form, first.load, str(size.workers), str(size.planners)]
    cells += [number(size.starts_per_s), number(size.running)]
    for figure in COMPARED:
        cells += compared_cells(of_sample.get(figure))
    return cells


def compared_cells(pair: Pair | None) -> tuple[str, str, str]:
    """A figure of two runs, and their difference."""
    if pair is None:
        return NOT_MEASURED, NOT_MEASURED, ""
    unit = pair.figure.unit
    return amount(pair.first, unit), amount(pair.second, unit), share(pair.difference)


def yes_or_no(value: bool) -> str:
    """A truth as a word."""
    return "yes" if value else "no"

"""The tables of docs/CAPACITY.md, by name, from the results of one or two runs of the same state. No I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from .capacity import by_need, capacity
from .days import DayEvent, Source, Time, day_events
from .figures import CONTROL_BYTES, CPU, MEMORY, PLANNER_FIGURES, Figure, Unit
from .markdown import NOT_MEASURED, amount, factor, number, share, table
from .noise import Pair, by_sample, noise, pairs
from .planner_counts import Cost, PlannerCount, best_measured, counts_to_show, fewest_within
from .predict import Prediction, Slopes
from .results import Results
from .roles import RoleCost, role_costs
from .slope_tables import shapes_table, slopes_table
from .target import Target, TargetLine, described
from .target_site import Site
from .verdicts import Form, Row, Verdict

NO_EVENT = "with so many restarts spread over time"
COMPARED = (CPU, MEMORY, CONTROL_BYTES)  # of each sample, between two runs


class CapacityTables:
    """``runs``: the results of one state of the program, the first run first."""

    def __init__(self, target: Target, runs: Sequence[Results]) -> None:
        self.target = target
        self.runs = runs
        self.sites = [Site(target, runs, form) for form in Form]
        self.slopes = {site.form: Slopes(site.samples) for site in self.sites}

    def all(self) -> dict[str, str]:
        """Each table of the page by its name."""
        found = {
            "target": self._target(),
            "runs": self._runs(),
            "capacity": self._capacity(),
            "missing": self._missing(),
            "roles": self._roles(),
            "days": self._days(),
            "noise": self._noise(),
            "two-runs": self._two_runs(),
            "limits": self._limits(),
        }
        for site in self.sites:
            slopes, form = self.slopes[site.form], site.form.value
            found[f"slopes-{form}"] = slopes_table(slopes)
            found[f"shapes-{form}"] = shapes_table(slopes)
            found[f"planners-{form}"] = self._planners(site)
        return found

    def rows(self) -> list[Row]:
        """The rows of the capacity table, of both forms, in the order of the target's lines."""
        found = [row for site in self.sites for row in capacity(site, self.slopes[site.form])]
        order = list(TargetLine)
        return sorted(found, key=lambda row: order.index(row.line))

    def _target(self) -> str:
        asked = described(self.target)
        return table(("line", "what is asked"), ((line.value, asked[line]) for line in TargetLine))

    def _runs(self) -> str:
        heads = ("run", "state of the program", "machine", "samples", "seconds", "whole")
        rows = (
            (str(i), r.label, r.machine, str(len(r.samples)), number(r.seconds), _yes(not r.partial))
            for i, r in enumerate(self.runs, 1)
        )
        return table(heads, rows)

    def _capacity(self) -> str:
        heads = ("line", "form", "figure", "measured", "allowance", "ratio", "carried by", "verdict")
        return table(heads, _merged(self.rows()))

    def _missing(self) -> str:
        heads = ("rank", "figure", "form", "verdict", "line")
        ranked: dict[tuple[str, str, str], list[str]] = {}
        for row in by_need(self.rows()):
            ranked.setdefault((row.figure, _verdict(row), row.line.value), []).append(row.form.value)
        rows = (
            (str(rank), figure, ", ".join(forms), verdict, line)
            for rank, ((figure, verdict, line), forms) in enumerate(ranked.items(), 1)
        )
        return table(heads, rows)

    def _planners(self, site: Site) -> str:
        slopes = self.slopes[site.form]
        counts = counts_to_show(site, slopes)
        heads = ["starts/s", "planners", "a machine", "tasks each"]
        for cost in counts[0].costs:
            heads += [cost.figure.title.removesuffix(" of a planner"), "by the slopes"]
        body = table([*heads, "largest over its allowance"], map(self._planner_cells, counts))
        peak = self.target.starts_per_s
        standing, at_peak = (_fewest(fewest_within(site, slopes, rate)) for rate in (0.0, peak))
        return (
            f"{body}\nFewest within all three allowances: {standing} without starts, {at_peak} at the peak.\n"
        )

    def _planner_cells(self, count: PlannerCount) -> list[str]:
        target, planners = self.target, count.planners
        cells = [number(count.starts_per_s), str(planners), number(planners / target.planner_machines)]
        cells.append(number(target.running / planners))
        for cost in count.costs:
            cells += _cost_cells(cost)
        return [*cells, factor(count.ratio) or NOT_MEASURED]

    def _roles(self) -> str:
        heads = ("form", "planners", "role", "state held", "messages", "bytes", "processor time", "memory")
        rows: list[tuple[str, ...]] = []
        for site in self.sites:
            planners = self._planners_of(site)
            size = site.size(planners, self.target.starts_per_s)
            for cost in role_costs(site, size):
                rows.append((site.form.value, str(planners), *_role_cells(cost)))
        return table((*heads, "what would measure the rest"), rows)

    def _planners_of(self, site: Site) -> int:
        """The number that suits best of those measured; without any, one a machine."""
        best = best_measured(site, self.slopes[site.form])
        return best.planners if best else self.target.planner_machines

    def _days(self) -> str:
        heads = ("event", "form", "tasks to start anew", "starts/s that adds", "messages of a planner")
        rows: list[tuple[str, ...]] = []
        for site in self.sites:
            events = day_events(site, self.slopes[site.form], self._planners_of(site))
            rows += [_event_cells(site, event) for event in events]
        return table((*heads, "known", "ready", "caught up"), rows)

    def _noise(self) -> str:
        heads = ("figure", "pairs of samples", "median difference", "largest")
        return table(
            heads,
            ((n.figure.title, str(n.pairs), share(n.median), share(n.worst)) for n in noise(self._pairs())),
        )

    def _two_runs(self) -> str:
        heads = ["form", "load", "workers", "planners", "starts/s", "running"]
        for figure in COMPARED:
            heads += [f"{figure.title.removesuffix(' of a planner')}, run 1", "run 2", "difference"]
        return table(heads, map(_pair_cells, by_sample(self._pairs(COMPARED))))

    def _pairs(self, figures: Sequence[Figure] = PLANNER_FIGURES) -> list[Pair]:
        return pairs(self.runs[0], self.runs[1], figures) if len(self.runs) > 1 else []

    def _limits(self) -> str:
        notes = {(s.form, s.load, s.note): None for run in self.runs for s in run.samples if s.note}
        return table(("form", "load", "limit of the sample"), notes)


def _merged(rows: Sequence[Row]) -> list[list[str]]:
    """The cells of rows; those that differ in nothing but the form of the planner are one."""
    forms: dict[tuple[str, ...], list[str]] = {}
    for row in rows:
        forms.setdefault(_capacity_cells(row), []).append(row.form.value)
    return [[cells[0], ", ".join(names), *cells[1:]] for cells, names in forms.items()]


def _capacity_cells(row: Row) -> tuple[str, ...]:
    """All but the form of the planner."""
    carried = str(row.mechanism) if row.mechanism else row.gap
    measured = "" if row.mechanism is None else amount(row.measured, row.unit)
    if row.computed and row.measured is not None:
        measured += ", computed"
    bound = f"{row.sense.value} {amount(row.allowance, row.unit)}"
    figure = row.line.value, row.figure
    return (*figure, measured, bound, factor(row.ratio), carried, _verdict(row))


def _verdict(row: Row) -> str:
    if row.verdict is Verdict.SHORT:
        return f"short by a factor of {factor(row.ratio)}"
    if row.verdict is Verdict.NOT_MEASURED:
        return f"{NOT_MEASURED}: {row.wanted}"
    return row.verdict.value


def _cost_cells(cost: Cost) -> tuple[str, str]:
    unit = cost.figure.unit
    return amount(cost.measured, unit), _predicted(cost.predicted, unit)


def _predicted(prediction: Prediction, unit: Unit) -> str:
    if prediction.value is not None:
        return amount(prediction.value, unit)
    missing = ", ".join(axis.title for axis in prediction.missing)
    return f"{NOT_MEASURED}: no slope by {missing}"


def _fewest(planners: int | None) -> str:
    return "no number looked at" if planners is None else f"{planners} planners"


def _role_cells(cost: RoleCost) -> tuple[str, ...]:
    return (
        cost.role,
        cost.state,
        amount(cost.messages_per_s, Unit.PER_S),
        amount(cost.bytes_per_s, Unit.BYTES_PER_S),
        amount(cost.cpu_share, Unit.SHARE),
        amount(cost.memory_mb, Unit.MEGABYTES),
        cost.wanted,
    )


def _event_cells(site: Site, event: DayEvent) -> tuple[str, ...]:
    tasks = f"{NOT_MEASURED}: the target names no size" if event.tasks is None else _computed(event.tasks)
    messages = event.messages.value
    sent = NOT_MEASURED if messages is None else _computed(messages)
    times = (_time(time, event.load) for time in (event.known, event.ready, event.caught_up))
    return (event.title, site.form.value, tasks, _added_starts(event), sent, *times)


def _added_starts(event: DayEvent) -> str:
    if event.tasks is None or not event.over_s:
        return "at once"
    return _computed(event.tasks / event.over_s)


def _computed(value: float) -> str:
    return f"{number(value)}, computed"


def _time(time: Time, load: str) -> str:
    match time.source:
        case Source.NO_SUCH:
            return ""
        case Source.NOT_SEEN:
            return "not seen while it was watched"
        case Source.NOT_MEASURED:
            return f"{NOT_MEASURED}: event {load or NO_EVENT}"
    text = amount(time.seconds, Unit.SECONDS)
    return f"at least {text}, computed" if time.source is Source.COMPUTED else text


def _pair_cells(of_sample: Mapping[Figure, Pair]) -> list[str]:
    first = next(iter(of_sample.values()))
    size = first.size
    cells = [first.form, first.load, str(size.workers), str(size.planners)]
    cells += [number(size.starts_per_s), number(size.running)]
    for figure in COMPARED:
        cells += _compared_cells(of_sample.get(figure))
    return cells


def _compared_cells(pair: Pair | None) -> tuple[str, str, str]:
    if pair is None:
        return NOT_MEASURED, NOT_MEASURED, ""
    unit = pair.figure.unit
    return amount(pair.first, unit), amount(pair.second, unit), share(pair.difference)


def _yes(value: bool) -> str:
    return "yes" if value else "no"

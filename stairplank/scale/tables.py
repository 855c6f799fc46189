"""Builds the tables of docs/CAPACITY.md from the results of one or two runs of the same state. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from .capacity import by_need, capacity
from .cells import (
    COMPARED,
    capacity_cells,
    cost_cells,
    event_cells,
    fewest_cell,
    pair_cells,
    role_cells,
    verdict_cell,
    yes_or_no,
)
from .change_tables import before_after_table, configuration_table
from .days import day_events
from .figures import PLANNER_FIGURES, Figure
from .markdown import NOT_MEASURED, factor, number, share, table
from .noise import Pair, by_sample, noise, pairs
from .planner_counts import PlannerCount, best_measured, counts_to_show, fewest_within
from .predict import Slopes
from .results import Results
from .roles import role_costs
from .slope_tables import shapes_table, slopes_table
from .target import Target, TargetLine, described
from .target_site import Site
from .verdicts import Form, Row


class CapacityTables:
    """The tables of the capacity page.

    ``runs`` holds the results of one state of the program, in the order of the runs. ``before`` and ``after``
    hold runs of an earlier state and of this one, taken side by side.
    """

    def __init__(
        self,
        target: Target,
        runs: Sequence[Results],
        before: Sequence[Results] = (),
        after: Sequence[Results] = (),
    ) -> None:
        self.target = target
        self.runs = runs
        self.before = before
        self.after = after
        self.sites = [Site(target, runs, form) for form in Form]
        self.slopes = {site.form: Slopes(site.samples) for site in self.sites}

    def all(self) -> dict[str, str]:
        """Return each table of the page by its name."""
        tables = {
            "target": self._target(),
            "runs": self._runs(),
            "capacity": self._capacity(),
            "missing": self._missing(),
            "roles": self._roles(),
            "days": self._days(),
            "noise": self._noise(),
            "two-runs": self._two_runs(),
            "limits": self._limits(),
            "configuration": configuration_table(self.target, self.runs),
            "before-after": before_after_table(self.before, self.after),
        }
        for site in self.sites:
            slopes, form = self.slopes[site.form], site.form.value
            tables[f"slopes-{form}"] = slopes_table(slopes)
            tables[f"shapes-{form}"] = shapes_table(slopes)
            tables[f"planners-{form}"] = self._planners(site)
        return tables

    def rows(self) -> list[Row]:
        """Return the rows of the capacity table for both forms, in the order of the target's lines."""
        rows = [row for site in self.sites for row in capacity(site, self.slopes[site.form])]
        order = list(TargetLine)
        return sorted(rows, key=lambda row: order.index(row.line))

    def _target(self) -> str:
        requirements = described(self.target)
        return table(("line", "what is asked"), ((line.value, requirements[line]) for line in TargetLine))

    def _runs(self) -> str:
        heads = ("run", "state of the program", "machine", "samples", "seconds", "whole")
        rows = (
            (str(i), r.label, r.machine, str(len(r.samples)), number(r.seconds), yes_or_no(not r.partial))
            for i, r in enumerate(self.runs, 1)
        )
        return table(heads, rows)

    def _capacity(self) -> str:
        heads = ("line", "form", "figure", "measured", "allowance", "ratio", "carried by", "verdict")
        return table(heads, capacity_cells(self.rows()))

    def _missing(self) -> str:
        heads = ("rank", "figure", "form", "verdict", "line")
        ranked: dict[tuple[str, str, str], list[str]] = {}
        for row in by_need(self.rows()):
            ranked.setdefault((row.figure, verdict_cell(row), row.line.value), []).append(row.form.value)
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
        standing, at_peak = (fewest_cell(fewest_within(site, slopes, rate)) for rate in (0.0, peak))
        numbers = f"{standing} without starts, {at_peak} at the peak"
        head = "Fewest within all three allowances, by the slopes between and beyond the measured numbers"
        return f"{body}\n{head}: {numbers}.\n"

    def _planner_cells(self, count: PlannerCount) -> list[str]:
        target, planners = self.target, count.planners
        cells = [number(count.starts_per_s), str(planners), number(planners / target.planner_machines)]
        cells.append(number(target.running / planners))
        for cost in count.costs:
            cells += cost_cells(cost)
        return [*cells, factor(count.ratio) or NOT_MEASURED]

    def _roles(self) -> str:
        heads = ("form", "planners", "role", "state held", "messages", "bytes", "processor time", "memory")
        rows: list[tuple[str, ...]] = []
        for site in self.sites:
            planners = self._planners_of(site)
            size = site.size(planners, self.target.starts_per_s)
            for cost in role_costs(site, size):
                rows.append((site.form.value, str(planners), *role_cells(cost)))
        return table((*heads, "what would measure the rest"), rows)

    def _planners_of(self, site: Site) -> int:
        """Return the best measured number of planners; one a machine where none was measured."""
        best = best_measured(site, self.slopes[site.form])
        return best.planners if best else self.target.planner_machines

    def _days(self) -> str:
        heads = ("event", "form", "tasks to start anew", "starts/s that adds", "messages of a planner")
        rows: list[tuple[str, ...]] = []
        for site in self.sites:
            events = day_events(site, self.slopes[site.form], self._planners_of(site))
            rows += [event_cells(site, event) for event in events]
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
        return table(heads, map(pair_cells, by_sample(self._pairs(COMPARED))))

    def _pairs(self, figures: Sequence[Figure] = PLANNER_FIGURES) -> list[Pair]:
        return pairs(self.runs[0], self.runs[1], figures) if len(self.runs) > 1 else []

    def _limits(self) -> str:
        loads: dict[tuple[str, str], dict[str, None]] = {}
        for sample in (s for run in self.runs for s in run.samples if s.note):
            loads.setdefault((sample.form, sample.note), {})[sample.load] = None
        rows = ((form, note, ", ".join(names)) for (form, note), names in loads.items())
        return table(("form", "what the run noted", "loads"), rows)

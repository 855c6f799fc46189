"""Tables that compare costs before and after the configuration service was introduced. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from .event_names import SETTINGS_CHANGE, SETTINGS_FOLLOWED, SETTINGS_RESTART
from .figures import CONTROL_BYTES_WITH_HEADERS, CPU, Figure, Unit
from .markdown import NOT_MEASURED, amount, factor, number, table
from .noise import mean
from .results import PlannerCost, Results, Sample, Size
from .target import Target
from .verdicts import Form

SECONDS_OF_DAY = 86_400
MILLISECONDS = 1000
WAYS = {SETTINGS_RESTART: "before: every planner restarts", SETTINGS_CHANGE: "after: taken while it runs"}


@dataclass(frozen=True, slots=True)
class ChangeCost:
    """The cost of one configuration change to one planner, as measured in one run."""

    in_force_s: float | None
    cpu_s: float | None
    bytes: float | None


def configuration_table(target: Target, runs: Sequence[Results]) -> str:
    """Returns a table of both ways to apply a change, per number of planners, with two runs side by side."""
    heads = ["planners", "a change is taken", "in force everywhere", "run 2", "allowance", "ratio"]
    heads += ["processor time a change", "run 2", "bytes a change", "run 2"]
    changes = f"{target.configuration_changes_per_day:,} a day"
    heads += [f"{changes}, processor time", f"{changes}, bytes"]
    rows = []
    for planners in sorted({s.size.planners for run in runs for s in run.samples if s.load in WAYS}):
        for load, way in WAYS.items():
            costs = [_cost(run, load, planners) for run in runs]
            rows.append([number(planners), way, *_cells(target, costs)])
    return table(heads, rows)


def _cost(run: Results, load: str, planners: int) -> ChangeCost:
    samples = [s for s in run.samples if s.load == load and s.size.planners == planners]
    followed = [s for s in run.samples if s.load == SETTINGS_FOLLOWED and s.size.planners == planners]
    if not samples:
        return ChangeCost(None, None, None)
    sample = samples[-1]
    idle = followed[-1].planner if followed and load == SETTINGS_CHANGE else PlannerCost()
    times = [s.event.in_force_s for s in samples if s.event.in_force_s is not None]
    return ChangeCost(
        max(times, default=None),
        _per_change(sample, sample.planner.cpu_share, idle.cpu_share),
        _per_change(sample, sample.planner.bytes_per_s, idle.bytes_per_s),
    )


def _per_change(sample: Sample, rate: float | None, idle_rate: float | None) -> float | None:
    """Returns the cost per change: the rate above the rate without changes, times the span, per change."""
    if rate is None or not sample.changes:
        return None
    return max(0.0, rate - (idle_rate or 0.0)) * sample.span_s / sample.changes


def _cells(target: Target, costs: Sequence[ChangeCost]) -> list[str]:
    first, second = costs[0], costs[1] if len(costs) > 1 else ChangeCost(None, None, None)
    worst = max((c.in_force_s for c in costs if c.in_force_s is not None), default=None)
    cells = [amount(first.in_force_s, Unit.SECONDS), amount(second.in_force_s, Unit.SECONDS)]
    cells.append(amount(target.configuration_in_force_s, Unit.SECONDS))
    cells.append(factor(None if worst is None else worst / target.configuration_in_force_s))
    cells += [
        _milliseconds(first.cpu_s),
        _milliseconds(second.cpu_s),
        _bytes(first.bytes),
        _bytes(second.bytes),
    ]
    per_s = target.configuration_changes_per_day / SECONDS_OF_DAY
    cpu = None if first.cpu_s is None else first.cpu_s * per_s
    size = None if first.bytes is None else first.bytes * per_s
    cells.append(f"{amount(cpu, Unit.SHARE)}, computed" if cpu is not None else NOT_MEASURED)
    cells.append(f"{amount(size, Unit.BYTES_PER_S)}, computed" if size is not None else NOT_MEASURED)
    return cells


def _milliseconds(seconds: float | None) -> str:
    return NOT_MEASURED if seconds is None else f"{number(seconds * MILLISECONDS)} ms"


def _bytes(size: float | None) -> str:
    return NOT_MEASURED if size is None else f"{number(size)} B"


def before_after_table(before: Sequence[Results], after: Sequence[Results]) -> str:
    """Returns a table of processor time and bytes per run, for platform samples measured before and after."""
    heads = ["load", "workers", "planners", "starts/s", "running"]
    for figure in ("processor time", "bytes with headers"):
        heads += [f"{figure} before", "run 2", "after", "run 2"]
    rows = [_before_after_cells(key, before, after) for key in _common_samples(before, after)]
    return table(heads, rows)


def _common_samples(before: Sequence[Results], after: Sequence[Results]) -> list[tuple[str, Size]]:
    def keys(runs: Sequence[Results]) -> dict[tuple[str, Size], None]:
        samples = (s for run in runs for s in run.samples if s.form == Form.PLATFORM.value)
        return {(s.load, s.size): None for s in samples if s.planner.cpu_share is not None}

    after_keys = keys(after)
    return [key for key in keys(before) if key in after_keys]


def _before_after_cells(
    key: tuple[str, Size], before: Sequence[Results], after: Sequence[Results]
) -> list[str]:
    load, size = key
    cells = [
        load,
        number(size.workers),
        number(size.planners),
        number(size.starts_per_s),
        number(size.running),
    ]
    for figure in (CPU, CONTROL_BYTES_WITH_HEADERS):
        for runs in (before, after):
            for position in (0, 1):
                run = runs[position] if position < len(runs) else None
                cells.append(amount(_mean_figure(run, key, figure), figure.unit))
    return cells


def _mean_figure(run: Results | None, key: tuple[str, Size], figure: Figure) -> float | None:
    if run is None:
        return None
    load, size = key
    samples = [s for s in run.samples if s.load == load and s.size == size and s.form == Form.PLATFORM.value]
    return mean(samples, figure)

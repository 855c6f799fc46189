"""Estimates how many planners a site should run.

For each number of planners it gives the control cost of one planner, as measured and as predicted by the
fitted slopes. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from . import figures as fig
from .figures import Figure
from .predict import Prediction, Slopes
from .results import Size
from .target_site import Site

NOISE_SHARE = 0.10  # ratios closer than this count as equal: two runs of one state differ by some percent
MAX_PLANNERS_PER_MACHINE = 32  # the search for the fewest planners ends at this number


@dataclass(frozen=True, slots=True)
class Cost:
    """A control figure of one planner: its allowance, its measured value and its predicted value."""

    figure: Figure
    allowance: float
    measured: float | None
    predicted: Prediction

    @property
    def ratio(self) -> float | None:
        """The figure divided by its allowance; uses the prediction only where nothing was measured."""
        value = self.measured if self.measured is not None else self.predicted.value
        return None if value is None else value / self.allowance


@dataclass(frozen=True, slots=True)
class PlannerCount:
    """The costs at one number of planners and rate of starts, with the target's workers and tasks."""

    planners: int
    starts_per_s: float
    costs: tuple[Cost, ...]

    @property
    def ratio(self) -> float | None:
        """The largest ratio of any cost; None where the ratio of a cost is not known."""
        ratios = [cost.ratio for cost in self.costs]
        known = [ratio for ratio in ratios if ratio is not None]
        return max(known) if len(known) == len(ratios) else None

    @property
    def holds(self) -> bool:
        """Whether every cost is known and within its allowance."""
        return self.ratio is not None and self.ratio <= 1

    @property
    def is_measured(self) -> bool:
        """Whether every cost was measured; False where a cost is only predicted."""
        return all(cost.measured is not None for cost in self.costs)


def planner_count(site: Site, slopes: Slopes, planners: int, starts_per_s: float) -> PlannerCount:
    """Build the costs of one planner at this number of planners and rate of starts."""
    target = site.target
    size = Size(target.workers, planners, starts_per_s, target.running)
    allowances = (
        (fig.CPU, target.control_cpu_share),
        (fig.MEMORY, target.control_memory_mb),
        (fig.CONTROL_BYTES, target.control_bytes_per_s),
    )
    costs = (
        Cost(figure, allowance, site.worst(figure, size), slopes.predict(figure, size))
        for figure, allowance in allowances
    )
    return PlannerCount(planners, starts_per_s, tuple(costs))


def counts_to_show(site: Site, slopes: Slopes) -> list[PlannerCount]:
    """Return the costs with one, two, four and eight planners a machine.

    The rates of starts are zero, each rate that was measured at more than one number of planners, and the
    target's peak.
    """
    rates = sorted({0.0, *site.common_rates(), site.target.starts_per_s})
    return [planner_count(site, slopes, n, rate) for rate in rates for n in site.planner_counts()]


def fewest_within(site: Site, slopes: Slopes, starts_per_s: float) -> int | None:
    """Return the smallest number of planners at which every cost is within its allowance, or None.

    A cost is the measured one, or the predicted one where none was measured. A measurement overrides the
    slopes: numbers up to the largest one that was measured over an allowance are not considered.
    """
    machines = site.target.planner_machines
    measured = (planner_count(site, slopes, n, starts_per_s) for n in site.planner_counts())
    largest_short = max((c.planners for c in measured if c.is_measured and not c.holds), default=0)
    numbers = range(max(machines, largest_short + 1), machines * MAX_PLANNERS_PER_MACHINE + 1)
    counts = (planner_count(site, slopes, n, starts_per_s) for n in numbers)
    return next((count.planners for count in counts if count.holds), None)


def best_measured(site: Site, slopes: Slopes) -> PlannerCount | None:
    """Return the best number of planners among those measured without starts, or None without any.

    Without starts, all the work of a planner is control. The best is the smallest number within the
    allowances. Where none is within them, it is the smallest number whose ratio exceeds the lowest ratio by
    no more than the noise between runs.
    """
    counts = [planner_count(site, slopes, n, 0.0) for n in site.planner_counts()]
    ratios = {count: max(1.0, count.ratio) for count in counts if count.is_measured and count.ratio}
    if not ratios:
        return None
    lowest = min(ratios.values())
    bound = lowest * (1 + NOISE_SHARE) if lowest > 1 else 1.0
    return next(count for count, ratio in ratios.items() if ratio <= bound)

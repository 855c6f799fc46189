"""How many planners a site should run: what one costs at each number, measured and by the slopes. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from . import figures as fig
from .figures import Figure
from .predict import Prediction, Slopes
from .results import Size
from .target_site import Site

ALIKE_SHARE = 0.10  # factors that differ by less are alike: two runs of one state differ by some percent
SEARCHED = 32  # planners a machine up to which the slopes are asked


@dataclass(frozen=True, slots=True)
class Cost:
    """A control figure of one planner, its allowance, what was measured and what the slopes say."""

    figure: Figure
    allowance: float
    measured: float | None
    predicted: Prediction

    @property
    def ratio(self) -> float | None:
        """Over the allowance; by the measured figure where there is one, else by the slopes."""
        value = self.measured if self.measured is not None else self.predicted.value
        return None if value is None else value / self.allowance


@dataclass(frozen=True, slots=True)
class PlannerCount:
    """A site with so many planners and starts a second, at the target's workers and running tasks."""

    planners: int
    starts_per_s: float
    costs: tuple[Cost, ...]

    @property
    def ratio(self) -> float | None:
        """The largest of its costs' ratios; None where one of them is not known."""
        ratios = [cost.ratio for cost in self.costs]
        known = [ratio for ratio in ratios if ratio is not None]
        return max(known) if len(known) == len(ratios) else None

    @property
    def holds(self) -> bool:
        """Whether every cost is known and within its allowance."""
        return self.ratio is not None and self.ratio <= 1

    @property
    def is_measured(self) -> bool:
        """Whether every cost was measured, and none is known by the slopes alone."""
        return all(cost.measured is not None for cost in self.costs)


def planner_count(site: Site, slopes: Slopes, planners: int, starts_per_s: float) -> PlannerCount:
    """What one of so many planners costs."""
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
    """One, two, four and eight planners a machine, without starts and at each rate that was measured at more
    than one of these numbers, and at the target's peak."""
    rates = sorted({0.0, *site.common_rates(), site.target.starts_per_s})
    return [planner_count(site, slopes, n, rate) for rate in rates for n in site.planner_counts()]


def fewest_within(site: Site, slopes: Slopes, starts_per_s: float) -> int | None:
    """The fewest planners of which each stays within its allowances, measured or by the slopes. Where so many
    or more were measured and were not within them, the slopes are not believed."""
    machines = site.target.planner_machines
    shown = (planner_count(site, slopes, n, starts_per_s) for n in site.planner_counts())
    beyond = max((c.planners for c in shown if c.is_measured and not c.holds), default=0)
    numbers = range(max(machines, beyond + 1), machines * SEARCHED + 1)
    counts = (planner_count(site, slopes, n, starts_per_s) for n in numbers)
    return next((count.planners for count in counts if count.holds), None)


def best_measured(site: Site, slopes: Slopes) -> PlannerCount | None:
    """Of the numbers measured without starts, where all that a planner does is control: the fewest within
    the allowances, else the fewest that is no more short than noise tells from the least short."""
    counts = [planner_count(site, slopes, n, 0.0) for n in site.planner_counts()]
    short = {count: max(1.0, count.ratio) for count in counts if count.is_measured and count.ratio}
    if not short:
        return None
    least = min(short.values())
    bound = least * (1 + ALIKE_SHARE) if least > 1 else 1.0
    return next(count for count, factor in short.items() if factor <= bound)

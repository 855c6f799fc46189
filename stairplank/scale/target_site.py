"""The samples that stand for the target site, and the figures that the tables take from them. No I/O."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from statistics import fmean

from .event_names import SETTINGS_EVENTS
from .figures import Figure, is_plain
from .results import EventTimes, Results, Sample, Size
from .target import Target
from .verdicts import Form

SAME_SHARE = 0.05  # by which a sample's size may differ from the one that it stands for
PLANNERS_PER_MACHINE = (1, 2, 4, 8)


class Site:
    """One form of the planner at the target's size, over all runs: the worst figure of any run counts."""

    def __init__(self, target: Target, runs: Iterable[Results], form: Form) -> None:
        self.target = target
        self.form = form
        self.runs = [[s for s in run.samples if s.form == form.value] for run in runs]
        self.samples = [sample for run in self.runs for sample in run]

    def most(self, size: Callable[[Sample], float]) -> float | None:
        """The largest size of any sample that is no event; None without samples."""
        return max((size(s) for s in self.samples if is_plain(s)), default=None)

    def worst(self, figure: Figure, size: Size) -> float | None:
        """The figure at that size: the mean of each run's repeats, of the run in which it is largest."""
        means = (_mean(self._at(run, size), figure) for run in self.runs)
        return max((mean for mean in means if mean is not None), default=None)

    def slowest(self, load: str, read: Callable[[EventTimes], float | None]) -> float | None:
        """The longest time that the event took in any sample of the target's size; None where none has it."""
        times = map(read, self._events(load))
        return max((time for time in times if time is not None), default=None)

    def ran(self, load: str) -> bool:
        """Whether the event is among the samples, whatever was seen of it."""
        return bool(self._events(load))

    def wanted(self, load: str) -> str:
        """What would measure a time of the event that no sample has."""
        if self.ran(load):
            return f"the event {load} ran, and the time was not reached while it was watched"
        return f"samples of the event {load} at the target's size"

    def size(self, planners: int, starts_per_s: float) -> Size:
        """The target's workers and running tasks with so many planners and starts."""
        return Size(self.target.workers, planners, starts_per_s, self.target.running)

    def planner_counts(self) -> tuple[int, ...]:
        """One planner for each of the target's machines, two, four and eight."""
        return tuple(self.target.planner_machines * each for each in PLANNERS_PER_MACHINE)

    def common_rates(self) -> list[float]:
        """Rates of starts below the target's peak that were measured at more than one number of planners."""
        planners: dict[float, set[int]] = {}
        for sample in self.samples:
            size = sample.size
            if is_plain(sample) and _same(self.size(size.planners, size.starts_per_s), size):
                planners.setdefault(size.starts_per_s, set()).add(size.planners)
        return [rate for rate, numbers in planners.items() if len(numbers) > 1]

    def _events(self, load: str) -> list[EventTimes]:
        if load in SETTINGS_EVENTS:  # these need no workers and no tasks, whatever the target has
            return [s.event for s in self.samples if s.load == load]
        samples = (s for s in self.samples if s.load == load)
        return [s.event for s in samples if _same(self.size(s.size.planners, s.size.starts_per_s), s.size)]

    def _at(self, run: Sequence[Sample], size: Size) -> list[Sample]:
        return [s for s in run if is_plain(s) and _same(s.size, size)]


def _same(one: Size, other: Size) -> bool:
    """Whether two sizes differ by no more than counts as the same."""
    pairs = (
        (one.workers, other.workers),
        (one.planners, other.planners),
        (one.starts_per_s, other.starts_per_s),
        (one.running, other.running),
    )
    return all(math.isclose(a, b, rel_tol=SAME_SHARE) for a, b in pairs)


def _mean(samples: Iterable[Sample], figure: Figure) -> float | None:
    values = [value for value in map(figure.read, samples) if value is not None]
    return fmean(values) if values else None

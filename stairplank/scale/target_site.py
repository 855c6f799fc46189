"""Selects the samples at the target's size and derives the figures of the tables. No I/O."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from statistics import fmean

from .event_names import SETTINGS_EVENTS
from .figures import Figure, is_plain
from .results import EventTimes, Results, Sample, Size
from .target import Target
from .verdicts import Form

SAME_SHARE = 0.05  # sizes that differ by no more than this share count as the same
PLANNERS_PER_MACHINE = (1, 2, 4, 8)


class Site:
    """The samples of one form of the planner over all runs, with the worst figure of any run."""

    def __init__(self, target: Target, runs: Iterable[Results], form: Form) -> None:
        self.target = target
        self.form = form
        self.runs = [[s for s in run.samples if s.form == form.value] for run in runs]
        self.samples = [sample for run in self.runs for sample in run]

    def most(self, size: Callable[[Sample], float]) -> float | None:
        """Return the largest size of any sample that is not an event; None without samples."""
        return max((size(s) for s in self.samples if is_plain(s)), default=None)

    def worst(self, figure: Figure, size: Size) -> float | None:
        """Return the largest figure of any run at that size. A run's figure is the mean of its repeats."""
        means = (_mean(self._samples_at(run, size), figure) for run in self.runs)
        return max((mean for mean in means if mean is not None), default=None)

    def slowest(self, load: str, read: Callable[[EventTimes], float | None]) -> float | None:
        """Return the longest time of an event over the samples at the target's size; None without a time."""
        times = map(read, self._events(load))
        return max((time for time in times if time is not None), default=None)

    def ran(self, load: str) -> bool:
        """Whether a sample of the event exists, even one without times."""
        return bool(self._events(load))

    def wanted(self, load: str) -> str:
        """Describe the measurement that would give a missing time of the event."""
        if self.ran(load):
            return f"the event {load} ran, and the time was not reached while it was watched"
        return f"samples of the event {load} at the target's size"

    def size(self, planners: int, starts_per_s: float) -> Size:
        """Return the target's workers and running tasks with these numbers of planners and starts."""
        return Size(self.target.workers, planners, starts_per_s, self.target.running)

    def planner_counts(self) -> tuple[int, ...]:
        """Return the numbers of planners with one, two, four and eight on each of the target's machines."""
        return tuple(self.target.planner_machines * each for each in PLANNERS_PER_MACHINE)

    def common_rates(self) -> list[float]:
        """Return the rates of starts that were measured at more than one number of planners."""
        planners: dict[float, set[int]] = {}
        for sample in self.samples:
            size = sample.size
            if is_plain(sample) and _sizes_match(self.size(size.planners, size.starts_per_s), size):
                planners.setdefault(size.starts_per_s, set()).add(size.planners)
        return [rate for rate, numbers in planners.items() if len(numbers) > 1]

    def _events(self, load: str) -> list[EventTimes]:
        # Settings events are measured without workers and tasks, so a sample of any size counts.
        if load in SETTINGS_EVENTS:
            return [s.event for s in self.samples if s.load == load]
        samples = (s for s in self.samples if s.load == load)
        return [
            s.event for s in samples if _sizes_match(self.size(s.size.planners, s.size.starts_per_s), s.size)
        ]

    def _samples_at(self, run: Sequence[Sample], size: Size) -> list[Sample]:
        return [s for s in run if is_plain(s) and _sizes_match(s.size, size)]


def _sizes_match(one: Size, other: Size) -> bool:
    """Whether two sizes differ by at most ``SAME_SHARE`` in every number."""
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

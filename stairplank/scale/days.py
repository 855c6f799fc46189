"""Ordinary days and bad ones: what falls, how soon it is known, how soon the work has caught up. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from . import event_names as events
from . import figures as fig
from .predict import Prediction, Slopes
from .results import EventTimes
from .target_site import Site

RESTARTS_OF_PLANNERS = (events.PLANNER_RESTARTS, events.ALL_PLANNERS_RESTART)
SECONDS_OF_HOUR, SECONDS_OF_DAY = 3_600.0, 86_400.0


class Source(Enum):
    """Where a time on the page comes from."""

    MEASURED = "measured"
    COMPUTED = "computed"
    NOT_SEEN = "not seen"  # the event ran, and the time was not reached while it was watched
    NOT_MEASURED = "not measured"
    NO_SUCH = "no such"  # the event has no such time


@dataclass(frozen=True, slots=True)
class Time:
    """A time after an event, in seconds, and where it comes from."""

    source: Source
    seconds: float | None = None


NO_TIME = Time(Source.NO_SUCH)


@dataclass(frozen=True, slots=True)
class DayEvent:
    """An event at the target's size. ``tasks`` is computed: those that start anew where work is spread
    evenly; None where the target does not say how many machines fall. ``over_s``: the time over which they
    do, 0 at once. ``messages`` are those of
    their new starts at one planner, by the slopes."""

    title: str
    load: str
    tasks: float | None
    over_s: float
    messages: Prediction
    known: Time
    ready: Time
    caught_up: Time


def day_events(site: Site, slopes: Slopes, planners: int) -> list[DayEvent]:
    """The events of the target, the ordinary ones first."""
    target = site.target
    tasks_of_worker = target.running / target.workers
    restarts = target.machine_restarts_per_day
    build = _Builder(site, slopes, planners)
    fallen = restarts * tasks_of_worker
    return [
        build.event("a planner restarts", events.PLANNER_RESTARTS, 0.0),
        build.event("all planners restart", events.ALL_PLANNERS_RESTART, 0.0),
        build.event("one machine fails", events.MACHINE_FAILS, tasks_of_worker),
        build.event(f"{restarts:g} machines restart over a day", "", fallen, SECONDS_OF_DAY),
        build.event("the same within an hour", "", fallen, SECONDS_OF_HOUR),
        build.event("the same at once", events.RESTARTS, fallen),
        build.event("a rack or a switch fails", events.RACK_FAILS, None),
        build.event("a zone returns cold", events.ZONE_RETURNS, target.running / target.zones),
        build.event("a region is cut off and comes back", events.REGION_CUT, target.running / target.regions),
    ]


class _Builder:
    def __init__(self, site: Site, slopes: Slopes, planners: int) -> None:
        self.site, self.slopes, self.planners = site, slopes, planners

    def event(self, title: str, load: str, tasks: float | None, over_s: float = 0.0) -> DayEvent:
        """``over_s``: the time over which what falls is spread; else it falls at once."""
        caught_up = self._time(load, lambda e: e.caught_up_s)
        if caught_up.source is Source.NOT_MEASURED and tasks and not over_s:
            caught_up = Time(Source.COMPUTED, tasks / self.site.target.starts_per_s)
        ready = self._time(load, lambda e: e.ready_s) if load in RESTARTS_OF_PLANNERS else NO_TIME
        known = NO_TIME if load in RESTARTS_OF_PLANNERS else self._time(load, lambda e: e.known_s)
        return DayEvent(
            title,
            load,
            tasks,
            over_s,
            self._messages(tasks),
            known,
            ready,
            caught_up,
        )

    def _time(self, load: str, read: Callable[[EventTimes], float | None]) -> Time:
        seconds = self.site.slowest(load, read)
        if seconds is not None:
            return Time(Source.MEASURED, seconds)
        return Time(Source.NOT_SEEN if self.site.ran(load) else Source.NOT_MEASURED)

    def _messages(self, tasks: float | None) -> Prediction:
        """One start's messages at a planner, times the starts that fall to it."""
        along = self.slopes.of(fig.STARTS, fig.ALL_MESSAGES)
        if tasks is None or along.line is None:
            return Prediction(None, () if tasks is None else (fig.STARTS,))
        return Prediction(along.line.slope * tasks / self.planners)

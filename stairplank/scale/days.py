"""Events of a day at the target's size: tasks lost, time to detection and time to recovery. No I/O."""

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
    """The source of a time on the capacity page."""

    MEASURED = "measured"
    COMPUTED = "computed"
    NOT_SEEN = "not seen"  # the event ran, but its end was not reached while it was watched
    NOT_MEASURED = "not measured"
    NO_SUCH = "no such"  # this kind of event has no such time


@dataclass(frozen=True, slots=True)
class Time:
    """A time after an event in seconds, with its source."""

    source: Source
    seconds: float | None = None


NO_TIME = Time(Source.NO_SUCH)


@dataclass(frozen=True, slots=True)
class DayEvent:
    """An event at the target's size.

    ``tasks`` is the computed number of tasks that start again, assuming that work is spread evenly. It is
    None where the target does not state how many machines fail. ``over_s`` is the time over which the
    machines fail, 0 if all fail at once. ``messages`` is the number of messages that these starts cause at
    one planner, predicted from the slopes.
    """

    title: str
    load: str
    tasks: float | None
    over_s: float
    messages: Prediction
    known: Time
    ready: Time
    caught_up: Time


def day_events(site: Site, slopes: Slopes, planners: int) -> list[DayEvent]:
    """Returns the events that the target names, ordinary ones first."""
    target = site.target
    tasks_of_worker = target.running / target.workers
    restarts = target.machine_restarts_per_day
    build = _Builder(site, slopes, planners)
    restarted_tasks = restarts * tasks_of_worker
    return [
        build.event("a planner restarts", events.PLANNER_RESTARTS, 0.0),
        build.event("all planners restart", events.ALL_PLANNERS_RESTART, 0.0),
        build.event("one machine fails", events.MACHINE_FAILS, tasks_of_worker),
        build.event(f"{restarts:g} machines restart over a day", "", restarted_tasks, SECONDS_OF_DAY),
        build.event("the same within an hour", "", restarted_tasks, SECONDS_OF_HOUR),
        build.event("the same at once", events.RESTARTS, restarted_tasks),
        build.event("a rack or a switch fails", events.RACK_FAILS, None),
        build.event("a zone returns cold", events.ZONE_RETURNS, target.running / target.zones),
        build.event("a region is cut off and comes back", events.REGION_CUT, target.running / target.regions),
    ]


class _Builder:
    def __init__(self, site: Site, slopes: Slopes, planners: int) -> None:
        self.site, self.slopes, self.planners = site, slopes, planners

    def event(self, title: str, load: str, tasks: float | None, over_s: float = 0.0) -> DayEvent:
        """Builds one event. ``over_s`` is the time over which the failures are spread; 0 means at once."""
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
        """Predicts the messages at one planner: the messages per start times the starts of that planner."""
        slope_by_starts = self.slopes.of(fig.STARTS, fig.ALL_MESSAGES)
        if tasks is None or slope_by_starts.line is None:
            return Prediction(None, () if tasks is None else (fig.STARTS,))
        return Prediction(slope_by_starts.line.slope * tasks / self.planners)

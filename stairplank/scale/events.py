"""Triggers events at a site of the platform form and times the recovery. All planners there are real."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import dataclass

from . import event_names as names
from .results import EventTimes
from .site import Site

TIMEOUT_S = 40.0
POLL_S = 0.05
BASELINE_POLLS = 20  # polls of the number of waiting tasks, before an event
WAITING_MARGIN = 3  # tasks that may wait at any moment because they have only just arrived
WORKER_DOWNTIME_S = 2.0  # how long a restarting worker is down
ZONE_DOWNTIME_S = 5.0
REGION_CUT_S = 15.0
RETURN_WATCH_S = 10.0  # how long waiting tasks are observed after workers return
REGIONS = 3
READY_SHARE = 0.9  # part of the restarted planners that must be ready


@dataclass(frozen=True, slots=True)
class Observed:
    """The times measured after an event, and the note for its sample."""

    times: EventTimes
    note: str = ""


def run(event: str, site: Site) -> Observed:
    """Triggers an event and waits for the site to recover, at most ``TIMEOUT_S`` for each measured time."""
    return _EVENTS[event](site)


class _RecoveryTimer:
    """Measures times after an event.

    It is created before the event, to take the baseline of waiting tasks and to mark the tasks that run on
    the affected workers.
    """

    def __init__(self, site: Site, workers: list[str]) -> None:
        self._site = site
        self.baseline = self._measure_baseline()
        self.marked: int = site.clients.ask("mark", workers=workers)
        self.began = time.monotonic()

    def known(self) -> float | None:
        """Returns the time until the last marked task is released to its client; None after ``TIMEOUT_S``."""
        return self._until(lambda progress: progress["marked"] == 0)

    def caught_up(self) -> float | None:
        """Returns the time until the waiting tasks are back at the baseline; None after ``TIMEOUT_S``."""
        return self._until(lambda progress: progress["waiting"] <= self.baseline)

    def _measure_baseline(self) -> int:
        """Returns the largest number of waiting tasks in several polls, but at least ``WAITING_MARGIN``."""
        baseline = WAITING_MARGIN
        for _ in range(BASELINE_POLLS):
            baseline = max(baseline, self._progress()["waiting"])
            time.sleep(POLL_S)
        return baseline

    def sleep_until(self, seconds: float) -> float:
        """Sleeps until ``seconds`` after the event. Returns the time since the event on waking."""
        time.sleep(max(0.0, self.began + seconds - time.monotonic()))
        return time.monotonic() - self.began

    def settled_s(self) -> float:
        """Watches the waiting tasks for ``RETURN_WATCH_S``.

        Returns the seconds from the start of the watch until they last exceeded the baseline.
        """
        began = last = time.monotonic()
        while (now := time.monotonic()) < began + RETURN_WATCH_S:
            if self._progress()["waiting"] > self.baseline:
                last = now
            time.sleep(POLL_S)
        return last - began

    def _until(self, is_reached: Callable[[dict[str, int]], bool]) -> float | None:
        deadline = time.monotonic() + TIMEOUT_S
        while not is_reached(self._progress()):
            if time.monotonic() > deadline:
                return None
            time.sleep(POLL_S)
        return time.monotonic() - self.began

    def _progress(self) -> dict[str, int]:
        progress: dict[str, int] = self._site.clients.ask("progress")
        return progress


def _planners_restart(site: Site, positions: list[int]) -> Observed:
    timer = _RecoveryTimer(site, [])
    ready = sorted(site.restart_planners(positions))
    index = math.ceil(READY_SHARE * len(positions)) - 1
    ready_s = ready[index] if index < len(ready) else None
    note = f"{len(positions)} of {site.planners} planners killed and started again"
    return Observed(EventTimes(ready_s=ready_s, caught_up_s=timer.caught_up()), note)


def _planner_restarts(site: Site) -> Observed:
    return _planners_restart(site, [0])


def _all_planners_restart(site: Site) -> Observed:
    return _planners_restart(site, list(range(site.planners)))


def _silence_workers(site: Site, workers: list[str]) -> Observed:
    timer = _RecoveryTimer(site, workers)
    site.fall_silent(workers)
    times = EventTimes(known_s=timer.known(), caught_up_s=timer.caught_up())
    return Observed(times, f"{len(workers)} workers fell silent; {timer.marked} tasks ran there")


def _machine_fails(site: Site) -> Observed:
    return _silence_workers(site, [site.clients.ask("busiest")])


def _rack_fails(site: Site) -> Observed:
    first = next(iter(site.rows.values()))["block"]
    return _silence_workers(site, [name for name, row in site.rows.items() if row["block"] == first])


def _restarts(site: Site) -> Observed:
    workers = list(site.rows)[: site.layout.restarted]
    timer = _RecoveryTimer(site, workers)
    site.crash(workers)
    times = EventTimes(known_s=timer.known(), caught_up_s=timer.caught_up())
    away_s = timer.sleep_until(WORKER_DOWNTIME_S)
    site.start_again(workers)
    note = f"{len(workers)} workers away for {away_s:.1f} s at once; {timer.marked} tasks ran there; "
    return Observed(times, note + f"after the return work waited for {timer.settled_s():.1f} s")


def _zone_returns(site: Site) -> Observed:
    """Crashes and delists a zone, then starts it again. ``caught_up_s`` counts from the restart."""
    zone = next(iter(site.rows.values()))["site"]
    workers = [name for name, row in site.rows.items() if row["site"] == zone]
    timer = _RecoveryTimer(site, workers)
    site.crash(workers)
    site.delist(workers)
    known_s = timer.known()
    away_s = timer.sleep_until(ZONE_DOWNTIME_S)
    site.start_again(workers)
    times = EventTimes(known_s=known_s, caught_up_s=timer.settled_s())
    note = f"{len(workers)} workers delisted, back cold after {away_s:.1f} s; {timer.marked} tasks ran there"
    return Observed(times, note)


def _region_cut(site: Site) -> Observed:
    """Silences the workers of a region for a while. ``caught_up_s`` counts from the end of the cut."""
    workers = list(site.rows)[: len(site.rows) // REGIONS]
    timer = _RecoveryTimer(site, workers)
    site.fall_silent(workers)
    known_s = timer.known()
    away_s = timer.sleep_until(REGION_CUT_S)
    site.speak_again(workers)
    times = EventTimes(known_s=known_s, caught_up_s=timer.settled_s())
    after = site.snapshot()
    note = f"{len(workers)} workers cut off for {away_s:.0f} s, not an hour; {timer.marked} tasks ran there; "
    note += f"{RETURN_WATCH_S:g} s after the return workers held {after.held} tasks, clients {after.running}"
    return Observed(times, note)


def _list_moves(site: Site) -> Observed:
    return Observed(EventTimes(in_force_s=site.move_list()), "SIGHUP with the address of another list")


_EVENTS: dict[str, Callable[[Site], Observed]] = {
    names.PLANNER_RESTARTS: _planner_restarts,
    names.ALL_PLANNERS_RESTART: _all_planners_restart,
    names.MACHINE_FAILS: _machine_fails,
    names.RACK_FAILS: _rack_fails,
    names.RESTARTS: _restarts,
    names.ZONE_RETURNS: _zone_returns,
    names.REGION_CUT: _region_cut,
    names.LIST_MOVES: _list_moves,
}

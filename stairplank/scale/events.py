"""Events at a site of the platform form, and what is timed after each. Every planner is a real one there."""

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
LEVEL_POLLS = 20  # of the waiting work, before the event
CHANCE = 3  # tasks that may wait at any moment as they have just come
RESTART_S = 2.0  # a worker that restarts is away for so long
ZONE_AWAY_S = 5.0
CUT_S = 15.0
DISTURBED_S = 10.0  # for which waiting work is watched after a return
REGIONS = 3
READY_SHARE = 0.9  # of the restarted processes


@dataclass(frozen=True, slots=True)
class Observed:
    """What an event took, and what its sample has to say of it."""

    times: EventTimes
    note: str = ""


def run(event: str, site: Site) -> Observed:
    """Have it happen and wait until it is over, ``TIMEOUT_S`` at most for each time."""
    return _EVENTS[event](site)


class _Watch:
    """Times after an event. Made before it: the level of waiting work is taken then, and the tasks that run
    at the workers concerned are remembered."""

    def __init__(self, site: Site, workers: list[str]) -> None:
        self._site = site
        self.level = self._level()
        self.marked: int = site.clients.ask("mark", workers=workers)
        self.began = time.monotonic()

    def known(self) -> float | None:
        """Until the last of the remembered tasks is released to its client."""
        return self._until(lambda progress: progress["marked"] == 0)

    def caught_up(self) -> float | None:
        """Until no more work waits than before."""
        return self._until(lambda progress: progress["waiting"] <= self.level)

    def _level(self) -> int:
        """The most work that waits at any of some moments, and what may wait by chance."""
        level = CHANCE
        for _ in range(LEVEL_POLLS):
            level = max(level, self._progress()["waiting"])
            time.sleep(POLL_S)
        return level

    def sleep_until(self, seconds: float) -> float:
        """Sleep until so long after the event, and say how long after it is then."""
        time.sleep(max(0.0, self.began + seconds - time.monotonic()))
        return time.monotonic() - self.began

    def disturbed_s(self) -> float:
        """Watch for ``DISTURBED_S`` from now on; the last time at which more work waited than before."""
        began = last = time.monotonic()
        while (now := time.monotonic()) < began + DISTURBED_S:
            if self._progress()["waiting"] > self.level:
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
    watch = _Watch(site, [])
    ready = sorted(site.restart_planners(positions))
    index = math.ceil(READY_SHARE * len(positions)) - 1
    ready_s = ready[index] if index < len(ready) else None
    note = f"{len(positions)} of {site.planners} planners killed and started again"
    return Observed(EventTimes(ready_s=ready_s, caught_up_s=watch.caught_up()), note)


def _planner_restarts(site: Site) -> Observed:
    return _planners_restart(site, [0])


def _all_planners_restart(site: Site) -> Observed:
    return _planners_restart(site, list(range(site.planners)))


def _vanish(site: Site, workers: list[str]) -> Observed:
    watch = _Watch(site, workers)
    site.fall_silent(workers)
    times = EventTimes(known_s=watch.known(), caught_up_s=watch.caught_up())
    return Observed(times, f"{len(workers)} workers fell silent; {watch.marked} tasks ran there")


def _machine_fails(site: Site) -> Observed:
    return _vanish(site, [site.clients.ask("busiest")])


def _rack_fails(site: Site) -> Observed:
    first = next(iter(site.rows.values()))["block"]
    return _vanish(site, [name for name, row in site.rows.items() if row["block"] == first])


def _restarts(site: Site) -> Observed:
    workers = list(site.rows)[: site.layout.restarted]
    watch = _Watch(site, workers)
    site.crash(workers)
    times = EventTimes(known_s=watch.known(), caught_up_s=watch.caught_up())
    away_s = watch.sleep_until(RESTART_S)
    site.start_again(workers)
    note = f"{len(workers)} workers away for {away_s:.1f} s at once; {watch.marked} tasks ran there; "
    return Observed(times, note + f"after the return work waited for {watch.disturbed_s():.1f} s")


def _zone_returns(site: Site) -> Observed:
    """``caught_up_s`` is from the return on."""
    zone = next(iter(site.rows.values()))["site"]
    workers = [name for name, row in site.rows.items() if row["site"] == zone]
    watch = _Watch(site, workers)
    site.crash(workers)
    site.delist(workers)
    known_s = watch.known()
    away_s = watch.sleep_until(ZONE_AWAY_S)
    site.start_again(workers)
    times = EventTimes(known_s=known_s, caught_up_s=watch.disturbed_s())
    note = f"{len(workers)} workers delisted, back cold after {away_s:.1f} s; {watch.marked} tasks ran there"
    return Observed(times, note)


def _region_cut(site: Site) -> Observed:
    """``caught_up_s`` is from the return on."""
    workers = list(site.rows)[: len(site.rows) // REGIONS]
    watch = _Watch(site, workers)
    site.fall_silent(workers)
    known_s = watch.known()
    away_s = watch.sleep_until(CUT_S)
    site.speak_again(workers)
    times = EventTimes(known_s=known_s, caught_up_s=watch.disturbed_s())
    after = site.snapshot()
    note = f"{len(workers)} workers cut off for {away_s:.0f} s, not an hour; {watch.marked} tasks ran there; "
    note += f"{DISTURBED_S:g} s after the return workers held {after.held} tasks, clients {after.running}"
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

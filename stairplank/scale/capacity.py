"""Builds the capacity table, which compares every line of the target with the measured figures. No I/O."""

from __future__ import annotations

from . import carriers as car
from . import event_names as events
from . import figures as fig
from .carriers import CARRIERS
from .figures import Figure, Unit
from .planner_counts import PlannerCount, best_measured
from .predict import Slopes
from .row_list import RowList
from .target import TargetLine
from .target_site import Site
from .verdicts import Mechanism, Row, Verdict

SECONDS_OF_DAY = 86_400
FULL = "samples at the target's workers and running tasks"
STANDING = f"{FULL}, without starts"
PEAK = f"{FULL}, with starts at its peak"


def capacity(site: Site, slopes: Slopes) -> list[Row]:
    """Returns the rows of one form of the planner."""
    found = RowList(site.form)
    _sizes(site, found)
    _policies(site, found)
    _configuration(site, found)
    best = best_measured(site, slopes)
    planners = best.planners if best else site.target.planner_machines
    _control(site, slopes, planners, found)
    _planner_machines(site, best, found)
    _lost_and_restarted(site, found)
    return found.rows


def by_need(rows: list[Row]) -> list[Row]:
    """Returns the rows that miss the target: first those without a mechanism, then the largest shortfall."""
    missing = [r for r in rows if r.verdict in (Verdict.NOTHING_CARRIES_IT, Verdict.SHORT)]
    return sorted(missing, key=lambda r: (r.verdict is Verdict.SHORT, -(r.ratio or 0.0)))


def _sizes(site: Site, found: RowList) -> None:
    """Adds rows that compare the largest size of any sample with the target's size."""
    target, carriers = site.target, CARRIERS[site.form]
    workers = site.most(lambda s: s.size.workers)
    starts = site.most(lambda s: s.size.starts_per_s)
    running = site.most(lambda s: s.size.running)
    jobs = None if starts is None else starts * SECONDS_OF_DAY / target.gang_most
    found.reach(TargetLine.WORKERS, "workers", target.workers, carriers.workers, workers, FULL)
    found.reach(TargetLine.STARTS, "task starts a second", target.starts_per_s, carriers.starts, starts, PEAK)
    found.reach(
        TargetLine.STARTS,
        "jobs a day, each of the largest gang",
        target.jobs_per_day,
        carriers.starts,
        jobs,
        PEAK,
        computed=True,
    )
    found.reach(TargetLine.RUNNING, "running tasks", target.running, carriers.running, running, FULL)


def _policies(site: Site, found: RowList) -> None:
    """Adds rows on placement by accelerators, gangs, teams, urgency, zones and regions."""
    target, carriers = site.target, CARRIERS[site.form]
    found.missing(TargetLine.WORKERS, "accelerators", target.accelerators, car.ACCELERATORS_GAP)
    if carriers.gangs is None:
        found.missing(TargetLine.RUNNING, "tasks of a gang", target.gang_most, car.GANGS_GAP)
    else:
        wanted = "gangs of the largest size asked for among the target's workers"
        found.reach(TargetLine.RUNNING, "tasks of a gang", target.gang_most, carriers.gangs, None, wanted)
    found.missing(TargetLine.TEAMS, "teams with quotas", target.teams, car.QUOTAS_GAP)
    found.stay(
        TargetLine.URGENT,
        "urgent start, with room",
        Unit.SECONDS,
        target.urgent_start_s,
        carriers.urgent_with_room,
        None,
        f"{PEAK}, with the time from ask to start of one class among the figures of the results",
    )
    found.missing_within(TargetLine.URGENT, "urgent start, site full", target.urgent_start_s, car.URGENT_GAP)
    found.missing(TargetLine.PLACES, "regions", target.regions, car.REGIONS_GAP)
    found.reach(
        TargetLine.PLACES,
        "zones",
        target.zones,
        carriers.zones,
        None,
        f"{FULL} over the target's zones, with the number of zones among the sizes of the results",
    )


def _configuration(site: Site, found: RowList) -> None:
    """Adds rows on the time until a changed configuration is in force everywhere."""
    target, carriers = site.target, CARRIERS[site.form]

    def add_time_in_force(figure: str, mechanism: Mechanism | None, gap: str, load: str) -> None:
        line, allowance = TargetLine.CONFIGURATION, target.configuration_in_force_s
        if mechanism is None:
            found.missing_within(line, figure, allowance, gap)
            return
        measured = site.slowest(load, lambda e: e.in_force_s)
        found.stay(line, figure, Unit.SECONDS, allowance, mechanism, measured, site.wanted(load))

    add_time_in_force(
        "settings in force everywhere", carriers.settings, car.SETTINGS_GAP, events.SETTINGS_CHANGE
    )
    add_time_in_force(
        "address of the list in force everywhere",
        carriers.list_address,
        car.LIST_ADDRESS_GAP,
        events.LIST_MOVES,
    )


def _control(site: Site, slopes: Slopes, planners: int, found: RowList) -> None:
    """Adds rows on the control costs of one planner at a site with ``planners`` planners.

    A cost that was not measured at this size is computed from the slopes.
    """
    target, carriers = site.target, CARRIERS[site.form]

    def add_cost(cost: str, figure: Figure, allowance: float, starts_per_s: float) -> None:
        size = site.size(planners, starts_per_s)
        measured = site.worst(figure, size)
        value = slopes.predict(figure, size).value if measured is None else measured
        found.stay(
            TargetLine.CONTROL,
            f"{cost}, one of {planners} planners",
            figure.unit,
            allowance,
            carriers.control,
            value,
            PEAK if starts_per_s else STANDING,
            computed=measured is None,
        )

    peak = target.starts_per_s
    add_cost("processor time, tasks standing", fig.CPU, target.control_cpu_share, 0.0)
    add_cost("processor time, at the peak of starts", fig.CPU, target.control_cpu_share, peak)
    add_cost("memory", fig.MEMORY, target.control_memory_mb, peak)
    add_cost("bytes without the tasks' own messages", fig.CONTROL_BYTES, target.control_bytes_per_s, peak)
    add_cost(
        "the same with headers of IP and TCP, estimated",
        fig.CONTROL_BYTES_WITH_HEADERS,
        target.control_bytes_per_s,
        peak,
    )
    add_cost(
        "bytes with the tasks' own messages, the other reading",
        fig.ALL_BYTES,
        target.control_bytes_per_s,
        peak,
    )


def _planner_machines(site: Site, best: PlannerCount | None, found: RowList) -> None:
    """Adds a row on whether the machines reserved for planners suffice.

    It uses the best number of planners, at which each planner should stay within its allowances.
    """
    among = "" if best is None else f", with {best.planners} planners"
    found.stay(
        TargetLine.PLANNER_MACHINES,
        f"largest of a planner's control costs over its allowance{among}",
        Unit.COUNT,
        1.0,
        CARRIERS[site.form].control,
        None if best is None else best.ratio,
        f"{STANDING}, at the numbers of planners of the table",
    )


def _lost_and_restarted(site: Site, found: RowList) -> None:
    """Adds rows on lost and restarted machines.

    The target sets no limit for detecting a loss. The limit for an urgent start is used, because the lost
    tasks may be urgent.
    """
    target, carriers = site.target, CARRIERS[site.form]

    def add_detection_time(line: TargetLine, figure: str, load: str) -> None:
        found.stay(
            line,
            figure,
            Unit.SECONDS,
            target.urgent_start_s,
            carriers.machine_lost,
            site.slowest(load, lambda e: e.known_s),
            site.wanted(load),
        )

    add_detection_time(TargetLine.MACHINE_EVENTS, "a failed machine is known", events.MACHINE_FAILS)
    found.stay(
        TargetLine.MACHINE_EVENTS,
        "work has caught up after restarts at once, before the next of an even day",
        Unit.SECONDS,
        SECONDS_OF_DAY / target.machine_restarts_per_day,
        carriers.restarted_workers,
        site.slowest(events.RESTARTS, lambda e: e.caught_up_s),
        site.wanted(events.RESTARTS),
    )
    add_detection_time(TargetLine.RACK_AND_ZONE, "a failed rack is known", events.RACK_FAILS)
    add_detection_time(TargetLine.RACK_AND_ZONE, "a zone that returns cold is known", events.ZONE_RETURNS)
    found.missing(
        TargetLine.REGION_CUT,
        "seconds that a cut region runs on by itself",
        target.region_cut_s,
        car.REGION_CUT_GAP,
    )

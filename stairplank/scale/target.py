"""Reads the target of a site: twelve requirements, each one a line, from a settings file."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from ..settings import parsers
from ..settings.schema import Block, Key, Section, load_section

SHIPPED = Path(__file__).resolve().parents[1] / "scales" / "target.conf"

TARGET: tuple[Key | Block, ...] = (
    Key("workers", (parsers.integer(1),), True),
    Key("accelerators", (parsers.integer(0),), True),
    Key("jobs-per-day", (parsers.integer(0),), True),
    Key("starts-per-second", (parsers.number(exclusive=True),), True),
    Key("running", (parsers.integer(1),), True),
    Key("gang-most", (parsers.integer(1),), True),
    Key("teams", (parsers.integer(0),), True),
    Key("urgent-start", (parsers.positive_duration,), True),
    Key("regions", (parsers.integer(1),), True),
    Key("zones", (parsers.integer(1),), True),
    Key("configuration-changes-per-day", (parsers.integer(0),), True),
    Key("configuration-in-force", (parsers.positive_duration,), True),
    Key("control-cores", (parsers.fraction,), True),
    Key("control-memory-mb", (parsers.number(exclusive=True),), True),
    Key("control-bytes-per-second", (parsers.number(exclusive=True),), True),
    Key("planner-machines", (parsers.integer(1),), True),
    Key("machine-failures-per-day", (parsers.number(),), True),
    Key("machine-restarts-per-day", (parsers.number(),), True),
    Key("rack-failures-per-year", (parsers.value_range(parsers.number()),), True),
    Key("zone-failures-per-year", (parsers.value_range(parsers.number()),), True),
    Key("region-cut", (parsers.positive_duration,), True),
)


class TargetLine(Enum):
    """The lines of the target; each value is the heading of the line on the capacity page."""

    WORKERS = "workers and accelerators"
    STARTS = "jobs a day and starts at the peak"
    RUNNING = "running tasks and gangs"
    TEAMS = "teams with quotas"
    URGENT = "urgent work"
    PLACES = "regions and zones"
    CONFIGURATION = "configuration in force"
    CONTROL = "control cost of a planner"
    PLANNER_MACHINES = "machines that run planners"
    MACHINE_EVENTS = "machines that fail or restart"
    RACK_AND_ZONE = "a rack, a switch, a zone"
    REGION_CUT = "regions cut off from each other"


@dataclass(frozen=True, slots=True)
class Target:
    """The required figures of one site. Times are in seconds, as in the results file."""

    workers: int
    accelerators: int
    jobs_per_day: int
    starts_per_s: float
    running: int
    gang_most: int
    teams: int
    urgent_start_s: float
    regions: int
    zones: int
    configuration_changes_per_day: int
    configuration_in_force_s: float
    control_cpu_share: float  # processor time as a share of one core
    control_memory_mb: float
    control_bytes_per_s: float
    planner_machines: int
    machine_failures_per_day: float
    machine_restarts_per_day: float
    rack_failures_per_year: tuple[float, float]
    zone_failures_per_year: tuple[float, float]
    region_cut_s: float


def load_target(path: str | Path = SHIPPED) -> Target:
    """Read and validate a target file. Raises SettingsError."""
    return target_from(load_section(path, TARGET))


def target_from(section: Section) -> Target:
    """Convert a section that was validated against ``TARGET``."""
    value_of = section.value
    return Target(
        workers=value_of("workers"),
        accelerators=value_of("accelerators"),
        jobs_per_day=value_of("jobs-per-day"),
        starts_per_s=value_of("starts-per-second"),
        running=value_of("running"),
        gang_most=value_of("gang-most"),
        teams=value_of("teams"),
        urgent_start_s=value_of("urgent-start") / 1e6,
        regions=value_of("regions"),
        zones=value_of("zones"),
        configuration_changes_per_day=value_of("configuration-changes-per-day"),
        configuration_in_force_s=value_of("configuration-in-force") / 1e6,
        control_cpu_share=value_of("control-cores"),
        control_memory_mb=value_of("control-memory-mb"),
        control_bytes_per_s=value_of("control-bytes-per-second"),
        planner_machines=value_of("planner-machines"),
        machine_failures_per_day=value_of("machine-failures-per-day"),
        machine_restarts_per_day=value_of("machine-restarts-per-day"),
        rack_failures_per_year=value_of("rack-failures-per-year"),
        zone_failures_per_year=value_of("zone-failures-per-year"),
        region_cut_s=value_of("region-cut") / 1e6,
    )


def described(target: Target) -> dict[TargetLine, str]:
    """Return the requirement of each line as the capacity page writes it."""
    racks, zones = target.rack_failures_per_year, target.zone_failures_per_year
    return {
        TargetLine.WORKERS: f"{target.workers:,} workers, {target.accelerators:,} accelerators among them",
        TargetLine.STARTS: f"{target.jobs_per_day:,} jobs a day, "
        f"{target.starts_per_s:g} starts/s at the peak",
        TargetLine.RUNNING: f"{target.running:,} running tasks, gangs of up to {target.gang_most}",
        TargetLine.TEAMS: f"{target.teams:,} teams with quotas",
        TargetLine.URGENT: f"urgent work starts within {target.urgent_start_s:g} s",
        TargetLine.PLACES: f"{target.regions} regions, {target.zones} zones",
        TargetLine.CONFIGURATION: f"{target.configuration_changes_per_day:,} changes a day, "
        f"in force everywhere within {target.configuration_in_force_s:g} s",
        TargetLine.CONTROL: f"at most {100 * target.control_cpu_share:g}% of a core, "
        f"{target.control_memory_mb:g} MB, {target.control_bytes_per_s:,g} B/s",
        TargetLine.PLANNER_MACHINES: f"{target.planner_machines} machines",
        TargetLine.MACHINE_EVENTS: f"{target.machine_failures_per_day:g} machines fail a day, "
        f"{target.machine_restarts_per_day:g} are restarted or replaced",
        TargetLine.RACK_AND_ZONE: f"{racks[0]:g} to {racks[1]:g} times a year a rack or a switch, "
        f"{zones[0]:g} to {zones[1]:g} times a zone",
        TargetLine.REGION_CUT: f"now and then regions lose each other for {target.region_cut_s:,g} s",
    }

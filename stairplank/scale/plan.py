"""Reads the file of a scale run and lists the samples to take. No I/O beyond reading the file.

A file names the size of a whole site (``target``) and any number of series. A series is a grid: every
``workers`` with every ``planners``, at each ``load`` (scaled with the workers: `idle`, `steady`, `peak`) or
at each combination of ``starts``, ``running`` and ``list-changes``, which apply to the whole site.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from ..settings import parsers
from ..settings.schema import Block, Key, Section, load_section
from ..settings.source import SettingsError, SettingsProblem, SourcePosition
from . import event_names as names
from .figures import IDLE, PEAK, PLAIN_LOADS, STEADY
from .results import Size

PLATFORM, GRPC = "platform", "grpc"
FORMS = (PLATFORM, GRPC)
EVENTS = (
    names.PLANNER_RESTARTS,
    names.ALL_PLANNERS_RESTART,
    names.MACHINE_FAILS,
    names.RACK_FAILS,
    names.RESTARTS,
    names.ZONE_RETURNS,
    names.REGION_CUT,
    names.LIST_MOVES,
    names.SETTINGS_CHANGE,
)
MAX_WORKERS, MAX_PLANNERS, MAX_RUNNING, MAX_STARTS_PER_S = 4000, 200, 100_000, 2000.0
MAX_REAL_PLANNERS = 16
STEADY_SHARE = 1 / 7  # share of the target's starts; the default of `steady`
MAX_PROCESSES = 300  # upper bound and default of `processes-most`
SECOND_US = 1_000_000
DEFAULT_SPAN_US, DEFAULT_SETTLE_US, DEFAULT_TIME_LIMIT_US = 6 * SECOND_US, 3 * SECOND_US, 900 * SECOND_US

_WORKERS = parsers.integer(1, MAX_WORKERS)
_PLANNERS = parsers.integer(1, MAX_PLANNERS)
_RUNNING = parsers.integer(0, MAX_RUNNING)
_STARTS = parsers.number(0, MAX_STARTS_PER_S)


def _list_key(name: str, value: parsers.ValueParser, required: bool = False) -> Key:
    return Key(name, required=required, rest_parser=value, min_rest=1)


SERIES = Block(
    "series",
    (parsers.name,),
    (
        _list_key("form", parsers.choice(*FORMS)),
        _list_key("workers", _WORKERS),
        _list_key("planners", _PLANNERS),
        _list_key("load", parsers.choice(*PLAIN_LOADS)),
        _list_key("starts", _STARTS),
        _list_key("running", _RUNNING),
        _list_key("list-changes", parsers.number(0, 1000)),
        Key("span", (parsers.positive_duration,)),  # overrides the `span` that applies to the whole file
    ),
)
SCALE: tuple[Key | Block, ...] = (
    Key(
        "target",
        (
            _WORKERS,
            _PLANNERS,
            parsers.number(0, MAX_STARTS_PER_S, exclusive=True),
            parsers.integer(1, MAX_RUNNING),
        ),
        required=True,
        separators=("workers", "planners", "starts", "running"),
    ),
    # `steady` sets the target's task starts a second outside the peak.
    Key("steady", (parsers.number(0, MAX_STARTS_PER_S, exclusive=True),)),
    Key("span", (parsers.positive_duration,)),
    Key("settle", (parsers.positive_duration,)),
    Key("repeat", (parsers.integer(1, 100),)),
    Key("real-planners", (parsers.integer(1, MAX_REAL_PLANNERS),)),
    Key("zones", (parsers.integer(1, 100),)),
    Key("rack", (parsers.integer(1, 1000),)),  # workers in one rack
    Key("restarted", (parsers.integer(1, MAX_WORKERS),)),  # workers affected by the event `restarts`
    Key("descriptors", (parsers.integer(64, 1_000_000),)),  # file descriptor limit of a planner
    Key("processes-most", (parsers.integer(5, MAX_PROCESSES),)),
    Key("memory-most", (parsers.size,)),
    Key("time-most", (parsers.positive_duration,)),
    SERIES,
    # An event may list planner counts; one sample is taken for each count.
    Key("event", (parsers.choice(*EVENTS),), False, True, rest_parser=_PLANNERS),
)


@dataclass(frozen=True, slots=True)
class Layout:
    """The properties of a site that do not depend on its size."""

    real_planners: int = 1
    zones: int = 6
    rack_size: int = 40
    descriptors: int = 4096  # file descriptor limit of a planner
    restarted: int = 200  # workers affected by the event `restarts`


@dataclass(frozen=True, slots=True)
class SampleSpec:
    """A sample to take, with the position in the file that specifies it."""

    form: str
    load: str
    size: Size
    list_changes_per_s: float
    span_s: float
    at: SourcePosition
    repeat: int = 0

    @property
    def is_event(self) -> bool:
        return self.load in EVENTS or self.load in names.SETTINGS_EVENTS

    @property
    def life_s(self) -> float:
        """Returns the run time of a task that keeps the number of running tasks constant; 0 means no end."""
        return self.size.running / self.size.starts_per_s if self.size.starts_per_s else 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """A complete scale run: its target, its samples and its limits."""

    name: str
    target: Size
    samples: tuple[SampleSpec, ...]
    layout: Layout
    settle_s: float
    processes_most: int
    memory_most: int | None  # bytes; None means half of the machine's memory
    time_most_s: float


def load_plan(path: str | Path) -> Plan:
    """Reads the file of a scale run. Raises SettingsError if it is not valid."""
    section = load_section(path, SCALE)
    one = section.value
    target = _target(section)
    repeats = one("repeat", 1)
    specs = [*_series(section, target), *_events(section, target)]
    if not specs:
        raise SettingsError([SettingsProblem(section.position, "series", "a series or an event is needed")])
    return Plan(
        name=Path(path).stem,
        target=target,
        samples=_repeated(specs, repeats),
        layout=_layout(section),
        settle_s=one("settle", DEFAULT_SETTLE_US) / SECOND_US,
        processes_most=one("processes-most", MAX_PROCESSES),
        memory_most=one("memory-most"),
        time_most_s=one("time-most", DEFAULT_TIME_LIMIT_US) / SECOND_US,
    )


def _layout(section: Section) -> Layout:
    default = Layout()
    return Layout(
        section.value("real-planners", default.real_planners),
        section.value("zones", default.zones),
        section.value("rack", default.rack_size),
        section.value("descriptors", default.descriptors),
        section.value("restarted", default.restarted),
    )


def _target(section: Section) -> Size:
    workers, planners, starts, running = section.value("target")
    return Size(workers, planners, starts, running)


def _values(block: Section, key: str, default: tuple[Any, ...]) -> tuple[Any, ...]:
    found = block.all_values(key)
    return found[0] if found else default


def _series(section: Section, target: Size) -> list[SampleSpec]:
    steady = section.value("steady", target.starts_per_s * STEADY_SHARE)
    specs_found: list[SampleSpec] = []
    for block in section.blocks.get("series", ()):
        forms = _values(block, "form", (PLATFORM,))
        workers = _values(block, "workers", (target.workers,))
        planners = _values(block, "planners", (target.planners,))
        span_s = block.value("span", _span_s(section) * SECOND_US) / SECOND_US
        position = block.position_of("workers" if "workers" in block.keys else "planners")
        for form, worker_count, planner_count in itertools.product(forms, workers, planners):
            for load_name, starts, running, changes in _loads(block, target, steady, worker_count):
                size = Size(worker_count, planner_count, starts, running)
                specs_found.append(SampleSpec(form, load_name, size, changes, span_s, position))
    return specs_found


def _loads(block: Section, target: Size, steady: float, workers: int) -> list[tuple[str, float, int, float]]:
    """Returns each load of a series for ``workers``: its name, starts, running tasks and list changes."""
    grid = ("starts", "running", "list-changes")
    if "load" in block.keys:
        conflicting = next((key for key in grid if key in block.keys), None)
        if conflicting is not None:
            problem = SettingsProblem(
                block.position_of(conflicting),
                conflicting,
                "cannot stand beside `load`, which already sets it",
            )
            raise SettingsError([problem])
        return [_named_load(name, target, steady, workers) for name in block.all_values("load")[0]]
    starts = _values(block, "starts", (0.0,))
    running = _values(block, "running", (0,))
    changes = _values(block, "list-changes", (0.0,))
    combined = list(itertools.product(starts, running, changes))
    if any(changes) and GRPC in _values(block, "form", ()):
        text = "is for the platform form alone"
        raise SettingsError([SettingsProblem(block.position_of("list-changes"), "list-changes", text)])
    for rate, count, _ in combined:
        if rate and not count:
            text = "with `starts`, tasks run: `running` above 0 is needed"
            raise SettingsError([SettingsProblem(block.position_of("starts"), "starts", text)])
    return [(_load_name(rate, per_s, target), rate, count, per_s) for rate, count, per_s in combined]


def _named_load(name: str, target: Size, steady: float, workers: int) -> tuple[str, float, int, float]:
    scale = workers / target.workers
    if name == IDLE:
        return name, 0.0, 0, 0.0
    starts = round((steady if name == STEADY else target.starts_per_s) * scale, 3)
    return name, starts, max(1, round(target.running * scale)), 0.0


def _load_name(starts: float, list_changes: float, target: Size) -> str:
    if list_changes:
        return f"{names.LIST_CHANGES}{list_changes:g}"
    if not starts:
        return IDLE
    return PEAK if starts >= target.starts_per_s else STEADY


def _events(section: Section, target: Size) -> list[SampleSpec]:
    steady = section.value("steady", target.starts_per_s * STEADY_SHARE)
    _, starts, running, _ = _named_load(STEADY, target, steady, target.workers)
    size = Size(target.workers, target.planners, starts, running)
    specs_found: list[SampleSpec] = []
    for position, (name, *planners) in section.keys.get("event", ()):
        for count in planners or [target.planners]:
            if name == names.SETTINGS_CHANGE:
                specs_found += _settings_events(count, _span_s(section), position)
            else:
                specs_found.append(
                    SampleSpec(PLATFORM, name, replace(size, planners=count), 0.0, 0.0, position)
                )
    return specs_found


def _settings_events(planners: int, span_s: float, position: SourcePosition) -> list[SampleSpec]:
    """Returns the samples of a settings change. They use gRPC planners only, without workers or tasks."""
    size = Size(0, planners, 0.0, 0)
    return [SampleSpec(GRPC, load_name, size, 0.0, span_s, position) for load_name in names.SETTINGS_EVENTS]


def _span_s(section: Section) -> float:
    return float(section.value("span", DEFAULT_SPAN_US)) / SECOND_US


def _repeated(specs: list[SampleSpec], repeats: int) -> tuple[SampleSpec, ...]:
    """Returns each sample once per repeat, even if two series specify the same sample."""
    unique: dict[Any, SampleSpec] = {}
    for spec in specs:
        unique.setdefault((spec.form, spec.load, spec.size, spec.list_changes_per_s), spec)
    return tuple(replace(spec, repeat=number) for number in range(repeats) for spec in unique.values())

"""The file of a scale run, and the samples that it asks for. No I/O beyond reading the file.

A file names the size of a whole site (``target``) and any number of series. A series is a grid: every
``workers`` with every ``planners``, at each ``load`` (scaled with the workers: `idle`, `steady`, `peak`) or
at each combination of ``starts``, ``running`` and ``list-changes``, which are those of the whole site.
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
WORKERS_MOST, PLANNERS_MOST, RUNNING_MOST, STARTS_MOST = 4000, 200, 100_000, 2000.0
REAL_PLANNERS_MOST = 16
STEADY_SHARE = 1 / 7  # of the target's starts, where the file does not say
PROCESSES_MOST = 300  # whatever a file asks for
SECOND_US = 1_000_000
SPAN_US, SETTLE_US, TIME_MOST_US = 6 * SECOND_US, 3 * SECOND_US, 900 * SECOND_US

_WORKERS = parsers.integer(1, WORKERS_MOST)
_PLANNERS = parsers.integer(1, PLANNERS_MOST)
_RUNNING = parsers.integer(0, RUNNING_MOST)
_STARTS = parsers.number(0, STARTS_MOST)


def _many(name: str, value: parsers.ValueParser, required: bool = False) -> Key:
    return Key(name, required=required, rest_parser=value, min_rest=1)


SERIES = Block(
    "series",
    (parsers.name,),
    (
        _many("form", parsers.choice(*FORMS)),
        _many("workers", _WORKERS),
        _many("planners", _PLANNERS),
        _many("load", parsers.choice(*PLAIN_LOADS)),
        _many("starts", _STARTS),
        _many("running", _RUNNING),
        _many("list-changes", parsers.number(0, 1000)),
        Key("span", (parsers.positive_duration,)),  # in place of the file's
    ),
)
SCALE: tuple[Key | Block, ...] = (
    Key(
        "target",
        (
            _WORKERS,
            _PLANNERS,
            parsers.number(0, STARTS_MOST, exclusive=True),
            parsers.integer(1, RUNNING_MOST),
        ),
        required=True,
        separators=("workers", "planners", "starts", "running"),
    ),
    Key(
        "steady", (parsers.number(0, STARTS_MOST, exclusive=True),)
    ),  # starts a second of the target, off the peak
    Key("span", (parsers.positive_duration,)),
    Key("settle", (parsers.positive_duration,)),
    Key("repeat", (parsers.integer(1, 100),)),
    Key("real-planners", (parsers.integer(1, REAL_PLANNERS_MOST),)),
    Key("zones", (parsers.integer(1, 100),)),
    Key("rack", (parsers.integer(1, 1000),)),  # workers in one
    Key("restarted", (parsers.integer(1, WORKERS_MOST),)),  # workers of the event `restarts`
    Key("descriptors", (parsers.integer(64, 1_000_000),)),  # of a planner
    Key("processes-most", (parsers.integer(5, PROCESSES_MOST),)),
    Key("memory-most", (parsers.size,)),
    Key("time-most", (parsers.positive_duration,)),
    SERIES,
    Key(
        "event", (parsers.choice(*EVENTS),), False, True, rest_parser=_PLANNERS
    ),  # with so many planners, each
)


@dataclass(frozen=True, slots=True)
class Layout:
    """How a site is built, whatever its size."""

    real_planners: int = 1
    zones: int = 6
    rack_size: int = 40
    descriptors: int = 4096  # of a planner
    restarted: int = 200  # workers of the event `restarts`


@dataclass(frozen=True, slots=True)
class SampleSpec:
    """One sample that is asked for, and the place in the file that asks."""

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
        """Of a task, so that the running ones stay as many; 0 for no end."""
        return self.size.running / self.size.starts_per_s if self.size.starts_per_s else 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """A whole run."""

    name: str
    target: Size
    samples: tuple[SampleSpec, ...]
    layout: Layout
    settle_s: float
    processes_most: int
    memory_most: int | None  # bytes; None: half of the machine's
    time_most_s: float


def load_plan(path: str | Path) -> Plan:
    """Raises SettingsError."""
    section = load_section(path, SCALE)
    one = section.value
    target = _target(section)
    repeats = one("repeat", 1)
    asked = [*_series(section, target), *_events(section, target)]
    if not asked:
        raise SettingsError([SettingsProblem(section.position, "series", "a series or an event is needed")])
    return Plan(
        name=Path(path).stem,
        target=target,
        samples=_repeated(asked, repeats),
        layout=_layout(section),
        settle_s=one("settle", SETTLE_US) / SECOND_US,
        processes_most=one("processes-most", PROCESSES_MOST),
        memory_most=one("memory-most"),
        time_most_s=one("time-most", TIME_MOST_US) / SECOND_US,
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
    out: list[SampleSpec] = []
    for block in section.blocks.get("series", ()):
        forms = _values(block, "form", (PLATFORM,))
        workers = _values(block, "workers", (target.workers,))
        planners = _values(block, "planners", (target.planners,))
        span_s = block.value("span", _span_s(section) * SECOND_US) / SECOND_US
        place = block.position_of("workers" if "workers" in block.keys else "planners")
        for form, worker_count, planner_count in itertools.product(forms, workers, planners):
            for load_name, starts, running, changes in _loads(block, target, steady, worker_count):
                size = Size(worker_count, planner_count, starts, running)
                out.append(SampleSpec(form, load_name, size, changes, span_s, place))
    return out


def _loads(block: Section, target: Size, steady: float, workers: int) -> list[tuple[str, float, int, float]]:
    """Each load of a series at so many workers: its name, starts, running tasks, changes of the list."""
    grid = ("starts", "running", "list-changes")
    if "load" in block.keys:
        both = next((key for key in grid if key in block.keys), None)
        if both is not None:
            problem = SettingsProblem(
                block.position_of(both), both, "cannot stand beside `load`, which says it already"
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
            text = "tasks that start also run: `running` above 0 is needed"
            raise SettingsError([SettingsProblem(block.position_of("starts"), "starts", text)])
    return [(_name_of(rate, per_s, target), rate, count, per_s) for rate, count, per_s in combined]


def _named_load(name: str, target: Size, steady: float, workers: int) -> tuple[str, float, int, float]:
    scale = workers / target.workers
    if name == IDLE:
        return name, 0.0, 0, 0.0
    starts = round((steady if name == STEADY else target.starts_per_s) * scale, 3)
    return name, starts, max(1, round(target.running * scale)), 0.0


def _name_of(starts: float, list_changes: float, target: Size) -> str:
    if list_changes:
        return f"{names.LIST_CHANGES}{list_changes:g}"
    if not starts:
        return IDLE
    return PEAK if starts >= target.starts_per_s else STEADY


def _events(section: Section, target: Size) -> list[SampleSpec]:
    steady = section.value("steady", target.starts_per_s * STEADY_SHARE)
    _, starts, running, _ = _named_load(STEADY, target, steady, target.workers)
    size = Size(target.workers, target.planners, starts, running)
    out: list[SampleSpec] = []
    for place, (name, *planners) in section.keys.get("event", ()):
        for count in planners or [target.planners]:
            if name == names.SETTINGS_CHANGE:
                out += _settings_events(count, _span_s(section), place)
            else:
                out.append(SampleSpec(PLATFORM, name, replace(size, planners=count), 0.0, 0.0, place))
    return out


def _settings_events(planners: int, span_s: float, place: SourcePosition) -> list[SampleSpec]:
    """A change of the settings needs no workers and no tasks: planners of the gRPC form alone."""
    size = Size(0, planners, 0.0, 0)
    return [SampleSpec(GRPC, load_name, size, 0.0, span_s, place) for load_name in names.SETTINGS_EVENTS]


def _span_s(section: Section) -> float:
    return float(section.value("span", SPAN_US)) / SECOND_US


def _repeated(asked: list[SampleSpec], repeats: int) -> tuple[SampleSpec, ...]:
    """Each sample once a repeat, although two series may ask for it."""
    unique: dict[Any, SampleSpec] = {}
    for spec in asked:
        unique.setdefault((spec.form, spec.load, spec.size, spec.list_changes_per_s), spec)
    return tuple(replace(spec, repeat=number) for number in range(repeats) for spec in unique.values())

"""Defines the figures of a sample and the sizes by which they are fitted. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from .event_names import list_changes_per_s
from .results import Sample

IDLE, STEADY, PEAK = "idle", "steady", "peak"
PLAIN_LOADS = (IDLE, STEADY, PEAK)  # every other load of a sample is an event


class Unit(Enum):
    """The unit with which a figure is written on the capacity page."""

    SHARE = "% of a core"
    MEGABYTES = "MB"
    BYTES_PER_S = "B/s"
    PER_S = "/s"
    COUNT = ""
    SECONDS = "s"


@dataclass(frozen=True, slots=True)
class Figure:
    """A figure of a sample; ``read`` returns None if the sample does not contain it."""

    title: str
    unit: Unit
    read: Callable[[Sample], float | None]


CPU = Figure("processor time of a planner", Unit.SHARE, lambda s: s.planner.cpu_share)
MEMORY = Figure("memory of a planner", Unit.MEGABYTES, lambda s: s.planner.memory_mb)
CONTROL_BYTES = Figure(
    "control bytes of a planner", Unit.BYTES_PER_S, lambda s: s.planner.control_bytes_per_s
)
CONTROL_BYTES_WITH_HEADERS = Figure(
    "the same with headers, estimated",
    Unit.BYTES_PER_S,
    lambda s: s.planner.control_bytes_with_headers_per_s,
)
ALL_BYTES = Figure("all bytes of a planner", Unit.BYTES_PER_S, lambda s: s.planner.bytes_per_s)
CONTROL_MESSAGES = Figure(
    "control messages of a planner", Unit.PER_S, lambda s: s.planner.control_messages_per_s
)
ALL_MESSAGES = Figure("all messages of a planner", Unit.PER_S, lambda s: s.planner.messages_per_s)
CONNECTIONS = Figure("connections to workers", Unit.COUNT, lambda s: s.planner.connections)
DIALS = Figure("dials of a planner", Unit.PER_S, lambda s: s.planner.dials_per_s)
TASK_MACHINES = Figure("workers with tasks of a planner", Unit.COUNT, lambda s: s.planner.task_machines)
WORKER_CONNECTIONS = Figure("connections at a worker", Unit.COUNT, lambda s: s.peers.worker_connections)
WORKER_DIALS = Figure("dials that reach a worker", Unit.PER_S, lambda s: s.peers.worker_dials_per_s)
WORKER_BYTES = Figure("bytes of a worker", Unit.BYTES_PER_S, lambda s: s.peers.worker_bytes_per_s)
WORKER_MESSAGES = Figure("messages of a worker", Unit.PER_S, lambda s: s.peers.worker_messages_per_s)
LIST_CPU = Figure("processor time of the node list", Unit.SHARE, lambda s: s.peers.list_cpu_share)
LIST_BYTES = Figure("bytes of the node list", Unit.BYTES_PER_S, lambda s: s.peers.list_bytes_per_s)
LIST_CONNECTIONS = Figure("connections at the node list", Unit.COUNT, lambda s: s.peers.list_connections)

PLANNER_FIGURES = (
    CPU,
    MEMORY,
    CONTROL_BYTES,
    CONTROL_BYTES_WITH_HEADERS,
    ALL_BYTES,
    CONTROL_MESSAGES,
    ALL_MESSAGES,
    CONNECTIONS,
    DIALS,
    TASK_MACHINES,
)
PEER_FIGURES = (
    WORKER_CONNECTIONS,
    WORKER_DIALS,
    WORKER_BYTES,
    WORKER_MESSAGES,
    LIST_CPU,
    LIST_BYTES,
    LIST_CONNECTIONS,
)
KNOWN = Figure("until an event is known", Unit.SECONDS, lambda s: s.event.known_s)
READY = Figure("until restarted planners are ready", Unit.SECONDS, lambda s: s.event.ready_s)
CAUGHT_UP = Figure("until waiting work is caught up", Unit.SECONDS, lambda s: s.event.caught_up_s)
IN_FORCE = Figure("until a configuration is in force", Unit.SECONDS, lambda s: s.event.in_force_s)
EVENT_FIGURES = (KNOWN, READY, CAUGHT_UP, IN_FORCE)


@dataclass(frozen=True, slots=True)
class Axis:
    """A size by which figures are fitted.

    ``size`` returns None for a sample that does not belong on the axis. Samples of one series agree in their
    ``fixed_sizes``.
    """

    title: str
    size: Callable[[Sample], float | None]
    fixed_sizes: Callable[[Sample], tuple[float, ...]]
    wanted: str  # the samples needed to fit a line along this axis


def running_per_planner(sample: Sample) -> float:
    """Returns the running tasks per planner, assuming that the planners share them evenly."""
    return sample.size.running / sample.size.planners


def starts_per_planner(sample: Sample) -> float:
    """Returns the task starts per second of one planner, assuming that the planners share them evenly."""
    return sample.size.starts_per_s / sample.size.planners


def list_changes(sample: Sample) -> float | None:
    """Returns the changes of the node list per second; None for any other event."""
    return 0.0 if is_plain(sample) else list_changes_per_s(sample.load)


def is_plain(sample: Sample) -> bool:
    """Returns whether the sample has a plain load, without an event."""
    return sample.load in PLAIN_LOADS


def stands(sample: Sample) -> bool:
    """Returns whether no task starts. A planner's cost is then all control, apart from its running tasks."""
    return is_plain(sample) and sample.size.starts_per_s == 0


def is_idle(sample: Sample) -> bool:
    """Returns whether no task starts and none runs."""
    return stands(sample) and sample.size.running == 0


def _size_if(
    chosen: Callable[[Sample], bool], size: Callable[[Sample], float]
) -> Callable[[Sample], float | None]:
    """Returns a reader that gives the size of the chosen samples and None for all others."""
    return lambda sample: size(sample) if chosen(sample) else None


WORKERS = Axis(
    "workers",
    _size_if(is_idle, lambda s: s.size.workers),
    lambda s: (s.size.planners, s.size.running, s.size.starts_per_s),
    "idle samples at four numbers of workers",
)
WHOLE_SITE = Axis(
    "workers, tasks and starts growing with them",
    _size_if(is_plain, lambda s: s.size.workers),
    lambda s: (
        s.size.starts_per_s / s.size.workers,
        s.size.running / s.size.workers,
        s.size.planners,
    ),
    "samples at the peak of sites of four sizes",
)
RUNNING = Axis(
    "running tasks of a planner",
    _size_if(stands, running_per_planner),
    lambda s: (s.size.workers, s.size.planners, s.size.starts_per_s),
    "samples without starts at four numbers of running tasks",
)
TASK_WORKERS = Axis(
    "workers with tasks of a planner",
    lambda s: s.planner.task_machines if stands(s) else None,
    lambda s: (s.size.workers, s.size.planners, s.size.starts_per_s),
    "samples without starts at four numbers of running tasks",
)
STARTS = Axis(
    "starts a second of a planner",
    _size_if(is_plain, starts_per_planner),
    lambda s: (s.size.workers, s.size.planners, s.size.running),
    "samples with as many running tasks at four rates of starts",
)
PLANNERS = Axis(
    "planners",
    _size_if(is_plain, lambda s: s.size.planners),
    lambda s: (s.size.workers, s.size.running, s.size.starts_per_s),
    "samples of one site at four numbers of planners",
)
LIST_CHANGES = Axis(
    "changes of the list a second",
    list_changes,
    lambda s: (s.size.workers, s.size.planners, s.size.running, s.size.starts_per_s),
    "samples of one site at four rates of list changes",
)
RESTARTS = Axis(
    "workers restarted an hour",
    lambda s: None,
    lambda s: (),
    "samples at four rates of restarts, with the rate among the sizes of the results",
)
AXES = (WORKERS, WHOLE_SITE, RUNNING, TASK_WORKERS, STARTS, PLANNERS, LIST_CHANGES, RESTARTS)

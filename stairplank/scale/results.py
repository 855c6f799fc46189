"""The results file of a scale run: typed records, written and read as JSON. This module measures nothing.

A run is a list of samples. A sample covers one span of time at one size of the site: the form of the
planner, the size of the site, the load or event during the span, and the counted figures. The figures of a
planner belong to one real planner process; a figure that was not measured is None, never zero.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field, fields
from pathlib import Path
from typing import Any

VERSION = 1


class ResultsError(Exception):
    """Raised where a file is not a results file of this version; the message names the fault."""


@dataclass(frozen=True, slots=True)
class Size:
    """The size of the site during a sample; ``starts_per_s`` and ``running`` count the whole site."""

    workers: int
    planners: int
    starts_per_s: float
    running: int


@dataclass(frozen=True, slots=True)
class PlannerCost:
    """The figures of one real planner process.

    Rates are per second of the span. Bytes count the messages at the sockets, without packet headers.
    """

    cpu_share: float | None = None  # processor time as a share of one core
    memory_mb: float | None = None  # resident memory
    connections: float | None = None  # open connections to workers, mean over the span
    dials_per_s: float | None = None
    bytes_per_s: float | None = None  # all messages in both directions
    control_bytes_per_s: float | None = None  # all messages except those of tasks
    messages_per_s: float | None = None
    control_messages_per_s: float | None = None
    # Control bytes including IP and TCP headers, estimated from the counted dials and messages.
    control_bytes_with_headers_per_s: float | None = None
    task_machines: float | None = None  # workers that run tasks of this planner, mean over the span


@dataclass(frozen=True, slots=True)
class PeerCost:
    """The figures of a planner's peers: of one hollow worker, and of the node list process."""

    worker_connections: float | None = None  # open connections at one worker, mean over workers
    worker_dials_per_s: float | None = None  # connections that one worker accepted, mean over workers
    worker_bytes_per_s: float | None = None
    worker_messages_per_s: float | None = None
    list_cpu_share: float | None = None  # processor time of the node list process, as a share of one core
    list_bytes_per_s: float | None = None
    list_connections: float | None = None


@dataclass(frozen=True, slots=True)
class EventTimes:
    """Times in seconds from an event until its effects; None where one does not apply or was not measured."""

    known_s: float | None = None  # until the planner acts on it (releases the tasks or applies the list)
    ready_s: float | None = None  # until restarted processes are ready, 90th percentile
    caught_up_s: float | None = None  # until the amount of waiting work is back at its level before the event
    in_force_s: float | None = None  # until the last planner has the changed configuration in force


@dataclass(frozen=True, slots=True)
class Sample:
    """One measured span. ``form``: platform or grpc. ``load``: idle, steady, peak, or an event's name."""

    form: str
    load: str
    size: Size
    span_s: float
    repeat: int = 0  # number of the repeat of this size and load within one results file, from 0
    planner: PlannerCost = field(default_factory=PlannerCost)
    peers: PeerCost = field(default_factory=PeerCost)
    event: EventTimes = field(default_factory=EventTimes)
    changes: int = 0  # configuration changes made in the span
    note: str = ""  # a limit of this sample, such as a load that the machine did not reach


@dataclass(frozen=True, slots=True)
class Results:
    """A whole run. ``partial``: it was interrupted, or a bound ended it, before all samples were taken."""

    label: str  # the state of the program that was measured
    machine: str  # cores and memory of the machine, as one line
    samples: tuple[Sample, ...] = ()
    partial: bool = False
    seconds: float = 0.0
    version: int = VERSION


def write(results: Results, path: str | Path) -> None:
    """Write the file atomically: an interrupted write in place would lose the samples already measured."""
    target = Path(path)
    temporary = target.with_suffix(target.suffix + ".new")
    temporary.write_text(json.dumps(asdict(results), indent=1) + "\n", encoding="utf-8")
    temporary.replace(target)


def read(path: str | Path) -> Results:
    """Read a results file. Raises ResultsError."""
    try:
        value = json.loads(Path(path).read_text(encoding="utf-8"))
        if value["version"] != VERSION:
            raise ResultsError(f"{path}: version {value['version']}, not {VERSION}")
        samples = tuple(_sample(row) for row in value["samples"])
        known = {key: value[key] for key in ("label", "machine", "partial", "seconds", "version")}
        return Results(samples=samples, **known)
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise ResultsError(f"{path}: {type(error).__name__}: {error}") from None


def _sample(row: dict[str, Any]) -> Sample:
    parts = {"size": Size, "planner": PlannerCost, "peers": PeerCost, "event": EventTimes}
    plain = {f.name: row[f.name] for f in fields(Sample) if f.name not in parts and f.name in row}
    return Sample(**plain, **{name: kind(**row[name]) for name, kind in parts.items()})

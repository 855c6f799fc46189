"""The results file of a scale run: typed records, written and read as JSON. No measuring here.

A run is a list of samples. A sample is one span of time at one size of the site: which form of the planner,
how large the site was, what happened meanwhile, and what was counted. Figures of a planner are those of one
real planner process; a figure that was not measured is None, never zero.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field, fields
from pathlib import Path
from typing import Any

VERSION = 1


class ResultsError(Exception):
    """The file is no results file of this version; the text names what is wrong."""


@dataclass(frozen=True, slots=True)
class Size:
    """The site during a sample; ``starts_per_s`` and ``running`` are those of the whole site."""

    workers: int
    planners: int
    starts_per_s: float
    running: int


@dataclass(frozen=True, slots=True)
class PlannerCost:
    """Of one real planner process. Rates are per second of the span; bytes are those of messages at the
    sockets, without headers of packets."""

    cpu_share: float | None = None  # of one core
    memory_mb: float | None = None  # resident
    connections: float | None = None  # open to workers, mean over the span
    dials_per_s: float | None = None
    bytes_per_s: float | None = None  # all messages, both directions
    control_bytes_per_s: float | None = None  # without the tasks' own messages
    messages_per_s: float | None = None
    control_messages_per_s: float | None = None
    # Estimated: control bytes with headers of IP and TCP, from counted dials and messages.
    control_bytes_with_headers_per_s: float | None = None
    task_machines: float | None = None  # workers at which tasks of this planner run, mean over the span


@dataclass(frozen=True, slots=True)
class PeerCost:
    """Of the other side, per hollow peer or for the one list process."""

    worker_connections: float | None = None  # open at one worker, mean over workers
    worker_dials_per_s: float | None = None  # accepted by one worker, mean over workers
    worker_bytes_per_s: float | None = None
    worker_messages_per_s: float | None = None
    list_cpu_share: float | None = None  # of one core, the node list process
    list_bytes_per_s: float | None = None
    list_connections: float | None = None


@dataclass(frozen=True, slots=True)
class EventTimes:
    """What an event took, in seconds after it; None where it did not apply or was not measured."""

    known_s: float | None = None  # until the planner acts on it (what stood there is released, list taken)
    ready_s: float | None = None  # 90th percentile of restarted processes until ready
    caught_up_s: float | None = None  # until the waiting work is at its level before the event again
    in_force_s: float | None = None  # until the last planner has the changed configuration in force


@dataclass(frozen=True, slots=True)
class Sample:
    """One span. ``form``: platform or grpc. ``load``: idle, steady, peak, or the name of an event."""

    form: str
    load: str
    size: Size
    span_s: float
    repeat: int = 0  # of the same size and load within one results file, from 0
    planner: PlannerCost = field(default_factory=PlannerCost)
    peers: PeerCost = field(default_factory=PeerCost)
    event: EventTimes = field(default_factory=EventTimes)
    changes: int = 0  # of the configuration, made in the span
    note: str = ""  # what the machine could not do, or another limit of this sample


@dataclass(frozen=True, slots=True)
class Results:
    """A whole run. ``partial``: it was interrupted, or a bound ended it, before all samples were taken."""

    label: str  # what was measured: the state of the program
    machine: str  # cores and memory of the machine, as one line
    samples: tuple[Sample, ...] = ()
    partial: bool = False
    seconds: float = 0.0
    version: int = VERSION


def write(results: Results, path: str | Path) -> None:
    """Write the file whole or not at all. Danger: cut off half-way, it would lose what was measured."""
    target = Path(path)
    scratch = target.with_suffix(target.suffix + ".new")
    scratch.write_text(json.dumps(asdict(results), indent=1) + "\n", encoding="utf-8")
    scratch.replace(target)


def read(path: str | Path) -> Results:
    """Raises ResultsError."""
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

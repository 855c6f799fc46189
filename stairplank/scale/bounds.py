"""Estimates the resources of a scale run and rejects a run that exceeds the limits before it starts."""

from __future__ import annotations

import resource
from dataclasses import dataclass
from pathlib import Path

import psutil

from ..settings.source import SettingsError, SettingsProblem
from .plan import GRPC, Plan, SampleSpec, load_plan

MEGABYTE = 2**20
MEMORY_SHARE = 0.5  # largest part of the machine's memory that a run may use
# The memory figures below estimate resident memory and lie above the values seen in trial runs.
PROCESS_MB = 40.0  # memory of a hollow process without the peers that it simulates
REAL_PLANNER_MB = 90.0
HOLLOW_PLANNER_MB = 12.0
WORKER_MB = 0.05
CONNECTION_MB = 0.05  # memory of both ends of a connection in the platform form
GRPC_LINK_MB = 0.2  # memory of both ends of a connection in the gRPC form
TASK_MB = 0.02  # memory that a running task takes at its worker, planner and client together
# A planner may have this many connections to one worker while it renews them; the gRPC form keeps one.
CONNECTIONS_PER_MACHINE = 3
WORKERS_PER_PROCESS = 250
PLANNERS_PER_PROCESS = 8
SERVICE_PROCESSES = 2  # the node list service and the process of all clients
DESCRIPTORS_SPARE = 200


@dataclass(frozen=True, slots=True)
class Estimate:
    """The resources that one site needs."""

    processes: int
    memory_mb: float
    descriptors: int  # file descriptors of the process that needs the most


def parts(count: int, most: int) -> int:
    """Returns the number of processes for ``count`` peers, with at most ``most`` peers in each."""
    return -(-count // most)


def _per_part(total: int, count: int, most: int) -> int:
    """Returns one process's share of ``total``, where ``count`` peers run ``most`` to a process."""
    return total // max(1, parts(count, most))


def estimate(spec: SampleSpec, real_planners: int) -> Estimate:
    """Estimates the resources of the site at which this sample is taken."""
    size = spec.size
    hollow = max(0, size.planners - real_planners)
    hollow_processes = parts(size.workers, WORKERS_PER_PROCESS) + parts(hollow, PLANNERS_PER_PROCESS)
    processes = hollow_processes + SERVICE_PROCESSES + real_planners
    connections = _connections(spec)
    connection_mb = GRPC_LINK_MB if spec.form == GRPC else CONNECTION_MB
    memory_mb = (
        (hollow_processes + SERVICE_PROCESSES) * PROCESS_MB
        + real_planners * REAL_PLANNER_MB
        + hollow * HOLLOW_PLANNER_MB
        + size.workers * WORKER_MB
        + connections * connection_mb
        + size.running * TASK_MB
    )
    at_workers = min(size.workers, WORKERS_PER_PROCESS)
    at_workers += _per_part(connections, size.workers, WORKERS_PER_PROCESS)
    at_planners = connections // size.planners * min(size.planners, PLANNERS_PER_PROCESS)
    return Estimate(processes, memory_mb, max(at_workers, at_planners) + DESCRIPTORS_SPARE)


def _connections(spec: SampleSpec) -> int:
    """Returns the largest number of connections between planners and workers."""
    size = spec.size
    if spec.form == GRPC:
        return size.planners * size.workers
    tasks_per_planner = -(-size.running // size.planners)
    machines = min(size.workers, tasks_per_planner) + 1
    return size.planners * machines * CONNECTIONS_PER_MACHINE


def load_checked(path: str | Path) -> Plan:
    """Loads a plan file. Raises SettingsError if it is invalid or exceeds the limits of this machine."""
    plan = load_plan(path)
    check(plan)
    return plan


def check(plan: Plan) -> None:
    """Raises a SettingsError that lists each sample beyond the limits of the machine or of the plan file."""
    problems: dict[str, SettingsProblem] = {}
    for spec in plan.samples:
        needed = estimate(spec, real_planners_of(plan, spec))
        for text in _exceeded_limits(plan, spec, needed):
            problems.setdefault(f"{spec.at}: {text}", SettingsProblem(spec.at, "", text))
    if problems:
        raise SettingsError(list(problems.values()))


def real_planners_of(plan: Plan, spec: SampleSpec) -> int:
    """Returns the number of real planners in a sample: all for an event, because events restart planners."""
    return spec.size.planners if spec.is_event else min(plan.layout.real_planners, spec.size.planners)


def _exceeded_limits(plan: Plan, spec: SampleSpec, needed: Estimate) -> list[str]:
    machine_mb = psutil.virtual_memory().total / MEGABYTE
    memory_mb = machine_mb * MEMORY_SHARE
    if plan.memory_most is not None:
        memory_mb = min(memory_mb, plan.memory_most / MEGABYTE)
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    size = f"{spec.size.workers} workers and {spec.size.planners} planners"
    out = []
    if needed.memory_mb > memory_mb:
        out.append(f"{size} need about {needed.memory_mb:.0f} MB; at most {memory_mb:.0f} MB may be taken")
    if needed.processes > plan.processes_most:
        out.append(f"{size} need {needed.processes} processes; at most {plan.processes_most} may be started")
    if needed.descriptors > descriptors:
        out.append(f"{size} need {needed.descriptors} descriptors in one process; the limit is {descriptors}")
    return out

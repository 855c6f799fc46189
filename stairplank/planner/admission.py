"""Decides whether a request is admitted: it must be valid and within bounds. No I/O, clock or state."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .. import interface as api
from ..tasks import Rejection, TaskSpec

BUSY_RETRY_US = 1_000_000
UNSETTLED_RETRY_US = 1_000_000
DRAINING_RETRY_US = 200_000
MAX_NUMBER = 2**64 - 1


@dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds of one planner's tables and of a request's wait."""

    open_tasks: int  # admitted tasks without an outcome
    open_tasks_per_client: int
    attempts: int  # attempts that run, are adopted or are in flight
    max_wait_us: int


def task_error(
    task: TaskSpec, wait_us: int, bounds: Bounds, settings: api.Settings, tenants: tuple[str, ...]
) -> Rejection | None:
    """Return a rejection that names the first invalid field, or None."""
    return (
        _name_error(task, settings, tenants)
        or _number_error(task, wait_us, bounds)
        or _size_error(task, settings)
    )


def _invalid(field: str, message: str) -> Rejection:
    return Rejection("INVALID_ARGUMENT", field, message)


def _name_error(task: TaskSpec, settings: api.Settings, tenants: tuple[str, ...]) -> Rejection | None:
    """Return a rejection if the key, class or tenant is invalid, or None."""
    if not 0 < task.key <= MAX_NUMBER:
        return _invalid("task.key", "must be a number above 0")
    class_names = [task_class.name for task_class in settings.classes]
    if task.task_class not in class_names:
        known = ", ".join(class_names)
        return _invalid("task.task_class", f"unknown class {task.task_class[:100]!r}; known classes: {known}")
    if task.tenant and task.tenant not in tenants:
        return _invalid("task.tenant", f"unknown tenant {task.tenant[:100]!r}")
    return None


def _number_error(task: TaskSpec, wait_us: int, bounds: Bounds) -> Rejection | None:
    """Return a rejection if the service, the resources or the wait is out of range, or None."""
    if not 0 < task.service <= MAX_NUMBER:
        return _invalid("task.service", "must be a number above 0")
    for field, value in (("task.cores", task.cores), ("task.memory", task.memory)):
        if not math.isfinite(value) or value <= 0:
            return _invalid(field, f"{value} is not a finite number above 0")
    if not 0 < wait_us <= bounds.max_wait_us:
        return _invalid("wait_us", f"{wait_us} is not within 1 to {bounds.max_wait_us}")
    return None


def _size_error(task: TaskSpec, settings: api.Settings) -> Rejection | None:
    """Return a rejection if no node type that the class may use accepts a task of this size, or None."""
    task_class = next(c for c in settings.classes if c.name == task.task_class)
    node_types = settings.node_types
    if task_class.node_type is not None:
        node_types = (settings.node_types[task_class.node_type],)
    if all(task.cores > node_type.cores * settings.cores_limit for node_type in node_types):
        return _invalid("task.cores", f"{task.cores:g} is more than any node of this cluster accepts")
    if all(task.memory > node_type.memory * settings.memory_limit for node_type in node_types):
        return _invalid("task.memory", f"{task.memory:g} is more than any node of this cluster accepts")
    return None


def deadline_error(wait_us: int, age_us: int) -> Rejection | None:
    """Return a rejection of a request that arrived after its wait was over, or None.

    Its client no longer waits, and the task may run elsewhere; if it were admitted, it could run twice.
    """
    if age_us < wait_us:
        return None
    return Rejection("DEADLINE_EXCEEDED", "wait_us", "the request arrived after its wait was over")


def capacity_error(
    open_tasks: int, open_tasks_of_client: int, attempts: int, bounds: Bounds
) -> Rejection | None:
    """Return a rejection if a table is at its bound, or None."""
    if open_tasks >= bounds.open_tasks:
        message = f"{open_tasks} tasks are open at this planner"
    elif open_tasks_of_client >= bounds.open_tasks_per_client:
        message = f"{open_tasks_of_client} tasks of this client are open at this planner"
    elif attempts >= bounds.attempts:
        message = f"{attempts} attempts are in flight or running at this planner"
    else:
        return None
    return Rejection("RESOURCE_EXHAUSTED", "", message, BUSY_RETRY_US)

"""What is taken at the door: valid asks, within bounds. Decides without I/O, clock or state of its own."""

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
    """Most of each at one planner."""

    open_tasks: int  # taken and not answered
    open_tasks_per_client: int  # of one owner
    attempts: int  # tasks running, adopted or under way at nodes
    max_wait_us: int


def task_error(
    task: TaskSpec, wait_us: int, bounds: Bounds, settings: api.Settings, tenants: tuple[str, ...]
) -> Rejection | None:
    """The first field at fault."""

    def bad(field: str, message: str) -> Rejection:
        return Rejection("INVALID_ARGUMENT", field, message)

    if not 0 < task.key <= MAX_NUMBER:
        return bad("task.key", "a number above 0 is needed")
    if all(task.task_class != c.name for c in settings.classes):
        known = ", ".join(c.name for c in settings.classes)
        return bad("task.task_class", f"no class {task.task_class[:100]!r}; known: {known}")
    if task.tenant and task.tenant not in tenants:
        return bad("task.tenant", f"no tenant {task.tenant[:100]!r}")
    if not 0 < task.service <= MAX_NUMBER:
        return bad("task.service", "a number above 0 is needed")
    for field, value in (("task.cores", task.cores), ("task.memory", task.memory)):
        if not math.isfinite(value) or value <= 0:
            return bad(field, f"{value} is not a finite number above 0")
    if not 0 < wait_us <= bounds.max_wait_us:
        return bad("wait_us", f"{wait_us} is not within 1 to {bounds.max_wait_us}")
    sort = next(c for c in settings.classes if c.name == task.task_class)
    kinds = settings.node_types if sort.node_type is None else (settings.node_types[sort.node_type],)
    if all(task.cores > k.cores * settings.cores_limit for k in kinds):
        return bad("task.cores", f"{task.cores:g} is more than any node of this room accepts")
    if all(task.memory > k.memory * settings.memory_limit for k in kinds):
        return bad("task.memory", f"{task.memory:g} is more than any node of this room accepts")
    return None


def deadline_error(wait_us: int, age_us: int) -> Rejection | None:
    """An ask that lay on the way until its owner had given up. Danger: its task may run elsewhere by now."""
    if age_us < wait_us:
        return None
    return Rejection("DEADLINE_EXCEEDED", "wait_us", "it came when its wait was over, and was not taken")


def capacity_error(open_tasks: int, owner_open: int, attempts: int, bounds: Bounds) -> Rejection | None:
    """Whether a table is at its bound."""
    if open_tasks >= bounds.open_tasks:
        what = f"{open_tasks} tasks wait for their outcome here"
    elif owner_open >= bounds.open_tasks_per_client:
        what = f"{owner_open} tasks of this owner wait for their outcome here"
    elif attempts >= bounds.attempts:
        what = f"{attempts} tasks are looked after here"
    else:
        return None
    return Rejection("RESOURCE_EXHAUSTED", "", what, BUSY_RETRY_US)

"""What a task, an attempt and a group's member are called above the module, and how one is turned away.

The decision module has words of its own (``interface``); the links have messages (``proto``).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """A task as its owner describes it; names are not looked up yet."""

    client: str
    key: int
    task_class: str
    tenant: str
    service: int
    cores: float
    memory: float
    expected_duration_us: int
    resubmitted: bool


class AttemptId(NamedTuple):
    """Names an attempt on the links: the planner's life, its number for the placing, the attempt's number."""

    incarnation: int
    placement: int
    attempt: int


class GroupTag(NamedTuple):
    """What a node knows of a member's group."""

    incarnation: int
    group: int
    size: int  # members that must run together
    member: int
    lease_us: int


@dataclass(frozen=True, slots=True)
class Rejection:
    """Not taken. ``code`` is a gRPC status code by name."""

    code: str
    field: str
    message: str
    retry_after_us: int = 0

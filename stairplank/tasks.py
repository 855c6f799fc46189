"""A task, an attempt and a group's member as the daemon knows them, and how a task is rejected.

The decisions have types of their own (``interface``); the links have messages (``proto``).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """A task as its client describes it; names are not looked up yet."""

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
    """Names an attempt on the links: the incarnation of the planner, its placement, and the attempt."""

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
    """A task that was not admitted. ``code`` is a gRPC status code by name."""

    code: str
    field: str
    message: str
    retry_after_us: int = 0

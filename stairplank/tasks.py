"""Types of the planner process for a task, an attempt, a group member and a rejection.

The decision module has its own types (``interface``), and the network messages are in ``proto``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """A task as described by its client; class and tenant names are not resolved yet."""

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
    """Identifies an attempt in messages to nodes: planner incarnation, placement and attempt number."""

    incarnation: int
    placement: int
    attempt: int


class GroupTag(NamedTuple):
    """The data about a member's group that is sent to a node."""

    incarnation: int
    group: int
    size: int  # number of members that must run together
    member: int
    lease_us: int


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why a task was not admitted. ``code`` is the name of a gRPC status code."""

    code: str
    field: str
    message: str
    retry_after_us: int = 0

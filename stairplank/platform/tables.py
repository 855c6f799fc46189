"""The records of tasks, attempts, connections and machines, and how their states may change. No I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from .. import interface as api
from ..planner.abandoned_attempts import PlacementState
from ..planner.state_table import TransitionTable
from .messages import Message
from .validation import PlacementRequest


class AttemptState(Enum):
    """How an attempt at a machine stands."""

    __hash__ = object.__hash__  # the enum's own is computed anew from the name at each look-up

    WAITING = "waiting"  # for a connection: not every byte has left
    SENT = "sent"  # written whole; the machine has not answered
    RUNNING = "running"
    ABANDONED = "abandoned"  # the module has its outcome; the machine may still accept it
    RELEASED = "released"  # it ran, or runs after all, and its machine was ordered to end it
    ENDED = "ended"


class TaskState(Enum):
    """How a client's task stands."""

    __hash__ = object.__hash__  # see AttemptState

    OPEN = "open"  # its client waits
    RUNNING = "running"  # answered, or adopted; its end is owed
    ENDED = "ended"


S, T = AttemptState, TaskState

ATTEMPT_TRANSITIONS = TransitionTable(
    "platform attempt",
    {
        (S.WAITING, "written"): S.SENT,
        (S.WAITING, "ended"): S.ENDED,
        (S.SENT, "not written"): S.WAITING,
        (S.SENT, "accepted"): S.RUNNING,
        (S.SENT, "abandoned"): S.ABANDONED,
        (S.SENT, "ended"): S.ENDED,
        (S.RUNNING, "released"): S.RELEASED,
        (S.RUNNING, "ended"): S.ENDED,
        (S.ABANDONED, "released"): S.RELEASED,
        (S.ABANDONED, "ended"): S.ENDED,
        (S.RELEASED, "released"): S.RELEASED,
        (S.RELEASED, "ended"): S.ENDED,
    },
)
TASK_TRANSITIONS = TransitionTable(
    "platform task",
    {
        (T.OPEN, "accepted"): T.RUNNING,
        (T.OPEN, "ended"): T.ENDED,
        (T.RUNNING, "ended"): T.ENDED,
    },
)


class Location(NamedTuple):
    """Where a machine is, by the settings' zones and the list's groups."""

    zone: int
    group: int


class MachinePlace(NamedTuple):
    """Where a machine was, and since when it had been running, as an attempt was bound to it."""

    location: Location
    started_at: int


@dataclass(slots=True, eq=False)
class Task:
    """A client's task. The decision module knows it by ``number``, client and machines by ``id``."""

    number: int
    id: str
    client: str
    conn: int
    request: PlacementRequest
    body: str  # the description, until no machine needs it any more
    expires_at: int
    fingerprint: bytes = b""  # of the description, by which a repeated request is recognised
    state: TaskState = TaskState.OPEN
    placement_state: PlacementState = PlacementState.OPEN
    attempt_count: int = 0
    attempt: Attempt | None = None  # the one in flight, or the one that runs
    is_proven_not_run: bool = True  # every attempt that ended is proven not to have run
    may_have_run_since: int = 0  # when the first one that may have run began

    def for_module(self) -> api.Task:
        """The task as the decision module knows it."""
        spec = self.request.spec
        return api.Task(
            self.number,
            self.request.class_index,
            self.request.tenant,
            spec.key,
            self.expires_at,
            spec.service,
            spec.cores,
            spec.memory,
            None,
            spec.resubmitted,
        )


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to have a machine run a task. Times are microseconds on the planner's clock."""

    task: Task
    number: int
    machine: int
    started_at: int
    due_at: int
    state: AttemptState = AttemptState.WAITING
    link: int = 0
    forget_at: int = 0  # when an abandoned attempt is forgotten
    place: MachinePlace | None = None  # of its machine, as it was bound
    last_status_at: int = 0  # when its machine last sent a status update of it

    @property
    def id(self) -> str:
        """The task's id, by which the machine knows the attempt."""
        return self.task.id


@dataclass(slots=True, eq=False)
class HealthCheck:
    """A health check that the module requested, or (``is_requested`` False) one of the links' own."""

    id: str
    machine: int
    started_at: int
    is_requested: bool = True
    link: int = 0


# What is sent to a machine and awaits its answer.
OutboundRequest = Attempt | HealthCheck


@dataclass(slots=True, eq=False)
class Link:
    """A connection to a machine, or one that is being dialled."""

    number: int
    machine: int
    is_up: bool = False
    opened_at: int = 0
    used_at: int = 0
    is_suspect: bool = False  # an answer did not come on it: nothing new goes there
    outstanding: dict[str, OutboundRequest] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Machine:
    """A machine of the node list, with its connections and what waits for one."""

    id: int
    name: str
    address: str
    started_at: int
    status: api.NodeStatus
    place: Location
    links: dict[int, Link] = field(default_factory=dict)
    waiting: deque[OutboundRequest] = field(default_factory=deque)
    pending_messages: dict[str, Message] = field(default_factory=dict)
    running_count: int = 0
    next_dial_at: int = 0
    failed_dials: int = 0
    failing_since: int = 0
    refused_since: int = 0
    removed_at: int = 0
    checked_at: int = 0
    last_received_at: int = 0
    opened_at: int = 0  # when one last came up; 0: none has, or what was sent on the last may be lost

    def links_up(self) -> list[Link]:
        """Its connections that have come up."""
        return [link for link in self.links.values() if link.is_up]

    def usable_links(self) -> list[Link]:
        """Its connections on which a new request may be sent."""
        return [link for link in self.links.values() if link.is_up and not link.is_suspect]

    def dials(self) -> int:
        """How many connections to it are being dialled."""
        return sum(not link.is_up for link in self.links.values())

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
    """The state of an attempt to run a task on a machine."""

    __hash__ = object.__hash__  # the enum's own hash computes the name's hash at each look-up

    WAITING = "waiting"  # the attempt waits for a connection, or is not written completely
    SENT = "sent"  # the attempt is written completely; the machine has not answered
    RUNNING = "running"
    ABANDONED = "abandoned"  # the module has its outcome; the machine may still start the task
    RELEASED = "released"  # the machine started the task and was ordered to end it
    ENDED = "ended"


class TaskState(Enum):
    """The state of a client's task."""

    __hash__ = object.__hash__  # the enum's own hash is slower, see AttemptState

    OPEN = "open"  # the client waits for an answer
    RUNNING = "running"  # placed or adopted; the client is still to be sent its release
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
    """The zone (from the settings) and the group (from the node list) of a machine."""

    zone: int
    group: int


class MachinePlace(NamedTuple):
    """The location and start time of a machine when an attempt was bound to it."""

    location: Location
    started_at: int


@dataclass(slots=True, eq=False)
class Task:
    """A client's task. The decision module knows it by ``number``, the client and the machines by ``id``."""

    number: int
    id: str
    client: str
    conn: int
    request: PlacementRequest
    body: str  # the task's description; emptied once no machine needs it
    expires_at: int
    fingerprint: bytes = b""  # hash of the description, to recognise a repeated request
    state: TaskState = TaskState.OPEN
    placement_state: PlacementState = PlacementState.OPEN
    attempt_count: int = 0
    attempt: Attempt | None = None  # the attempt that is in flight or runs
    is_proven_not_run: bool = True  # whether every ended attempt is proven not to have run
    may_have_run_since: int = 0  # start of the first attempt that may have run; 0 without one

    def for_module(self) -> api.Task:
        """Return the task in the form that the decision module uses."""
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
    """An attempt to run a task on a machine. Times are microseconds on the planner's clock."""

    task: Task
    number: int
    machine: int
    started_at: int
    due_at: int
    state: AttemptState = AttemptState.WAITING
    link: int = 0
    forget_at: int = 0  # when an abandoned attempt is forgotten
    place: MachinePlace | None = None  # the machine's location and start time at the bind
    last_status_at: int = 0  # time of the machine's last status update for it
    write_number: int = 0  # position among the requests written on the connection
    incarnation: int = 0  # the process that it was sent to
    outcome_due: bool = False  # the module's outcome follows once the machine has confirmed the release

    @property
    def id(self) -> str:
        """Return the task's id, by which the machine knows the attempt."""
        return self.task.id


@dataclass(slots=True, eq=False)
class HealthCheck:
    """A health check of a machine.

    ``is_requested``: whether the decision module requested it; the links also send their own.
    """

    id: str
    machine: int
    started_at: int
    is_requested: bool = True
    link: int = 0
    write_number: int = 0  # position among the requests written on the connection


# A request that is sent to a machine and awaits an answer.
OutboundRequest = Attempt | HealthCheck


@dataclass(slots=True, eq=False)
class Link:
    """A connection to a machine that is up or being dialled."""

    number: int
    machine: int
    is_up: bool = False
    opened_at: int = 0
    used_at: int = 0
    is_suspect: bool = False  # an answer on the link was overdue, so no new request is sent on it
    write_count: int = 0  # requests written so far
    incarnation: int = 0  # the process that it leads to
    proof_after: int = 0  # ``write_count`` when the candidate's first connection came up
    last_check_id: str = ""  # the last health check that the links sent on it
    last_check_number: int = 0  # its position among the requests written
    outstanding: dict[str, OutboundRequest] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class ReleaseOrder:
    """A release that a machine was ordered to carry out and has not confirmed.

    ``must_arrive``: whether the machine is dialled for it; other orders wait for the next connection.
    """

    machine: int
    message: Message
    ordered_at: int
    must_arrive: bool
    link: int = 0  # the connection that last carried it; 0 if there was none or it is lost
    was_sent: bool = False
    write_number: int = 0  # ``Link.write_count`` of that connection when the order was written


@dataclass(slots=True, eq=False)
class MachineProcess:
    """The process that holds a machine's tasks, and a newer one that may be another (``incarnations``).

    Times are microseconds on the planner's clock, 0 for never.
    """

    incarnation: int = 1
    heard_at: int = 0  # when the incarnation last sent a message, or its first connection came up
    checked_at: int = 0  # when it was first checked since then
    is_witness_sound: bool = False  # whether no answer was overdue on the connection of that check
    candidate: int = 0  # the incarnation of newer connections that is not proven to be the same; 0: none
    candidate_up_at: int = 0
    candidate_heard_at: int = 0
    is_after_gap: bool = False  # dials failed between the incarnation's last message and the candidate


@dataclass(slots=True, eq=False)
class Machine:
    """A machine of the node list, with its connections and the requests that wait for a connection."""

    id: int
    name: str
    address: str
    started_at: int
    status: api.NodeStatus
    place: Location
    links: dict[int, Link] = field(default_factory=dict)
    waiting: deque[OutboundRequest] = field(default_factory=deque)
    orders: dict[str, ReleaseOrder] = field(default_factory=dict)  # unconfirmed releases by task id
    order_retry_us: int = 0  # wait from the last retry of the orders to the next
    order_retry_at: int = 0  # when to dial for an order that must arrive; 0 without one
    running_count: int = 0
    next_dial_at: int = 0
    failed_dials: int = 0
    failing_since: int = 0
    refused_since: int = 0
    removed_at: int = 0
    checked_at: int = 0
    predecessor: int = 0  # the machine that had the address before
    successor: int = 0  # the machine that has taken over the address
    process: MachineProcess = field(default_factory=MachineProcess)
    # When a connection last came up; 0 if none has, or if messages on the last may be lost.
    opened_at: int = 0

    def links_up(self) -> list[Link]:
        """Return the connections that are up."""
        return [link for link in self.links.values() if link.is_up]

    def usable_links(self) -> list[Link]:
        """Return the connections on which a new request may be sent."""
        return [link for link in self.links.values() if link.is_up and not link.is_suspect]

    def dials(self) -> int:
        """Return how many connections to the machine are being dialled."""
        return sum(not link.is_up for link in self.links.values())

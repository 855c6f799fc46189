"""What the two tables hold, tasks and attempts, and how each may change. No I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from .. import interface as api
from ..planner.abandoned_attempts import PlacementState
from ..planner.state_table import TransitionTable
from .messages import Message
from .validation import PlacementRequest


class AttemptState(Enum):
    """An attempt's."""

    __hash__ = object.__hash__  # the enum's own is computed anew from the name at each look-up

    WAITING = "waiting"  # for a connection: not every byte has left
    SENT = "sent"  # written whole; the machine has not answered
    STANDING = "standing"
    GIVEN_UP = "given up"  # the module has its outcome; the machine may still take it
    RELEASED = "released"  # it stood, or stands after all, and its machine was told to end it
    OVER = "over"


class TaskState(Enum):
    __hash__ = object.__hash__  # see Stage

    OPEN = "open"  # its client waits
    STANDING = "standing"  # answered, or adopted; its end is owed
    OVER = "over"


S, T = AttemptState, TaskState

ATTEMPT = TransitionTable(
    "platform attempt",
    {
        (S.WAITING, "written"): S.SENT,
        (S.WAITING, "over"): S.OVER,
        (S.SENT, "not written"): S.WAITING,
        (S.SENT, "stands"): S.STANDING,
        (S.SENT, "given up"): S.GIVEN_UP,
        (S.SENT, "over"): S.OVER,
        (S.STANDING, "released"): S.RELEASED,
        (S.STANDING, "over"): S.OVER,
        (S.GIVEN_UP, "released"): S.RELEASED,
        (S.GIVEN_UP, "over"): S.OVER,
        (S.RELEASED, "released"): S.RELEASED,
        (S.RELEASED, "over"): S.OVER,
    },
)
TASK = TransitionTable(
    "platform task",
    {
        (T.OPEN, "stands"): T.STANDING,
        (T.OPEN, "over"): T.OVER,
        (T.STANDING, "over"): T.OVER,
    },
)


@dataclass(slots=True, eq=False)
class Task:
    """``number`` is the module's name for it, ``id`` the client's and the machines'."""

    number: int
    id: str
    client: str
    conn: int
    request: PlacementRequest
    body: str  # the description, until no machine needs it any more
    expires: int
    fingerprint: bytes = b""  # of the description, by which the same set-up is known again
    state: TaskState = TaskState.OPEN
    fate: PlacementState = PlacementState.OPEN
    shots: int = 0
    attempt: Attempt | None = None  # the one under way, or the one that stands
    proven: bool = True  # every attempt that ended is proven not to have run
    risk_at: int = 0  # when the first one that may have run began

    def for_module(self) -> api.Task:
        """The task as the decision module knows it."""
        spec = self.request.spec
        return api.Task(
            self.number,
            self.request.class_index,
            self.request.tenant,
            spec.key,
            self.expires,
            spec.service,
            spec.cores,
            spec.memory,
            None,
            spec.resubmitted,
        )


@dataclass(slots=True, eq=False)
class Attempt:
    task: Task
    shot: int
    machine: int
    began: int
    due: int
    stage: AttemptState = AttemptState.WAITING
    link: int = 0
    until: int = 0  # a leftover is forgotten then
    place: tuple[int, int, int] | None = None  # zone, group and start of its machine as it was bound
    noted: int = 0  # when its machine last spoke of it as standing

    @property
    def id(self) -> str:
        return self.task.id


@dataclass(slots=True, eq=False)
class Test:
    """A probe of the module's, or (``asked`` False) one of the links' own."""

    id: str
    machine: int
    began: int
    asked: bool = True
    link: int = 0


@dataclass(slots=True, eq=False)
class Link:
    number: int
    machine: int
    up: bool = False
    opened: int = 0
    used: int = 0
    suspect: bool = False  # an answer did not come on it: nothing new goes there
    open: dict[str, Attempt | Test] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Machine:
    id: int
    name: str
    address: str
    launched: int
    status: api.NodeStatus
    place: tuple[int, int]  # its zone and group
    links: dict[int, Link] = field(default_factory=dict)
    waiting: deque[Attempt | Test] = field(default_factory=deque)
    pending_messages: dict[str, Message] = field(default_factory=dict)
    standing: int = 0
    dial_at: int = 0
    fails: int = 0
    failing_since: int = 0
    refused_since: int = 0
    gone_at: int = 0
    asked_at: int = 0
    last_received: int = 0
    opened: int = 0  # when one last came up; 0: none has, or what was sent on the last may be lost

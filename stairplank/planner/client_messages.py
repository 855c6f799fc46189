"""Messages that the planner sends to clients.

Times are in microseconds; ``request`` is the number that the client gave its request.
"""

from __future__ import annotations

from dataclasses import dataclass

from .. import interface as api
from ..tasks import Rejection


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request was not admitted."""

    request: int
    rejection: Rejection


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request was admitted; ``placement`` is the number of its placement or group."""

    request: int
    placement: int


@dataclass(frozen=True, slots=True)
class Offered:
    """The task was offered to a node."""

    request: int
    node: int
    attempt: int


@dataclass(frozen=True, slots=True)
class TaskPlaced:
    """Outcome: a node runs the task, or accepted it in a cluster where accepting binds."""

    request: int
    node: int
    attempt: int
    latency_us: int


@dataclass(frozen=True, slots=True)
class TaskShed:
    """Outcome: the task was not placed and is proven not to run; a retry does no harm."""

    request: int
    retry_after_us: int
    reason: api.Reason


@dataclass(frozen=True, slots=True)
class TaskFailed:
    """Outcome: the task was not placed; ``may_run`` is set if it may run nevertheless."""

    request: int
    may_run: bool


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """A placed task has ended."""

    request: int
    key: int
    finished: bool
    reason: api.Reason


@dataclass(frozen=True, slots=True)
class TaskRecovered:
    """A task of the client was found at a node and is tracked; ``request`` is 0 if no request is for it."""

    request: int
    key: int
    node: int


@dataclass(frozen=True, slots=True)
class GroupPlaced:
    """Outcome: the group was placed; its members run at the nodes in ``bindings``."""

    request: int
    bindings: tuple[tuple[int, int], ...]  # pairs of member and node
    constraints_met: bool
    attempts: int


@dataclass(frozen=True, slots=True)
class GroupShed:
    """Outcome: the group was not placed and no member runs; ``never`` is set if no retry can succeed."""

    request: int
    retry_after_us: int
    reason: str
    never: bool


@dataclass(frozen=True, slots=True)
class GroupFailed:
    """Outcome: the group was not placed; members may run nevertheless."""

    request: int
    reason: str


@dataclass(frozen=True, slots=True)
class GroupAttempted:
    """An attempt to place the group failed; the next one follows in ``retry_in_us``."""

    request: int
    attempts: int
    reason: str
    retry_in_us: int


@dataclass(frozen=True, slots=True)
class MemberEnded:
    """A member of a placed group has ended."""

    request: int
    member: int
    finished: bool
    reason: api.Reason


@dataclass(frozen=True, slots=True)
class GroupEnded:
    """A placed group has ended."""

    request: int
    finished: bool


GroupMessage = GroupPlaced | GroupShed | GroupFailed | GroupAttempted | MemberEnded | GroupEnded
ClientMessage = (
    Rejected
    | Admitted
    | Offered
    | TaskPlaced
    | TaskShed
    | TaskFailed
    | TaskEnded
    | TaskRecovered
    | GroupMessage
)

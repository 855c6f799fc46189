"""The actions that the core returns for its driver to carry out in order. Times are in microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..tasks import AttemptId, GroupTag, TaskSpec
from .client_messages import ClientMessage


class StopReason(Enum):
    """The reason for which an attempt is stopped."""

    CANCELLED = "cancelled"
    MIGRATED = "migrated"
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class SendOffer:
    """Offer a task to a node, which has ``wait_us`` to accept it."""

    node: int
    id: AttemptId
    task: TaskSpec
    wait_us: int
    class_index: int
    group: GroupTag | None = None


@dataclass(frozen=True, slots=True)
class SendCommit:
    """Commit group members at a node: each starts, under a lease of ``lease_us``."""

    node: int
    ids: tuple[AttemptId, ...]
    lease_us: int


@dataclass(frozen=True, slots=True)
class SendLeaseRenewal:
    """Extend the leases of group members at a node."""

    node: int
    ids: tuple[AttemptId, ...]
    lease_us: int
    renewal: int = 0  # number of the renewal, which LeasesRenewed repeats


@dataclass(frozen=True, slots=True)
class SendStop:
    """Stop an attempt at its node."""

    node: int
    id: AttemptId
    reason: StopReason


@dataclass(frozen=True, slots=True)
class Dial:
    """Open a link to a node."""

    node: int
    addresses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close the link to a node."""

    node: int


@dataclass(frozen=True, slots=True)
class RequestNodeTasks:
    """Request a report of the tasks that a node has accepted or runs."""

    node: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Send a health check to a node."""

    node: int


@dataclass(frozen=True, slots=True)
class WatchNodeList:
    """Open the watch of the node list, with changes after ``revision``, or close it."""

    active: bool
    revision: int


@dataclass(frozen=True, slots=True)
class FetchNodeList:
    """Fetch the complete node list."""


@dataclass(frozen=True, slots=True)
class SendToClient:
    """Send a message to a client on a session."""

    session: int
    message: ClientMessage


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write an entry to the log."""

    event: str
    fields: dict[str, object]


Action = (
    SendOffer
    | SendCommit
    | SendLeaseRenewal
    | SendStop
    | Dial
    | CloseLink
    | RequestNodeTasks
    | CheckHealth
    | WatchNodeList
    | FetchNodeList
    | SendToClient
    | LogEvent
)

"""What the core is fed and what it asks for. Times are microseconds on the planner's own clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from .. import interface as api
from ..tasks import AttemptId as AttemptId
from ..tasks import GroupTag as GroupTag
from ..tasks import Rejection as Rejection
from ..tasks import TaskSpec as TaskSpec

if TYPE_CHECKING:
    from .context import CoreConfig


class StopReason(Enum):
    CANCELLED = "withdrawn"
    MIGRATED = "moved"
    ABANDONED = "left over"


# Events


@dataclass(frozen=True, slots=True)
class ClientConnected:
    session: int
    client: str


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    session: int


@dataclass(frozen=True, slots=True)
class PlacementRequested:
    session: int
    request: int
    task: TaskSpec
    wait_us: int
    age_us: int = 0  # so long ago, at most, it was said: the wait counts from then


@dataclass(frozen=True, slots=True)
class PlacementCancelled:
    """The owner wants the task no longer; by its ask, or, where that is 0, by its key."""

    session: int
    request: int
    key: int = 0


@dataclass(frozen=True, slots=True)
class GroupRequested:
    session: int
    request: int
    members: tuple[TaskSpec, ...]
    wait_us: int
    min_members: int = 0
    same_rack: bool = False
    distinct_nodes: bool = False
    distinct_racks: bool = False
    age_us: int = 0


@dataclass(frozen=True, slots=True)
class ListedNode:
    """A line of the node list as the directory sends it."""

    id: int
    name: str
    addresses: tuple[str, ...]
    zone: str
    rack: str
    node_type: str
    status: api.NodeStatus
    free_cores: float
    free_memory: float
    started_unix_us: int


@dataclass(frozen=True, slots=True)
class NodeListReceived:
    revision: int
    since: int  # the revision that changes build on
    full: bool
    nodes: tuple[ListedNode, ...]
    now_unix_us: int


@dataclass(frozen=True, slots=True)
class NodeListFailed:
    """A call to the directory failed or a subscription broke."""


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A node has said who it is."""

    node: int
    started_unix_us: int
    draining: bool


@dataclass(frozen=True, slots=True)
class DialFailed:
    """No link came about: nothing was sent."""

    node: int


@dataclass(frozen=True, slots=True)
class LinkDown:
    """A link broke; ``unsent`` names the attempts whose offers provably never left."""

    node: int
    unsent: frozenset[AttemptId] = frozenset()


@dataclass(frozen=True, slots=True)
class NodeAccepted:
    node: int
    id: AttemptId


@dataclass(frozen=True, slots=True)
class NodeReady:
    """A member of a group is held ready."""

    node: int
    id: AttemptId


@dataclass(frozen=True, slots=True)
class NodeRunning:
    node: int
    id: AttemptId


@dataclass(frozen=True, slots=True)
class NodeRejected:
    node: int
    id: AttemptId
    reason: api.Reason
    late: bool = False  # the offer was too old when it came, by the fence


@dataclass(frozen=True, slots=True)
class NodeError:
    node: int
    id: AttemptId


@dataclass(frozen=True, slots=True)
class NodeEnded:
    node: int
    id: AttemptId
    result: api.Result  # FINISHED, CANCELLED or LOST
    reason: api.Reason


@dataclass(frozen=True, slots=True)
class NodeUsage:
    node: int
    id: AttemptId
    cores: float
    memory: float
    served_share: float
    node_memory_share: float


@dataclass(frozen=True, slots=True)
class LeasesRenewed:
    """The node has taken a keep."""

    node: int
    renewal: int


@dataclass(frozen=True, slots=True)
class NodeDraining:
    node: int


@dataclass(frozen=True, slots=True)
class NodeTask:
    id: AttemptId
    task: TaskSpec
    running: bool
    group: GroupTag | None = None


@dataclass(frozen=True, slots=True)
class NodeTasksReported:
    node: int
    started_unix_us: int
    tasks: tuple[NodeTask, ...]
    complete: bool = False  # what is neither held nor was told as over was never seen there
    requested_at: int = 0  # when it was asked; 0: not known
    finished: tuple[NodeTask, ...] = ()  # members of groups that ran to their end lately


@dataclass(frozen=True, slots=True)
class NodeTasksFailed:
    node: int


@dataclass(frozen=True, slots=True)
class HealthCheckCompleted:
    node: int
    ok: bool
    latency_us: int
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The planner is to leave: nothing new is taken, what is owed is answered."""


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Settings that may change while the planner runs (``configuration.live``) are others from now on."""

    settings: api.Settings
    config: CoreConfig


@dataclass(frozen=True, slots=True)
class TimerDue:
    """Time has passed; what is due is done."""


Event = (
    ClientConnected
    | ClientDisconnected
    | PlacementRequested
    | GroupRequested
    | PlacementCancelled
    | NodeListReceived
    | NodeListFailed
    | LinkUp
    | DialFailed
    | LinkDown
    | NodeAccepted
    | NodeReady
    | NodeRunning
    | NodeRejected
    | NodeError
    | NodeEnded
    | NodeUsage
    | LeasesRenewed
    | NodeDraining
    | NodeTasksReported
    | NodeTasksFailed
    | HealthCheckCompleted
    | ShutdownRequested
    | SettingsChanged
    | TimerDue
)


# What is told to owners


@dataclass(frozen=True, slots=True)
class Rejected:
    request: int
    rejection: Rejection


@dataclass(frozen=True, slots=True)
class Admitted:
    request: int
    placement: int


@dataclass(frozen=True, slots=True)
class Offered:
    request: int
    node: int
    attempt: int


@dataclass(frozen=True, slots=True)
class TaskPlaced:
    request: int
    node: int
    attempt: int
    latency_us: int


@dataclass(frozen=True, slots=True)
class TaskShed:
    request: int
    retry_after_us: int
    reason: api.Reason


@dataclass(frozen=True, slots=True)
class TaskFailed:
    request: int
    may_run: bool


@dataclass(frozen=True, slots=True)
class TaskEnded:
    request: int
    key: int
    finished: bool
    reason: api.Reason


@dataclass(frozen=True, slots=True)
class TaskRecovered:
    request: int
    key: int
    node: int


@dataclass(frozen=True, slots=True)
class GroupPlaced:
    request: int
    bindings: tuple[tuple[int, int], ...]  # member, node
    constraints_met: bool
    attempts: int


@dataclass(frozen=True, slots=True)
class GroupShed:
    request: int
    retry_after_us: int
    reason: str
    never: bool


@dataclass(frozen=True, slots=True)
class GroupFailed:
    request: int
    reason: str


@dataclass(frozen=True, slots=True)
class GroupAttempted:
    request: int
    attempts: int
    reason: str
    retry_in_us: int


@dataclass(frozen=True, slots=True)
class MemberEnded:
    request: int
    member: int
    finished: bool
    reason: api.Reason


@dataclass(frozen=True, slots=True)
class GroupEnded:
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


# Actions


@dataclass(frozen=True, slots=True)
class SendOffer:
    node: int
    id: AttemptId
    task: TaskSpec
    wait_us: int
    class_index: int
    group: GroupTag | None = None


@dataclass(frozen=True, slots=True)
class SendCommit:
    """Let these members run."""

    node: int
    ids: tuple[AttemptId, ...]
    lease_us: int


@dataclass(frozen=True, slots=True)
class SendLeaseRenewal:
    node: int
    ids: tuple[AttemptId, ...]
    lease_us: int
    renewal: int = 0  # the core's number for it


@dataclass(frozen=True, slots=True)
class SendStop:
    node: int
    id: AttemptId
    reason: StopReason


@dataclass(frozen=True, slots=True)
class Dial:
    node: int
    addresses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CloseLink:
    node: int


@dataclass(frozen=True, slots=True)
class RequestNodeTasks:
    node: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    node: int


@dataclass(frozen=True, slots=True)
class WatchNodeList:
    active: bool
    revision: int


@dataclass(frozen=True, slots=True)
class FetchNodeList:
    pass


@dataclass(frozen=True, slots=True)
class SendToClient:
    session: int
    message: ClientMessage


@dataclass(frozen=True, slots=True)
class LogEvent:
    """For the log."""

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

"""The events that the driver passes to the core. Times are microseconds on the planner's own clock.

``actions`` defines the actions that the core returns, ``client_messages`` the messages to clients. This
module exports the classes of both, so that a component needs a single import for all of them.
"""

from __future__ import annotations

from dataclasses import dataclass

from .. import interface as api
from ..tasks import AttemptId as AttemptId
from ..tasks import GroupTag as GroupTag
from ..tasks import Rejection as Rejection
from ..tasks import TaskSpec as TaskSpec
from .actions import Action as Action
from .actions import CheckHealth as CheckHealth
from .actions import CloseLink as CloseLink
from .actions import Dial as Dial
from .actions import FetchNodeList as FetchNodeList
from .actions import LogEvent as LogEvent
from .actions import RequestNodeTasks as RequestNodeTasks
from .actions import SendCommit as SendCommit
from .actions import SendLeaseRenewal as SendLeaseRenewal
from .actions import SendOffer as SendOffer
from .actions import SendStop as SendStop
from .actions import SendToClient as SendToClient
from .actions import StopReason as StopReason
from .actions import WatchNodeList as WatchNodeList
from .client_messages import Admitted as Admitted
from .client_messages import ClientMessage as ClientMessage
from .client_messages import GroupAttempted as GroupAttempted
from .client_messages import GroupEnded as GroupEnded
from .client_messages import GroupFailed as GroupFailed
from .client_messages import GroupMessage as GroupMessage
from .client_messages import GroupPlaced as GroupPlaced
from .client_messages import GroupShed as GroupShed
from .client_messages import MemberEnded as MemberEnded
from .client_messages import Offered as Offered
from .client_messages import Rejected as Rejected
from .client_messages import TaskEnded as TaskEnded
from .client_messages import TaskFailed as TaskFailed
from .client_messages import TaskPlaced as TaskPlaced
from .client_messages import TaskRecovered as TaskRecovered
from .client_messages import TaskShed as TaskShed
from .core_config import CoreConfig


@dataclass(frozen=True, slots=True)
class ClientConnected:
    """A client opened a session."""

    session: int
    client: str


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """A client's session is closed."""

    session: int


@dataclass(frozen=True, slots=True)
class PlacementRequested:
    """A client requests a node for a task, within ``wait_us``."""

    session: int
    request: int
    task: TaskSpec
    wait_us: int
    age_us: int = 0  # the request was sent at most this long ago; wait_us counts from then


@dataclass(frozen=True, slots=True)
class PlacementCancelled:
    """The client cancels a request, identified by its number or, if that is 0, by the task's key."""

    session: int
    request: int
    key: int = 0


@dataclass(frozen=True, slots=True)
class GroupRequested:
    """A client requests nodes for a group of tasks that start together, within ``wait_us``."""

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
    """An entry of the node list as the node list service sends it."""

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
    """The node list, or changes to it."""

    revision: int
    since: int  # the revision to which the changes apply
    full: bool
    nodes: tuple[ListedNode, ...]
    now_unix_us: int


@dataclass(frozen=True, slots=True)
class NodeListFailed:
    """A call to the node list service failed, or the watch of the node list ended."""


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A link is established: the node has identified itself."""

    node: int
    started_unix_us: int
    draining: bool


@dataclass(frozen=True, slots=True)
class DialFailed:
    """A dial failed to establish a link, so nothing was sent to the node."""

    node: int


@dataclass(frozen=True, slots=True)
class LinkDown:
    """A link was lost; the offers of the attempts in ``unsent`` are proven never to have been sent."""

    node: int
    unsent: frozenset[AttemptId] = frozenset()


@dataclass(frozen=True, slots=True)
class NodeAccepted:
    """A node accepted an offer."""

    node: int
    id: AttemptId


@dataclass(frozen=True, slots=True)
class NodeReady:
    """A node has reserved resources for a group's member, which is ready to start."""

    node: int
    id: AttemptId


@dataclass(frozen=True, slots=True)
class NodeRunning:
    """A node started a task."""

    node: int
    id: AttemptId


@dataclass(frozen=True, slots=True)
class NodeRejected:
    """A node rejected an offer, or returned a task that it had accepted."""

    node: int
    id: AttemptId
    reason: api.Reason
    late: bool = False  # the offer was too old on arrival, by the bound on its message age


@dataclass(frozen=True, slots=True)
class NodeError:
    """A node failed to handle an offer."""

    node: int
    id: AttemptId


@dataclass(frozen=True, slots=True)
class NodeEnded:
    """A task that a node had accepted has ended there."""

    node: int
    id: AttemptId
    result: api.Result  # FINISHED, CANCELLED or LOST
    reason: api.Reason


@dataclass(frozen=True, slots=True)
class NodeUsage:
    """The resources that a running task uses; a field is 0 if the node does not measure it."""

    node: int
    id: AttemptId
    cores: float
    memory: float
    served_share: float
    node_memory_share: float


@dataclass(frozen=True, slots=True)
class LeasesRenewed:
    """A node has received a lease renewal."""

    node: int
    renewal: int


@dataclass(frozen=True, slots=True)
class NodeDraining:
    """A node reports that it accepts nothing new."""

    node: int


@dataclass(frozen=True, slots=True)
class NodeTask:
    """One task in the report of a node on its tasks."""

    id: AttemptId
    task: TaskSpec
    running: bool
    group: GroupTag | None = None


@dataclass(frozen=True, slots=True)
class NodeTasksReported:
    """Reply to ``RequestNodeTasks``: the tasks that the node has accepted or runs."""

    node: int
    started_unix_us: int
    tasks: tuple[NodeTask, ...]
    complete: bool = False  # an attempt neither listed nor reported as ended was never received
    requested_at: int = 0  # when the report was requested; 0 if not known
    finished: tuple[NodeTask, ...] = ()  # group members that finished recently


@dataclass(frozen=True, slots=True)
class NodeTasksFailed:
    """A node's tasks could not be requested: ``RequestNodeTasks`` failed."""

    node: int


@dataclass(frozen=True, slots=True)
class HealthCheckCompleted:
    """A health check succeeded or failed; ``report`` is the node's load report."""

    node: int
    ok: bool
    latency_us: int
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """A graceful shutdown begins: nothing new is admitted, and every open request gets its outcome."""


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New values of the settings that may change while the planner runs (``configuration.live``)."""

    settings: api.Settings
    config: CoreConfig


@dataclass(frozen=True, slots=True)
class TimerDue:
    """The time of ``next_due`` is reached; timers that are due fire."""


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

"""The interface of the decision module: its settings, its input events and the actions it returns.

This file has frozen dataclasses and enums only, and no decision logic. Times are whole microseconds on
the caller's clock. Ids of tasks, nodes, services and groups are opaque integers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Effect(Enum):
    """Whether a second start of a task does harm."""

    IDEMPOTENT = "repeatable"
    IDEMPOTENT_BY_KEY = "keyed"
    AT_MOST_ONCE = "once"


class Scope(Enum):
    """A set of nodes around a given node: none, the node itself, its group, its zone, or all nodes."""

    __hash__ = object.__hash__  # faster: Enum.__hash__ hashes the member's name at each look-up

    NONE = "none"
    NODE = "node"
    GROUP = "group"
    ZONE = "zone"
    ALL = "all"


class NodeStatus(IntEnum):
    """The status of a node in the node list."""

    GONE = 0
    DRAINING = 1
    READY = 2


class ListKind(Enum):
    """Whether a node list is full, cached or a set of changes, or could not be fetched."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Result(Enum):
    """How an attempt ended."""

    FINISHED = "finished"  # the task ran to its end
    ERROR = "error"  # the node answered with an error
    REJECTED = "refused"  # the node rejected or returned the task before it ran
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"  # no connection to the node could be made
    LOST = "lost"  # evicted, preempted, drained or lost once placed; or the answer broke off before
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


PROVES_NOT_RUN = frozenset({Result.REJECTED, Result.UNREACHABLE, Result.NOT_SENT})


class Reason(IntEnum):
    """Why a node rejected an attempt, or why a placed task was lost."""

    UNTOLD = 0
    NO_CORES = 1
    NO_MEMORY = 2
    QUEUE_FULL = 3
    NOT_HERE = 4
    EVICTED = 5
    PUSHED_OUT = 6
    SENT_AWAY = 7


class StatusKind(IntEnum):
    """The kinds of status update; all except RUNNING carry a level."""

    RUNNING = 1
    CORES_USED = 2
    MEMORY_USED = 3
    SERVED_SHARE = 4
    NODE_MEMORY_SHARE = 5


@dataclass(frozen=True, slots=True)
class TaskClass:
    """The parameters that all tasks of one class share."""

    name: str
    effect: Effect
    dedup_scope: Scope  # for IDEMPOTENT_BY_KEY: the nodes that together drop duplicates of a task
    dedup_window_us: int  # for IDEMPOTENT_BY_KEY: how long nodes remember a key
    latency_objective_us: int  # a start within this time has its full value
    deadline_us: int
    priority_weight: float = 1.0  # value of one second of full service
    start_bonus_s: float = 0.0  # value of a start in time, in seconds of full service
    late_start_weight: float = 0.0
    spread: Scope = Scope.NONE
    max_per_place: int = 0
    node_type: int | None = None
    priority: int = 0
    full_service_utilization: float = 1.0  # tasks get full service up to this utilisation of the cores
    service_loss_range: float = 1.0  # further utilisation at which service has dropped to zero


@dataclass(frozen=True, slots=True)
class NodeType:
    """The capacity of all nodes of one type, in the same units as task requests."""

    name: str
    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a planner."""

    planners: int
    position: int
    zone: int
    classes: tuple[TaskClass, ...]
    node_types: tuple[NodeType, ...]
    mean_cores: float  # mean cores that one task requests
    mean_memory: float
    cores_limit: float  # a node accepts tasks that request up to this multiple of its cores
    memory_limit: float
    confirms_running: bool  # True: Placed means that the task runs; False: that it was accepted
    preempts: bool
    max_attempts: int
    answer_slack_us: int
    drain_grace_us: int
    slow_start_share: float
    slow_start_us: int
    overload_multiple: float
    overload_window_us: int
    slow_start_offers: float
    polls_node_list: bool  # True: the node list is sent only on request
    poll_within_us: int
    tick_us: int
    lists_free_capacity: bool = True
    may_check_health: bool = False
    may_cancel: bool = False
    max_retry_after_us: int = 0
    client_wait_us: int = 0
    report_fields: tuple[str, ...] = ()
    reports_in_answers: bool = False
    tenant_share: tuple[float, ...] = ()
    tenant_quota_cores: tuple[float, ...] = ()
    over_quota_weight: float = 1.0
    price_fleet: float = 0.0
    price_migration: float = 0.0
    price_waste: float = 0.0
    price_health_check: float = 0.0
    price_list: float = 0.0
    price_rejection: float = 0.0

    def __post_init__(self) -> None:
        """Raise a ValueError that names the first field that is wrong."""

        def require(ok: bool, field: str) -> None:
            if not ok:
                raise ValueError(f"settings: bad {field}: {getattr(self, field)!r}")

        require(self.planners >= 1, "planners")
        require(0 <= self.position < self.planners, "position")
        require(len(self.classes) >= 1, "classes")
        require(len(self.node_types) >= 1, "node_types")
        require(
            all(c.node_type is None or 0 <= c.node_type < len(self.node_types) for c in self.classes),
            "classes",
        )
        require(all(k.cores > 0 and k.memory > 0 for k in self.node_types), "node_types")
        for name in ("mean_cores", "mean_memory", "cores_limit", "memory_limit", "max_attempts", "tick_us"):
            require(getattr(self, name) > 0, name)
        for name in (
            "answer_slack_us",
            "drain_grace_us",
            "slow_start_us",
            "overload_window_us",
            "slow_start_offers",
            "poll_within_us",
        ):
            require(getattr(self, name) >= 0, name)
        require(all(q >= 0 for q in self.tenant_quota_cores), "tenant_quota_cores")


@dataclass(frozen=True, slots=True)
class Task:
    """One task; its client must be answered by ``expires_us``."""

    id: int
    class_index: int
    tenant: int
    key: int
    expires_us: int
    service: int
    cores: float
    memory: float
    expected_duration_us: int | None = None  # expected remaining run time, if known
    resubmitted: bool = False  # submitted again after a rejection, failure, migration or loss
    excluded_nodes: frozenset[int] = frozenset()  # nodes that must not get the task under any rule


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """One entry of the node list; its free amounts may be out of date."""

    id: int
    zone: int
    node_type: int
    group: int
    status: NodeStatus
    free_cores: float
    free_memory: float
    started_us: int = 0  # start time of the node; 0: long ago


# Events that a planner receives


@dataclass(frozen=True, slots=True)
class Started:
    """The planner has started; this is always its first event."""


@dataclass(frozen=True, slots=True)
class NodeList:
    """A full node list, a set of changes to it, or a failure to get it."""

    kind: ListKind
    nodes: tuple[NodeEntry, ...] = ()
    revision: int = 0


@dataclass(frozen=True, slots=True)
class TaskRequested:
    """A client requests the placement of a task."""

    task: Task


@dataclass(frozen=True, slots=True)
class TaskAdopted:
    """A task that is already running and that this planner manages from now on."""

    task: Task
    node: int


@dataclass(frozen=True, slots=True)
class Placed:
    """A node has accepted an attempt or, with ``confirms_running``, has started it."""

    task: int
    attempt: int
    node: int
    latency_us: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended; ``is_final`` means that the task has ended and needs no answer."""

    task: int
    attempt: int
    node: int
    result: Result
    is_final: bool
    reason: Reason = Reason.UNTOLD
    latency_us: int = 0
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class StatusUpdate:
    """A node reports the state of a running attempt or of the node itself."""

    task: int
    attempt: int
    node: int
    kind: StatusKind
    level: float


@dataclass(frozen=True, slots=True)
class TaskCancelled:
    """The client has withdrawn the task, which needs no answer any more."""

    task: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the planner set is due."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthChecked:
    """The result of a health check."""

    node: int
    ok: bool
    latency_us: int
    report: tuple[float, ...] = ()


Event = (
    Started
    | NodeList
    | TaskRequested
    | TaskAdopted
    | Placed
    | Outcome
    | StatusUpdate
    | TaskCancelled
    | TimerFired
    | HealthChecked
)


# Actions that a planner returns


@dataclass(frozen=True, slots=True)
class Bind:
    """Offer the task to a node; a task's attempts are numbered 0, 1, 2 ... in the order of its binds."""

    task: int
    node: int
    timeout_us: int = 0  # 0: no time-out other than the client's deadline


@dataclass(frozen=True, slots=True)
class Shed:
    """Reject the task for now; the client may retry it after ``retry_after_us``."""

    task: int
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer that the task has failed; a retry by the client may run it twice."""

    task: int


@dataclass(frozen=True, slots=True)
class StopAttempt:
    """Cancel an attempt whose result is no longer needed."""

    task: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Evict:
    """Stop a placed task so that its client submits it again."""

    task: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Pass the planner a TimerFired event with this token at ``at_us``."""

    at_us: int
    token: int


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Send one health check to a node."""

    node: int


@dataclass(frozen=True, slots=True)
class WatchNodeList:
    """Subscribe to changes of the node list, or unsubscribe if not ``active``."""

    active: bool = True


@dataclass(frozen=True, slots=True)
class FetchNodeList:
    """Request the full node list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = (
    Bind | Shed | Fail | StopAttempt | Evict | SetTimer | HealthCheck | WatchNodeList | FetchNodeList | Log
)

"""The interface of the decision module: its settings, the events it is fed and the actions it returns.

Everything here is a frozen dataclass or an enum; nothing here decides. Times are whole microseconds on
the caller's clock. Ids of tasks, nodes, services and groups are opaque integers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Effect(Enum):
    """What a second start of a task would do."""

    IDEMPOTENT = "repeatable"
    IDEMPOTENT_BY_KEY = "keyed"
    AT_MOST_ONCE = "once"


class Scope(Enum):
    """A set of nodes seen from one of them: the node alone, its group, its zone, or every node."""

    __hash__ = object.__hash__  # the enum's own is computed anew from the name at each look-up

    NONE = "none"
    NODE = "node"
    GROUP = "group"
    ZONE = "zone"
    ALL = "all"


class NodeStatus(IntEnum):
    """What the node list says of a node."""

    GONE = 0
    DRAINING = 1
    READY = 2


class ListKind(Enum):
    """How a node list arrived."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Result(Enum):
    """How an attempt ended."""

    FINISHED = "finished"  # the task ran to its end
    ERROR = "error"  # the node answered with an error
    REJECTED = "refused"  # turned down or handed back before it ran
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"  # no connection could be made
    LOST = "lost"  # after placement: evicted, pushed out, sent away or lost; before it: answer broke off
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


PROVES_NOT_RUN = frozenset({Result.REJECTED, Result.UNREACHABLE, Result.NOT_SENT})


class Reason(IntEnum):
    """Why an attempt was refused or a placed task was lost."""

    UNTOLD = 0
    NO_CORES = 1
    NO_MEMORY = 2
    QUEUE_FULL = 3
    NOT_HERE = 4
    EVICTED = 5
    PUSHED_OUT = 6
    SENT_AWAY = 7


class StatusKind(IntEnum):
    """What a status update tells; all but RUNNING come with a level."""

    RUNNING = 1
    CORES_USED = 2
    MEMORY_USED = 3
    SERVED_SHARE = 4
    NODE_MEMORY_SHARE = 5


@dataclass(frozen=True, slots=True)
class TaskClass:
    """What all tasks of one class have in common."""

    name: str
    effect: Effect
    dedup_scope: Scope  # KEYED: the nodes that drop repeats of a task
    dedup_window_us: int  # KEYED: for how long they remember
    latency_objective_us: int  # a start within this time earns its full worth
    deadline_us: int
    priority_weight: float = 1.0  # of one second of full service
    start_bonus_s: float = 0.0  # a start in time is worth so many seconds of service
    late_start_weight: float = 0.0
    spread: Scope = Scope.NONE
    max_per_place: int = 0
    node_type: int | None = None
    priority: int = 0
    full_service_utilization: float = 1.0  # served in full while the cores are busy up to this share
    service_loss_range: float = 1.0  # and not at all from so much more on


@dataclass(frozen=True, slots=True)
class NodeType:
    """What all nodes of one type have; cores and memory in the units that tasks ask for."""

    name: str
    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What a planner is told once, at its start."""

    planners: int
    position: int
    zone: int
    classes: tuple[TaskClass, ...]
    node_types: tuple[NodeType, ...]
    mean_cores: float  # of one task
    mean_memory: float
    cores_limit: float  # a node accepts until its tasks ask for this many times its cores
    memory_limit: float
    confirms_running: bool  # Placed means "it runs", not only "it was accepted"
    preempts: bool
    max_attempts: int
    answer_slack_us: int
    drain_grace_us: int
    slow_start_share: float
    slow_start_us: int
    overload_multiple: float
    overload_window_us: int
    slow_start_offers: float
    polls_node_list: bool  # the node list comes only when asked for
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

        def need(ok: bool, field: str) -> None:
            if not ok:
                raise ValueError(f"settings: bad {field}: {getattr(self, field)!r}")

        need(self.planners >= 1, "planners")
        need(0 <= self.position < self.planners, "position")
        need(len(self.classes) >= 1, "classes")
        need(len(self.node_types) >= 1, "node_types")
        need(
            all(c.node_type is None or 0 <= c.node_type < len(self.node_types) for c in self.classes),
            "classes",
        )
        need(all(k.cores > 0 and k.memory > 0 for k in self.node_types), "node_types")
        for name in ("mean_cores", "mean_memory", "cores_limit", "memory_limit", "max_attempts", "tick_us"):
            need(getattr(self, name) > 0, name)
        for name in (
            "answer_slack_us",
            "drain_grace_us",
            "slow_start_us",
            "overload_window_us",
            "slow_start_offers",
            "poll_within_us",
        ):
            need(getattr(self, name) >= 0, name)
        need(all(q >= 0 for q in self.tenant_quota_cores), "tenant_quota_cores")


@dataclass(frozen=True, slots=True)
class Task:
    """One task; ``expires_us`` is the time by which its client is owed an answer."""

    id: int
    class_index: int
    tenant: int
    key: int
    expires_us: int
    service: int
    cores: float
    memory: float
    expected_duration_us: int | None = None  # how long it is still expected to run, where told
    resubmitted: bool = False  # it came back after a refusal, failure, move or loss
    excluded_nodes: frozenset[int] = frozenset()  # nodes that it must not go to, whatever else allows them


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """One line of the node list; the free figures were true some time ago."""

    id: int
    zone: int
    node_type: int
    group: int
    status: NodeStatus
    free_cores: float
    free_memory: float
    started_us: int = 0  # 0: long ago


# Events


@dataclass(frozen=True, slots=True)
class Started:
    """First event of a planner's life."""


@dataclass(frozen=True, slots=True)
class NodeList:
    """A node list or changes of it, or word that it could not be had."""

    kind: ListKind
    nodes: tuple[NodeEntry, ...] = ()
    revision: int = 0


@dataclass(frozen=True, slots=True)
class TaskRequested:
    """A client wants the task placed."""

    task: Task


@dataclass(frozen=True, slots=True)
class TaskAdopted:
    """A task that runs already and is this planner's to look after from now on."""

    task: Task
    node: int


@dataclass(frozen=True, slots=True)
class Placed:
    """A node has accepted an attempt, or runs it where the settings say so."""

    task: int
    attempt: int
    node: int
    latency_us: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended; ``is_final`` says that the task is over and no answer is owed."""

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
    """A node tells of a running attempt, or of itself."""

    task: int
    attempt: int
    node: int
    kind: StatusKind
    level: float


@dataclass(frozen=True, slots=True)
class TaskCancelled:
    """The client has withdrawn the task: no answer is owed any more."""

    task: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the planner has set is due."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthChecked:
    """How a health check ended."""

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


# Actions


@dataclass(frozen=True, slots=True)
class Bind:
    """Offer the task to a node; attempts of a task are numbered 0, 1, 2 ... in this order."""

    task: int
    node: int
    timeout_us: int = 0  # 0: until the owner gives up


@dataclass(frozen=True, slots=True)
class Shed:
    """Reject the task for now; the client may try again after so long."""

    task: int
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer that the task has failed; a retry may run it twice."""

    task: int


@dataclass(frozen=True, slots=True)
class StopAttempt:
    """Cancel an attempt whose result is not wanted any more."""

    task: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Evict:
    """Stop a placed task so that its owner has it placed anew."""

    task: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Feed a TimerFired with this token when the time has come."""

    at_us: int
    token: int


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Check the health of a node, once."""

    node: int


@dataclass(frozen=True, slots=True)
class WatchNodeList:
    """Ask for changes of the node list from now on."""

    active: bool = True


@dataclass(frozen=True, slots=True)
class FetchNodeList:
    """Ask for the whole node list, once."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = (
    Bind | Shed | Fail | StopAttempt | Evict | SetTimer | HealthCheck | WatchNodeList | FetchNodeList | Log
)

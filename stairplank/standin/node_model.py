"""The parameters of a stand-in node, and the state of an offer at a node. No I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..planner.events import AttemptId, GroupTag, TaskSpec


@dataclass(frozen=True)
class NodeModel:
    """The parameters of one node; times in microseconds."""

    id: int
    name: str
    node_type: str
    zone: str
    rack: str
    cores: float
    memory: float
    cores_limit: float = 1.0
    memory_limit: float = 1.0
    admission_time_us: tuple[int, int] = (2_000, 5_000)
    max_waiting_offers: int = 16
    starts_at_once: int = 4
    start_us: int = 60_000
    cold_start_factor: float = 6.0  # multiplies the work of a start if the program is not cached
    max_cached_programs: int = 8
    slow_start_share: float = 0.2
    slow_start_us: int = 10_000_000
    overload_multiple: float = 2.0
    overload_window_us: int = 1_500_000
    slow_start_offers: float = 20.0
    preempts: bool = False
    cores_use: float = 0.5
    memory_use: float = 0.65


class OfferState(Enum):
    """The state of an offer at its node."""

    WAITING = "waiting"  # in the admission queue
    ACCEPTED = "accepted"  # capacity is reserved; the start has not begun
    STARTING = "starting"
    READY = "ready"  # a group member that is prepared and waits for its commit
    RUNNING = "running"


@dataclass(slots=True)
class Offer:
    """An offer at a node, from its arrival to the end of its task."""

    planner: int
    id: AttemptId
    task: TaskSpec
    expires_at: int  # the offer is not accepted at or after this time
    priority: int
    dedup_window_us: int  # how long repeats of a task with a key are dropped; 0 for a task without a key
    received_at: int
    state: OfferState = OfferState.WAITING
    ends_at: int = 0  # end of the start or of the task; 0: no end is scheduled
    start_fails: bool = False  # whether the start will fail
    group: GroupTag | None = None
    leased_until: int = 0  # when the node releases a group member; 0: no lease
    committed: bool = False

    @property
    def has_begun(self) -> bool:
        """Whether the task may have had an effect. A group member without a commit never has."""
        if self.group is not None:
            return self.committed
        return self.state in (OfferState.STARTING, OfferState.RUNNING)


def next_event_of(offer: Offer) -> int:
    """Return the time of the offer's next timer, or a time far in the future if none is set."""
    return min((at for at in (offer.ends_at, offer.leased_until) if at), default=2**62)

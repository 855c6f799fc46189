"""A node's figures, and an offer from its arrival at a node to its end. No I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..planner.events import AttemptId, GroupTag, TaskSpec


@dataclass(frozen=True)
class NodeModel:
    """One node's figures; times in microseconds."""

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
    cold_start_factor: float = 6.0  # times the work where the program is not there
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
    """How an offer stands at its node."""

    WAITING = "waiting"  # not looked at
    ACCEPTED = "accepted"  # room is taken; not begun
    STARTING = "starting"
    READY = "ready"  # a member of a group, made ready and held until it is let run
    RUNNING = "running"


@dataclass(slots=True)
class Offer:
    """An offer, from its arrival to its end."""

    planner: int
    id: AttemptId
    task: TaskSpec
    expires_at: int  # an answer is of use until then
    priority: int
    dedup_window_us: int  # keyed: how long repeats are dropped; else 0
    received_at: int
    state: OfferState = OfferState.WAITING
    ends_at: int = 0  # of the start, or of the task; 0: not by itself
    start_fails: bool = False  # its start will
    group: GroupTag | None = None
    leased_until: int = 0  # a member of a group is released by the node after that; 0: not accepted yet
    committed: bool = False

    @property
    def has_begun(self) -> bool:
        """It may have had an effect. A member that is held never has."""
        if self.group is not None:
            return self.committed
        return self.state in (OfferState.STARTING, OfferState.RUNNING)


def next_event_of(offer: Offer) -> int:
    """When something happens to it by itself."""
    return min((at for at in (offer.ends_at, offer.leased_until) if at), default=2**62)

"""State of one group and of its members."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .spec import GroupSpec


class GroupState(Enum):
    """Where a group is in its lifecycle."""

    WAITING = "waiting"  # for its next attempt
    RESERVING = "reserving"  # members are being placed and reserved
    COMMITTED = "committed"  # members were told to run
    COMPLETE = "complete"  # all of them run
    RELEASING = "releasing"  # an abandoned attempt has not ended at all nodes yet
    OVER = "over"


class MemberState(Enum):
    """Where a member is in the current attempt of its group."""

    IDLE = "idle"  # not part of an attempt
    REQUESTED = "requested"
    RESERVED = "reserved"
    RUNNING = "running"
    FINISHED = "finished"
    OVER = "over"  # rejected, failed, lost or released


OPEN_MEMBER_STATES = (MemberState.REQUESTED, MemberState.RESERVED, MemberState.RUNNING)


@dataclass(frozen=True, slots=True)
class Location:
    """Where a member is reserved or runs."""

    node: int
    rack: str


@dataclass(slots=True)
class Group:
    """One group, from its request to its end. Times are in microseconds on the planner's clock."""

    number: int
    spec: GroupSpec
    requested_at: int
    deadline: int
    state: GroupState = GroupState.WAITING
    members: list[MemberState] = field(default_factory=list)
    locations: dict[int, Location] = field(default_factory=dict)  # by member
    attempts: int = 0
    state_deadline: int = 0  # of RESERVING and COMMITTED
    lease_us: int = 0
    reason: str = ""  # why the last attempt was given up or put off
    was_committed: bool = False  # in any attempt
    is_answered: bool = False  # the client has the outcome, or cancelled
    is_placed: bool = False
    is_final: bool = False  # no further attempt after the release
    enforces_constraints: bool = False  # its constraints exclude nodes for its members
    constraints_infeasible: bool = False
    rack: str = ""  # that members of this attempt go to
    failed_racks: set[str] = field(default_factory=set)
    timer_generation: int = 0  # only the timer of the current generation is valid

    def elapsed(self, now: int) -> int:
        """Time since the request."""
        return now - self.requested_at

    @property
    def time_allowed(self) -> int:
        """Time from the request to the deadline."""
        return self.deadline - self.requested_at

    def age(self, now: int) -> float:
        """Share of the allowed time that has passed; above 1 after the deadline."""
        return self.elapsed(now) / max(1, self.time_allowed)

    def members_in(self, *states: MemberState) -> tuple[int, ...]:
        """Members in one of these states, in order."""
        return tuple(i for i, state in enumerate(self.members) if state in states)

    def meets_constraints(self) -> bool:
        """Whether the members' locations meet the group's constraints."""
        nodes = [location.node for location in self.locations.values()]
        racks = [location.rack for location in self.locations.values()]
        if self.spec.same_rack and len(set(racks)) > 1:
            return False
        if self.spec.distinct_nodes and len(set(nodes)) < len(nodes):
            return False
        return not (self.spec.distinct_racks and len(set(racks)) < len(racks))

"""State of a group and of its members."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .spec import GroupSpec


class GroupState(Enum):
    """States in the lifecycle of a group."""

    WAITING = "waiting"  # the next attempt has not begun yet
    RESERVING = "reserving"  # members are being placed and reserved
    COMMITTED = "committed"  # the nodes were told to run the members
    COMPLETE = "complete"  # enough members run or have finished
    RELEASING = "releasing"  # some members of an abandoned attempt have not ended yet
    OVER = "over"  # the group has ended and is removed


class MemberState(Enum):
    """States of a member in the current attempt of its group."""

    IDLE = "idle"  # no attempt has begun
    REQUESTED = "requested"  # being placed
    RESERVED = "reserved"  # reserved by a node and ready to run
    RUNNING = "running"
    FINISHED = "finished"
    OVER = "over"  # rejected, failed, lost or released


OPEN_MEMBER_STATES = (MemberState.REQUESTED, MemberState.RESERVED, MemberState.RUNNING)


@dataclass(frozen=True, slots=True)
class Location:
    """The node on which a member is reserved or runs, and its rack."""

    node: int
    rack: str


@dataclass(slots=True)
class Group:
    """The state of one group from request to end. Times are in microseconds on the planner's clock."""

    number: int
    spec: GroupSpec
    requested_at: int
    deadline: int
    state: GroupState = GroupState.WAITING
    members: list[MemberState] = field(default_factory=list)
    locations: dict[int, Location] = field(default_factory=dict)  # by index of the member
    attempts: int = 0
    state_deadline: int = 0  # latest end of the state RESERVING or COMMITTED
    lease_us: int = 0
    reason: str = ""  # why the last attempt was abandoned or postponed
    was_committed: bool = False  # members were committed in any attempt so far
    is_answered: bool = False  # the client received the outcome or cancelled the group
    is_placed: bool = False  # reported to the client as complete
    is_final: bool = False  # no attempt follows the current release
    enforces_constraints: bool = False  # nodes are excluded to meet the constraints
    constraints_infeasible: bool = False  # the listed nodes could not meet them even when empty
    rack: str = ""  # the rack to which members of this attempt are assigned
    failed_racks: set[str] = field(default_factory=set)  # racks in which same_rack attempts failed
    timer_generation: int = 0  # timers of earlier generations are invalid

    def elapsed(self, now: int) -> int:
        """Return the time since the request."""
        return now - self.requested_at

    @property
    def time_allowed(self) -> int:
        """Return the time from the request to the deadline."""
        return self.deadline - self.requested_at

    def age(self, now: int) -> float:
        """Return the share of the allowed time that has passed; it exceeds 1 after the deadline."""
        return self.elapsed(now) / max(1, self.time_allowed)

    def members_in(self, *states: MemberState) -> tuple[int, ...]:
        """Return the indices of the members in one of these states, in ascending order."""
        return tuple(i for i, state in enumerate(self.members) if state in states)

    def meets_constraints(self) -> bool:
        """Return whether the members' locations meet the group's constraints."""
        nodes = [location.node for location in self.locations.values()]
        racks = [location.rack for location in self.locations.values()]
        if self.spec.same_rack and len(set(racks)) > 1:
            return False
        if self.spec.distinct_nodes and len(set(nodes)) < len(nodes):
            return False
        return not (self.spec.distinct_racks and len(set(racks)) < len(racks))

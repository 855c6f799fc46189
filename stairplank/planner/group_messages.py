"""Messages on group members, queued until the decision module's event queue is empty."""

from __future__ import annotations

from dataclasses import dataclass

from .placement import Placement


@dataclass(frozen=True, slots=True)
class PlaceNext:
    """Request to place a member in this attempt; members are placed one after the other."""

    group: int
    member: int
    deadline: int
    attempt: int


@dataclass(frozen=True, slots=True)
class MemberReserved:
    """A node has reserved resources for the member, which is ready to start."""

    group: int
    member: int
    node: int


@dataclass(frozen=True, slots=True)
class MemberRunning:
    """A committed member runs."""

    group: int
    member: int


@dataclass(frozen=True, slots=True)
class MemberOver:
    """The placement of the member was removed: it has its outcome and no attempts."""

    group: int
    member: int
    placement: Placement


MemberMessage = PlaceNext | MemberReserved | MemberRunning | MemberOver

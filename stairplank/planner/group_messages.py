"""Messages on members of groups, queued until the decision module has nothing more to take."""

from __future__ import annotations

from dataclasses import dataclass

from .placement import Placement


@dataclass(frozen=True, slots=True)
class PlaceNext:
    """The next member of this attempt is to be placed, after those before it."""

    group: int
    member: int
    deadline: int
    attempt: int


@dataclass(frozen=True, slots=True)
class MemberReserved:
    """A node holds the member ready to run."""

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
    """Nothing is left of this placement of the member."""

    group: int
    member: int
    placement: Placement


MemberMessage = PlaceNext | MemberReserved | MemberRunning | MemberOver

"""Actions of the coordinator: what the planner is to do for a group, or to tell its client."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlaceMember:
    """Have this member placed by the deadline; its node reserves it and does not run it yet."""

    group: int
    member: int
    deadline: int


@dataclass(frozen=True, slots=True)
class Commit:
    """Run these reserved members, under a lease of this length."""

    group: int
    members: tuple[int, ...]
    lease_us: int


@dataclass(frozen=True, slots=True)
class RenewLeases:
    """Renew the leases of these members."""

    group: int
    members: tuple[int, ...]
    lease_us: int


@dataclass(frozen=True, slots=True)
class Release:
    """Abandon the attempts of these members; the end of each is reported by ``member_over``."""

    group: int
    members: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Placed:
    """The group is complete: these members run or have finished."""

    group: int
    members: tuple[int, ...]
    constraints_met: bool
    attempts: int


@dataclass(frozen=True, slots=True)
class Shed:
    """The group was not started, and none of its members runs. ``is_permanent``: it can never fit."""

    group: int
    reason: str
    is_permanent: bool
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class Failed:
    """The group was not completed, and some of its members may have run."""

    group: int
    reason: str


@dataclass(frozen=True, slots=True)
class Attempted:
    """An attempt was given up; the next one follows in ``retry_in_us``."""

    group: int
    attempts: int
    reason: str
    retry_in_us: int


@dataclass(frozen=True, slots=True)
class Ended:
    """A placed group is over. ``finished``: at least the required number of members finished."""

    group: int
    finished: bool


Action = PlaceMember | Commit | RenewLeases | Release | Placed | Shed | Failed | Attempted | Ended

"""Actions that the coordinator returns: work for the planner, or messages for a group's client."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlaceMember:
    """Place a member before the deadline. Its node makes a reservation and does not run the member yet."""

    group: int
    member: int
    deadline: int


@dataclass(frozen=True, slots=True)
class Commit:
    """Tell the nodes to run these reserved members under a lease of ``lease_us`` microseconds."""

    group: int
    members: tuple[int, ...]
    lease_us: int


@dataclass(frozen=True, slots=True)
class RenewLeases:
    """Renew the leases of these members for ``lease_us`` microseconds."""

    group: int
    members: tuple[int, ...]
    lease_us: int


@dataclass(frozen=True, slots=True)
class Release:
    """Abandon the attempts of these members. The planner calls ``member_over`` when each one has ended."""

    group: int
    members: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Placed:
    """Report to the client that the group is complete: these members are running or have finished."""

    group: int
    members: tuple[int, ...]
    constraints_met: bool
    attempts: int


@dataclass(frozen=True, slots=True)
class Shed:
    """Report that the group was not started and that none of its members runs.

    ``is_permanent``: the cluster could not run the group even when empty.
    """

    group: int
    reason: str
    is_permanent: bool
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class Failed:
    """Report that the group did not become complete, although some of its members may have run."""

    group: int
    reason: str


@dataclass(frozen=True, slots=True)
class Attempted:
    """Report that an attempt was abandoned and that the next one begins in ``retry_in_us`` microseconds."""

    group: int
    attempts: int
    reason: str
    retry_in_us: int


@dataclass(frozen=True, slots=True)
class Ended:
    """Report that a placed group has ended.

    ``finished``: at least the required number of members finished.
    """

    group: int
    finished: bool


Action = PlaceMember | Commit | RenewLeases | Release | Placed | Shed | Failed | Attempted | Ended

"""Configuration of the coordinator of all-or-nothing groups."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GroupConfig:
    """Timeouts, leases, backoff and limits of groups. Times are in microseconds."""

    # How long one attempt may hold reservations; grows with the age of the group up to the maximum below.
    reserve_timeout_us: int = 1_500_000
    max_reserve_timeout_us: int = 3_000_000
    # How long after the commit all members must be running.
    commit_timeout_us: int = 1_000_000
    lease_renewal_interval_us: int = 400_000
    # The length of a lease until the group is complete; after that, each renewal adds one step.
    lease_us: int = 1_200_000
    lease_step_us: int = 400_000
    max_lease_us: int = 8_000_000
    # The wait after the first attempt; it doubles with each further attempt up to the maximum.
    initial_backoff_us: int = 200_000
    max_backoff_us: int = 3_000_000
    # The client receives the outcome at least this long before the deadline of the group.
    answer_margin_us: int = 100_000
    max_groups: int = 1_000
    # Share of the free cores that all groups with an attempt in progress may reserve together.
    max_reserved_share: float = 0.5
    # False, a baseline for experiments, checks constraints only after all members are bound.
    enforce_constraints: bool = True
    # True, a baseline for experiments, keeps reservations until the group is complete or its time is over.
    blocking: bool = False

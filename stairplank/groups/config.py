"""Configuration of the group coordinator."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GroupConfig:
    """Timeouts, leases, backoff and limits of groups. Times are in microseconds."""

    # How long one attempt may hold reservations: grows with the age of the group up to the maximum.
    reserve_timeout_us: int = 1_500_000
    max_reserve_timeout_us: int = 3_000_000
    # From the commit until all members run.
    commit_timeout_us: int = 1_000_000
    lease_renewal_interval_us: int = 400_000
    # The lease before a group is complete; after that it grows by one step with each renewal.
    lease_us: int = 1_200_000
    lease_step_us: int = 400_000
    max_lease_us: int = 8_000_000
    # The first wait between attempts; it doubles up to the maximum.
    initial_backoff_us: int = 200_000
    max_backoff_us: int = 3_000_000
    # A group is answered this long before its deadline.
    answer_margin_us: int = 100_000
    max_groups: int = 1_000
    # Share of the free capacity that all reserving groups together may hold.
    max_reserved_share: float = 0.5
    # False is a baseline for experiments: constraints are checked only after all members are bound.
    enforce_constraints: bool = True
    # True is a baseline for experiments: reservations are held until the group is complete.
    blocking: bool = False

"""Bounds, timeouts and intervals of the planner's core."""

from __future__ import annotations

from dataclasses import dataclass

from ..groups.config import GroupConfig
from . import admission


@dataclass(frozen=True, slots=True)
class CoreConfig:
    """Bounds, timeouts and intervals of the planner's core; times in microseconds."""

    bounds: admission.Bounds
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    dial_timeout_us: int = 250_000
    dial_retry_us: int = 100_000  # first backoff between dials of a node; doubles up to max_dial_retry_us
    max_dial_retry_us: int = 2_000_000
    link_grace_us: int = 1_000_000  # attempts are kept if a lost link is up again within this time
    stop_grace_us: int = 10_000_000  # maximum duration of a graceful shutdown
    abandoned_attempt_us: int = 30_000_000  # how long a node's message on an abandoned attempt is awaited
    max_nodes: int = 10_000
    max_dials: int = 16  # dials in progress at the same time
    groups: GroupConfig = GroupConfig()
    settles_abandoned_offers: bool = True  # False is a baseline for experiments; see AttemptSettlement
    orphan_search_us: int = 1_000_000  # how long a restarted planner awaits reports of a group's members

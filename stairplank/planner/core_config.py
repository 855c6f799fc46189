"""Bounds and waits of the planner's core."""

from __future__ import annotations

from dataclasses import dataclass

from ..groups.config import GroupConfig
from . import admission


@dataclass(frozen=True, slots=True)
class CoreConfig:
    """Bounds and waits; times in microseconds."""

    bounds: admission.Bounds
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    dial_timeout_us: int = 250_000
    dial_retry_us: int = 100_000  # the first backoff between dials of a node
    max_dial_retry_us: int = 2_000_000
    link_grace_us: int = 1_000_000  # a lost link that is back within it has lost nothing
    stop_grace_us: int = 10_000_000  # a graceful shutdown lasts no longer
    abandoned_attempt_us: int = 30_000_000  # so long a node's message on an abandoned attempt is awaited
    max_nodes: int = 10_000
    max_dials: int = 16  # in progress at once
    groups: GroupConfig = GroupConfig()
    settles_abandoned_offers: bool = True  # False is a baseline for experiments: see Attempts
    orphan_search_us: int = 1_000_000  # so long a restarted planner looks for the rest of a group

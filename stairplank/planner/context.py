"""What the components of the planner's core share: the event loop, settings, bounds and names. No I/O,
no clock.

A component owns its tables and no other component touches them. It emits actions for what is to be done
outside the core, notifies the decision module of events, and sets timers. The core (``core``) routes events
to the components, advances time and runs the decision module.
"""

from __future__ import annotations

from dataclasses import dataclass

from .. import interface as api
from ..groups.coordinator import GroupConfig
from . import admission
from . import events as ev
from .event_loop import EventLoop


@dataclass(frozen=True, slots=True)
class CoreConfig:
    """Bounds and waits; times in microseconds."""

    bounds: admission.Bounds
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    dial_timeout_us: int = 250_000
    dial_retry_us: int = 100_000
    max_dial_retry_us: int = 2_000_000
    link_grace_us: int = 1_000_000
    stop_grace_us: int = 10_000_000
    abandoned_attempt_us: int = 30_000_000  # so long a node's word on a given-up attempt is waited for
    max_nodes: int = 10_000
    max_dials: int = 16  # under way at once
    groups: GroupConfig = GroupConfig()
    settles_abandoned_offers: bool = (
        True  # baseline for experiments: a given-up offer's void wait proves nothing
    )
    orphan_search_us: int = (
        1_000_000  # so long a restarted planner looks for the rest of a group that it finds
    )


class CoreContext(EventLoop):
    """One per core."""

    def __init__(self, settings: api.Settings, config: CoreConfig, incarnation: int) -> None:
        super().__init__()
        self.incarnation = incarnation
        self.set_settings(settings, config)

    def set_settings(self, settings: api.Settings, config: CoreConfig) -> None:
        """Settings and bounds from now on; classes and tenants keep their numbers."""
        self.settings = settings
        self.config = config
        self.classes = {c.name: i for i, c in enumerate(settings.classes)}
        self.tenants = {name: i for i, name in enumerate(config.tenants)}

    def log(self, event: str, **fields: object) -> None:
        self.emit(ev.LogEvent(event, fields))

    def effect(self, class_index: int) -> api.Effect:
        return self.settings.classes[class_index].effect

"""The state that the core's components share: event loop, settings, bounds, numbers of classes and tenants.

No I/O, no clock.

Only the component that owns a table changes it. A component emits actions that the driver carries out,
notifies the decision module of events, and sets timers. The core (``core``) routes events to the components,
advances time and runs the decision module.
"""

from __future__ import annotations

from .. import interface as api
from . import events as ev
from .core_config import CoreConfig
from .event_loop import EventLoop


class CoreContext(EventLoop):
    """Event loop, settings, and class and tenant numbers that the components of one core share."""

    def __init__(self, settings: api.Settings, config: CoreConfig, incarnation: int) -> None:
        """Create the context; ``incarnation`` is a number that no other run of a planner has."""
        super().__init__()
        self.incarnation = incarnation
        self.set_settings(settings, config)

    def set_settings(self, settings: api.Settings, config: CoreConfig) -> None:
        """Replace the settings and bounds; classes and tenants keep their numbers."""
        self.settings = settings
        self.config = config
        self.classes = {c.name: i for i, c in enumerate(settings.classes)}
        self.tenants = {name: i for i, name in enumerate(config.tenants)}

    def log(self, event: str, **fields: object) -> None:
        """Emit an action that adds an entry to the log."""
        self.emit(ev.LogEvent(event, fields))

    def effect(self, class_index: int) -> api.Effect:
        """Return the effect that a second run of a task of this class has."""
        return self.settings.classes[class_index].effect

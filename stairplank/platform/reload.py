"""Applies a configuration file that is read again to a running planner, as far as that is possible.

Settings are applied completely or not at all: a change that needs a restart blocks those beside it. The node
list service's address is no setting; it is followed whatever else the file holds. No I/O but the log.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping

from ..configuration.field_changes import FieldChange, changed_names, changed_settings
from . import events as ev
from .config import Config, ConfigError, ConfigFile, parse
from .logs import log
from .node_list import NodeList

_READ_AT_START = "it is read when the process starts"
# Danger: machines close what is idle for longer than a connection was made with; a task whose message is
# written meanwhile may have run.
RESTART_REASONS: Mapping[str, str] = {
    "name": _READ_AT_START,
    "listen": _READ_AT_START,
    "seed": _READ_AT_START,
    "sockets": "the process's connections are divided by it",
    "fields": "it is what machines' reports hold, in their order",
    "idle_us": "connections that stand were made with it",
}
LIVE_FIELDS = ("dial_timeout_us", "handshake_price")


class RestartRequiredError(ConfigError):
    """A file that is well formed, and has changes that a running planner cannot apply.

    Attributes:
        changes: All of these changes, each with its reason.
    """

    def __init__(self, changes: list[FieldChange]) -> None:
        """The text names each change with its reason."""
        self.changes = tuple(changes)
        super().__init__("; ".join(f"{change}: {change.restart_reason}" for change in changes))


def changed_fields(old: Config, new: Config) -> tuple[FieldChange, ...]:
    """Return every field that differs, but for the service's address and the updates known at a start."""
    return tuple(_changed_fields(old, new))


def _changed_fields(old: Config, new: Config) -> Iterator[FieldChange]:
    for name in (*RESTART_REASONS, *LIVE_FIELDS):
        if getattr(old, name) != getattr(new, name):
            yield FieldChange((name,), RESTART_REASONS.get(name))
    yield from changed_settings(old.settings, new.settings)
    yield from changed_names("zones", old.zones, new.zones)
    yield from changed_names("tenants", old.tenants, new.tenants)


def live_change(old: Config, new: Config) -> ev.SettingsChanged | None:
    """Return the change for the core, or None where no setting differs. Raises RestartRequiredError."""
    changes = changed_fields(old, new)
    blocked = [change for change in changes if change.restart_reason is not None]
    if blocked:
        raise RestartRequiredError(blocked)
    if not changes:
        return None
    return ev.SettingsChanged(
        revision=new.revision,
        changed=tuple(map(str, changes)),
        settings=new.settings,
        tenants=new.tenants,
        zones=new.zones,
        dial_timeout_us=new.dial_timeout_us,
        priced=new.handshake_price > 0,
    )


class ConfigInForce:
    """The configuration that a planner runs by; applies one that is read later, or rejects it."""

    def __init__(
        self,
        config: Config,
        node_list: NodeList,
        enqueue: Callable[[ev.Event], None],
        count: Callable[[str], None],
    ) -> None:
        """Begin with ``config``.

        Args:
            config: What the process was started with.
            node_list: Gets the names of zones and node types.
            enqueue: Has the core handle events.
            count: Increments a counter of configurations applied or rejected.
        """
        self.config = config
        self._node_list = node_list
        self._enqueue = enqueue
        self._count = count

    def log_start(self) -> None:
        """Log the revision that the process started with, or applied before it serves."""
        self._log_in_force(self.config.revision, ())

    def apply(self, file: ConfigFile) -> None:
        """Have the core apply the file's settings, all of them or none."""
        try:
            new = parse(file)
            change = live_change(self.config, new)
        except ConfigError as error:
            self.reject(error, file.revision)
            return
        self.config = new
        if change is None:
            self._log_in_force(new.revision, ())
        else:
            self._enqueue(change)

    def reject(self, error: ConfigError, revision: str = "") -> None:
        """Log why nothing of a file's settings is applied."""
        self._count("configurations_not_taken")
        log(
            "configuration not taken",
            error=str(error),
            revision=revision,
            in_force=self.config.revision,
        )

    def confirm(self, change: ev.SettingsChanged) -> None:
        """Have the node list follow: the core has applied the change.

        Danger: named by the node list before the core knows it, a node type's machines would be passed over.
        """
        node_types = tuple(node_type.name for node_type in change.settings.node_types)
        update = self._node_list.set_names(change.zones, node_types)
        if update is not None:
            self._enqueue(ev.NodeListUpdated(update))
        self._log_in_force(change.revision, change.changed)

    def _log_in_force(self, revision: str, changed: tuple[str, ...]) -> None:
        self._count("configurations_in_force")
        log("configuration in force", revision=revision, changed=changed)

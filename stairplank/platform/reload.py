"""Applies a configuration file that is read again to a running planner, as far as that is possible.

A file's settings are applied all together or not at all: one change that needs a restart blocks all others.
The node list service's address is applied whatever the file's settings are. No I/O but the log.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping

from ..configuration.field_changes import FieldChange, changed_names, changed_settings
from . import events as ev
from .config import Config, ConfigError, ConfigFile, parse
from .logs import log
from .node_list import NodeList

_READ_AT_START = "it is read when the process starts"
# Each field whose change needs a restart, with the reason. ``idle_us`` is one: a machine closes a connection
# by the idle time with which it was opened, and a task whose message is written meanwhile may have run.
RESTART_REASONS: Mapping[str, str] = {
    "name": _READ_AT_START,
    "listen": _READ_AT_START,
    "seed": _READ_AT_START,
    "sockets": "the process's connections are divided by it",
    "fields": "it names the fields of machines' load reports, in order",
    "idle_us": "open connections were made with it",
}
LIVE_FIELDS = ("dial_timeout_us", "handshake_price")


class RestartRequiredError(ConfigError):
    """A valid configuration file has changes that a running planner cannot apply.

    Attributes:
        changes: All changes that need a restart, each with its reason.
    """

    def __init__(self, changes: list[FieldChange]) -> None:
        """Set the exception's text to the list of changes, each with its reason."""
        self.changes = tuple(changes)
        super().__init__("; ".join(f"{change}: {change.restart_reason}" for change in changes))


def changed_fields(old: Config, new: Config) -> tuple[FieldChange, ...]:
    """Return every field that differs, except ``node_list_address`` and ``known_updates``."""
    return tuple(_changed_fields(old, new))


def _changed_fields(old: Config, new: Config) -> Iterator[FieldChange]:
    for name in (*RESTART_REASONS, *LIVE_FIELDS):
        if getattr(old, name) != getattr(new, name):
            yield FieldChange((name,), RESTART_REASONS.get(name))
    yield from changed_settings(old.settings, new.settings)
    yield from changed_names("zones", old.zones, new.zones)
    yield from changed_names("tenants", old.tenants, new.tenants)


def live_change(old: Config, new: Config) -> ev.SettingsChanged | None:
    """Return the change of settings for the core, or None if none differs. Raises RestartRequiredError."""
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
    """The configuration in force; applies or rejects each configuration file that is read later."""

    def __init__(
        self,
        config: Config,
        node_list: NodeList,
        enqueue: Callable[[ev.Event], None],
        count: Callable[[str], None],
    ) -> None:
        """Start with ``config`` in force.

        Args:
            config: The configuration that the process was started with.
            node_list: Receives the names of zones and node types when they change.
            enqueue: Queues events for the core.
            count: Increments a counter of configurations applied or rejected.
        """
        self.config = config
        self._node_list = node_list
        self._enqueue = enqueue
        self._count = count

    def log_start(self) -> None:
        """Log the revision in force when the process begins to accept clients."""
        self._log_in_force(self.config.revision, ())

    def apply(self, file: ConfigFile) -> None:
        """Have the core apply a file's settings, or reject the whole file if it cannot be applied."""
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
        """Count a rejected file and log the reason; all settings stay as they are."""
        self._count("configurations_not_taken")
        log(
            "configuration not taken",
            error=str(error),
            revision=revision,
            in_force=self.config.revision,
        )

    def confirm(self, change: ev.SettingsChanged) -> None:
        """Set the node list's zones and node types and log the revision, after the core applied a change.

        If the node list were updated first, the core would ignore machines of a node type that it does not
        know yet.
        """
        node_types = tuple(node_type.name for node_type in change.settings.node_types)
        update = self._node_list.set_names(change.zones, node_types)
        if update is not None:
            self._enqueue(ev.NodeListUpdated(update))
        self._log_in_force(change.revision, change.changed)

    def _log_in_force(self, revision: str, changed: tuple[str, ...]) -> None:
        self._count("configurations_in_force")
        log("configuration in force", revision=revision, changed=changed)

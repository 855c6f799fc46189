"""Which part of a configuration file that is read again comes into force while the planner runs. No I/O but
the log.

Settings are taken as a whole or not at all: a change that needs a restart holds back those beside it. The
node list service's address is no setting; it is followed whatever else the file holds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping

from ..configuration.rules import FieldChange, changed_names, changed_settings
from . import events as ev
from .config import Config, ConfigError, ConfigFile, parse
from .logs import log
from .node_list import NodeList

_READ_AT_START = "it is read when the process starts"
# Danger: machines close what is idle for longer than the figure that a connection was made with; a message
# that is written meanwhile may have run.
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
    """The file is well formed, and holds changes that a running planner cannot take: all of them."""

    def __init__(self, changes: list[FieldChange]) -> None:
        self.changes = tuple(changes)
        super().__init__("; ".join(f"{change}: {change.restart_reason}" for change in changes))


def changed_fields(old: Config, new: Config) -> tuple[FieldChange, ...]:
    """Every field that differs, but for the service's address and what is known at a start."""
    return tuple(_changed_fields(old, new))


def _changed_fields(old: Config, new: Config) -> Iterator[FieldChange]:
    for name in (*RESTART_REASONS, *LIVE_FIELDS):
        if getattr(old, name) != getattr(new, name):
            yield FieldChange((name,), RESTART_REASONS.get(name))
    yield from changed_settings(old.settings, new.settings)
    yield from changed_names("zones", old.zones, new.zones)
    yield from changed_names("tenants", old.tenants, new.tenants)


def live_change(old: Config, new: Config) -> ev.SettingsChanged | None:
    """What the core is to take, or None where no setting has changed. Raises NeedsRestart."""
    changes = changed_fields(old, new)
    held_back = [change for change in changes if change.restart_reason is not None]
    if held_back:
        raise RestartRequiredError(held_back)
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
    """The configuration that a planner runs by, and how it takes one that is read later.

    ``enqueue`` has the core take events, ``count`` counts configurations taken and refused.
    """

    def __init__(
        self,
        config: Config,
        node_list: NodeList,
        enqueue: Callable[[ev.Event], None],
        count: Callable[[str], None],
    ) -> None:
        self.config = config
        self._node_list = node_list
        self._enqueue = enqueue
        self._count = count

    def log_start(self) -> None:
        """The revision that the process started with, or took before it serves."""
        self._log_in_force(self.config.revision, ())

    def apply(self, file: ConfigFile) -> None:
        """Have the core take the file's settings, all of them or none."""
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
        """Nothing of that file's settings is taken."""
        self._count("configurations_not_taken")
        log(
            "configuration not taken",
            error=str(error),
            revision=revision,
            in_force=self.config.revision,
        )

    def confirm(self, change: ev.SettingsChanged) -> None:
        """The core has taken the change; the node list's names follow.

        Danger: named by the node list before the core knows it, a kind's machines would be passed over.
        """
        kinds = tuple(kind.name for kind in change.settings.node_types)
        update = self._node_list.set_names(change.zones, kinds)
        if update is not None:
            self._enqueue(ev.NodeListUpdated(update))
        self._log_in_force(change.revision, change.changed)

    def _log_in_force(self, revision: str, changed: tuple[str, ...]) -> None:
        self._count("configurations_in_force")
        log("configuration in force", revision=revision, changed=changed)

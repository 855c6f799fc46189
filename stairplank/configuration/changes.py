"""Compares two configurations by settings key and finds what needs a restart. No I/O or clock."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from ..settings.cluster import SINGLE_VALUE_FIELDS
from ..settings.planner import PlannerConfig
from ..settings.site import TUNABLE_FIELDS
from .errors import ConfigurationError
from .field_changes import FieldChange, changed_names, changed_settings


class ChangeScope(Enum):
    """Which connections a changed key applies to."""

    LIVE = "live"
    NEW_CONNECTIONS = "new connections"  # connections that are already open keep the old value


@dataclass(frozen=True, slots=True)
class LiveChange:
    """A changed key that takes effect while the planner runs."""

    key: str
    scope: ChangeScope


@dataclass(frozen=True, slots=True)
class RestartRequirement:
    """A changed key that takes effect only after a restart, and the reason."""

    key: str
    message: str

    def __str__(self) -> str:
        """Return the key and the reason as one line."""
        return f"{self.key}: {self.message}"


class RestartRequiredError(ConfigurationError):
    """Raised for a configuration that needs a restart; lists every key that requires it."""

    def __init__(self, needs_restart: tuple[RestartRequirement, ...]) -> None:
        """Build the error text from every key and its reason."""
        self.requirements = needs_restart
        super().__init__("; ".join(map(str, needs_restart)))


@dataclass(frozen=True, slots=True)
class ConfigurationChanges:
    """The differences between two configurations of one planner."""

    live_changes: tuple[LiveChange, ...] = ()
    restart_requirements: tuple[RestartRequirement, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether the configurations are the same."""
        return not self.live_changes and not self.restart_requirements

    @property
    def keys(self) -> tuple[str, ...]:
        """The changed keys that take effect without a restart."""
        return tuple(change.key for change in self.live_changes)

    def raise_if_restart_required(self) -> None:
        """Raise RestartRequiredError if any changed key needs a restart, so that nothing is applied."""
        if self.restart_requirements:
            raise RestartRequiredError(self.restart_requirements)


# Limits that are fixed when a connection opens: open connections keep their buffers and timers.
NEW_CONNECTION_KEYS = frozenset({"send-buffer", "message-most", "keepalive"})
PER_PLANNER_KEYS: Mapping[str, str] = {
    "listen": "listen",
    "directory": "directory",
    "seed": "seed",
    "configuration": "configuration",
    "configuration_copy": "configuration-copy",
}
_PER_PLANNER_REASON = "it is this planner's own setting and is read only when the process starts"

LIST_KEYS: Mapping[str, str] = {
    "classes": "class",
    "node_types": "kind",
    "zones": "zone",
    "tenants": "tenant",
}
CLASS_KEYS: Mapping[str, str] = {
    "effect": "effect",
    "dedup_scope": "group",
    "dedup_window_us": "window",
    "latency_objective_us": "aim",
    "deadline_us": "deadline",
    "priority_weight": "worth",
    "start_bonus_s": "start-worth",
    "late_start_weight": "late-worth",
    "spread": "spread",
    "max_per_place": "spread",
    "node_type": "kind",
    "priority": "priority",
    "full_service_utilization": "calm-until",
    "service_loss_range": "lost-over",
}
SETTINGS_KEYS: Mapping[str, str] = {
    "planners": "planner",
    "position": "planner",
    "zone": "home-zone",
    "confirms_running": "confirms",
    "tenant_share": "tenant",
    "price_fleet": "price fleet",
    "price_migration": "price move",
    "price_waste": "price waste",
    "price_health_check": "price probe",
    "price_list": "price list",
    "price_rejection": "price refusal",
    **{field: key for key, (field, _) in SINGLE_VALUE_FIELDS.items()},
}


def compare_configurations(old: PlannerConfig, new: PlannerConfig) -> ConfigurationChanges:
    """Return which keys differ between two configurations, and which of them need a restart."""
    settings = changed_settings(old.settings, new.settings)
    zones = changed_names("zones", old.cluster.zones, new.cluster.zones)
    tenants = changed_names(
        "tenants", [n for n, _ in old.cluster.tenants], [n for n, _ in new.cluster.tenants]
    )
    changes_by_key: dict[str, LiveChange | RestartRequirement] = {}
    for difference in (*_per_planner_changes(old, new), *settings, *zones, *tenants):
        _add_stricter(changes_by_key, _change_of_key(difference))
    for key in _changed_tunables(old, new):
        scope = ChangeScope.NEW_CONNECTIONS if key in NEW_CONNECTION_KEYS else ChangeScope.LIVE
        _add_stricter(changes_by_key, LiveChange(key, scope))
    return ConfigurationChanges(
        tuple(entry for entry in changes_by_key.values() if isinstance(entry, LiveChange)),
        tuple(entry for entry in changes_by_key.values() if isinstance(entry, RestartRequirement)),
    )


def key_of(path: tuple[str, ...]) -> str:
    """Return the settings key that sets the field at ``path``."""
    if len(path) == 1:
        return LIST_KEYS.get(path[0]) or SETTINGS_KEYS.get(path[0], path[0])
    entries, name, field = path
    key = CLASS_KEYS.get(field, field) if entries == "classes" else field
    return f"{LIST_KEYS[entries]} {name}: {key}"


def _per_planner_changes(old: PlannerConfig, new: PlannerConfig) -> list[FieldChange]:
    differ = [field for field in PER_PLANNER_KEYS if getattr(old, field) != getattr(new, field)]
    return [FieldChange((PER_PLANNER_KEYS[field],), _PER_PLANNER_REASON) for field in differ]


def _changed_tunables(old: PlannerConfig, new: PlannerConfig) -> list[str]:
    return [
        key
        for key, names in TUNABLE_FIELDS.items()
        if any(getattr(old, name) != getattr(new, name) for name in names)
    ]


def _change_of_key(difference: FieldChange) -> LiveChange | RestartRequirement:
    key = key_of(difference.path)
    if difference.restart_reason is None:
        return LiveChange(key, ChangeScope.LIVE)
    return RestartRequirement(key, difference.restart_reason)


def _add_stricter(
    changes_by_key: dict[str, LiveChange | RestartRequirement], entry: LiveChange | RestartRequirement
) -> None:
    """Record one entry per key; a required restart takes precedence over a live change.

    Several fields can share a key; one that may change live would otherwise hide one that needs a restart.
    """
    if not isinstance(changes_by_key.get(entry.key), RestartRequirement):
        changes_by_key[entry.key] = entry

"""What a changed configuration changes at a running planner, by the keys of its file. No I/O or clock."""

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
    NEW_CONNECTIONS = "new connections"  # open ones keep what they were made with


@dataclass(frozen=True, slots=True)
class LiveChange:
    """A key that may change while the planner runs, and does."""

    key: str
    scope: ChangeScope


@dataclass(frozen=True, slots=True)
class RestartRequirement:
    """A key that differs and may not change while the planner runs."""

    key: str
    message: str

    def __str__(self) -> str:
        """Return the key and the reason as one line."""
        return f"{self.key}: {self.message}"


class RestartRequiredError(ConfigurationError):
    """A configuration that a running planner cannot take: every key at fault, not only the first."""

    def __init__(self, needs_restart: tuple[RestartRequirement, ...]) -> None:
        """Name every key and its reason in the text."""
        self.requirements = needs_restart
        super().__init__("; ".join(map(str, needs_restart)))


@dataclass(frozen=True, slots=True)
class ConfigurationChanges:
    """How two configurations of one planner differ."""

    live_changes: tuple[LiveChange, ...] = ()
    restart_requirements: tuple[RestartRequirement, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether the configurations are the same."""
        return not self.live_changes and not self.restart_requirements

    @property
    def keys(self) -> tuple[str, ...]:
        """The keys that differ and may."""
        return tuple(change.key for change in self.live_changes)

    def raise_if_restart_required(self) -> None:
        """Raise RestartRequiredError where any key needs a restart: nothing is applied then."""
        if self.restart_requirements:
            raise RestartRequiredError(self.restart_requirements)


# A connection's limits are its own: a buffer or a timer of an open one is not made anew.
NEW_CONNECTION_KEYS = frozenset({"send-buffer", "message-most", "keepalive"})
OWN_KEYS: Mapping[str, str] = {
    "listen": "listen",
    "directory": "directory",
    "seed": "seed",
    "configuration": "configuration",
    "configuration_copy": "configuration-copy",
}
_OWN_KEY_REASON = "it is this planner's own, and read when the process starts"

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
    found: dict[str, LiveChange | RestartRequirement] = {}
    for difference in (*_own_key_changes(old, new), *settings, *zones, *tenants):
        _add_stricter(found, _change_of_key(difference))
    for key in _changed_tunables(old, new):
        reach = ChangeScope.NEW_CONNECTIONS if key in NEW_CONNECTION_KEYS else ChangeScope.LIVE
        _add_stricter(found, LiveChange(key, reach))
    return ConfigurationChanges(
        tuple(entry for entry in found.values() if isinstance(entry, LiveChange)),
        tuple(entry for entry in found.values() if isinstance(entry, RestartRequirement)),
    )


def key_of(path: tuple[str, ...]) -> str:
    """Return the key of a planner's file that sets a field."""
    if len(path) == 1:
        return LIST_KEYS.get(path[0]) or SETTINGS_KEYS.get(path[0], path[0])
    entries, name, field = path
    key = CLASS_KEYS.get(field, field) if entries == "classes" else field
    return f"{LIST_KEYS[entries]} {name}: {key}"


def _own_key_changes(old: PlannerConfig, new: PlannerConfig) -> list[FieldChange]:
    differ = [field for field in OWN_KEYS if getattr(old, field) != getattr(new, field)]
    return [FieldChange((OWN_KEYS[field],), _OWN_KEY_REASON) for field in differ]


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
    found: dict[str, LiveChange | RestartRequirement], entry: LiveChange | RestartRequirement
) -> None:
    """Record one entry a key, the stricter one.

    Danger: two fields share a key, and the harmless one would hide the other.
    """
    if not isinstance(found.get(entry.key), RestartRequirement):
        found[entry.key] = entry

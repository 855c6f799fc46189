"""What a changed configuration changes at a running planner, by the keys of its file. No I/O or clock."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from ..settings.cluster import FIGURES
from ..settings.planner import PlannerConfig
from ..settings.site import TUNABLE_FIELDS
from .rules import FieldChange, changed_names, changed_settings


class Reach(Enum):
    """From when on a changed key counts."""

    LIVE = "live"
    NEW_CONNECTIONS = "new connections"  # those that stand keep what they were made with


@dataclass(frozen=True, slots=True)
class Change:
    """A key that may change while the planner runs, and does."""

    key: str
    reach: Reach


@dataclass(frozen=True, slots=True)
class NeedsRestart:
    """A key that differs and may not change while the planner runs."""

    key: str
    message: str

    def __str__(self) -> str:
        return f"{self.key}: {self.message}"


class NeedsRestartError(Exception):
    """A configuration that a running planner cannot take: every key at fault, not only the first."""

    def __init__(self, needs_restart: tuple[NeedsRestart, ...]) -> None:
        self.needs_restart = needs_restart
        super().__init__("; ".join(map(str, needs_restart)))


@dataclass(frozen=True, slots=True)
class LiveChanges:
    """How two configurations of one planner differ."""

    changes: tuple[Change, ...] = ()
    needs_restart: tuple[NeedsRestart, ...] = ()

    @property
    def identical(self) -> bool:
        """Whether nothing differs."""
        return not self.changes and not self.needs_restart

    @property
    def keys(self) -> tuple[str, ...]:
        """The keys that differ and may."""
        return tuple(change.key for change in self.changes)

    def check(self) -> None:
        """Raises NeedsRestartError where the planner must be restarted for it: it is refused as a whole."""
        if self.needs_restart:
            raise NeedsRestartError(self.needs_restart)


# A connection's limits are its own: a buffer or a clock of one that stands is not made anew.
NEW_CONNECTIONS = frozenset({"send-buffer", "message-most", "keepalive"})
OWN_KEYS: Mapping[str, str] = {
    "listen": "listen",
    "directory": "directory",
    "seed": "seed",
    "configuration": "configuration",
    "configuration_copy": "configuration-copy",
}
_OWN_MESSAGE = "it is this planner's own, and read when the process starts"

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
    **{field: key for key, (field, _) in FIGURES.items()},
}


def live_changes(old: PlannerConfig, new: PlannerConfig) -> LiveChanges:
    """Which keys differ between two configurations, and which of them need a restart."""
    settings = changed_settings(old.settings, new.settings)
    zones = changed_names("zones", old.cluster.zones, new.cluster.zones)
    tenants = changed_names(
        "tenants", [n for n, _ in old.cluster.tenants], [n for n, _ in new.cluster.tenants]
    )
    found: dict[str, Change | NeedsRestart] = {}
    for difference in (*_own_differences(old, new), *settings, *zones, *tenants):
        _keep_stricter(found, _by_key(difference))
    for key in _changed_tunables(old, new):
        reach = Reach.NEW_CONNECTIONS if key in NEW_CONNECTIONS else Reach.LIVE
        _keep_stricter(found, Change(key, reach))
    return LiveChanges(
        tuple(entry for entry in found.values() if isinstance(entry, Change)),
        tuple(entry for entry in found.values() if isinstance(entry, NeedsRestart)),
    )


def key_of(path: tuple[str, ...]) -> str:
    """The key of a planner's file that sets a field."""
    if len(path) == 1:
        return LIST_KEYS.get(path[0]) or SETTINGS_KEYS.get(path[0], path[0])
    entries, name, field = path
    key = CLASS_KEYS.get(field, field) if entries == "classes" else field
    return f"{LIST_KEYS[entries]} {name}: {key}"


def _own_differences(old: PlannerConfig, new: PlannerConfig) -> list[FieldChange]:
    differ = [field for field in OWN_KEYS if getattr(old, field) != getattr(new, field)]
    return [FieldChange((OWN_KEYS[field],), _OWN_MESSAGE) for field in differ]


def _changed_tunables(old: PlannerConfig, new: PlannerConfig) -> list[str]:
    return [
        key
        for key, names in TUNABLE_FIELDS.items()
        if any(getattr(old, name) != getattr(new, name) for name in names)
    ]


def _by_key(difference: FieldChange) -> Change | NeedsRestart:
    key = key_of(difference.path)
    if difference.restart_reason is None:
        return Change(key, Reach.LIVE)
    return NeedsRestart(key, difference.restart_reason)


def _keep_stricter(found: dict[str, Change | NeedsRestart], entry: Change | NeedsRestart) -> None:
    """One entry a key. Danger: two fields share a key, and the harmless one would hide the other."""
    if not isinstance(found.get(entry.key), NeedsRestart):
        found[entry.key] = entry

"""Which settings of the decision module may change while a planner runs. No I/O or clock.

A planner refers to classes, node types, zones and tenants by number, and some of its records depend on
settings. A change that would give a number or a record another meaning needs a restart. The decision module
reads all other settings at each use, so they may change between two decisions.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, fields
from typing import Any, Protocol

from .. import interface as api

_IDEMPOTENCY_REASON = (
    "it decides whether a second start of a task is safe, and tasks in flight rely on the old value"
)
_NODE_TYPE_REASON = "the planner's records of nodes of this kind were created with it"
_PROTOCOL_REASON = (
    "it describes what nodes and the node list support, which is agreed on when a connection opens"
)

# If the window, group or effect changed after an attempt was sent, a task could run twice. After a change of
# the spread scope, the tasks counted per place of the old scope would never be subtracted.
CLASS_NEEDS_RESTART: Mapping[str, str] = {
    "effect": _IDEMPOTENCY_REASON,
    "dedup_scope": _IDEMPOTENCY_REASON,
    "dedup_window_us": _IDEMPOTENCY_REASON,
    "spread": "tasks in flight are counted per place of the former scope",
}
NODE_TYPE_NEEDS_RESTART: Mapping[str, str] = {"cores": _NODE_TYPE_REASON, "memory": _NODE_TYPE_REASON}
SETTINGS_NEED_RESTART: Mapping[str, str] = {
    "planners": "the planners divide the nodes among themselves by it",
    "position": "the planners divide the nodes among themselves by it",
    "zone": "each planner's home zone is its own setting",
    "confirms_running": "it defines what Placed promises, and the mean answer time was measured with it",
    "overload_window_us": "offers to a node in slow start are counted in slots of this length",
    "polls_node_list": _PROTOCOL_REASON,
    "lists_free_capacity": _PROTOCOL_REASON,
    "may_check_health": _PROTOCOL_REASON,
    "may_cancel": _PROTOCOL_REASON,
    "report_fields": _PROTOCOL_REASON,
    "reports_in_answers": _PROTOCOL_REASON,
}


class NamedEntry(Protocol):
    """A list entry that is identified by its index and has a name."""

    @property
    def name(self) -> str:
        """Name of the entry, unique in its list."""


@dataclass(frozen=True, slots=True)
class FieldChange:
    """A field that differs between two settings.

    ``path`` holds the name of a field of ``api.Settings``. For an entry of a list field, it holds the names
    of the list, the entry and the entry's field.
    """

    path: tuple[str, ...]
    restart_reason: str | None = None  # why the change needs a restart; None if it does not

    def __str__(self) -> str:
        """Return the parts of the path joined by dots."""
        return ".".join(self.path)


def changed_settings(old: api.Settings, new: api.Settings) -> tuple[FieldChange, ...]:
    """Return every field that differs between two settings, in declaration order."""
    changes: list[FieldChange] = []
    for name in (field.name for field in fields(api.Settings)):
        if name == "classes":
            changes += _changed_entries(name, old.classes, new.classes, CLASS_NEEDS_RESTART)
        elif name == "node_types":
            changes += _changed_entries(name, old.node_types, new.node_types, NODE_TYPE_NEEDS_RESTART)
        elif getattr(old, name) != getattr(new, name):
            changes.append(FieldChange((name,), SETTINGS_NEED_RESTART.get(name)))
    return tuple(changes)


def changed_names(path: str, old: Sequence[str], new: Sequence[str]) -> tuple[FieldChange, ...]:
    """Return how a list of names has changed; names that are only added at the end need no restart.

    Tasks in flight and known nodes refer to a class, kind, zone or tenant by number. After a removal or a
    change of order, the number would refer to another entry.
    """
    if list(old) == list(new):
        return ()
    has_only_grown = list(new[: len(old)]) == list(old)
    if has_only_grown:
        return (FieldChange((path,)),)
    removed = [name for name in old if name not in new]
    problem = f"{', '.join(removed)} would be removed" if removed else "the order would change"
    return (
        FieldChange(
            (path,), f"{problem}; tasks and nodes refer to entries by number: add new ones at the end only"
        ),
    )


def _changed_entries(
    path: str, old: Sequence[NamedEntry], new: Sequence[NamedEntry], needs_restart: Mapping[str, str]
) -> Iterator[FieldChange]:
    """Yield the change of a list's names, then the changed fields of each entry that is in both lists."""
    yield from changed_names(path, _entry_names(old), _entry_names(new))
    new_by_name = {entry.name: entry for entry in new}
    for entry in old:
        other = new_by_name.get(entry.name)
        if other is None:
            continue
        for name in _differing_fields(entry, other):
            yield FieldChange((path, entry.name, name), needs_restart.get(name))


def _entry_names(entries: Iterable[NamedEntry]) -> list[str]:
    return [entry.name for entry in entries]


def _differing_fields(old: Any, new: Any) -> list[str]:
    return [field.name for field in fields(old) if getattr(old, field.name) != getattr(new, field.name)]

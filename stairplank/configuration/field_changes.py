"""Which settings of the decision module may change while a planner runs. No I/O or clock.

A planner knows classes, node types, zones and tenants by their numbers, and holds records that were made with
some of the settings: what would make a number or a record mean something else needs a restart. Everything
else is read by the module at each use, and may change between two of its decisions.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, fields
from typing import Any, Protocol

from .. import interface as api

_IDEMPOTENCY_REASON = "a task in flight was sent under the promise that this makes about a second start"
_NODE_TYPE_REASON = "the books on nodes of this kind were made with it"
_PROTOCOL_REASON = (
    "it describes what nodes and their list offer, which is agreed on when a connection is made"
)

# Danger: a window, group or effect that changes after an attempt has left lets a task run twice; a spread of
# another scope leaves counts behind that no end of a task takes off again.
CLASS_NEEDS_RESTART: Mapping[str, str] = {
    "effect": _IDEMPOTENCY_REASON,
    "dedup_scope": _IDEMPOTENCY_REASON,
    "dedup_window_us": _IDEMPOTENCY_REASON,
    "spread": "tasks in flight are counted in places of the former scope",
}
NODE_TYPE_NEEDS_RESTART: Mapping[str, str] = {"cores": _NODE_TYPE_REASON, "memory": _NODE_TYPE_REASON}
SETTINGS_NEED_RESTART: Mapping[str, str] = {
    "planners": "the planners divide the nodes by it",
    "position": "the planners divide the nodes by it",
    "zone": "a planner's home zone is its own",
    "confirms_running": "it is what Placed promises, and the mean time to an answer was measured with it",
    "overload_window_us": "offers to a node that warms up are counted in slots of this length",
    "polls_node_list": _PROTOCOL_REASON,
    "lists_free_capacity": _PROTOCOL_REASON,
    "may_check_health": _PROTOCOL_REASON,
    "may_cancel": _PROTOCOL_REASON,
    "report_fields": _PROTOCOL_REASON,
    "reports_in_answers": _PROTOCOL_REASON,
}


class NamedEntry(Protocol):
    """What is known by its place in a list, and has a name."""

    @property
    def name(self) -> str:
        """Its name, unique in the list."""


@dataclass(frozen=True, slots=True)
class FieldChange:
    """A field that differs.

    ``path``: a field of ``api.Settings``; for an entry of one of its lists the list, the entry's name and its
    field.
    """

    path: tuple[str, ...]
    restart_reason: str | None = None  # why it may not change while the planner runs

    def __str__(self) -> str:
        """Return the path with dots."""
        return ".".join(self.path)


def changed_settings(old: api.Settings, new: api.Settings) -> tuple[FieldChange, ...]:
    """Return every field that differs between two settings, in the order of the fields."""
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
    """Return how a list of names has changed; one that has only grown at its end needs no restart.

    Danger: tasks and nodes in flight are known by the number of the class, kind, zone or tenant; after a
    removal or a change of order the number would mean another one.
    """
    if list(old) == list(new):
        return ()
    has_only_grown = list(new[: len(old)]) == list(old)
    if has_only_grown:
        return (FieldChange((path,)),)
    removed = [name for name in old if name not in new]
    what = f"{', '.join(removed)} would be removed" if removed else "the order would change"
    return (FieldChange((path,), f"{what}; tasks and nodes are known by their number: add at the end only"),)


def _changed_entries(
    path: str, old: Sequence[NamedEntry], new: Sequence[NamedEntry], needs_restart: Mapping[str, str]
) -> Iterator[FieldChange]:
    """Yield the changes of a list of named entries, and of the entries that are in both."""
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

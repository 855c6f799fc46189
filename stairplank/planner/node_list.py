"""The planner's copy of the node list: entries, revision and incarnations of nodes. No I/O or clock.

Invariants (tests/planner/test_node_list.py, with stubs for the other components):

1. The decision module is notified of every entry and every change once, in the order of the list's messages;
   a change older than the current revision has no effect.
2. A change that does not build on the known revision is not applied: the whole list is requested, at once and
   then at most every ``REFETCH_INTERVAL_US``.
3. As soon as a node is known to be draining or gone, from the node list or from the node itself, no waiting
   offer is sent to it.
4. ``entries`` has the nodes that are listed and not gone, and no others.

Tables: ``entries``, ``incarnations``, and the numbers of zones and racks by name.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Protocol

from .. import interface as api
from ..groups.capacity import ClusterCapacity, NodeCapacity
from . import events as ev
from .context import CoreContext

REFETCH_INTERVAL_US = 600_000  # the shortest time between two requests for the whole list


class NodeLinks(Protocol):
    """The operations on links that the node list uses."""

    def is_linked(self, node: int) -> bool:
        """Return whether there is a link to the node, in any state."""

    def nodes(self) -> list[int]:
        """Return the nodes that have a link."""

    def is_draining(self, node: int, started_unix_us: int) -> bool:
        """Return whether the node has reported that it is draining, in this incarnation or a later one."""

    def node_listed(self, node: int, addresses: tuple[str, ...]) -> bool:
        """Keep a link to the node. Returns False if the table of links is full."""

    def dial_if_due(self, node: int) -> None:
        """Dial the node if its link is down and the backoff is over."""

    def node_unlisted(self, node: int) -> None:
        """Remove the link of a node that the list no longer names, unless an attempt is at the node."""


class Attempts(Protocol):
    """The operation on attempts that the node list uses."""

    def fail_waiting_offers(self, node: int) -> None:
        """End the attempts whose offers wait for the node's link."""


@dataclass(frozen=True, slots=True)
class Incarnation:
    """When an incarnation of a node started, by two clocks."""

    started_unix_us: int  # as the node list states it
    started_us: int  # by this planner's clock, computed once


class NodeList:
    """The planner's copy of the node list."""

    def __init__(self, context: CoreContext) -> None:
        """Start without entries; the first message of the list adds them."""
        self.context = context
        self.links: NodeLinks
        self.attempts: Attempts
        self.entries: dict[int, api.NodeEntry] = {}
        self.incarnations: dict[int, Incarnation] = {}  # the incarnations of listed nodes, by node id
        self.node_types = self._numbered_node_types()
        self.zones = {name: i for i, name in enumerate(context.config.zones)}
        self.racks: dict[str, int] = {}
        self.revision = 0
        self._refetch_at = 0
        self._unknown_types: dict[int, str] = {}  # by node: its type, if that is not in the settings
        self._table_was_full = False  # listed nodes were left out because the table of links was full
        self._fetch_scheduled = False
        self._ready_nodes: tuple[NodeCapacity, ...] | None = None

    def _numbered_node_types(self) -> dict[str, int]:
        return {kind.name: number for number, kind in enumerate(self.context.settings.node_types)}

    def settings_changed(self) -> None:
        """Apply the node types, zones and limits of the settings in force."""
        self.node_types = self._numbered_node_types()
        # Zones that nodes have already named keep their numbers: tasks are counted by zone number.
        for name in self.context.config.zones:
            self.zones.setdefault(name, len(self.zones))
        self._ready_nodes = None  # cached capacities depend on the settings' limits
        self._refetch_if_useful()

    def _refetch_if_useful(self) -> None:
        """Request the whole list, at most once per interval, if it has nodes that were left out before."""
        if not self._accepts_left_out_nodes() or self._fetch_scheduled:
            return
        if self.context.now >= self._refetch_at:
            self._refetch()
            return
        self._fetch_scheduled = True
        self.context.call_at(self._refetch_at, self._refetch_due)

    def _refetch_due(self, _: None) -> None:
        self._fetch_scheduled = False
        self._refetch_if_useful()

    def _accepts_left_out_nodes(self) -> bool:
        """Return whether the settings in force accept listed nodes that were left out before.

        If the whole list were fetched at every change, it would load the directory hundreds of times an hour.
        """
        if any(name in self.node_types for name in self._unknown_types.values()):
            return True
        return self._table_was_full and len(self.links.nodes()) < self.context.config.max_nodes

    def _refetch(self) -> None:
        """Request the whole list, because changes of the list do not name the nodes that were left out."""
        self._table_was_full = False
        self._unknown_types.clear()
        self.revision = 0
        self._refetch_at = self.context.now + REFETCH_INTERVAL_US
        self.context.emit(ev.WatchNodeList(True, 0))

    # Queries

    def rack(self, node: int) -> str:
        """Return the name of a node's rack; an unlisted node gets a name that no other node has."""
        entry = self.entries.get(node)
        return f"?{node}" if entry is None else str(entry.group)

    def capacity(self) -> ClusterCapacity:
        """Return the total capacity of the ready nodes of known types."""
        settings = self.context.settings
        ready = self._ready_entries()
        cores = memory = free_cores = free_memory = 0.0
        for entry in ready:
            node_type = settings.node_types[entry.node_type]
            cores += node_type.cores * settings.cores_limit
            memory += node_type.memory * settings.memory_limit
            free_cores += max(0.0, node_type.cores * (settings.cores_limit - 1) + entry.free_cores)
            free_memory += max(0.0, node_type.memory * (settings.memory_limit - 1) + entry.free_memory)
        racks = len({entry.group for entry in ready})
        return ClusterCapacity(len(ready), racks, cores, memory, free_cores, free_memory)

    def ready_nodes(self) -> tuple[NodeCapacity, ...]:
        """Return the ready nodes of known types; cached until the list or the settings change."""
        if self._ready_nodes is not None:
            return self._ready_nodes
        settings = self.context.settings
        nodes = []
        for entry in self._ready_entries():
            node_type = settings.node_types[entry.node_type]
            cores = node_type.cores * settings.cores_limit
            memory = node_type.memory * settings.memory_limit
            free_cores = cores - node_type.cores + entry.free_cores
            free_memory = memory - node_type.memory + entry.free_memory
            rack = str(entry.group)
            nodes.append(
                NodeCapacity(entry.id, rack, entry.node_type, cores, memory, free_cores, free_memory)
            )
        self._ready_nodes = tuple(nodes)
        return self._ready_nodes

    def _ready_entries(self) -> list[api.NodeEntry]:
        """Return the entries of ready nodes whose type is known."""
        ready = api.NodeStatus.READY
        return [entry for entry in self.entries.values() if entry.status is ready and entry.node_type >= 0]

    # Messages of the list

    def list_received(self, event: ev.NodeListReceived) -> None:
        """Apply a whole list, or the changes since a revision."""
        if not event.full and event.since > self.revision:
            self._changes_missed(event)
            return
        if not event.full and event.revision < self.revision:
            return  # older than the known revision
        self.revision = event.revision
        entries = [self._entry(node, event.now_unix_us) for node in event.nodes]
        if event.full:
            listed = {node.id for node in event.nodes}
            for missing in [n for n in self.links.nodes() if n not in listed]:
                self._remove(missing)
        for node, entry in zip(event.nodes, entries, strict=True):
            self._update_link(node, entry)
        known = [e for e in entries if self.links.is_linked(e.id) or e.status is api.NodeStatus.GONE]
        self._notify_module(api.ListKind.FULL if event.full else api.ListKind.CHANGES, known)

    def _changes_missed(self, event: ev.NodeListReceived) -> None:
        """Request the whole list, because a missed change may be that a node is draining."""
        self.context.log("list changes missed", have=self.revision, since=event.since)
        self.revision = 0
        if self.context.now >= self._refetch_at:
            self._refetch_at = self.context.now + REFETCH_INTERVAL_US
            self.context.emit(ev.WatchNodeList(True, 0))
        else:
            self.context.notify_module(api.NodeList(api.ListKind.FAILED))

    def list_failed(self, _event: ev.NodeListFailed) -> None:
        """Notify the decision module that the directory cannot be reached."""
        self.context.count("list_failures")
        self.context.notify_module(api.NodeList(api.ListKind.FAILED))

    def node_draining(self, node: int) -> None:
        """Handle a node's own report that it is draining, if the list does not state it yet."""
        entry = self.entries.get(node)
        if entry is not None and entry.status is api.NodeStatus.READY:
            self.context.log("node drains by its own word", node=node)
            self._notify_module(api.ListKind.CHANGES, [replace(entry, status=api.NodeStatus.DRAINING)])

    def _notify_module(self, kind: api.ListKind, entries: list[api.NodeEntry]) -> None:
        self._ready_nodes = None
        if kind is api.ListKind.FULL:
            self.entries = {}
        for entry in entries:
            if entry.status is api.NodeStatus.GONE:
                self.entries.pop(entry.id, None)
            else:
                self.entries[entry.id] = entry
        self.context.notify_module(api.NodeList(kind, tuple(entries), self.revision))
        for entry in entries:
            if entry.status is not api.NodeStatus.READY:
                self.attempts.fail_waiting_offers(entry.id)

    def _entry(self, node: ev.ListedNode, list_now: int) -> api.NodeEntry:
        status = node.status
        if status is api.NodeStatus.READY and self.links.is_draining(node.id, node.started_unix_us):
            status = api.NodeStatus.DRAINING  # the node's own report is newer than the list
        return api.NodeEntry(
            node.id,
            self.zones.setdefault(node.zone, len(self.zones)),
            self.node_types.get(node.node_type, -1),
            self.racks.setdefault(node.rack, len(self.racks)),
            status,
            node.free_cores,
            node.free_memory,
            self._started_us(node, list_now),
        )

    def _started_us(self, node: ev.ListedNode, list_now: int) -> int:
        """Return when the node started, by this planner's clock; 0 if the list does not state it.

        Computed once for each incarnation, so that the result stays the same from list to list.
        """
        if not node.started_unix_us:
            return 0
        known = self.incarnations.get(node.id)
        if known is None or known.started_unix_us != node.started_unix_us:
            age_us = max(0, list_now - node.started_unix_us)
            started_us = max(1, self.context.now - age_us)
            known = self.incarnations[node.id] = Incarnation(node.started_unix_us, started_us)
        return known.started_us

    def _update_link(self, node: ev.ListedNode, entry: api.NodeEntry) -> None:
        if entry.status is api.NodeStatus.GONE:
            self._remove(node.id)
            return
        if not self.links.node_listed(node.id, node.addresses):
            self._table_was_full = True
            return
        self._unknown_types.pop(node.id, None)
        if entry.node_type < 0:
            self._unknown_types[node.id] = node.node_type
            self.context.log("node of an unknown kind", node=node.id, kind=node.node_type)
        self.links.dial_if_due(node.id)

    def _remove(self, node: int) -> None:
        if self.links.is_linked(node):
            self._unknown_types.pop(node, None)
            self._ready_nodes = None
            self.entries.pop(node, None)
            self.incarnations.pop(node, None)
            self.links.node_unlisted(node)

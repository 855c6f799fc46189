"""The node list as the planner knows it: entries, revisions, nodes' lives on our clock. No I/O or clock.

Invariants (tests/planner/test_node_list.py, with the other rooms played by hand):

1. The module is told of every entry and every change once, in the order of the list's words; an older word
   than the one at hand changes nothing.
2. A change that does not build on what is known is not taken: the whole list is asked for, at once and then
   at most every ``LIST_RETRY_US``.
3. From the moment at which a node is known to drain or to be gone, whoever said it, no offer that still waits
   leaves for it.
4. ``entries`` has the nodes that are listed and not gone, and no others.

Tables: ``entries``, ``started``, and the numbers that zones and racks have.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Protocol

from .. import interface as api
from ..groups.spec import Room
from ..groups.wishes import Place
from . import events as ev
from .context import CoreContext

REFETCH_INTERVAL_US = 600_000  # a change that does not fit: asked for anew at once, then not faster than this


class NodeLinks(Protocol):
    """What the list needs of the links."""

    def is_linked(self, node: int) -> bool: ...
    def nodes(self) -> list[int]: ...
    def is_draining(self, node: int, started_unix_us: int) -> bool: ...
    def node_listed(self, node: int, addresses: tuple[str, ...]) -> bool: ...
    def dial_if_due(self, node: int) -> None: ...
    def node_unlisted(self, node: int) -> None: ...


class Attempts(Protocol):
    def drop_waiting(self, node: int) -> None: ...


class NodeList:
    def __init__(self, context: CoreContext) -> None:
        self.context = context
        self.links: NodeLinks
        self.attempts: Attempts
        self.entries: dict[int, api.NodeEntry] = {}
        self.incarnations: dict[int, tuple[int, int]] = {}  # node: its life on the list's clock, and on ours
        self.node_types = self._numbered_node_types()
        self.zones = {name: i for i, name in enumerate(context.config.zones)}
        self.racks: dict[str, int] = {}
        self.revision = 0
        self._refetch_at = 0
        self._unknown_types: dict[int, str] = {}  # of nodes whose kind is not in the settings
        self._table_was_full = False  # nodes of the list were left out
        self._fetch_scheduled = False
        self._ready_nodes: tuple[Place, ...] | None = None

    def _numbered_node_types(self) -> dict[str, int]:
        return {kind.name: number for number, kind in enumerate(self.context.settings.node_types)}

    def settings_changed(self) -> None:
        self.node_types = self._numbered_node_types()
        # Danger: zones that nodes have named already are counted by the numbers that they got then.
        for name in self.context.config.zones:
            self.zones.setdefault(name, len(self.zones))
        self._ready_nodes = None  # their room follows the settings' limits
        self._refetch_if_useful()

    def _refetch_if_useful(self) -> None:
        """Fetch the whole list where it has more nodes for this planner, at most once in a while."""
        if not self._may_take_more() or self._fetch_scheduled:
            return
        if self.context.now >= self._refetch_at:
            self._refetch()
            return
        self._fetch_scheduled = True
        self.context.call_at(self._refetch_at, self._refetch_due)

    def _refetch_due(self, _: None) -> None:
        self._fetch_scheduled = False
        self._refetch_if_useful()

    def _may_take_more(self) -> bool:
        """Whether nodes of the list that were left out may be taken by the new settings.

        Danger: fetched at each change, the whole list would load the directory hundreds of times an hour.
        """
        if any(name in self.node_types for name in self._unknown_types.values()):
            return True
        return self._table_was_full and len(self.links.nodes()) < self.context.config.nodes_most

    def _refetch(self) -> None:
        """Changes of the list do not name what was left out of it."""
        self._table_was_full = False
        self._unknown_types.clear()
        self.revision = 0
        self._refetch_at = self.context.now + REFETCH_INTERVAL_US
        self.context.emit(ev.WatchNodeList(True, 0))

    # Questions

    def rack(self, node: int) -> str:
        entry = self.entries.get(node)
        return f"?{node}" if entry is None else str(entry.group)

    def capacity(self) -> Room:
        """The fleet as it is believed to be."""
        s = self.context.settings
        ready = [e for e in self.entries.values() if e.status is api.NodeStatus.READY and e.node_type >= 0]
        cores = memory = free_cores = free_memory = 0.0
        for entry in ready:
            kind = s.node_types[entry.node_type]
            cores += kind.cores * s.cores_limit
            memory += kind.memory * s.memory_limit
            free_cores += max(0.0, kind.cores * (s.cores_limit - 1) + entry.free_cores)
            free_memory += max(0.0, kind.memory * (s.memory_limit - 1) + entry.free_memory)
        racks = len({entry.group for entry in ready})
        return Room(len(ready), racks, cores, memory, free_cores, free_memory)

    def ready_nodes(self) -> tuple[Place, ...]:
        """Ready nodes, each by itself; made anew once the list has changed."""
        if self._ready_nodes is not None:
            return self._ready_nodes
        s = self.context.settings
        out = []
        for entry in self.entries.values():
            if entry.status is api.NodeStatus.READY and entry.node_type >= 0:
                kind = s.node_types[entry.node_type]
                cores, memory = kind.cores * s.cores_limit, kind.memory * s.memory_limit
                free = cores - kind.cores + entry.free_cores, memory - kind.memory + entry.free_memory
                out.append(Place(entry.id, str(entry.group), entry.node_type, cores, memory, *free))
        self._ready_nodes = tuple(out)
        return self._ready_nodes

    # Words of the list

    def list_received(self, event: ev.NodeListReceived) -> None:
        if not event.full and event.since > self.revision:
            self._changes_missed(event)
            return
        if not event.full and event.revision < self.revision:
            return  # an older word than the one we have
        self.revision = event.revision
        entries = [self._entry(node, event.now_unix_us) for node in event.nodes]
        if event.full:
            listed = {node.id for node in event.nodes}
            for missing in [n for n in self.links.nodes() if n not in listed]:
                self._remove(missing)
        for node, entry in zip(event.nodes, entries, strict=True):
            self._update_link(node, entry)
        kept = [e for e in entries if self.links.is_linked(e.id) or e.status is api.NodeStatus.GONE]
        self._notify_module(api.ListKind.FULL if event.full else api.ListKind.CHANGES, kept)

    def _changes_missed(self, event: ev.NodeListReceived) -> None:
        """Danger: a change was missed; a drain may be among what we do not know."""
        self.context.log("list changes missed", have=self.revision, since=event.since)
        self.revision = 0
        if self.context.now >= self._refetch_at:
            self._refetch_at = self.context.now + REFETCH_INTERVAL_US
            self.context.emit(ev.WatchNodeList(True, 0))
        else:
            self.context.notify_module(api.NodeList(api.ListKind.FAILED))

    def list_failed(self, event: ev.NodeListFailed) -> None:
        self.context.count("list_failures")
        self.context.notify_module(api.NodeList(api.ListKind.FAILED))

    def node_draining(self, node: int) -> None:
        """The node says so itself, before the list does."""
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
                self.attempts.drop_waiting(entry.id)

    def _entry(self, node: ev.ListedNode, list_now: int) -> api.NodeEntry:
        launched = 0
        if node.started_unix_us:
            known = self.incarnations.get(node.id)
            if known is None or known[0] != node.started_unix_us:
                # The node's start on our clock, by the list's word for now; worked out once a life, so that
                # it does not seem to change from list to list.
                age = max(0, list_now - node.started_unix_us)
                known = self.incarnations[node.id] = (node.started_unix_us, max(1, self.context.now - age))
            launched = known[1]
        status = node.status
        if status is api.NodeStatus.READY and self.links.is_draining(node.id, node.started_unix_us):
            status = api.NodeStatus.DRAINING  # its own word beats an older 'ready'
        return api.NodeEntry(
            node.id,
            self.zones.setdefault(node.zone, len(self.zones)),
            self.node_types.get(node.node_type, -1),
            self.racks.setdefault(node.rack, len(self.racks)),
            status,
            node.free_cores,
            node.free_memory,
            launched,
        )

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

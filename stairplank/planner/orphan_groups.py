"""Groups of an earlier incarnation of the planner, recovered from reports of nodes. No I/O or clock.

Invariants (tests/groups/test_core_groups.py):

1. The leases of running members are renewed while other members of their group are still missing.
2. A group is returned once, when all its members are found; else its members are released.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from . import events as ev
from .context import CoreContext
from .leases import Leases


@dataclass(frozen=True, slots=True)
class GroupId:
    """The id of a group: its number and the incarnation of the planner that placed it."""

    incarnation: int
    group: int


@dataclass(frozen=True, slots=True)
class RunningMember:
    """A group's member and the node that runs it."""

    node: int
    task: ev.NodeTask


@dataclass(slots=True)
class OrphanGroup:
    """The members of a group found so far; with ``size`` members, the group is complete."""

    size: int
    running: dict[int, RunningMember] = field(default_factory=dict)
    finished: dict[int, ev.NodeTask] = field(default_factory=dict)

    @property
    def is_complete(self) -> bool:
        """Whether all members were found and at least one still runs."""
        return bool(self.running) and len({*self.running, *self.finished}) >= self.size


class OrphanGroups:
    """Orphan groups with members that no node has reported yet."""

    def __init__(self, context: CoreContext, leases: Leases) -> None:
        """Create the component without orphan groups."""
        self.context = context
        self._leases = leases
        self._groups: dict[GroupId, OrphanGroup] = {}

    def member_reported(self, node: int, task: ev.NodeTask, tag: ev.GroupTag) -> OrphanGroup | None:
        """Handle a node's report of a member that this planner does not know; return its group if complete.

        A running member of an earlier incarnation is kept until the search for the other members ends. A
        member that was never committed, or whose attempt this planner abandoned, is released at once.
        """
        if not task.running or tag.incarnation == self.context.incarnation:
            self.context.emit(ev.SendStop(node, task.id, ev.StopReason.ABANDONED))
            return None
        orphan = self._find(tag)
        orphan.running[tag.member] = RunningMember(node, task)
        self._leases.renew(node, (task.id,), self.context.config.groups.lease_us)
        return self._take_complete(tag)

    def finished_member_reported(self, task: ev.NodeTask, tag: ev.GroupTag) -> OrphanGroup | None:
        """Handle the report of a member that finished without a connected planner; return a complete group.

        If finished members did not count, a group with finished members would be released as incomplete.
        """
        if tag.incarnation == self.context.incarnation:
            return None
        self._find(tag).finished[tag.member] = task
        return self._take_complete(tag)

    def _find(self, tag: ev.GroupTag) -> OrphanGroup:
        group_id = GroupId(tag.incarnation, tag.group)
        orphan = self._groups.get(group_id)
        if orphan is None:
            orphan = self._groups[group_id] = OrphanGroup(tag.size)
            deadline = self.context.now + self.context.config.orphan_search_us
            self.context.call_at(deadline, self._search_timed_out, group_id)
        return orphan

    def _take_complete(self, tag: ev.GroupTag) -> OrphanGroup | None:
        group_id = GroupId(tag.incarnation, tag.group)
        return self._groups.pop(group_id) if self._groups[group_id].is_complete else None

    def _search_timed_out(self, group_id: GroupId) -> None:
        """Release the running members of a group whose other members were not reported in time."""
        orphan = self._groups.pop(group_id, None)
        if orphan is None or not orphan.running:
            return  # the group was complete, or all its reported members have finished
        self.context.count("groups_released")
        self.context.log("half a group found", members=len(orphan.running), size=orphan.size)
        for member in orphan.running.values():
            self.context.emit(ev.SendStop(member.node, member.task.id, ev.StopReason.ABANDONED))

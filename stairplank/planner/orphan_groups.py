"""Groups of an earlier incarnation of the planner, put together from what nodes report. No I/O or clock.

Invariants (tests/groups/test_core_groups.py):

1. Running members keep their leases while the rest of their group is looked for.
2. A group is handed over once, when all of it is found; else its members are released.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from . import events as ev
from .context import CoreContext
from .leases import Leases


@dataclass(frozen=True, slots=True)
class GroupId:
    """A group of some incarnation of the planner."""

    incarnation: int
    group: int


@dataclass(frozen=True, slots=True)
class RunningMember:
    """A member that a node runs."""

    node: int
    task: ev.NodeTask


@dataclass(slots=True)
class OrphanGroup:
    """The members found so far. ``size``: how many make the group complete."""

    size: int
    running: dict[int, RunningMember] = field(default_factory=dict)
    finished: dict[int, ev.NodeTask] = field(default_factory=dict)

    @property
    def is_complete(self) -> bool:
        """Whether all members were found, and some still run."""
        return bool(self.running) and len({*self.running, *self.finished}) >= self.size


class OrphanGroups:
    """Orphan groups of which members are still looked for."""

    def __init__(self, context: CoreContext, leases: Leases) -> None:
        """Start without orphans."""
        self.context = context
        self._leases = leases
        self._groups: dict[GroupId, OrphanGroup] = {}

    def member_reported(self, node: int, task: ev.NodeTask, tag: ev.GroupTag) -> OrphanGroup | None:
        """A node has a member that this planner does not know; returns its group once that is complete.

        A member of an earlier incarnation that runs is kept while the rest is looked for. One that was never
        committed, or is of an attempt that this planner gave up, is released at once.
        """
        if not task.running or tag.incarnation == self.context.incarnation:
            self.context.emit(ev.SendStop(node, task.id, ev.StopReason.ABANDONED))
            return None
        orphan = self._find(tag)
        orphan.running[tag.member] = RunningMember(node, task)
        self._leases.renew(node, (task.id,), self.context.config.groups.lease_us)
        return self._take_complete(tag)

    def finished_member_reported(self, task: ev.NodeTask, tag: ev.GroupTag) -> OrphanGroup | None:
        """A member of an earlier incarnation finished while no planner was connected.

        Danger: without it the rest of a group that is almost done would count as half a group.
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
            self.context.call_at(deadline, self._search_over, group_id)
        return orphan

    def _take_complete(self, tag: ev.GroupTag) -> OrphanGroup | None:
        group_id = GroupId(tag.incarnation, tag.group)
        return self._groups.pop(group_id) if self._groups[group_id].is_complete else None

    def _search_over(self, group_id: GroupId) -> None:
        """The rest of the group was not reported: half a group is released."""
        orphan = self._groups.pop(group_id, None)
        if orphan is None or not orphan.running:
            return  # complete, or all that was reported of it has finished
        self.context.count("groups_released")
        self.context.log("half a group found", members=len(orphan.running), size=orphan.size)
        for member in orphan.running.values():
            self.context.emit(ev.SendStop(member.node, member.task.id, ev.StopReason.ABANDONED))

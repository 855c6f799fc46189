"""The coordinator of a planner's groups: takes events, returns actions. No I/O, no clock, no global state.

Lifecycle of a group: WAITING for its next attempt; RESERVING, while members are placed and reserved at their
nodes; COMMITTED, once all of them were told to run; COMPLETE, once all run; RELEASING, until every member of
an abandoned attempt is over; OVER. Invariants (the stateful test checks them):

1. Members are committed only when as many are reserved as make the group complete, and only those of one
   attempt.
2. Once an attempt is being released none of its members is committed.
3. A group has one outcome, and no member is placed after it.
4. A new attempt begins only when every member of the one before is over.
5. Committed members run under leases that are renewed; a group that is not complete in time, or loses a
   member, is released, and without its planner it ends by itself.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence

from .. import interface as api
from .actions import Action, Attempted, Shed
from .capacity import ClusterCapacity, NodeCapacity
from .config import GroupConfig
from .constraints import excluded_nodes, has_constraints, infeasible_constraint, violates
from .lifecycle import CoordinatorContext, GroupLifecycle
from .spec import GroupSpec, infeasible_reason
from .state import Group, GroupState, Location, MemberState


class Coordinator:
    """All groups of one planner, by number.

    Events take the time ``now`` in microseconds and return the actions that follow, in order; events of
    groups that are over change nothing.
    """

    def __init__(self, settings: api.Settings, config: GroupConfig, seed: int) -> None:
        """``seed`` determines the backoff."""
        self.context = CoordinatorContext(settings, config, random.Random(seed))
        self._lifecycle = GroupLifecycle(self.context)

    @property
    def groups(self) -> Mapping[int, Group]:
        """The groups that are not over."""
        return self.context.groups

    def set_settings(self, settings: api.Settings, config: GroupConfig) -> None:
        """Use these settings from now on; timers that are set stay."""
        self.context.settings = settings
        self.context.config = config

    def next_due(self) -> int | None:
        """When ``advance`` is to be called next, or None."""
        return self.context.timers.next_due()

    # Events

    def request(
        self,
        now: int,
        number: int,
        spec: GroupSpec,
        deadline: int,
        capacity: ClusterCapacity,
        nodes: Sequence[NodeCapacity] = (),
    ) -> list[Action]:
        """A client requests a group. ``nodes`` are needed where the group has constraints."""
        context = self.context
        context.begin(now, capacity)
        members = [MemberState.IDLE] * len(spec.members)
        group = Group(number, spec, now, deadline, members=members)
        context.groups[number] = group
        group.enforces_constraints = context.config.enforce_constraints and has_constraints(spec)
        reason = infeasible_reason(spec, capacity, context.settings)
        if reason is not None:
            self._lifecycle.answer(group, Shed(number, reason, True, 0))
            return context.actions
        if group.enforces_constraints:
            self._drop_infeasible_constraints(group, nodes)
        self._lifecycle.attempt(group)
        return context.actions

    def _drop_infeasible_constraints(self, group: Group, nodes: Sequence[NodeCapacity]) -> None:
        """Where a constraint can never be met the client is told at once, and the group placed without it."""
        reason = infeasible_constraint(group.spec, nodes, self.context.settings)
        if reason is None:
            return
        group.enforces_constraints = False
        group.constraints_infeasible = True
        text = f"the wishes can never be met: {reason}"
        self.context.actions.append(Attempted(group.number, 0, text, 0))

    def member_reserved(self, now: int, number: int, member: int, node: int, rack: str) -> list[Action]:
        """A member is reserved at a node, ready to run."""
        self.context.begin(now)
        group = self.groups.get(number)
        if group is not None:
            self._lifecycle.member_reserved(group, member, Location(node, rack))
        return self.context.actions

    def member_running(self, now: int, number: int, member: int) -> list[Action]:
        """A committed member runs."""
        self.context.begin(now)
        group = self.groups.get(number)
        if group is not None:
            self._lifecycle.member_running(group, member)
        return self.context.actions

    def member_over(self, now: int, number: int, member: int, finished: bool, reason: str) -> list[Action]:
        """The attempt of a member has ended: rejected, failed, lost, released or finished."""
        self.context.begin(now)
        group = self.groups.get(number)
        if group is not None:
            self._lifecycle.member_over(group, member, finished, reason)
        return self.context.actions

    def cancel(self, now: int, number: int) -> list[Action]:
        """The client cancels the group: it gets no outcome, and all members are released."""
        self.context.begin(now)
        group = self.groups.get(number)
        if group is not None:
            self._abandon(group)
        return self.context.actions

    def recover(
        self, now: int, number: int, spec: GroupSpec, locations: Mapping[int, Location]
    ) -> list[Action]:
        """Take over a complete group of an earlier incarnation of this planner.

        ``locations``: where members run; those without one have finished.
        """
        self.context.begin(now)
        members = [
            MemberState.RUNNING if i in locations else MemberState.FINISHED for i in range(len(spec.members))
        ]
        group = Group(number, spec, now, now, GroupState.COMPLETE, members, dict(locations))
        group.is_answered = True
        group.is_placed = True
        group.was_committed = True
        group.lease_us = self.context.config.lease_us
        self.context.groups[number] = group
        self._lifecycle.renew_leases(group)
        return self.context.actions

    def shut_down(self, now: int) -> list[Action]:
        """The planner shuts down: groups without an outcome are shed and released."""
        self.context.begin(now)
        for group in [group for group in self.groups.values() if not group.is_answered]:
            self.context.actions.append(Shed(group.number, "this planner is leaving", False, 0))
            self._abandon(group)
        return self.context.actions

    def _abandon(self, group: Group) -> None:
        group.is_answered = True
        group.is_final = True
        if group.state is not GroupState.RELEASING:
            self._lifecycle.release(group)

    def advance(self, now: int, capacity: ClusterCapacity) -> list[Action]:
        """Let timers that are due take effect."""
        context = self.context
        context.begin(now, capacity)
        while (group := context.timers.pop_due(now, context.groups)) is not None:
            self._lifecycle.timer_due(group)
        return context.actions

    # Queries

    def excluded_nodes(
        self, number: int, member: int, taken: Mapping[int, int], nodes: Sequence[NodeCapacity]
    ) -> frozenset[int]:
        """Nodes that a member of the current attempt must not go to.

        ``taken``: the nodes of other members, by member. The rack of the first is noted as the attempt's.
        """
        group = self.groups.get(number)
        if group is None or not group.enforces_constraints:
            return frozenset()
        taken_nodes = set(taken.values())
        group.rack = next((each.rack for each in nodes if each.node in taken_nodes), group.rack)
        return excluded_nodes(group.spec, member, taken, nodes, self.context.settings, group.failed_racks)

    def violates_constraints(
        self, number: int, node: int, taken: Mapping[int, int], rack_of: Callable[[int], str]
    ) -> bool:
        """Whether a member at this node would violate a constraint, given the nodes of the others."""
        group = self.groups.get(number)
        return group is not None and group.enforces_constraints and violates(group.spec, node, taken, rack_of)

    def is_reserving(self, number: int, attempt: int) -> bool:
        """Whether this attempt of a group is still placing members."""
        group = self.groups.get(number)
        return group is not None and group.state is GroupState.RESERVING and group.attempts == attempt

    def enforces_constraints(self, number: int) -> bool:
        """Whether members are placed one after the other, because of the group's constraints."""
        group = self.groups.get(number)
        return group is not None and group.enforces_constraints

    def has_unanswered(self) -> bool:
        """Whether a group has no outcome yet."""
        return any(not group.is_answered for group in self.groups.values())

"""The coordinator of a planner's groups: takes events and returns actions. No I/O, clock or global state.

Lifecycle of a group: it is WAITING before its next attempt, RESERVING while members are placed and reserved,
COMMITTED once the nodes were told to run the reserved members, COMPLETE once enough members run, RELEASING
until every member of an abandoned attempt has ended, and finally OVER.

Invariants (the stateful test checks them):

1. Members are committed only when at least the required number are reserved, and only members of a single
   attempt.
2. While an attempt is being released, none of its members is committed.
3. A group has one outcome, and no member is placed after it.
4. A new attempt begins only when every member of the previous attempt has ended.
5. Committed members run under leases that the planner renews. A group is released if it does not become
   complete in time, loses a member before that, or has too few members left afterwards. If the planner fails,
   the leases expire and the members end.
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
    """Coordinates all groups of one planner, each identified by a number.

    Event methods take the time ``now`` in microseconds and return the resulting actions in order. Events of a
    group that has ended are ignored.
    """

    def __init__(self, settings: api.Settings, config: GroupConfig, seed: int) -> None:
        """``seed``: of the random number generator for backoff."""
        self.context = CoordinatorContext(settings, config, random.Random(seed))
        self._lifecycle = GroupLifecycle(self.context)

    @property
    def groups(self) -> Mapping[int, Group]:
        """Return the groups that have not ended, by number."""
        return self.context.groups

    def set_settings(self, settings: api.Settings, config: GroupConfig) -> None:
        """Replace the settings and the configuration. Timers that are already set do not change."""
        self.context.settings = settings
        self.context.config = config

    def next_due(self) -> int | None:
        """Return when ``advance`` must be called next, or None."""
        return self.context.timers.next_due()

    # Methods that handle events and return actions.

    def request(
        self,
        now: int,
        number: int,
        spec: GroupSpec,
        deadline: int,
        capacity: ClusterCapacity,
        nodes: Sequence[NodeCapacity] = (),
    ) -> list[Action]:
        """Handle a client's request for a group. ``nodes`` are needed only for a group with constraints."""
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
        """Stop enforcing constraints that can never be met, and report that to the client at once."""
        reason = infeasible_constraint(group.spec, nodes, self.context.settings)
        if reason is None:
            return
        group.enforces_constraints = False
        group.constraints_infeasible = True
        reason = f"the wishes can never be met: {reason}"
        self.context.actions.append(Attempted(group.number, 0, reason, 0))

    def member_reserved(self, now: int, number: int, member: int, node: int, rack: str) -> list[Action]:
        """Handle the report that a node has reserved a member and is ready to run it."""
        self.context.begin(now)
        group = self.groups.get(number)
        if group is not None:
            self._lifecycle.member_reserved(group, member, Location(node, rack))
        return self.context.actions

    def member_running(self, now: int, number: int, member: int) -> list[Action]:
        """Handle the report that a committed member runs."""
        self.context.begin(now)
        group = self.groups.get(number)
        if group is not None:
            self._lifecycle.member_running(group, member)
        return self.context.actions

    def member_over(self, now: int, number: int, member: int, finished: bool, reason: str) -> list[Action]:
        """Handle the end of a member's attempt: rejected, failed, lost, released or finished."""
        self.context.begin(now)
        group = self.groups.get(number)
        if group is not None:
            self._lifecycle.member_over(group, member, finished, reason)
        return self.context.actions

    def cancel(self, now: int, number: int) -> list[Action]:
        """Handle a cancellation by the client: no outcome is sent, and all members are released."""
        self.context.begin(now)
        group = self.groups.get(number)
        if group is not None:
            self._abandon(group)
        return self.context.actions

    def recover(
        self, now: int, number: int, spec: GroupSpec, locations: Mapping[int, Location]
    ) -> list[Action]:
        """Take over a complete group of an earlier incarnation of this planner.

        ``locations``: the nodes of the running members. Members without a location have finished.
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
        """Handle the shutdown of the planner: groups without an outcome are shed and released."""
        self.context.begin(now)
        for group in [group for group in self.groups.values() if not group.is_answered]:
            self.context.actions.append(Shed(group.number, "this planner is shutting down", False, 0))
            self._abandon(group)
        return self.context.actions

    def _abandon(self, group: Group) -> None:
        group.is_answered = True
        group.is_final = True
        if group.state is not GroupState.RELEASING:
            self._lifecycle.release(group)

    def advance(self, now: int, capacity: ClusterCapacity) -> list[Action]:
        """Handle all timers that are due."""
        context = self.context
        context.begin(now, capacity)
        while (group := context.timers.pop_due(now, context.groups)) is not None:
            self._lifecycle.timer_due(group)
        return context.actions

    # Methods that query the state of groups and return no actions.

    def excluded_nodes(
        self, number: int, member: int, assigned: Mapping[int, int], nodes: Sequence[NodeCapacity]
    ) -> frozenset[int]:
        """Return the nodes to which a member of the current attempt must not be assigned.

        ``assigned``: maps other members to their nodes. The rack of the first of these nodes in ``nodes`` is
        stored as the rack of the attempt.
        """
        group = self.groups.get(number)
        if group is None or not group.enforces_constraints:
            return frozenset()
        assigned_nodes = set(assigned.values())
        group.rack = next((each.rack for each in nodes if each.node in assigned_nodes), group.rack)
        return excluded_nodes(group.spec, member, assigned, nodes, self.context.settings, group.failed_racks)

    def violates_constraints(
        self, number: int, node: int, assigned: Mapping[int, int], rack_of: Callable[[int], str]
    ) -> bool:
        """Return whether a member on this node would violate a constraint, given the other members' nodes."""
        group = self.groups.get(number)
        return (
            group is not None and group.enforces_constraints and violates(group.spec, node, assigned, rack_of)
        )

    def is_reserving(self, number: int, attempt: int) -> bool:
        """Return whether this attempt is the current one of its group and is still placing members."""
        group = self.groups.get(number)
        return group is not None and group.state is GroupState.RESERVING and group.attempts == attempt

    def enforces_constraints(self, number: int) -> bool:
        """Return whether the group's constraints are enforced, which places its members one at a time."""
        group = self.groups.get(number)
        return group is not None and group.enforces_constraints

    def has_unanswered(self) -> bool:
        """Return whether any group has no outcome yet."""
        return any(not group.is_answered for group in self.groups.values())

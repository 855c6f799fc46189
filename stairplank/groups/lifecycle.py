"""State machine of a group: attempts, commit, leases, release and its one outcome. No I/O, no clock.

The states are those of ``GroupState``; docs/design/groups.md draws the transitions. What the groups of a
planner have in common (time, capacity, timers, the actions to be returned) is in ``CoordinatorContext``.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .. import interface as api
from .actions import (
    Action,
    Attempted,
    Commit,
    Ended,
    Failed,
    Placed,
    PlaceMember,
    Release,
    RenewLeases,
    Shed,
)
from .capacity import ClusterCapacity
from .config import GroupConfig
from .scheduling import backoff_us, reason_to_wait, reserve_deadline
from .spec import scarcity
from .state import OPEN_MEMBER_STATES, Group, GroupState, Location, MemberState
from .timers import GroupTimers


@dataclass(slots=True)
class CoordinatorContext:
    """What all groups of one planner share."""

    settings: api.Settings
    config: GroupConfig
    rng: random.Random
    groups: dict[int, Group] = field(default_factory=dict)  # by number, until they are over
    timers: GroupTimers = field(default_factory=GroupTimers)
    capacity: ClusterCapacity = ClusterCapacity(0, 0, 0.0, 0.0, 0.0, 0.0)
    now: int = 0
    actions: list[Action] = field(default_factory=list)

    def begin(self, now: int, capacity: ClusterCapacity | None = None) -> None:
        """Start an event: time that goes back is taken as no time, actions are collected anew."""
        self.now = max(self.now, now)
        self.actions = []
        if capacity is not None:
            self.capacity = capacity


class GroupLifecycle:
    """Transitions of groups. Each method takes the group that it changes."""

    def __init__(self, context: CoordinatorContext) -> None:
        """Work on the groups of this context."""
        self.context = context

    # Attempts

    def attempt(self, group: Group) -> None:
        """Begin an attempt, or wait where there is no point in one yet."""
        context = self.context
        last = self._last_answer(group)
        if context.now >= last:
            self._shed_late(group)
            return
        reason = reason_to_wait(group, context.groups.values(), context.capacity, context.config, context.now)
        if reason is not None:
            group.reason = reason
            self._wait(group, min(self._backoff(group), last - context.now))
            return
        group.attempts += 1
        group.state = GroupState.RESERVING
        group.locations.clear()
        group.members = [MemberState.REQUESTED] * len(group.members)
        group.state_deadline = reserve_deadline(group, context.config, context.now, last)
        for member in self._scarcest_first(group):
            context.actions.append(PlaceMember(group.number, member, group.state_deadline))
        context.timers.set(group, group.state_deadline)

    def member_reserved(self, group: Group, member: int, location: Location) -> None:
        """A node holds the member ready to run."""
        if group.state is not GroupState.RESERVING or group.members[member] is not MemberState.REQUESTED:
            return
        group.members[member] = MemberState.RESERVED
        group.locations[member] = location
        if all(state is MemberState.RESERVED for state in group.members):
            self._commit(group)

    def member_running(self, group: Group, member: int) -> None:
        """A committed member runs."""
        if group.members[member] is not MemberState.RESERVED:
            return
        group.members[member] = MemberState.RUNNING
        if group.state is GroupState.COMMITTED:
            self._check_complete(group)

    def member_over(self, group: Group, member: int, finished: bool, reason: str) -> None:
        """The attempt of a member has ended: rejected, failed, lost, released or finished."""
        before = group.members[member]
        group.members[member] = MemberState.FINISHED if finished else MemberState.OVER
        if not finished:
            group.locations.pop(member, None)
        match group.state:
            case GroupState.RESERVING:
                if finished or before in (MemberState.REQUESTED, MemberState.RESERVED):
                    self._attempt_short(group, reason)
            case GroupState.COMMITTED:
                if before in (MemberState.RESERVED, MemberState.RUNNING):
                    self._committed_member_over(group, finished, reason)
            case GroupState.COMPLETE:
                if not finished and before is MemberState.RUNNING:
                    self._complete_member_lost(group)
                self._check_ended(group)
            case GroupState.RELEASING:
                self._check_released(group)

    def timer_due(self, group: Group) -> None:
        """The group's timer is due."""
        match group.state:
            case GroupState.WAITING:
                self.attempt(group)
            case GroupState.RESERVING:
                self._attempt_short(group, "not all members found a place in time")
            case GroupState.COMMITTED | GroupState.COMPLETE:
                self.renew_leases(group)
            case GroupState.RELEASING:
                self._answer_while_releasing(group)

    def _scarcest_first(self, group: Group) -> list[int]:
        members = group.spec.members
        return sorted(range(len(members)), key=lambda i: (scarcity(members[i], self.context.settings), i))

    def _attempt_short(self, group: Group, reason: str) -> None:
        """The attempt cannot reserve all members, or its time is over."""
        reserved = group.members_in(MemberState.RESERVED)
        requested = group.members_in(MemberState.REQUESTED)
        if len(reserved) + len(requested) >= group.spec.min_members:
            if self.context.now < group.state_deadline and requested:
                return  # the others may still suffice
            if len(reserved) >= group.spec.min_members:
                self._release_members(group, requested)
                self._commit(group)
                return
        self._give_up(group, reason)

    def _release_members(self, group: Group, members: tuple[int, ...]) -> None:
        """Leave out members that were not reserved in time."""
        if not members:
            return
        self.context.actions.append(Release(group.number, members))
        for member in members:
            group.members[member] = MemberState.OVER

    # Commit and leases

    def _commit(self, group: Group) -> None:
        context = self.context
        is_early = group.elapsed(context.now) * 3 < group.time_allowed
        if is_early and not group.constraints_infeasible and not group.meets_constraints():
            self._give_up(group, "the bindings do not meet the wishes")
            return
        group.state = GroupState.COMMITTED
        group.was_committed = True
        group.state_deadline = context.now + context.config.commit_timeout_us
        group.lease_us = context.config.lease_us
        reserved = group.members_in(MemberState.RESERVED)
        context.actions.append(Commit(group.number, reserved, group.lease_us))
        renewal = context.now + context.config.lease_renewal_interval_us
        context.timers.set(group, min(group.state_deadline, renewal))

    def _committed_member_over(self, group: Group, finished: bool, reason: str) -> None:
        if finished:
            self._check_complete(group)
        else:
            self._give_up(group, f"a member was lost before all ran: {reason}")

    def _check_complete(self, group: Group) -> None:
        started = group.members_in(MemberState.RUNNING, MemberState.FINISHED)
        if group.members_in(MemberState.RESERVED) or len(started) < group.spec.min_members:
            return
        group.state = GroupState.COMPLETE
        if not group.is_answered:
            group.is_answered = True
            group.is_placed = True
            self.context.actions.append(
                Placed(group.number, started, group.meets_constraints(), group.attempts)
            )
        self.renew_leases(group)
        self._check_ended(group)

    def renew_leases(self, group: Group) -> None:
        """Renew the leases; before the group is complete only while it may still become so."""
        context = self.context
        if group.state is GroupState.COMMITTED and context.now >= group.state_deadline:
            self._give_up(group, "not all members ran in time")
            return
        if group.state is GroupState.COMPLETE:
            # Danger: two members whose last renewals differ by one must not end far apart: it grows by steps.
            group.lease_us = min(context.config.max_lease_us, group.lease_us + context.config.lease_step_us)
        members = group.members_in(MemberState.RESERVED, MemberState.RUNNING)
        if not members:
            return
        context.actions.append(RenewLeases(group.number, members, group.lease_us))
        renewal = context.now + context.config.lease_renewal_interval_us
        if group.state is GroupState.COMMITTED:
            renewal = min(renewal, group.state_deadline)
        context.timers.set(group, renewal)

    def _complete_member_lost(self, group: Group) -> None:
        """A member of a complete group was lost. Danger: the rest would run on as half a group."""
        alive = group.members_in(MemberState.RUNNING, MemberState.FINISHED)
        if len(alive) < group.spec.min_members:
            group.is_final = True
            self.release(group)

    def _check_ended(self, group: Group) -> None:
        if group.state is not GroupState.COMPLETE or group.members_in(MemberState.RUNNING):
            return
        finished = group.members_in(MemberState.FINISHED)
        self._end(group, len(finished) >= group.spec.min_members)

    # Release, and what comes after

    def release(self, group: Group) -> None:
        """Abandon all open members; what follows waits until each of them is over."""
        context = self.context
        group.state = GroupState.RELEASING
        context.timers.cancel(group)
        members = group.members_in(*OPEN_MEMBER_STATES)
        if members:
            context.actions.append(Release(group.number, members))
        if not group.is_answered:
            context.timers.set(group, max(context.now, self._last_answer(group)))
        self._check_released(group)

    def _give_up(self, group: Group, reason: str) -> None:
        """The attempt has failed."""
        group.reason = reason
        if group.spec.same_rack and group.rack:
            group.failed_racks.add(group.rack)
            group.rack = ""
        self.release(group)

    def _answer_while_releasing(self, group: Group) -> None:
        """The deadline comes before all released members are reported over; reports may have been lost.

        Where no member was committed nothing of the group can run any more, whatever nodes still report.
        """
        if group.is_answered:
            return  # cancelled meanwhile
        group.is_answered = True
        group.is_final = True
        if group.was_committed:
            self.context.actions.append(Failed(group.number, group.reason))
        else:
            self.context.actions.append(self._shed(group, group.reason))

    def _check_released(self, group: Group) -> None:
        """Only when every attempt is over is the group attempted again, or answered for good."""
        if group.members_in(*OPEN_MEMBER_STATES):
            return
        now = self.context.now
        if group.is_final:
            self._end(group, False)
        elif self._may_have_run_at_most_once(group):
            self.answer(group, Failed(group.number, group.reason))
        elif now >= self._last_answer(group):
            self._shed_late(group)
        else:
            wait = min(self._backoff(group), self._last_answer(group) - now)
            self.context.actions.append(Attempted(group.number, group.attempts, group.reason, wait))
            self._wait(group, wait)

    def _may_have_run_at_most_once(self, group: Group) -> bool:
        """Whether members that must not run twice were committed, and so must not be sent again."""
        over = group.members_in(MemberState.OVER, MemberState.FINISHED)
        return group.was_committed and any(
            self._effect(group, member) is not api.Effect.IDEMPOTENT for member in over
        )

    def _effect(self, group: Group, member: int) -> api.Effect:
        name = group.spec.members[member].task_class
        return next(c.effect for c in self.context.settings.classes if c.name == name)

    # Waiting and outcomes

    def _last_answer(self, group: Group) -> int:
        """When the group must be answered at the latest."""
        return group.deadline - self.context.config.answer_margin_us

    def _backoff(self, group: Group) -> int:
        return backoff_us(group, self.context.config, self.context.now, self.context.rng)

    def _wait(self, group: Group, wait_us: int) -> None:
        group.state = GroupState.WAITING
        self.context.timers.set(group, self.context.now + wait_us)

    def _shed(self, group: Group, reason: str) -> Shed:
        return Shed(group.number, reason, False, self.context.config.max_backoff_us)

    def _shed_late(self, group: Group) -> None:
        self.answer(group, self._shed(group, group.reason or "its time is over"))

    def answer(self, group: Group, outcome: Shed | Failed) -> None:
        """Give the client this outcome, unless it has one, and forget the group."""
        if not group.is_answered:
            group.is_answered = True
            self.context.actions.append(outcome)
        self._forget(group)

    def _end(self, group: Group, finished: bool) -> None:
        if group.is_placed:
            self.context.actions.append(Ended(group.number, finished))
        self._forget(group)

    def _forget(self, group: Group) -> None:
        group.state = GroupState.OVER
        self.context.timers.cancel(group)
        self.context.groups.pop(group.number, None)

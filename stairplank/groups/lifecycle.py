"""State machine of a group: attempts, commit, leases, release and its single outcome. No I/O, no clock.

``GroupState`` lists the states; docs/design/groups.md has a diagram of the transitions. The class
``CoordinatorContext`` holds what all groups of a planner share: time, capacity, timers and returned actions.
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
    """State that all groups of one planner share."""

    settings: api.Settings
    config: GroupConfig
    rng: random.Random
    groups: dict[int, Group] = field(default_factory=dict)  # groups that have not ended, by number
    timers: GroupTimers = field(default_factory=GroupTimers)
    capacity: ClusterCapacity = ClusterCapacity(0, 0, 0.0, 0.0, 0.0, 0.0)
    now: int = 0
    actions: list[Action] = field(default_factory=list)

    def begin(self, now: int, capacity: ClusterCapacity | None = None) -> None:
        """Start handling an event with an empty list of actions. The time never goes back."""
        self.now = max(self.now, now)
        self.actions = []
        if capacity is not None:
            self.capacity = capacity


class GroupLifecycle:
    """State transitions of groups. Each method takes the group that it changes."""

    def __init__(self, context: CoordinatorContext) -> None:
        """``context``: the shared state and the groups."""
        self.context = context

    # Methods that begin attempts and handle events of members.

    def attempt(self, group: Group) -> None:
        """Begin an attempt, wait if it could not succeed now, or shed the group if no time is left."""
        context = self.context
        answer_deadline = self._answer_deadline(group)
        if context.now >= answer_deadline:
            self._shed_expired(group)
            return
        reason = reason_to_wait(group, context.groups.values(), context.capacity, context.config, context.now)
        if reason is not None:
            group.reason = reason
            self._wait(group, min(self._backoff(group), answer_deadline - context.now))
            return
        group.attempts += 1
        group.state = GroupState.RESERVING
        group.locations.clear()
        group.members = [MemberState.REQUESTED] * len(group.members)
        group.state_deadline = reserve_deadline(group, context.config, context.now, answer_deadline)
        for member in self._placement_order(group):
            context.actions.append(PlaceMember(group.number, member, group.state_deadline))
        context.timers.set(group, group.state_deadline)

    def member_reserved(self, group: Group, member: int, location: Location) -> None:
        """Handle the reservation of a member; commit the group once all members are reserved."""
        if group.state is not GroupState.RESERVING or group.members[member] is not MemberState.REQUESTED:
            return
        group.members[member] = MemberState.RESERVED
        group.locations[member] = location
        if all(state is MemberState.RESERVED for state in group.members):
            self._commit(group)

    def member_running(self, group: Group, member: int) -> None:
        """Handle the report that a committed member runs."""
        if group.members[member] is not MemberState.RESERVED:
            return
        group.members[member] = MemberState.RUNNING
        if group.state is GroupState.COMMITTED:
            self._check_complete(group)

    def member_over(self, group: Group, member: int, finished: bool, reason: str) -> None:
        """Handle the end of a member's attempt: rejected, failed, lost, released or finished."""
        before = group.members[member]
        group.members[member] = MemberState.FINISHED if finished else MemberState.OVER
        if not finished:
            group.locations.pop(member, None)
        match group.state:
            case GroupState.RESERVING:
                if finished or before in (MemberState.REQUESTED, MemberState.RESERVED):
                    self._check_reservable(group, reason)
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
        """Handle the expiry of the group's timer."""
        match group.state:
            case GroupState.WAITING:
                self.attempt(group)
            case GroupState.RESERVING:
                self._check_reservable(group, "not all members found a place in time")
            case GroupState.COMMITTED | GroupState.COMPLETE:
                self.renew_leases(group)
            case GroupState.RELEASING:
                self._answer_while_releasing(group)

    def _placement_order(self, group: Group) -> list[int]:
        members = group.spec.members
        return sorted(range(len(members)), key=lambda i: (scarcity(members[i], self.context.settings), i))

    def _check_reservable(self, group: Group, reason: str) -> None:
        """Continue, commit or abandon an attempt that has lost a member or whose time is over."""
        reserved = group.members_in(MemberState.RESERVED)
        requested = group.members_in(MemberState.REQUESTED)
        if len(reserved) + len(requested) >= group.spec.min_members:
            if self.context.now < group.state_deadline and requested:
                return  # the remaining members may still be enough
            if len(reserved) >= group.spec.min_members:
                self._release_members(group, requested)
                self._commit(group)
                return
        self._abandon_attempt(group, reason)

    def _release_members(self, group: Group, members: tuple[int, ...]) -> None:
        """Release these members, which were not reserved in time, and go on without them."""
        if not members:
            return
        self.context.actions.append(Release(group.number, members))
        for member in members:
            group.members[member] = MemberState.OVER

    # Methods that commit members and renew their leases.

    def _commit(self, group: Group) -> None:
        context = self.context
        is_early = group.elapsed(context.now) * 3 < group.time_allowed
        if is_early and not group.constraints_infeasible and not group.meets_constraints():
            self._abandon_attempt(group, "the bindings do not meet the wishes")
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
            self._abandon_attempt(group, f"a member was lost before all ran: {reason}")

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
        """Renew the members' leases, or abandon the attempt if the group did not become complete in time."""
        context = self.context
        if group.state is GroupState.COMMITTED and context.now >= group.state_deadline:
            self._abandon_attempt(group, "not all members ran in time")
            return
        if group.state is GroupState.COMPLETE:
            # The lease grows by small steps. If the last renewal reached only some of the members, all of
            # them still end at nearly the same time.
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
        """Release a complete group that has too few members left; the rest would run as a partial group."""
        remaining = group.members_in(MemberState.RUNNING, MemberState.FINISHED)
        if len(remaining) < group.spec.min_members:
            group.is_final = True
            self.release(group)

    def _check_ended(self, group: Group) -> None:
        if group.state is not GroupState.COMPLETE or group.members_in(MemberState.RUNNING):
            return
        finished = group.members_in(MemberState.FINISHED)
        self._end(group, len(finished) >= group.spec.min_members)

    # Methods that release members.

    def release(self, group: Group) -> None:
        """Release all members whose attempts are open, then wait until every one of them has ended."""
        context = self.context
        group.state = GroupState.RELEASING
        context.timers.cancel(group)
        members = group.members_in(*OPEN_MEMBER_STATES)
        if members:
            context.actions.append(Release(group.number, members))
        if not group.is_answered:
            context.timers.set(group, max(context.now, self._answer_deadline(group)))
        self._check_released(group)

    def _abandon_attempt(self, group: Group, reason: str) -> None:
        """Release all members of a failed attempt and store the reason; an attempt may follow."""
        group.reason = reason
        if group.spec.same_rack and group.rack:
            group.failed_racks.add(group.rack)
            group.rack = ""
        self.release(group)

    def _answer_while_releasing(self, group: Group) -> None:
        """Answer the client at the deadline although some released members are not reported to have ended.

        Their reports may have been lost. If no member was committed, no member of the group can run any more,
        and the group is shed instead of reported as failed.
        """
        if group.is_answered:
            return  # the client has cancelled the group
        group.is_answered = True
        group.is_final = True
        if group.was_committed:
            self.context.actions.append(Failed(group.number, group.reason))
        else:
            self.context.actions.append(self._shed(group, group.reason))

    def _check_released(self, group: Group) -> None:
        """Once all released members have ended, end the group, answer its client or wait to try again."""
        if group.members_in(*OPEN_MEMBER_STATES):
            return
        now = self.context.now
        if group.is_final:
            self._end(group, False)
        elif self._must_not_retry(group):
            self.answer(group, Failed(group.number, group.reason))
        elif now >= self._answer_deadline(group):
            self._shed_expired(group)
        else:
            wait = min(self._backoff(group), self._answer_deadline(group) - now)
            self.context.actions.append(Attempted(group.number, group.attempts, group.reason, wait))
            self._wait(group, wait)

    def _must_not_retry(self, group: Group) -> bool:
        """Return whether a member that must not run twice may have run, so that it must not be sent again."""
        over = group.members_in(MemberState.OVER, MemberState.FINISHED)
        return group.was_committed and any(
            self._effect(group, member) is not api.Effect.IDEMPOTENT for member in over
        )

    def _effect(self, group: Group, member: int) -> api.Effect:
        name = group.spec.members[member].task_class
        return next(c.effect for c in self.context.settings.classes if c.name == name)

    # Methods that make a group wait, answer its client and end it.

    def _answer_deadline(self, group: Group) -> int:
        """Return the latest time at which the client must receive the outcome."""
        return group.deadline - self.context.config.answer_margin_us

    def _backoff(self, group: Group) -> int:
        return backoff_us(group, self.context.config, self.context.now, self.context.rng)

    def _wait(self, group: Group, wait_us: int) -> None:
        group.state = GroupState.WAITING
        self.context.timers.set(group, self.context.now + wait_us)

    def _shed(self, group: Group, reason: str) -> Shed:
        return Shed(group.number, reason, False, self.context.config.max_backoff_us)

    def _shed_expired(self, group: Group) -> None:
        self.answer(group, self._shed(group, group.reason or "its time is over"))

    def answer(self, group: Group, outcome: Shed | Failed) -> None:
        """Send the client this outcome unless it already has one, and remove the group."""
        if not group.is_answered:
            group.is_answered = True
            self.context.actions.append(outcome)
        self._remove(group)

    def _end(self, group: Group, finished: bool) -> None:
        if group.is_placed:
            self.context.actions.append(Ended(group.number, finished))
        self._remove(group)

    def _remove(self, group: Group) -> None:
        group.state = GroupState.OVER
        self.context.timers.cancel(group)
        self.context.groups.pop(group.number, None)

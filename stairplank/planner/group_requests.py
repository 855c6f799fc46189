"""Requests for groups: carries out the coordinator's decisions at clients and nodes. No I/O or clock.

Invariants (tests/groups/test_core_groups.py, and the stateful test of the coordinator):

1. Each group of the coordinator has one record, which is removed when the coordinator has removed its group.
2. Messages on placements of earlier attempts are ignored.
3. Members of an earlier incarnation's group keep running until all members are found or the search times out;
   then all continue, or all are released.

State: ``records``, ``messages``, and the state of the coordinator and of the orphan groups.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from .. import interface as api
from ..groups import actions
from ..groups.constraints import has_constraints
from ..groups.coordinator import Coordinator
from ..groups.spec import GroupSpec
from ..groups.state import Location
from . import events as ev
from .context import CoreContext
from .group_admission import check_request
from .group_members import GroupMembers, GroupRecord
from .group_messages import MemberMessage, MemberOver, MemberReserved, MemberRunning, PlaceNext
from .group_peers import GroupPeers
from .leases import Leases
from .orphan_groups import OrphanGroup, OrphanGroups
from .placement import Attempt, Placement
from .transitions import PlacementEvent


class GroupRequests(GroupPeers):
    """The planner's groups, from a group's request to its end."""

    def __init__(self, context: CoreContext, leases: Leases, seed: int) -> None:
        """Create the component; ``seed`` determines the random backoff of groups."""
        self.context = context
        self.coordinator = Coordinator(context.settings, context.config.groups, seed)
        self.records: dict[int, GroupRecord] = {}
        self.messages: deque[MemberMessage] = deque()
        self._leases = leases
        self._members = GroupMembers(context, leases, self.coordinator, self)
        self._orphans = OrphanGroups(context, leases)
        self._timer_due: int | None = None

    # Queries

    def tag(self, placement: Placement) -> ev.GroupTag:
        """Return the data on a member's group that its offer carries."""
        number, member = _member_of(placement)
        size = self.records[number].spec.min_members
        # The reservation lasts at least until the attempt is over and its members are committed.
        lease_us = placement.deadline - self.context.now + self.context.config.groups.lease_us
        return ev.GroupTag(self.context.incarnation, number, size, member, max(1, lease_us))

    def has_unanswered(self) -> bool:
        """Whether any group has no outcome yet."""
        return self.coordinator.has_unanswered()

    def may_place(self, placement: Placement, node: int) -> bool:
        """Whether a member may be placed at a node now; others may have taken nodes since its request."""
        number, member = _member_of(placement)
        record = self.records.get(number)
        return record is None or self._members.may_place(record, number, member, node)

    # Clients

    def request(self, event: ev.GroupRequested) -> None:
        """Admit a client's request for a group and start to place it, or reject it."""
        spec = GroupSpec(
            self.requests.client_of(event.session),
            event.members,
            event.min_members or len(event.members),
            event.same_rack,
            event.distinct_nodes,
            event.distinct_racks,
        )
        max_groups = self.context.config.groups.max_groups
        rejection = check_request(event, spec, self.requests, len(self.coordinator.groups), max_groups)
        if rejection is not None:
            self.requests.reject(event.session, event.request, rejection)
            return
        number = self.context.next_number()
        deadline = self.context.now + event.wait_us - event.age_us
        self.records[number] = GroupRecord(event.session, event.request, spec, deadline)
        self.requests.register_group(event.session, event.request, number)
        self.context.count("groups_taken")
        self.requests.notify_session(event.session, ev.Admitted(event.request, number))
        nodes = self.node_list.ready_nodes() if has_constraints(spec) else ()
        capacity = self.node_list.capacity()
        self._perform(self.coordinator.request(self.context.now, number, spec, deadline, capacity, nodes))

    def client_connected(self, client: str, session: int, is_live: Callable[[int], bool]) -> None:
        """Move to this session the client's groups that have members left but no open session."""
        for record in self.records.values():
            if record.spec.client != client or is_live(record.session):
                continue
            if any(self.requests.find_by_key(*p.client_key) is p for p in record.placements.values()):
                record.session = session
                record.request = 0

    def client_disconnected(self, number: int, other_session: int) -> None:
        """Move a group whose session was closed to another session if it is placed, else cancel it.

        ``other_session`` is 0 if the client has no other session.
        """
        record = self.records.get(number)
        if record is None:
            return
        if record.is_placed:
            record.session = other_session
            record.request = 0
        else:
            self.cancel(number)

    def cancel(self, number: int) -> None:
        """Cancel a group at its client's request."""
        self._perform(self.coordinator.cancel(self.context.now, number))

    def settings_changed(self) -> None:
        """Pass the new settings to the coordinator; groups in flight use them from their next attempt on."""
        self.coordinator.set_settings(self.context.settings, self.context.config.groups)

    def shut_down(self) -> None:
        """Shed the groups without an outcome, because the planner shuts down."""
        self._perform(self.coordinator.shut_down(self.context.now))

    # Messages on members, handled when the module's event queue is empty

    def member_reserved(self, placement: Placement, attempt: Attempt) -> None:
        """Queue a message that a node has reserved resources for a member."""
        self.messages.append(MemberReserved(*_member_of(placement), attempt.node))

    def member_running(self, placement: Placement) -> None:
        """Queue a message that a node runs a member."""
        self.messages.append(MemberRunning(*_member_of(placement)))

    def member_gone(self, placement: Placement) -> None:
        """Queue a message that a member's placement was removed from the table."""
        self.messages.append(MemberOver(*_member_of(placement), placement))

    def take_message(self) -> None:
        """Handle the next queued message."""
        message = self.messages.popleft()
        now = self.context.now
        number = message.group
        match message:
            case PlaceNext(_, member, deadline, attempt):
                if self.coordinator.is_reserving(number, attempt):
                    self._members.place(self.records[number], number, member, deadline)
                return
            case MemberOver(_, member, placement):
                record = self.records.get(number)
                if record is None or record.placements.get(member) is not placement:
                    return  # the placement belongs to an earlier attempt
                reason = placement.end_reason or "no place was found"
                finished = placement.end_reason == "finished"
                result = self.coordinator.member_over(now, number, member, finished, reason)
            case MemberReserved(_, member, node):
                result = self.coordinator.member_reserved(
                    now, number, member, node, self.node_list.rack(node)
                )
            case MemberRunning(_, member):
                result = self.coordinator.member_running(now, number, member)
        self._perform(result)
        self._forget_if_over(number)

    def member_unplaced(self, placement: Placement) -> None:
        """Fail a member for which the module found no node, and stop its attempts in flight."""
        placement.transition(PlacementEvent.FAILED)
        self.attempts.abandon_member(placement)

    def member_over(self, placement: Placement, finished: bool, reason: api.Reason) -> None:
        """Notify the client of a placed group that a member has ended at its node."""
        number, member = _member_of(placement)
        record = self.records.get(number)
        if record is not None and record.is_placed:
            self._notify(record, ev.MemberEnded(record.request, member, finished, reason))

    # Actions of the coordinator

    def _advance(self, due: int) -> None:
        if due == self._timer_due:
            self._timer_due = None
            self._perform(self.coordinator.advance(self.context.now, self.node_list.capacity()))

    def _perform(self, decisions: list[actions.Action]) -> None:
        for action in decisions:
            record = self.records.get(action.group)
            if record is not None:
                self._perform_on_members(action, record)
                self._notify_client(action, record)
                self._forget_if_over(action.group)
        due = self.coordinator.next_due()
        if due is not None and (self._timer_due is None or due < self._timer_due):
            # Only one timer is pending. If each message set a timer, each timer would set the next one, and
            # their number would never decrease.
            self._timer_due = due
            self.context.call_at(due, self._advance, due)

    def _perform_on_members(self, action: actions.Action, record: GroupRecord) -> None:
        match action:
            case actions.PlaceMember(number, member, deadline):
                if self.coordinator.enforces_constraints(number):
                    # Members are placed one by one, so that a member's node is excluded for the next one.
                    attempt = self.coordinator.groups[number].attempts
                    self.messages.append(PlaceNext(number, member, deadline, attempt))
                else:
                    self._members.place(record, number, member, deadline)
            case actions.Commit(_, members, lease_us):
                self._members.commit(record, members, lease_us)
            case actions.RenewLeases(_, members, lease_us):
                self._members.renew_leases(record, members, lease_us)
            case actions.Release(_, members):
                self._members.release(record, members)

    def _notify_client(self, action: actions.Action, record: GroupRecord) -> None:
        request = record.request
        match action:
            case actions.Placed(_, members, constraints_met, attempts):
                record.is_placed = True
                self.context.count("groups_placed")
                bound = [(member, record.placements[member].bound_attempt) for member in members]
                bindings = tuple((member, at.node) for member, at in bound if at is not None)
                self._notify(record, ev.GroupPlaced(request, bindings, constraints_met, attempts))
            case actions.Shed(_, reason, is_permanent, retry_after_us):
                self.context.count("groups_refused")
                self._notify(record, ev.GroupShed(request, retry_after_us, reason, is_permanent))
            case actions.Failed(_, reason):
                self.context.count("groups_failed")
                self._notify(record, ev.GroupFailed(request, reason))
            case actions.Attempted(_, attempts, reason, retry_in_us):
                self.context.count("groups_tried_again")
                self._notify(record, ev.GroupAttempted(request, attempts, reason, retry_in_us))
            case actions.Ended(_, finished):
                self.context.count("groups_finished" if finished else "groups_lost")
                self._notify(record, ev.GroupEnded(request, finished))

    def _notify(self, record: GroupRecord, message: ev.GroupMessage) -> None:
        self.requests.notify_session(record.session, message)

    def _forget_if_over(self, number: int) -> None:
        record = self.records.get(number)
        if record is None or number in self.coordinator.groups:
            return
        del self.records[number]
        self.requests.forget_group(record.session, record.request)

    # Groups of an earlier incarnation

    def member_reported(self, node: int, task: ev.NodeTask, tag: ev.GroupTag) -> None:
        """Handle a node's report of a member that this planner does not know."""
        orphan = self._orphans.member_reported(node, task, tag)
        if orphan is not None:
            self._recover(orphan)

    def finished_member_reported(self, task: ev.NodeTask, tag: ev.GroupTag) -> None:
        """Handle a report of a member that finished while no planner was connected to its node."""
        orphan = self._orphans.finished_member_reported(task, tag)
        if orphan is not None:
            self._recover(orphan)

    def _recover(self, orphan: OrphanGroup) -> None:
        """Take over an earlier incarnation's group, all members of which were found."""
        number = self.context.next_number()
        running = [member for _, member in sorted(orphan.running.items(), key=lambda item: item[0])]
        finished = [task for member, task in sorted(orphan.finished.items()) if member not in orphan.running]
        client = running[0].task.task.client
        tasks = (*(member.task.task for member in running), *(task.task for task in finished))
        spec = GroupSpec(client, tasks, orphan.size)
        record = GroupRecord(self.requests.newest_session(client), 0, spec, is_placed=True)
        self.records[number] = record
        locations: dict[int, Location] = {}
        for member, found in enumerate(running):
            attempt = self.attempts.adopt(found.node, found.task.id, found.task.task, True)
            attempt.placement.group = (number, member)
            record.placements[member] = attempt.placement
            self._leases.extend(attempt, self.context.now + self.context.config.groups.lease_us)
            locations[member] = Location(found.node, self.node_list.rack(found.node))
        self.context.count("groups_found")
        self._perform(self.coordinator.recover(self.context.now, number, spec, locations))


def _member_of(placement: Placement) -> tuple[int, int]:
    """Return the group's number and the member's index for a member's placement."""
    assert placement.group is not None
    return placement.group

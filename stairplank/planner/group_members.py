"""Group members at their nodes: placing, committing, renewing leases and releasing. No I/O or clock.

Invariants (tests/groups/test_core_groups.py):

1. A member has one placement in each attempt to place its group.
2. Members are committed, renewed and released only over links that are up.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from .. import interface as api
from ..groups.coordinator import Coordinator
from ..groups.spec import GroupSpec
from . import events as ev
from .abandoned_attempts import PlacementState
from .context import CoreContext
from .events import AttemptId
from .group_peers import GroupPeers
from .leases import Leases
from .placement import Placement
from .transitions import PlacementEvent


@dataclass(slots=True)
class GroupRecord:
    """A group's session, request and specification, and the placements of its current attempt."""

    session: int  # the session that gets messages on the group; 0 if none
    request: int
    spec: GroupSpec
    deadline: int = 0
    placements: dict[int, Placement] = field(default_factory=dict)  # placements by member
    is_placed: bool = False


class GroupMembers:
    """Carries out the coordinator's actions on members: placing, committing, renewing, releasing."""

    def __init__(
        self, context: CoreContext, leases: Leases, coordinator: Coordinator, peers: GroupPeers
    ) -> None:
        """Create the component; ``peers`` are used only after the core has connected them."""
        self.context = context
        self._leases = leases
        self._coordinator = coordinator
        self._peers = peers

    def place(self, record: GroupRecord, number: int, member: int, deadline: int) -> None:
        """Request a member's placement from the decision module, until ``deadline``."""
        placement = Placement(self.context, record.session, 0, record.spec.members[member])
        placement.group = (number, member)
        placement.deadline = deadline
        record.placements[member] = placement
        self._peers.requests.register(placement)
        self.context.count("members_tried")
        excluded: frozenset[int] = frozenset()
        if self._coordinator.enforces_constraints(number):
            taken = self._taken(record, member)
            excluded = self._coordinator.excluded_nodes(
                number, member, taken, self._peers.node_list.ready_nodes()
            )
        # The module gets the group's deadline, not the attempt's: otherwise it would treat every member as
        # late and exclude it from the reserve of each node's capacity. The coordinator decides whether a
        # group is attempted again, so a member does not count as resubmitted.
        task = replace(
            self._peers.requests.module_task(placement),
            expires_us=record.deadline,
            resubmitted=False,
            excluded_nodes=excluded,
        )
        self.context.notify_module(api.TaskRequested(task))

    def may_place(self, record: GroupRecord, number: int, member: int, node: int) -> bool:
        """Whether a member may be placed at a node now; others may have taken nodes since its request."""
        if not self._coordinator.enforces_constraints(number):
            return True
        taken = self._taken(record, member)
        return not self._coordinator.violates_constraints(number, node, taken, self._peers.node_list.rack)

    def _taken(self, record: GroupRecord, member: int) -> dict[int, int]:
        """Return the nodes of the other members in this attempt, by member."""
        taken: dict[int, int] = {}
        for other, placement in record.placements.items():
            if other == member or placement.state not in (PlacementState.OPEN, PlacementState.PLACED):
                continue
            for attempt in placement.attempts.values():
                if not attempt.outcome_reported:
                    taken[other] = attempt.node
        return taken

    def commit(self, record: GroupRecord, members: tuple[int, ...], lease_us: int) -> None:
        """Commit these members at their nodes, with a lease of this length from now."""
        for node, attempt_ids in self._bound_by_node(record, members).items():
            self.context.emit(ev.SendCommit(node, attempt_ids, lease_us))
            for attempt_id in attempt_ids:
                attempt = self._peers.attempts.find(attempt_id)
                assert attempt is not None
                self._leases.extend(attempt, self.context.now + lease_us)

    def renew_leases(self, record: GroupRecord, members: tuple[int, ...], lease_us: int) -> None:
        """Renew the leases of these members at their nodes."""
        for node, attempt_ids in self._bound_by_node(record, members).items():
            self._leases.renew(node, attempt_ids, lease_us)

    def _bound_by_node(
        self, record: GroupRecord, members: tuple[int, ...]
    ) -> dict[int, tuple[AttemptId, ...]]:
        """Return the ids of the members' bound attempts by node, for nodes whose link is up."""
        by_node: dict[int, tuple[AttemptId, ...]] = {}
        for member in members:
            attempt = record.placements[member].bound_attempt
            if attempt is not None and self._peers.links.is_up(attempt.node):
                by_node[attempt.node] = (*by_node.get(attempt.node, ()), attempt.id)
        return by_node

    def release(self, record: GroupRecord, members: tuple[int, ...]) -> None:
        """Abandon these members: cancel their requests to the module and stop their attempts."""
        for member in members:
            placement = record.placements[member]
            if placement.state is PlacementState.OPEN:
                placement.transition(PlacementEvent.CANCELLED)
                self.context.notify_module(api.TaskCancelled(placement.number))
            placement.cancelled = True
            self._peers.attempts.abandon_member(placement)

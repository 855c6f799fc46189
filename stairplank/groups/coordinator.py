"""When groups are tried, let run, released and tried again. No I/O, no clock, no global state.

A group's life: WAITING for its next try; GATHERING, while members are offered and held ready at their nodes;
COMMITTED, once all of them were let run; WHOLE, once all run; RELEASING, until every attempt of a try that
was given up has its last word; over. Invariants (the stateful test checks them):

1. Members are let run only when as many are ready as make the group whole, and only those of one try.
2. Once a try is being released none of its members is let run.
3. A group has one outcome, and no member is offered after it.
4. A new try begins only when every attempt of the one before is over.
5. Members that were let run are kept by leases; a group that is not whole in time, or loses a member, is
   released, and without its planner it ends by itself.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from .. import interface as api
from .constraints import NodeCapacity, excluded_nodes, has_constraints, infeasible_constraint, violates
from .spec import ClusterCapacity, GroupSpec, infeasible_reason, scarcity

MAX_AGE_DISCOUNT = 0.8  # of its back-off that a group is spared by the time its owner is about to give up


@dataclass(frozen=True, slots=True)
class GroupConfig:
    """Times in microseconds."""

    reserve_timeout_us: int = (
        1_500_000  # a try may hold members so long; longer as the group ages, up to the next
    )
    max_reserve_timeout_us: int = 3_000_000
    commit_timeout_us: int = 1_000_000  # from letting run to all running
    lease_renewal_interval_us: int = 400_000
    lease_us: int = 1_200_000  # before a group is whole
    lease_step_us: int = 400_000  # by which the lease grows with each keeping after that
    max_lease_us: int = 8_000_000
    initial_backoff_us: int = 200_000  # first wait between tries, doubling
    max_backoff_us: int = 3_000_000
    answer_margin_us: int = 100_000  # so long before the deadline the group is answered
    max_groups: int = 1_000
    max_reserved_share: float = 0.5  # of the believed free room that gathering groups may hold at once
    enforce_constraints: bool = True  # False, a baseline: wishes are looked at once all are bound, not before
    blocking: bool = False  # baseline for experiments: hold what was got until all is there


class GroupState(Enum):
    WAITING = "waiting"
    RESERVING = "gathering"
    COMMITTED = "committed"
    COMPLETE = "whole"
    RELEASING = "releasing"
    OVER = "over"


class MemberState(Enum):
    IDLE = "idle"  # no attempt of this try
    REQUESTED = "asked"
    RESERVED = "ready"
    RUNNING = "running"
    FINISHED = "finished"
    OVER = "over"  # its attempt of this try is over without a good end


# Actions


@dataclass(frozen=True, slots=True)
class PlaceMember:
    """Have this member placed; it is to be held ready."""

    group: int
    member: int
    deadline: int


@dataclass(frozen=True, slots=True)
class Commit:
    group: int
    members: tuple[int, ...]
    lease_us: int


@dataclass(frozen=True, slots=True)
class RenewLeases:
    group: int
    members: tuple[int, ...]
    lease_us: int


@dataclass(frozen=True, slots=True)
class Release:
    """Give these members' attempts up; each will be told as over."""

    group: int
    members: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Placed:
    group: int
    members: tuple[int, ...]
    constraints_met: bool
    attempts: int


@dataclass(frozen=True, slots=True)
class Shed:
    group: int
    reason: str
    is_permanent: bool
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class Failed:
    group: int
    reason: str


@dataclass(frozen=True, slots=True)
class Attempted:
    group: int
    attempts: int
    reason: str
    retry_in_us: int


@dataclass(frozen=True, slots=True)
class Ended:
    group: int
    finished: bool


Action = PlaceMember | Commit | RenewLeases | Release | Placed | Shed | Failed | Attempted | Ended


@dataclass(slots=True)
class Group:
    number: int
    spec: GroupSpec
    requested_at: int
    deadline: int
    state: GroupState = GroupState.WAITING
    members: list[MemberState] = field(default_factory=list)
    nodes: dict[int, tuple[int, str]] = field(default_factory=dict)  # member: node and rack
    attempts: int = 0
    state_deadline: int = 0  # of the present stand
    lease_us: int = 0
    reason: str = ""
    was_committed: bool = False  # members of it were let run at some time
    is_answered: bool = False
    is_placed: bool = False
    is_final: bool = False  # no further try after the release
    enforces_constraints: bool = False  # its wishes close nodes to members
    constraints_infeasible: bool = False  # its wishes can never be met
    rack: str = ""  # that members of this try go to
    failed_racks: set[str] = field(default_factory=set)  # racks in which tries failed
    generation: int = 0


class Coordinator:
    """All groups of one planner."""

    def __init__(self, settings: api.Settings, config: GroupConfig, seed: int) -> None:
        self.settings = settings
        self.config = config
        self.rng = random.Random(seed)
        self.groups: dict[int, Group] = {}
        self.now = 0
        self.capacity = ClusterCapacity(0, 0, 0.0, 0.0, 0.0, 0.0)
        self.out: list[Action] = []
        self._due: list[tuple[int, int, int]] = []
        self.keep_at = 0

    def set_settings(self, settings: api.Settings, config: GroupConfig) -> None:
        """Settings and waits from now on; timers that are set keep their time."""
        self.settings = settings
        self.config = config

    def next_due(self) -> int | None:
        return self._due[0][0] if self._due else None

    # Events

    def request(
        self,
        now: int,
        number: int,
        spec: GroupSpec,
        deadline: int,
        room: ClusterCapacity,
        places: Sequence[NodeCapacity] = (),
    ) -> list[Action]:
        """``places`` are wanted where the group has wishes: what they could be met by."""
        self._begin(now, room)
        group = Group(number, spec, now, deadline, members=[MemberState.IDLE] * len(spec.members))
        self.groups[number] = group
        group.enforces_constraints = self.config.enforce_constraints and has_constraints(spec)
        reason = infeasible_reason(spec, room, self.settings)
        if reason is not None:
            self._answer(group, Shed(number, reason, True, 0))
            return self.out
        hopeless = infeasible_constraint(spec, places, self.settings) if group.enforces_constraints else None
        if hopeless is not None:
            # Said at once, not found out by tries: the group is placed as it can be.
            group.enforces_constraints, group.constraints_infeasible = False, True
            self.out.append(Attempted(number, 0, f"the wishes can never be met: {hopeless}", 0))
        self._try(group)
        return self.out

    def excluded_nodes(
        self, number: int, member: int, taken: Mapping[int, int], places: Sequence[NodeCapacity]
    ) -> frozenset[int]:
        """Nodes closed to a member of this try; ``taken``: nodes that other members go to."""
        group = self.groups.get(number)
        if group is None or not group.enforces_constraints:
            return frozenset()
        group.rack = next((p.rack for p in places if p.node in taken.values()), group.rack)
        return excluded_nodes(group.spec, member, taken, places, self.settings, group.failed_racks)

    def violates_constraints(
        self, number: int, node: int, taken: Mapping[int, int], rack: Callable[[int], str]
    ) -> bool:
        """Whether a member that goes to this node breaks a wish, where the others of its try go."""
        group = self.groups.get(number)
        return group is not None and group.enforces_constraints and violates(group.spec, node, taken, rack)

    def is_reserving(self, number: int, tries: int) -> bool:
        """Whether this try of a group goes on."""
        group = self.groups.get(number)
        return group is not None and group.state is GroupState.RESERVING and group.attempts == tries

    def enforces_constraints(self, number: int) -> bool:
        """Whether members are placed one after the other, for the group's wishes."""
        group = self.groups.get(number)
        return group is not None and group.enforces_constraints

    def member_reserved(self, now: int, number: int, member: int, node: int, rack: str) -> list[Action]:
        """A member is held ready at a node."""
        self._begin(now)
        group = self.groups.get(number)
        if (
            group is not None
            and group.state is GroupState.RESERVING
            and group.members[member] is MemberState.REQUESTED
        ):
            group.members[member] = MemberState.RESERVED
            group.nodes[member] = (node, rack)
            if all(m is MemberState.RESERVED for m in group.members):
                self._let_run(group)
        return self.out

    def member_running(self, now: int, number: int, member: int) -> list[Action]:
        self._begin(now)
        group = self.groups.get(number)
        if group is not None and group.members[member] is MemberState.RESERVED:
            group.members[member] = MemberState.RUNNING
            if group.state is GroupState.COMMITTED:
                self._perhaps_whole(group)
        return self.out

    def member_over(self, now: int, number: int, member: int, finished: bool, why: str) -> list[Action]:
        """A member's attempt has its last word: turned down, failed, lost, released or at its good end."""
        self._begin(now)
        group = self.groups.get(number)
        if group is None:
            return self.out
        was = group.members[member]
        group.members[member] = MemberState.FINISHED if finished else MemberState.OVER
        group.nodes.pop(member, None) if not finished else None
        if group.state is GroupState.RESERVING:
            if finished or was in (MemberState.REQUESTED, MemberState.RESERVED):
                self._short(group, why)
        elif group.state is GroupState.COMMITTED:
            if finished and was in (MemberState.RESERVED, MemberState.RUNNING):
                self._perhaps_whole(group)
            elif was in (MemberState.RESERVED, MemberState.RUNNING):
                self._give_up(group, f"a member was lost before all ran: {why}")
        elif group.state is GroupState.COMPLETE:
            if not finished and was is MemberState.RUNNING:
                self._lost_one(group)
            self._perhaps_ended(group)
        elif group.state is GroupState.RELEASING:
            self._perhaps_released(group)
        return self.out

    def cancel(self, now: int, number: int) -> list[Action]:
        """The owner wants the group no longer: nothing is owed, all of it is released."""
        self._begin(now)
        group = self.groups.get(number)
        if group is not None:
            group.is_answered = group.is_final = True
            if group.state is not GroupState.RELEASING:
                self._release(group)
        return self.out

    def recover(
        self, now: int, number: int, spec: GroupSpec, nodes: dict[int, tuple[int, str]]
    ) -> list[Action]:
        """A whole group of an earlier life of this planner: it is kept on.

        ``nodes``: where members run; those without one have run to their end.
        """
        self._begin(now)
        members = [
            MemberState.RUNNING if i in nodes else MemberState.FINISHED for i in range(len(spec.members))
        ]
        group = Group(number, spec, now, now, GroupState.COMPLETE, members, dict(nodes))
        group.is_answered = group.is_placed = group.was_committed = True
        group.lease_us = self.config.lease_us
        self.groups[number] = group
        self._keep(group)
        return self.out

    def shut_down(self, now: int) -> list[Action]:
        """The planner leaves: groups that do not run are refused and released."""
        self._begin(now)
        for group in [g for g in self.groups.values() if not g.is_answered]:
            group.is_answered = group.is_final = True
            self.out.append(Shed(group.number, "this planner is leaving", False, 0))
            if group.state is not GroupState.RELEASING:
                self._release(group)
        return self.out

    def advance(self, now: int, room: ClusterCapacity) -> list[Action]:
        """What has come due."""
        self._begin(now, room)
        while self._due and self._due[0][0] <= now:
            _, number, generation = heapq.heappop(self._due)
            group = self.groups.get(number)
            if group is not None and group.generation == generation:
                self._timer(group)
        return self.out

    # Tries

    def _begin(self, now: int, room: ClusterCapacity | None = None) -> None:
        self.now = max(self.now, now)
        self.out = []
        if room is not None:
            self.capacity = room

    def _timer(self, group: Group) -> None:
        match group.state:
            case GroupState.WAITING:
                self._try(group)
            case GroupState.RESERVING:
                self._short(group, "not all members found a place in time")
            case GroupState.COMMITTED | GroupState.COMPLETE:
                self._keep(group)
            case GroupState.RELEASING:
                self._answer_while_releasing(group)

    def _try(self, group: Group) -> None:
        """Begin a try, unless there is no point in it yet."""
        last = group.deadline - self.config.answer_margin_us
        if self.now >= last:
            self._answer_late(group)
            return
        why = self._no_point(group)
        if why is not None:
            group.reason = why
            self._wait(group, min(self._back_off(group), last - self.now))
            return
        group.attempts += 1
        group.state = GroupState.RESERVING
        group.nodes.clear()
        for i in range(len(group.members)):
            group.members[i] = MemberState.REQUESTED
        age = (self.now - group.requested_at) / max(1, group.deadline - group.requested_at)
        gather = self.config.reserve_timeout_us
        gather += int((self.config.max_reserve_timeout_us - gather) * age)
        if self.config.blocking:
            gather = last - self.now
        group.state_deadline = min(last, self.now + gather)
        order = sorted(
            range(len(group.members)), key=lambda i: (scarcity(group.spec.members[i], self.settings), i)
        )
        for i in order:
            self.out.append(PlaceMember(group.number, i, group.state_deadline))
        self._at(group, group.state_deadline)

    def _no_point(self, group: Group) -> str | None:
        """Believed room first. Danger: tries that cannot succeed hold what others could use.

        What other groups hold is in the belief already, as own bindings are; the share leaves room to single
        tasks, which would starve beside many gathering groups. An old group is tried whatever is believed:
        belief is late, and a group that is never tried never starts.
        """
        room = self.capacity
        old = (self.now - group.requested_at) * 2 > group.deadline - group.requested_at
        if room.nodes == 0 or old or self.config.blocking:
            return None
        cores = sum(m.cores for m in group.spec.members)
        memory = sum(m.memory for m in group.spec.members)
        if cores > room.free_cores or memory > room.free_memory:
            return "no room is believed to be there"
        held = sum(
            m.cores for g in self.groups.values() if g.state is GroupState.RESERVING for m in g.spec.members
        )
        if held and held + cores > self.config.max_reserved_share * room.free_cores:
            return "other groups are being gathered"
        return None

    def _short(self, group: Group, why: str) -> None:
        """The try cannot be completed, or its time is over."""
        ready = [i for i, m in enumerate(group.members) if m is MemberState.RESERVED]
        open_ones = [i for i, m in enumerate(group.members) if m is MemberState.REQUESTED]
        if len(ready) + len(open_ones) >= group.spec.min_members:
            if self.now < group.state_deadline and open_ones:
                return  # others may still do
            if len(ready) >= group.spec.min_members:
                if open_ones:
                    self.out.append(Release(group.number, tuple(open_ones)))
                    for i in open_ones:
                        group.members[i] = MemberState.OVER
                self._let_run(group)
                return
        self._give_up(group, why)

    def _wishes_met(self, group: Group) -> bool:
        spec = group.spec
        nodes = [n for n, _ in group.nodes.values()]
        racks = [r for _, r in group.nodes.values()]
        if spec.same_rack and len(set(racks)) > 1:
            return False
        if spec.distinct_nodes and len(set(nodes)) < len(nodes):
            return False
        return not (spec.distinct_racks and len(set(racks)) < len(racks))

    def _let_run(self, group: Group) -> None:
        early = (self.now - group.requested_at) * 3 < group.deadline - group.requested_at
        if early and not group.constraints_infeasible and not self._wishes_met(group):
            self._give_up(group, "the bindings do not meet the wishes")
            return
        group.state, group.was_committed = GroupState.COMMITTED, True
        group.state_deadline = self.now + self.config.commit_timeout_us
        group.lease_us = self.config.lease_us
        ready = tuple(i for i, m in enumerate(group.members) if m is MemberState.RESERVED)
        self.out.append(Commit(group.number, ready, group.lease_us))
        self._at(group, min(group.state_deadline, self.now + self.config.lease_renewal_interval_us))

    def _perhaps_whole(self, group: Group) -> None:
        going = [i for i, m in enumerate(group.members) if m in (MemberState.RUNNING, MemberState.FINISHED)]
        if any(m is MemberState.RESERVED for m in group.members) or len(going) < group.spec.min_members:
            return
        group.state = GroupState.COMPLETE
        if not group.is_answered:
            group.is_answered = group.is_placed = True
            self.out.append(Placed(group.number, tuple(going), self._wishes_met(group), group.attempts))
        self._keep(group)
        self._perhaps_ended(group)

    def _keep(self, group: Group) -> None:
        """Renew the leases; before the group is whole only while it may still become so."""
        config = self.config
        if group.state is GroupState.COMMITTED and self.now >= group.state_deadline:
            self._give_up(group, "not all members ran in time")
            return
        if group.state is GroupState.COMPLETE:
            # It grows by steps. Danger: two members whose last keepings differ by one must not end far apart.
            group.lease_us = min(config.max_lease_us, group.lease_us + config.lease_step_us)
        members = tuple(
            i for i, m in enumerate(group.members) if m in (MemberState.RESERVED, MemberState.RUNNING)
        )
        if members:
            self.out.append(RenewLeases(group.number, members, group.lease_us))
            at = self.now + config.lease_renewal_interval_us
            self._at(group, min(at, group.state_deadline) if group.state is GroupState.COMMITTED else at)

    def _lost_one(self, group: Group) -> None:
        """A member of a whole group was lost. Danger: the rest would run on as half a group."""
        alive = sum(m in (MemberState.RUNNING, MemberState.FINISHED) for m in group.members)
        if alive < group.spec.min_members:
            group.is_final = True
            self._release(group)

    def _perhaps_ended(self, group: Group) -> None:
        if group.state is GroupState.COMPLETE and not any(m is MemberState.RUNNING for m in group.members):
            self._end(group, sum(m is MemberState.FINISHED for m in group.members) >= group.spec.min_members)

    # Release and what comes after

    def _give_up(self, group: Group, why: str) -> None:
        group.reason = why
        if group.spec.same_rack and group.rack:
            group.failed_racks.add(group.rack)
            group.rack = ""
        self._release(group)

    def _release(self, group: Group) -> None:
        group.state = GroupState.RELEASING
        group.generation += 1
        open_ones = (MemberState.REQUESTED, MemberState.RESERVED, MemberState.RUNNING)
        members = tuple(i for i, m in enumerate(group.members) if m in open_ones)
        if members:
            self.out.append(Release(group.number, members))
        if not group.is_answered:
            self._at(group, max(self.now, group.deadline - self.config.answer_margin_us))
        self._perhaps_released(group)

    def _answer_while_releasing(self, group: Group) -> None:
        """The deadline comes before the last word on what is being released; words may have been lost.

        Where no member was let run nothing of the group can run any more, whatever the nodes still say.
        """
        if group.is_answered:
            return  # withdrawn meanwhile
        group.is_answered = group.is_final = True
        if group.was_committed:
            self.out.append(Failed(group.number, group.reason))
        else:
            self.out.append(Shed(group.number, group.reason, False, self.config.max_backoff_us))

    def _perhaps_released(self, group: Group) -> None:
        """Invariant 4: only when every attempt is over is the group tried again, or answered for good."""
        if any(
            m in (MemberState.REQUESTED, MemberState.RESERVED, MemberState.RUNNING) for m in group.members
        ):
            return
        if group.is_final:
            self._end(group, False)
            return
        harmed = group.was_committed and any(
            group.members[i] in (MemberState.OVER, MemberState.FINISHED)
            and self._effect(group, i) is not api.Effect.IDEMPOTENT
            for i in range(len(group.members))
        )
        last = group.deadline - self.config.answer_margin_us
        if harmed:
            # Members that must not run twice were let run for a moment: they are not sent again.
            self._answer(group, Failed(group.number, group.reason))
        elif self.now >= last:
            self._answer_late(group)
        else:
            wait = min(self._back_off(group), last - self.now)
            self.out.append(Attempted(group.number, group.attempts, group.reason, wait))
            self._wait(group, wait)

    def _effect(self, group: Group, member: int) -> api.Effect:
        name = group.spec.members[member].task_class
        return next(c.effect for c in self.settings.classes if c.name == name)

    def _back_off(self, group: Group) -> int:
        """Doubling, drawn from its upper half, shorter as the group ages.

        Danger: groups that each hold half of what the other needs give up and try again in step for ever;
        and a large group, which needs more to come free at once, would always find a small one there first.
        """
        config = self.config
        most = min(config.initial_backoff_us << min(group.attempts, 6), config.max_backoff_us)
        age = min(1.0, (self.now - group.requested_at) / max(1, group.deadline - group.requested_at))
        most = max(config.initial_backoff_us // 2, int(most * (1 - MAX_AGE_DISCOUNT * age)))
        return most // 2 + self.rng.randrange(most // 2 + 1)

    def _wait(self, group: Group, wait: int) -> None:
        group.state = GroupState.WAITING
        self._at(group, self.now + wait)

    def _answer_late(self, group: Group) -> None:
        why = group.reason or "its time is over"
        self._answer(group, Shed(group.number, why, False, self.config.max_backoff_us))

    def _answer(self, group: Group, action: Shed | Failed) -> None:
        if not group.is_answered:
            group.is_answered = True
            self.out.append(action)
        self._drop(group)

    def _end(self, group: Group, finished: bool) -> None:
        if group.is_placed:
            self.out.append(Ended(group.number, finished))
        self._drop(group)

    def _drop(self, group: Group) -> None:
        group.state = GroupState.OVER
        group.generation += 1
        self.groups.pop(group.number, None)

    def _at(self, group: Group, at: int) -> None:
        group.generation += 1
        heapq.heappush(self._due, (at, group.number, group.generation))

"""Groups on the path: between the coordinator, which decides, and owners, attempts and links. No I/O or
clock.

Invariants (tests/planner/test_grouping.py, and the stateful test of the coordinator):

1. Each group of the coordinator has one record, and a record goes when the coordinator has forgotten its
   group.
2. A member has one placing in each try; words on placings of earlier tries change nothing.
3. Members of an earlier life's group are kept while the rest is looked for, and then all go on or all are
   called off.
4. Members are let run, kept and called off only over links that stand.

Tables: ``records``, ``foundlings``; the coordinator's own.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from .. import interface as api
from ..groups import coordinator as gr
from ..groups.coordinator import Coordinator
from ..groups.spec import GroupSpec, Room, check
from ..groups.wishes import Place, wishes
from . import admission
from . import events as ev
from .abandoned_attempts import PlacementState
from .context import CoreContext
from .events import AttemptId
from .leases import Leases
from .placement import Attempt, Placement


@dataclass(slots=True)
class GroupRecord:
    """A group as its owner knows it, and the placings of its present try."""

    session: int
    ask: int
    spec: GroupSpec
    deadline: int = 0
    placings: dict[int, Placement] = field(default_factory=dict)
    placed: bool = False


@dataclass(slots=True)
class Foundling:
    """Members of an earlier life's group, as nodes tell of them."""

    size: int
    until: int
    members: dict[int, tuple[int, ev.NodeTask]] = field(default_factory=dict)
    finished: dict[int, ev.NodeTask] = field(default_factory=dict)  # ran to their end meanwhile

    @property
    def whole(self) -> bool:
        return bool(self.members) and len({*self.members, *self.finished}) >= self.size


class Owners(Protocol):
    """What groups need of what owners are owed."""

    def bad_ask(self, session: int, ask: int) -> ev.Rejection | None: ...
    def bad_task(self, task: ev.TaskSpec, wait_us: int) -> ev.Rejection | None: ...
    def no_room(self, session: int) -> ev.Rejection | None: ...
    def reject(self, session: int, ask: int, rejection: ev.Rejection) -> None: ...
    def owner_of(self, session: int) -> str: ...
    def named(self, owner: str, key: int) -> Placement | None: ...
    def newest(self, owner: str) -> int: ...
    def group_asked(self, session: int, ask: int, number: int) -> None: ...
    def group_over(self, session: int, ask: int) -> None: ...
    def tell_on(self, session: int, word: ev.ClientMessage) -> None: ...
    def keep(self, placing: Placement) -> None: ...
    def task(self, placing: Placement) -> api.Task: ...


class Attempts(Protocol):
    """What groups need of the attempts."""

    def known(self, id: AttemptId) -> Attempt | None: ...
    def call_back(self, placing: Placement) -> None: ...
    def adopt(self, node: int, id: AttemptId, spec: ev.TaskSpec, running: bool) -> Attempt: ...


class Links(Protocol):
    def is_up(self, node: int) -> bool: ...


class NodeList(Protocol):
    def capacity(self) -> Room: ...
    def ready_nodes(self) -> tuple[Place, ...]: ...
    def rack(self, node: int) -> str: ...


class Groups:
    def __init__(self, context: CoreContext, leases: Leases, seed: int) -> None:
        self.context = context
        self.leases = leases
        self.owners: Owners
        self.attempts: Attempts
        self.links: Links
        self.list: NodeList
        self.coordinator = Coordinator(context.settings, context.config.groups, seed)
        self.records: dict[int, GroupRecord] = {}
        self.foundlings: dict[tuple[int, int], Foundling] = {}
        self.words: deque[tuple[str, int, int, Any]] = deque()  # of members, not yet taken
        self._due: int | None = None

    # Questions

    def tag(self, placing: Placement) -> ev.GroupTag:
        """What a node is told of a member's group."""
        assert placing.group is not None
        number, member = placing.group
        size = self.records[number].spec.least
        # Held at least until the try is over and its members were let run.
        lease = placing.expires - self.context.now + self.context.config.groups.lease_us
        return ev.GroupTag(self.context.incarnation, number, size, member, max(1, lease))

    def owed(self) -> bool:
        """Whether a group has no outcome yet."""
        return any(not g.answered for g in self.coordinator.groups.values())

    # Owners

    def asked(self, event: ev.GroupRequested) -> None:
        least = event.min_members or len(event.members)
        owner = self.owners.owner_of(event.session)
        spec = GroupSpec(
            owner, event.members, least, event.same_rack, event.distinct_nodes, event.distinct_racks
        )
        rejection = self._rejection(event, spec)
        if rejection is not None:
            self.owners.reject(event.session, event.request, rejection)
            return
        number = self.context.next_number()
        deadline = self.context.now + event.wait_us - event.age_us
        self.records[number] = GroupRecord(event.session, event.request, spec, deadline)
        self.owners.group_asked(event.session, event.request, number)
        self.context.count("groups_taken")
        self.owners.tell_on(event.session, ev.Admitted(event.request, number))
        places = self.list.ready_nodes() if wishes(spec) else ()
        room = self.list.capacity()
        self._carry(self.coordinator.asked(self.context.now, number, spec, deadline, room, places))

    def _rejection(self, event: ev.GroupRequested, spec: GroupSpec) -> ev.Rejection | None:
        wrong = self.owners.bad_ask(event.session, event.request) or check(spec, event.min_members)
        wrong = wrong or admission.too_late(event.wait_us, event.age_us)
        if wrong is not None:
            return wrong
        for i, member in enumerate(event.members):
            if member.client != spec.owner:
                message = "is not the stream's owner"
                return ev.Rejection("INVALID_ARGUMENT", f"members[{i}].owner", message)
            wrong = self.owners.bad_task(member, event.wait_us)
            if wrong is not None:
                field_ = wrong.field.replace("task.", f"members[{i}].")
                return ev.Rejection(wrong.code, field_, wrong.message)
            if self.owners.named(member.client, member.key) is not None:
                message = "this task waits, runs or may run already"
                return ev.Rejection("ALREADY_EXISTS", f"members[{i}].key", message, admission.BUSY_RETRY_US)
        if len(self.coordinator.groups) >= self.context.config.groups.groups_most:
            message = f"{len(self.coordinator.groups)} groups are looked after here"
            return ev.Rejection("RESOURCE_EXHAUSTED", "", message, admission.BUSY_RETRY_US)
        return self.owners.no_room(event.session)

    def owner_came(self, owner: str, session: int, live: Callable[[int], bool]) -> None:
        """What has no stream to be told on, and members that are still known, is told on this one."""
        for record in self.records.values():
            if record.spec.owner == owner and not live(record.session) and self._any_known(record):
                record.session, record.ask = session, 0

    def _any_known(self, record: GroupRecord) -> bool:
        return any(self.owners.named(*p.name) is p for p in record.placings.values())

    def owner_left(self, number: int, other: int) -> None:
        record = self.records.get(number)
        if record is not None and record.placed:
            record.session, record.ask = other, 0
        elif record is not None:
            self.withdrawn(number)

    def withdrawn(self, number: int) -> None:
        self._carry(self.coordinator.withdrawn(self.context.now, number))

    def settings_changed(self) -> None:
        """Groups in flight are tried by the new settings from their next try on."""
        self.coordinator.set_settings(self.context.settings, self.context.config.groups)

    def leave(self) -> None:
        self._carry(self.coordinator.leave(self.context.now))

    # Words of members, taken in turn with the module

    def ready(self, placing: Placement, attempt: Attempt) -> None:
        assert placing.group is not None
        self.words.append(("ready", *placing.group, attempt))

    def runs(self, placing: Placement, attempt: Attempt) -> None:
        assert placing.group is not None
        self.words.append(("running", *placing.group, attempt))

    def member_gone(self, placing: Placement) -> None:
        """Nothing is left of a member's placing."""
        assert placing.group is not None
        self.words.append(("over", *placing.group, placing))

    def take_word(self) -> None:
        """The next word of a member."""
        what, number, member, of = self.words.popleft()
        if what == "try":
            until, tries = of
            if self.coordinator.gathers(number, tries):
                self._try(self.records[number], number, member, until)
            return
        if what == "over":
            placing: Placement = of
            record = self.records.get(number)
            if record is None or record.placings.get(member) is not placing:
                return  # of a try that is long over
            why = placing.ended or "no place was found"
            done = placing.ended == "finished"
            out = self.coordinator.over(self.context.now, number, member, done, why)
        elif what == "ready":
            rack = self.list.rack(of.node)
            out = self.coordinator.ready(self.context.now, number, member, of.node, rack)
        else:
            out = self.coordinator.running(self.context.now, number, member)
        self._carry(out)
        self._drop_if_over(number)

    def member_unplaced(self, placing: Placement) -> None:
        """The module found no place for a member in this try; attempts that are out are called back."""
        placing.becomes("failed")
        self.attempts.call_back(placing)

    def member_over(self, placing: Placement, finished: bool, reason: api.Reason) -> None:
        """A member that was bound has its node's last word."""
        assert placing.group is not None
        record = self.records.get(placing.group[0])
        if record is not None and record.placed:
            self._tell(record, ev.MemberEnded(record.ask, placing.group[1], finished, reason))

    # What the coordinator says

    def _advance(self, due: int) -> None:
        if due == self._due:
            self._due = None
            self._carry(self.coordinator.advance(self.context.now, self.list.capacity()))

    def _carry(self, actions: list[gr.Action]) -> None:
        for action in actions:
            record = self.records.get(action.group)
            if record is not None:
                self._carry_one(action, record)
        due = self.coordinator.next_due()
        if due is not None and (self._due is None or due < self._due):
            # Danger: a timer for each word of a member would each set the next one, and never become fewer.
            self._due = due
            self.context.call_at(due, self._advance, due)

    def _carry_one(self, action: gr.Action, record: GroupRecord) -> None:
        match action:
            case gr.Try(number, member, until):
                if self.coordinator.steered(number):
                    # One after the other: what a member takes closes places to the next.
                    tries = self.coordinator.groups[number].tries
                    self.words.append(("try", number, member, (until, tries)))
                else:
                    self._try(record, number, member, until)
            case gr.LetRun(_, members, lease):
                for node, ids in self._ids(record, members):
                    self.context.emit(ev.SendCommit(node, ids, lease))
                    for id in ids:
                        attempt = self.attempts.known(id)
                        assert attempt is not None
                        self.leases.hold(attempt, self.context.now + lease)
            case gr.Keep(_, members, lease):
                for node, ids in self._ids(record, members):
                    self.leases.keep(node, ids, lease)
            case gr.Release(_, members):
                for member in members:
                    self._release(record.placings[member])
            case gr.Placed(_, members, met, tries):
                record.placed = True
                self.context.count("groups_placed")
                bound = [(m, record.placings[m].bound) for m in members]
                bindings = tuple((m, a.node) for m, a in bound if a is not None)
                self._tell(record, ev.GroupPlaced(record.ask, bindings, met, tries))
            case gr.Refused(_, why, never, after):
                self.context.count("groups_refused")
                self._tell(record, ev.GroupShed(record.ask, after, why, never))
            case gr.Failed(_, why):
                self.context.count("groups_failed")
                self._tell(record, ev.GroupFailed(record.ask, why))
            case gr.Tried(_, tries, why, again):
                self.context.count("groups_tried_again")
                self._tell(record, ev.GroupAttempted(record.ask, tries, why, again))
            case gr.Ended(_, finished):
                self.context.count("groups_finished" if finished else "groups_lost")
                self._tell(record, ev.GroupEnded(record.ask, finished))
        self._drop_if_over(action.group)

    def _try(self, record: GroupRecord, number: int, member: int, until: int) -> None:
        placing = Placement(self.context, record.session, 0, record.spec.members[member])
        placing.group = (number, member)
        placing.expires = until
        record.placings[member] = placing
        self.owners.keep(placing)
        self.context.count("members_tried")
        # The module is told the group's deadline, not the try's: else it would take every member for one that
        # comes too late and keep a reserve from it. Whether a group is tried again is the coordinator's
        # matter, so that a member does not count as one that came back either.
        closed = self._closed(record, number, member) if self.coordinator.steered(number) else frozenset()
        task = self.owners.task(placing)
        task = replace(task, expires_us=record.deadline, resubmitted=False, excluded_nodes=closed)
        self.context.notify_module(api.TaskRequested(task))

    def _closed(self, record: GroupRecord, number: int, member: int) -> frozenset[int]:
        """Nodes closed to a member, by where the others of this try go."""
        return self.coordinator.closed(number, member, self._taken(record, member), self.list.ready_nodes())

    def _taken(self, record: GroupRecord, member: int) -> dict[int, int]:
        """Where the other members of this try go."""
        taken: dict[int, int] = {}
        for other, placing in record.placings.items():
            if other != member and placing.state in (PlacementState.OPEN, PlacementState.PLACED):
                for attempt in placing.attempts.values():
                    if not attempt.reported:
                        taken[other] = attempt.node
        return taken

    def allows(self, placing: Placement, node: int) -> bool:
        """Whether a member may go there now: others may have taken places since the module was asked."""
        assert placing.group is not None
        number, member = placing.group
        record = self.records.get(number)
        if record is None or not self.coordinator.steered(number):
            return True
        return not self.coordinator.breaks(number, node, self._taken(record, member), self.list.rack)

    def _ids(self, record: GroupRecord, members: tuple[int, ...]) -> list[tuple[int, tuple[AttemptId, ...]]]:
        """The bound attempts of members, by node, over links that are up."""
        by_node: dict[int, list[AttemptId]] = {}
        for member in members:
            attempt = record.placings[member].bound
            if attempt is not None and self.links.is_up(attempt.node):
                by_node.setdefault(attempt.node, []).append(attempt.id)
        return [(node, tuple(ids)) for node, ids in by_node.items()]

    def _tell(self, record: GroupRecord, word: ev.GroupMessage) -> None:
        self.owners.tell_on(record.session, word)

    def _drop_if_over(self, number: int) -> None:
        record = self.records.get(number)
        if record is None or number in self.coordinator.groups:
            return
        del self.records[number]
        self.owners.group_over(record.session, record.ask)

    def _release(self, placing: Placement) -> None:
        if placing.state is PlacementState.OPEN:
            placing.becomes("withdrawn")
            self.context.notify_module(api.TaskCancelled(placing.number))
        placing.withdrawn = True
        self.attempts.call_back(placing)

    # Groups of an earlier life

    def held_member(self, node: int, held: ev.NodeTask, tag: ev.GroupTag) -> None:
        """A member of a group of an earlier life, or of a try that was given up.

        Of an earlier life's group those that run are kept while the rest is looked for; when all have been
        found the group goes on, else it is released. Members that were never let run are released at once.
        """
        if not held.running or tag.incarnation == self.context.incarnation:
            self.context.emit(ev.SendStop(node, held.id, ev.StopReason.ABANDONED))
            return
        found = self._foundling(tag)
        found.members[tag.member] = (node, held)
        self.leases.keep(node, (held.id,), self.context.config.groups.lease_us)
        self._perhaps_whole(found, tag)

    def finished_member(self, held: ev.NodeTask, tag: ev.GroupTag) -> None:
        """A member of an earlier life's group that ran to its end while nobody was there to hear of it.

        Danger: without it the rest of a group that is almost done would count as half a group.
        """
        if tag.incarnation != self.context.incarnation:
            found = self._foundling(tag)
            found.finished[tag.member] = held
            self._perhaps_whole(found, tag)

    def _foundling(self, tag: ev.GroupTag) -> Foundling:
        key = (tag.incarnation, tag.group)
        found = self.foundlings.get(key)
        if found is None:
            until = self.context.now + self.context.config.foundling_us
            found = self.foundlings[key] = Foundling(tag.size, until)
            self.context.call_at(until, self._foundling_over, key)
        return found

    def _perhaps_whole(self, found: Foundling, tag: ev.GroupTag) -> None:
        if found.whole:
            del self.foundlings[tag.incarnation, tag.group]
            self._go_on(found)

    def _go_on(self, found: Foundling) -> None:
        """All members of an earlier life's group run: it is ours to keep from now on."""
        number = self.context.next_number()
        held = [found.members[m] for m in sorted(found.members)]
        done = [t for m, t in sorted(found.finished.items()) if m not in found.members]
        owner = held[0][1].task.client
        spec = GroupSpec(owner, tuple(t.task for t in (*(t for _, t in held), *done)), found.size)
        record = self.records[number] = GroupRecord(self.owners.newest(owner), 0, spec, placed=True)
        for member, (node, task) in enumerate(held):
            attempt = self.attempts.adopt(node, task.id, task.task, True)
            attempt.placement.group = (number, member)
            record.placings[member] = attempt.placement
            self.leases.hold(attempt, self.context.now + self.context.config.groups.lease_us)
        self.context.count("groups_found")
        nodes = {m: (node, self.list.rack(node)) for m, (node, _) in enumerate(held)}
        self._carry(self.coordinator.found(self.context.now, number, spec, nodes))

    def _foundling_over(self, key: tuple[int, int]) -> None:
        """The rest of the group did not show itself: half a group is released."""
        found = self.foundlings.pop(key, None)
        if found is not None and found.members:  # else all of it had run to its end
            self.context.count("groups_released")
            self.context.log("half a group found", members=len(found.members), size=found.size)
            for node, held in found.members.values():
                self.context.emit(ev.SendStop(node, held.id, ev.StopReason.ABANDONED))

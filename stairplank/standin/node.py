"""A node as a state machine: what it accepts, how it starts tasks, how it fails. No I/O and no clock.

The model is that of the users' brief: one ask is looked at at a time and only so many wait; tasks are
accepted while what they ask stays within limits; starts take work, several times as much where the node has
not the program of the service; a cold node starts at a share of its pace and falls over when pushed; a node
that drains sends its tasks away.
"""

from __future__ import annotations

import random
from collections import deque

from .. import interface as api
from ..planner.events import AttemptId, GroupTag, TaskSpec
from .copies import Copies, CopyBook
from .node_events import DrainingReported, HealthChecked, NodeEvent, Reported
from .node_faults import NodeFaults
from .node_model import NodeModel, Offer, Stage, due_of
from .node_pace import NodePace
from .reservations import Reservations

FINISHED_US = 30_000_000  # members that ran to their end are told of for so long
FINISHED_MOST = 1_000  # and not more of them; the oldest go first
FAILS_US = 20_000  # how long a start that fails takes


class Node:
    """One life of a node. A restart is a new one with a later ``started``."""

    def __init__(self, model: NodeModel, copies: CopyBook, seed: int, started: int, cold: bool) -> None:
        self.model = model
        self.copies = copies
        self.rng = random.Random(seed)
        self.started = started
        self.pace = NodePace(model, started, cold)
        self.draining = False
        self.down = False
        self.faults = NodeFaults()
        self.held: dict[AttemptId, Offer] = {}
        self.line: deque[Offer | int] = deque()  # offers and probes wait in one line
        self.look_ends = 0
        self.reserved = Reservations(model)
        self.finished: deque[tuple[int, Offer]] = deque(maxlen=FINISHED_MOST)  # members of groups
        self.changed = True  # something that the list shows
        self.clock = started  # the latest time that was told
        self.out: list[NodeEvent] = []

    # Driving

    def offer(
        self,
        now: int,
        planner: int,
        id: AttemptId,
        task: TaskSpec,
        wait_us: int,
        priority: int,
        window_us: int,
        group: GroupTag | None = None,
        *,
        said_at: int | None,
    ) -> list[NodeEvent]:
        """``said_at``: the earliest moment at which the offer can have been said; None: nobody can tell."""
        self.out = []
        self._advance(now)
        if self.down or id in self.held:
            return self.out
        until = -1 if said_at is None else said_at + wait_us
        offer = Offer(planner, id, task, until, priority, window_us, now, group=group)
        if until <= now:
            # Danger: an offer that the network has kept is for a task that runs elsewhere by now. Turned away
            # before it costs anything, so that a heap of them does not push a cold node over.
            self._say(offer, "refused", late=True)
            return self.out
        self._push(now)
        if self.down:
            return self.out
        if self.draining:
            self._say(offer, "refused", reason=api.Reason.NOT_HERE)
        elif sum(isinstance(x, Offer) for x in self.line) >= self.model.waiting_most:
            self._say(offer, "refused", reason=api.Reason.QUEUE_FULL)
        else:
            self.held[id] = offer
            self.line.append(offer)
            self._look(now)
        return self.out

    def stop(self, now: int, id: AttemptId) -> list[NodeEvent]:
        """End a task or an offer. What had not begun is handed back: it never ran."""
        self.out = []
        self._advance(now)
        offer = self.held.get(id)
        if offer is not None and not self.down:
            self._end_early(offer)
            self._begin(now)
        return self.out

    def _end_early(self, offer: Offer) -> None:
        self._release(offer)
        if offer.begun:
            self._say(offer, "ended", api.Result.CANCELLED)
        else:
            self._say(offer, "refused", reason=api.Reason.NOT_HERE)

    def commit(
        self, now: int, ids: list[AttemptId], lease_us: int, *, said_at: int | None
    ) -> list[NodeEvent]:
        """Let members run. Those that are not held any more are passed over: their word is on its way.

        Danger: a commit that the network has kept lets members run of a group that was released meanwhile.
        One whose lease has passed lets nothing run; the members end with the leases they have.
        """
        self.out = []
        self._advance(now)
        until = now if said_at is None else said_at + lease_us
        for id in ids:
            offer = self.held.get(id)
            if until > now and offer is not None and offer.stage is Stage.READY and not self.down:
                offer.let_run = True
                offer.kept_until = until
                self._run(offer, now)
        return self.out

    def keep(self, now: int, ids: list[AttemptId], lease_us: int, *, said_at: int | None) -> list[NodeEvent]:
        """Renew leases, from when it was said: a keep that was kept on the way lengthens nothing."""
        self.out = []
        self._advance(now)
        until = 0 if said_at is None else said_at + lease_us
        for id in ids:
            offer = self.held.get(id)
            if offer is not None and offer.group is not None and offer.kept_until:
                offer.kept_until = max(offer.kept_until, until)
        return self.out

    def probe(self, now: int, token: int) -> list[NodeEvent]:
        self.out = []
        self._advance(now)
        if not self.down:
            self.line.append(token)
            self._look(now)
        return self.out

    def drain(self, now: int) -> list[NodeEvent]:
        """Send every task away at once, and take nothing more."""
        self.out = []
        self._advance(now)
        if not self.draining and not self.down:
            self.draining = self.changed = True
            self.out.append(DrainingReported())
            for offer in list(self.held.values()):
                self._send_away(offer, api.Reason.SENT_AWAY)
        return self.out

    def advance(self, now: int) -> list[NodeEvent]:
        self.out = []
        self._advance(now)
        return self.out

    def next_due(self) -> int | None:
        """When ``advance`` is wanted."""
        if self.down:
            return None
        times = [self.look_ends] if self.line and self.look_ends else []
        times += [o.ends for o in self.held.values() if o.ends]
        times += [o.kept_until for o in self.held.values() if o.kept_until]
        return min(times, default=None)

    def holds(self, planner: int) -> list[Offer]:
        return [o for o in self.held.values() if o.planner == planner]

    def finished_of(self, planner: int, now: int) -> list[Offer]:
        """Members of a planner's groups that ran to their end lately."""
        while self.finished and self.finished[0][0] < now - FINISHED_US:
            self.finished.popleft()
        return [o for _, o in self.finished if o.planner == planner]

    def free(self) -> tuple[float, float]:
        """Cores and memory that no accepted task asks for."""
        return self.reserved.free_resources()

    def util(self) -> float:
        running = sum(o.task.cores for o in self.held.values() if o.stage is Stage.RUNNING)
        starting = sum(1 for o in self.held.values() if o.stage is Stage.STARTING)
        return min(1.0, (running * self.model.cores_use + starting) / self.model.cores)

    # Inside

    def _advance(self, now: int) -> None:
        """Do what has come due, in the order of time."""
        self.clock = max(self.clock, now)
        while not self.down:
            due = self.next_due()
            if due is None or due > now:
                return
            if self.line and self.look_ends == due:
                self._looked(due)
                continue
            offer = min(self.held.values(), key=lambda o: (due_of(o), o.id))
            if offer.kept_until and offer.kept_until <= due:
                # Nobody keeps it any more: its group never became whole, or its planner is gone.
                self._end_early(offer)
                self._begin(due)
            else:
                self._end(offer, due)

    def _push(self, now: int) -> None:
        fall = self.pace.push(now)
        if fall is not None:
            self.down = self.changed = True
            self.out.append(fall)

    def _look(self, now: int) -> None:
        if self.line and not self.look_ends:
            self.look_ends = now + int(self.rng.randint(*self.model.look_us) * self.faults.slow)

    def _looked(self, now: int) -> None:
        first = self.line.popleft()
        self.look_ends = 0
        if isinstance(first, Offer):
            if first.id in self.held:
                self._judge(first, now)
        else:
            self.out.append(HealthChecked(first, *self.free(), self.util()))
        self._look(now)

    def _judge(self, offer: Offer, now: int) -> None:
        task = offer.task
        reason = None
        if self.clock >= offer.until:
            # Danger: a node that stood still looks at offers that came before, as if it were still then.
            reason = api.Reason.NOT_HERE
        elif self.faults.turns_away(task.task_class, self.rng):
            reason = api.Reason.UNTOLD
        elif offer.window_us and self._copies(task).drops((task.client, task.key), offer.id, now):
            reason = api.Reason.NOT_HERE
        else:
            reason = self._make_room_for(offer)
        if reason is not None:
            del self.held[offer.id]
            self._say(offer, "refused", reason=reason)
            return
        offer.stage = Stage.ACCEPTED
        if offer.group is not None:
            offer.kept_until = now + offer.group.lease_us
        self.reserved.add(task)
        self.changed = True
        if offer.window_us:
            self._copies(task).standing[task.client, task.key] = offer.id
        self._say(offer, "accepted")
        self._begin(now)

    def _make_room_for(self, offer: Offer) -> api.Reason | None:
        """None where it fits, if need be after tasks of lower priority were pushed out."""
        reason, victims = self.reserved.check(offer, self.held.values())
        for victim in victims:
            self._send_away(victim, api.Reason.PUSHED_OUT)
        return reason

    def _begin(self, now: int) -> None:
        """Start accepted tasks in the order of their coming, while slots are free."""
        busy = sum(1 for o in self.held.values() if o.stage is Stage.STARTING)
        for offer in self.held.values():
            if busy >= self.model.starts_at_once:
                return
            if offer.stage is Stage.ACCEPTED:
                busy += 1
                offer.stage = Stage.STARTING
                work = self.pace.begin_start(offer.task.service, now)
                offer.fails = self.faults.fails_start(self.rng)
                if offer.fails:
                    work = FAILS_US  # and fast: a node like that looks roomy
                offer.ends = now + max(1, int(work * self.faults.slow * self.rng.uniform(0.8, 1.2)))

    def _end(self, offer: Offer, now: int) -> None:
        if offer.stage is Stage.STARTING and offer.fails:
            self._release(offer)
            self._say(offer, "error")
        elif offer.stage is Stage.STARTING and offer.group is not None:
            offer.stage, offer.ends = Stage.READY, 0
            self._say(offer, "ready")
        elif offer.stage is Stage.STARTING:
            self._run(offer, now)
        else:
            self._release(offer)
            if offer.window_us:
                name = offer.task.client, offer.task.key
                self._copies(offer.task).finished(name, offer.came + offer.window_us, now)
            if offer.group is not None:
                self.finished.append((now, offer))
            self._say(offer, "ended", api.Result.FINISHED)
        self._begin(now)

    def _run(self, offer: Offer, now: int) -> None:
        offer.stage = Stage.RUNNING
        offer.ends = now + offer.task.expected_duration_us if offer.task.expected_duration_us else 0
        self._say(offer, "running")
        task, model = offer.task, self.model
        cores, memory = task.cores * model.cores_use, task.memory * model.memory_use
        self.out.append(Reported(offer.planner, "usage", offer.id, cores=cores, memory=memory))

    def _send_away(self, offer: Offer, reason: api.Reason) -> None:
        self._release(offer)
        if offer.begun:
            self._say(offer, "ended", api.Result.LOST, reason)
        else:
            self._say(offer, "refused", reason=api.Reason.NOT_HERE)

    def die(self) -> None:
        """Its process is gone, and its copies with it."""
        self.down = True
        for offer in self.held.values():
            self._stands_no_more(offer)

    def _copies(self, task: TaskSpec) -> Copies:
        return self.copies.of(self.model, task.task_class)

    def _stands_no_more(self, offer: Offer) -> None:
        standing = self._copies(offer.task).standing
        name = (offer.task.client, offer.task.key)
        if standing.get(name) == offer.id:
            del standing[name]

    def _release(self, offer: Offer) -> None:
        self.held.pop(offer.id, None)
        if offer.stage is Stage.WAITING:
            return
        task = offer.task
        self.reserved.remove(task)
        self.changed = True
        self._stands_no_more(offer)
        if offer.stage in (Stage.STARTING, Stage.READY, Stage.RUNNING):
            self.pace.end(task.service)

    def _say(
        self,
        offer: Offer,
        what: str,
        result: api.Result | None = None,
        reason: api.Reason = api.Reason.UNTOLD,
        late: bool = False,
    ) -> None:
        self.out.append(Reported(offer.planner, what, offer.id, result, reason, is_late=late))

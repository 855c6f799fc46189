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
from .dedup_memory import DedupMemories, DedupMemory
from .node_events import DrainingReported, HealthChecked, NodeEvent, Reported
from .node_faults import NodeFaults
from .node_model import NodeModel, Offer, OfferState, next_event_of
from .node_pace import NodePace
from .reservations import Reservations

FINISHED_US = 30_000_000  # members that ran to their end are told of for so long
MAX_FINISHED = 1_000  # and not more of them; the oldest go first
FAILED_START_US = 20_000  # how long a start that fails takes


class Node:
    """One life of a node. A restart is a new one with a later ``started``."""

    def __init__(self, model: NodeModel, copies: DedupMemories, seed: int, started: int, cold: bool) -> None:
        self.model = model
        self.dedup_memories = copies
        self.rng = random.Random(seed)
        self.started = started
        self.pace = NodePace(model, started, cold)
        self.draining = False
        self.crashed = False
        self.faults = NodeFaults()
        self.offers: dict[AttemptId, Offer] = {}
        self.queue: deque[Offer | int] = deque()  # offers and probes wait in one line
        self.admission_ends_at = 0
        self.reservations = Reservations(model)
        self.finished: deque[tuple[int, Offer]] = deque(maxlen=MAX_FINISHED)  # members of groups
        self.changed = True  # something that the list shows
        self.clock = started  # the latest time that was told
        self.reports: list[NodeEvent] = []

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
        self.reports = []
        self._advance(now)
        if self.crashed or id in self.offers:
            return self.reports
        until = -1 if said_at is None else said_at + wait_us
        offer = Offer(planner, id, task, until, priority, window_us, now, group=group)
        if until <= now:
            # Danger: an offer that the network has kept is for a task that runs elsewhere by now. Turned away
            # before it costs anything, so that a heap of them does not push a cold node over.
            self._report(offer, "refused", late=True)
            return self.reports
        self._record_offer(now)
        if self.crashed:
            return self.reports
        if self.draining:
            self._report(offer, "refused", reason=api.Reason.NOT_HERE)
        elif sum(isinstance(x, Offer) for x in self.queue) >= self.model.max_waiting_offers:
            self._report(offer, "refused", reason=api.Reason.QUEUE_FULL)
        else:
            self.offers[id] = offer
            self.queue.append(offer)
            self._start_admission(now)
        return self.reports

    def stop(self, now: int, id: AttemptId) -> list[NodeEvent]:
        """End a task or an offer. What had not begun is handed back: it never ran."""
        self.reports = []
        self._advance(now)
        offer = self.offers.get(id)
        if offer is not None and not self.crashed:
            self._cancel(offer)
            self._start_accepted(now)
        return self.reports

    def _cancel(self, offer: Offer) -> None:
        self._release(offer)
        if offer.has_begun:
            self._report(offer, "ended", api.Result.CANCELLED)
        else:
            self._report(offer, "refused", reason=api.Reason.NOT_HERE)

    def commit(
        self, now: int, ids: list[AttemptId], lease_us: int, *, said_at: int | None
    ) -> list[NodeEvent]:
        """Let members run. Those that are not held any more are passed over: their word is on its way.

        Danger: a commit that the network has kept lets members run of a group that was released meanwhile.
        One whose lease has passed lets nothing run; the members end with the leases they have.
        """
        self.reports = []
        self._advance(now)
        until = now if said_at is None else said_at + lease_us
        for id in ids:
            offer = self.offers.get(id)
            if until > now and offer is not None and offer.state is OfferState.READY and not self.crashed:
                offer.committed = True
                offer.leased_until = until
                self._run(offer, now)
        return self.reports

    def keep(self, now: int, ids: list[AttemptId], lease_us: int, *, said_at: int | None) -> list[NodeEvent]:
        """Renew leases, from when it was said: a keep that was kept on the way lengthens nothing."""
        self.reports = []
        self._advance(now)
        until = 0 if said_at is None else said_at + lease_us
        for id in ids:
            offer = self.offers.get(id)
            if offer is not None and offer.group is not None and offer.leased_until:
                offer.leased_until = max(offer.leased_until, until)
        return self.reports

    def probe(self, now: int, token: int) -> list[NodeEvent]:
        """Queue a health check behind the offers; ``token`` names its answer."""
        self.reports = []
        self._advance(now)
        if not self.crashed:
            self.queue.append(token)
            self._start_admission(now)
        return self.reports

    def drain(self, now: int) -> list[NodeEvent]:
        """Send every task away at once, and take nothing more."""
        self.reports = []
        self._advance(now)
        if not self.draining and not self.crashed:
            self.draining = self.changed = True
            self.reports.append(DrainingReported())
            for offer in list(self.offers.values()):
                self._evict(offer, api.Reason.SENT_AWAY)
        return self.reports

    def advance(self, now: int) -> list[NodeEvent]:
        """Do what has come due."""
        self.reports = []
        self._advance(now)
        return self.reports

    def next_due(self) -> int | None:
        """When ``advance`` is wanted."""
        if self.crashed:
            return None
        times = [self.admission_ends_at] if self.queue and self.admission_ends_at else []
        times += [o.ends_at for o in self.offers.values() if o.ends_at]
        times += [o.leased_until for o in self.offers.values() if o.leased_until]
        return min(times, default=None)

    def offers_of(self, planner: int) -> list[Offer]:
        """A planner's offers that are here."""
        return [o for o in self.offers.values() if o.planner == planner]

    def finished_of(self, planner: int, now: int) -> list[Offer]:
        """Members of a planner's groups that ran to their end lately."""
        while self.finished and self.finished[0][0] < now - FINISHED_US:
            self.finished.popleft()
        return [o for _, o in self.finished if o.planner == planner]

    def free(self) -> tuple[float, float]:
        """Cores and memory that no accepted task asks for."""
        return self.reservations.free_resources()

    def utilization(self) -> float:
        """Busy share of the cores, starts included."""
        running = sum(o.task.cores for o in self.offers.values() if o.state is OfferState.RUNNING)
        starting = sum(1 for o in self.offers.values() if o.state is OfferState.STARTING)
        return min(1.0, (running * self.model.cores_use + starting) / self.model.cores)

    # Inside

    def _advance(self, now: int) -> None:
        """Do what has come due, in the order of time."""
        self.clock = max(self.clock, now)
        while not self.crashed:
            due = self.next_due()
            if due is None or due > now:
                return
            if self.queue and self.admission_ends_at == due:
                self._finish_admission(due)
                continue
            offer = min(self.offers.values(), key=lambda o: (next_event_of(o), o.id))
            if offer.leased_until and offer.leased_until <= due:
                # Nobody keeps it any more: its group never became whole, or its planner is gone.
                self._cancel(offer)
                self._start_accepted(due)
            else:
                self._end(offer, due)

    def _record_offer(self, now: int) -> None:
        fall = self.pace.record_offer(now)
        if fall is not None:
            self.crashed = self.changed = True
            self.reports.append(fall)

    def _start_admission(self, now: int) -> None:
        if self.queue and not self.admission_ends_at:
            self.admission_ends_at = now + int(
                self.rng.randint(*self.model.admission_time_us) * self.faults.slowdown
            )

    def _finish_admission(self, now: int) -> None:
        first = self.queue.popleft()
        self.admission_ends_at = 0
        if isinstance(first, Offer):
            if first.id in self.offers:
                self._admit(first, now)
        else:
            self.reports.append(HealthChecked(first, *self.free(), self.utilization()))
        self._start_admission(now)

    def _admit(self, offer: Offer, now: int) -> None:
        task = offer.task
        reason = None
        if self.clock >= offer.expires_at:
            # Danger: a node that stood still looks at offers that came before, as if it were still then.
            reason = api.Reason.NOT_HERE
        elif self.faults.rejects(task.task_class, self.rng):
            reason = api.Reason.UNTOLD
        elif offer.dedup_window_us and self._dedup_memory(task).is_repeat(
            (task.client, task.key), offer.id, now
        ):
            reason = api.Reason.NOT_HERE
        else:
            reason = self._make_capacity_for(offer)
        if reason is not None:
            del self.offers[offer.id]
            self._report(offer, "refused", reason=reason)
            return
        offer.state = OfferState.ACCEPTED
        if offer.group is not None:
            offer.leased_until = now + offer.group.lease_us
        self.reservations.add(task)
        self.changed = True
        if offer.dedup_window_us:
            self._dedup_memory(task).running[task.client, task.key] = offer.id
        self._report(offer, "accepted")
        self._start_accepted(now)

    def _make_capacity_for(self, offer: Offer) -> api.Reason | None:
        """None where it fits, if need be after tasks of lower priority were pushed out."""
        reason, victims = self.reservations.check(offer, self.offers.values())
        for victim in victims:
            self._evict(victim, api.Reason.PUSHED_OUT)
        return reason

    def _start_accepted(self, now: int) -> None:
        """Start accepted tasks in the order of their coming, while slots are free."""
        busy = sum(1 for o in self.offers.values() if o.state is OfferState.STARTING)
        for offer in self.offers.values():
            if busy >= self.model.starts_at_once:
                return
            if offer.state is OfferState.ACCEPTED:
                busy += 1
                offer.state = OfferState.STARTING
                work = self.pace.begin_start(offer.task.service, now)
                offer.start_fails = self.faults.fails_start(self.rng)
                if offer.start_fails:
                    work = FAILED_START_US  # and fast: a node like that looks roomy
                offer.ends_at = now + max(1, int(work * self.faults.slowdown * self.rng.uniform(0.8, 1.2)))

    def _end(self, offer: Offer, now: int) -> None:
        if offer.state is OfferState.STARTING and offer.start_fails:
            self._release(offer)
            self._report(offer, "error")
        elif offer.state is OfferState.STARTING and offer.group is not None:
            offer.state, offer.ends_at = OfferState.READY, 0
            self._report(offer, "ready")
        elif offer.state is OfferState.STARTING:
            self._run(offer, now)
        else:
            self._release(offer)
            if offer.dedup_window_us:
                name = offer.task.client, offer.task.key
                self._dedup_memory(offer.task).record_finished(
                    name, offer.received_at + offer.dedup_window_us, now
                )
            if offer.group is not None:
                self.finished.append((now, offer))
            self._report(offer, "ended", api.Result.FINISHED)
        self._start_accepted(now)

    def _run(self, offer: Offer, now: int) -> None:
        offer.state = OfferState.RUNNING
        offer.ends_at = now + offer.task.expected_duration_us if offer.task.expected_duration_us else 0
        self._report(offer, "running")
        task, model = offer.task, self.model
        cores, memory = task.cores * model.cores_use, task.memory * model.memory_use
        self.reports.append(Reported(offer.planner, "usage", offer.id, cores=cores, memory=memory))

    def _evict(self, offer: Offer, reason: api.Reason) -> None:
        self._release(offer)
        if offer.has_begun:
            self._report(offer, "ended", api.Result.LOST, reason)
        else:
            self._report(offer, "refused", reason=api.Reason.NOT_HERE)

    def die(self) -> None:
        """Its process is gone, and its copies with it."""
        self.crashed = True
        for offer in self.offers.values():
            self._forget_running(offer)

    def _dedup_memory(self, task: TaskSpec) -> DedupMemory:
        return self.dedup_memories.of(self.model, task.task_class)

    def _forget_running(self, offer: Offer) -> None:
        standing = self._dedup_memory(offer.task).running
        name = (offer.task.client, offer.task.key)
        if standing.get(name) == offer.id:
            del standing[name]

    def _release(self, offer: Offer) -> None:
        self.offers.pop(offer.id, None)
        if offer.state is OfferState.WAITING:
            return
        task = offer.task
        self.reservations.remove(task)
        self.changed = True
        self._forget_running(offer)
        if offer.state in (OfferState.STARTING, OfferState.READY, OfferState.RUNNING):
            self.pace.end(task.service)

    def _report(
        self,
        offer: Offer,
        what: str,
        result: api.Result | None = None,
        reason: api.Reason = api.Reason.UNTOLD,
        late: bool = False,
    ) -> None:
        self.reports.append(Reported(offer.planner, what, offer.id, result, reason, is_late=late))

"""Model of a node as a state machine: how it admits offers, starts tasks and fails. No I/O and no clock.

The node examines one offer at a time, and its queue of waiting offers is bounded. It accepts tasks while the
capacity that they request stays within its limits. A start takes work, and several times as much if the
program of the task's service is not cached on the node. A cold node starts tasks at a share of its usual pace
and crashes when it is overloaded. A draining node evicts its tasks.
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

FINISHED_US = 30_000_000  # how long finished group members are reported to their planner
MAX_FINISHED = 1_000  # bound on remembered finished group members; the oldest are dropped first
FAILED_START_US = 20_000  # work of a start that fails


class Node:
    """One incarnation of a node. A restart creates a new instance with a later ``started`` time."""

    def __init__(
        self, model: NodeModel, dedup_memories: DedupMemories, seed: int, started: int, cold: bool
    ) -> None:
        self.model = model
        self.dedup_memories = dedup_memories
        self.rng = random.Random(seed)
        self.started = started
        self.pace = NodePace(model, started, cold)
        self.draining = False
        self.crashed = False
        self.faults = NodeFaults()
        self.offers: dict[AttemptId, Offer] = {}
        self.queue: deque[Offer | int] = deque()  # waiting offers, and tokens of health checks
        self.admission_ends_at = 0
        self.reservations = Reservations(model)
        # Finished group members, each with the time of its end.
        self.finished: deque[tuple[int, Offer]] = deque(maxlen=MAX_FINISHED)
        self.changed = True  # whether the node list entry has changed since it was last announced
        self.clock = started  # the latest time that a caller has passed in
        self.reports: list[NodeEvent] = []

    # Inputs: every method takes the current time and returns what the node reports

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
        """Queue an offer for admission, or reject it at once.

        ``said_at`` is the earliest time at which the planner can have sent the offer, or None if that is not
        known. An offer of unknown age is rejected.
        """
        self.reports = []
        self._advance(now)
        if self.crashed or id in self.offers:
            return self.reports
        until = -1 if said_at is None else said_at + wait_us
        offer = Offer(planner, id, task, until, priority, window_us, now, group=group)
        if until <= now:
            # The task of an offer that was delayed in the network may already run on another node. The offer
            # is rejected before it counts as load, or a burst of delayed offers would crash a cold node.
            self._report(offer, "refused", is_late=True)
            return self.reports
        self._record_offer(now)
        if self.crashed:
            return self.reports
        if self.draining:
            self._report(offer, "refused", reason=api.Reason.NOT_HERE)
        elif sum(isinstance(entry, Offer) for entry in self.queue) >= self.model.max_waiting_offers:
            self._report(offer, "refused", reason=api.Reason.QUEUE_FULL)
        else:
            self.offers[id] = offer
            self.queue.append(offer)
            self._start_admission(now)
        return self.reports

    def stop(self, now: int, id: AttemptId) -> list[NodeEvent]:
        """End a task or withdraw an offer, however old the request is.

        A task that has not begun is reported as rejected: it never ran.
        """
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
        """Start running group members that are ready.

        Members that are no longer on the node are skipped: a final report about each was already sent.
        A commit that was delayed in the network could start members of a group that has been released since.
        So a commit whose lease has expired starts nothing, and the members end when their own leases expire.
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
        """Extend leases, counted from when the renewal was sent: a delayed renewal may extend nothing."""
        self.reports = []
        self._advance(now)
        until = 0 if said_at is None else said_at + lease_us
        for id in ids:
            offer = self.offers.get(id)
            if offer is not None and offer.group is not None and offer.leased_until:
                offer.leased_until = max(offer.leased_until, until)
        return self.reports

    def probe(self, now: int, token: int) -> list[NodeEvent]:
        """Queue a health check behind the waiting offers; its result carries ``token``."""
        self.reports = []
        self._advance(now)
        if not self.crashed:
            self.queue.append(token)
            self._start_admission(now)
        return self.reports

    def drain(self, now: int) -> list[NodeEvent]:
        """Evict every task at once and accept no more offers."""
        self.reports = []
        self._advance(now)
        if not self.draining and not self.crashed:
            self.draining = self.changed = True
            self.reports.append(DrainingReported())
            for offer in list(self.offers.values()):
                self._evict(offer, api.Reason.SENT_AWAY)
        return self.reports

    def advance(self, now: int) -> list[NodeEvent]:
        """Process everything that is due by ``now``."""
        self.reports = []
        self._advance(now)
        return self.reports

    def next_due(self) -> int | None:
        """Return the time at which ``advance`` has to be called next, or None if nothing is scheduled."""
        if self.crashed:
            return None
        times = [self.admission_ends_at] if self.queue and self.admission_ends_at else []
        times += [o.ends_at for o in self.offers.values() if o.ends_at]
        times += [o.leased_until for o in self.offers.values() if o.leased_until]
        return min(times, default=None)

    def offers_of(self, planner: int) -> list[Offer]:
        """Return a planner's offers and tasks on this node."""
        return [o for o in self.offers.values() if o.planner == planner]

    def finished_of(self, planner: int, now: int) -> list[Offer]:
        """Return the members of a planner's groups that finished within the last ``FINISHED_US``."""
        while self.finished and self.finished[0][0] < now - FINISHED_US:
            self.finished.popleft()
        return [o for _, o in self.finished if o.planner == planner]

    def free(self) -> tuple[float, float]:
        """Return the cores and the memory that no accepted task reserves."""
        return self.reservations.free_resources()

    def utilization(self) -> float:
        """Return the busy share of the cores; a starting task counts as one busy core."""
        running = sum(o.task.cores for o in self.offers.values() if o.state is OfferState.RUNNING)
        starting = sum(1 for o in self.offers.values() if o.state is OfferState.STARTING)
        return min(1.0, (running * self.model.cores_use + starting) / self.model.cores)

    # Internals

    def _advance(self, now: int) -> None:
        """Process everything that is due by ``now``, in order of time."""
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
                # The lease has expired: the group was never complete, or its planner has stopped renewing.
                self._cancel(offer)
                self._start_accepted(due)
            else:
                self._end(offer, due)

    def _record_offer(self, now: int) -> None:
        crash = self.pace.record_offer(now)
        if crash is not None:
            self.crashed = self.changed = True
            self.reports.append(crash)

    def _start_admission(self, now: int) -> None:
        if self.queue and not self.admission_ends_at:
            self.admission_ends_at = now + int(
                self.rng.randint(*self.model.admission_time_us) * self.faults.slowdown
            )

    def _finish_admission(self, now: int) -> None:
        entry = self.queue.popleft()
        self.admission_ends_at = 0
        if isinstance(entry, Offer):
            if entry.id in self.offers:
                self._admit(entry, now)
        else:
            self.reports.append(HealthChecked(entry, *self.free(), self.utilization()))
        self._start_admission(now)

    def _admit(self, offer: Offer, now: int) -> None:
        task = offer.task
        reason = None
        if self.clock >= offer.expires_at:
            # After a stall of the process, ``now`` is the due time of the admission, which lies in the past.
            # Compared with it, an offer that expired during the stall would still be accepted.
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
        """Return None if the offer fits, where necessary after preempting tasks of lower priority.

        Otherwise return the reason of the rejection.
        """
        reason, victims = self.reservations.check(offer, self.offers.values())
        for victim in victims:
            self._evict(victim, api.Reason.PUSHED_OUT)
        return reason

    def _start_accepted(self, now: int) -> None:
        """Start accepted tasks in their order of arrival while start slots are free."""
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
                    work = FAILED_START_US  # the start fails fast, so the node appears to have free capacity
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
        """Mark the process as ended; none of its tasks counts as running any more."""
        self.crashed = True
        for offer in self.offers.values():
            self._forget_running(offer)

    def _dedup_memory(self, task: TaskSpec) -> DedupMemory:
        return self.dedup_memories.of(self.model, task.task_class)

    def _forget_running(self, offer: Offer) -> None:
        running = self._dedup_memory(offer.task).running
        name = (offer.task.client, offer.task.key)
        if running.get(name) == offer.id:
            del running[name]

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
        kind: str,
        result: api.Result | None = None,
        reason: api.Reason = api.Reason.UNTOLD,
        is_late: bool = False,
    ) -> None:
        self.reports.append(Reported(offer.planner, kind, offer.id, result, reason, is_late=is_late))

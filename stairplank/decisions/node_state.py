"""A planner's view of one listed node: load, own unconfirmed binds, attempts and cached programs."""

from __future__ import annotations

from collections import Counter, deque

from .. import interface as api
from .attempts import Attempt, UnconfirmedChange
from .hashing import splitmix64
from .outlier_ejection import NodeHealth

AMOUNT_TOLERANCE = 1e-4  # amounts of cores or memory that differ by less than this are equal
CACHED_PROGRAMS = 4  # programs assumed to stay cached at a node after their last task; a low estimate
NO_CAPACITY_US = 1_500_000  # how long a rejection for capacity holds for tasks as large, if not updated
MIN_REQUESTED_SHARE = 0.2  # below this requested share of the cores, use over request is mostly noise
NODE_USE_WEIGHT = 0.5  # weight of one report in a node's mean use; high because tasks change within seconds

Amounts = tuple[float, float]  # cores and memory


class Node:
    """State of one listed node in this planner. Invariant: each own bind is counted exactly once."""

    def __init__(self, entry: api.NodeEntry, node_type: api.NodeType) -> None:
        """Start with the free amounts of the list entry; everything else is unknown."""
        self.entry = entry
        self.cores = node_type.cores
        self.memory = node_type.memory
        self.hash = splitmix64(entry.id)
        self.free: Amounts = (entry.free_cores, entry.free_memory)  # newest, from list or load report
        self.as_of = 0  # estimated time at which ``free`` was true
        self.health_checked_at = 0
        self.use: float | None = None  # busy share of the cores over their requested share
        self.unconfirmed: list[UnconfirmedChange] = []
        self.cached_totals: tuple[Amounts, Amounts] | None = None  # of ``requested``; None: outdated
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.services: Counter[int] = Counter()
        self.cached_programs: deque[int] = deque(maxlen=CACHED_PROGRAMS)
        self.slow_start_slot = -1  # start of the time slot that ``slow_start_used`` counts
        self.slow_start_used = 0
        self.health = NodeHealth()
        self.rejected_amounts: tuple[float, float, int] | None = None  # cores, memory, until when
        self.is_draining = False  # set when the node sent a task away, even if it is listed as ready

    def requested(self, with_releases: bool = True) -> Amounts:
        """Return the requested cores and memory: the listed amounts plus own changes not listed yet.

        Without releases the result is an upper bound.
        """
        if self.cached_totals is None:
            cores, memory = self.cores - self.free[0], self.memory - self.free[1]
            changes = self.unconfirmed
            binds = [c for c in changes if c.cores > 0]
            upper_bound = (cores + sum(c.cores for c in binds), memory + sum(c.memory for c in binds))
            exact = (cores + sum(c.cores for c in changes), memory + sum(c.memory for c in changes))
            self.cached_totals = (upper_bound, exact)
        return self.cached_totals[with_releases]

    def update_free(self, free: Amounts, as_of: int) -> None:
        """Apply newer free amounts and drop own changes that they include, so that each is counted once."""
        self.free = free
        self.as_of = as_of
        self.cached_totals = None
        if self.rejected_amounts and self.rejected_amounts[2] < as_of + NO_CAPACITY_US:
            self.rejected_amounts = None
        self.unconfirmed = [c for c in self.unconfirmed if c.at > as_of]

    def update_use(self, busy_share: float) -> float | None:
        """Apply the busy share of the cores; returns the mean use of requested cores, None if unknown."""
        requested_share = (self.cores - self.free[0]) / self.cores
        if requested_share > MIN_REQUESTED_SHARE:
            measured = busy_share / requested_share
            self.use = measured if self.use is None else self.use + NODE_USE_WEIGHT * (measured - self.use)
        return self.use

    def pending_starts(self) -> float:
        """Return the weighted number of own starts that wait at the node; it grows on slow or hung nodes."""
        return sum(a.start_weight for a in self.attempts.values() if not a.placed)

    def unanswered(self) -> int:
        """Return the number of own attempts that the node has not answered."""
        return sum(1 for a in self.attempts.values() if not a.placed)

    def is_warm_for(self, service: int) -> bool:
        """Return whether the service's program is known to be cached at the node."""
        return self.services[service] > 0 or service in self.cached_programs

    def is_in_use(self) -> bool:
        """Return whether the node holds tasks or started recently.

        Recently started nodes count as in use because they may replace drained nodes and must not idle.
        """
        return bool(self.attempts) or self.requested()[0] > AMOUNT_TOLERANCE or self.entry.started_us > 0

    def rejects_amounts(self, task: api.Task, now: int) -> bool:
        """Return whether the node lately rejected a task of this size or smaller for lack of capacity."""
        rejected = self.rejected_amounts
        if not rejected:
            return False
        return task.cores >= rejected[0] and task.memory >= rejected[1] and now < rejected[2]

    def record_no_capacity(self, task: api.Task, now: int) -> None:
        """Record that the node rejected the task for lack of capacity."""
        self.rejected_amounts = (task.cores, task.memory, now + NO_CAPACITY_US)

    def add(self, attempt: Attempt) -> None:
        """Count an attempt at the node."""
        self.attempts[attempt.task.id, attempt.number] = attempt
        self.services[attempt.task.service] += 1

    def bind(self, attempt: Attempt, change: UnconfirmedChange) -> None:
        """Count the amounts of a new attempt until the node list shows them."""
        attempt.unconfirmed_bind = change
        self.unconfirmed.append(change)
        self.cached_totals = None
        self.slow_start_used += 1  # has an effect only while the node is in slow start

    def remove(self, attempt: Attempt, ran: bool) -> None:
        """Remove an attempt that has ended; if it ran, its program is assumed to stay cached."""
        if self.attempts.pop((attempt.task.id, attempt.number), None) is None:
            return
        service = attempt.task.service
        self.services[service] -= 1
        if self.services[service] <= 0:
            del self.services[service]
            if ran and service not in self.cached_programs:
                self.cached_programs.append(service)

    def release(self, attempt: Attempt, proved_not_run: bool, now: int) -> None:
        """Count the release of an ended attempt exactly once.

        The bind of an attempt that never ran is removed. For one that ran, a negative change offsets the
        bind until the node list shows the release.
        """
        self.cached_totals = None
        if proved_not_run:
            change = attempt.unconfirmed_bind
            if change in self.unconfirmed:
                self.unconfirmed.remove(change)
        elif attempt.placed:
            self.rejected_amounts = None
            self.unconfirmed.append(UnconfirmedChange(now, -attempt.task.cores, -attempt.task.memory))

    def restart(self, started_at: int) -> None:
        """Reset the node after a restart: its tasks, cached programs and recorded faults are lost.

        The node list shows the restart late, so attempts sent after ``started_at`` are kept: they were
        bound to the new incarnation and would otherwise run there uncounted.
        """
        self.attempts = {key: a for key, a in self.attempts.items() if a.sent_at >= started_at}
        self.unconfirmed = [c for c in self.unconfirmed if c.at >= started_at]
        self.services = Counter(a.task.service for a in self.attempts.values())
        self.cached_programs.clear()
        self.cached_totals = None
        self.use = None
        self.slow_start_slot = -1
        self.slow_start_used = 0
        self.health = NodeHealth()
        self.is_draining = False

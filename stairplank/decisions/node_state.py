"""What a planner knows of one listed node: its load, own unconfirmed binds, attempts and programs."""

from __future__ import annotations

from collections import Counter, deque

from .. import interface as api
from .attempts import Attempt, UnconfirmedChange
from .hashing import splitmix64
from .outlier_ejection import NodeHealth

AMOUNT_TOLERANCE = 1e-4  # two amounts of cores or memory closer than this are the same
CACHED_PROGRAMS = 4  # programs a node is taken to keep after their last task: the least one may hope for
NO_CAPACITY_US = 1_500_000  # so long a rejection for room stands against as large a task, if not updated
MIN_ASKED_SHARE = 0.2  # below this asked share of the cores, use over asked is mostly noise
NODE_USE_WEIGHT = 0.5  # of one report in a node's running mean of use: tasks change within seconds

Amounts = tuple[float, float]  # cores and memory


class Node:
    """One listed node as this planner sees it. Invariant: each own bind is counted exactly once."""

    def __init__(self, entry: api.NodeEntry, node_type: api.NodeType) -> None:
        """Start with the figures of the list and nothing else known."""
        self.entry = entry
        self.cores = node_type.cores
        self.memory = node_type.memory
        self.hash = splitmix64(entry.id)
        self.free: Amounts = (entry.free_cores, entry.free_memory)  # the freshest, from list or report
        self.as_of = 0  # when they were true, as far as can be told
        self.health_checked_at = 0
        self.use: float | None = None  # busy share of the cores over their asked share
        self.unconfirmed: list[UnconfirmedChange] = []
        self.sums: tuple[Amounts, Amounts] | None = None  # without and with releases; None: outdated
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.services: Counter[int] = Counter()
        self.cached_programs: deque[int] = deque(maxlen=CACHED_PROGRAMS)
        self.slow_start_slot = -1  # begin of the slot that the next counts in
        self.slow_start_used = 0
        self.health = NodeHealth()
        self.rejected_amounts: tuple[float, float, int] | None = None  # cores, memory, until when
        self.drains = False  # a task was sent away from it: it drains, whatever the list says

    def asked(self, with_releases: bool = True) -> Amounts:
        """Cores and memory asked for: the late list and the own later changes."""
        if self.sums is None:
            cores, memory = self.cores - self.free[0], self.memory - self.free[1]
            changes = self.unconfirmed
            binds = [c for c in changes if c.cores > 0]
            upper = (cores + sum(c.cores for c in binds), memory + sum(c.memory for c in binds))
            exact = (cores + sum(c.cores for c in changes), memory + sum(c.memory for c in changes))
            self.sums = (upper, exact)
        return self.sums[with_releases]

    def update_free(self, free: Amounts, as_of: int) -> None:
        """Take fresher figures; own changes they must show are dropped, so that each is counted once."""
        self.free = free
        self.as_of = as_of
        self.sums = None
        if self.rejected_amounts and self.rejected_amounts[2] < as_of + NO_CAPACITY_US:
            self.rejected_amounts = None
        self.unconfirmed = [c for c in self.unconfirmed if c.at > as_of]

    def update_use(self, busy_share: float) -> float | None:
        """Take how much of the cores is busy; returns how much of the asked cores is in use, if known."""
        asked_share = (self.cores - self.free[0]) / self.cores
        if asked_share > MIN_ASKED_SHARE:
            seen = busy_share / asked_share
            self.use = seen if self.use is None else self.use + NODE_USE_WEIGHT * (seen - self.use)
        return self.use

    def pending_starts(self) -> float:
        """Own starts that wait there: slow, frozen and hung nodes show themselves by it."""
        return sum(a.start_weight for a in self.attempts.values() if not a.placed)

    def unanswered(self) -> int:
        """Own attempts without an answer."""
        return sum(1 for a in self.attempts.values() if not a.placed)

    def is_warm_for(self, service: int) -> bool:
        """Whether the service's program is known to be at the node."""
        return self.services[service] > 0 or service in self.cached_programs

    def is_in_use(self) -> bool:
        """It holds tasks or has come up lately, so was wanted: successors of drained nodes must not idle."""
        return bool(self.attempts) or self.asked()[0] > AMOUNT_TOLERANCE or self.entry.started_us > 0

    def rejects_amounts(self, task: api.Task, now: int) -> bool:
        """Whether a rejection for lack of capacity stands against as large a task."""
        rejected = self.rejected_amounts
        if not rejected:
            return False
        return task.cores >= rejected[0] and task.memory >= rejected[1] and now < rejected[2]

    def record_no_capacity(self, task: api.Task, now: int) -> None:
        """The node rejected the task for lack of capacity."""
        self.rejected_amounts = (task.cores, task.memory, now + NO_CAPACITY_US)

    def add(self, attempt: Attempt) -> None:
        """Count an attempt at the node."""
        self.attempts[attempt.task.id, attempt.number] = attempt
        self.services[attempt.task.service] += 1

    def bind(self, attempt: Attempt, change: UnconfirmedChange) -> None:
        """Note the amounts of a new attempt until the list shows them."""
        attempt.unconfirmed_bind = change
        self.unconfirmed.append(change)
        self.sums = None
        self.slow_start_used += 1  # counts only while the node is in slow start

    def remove(self, attempt: Attempt, ran: bool) -> None:
        """Drop an attempt that has ended; the program of one that ran stays cached."""
        if self.attempts.pop((attempt.task.id, attempt.number), None) is None:
            return
        service = attempt.task.service
        self.services[service] -= 1
        if self.services[service] <= 0:
            del self.services[service]
            if ran and service not in self.cached_programs:
                self.cached_programs.append(service)

    def release(self, attempt: Attempt, proved_not_run: bool, now: int) -> None:
        """Count a release once: take back an unseen bind, set off a seen one until the list shows it."""
        self.sums = None
        if proved_not_run:
            change = attempt.unconfirmed_bind
            if change in self.unconfirmed:
                self.unconfirmed.remove(change)
        elif attempt.placed:
            self.rejected_amounts = None
            self.unconfirmed.append(UnconfirmedChange(now, -attempt.task.cores, -attempt.task.memory))

    def restart(self, started_at: int) -> None:
        """It came up anew: what ran or was bound there is gone, and so are its programs and old faults.

        Danger: the list is late; what was bound to the new incarnation by then would run there uncounted.
        """
        self.attempts = {key: a for key, a in self.attempts.items() if a.sent_at >= started_at}
        self.unconfirmed = [c for c in self.unconfirmed if c.at >= started_at]
        self.services = Counter(a.task.service for a in self.attempts.values())
        self.cached_programs.clear()
        self.sums = None
        self.use = None
        self.slow_start_slot = -1
        self.slow_start_used = 0
        self.health = NodeHealth()
        self.drains = False

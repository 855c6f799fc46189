"""A task that is owed an answer: whether and where it may be retried without harm (rules 1 and 2)."""

from __future__ import annotations

from .. import interface as api
from .attempts import Attempt
from .context import Context
from .node_state import Node

GIVE_UP_TICKS = 3  # ticks before the deadline at which a queued task is answered: two to act, one to spare
RETRY_BACKOFF_US = 250_000  # wait before the third attempt after rejections, doubling: haste loses races
TIMEOUT_STARTS = 5.0  # an attempt that may be repeated is given up after so many usual times to an answer
MIN_START_TIMEOUT_US = 1_500_000  # but not before a start from nothing can have ended,
MIN_ACCEPT_TIMEOUT_US = 400_000  # or, where acceptance is the answer, a queue of starts
TIMEOUT_MARGIN = 1.3  # times the time-out that must be left until the deadline
INITIAL_START_US = 1_000_000  # usual time to a start until some have come
INITIAL_ACCEPT_US = 100_000  # the same to an acceptance
ANSWER_TIME_WEIGHT = 0.05  # of one answer in the running mean of the time to an answer


class PendingTask:
    """A task that is owed an answer."""

    __slots__ = (
        "task",
        "task_class",
        "attempts_made",
        "in_flight",
        "tried_nodes",
        "backoff_until",
        "first_risk",
        "error_node",
    )

    def __init__(self, task: api.Task, task_class: api.TaskClass) -> None:
        """Start with no attempt made."""
        self.task = task
        self.task_class = task_class
        self.attempts_made = 0
        self.in_flight: Attempt | None = None
        self.tried_nodes: set[int] = set()
        self.backoff_until = 0
        self.first_risk: Attempt | None = None  # the first attempt that may have run
        self.error_node: Node | None = None  # the first node at which it ended in an error

    def give_up_at(self, tick_us: int) -> int:
        """From here on the task is answered where no attempt is in flight."""
        return self.task.expires_us - GIVE_UP_TICKS * tick_us

    def may_retry(self, now: int, tick_us: int) -> bool:
        """Rule 2: whether a further attempt may go anywhere once an earlier one may have run."""
        first = self.first_risk
        effect = self.task_class.effect
        if first is None or effect is api.Effect.IDEMPOTENT:
            return True
        if effect is not api.Effect.IDEMPOTENT_BY_KEY:
            return False
        return now + 2 * tick_us < first.sent_at + self.task_class.dedup_window_us

    def may_retry_at(self, entry: api.NodeEntry) -> bool:
        """Rule 2: whether a further attempt may go to this node once an earlier one may have run."""
        first = self.first_risk
        if first is None or self.task_class.effect is api.Effect.IDEMPOTENT:
            return True
        scope = self.task_class.dedup_scope
        if scope is api.Scope.ALL:
            return True
        if scope is api.Scope.ZONE:
            return entry.zone == first.zone
        return scope is api.Scope.GROUP and entry.group == first.group

    def may_shed(self) -> bool:
        """Rule 2: to shed a task promises that the client's retry does no harm."""
        return self.first_risk is None or self.is_idempotent_anywhere()

    def is_idempotent_anywhere(self) -> bool:
        """Whether a second start does no harm at any node."""
        effect = self.task_class.effect
        if effect is api.Effect.IDEMPOTENT:
            return True
        return effect is api.Effect.IDEMPOTENT_BY_KEY and self.task_class.dedup_scope is api.Scope.ALL

    def record_ended(self, attempt: Attempt, event: api.Outcome, now: int) -> None:
        """Note how an attempt ended; rejections make the task wait from the third attempt on."""
        if self.in_flight is attempt:
            self.in_flight = None
        if event.result not in api.PROVES_NOT_RUN and self.first_risk is None:
            self.first_risk = attempt
        if event.result is api.Result.REJECTED and self.attempts_made > 1:
            self.backoff_until = now + (RETRY_BACKOFF_US << (self.attempts_made - 2))


class AttemptTimeouts:
    """After which time an attempt is given up, by a running mean of the time to an answer."""

    def __init__(self, context: Context) -> None:
        """Start with the usual time to the answer that the settings name."""
        self._context = context
        confirms_running = context.settings.confirms_running
        self._answer_us = float(INITIAL_START_US if confirms_running else INITIAL_ACCEPT_US)

    def record_answer(self, latency_us: int) -> None:
        """Take the time that one attempt took to its placement."""
        self._answer_us += ANSWER_TIME_WEIGHT * (latency_us - self._answer_us)

    def timeout_us(self, pending: PendingTask) -> int:
        """The time-out of the task's attempt that was just made; 0: none but the deadline.

        A short time-out pays only where a further attempt may go anywhere; else it loses the task.
        """
        settings = self._context.settings
        left = pending.task.expires_us - self._context.now
        least = MIN_START_TIMEOUT_US if settings.confirms_running else MIN_ACCEPT_TIMEOUT_US
        wait = max(least, int(TIMEOUT_STARTS * self._answer_us))
        is_last = pending.attempts_made >= settings.max_attempts
        if not pending.is_idempotent_anywhere() or is_last or wait * TIMEOUT_MARGIN > left:
            return 0
        return wait

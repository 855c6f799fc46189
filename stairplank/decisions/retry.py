"""Retry state of an unanswered task: whether and where it may safely be retried (rules 1 and 2)."""

from __future__ import annotations

from .. import interface as api
from .attempts import Attempt
from .context import Context
from .node_state import Node

GIVE_UP_TICKS = 3  # a queued task is answered this long before its deadline: two ticks to act, one spare
# Wait before the third attempt after rejections; doubles, because quick retries lose races for capacity.
RETRY_BACKOFF_US = 250_000
TIMEOUT_MULTIPLE = 5.0  # time-out of a repeatable attempt, as a multiple of the mean time to an answer
MIN_START_TIMEOUT_US = 1_500_000  # least time-out for a start: a cold start must fit in
MIN_ACCEPT_TIMEOUT_US = 400_000  # least time-out for an acceptance: a queue of starts must fit in
TIMEOUT_MARGIN = 1.3  # time left until the deadline must be at least this multiple of the time-out
INITIAL_START_US = 1_000_000  # assumed time to a confirmed start until the first ones are recorded
INITIAL_ACCEPT_US = 100_000  # assumed time to an acceptance until the first ones are recorded
ANSWER_TIME_WEIGHT = 0.05  # weight of one sample in the running mean of the time to an answer


class PendingTask:
    """A task whose client has not been answered yet."""

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
        self.error_node: Node | None = None  # the first node at which an attempt ended in an error

    def give_up_at(self, tick_us: int) -> int:
        """Return the time from which the task is rejected or failed if no attempt is in flight."""
        return self.task.expires_us - GIVE_UP_TICKS * tick_us

    def may_retry(self, now: int, tick_us: int) -> bool:
        """Return whether any further attempt is safe (rule 2).

        Once an attempt may have run, the class must be idempotent, or its deduplication window still open.
        """
        first = self.first_risk
        effect = self.task_class.effect
        if first is None or effect is api.Effect.IDEMPOTENT:
            return True
        if effect is not api.Effect.IDEMPOTENT_BY_KEY:
            return False
        return now + 2 * tick_us < first.sent_at + self.task_class.dedup_window_us

    def may_retry_at(self, entry: api.NodeEntry) -> bool:
        """Return whether a further attempt at this node is safe (rule 2).

        Once an attempt may have run, the node must be in the deduplication scope of that attempt's node.
        """
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
        """Return whether the task may be shed (rule 2).

        Shedding tells the client that a retry is safe, which is untrue if an attempt may have run and a
        second start at some node would do harm.
        """
        return self.first_risk is None or self.is_idempotent_anywhere()

    def is_idempotent_anywhere(self) -> bool:
        """Return whether a second start is harmless at every node."""
        effect = self.task_class.effect
        if effect is api.Effect.IDEMPOTENT:
            return True
        return effect is api.Effect.IDEMPOTENT_BY_KEY and self.task_class.dedup_scope is api.Scope.ALL

    def record_ended(self, attempt: Attempt, event: api.Outcome, now: int) -> None:
        """Record how an attempt ended; a rejection delays the third and later attempts."""
        if self.in_flight is attempt:
            self.in_flight = None
        if event.result not in api.PROVES_NOT_RUN and self.first_risk is None:
            self.first_risk = attempt
        if event.result is api.Result.REJECTED and self.attempts_made > 1:
            self.backoff_until = now + (RETRY_BACKOFF_US << (self.attempts_made - 2))


class AttemptTimeouts:
    """Computes attempt time-outs from a running mean of the time to an answer."""

    def __init__(self, context: Context) -> None:
        """Start with the initial mean for the kind of answer that the settings select."""
        self._context = context
        confirms_running = context.settings.confirms_running
        self._answer_us = float(INITIAL_START_US if confirms_running else INITIAL_ACCEPT_US)

    def record_answer(self, latency_us: int) -> None:
        """Add the time from an attempt's send to its placement to the running mean."""
        self._answer_us += ANSWER_TIME_WEIGHT * (latency_us - self._answer_us)

    def timeout_us(self, pending: PendingTask) -> int:
        """Return the time-out of the task's newest attempt; 0 means that only the deadline applies.

        A short time-out helps only if a further attempt may go to any node; otherwise the task would fail.
        """
        settings = self._context.settings
        remaining = pending.task.expires_us - self._context.now
        minimum = MIN_START_TIMEOUT_US if settings.confirms_running else MIN_ACCEPT_TIMEOUT_US
        timeout = max(minimum, int(TIMEOUT_MULTIPLE * self._answer_us))
        is_last = pending.attempts_made >= settings.max_attempts
        if not pending.is_idempotent_anywhere() or is_last or timeout * TIMEOUT_MARGIN > remaining:
            return 0
        return timeout

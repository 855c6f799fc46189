"""Which nodes are ejected for a time because they failed: state and rules of one node.

An ejected node gets no task until its ejection ends. Symptoms count, whatever lies behind them.
"""

from __future__ import annotations

from .. import interface as api

BASE_EJECTION_US = 700_000  # first ejection of a node that failed; doubles with each further failure
UNRESPONSIVE_EJECTION_US = 2_000_000  # the same of an unresponsive one: it is checked at the end of each
MAX_EJECTION_US = 8_000_000  # long enough for a reboot, short enough to find a healed node again
MAX_ERROR_EJECTION_US = 1_000_000  # after a quick error: a retry costs little, idle nodes cost much
MAX_DOUBLINGS = 8  # of an ejection
SUCCESS_CREDIT = 0.34  # of a failure that a good start makes up for: one that fails every third stays out
CLASS_REJECTION_US = 8_000_000  # so long a class rests at a node that rejects it; doubles
MAX_CLASS_REJECTION_US = 32_000_000


class NodeHealth:
    """What is known of the faults of one node. Times are microseconds on the caller's clock."""

    def __init__(self) -> None:
        """Start with no fault known."""
        self.consecutive_failures = 0.0  # a success makes up for a part of one
        self.ejected_until = 0
        self.suspected_tasks: dict[int, int] = {}  # tasks that ended in an error here: ejected until then
        self.unresponsive = False  # gave no answer, and has not been heard since
        self.unresponsive_since = 0  # when it last gave no answer; 0: never
        self.answered_at = 0  # its first answer after that; 0: none yet
        # Class and tenant that it rejected without a reason: until when, and for how long.
        self.class_rejections: dict[tuple[int, int], tuple[int, int]] = {}

    def is_ejected(self, now: int) -> bool:
        """Whether the node gets no task now."""
        if now < self.ejected_until:
            return True
        return bool(self.suspected_tasks) and any(now < t for t in self.suspected_tasks.values())

    def rejects(self, class_index: int, tenant: int, now: int) -> bool:
        """Whether the node is taken to reject this class of this tenant."""
        return now < self.class_rejections.get((class_index, tenant), (0, 0))[0]

    def eject(self, now: int, first_us: int, longest_us: int) -> None:
        """Eject the node, longer each time.

        Danger: a node that fails fast looks empty and draws tasks.
        """
        if now >= self.ejected_until or self.consecutive_failures == 0:
            self.consecutive_failures += 1
        self.eject_until(now + min(self._doubled(first_us), longest_us))

    def eject_until(self, until: int) -> None:
        """Eject the node at least until then; counts as no failure."""
        self.ejected_until = max(self.ejected_until, until)

    def record_error(self, task_id: int, now: int) -> None:
        """Eject the node, unless the error turns out to be the task's own."""
        self.suspected_tasks = {t: until for t, until in self.suspected_tasks.items() if until > now}
        if not self.suspected_tasks or self.consecutive_failures == 0:
            self.consecutive_failures += 1
        self.suspected_tasks[task_id] = now + min(self._doubled(BASE_EJECTION_US), MAX_ERROR_EJECTION_US)

    def absolve(self, task_id: int) -> None:
        """Take back the error of a task that was at fault itself."""
        if self.suspected_tasks.pop(task_id, None) is not None and not self.suspected_tasks:
            self.consecutive_failures = max(0.0, self.consecutive_failures - 1)

    def record_rejection(self, task: api.Task, now: int) -> None:
        """Keep the task's class and tenant away for a time.

        Danger: a node may reject one class or tenant alone, slowly; the others' use of it stands.
        """
        key = (task.class_index, task.tenant)
        until, span = self.class_rejections.get(key, (0, CLASS_REJECTION_US // 2))
        span = span if now < until else min(2 * span, MAX_CLASS_REJECTION_US)
        self.class_rejections[key] = (now + span, span)

    def record_unresponsive(self, now: int) -> None:
        """The node gave no answer: eject it and forget when it last answered."""
        self.eject(now, UNRESPONSIVE_EJECTION_US, MAX_EJECTION_US)
        self.unresponsive_since = now
        self.answered_at = 0

    def record_answer(self, now: int) -> None:
        """The node answered, whatever it said."""
        self.answered_at = self.answered_at or now

    def record_success(self) -> None:
        """A task has started well at the node."""
        self.consecutive_failures = max(0.0, self.consecutive_failures - SUCCESS_CREDIT)
        self.unresponsive = False

    def _doubled(self, first_us: int) -> int:
        return int(first_us * 2 ** min(self.consecutive_failures - 1, MAX_DOUBLINGS))

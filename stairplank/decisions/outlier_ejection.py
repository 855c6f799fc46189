"""Outlier ejection: the state and rules by which one node is temporarily excluded after failures.

An ejected node gets no task until its ejection ends. Every failure counts, whatever its cause.
"""

from __future__ import annotations

from .. import interface as api

BASE_EJECTION_US = 700_000  # first ejection after a failure; doubles with each further failure
UNRESPONSIVE_EJECTION_US = 2_000_000  # first ejection of an unresponsive node; a health check follows
MAX_EJECTION_US = 8_000_000  # long enough for a reboot, short enough to find a recovered node soon
MAX_ERROR_EJECTION_US = 1_000_000  # limit after a quick error: a retry is cheap, an idle node is not
MAX_DOUBLINGS = 8  # limit on how often an ejection doubles
SUCCESS_CREDIT = 0.34  # failures that one good start offsets; a node failing every third start stays out
CLASS_REJECTION_US = 8_000_000  # first pause of a class at a node that rejects it; doubles
MAX_CLASS_REJECTION_US = 32_000_000


class NodeHealth:
    """Holds the recorded failures of one node. Times are microseconds on the caller's clock."""

    def __init__(self) -> None:
        """Start with no recorded failure."""
        self.consecutive_failures = 0.0  # a success offsets a part of one failure
        self.ejected_until = 0
        # Tasks that ended in an error here, and the end of the ejection for each.
        self.suspected_tasks: dict[int, int] = {}
        self.unresponsive = False  # did not answer, and has not answered since
        self.unresponsive_since = 0  # when an answer was last missing; 0: never
        self.answered_at = 0  # first answer after ``unresponsive_since``; 0: none yet
        # Maps a class and tenant that the node rejected without a reason to the pause's end and length.
        self.class_rejections: dict[tuple[int, int], tuple[int, int]] = {}

    def is_ejected(self, now: int) -> bool:
        """Return whether the node is excluded from selection at ``now``."""
        if now < self.ejected_until:
            return True
        return bool(self.suspected_tasks) and any(now < t for t in self.suspected_tasks.values())

    def rejects(self, class_index: int, tenant: int, now: int) -> bool:
        """Return whether this class and tenant are paused at the node after a rejection."""
        return now < self.class_rejections.get((class_index, tenant), (0, 0))[0]

    def eject(self, now: int, initial_us: int, max_us: int) -> None:
        """Eject the node, for longer each time.

        Without ejection a node that fails fast looks empty and attracts tasks.
        """
        if now >= self.ejected_until or self.consecutive_failures == 0:
            self.consecutive_failures += 1
        self.eject_until(now + min(self._doubled(initial_us), max_us))

    def eject_until(self, until: int) -> None:
        """Eject the node at least until ``until`` without counting a failure."""
        self.ejected_until = max(self.ejected_until, until)

    def record_error(self, task_id: int, now: int) -> None:
        """Eject the node for a task's error, which ``withdraw_error`` can undo."""
        self.suspected_tasks = {t: until for t, until in self.suspected_tasks.items() if until > now}
        if not self.suspected_tasks or self.consecutive_failures == 0:
            self.consecutive_failures += 1
        self.suspected_tasks[task_id] = now + min(self._doubled(BASE_EJECTION_US), MAX_ERROR_EJECTION_US)

    def withdraw_error(self, task_id: int) -> None:
        """Undo the recorded error of a task that turned out to be faulty itself."""
        if self.suspected_tasks.pop(task_id, None) is not None and not self.suspected_tasks:
            self.consecutive_failures = max(0.0, self.consecutive_failures - 1)

    def record_rejection(self, task: api.Task, now: int) -> None:
        """Pause the task's class and tenant at this node, for longer each time.

        A node may reject only one class or tenant, and slowly; it stays usable for all others.
        """
        key = (task.class_index, task.tenant)
        until, span = self.class_rejections.get(key, (0, CLASS_REJECTION_US // 2))
        span = span if now < until else min(2 * span, MAX_CLASS_REJECTION_US)
        self.class_rejections[key] = (now + span, span)

    def record_unresponsive(self, now: int) -> None:
        """Eject the node because an answer is missing, and clear the time of its last answer."""
        self.eject(now, UNRESPONSIVE_EJECTION_US, MAX_EJECTION_US)
        self.unresponsive_since = now
        self.answered_at = 0

    def record_answer(self, now: int) -> None:
        """Record the time of the first answer, of any kind, after the node was unresponsive."""
        self.answered_at = self.answered_at or now

    def record_success(self) -> None:
        """Record that a task started successfully at the node."""
        self.consecutive_failures = max(0.0, self.consecutive_failures - SUCCESS_CREDIT)
        self.unresponsive = False

    def _doubled(self, initial_us: int) -> int:
        return int(initial_us * 2 ** min(self.consecutive_failures - 1, MAX_DOUBLINGS))

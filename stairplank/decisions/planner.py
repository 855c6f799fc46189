"""One planner: routes each event to the modules that it concerns and returns the resulting actions.

Usual calls for a task: ``_request`` -> ``_try_place`` -> ``NodeSelector.select`` -> ``_bind``; then, on the
node's answer, ``_record_placed`` and ``_record_outcome``.
"""

from __future__ import annotations

from .. import interface as api
from .attempts import Attempt, UnconfirmedChange
from .context import Context
from .health_checks import HealthChecks
from .list_delay import ListDelay
from .load import LoadModel
from .node_state import Node
from .node_table import NodeTable
from .outcomes import OutcomeRecorder
from .retry import AttemptTimeouts, PendingTask
from .selection import NodeSelector
from .slow_start import SlowStart
from .spread import SpreadCounts
from .task_queue import TaskQueue

SHED_RETRY_AFTER_US = 200_000  # Retry-After of a shed task; clients wait at least a second regardless
COLD_START_WEIGHT = 8.0  # a cold start counts as this many warm ones: the program must be fetched first

TaskEvent = (
    api.TaskRequested | api.TaskAdopted | api.Placed | api.Outcome | api.TaskCancelled | api.StatusUpdate
)


class Planner:
    """One planner: ``handle`` takes the time and an event and returns the actions to carry out.

    Times are whole microseconds on the caller's clock and never decrease. Invariant: a task has at most one
    attempt in flight, and is answered exactly once.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Create a planner that knows no node yet; ``seed`` makes its random choices reproducible."""
        self.context = Context(settings, seed)
        list_delay = ListDelay()
        slow_start = SlowStart(self.context, list_delay)
        self.table = NodeTable(self.context, list_delay, slow_start)
        self.load = LoadModel(self.context)
        self.spread = SpreadCounts(self.context)
        self.selector = NodeSelector(self.context, self.table, self.load, slow_start, self.spread)
        self.health_checks = HealthChecks(self.context, self.table, self.load)
        self.outcomes = OutcomeRecorder(self.context, self.health_checks, self.load)
        self.timeouts = AttemptTimeouts(self.context)
        self.queue = TaskQueue(self.context, self._try_place)
        self.pending: dict[int, PendingTask] = {}  # tasks that are not answered yet, by id
        # Attempts without an outcome, by task id and number.
        self.attempts: dict[tuple[int, int], Attempt] = {}

    @property
    def settings(self) -> api.Settings:
        """The settings in force; new settings apply from the next event on."""
        return self.context.settings

    @settings.setter
    def settings(self, settings: api.Settings) -> None:
        self.context.settings = settings

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Process one event; returns the actions to carry out, in order."""
        context = self.context
        context.now = now
        context.actions = []
        match event:
            case api.Started():
                context.started_at = now
                self.table.watch()
            case api.NodeList():
                self.table.update(event)
            case api.HealthChecked():
                self.health_checks.record_result(event)
            case api.TimerFired(token):
                context.fire_timer(token)
            case _:
                self._handle_task(event)
        return context.actions

    def _handle_task(self, event: TaskEvent) -> None:
        match event:
            case api.TaskRequested(task):
                self._request(task)
            case api.TaskAdopted(task, node):
                self._adopt(task, node)
            case api.Placed():
                self._record_placed(event)
            case api.Outcome():
                self._record_outcome(event)
            case api.TaskCancelled(task_id):
                self._close(task_id)
            case api.StatusUpdate():
                self._record_status(event)

    def _request(self, task: api.Task) -> None:
        settings = self.context.settings
        if task.id in self.pending or not 0 <= task.class_index < len(settings.classes):
            return
        pending = self.pending[task.id] = PendingTask(task, settings.classes[task.class_index])
        self.context.set_timer(pending.give_up_at(settings.tick_us), lambda: self._reach_deadline(task.id))
        self.health_checks.check_least_recent()
        self._try_place(pending)

    def _try_place(self, pending: PendingTask) -> None:
        """Bind the task to a node, queue it if none fits, or give up if no further attempt is allowed."""
        self.queue.remove(pending.task.id)
        now = self.context.now
        settings = self.context.settings
        if pending.attempts_made >= settings.max_attempts or not pending.may_retry(now, settings.tick_us):
            self._give_up(pending)
            return
        node = self.selector.select(pending) if now >= pending.backoff_until else None
        if node is not None:
            self._bind(pending, node)
        else:
            self.queue.add(pending)

    def _bind(self, pending: PendingTask, node: Node) -> None:
        task = pending.task
        now = self.context.now
        attempt = Attempt(task, pending.attempts_made, node.entry.id, node.entry, now)
        attempt.start_weight = 1.0 if node.is_warm_for(task.service) else COLD_START_WEIGHT
        node.bind(attempt, UnconfirmedChange(now, task.cores, task.memory))
        pending.attempts_made += 1
        pending.in_flight = attempt
        pending.tried_nodes.add(node.entry.id)
        self._count(attempt, node)
        self.context.actions.append(api.Bind(task.id, node.entry.id, self.timeouts.timeout_us(pending)))

    def _count(self, attempt: Attempt, node: Node | None) -> None:
        self.attempts[attempt.task.id, attempt.number] = attempt
        if node is not None:
            node.add(attempt)
        self.spread.add(attempt)

    def _adopt(self, task: api.Task, node_id: int) -> None:
        """Count a task that is already running; the node list shows it, so no unconfirmed bind is added."""
        classes = self.context.settings.classes
        if (task.id, 0) in self.attempts or not 0 <= task.class_index < len(classes):
            return
        node = self.table.nodes.get(node_id)
        attempt = Attempt(task, 0, node_id, node.entry if node else None, self.context.now)
        attempt.placed = True
        self._count(attempt, node)

    def _record_placed(self, event: api.Placed) -> None:
        attempt = self.attempts.get((event.task, event.attempt))
        if attempt is None:
            return
        attempt.placed = True
        self.timeouts.record_answer(event.latency_us)
        node = self._node_of(attempt)
        if node is not None:
            node.health.record_answer(self.context.now)
            if self.context.settings.confirms_running:
                node.health.record_success()
        self._close(event.task)

    def _record_status(self, event: api.StatusUpdate) -> None:
        attempt = self.attempts.get((event.task, event.attempt))
        node = self._node_of(attempt) if attempt else None
        self.outcomes.record_status(node, attempt, event)

    def _record_outcome(self, event: api.Outcome) -> None:
        attempt = self.attempts.pop((event.task, event.attempt), None)
        if attempt is None:
            return
        self.spread.remove(attempt)
        self.load.record_report(self.table.nodes.get(event.node), event.report)
        pending = self.pending.get(event.task)
        node = self._node_of(attempt)
        if node is not None:
            self.outcomes.record_outcome(node, attempt, pending, event)
        if pending is None or event.is_final:
            self._close(event.task)
            return
        now = self.context.now
        pending.record_ended(attempt, event, now)
        if pending.in_flight is not None:
            return
        if now >= pending.give_up_at(self.context.settings.tick_us):
            self._give_up(pending)
        else:
            self._try_place(pending)

    def _node_of(self, attempt: Attempt) -> Node | None:
        """Return the node of an attempt, or None if it is unlisted or has restarted since."""
        return self.table.node_of(attempt.node, max(attempt.node_started_at, attempt.sent_at))

    def _reach_deadline(self, task_id: int) -> None:
        """Answer the task at its deadline (rule 1).

        An attempt still in flight gets half of the answer slack, because its outcome may come late. After
        that the task fails, so that the client is answered in any case.
        """
        pending = self.pending.get(task_id)
        if pending is None:
            return
        settings = self.context.settings
        last_chance = pending.task.expires_us + settings.answer_slack_us // 2
        if pending.in_flight is not None and self.context.now < last_chance - settings.tick_us:
            self.context.set_timer(last_chance, lambda: self._reach_deadline(task_id))
        else:
            self._give_up(pending)

    def _give_up(self, pending: PendingTask) -> None:
        """Shed the task if the client may safely retry it, else fail it."""
        task_id = pending.task.id
        if pending.in_flight is None and pending.may_shed():
            retry_after_us = min(SHED_RETRY_AFTER_US, self.context.settings.max_retry_after_us)
            self.context.actions.append(api.Shed(task_id, retry_after_us))
        else:
            self.context.actions.append(api.Fail(task_id))
        self._close(task_id)

    def _close(self, task_id: int) -> None:
        self.pending.pop(task_id, None)
        self.queue.remove(task_id)

"""Attempts at machines, from the decision module's bind to the machine's last message. No I/O or clock.

Invariants (tests/platform/test_platform_core.py):

1. Each bind of the decision module gets exactly one outcome. An outcome that proves that the task did not run
   is reported only if no complete message was written, or if the machine reported so: never after a complete
   write on a connection that broke or carried a malformed message.
2. A task has at most one attempt that is waiting, sent or running: an earlier attempt is abandoned before
   another is sent.
3. Nothing is sent to a machine that is known to be draining or removed.
4. A machine may still report that an abandoned attempt runs. The task's class decides whether that copy is
   released or left running for its client to find; a duplicate of a task that already runs is always
   released.
5. A second message of a machine on the same task changes nothing.
6. When a running task is released at the request of its client or of the decision module, the outcome
   follows once the machine has confirmed the release or is lost, or when the released attempt expires. Until
   then the task counts as running there: it may, and a further task of its service would break the
   spread of the service.

Table: ``table`` (``attempt_table``); ``in_flight`` is the number of attempts that are waiting or sent.
"""

from __future__ import annotations

from typing import Protocol

from .. import interface as api
from ..planner import abandoned_attempts
from ..planner.abandoned_attempts import DuplicateAction, PlacementState
from ..planner.event_loop import EventLoop
from . import events as ev
from . import validation
from .attempt_table import AttemptTable
from .messages import END_CAUSES, Cause, Kind, Message
from .tables import ATTEMPT_TRANSITIONS, Attempt, AttemptState, MachinePlace, OutboundRequest, Task
from .task_table import TaskTable

MAX_IN_FLIGHT = 4096  # attempts; above this number placement requests are rejected
UNANSWERED_US = 100_000  # an attempt abandoned this shortly before its deadline counts as unanswered
REASONS = {
    "nc": api.Reason.NO_CORES,
    "nm": api.Reason.NO_MEMORY,
    "nq": api.Reason.QUEUE_FULL,
    "nh": api.Reason.NOT_HERE,
    "ev": api.Reason.EVICTED,
    "pre": api.Reason.PUSHED_OUT,
    "dr": api.Reason.SENT_AWAY,
}
STATUS_KINDS = {
    "live": api.StatusKind.RUNNING,
    "c": api.StatusKind.CORES_USED,
    "m": api.StatusKind.MEMORY_USED,
    "s": api.StatusKind.SERVED_SHARE,
    "p": api.StatusKind.NODE_MEMORY_SHARE,
}
_IN_FLIGHT = (AttemptState.WAITING, AttemptState.SENT)


_RUN_RESULTS = {int(Cause.ENDED): api.Result.FINISHED, int(Cause.CANCELLED): api.Result.CANCELLED}
_REJECTION_RESULTS = {
    int(Cause.FULL): api.Result.REJECTED,
    int(Cause.ERROR): api.Result.ERROR,
    int(Cause.NOT_SENT): api.Result.NOT_SENT,
}


class Links(Protocol):
    """The methods of the connections to machines that attempts use."""

    def send(self, request: OutboundRequest) -> None: ...
    def send_message(self, link: int, message: Message) -> None: ...
    def complete(self, request: OutboundRequest, *, unanswered: bool = False) -> None: ...
    def is_ready(self, machine: int) -> bool: ...
    def place_of(self, machine: int) -> MachinePlace | None: ...
    def add_running(self, machine: int, by: int) -> None: ...
    def incarnation_of(self, machine: int) -> int: ...
    def predecessor_of(self, machine: int) -> int: ...


class ReleaseOrders(Protocol):
    """The methods of the releases to machines that attempts use."""

    def order(self, machine: int, task_id: str, cause: Cause, link: int = 0) -> None: ...
    def order_on_next_link(self, machine: int, task_id: str, cause: Cause) -> None: ...
    def is_pending(self, machine: int, task_id: str) -> bool: ...
    def confirmed(self, machine: int, task_id: str) -> None: ...
    def drop(self, machine: int, task_id: str) -> None: ...


class Adoption(Protocol):
    """The methods of the adoption of running tasks that attempts use."""

    def task_ended(self, machine: int, message: Message) -> None: ...


class ClientRequests(Protocol):
    """The methods of the clients' requests that attempts use."""

    def placed(self, task: Task, body: str) -> None: ...
    def ended(self, task: Task, cause: int | None) -> None: ...
    def migrated(self, task: Task) -> None: ...


class Attempts:
    """Tracks all attempts at machines, from the decision module's bind to the machine's last message."""

    def __init__(
        self, loop: EventLoop, settings: api.Settings, report_fields: tuple[str, ...], tasks: TaskTable
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.tasks = tasks
        self.report_fields = report_fields
        self.links: Links
        self.releases: ReleaseOrders
        self.requests: ClientRequests
        self.adoption: Adoption
        self.table = AttemptTable(loop, self._report_due_outcome)
        self.in_flight = 0

    def start(self) -> None:
        """Start the periodic removal of expired abandoned attempts."""
        self.table.start()

    def is_full(self) -> bool:
        """Return whether further placement requests must be rejected."""
        return self.in_flight >= MAX_IN_FLIGHT

    # Actions of the decision module

    def bind(self, action: api.Bind) -> None:
        """Send a task to a machine, or report the outcome "not sent" if it may not be sent there."""
        task = self.tasks.by_number.get(action.task)
        if task is None:
            return
        attempt = self._new_attempt(task, action)
        if not self._may_start(attempt):
            self._report_outcome(attempt, api.Result.NOT_SENT)
            return
        task.attempt = attempt
        self.table.add(attempt)
        self.in_flight += 1
        self.loop.count("binds")
        self.loop.call_at(attempt.due_at, self._timed_out, attempt)
        self.links.send(attempt)

    def _new_attempt(self, task: Task, action: api.Bind) -> Attempt:
        now = self.loop.now
        due_at = min(now + action.timeout_us, task.expires_at) if action.timeout_us else task.expires_at
        place = self.links.place_of(action.node)
        attempt = Attempt(task, task.attempt_count, action.node, now, due_at, place=place)
        task.attempt_count += 1
        return attempt

    def _may_start(self, attempt: Attempt) -> bool:
        task = attempt.task
        if task.attempt is not None or task.placement_state is not PlacementState.OPEN:
            return False
        # A message on an earlier attempt with this id at this machine may still be in flight. If a late
        # "full" were taken as the new attempt's answer, it would prove that a task which runs there never
        # ran.
        # An unconfirmed release of this id would end the new attempt.
        is_known = (attempt.machine, task.id) in self.table.by_machine_and_id
        if is_known or self.releases.is_pending(attempt.machine, task.id):
            self.loop.count("duplicate_attempts")
            return False
        return self.links.is_ready(attempt.machine) and self.loop.now < attempt.due_at

    def stop_attempt(self, action: api.StopAttempt) -> None:
        """Abandon an attempt on the decision module's request, if it is still in flight."""
        attempt = self._attempt_of(action.task)
        if attempt is not None and attempt.number == action.attempt and attempt.state in _IN_FLIGHT:
            self._recall(attempt, api.Result.CANCELLED)

    def evict(self, action: api.Evict) -> None:
        """End a running task at its machine and have its client request it again."""
        attempt = self._attempt_of(action.task)
        if attempt is not None and attempt.state is AttemptState.RUNNING:
            self._order_release(attempt, Cause.CANCELLED)
            self.requests.migrated(attempt.task)
            attempt.outcome_due = True

    def _attempt_of(self, task_number: int) -> Attempt | None:
        task = self.tasks.by_number.get(task_number)
        return task.attempt if task is not None else None

    # Messages to machines

    def may_send(self, attempt: Attempt) -> bool:
        """Return whether an attempt's message may be sent to its machine now."""
        task_class = self.settings.classes[attempt.task.request.class_index]
        if not self.links.is_ready(attempt.machine) or self.links.place_of(attempt.machine) != attempt.place:
            return False
        if task_class.effect is not api.Effect.IDEMPOTENT_BY_KEY or not attempt.task.may_have_run_since:
            return True
        window_end = attempt.task.may_have_run_since + task_class.dedup_window_us
        return self.loop.now + 2 * self.settings.tick_us < window_end

    def message_of(self, attempt: Attempt) -> Message:
        """Return the placement request for an attempt, with the time that is left until its deadline."""
        placement = attempt.task.request
        remaining_ms = max(1, (attempt.due_at - self.loop.now) // 1000)
        fields = {"class": placement.spec.task_class, "key": placement.key, "left": str(remaining_ms)}
        if placement.idem:
            fields["idem"] = placement.idem
        return Message(Kind.PLACE, attempt.id, fields, body=attempt.task.body)

    # Requests of clients

    def withdrawn(self, task: Task) -> None:
        """Recall the task's attempt in flight: the task was answered or its client has disconnected."""
        if task.attempt is not None and task.attempt.state in _IN_FLIGHT:
            self._recall(task.attempt, api.Result.CANCELLED)

    def release(self, task: Task) -> None:
        """End a running task at its machine, as its client requested."""
        attempt = task.attempt
        if attempt is not None and attempt.state is AttemptState.RUNNING:
            self._order_release(attempt, Cause.CANCELLED)
            self.requests.ended(task, None)
            attempt.outcome_due = True

    def adopt(self, task: Task, machine: int) -> None:
        """Record a task that already runs at the machine as a running attempt."""
        old = self.table.find(machine, task.id)
        if old is not None:
            self.table.forget_abandoned(old)
            self._report_due_outcome(old)
        # The client looks after the task again, so an earlier release must not end it.
        self.releases.drop(machine, task.id)
        attempt = Attempt(task, 0, machine, self.loop.now, task.expires_at, AttemptState.RUNNING)
        attempt.incarnation = self.links.incarnation_of(machine)
        task.attempt = attempt
        self.table.add(attempt)
        self.links.add_running(machine, 1)

    # Events of the links

    def written(self, attempt: Attempt) -> None:
        """Record that the attempt's message was written to a connection."""
        attempt.state = self.loop.transition(ATTEMPT_TRANSITIONS, attempt.state, "written")

    def not_written(self, attempt: Attempt) -> bool:
        """Record that not every byte of the attempt's message was sent. Return whether to send it again."""
        if attempt.state is not AttemptState.SENT:
            return False
        attempt.state = self.loop.transition(ATTEMPT_TRANSITIONS, attempt.state, "not written")
        return True

    def unreachable(self, attempt: Attempt, result: api.Result) -> None:
        """End an attempt whose message was never sent."""
        if attempt.state is AttemptState.WAITING:
            self._finish(attempt, result)

    def recall(self, attempt: Attempt) -> None:
        """Notify the machine that the attempt is abandoned, before its connection is closed."""
        if attempt.state is AttemptState.SENT:
            message = Message(Kind.RELEASE, attempt.id, cause=int(Cause.ENDED))
            self.loop.emit(ev.SendToMachine(attempt.link, message))

    def broken(self, attempt: Attempt) -> None:
        """Abandon an attempt whose connection broke after a complete write.

        The machine may have accepted the task all the same, so the outcome proves nothing.
        """
        if attempt.state is AttemptState.SENT:
            self._abandon(attempt)
            self._report_outcome(attempt, api.Result.LOST)

    def machine_lost(self, machine: int, before: int | None = None) -> None:
        """End all tasks at a machine that is unreachable, was removed or has restarted.

        ``before``: when the machine restarted; tasks that started later are kept.
        """
        for attempt in self.table.at(machine):
            # An adopted task may have started before the machine restarted although it was adopted later;
            # counted from its adoption, it would stay in the table forever. Its last status update counts
            # instead. The cost: an adopted task that started after the restart may be ended, and is requested
            # again.
            since = attempt.last_status_at if attempt.task.request.at else attempt.started_at
            if before is None or since < before:
                self._lost(attempt)

    def process_lost(self, machine: int, incarnation: int) -> int:
        """End all tasks of a process that is gone from a machine's address. Return how many ran."""
        attempts = [attempt for attempt in self.table.at(machine) if attempt.incarnation == incarnation]
        running_count = sum(attempt.state is AttemptState.RUNNING for attempt in attempts)
        for attempt in attempts:
            self._lost(attempt)
        return running_count

    def _lost(self, attempt: Attempt) -> None:
        """End an attempt whose process is gone, if it runs."""
        self._report_due_outcome(attempt)
        if attempt.state is AttemptState.RUNNING:
            self.loop.count("lost_with_machine")
            # If the process comes back and still runs the task, it must end it then.
            self._order_release(attempt, Cause.CANCELLED)
            self.requests.ended(attempt.task, int(Cause.RESET))
            self._report_outcome(attempt, api.Result.LOST, closed=True)

    def received(self, machine: int, link: int, message: Message) -> None:
        """Handle a machine's message on a task; a release of an unknown task is acknowledged too."""
        attempt = self.table.find(machine, message.id)
        if attempt is None:
            # The task may have been sent to this machine's address while that was listed for another one.
            attempt = self.table.find(self.links.predecessor_of(machine), message.id)
            machine = attempt.machine if attempt is not None else machine
        if message.kind is Kind.RELEASE:
            self.links.send_message(link, Message(Kind.ACKNOWLEDGEMENT, message.id))
        if message.kind in (Kind.RELEASE, Kind.ACKNOWLEDGEMENT):
            self.releases.confirmed(machine, message.id)
        if attempt is None:
            self.loop.count("unknown_messages")
            if message.kind is Kind.RELEASE and message.cause in END_CAUSES:
                self.adoption.task_ended(machine, message)
            return
        match message.kind:
            case Kind.ANSWER:
                self._answer_received(attempt, message, link)
            case Kind.RELEASE:
                self._release_received(attempt, message)
            case Kind.STATUS_UPDATE if attempt.state is AttemptState.RUNNING:
                self._status_received(attempt, message)

    # State changes of an attempt

    def _answer_received(self, attempt: Attempt, message: Message, link: int) -> None:
        if attempt.state is AttemptState.SENT:
            self._remove_in_flight(attempt)
            attempt.state = self.loop.transition(ATTEMPT_TRANSITIONS, attempt.state, "accepted")
            self.links.add_running(attempt.machine, 1)
            task = attempt.task
            self.requests.placed(task, message.body or "")
            took_us = self.loop.now - attempt.started_at
            self.loop.notify_module(api.Placed(task.number, attempt.number, attempt.machine, took_us))
        elif attempt.state is AttemptState.ABANDONED:
            effect = self.settings.classes[attempt.task.request.class_index].effect
            duplicate_action = abandoned_attempts.duplicate_action(effect, attempt.task.placement_state)
            self.loop.count("abandoned_" + duplicate_action.value)
            if duplicate_action is DuplicateAction.STOP:
                self._order_release(attempt, Cause.CANCELLED, link)

    def _release_received(self, attempt: Attempt, message: Message) -> None:
        if attempt.state is AttemptState.SENT and message.cause == Cause.ENDED and message.body:
            # A successful end with a task description is the answer and the end in one message. Handled as a
            # reset, the task would be sent to other machines and this one would count as unresponsive.
            self.loop.count("answered_and_ended")
            self._answer_received(attempt, message, attempt.link)
        if attempt.state is AttemptState.RUNNING:
            self._run_ended(attempt, message)
        elif attempt.state is AttemptState.SENT:
            self._rejected(attempt, message)
        else:
            self.table.forget_abandoned(attempt)

    def _run_ended(self, attempt: Attempt, message: Message) -> None:
        """End a running attempt after its machine's release message."""
        cause = message.cause or 0
        result = _RUN_RESULTS.get(cause, api.Result.LOST)
        report = validation.load_report_in(message, self.report_fields)
        self.links.add_running(attempt.machine, -1)
        self.table.end(attempt)
        self.requests.ended(attempt.task, cause)
        self._report_outcome(attempt, result, _reason_in(message), report, closed=True)

    def _rejected(self, attempt: Attempt, message: Message) -> None:
        """End a sent attempt that its machine rejected, failed or lost."""
        result = _REJECTION_RESULTS.get(message.cause or 0, api.Result.LOST)
        self.loop.count("ended_" + result.value)
        report = validation.load_report_in(message, self.report_fields)
        self._finish(attempt, result, _reason_in(message), report)

    def _status_received(self, attempt: Attempt, message: Message) -> None:
        attempt.last_status_at = self.loop.now
        kind = STATUS_KINDS.get(message.fields.get("note", ""))
        level = validation.parse_load_report("v:" + message.fields.get("value", "0"), ("v",))
        if kind is not None and level:
            self.loop.notify_module(
                api.StatusUpdate(attempt.task.number, attempt.number, attempt.machine, kind, level[0])
            )

    def _timed_out(self, attempt: Attempt) -> None:
        if attempt.state in _IN_FLIGHT:
            self.loop.count("ended_timeout")
            self._recall(attempt, api.Result.TIMEOUT)

    def _recall(self, attempt: Attempt, result: api.Result) -> None:
        """Abandon an attempt in flight that its machine may have accepted, or may still accept."""
        if attempt.state is AttemptState.WAITING:
            self._finish(attempt, api.Result.NOT_SENT)
            return
        # The release is sent before ``complete``, which may close the connection. After it, only the close
        # would end the attempt, and the copy that is sent to another machine in this turn might start first.
        message = Message(Kind.RELEASE, attempt.id, cause=int(Cause.ENDED))
        self.links.send_message(attempt.link, message)
        self.links.complete(attempt, unanswered=self.loop.now > attempt.due_at - UNANSWERED_US)
        self._abandon(attempt)
        self._report_outcome(attempt, result)

    def _order_release(self, attempt: Attempt, cause: Cause, link: int = 0) -> None:
        """Order the machine to end a task, at once or as soon as a connection to it comes up."""
        if attempt.state is AttemptState.RUNNING:
            self.links.add_running(attempt.machine, -1)
            self.table.retain_abandoned(attempt)
        attempt.state = self.loop.transition(ATTEMPT_TRANSITIONS, attempt.state, "released")
        self.releases.order(attempt.machine, attempt.id, cause, link)

    def _abandon(self, attempt: Attempt) -> None:
        self._remove_in_flight(attempt)
        attempt.state = self.loop.transition(ATTEMPT_TRANSITIONS, attempt.state, "abandoned")
        self.table.retain_abandoned(attempt)
        # The machine may have answered on a connection that then broke. Nobody would end that copy.
        effect = self.settings.classes[attempt.task.request.class_index].effect
        duplicate_action = abandoned_attempts.duplicate_action(effect, attempt.task.placement_state)
        if duplicate_action is DuplicateAction.STOP:
            self.releases.order_on_next_link(attempt.machine, attempt.id, Cause.CANCELLED)

    def _finish(
        self,
        attempt: Attempt,
        result: api.Result,
        reason: api.Reason = api.Reason.UNTOLD,
        report: tuple[float, ...] = (),
    ) -> None:
        self.links.complete(attempt)
        self._remove_in_flight(attempt)
        self.table.end(attempt)
        self._report_outcome(attempt, result, reason, report)

    def _remove_in_flight(self, attempt: Attempt) -> None:
        self.in_flight -= 1
        if attempt.state is AttemptState.SENT:
            self.links.complete(attempt)

    def release_settled(self, machine: int, task_id: str) -> None:
        """Report the outcome of a release that its machine has confirmed, or that is given up."""
        attempt = self.table.find(machine, task_id)
        if attempt is not None:
            self._report_due_outcome(attempt)

    def _report_due_outcome(self, attempt: Attempt) -> None:
        """Report the outcome of a released attempt, if it was held back until now."""
        if attempt.outcome_due:
            attempt.outcome_due = False
            self._report_outcome(attempt, api.Result.CANCELLED, closed=True)

    def _report_outcome(
        self,
        attempt: Attempt,
        result: api.Result,
        reason: api.Reason = api.Reason.UNTOLD,
        report: tuple[float, ...] = (),
        closed: bool = False,
    ) -> None:
        task = attempt.task
        if task.attempt is attempt:
            task.attempt = None
        closed = closed or task.placement_state is not PlacementState.OPEN
        took_us = self.loop.now - attempt.started_at
        if result not in api.PROVES_NOT_RUN and task.is_proven_not_run:
            task.is_proven_not_run = False
            task.may_have_run_since = attempt.started_at
        self.loop.notify_module(
            api.Outcome(task.number, attempt.number, attempt.machine, result, closed, reason, took_us, report)
        )


def _reason_in(message: Message) -> api.Reason:
    return REASONS.get(message.fields.get("note", ""), api.Reason.UNTOLD)

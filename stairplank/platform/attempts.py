"""The second table: attempts at machines. No I/O or clock.

Invariants (tests/platform/test_platform_core.py):

1. Each bind of the module gets one outcome. One that proves that nothing ran is reported only where no whole
   message left, or where the machine said so: never after a whole write on a connection that broke or was
   spoilt.
2. A task has at most one attempt that is waiting, sent or standing: an earlier one is given up before
   another goes.
3. Nothing is sent to a machine that is known to drain or to be gone.
4. Of a given-up attempt the machine may still report that it stands. By its class it is released, or left
   standing for its client to find; a copy beside one that stands is always released.
5. A machine's second message on a task changes nothing.

Tables: ``by_machine_and_id``, and the same attempts ``by_machine`` (leftovers included, for ``ABANDONED_US``,
at most ``MAX_ABANDONED``); ``tests`` by id.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

from .. import interface as api
from ..planner import abandoned_attempts
from ..planner.abandoned_attempts import Copy, PlacementState
from ..planner.event_loop import EventLoop
from . import events as ev
from . import validation
from .messages import END_CAUSES, Cause, Kind, Message
from .tables import ATTEMPT_TRANSITIONS, Attempt, AttemptState, HealthCheck, OutboundRequest, Task
from .task_table import TaskTable

ABANDONED_US = 30_000_000
MAX_ABANDONED = 8192
MAX_IN_FLIGHT = 4096  # attempts under way: set-ups are turned away beyond
UNANSWERED_US = 100_000  # given up so near its time, an attempt got no answer
SWEEP_US = 1_000_000
HEALTH_CHECK_TIMEOUT_US = 500_000  # a test is answered by then, or has failed
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


class Links(Protocol):
    def send(self, request: OutboundRequest) -> None: ...
    def send_message(
        self, machine: int, message: Message, link: int = 0, *, must_arrive: bool = False
    ) -> None: ...
    def complete(self, request: OutboundRequest, *, unanswered: bool = False) -> None: ...
    def is_ready(self, machine: int) -> bool: ...
    def place_of(self, machine: int) -> tuple[int, int, int] | None: ...
    def add_running(self, machine: int, by: int) -> None: ...


class Adoption(Protocol):
    def task_ended(self, machine: int, message: Message) -> None: ...


class ClientRequests(Protocol):
    def placed(self, task: Task, body: str) -> None: ...
    def ended(self, task: Task, cause: int | None) -> None: ...
    def migrated(self, task: Task) -> None: ...


class Attempts:
    def __init__(
        self, loop: EventLoop, settings: api.Settings, fields: tuple[str, ...], tasks: TaskTable
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.tasks = tasks
        self.fields = fields
        self.links: Links
        self.requests: ClientRequests
        self.adoption: Adoption
        self.by_machine_and_id: dict[tuple[int, str], Attempt] = {}
        # The same by machine. Danger: where many leave at once, looking through all for each is a stall.
        self.by_machine: dict[int, dict[str, Attempt]] = {}
        self.health_checks: dict[str, HealthCheck] = {}
        self.in_flight = 0
        self._abandoned: deque[Attempt] = deque()

    def start(self) -> None:
        self.loop.call_at(self.loop.now + SWEEP_US, self._sweep)

    def is_full(self) -> bool:
        return self.in_flight >= MAX_IN_FLIGHT

    # Actions of the decision module

    def bind(self, action: api.Bind) -> None:
        task = self.tasks.by_number.get(action.task)
        if task is None:
            return
        now = self.loop.now
        due = min(now + action.timeout_us, task.expires_at) if action.timeout_us else task.expires_at
        attempt = Attempt(
            task, task.attempt_count, action.node, now, due, place=self.links.place_of(action.node)
        )
        task.attempt_count += 1
        if task.attempt is not None or task.placement_state is not PlacementState.OPEN:
            self._report_outcome(attempt, api.Result.NOT_SENT)
            return
        # Danger: of an earlier attempt under this id at this machine a message may be on its way; taken for
        # the new one's, a late "full" would prove that what runs there never did.
        if (action.node, task.id) in self.by_machine_and_id:
            self.loop.count("same_again")
            self._report_outcome(attempt, api.Result.NOT_SENT)
            return
        if not self.links.is_ready(action.node) or now >= due:
            self._report_outcome(attempt, api.Result.NOT_SENT)
            return
        task.attempt = attempt
        self._add(attempt)
        self.in_flight += 1
        self.loop.count("binds")
        self.loop.call_at(due, self._timed_out, attempt)
        self.links.send(attempt)

    def stop_attempt(self, action: api.StopAttempt) -> None:
        task = self.tasks.by_number.get(action.task)
        attempt = task.attempt if task is not None else None
        if attempt is not None and attempt.number == action.attempt and attempt.state in _IN_FLIGHT:
            self._give_up(attempt, api.Result.CANCELLED)

    def evict(self, action: api.Evict) -> None:
        task = self.tasks.by_number.get(action.task)
        attempt = task.attempt if task is not None else None
        if task is not None and attempt is not None and attempt.state is AttemptState.RUNNING:
            self._order_release(attempt, Cause.CANCELLED)
            self.requests.migrated(task)
            self._report_outcome(attempt, api.Result.CANCELLED, closed=True)

    def health_check_requested(self, action: api.HealthCheck) -> None:
        test = HealthCheck(f"{self.loop.next_number() | 1 << 63:016x}", action.node, self.loop.now)
        self.loop.count("probes")
        self.check_health(test)

    def check_health(self, check: HealthCheck) -> None:
        self.health_checks[check.id] = check
        self.loop.call_at(check.started_at + HEALTH_CHECK_TIMEOUT_US, self._health_check_timed_out, check)
        self.links.send(check)

    def may_send(self, request: OutboundRequest) -> bool:
        """Whether it may still go to its machine, now."""
        if isinstance(request, HealthCheck):
            return True
        task_class = self.settings.classes[request.task.request.class_index]
        if not self.links.is_ready(request.machine) or self.links.place_of(request.machine) != request.place:
            return False
        if task_class.effect is not api.Effect.IDEMPOTENT_BY_KEY or not request.task.may_have_run_since:
            return True
        window_end = request.task.may_have_run_since + task_class.dedup_window_us
        return self.loop.now + 2 * self.settings.tick_us < window_end

    def message_of(self, request: OutboundRequest) -> Message:
        """What is written for it, now."""
        if isinstance(request, HealthCheck):
            return Message(
                Kind.HEALTH_CHECK, request.id, cause=int(request.is_requested)
            )  # 1 asks for the load report too
        placement = request.task.request
        left_ms = max(1, (request.due_at - self.loop.now) // 1000)
        fields = {"class": placement.spec.task_class, "key": placement.key, "left": str(left_ms)}
        if placement.idem:
            fields["idem"] = placement.idem
        return Message(Kind.PLACE, request.id, fields, body=request.task.body)

    # Requests of clients

    def withdrawn(self, task: Task) -> None:
        """The task got its answer, or its client has gone: what is under way is called back."""
        if task.attempt is not None and task.attempt.state in _IN_FLIGHT:
            self._give_up(task.attempt, api.Result.CANCELLED)

    def release(self, task: Task) -> None:
        """Its client ends a task that stands."""
        attempt = task.attempt
        if attempt is not None and attempt.state is AttemptState.RUNNING:
            self._order_release(attempt, Cause.CANCELLED)
            self.requests.ended(task, None)
            self._report_outcome(attempt, api.Result.CANCELLED, closed=True)

    def adopt(self, task: Task, machine: int) -> None:
        old = self.by_machine_and_id.get((machine, task.id))
        if old is not None:
            self._forget(old)
        attempt = Attempt(task, 0, machine, self.loop.now, task.expires_at, AttemptState.RUNNING)
        task.attempt = attempt
        self._add(attempt)
        self.links.add_running(machine, 1)

    # Events of the links

    def written(self, request: OutboundRequest, link: int) -> None:
        request.link = link
        if isinstance(request, Attempt):
            request.state = self.loop.transition(ATTEMPT_TRANSITIONS, request.state, "written")

    def not_written(self, request: OutboundRequest) -> bool:
        """Not every byte of it left: whether it is to be sent again."""
        request.link = 0
        if isinstance(request, HealthCheck):
            return request.id in self.health_checks
        if request.state is not AttemptState.SENT:
            return False
        request.state = self.loop.transition(ATTEMPT_TRANSITIONS, request.state, "not written")
        return True

    def unreachable(self, request: OutboundRequest, result: api.Result = api.Result.UNREACHABLE) -> None:
        """It never left."""
        if isinstance(request, HealthCheck):
            self._health_checked(request, False)
        elif request.state is AttemptState.WAITING:
            self._over(request, result)

    def recall(self, request: OutboundRequest) -> None:
        """Its connection is about to be closed: its machine is notified that it is given up."""
        if isinstance(request, Attempt) and request.state is AttemptState.SENT:
            message = Message(Kind.RELEASE, request.id, cause=int(Cause.ENDED))
            self.loop.emit(ev.SendToMachine(request.link, message))

    def broken(self, request: OutboundRequest) -> None:
        """Its connection is no more, after a whole write. Danger: the machine may have taken it all the
        same."""
        if isinstance(request, HealthCheck):
            self._health_checked(request, False)
        elif request.state is AttemptState.SENT:
            self._abandon(request)
            self._report_outcome(request, api.Result.LOST)

    def machine_lost(self, machine: int, before: int | None = None) -> None:
        """It died, left or started anew (``before``): what stood there is over."""
        for attempt in list(self.by_machine.get(machine, {}).values()):
            # Danger: a task that was adopted after that start may have stood before it, and would stand
            # here for good. When it does harm: one that was placed after it is cut, and comes again.
            since = attempt.last_status_at if attempt.task.request.at else attempt.started_at
            if before is not None and since >= before:
                continue
            if attempt.state is AttemptState.RUNNING:
                self.loop.count("lost_with_machine")
                self._abandon(attempt, standing=True)
                self.requests.ended(attempt.task, int(Cause.RESET))
                self._report_outcome(attempt, api.Result.LOST, closed=True)

    def received(self, machine: int, link: int, message: Message) -> None:
        if message.kind is Kind.HEALTH_CHECK_RESULT:
            test = self.health_checks.get(message.id)
            if test is not None and test.machine == machine:
                self._health_checked(test, message.cause == 1, self._load_report(message))
            return
        attempt = self.by_machine_and_id.get((machine, message.id))
        if message.kind is Kind.RELEASE:
            self.links.send_message(machine, Message(Kind.ACKNOWLEDGEMENT, message.id), link)
        if attempt is None:
            self.loop.count("unknown_words")
            if message.kind is Kind.RELEASE and message.cause in END_CAUSES:
                self.adoption.task_ended(machine, message)
            return
        match message.kind:
            case Kind.ANSWER:
                self._answered(attempt, message, link)
            case Kind.RELEASE:
                self._released(attempt, message)
            case Kind.STATUS_UPDATE if attempt.state is AttemptState.RUNNING:
                self._status_received(attempt, message)

    # What becomes of an attempt

    def _answered(self, attempt: Attempt, message: Message, link: int) -> None:
        if attempt.state is AttemptState.SENT:
            self._leave_flight(attempt)
            attempt.state = self.loop.transition(ATTEMPT_TRANSITIONS, attempt.state, "accepted")
            self.links.add_running(attempt.machine, 1)
            task = attempt.task
            self.requests.placed(task, message.body or "")
            took = self.loop.now - attempt.started_at
            self.loop.notify_module(api.Placed(task.number, attempt.number, attempt.machine, took))
        elif attempt.state is AttemptState.ABANDONED:
            effect = self.settings.classes[attempt.task.request.class_index].effect
            verdict = abandoned_attempts.on_word(effect, attempt.task.placement_state)
            self.loop.count("leftover_" + verdict.value)
            if verdict is Copy.STOP:
                self._order_release(attempt, Cause.CANCELLED, link)

    def _released(self, attempt: Attempt, message: Message) -> None:
        if attempt.state is AttemptState.SENT and message.cause == Cause.ENDED and message.body:
            # Ended well, with a description: the answer and the end in one. Danger: taken for a reset, it
            # would be sent to other machines, and this one would count as silent.
            self.loop.count("answered_and_ended")
            self._answered(attempt, message, attempt.link)
        cause, reason = message.cause or 0, REASONS.get(message.fields.get("note", ""), api.Reason.UNTOLD)
        if attempt.state is AttemptState.RUNNING:
            result = {
                int(Cause.ENDED): api.Result.FINISHED,
                int(Cause.CANCELLED): api.Result.CANCELLED,
            }.get(cause, api.Result.LOST)
            self.links.add_running(attempt.machine, -1)
            self._end(attempt)
            self.requests.ended(attempt.task, cause)
            self._report_outcome(attempt, result, reason, self._load_report(message), closed=True)
        elif attempt.state is AttemptState.SENT:
            result = {
                int(Cause.FULL): api.Result.REJECTED,
                int(Cause.ERROR): api.Result.ERROR,
                int(Cause.NOT_SENT): api.Result.NOT_SENT,
            }.get(cause, api.Result.LOST)
            self.loop.count("ended_" + result.value)
            self._over(attempt, result, reason, self._load_report(message))
        elif attempt.state in (AttemptState.ABANDONED, AttemptState.RELEASED):
            self._forget(attempt)

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
            self._give_up(attempt, api.Result.TIMEOUT)

    def _give_up(self, attempt: Attempt, result: api.Result) -> None:
        """Call it back. The machine may have taken it, or take it still."""
        if attempt.state is AttemptState.WAITING:
            self._over(attempt, api.Result.NOT_SENT)
            return
        # Danger: sent once its connection is done with, it would be given up only by the close, and the copy
        # that goes elsewhere in this turn may be there first.
        message = Message(Kind.RELEASE, attempt.id, cause=int(Cause.ENDED))
        self.links.send_message(attempt.machine, message, attempt.link)
        self.links.complete(attempt, unanswered=self.loop.now > attempt.due_at - UNANSWERED_US)
        self._abandon(attempt)
        self._report_outcome(attempt, result)

    def _order_release(self, attempt: Attempt, cause: Cause, link: int = 0) -> None:
        """Tell the machine to end what stands there."""
        if attempt.state is AttemptState.RUNNING:
            self.links.add_running(attempt.machine, -1)
            self._remember_abandoned(attempt)
        attempt.state = self.loop.transition(ATTEMPT_TRANSITIONS, attempt.state, "released")
        message = Message(Kind.RELEASE, attempt.id, cause=int(cause))
        self.links.send_message(attempt.machine, message, link, must_arrive=True)

    def _abandon(self, attempt: Attempt, standing: bool = False) -> None:
        if standing:
            # Its machine is out of reach: if it comes back with the task, the task must end there.
            self._order_release(attempt, Cause.CANCELLED)
            return
        self._leave_flight(attempt)
        attempt.state = self.loop.transition(ATTEMPT_TRANSITIONS, attempt.state, "abandoned")
        self._remember_abandoned(attempt)

    def _remember_abandoned(self, attempt: Attempt) -> None:
        attempt.forget_at = self.loop.now + ABANDONED_US
        self._abandoned.append(attempt)
        self._prune()

    def _sweep(self, _: None) -> None:
        self.loop.call_at(self.loop.now + SWEEP_US, self._sweep)
        self._prune()

    def _prune(self) -> None:
        while self._abandoned and (
            self._abandoned[0].forget_at <= self.loop.now or len(self._abandoned) > MAX_ABANDONED
        ):
            self._forget(self._abandoned.popleft())

    def _forget(self, attempt: Attempt) -> None:
        if attempt.state in (AttemptState.ABANDONED, AttemptState.RELEASED):
            self._end(attempt)

    def _over(
        self,
        attempt: Attempt,
        result: api.Result,
        reason: api.Reason = api.Reason.UNTOLD,
        report: tuple[float, ...] = (),
    ) -> None:
        self.links.complete(attempt)
        self._leave_flight(attempt)
        self._end(attempt)
        self._report_outcome(attempt, result, reason, report)

    def _leave_flight(self, attempt: Attempt) -> None:
        self.in_flight -= 1
        if attempt.state is AttemptState.SENT:
            self.links.complete(attempt)

    def _add(self, attempt: Attempt) -> None:
        self.by_machine_and_id[attempt.machine, attempt.id] = attempt
        self.by_machine.setdefault(attempt.machine, {})[attempt.id] = attempt

    def _end(self, attempt: Attempt) -> None:
        attempt.state = self.loop.transition(ATTEMPT_TRANSITIONS, attempt.state, "ended")
        if self.by_machine_and_id.get((attempt.machine, attempt.id)) is attempt:
            del self.by_machine_and_id[attempt.machine, attempt.id]
            there = self.by_machine[attempt.machine]
            del there[attempt.id]
            if not there:
                del self.by_machine[attempt.machine]

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
        took = self.loop.now - attempt.started_at
        if result not in api.PROVES_NOT_RUN and task.is_proven_not_run:
            task.is_proven_not_run, task.may_have_run_since = False, attempt.started_at
        self.loop.notify_module(
            api.Outcome(task.number, attempt.number, attempt.machine, result, closed, reason, took, report)
        )

    # Tests

    def _health_checked(self, check: HealthCheck, ok: bool, report: tuple[float, ...] = ()) -> None:
        if self.health_checks.pop(check.id, None) is None:
            return
        self.links.complete(check)
        if check.is_requested:
            took = self.loop.now - check.started_at
            self.loop.notify_module(api.HealthChecked(check.machine, ok, took, report if ok else ()))

    def _health_check_timed_out(self, check: HealthCheck) -> None:
        if check.id in self.health_checks:
            self.links.complete(check, unanswered=True)
            self._health_checked(check, False)

    def _load_report(self, message: Message) -> tuple[float, ...]:
        load = message.fields.get("load", "")
        return validation.parse_load_report(load, self.fields) if load else ()

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

Tables: ``by_machine_and_id``, and the same attempts ``by_machine`` (leftovers included, for ``LEFTOVER_US``,
at most ``LEFTOVERS_MOST``); ``tests`` by id.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

from .. import interface as api
from ..planner import abandoned_attempts
from ..planner.abandoned_attempts import DuplicateAction, PlacementState
from ..planner.event_loop import EventLoop
from . import events as ev
from . import validation
from .messages import ENDS, Cause, Kind, Message
from .tables import ATTEMPT, Attempt, AttemptState, Task, Test
from .task_table import TaskTable

LEFTOVER_US = 30_000_000
LEFTOVERS_MOST = 8192
ATTEMPTS_MOST = 4096  # attempts under way: set-ups are turned away beyond
SILENT_US = 100_000  # given up so near its time, an attempt got no answer
SWEEP_US = 1_000_000
TEST_US = 500_000  # a test is answered by then, or has failed
REASONS = {
    "nc": api.Reason.NO_CORES,
    "nm": api.Reason.NO_MEMORY,
    "nq": api.Reason.QUEUE_FULL,
    "nh": api.Reason.NOT_HERE,
    "ev": api.Reason.EVICTED,
    "pre": api.Reason.PUSHED_OUT,
    "dr": api.Reason.SENT_AWAY,
}
NOTES = {
    "live": api.StatusKind.RUNNING,
    "c": api.StatusKind.CORES_USED,
    "m": api.StatusKind.MEMORY_USED,
    "s": api.StatusKind.SERVED_SHARE,
    "p": api.StatusKind.NODE_MEMORY_SHARE,
}
_UNDER_WAY = (AttemptState.WAITING, AttemptState.SENT)


class Links(Protocol):
    def send(self, thing: Attempt | Test) -> None: ...
    def send_message(self, machine: int, message: Message, link: int = 0, *, keep: bool = False) -> None: ...
    def done(self, thing: Attempt | Test, *, silent: bool = False) -> None: ...
    def is_open_to(self, machine: int) -> bool: ...
    def place_of(self, machine: int) -> tuple[int, int, int] | None: ...
    def add_standing(self, machine: int, by: int) -> None: ...


class Adoption(Protocol):
    def task_ended(self, machine: int, message: Message) -> None: ...


class ClientRequests(Protocol):
    def placed(self, task: Task, body: str) -> None: ...
    def ended(self, task: Task, cause: int | None) -> None: ...
    def moved(self, task: Task) -> None: ...


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
        self.tests: dict[str, Test] = {}
        self.under_way = 0
        self._leftovers: deque[Attempt] = deque()

    def start(self) -> None:
        self.loop.call_at(self.loop.now + SWEEP_US, self._sweep)

    def is_full(self) -> bool:
        return self.under_way >= ATTEMPTS_MOST

    # Actions of the decision module

    def bind(self, action: api.Bind) -> None:
        task = self.tasks.by_number.get(action.task)
        if task is None:
            return
        now = self.loop.now
        due = min(now + action.timeout_us, task.expires) if action.timeout_us else task.expires
        attempt = Attempt(task, task.shots, action.node, now, due, place=self.links.place_of(action.node))
        task.shots += 1
        if task.attempt is not None or task.fate is not PlacementState.OPEN:
            self._report_outcome(attempt, api.Result.NOT_SENT)
            return
        # Danger: of an earlier attempt under this id at this machine a message may be on its way; taken for
        # the new one's, a late "full" would prove that what runs there never did.
        if (action.node, task.id) in self.by_machine_and_id:
            self.loop.count("same_again")
            self._report_outcome(attempt, api.Result.NOT_SENT)
            return
        if not self.links.is_open_to(action.node) or now >= due:
            self._report_outcome(attempt, api.Result.NOT_SENT)
            return
        task.attempt = attempt
        self._add(attempt)
        self.under_way += 1
        self.loop.count("binds")
        self.loop.call_at(due, self._timed_out, attempt)
        self.links.send(attempt)

    def stop_attempt(self, action: api.StopAttempt) -> None:
        task = self.tasks.by_number.get(action.task)
        attempt = task.attempt if task is not None else None
        if attempt is not None and attempt.shot == action.attempt and attempt.stage in _UNDER_WAY:
            self._give_up(attempt, api.Result.CANCELLED)

    def evict(self, action: api.Evict) -> None:
        task = self.tasks.by_number.get(action.task)
        attempt = task.attempt if task is not None else None
        if task is not None and attempt is not None and attempt.stage is AttemptState.STANDING:
            self._order_release(attempt, Cause.CANCELLED)
            self.requests.moved(task)
            self._report_outcome(attempt, api.Result.CANCELLED, closed=True)

    def probe(self, action: api.HealthCheck) -> None:
        test = Test(f"{self.loop.next_number() | 1 << 63:016x}", action.node, self.loop.now)
        self.loop.count("probes")
        self.test(test)

    def test(self, test: Test) -> None:
        self.tests[test.id] = test
        self.loop.call_at(test.began + TEST_US, self._test_over, test)
        self.links.send(test)

    def may_leave(self, thing: Attempt | Test) -> bool:
        """Whether it may still go to its machine, now."""
        if isinstance(thing, Test):
            return True
        sort = self.settings.classes[thing.task.request.class_index]
        if not self.links.is_open_to(thing.machine) or self.links.place_of(thing.machine) != thing.place:
            return False
        if sort.effect is not api.Effect.IDEMPOTENT_BY_KEY or not thing.task.risk_at:
            return True
        return self.loop.now + 2 * self.settings.tick_us < thing.task.risk_at + sort.dedup_window_us

    def message_of(self, thing: Attempt | Test) -> Message:
        """What is written for it, now."""
        if isinstance(thing, Test):
            return Message(Kind.TEST, thing.id, cause=int(thing.asked))  # 1 asks for the load report too
        request = thing.task.request
        left = max(1, (thing.due - self.loop.now) // 1000)
        fields = {"class": request.spec.task_class, "key": request.key, "left": str(left)}
        if request.idem:
            fields["idem"] = request.idem
        return Message(Kind.SET_UP, thing.id, fields, body=thing.task.body)

    # Requests of clients

    def withdrawn(self, task: Task) -> None:
        """The task got its answer, or its client has gone: what is under way is called back."""
        if task.attempt is not None and task.attempt.stage in _UNDER_WAY:
            self._give_up(task.attempt, api.Result.CANCELLED)

    def release(self, task: Task) -> None:
        """Its client ends a task that stands."""
        attempt = task.attempt
        if attempt is not None and attempt.stage is AttemptState.STANDING:
            self._order_release(attempt, Cause.CANCELLED)
            self.requests.ended(task, None)
            self._report_outcome(attempt, api.Result.CANCELLED, closed=True)

    def adopt(self, task: Task, machine: int) -> None:
        old = self.by_machine_and_id.get((machine, task.id))
        if old is not None:
            self._forget(old)
        attempt = Attempt(task, 0, machine, self.loop.now, task.expires, AttemptState.STANDING)
        task.attempt = attempt
        self._add(attempt)
        self.links.add_standing(machine, 1)

    # Events of the links

    def written(self, thing: Attempt | Test, link: int) -> None:
        thing.link = link
        if isinstance(thing, Attempt):
            thing.stage = self.loop.transition(ATTEMPT, thing.stage, "written")

    def not_written(self, thing: Attempt | Test) -> bool:
        """Not every byte of it left: whether it is to be sent again."""
        thing.link = 0
        if isinstance(thing, Test):
            return thing.id in self.tests
        if thing.stage is not AttemptState.SENT:
            return False
        thing.stage = self.loop.transition(ATTEMPT, thing.stage, "not written")
        return True

    def unreachable(self, thing: Attempt | Test, result: api.Result = api.Result.UNREACHABLE) -> None:
        """It never left."""
        if isinstance(thing, Test):
            self._tested(thing, False)
        elif thing.stage is AttemptState.WAITING:
            self._over(thing, result)

    def called_back(self, thing: Attempt | Test) -> None:
        """Its connection is about to be closed: its machine is notified that it is given up."""
        if isinstance(thing, Attempt) and thing.stage is AttemptState.SENT:
            message = Message(Kind.RELEASE, thing.id, cause=int(Cause.ENDED))
            self.loop.emit(ev.SendToMachine(thing.link, message))

    def broken(self, thing: Attempt | Test) -> None:
        """Its connection is no more, after a whole write. Danger: the machine may have taken it all the
        same."""
        if isinstance(thing, Test):
            self._tested(thing, False)
        elif thing.stage is AttemptState.SENT:
            self._keep_as_leftover(thing)
            self._report_outcome(thing, api.Result.LOST)

    def machine_lost(self, machine: int, before: int | None = None) -> None:
        """It died, left or started anew (``before``): what stood there is over."""
        for attempt in list(self.by_machine.get(machine, {}).values()):
            # Danger: a task that was adopted after that start may have stood before it, and would stand
            # here for good. When it does harm: one that was placed after it is cut, and comes again.
            since = attempt.noted if attempt.task.request.at else attempt.began
            if before is not None and since >= before:
                continue
            if attempt.stage is AttemptState.STANDING:
                self.loop.count("lost_with_machine")
                self._keep_as_leftover(attempt, standing=True)
                self.requests.ended(attempt.task, int(Cause.RESET))
                self._report_outcome(attempt, api.Result.LOST, closed=True)

    def received(self, machine: int, link: int, message: Message) -> None:
        if message.kind is Kind.TESTED:
            test = self.tests.get(message.id)
            if test is not None and test.machine == machine:
                self._tested(test, message.cause == 1, self._load_report(message))
            return
        attempt = self.by_machine_and_id.get((machine, message.id))
        if message.kind is Kind.RELEASE:
            self.links.send_message(machine, Message(Kind.HEARD, message.id), link)
        if attempt is None:
            self.loop.count("unknown_words")
            if message.kind is Kind.RELEASE and message.cause in ENDS:
                self.adoption.task_ended(machine, message)
            return
        match message.kind:
            case Kind.ANSWER:
                self._answered(attempt, message, link)
            case Kind.RELEASE:
                self._released(attempt, message)
            case Kind.NOTE if attempt.stage is AttemptState.STANDING:
                self._noted(attempt, message)

    # What becomes of an attempt

    def _answered(self, attempt: Attempt, message: Message, link: int) -> None:
        if attempt.stage is AttemptState.SENT:
            self._not_under_way(attempt)
            attempt.stage = self.loop.transition(ATTEMPT, attempt.stage, "stands")
            self.links.add_standing(attempt.machine, 1)
            task = attempt.task
            self.requests.placed(task, message.body or "")
            took = self.loop.now - attempt.began
            self.loop.notify_module(api.Placed(task.number, attempt.shot, attempt.machine, took))
        elif attempt.stage is AttemptState.GIVEN_UP:
            effect = self.settings.classes[attempt.task.request.class_index].effect
            verdict = abandoned_attempts.duplicate_action(effect, attempt.task.fate)
            self.loop.count("leftover_" + verdict.value)
            if verdict is DuplicateAction.STOP:
                self._order_release(attempt, Cause.CANCELLED, link)

    def _released(self, attempt: Attempt, message: Message) -> None:
        if attempt.stage is AttemptState.SENT and message.cause == Cause.ENDED and message.body:
            # Ended well, with a description: the answer and the end in one. Danger: taken for a reset, it
            # would be sent to other machines, and this one would count as silent.
            self.loop.count("answered_and_ended")
            self._answered(attempt, message, attempt.link)
        cause, reason = message.cause or 0, REASONS.get(message.fields.get("note", ""), api.Reason.UNTOLD)
        if attempt.stage is AttemptState.STANDING:
            result = {
                int(Cause.ENDED): api.Result.FINISHED,
                int(Cause.CANCELLED): api.Result.CANCELLED,
            }.get(cause, api.Result.LOST)
            self.links.add_standing(attempt.machine, -1)
            self._end(attempt)
            self.requests.ended(attempt.task, cause)
            self._report_outcome(attempt, result, reason, self._load_report(message), closed=True)
        elif attempt.stage is AttemptState.SENT:
            result = {
                int(Cause.FULL): api.Result.REJECTED,
                int(Cause.ERROR): api.Result.ERROR,
                int(Cause.MOOT): api.Result.NOT_SENT,
            }.get(cause, api.Result.LOST)
            self.loop.count("ended_" + result.value)
            self._over(attempt, result, reason, self._load_report(message))
        elif attempt.stage in (AttemptState.GIVEN_UP, AttemptState.RELEASED):
            self._forget(attempt)

    def _noted(self, attempt: Attempt, message: Message) -> None:
        attempt.noted = self.loop.now
        kind = NOTES.get(message.fields.get("note", ""))
        level = validation.load_report_of("v:" + message.fields.get("value", "0"), ("v",))
        if kind is not None and level:
            self.loop.notify_module(
                api.StatusUpdate(attempt.task.number, attempt.shot, attempt.machine, kind, level[0])
            )

    def _timed_out(self, attempt: Attempt) -> None:
        if attempt.stage in _UNDER_WAY:
            self.loop.count("ended_timeout")
            self._give_up(attempt, api.Result.TIMEOUT)

    def _give_up(self, attempt: Attempt, result: api.Result) -> None:
        """Call it back. The machine may have taken it, or take it still."""
        if attempt.stage is AttemptState.WAITING:
            self._over(attempt, api.Result.NOT_SENT)
            return
        # Danger: sent once its connection is done with, it would be given up only by the close, and the copy
        # that goes elsewhere in this turn may be there first.
        message = Message(Kind.RELEASE, attempt.id, cause=int(Cause.ENDED))
        self.links.send_message(attempt.machine, message, attempt.link)
        self.links.done(attempt, silent=self.loop.now > attempt.due - SILENT_US)
        self._keep_as_leftover(attempt)
        self._report_outcome(attempt, result)

    def _order_release(self, attempt: Attempt, cause: Cause, link: int = 0) -> None:
        """Tell the machine to end what stands there."""
        if attempt.stage is AttemptState.STANDING:
            self.links.add_standing(attempt.machine, -1)
            self._remember(attempt)
        attempt.stage = self.loop.transition(ATTEMPT, attempt.stage, "released")
        message = Message(Kind.RELEASE, attempt.id, cause=int(cause))
        self.links.send_message(attempt.machine, message, link, keep=True)

    def _keep_as_leftover(self, attempt: Attempt, standing: bool = False) -> None:
        if standing:
            # Its machine is out of reach: if it comes back with the task, the task must end there.
            self._order_release(attempt, Cause.CANCELLED)
            return
        self._not_under_way(attempt)
        attempt.stage = self.loop.transition(ATTEMPT, attempt.stage, "given up")
        self._remember(attempt)

    def _remember(self, attempt: Attempt) -> None:
        attempt.until = self.loop.now + LEFTOVER_US
        self._leftovers.append(attempt)
        self._prune()

    def _sweep(self, _: None) -> None:
        self.loop.call_at(self.loop.now + SWEEP_US, self._sweep)
        self._prune()

    def _prune(self) -> None:
        while self._leftovers and (
            self._leftovers[0].until <= self.loop.now or len(self._leftovers) > LEFTOVERS_MOST
        ):
            self._forget(self._leftovers.popleft())

    def _forget(self, attempt: Attempt) -> None:
        if attempt.stage in (AttemptState.GIVEN_UP, AttemptState.RELEASED):
            self._end(attempt)

    def _over(
        self,
        attempt: Attempt,
        result: api.Result,
        reason: api.Reason = api.Reason.UNTOLD,
        report: tuple[float, ...] = (),
    ) -> None:
        self.links.done(attempt)
        self._not_under_way(attempt)
        self._end(attempt)
        self._report_outcome(attempt, result, reason, report)

    def _not_under_way(self, attempt: Attempt) -> None:
        self.under_way -= 1
        if attempt.stage is AttemptState.SENT:
            self.links.done(attempt)

    def _add(self, attempt: Attempt) -> None:
        self.by_machine_and_id[attempt.machine, attempt.id] = attempt
        self.by_machine.setdefault(attempt.machine, {})[attempt.id] = attempt

    def _end(self, attempt: Attempt) -> None:
        attempt.stage = self.loop.transition(ATTEMPT, attempt.stage, "over")
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
        closed = closed or task.fate is not PlacementState.OPEN
        took = self.loop.now - attempt.began
        if result not in api.PROVES_NOT_RUN and task.proven:
            task.proven, task.risk_at = False, attempt.began
        self.loop.notify_module(
            api.Outcome(task.number, attempt.shot, attempt.machine, result, closed, reason, took, report)
        )

    # Tests

    def _tested(self, test: Test, ok: bool, report: tuple[float, ...] = ()) -> None:
        if self.tests.pop(test.id, None) is None:
            return
        self.links.done(test)
        if test.asked:
            took = self.loop.now - test.began
            self.loop.notify_module(api.HealthChecked(test.machine, ok, took, report if ok else ()))

    def _test_over(self, test: Test) -> None:
        if test.id in self.tests:
            self.links.done(test, silent=True)
            self._tested(test, False)

    def _load_report(self, message: Message) -> tuple[float, ...]:
        load = message.fields.get("load", "")
        return validation.load_report_of(load, self.fields) if load else ()

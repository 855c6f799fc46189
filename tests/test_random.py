"""Randomized event sequences: the five rules checked by an independent account of lists and sends."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from helpers import CLASSES, SECOND, SETTINGS, entry
from hypothesis import given, settings
from hypothesis import strategies as st

from stairplank import Planner
from stairplank.interface import (
    PROVES_NOT_RUN,
    Bind,
    Effect,
    Event,
    Fail,
    ListKind,
    NodeList,
    NodeStatus,
    Outcome,
    Placed,
    Result,
    Scope,
    SetTimer,
    Shed,
    Started,
    Task,
    TaskAdopted,
    TaskCancelled,
    TaskRequested,
    TimerFired,
)

# Few offers are borne, so that the budget of a cold node is soon at its end.
RULES = replace(SETTINGS, slow_start_offers=4.0)
ENDS = [Result.ERROR, Result.REJECTED, Result.UNREACHABLE, Result.LOST, Result.CANCELLED, Result.NOT_SENT]


class Ledger:
    """Plays clients, nodes and clock, and keeps its own account of the five rules."""

    def __init__(self, seed: int) -> None:
        self.now = 50 * SECOND
        self.planner = Planner(RULES, seed)
        self.listed = {n: entry(n) for n in range(6)}
        self.drained_since: dict[int, int] = {}
        self.tasks: dict[int, Task] = {}
        self.owed: set[int] = set()
        self.attempts_made: Counter[int] = Counter()
        self.in_flight: dict[tuple[int, int], Bind] = {}
        self.running: dict[tuple[int, int], int] = {}
        self.risk: dict[int, tuple[int, int]] = {}  # first attempt that may have run: node, send
        self.sent_at: dict[tuple[int, int], int] = {}
        self.slow_start_sends: dict[int, list[int]] = {}
        self.timers: list[SetTimer] = []
        self.feed(Started())
        self.feed(NodeList(ListKind.FULL, tuple(self.listed.values())))

    def feed(self, event: Event) -> None:
        for action in self.planner.handle(self.now, event):
            match action:
                case SetTimer():
                    self.timers.append(action)
                case Bind():
                    self.check_bind(action)
                case Shed(task) | Fail(task):
                    assert task in self.owed, "an answer that was not owed"
                    if isinstance(action, Shed):
                        self.check_refusal(task)
                    self.owed.discard(task)

    def check_refusal(self, task: int) -> None:
        task_class = CLASSES[self.tasks[task].class_index]
        may_have_run = task in self.risk or any(k[0] == task for k in self.in_flight)
        if may_have_run and task_class.effect is not Effect.IDEMPOTENT:
            assert task_class.effect is Effect.IDEMPOTENT_BY_KEY and task_class.dedup_scope is Scope.ALL, (
                "rule 2: refused"
            )

    def check_bind(self, bind: Bind) -> None:
        task = self.tasks[bind.task]
        task_class = CLASSES[task.class_index]
        assert bind.task in self.owed, "rule 1: sent after the end"
        assert not [k for k in self.in_flight if k[0] == bind.task], "two attempts out"
        assert self.attempts_made[bind.task] < RULES.max_attempts
        node = self.listed[bind.node]
        if bind.task in self.risk and task_class.effect is not Effect.IDEMPOTENT:
            first, sent = self.risk[bind.task]
            assert task_class.effect is Effect.IDEMPOTENT_BY_KEY, "rule 2: sent again"
            assert self.now <= sent + task_class.dedup_window_us, "rule 2: after the window"
            assert task_class.dedup_scope is Scope.ALL or first // 3 == node.group, "rule 2: another group"
        away = self.drained_since.get(bind.node)
        assert away is None or self.now <= away + RULES.drain_grace_us, "rule 3"
        if node.started_us and self.now < node.started_us + RULES.slow_start_us:
            sends = self.slow_start_sends.setdefault(bind.node, [])
            sends.append(self.now)
            recent = [t for t in sends if t > self.now - RULES.overload_window_us]
            assert len(recent) <= RULES.slow_start_offers / RULES.planners, "rule 4"
        key = (bind.task, self.attempts_made[bind.task])
        self.attempts_made[bind.task] += 1
        self.in_flight[key] = bind
        self.sent_at[key] = self.now
        if task_class.spread is Scope.ZONE:
            nodes = [b.node for k, b in self.in_flight.items() if self.same(k[0], task)]
            nodes += [n for k, n in self.running.items() if self.same(k[0], task)]
            assert sum(n % 3 == bind.node % 3 for n in nodes) <= task_class.max_per_place, "rule 5"

    def same(self, other: int, task: Task) -> bool:
        o = self.tasks[other]
        return (o.service, o.class_index) == (task.service, task.class_index)

    def end(self, key: tuple[int, int], result: Result, closed: bool) -> None:
        bind = self.in_flight.pop(key, None)
        node = bind.node if bind else self.running.pop(key)
        if result not in PROVES_NOT_RUN and key[0] not in self.risk:
            self.risk[key[0]] = (node, self.sent_at[key])
        if closed:
            self.owed.discard(key[0])
        self.feed(Outcome(key[0], key[1], node, result, closed))

    def advance(self, by: int) -> None:
        """Time passes: timers fire, time-outs and deadlines strike, late answers are a broken rule."""
        until = self.now + by
        while True:
            moments = [(t.at_us, 0, t.token) for t in self.timers]
            for key, bind in self.in_flight.items():
                limit = self.tasks[key[0]].expires_us
                if bind.timeout_us:
                    limit = min(limit, self.sent_at[key] + bind.timeout_us)
                moments.append((limit, 1, key[0] * 10 + key[1]))
            due = min((m for m in moments if m[0] <= until), default=None)
            if due is None:
                break
            self.now = max(self.now, due[0])
            if due[1] == 0:
                self.timers = [t for t in self.timers if t.token != due[2]]
                self.feed(TimerFired(due[2]))
            else:
                self.end(divmod(due[2], 10), Result.TIMEOUT, False)
            self.check_owed()
        self.now = until
        self.check_owed()

    def check_owed(self) -> None:
        for task in self.owed:
            assert self.now <= self.tasks[task].expires_us + RULES.answer_slack_us, "rule 1: no answer"

    def step(self, what: int, a: int, b: int) -> None:
        keys = sorted(self.in_flight)
        if what <= 3:
            number = len(self.tasks) + 1
            task_class = CLASSES[a % len(CLASSES)]
            task = Task(
                number,
                a % len(CLASSES),
                0,
                number,
                self.now + task_class.deadline_us,
                b % 3,
                1.0 + b % 4 * 3,
                2.0,
            )
            self.tasks[number] = task
            if what == 3 and b % 6 in self.listed:
                self.running[number, 0] = b % 6
                self.sent_at[number, 0] = self.now
                self.feed(TaskAdopted(task, b % 6))
            else:
                self.owed.add(number)
                self.feed(TaskRequested(task))
        elif what == 4 and keys:
            key = keys[a % len(keys)]
            self.end(key, ENDS[b % len(ENDS)], key[0] not in self.owed)
        elif what == 5 and keys:
            key = keys[a % len(keys)]
            if key[0] in self.owed:
                self.owed.discard(key[0])
                self.running[key] = self.in_flight.pop(key).node
                self.feed(Placed(key[0], key[1], self.running[key], 1000))
        elif what == 6 and self.running:
            key = sorted(self.running)[a % len(self.running)]
            self.end(key, Result.FINISHED if b % 2 else Result.LOST, True)
        elif what == 7:
            self.advance(a * 20_000)
        elif what == 8:
            node = a % 6
            status = (NodeStatus.READY, NodeStatus.DRAINING, NodeStatus.GONE)[b % 3]
            launched = self.now if status is NodeStatus.READY and b % 4 else 0
            if status is NodeStatus.READY:
                self.drained_since.pop(node, None)
                self.slow_start_sends.pop(node, None)
            else:
                self.drained_since.setdefault(node, self.now)
            self.listed[node] = entry(node, status=status, started_us=launched)
            self.feed(NodeList(ListKind.CHANGES, (self.listed[node],)))
        elif what == 9 and self.owed:
            task = sorted(self.owed)[a % len(self.owed)]
            self.owed.discard(task)
            self.feed(TaskCancelled(task))

    def recount(self) -> None:
        """The planner's counts of attempts agree with the history."""
        assert set(self.planner.attempts) == set(self.in_flight) | set(self.running)
        assert set(self.planner.pending) == self.owed
        total = sum(self.planner.spread.counts.values())
        mine = [
            k for k in self.planner.attempts if CLASSES[self.tasks[k[0]].class_index].spread is Scope.ZONE
        ]
        assert total == len(mine)


STEP = st.tuples(st.integers(0, 9), st.integers(0, 60), st.integers(0, 60))


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.integers(0, 2**32), st.lists(STEP, min_size=50, max_size=90))
def test_the_five_rules_hold_on_random_histories(seed: int, steps: list[tuple[int, int, int]]) -> None:
    ledger = Ledger(seed)
    for what, a, b in steps:
        ledger.step(what, a, b)
        ledger.recount()
    ledger.advance(20 * SECOND)
    assert not ledger.owed

"""Random event sequences: a model of clients and nodes checks the planner against the five rules."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from helpers import CLASSES, SECOND, SETTINGS, node_entry
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

# Few offers are allowed in slow start, so that a cold node's budget is soon used up.
RULES = replace(SETTINGS, slow_start_offers=4.0)
FAILED_RESULTS = [
    Result.ERROR,
    Result.REJECTED,
    Result.UNREACHABLE,
    Result.LOST,
    Result.CANCELLED,
    Result.NOT_SENT,
]


class ModelChecker:
    """Simulates clients, nodes and a clock, and checks the planner's actions against the five rules."""

    def __init__(self, seed: int) -> None:
        self.now = 50 * SECOND
        self.planner = Planner(RULES, seed)
        self.listed = {n: node_entry(n) for n in range(6)}
        self.drained_since: dict[int, int] = {}
        self.tasks: dict[int, Task] = {}
        self.unanswered: set[int] = set()
        self.attempts_made: Counter[int] = Counter()
        self.in_flight: dict[tuple[int, int], Bind] = {}
        self.running: dict[tuple[int, int], int] = {}
        # By task: the node and send time of the first attempt that may have run.
        self.first_risk: dict[int, tuple[int, int]] = {}
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
                    assert task in self.unanswered, "answer to a task that needs none"
                    if isinstance(action, Shed):
                        self.check_shed(task)
                    self.unanswered.discard(task)

    def check_shed(self, task: int) -> None:
        task_class = CLASSES[self.tasks[task].class_index]
        may_have_run = task in self.first_risk or any(k[0] == task for k in self.in_flight)
        if may_have_run and task_class.effect is not Effect.IDEMPOTENT:
            assert task_class.effect is Effect.IDEMPOTENT_BY_KEY and task_class.dedup_scope is Scope.ALL, (
                "rule 2: shed although it may have run"
            )

    def check_bind(self, bind: Bind) -> None:
        task = self.tasks[bind.task]
        task_class = CLASSES[task.class_index]
        assert bind.task in self.unanswered, "rule 1: bind of an answered task"
        assert not [k for k in self.in_flight if k[0] == bind.task], "two attempts in flight"
        assert self.attempts_made[bind.task] < RULES.max_attempts
        node = self.listed[bind.node]
        if bind.task in self.first_risk and task_class.effect is not Effect.IDEMPOTENT:
            first_node, first_sent_at = self.first_risk[bind.task]
            assert task_class.effect is Effect.IDEMPOTENT_BY_KEY, "rule 2: retried although it may have run"
            assert self.now <= first_sent_at + task_class.dedup_window_us, (
                "rule 2: retried after the deduplication window"
            )
            assert task_class.dedup_scope is Scope.ALL or first_node // 3 == node.group, (
                "rule 2: retried in another group"
            )
        drained_at = self.drained_since.get(bind.node)
        assert drained_at is None or self.now <= drained_at + RULES.drain_grace_us, (
            "rule 3: bind to a draining or unlisted node"
        )
        if node.started_us and self.now < node.started_us + RULES.slow_start_us:
            sends = self.slow_start_sends.setdefault(bind.node, [])
            sends.append(self.now)
            recent = [t for t in sends if t > self.now - RULES.overload_window_us]
            assert len(recent) <= RULES.slow_start_offers / RULES.planners, (
                "rule 4: too many offers to a cold node"
            )
        key = (bind.task, self.attempts_made[bind.task])
        self.attempts_made[bind.task] += 1
        self.in_flight[key] = bind
        self.sent_at[key] = self.now
        if task_class.spread is Scope.ZONE:
            nodes = [b.node for k, b in self.in_flight.items() if self.has_same_service_and_class(k[0], task)]
            nodes += [n for k, n in self.running.items() if self.has_same_service_and_class(k[0], task)]
            assert sum(n % 3 == bind.node % 3 for n in nodes) <= task_class.max_per_place, (
                "rule 5: spread limit exceeded"
            )

    def has_same_service_and_class(self, other_id: int, task: Task) -> bool:
        other = self.tasks[other_id]
        return (other.service, other.class_index) == (task.service, task.class_index)

    def end_attempt(self, key: tuple[int, int], result: Result, is_final: bool) -> None:
        bind = self.in_flight.pop(key, None)
        node = bind.node if bind else self.running.pop(key)
        if result not in PROVES_NOT_RUN and key[0] not in self.first_risk:
            self.first_risk[key[0]] = (node, self.sent_at[key])
        if is_final:
            self.unanswered.discard(key[0])
        self.feed(Outcome(key[0], key[1], node, result, is_final))

    def advance(self, by: int) -> None:
        """Advance the clock: fire timers, end attempts at their time limits, and check for late answers."""
        until = self.now + by
        while True:
            due_times = [(t.at_us, 0, t.token) for t in self.timers]
            for key, bind in self.in_flight.items():
                limit = self.tasks[key[0]].expires_us
                if bind.timeout_us:
                    limit = min(limit, self.sent_at[key] + bind.timeout_us)
                due_times.append((limit, 1, key[0] * 10 + key[1]))
            due = min((m for m in due_times if m[0] <= until), default=None)
            if due is None:
                break
            self.now = max(self.now, due[0])
            if due[1] == 0:
                self.timers = [t for t in self.timers if t.token != due[2]]
                self.feed(TimerFired(due[2]))
            else:
                self.end_attempt(divmod(due[2], 10), Result.TIMEOUT, False)
            self.check_unanswered()
        self.now = until
        self.check_unanswered()

    def check_unanswered(self) -> None:
        for task in self.unanswered:
            assert self.now <= self.tasks[task].expires_us + RULES.answer_slack_us, "rule 1: answer overdue"

    def step(self, operation: int, a: int, b: int) -> None:
        keys = sorted(self.in_flight)
        if operation <= 3:
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
            if operation == 3 and b % 6 in self.listed:
                self.running[number, 0] = b % 6
                self.sent_at[number, 0] = self.now
                self.feed(TaskAdopted(task, b % 6))
            else:
                self.unanswered.add(number)
                self.feed(TaskRequested(task))
        elif operation == 4 and keys:
            key = keys[a % len(keys)]
            self.end_attempt(key, FAILED_RESULTS[b % len(FAILED_RESULTS)], key[0] not in self.unanswered)
        elif operation == 5 and keys:
            key = keys[a % len(keys)]
            if key[0] in self.unanswered:
                self.unanswered.discard(key[0])
                self.running[key] = self.in_flight.pop(key).node
                self.feed(Placed(key[0], key[1], self.running[key], 1000))
        elif operation == 6 and self.running:
            key = sorted(self.running)[a % len(self.running)]
            self.end_attempt(key, Result.FINISHED if b % 2 else Result.LOST, True)
        elif operation == 7:
            self.advance(a * 20_000)
        elif operation == 8:
            node = a % 6
            status = (NodeStatus.READY, NodeStatus.DRAINING, NodeStatus.GONE)[b % 3]
            started_us = self.now if status is NodeStatus.READY and b % 4 else 0
            if status is NodeStatus.READY:
                self.drained_since.pop(node, None)
                self.slow_start_sends.pop(node, None)
            else:
                self.drained_since.setdefault(node, self.now)
            self.listed[node] = node_entry(node, status=status, started_us=started_us)
            self.feed(NodeList(ListKind.CHANGES, (self.listed[node],)))
        elif operation == 9 and self.unanswered:
            task = sorted(self.unanswered)[a % len(self.unanswered)]
            self.unanswered.discard(task)
            self.feed(TaskCancelled(task))

    def check_counts(self) -> None:
        """Check the planner's attempt and spread counts against this model."""
        assert set(self.planner.attempts) == set(self.in_flight) | set(self.running)
        assert set(self.planner.pending) == self.unanswered
        total = sum(self.planner.spread.counts.values())
        expected = [
            k for k in self.planner.attempts if CLASSES[self.tasks[k[0]].class_index].spread is Scope.ZONE
        ]
        assert total == len(expected)


STEP = st.tuples(st.integers(0, 9), st.integers(0, 60), st.integers(0, 60))


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.integers(0, 2**32), st.lists(STEP, min_size=50, max_size=90))
def test_the_five_rules_hold_on_random_histories(seed: int, steps: list[tuple[int, int, int]]) -> None:
    checker = ModelChecker(seed)
    for operation, a, b in steps:
        checker.step(operation, a, b)
        checker.check_counts()
    checker.advance(20 * SECOND)
    assert not checker.unanswered

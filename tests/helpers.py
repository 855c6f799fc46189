"""Settings and a harness for tests that run the decision module alone."""

from __future__ import annotations

from dataclasses import replace

from stairplank import Planner, Settings
from stairplank.interface import (
    Action,
    Bind,
    Effect,
    Event,
    ListKind,
    NodeEntry,
    NodeList,
    NodeStatus,
    NodeType,
    Outcome,
    Placed,
    Reason,
    Result,
    Scope,
    Started,
    Task,
    TaskClass,
    TaskRequested,
)

SECOND = 1_000_000

CLASSES = (
    TaskClass("repeat", Effect.IDEMPOTENT, Scope.ALL, 0, 600_000, 6 * SECOND),
    TaskClass("keyed", Effect.IDEMPOTENT_BY_KEY, Scope.GROUP, 4 * SECOND, 600_000, 8 * SECOND),
    TaskClass("once", Effect.AT_MOST_ONCE, Scope.ALL, 0, 600_000, 8 * SECOND),
    TaskClass(
        "spread", Effect.IDEMPOTENT, Scope.ALL, 0, SECOND, 6 * SECOND, spread=Scope.ZONE, max_per_place=2
    ),
    TaskClass("keyed-all", Effect.IDEMPOTENT_BY_KEY, Scope.ALL, 4 * SECOND, 600_000, 8 * SECOND),
)

SETTINGS = Settings(
    planners=2,
    position=0,
    zone=0,
    classes=CLASSES,
    node_types=(NodeType("std", 16.0, 32.0),),
    mean_cores=1.0,
    mean_memory=2.0,
    cores_limit=1.0,
    memory_limit=1.0,
    confirms_running=True,
    preempts=False,
    max_attempts=3,
    answer_slack_us=8_000,
    drain_grace_us=250_000,
    slow_start_share=0.2,
    slow_start_us=10 * SECOND,
    overload_multiple=2.0,
    overload_window_us=1_500_000,
    slow_start_offers=12.0,
    polls_node_list=True,
    poll_within_us=10 * SECOND,
    tick_us=2_000,
    max_retry_after_us=3 * SECOND,
    may_cancel=True,
)


def node_entry(node: int, **changes: object) -> NodeEntry:
    default = NodeEntry(node, node % 3, 0, node // 3, NodeStatus.READY, 16.0, 32.0)
    return replace(default, **changes)  # type: ignore[arg-type]


class PlannerHarness:
    """Drives one planner with events on a simulated clock and records its actions."""

    def __init__(self, nodes: int = 6, **settings: object) -> None:
        self.planner = Planner(replace(SETTINGS, **settings), 7)  # type: ignore[arg-type]
        self.now = 100 * SECOND
        self.actions: list[Action] = []
        self.feed(Started())
        self.send_node_list(*(node_entry(n) for n in range(nodes)), kind=ListKind.FULL)

    def feed(self, event: Event, after: int = 0) -> list[Action]:
        self.now += after
        actions = self.planner.handle(self.now, event)
        self.actions += actions
        return actions

    def send_node_list(
        self, *entries: NodeEntry, kind: ListKind = ListKind.CHANGES, after: int = 0
    ) -> list[Action]:
        return self.feed(NodeList(kind, tuple(entries)), after)

    def task(
        self, id: int, class_index: int = 0, service: int = 5, cores: float = 1.0, memory: float = 2.0
    ) -> Task:
        deadline_us = CLASSES[class_index].deadline_us
        return Task(id, class_index, 0, id, self.now + deadline_us, service, cores, memory)

    def request(self, id: int, class_index: int = 0, after: int = 0, **task_fields: object) -> list[Action]:
        self.now += after
        return self.feed(TaskRequested(self.task(id, class_index, **task_fields)))  # type: ignore[arg-type]

    def report_placed(self, bind: Bind, attempt: int = 0, after: int = 50_000) -> list[Action]:
        return self.feed(Placed(bind.task, attempt, bind.node, after), after)

    def report_outcome(
        self,
        bind: Bind,
        result: Result,
        attempt: int = 0,
        after: int = 50_000,
        is_final: bool = False,
        reason: Reason = Reason.UNTOLD,
    ) -> list[Action]:
        return self.feed(Outcome(bind.task, attempt, bind.node, result, is_final, reason, after), after)


def binds(actions: list[Action]) -> list[Bind]:
    return [a for a in actions if isinstance(a, Bind)]


def single_bind(actions: list[Action]) -> Bind:
    (bind,) = binds(actions)
    return bind

"""A context for testing a single component, and stand-ins that record calls to the other components."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from world import BOUNDS, SECOND, SETTINGS

from stairplank.planner import events as ev
from stairplank.planner.context import CoreContext
from stairplank.planner.core_config import CoreConfig
from stairplank.planner.placement import Placement


def core_context(**config: Any) -> CoreContext:
    made = CoreContext(SETTINGS, CoreConfig(BOUNDS, ("t1", "t2"), ("z1", "z2"), **config), 7)
    made.now = 1000 * SECOND
    return made


class ComponentStub:
    """Any other component: calls are recorded, answers are given where a test says which."""

    def __init__(self, **answers: Any) -> None:
        self.calls: list[tuple[Any, ...]] = []
        self.answers = answers

    def __getattr__(self, name: str) -> Callable[..., Any]:
        def called(*args: Any) -> Any:
            self.calls.append((name, *args))
            answer = self.answers.get(name)
            return answer(*args) if callable(answer) else answer

        return called

    def called_names(self) -> list[str]:
        return [a[0] for a in self.calls]


def make_task(key: int = 1, task_class: str = "worker", **more: Any) -> ev.TaskSpec:
    fields: dict[str, Any] = {
        "client": "o", "key": key, "task_class": task_class, "tenant": "", "service": 5, "cores": 1.0,
        "memory": 2.0, "expected_duration_us": 0, "resubmitted": False, **more,
    }  # fmt: skip
    return ev.TaskSpec(**fields)


def make_placement(
    context: CoreContext, key: int = 1, task_class: str = "worker", wait_us: int = 6 * SECOND
) -> Placement:
    made = Placement(context, 1, key, make_task(key, task_class))
    made.deadline = context.now + wait_us
    return made


def pass_time(context: CoreContext, duration_us: int) -> None:
    """Let a component's timers fall due, each at its time."""
    until = context.now + duration_us
    while (due := context.next_due()) is not None and due <= until:
        context.now = max(context.now, due)
        one = context.pop_due()
        assert one is not None
        one.callback(one.argument)
    context.now = until

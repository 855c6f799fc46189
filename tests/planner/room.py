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


class Others:
    """Any other component: calls are recorded, answers are given where a test says which."""

    def __init__(self, **answers: Any) -> None:
        self.asked: list[tuple[Any, ...]] = []
        self.answers = answers

    def __getattr__(self, name: str) -> Callable[..., Any]:
        def called(*args: Any) -> Any:
            self.asked.append((name, *args))
            answer = self.answers.get(name)
            return answer(*args) if callable(answer) else answer

        return called

    def names(self) -> list[str]:
        return [a[0] for a in self.asked]


def spec(key: int = 1, sort: str = "worker", **more: Any) -> ev.TaskSpec:
    fields: dict[str, Any] = {
        "client": "o", "key": key, "task_class": sort, "tenant": "", "service": 5, "cores": 1.0,
        "memory": 2.0, "expected_duration_us": 0, "resubmitted": False, **more,
    }  # fmt: skip
    return ev.TaskSpec(**fields)


def placing(on: CoreContext, key: int = 1, sort: str = "worker", wait: int = 6 * SECOND) -> Placement:
    made = Placement(on, 1, key, spec(key, sort))
    made.deadline = on.now + wait
    return made


def pass_time(on: CoreContext, us: int) -> None:
    """Let a component's timers fall due, each at its time."""
    until = on.now + us
    while (due := on.next_due()) is not None and due <= until:
        on.now = max(on.now, due)
        one = on.pop_due()
        assert one is not None
        one.callback(one.argument)
    on.now = until

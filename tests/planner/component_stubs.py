"""A context for tests of a single component, and stubs that record the calls to other components."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from grpc_core_harness import BOUNDS, SECOND, SETTINGS

from stairplank.planner import events as ev
from stairplank.planner.context import CoreContext
from stairplank.planner.core_config import CoreConfig
from stairplank.planner.placement import Placement


def core_context(**config: Any) -> CoreContext:
    context = CoreContext(SETTINGS, CoreConfig(BOUNDS, ("t1", "t2"), ("z1", "z2"), **config), 7)
    context.now = 1000 * SECOND
    return context


class ComponentStub:
    """A stub of any component: it records calls and returns the values that the test sets for a method."""

    def __init__(self, **return_values: Any) -> None:
        self.calls: list[tuple[Any, ...]] = []
        self.return_values = return_values

    def __getattr__(self, name: str) -> Callable[..., Any]:
        def method(*args: Any) -> Any:
            self.calls.append((name, *args))
            value = self.return_values.get(name)
            return value(*args) if callable(value) else value

        return method

    def called_names(self) -> list[str]:
        return [call[0] for call in self.calls]


def make_task(key: int = 1, task_class: str = "worker", **more: Any) -> ev.TaskSpec:
    fields: dict[str, Any] = {
        "client": "o", "key": key, "task_class": task_class, "tenant": "", "service": 5, "cores": 1.0,
        "memory": 2.0, "expected_duration_us": 0, "resubmitted": False, **more,
    }  # fmt: skip
    return ev.TaskSpec(**fields)


def make_placement(
    context: CoreContext, key: int = 1, task_class: str = "worker", wait_us: int = 6 * SECOND
) -> Placement:
    placement = Placement(context, 1, key, make_task(key, task_class))
    placement.deadline = context.now + wait_us
    return placement


def pass_time(context: CoreContext, duration_us: int) -> None:
    """Advance the context's time and fire each timer when it is due."""
    until = context.now + duration_us
    while (due := context.next_due()) is not None and due <= until:
        context.now = max(context.now, due)
        timer = context.pop_due()
        assert timer is not None
        timer.callback(timer.argument)
    context.now = until

"""The event loop every core is built on: time, timers, pending actions, the decision module's event queue.

No I/O or clock.

``context`` adds what the components of the planner's own core share; the platform's core uses this as it is.
"""

from __future__ import annotations

import heapq
from collections import Counter, deque
from collections.abc import Callable
from typing import Any, NamedTuple

from .. import interface as api
from .state_table import TransitionTable


class _Timer(NamedTuple):
    due_at: int
    order: int
    callback: Callable[[Any], None]
    argument: Any


class EventLoop:
    """Time, timers and queues of one core; times in microseconds."""

    def __init__(self) -> None:
        """A loop at time 0 without timers."""
        self.now = 0
        self.actions: list[Any] = []  # of this turn, for the caller to carry out
        self.module_events: deque[api.Event] = deque()  # for the decision module, not yet handled by it
        self.counts: dict[str, int] = {}
        self.transition_counts: Counter[tuple[str, Any, str]] = Counter()  # by table, state and event
        self._last_number = 0
        self._last_order = 0
        self._timers: list[_Timer] = []

    def begin(self, now: int) -> None:
        """Start a turn. A clock that goes back counts as no time."""
        self.now = max(self.now, now)
        self.actions = []

    def emit(self, action: Any) -> None:
        """Add an action for the caller to carry out."""
        self.actions.append(action)

    def notify_module(self, event: api.Event) -> None:
        """Queue an event for the decision module; it is handled after the current event."""
        self.module_events.append(event)

    def count(self, name: str) -> None:
        """Increment a named counter."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def next_number(self) -> int:
        """A number that is unique within this run of the process."""
        self._last_number += 1
        return self._last_number

    def transition(self, table: TransitionTable, state: Any, event: str) -> Any:
        """The state that follows. Raises IllegalTransitionError."""
        self.transition_counts[table.name, state, event] += 1
        return table.after(state, event)

    # Timers

    def call_at(self, at: int, callback: Callable[[Any], None], argument: Any = None) -> None:
        """Schedule ``call(what)`` for that time; timers of the same time keep their order."""
        self._last_order += 1
        heapq.heappush(self._timers, _Timer(at, self._last_order, callback, argument))

    def next_due(self) -> int | None:
        """When the first timer is due, or None."""
        return self._timers[0].due_at if self._timers else None

    def pop_due(self) -> _Timer | None:
        """Remove and return the first timer that is due, or None."""
        if self._timers and self._timers[0].due_at <= self.now:
            return heapq.heappop(self._timers)
        return None

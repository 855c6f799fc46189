"""The event loop of every core: time, timers, pending actions and the decision module's event queue.

No I/O or clock.

``context`` extends the loop with the state that the components of the planner's own core share; the
platform's core uses the loop without an extension.
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
    """Time, timers and queues of one core; times are in microseconds."""

    def __init__(self) -> None:
        """Create a loop at time 0 without timers."""
        self.now = 0
        self.actions: list[Any] = []  # actions of this turn, which the caller carries out
        self.module_events: deque[api.Event] = deque()  # events that the decision module has not handled yet
        self.counts: dict[str, int] = {}
        self.transition_counts: Counter[tuple[str, Any, str]] = Counter()  # counts by table, state and event
        self._last_number = 0
        self._last_order = 0
        self._timers: list[_Timer] = []

    def begin(self, now: int) -> None:
        """Start a turn; a ``now`` before the last turn's time leaves the loop's time unchanged."""
        self.now = max(self.now, now)
        self.actions = []

    def emit(self, action: Any) -> None:
        """Add an action for the caller to carry out."""
        self.actions.append(action)

    def notify_module(self, event: api.Event) -> None:
        """Queue an event for the decision module, which handles it after the current event."""
        self.module_events.append(event)

    def count(self, name: str) -> None:
        """Increment a named counter."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def next_number(self) -> int:
        """Return a number that is unique within this run of the process."""
        self._last_number += 1
        return self._last_number

    def transition(self, table: TransitionTable, state: Any, event: str) -> Any:
        """Return the state after the event, and count the transition. Raises IllegalTransitionError."""
        self.transition_counts[table.name, state, event] += 1
        return table.after(state, event)

    # Timers

    def call_at(self, at: int, callback: Callable[[Any], None], argument: Any = None) -> None:
        """Schedule ``callback(argument)`` for the time ``at``; timers of the same time fire in call order."""
        self._last_order += 1
        heapq.heappush(self._timers, _Timer(at, self._last_order, callback, argument))

    def next_due(self) -> int | None:
        """Return when the first timer is due; None if no timer is set."""
        return self._timers[0].due_at if self._timers else None

    def pop_due(self) -> _Timer | None:
        """Remove and return the first timer that is due; None if no timer is due."""
        if self._timers and self._timers[0].due_at <= self.now:
            return heapq.heappop(self._timers)
        return None

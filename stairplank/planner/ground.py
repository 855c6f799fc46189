"""What any core stands on: time that never goes back, timers, the way out, the module's ear. No I/O or clock.

``floor`` adds what the planner's own rooms share; the platform's core stands on it as it is.
"""

from __future__ import annotations

import heapq
from collections import Counter, deque
from collections.abc import Callable
from typing import Any, NamedTuple

from .. import interface as api
from .transitions import Table


class _Due(NamedTuple):
    at: int
    order: int
    call: Callable[[Any], None]
    what: Any


class Ground:
    """One a core."""

    def __init__(self) -> None:
        self.now = 0
        self.out: list[Any] = []
        self.told: deque[api.Event] = deque()  # for the module, not yet taken
        self.counts: dict[str, int] = {}
        self.transitions: Counter[tuple[str, Any, str]] = Counter()  # table, state, event: as they were taken
        self._number = 0
        self._order = 0
        self._due: list[_Due] = []

    def begin(self, now: int) -> None:
        """A turn begins: a clock that goes back is no time at all."""
        self.now = max(self.now, now)
        self.out = []

    def emit(self, action: Any) -> None:
        self.out.append(action)

    def feed(self, event: api.Event) -> None:
        """Tell the module, once the event in hand is done with."""
        self.told.append(event)

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def number(self) -> int:
        """A number that nothing else of this life has."""
        self._number += 1
        return self._number

    def step(self, table: Table, state: Any, event: str) -> Any:
        """The state that follows. Raises IllegalTransition."""
        self.transitions[table.name, state, event] += 1
        return table.after(state, event)

    # Time

    def at(self, at: int, call: Callable[[Any], None], what: Any = None) -> None:
        """Call that room at that time."""
        self._order += 1
        heapq.heappush(self._due, _Due(at, self._order, call, what))

    def next_due(self) -> int | None:
        return self._due[0].at if self._due else None

    def pop_due(self) -> _Due | None:
        """The next that has come due, in order."""
        if self._due and self._due[0].at <= self.now:
            return heapq.heappop(self._due)
        return None

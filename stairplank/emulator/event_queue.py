"""The event queue of a simulation: simulated time, calls in the order of their times, wake-ups."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class EventQueue:
    """Calls by the simulated time at which they are due; equal times in the order of scheduling.

    Attributes:
        now_us: simulated time.
        events_played: calls made so far.
    """

    def __init__(self, now_us: int) -> None:
        """Start at a simulated time, without calls."""
        self.now_us = now_us
        self.events_played = 0
        self._calls: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0
        self._wakeups: dict[object, int] = {}

    def schedule(self, delay_us: int, call: Callable[..., None], *args: Any) -> None:
        """Call after a delay; a negative one counts as none."""
        self._sequence += 1
        heapq.heappush(self._calls, (self.now_us + max(0, delay_us), self._sequence, call, args))

    def schedule_wakeup(
        self, owner: object, due_us: int | None, call: Callable[..., None], *args: Any
    ) -> None:
        """Keep one pending wake-up for an owner: an earlier one takes the place of a later one."""
        if due_us is None:
            return
        pending_us = self._wakeups.get(owner)
        if pending_us is not None and self.now_us < pending_us <= due_us:
            return
        self._wakeups[owner] = due_us
        self.schedule(due_us - self.now_us, self._wake, owner, due_us, call, args)

    def _wake(self, owner: object, due_us: int, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        if self._wakeups.get(owner) == due_us:
            del self._wakeups[owner]
            call(*args)

    def has_due(self, until_us: int) -> bool:
        """Whether a call is due by a time."""
        return bool(self._calls) and self._calls[0][0] <= until_us

    def pop(self) -> Callable[[], None]:
        """Advance to the next call and return it. Raises IndexError where there is none."""
        due_us, _, call, args = heapq.heappop(self._calls)
        self.now_us = max(self.now_us, due_us)
        self.events_played += 1
        return lambda: call(*args)

    def advance(self, until_us: int) -> None:
        """Let time pass without calls."""
        self.now_us = max(self.now_us, until_us)

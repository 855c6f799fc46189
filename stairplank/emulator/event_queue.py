"""The event queue of a simulation: holds the simulated time and runs scheduled calls in order of time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class EventQueue:
    """Scheduled calls, ordered by the simulated time at which they are due.

    Calls that are due at the same time run in the order in which they were scheduled.

    Attributes:
        now_us: simulated time in microseconds.
        events_played: number of calls taken from the queue so far.
    """

    def __init__(self, now_us: int) -> None:
        """Create an empty queue whose simulated time is ``now_us``."""
        self.now_us = now_us
        self.events_played = 0
        self._calls: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0
        self._wakeups: dict[object, int] = {}

    def schedule(self, delay_us: int, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call after a delay; a negative delay counts as zero."""
        self._sequence += 1
        heapq.heappush(self._calls, (self.now_us + max(0, delay_us), self._sequence, call, args))

    def schedule_wakeup(
        self, owner: object, due_us: int | None, call: Callable[..., None], *args: Any
    ) -> None:
        """Schedule a wake-up call for ``owner``; each owner has at most one pending wake-up, the earliest.

        Does nothing if ``due_us`` is None.
        """
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
        """Whether a call is due at or before ``until_us``."""
        return bool(self._calls) and self._calls[0][0] <= until_us

    def pop(self) -> Callable[[], None]:
        """Advance the time to the next call, remove the call and return it. Raises IndexError if empty."""
        due_us, _, call, args = heapq.heappop(self._calls)
        self.now_us = max(self.now_us, due_us)
        self.events_played += 1
        return lambda: call(*args)

    def advance(self, until_us: int) -> None:
        """Advance the simulated time to ``until_us`` without running any call."""
        self.now_us = max(self.now_us, until_us)

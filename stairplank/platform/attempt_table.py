"""The table of attempts at machines, including abandoned attempts that a machine may still report. No I/O.

Invariants (tests/platform/test_platform_core.py, test_platform_bounds.py):

1. ``by_machine_and_id`` and ``by_machine`` contain the same attempts: all that are in flight or running, and
   abandoned and released attempts for ``ABANDONED_US``.
2. At most ``MAX_ABANDONED`` abandoned and released attempts are kept; the oldest is removed first.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ..planner.event_loop import EventLoop
from .tables import ATTEMPT_TRANSITIONS, Attempt, AttemptState

ABANDONED_US = 30_000_000  # how long an abandoned attempt is kept, to match a machine's late message to it
MAX_ABANDONED = 8192
SWEEP_US = 1_000_000  # interval between two removals of expired abandoned attempts


class AttemptTable:
    """Every attempt on which a machine may still send a message."""

    def __init__(self, loop: EventLoop, on_expired: Callable[[Attempt], None]) -> None:
        """``on_expired`` is called with each attempt that is removed because it was kept long enough."""
        self.loop = loop
        self._on_expired = on_expired
        self.by_machine_and_id: dict[tuple[int, str], Attempt] = {}
        # Index of the attempts by machine: when many machines leave the list at once, a search through all
        # attempts for each of them would stall the process.
        self.by_machine: dict[int, dict[str, Attempt]] = {}
        self._abandoned: deque[Attempt] = deque()  # ordered by ``forget_at``

    def start(self) -> None:
        """Start the periodic removal of expired abandoned attempts."""
        self.loop.call_at(self.loop.now + SWEEP_US, self._sweep)

    def find(self, machine: int, task_id: str) -> Attempt | None:
        """Return the attempt of the task at the machine, or None if the table has none."""
        return self.by_machine_and_id.get((machine, task_id))

    def at(self, machine: int) -> list[Attempt]:
        """Return all attempts at the machine."""
        return list(self.by_machine.get(machine, {}).values())

    def add(self, attempt: Attempt) -> None:
        """Add an attempt to the table."""
        self.by_machine_and_id[attempt.machine, attempt.id] = attempt
        self.by_machine.setdefault(attempt.machine, {})[attempt.id] = attempt

    def end(self, attempt: Attempt) -> None:
        """Mark the attempt as ended and remove it from the table."""
        attempt.state = self.loop.transition(ATTEMPT_TRANSITIONS, attempt.state, "ended")
        if self.by_machine_and_id.get((attempt.machine, attempt.id)) is not attempt:
            return
        del self.by_machine_and_id[attempt.machine, attempt.id]
        machine_attempts = self.by_machine[attempt.machine]
        del machine_attempts[attempt.id]
        if not machine_attempts:
            del self.by_machine[attempt.machine]

    def retain_abandoned(self, attempt: Attempt) -> None:
        """Keep an abandoned or released attempt for ``ABANDONED_US`` from now on."""
        attempt.forget_at = self.loop.now + ABANDONED_US
        self._abandoned.append(attempt)
        self._prune()

    def forget_abandoned(self, attempt: Attempt) -> None:
        """End the attempt if it is abandoned or released; otherwise do nothing."""
        if attempt.state in (AttemptState.ABANDONED, AttemptState.RELEASED):
            self.end(attempt)

    def _sweep(self, _: None) -> None:
        self.loop.call_at(self.loop.now + SWEEP_US, self._sweep)
        self._prune()

    def _prune(self) -> None:
        while self._abandoned and (
            self._abandoned[0].forget_at <= self.loop.now or len(self._abandoned) > MAX_ABANDONED
        ):
            attempt = self._abandoned.popleft()
            if attempt.state in (AttemptState.ABANDONED, AttemptState.RELEASED):
                self.end(attempt)
                self._on_expired(attempt)

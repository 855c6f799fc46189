"""The table of attempts at machines, with those that were abandoned and may still be reported. No I/O.

Invariants (tests/platform/test_platform_core.py, test_platform_bounds.py):

1. ``by_machine_and_id`` and ``by_machine`` have the same attempts: those in flight, those that run, and the
   abandoned and released ones for ``ABANDONED_US``.
2. At most ``MAX_ABANDONED`` abandoned and released attempts are remembered; the oldest is forgotten first.
"""

from __future__ import annotations

from collections import deque

from ..planner.event_loop import EventLoop
from .tables import ATTEMPT_TRANSITIONS, Attempt, AttemptState

ABANDONED_US = 30_000_000  # how long the message of a machine on an abandoned attempt is understood
MAX_ABANDONED = 8192
SWEEP_US = 1_000_000  # between two removals of what is too old


class AttemptTable:
    """Every attempt that a machine may still send a message on."""

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.by_machine_and_id: dict[tuple[int, str], Attempt] = {}
        # The same by machine. Danger: where many leave at once, looking through all for each is a stall.
        self.by_machine: dict[int, dict[str, Attempt]] = {}
        self._abandoned: deque[Attempt] = deque()  # the oldest first

    def start(self) -> None:
        """Remove abandoned attempts that are too old, from now on."""
        self.loop.call_at(self.loop.now + SWEEP_US, self._sweep)

    def get(self, machine: int, task_id: str) -> Attempt | None:
        """The attempt of that task at that machine, if it is remembered."""
        return self.by_machine_and_id.get((machine, task_id))

    def at(self, machine: int) -> list[Attempt]:
        """All attempts at that machine."""
        return list(self.by_machine.get(machine, {}).values())

    def add(self, attempt: Attempt) -> None:
        """Remember an attempt."""
        self.by_machine_and_id[attempt.machine, attempt.id] = attempt
        self.by_machine.setdefault(attempt.machine, {})[attempt.id] = attempt

    def end(self, attempt: Attempt) -> None:
        """The attempt is over: nothing more is awaited of it."""
        attempt.state = self.loop.transition(ATTEMPT_TRANSITIONS, attempt.state, "ended")
        if self.by_machine_and_id.get((attempt.machine, attempt.id)) is not attempt:
            return
        del self.by_machine_and_id[attempt.machine, attempt.id]
        attempts_there = self.by_machine[attempt.machine]
        del attempts_there[attempt.id]
        if not attempts_there:
            del self.by_machine[attempt.machine]

    def retain_abandoned(self, attempt: Attempt) -> None:
        """Remember an abandoned or released attempt for ``ABANDONED_US`` from now on."""
        attempt.forget_at = self.loop.now + ABANDONED_US
        self._abandoned.append(attempt)
        self._prune()

    def forget_abandoned(self, attempt: Attempt) -> None:
        """End the attempt if it is abandoned or released; others are left as they are."""
        if attempt.state in (AttemptState.ABANDONED, AttemptState.RELEASED):
            self.end(attempt)

    def _sweep(self, _: None) -> None:
        self.loop.call_at(self.loop.now + SWEEP_US, self._sweep)
        self._prune()

    def _prune(self) -> None:
        while self._abandoned and (
            self._abandoned[0].forget_at <= self.loop.now or len(self._abandoned) > MAX_ABANDONED
        ):
            self.forget_abandoned(self._abandoned.popleft())

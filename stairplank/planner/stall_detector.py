"""Finds that the process stood still, and has what came meanwhile read before anything is decided.

Shared by the drivers of cores. Danger: after a stall timers and sockets are ready together; a core told
of the time first decides on old news.
"""

from __future__ import annotations

from collections.abc import Callable, Sized

import gevent

from .clock import now_us

PULSE_S = 0.05
STOOD_US = 200_000  # without a pulse: the process did not run
WAKE_MOST_US = 100_000  # is spent at most on reading what came meanwhile
ROUND_S = 0.002  # a turn in which sockets are looked at: sleep(0) may come back without one
ROUNDS = 2  # without a further event: everything is read


class Pulse:
    """``pending`` grows as readers hear something; ``woke`` is called, with how long the process stood (in
    microseconds), once it has stopped growing."""

    def __init__(self, pending: Sized, woke: Callable[[int], None]) -> None:
        self._pending = pending
        self._woke = woke
        self.at = now_us()
        self.waking = False

    def start(self) -> None:
        self.at = now_us()
        gevent.spawn(self._beat)

    def late(self) -> bool:
        """Whether the process stood still and nothing may be decided yet. To be asked before each turn, by
        whoever comes first."""
        if not self.waking and now_us() - self.at > STOOD_US:
            self.waking = True
            gevent.spawn(self._wake)
        return self.waking

    def _beat(self) -> None:
        while True:
            gevent.sleep(PULSE_S)
            # Danger: this timer may be the first after a stall, and would hide it from the others.
            if not self.late():
                self.at = now_us()

    def _wake(self) -> None:
        stood = now_us() - self.at
        until = now_us() + WAKE_MOST_US
        seen = -1
        while len(self._pending) != seen and now_us() < until:
            seen = len(self._pending)
            for _ in range(ROUNDS):
                gevent.sleep(ROUND_S)
        self.at = now_us()
        self.waking = False
        self._woke(stood)

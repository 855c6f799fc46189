"""Finds that the process stood still, and has what came meanwhile read before anything is decided.

Shared by the drivers of cores. Danger: after a stall timers and sockets are ready together; a core told
of the time first decides on old news.
"""

from __future__ import annotations

from collections.abc import Callable, Sized

import gevent

from .clock import now_us

HEARTBEAT_S = 0.05
STALL_US = 200_000  # without a pulse: the process did not run
CATCH_UP_LIMIT_US = 100_000  # is spent at most on reading what came meanwhile
CATCH_UP_ROUND_S = 0.002  # a turn in which sockets are looked at: sleep(0) may come back without one
QUIET_ROUNDS = 2  # without a further event: everything is read


class StallDetector:
    """``pending`` grows as readers hear something; ``woke`` is called, with how long the process stood (in
    microseconds), once it has stopped growing."""

    def __init__(self, pending: Sized, resume: Callable[[int], None]) -> None:
        self._pending = pending
        self._resume = resume
        self.last_beat = now_us()
        self.catching_up = False

    def start(self) -> None:
        self.last_beat = now_us()
        gevent.spawn(self._beat)

    def is_stalled(self) -> bool:
        """Whether the process stood still and nothing may be decided yet. To be asked before each turn, by
        whoever comes first."""
        if not self.catching_up and now_us() - self.last_beat > STALL_US:
            self.catching_up = True
            gevent.spawn(self._catch_up)
        return self.catching_up

    def _beat(self) -> None:
        while True:
            gevent.sleep(HEARTBEAT_S)
            # Danger: this timer may be the first after a stall, and would hide it from the others.
            if not self.is_stalled():
                self.last_beat = now_us()

    def _catch_up(self) -> None:
        stood = now_us() - self.last_beat
        until = now_us() + CATCH_UP_LIMIT_US
        seen = -1
        while len(self._pending) != seen and now_us() < until:
            seen = len(self._pending)
            for _ in range(QUIET_ROUNDS):
                gevent.sleep(CATCH_UP_ROUND_S)
        self.last_beat = now_us()
        self.catching_up = False
        self._resume(stood)

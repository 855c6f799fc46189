"""Detects that the process was stopped or starved; what arrived meanwhile is read before any decision.

Shared by the drivers of cores. Danger: after a stall timers and sockets are ready together; a core that is
given the time first decides by outdated state.
"""

from __future__ import annotations

from collections.abc import Callable, Sized

import gevent

from .clock import now_us

HEARTBEAT_S = 0.05
STALL_US = 200_000  # without a heartbeat: the process did not run
CATCH_UP_LIMIT_US = 100_000  # spent at most on reading what arrived meanwhile
CATCH_UP_ROUND_S = 0.002  # enough for sockets to be polled: sleep(0) may return without it
QUIET_ROUNDS = 2  # without a new event: everything has been read


class StallDetector:
    """Watches by a heartbeat whether the process runs."""

    def __init__(self, pending: Sized, resume: Callable[[int], None]) -> None:
        """``pending`` grows as events are read; ``resume`` is called when it stops growing after a stall.

        ``resume`` is given the length of the stall in microseconds.
        """
        self._pending = pending
        self._resume = resume
        self.last_beat = now_us()
        self.catching_up = False

    def start(self) -> None:
        """Start the heartbeat."""
        self.last_beat = now_us()
        gevent.spawn(self._beat)

    def is_stalled(self) -> bool:
        """Whether there was a stall and nothing may be decided yet; to be asked before each turn."""
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
        stalled_us = now_us() - self.last_beat
        until = now_us() + CATCH_UP_LIMIT_US
        known = -1
        while len(self._pending) != known and now_us() < until:
            known = len(self._pending)
            for _ in range(QUIET_ROUNDS):
                gevent.sleep(CATCH_UP_ROUND_S)
        self.last_beat = now_us()
        self.catching_up = False
        self._resume(stalled_us)

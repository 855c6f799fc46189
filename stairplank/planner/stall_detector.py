"""Detects that the process was stopped or starved, and has sockets read before the core decides anything.

Used by all drivers of cores. After a stall, timers and sockets are ready at the same time; if the core
handled its timers first, it would decide by outdated state.
"""

from __future__ import annotations

from collections.abc import Callable, Sized

import gevent

from .clock import now_us

HEARTBEAT_S = 0.05
STALL_US = 200_000  # a heartbeat that is older than this means that the process did not run
CATCH_UP_LIMIT_US = 100_000  # the longest time spent on reading what arrived during a stall
CATCH_UP_ROUND_S = 0.002  # long enough that sockets are polled: sleep(0) may return without a poll
QUIET_ROUNDS = 2  # after this many rounds without a new event everything has been read


class StallDetector:
    """Detects by a heartbeat that the process did not run for a while."""

    def __init__(self, pending: Sized, resume: Callable[[int], None]) -> None:
        """Create a detector; ``pending`` holds the events that were read and not handled yet.

        After a stall, once ``pending`` has stopped growing, ``resume`` is called with the length of the stall
        in microseconds.
        """
        self._pending = pending
        self._resume = resume
        self.last_beat = now_us()
        self.catching_up = False

    def start(self) -> None:
        """Start the greenlet of the heartbeat."""
        self.last_beat = now_us()
        gevent.spawn(self._beat)

    def is_stalled(self) -> bool:
        """Return whether sockets are still being read after a stall; call this before each turn."""
        if not self.catching_up and now_us() - self.last_beat > STALL_US:
            self.catching_up = True
            gevent.spawn(self._catch_up)
        return self.catching_up

    def _beat(self) -> None:
        while True:
            gevent.sleep(HEARTBEAT_S)
            # This timer may be the first to run after a stall. If it renewed the heartbeat without a check,
            # the other greenlets would not detect the stall.
            if not self.is_stalled():
                self.last_beat = now_us()

    def _catch_up(self) -> None:
        stalled_us = now_us() - self.last_beat
        deadline = now_us() + CATCH_UP_LIMIT_US
        known_count = -1
        while len(self._pending) != known_count and now_us() < deadline:
            known_count = len(self._pending)
            for _ in range(QUIET_ROUNDS):
                gevent.sleep(CATCH_UP_ROUND_S)
        self.last_beat = now_us()
        self.catching_up = False
        self._resume(stalled_us)

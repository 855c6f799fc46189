"""The log: few lines on standard error, each one JSON object.

Danger: a reader that does not read must not stop the process.
"""

from __future__ import annotations

import json
import os
import time
from contextlib import suppress

STDERR = 2  # its file descriptor
# Danger: a log is memory somewhere; without further lines a planner of weeks would log nothing any more.
MAX_BURST_LINES = 2000
LINE_INTERVAL_S = 30.0  # one more line in each such time: more than a site's changes of configuration a day


class LineBudget:
    """How many lines may be written: a burst, and a further line in each interval (a token bucket)."""

    def __init__(self, max_lines: int, interval_s: float) -> None:
        """Begin with ``max_lines`` available."""
        self._max_lines = max_lines
        self._interval_s = interval_s
        self._available = float(max_lines)
        self._updated_s: float | None = None

    def take(self, now_s: float) -> bool:
        """Take a line if one is available at ``now_s``, by the monotonic clock; return whether it was."""
        if self._updated_s is not None:
            self._available = min(
                self._max_lines, self._available + (now_s - self._updated_s) / self._interval_s
            )
        self._updated_s = now_s
        if self._available < 1:
            return False
        self._available -= 1
        return True


_budget = LineBudget(MAX_BURST_LINES, LINE_INTERVAL_S)


def log(event: str, **fields: object) -> None:
    """Write a line, unless the budget is spent or the reader does not read."""
    if not _budget.take(time.monotonic()):
        return
    line = json.dumps({"at": round(time.time(), 3), "event": event, **fields}, default=str) + "\n"
    with suppress(OSError):  # full or closed: the line is dropped
        os.write(STDERR, line.encode())


def make_stderr_nonblocking() -> None:
    """Drop lines that nobody reads, from here on."""
    with suppress(OSError):
        os.set_blocking(STDERR, False)

"""Writes the log to standard error: few lines, each a JSON object.

A line that standard error cannot take at once is dropped, so that a slow log reader never blocks the planner.
"""

from __future__ import annotations

import json
import os
import time
from contextlib import suppress

STDERR = 2  # file descriptor of standard error
# The number of lines is limited because the log takes memory or disk space. Further lines become available
# over time, so that a planner that runs for weeks does not stop logging.
MAX_BURST_LINES = 2000
LINE_INTERVAL_S = 30.0  # one line becomes available: more a day than a site has configuration changes


class LineBudget:
    """Token bucket that limits log lines: a burst of lines, and one more per interval."""

    def __init__(self, max_lines: int, interval_s: float) -> None:
        """Create the bucket with ``max_lines`` lines available."""
        self._max_lines = max_lines
        self._interval_s = interval_s
        self._available = float(max_lines)
        self._updated_s: float | None = None

    def take(self, now_s: float) -> bool:
        """Use up one line at ``now_s`` of the monotonic clock; return False if none is available."""
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
    """Write one line, unless the line budget is used up or standard error would block."""
    if _budget.take(time.monotonic()):
        write_line({"at": round(time.time(), 3), "event": event, **fields})


def write_line(fields: dict[str, object]) -> None:
    """Write a line beyond the budget: for callers with a bound of their own."""
    line = json.dumps(fields, default=str) + "\n"
    with suppress(OSError):  # the line is dropped if standard error is full or closed
        os.write(STDERR, line.encode())


def log_fault(text: str) -> None:
    """Write the line of an unexpected failure of the process itself."""
    log("fault", at=text)


def make_stderr_nonblocking() -> None:
    """Make standard error non-blocking, so that lines that nobody reads are dropped."""
    with suppress(OSError):
        os.set_blocking(STDERR, False)

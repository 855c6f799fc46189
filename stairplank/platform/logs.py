"""Few lines, each one JSON object, on standard error. Danger: a reader that stands still must not stop us."""

from __future__ import annotations

import json
import os
import time

# Danger: a log is memory somewhere; without further lines a planner of weeks would fall silent for good.
MAX_BURST_LINES = 2000  # at once
LINE_INTERVAL_S = 30.0  # and one more in each such time: more than a site's changes of configuration a day


class LineBudget:
    """How many lines may be written: so many at once, and a further one in each span of time."""

    def __init__(self, max_lines: int, interval_s: float) -> None:
        self._max_lines = max_lines
        self._interval_s = interval_s
        self._available = float(max_lines)
        self._updated_s: float | None = None

    def take(self, now_s: float) -> bool:
        """Whether a line may be written at this time (monotonic, in seconds)."""
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
    """Write a line, unless the budget is spent."""
    if not _budget.take(time.monotonic()):
        return
    line = json.dumps({"at": round(time.time(), 3), "event": event, **fields}, default=str) + "\n"
    try:
        os.write(2, line.encode())
    except OSError:
        pass  # full or gone: the line is dropped


def make_stderr_nonblocking() -> None:
    """Lines that nobody reads are dropped from here on."""
    try:
        os.set_blocking(2, False)
    except OSError:
        pass

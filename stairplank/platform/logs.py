"""Few lines, each one JSON object, on standard error. Danger: a reader that stands still must not stop us."""

from __future__ import annotations

import json
import os
import time

# Danger: a log is memory somewhere; without further lines a planner of weeks would fall silent for good.
LINES_MOST = 2000  # at once
LINE_EVERY_S = 30.0  # and one more in each such time: more than a site's changes of configuration a day


class LineBudget:
    """How many lines may be written: so many at once, and a further one in each span of time."""

    def __init__(self, most: int, every_s: float) -> None:
        self._most = most
        self._every_s = every_s
        self._left = float(most)
        self._at: float | None = None

    def take(self, now_s: float) -> bool:
        """Whether a line may be written at this time (monotonic, in seconds)."""
        if self._at is not None:
            self._left = min(self._most, self._left + (now_s - self._at) / self._every_s)
        self._at = now_s
        if self._left < 1:
            return False
        self._left -= 1
        return True


_budget = LineBudget(LINES_MOST, LINE_EVERY_S)


def log(event: str, **fields: object) -> None:
    """Write a line, unless the budget is spent."""
    if not _budget.take(time.monotonic()):
        return
    line = json.dumps({"at": round(time.time(), 3), "event": event, **fields}, default=str) + "\n"
    try:
        os.write(2, line.encode())
    except OSError:
        pass  # full or gone: the line is dropped


def never_block() -> None:
    """Lines that nobody reads are dropped from here on."""
    try:
        os.set_blocking(2, False)
    except OSError:
        pass

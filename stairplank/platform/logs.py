"""Few lines, each one JSON object, on standard error. Danger: a reader that stands still must not stop us."""

from __future__ import annotations

import json
import os
import time

LINES_MOST = 2000  # of one life: what is worth reading comes early, and a log is memory somewhere

_left = LINES_MOST


def log(event: str, **fields: object) -> None:
    global _left
    if _left <= 0:
        return
    _left -= 1
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

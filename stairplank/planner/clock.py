"""The machine's clocks, in whole microseconds."""

from __future__ import annotations

import time


def now_us() -> int:
    """Return the time of the machine's monotonic clock in whole microseconds."""
    return time.monotonic_ns() // 1000


def raw_us() -> int:
    """Return the time of the monotonic clock without the system's rate corrections.

    A system without such a clock returns its corrected monotonic clock instead.
    """
    return time.clock_gettime_ns(getattr(time, "CLOCK_MONOTONIC_RAW", time.CLOCK_MONOTONIC)) // 1000

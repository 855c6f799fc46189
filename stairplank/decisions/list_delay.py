"""Estimate of the node list's delay: a running mean of the time until own binds appear in the list."""

from __future__ import annotations

INITIAL_LIST_DELAY_US = 1_500_000  # assumed until own binds have appeared in the list
LIST_DELAY_WEIGHT = 0.1  # weight of one sample; the mean converges after about a dozen samples
MAX_LIST_DELAY_US = 15_000_000  # a list that is still updated shows every change older than this


class ListDelay:
    """Keeps a running mean of the delay with which the node list shows a change."""

    def __init__(self) -> None:
        """Start with the initial estimate."""
        self.mean_us = float(INITIAL_LIST_DELAY_US)

    def record(self, delay_us: int) -> None:
        """Add one sample: a change by this planner appeared in the list after ``delay_us``."""
        self.mean_us += LIST_DELAY_WEIGHT * (min(delay_us, MAX_LIST_DELAY_US) - self.mean_us)

    def latest_visible_us(self, now: int) -> int:
        """Return the time of the latest change that a list arriving now is assumed to show."""
        return now - int(self.mean_us)

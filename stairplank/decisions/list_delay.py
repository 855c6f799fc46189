"""How late the node list is: a running mean, learned from own binds that are found in it."""

from __future__ import annotations

INITIAL_LIST_DELAY_US = 1_500_000  # taken to be so until own binds have been seen in the list
LIST_DELAY_WEIGHT = 0.1  # of one sighting in the running mean: a dozen sightings settle it
MAX_LIST_DELAY_US = 15_000_000  # an own change older than this is in any list that still moves


class ListDelay:
    """The running mean of the node list's delay."""

    def __init__(self) -> None:
        """Start with the usual delay."""
        self.mean_us = float(INITIAL_LIST_DELAY_US)

    def record(self, delay_us: int) -> None:
        """Take one sighting: an own change showed up in the list after ``delay_us``."""
        self.mean_us += LIST_DELAY_WEIGHT * (min(delay_us, MAX_LIST_DELAY_US) - self.mean_us)

    def latest_visible_us(self, now: int) -> int:
        """The time up to which a list that arrives now is taken to show changes."""
        return now - int(self.mean_us)

"""Faults that a script injects into a node. No I/O and no clock."""

from __future__ import annotations

import random
from dataclasses import dataclass, field


@dataclass(slots=True)
class NodeFaults:
    """The active faults of one node; by default none."""

    slowdown: float = 1.0  # multiplies the duration of admissions and starts
    start_failure_share: float = 0.0  # share of the starts that fail, after a short time
    rejection_share: float = 0.0  # share of the offers rejected without a reason
    # Share of the offers of a task class that are rejected without a reason.
    rejection_share_by_class: dict[str, float] = field(default_factory=dict)

    def rejects(self, task_class: str, rng: random.Random) -> bool:
        """Choose at random whether to reject an offer of that class; True to reject it."""
        share = max(self.rejection_share, self.rejection_share_by_class.get(task_class, 0.0))
        return share > 0 and rng.random() < share

    def fails_start(self, rng: random.Random) -> bool:
        """Choose at random whether a start fails; True if it does."""
        return self.start_failure_share > 0 and rng.random() < self.start_failure_share

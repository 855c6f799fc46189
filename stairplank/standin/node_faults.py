"""Faults that a script gives a node. No I/O and no clock."""

from __future__ import annotations

import random
from dataclasses import dataclass, field


@dataclass(slots=True)
class NodeFaults:
    """The faults of one node; none at first."""

    slowdown: float = 1.0  # times the usual work
    start_failure_share: float = 0.0  # share of the starts that fail, quickly
    rejection_share: float = 0.0  # share of the offers turned away without a reason
    rejection_share_by_class: dict[str, float] = field(default_factory=dict)  # the same by class

    def rejects(self, task_class: str, rng: random.Random) -> bool:
        """Whether an offer of that class is turned away."""
        share = max(self.rejection_share, self.rejection_share_by_class.get(task_class, 0.0))
        return share > 0 and rng.random() < share

    def fails_start(self, rng: random.Random) -> bool:
        """Whether a start fails."""
        return self.start_failure_share > 0 and rng.random() < self.start_failure_share

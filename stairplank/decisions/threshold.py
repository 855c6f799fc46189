"""The threshold rule of D. G. Pandelis and D. Teneketzis, Theorem 2, Case 2.

The paper is "A Simple Load Balancing Problem with Decentralized Information". Case 2 is the one in which
arrivals are less likely than departures and both are at most one half.
"""

from __future__ import annotations


def keeps_home(exact: int, at_upper: bool, other_upper: int) -> bool:
    """Whether a task stays in the planner's own partition (Theorem 2, Case 2).

    Args:
        exact: the own load in steps.
        at_upper: nothing was seen leaving the own partition since the shared count.
        other_upper: the larger of the two loads that the other partition is believed to have, in steps.
    """
    return other_upper >= exact + 1 if at_upper else other_upper >= exact

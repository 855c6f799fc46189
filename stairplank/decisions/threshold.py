"""The threshold rule of D. G. Pandelis and D. Teneketzis, Theorem 2, Case 2.

The paper is "A Simple Load Balancing Problem with Decentralized Information". Case 2 is the one in which
arrivals are less likely than departures and both are at most one half.
"""

from __future__ import annotations


def keeps_home(exact: int, at_upper: bool, other_upper: int) -> bool:
    """Return whether a task stays in the planner's own partition (Theorem 2, Case 2).

    Args:
        exact: the load of the own partition, in steps.
        at_upper: whether no release was seen in the own partition since the last shared count.
        other_upper: the larger of the two loads that the other partition may have, in steps.
    """
    return other_upper >= exact + 1 if at_upper else other_upper >= exact

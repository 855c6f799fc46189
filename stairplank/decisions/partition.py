"""Divides the ready nodes into partitions by hash; each planner has one home partition."""

from __future__ import annotations

from .hashing import splitmix64

MIN_PARTITION_NODES = 4  # a partition with fewer nodes leaves too little choice


def partition_count(nodes: int, planners: int) -> int:
    """Return the number of partitions for this many ready nodes; at least one.

    One partition per planner would leave most of them empty, and a count that follows every change of the
    fleet's size would keep moving services between partitions. So the count is rounded down to two
    significant bits: 1, 2, 3, 4, 6, 8, 12, 16 ...
    """
    max_count = max(1, min(planners, nodes // MIN_PARTITION_NODES))
    dropped_bits = max(0, max_count.bit_length() - 2)
    return max_count >> dropped_bits << dropped_bits


def partition_of(node: int, partitions: int) -> int:
    """Return the index of the partition that contains the node with this id."""
    return splitmix64(node) % partitions

"""How the ready nodes are cut into partitions, of which each planner has one as its home."""

from __future__ import annotations

from .hashing import splitmix64

MIN_PARTITION_NODES = 4  # nodes a partition should have: fewer leave nothing to draw from


def partition_count(nodes: int, planners: int) -> int:
    """How many partitions so many ready nodes are cut into; at least one.

    One partition for each planner would leave most empty; a count in fine steps would move services as a
    fleet grows. So the count is rounded down to two significant bits: 1, 2, 3, 4, 6, 8, 12, 16 ...
    """
    most = max(1, min(planners, nodes // MIN_PARTITION_NODES))
    dropped_bits = max(0, most.bit_length() - 2)
    return most >> dropped_bits << dropped_bits


def partition_of(node: int, partitions: int) -> int:
    """The number of the partition that the node with this id falls into."""
    return splitmix64(node) % partitions

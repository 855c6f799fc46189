"""The number of file descriptors that the process may use for connections. No state."""

from __future__ import annotations

import resource

# Descriptors reserved for the process itself: standard streams 3, the event loop 2, the listener 1,
# connections to the node list service 6 (five open and one being dialled), a client connection that is
# accepted in order to reject it 1, the configuration file 1. The remaining 2 are for sockets that are closed
# shortly after their share has been given to another connection.
RESERVED_DESCRIPTORS = 16
MIN_DESCRIPTORS = 4  # enough for one client and two machines, the least with which the process can work


def process_limit() -> int | None:
    """Return the process's limit on open files, or None if it has no limit."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if soft == resource.RLIM_INFINITY else soft


def usable_descriptors(configured: int, limit: int | None) -> int:
    """Return how many descriptors connections share: two fifths for clients, a half for machines.

    The result respects both the configured number and the process's limit, and leaves
    ``RESERVED_DESCRIPTORS`` to the process even if a tenth of the number is less than that. Otherwise idle
    clients could take the last descriptor, and neither the node list service nor a machine could be dialled.
    """
    max_descriptors = configured if limit is None else min(configured, limit)
    # The shares of clients and machines add up to nine tenths of the returned number.
    return max(MIN_DESCRIPTORS, min(max_descriptors, (max_descriptors - RESERVED_DESCRIPTORS) * 10 // 9))

"""How many of the process's file descriptors its connections may take. No state."""

from __future__ import annotations

import resource

# Reserved for the process itself: standard streams 3, the event loop 2, the listener 1, connections to the
# node list service 3 (two and the one being dialled), a client that is accepted to be rejected 1, the
# configuration file 1; the rest for sockets that are closed a moment after their descriptors have been given
# to others.
RESERVED_DESCRIPTORS = 16
MIN_DESCRIPTORS = 4  # one client and two machines: with less the process could not serve at all


def process_limit() -> int | None:
    """Return the process's own limit on open files, or None where it has none."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if soft == resource.RLIM_INFINITY else soft


def usable_descriptors(configured: int, limit: int | None) -> int:
    """Return how many descriptors connections share: clients two fifths, connections to machines a half.

    Danger: where the process's limit is below the configured number, or a tenth of it is less than the
    process itself needs, idle clients take the last descriptor, and neither the node list service nor a
    machine can be dialled any more.
    """
    most = configured if limit is None else min(configured, limit)
    # The two shares are nine tenths of what is returned.
    return max(MIN_DESCRIPTORS, min(most, (most - RESERVED_DESCRIPTORS) * 10 // 9))

"""When to attempt a group: admission against free capacity, backoff and the time limit for reservations.

No I/O, clock or global state.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from .capacity import ClusterCapacity
from .config import GroupConfig
from .state import Group, GroupState

MAX_AGE_DISCOUNT = 0.8  # share by which the backoff is reduced when the deadline of the group is reached
MAX_DOUBLINGS = 6  # of the initial backoff


def reason_to_wait(
    group: Group, groups: Iterable[Group], capacity: ClusterCapacity, config: GroupConfig, now: int
) -> str | None:
    """Return why an attempt of the group should not begin now, or None if it should.

    An attempt that cannot succeed would reserve capacity that other groups could use.

    The reported load already contains the reservations of other groups and this planner's own bindings. The
    maximum reserved share keeps capacity free for single tasks, which would starve beside many groups that
    reserve members. A group that has used half of its time is attempted in any case, because load reports
    may be outdated and a group that is never attempted never starts.
    """
    is_old = group.elapsed(now) * 2 > group.time_allowed
    if capacity.nodes == 0 or is_old or config.blocking:
        return None
    cores = sum(member.cores for member in group.spec.members)
    memory = sum(member.memory for member in group.spec.members)
    if cores > capacity.free_cores or memory > capacity.free_memory:
        return "no room is believed to be there"
    reserved = sum(
        member.cores
        for other in groups
        if other.state is GroupState.RESERVING
        for member in other.spec.members
    )
    if reserved and reserved + cores > config.max_reserved_share * capacity.free_cores:
        return "other groups are being gathered"
    return None


def reserve_deadline(group: Group, config: GroupConfig, now: int, latest: int) -> int:
    """Return until when an attempt that begins now may hold reservations; never later than ``latest``."""
    timeout = config.reserve_timeout_us
    timeout += int((config.max_reserve_timeout_us - timeout) * group.age(now))
    if config.blocking:
        timeout = latest - now
    return min(latest, now + timeout)


def backoff_us(group: Group, config: GroupConfig, now: int, rng: random.Random) -> int:
    """Return the wait before the next attempt of a group.

    The maximum wait doubles with each attempt and shrinks as the group ages; the wait is chosen at random
    from the upper half of the range up to it. Without the randomness, two groups that each hold half of what
    the other needs would fail and retry at the same times forever. Without the shorter waits of older groups,
    a large group, which needs more capacity to become free at once, would always lose it to smaller groups.
    """
    longest = min(config.initial_backoff_us << min(group.attempts, MAX_DOUBLINGS), config.max_backoff_us)
    age = min(1.0, group.age(now))
    longest = max(config.initial_backoff_us // 2, int(longest * (1 - MAX_AGE_DISCOUNT * age)))
    return longest // 2 + rng.randrange(longest // 2 + 1)

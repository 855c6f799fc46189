"""When a group is attempted: admission against free capacity, backoff and the time allowed for reservations.

Decides without I/O, clock or state of its own.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from .capacity import ClusterCapacity
from .config import GroupConfig
from .state import Group, GroupState

MAX_AGE_DISCOUNT = 0.8  # of its backoff that a group is spared by the time its deadline comes
MAX_DOUBLINGS = 6


def reason_to_wait(
    group: Group, groups: Iterable[Group], capacity: ClusterCapacity, config: GroupConfig, now: int
) -> str | None:
    """Why there is no point in attempting the group now, or None.

    Danger: attempts that cannot succeed hold what others could use.

    What other groups hold is part of the reported load already, as the planner's own bindings are. The
    reserved share leaves capacity to single tasks, which would starve beside many reserving groups. A group
    that has used half of its time is attempted in any case: reports are late, and a group that is never
    attempted never starts.
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


def reserve_deadline(group: Group, config: GroupConfig, now: int, last: int) -> int:
    """Until when an attempt that begins now may hold reservations; never later than ``last``."""
    timeout = config.reserve_timeout_us
    timeout += int((config.max_reserve_timeout_us - timeout) * group.age(now))
    if config.blocking:
        timeout = last - now
    return min(last, now + timeout)


def backoff_us(group: Group, config: GroupConfig, now: int, rng: random.Random) -> int:
    """The wait before the next attempt: doubling, drawn from its upper half, shorter as the group ages.

    Danger: groups that each hold half of what the other needs give up and retry in step for ever; and a
    large group, which needs more capacity to come free at once, would always find a small one there first.
    """
    longest = min(config.initial_backoff_us << min(group.attempts, MAX_DOUBLINGS), config.max_backoff_us)
    age = min(1.0, group.age(now))
    longest = max(config.initial_backoff_us // 2, int(longest * (1 - MAX_AGE_DISCOUNT * age)))
    return longest // 2 + rng.randrange(longest // 2 + 1)

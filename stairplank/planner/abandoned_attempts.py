"""Decides how to handle a task at a node after its attempt was abandoned. No I/O, clock or state.

An attempt is abandoned when it times out, its link is not up again in time or its client disconnects. The
node may still start the task. The decision depends on the placement's state at that time and on the effect of
a second run of the task's class.
"""

from __future__ import annotations

from enum import Enum

from .. import interface as api


class PlacementState(Enum):
    """The state of a placement."""

    __hash__ = object.__hash__  # Enum.__hash__ hashes the member's name on each look-up, which is slower

    OPEN = "open"  # no outcome yet; attempts may be in flight
    PLACED = "placed"  # bound by an attempt other than the duplicate
    SHED = "shed"  # outcome sent to the client: a retry does no harm
    FAILED = "failed"  # outcome sent to the client: the task may run; the client waits before it retries
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"  # placed by an earlier incarnation; no request of this planner waits for it


class DuplicateAction(Enum):
    """How to handle a task that a node accepted or runs although its attempt was abandoned."""

    WAIT = "wait"  # leave the task alone until the placement has its outcome
    STOP = "stop"
    ADOPT = "adopt"  # track the task and notify its client


def stops_when_abandoned(effect: api.Effect) -> bool:
    """Whether to stop an attempt as soon as it is abandoned.

    A duplicate run of an idempotent task only wastes resources. A task that must not run twice is not
    stopped: if the abandoned attempt runs after all, that is the task's only run.
    """
    return effect is api.Effect.IDEMPOTENT


def duplicate_action(effect: api.Effect, state: PlacementState) -> DuplicateAction:
    """Return how to handle a duplicate that the node reports as accepted or running."""
    if state is PlacementState.UNKNOWN:
        # A task of any class is adopted: it was placed, and its client may reconnect and request it again.
        return DuplicateAction.ADOPT
    if effect is api.Effect.IDEMPOTENT or state in (
        PlacementState.PLACED,
        PlacementState.SHED,
        PlacementState.CANCELLED,
    ):
        return DuplicateAction.STOP
    return DuplicateAction.ADOPT if state is PlacementState.FAILED else DuplicateAction.WAIT

"""What to do with a task at a node after its attempt was abandoned. Decides without I/O, clock or state.

An attempt is abandoned when it times out, its link is lost for good or its client leaves. The node may still
start the task. The placement's state by then and the effect of the task's class decide.
"""

from __future__ import annotations

from enum import Enum

from .. import interface as api


class PlacementState(Enum):
    """How a placement stands."""

    __hash__ = object.__hash__  # see transitions.AttemptState

    OPEN = "open"  # no outcome yet; further attempts may be in flight
    PLACED = "placed"  # bound, by another attempt than the duplicate's
    SHED = "shed"  # the client was told that a retry does no harm
    FAILED = "failed"  # the client was told that the task may run; it waits before it retries
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"  # of an earlier incarnation: nobody here waits for it


class DuplicateAction(Enum):
    """What to do with a task that a node accepted or runs though its attempt was abandoned."""

    WAIT = "wait"  # let it be until the placement has its outcome
    STOP = "stop"
    ADOPT = "adopt"  # track it, and notify its client


def stops_when_abandoned(effect: api.Effect) -> bool:
    """Whether to stop the attempt as soon as it is abandoned.

    A duplicate run of an idempotent task is only waste. One that must not run twice is left alone: if it runs
    after all, that is the one run it may have.
    """
    return effect is api.Effect.IDEMPOTENT


def duplicate_action(effect: api.Effect, state: PlacementState) -> DuplicateAction:
    """What to do when the node reports that it has accepted or runs the duplicate."""
    if state is PlacementState.UNKNOWN:
        # Whatever the class: it was placed, and its client may come back for it.
        return DuplicateAction.ADOPT
    if effect is api.Effect.IDEMPOTENT or state in (
        PlacementState.PLACED,
        PlacementState.SHED,
        PlacementState.CANCELLED,
    ):
        return DuplicateAction.STOP
    return DuplicateAction.ADOPT if state is PlacementState.FAILED else DuplicateAction.WAIT

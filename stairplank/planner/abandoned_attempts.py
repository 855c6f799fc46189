"""What becomes of a copy at a node after its attempt was given up. Decides without I/O, clock or state.

An attempt is given up when its time-out passes, its link breaks for good or its owner leaves. The node may
still start it. What is known by then of the placing, and what the class allows, decide.
"""

from __future__ import annotations

from enum import Enum

from .. import interface as api


class PlacementState(Enum):
    """How a placing stands."""

    __hash__ = object.__hash__  # see transitions.Stage

    OPEN = "open"  # owed an outcome; further attempts may be under way
    PLACED = "placed"  # bound, by another attempt than the copy's
    REFUSED = "refused"  # the owner was told that asking again does no harm
    FAILED = "failed"  # the owner was told that it may run; it waits before it asks again
    WITHDRAWN = "withdrawn"
    UNKNOWN = "unknown"  # of an earlier life: nobody here waits for it


class Copy(Enum):
    WAIT = "wait"  # let it be until the placing is decided
    STOP = "stop"
    ADOPT = "adopt"  # look after it, and tell its owner


def on_giving_up(effect: api.Effect) -> bool:
    """Whether to call the attempt back at once.

    A copy that may be repeated is only waste once it is given up. One that must not run twice is left alone:
    if it runs after all, that is the one run it may have.
    """
    return effect is api.Effect.IDEMPOTENT


def on_word(effect: api.Effect, fate: PlacementState) -> Copy:
    """The node says that it holds or runs the copy."""
    if fate is PlacementState.UNKNOWN:
        return Copy.ADOPT  # whatever the class: it was placed, and its owner may come back for it
    if effect is api.Effect.IDEMPOTENT or fate in (
        PlacementState.PLACED,
        PlacementState.REFUSED,
        PlacementState.WITHDRAWN,
    ):
        return Copy.STOP
    return Copy.ADOPT if fate is PlacementState.FAILED else Copy.WAIT

"""How an attempt, a placing and a link may change, as tables. What is not in a table is an error.

docs/design/running-planner.md shows them; a test holds the page against this file, and another sees every row
taken on simulated days.
"""

from __future__ import annotations

from enum import Enum

from .abandoned_attempts import PlacementState
from .link_state import State
from .state_table import IllegalTransition as IllegalTransition
from .state_table import Table


class AttemptState(Enum):
    """An attempt's."""

    __hash__ = object.__hash__  # the enum's own is computed anew from the name at each look-up

    WAITING = "waiting"  # for a link: nothing has left
    OUT = "out"  # offered; the node has said nothing
    HELD = "held"  # accepted
    RUNNING = "running"
    VOID_OUT = "given up, out"  # the module was told its outcome; the node may still take it
    VOID_HELD = "given up, held"
    VOID_RUNNING = "given up, running"
    OVER = "over"  # the last word on it


S, F, L = AttemptState, PlacementState, State

ATTEMPT = Table(
    "attempt",
    {
        (S.WAITING, "sent"): S.OUT,
        (S.WAITING, "over"): S.OVER,
        (S.OUT, "accepted"): S.HELD,
        (S.OUT, "running"): S.RUNNING,
        (S.OUT, "given up"): S.VOID_OUT,
        (S.OUT, "over"): S.OVER,
        (S.HELD, "running"): S.RUNNING,
        (S.HELD, "given up"): S.VOID_HELD,
        (S.HELD, "over"): S.OVER,
        (S.RUNNING, "given up"): S.VOID_RUNNING,
        (S.RUNNING, "over"): S.OVER,
        (S.VOID_OUT, "accepted"): S.VOID_HELD,
        (S.VOID_OUT, "running"): S.VOID_RUNNING,
        (S.VOID_OUT, "over"): S.OVER,
        (S.VOID_HELD, "running"): S.VOID_RUNNING,
        (S.VOID_HELD, "adopted"): S.OVER,  # another attempt of the same name goes on in its place
        (S.VOID_HELD, "over"): S.OVER,
        (S.VOID_RUNNING, "adopted"): S.OVER,
        (S.VOID_RUNNING, "over"): S.OVER,
    },
)
PLACEMENT = Table(
    "placing",
    {
        (F.OPEN, "placed"): F.PLACED,
        (F.OPEN, "refused"): F.REFUSED,
        (F.OPEN, "failed"): F.FAILED,
        (F.OPEN, "withdrawn"): F.WITHDRAWN,
    },
)
LINK = Table(
    "link",
    {
        (L.DOWN, "dial"): L.DIALLING,
        (L.DIALLING, "up"): L.UP,
        (L.DIALLING, "failed"): L.DOWN,
        (L.UP, "lost"): L.DOWN,
    },
)

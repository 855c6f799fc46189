"""How an attempt, a placing and a link may change, as tables. What is not in a table is an error.

docs/design/running-planner.md shows them; a test holds the page against this file, and another sees every row
taken on simulated days.
"""

from __future__ import annotations

from enum import Enum

from .abandoned_attempts import PlacementState
from .link_state import LinkState
from .state_table import IllegalTransition as IllegalTransition
from .state_table import Table


class AttemptState(Enum):
    """An attempt's."""

    __hash__ = object.__hash__  # the enum's own is computed anew from the name at each look-up

    WAITING = "waiting"  # for a link: nothing has left
    SENT = "out"  # offered; the node has said nothing
    ACCEPTED = "held"  # accepted
    RUNNING = "running"
    ABANDONED_SENT = "given up, out"  # the module was told its outcome; the node may still take it
    ABANDONED_ACCEPTED = "given up, held"
    ABANDONED_RUNNING = "given up, running"
    OVER = "over"  # the last word on it


S, F, L = AttemptState, PlacementState, LinkState

ATTEMPT = Table(
    "attempt",
    {
        (S.WAITING, "sent"): S.SENT,
        (S.WAITING, "over"): S.OVER,
        (S.SENT, "accepted"): S.ACCEPTED,
        (S.SENT, "running"): S.RUNNING,
        (S.SENT, "given up"): S.ABANDONED_SENT,
        (S.SENT, "over"): S.OVER,
        (S.ACCEPTED, "running"): S.RUNNING,
        (S.ACCEPTED, "given up"): S.ABANDONED_ACCEPTED,
        (S.ACCEPTED, "over"): S.OVER,
        (S.RUNNING, "given up"): S.ABANDONED_RUNNING,
        (S.RUNNING, "over"): S.OVER,
        (S.ABANDONED_SENT, "accepted"): S.ABANDONED_ACCEPTED,
        (S.ABANDONED_SENT, "running"): S.ABANDONED_RUNNING,
        (S.ABANDONED_SENT, "over"): S.OVER,
        (S.ABANDONED_ACCEPTED, "running"): S.ABANDONED_RUNNING,
        (S.ABANDONED_ACCEPTED, "adopted"): S.OVER,  # another attempt of the same name goes on in its place
        (S.ABANDONED_ACCEPTED, "over"): S.OVER,
        (S.ABANDONED_RUNNING, "adopted"): S.OVER,
        (S.ABANDONED_RUNNING, "over"): S.OVER,
    },
)
PLACEMENT = Table(
    "placement",
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

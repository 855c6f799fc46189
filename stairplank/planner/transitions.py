"""How an attempt, a placement and a link may change, as tables. What is not in a table is an error.

docs/design/running-planner.md shows them; a test compares the page with this file, and another sees every row
taken on simulated days.
"""

from __future__ import annotations

from enum import Enum, StrEnum

from .abandoned_attempts import PlacementState
from .link_state import LinkState
from .state_table import TransitionTable


class AttemptState(Enum):
    """How an attempt stands at its node. Abandoned: the decision module has its outcome."""

    __hash__ = object.__hash__  # Enum's own hashes the member's name anew at each look-up

    WAITING = "waiting"  # for a link: nothing was sent
    SENT = "sent"  # offered; the node has not replied
    ACCEPTED = "accepted"
    RUNNING = "running"
    ABANDONED_SENT = "abandoned, sent"  # the node may still accept it
    ABANDONED_ACCEPTED = "abandoned, accepted"
    ABANDONED_RUNNING = "abandoned, running"
    OVER = "ended"  # nothing more is expected of the node


class AttemptEvent(StrEnum):
    """What happens to an attempt."""

    SENT = "sent"
    ACCEPTED = "accepted"
    RUNNING = "running"
    ABANDONED = "abandoned"
    ADOPTED = "adopted"  # another attempt with the same id continues in its place
    ENDED = "ended"


class PlacementEvent(StrEnum):
    """The one outcome of a placement."""

    PLACED = "placed"
    SHED = "shed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class LinkEvent(StrEnum):
    """What happens to a link."""

    DIAL = "dial"
    UP = "up"
    FAILED = "failed"
    LOST = "lost"


ATTEMPT = TransitionTable(
    "attempt",
    {
        (AttemptState.WAITING, AttemptEvent.SENT): AttemptState.SENT,
        (AttemptState.WAITING, AttemptEvent.ENDED): AttemptState.OVER,
        (AttemptState.SENT, AttemptEvent.ACCEPTED): AttemptState.ACCEPTED,
        (AttemptState.SENT, AttemptEvent.RUNNING): AttemptState.RUNNING,
        (AttemptState.SENT, AttemptEvent.ABANDONED): AttemptState.ABANDONED_SENT,
        (AttemptState.SENT, AttemptEvent.ENDED): AttemptState.OVER,
        (AttemptState.ACCEPTED, AttemptEvent.RUNNING): AttemptState.RUNNING,
        (AttemptState.ACCEPTED, AttemptEvent.ABANDONED): AttemptState.ABANDONED_ACCEPTED,
        (AttemptState.ACCEPTED, AttemptEvent.ENDED): AttemptState.OVER,
        (AttemptState.RUNNING, AttemptEvent.ABANDONED): AttemptState.ABANDONED_RUNNING,
        (AttemptState.RUNNING, AttemptEvent.ENDED): AttemptState.OVER,
        (AttemptState.ABANDONED_SENT, AttemptEvent.ACCEPTED): AttemptState.ABANDONED_ACCEPTED,
        (AttemptState.ABANDONED_SENT, AttemptEvent.RUNNING): AttemptState.ABANDONED_RUNNING,
        (AttemptState.ABANDONED_SENT, AttemptEvent.ENDED): AttemptState.OVER,
        (AttemptState.ABANDONED_ACCEPTED, AttemptEvent.RUNNING): AttemptState.ABANDONED_RUNNING,
        (AttemptState.ABANDONED_ACCEPTED, AttemptEvent.ADOPTED): AttemptState.OVER,
        (AttemptState.ABANDONED_ACCEPTED, AttemptEvent.ENDED): AttemptState.OVER,
        (AttemptState.ABANDONED_RUNNING, AttemptEvent.ADOPTED): AttemptState.OVER,
        (AttemptState.ABANDONED_RUNNING, AttemptEvent.ENDED): AttemptState.OVER,
    },
)
PLACEMENT = TransitionTable(
    "placement",
    {
        (PlacementState.OPEN, PlacementEvent.PLACED): PlacementState.PLACED,
        (PlacementState.OPEN, PlacementEvent.SHED): PlacementState.SHED,
        (PlacementState.OPEN, PlacementEvent.FAILED): PlacementState.FAILED,
        (PlacementState.OPEN, PlacementEvent.CANCELLED): PlacementState.CANCELLED,
    },
)
LINK = TransitionTable(
    "link",
    {
        (LinkState.DOWN, LinkEvent.DIAL): LinkState.DIALLING,
        (LinkState.DIALLING, LinkEvent.UP): LinkState.UP,
        (LinkState.DIALLING, LinkEvent.FAILED): LinkState.DOWN,
        (LinkState.UP, LinkEvent.LOST): LinkState.DOWN,
    },
)

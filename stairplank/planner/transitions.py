"""Transition tables of attempts, placements and links; a transition that is not in its table is an error.

docs/design/running-planner.md shows the tables. One test compares that page with this file, and another
checks that simulated days take every transition.
"""

from __future__ import annotations

from enum import Enum, StrEnum

from .abandoned_attempts import PlacementState
from .link_state import LinkState
from .state_table import TransitionTable


class AttemptState(Enum):
    """The state of an attempt; the decision module already has the outcome of an abandoned one."""

    __hash__ = object.__hash__  # Enum.__hash__ hashes the member's name on each look-up, which is slower

    WAITING = "waiting"  # the node's link is not up yet; nothing was sent
    SENT = "sent"  # the offer was sent; the node has not replied
    ACCEPTED = "accepted"
    RUNNING = "running"
    ABANDONED_SENT = "abandoned, sent"  # the node may still accept the offer
    ABANDONED_ACCEPTED = "abandoned, accepted"
    ABANDONED_RUNNING = "abandoned, running"
    ENDED = "ended"  # no more messages of the node are expected


class AttemptEvent(StrEnum):
    """An event that changes an attempt's state."""

    SENT = "sent"
    ACCEPTED = "accepted"
    RUNNING = "running"
    ABANDONED = "abandoned"
    ADOPTED = "adopted"  # another attempt with the same id continues in its place
    ENDED = "ended"


class PlacementEvent(StrEnum):
    """An event that decides a placement's one outcome."""

    PLACED = "placed"
    SHED = "shed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class LinkEvent(StrEnum):
    """An event that changes a link's state."""

    DIAL = "dial"
    UP = "up"
    FAILED = "failed"
    LOST = "lost"


ATTEMPT = TransitionTable(
    "attempt",
    {
        (AttemptState.WAITING, AttemptEvent.SENT): AttemptState.SENT,
        (AttemptState.WAITING, AttemptEvent.ENDED): AttemptState.ENDED,
        (AttemptState.SENT, AttemptEvent.ACCEPTED): AttemptState.ACCEPTED,
        (AttemptState.SENT, AttemptEvent.RUNNING): AttemptState.RUNNING,
        (AttemptState.SENT, AttemptEvent.ABANDONED): AttemptState.ABANDONED_SENT,
        (AttemptState.SENT, AttemptEvent.ENDED): AttemptState.ENDED,
        (AttemptState.ACCEPTED, AttemptEvent.RUNNING): AttemptState.RUNNING,
        (AttemptState.ACCEPTED, AttemptEvent.ABANDONED): AttemptState.ABANDONED_ACCEPTED,
        (AttemptState.ACCEPTED, AttemptEvent.ENDED): AttemptState.ENDED,
        (AttemptState.RUNNING, AttemptEvent.ABANDONED): AttemptState.ABANDONED_RUNNING,
        (AttemptState.RUNNING, AttemptEvent.ENDED): AttemptState.ENDED,
        (AttemptState.ABANDONED_SENT, AttemptEvent.ACCEPTED): AttemptState.ABANDONED_ACCEPTED,
        (AttemptState.ABANDONED_SENT, AttemptEvent.RUNNING): AttemptState.ABANDONED_RUNNING,
        (AttemptState.ABANDONED_SENT, AttemptEvent.ENDED): AttemptState.ENDED,
        (AttemptState.ABANDONED_ACCEPTED, AttemptEvent.RUNNING): AttemptState.ABANDONED_RUNNING,
        (AttemptState.ABANDONED_ACCEPTED, AttemptEvent.ADOPTED): AttemptState.ENDED,
        (AttemptState.ABANDONED_ACCEPTED, AttemptEvent.ENDED): AttemptState.ENDED,
        (AttemptState.ABANDONED_RUNNING, AttemptEvent.ADOPTED): AttemptState.ENDED,
        (AttemptState.ABANDONED_RUNNING, AttemptEvent.ENDED): AttemptState.ENDED,
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

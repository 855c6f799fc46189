"""The state that the core keeps for its link to a node. No I/O or clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .events import AttemptId

UNKNOWN_START = -1


class LinkState(Enum):
    """The state of a link; ``transitions.LINK`` holds the allowed transitions."""

    __hash__ = object.__hash__  # faster than Enum's own; see transitions.AttemptState

    DOWN = "down"
    DIALLING = "dialling"  # the dial is in progress or queued
    UP = "up"


@dataclass(slots=True)
class Link:
    """The state of this planner's link to a node."""

    node: int
    addresses: tuple[str, ...]
    state: LinkState = LinkState.DOWN
    is_listed: bool = True  # the node list names the node; if not, the link is kept for its attempts only
    failed_dials: int = 0  # number of dials that failed since the link was last up
    next_dial_at: int = 0  # the earliest time of the next dial
    started_unix_us: int = UNKNOWN_START  # when the node's incarnation started, as reported by the node
    is_draining: bool = False  # the node has reported in this incarnation that it is draining
    unsettled: set[AttemptId] = field(default_factory=set)  # attempts in unknown state after a break
    tasks_requested_at: int = 0  # when the node's tasks were last requested
    broken_at: int = 0  # when the link broke; 0 if it is up or has never been up

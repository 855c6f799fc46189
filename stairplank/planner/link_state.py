"""What the core knows of its link to a node. No I/O or clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .events import AttemptId

UNKNOWN_START = -1


class LinkState(Enum):
    """Whether messages can be sent to the node; the steps are in ``transitions.LINK``."""

    __hash__ = object.__hash__  # see transitions.AttemptState

    DOWN = "down"
    DIALLING = "dialling"  # or queued for it
    UP = "up"


@dataclass(slots=True)
class Link:
    """One planner's one link to a node."""

    node: int
    addresses: tuple[str, ...]
    state: LinkState = LinkState.DOWN
    is_listed: bool = True  # in the node list; else it is kept only for what is still at the node
    failed_dials: int = 0  # since the link was last up
    next_dial_at: int = 0  # not before
    started_unix_us: int = UNKNOWN_START  # the node's incarnation as it said itself
    is_draining: bool = False  # as the node said itself, in this incarnation
    unsettled: set[AttemptId] = field(default_factory=set)  # sent before the link broke, fate unknown
    tasks_requested_at: int = 0  # when the node was last asked for its tasks
    broken_at: int = 0  # when the link broke; 0: it is up, or has not been yet

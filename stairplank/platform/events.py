"""What the platform's core is fed and what it asks for. Times are microseconds on the planner's own clock.

Connections, of owners and to machines, are numbers that nothing else of this life has.
"""

from __future__ import annotations

from dataclasses import dataclass

from .board import Notice
from .messages import Message

# Events


@dataclass(frozen=True, slots=True)
class OwnerCame:
    conn: int
    client: str  # whose connection it is: the address it comes from


@dataclass(frozen=True, slots=True)
class OwnerSaid:
    """``took``: a give-up whose set-up was read before and leaves unhandled with it. ``beyond``: a set-up
    that was read while as many wait as may."""

    conn: int
    message: Message
    at: int = 0  # when it was read, if it has waited since
    took: bool = False
    beyond: bool = False


@dataclass(frozen=True, slots=True)
class OwnerLeft:
    conn: int


@dataclass(frozen=True, slots=True)
class LinkUp:
    link: int


@dataclass(frozen=True, slots=True)
class LinkFailed:
    """A dial that came to nothing. ``refused``: nobody listens there; ``ours``: we had no means to dial."""

    link: int
    refused: bool
    ours: bool = False


@dataclass(frozen=True, slots=True)
class LinkLost:
    """``unsent``: ids of the messages of which not every byte was written."""

    link: int
    unsent: frozenset[str]


@dataclass(frozen=True, slots=True)
class Unsent:
    """These were taken out of a connection's buffer whole, as they might not leave any more."""

    link: int
    ids: frozenset[str]


@dataclass(frozen=True, slots=True)
class MachineSaid:
    link: int
    message: Message


@dataclass(frozen=True, slots=True)
class BoardTold:
    notice: Notice


@dataclass(frozen=True, slots=True)
class BoardHeard:
    """It says its last number, and nothing of what it has told is missing here."""


@dataclass(frozen=True, slots=True)
class BoardLost:
    pass


@dataclass(frozen=True, slots=True)
class StopAsked:
    """The process is asked to end. ``at``: when its signal came."""

    at: int = 0


@dataclass(frozen=True, slots=True)
class Parting:
    """Nothing is owed any more: connections to machines are closed, and none is made."""


@dataclass(frozen=True, slots=True)
class Due:
    """Time has passed."""


Event = (
    OwnerCame
    | OwnerSaid
    | OwnerLeft
    | LinkUp
    | LinkFailed
    | LinkLost
    | Unsent
    | MachineSaid
    | BoardTold
    | BoardHeard
    | BoardLost
    | StopAsked
    | Parting
    | Due
)

# Actions


@dataclass(frozen=True, slots=True)
class SayOwner:
    conn: int
    message: Message


@dataclass(frozen=True, slots=True)
class CloseOwner:
    """Once what was said to it is written."""

    conn: int
    why: str


@dataclass(frozen=True, slots=True)
class Dial:
    link: int
    address: str


@dataclass(frozen=True, slots=True)
class SayMachine:
    link: int
    message: Message


@dataclass(frozen=True, slots=True)
class HangUp:
    """Close, and read on until the other side has closed too. A LinkLost follows where it was up."""

    link: int


@dataclass(frozen=True, slots=True)
class WatchBoard:
    """Make sure that the board is connected, now."""


@dataclass(frozen=True, slots=True)
class Report:
    """For the log."""

    event: str
    fields: dict[str, object]


Action = SayOwner | CloseOwner | Dial | SayMachine | HangUp | WatchBoard | Report

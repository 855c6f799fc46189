"""The events that the platform's core handles and the actions it returns. Times are microseconds on the
planner's own clock.

Connections, of clients and to machines, are numbers that nothing else of this life has.
"""

from __future__ import annotations

from dataclasses import dataclass

from .. import interface as api
from .messages import Message
from .node_list import NodeListUpdate

# Events


@dataclass(frozen=True, slots=True)
class ClientConnected:
    conn: int
    client: str  # whose connection it is: the address it comes from


@dataclass(frozen=True, slots=True)
class ClientMessage:
    """``cancelled_unhandled``: a cancellation whose set-up was read before and leaves unhandled with it.
    ``over_limit``: a set-up that was read while as many wait as may."""

    conn: int
    message: Message
    at: int = 0  # when it was read, if it has waited since
    cancelled_unhandled: bool = False
    over_limit: bool = False


@dataclass(frozen=True, slots=True)
class ClientHungUp:
    """The client has closed its connection and waits for no answer; what it sent before may lie unread."""

    conn: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
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
class MessagesUnsent:
    """These were taken out of a connection's buffer whole, as they might not leave any more."""

    link: int
    ids: frozenset[str]


@dataclass(frozen=True, slots=True)
class MachineMessage:
    link: int
    message: Message


@dataclass(frozen=True, slots=True)
class NodeListUpdated:
    update: NodeListUpdate


@dataclass(frozen=True, slots=True)
class NodeListConfirmed:
    """The node list service sent its last revision, and no update is missing here."""


@dataclass(frozen=True, slots=True)
class NodeListLost:
    pass


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The process is asked to end. ``at``: when its signal came."""

    at: int = 0


@dataclass(frozen=True, slots=True)
class MachinesClosing:
    """Nothing is owed any more: connections to machines are closed, and none is made."""


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Settings that may change while the planner runs (``reload``) are others from now on."""

    revision: str
    changed: tuple[str, ...]  # fields that differ
    settings: api.Settings
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    dial_timeout_us: int
    priced: bool


@dataclass(frozen=True, slots=True)
class TimerDue:
    """Time has passed."""


Event = (
    ClientConnected
    | ClientMessage
    | ClientHungUp
    | ClientDisconnected
    | LinkUp
    | LinkFailed
    | LinkLost
    | MessagesUnsent
    | MachineMessage
    | NodeListUpdated
    | NodeListConfirmed
    | NodeListLost
    | ShutdownRequested
    | MachinesClosing
    | SettingsChanged
    | TimerDue
)

# Actions


@dataclass(frozen=True, slots=True)
class SendToClient:
    conn: int
    message: Message


@dataclass(frozen=True, slots=True)
class CloseClient:
    """Once what was sent to it is written."""

    conn: int
    why: str


@dataclass(frozen=True, slots=True)
class Dial:
    link: int
    address: str


@dataclass(frozen=True, slots=True)
class SendToMachine:
    link: int
    message: Message


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close, and read on until the other side has closed too. A LinkLost follows where it was up."""

    link: int


@dataclass(frozen=True, slots=True)
class WatchNodeList:
    """Make sure that the node list service is connected, now."""


@dataclass(frozen=True, slots=True)
class SettingsInForce:
    """The core has taken a change: the node list's names follow."""

    change: SettingsChanged


@dataclass(frozen=True, slots=True)
class Report:
    """For the log."""

    event: str
    fields: dict[str, object]


Action = (
    SendToClient | CloseClient | Dial | SendToMachine | CloseLink | WatchNodeList | SettingsInForce | Report
)

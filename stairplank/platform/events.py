"""The events that the platform's core handles and the actions it returns.

Times are microseconds on the planner's own clock. Client connections and links to machines are identified by
numbers that are unique within an incarnation of the planner.
"""

from __future__ import annotations

from dataclasses import dataclass

from .. import interface as api
from .messages import Message
from .node_list import NodeListUpdate

# Events


class LinkNumber(int):
    """The number of a link in a recorded event."""


@dataclass(frozen=True, slots=True)
class ClientConnected:
    """A client has connected."""

    conn: int
    client: str  # the client's name: the address it connects from


@dataclass(frozen=True, slots=True)
class ClientMessage:
    """A client has sent a message.

    ``cancelled_unhandled``: a cancellation whose placement request was still queued and has been dropped.
    ``over_limit``: a placement request that was read while the event queue was full.
    """

    conn: int
    message: Message
    at: int = 0  # when the message was read; 0 if unknown
    cancelled_unhandled: bool = False
    over_limit: bool = False


@dataclass(frozen=True, slots=True)
class ClientHungUp:
    """A client has closed its connection and expects no answer; earlier messages may still be unread."""

    conn: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """A client's connection is closed."""

    conn: int


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A dialled connection to a machine has come up."""

    link: int


@dataclass(frozen=True, slots=True)
class LinkFailed:
    """A dial has failed.

    ``refused``: no process listens at the address. ``ours``: the planner had no file descriptor left to dial.
    """

    link: int
    refused: bool
    ours: bool = False
    why: str = ""  # the error


@dataclass(frozen=True, slots=True)
class LinkLost:
    """A connection to a machine is closed.

    ``unsent``: ids of the messages that were not written completely.
    """

    link: int
    unsent: frozenset[str]
    why: str = ""  # the error, or that the machine has closed it


@dataclass(frozen=True, slots=True)
class MessagesUnsent:
    """Messages were removed whole from a connection's send buffer because they must not be sent any more."""

    link: int
    ids: frozenset[str]


@dataclass(frozen=True, slots=True)
class MachineMessage:
    """A machine has sent a message."""

    link: int
    message: Message


@dataclass(frozen=True, slots=True)
class NodeListUpdated:
    """The node list service has sent an update."""

    update: NodeListUpdate


@dataclass(frozen=True, slots=True)
class NodeListConfirmed:
    """The node list service has sent its latest revision, and the planner has every update up to it."""


@dataclass(frozen=True, slots=True)
class NodeListLost:
    """The connection to the node list service is lost."""


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The planner process is to shut down. ``at``: when the signal was received."""

    at: int = 0


@dataclass(frozen=True, slots=True)
class MachinesClosing:
    """All answers are sent: connections to machines are closed, and none is dialled any more."""


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Settings that may change while the planner runs (``reload``) have changed."""

    revision: str
    changed: tuple[str, ...]  # names of the fields that differ
    settings: api.Settings
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    dial_timeout_us: int
    priced: bool


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer of the core is due."""


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
    """Send a message to a client."""

    conn: int
    message: Message


@dataclass(frozen=True, slots=True)
class CloseClient:
    """Close a client's connection once its send buffer is written."""

    conn: int
    why: str


@dataclass(frozen=True, slots=True)
class Dial:
    """Open a connection to a machine."""

    link: int
    address: str


@dataclass(frozen=True, slots=True)
class SendToMachine:
    """Send a message to a machine."""

    link: int
    message: Message


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close a link and read from it until the machine has closed it too.

    A LinkLost event follows if the link was up.
    """

    link: int
    why: str = ""


@dataclass(frozen=True, slots=True)
class WatchNodeList:
    """Connect to the node list service at once if it is not connected."""


@dataclass(frozen=True, slots=True)
class SettingsInForce:
    """The core has applied a change of settings; the node list is to use its names from now on."""

    change: SettingsChanged


@dataclass(frozen=True, slots=True)
class Report:
    """Write a log line with an event's name and fields."""

    event: str
    fields: dict[str, object]


Action = (
    SendToClient | CloseClient | Dial | SendToMachine | CloseLink | WatchNodeList | SettingsInForce | Report
)

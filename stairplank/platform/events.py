"""The events that the platform's core handles and the actions it returns.

Times are microseconds on the planner's own clock. Connections, of clients and to machines, are numbers that
nothing else of this incarnation has.
"""

from __future__ import annotations

from dataclasses import dataclass

from .. import interface as api
from .messages import Message
from .node_list import NodeListUpdate

# Events


@dataclass(frozen=True, slots=True)
class ClientConnected:
    """A client has connected."""

    conn: int
    client: str  # whose connection it is: the address it comes from


@dataclass(frozen=True, slots=True)
class ClientMessage:
    """A client has sent a message.

    ``cancelled_unhandled``: a cancellation whose placement request was read before and is dropped with it.
    ``over_limit``: a placement request that was read while as many wait as may.
    """

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
    """The connection of a client is no more."""

    conn: int


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A dialled connection to a machine has come up."""

    link: int


@dataclass(frozen=True, slots=True)
class LinkFailed:
    """A dial has failed. ``refused``: nobody listens there; ``ours``: no descriptor was left to dial with."""

    link: int
    refused: bool
    ours: bool = False


@dataclass(frozen=True, slots=True)
class LinkLost:
    """A connection to a machine is no more.

    ``unsent``: ids of the messages of which not every byte was written.
    """

    link: int
    unsent: frozenset[str]


@dataclass(frozen=True, slots=True)
class MessagesUnsent:
    """These were removed from a connection's buffer completely, as they might not be sent any more."""

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
    """The node list service sent its last revision, and no update is missing here."""


@dataclass(frozen=True, slots=True)
class NodeListLost:
    """The connection to the node list service is lost."""


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The process is asked to end. ``at``: when its signal came."""

    at: int = 0


@dataclass(frozen=True, slots=True)
class MachinesClosing:
    """No answer is due any more: connections to machines are closed, and none is dialled."""


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Settings that may change while the planner runs (``reload``) have changed."""

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
    """Send a message to a client."""

    conn: int
    message: Message


@dataclass(frozen=True, slots=True)
class CloseClient:
    """Close a client's connection once what was sent to it is written."""

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
    """Close, and read on until the other side has closed too. A LinkLost follows where it was up."""

    link: int


@dataclass(frozen=True, slots=True)
class WatchNodeList:
    """Make sure that the node list service is connected, now."""


@dataclass(frozen=True, slots=True)
class SettingsInForce:
    """The core has applied a change of settings: the node list's names follow."""

    change: SettingsChanged


@dataclass(frozen=True, slots=True)
class Report:
    """An event for the log."""

    event: str
    fields: dict[str, object]


Action = (
    SendToClient | CloseClient | Dial | SendToMachine | CloseLink | WatchNodeList | SettingsInForce | Report
)

"""Connections of clients as the core knows them: which are useful, and releases that must reach a client.

No I/O or clock. Invariants (tests/platform/test_platform_core.py):

1. A release goes out on the connection of its placement request, else on another of that client's, else it is
   kept for the next one. One that may not have been received when its connection broke is sent again.
2. A connection with an open task is never closed, nor one with a placement request that was read and waits.
3. Bounds: releases of one connection that are not acknowledged (``MAX_UNACKNOWLEDGED``), releases that wait
   for a connection (``MAX_PENDING_RELEASES``, ``PENDING_RELEASES_US``); connections by the service.

Tables: ``connections`` by number, ``by_client`` their numbers, ``pending_releases``.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..planner.event_loop import EventLoop
from . import events as ev
from .messages import Cause, Kind, Message
from .tables import Task, TaskState

UNRESPONSIVE_US = 2_000_000  # a connection that has sent nothing useful is closed then
IDLE_US = 6_000_000  # one with nothing under way; clients close theirs after 4 s
UNACKNOWLEDGED_US = 1_500_000  # so long a release may be on its way when its connection breaks
MAX_UNACKNOWLEDGED = 256  # of one connection
MAX_PENDING_RELEASES, PENDING_RELEASES_US = 4096, 60_000_000
MAX_REJECTIONS = 16  # refusals of unusable messages on a connection before it is closed


@dataclass(slots=True)
class ClientConnection:
    """One connection of a client."""

    number: int
    client: str
    connected_at: int
    last_received_at: int = 0  # when it last sent something useful
    open: dict[str, None] = field(default_factory=dict)  # ids of its open tasks
    running_count: int = 0
    rejections: int = 0
    closing: bool = False
    unacknowledged: deque[tuple[int, Message]] = field(default_factory=deque)  # releases, with their time


@dataclass(frozen=True, slots=True)
class PendingRelease:
    """A release for a client that has no connection."""

    since: int
    client: str
    message: Message


class ClientSessions:
    """The connections of all clients, and the releases on their way."""

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.connections: dict[int, ClientConnection] = {}
        self.by_client: dict[str, dict[int, None]] = {}
        self.pending_releases: deque[PendingRelease] = deque()
        self.has_unread: Callable[[int], bool] = lambda number: False  # whether a message of it waits

    def get(self, number: int) -> ClientConnection | None:
        """The connection of that number, if it is there."""
        return self.connections.get(number)

    def add(self, number: int, client: str) -> None:
        """A client has connected."""
        connection = ClientConnection(number, client, self.loop.now)
        self.connections[number] = connection
        self.by_client.setdefault(client, {})[number] = None
        if self.pending_releases:
            self._send_pending_releases(connection)

    def remove(self, number: int) -> ClientConnection | None:
        """A client has disconnected; the connection it was."""
        connection = self.connections.pop(number, None)
        if connection is None:
            return None
        others = self.by_client.get(connection.client, {})
        others.pop(number, None)
        if not others:
            self.by_client.pop(connection.client, None)
        return connection

    def touch(self, connection: ClientConnection) -> None:
        """It has sent something useful."""
        connection.last_received_at = self.loop.now

    def reassign(self, task: Task, connection: ClientConnection) -> None:
        """The task belongs to that connection from now on."""
        old = self.connections.get(task.conn)
        if task.state is TaskState.OPEN:
            if old is not None:
                old.open.pop(task.id, None)
            connection.open[task.id] = None
        else:
            if old is not None:
                old.running_count -= 1
            connection.running_count += 1
        task.conn = connection.number

    # Closing

    def sweep(self) -> None:
        """Forget releases that are too old, close connections that are of no use."""
        self._drop_old_releases()
        for connection in list(self.connections.values()):
            self._forget_acknowledgements(connection)
            self._close_if_unused(connection)

    def idlest_connection(self) -> int | None:
        """The connection that can best be closed for room: nothing under way, longest without a useful
        message.
        """
        idle = [c for c in self.connections.values() if not c.open and not c.closing]
        for connection in sorted(
            idle, key=lambda c: (c.running_count > 0, c.last_received_at, c.connected_at)
        ):
            if not self.has_unread(connection.number):
                connection.closing = True
                return connection.number
        return None

    def _close_if_unused(self, connection: ClientConnection) -> None:
        if connection.open or connection.closing:
            return
        now, last = self.loop.now, connection.last_received_at
        # Danger: connections that send nothing, or nothing useful, would take all descriptors.
        is_silent = not last and connection.connected_at < now - UNRESPONSIVE_US
        is_idle = last and not connection.running_count and last < now - IDLE_US
        # Danger: a placement request that waits its turn would find its connection closed, and is lost.
        if (is_silent or is_idle) and not self.has_unread(connection.number):
            self._close(connection, "silent" if is_silent else "idle")

    def _close(self, connection: ClientConnection, why: str) -> None:
        connection.closing = True
        self.loop.count("closed_" + why)
        self.loop.emit(ev.CloseClient(connection.number, why))

    # Messages that cannot be used

    def unexpected(self, connection: ClientConnection) -> None:
        """A message without a meaning here. Danger: who sends nothing else is owed a close; a good client,
        whose message crossed with ours, must not lose what it has open, nor placement requests that were read
        after that message and wait.
        """
        connection.rejections += 1
        if connection.open or self.has_unread(connection.number):
            return
        if not connection.last_received_at or connection.rejections > MAX_REJECTIONS:
            self._close(connection, "useless")

    def reject(
        self, connection: ClientConnection, id: str, cause: Cause, why: str, after_us: int = 0
    ) -> None:
        """Refuse a placement request without taking it. ``after_us``: when the client may come again."""
        self.loop.count("rejected_" + why)
        fields = {"wait": str(max(1, after_us // 1000))} if after_us else {}
        message = Message(Kind.RELEASE, id, fields, int(cause))
        self.loop.emit(ev.SendToClient(connection.number, message))
        if cause is not Cause.INVALID:
            # Danger: a good client that is rejected at SIGTERM, or for want of room, would have its
            # connection closed under the placement requests that wait behind.
            self.touch(connection)
            return
        connection.rejections += 1
        is_useless = connection.rejections > MAX_REJECTIONS and not connection.last_received_at
        if is_useless and not connection.open:
            self._close(connection, "useless")

    # Releases

    def release(self, number: int, client: str, message: Message) -> None:
        """Send a release on that connection, else on another of that client's, else on its next."""
        connection = self.connections.get(number)
        if connection is None or connection.closing:
            connection = self._latest_of(client)
        if connection is not None:
            self.send_release(connection, message)
            return
        self.loop.count("releases_queued")
        self.pending_releases.append(PendingRelease(self.loop.now, client, message))
        if len(self.pending_releases) > MAX_PENDING_RELEASES:
            self.pending_releases.popleft()
            self.loop.count("releases_dropped")

    def send_release(self, connection: ClientConnection, message: Message) -> None:
        """Send a release that the client is to acknowledge."""
        connection.unacknowledged.append((self.loop.now, message))
        if len(connection.unacknowledged) > MAX_UNACKNOWLEDGED:
            connection.unacknowledged.popleft()
        self.loop.emit(ev.SendToClient(connection.number, message))

    def acknowledge(self, connection: ClientConnection, id: str) -> None:
        """The client has received the release of that task."""
        waiting = connection.unacknowledged
        if any(message.id == id for _, message in waiting):
            self.touch(connection)
            connection.unacknowledged = deque(sent for sent in waiting if sent[1].id != id)
        elif not connection.last_received_at:
            self.unexpected(connection)

    def resend_unacknowledged(self, connection: ClientConnection) -> None:
        """Danger: a release that was written as the connection broke was not received, and its task stays up
        there.
        """
        for at, message in connection.unacknowledged:
            if at > self.loop.now - UNACKNOWLEDGED_US:
                self.release(0, connection.client, message)

    def _latest_of(self, client: str) -> ClientConnection | None:
        """The client's connection that was useful last, but for those that are being closed."""
        all_of = [self.connections[number] for number in self.by_client.get(client, ())]
        usable = [connection for connection in all_of if not connection.closing]
        return max(usable, key=lambda c: c.last_received_at, default=None)

    def _send_pending_releases(self, connection: ClientConnection) -> None:
        others: deque[PendingRelease] = deque()
        for pending in self.pending_releases:
            if pending.client == connection.client:
                self.send_release(connection, pending.message)
            else:
                others.append(pending)
        self.pending_releases = others

    def _drop_old_releases(self) -> None:
        pending, oldest = self.pending_releases, self.loop.now - PENDING_RELEASES_US
        while pending and (pending[0].since < oldest or len(pending) > MAX_PENDING_RELEASES):
            pending.popleft()
            self.loop.count("releases_dropped")

    def _forget_acknowledgements(self, connection: ClientConnection) -> None:
        waiting = connection.unacknowledged
        while waiting and waiting[0][0] < self.loop.now - UNACKNOWLEDGED_US:
            waiting.popleft()

"""Client connections as the core knows them: which ones to keep open, and the delivery of releases.

No I/O or clock. Invariants (tests/platform/test_platform_core.py):

1. A release is sent on the connection of its placement request, or on another connection of the same client,
   or else on the next connection that this client opens. A release that may not have been received when its
   connection broke is sent again.
2. A connection with an open task is never closed, nor is a connection with a placement request that was read
   and not yet handled.
3. A release is kept until the client acknowledges it, or until ``UNACKNOWLEDGED_US`` have passed and the
   client's system has received everything that was written on the connection: acknowledgements are optional.
4. Bounds: the unacknowledged releases of a connection (``MAX_UNACKNOWLEDGED``) and the releases that wait for
   a connection (``MAX_PENDING_RELEASES``, ``PENDING_RELEASES_US``). The service bounds the connections.

Tables: ``connections`` (by number), ``by_client`` (the numbers of a client's connections) and
``pending_releases``.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..planner.event_loop import EventLoop
from . import events as ev
from .messages import Cause, Kind, Message
from .tables import Task, TaskState

UNRESPONSIVE_US = 2_000_000  # age at which a connection that has sent nothing useful is closed
IDLE_US = 6_000_000  # idle time after which a connection is closed; clients close theirs after 4 s
UNACKNOWLEDGED_US = 1_500_000  # a release sent this long before its connection breaks may not have arrived
MAX_UNACKNOWLEDGED = 4096  # unacknowledged releases of one connection; the oldest is dropped first
MAX_PENDING_RELEASES, PENDING_RELEASES_US = 4096, 60_000_000
MAX_REJECTIONS = 16  # unusable messages on a connection before it is closed


@dataclass(slots=True)
class ClientConnection:
    """A connection of a client, its tasks and its unacknowledged releases."""

    number: int
    client: str
    connected_at: int
    last_received_at: int = 0  # when the last useful message was received; 0 before the first
    open: dict[str, None] = field(default_factory=dict)  # ids of the connection's open tasks
    running_count: int = 0
    rejections: int = 0
    closing: bool = False
    # Releases that are not acknowledged yet by task id, each with the time it was sent, oldest first.
    unacknowledged: dict[str, tuple[int, Message]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PendingRelease:
    """A release that waits for its client to connect."""

    since: int
    client: str
    message: Message


class ClientSessions:
    """The connections of all clients, and the releases that are not delivered yet."""

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.connections: dict[int, ClientConnection] = {}
        self.by_client: dict[str, dict[int, None]] = {}
        self.pending_releases: deque[PendingRelease] = deque()
        # Whether a connection has input that is not handled yet; the service replaces it.
        self.has_unread: Callable[[int], bool] = lambda _number: False
        # Whether the client's system has received all that was written; the service replaces it.
        self.is_delivered: Callable[[int], bool] = lambda _number: True

    def get(self, number: int) -> ClientConnection | None:
        """Return the connection with a number, or None if there is none."""
        return self.connections.get(number)

    def add(self, number: int, client: str) -> None:
        """Register a new connection and send the releases that wait for its client."""
        connection = ClientConnection(number, client, self.loop.now)
        self.connections[number] = connection
        self.by_client.setdefault(client, {})[number] = None
        if self.pending_releases:
            self._send_pending_releases(connection)

    def remove(self, number: int) -> ClientConnection | None:
        """Remove a connection. Return it, or None if there is none with that number."""
        connection = self.connections.pop(number, None)
        if connection is None:
            return None
        others = self.by_client.get(connection.client, {})
        others.pop(number, None)
        if not others:
            self.by_client.pop(connection.client, None)
        return connection

    def touch(self, connection: ClientConnection) -> None:
        """Record that a useful message was received on a connection."""
        connection.last_received_at = self.loop.now

    def reassign(self, task: Task, connection: ClientConnection) -> None:
        """Move a task to another connection of its client."""
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
        """Drop releases that are too old and close connections that are unresponsive or idle."""
        self._drop_old_releases()
        for connection in list(self.connections.values()):
            self._forget_acknowledgements(connection)
            self._close_if_unused(connection)

    def idlest_connection(self) -> int | None:
        """Choose the connection to close when a new one needs its place, and mark it as closing.

        Return its number, or None if every connection has open tasks or unhandled input. Connections without
        running tasks come first, then those with the oldest useful message.
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
        # Without this, connections that send nothing useful would use up all file descriptors.
        is_silent = not last and connection.connected_at < now - UNRESPONSIVE_US
        is_idle = last and not connection.running_count and last < now - IDLE_US
        # Without the ``has_unread`` check, a placement request that is not handled yet would be lost.
        if (is_silent or is_idle) and not self.has_unread(connection.number):
            self._close(connection, "silent" if is_silent else "idle")

    def _close(self, connection: ClientConnection, why: str) -> None:
        connection.closing = True
        self.loop.count("closed_" + why)
        self.loop.emit(ev.CloseClient(connection.number, why))

    # Unexpected and invalid messages

    def handle_unexpected(self, connection: ClientConnection) -> None:
        """Count a message that has no meaning in the current state; close a connection that sends no other.

        A correct client's message may cross with one from the planner. Its connection stays open while it has
        open tasks, or placement requests that were read after that message and are not handled yet.
        """
        connection.rejections += 1
        if connection.open or self.has_unread(connection.number):
            return
        if not connection.last_received_at or connection.rejections > MAX_REJECTIONS:
            self._close(connection, "useless")

    def reject(
        self, connection: ClientConnection, id: str, cause: Cause, why: str, after_us: int = 0
    ) -> None:
        """Reject a placement request. ``after_us``: how long the client should wait before a retry."""
        self.loop.count("rejected_" + why)
        fields = {"wait": str(max(1, after_us // 1000))} if after_us else {}
        message = Message(Kind.RELEASE, id, fields, int(cause))
        self.loop.emit(ev.SendToClient(connection.number, message))
        if cause is not Cause.INVALID:
            # Without this, a correct client whose requests are rejected during shutdown or for lack of
            # capacity would have its connection closed, and lose the placement requests that still wait.
            self.touch(connection)
            return
        connection.rejections += 1
        is_useless = connection.rejections > MAX_REJECTIONS and not connection.last_received_at
        if is_useless and not connection.open:
            self._close(connection, "useless")

    # Releases

    def release(self, number: int, client: str, message: Message) -> None:
        """Send a release on a connection, on another of the same client, or when the client reconnects."""
        connection = self.connections.get(number)
        if connection is None or connection.closing:
            connection = self._last_active_connection(client)
        if connection is not None:
            self.send_release(connection, message)
            return
        self.loop.count("releases_queued")
        self.pending_releases.append(PendingRelease(self.loop.now, client, message))
        if len(self.pending_releases) > MAX_PENDING_RELEASES:
            self.pending_releases.popleft()
            self.loop.count("releases_dropped")

    def send_release(self, connection: ClientConnection, message: Message) -> None:
        """Send a release and keep it until the client acknowledges it."""
        waiting = connection.unacknowledged
        waiting.pop(message.id, None)
        waiting[message.id] = (self.loop.now, message)
        if len(waiting) > MAX_UNACKNOWLEDGED:
            del waiting[next(iter(waiting))]
            self.loop.count("releases_dropped")
        self.loop.emit(ev.SendToClient(connection.number, message))

    def acknowledge(self, connection: ClientConnection, id: str) -> None:
        """Drop the release that a client has acknowledged."""
        if connection.unacknowledged.pop(id, None) is not None:
            self.touch(connection)
        elif not connection.last_received_at:
            self.handle_unexpected(connection)

    def resend_unacknowledged(self, connection: ClientConnection) -> None:
        """Send the unacknowledged releases of a broken connection again.

        A release that was written while the connection broke may be lost; without it, the client would take
        its task for running.
        """
        for _, message in connection.unacknowledged.values():
            self.release(0, connection.client, message)

    def _last_active_connection(self, client: str) -> ClientConnection | None:
        """Return the client's open connection with the latest useful message, or None."""
        connections = [self.connections[number] for number in self.by_client.get(client, ())]
        usable = [connection for connection in connections if not connection.closing]
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
        oldest = self.loop.now - UNACKNOWLEDGED_US
        due = [id for id, (at, _) in connection.unacknowledged.items() if at < oldest]
        if due and self.is_delivered(connection.number):
            for id in due:
                del connection.unacknowledged[id]

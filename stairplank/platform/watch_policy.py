"""Decides which connections to the node list service are kept and when to dial. No I/O or clock.

All connections deliver the same updates: updates are numbered, and repeats are ignored. Events: a connection
was dialled, delivered bytes or a whole line, fell silent, ended. Invariants
(tests/platform/test_platform_watch_policy.py):

1. A connection that delivers is closed only for a newer one that delivers.
2. A connection that has not delivered yet is kept for ``FIRST_LINE_TIMEOUT_S``, as the service may be slow to
   answer; at the bound of ``MAX_CONNECTIONS``, the youngest of these gives way to a new one.
3. While a connection delivers, a new one is dialled every ``RENEWAL_INTERVAL_S``; while none does, as soon as
   the newest has been silent for ``SILENCE_TIMEOUT_S``.

Times are seconds on a monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_CONNECTIONS = 5
SILENCE_TIMEOUT_S = 1.2  # the service sends its revision each second
RENEWAL_INTERVAL_S = 2.0  # a new connection is opened after this time without an update
FIRST_LINE_TIMEOUT_S = 12.0


@dataclass(slots=True, eq=False)
class WatchConnection:
    """What is known of a connection to the node list service."""

    opened_s: float
    heard_s: float  # when it was opened or last delivered bytes
    has_delivered: bool = False  # whether it has delivered a whole line


class WatchPolicy:
    """The connections to the service, the newest last."""

    def __init__(self) -> None:
        self.connections: list[WatchConnection] = []
        self.progress_s = 0.0  # when the newest connection was opened, or an update arrived

    def dialled(self, now_s: float) -> tuple[WatchConnection, list[WatchConnection]]:
        """Add a new connection. Return it and those to close for it."""
        closed = [c for c in self._pending() if now_s - c.opened_s >= FIRST_LINE_TIMEOUT_S]
        self._remove(closed)
        while len(self.connections) >= MAX_CONNECTIONS:
            youngest = (self._pending() or self.connections)[-1]
            closed.append(youngest)
            self._remove([youngest])
        connection = WatchConnection(now_s, now_s)
        self.connections.append(connection)
        self.progress_s = now_s
        return connection, closed

    def heard(self, connection: WatchConnection, now_s: float) -> None:
        """Note that bytes arrived: a long line that arrives in pieces is alive."""
        connection.heard_s = now_s

    def delivered(self, connection: WatchConnection, now_s: float, is_update: bool) -> list[WatchConnection]:
        """Note a whole line. Return the older connections, which are to be closed."""
        connection.heard_s = now_s
        connection.has_delivered = True
        if is_update:
            self.progress_s = now_s
        if connection not in self.connections:
            return []
        older = self.connections[: self.connections.index(connection)]
        self._remove(older)
        return older

    def ended(self, connection: WatchConnection) -> bool:
        """Remove a connection that has ended. Return whether to dial without waiting for the renewal."""
        if connection not in self.connections:
            return False
        was_newest = self.connections[-1] is connection
        self._remove([connection])
        return was_newest

    def fell_silent(self, connection: WatchConnection, now_s: float) -> bool:
        """Return whether to dial now that a connection was silent for ``SILENCE_TIMEOUT_S``."""
        is_newest = bool(self.connections) and self.connections[-1] is connection
        return is_newest and not self.is_delivering(now_s)

    def is_delivering(self, now_s: float) -> bool:
        """Return whether a connection has delivered a line and goes on delivering."""
        return any(c.has_delivered and now_s - c.heard_s < SILENCE_TIMEOUT_S for c in self.connections)

    def renewal_due_s(self) -> float:
        """Return when to dial beside the connections that are open."""
        return self.progress_s + RENEWAL_INTERVAL_S

    def _pending(self) -> list[WatchConnection]:
        return [c for c in self.connections if not c.has_delivered]

    def _remove(self, connections: list[WatchConnection]) -> None:
        self.connections = [c for c in self.connections if c not in connections]

"""Tables of client sessions and of their placements, with look-ups and messages to clients.

No I/O or clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from .. import interface as api
from . import events as ev
from .abandoned_attempts import PlacementState
from .context import CoreContext
from .placement import Placement


@dataclass(slots=True)
class Session:
    """A client's session: one stream from the client to this planner."""

    client: str
    placements: dict[int, Placement] = field(default_factory=dict)  # placements by request number
    groups: dict[int, int] = field(default_factory=dict)  # group numbers by request number
    open_tasks: int = 0  # number of single tasks without an outcome


class Groups(Protocol):
    """The methods of groups that clients' requests use."""

    def client_connected(self, client: str, session: int, is_live: Callable[[int], bool]) -> None:
        """Move the client's groups whose session is not open to its new session."""

    def client_disconnected(self, number: int, other_session: int) -> None:
        """Move a group whose session was closed to another session if it is placed, else cancel it."""

    def cancel(self, number: int) -> None:
        """Cancel a group at its client's request."""

    def member_unplaced(self, placement: Placement) -> None:
        """Fail a member for which the decision module found no node."""

    def member_gone(self, placement: Placement) -> None:
        """Notify the member's group that the member's placement was removed from the table."""


class RequestTable:
    """The tables of sessions and placements."""

    def __init__(self, context: CoreContext) -> None:
        """Create empty tables; the core sets the other components before the first event."""
        self.context = context
        self.groups: Groups
        self.sessions: dict[int, Session] = {}
        self.by_client: dict[str, list[int]] = {}  # the client's sessions, the newest last
        self.placements: dict[int, Placement] = {}
        self.by_client_key: dict[tuple[str, int], Placement] = {}

    # Sessions

    def is_connected(self, session: int) -> bool:
        """Whether a session is open."""
        return session in self.sessions

    def client_of(self, session: int) -> str:
        """Return the name of an open session's client."""
        return self.sessions[session].client

    def newest_session(self, client: str) -> int:
        """Return the client's newest session; 0 if it has none."""
        return (self.by_client.get(client) or [0])[-1]

    def register_group(self, session: int, request: int, number: int) -> None:
        """Record the group that a session's request created."""
        self.sessions[session].groups[request] = number

    def forget_group(self, session: int, request: int) -> None:
        """Remove a group that is over from its session."""
        if session in self.sessions:
            self.sessions[session].groups.pop(request, None)

    def _open_session(self, session: int, client: str) -> None:
        self.sessions[session] = Session(client)
        self.by_client.setdefault(client, []).append(session)

    def _close_session(self, session: int) -> Session | None:
        """Remove and return a session; None if it was not open."""
        closed = self.sessions.pop(session, None)
        if closed is None:
            return None
        others = self.by_client.get(closed.client, [])
        if session in others:
            others.remove(session)
        if not others:
            self.by_client.pop(closed.client, None)
        return closed

    # Placements

    def find(self, number: int) -> Placement | None:
        """Return the placement of that number, or None if it is not in the table."""
        return self.placements.get(number)

    def find_by_key(self, client: str, key: int) -> Placement | None:
        """Return the placement of the client's task with that key, or None if it is not in the table."""
        return self.by_client_key.get((client, key))

    def all_placements(self) -> list[Placement]:
        """Return all placements in order of creation."""
        return list(self.placements.values())

    def register(self, placement: Placement) -> None:
        """Add a placement to the tables, by number and by client and key."""
        self.placements[placement.number] = placement
        self.by_client_key[placement.client_key] = placement

    def forget_if_done(self, placement: Placement) -> None:
        """Remove a placement that has its outcome and no attempts."""
        if placement.state is PlacementState.OPEN or placement.attempts:
            return
        if self.placements.pop(placement.number, None) is not None and placement.group is not None:
            self.groups.member_gone(placement)
        if self.by_client_key.get(placement.client_key) is placement:
            del self.by_client_key[placement.client_key]
        session = self.sessions.get(placement.session)
        if session is not None and session.placements.get(placement.request) is placement:
            del session.placements[placement.request]

    def module_task(self, placement: Placement) -> api.Task:
        """Return the task in the form that the decision module uses."""
        task = placement.task
        return api.Task(
            placement.number,
            placement.class_index,
            self.context.tenants.get(task.tenant, 0),
            task.key,
            placement.deadline,
            task.service,
            task.cores,
            task.memory,
            task.expected_duration_us or None,
            task.resubmitted,
        )

    # Messages

    def notify(self, placement: Placement, message: ev.ClientMessage) -> None:
        """Send a message on the placement's session, if it is open."""
        self.notify_session(placement.session, message)

    def notify_session(self, session: int, message: ev.ClientMessage) -> None:
        """Send a message on a session, if it is open."""
        if session in self.sessions:
            self.context.emit(ev.SendToClient(session, message))

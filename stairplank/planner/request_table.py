"""Client sessions and the placements they requested: tables, look-ups and messages to clients.

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
    """One client's stream."""

    client: str
    placements: dict[int, Placement] = field(default_factory=dict)  # by request
    groups: dict[int, int] = field(default_factory=dict)  # numbers of groups, by request
    open_tasks: int = 0  # single tasks without outcome


class Groups(Protocol):
    """What clients' requests need of groups."""

    def client_connected(self, owner: str, session: int, live: Callable[[int], bool]) -> None:
        """A client opened a session."""

    def client_disconnected(self, number: int, other: int) -> None:
        """A group's session is closed; the client has another one, or 0."""

    def cancel(self, number: int) -> None:
        """The client cancelled a group."""

    def member_unplaced(self, placing: Placement) -> None:
        """The decision module found no node for a member."""

    def member_gone(self, placing: Placement) -> None:
        """Nothing is left of a member's placement."""


class RequestTable:
    """Tables of sessions and placements."""

    def __init__(self, context: CoreContext) -> None:
        """Other components are set before the first event."""
        self.context = context
        self.groups: Groups
        self.sessions: dict[int, Session] = {}
        self.by_client: dict[str, list[int]] = {}  # sessions, the newest last
        self.placements: dict[int, Placement] = {}
        self.by_client_key: dict[tuple[str, int], Placement] = {}

    # Sessions

    def is_connected(self, session: int) -> bool:
        """Whether a session is open."""
        return session in self.sessions

    def client_of(self, session: int) -> str:
        """The client of an open session."""
        return self.sessions[session].client

    def newest_session(self, client: str) -> int:
        """The client's newest session, or 0."""
        return (self.by_client.get(client) or [0])[-1]

    def register_group(self, session: int, request: int, number: int) -> None:
        """A request of this session is for that group."""
        self.sessions[session].groups[request] = number

    def forget_group(self, session: int, request: int) -> None:
        """Nothing is left of a group."""
        if session in self.sessions:
            self.sessions[session].groups.pop(request, None)

    def _open_session(self, session: int, client: str) -> None:
        self.sessions[session] = Session(client)
        self.by_client.setdefault(client, []).append(session)

    def _close_session(self, session: int) -> Session | None:
        """Remove a session; None if it was not open."""
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
        """The placement of that number, unless it is forgotten."""
        return self.placements.get(number)

    def find_by_key(self, client: str, key: int) -> Placement | None:
        """The placement of a client's task, unless it is forgotten."""
        return self.by_client_key.get((client, key))

    def all_placements(self) -> list[Placement]:
        """Every placement, in order of creation."""
        return list(self.placements.values())

    def register(self, placement: Placement) -> None:
        """Make a placement known by number, and by client and key."""
        self.placements[placement.number] = placement
        self.by_client_key[placement.client_key] = placement

    def forget_if_done(self, placement: Placement) -> None:
        """Drop a placement that has its outcome and of which nothing is at a node."""
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
        """The task as the decision module gets it."""
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

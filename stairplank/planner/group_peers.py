"""The methods of the core's other components that groups use."""

from __future__ import annotations

from typing import Protocol

from .. import interface as api
from ..groups.capacity import ClusterCapacity, NodeCapacity
from . import events as ev
from .events import AttemptId
from .placement import Attempt, Placement


class ClientRequests(Protocol):
    """The methods of clients' requests that groups use."""

    def request_error(self, session: int, request: int) -> ev.Rejection | None:
        """Return why a request with this number is rejected, or None."""

    def task_error(self, task: ev.TaskSpec, wait_us: int) -> ev.Rejection | None:
        """Return why a task is rejected, or None."""

    def capacity_error(self, session: int) -> ev.Rejection | None:
        """Return a rejection if a bound on open tasks or attempts is reached, or None."""

    def reject(self, session: int, request: int, rejection: ev.Rejection) -> None:
        """Send the client a rejection of its request."""

    def client_of(self, session: int) -> str:
        """Return the name of a session's client."""

    def find_by_key(self, client: str, key: int) -> Placement | None:
        """Return the placement of the client's task with that key, or None."""

    def newest_session(self, client: str) -> int:
        """Return the client's newest session; 0 if it has none."""

    def register_group(self, session: int, request: int, number: int) -> None:
        """Record the group that a session's request created."""

    def forget_group(self, session: int, request: int) -> None:
        """Remove a group that is over from its session."""

    def notify_session(self, session: int, message: ev.ClientMessage) -> None:
        """Send a message on a session, if it is open."""

    def register(self, placement: Placement) -> None:
        """Add a placement to the tables."""

    def module_task(self, placement: Placement) -> api.Task:
        """Return the task in the form that the decision module uses."""


class Attempts(Protocol):
    """The methods of attempts that groups use."""

    def find(self, id: AttemptId) -> Attempt | None:
        """Return the attempt, or None if it has ended."""

    def abandon_member(self, placement: Placement) -> None:
        """Stop every attempt of a member's placement."""

    def adopt(self, node: int, id: AttemptId, task: ev.TaskSpec, running: bool) -> Attempt:
        """Track an attempt of an earlier incarnation; return it."""


class Links(Protocol):
    """The methods of the links to nodes that groups use."""

    def is_up(self, node: int) -> bool:
        """Whether the link to a node is up."""


class NodeList(Protocol):
    """The methods of the node list that groups use."""

    def capacity(self) -> ClusterCapacity:
        """Return the total capacity of all listed nodes."""

    def ready_nodes(self) -> tuple[NodeCapacity, ...]:
        """Return the capacity of each ready node."""

    def rack(self, node: int) -> str:
        """Return the name of a node's rack."""


class GroupPeers:
    """The other components that groups use; the core sets them when it connects its components."""

    requests: ClientRequests
    attempts: Attempts
    links: Links
    node_list: NodeList

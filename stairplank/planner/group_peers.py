"""What groups need of the other components of the core."""

from __future__ import annotations

from typing import Protocol

from .. import interface as api
from ..groups.capacity import ClusterCapacity, NodeCapacity
from . import events as ev
from .events import AttemptId
from .placement import Attempt, Placement


class ClientRequests(Protocol):
    """What groups need of the clients' requests."""

    def request_error(self, session: int, ask: int) -> ev.Rejection | None:
        """Why this request id is rejected, or None."""

    def task_error(self, task: ev.TaskSpec, wait_us: int) -> ev.Rejection | None:
        """Why this task is rejected, or None."""

    def capacity_error(self, session: int) -> ev.Rejection | None:
        """Why the planner admits no more of this session, or None."""

    def reject(self, session: int, ask: int, rejection: ev.Rejection) -> None:
        """Notify the client that its request is rejected."""

    def client_of(self, session: int) -> str:
        """The client's name."""

    def find_by_key(self, owner: str, key: int) -> Placement | None:
        """The placement of this task, if there is one."""

    def newest_session(self, owner: str) -> int:
        """The client's newest session; 0: none."""

    def register_group(self, session: int, ask: int, number: int) -> None:
        """A request of this session was admitted as this group."""

    def forget_group(self, session: int, ask: int) -> None:
        """The group of this request is over."""

    def notify_session(self, session: int, word: ev.ClientMessage) -> None:
        """Send a message on this session."""

    def register(self, placing: Placement) -> None:
        """Add a placement to those that are known."""

    def module_task(self, placing: Placement) -> api.Task:
        """The task as the decision module takes it."""


class Attempts(Protocol):
    """What groups need of the attempts."""

    def find(self, id: AttemptId) -> Attempt | None:
        """The attempt, unless its end is known."""

    def abandon_member(self, placing: Placement) -> None:
        """Abandon all attempts of this placement."""

    def adopt(self, node: int, id: AttemptId, spec: ev.TaskSpec, running: bool) -> Attempt:
        """Take over an attempt of an earlier incarnation."""


class Links(Protocol):
    """What groups need of the links to nodes."""

    def is_up(self, node: int) -> bool:
        """Whether the link to this node is up."""


class NodeList(Protocol):
    """What groups need of the node list."""

    def capacity(self) -> ClusterCapacity:
        """Capacity of all listed nodes together."""

    def ready_nodes(self) -> tuple[NodeCapacity, ...]:
        """Capacity of each ready node."""

    def rack(self, node: int) -> str:
        """The rack of this node."""


class GroupPeers:
    """The components that groups use; the core sets them when it connects its components."""

    requests: ClientRequests
    attempts: Attempts
    links: Links
    list: NodeList

"""The records of one task's placement and of one attempt; comments name the component that sets a field."""

from __future__ import annotations

from typing import NamedTuple

from .. import interface as api
from . import events as ev
from .abandoned_attempts import PlacementState
from .context import CoreContext
from .events import AttemptId
from .transitions import ATTEMPT, PLACEMENT, AttemptEvent, AttemptState, PlacementEvent


class _StateFlags(NamedTuple):
    """Flags derived from an attempt's state; precomputed, as reads far outnumber changes of state."""

    waiting: bool
    accepted: bool
    running: bool
    outcome_reported: bool


def _flags(state: AttemptState) -> _StateFlags:
    running = state in (AttemptState.RUNNING, AttemptState.ABANDONED_RUNNING)
    accepted = running or state in (AttemptState.ACCEPTED, AttemptState.ABANDONED_ACCEPTED)
    abandoned = state in (
        AttemptState.ABANDONED_SENT,
        AttemptState.ABANDONED_ACCEPTED,
        AttemptState.ABANDONED_RUNNING,
    )
    return _StateFlags(
        waiting=state is AttemptState.WAITING,
        accepted=accepted,
        running=running,
        outcome_reported=abandoned or state is AttemptState.ENDED,
    )


_FLAGS = {state: _flags(state) for state in AttemptState}


class Attempt:
    """One offer of a task to a node, from the decision module's bind to the node's last message.

    The component ``attempts`` owns it. ``id`` identifies it in messages with nodes; its placement and
    ``number`` identify it to the decision module.
    """

    __slots__ = (
        "accepted",
        "context",
        "created_at",
        "deadline",
        "id",
        "leased_until",
        "node",
        "number",
        "outcome_reported",
        "placement",
        "running",
        "state",
        "stop_reason",
        "waiting",
    )

    def __init__(
        self,
        context: CoreContext,
        id: AttemptId,
        placement: Placement,
        number: int,
        node: int,
        state: AttemptState = AttemptState.SENT,
    ) -> None:
        """Create an attempt at the current time of ``context``."""
        self.context = context
        self.id = id
        self.placement = placement
        self.number = number
        self.node = node
        self.created_at = context.now
        self._enter(state)
        self.deadline = 0  # time at which the attempt is abandoned unless it is bound
        self.stop_reason: ev.StopReason | None = None  # why the node was last ordered to stop it
        self.leased_until = 0  # time until which the node certainly keeps a committed group member

    def transition(self, event: AttemptEvent) -> None:
        """Change the state by an event. Raises IllegalTransitionError."""
        self._enter(self.context.transition(ATTEMPT, self.state, event))

    def _enter(self, state: AttemptState) -> None:
        self.state = state
        self.waiting, self.accepted, self.running, self.outcome_reported = _FLAGS[state]


class Placement:
    """The placement of one requested or adopted task, until it has its outcome and no attempts."""

    __slots__ = (
        "attempts",
        "attempts_made",
        "bound_attempt",
        "cancelled",
        "class_index",
        "context",
        "deadline",
        "end_reason",
        "group",
        "known_not_run",
        "last_reason",
        "number",
        "request",
        "session",
        "state",
        "task",
    )

    def __init__(
        self,
        context: CoreContext,
        session: int,
        request: int,
        task: ev.TaskSpec,
        state: PlacementState = PlacementState.OPEN,
    ) -> None:
        """Create a placement with a new number; ``session`` and ``request`` are 0 if no request is known."""
        self.context = context
        self.number = context.next_number()
        self.task = task
        self.class_index = context.classes[task.task_class]
        self.state = state
        self.deadline = 0
        # client_requests sets the session that gets messages on the task, and the request number in them.
        self.session = session
        self.request = request
        self.cancelled = False
        # group_requests and group_members set the group's number and the member's index in the group.
        self.group: tuple[int, int] | None = None
        # The component attempts sets the following fields.
        self.end_reason = ""  # how a member's last attempt ended: "finished" or why it did not finish
        self.attempts: dict[AttemptId, Attempt] = {}  # attempts that have not ended
        self.bound_attempt: Attempt | None = None  # runs the task, or accepted it if accepting binds
        self.attempts_made = 0
        self.last_reason = api.Reason.UNTOLD
        self.known_not_run = True  # whether every ended attempt is proven not to have run

    @property
    def client_key(self) -> tuple[str, int]:
        """The client's name and task key, which identify the task to its client."""
        return self.task.client, self.task.key

    @property
    def effect(self) -> api.Effect:
        """The effect that a second run of the task has."""
        return self.context.effect(self.class_index)

    def transition(self, event: PlacementEvent) -> None:
        """Set the one outcome of the placement. Raises IllegalTransitionError."""
        self.state = self.context.transition(PLACEMENT, self.state, event)

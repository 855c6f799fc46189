"""The records of one task's placement and of one attempt to place it; each field names who sets it."""

from __future__ import annotations

from typing import NamedTuple

from .. import interface as api
from . import events as ev
from .abandoned_attempts import PlacementState
from .context import CoreContext
from .events import AttemptId
from .transitions import ATTEMPT, PLACEMENT, AttemptEvent, AttemptState, PlacementEvent


class _StateFlags(NamedTuple):
    """What a state implies. Computed once: flags are read far more often than states change."""

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
        outcome_reported=abandoned or state is AttemptState.OVER,
    )


_FLAGS = {state: _flags(state) for state in AttemptState}


class Attempt:
    """One offer to a node, from the decision module's bind to the node's last message on it.

    Owned by ``attempts``. ``id`` names it on links; placement and ``number`` name it to the decision module.
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
        """An attempt that is created now."""
        self.context = context
        self.id = id
        self.placement = placement
        self.number = number
        self.node = node
        self.created_at = context.now
        self._enter(state)
        self.deadline = 0  # it is abandoned then, unless it is bound
        self.leased_until = 0  # a committed member of a group: its node holds it for certain until then

    def transition(self, event: AttemptEvent) -> None:
        """Change the state. Raises IllegalTransitionError."""
        self._enter(self.context.transition(ATTEMPT, self.state, event))

    def _enter(self, state: AttemptState) -> None:
        self.state = state
        self.waiting, self.accepted, self.running, self.outcome_reported = _FLAGS[state]


class Placement:
    """One task that was requested, adopted or found, until nothing of it is left."""

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
        """A placement with a new number, requested by ``request`` of ``session`` (0: by none)."""
        self.context = context
        self.number = context.next_number()
        self.task = task
        self.class_index = context.classes[task.task_class]
        self.state = state
        self.deadline = 0
        # Set by client_requests: the session that is notified, and the request it is notified on.
        self.session = session
        self.request = request
        self.cancelled = False
        # Set by grouping: group number and member, if it is a member of a group.
        self.group: tuple[int, int] | None = None
        # Set by attempts.
        self.end_reason = ""  # of a member's last attempt: "finished" or why it did not finish
        self.attempts: dict[AttemptId, Attempt] = {}  # those that have not ended
        self.bound_attempt: Attempt | None = None  # it runs, or was accepted where accepting binds
        self.attempts_made = 0
        self.last_reason = api.Reason.UNTOLD
        self.known_not_run = True  # every attempt that ended is proven not to have run

    @property
    def client_key(self) -> tuple[str, int]:
        """Client and task key, by which the client names it."""
        return self.task.client, self.task.key

    @property
    def effect(self) -> api.Effect:
        """What a second run of the task would do."""
        return self.context.effect(self.class_index)

    def transition(self, event: PlacementEvent) -> None:
        """Decide its one outcome. Raises IllegalTransitionError."""
        self.state = self.context.transition(PLACEMENT, self.state, event)

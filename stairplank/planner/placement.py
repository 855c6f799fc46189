"""One task on its way, and one offer of it to a node. Which room may touch what is said at each field."""

from __future__ import annotations

from .. import interface as api
from . import events as ev
from .abandoned_attempts import PlacementState
from .context import CoreContext
from .events import AttemptId
from .transitions import ATTEMPT, PLACEMENT, AttemptState

_ACCEPTED = (
    AttemptState.ACCEPTED,
    AttemptState.RUNNING,
    AttemptState.ABANDONED_ACCEPTED,
    AttemptState.ABANDONED_RUNNING,
)
_RUNS = (AttemptState.RUNNING, AttemptState.ABANDONED_RUNNING)
_REPORTED = (
    AttemptState.ABANDONED_SENT,
    AttemptState.ABANDONED_ACCEPTED,
    AttemptState.ABANDONED_RUNNING,
    AttemptState.OVER,
)
# What a stage means, looked at far more often than it changes: waiting, accepted, running, reported.
_MEANS = {s: (s is AttemptState.WAITING, s in _ACCEPTED, s in _RUNS, s in _REPORTED) for s in AttemptState}


class Attempt:
    """One offer to a node, from the module's bind to the node's last word on it. The attempts' room's."""

    __slots__ = (
        "id", "placement", "number", "node", "sent", "stage", "timeout", "lease_expires_at", "context",
        "waiting", "accepted", "running", "reported",
    )  # fmt: skip

    def __init__(
        self,
        context: CoreContext,
        id: AttemptId,
        placing: Placement,
        shot: int,
        node: int,
        stage: AttemptState = AttemptState.SENT,
    ) -> None:
        self.context = context
        self.id = id  # on the links
        self.placement = placing  # with shot: the module's name for it
        self.number = shot
        self.node = node
        self.sent = context.now
        self._enter(stage)
        self.timeout = 0
        self.lease_expires_at = 0  # a group's member that was let run: so long its node keeps it for certain

    def step(self, event: str) -> None:
        self._enter(self.context.transition(ATTEMPT, self.stage, event))

    def _enter(self, stage: AttemptState) -> None:
        """``waiting``: for a link, nothing has left; ``reported``: the module was told its outcome."""
        self.stage = stage
        self.waiting, self.accepted, self.running, self.reported = _MEANS[stage]


class Placement:
    """One task as it was asked for, adopted or found, until nothing of it is left."""

    __slots__ = (
        "context", "number", "session", "request", "spec", "class_index", "expires", "state", "attempts",
        "bound", "attempts_made", "withdrawn", "group", "ended", "last_reason", "proven",
    )  # fmt: skip

    def __init__(
        self,
        context: CoreContext,
        session: int,
        ask: int,
        spec: ev.TaskSpec,
        fate: PlacementState = PlacementState.OPEN,
    ) -> None:
        self.context = context
        self.number = context.next_number()
        self.spec = spec
        self.class_index = context.classes[spec.task_class]
        self.state = fate
        self.expires = 0
        # The owners' room's: on which stream it is told, and under which ask.
        self.session = session
        self.request = ask
        self.withdrawn = False
        # The groups' room's: number and member, where it is one of a group.
        self.group: tuple[int, int] | None = None
        self.ended = ""  # how the last attempt went: "finished" or why not
        # The attempts' room's.
        self.attempts: dict[AttemptId, Attempt] = {}  # without the node's last word
        self.bound: Attempt | None = None  # the one that runs, or was accepted where that binds
        self.attempts_made = 0
        self.last_reason = api.Reason.UNTOLD
        self.proven = True  # every attempt that ended is proven not to have run

    @property
    def name(self) -> tuple[str, int]:
        return self.spec.client, self.spec.key

    @property
    def effect(self) -> api.Effect:
        return self.context.effect(self.class_index)

    def becomes(self, event: str) -> None:
        """Its one outcome: placed, refused, failed or withdrawn."""
        self.state = self.context.transition(PLACEMENT, self.state, event)

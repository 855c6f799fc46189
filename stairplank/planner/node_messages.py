"""Handles the messages of nodes about single attempts. No I/O or clock."""

from __future__ import annotations

from .. import interface as api
from . import events as ev
from .abandoned_attempts import PlacementState
from .attempt_lifecycle import AttemptLifecycle
from .events import AttemptId
from .placement import Attempt
from .transitions import AttemptEvent, PlacementEvent


class NodeMessageHandler:
    """Applies each message of a node to the attempt that it names."""

    def __init__(self, attempts: AttemptLifecycle) -> None:
        """Create a handler that applies messages to these attempts."""
        self.attempts = attempts
        self.context = attempts.context

    def _receive(self, node: int, id: AttemptId) -> Attempt | None:
        """Return the attempt that a node's message is about; None if it is unknown or not at that node."""
        attempt = self.attempts.find(id)
        if attempt is None or attempt.node != node or attempt.waiting:
            return None
        self.attempts.links.mark_settled(node, id)
        return attempt

    def _receive_start(self, node: int, id: AttemptId) -> Attempt | None:
        """Return the attempt like ``_receive``; if it is unknown, request all tasks of the node."""
        attempt = self._receive(node, id)
        if attempt is None:
            self.attempts.links.unknown_attempt_reported(node)
        return attempt

    def node_accepted(self, event: ev.NodeAccepted) -> None:
        """Handle a node's message that it accepted an offer."""
        attempt = self._receive_start(event.node, event.id)
        if attempt is None or attempt.accepted:
            return
        attempt.transition(AttemptEvent.ACCEPTED)
        if attempt.outcome_reported:
            self.attempts.handle_duplicate(attempt)
        elif not self.context.settings.confirms_running and attempt.placement.group is None:
            self._bind(attempt)

    def node_ready(self, event: ev.NodeReady) -> None:
        """Handle a node's message that a member of a group is ready to start."""
        attempt = self._receive_start(event.node, event.id)
        if attempt is None:
            return
        placement = attempt.placement
        if not attempt.accepted:
            attempt.transition(AttemptEvent.ACCEPTED)
        if placement.group is None or placement.bound_attempt is attempt:
            return
        if attempt.outcome_reported or placement.state is not PlacementState.OPEN:
            self.attempts.stop(attempt, ev.StopReason.ABANDONED)
            return
        placement.bound_attempt = attempt
        placement.transition(PlacementEvent.PLACED)
        latency = self.context.now - attempt.created_at
        self.context.notify_module(api.Placed(placement.number, attempt.number, attempt.node, latency))
        self.attempts.groups.member_reserved(placement, attempt)

    def node_running(self, event: ev.NodeRunning) -> None:
        """Handle a node's message that a task has started."""
        attempt = self._receive_start(event.node, event.id)
        if attempt is None or attempt.running:
            return
        was_accepted = attempt.accepted
        attempt.transition(AttemptEvent.RUNNING)
        placement = attempt.placement
        if attempt.outcome_reported:
            if not was_accepted:
                self.attempts.handle_duplicate(attempt)
        elif placement.group is not None:
            if attempt is placement.bound_attempt:
                self.attempts.groups.member_running(placement)
        elif attempt is placement.bound_attempt:
            self._report_status(attempt, api.StatusKind.RUNNING, 1.0)
        else:
            self._bind(attempt)

    def _bind(self, attempt: Attempt) -> None:
        """Bind the task to this attempt, unless its placement already has an outcome."""
        placement = attempt.placement
        if placement.state is not PlacementState.OPEN:
            return  # the placement was cancelled and the stop of this attempt was sent
        placement.bound_attempt = attempt
        latency = self.context.now - attempt.created_at
        self.attempts.requests.task_placed(placement, attempt.node, attempt.number, latency)
        for other in list(placement.attempts.values()):
            if other is not attempt and other.accepted:
                self.attempts.handle_duplicate(other)

    def node_rejected(self, event: ev.NodeRejected) -> None:
        """Handle a node's rejection of an offer, or of a task that it had accepted before."""
        attempt = self._receive(event.node, event.id)
        if attempt is None:
            return
        if attempt is attempt.placement.bound_attempt:
            self.attempts.end(attempt, api.Result.LOST, event.reason)  # rejected after it was accepted
        elif event.late:
            # The attempt is proven not to have run. The rejection counts as unreachable, not as a lack of
            # capacity, because the offer arrived too late over a slow path.
            self.context.count("too_late")
            self.attempts.end(attempt, api.Result.UNREACHABLE)
        else:
            self.attempts.end(attempt, api.Result.REJECTED, event.reason)

    def node_error(self, event: ev.NodeError) -> None:
        """Handle a node's message that it failed to handle an offer."""
        attempt = self._receive(event.node, event.id)
        if attempt is not None:
            self.attempts.end(attempt, api.Result.ERROR)

    def node_ended(self, event: ev.NodeEnded) -> None:
        """Handle a node's message that a task has ended."""
        attempt = self._receive(event.node, event.id)
        if attempt is not None:
            self.attempts.end(attempt, event.result, event.reason)

    def node_usage(self, event: ev.NodeUsage) -> None:
        """Handle a node's report of the resources that a running task uses."""
        attempt = self._receive(event.node, event.id)
        if attempt is None or attempt.outcome_reported:
            return
        for kind, level in (
            (api.StatusKind.CORES_USED, event.cores),
            (api.StatusKind.MEMORY_USED, event.memory),
            (api.StatusKind.SERVED_SHARE, event.served_share),
            (api.StatusKind.NODE_MEMORY_SHARE, event.node_memory_share),
        ):
            if level > 0:
                self._report_status(attempt, kind, level)

    def _report_status(self, attempt: Attempt, kind: api.StatusKind, level: float) -> None:
        number = attempt.placement.number
        update = api.StatusUpdate(number, attempt.number, attempt.node, kind, level)
        self.context.notify_module(update)

"""Handles what nodes report on single attempts. No I/O or clock."""

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
        """``attempts`` holds the attempts that messages are about."""
        self.attempts = attempts
        self.context = attempts.context

    def _receive(self, node: int, id: AttemptId) -> Attempt | None:
        """The attempt that a node's message is about; None if it is unknown, or not at that node."""
        attempt = self.attempts.find(id)
        if attempt is None or attempt.node != node or attempt.waiting:
            return None
        self.attempts.links.mark_settled(node, id)
        return attempt

    def _receive_start(self, node: int, id: AttemptId) -> Attempt | None:
        """As ``_receive``; a node that holds what is unknown here is asked for all that it holds."""
        attempt = self._receive(node, id)
        if attempt is None:
            self.attempts.links.unknown_attempt_reported(node)
        return attempt

    def node_accepted(self, event: ev.NodeAccepted) -> None:
        """A node accepted an offer."""
        attempt = self._receive_start(event.node, event.id)
        if attempt is None or attempt.accepted:
            return
        attempt.transition(AttemptEvent.ACCEPTED)
        if attempt.outcome_reported:
            self.attempts.handle_duplicate(attempt)
        elif not self.context.settings.confirms_running and attempt.placement.group is None:
            self._bind(attempt)

    def node_ready(self, event: ev.NodeReady) -> None:
        """A node holds a member of a group ready to start."""
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
        """A node started a task."""
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
        """The attempt is the one that places its task, unless the task has its outcome already."""
        placement = attempt.placement
        if placement.state is not PlacementState.OPEN:
            return  # cancelled: its stop was sent
        placement.bound_attempt = attempt
        latency = self.context.now - attempt.created_at
        self.attempts.requests.task_placed(placement, attempt.node, attempt.number, latency)
        for other in list(placement.attempts.values()):
            if other is not attempt and other.accepted:
                self.attempts.handle_duplicate(other)

    def node_rejected(self, event: ev.NodeRejected) -> None:
        """A node rejected an offer, or handed back a task that it had accepted."""
        attempt = self._receive(event.node, event.id)
        if attempt is None:
            return
        if attempt is attempt.placement.bound_attempt:
            self.attempts.end(attempt, api.Result.LOST, event.reason)  # accepted first, then handed back
        elif event.late:
            # Proven not to have run. It says nothing about the node's capacity: the path there was slow.
            self.context.count("too_late")
            self.attempts.end(attempt, api.Result.UNREACHABLE)
        else:
            self.attempts.end(attempt, api.Result.REJECTED, event.reason)

    def node_error(self, event: ev.NodeError) -> None:
        """A node failed to handle an offer."""
        attempt = self._receive(event.node, event.id)
        if attempt is not None:
            self.attempts.end(attempt, api.Result.ERROR)

    def node_ended(self, event: ev.NodeEnded) -> None:
        """A task has ended at its node."""
        attempt = self._receive(event.node, event.id)
        if attempt is not None:
            self.attempts.end(attempt, event.result, event.reason)

    def node_usage(self, event: ev.NodeUsage) -> None:
        """A node reports what a running task uses."""
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

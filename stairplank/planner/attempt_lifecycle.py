"""The life cycle of an attempt: stopping, abandoning, adopting, and reporting its outcome.

No I/O or clock.

An attempt is abandoned when the decision module gets its outcome although the node may still accept the offer
or run the task. ``abandoned_attempts`` decides how to handle it from then on.
"""

from __future__ import annotations

from typing import Protocol

from .. import interface as api
from . import abandoned_attempts
from . import events as ev
from .abandoned_attempts import DuplicateAction, PlacementState
from .context import CoreContext
from .events import AttemptId
from .placement import Attempt, Placement
from .transitions import AttemptEvent, AttemptState

OFFER_EXPIRY_SLACK_US = 50_000  # margin after an offer's expiry here until it has surely expired at its node


def offer_expired_at(attempt: Attempt) -> int:
    """Return the time on this planner's clock from which the node cannot accept the offer any more."""
    return attempt.deadline + OFFER_EXPIRY_SLACK_US


class ClientRequests(Protocol):
    """The methods of the clients' requests that attempts use."""

    def find(self, number: int) -> Placement | None:
        """Return the placement of that number, or None if it is no longer in the table."""

    def notify(self, placement: Placement, message: ev.ClientMessage) -> None:
        """Send a message to the client on the placement's session."""

    def task_placed(self, placement: Placement, node: int, number: int, latency: int) -> None:
        """Conclude the placement: attempt ``number`` placed the task at this node."""

    def adopt(self, task: ev.TaskSpec, former: Placement | None) -> Placement:
        """Return a new placement for a task found at a node; ``former`` is its earlier one, if known."""

    def module_task(self, placement: Placement) -> api.Task:
        """Return the task in the form that the decision module uses."""

    def forget_if_done(self, placement: Placement) -> None:
        """Remove a placement that has its outcome and no attempts."""


class Links(Protocol):
    """The methods of the links to nodes that attempts use."""

    def is_up(self, node: int) -> bool:
        """Whether the link to a node is up."""

    def has_addresses(self, node: int) -> bool:
        """Whether an address of the node is known."""

    def dial_now(self, node: int) -> bool:
        """Dial the node at once; return whether the link is being dialled."""

    def mark_settled(self, node: int, id: AttemptId) -> None:
        """Record that a message of the node settled this attempt."""

    def unknown_attempt_reported(self, node: int) -> None:
        """Handle a node's message on an attempt that this planner does not know."""

    def mark_unsettled(self, node: int, id: AttemptId) -> None:
        """Record that a message on this attempt is to be sent when the link is up again."""

    def request_tasks_since(self, node: int, since: int) -> int | None:
        """Request the node's tasks unless that was done after ``since``; return when to retry, or None."""

    def node_idle(self, node: int) -> None:
        """Update a node's link after the last attempt at the node has ended."""


class Groups(Protocol):
    """The methods of groups that attempts to place their members use."""

    def tag(self, placement: Placement) -> ev.GroupTag:
        """Return the data on the member's group that its offer carries."""

    def may_place(self, placement: Placement, node: int) -> bool:
        """Whether a member may be placed at that node now."""

    def member_reserved(self, placement: Placement, attempt: Attempt) -> None:
        """Notify the member's group that a node has reserved resources for the member."""

    def member_running(self, placement: Placement) -> None:
        """Notify the member's group that a node started the member."""

    def member_over(self, placement: Placement, finished: bool, reason: api.Reason) -> None:
        """Notify the member's group that a bound member has ended."""


class AttemptLifecycle:
    """The table of attempts, and the methods that stop, abandon, end and adopt attempts."""

    def __init__(self, context: CoreContext) -> None:
        """Create an empty table; the core sets the other components before the first event."""
        self.context = context
        self.requests: ClientRequests
        self.links: Links
        self.groups: Groups
        self.attempts: dict[AttemptId, Attempt] = {}
        self.by_node: dict[int, dict[AttemptId, Attempt]] = {}

    # The table of attempts

    def in_flight(self) -> int:
        """Return the number of attempts that have not ended."""
        return len(self.attempts)

    def find(self, id: AttemptId) -> Attempt | None:
        """Return the attempt of that id, or None if it has ended."""
        return self.attempts.get(id)

    def is_current(self, attempt: Attempt) -> bool:
        """Whether the attempt has neither ended nor been replaced by an adopted attempt of the same id."""
        return self.attempts.get(attempt.id) is attempt

    def at_node(self, node: int) -> list[Attempt]:
        """Return the attempts at a node or on their way there, in order of creation."""
        return list(self.by_node.get(node, {}).values())

    def any_at_node(self, node: int) -> bool:
        """Whether any attempt is at a node or on its way there."""
        return node in self.by_node

    def track(self, attempt: Attempt) -> None:
        """Add an attempt to the tables."""
        self.attempts[attempt.id] = attempt
        attempt.placement.attempts[attempt.id] = attempt
        self.by_node.setdefault(attempt.node, {})[attempt.id] = attempt

    def _untrack(self, attempt: Attempt) -> bool:
        """Remove an attempt from the tables; return False if it was not there."""
        if self.attempts.pop(attempt.id, None) is None:
            return False
        attempt.placement.attempts.pop(attempt.id, None)
        at_node = self.by_node.get(attempt.node)
        if at_node is not None:
            at_node.pop(attempt.id, None)
            if not at_node:
                del self.by_node[attempt.node]
        return True

    # Stopping

    def stop(self, attempt: Attempt, reason: ev.StopReason) -> None:
        """Stop an attempt at its node, now or, unless it is abandoned, when its link is up again.

        The reason is kept, as a stop that was lost with its link is sent again on the next one.
        """
        attempt.stop_reason = reason
        if self.links.is_up(attempt.node):
            self.context.emit(ev.SendStop(attempt.node, attempt.id, reason))
        elif reason is not ev.StopReason.ABANDONED:
            self.links.mark_unsettled(attempt.node, attempt.id)

    def stop_bound(self, placement: Placement, reason: ev.StopReason) -> None:
        """Stop the attempt that runs the task, if one does."""
        if placement.bound_attempt is not None:
            self.stop(placement.bound_attempt, reason)

    def stop_attempt(self, action: api.StopAttempt) -> None:
        """Abandon an attempt that the decision module has cancelled, unless it is bound."""
        placement = self.requests.find(action.task)
        for attempt in placement.attempts.values() if placement else ():
            if attempt.number == action.attempt:
                if not attempt.outcome_reported and attempt is not attempt.placement.bound_attempt:
                    self.abandon(attempt, api.Result.CANCELLED)
                return

    def evict(self, action: api.Evict) -> None:
        """Stop a running task that the decision module migrates to another node."""
        placement = self.requests.find(action.task)
        if placement is not None and placement.bound_attempt is not None:
            self.context.count("moved")
            self.stop(placement.bound_attempt, ev.StopReason.MIGRATED)

    def cancel(self, placement: Placement) -> None:
        """Stop every attempt of a placement that the client cancelled."""
        for attempt in list(placement.attempts.values()):
            if attempt.waiting:
                self.end(attempt, api.Result.NOT_SENT)
            else:
                self.stop(attempt, ev.StopReason.CANCELLED)

    def abandon_member(self, placement: Placement) -> None:
        """Stop every attempt of a group's member that is released or could not be placed."""
        groups = self.context.config.groups
        for attempt in list(placement.attempts.values()):
            if attempt.waiting:
                self.end(attempt, api.Result.NOT_SENT)
                continue
            self.stop(attempt, ev.StopReason.ABANDONED)
            # The node's last message may be lost; the lease bounds how long the node can reserve the member.
            expiry = self.context.now + groups.lease_us + groups.max_reserve_timeout_us
            self.context.call_at(expiry, self._member_lease_expired, attempt)
        self.requests.forget_if_done(placement)

    def placement_concluded(self, placement: Placement) -> None:
        """End or stop the remaining attempts of a placement that has its outcome."""
        for attempt in list(placement.attempts.values()):
            if attempt.waiting:
                self.end(attempt, api.Result.NOT_SENT)
            elif attempt.outcome_reported and attempt.accepted:
                self.handle_duplicate(attempt)

    # Abandoning

    def abandon(self, attempt: Attempt, result: api.Result) -> None:
        """Report an outcome that does not prove that the task never runs; the node may still accept it."""
        attempt.transition(AttemptEvent.ABANDONED)
        if attempt.placement.group is not None:
            self._abandon_unstarted_member(attempt)
            return
        context, placement = self.context, attempt.placement
        placement.known_not_run = False
        self._report_outcome(attempt, result, api.Reason.UNTOLD)
        if abandoned_attempts.stops_when_abandoned(placement.effect):
            self.stop(attempt, ev.StopReason.ABANDONED)
        if attempt.accepted:
            self.handle_duplicate(attempt)
        elif context.config.settles_abandoned_offers:
            context.call_at(max(context.now, offer_expired_at(attempt)), self._request_settlement, attempt)
        context.call_at(context.now + context.config.abandoned_attempt_us, self._abandoned_timed_out, attempt)

    def _abandon_unstarted_member(self, attempt: Attempt) -> None:
        """Abandon a member that was not committed and never will be, so that it is proven not to run."""
        self._report_outcome(attempt, api.Result.UNREACHABLE, api.Reason.UNTOLD)
        self.stop(attempt, ev.StopReason.ABANDONED)
        expiry = self.context.now + self.context.config.groups.lease_us
        self.context.call_at(expiry, self._member_lease_expired, attempt)

    def _request_settlement(self, attempt: Attempt) -> None:
        """Request the node's tasks to settle an abandoned offer that has expired without a reply.

        Without this request, a task that must not run twice would wait ``abandoned_attempt_us`` although the
        node can no longer accept the offer.
        """
        if not self.is_current(attempt) or attempt.accepted:
            return
        retry_at = self.links.request_tasks_since(attempt.node, offer_expired_at(attempt))
        if retry_at is not None:
            self.context.call_at(retry_at, self._request_settlement, attempt)

    def _abandoned_timed_out(self, attempt: Attempt) -> None:
        """End an abandoned attempt, or an unresponsive node would keep its task's key in use forever."""
        if self.is_current(attempt) and attempt is not attempt.placement.bound_attempt:
            self.end(attempt, api.Result.LOST)

    def _member_lease_expired(self, attempt: Attempt) -> None:
        """End a member's attempt whose stop the node did not confirm; its lease has expired by now."""
        if self.is_current(attempt) and attempt.placement.group is not None:
            self.end(attempt, api.Result.CANCELLED)

    # Ending

    def end(self, attempt: Attempt, result: api.Result, reason: api.Reason = api.Reason.UNTOLD) -> None:
        """Remove an attempt that gets no more messages; report its outcome unless that was done already."""
        placement = attempt.placement
        if not self._untrack(attempt):
            return
        if reason is not api.Reason.UNTOLD:
            placement.last_reason = reason
        was_bound = placement.bound_attempt is attempt
        if placement.group is not None:
            result = self._end_member(attempt, result, reason)
        was_reported = attempt.outcome_reported
        attempt.transition(AttemptEvent.ENDED)
        if not was_reported:
            if result not in api.PROVES_NOT_RUN:
                placement.known_not_run = False
            self._report_outcome(attempt, result, reason)
        if was_bound:
            self._bound_ended(placement, result, reason)
            if placement.group is not None:
                return
        self.requests.forget_if_done(placement)
        if not self.any_at_node(attempt.node):
            self.links.node_idle(attempt.node)

    def _end_member(self, attempt: Attempt, result: api.Result, reason: api.Reason) -> api.Result:
        """Record how a member's attempt ended; return the result for the decision module."""
        if result is api.Result.FINISHED:
            attempt.placement.end_reason = "finished"
        else:
            text = reason.name.lower().replace("_", " ") if reason else result.value
            attempt.placement.end_reason = text
        if not attempt.running and result is api.Result.LOST:
            return api.Result.REJECTED  # the node had reserved the member, which was never committed
        return result

    def _bound_ended(self, placement: Placement, result: api.Result, reason: api.Reason) -> None:
        """Notify the client that a task reported as placed has ended."""
        placement.bound_attempt = None
        finished = result is api.Result.FINISHED
        if placement.group is not None:
            self.groups.member_over(placement, finished, reason)
            self.requests.forget_if_done(placement)
            return
        self.context.count("finished" if finished else "lost")
        ended = ev.TaskEnded(placement.request, placement.task.key, finished, reason)
        self.requests.notify(placement, ended)

    def _report_outcome(self, attempt: Attempt, result: api.Result, reason: api.Reason) -> None:
        placement = attempt.placement
        concluded = placement.state is not PlacementState.OPEN
        latency = self.context.now - attempt.created_at
        self.context.notify_module(
            api.Outcome(placement.number, attempt.number, attempt.node, result, concluded, reason, latency)
        )

    # Duplicates

    def handle_duplicate(self, attempt: Attempt) -> None:
        """Handle an abandoned attempt that its node accepted or runs nevertheless."""
        placement = attempt.placement
        if placement.group is not None:
            self.stop(attempt, ev.StopReason.ABANDONED)
            return
        match abandoned_attempts.duplicate_action(placement.effect, placement.state):
            case DuplicateAction.STOP:
                self.context.count("copies_stopped")
                self.stop(attempt, ev.StopReason.ABANDONED)
            case DuplicateAction.ADOPT:
                placement.attempts.pop(attempt.id, None)
                running = attempt.running
                attempt.transition(AttemptEvent.ADOPTED)
                self.adopt(attempt.node, attempt.id, placement.task, running, placement)
                self.requests.forget_if_done(placement)
            case DuplicateAction.WAIT:
                pass

    def adopt(
        self, node: int, id: AttemptId, task: ev.TaskSpec, running: bool, former: Placement | None = None
    ) -> Attempt:
        """Track a task found at a node for which no request waits; return its new attempt.

        ``former`` is the placement that sent the task there, if it is known.
        """
        placement = self.requests.adopt(task, former)
        state = AttemptState.RUNNING if running else AttemptState.ACCEPTED
        attempt = Attempt(self.context, id, placement, 0, node, state)
        placement.bound_attempt = attempt
        self.track(attempt)
        self.context.count("adopted")
        self.context.notify_module(api.TaskAdopted(self.requests.module_task(placement), node))
        self.requests.notify(placement, ev.TaskRecovered(placement.request, task.key, node))
        return attempt

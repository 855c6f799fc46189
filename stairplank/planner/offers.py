"""Sends the offers that the decision module decides on, immediately or once the node's link is up.

No I/O or clock.
"""

from __future__ import annotations

from .. import interface as api
from . import events as ev
from .abandoned_attempts import PlacementState
from .attempt_lifecycle import AttemptLifecycle
from .errors import ConcludedTaskError
from .events import AttemptId
from .placement import Attempt, Placement
from .transitions import AttemptEvent, AttemptState, PlacementEvent

REPLY_RESERVE_TICKS = 2  # an attempt ends this long before its client's wait, to leave time for the reply


class OfferDispatcher:
    """Creates an attempt for each bind of the decision module, and sends its offer."""

    def __init__(self, attempts: AttemptLifecycle) -> None:
        """Create the dispatcher; it adds its attempts to the table ``attempts``."""
        self.attempts = attempts
        self.context = attempts.context

    def bind(self, action: api.Bind) -> None:
        """Offer a task to a node.

        Raises:
            ConcludedTaskError: the task already has its outcome.
        """
        placement = self.attempts.requests.find(action.task)
        if placement is None or placement.state is not PlacementState.OPEN:
            raise ConcludedTaskError(
                f"the decision module placed task {action.task}, which already has its outcome"
            )
        number = placement.attempts_made
        placement.attempts_made += 1
        if placement.group is not None and not self._may_place_member(action, placement, number):
            return
        self._dispatch(self._create(action, placement, number))

    def _may_place_member(self, action: api.Bind, placement: Placement, number: int) -> bool:
        """Whether a group's member may be placed at that node now; if not, report the outcome."""
        context = self.context
        reserve_us = (REPLY_RESERVE_TICKS + 2) * context.settings.tick_us
        if context.now >= placement.deadline - reserve_us:
            # The module knows only the group's deadline, but this attempt to place the group is almost over.
            placement.transition(PlacementEvent.FAILED)
            context.notify_module(api.Outcome(action.task, number, action.node, api.Result.NOT_SENT, True))
            self.attempts.abandon_member(placement)
            return False
        if not self.attempts.groups.may_place(placement, action.node):
            context.count("wishes_closed")
            context.notify_module(api.Outcome(action.task, number, action.node, api.Result.NOT_SENT, False))
            return False
        return True

    def _create(self, action: api.Bind, placement: Placement, number: int) -> Attempt:
        context = self.context
        id = AttemptId(context.incarnation, placement.number, number)
        attempt = Attempt(context, id, placement, number, action.node, AttemptState.WAITING)
        attempt.deadline = placement.deadline - REPLY_RESERVE_TICKS * context.settings.tick_us
        if action.timeout_us:
            attempt.deadline = min(attempt.deadline, context.now + action.timeout_us)
        self.attempts.track(attempt)
        context.count("offers")
        context.call_at(attempt.deadline, self._timed_out, attempt)
        return attempt

    def _dispatch(self, attempt: Attempt) -> None:
        """Send the offer if the link is up; else dial the node, or end the attempt if that is impossible."""
        context, links = self.context, self.attempts.links
        if context.now >= attempt.deadline:
            # After a stall, node messages are handled before timers, so the deadline may have passed; an
            # offer sent now would be too late.
            self.attempts.end(attempt, api.Result.NOT_SENT)
        elif links.is_up(attempt.node):
            self.send(attempt)
        elif not links.has_addresses(attempt.node):
            self.attempts.end(attempt, api.Result.UNREACHABLE)
        else:
            context.call_at(context.now + context.config.dial_timeout_us, self._dial_timed_out, attempt)
            if not links.dial_now(attempt.node):
                self.attempts.end(attempt, api.Result.UNREACHABLE)

    def send(self, attempt: Attempt) -> None:
        """Send an offer over a link that is up."""
        placement = attempt.placement
        attempt.transition(AttemptEvent.SENT)
        wait_us = max(1, attempt.deadline - self.context.now)
        tag = self.attempts.groups.tag(placement) if placement.group is not None else None
        self.context.emit(
            ev.SendOffer(attempt.node, attempt.id, placement.task, wait_us, placement.class_index, tag)
        )
        if placement.group is None:
            offered = ev.Offered(placement.request, attempt.node, attempt.number)
            self.attempts.requests.notify(placement, offered)

    def send_waiting(self, node: int) -> None:
        """Send the offers that waited for the node's link, which is up now."""
        for attempt in self.attempts.at_node(node):
            if attempt.waiting:
                self.send(attempt)

    def fail_waiting(self, node: int) -> None:
        """End the attempts that wait for a node's link, because it failed or the node drains or is unlisted.

        Otherwise an offer would be sent after the node has reported that it drains.
        """
        for attempt in self.attempts.at_node(node):
            if attempt.waiting:
                self.attempts.end(attempt, api.Result.UNREACHABLE)

    def _dial_timed_out(self, attempt: Attempt) -> None:
        if attempt.waiting and self.attempts.find(attempt.id) is not None:
            self.attempts.end(attempt, api.Result.UNREACHABLE)

    def _timed_out(self, attempt: Attempt) -> None:
        bound = attempt is attempt.placement.bound_attempt
        if attempt.outcome_reported or bound or self.attempts.find(attempt.id) is None:
            return
        if attempt.waiting:
            self.attempts.end(attempt, api.Result.UNREACHABLE)
        else:
            self.context.count("timeouts")
            self.attempts.abandon(attempt, api.Result.TIMEOUT)
